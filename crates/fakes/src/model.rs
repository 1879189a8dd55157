//! Responses of the fake model engine.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use http_body_util::StreamBody;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::engine::CRASH_MARK;
use crate::engine::Fault;
use crate::engine::Shared;
use crate::engine::json_response;

/// Maximum number of prompt characters echoed in the first token.
const MAX_ECHO_CHARS: usize = 200;

/// Body of a streamed response. An `Err` breaks the connection.
struct ChunkStream(mpsc::Receiver<Result<Bytes, std::io::Error>>);

impl futures::Stream for ChunkStream {
    type Item = Result<http_body::Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0
            .poll_recv(cx)
            .map(|chunk| chunk.map(|chunk| chunk.map(http_body::Frame::data).map_err(Into::into)))
    }
}

/// Sleeps unless `time` is zero: a timer fires after a millisecond at the earliest.
pub(crate) async fn sleep_nonzero(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

/// Returns the prompt of a completion or the last message of a chat.
fn prompt_text(req: &Value) -> String {
    let text = req["prompt"].as_str().or_else(|| {
        req["messages"]
            .as_array()
            .and_then(|m| m.last())
            .and_then(|m| m["content"].as_str())
    });
    text.unwrap_or_default().to_owned()
}

/// A response to be generated.
struct Generation {
    shared: Arc<Shared>,
    chat: bool,
    model: String,
    prompt: String,
    tokens: u32,
    fault: Fault,
    include_usage: bool,
}

impl Generation {
    fn token(&self, n: u32) -> String {
        if n == 0 {
            let head: String = self.prompt.chars().take(MAX_ECHO_CHARS).collect();
            format!("[{head}]")
        } else {
            format!(" t{n}")
        }
    }

    fn usage(&self, completion: u32) -> Value {
        let prompt = (self.prompt.len() as u64).div_ceil(4);
        let factor = if self.fault == Fault::OverstatedUsage {
            1_000_000
        } else {
            1
        };
        json!({
            "prompt_tokens": prompt * factor,
            "completion_tokens": u64::from(completion) * factor,
            "total_tokens": (prompt + u64::from(completion)) * factor,
        })
    }

    /// Returns one event of a stream.
    fn stream_event(&self, content: &str, finish: Option<&str>) -> String {
        // Formatted by hand: this is the hot path of the load generator.
        let content = serde_json::to_string(content).unwrap_or_default();
        let finish = finish.map_or("null".to_owned(), |f| format!("\"{f}\""));
        if self.chat {
            format!(
                "data: {{\"id\":\"fake\",\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":\"{}\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":{content}}},\"finish_reason\":{finish}}}]}}\n\n",
                self.model
            )
        } else {
            format!(
                "data: {{\"id\":\"fake\",\"object\":\"text_completion\",\"created\":0,\"model\":\"{}\",\"choices\":[{{\"index\":0,\"text\":{content},\"finish_reason\":{finish}}}]}}\n\n",
                self.model
            )
        }
    }

    /// Returns the body of a response that isn't streamed.
    fn full_response(&self) -> String {
        let content: String = (0..self.tokens).map(|n| self.token(n)).collect();
        let choice = if self.chat {
            json!({"index": 0, "message": {"role": "assistant", "content": content}, "finish_reason": "stop"})
        } else {
            json!({"index": 0, "text": content, "finish_reason": "stop"})
        };
        let mut answer = json!({
            "id": "fake",
            "object": if self.chat { "chat.completion" } else { "text_completion" },
            "created": 0,
            "model": self.model,
            "choices": [choice],
        });
        if self.fault != Fault::MissingUsage {
            answer["usage"] = self.usage(self.tokens);
        }
        answer.to_string()
    }

    /// Applies the fault if it is due after `n` tokens: kills the endpoint, stalls
    /// forever, or returns the error that breaks the connection.
    async fn apply_fault(&self, n: u32) -> Option<std::io::Error> {
        match self.fault {
            Fault::DieAfter(after) if n >= after => {
                // Lets the tokens written so far reach the client.
                tokio::time::sleep(Duration::from_millis(20)).await;
                self.shared.kill.cancel();
                std::future::pending().await
            }
            Fault::BreakAfter(after) if n >= after => Some(std::io::Error::other("injected fault")),
            Fault::StallAfter(after) if n >= after => std::future::pending().await,
            _ => None,
        }
    }

    /// Sends the events of a stream. Returns whether all were sent.
    async fn stream(&self, tx: &mpsc::Sender<Result<Bytes, std::io::Error>>) -> bool {
        let options = &self.shared.options;
        let mut buf = String::new();
        let mut n = 0;
        while n < self.tokens || self.fault == Fault::Endless {
            if let Some(e) = self.apply_fault(n).await {
                tx.send(Err(e)).await.ok();
                return false;
            }
            if n > 0 && !options.token_delay.is_zero() {
                tokio::time::sleep(options.token_delay).await;
            }
            buf.push_str(&self.stream_event(&self.token(n), None));
            n += 1;
            self.shared.counts.tokens.fetch_add(1, Ordering::Relaxed);
            let full = (n as usize).is_multiple_of(options.burst.max(1));
            if (full || !options.token_delay.is_zero())
                && tx
                    .send(Ok(Bytes::from(std::mem::take(&mut buf))))
                    .await
                    .is_err()
            {
                return false;
            }
        }
        if self.fault != Fault::MissingDone {
            buf.push_str(&self.stream_event("", Some("stop")));
            if self.include_usage && self.fault != Fault::MissingUsage {
                buf.push_str(&format!(
                    "data: {{\"id\":\"fake\",\"choices\":[],\"usage\":{}}}\n\n",
                    self.usage(self.tokens)
                ));
            }
            buf.push_str("data: [DONE]\n\n");
        }
        buf.is_empty() || tx.send(Ok(Bytes::from(buf))).await.is_ok()
    }
}

