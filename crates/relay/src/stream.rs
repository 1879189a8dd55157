//! The events of an answer on their way to the caller.
//!
//! Whole events are passed on as they arrive. When an endpoint breaks off or
//! falls silent, a resumable stream goes on at another one after the last whole
//! event; the caller sees one answer. Any other stream ends without its end, so
//! the caller can tell.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use anvilloft_dispatch::Outcome;
use anvilloft_gateway::client::ClientError;
use anvilloft_gateway::client::EndpointResponse;
use anvilloft_routes::RouteKind;
use anvilloft_types::prelude::*;
use bytes::Bytes;
use futures::Stream;
use http_body::Frame;
use quick_error::quick_error;

use crate::attempt::Answered;
use crate::attempt::Plan;
use crate::attempt::Progress;
use crate::attempt::Running;
use crate::attempt::send;
use crate::charge::Charge;
use crate::events::EventSplitter;
use crate::shared::Shared;

/// Pauses between events after which an endpoint counts as silent, in longest
/// pauses that are on time. The answer is late by then, and the caller gives up
/// at eight.
const SILENT_GAPS: u32 = 3;

quick_error! {
    /// Why a stream ended before its last event. The caller sees a broken connection.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum StreamError {
        /// The endpoint failed and no other endpoint resumed the stream.
        EndpointFailed {
            display("the endpoint failed before the end of the stream")
        }
        /// The request's deadline passed.
        DeadlineExceeded {
            display("the deadline of the request has passed")
        }
    }
}

struct Events {
    cx: Arc<Shared>,
    plan: Plan,
    progress: Progress,
    charge: Option<Charge>,
    // `None` after the end.
    current: Option<(Running, EndpointResponse)>,
    splitter: EventSplitter,
    /// When the first event came.
    first: Option<Duration>,
}

impl Events {
    /// Returns the next whole events, or `None` at the end.
    async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        loop {
            let (running, answer) = self.current.as_mut()?;
            let left = self.plan.end.saturating_sub(self.cx.now());
            if left.is_zero() {
                return self.fail(StreamError::DeadlineExceeded, Outcome::Cancelled);
            }
            let gap = match self.plan.kind {
                RouteKind::Stream { max_gap, .. } if self.first.is_some() => max_gap * SILENT_GAPS,
                _ => left,
            };
            match answer.next(gap.min(left)).await {
                Ok(Some(piece)) => {
                    let Some(whole) = self.splitter.push(&piece) else {
                        return self.fail(StreamError::EndpointFailed, Outcome::Broken);
                    };
                    if whole.is_empty() {
                        continue;
                    }
                    if self.first.is_none() {
                        self.first = Some(self.cx.now());
                        running.first_event();
                    }
                    if let Some(charge) = &mut self.charge {
                        charge.events = self.splitter.event_count();
                    }
                    return Some(Ok(whole));
                }
                Ok(None) => {
                    let (running, _) = self.current.take()?;
                    let first = self.first.unwrap_or_default();
                    slog::info!(self.cx.log, "stream ended"; "request" => &self.plan.id,
                        "endpoint" => &running.pick.endpoint,
                        "first_ms" => first.saturating_sub(self.plan.started).as_millis() as u64,
                        "events" => self.splitter.event_count(), "endpoints" => self.progress.sent);
                    running.end(Outcome::Ok);
                    let rest = self.splitter.take_remainder();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Err(error) => {
                    if let Err(why) = self.resume(&error).await {
                        return self.fail(why, Outcome::Broken);
                    }
                }
            }
        }
    }

    fn fail(&mut self, why: StreamError, outcome: Outcome) -> Option<Result<Bytes, StreamError>> {
        if let Some((running, _)) = self.current.take() {
            running.end(outcome);
        }
        slog::info!(self.cx.log, "stream broken off"; "request" => &self.plan.id,
            "reason" => %why, "events" => self.splitter.event_count());
        Some(Err(why))
    }

    /// Goes on at another endpoint after the last whole event.
    async fn resume(&mut self, error: &ClientError) -> Result<(), StreamError> {
        let Some((running, answer)) = self.current.take() else {
            return Err(StreamError::EndpointFailed);
        };
        slog::info!(self.cx.log, "endpoint broke off"; "request" => &self.plan.id,
            "endpoint" => &running.pick.endpoint, "error" => %error,
            "events" => self.splitter.event_count());
        // The old connection closes first, so that two runs never overlap.
        drop(answer);
        running.end(Outcome::Broken);
        self.progress.may_have_run = true;
        self.splitter.discard_partial();
        let last = self.splitter.last_id().map(str::to_owned);
        let sent = send(&self.cx, &self.plan, &mut self.progress, last.as_deref()).await;
        match sent {
            Ok(Answered { running, answer }) if answer.status.is_success() => {
                slog::info!(self.cx.log, "stream resumed"; "request" => &self.plan.id,
                    "endpoint" => &running.pick.endpoint, "after" => last);
                self.current = Some((running, answer));
                Ok(())
            }
            Ok(Answered { running, .. }) => {
                running.end(Outcome::Failed);
                Err(StreamError::EndpointFailed)
            }
            Err(_) => Err(StreamError::EndpointFailed),
        }
    }
}

type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, StreamError>> + Send>>;

/// The body of a streamed answer. Dropping it cancels the run.
pub(crate) struct EventBody {
    // The mutex makes the body `Sync`, which the server asks for; it is never
    // locked, only borrowed.
    pieces: Mutex<Pieces>,
}

impl EventBody {
    pub(crate) fn new(
        cx: &Arc<Shared>,
        plan: Plan,
        progress: Progress,
        charge: Option<Charge>,
        running: Running,
        answer: EndpointResponse,
    ) -> Self {
        let events = Events {
            cx: Arc::clone(cx),
            plan,
            progress,
            charge,
            current: Some((running, answer)),
            splitter: EventSplitter::default(),
            first: None,
        };
        let pieces = futures::stream::unfold(Some(events), |events| async move {
            let mut events = events?;
            let piece = events.next().await?;
            let rest = piece.is_ok().then_some(events);
            Some((piece, rest))
        });
        Self {
            pieces: Mutex::new(Box::pin(pieces)),
        }
    }
}

impl http_body::Body for EventBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let pieces = self
            .pieces
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        pieces
            .as_mut()
            .poll_next(cx)
            .map(|piece| piece.map(|result| result.map(Frame::data)))
    }
}
