//! An endpoint's response to one attempt, and the return of its connection to the pool.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::HeaderMap;
use http::StatusCode;
use http_body::Body as _;
use hyper::body::Incoming;

use super::Client;
use super::ClientError;
use super::Conn;
use crate::chunk_buffer::ChunkBuffer;

/// Joined size, in bytes, from which no further frames are added to a chunk, even if
/// they have already arrived.
const COALESCE_LIMIT_BYTES: usize = 32 * 1024;
/// Maximum number of frames of a chunk. Frames of a few bytes would otherwise take a lot
/// of time, in which no other task runs.
const MAX_COALESCED_FRAMES: usize = 32;

/// An endpoint's response to one attempt. Dropping it returns the connection to the pool
/// if the end of the response has been read, and closes it otherwise.
pub struct EndpointResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Address of the endpoint.
    pub addr: SocketAddr,
    pub(super) is_framed: bool,
    pub(super) body: Option<Incoming>,
    pub(super) conn: Option<Conn>,
    pub(super) client: Arc<Client>,
    /// Whether the last chunk had as many frames as one may have.
    pub(super) has_many_frames: bool,
}

impl EndpointResponse {
    /// Returns whether the end of the response has been read.
    pub fn is_complete(&self) -> bool {
        self.body.is_none()
    }

    /// Returns whether the end of the response can be distinguished from a crash.
    pub fn is_framed(&self) -> bool {
        self.is_framed
    }

    /// Closes the connection, as the response is of no use. Its endpoint may not keep to
    /// the protocol.
    pub fn close(mut self) {
        self.conn = None;
    }

    /// Returns how long the connection may stay idle: three quarters of the time in
    /// the endpoint's `keep-alive` header, because the endpoint starts counting
    /// earlier, and at most the client's own timeout.
    fn max_idle(&self) -> Duration {
        let limit = self.client.timeouts.idle;
        let keep_alive = self
            .headers
            .get("keep-alive")
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")))
            .and_then(|v| v.trim().parse::<u32>().ok());
        keep_alive.map_or(limit, |s| limit.min(Duration::from_secs(s.into()) * 3 / 4))
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, ClientError>> {
        let mut chunks = ChunkBuffer::default();
        let mut frames = 0;
        while let (Some(body), Some(conn)) = (self.body.as_mut(), self.conn.as_mut()) {
            let was_done = conn.driver_done;
            let mut polled = Pin::new(&mut *body).poll_frame(cx);
            if polled.is_pending() {
                conn.drive(cx);
                polled = Pin::new(&mut *body).poll_frame(cx);
            }
            match polled {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    chunks.push(data);
                    frames += 1;
                    self.has_many_frames = frames == MAX_COALESCED_FRAMES;
                    if self.has_many_frames || chunks.copied_len() >= COALESCE_LIMIT_BYTES {
                        break;
                    }
                }
                Poll::Ready(Some(Err(e))) => {
                    self.conn = None;
                    if !chunks.is_empty() {
                        // Returns the data received before; the next call fails.
                        break;
                    }
                    return Poll::Ready(Err(ClientError::Broken(e.to_string())));
                }
                Poll::Ready(None) => {
                    self.body = None;
                    // The driver must process the end of the exchange before the
                    // connection can return to the pool.
                    conn.drive(cx);
                }
                Poll::Pending => {
                    if !chunks.is_empty() {
                        break;
                    }
                    if was_done {
                        self.conn = None;
                        return Poll::Ready(Err(ClientError::Broken("closed".into())));
                    }
                    if conn.driver_done {
                        continue;
                    }
                    return Poll::Pending;
                }
            }
        }
        match chunks.join() {
            Some(data) => Poll::Ready(Ok(Some(data))),
            None if self.body.is_none() => Poll::Ready(Ok(None)),
            None => Poll::Ready(Err(ClientError::Broken("closed".into()))),
        }
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the end, or when nothing arrives
    /// for `gap`.
    pub async fn next(&mut self, gap: Duration) -> Result<Option<Bytes>, ClientError> {
        if std::mem::take(&mut self.has_many_frames) {
            tokio::task::yield_now().await;
        }
        let chunk = std::future::poll_fn(|cx| self.poll_chunk(cx));
        match chunk.now_or_never() {
            Some(res) => res,
            None => {
                let chunk = std::future::poll_fn(|cx| self.poll_chunk(cx));
                match tokio::time::timeout(gap, chunk).await {
                    Ok(res) => res,
                    Err(_) => Err(ClientError::Timeout("next chunk")),
                }
            }
        }
    }

    /// Returns the whole body.
    ///
    /// # Errors
    ///
    /// Fails unless the end of the body was received within `limit`, or when the body
    /// is too long.
    pub async fn collect(self, limit: Duration) -> Result<Bytes, ClientError> {
        self.collect_after(Bytes::new(), limit).await
    }

    /// Same as [`collect`](Self::collect), for a body of which `first` was read before.
    ///
    /// # Errors
    ///
    /// Same as [`collect`](Self::collect).
    pub async fn collect_after(self, first: Bytes, limit: Duration) -> Result<Bytes, ClientError> {
        if !self.is_framed {
            return Err(ClientError::NoFraming);
        }
        self.read_after(first, limit).await
    }

    /// Returns the whole body, including that of a response that ends only with its
    /// connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection is reset before the end, when the end does not arrive
    /// within `limit`, however many bytes do, or when the body is too long.
    pub async fn read_to_end(self, limit: Duration) -> Result<Bytes, ClientError> {
        self.read_after(Bytes::new(), limit).await
    }

    async fn read_after(self, first: Bytes, limit: Duration) -> Result<Bytes, ClientError> {
        let has_room = AtomicBool::new(true);
        let read = self.read_all(first, limit, &has_room);
        let read = tokio::time::timeout(limit, read).await;
        read.unwrap_or_else(|_| {
            Err(match has_room.load(Ordering::Relaxed) {
                true => ClientError::Timeout("end of the response"),
                false => ClientError::NoMemory,
            })
        })
    }

    /// Reads the body. Clears `has_room` while it waits for memory.
    async fn read_all(
        mut self,
        first: Bytes,
        gap: Duration,
        has_room: &AtomicBool,
    ) -> Result<Bytes, ClientError> {
        let max_bytes = self.client.max_response_bytes;
        let declared = self.body.as_ref().map(|body| body.size_hint().lower());
        if declared.is_some_and(|len| len > max_bytes as u64) {
            return Err(ClientError::TooLong);
        }
        let mut charge = self.client.answers.charge();
        let mut chunks = ChunkBuffer::default();
        if !first.is_empty() {
            chunks.push(first);
        }
        while let Some(data) = self.next(gap).await? {
            chunks.push(data);
            if chunks.len() > max_bytes {
                return Err(ClientError::TooLong);
            }
            has_room.store(false, Ordering::Relaxed);
            charge.resize(chunks.len()).await;
            has_room.store(true, Ordering::Relaxed);
        }
        Ok(charge.attach(chunks.join().unwrap_or_default()))
    }
}

impl Drop for EndpointResponse {
    fn drop(&mut self) {
        if self.body.is_none()
            && let Some(mut conn) = self.conn.take()
        {
            conn.max_idle = self.max_idle();
            self.client.put_idle(self.addr, conn);
        }
    }
}
