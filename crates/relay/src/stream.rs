//! Forwarding of a streamed answer to the caller.
//!
//! Whole events are forwarded as they arrive. The answer to the caller begins with the
//! first of them: a stream that fails earlier is refused, or begins at another endpoint,
//! whose header the answer then has. When an endpoint fails or stops
//! sending, a resumable stream is resumed at another endpoint after the last
//! whole event, so that the caller sees a single answer. Any other stream is
//! aborted, so that the caller can tell it from a complete one.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use anvilloft_dispatch::Evidence;
use anvilloft_dispatch::KeepReason;
use anvilloft_dispatch::Outcome;
use anvilloft_dispatch::SilenceTimer;
use anvilloft_gateway::client::ClientError;
use anvilloft_gateway::client::EndpointResponse;
use anvilloft_gateway::serve::AnswerDeadline;
use anvilloft_routes::RouteKind;
use anvilloft_types::prelude::*;
use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use http_body::Frame;
use quick_error::quick_error;
use tokio::time::Instant;
use volo_http::body::Body;

use crate::attempt::Attempt;
use crate::attempt::AttemptResult;
use crate::attempt::EndpointAnswer;
use crate::attempt::InFlightRequest;
use crate::attempt::OutboundRequest;
use crate::attempt::ended_by;
use crate::attempt::judge;
use crate::charge::Charge;
use crate::crashes;
use crate::event_buffer::EventBuffer;
use crate::event_buffer::Read;
use crate::event_buffer::ReturnedTo;
use crate::forward::remove_connection_headers;
use crate::handover::ASK_INTERVAL;
use crate::handover::First;
use crate::handover::HANDOVER_TIMEOUT;
use crate::handover::SilentEndpoint;
use crate::handover::evidence_against;
use crate::handover::is_alive;
use crate::handover::log_silence;
use crate::handover::start_handover;
use crate::handover::wait_for_either;
use crate::progress::LeftEndpoint;
use crate::progress::Progress;
use crate::resume::can_continue;
use crate::resume::resume_stream;
use crate::state::RelayState;

/// Pause between events after which a resumable stream is offered to another endpoint,
/// as a multiple of the route's `max_gap`. The answer is late by then, and callers give
/// up at eight times `max_gap`. Before the first event, the limit is that of an answer's
/// header. Any other stream is never cut for a pause: nobody else could go on with it.
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
    buffer: EventBuffer,
    /// Number of events before those of the current endpoint.
    events_before: u64,
    /// Status and headers of the current answer, until the first event.
    head: http::response::Parts,
    /// When the first event arrived.
    first_event_at: Option<Duration>,
    /// Whether events arrived after the first ones.
    has_progress: bool,
    /// When the last events arrived.
    last_events_at: Duration,
    /// Silence of the current endpoint, since it was last asked or made progress.
    silence: SilenceTimer,
    /// Why the silent endpoint was kept.
    kept_for: Option<KeepReason>,
    /// What supported asking another endpoint last.
    evidence: Evidence,
    /// Longest time between two arrivals of events.
    longest_gap: Duration,
}

/// Returns the timer of the silence between events.
fn gap_timer(outbound: &OutboundRequest, now: Duration) -> SilenceTimer {
    let limit = match outbound.kind {
        RouteKind::Stream { max_gap, .. } => max_gap.saturating_mul(FAILED_AFTER_GAPS),
        _ => Duration::MAX,
    };
    SilenceTimer::new(limit, ASK_INTERVAL, now)
}

