//! Reading request bodies and writing response bodies.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use prometheus::IntGauge;
use quick_error::quick_error;
use tokio::sync::mpsc;
use volo_http::body::Body;

use crate::chunk_buffer::ChunkBuffer;
use crate::error::Refusal;
use crate::memory::BodyMemory;
use crate::memory::BodyMemoryGuard;

/// Limits for reading a request body.
pub struct ReadLimits<'a> {
    /// Maximum length of this body, in bytes.
    pub max_bytes: usize,
    /// Maximum time without data while the body arrives.
    pub idle_timeout: Duration,
    /// Limit on all request bodies in memory.
    pub memory: &'a BodyMemory,
}

/// Reads a request body. Its bytes count towards the memory limit until the
/// returned guard is dropped.
///
/// Only bytes that have arrived are counted, never the declared length.
///
/// # Errors
///
/// Fails when the body is too long, stalls or is truncated, and immediately when
/// the memory limit is reached.
pub async fn read(
    body: Body,
    limits: &ReadLimits<'_>,
) -> Result<(Bytes, BodyMemoryGuard), Refusal> {
    let (max_bytes, idle_timeout) = (limits.max_bytes, limits.idle_timeout);
    let mut guard = limits.memory.guard();
    if http_body::Body::size_hint(&body).lower() > max_bytes as u64 {
        return Err(Refusal::body_too_large(max_bytes));
    }
    let mut body = std::pin::pin!(body);
    let mut chunks = ChunkBuffer::default();
    loop {
        let frame = match tokio::time::timeout(idle_timeout, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break,
            Ok(Some(Err(_))) => {
                return Err(Refusal::bad_request("", "the body is truncated"));
            }
            Err(_) => {
                return Err(Refusal::new(
                    StatusCode::REQUEST_TIMEOUT,
                    "body_timeout",
                    "the body stopped arriving",
                ));
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if chunks.len() + data.len() > max_bytes {
            return Err(Refusal::body_too_large(max_bytes));
        }
        guard.grow(data.len())?;
        chunks.push(data);
    }
    Ok((chunks.join().unwrap_or_default(), guard))
}

/// Counts a response in a gauge until all of it has been passed to its connection.
pub(crate) struct OpenResponseGuard(IntGauge);

impl OpenResponseGuard {
    pub(crate) fn new(gauge: &IntGauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for OpenResponseGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

quick_error! {
    /// Failure of a streamed response body.
    #[derive(Debug)]
    pub enum BodyError {
        /// The task that produces the body ended early, for example by a panic.
        Truncated {
            display("the stream ended before its last chunk")
        }
    }
}

quick_error! {
    /// Failure of an answer after its header was sent.
    #[derive(Debug)]
    pub enum AnswerError {
        /// The source of the body failed.
        Body(err: Box<dyn std::error::Error + Send + Sync>) {
            display("{}", err)
        }
        /// The source of the body panicked.
        Panicked {
            display("the code that produces the answer panicked")
        }
    }
}

/// A chunk of a streamed response.
pub(crate) enum StreamChunk {
    /// More chunks follow.
    More(Bytes),
    /// The body ends after this chunk.
    Last(Bytes),
}

/// Body of a streamed response, fed through a bounded channel.
///
/// A channel that closes before its last chunk fails the body, so that the
/// connection is dropped. A normal end of the body would make a truncated
/// response look complete.
pub(crate) struct ChannelBody {
    rx: mpsc::Receiver<StreamChunk>,
    ended: bool,
    _open: OpenResponseGuard,
}

impl ChannelBody {
    /// Returns a body of the chunks that `rx` receives.
    pub(crate) fn body(rx: mpsc::Receiver<StreamChunk>, open: OpenResponseGuard) -> Body {
        Body::from_body(Self {
            rx,
            ended: false,
            _open: open,
        })
    }
}

impl http_body::Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        self.rx.poll_recv(cx).map(|chunk| match chunk {
            Some(StreamChunk::More(data)) => Some(Ok(Frame::data(data))),
            Some(StreamChunk::Last(data)) => {
                self.ended = true;
                Some(Ok(Frame::data(data)))
            }
            None => Some(Err(BodyError::Truncated)),
        })
    }
}

/// Maximum size of a data frame of a buffered response. The connection asks for
/// the next frame when its buffer has room, so a drain can tell that a slow
/// caller has not yet received the response.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Response body that is entirely in memory.
pub(crate) struct BufferedBody {
    data: Bytes,
    _open: OpenResponseGuard,
}

impl BufferedBody {
    /// Returns a body with the length of `data`.
    pub(crate) fn body(data: Bytes, open: OpenResponseGuard) -> Body {
        Body::from_body(Self { data, _open: open })
    }
}

impl http_body::Body for BufferedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.data.is_empty() {
            return Poll::Ready(None);
        }
        let end = self.data.len().min(MAX_CHUNK_BYTES);
        let chunk = self.data.split_to(end);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.len() as u64)
    }
}
