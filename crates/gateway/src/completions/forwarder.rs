//! Forwarding of a stream from its endpoint to its caller.

use std::time::Duration;
use std::time::Instant;

use anvilloft_types::RunState;
use anvilloft_types::Tokens;
use bytes::Bytes;
use http::StatusCode;
use tokio::sync::mpsc;

use super::AttemptFailure;
use super::EngineStream;
use super::NON_TOKEN_EVENTS;
use crate::body::StreamChunk;
use crate::core_handle::AttemptEnd;
use crate::core_handle::CoreHandle;
use crate::error::Refusal;
use crate::guards::RequestGuard;

/// Timeout for the end of a stream after its `[DONE]`.
const TAIL_TIMEOUT: Duration = Duration::from_secs(1);

/// Forwards a stream from its endpoint to its caller.
pub(super) struct StreamForwarder {
    pub(super) core: CoreHandle,
    pub(super) stream: EngineStream,
    pub(super) guard: RequestGuard,
    pub(super) tx: mpsc::Sender<StreamChunk>,
    pub(super) prompt_estimate: Tokens,
    pub(super) max_tokens: Tokens,
    pub(super) amount: Tokens,
    pub(super) gap: Duration,
    pub(super) write_timeout: Duration,
    pub(super) deadline: Instant,
}

/// How the forwarding of a stream ended.
enum StreamEnd {
    Done,
    CallerGone,
    Limit(&'static str, &'static str),
    Broken(AttemptEnd, String),
}

impl StreamForwarder {
    /// Returns the tokens to settle.
    fn used(&self) -> Tokens {
        let scanner = &self.stream.scanner;
        let counted = scanner.data_events.min(self.max_tokens) + self.prompt_estimate;
        scanner
            .usage
            .map_or(counted, |u| u.total())
            .min(self.amount)
    }

    async fn forward(&mut self) -> StreamEnd {
        let max_events = self.max_tokens.saturating_add(NON_TOKEN_EVENTS);
        let mut out = std::mem::take(&mut self.stream.first);
        let mut progress_at = Instant::now();
        let mut events = self.stream.scanner.data_events;
        loop {
            // Bytes that complete no event with data are no progress.
            if self.stream.scanner.data_events > events {
                events = self.stream.scanner.data_events;
                progress_at = Instant::now();
            }
            let wait = self.gap.saturating_sub(progress_at.elapsed());
            // Kept up to date because the guard settles it if this task is dropped.
            self.guard.used = self.used();
            let done = self.stream.scanner.done;
            if !out.is_empty() || done {
                let chunk = if done {
                    // Settles before the last chunk is sent, because the caller may
                    // read its budget immediately after the end of the stream.
                    let used = self.used();
                    self.guard.settle(used).await;
                    StreamChunk::Last(out)
                } else {
                    StreamChunk::More(out)
                };
                match self.tx.try_send(chunk) {
                    Ok(()) => {}
                    Err(mpsc::error::TrySendError::Closed(_)) => return StreamEnd::CallerGone,
                    Err(mpsc::error::TrySendError::Full(chunk)) => {
                        let send = self.tx.send(chunk);
                        match tokio::time::timeout(self.write_timeout, send).await {
                            Ok(Ok(())) => {}
                            Ok(Err(_)) | Err(_) => return StreamEnd::CallerGone,
                        }
                    }
                }
            }
            if done {
                return StreamEnd::Done;
            }
            if self.stream.scanner.error_seen {
                let reason = "the engine reported an error".to_owned();
                return StreamEnd::Broken(AttemptEnd::Failed, reason);
            }
            if self.stream.scanner.data_events > max_events {
                return StreamEnd::Limit("token_limit", "the stream reached its reserved tokens");
            }
            if Instant::now() >= self.deadline {
                return StreamEnd::Limit("stream_limit", "the stream reached its time limit");
            }
            let next = tokio::select! {
                biased;
                next = self.stream.response.next(wait) => next,
                () = self.tx.closed() => return StreamEnd::CallerGone,
            };
            let chunk = match next {
                Ok(Some(chunk)) => chunk,
                Ok(None) => {
                    let reason = "the engine ended the stream early".to_owned();
                    return StreamEnd::Broken(AttemptEnd::Failed, reason);
                }
                Err(e) => {
                    return StreamEnd::Broken(
                        AttemptFailure::from_client_error(&e, true).end,
                        e.to_string(),
                    );
                }
            };
            out = match self.stream.scanner.push(&chunk, max_events) {
                Ok(out) => out,
                Err(_) => {
                    let reason = "the engine sent an event that is too long".to_owned();
                    return StreamEnd::Broken(AttemptEnd::Failed, reason);
                }
            };
        }
    }

    /// Forwards the stream to its end, and settles it.
    pub(super) async fn run(mut self) {
        let end = self.forward().await;
        let used = self.used();
        let refusal = match end {
            StreamEnd::Done => {
                self.stream.cancel.disarm();
                let tx = self.tx;
                drop(tx);
                // Reads the end of the response, so that the connection returns to
                // the pool.
                let response = &mut self.stream.response;
                let read = async { while let Ok(Some(_)) = response.next(TAIL_TIMEOUT).await {} };
                // An endpoint that goes on sending loses its connection.
                tokio::time::timeout(TAIL_TIMEOUT, read).await.ok();
                return;
            }
            StreamEnd::CallerGone => {
                self.guard.finish(used, AttemptEnd::Cancelled);
                return;
            }
            StreamEnd::Limit(code, message) => {
                self.guard.finish(used, AttemptEnd::Ok);
                Refusal::new(StatusCode::OK, code, message).with_run_state(RunState::Yes)
            }
            StreamEnd::Broken(end, reason) => {
                // Waits for the strike to be committed if the endpoint died, before
                // the caller receives the error.
                self.core
                    .report_failure(self.guard.no, end, false, RunState::Yes, used)
                    .await
                    .ok();
                self.guard.disarm();
                let message = format!("the stream was interrupted: {reason}");
                Refusal::bad_gateway("interrupted", message, RunState::Yes)
            }
        };
        let event = format!("data: {}\n\n", refusal.json());
        let send = self.tx.send(StreamChunk::Last(Bytes::from(event)));
        tokio::time::timeout(self.write_timeout, send).await.ok();
    }
}
