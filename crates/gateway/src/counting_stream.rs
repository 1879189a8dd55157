//! TCP stream that counts the bytes it has sent and received.

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
pub(crate) struct CountingStream {
    pub(crate) inner: TcpStream,
    pub(crate) written: Arc<AtomicU64>,
    pub(crate) received: Arc<AtomicU64>,
    /// Number of received bytes from which reads fail; `u64::MAX` for no limit.
    pub(crate) receive_limit: Arc<AtomicU64>,
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
        let res = match left {
            Some(0) => {
                let err = io::Error::new(io::ErrorKind::InvalidData, "the header is too long");
                Poll::Ready(Err(err))
            }
            None => Pin::new(&mut self.inner).poll_read(cx, buf),
            Some(left) => {
                let mut part = [0; LIMITED_READ_BYTES];
                let len = left.min(part.len()).min(buf.remaining());
                let mut part = ReadBuf::new(&mut part[..len]);
                let res = Pin::new(&mut self.inner).poll_read(cx, &mut part);
                buf.put_slice(part.filled());
                res
            }
        };
        let len = buf.filled().len() - before;
        self.received.fetch_add(len as u64, Ordering::Relaxed);
        res
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let res = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = res {
            self.written.fetch_add(n as u64, Ordering::Relaxed);
        }
        res
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let res = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(n)) = res {
            self.written.fetch_add(n as u64, Ordering::Relaxed);
        }
        res
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
