//! TCP stream that counts the bytes it has sent and received, that can be read to its end
//! after a write has failed, and that has no regular end before the request was sent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Maximum number of bytes that the kernel accepts beyond those that the peer has room for.
/// Without it, the kernel accepts up to 4 MB of a request of which the peer reads nothing,
/// so that the end of the response seems to follow the whole request.
const MAX_UNSENT_BYTES: u32 = 128 * 1024;
/// Maximum length of one read while the received bytes are limited.
const LIMITED_READ_BYTES: usize = 8 * 1024;

/// Counts the bytes that the kernel has accepted for sending, and those received.
///
/// A peer that answers before it has read a whole request resets the connection. Its
/// answer may have arrived by then, so an error of a write is only returned once all
/// bytes have been read; until then, bytes to send are dropped.
///
/// A peer may also end its own direction before it resets the connection. Reads then see a
/// regular end, which would complete a response without a length. Such an end is an error
/// if bytes are still to be sent, or if the reset has arrived.
pub(crate) struct CountingStream {
    inner: TcpStream,
    written: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
    /// Number of received bytes from which reads fail; `u64::MAX` for no limit.
    receive_limit: Arc<AtomicU64>,
    write_error: Option<io::ErrorKind>,
    /// Whether the kernel has not accepted all bytes of the last write.
    has_unsent: bool,
}

impl CountingStream {
    pub(crate) fn new(
        inner: TcpStream,
        written: Arc<AtomicU64>,
        received: Arc<AtomicU64>,
        receive_limit: Arc<AtomicU64>,
    ) -> Self {
        // Without the option, only resets that have arrived are noticed.
        SockRef::from(&inner)
            .set_tcp_notsent_lowat(MAX_UNSENT_BYTES)
            .ok();
        Self {
            inner,
            written,
            received,
            receive_limit,
            write_error: None,
            has_unsent: false,
        }
    }

    /// Records the result of a write of `len` bytes.
    fn record_write(&mut self, result: Poll<io::Result<usize>>, len: usize) -> Poll<usize> {
        self.has_unsent = !matches!(result, Poll::Ready(Ok(n)) if n == len);
        result.map(|result| match result {
            Ok(n) => {
                self.written.fetch_add(n as u64, Ordering::Relaxed);
                n
            }
            Err(e) => {
                self.write_error = Some(e.kind());
                len
            }
        })
    }

    /// Returns why the end of the received bytes is no regular one.
    fn end_error(&self) -> Option<io::Error> {
        if let Some(kind) = self.write_error {
            // The failed write took the connection's error.
            return Some(kind.into());
        }
        if self.has_unsent {
            let text = "closed before the request was sent";
            return Some(io::Error::new(io::ErrorKind::ConnectionAborted, text));
        }
        self.inner.take_error().unwrap_or_else(Some)
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let received = self.received.load(Ordering::Relaxed);
        let limit = self.receive_limit.load(Ordering::Relaxed);
        let left = match limit {
            u64::MAX => None,
            limit => Some(usize::try_from(limit.saturating_sub(received)).unwrap_or(usize::MAX)),
        };
        let before = buf.filled().len();
        let has_room = buf.remaining() > 0;
        let res = match left {
            Some(0) => {
                let err = io::Error::new(io::ErrorKind::InvalidData, "the header is too long");
                Poll::Ready(Err(err))
            }
            None => Pin::new(&mut self.inner).poll_read(cx, buf),
            Some(left) => {
                let len = left.min(LIMITED_READ_BYTES).min(buf.remaining());
                let mut part = ReadBuf::new(buf.initialize_unfilled_to(len));
                let res = Pin::new(&mut self.inner).poll_read(cx, &mut part);
                let len = part.filled().len();
                buf.advance(len);
                res
            }
        };
        let len = buf.filled().len() - before;
        self.received.fetch_add(len as u64, Ordering::Relaxed);
        match &res {
            Poll::Ready(Ok(())) if len == 0 && has_room => {
                Poll::Ready(self.end_error().map_or(Ok(()), Err))
            }
            _ => res,
        }
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.write_error.is_some() {
            return Poll::Ready(Ok(buf.len()));
        }
        let res = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.record_write(res, buf.len()).map(Ok)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let len = bufs.iter().map(|b| b.len()).sum();
        if self.write_error.is_some() {
            return Poll::Ready(Ok(len));
        }
        let res = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.record_write(res, len).map(Ok)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
