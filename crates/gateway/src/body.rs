//! Bodies of requests and streamed answers.

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

use crate::error::Refusal;
use crate::memory::BodyMemory;
use crate::memory::Held;
use crate::pieces::Pieces;

/// Bounds for reading a body.
pub struct ReadLimits<'a> {
    /// Bytes of this body.
    pub bytes: usize,
    /// Longest pause while it arrives.
    pub gap: Duration,
    /// The bound on all bodies in memory.
    pub memory: &'a BodyMemory,
}

/// Reads a request body. Its bytes count as in memory until the second value is
/// dropped.
///
/// Memory is taken only for bytes that arrived, never for a claimed length.
///
/// # Errors
///
/// When the body is too long, stops arriving or breaks off, and at once when
/// bodies of other requests leave no room for it.
pub async fn read(body: Body, limits: &ReadLimits<'_>) -> Result<(Bytes, Held), Refusal> {
    let (limit, gap) = (limits.bytes, limits.gap);
    let mut held = limits.memory.hold();
    if http_body::Body::size_hint(&body).lower() > limit as u64 {
        return Err(Refusal::body_too_large(limit));
    }
    let mut body = std::pin::pin!(body);
    let mut pieces = Pieces::default();
    loop {
        let frame = match tokio::time::timeout(gap, body.frame()).await {
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
        if pieces.len() + data.len() > limit {
            return Err(Refusal::body_too_large(limit));
        }
        held.add(data.len())?;
        pieces.push(data);
    }
    Ok((pieces.join().unwrap_or_default(), held))
}

/// Counts an answer that its connection has not taken as a whole.
pub(crate) struct OpenAnswer(IntGauge);

impl OpenAnswer {
    pub(crate) fn new(gauge: &IntGauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.0.dec();
    }
}

quick_error! {
    /// A streamed body whose end was never sent.
    #[derive(Debug)]
    pub enum BodyError {
        /// The task that feeds the body ended early, for example in a panic.
        Truncated {
            display("the stream ended without its last piece")
        }
    }
}

/// A piece of a streamed answer.
pub(crate) enum Piece {
    /// More pieces follow.
    More(Bytes),
    /// The body ends after this piece.
    Last(Bytes),
}

/// Body of a streamed answer, fed through a bounded channel.
///
/// A channel that closes before its last piece fails the body, so that the
/// connection is dropped: an ordinary end of the body would make a truncated
/// answer look whole.
pub(crate) struct ChannelBody {
    rx: mpsc::Receiver<Piece>,
    ended: bool,
    _open: OpenAnswer,
}

impl ChannelBody {
    /// Makes a body that gets the pieces sent to the channel.
    pub(crate) fn body(rx: mpsc::Receiver<Piece>, open: OpenAnswer) -> Body {
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
        self.rx.poll_recv(cx).map(|piece| match piece {
            Some(Piece::More(data)) => Some(Ok(Frame::data(data))),
            Some(Piece::Last(data)) => {
                self.ended = true;
                Some(Ok(Frame::data(data)))
            }
            None => Some(Err(BodyError::Truncated)),
        })
    }
}

/// Bytes of a whole answer that the connection takes at once. It takes the next
/// ones when its buffer has room, so that a drain sees a slow caller.
const WHOLE_PIECE: usize = 64 * 1024;

/// Body of a whole answer.
pub(crate) struct WholeBody {
    data: Bytes,
    _open: OpenAnswer,
}

impl WholeBody {
    /// Makes a body of known length.
    pub(crate) fn body(data: Bytes, open: OpenAnswer) -> Body {
        Body::from_body(Self { data, _open: open })
    }
}

impl http_body::Body for WholeBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.data.is_empty() {
            return Poll::Ready(None);
        }
        let end = self.data.len().min(WHOLE_PIECE);
        let piece = self.data.split_to(end);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.len() as u64)
    }
}