impl ResumingStream {
    /// Returns the next whole events, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        loop {
            let has_begun = self.has_begun();
            if has_begun && self.buffer.has_comments() {
                return Some(Ok(self.buffer.take_with(Bytes::new())));
            }
            let (_, answer) = self.current.as_mut()?;
            let now = self.cx.now();
            let left = self.outbound.deadline.saturating_sub(now);
            if left.is_zero() {
                let outcome = match self.silence.is_over(now) {
                    true => Outcome::Silent,
                    false => Outcome::Cancelled,
                };
                return self.fail(StreamError::DeadlineExceeded, outcome);
            }
            // Without an id, another endpoint would begin with the first event, of which the
            // caller must have nothing then.
            let can_move = (!has_begun || self.buffer.splitter.last_id().is_some())
                && self.outbound.kind.is_retryable()
                && self.buffer.can_resume(answer);
            // Bytes that complete no event with data or an id are no progress.
            let wait = match can_move {
                true => self.silence.until_ask(now).min(left),
                false => left,
            };
            let read = match self.buffer.read(answer, wait).await {
                Read::Broken(ClientError::Timeout(_)) if can_move => self.hand_over().await?,
                Read::Broken(ClientError::Timeout(_)) => Read::Nothing,
                read => read,
            };
            match read {
                Read::Events(events) => {
                    self.record_events();
                    return Some(Ok(self.buffer.take_with(events)));
                }
                Read::End => return self.end(),
                Read::UnmarkedEnd => {
                    self.leave_ended();
                    if let Read::Failed(err) = self.resume_at(None).await {
                        return self.fail(err, Outcome::Broken);
                    }
                }
                Read::Broken(e) => {
                    if let Err(err) = self.resume(&e).await {
                        return self.fail(err, Outcome::Broken);
                    }
                }
                Read::Nothing => {}
                Read::Failed(err) => return self.fail(err, Outcome::Broken),
            }
        }
    }

    /// Whether the first event has arrived.
    fn has_begun(&self) -> bool {
        self.first_event_at.is_some()
    }

    fn record_events(&mut self) {
        let now = self.cx.now();
        if self.first_event_at.is_none() {
            self.first_event_at = Some(now);
            self.silence = gap_timer(&self.outbound, now);
        } else {
            if !std::mem::replace(&mut self.has_progress, true) {
                crashes::record_progress(&self.cx, &self.outbound.traits);
            }
            let gap = now.saturating_sub(self.last_events_at);
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.last_events_at = now;
        if let Some((in_flight, _)) = &mut self.current {
            in_flight.record_event();
        }
        self.silence.heard(now);
        self.kept_for = None;
        if let Some(charge) = &mut self.charge {
            charge.events = self.buffer.splitter.event_count();
        }
    }

    /// Ends the stream after its last event.
    fn end(&mut self) -> Option<Result<Bytes, StreamError>> {
        let (in_flight, _) = self.current.take()?;
        crashes::record_answer(&self.cx, &self.outbound.traits);
        let first_event_at = self.first_event_at.unwrap_or_default();
        slog::info!(self.cx.log, "stream ended"; "request" => &self.outbound.id,
            "endpoint" => &in_flight.pick.endpoint,
            "first_ms" => first_event_at
                .saturating_sub(self.outbound.received_at)
                .as_millis() as u64,
            "gap_ms" => self.longest_gap.as_millis() as u64,
            "rank" => self.outbound.level,
            "events" => self.buffer.splitter.event_count(),
            "endpoints" => self.progress.sent_count);
        in_flight.end(Outcome::Ok);
        let rest = self.buffer.take_rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Ends the stream with an error.
    fn fail(&mut self, err: StreamError, outcome: Outcome) -> Option<Result<Bytes, StreamError>> {
        if let Some((in_flight, _)) = self.current.take() {
            in_flight.end(outcome);
        }
        // Without an event, the request is refused.
        if !self.has_begun() {
            return Some(Err(err));
        }
        slog::info!(self.cx.log, "stream broken off"; "request" => &self.outbound.id,
            "reason" => %err, "events" => self.buffer.splitter.event_count(),
            "endpoints" => self.progress.sent_count,
            "table" => self.cx.table.load().version());
        Some(Err(err))
    }

    /// Asks another endpoint to go on with the stream, as the current one is silent. The
    /// current one is kept until the other has the request: the first that is heard goes
    /// on.
    async fn hand_over(&mut self) -> Option<Read> {
        let now = self.cx.now();
        let silent_for = self.silence.silent_for(now);
        let last_event = self.buffer.splitter.last_id().map(str::to_owned);
        let (in_flight, answer) = self.current.as_mut()?;
        let endpoint = in_flight.pick.endpoint.clone();
        let Some(evidence) = evidence_against(&self.cx, &self.silence, in_flight) else {
            self.silence.kept(now);
            self.log_kept(&endpoint, silent_for, KeepReason::NoEvidence);
            return Some(Read::Nothing);
        };
        self.silence.asked(now);
        self.evidence = evidence;
        let (has_begun, incarnation) = (self.first_event_at.is_some(), in_flight.pick.incarnation);
        let silent = SilentEndpoint {
            id: &endpoint,
            silence: self.silence,
            sent_count: self.progress.sent_count,
        };
        let cx = &self.cx;
        let takes_return = || cx.dispatcher().takes_return(now, &endpoint, incarnation);
        let other = match has_begun && !self.silence.is_long(now) && !takes_return() {
            true => Err(KeepReason::Leaving),
            false => start_handover(
                cx,
                &self.outbound,
                &mut self.progress,
                &silent,
                last_event.as_deref(),
            ),
        };
        let mut other = match other {
            Ok(other) => other,
            Err(reason) => {
                self.log_kept(&endpoint, silent_for, reason);
                return Some(Read::Nothing);
            }
        };
        let asked = Ok((other.in_flight.pick.endpoint.as_str(), evidence));
        log_silence(&self.cx, &self.outbound, &endpoint, silent_for, asked);
        let left = self.outbound.deadline.saturating_sub(now);
        let read = self.buffer.read_events(answer, left);
        match wait_for_either(read, &mut other).await {
            First::Current(Read::Broken(e)) => {
                self.close_broken(&e);
                Some(self.resume_at(Some(other)).await)
            }
            First::Current(read) => {
                self.cancel(other);
                Some(read)
            }
            First::Other(sent) => {
                let result = judge(&self.cx, &self.outbound, other, *sent).await;
                self.progress.record(&result);
                match result {
                    AttemptResult::Answered(answered) if can_continue(&answered.answer) => {
                        let asked_for = self.cx.now().saturating_sub(now);
                        let limit = HANDOVER_TIMEOUT.saturating_sub(asked_for);
                        return self.wait_for_first_event(*answered, limit).await;
                    }
                    AttemptResult::Answered(answered) => {
                        answered.discard(&self.cx, &self.outbound);
                    }
                    _ => {}
                }
                Some(Read::Nothing)
            }
            First::Nobody
                if is_alive(&self.cx, &endpoint, self.silence.silent_for(self.cx.now())) =>
            {
                let silent_for = self.silence.silent_for(self.cx.now());
                let reason = Err(KeepReason::AnswersOthers);
                log_silence(&self.cx, &self.outbound, &endpoint, silent_for, reason);
                self.cancel(other);
                Some(Read::Nothing)
            }
            First::Nobody => {
                self.leave_silent();
                Some(self.resume_at(Some(other)).await)
            }
        }
    }

    /// Logs why the silent endpoint is kept, once for each reason.
    fn log_kept(&mut self, endpoint: &str, silent_for: Duration, reason: KeepReason) {
        if self.kept_for.replace(reason) != Some(reason) {
            log_silence(&self.cx, &self.outbound, endpoint, silent_for, Err(reason));
        }
    }

    /// Cancels an attempt that isn't needed now. The stream may come back to its endpoint.
    fn cancel(&mut self, other: Attempt) {
        let left = LeftEndpoint::unneeded(&other.in_flight.pick);
        self.progress.record_left(left);
        self.progress.record_given_up();
    }

    /// Goes on with another endpoint's answer once it brings an event, or after `limit`.
    /// The current endpoint goes on if it is heard before, or if the other one ends or
    /// breaks off without an event.
    async fn wait_for_first_event(
        &mut self,
        mut other: EndpointAnswer,
        limit: Duration,
    ) -> Option<Read> {
        let mut next = self.buffer.for_next(self.cx.client.answers().charge());
        let left = self.outbound.deadline.saturating_sub(self.cx.now());
        let (_, answer) = self.current.as_mut()?;
        let current = self.buffer.read_events(answer, left);
        let following = next.read_events(&mut other.answer, left);
        let read = tokio::select! {
            biased;
            read = current => Err(read),
            read = following => Ok(read),
            () = tokio::time::sleep(limit) => Ok(Read::Nothing),
        };
        match read {
            Err(Read::Broken(e)) => {
                self.close_broken(&e);
                self.take_over(other, next);
                Some(Read::Nothing)
            }
            Err(read) => {
                let left = LeftEndpoint::unneeded(&other.in_flight.pick);
                self.progress.record_left(left);
                Some(read)
            }
            Ok(Read::Broken(e)) => {
                let EndpointAnswer { in_flight, answer } = other;
                slog::info!(self.cx.log, "answer discarded"; "request" => &self.outbound.id,
                    "endpoint" => &in_flight.pick.endpoint, "error" => %e);
                if e.is_connection_failure() {
                    crashes::record_broken(&self.cx, &in_flight, &self.outbound.traits);
                }
                answer.close();
                in_flight.end(Outcome::Broken);
                Some(Read::Nothing)
            }
            Ok(read) => {
                self.leave_silent();
                self.take_over(other, next);
                Some(read)
            }
        }
    }

    /// Goes on with an answer of which a part was read.
    fn take_over(&mut self, answered: EndpointAnswer, next: EventBuffer) {
        let events_before = self.buffer.splitter.event_count();
        self.buffer.replace(next);
        self.go_on_with(answered);
        self.events_before = events_before;
    }

    /// Closes the connection to the current endpoint, so that its run ends. Returns
    /// whether another endpoint can go on with the stream.
    fn close_current(&mut self, by: &str, error: &str, outcome: Outcome) -> bool {
        let Some((in_flight, answer)) = self.current.take() else {
            return false;
        };
        let can_resume = self.buffer.can_resume(&answer);
        answer.close();
        let silent_for = self.silence.silent_for(self.cx.now());
        slog::info!(self.cx.log, "endpoint broke off"; "request" => &self.outbound.id,
            "endpoint" => &in_flight.pick.endpoint, "error" => error,
            "by" => by, "events" => self.buffer.splitter.event_count(),
            "silent_ms" => silent_for.as_millis() as u64);
        in_flight.end(outcome);
        self.progress.may_have_run = true;
        let has_begun = self.has_begun();
        self.buffer.reset(has_begun);
        can_resume
    }

    /// Closes the connection to the current endpoint, which may be sound.
    fn leave_silent(&mut self) {
        if let Some((in_flight, _)) = &self.current {
            let returned_to = self.buffer.returned_to;
            let has_sent = self.buffer.splitter.event_count() > self.events_before
                || returned_to != ReturnedTo::None;
            let last_event = self.buffer.splitter.last_id().filter(|_| has_sent);
            self.progress.record_left(LeftEndpoint {
                pick: in_flight.pick.clone(),
                last_event: last_event.map(str::to_owned),
                has_ended: returned_to == ReturnedTo::EndedBefore,
                was_unneeded: false,
            });
        }
        self.cx
            .metrics
            .record_silent_endpoint_left(self.evidence.as_str());
        let error = "silent while another endpoint has the request";
        self.close_current("router", error, Outcome::Silent);
    }

    /// Leaves an endpoint that has ended the stream in a way that can't be told from a break,
    /// so that it is asked again.
    fn leave_ended(&mut self) {
        let Some((in_flight, _)) = self.current.take() else {
            return;
        };
        slog::info!(self.cx.log, "end to be confirmed"; "request" => &self.outbound.id,
            "endpoint" => &in_flight.pick.endpoint,
            "events" => self.buffer.splitter.event_count());
        self.progress.record_left(LeftEndpoint {
            pick: in_flight.pick.clone(),
            last_event: self.buffer.splitter.last_id().map(str::to_owned),
            has_ended: true,
            was_unneeded: false,
        });
        in_flight.end(Outcome::Ok);
        self.progress.may_have_run = true;
        self.buffer.reset(true);
    }

    /// Closes the connection to an endpoint that broke the stream. Returns whether another
    /// endpoint can go on with it.
    fn close_broken(&mut self, error: &ClientError) -> bool {
        if let Some((in_flight, _)) = &self.current
            && error.is_connection_failure()
        {
            crashes::record_broken(&self.cx, in_flight, &self.outbound.traits);
        }
        let outcome = match error {
            ClientError::Timeout(_) => Outcome::Silent,
            _ => Outcome::Broken,
        };
        self.close_current(ended_by(error), &error.to_string(), outcome)
    }

    fn go_on_with(&mut self, answered: EndpointAnswer) {
        let EndpointAnswer { in_flight, answer } = answered;
        slog::info!(self.cx.log, "stream resumed"; "request" => &self.outbound.id,
            "endpoint" => &in_flight.pick.endpoint, "after" => self.buffer.splitter.last_id());
        if !self.has_begun() {
            self.head = response_head(&answer);
        }
        self.current = Some((in_flight, answer));
        self.events_before = self.buffer.splitter.event_count();
        self.buffer.returned_to = ReturnedTo::None;
        let now = self.cx.now();
        match (self.has_begun(), &self.current) {
            (false, Some((in_flight, _))) => {
                self.silence = self.outbound.first_event_timer(in_flight.sent_at, now);
            }
            _ => self.silence.heard(now),
        }
        self.kept_for = None;
    }

    /// Resumes the stream at another endpoint after the last whole event.
    async fn resume(&mut self, error: &ClientError) -> Result<(), StreamError> {
        if !self.close_broken(error) {
            return Err(StreamError::EndpointFailed);
        }
        match self.resume_at(None).await {
            Read::Failed(err) => Err(err),
            _ => Ok(()),
        }
    }

    /// Resumes the stream at the endpoint of a running attempt, or at any other.
    async fn resume_at(&mut self, running: Option<Attempt>) -> Read {
        let last_event = self.buffer.splitter.last_id().map(str::to_owned);
        let (cx, outbound) = (&self.cx, &self.outbound);
        let last_event = last_event.as_deref();
        match resume_stream(cx, outbound, &mut self.progress, last_event, running).await {
            Ok((answered, returned_to)) => {
                self.go_on_with(answered);
                self.buffer.returned_to = returned_to;
                Read::Nothing
            }
            Err(err) => Read::Failed(err),
        }
    }
}

/// Returns the status and the headers that the caller gets with an answer.
pub(crate) fn response_head(answer: &EndpointResponse) -> http::response::Parts {
    let mut head = http::Response::new(()).into_parts().0;
    head.status = answer.status;
    head.headers = answer.headers.clone();
    remove_connection_headers(&mut head.headers);
    head
}

type EventStream = Pin<Box<dyn Stream<Item = Result<Bytes, StreamError>> + Send>>;

/// Body of a streamed answer. Dropping it cancels the request at the endpoint.
pub(crate) struct EventBody {
    // The mutex makes the body `Sync`, which the server requires. It is never
    // locked, only borrowed mutably.
    events: Mutex<EventStream>,
}

impl EventBody {
    /// Waits for the first events of an answer. Returns the answer for the caller, which
    /// has the header of the endpoint that sent them.
    ///
    /// # Errors
    ///
    /// Returns why the stream failed before its first event. An endpoint may have run the
    /// request.
    pub(crate) async fn begin(
        cx: &Arc<RelayState>,
        outbound: OutboundRequest,
        progress: Progress,
        charge: Option<Charge>,
        in_flight: InFlightRequest,
        answer: EndpointResponse,
    ) -> Result<http::Response<Body>, StreamError> {
        let silence = outbound.first_event_timer(in_flight.sent_at, cx.now());
        let left = outbound.deadline.saturating_sub(cx.now());
        let deadline = Instant::now().checked_add(left);
        let mut source = ResumingStream {
            cx: Arc::clone(cx),
            outbound,
            progress,
            charge,
            head: response_head(&answer),
            current: Some((in_flight, answer)),
            buffer: EventBuffer::new(cx.client.answers().charge()),
            events_before: 0,
            first_event_at: None,
            has_progress: false,
            last_events_at: Duration::ZERO,
            silence,
            kept_for: None,
            evidence: Evidence::Silence,
            longest_gap: Duration::ZERO,
        };
        let first = source.next().await.transpose()?;
        let head = std::mem::replace(&mut source.head, http::Response::new(()).into_parts().0);
        let rest = futures::stream::unfold(Some(source), |source| async move {
            let mut source = source?;
            let result = source.next().await?;
            let next = result.is_ok().then_some(source);
            Some((result, next))
        });
        let events = futures::stream::iter(first.map(Ok)).chain(rest);
        let body = Self {
            events: Mutex::new(Box::pin(events)),
        };
        let mut resp = http::Response::from_parts(head, Body::from_body(body));
        // The events aren't asked for while the caller reads nothing.
        if let Some(at) = deadline {
            resp.extensions_mut().insert(AnswerDeadline(at));
        }
        Ok(resp)
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