/// Responds to a model request.
pub(crate) async fn answer(
    shared: &Arc<Shared>,
    path: &str,
    body: &[u8],
    attempt: &str,
    priority: u32,
    fault: Fault,
) -> Response {
    let Ok(req) = serde_json::from_slice::<Value>(body) else {
        return json_response(
            StatusCode::BAD_REQUEST,
            "{\"error\":{\"message\":\"request body is not valid JSON\"}}",
        );
    };
    let model = req["model"].as_str().unwrap_or_default().to_owned();
    if !shared.orders.models().contains(&model) {
        return json_response(
            StatusCode::NOT_FOUND,
            "{\"error\":{\"message\":\"model not loaded\"}}",
        );
    }
    let limit = req["max_tokens"].as_u64().unwrap_or(u64::MAX);
    let tokens = u64::from(shared.options.tokens).min(limit) as u32;
    let generation = Generation {
        shared: Arc::clone(shared),
        chat: path == "/v1/chat/completions",
        model,
        prompt: prompt_text(&req),
        tokens,
        fault,
        include_usage: req["stream_options"]["include_usage"] == true,
    };
    shared.counts.count_run(&generation.prompt);
    let cancel = shared.register(attempt);
    let slot = shared.slots.acquire(priority).await;
    if shared.options.crash_on_mark && generation.prompt.contains(CRASH_MARK) {
        shared.kill.cancel();
        std::future::pending::<()>().await;
    }
    if fault == Fault::InternalError {
        shared.unregister(attempt);
        return json_response(StatusCode::INTERNAL_SERVER_ERROR, "failed");
    }
    if fault == Fault::StallAfter(0) {
        std::future::pending::<()>().await;
    }
    sleep_nonzero(shared.options.first_token).await;
    if req["stream"] == true {
        let (tx, rx) = mpsc::channel(8);
        let shared = Arc::clone(shared);
        let attempt = attempt.to_owned();
        tokio::spawn(async move {
            let _slot = slot;
            let finished = tokio::select! {
                finished = generation.stream(&tx) => finished,
                () = cancel.cancelled() => false,
                () = tx.closed() => false,
            };
            let counter = if finished {
                &shared.counts.finished
            } else {
                &shared.counts.cancelled
            };
            counter.fetch_add(1, Ordering::Relaxed);
            shared.unregister(&attempt);
        });
        let mut resp = Response::new(Body::from_stream(StreamBody::new(ChunkStream(rx))));
        resp.headers_mut().insert(
            http::header::CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        );
        return resp;
    }
    for n in 0..generation.tokens {
        if generation.apply_fault(n).await.is_some() {
            break;
        }
        if !shared.options.token_delay.is_zero() {
            tokio::time::sleep(shared.options.token_delay).await;
        }
    }
    shared
        .counts
        .tokens
        .fetch_add(u64::from(generation.tokens), Ordering::Relaxed);
    shared.counts.finished.fetch_add(1, Ordering::Relaxed);
    shared.unregister(attempt);
    json_response(StatusCode::OK, &generation.full_response())
}
