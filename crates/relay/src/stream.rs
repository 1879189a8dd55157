//! Forwarding of a streamed answer to the caller.
//!
//! Whole events are forwarded as they arrive. When an endpoint fails or stops
//! sending, a resumable stream is resumed at another endpoint after the last
//! whole event, so that the caller sees a single answer. Any other stream is
//! aborted, so that the caller can tell it from a complete one.

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

use crate::attempt::EndpointAnswer;
use crate::attempt::InFlightRequest;
use crate::attempt::OutboundRequest;
use crate::attempt::Progress;
use crate::charge::Charge;
use crate::events::EventSplitter;
use crate::resume::find_continuation;
use crate::resume::is_cut_off;
use crate::resume::is_event_stream;
use crate::state::RelayState;

/// Pause between events after which a resumable stream goes on at another endpoint, as
/// a multiple of the route's `max_gap`. The answer is late by then, and callers give up
/// at eight times `max_gap`. Any other stream is never cut for a pause: nobody else
/// could go on with it.
const FAILED_AFTER_GAPS: u32 = 3;

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

/// The events of a streamed answer, which may come from several endpoints.
struct ResumingStream {
    cx: Arc<RelayState>,
    outbound: OutboundRequest,
    progress: Progress,
    charge: Option<Charge>,
    /// Current endpoint and its answer; `None` after the end of the stream.
    current: Option<(InFlightRequest, EndpointResponse)>,
    splitter: EventSplitter,
    /// When the first event arrived.
    first_event_at: Option<Duration>,
    /// When the last events arrived.
    last_events_at: Duration,
    /// When the current endpoint made progress, or was asked to go on.
    progress_at: Duration,
    /// Longest time between two arrivals of events.
    longest_gap: Duration,
}

