//! TCP stream that counts the bytes it has sent and received, and that can be read to its
//! end after a write has failed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Maximum length of one read while the received bytes are limited.
const LIMITED_READ_BYTES: usize = 8 * 1024;

/// Counts the bytes that the kernel has accepted for sending, and those received.
///
/// A peer that answers before it has read a whole request resets the connection. Its
/// answer may have arrived by then, so an error of a write is only returned once all
/// bytes have been read; until then, bytes to send are dropped.
pub(crate) struct CountingStream {
    inner: TcpStream,
    written: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
    /// Number of received bytes from which reads fail; `u64::MAX` for no limit.
    receive_limit: Arc<AtomicU64>,
    write_error: Option<io::ErrorKind>,
}

impl CountingStream {
    pub(crate) fn new(
        inner: TcpStream,
        written: Arc<AtomicU64>,
        received: Arc<AtomicU64>,
        receive_limit: Arc<AtomicU64>,
    ) -> Self {
        Self {
            inner,
            written,
            received,
            receive_limit,
            write_error: None,
        }
    }

    /// Records the result of a write of `len` bytes.
    fn record_write(&mut self, result: io::Result<usize>, len: usize) -> usize {
        match result {
            Ok(n) => {
                self.written.fetch_add(n as u64, Ordering::Relaxed);
                n
            }
            Err(e) => {
                self.write_error = Some(e.kind());
                len
            }
        }
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
        match (&res, self.write_error) {
            // The failed write took the connection's error, so the read sees a plain end.
            (Poll::Ready(Ok(())), Some(kind)) if len == 0 && has_room => {
                Poll::Ready(Err(kind.into()))
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
        res.map(|result| Ok(self.record_write(result, buf.len())))
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
        res.map(|result| Ok(self.record_write(result, len)))
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
