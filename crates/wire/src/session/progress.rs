//! Progress of the writes to a connection.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncWrite;

/// Tells how much of a session's frames the connection has accepted.
#[derive(Debug, Default)]
pub(super) struct WriteProgress {
    written: AtomicU64,
    is_finished: AtomicBool,
}

impl WriteProgress {
    /// Returns the number of bytes that the connection has accepted.
    pub(super) fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Returns whether the connection has accepted all frames and the end of the stream.
    pub(super) fn is_finished(&self) -> bool {
        self.is_finished.load(Ordering::Relaxed)
    }

    /// Records that the connection has accepted the end of the stream.
    pub(super) fn finish(&self) {
        self.is_finished.store(true, Ordering::Relaxed);
    }

    fn add(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(len)) = result {
            let len = u64::try_from(*len).unwrap_or(u64::MAX);
            self.written.fetch_add(len, Ordering::Relaxed);
        }
    }
}

/// A writer that counts the bytes that it has accepted.
pub(super) struct CountingWriter<W> {
    inner: W,
    progress: Arc<WriteProgress>,
}

impl<W> CountingWriter<W> {
    pub(super) fn new(inner: W, progress: Arc<WriteProgress>) -> Self {
        Self { inner, progress }
    }
}

impl<W: AsyncWrite + Unpin> AsyncWrite for CountingWriter<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.progress.add(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.progress.add(&result);
        result
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