impl ResumingStream {
    /// Returns the next whole events, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        loop {
            let (in_flight, answer) = self.current.as_mut()?;
            let left = self.outbound.deadline.saturating_sub(self.cx.now());
            if left.is_zero() {
                return self.fail(StreamError::DeadlineExceeded, Outcome::Cancelled);
            }
            // Bytes that complete no event with data or an id are no progress.
            let wait = match self.outbound.kind {
                RouteKind::Stream {
                    max_gap,
                    resumable: true,
                } if self.first_event_at.is_some() => {
                    let silent_for = self.cx.now().saturating_sub(self.progress_at);
                    (max_gap * FAILED_AFTER_GAPS).saturating_sub(silent_for)
                }
                _ => left,
            };
            match answer.next(wait.min(left)).await {
                Ok(Some(bytes)) => {
                    let count_before = self.splitter.event_count();
                    let Some(events) = self.splitter.push(&bytes) else {
                        let error = ClientError::Broken("an event that can't follow".into());
                        if let Err(err) = self.resume(&error).await {
                            return self.fail(err, Outcome::Broken);
                        }
                        continue;
                    };
                    if events.is_empty() {
                        continue;
                    }
                    if self.splitter.event_count() == count_before {
                        return Some(Ok(events));
                    }
                    let now = self.cx.now();
                    if self.first_event_at.is_none() {
                        self.first_event_at = Some(now);
                        in_flight.record_first_event();
                    } else {
                        let gap = now.saturating_sub(self.last_events_at);
                        self.longest_gap = self.longest_gap.max(gap);
                    }
                    self.last_events_at = now;
                    self.progress_at = now;
                    if let Some(charge) = &mut self.charge {
                        charge.events = self.splitter.event_count();
                    }
                    return Some(Ok(events));
                }
                Ok(None) if is_cut_off(&self.splitter, answer) => {
                    let error = ClientError::Broken("the end before the last event".into());
                    if let Err(err) = self.resume(&error).await {
                        return self.fail(err, Outcome::Broken);
                    }
                }
                Ok(None) => {
                    let (in_flight, _) = self.current.take()?;
                    let first_event_at = self.first_event_at.unwrap_or_default();
                    slog::info!(self.cx.log, "stream ended"; "request" => &self.outbound.id,
                        "endpoint" => &in_flight.pick.endpoint,
                        "first_ms" => first_event_at
                            .saturating_sub(self.outbound.received_at)
                            .as_millis() as u64,
                        "gap_ms" => self.longest_gap.as_millis() as u64,
                        "rank" => self.outbound.level,
                        "events" => self.splitter.event_count(),
                        "endpoints" => self.progress.sent_count);
                    in_flight.end(Outcome::Ok);
                    let rest = self.splitter.take_remainder();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Err(error) => {
                    if let Err(err) = self.resume(&error).await {
                        return self.fail(err, Outcome::Broken);
                    }
                }
            }
        }
    }

    /// Ends the stream with an error.
    fn fail(&mut self, err: StreamError, outcome: Outcome) -> Option<Result<Bytes, StreamError>> {
        if let Some((in_flight, _)) = self.current.take() {
            in_flight.end(outcome);
        }
        slog::info!(self.cx.log, "stream broken off"; "request" => &self.outbound.id,
            "reason" => %err, "events" => self.splitter.event_count());
        Some(Err(err))
    }

    /// Resumes the stream at another endpoint after the last whole event.
    async fn resume(&mut self, error: &ClientError) -> Result<(), StreamError> {
        let Some((in_flight, answer)) = self.current.take() else {
            return Err(StreamError::EndpointFailed);
        };
        slog::info!(self.cx.log, "endpoint broke off"; "request" => &self.outbound.id,
            "endpoint" => &in_flight.pick.endpoint, "error" => %error,
            "events" => self.splitter.event_count());
        let can_resume = is_event_stream(&answer) && self.splitter.can_resume();
        // Closes the old connection first, so that two runs never overlap.
        drop(answer);
        in_flight.end(Outcome::Broken);
        self.progress.may_have_run = true;
        if !can_resume {
            return Err(StreamError::EndpointFailed);
        }
        self.splitter.resume();
        let last_event = self.splitter.last_id().map(str::to_owned);
        let sent = find_continuation(
            &self.cx,
            &self.outbound,
            &mut self.progress,
            last_event.as_deref(),
        )
        .await;
        match sent {
            Ok(EndpointAnswer { in_flight, answer }) => {
                slog::info!(self.cx.log, "stream resumed"; "request" => &self.outbound.id,
                    "endpoint" => &in_flight.pick.endpoint, "after" => last_event);
                self.current = Some((in_flight, answer));
                self.progress_at = self.cx.now();
                Ok(())
            }
            Err(_) => Err(StreamError::EndpointFailed),
        }
    }
}

type EventStream = Pin<Box<dyn Stream<Item = Result<Bytes, StreamError>> + Send>>;

/// Body of a streamed answer. Dropping it cancels the request at the endpoint.
pub(crate) struct EventBody {
    // The mutex makes the body `Sync`, which the server requires. It is never
    // locked, only borrowed mutably.
    events: Mutex<EventStream>,
}

impl EventBody {
    pub(crate) fn new(
        cx: &Arc<RelayState>,
        outbound: OutboundRequest,
        progress: Progress,
        charge: Option<Charge>,
        in_flight: InFlightRequest,
        answer: EndpointResponse,
    ) -> Self {
        let source = ResumingStream {
            cx: Arc::clone(cx),
            outbound,
            progress,
            charge,
            current: Some((in_flight, answer)),
            splitter: EventSplitter::default(),
            first_event_at: None,
            last_events_at: Duration::ZERO,
            progress_at: Duration::ZERO,
            longest_gap: Duration::ZERO,
        };
        let events = futures::stream::unfold(Some(source), |source| async move {
            let mut source = source?;
            let result = source.next().await?;
            let next = result.is_ok().then_some(source);
            Some((result, next))
        });
        Self {
            events: Mutex::new(Box::pin(events)),
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
        let events = self
            .events
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        events
            .as_mut()
            .poll_next(cx)
            .map(|item| item.map(|result| result.map(Frame::data)))
    }
}
