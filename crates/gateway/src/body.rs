//! Bodies of requests and streamed answers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::StatusCode;
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use volo_http::body::Body;

use crate::error::Refusal;

fn too_large(limit: usize) -> Refusal {
    Refusal::new(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body_too_large",
        format!("the body is longer than {limit} bytes"),
    )
}

/// Reads a request body of at most `limit` bytes.
///
/// Memory is taken only for bytes that arrived, never for a claimed length.
pub(crate) async fn read(body: Body, limit: usize, gap: Duration) -> Result<Bytes, Refusal> {
    if http_body::Body::size_hint(&body).lower() > limit as u64 {
        return Err(too_large(limit));
    }
    let mut body = std::pin::pin!(body);
    let mut whole: Option<Bytes> = None;
    let mut more = BytesMut::new();
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
        if more.len() + whole.as_ref().map_or(0, Bytes::len) + data.len() > limit {
            return Err(too_large(limit));
        }
        match whole.take() {
            None if more.is_empty() => whole = Some(data),
            None => more.extend_from_slice(&data),
            Some(head) => {
                more.extend_from_slice(&head);
                more.extend_from_slice(&data);
            }
        }
    }
    Ok(whole.unwrap_or_else(|| more.freeze()))
}

/// Body of a streamed answer, fed through a bounded channel.
pub(crate) struct ChannelBody {
    rx: mpsc::Receiver<Bytes>,
}

impl ChannelBody {
    /// Makes a body that gets the pieces sent to the channel.
    pub(crate) fn body(rx: mpsc::Receiver<Bytes>) -> Body {
        Body::from_body(Self { rx })
    }
}

impl http_body::Body for ChannelBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        self.rx
            .poll_recv(cx)
            .map(|data| data.map(|data| Ok(Frame::data(data))))
    }
}
