//! Sending of a request to endpoints, with retries.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use anvilloft_dispatch::DispatchRequest;
use anvilloft_dispatch::KeepReason;
use anvilloft_dispatch::NoEndpoint;
use anvilloft_dispatch::Outcome;
use anvilloft_dispatch::Pick;
use anvilloft_dispatch::PromptPart;
use anvilloft_dispatch::RequestTraits;
use anvilloft_dispatch::SentState;
use anvilloft_dispatch::SilenceTimer;
use anvilloft_dispatch::StoppingRequest;
use anvilloft_dispatch::sound_engine_wait;
use anvilloft_gateway::client::ClientError;
use anvilloft_gateway::client::EndpointResponse;
use anvilloft_gateway::client::SendError;
use anvilloft_gateway::memory::BodyMemoryGuard;
use anvilloft_routes::Region;
use anvilloft_routes::RouteKind;
use anvilloft_types::availability::EndpointNotice;
use anvilloft_types::lock;
use anvilloft_types::prelude::*;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http_body_util::Full;

use crate::adapter::ExecutionStatus;
use crate::adapter::ForwardContext;
use crate::crashes;
use crate::handover::ASK_INTERVAL;
use crate::handover::wait_for_answer;
use crate::progress::Progress;
use crate::state::OpenRequestGuard;
use crate::state::RelayState;

/// Maximum number of failed connects for one request. An endpoint that can't be
/// reached has not received the request, so it doesn't count towards the
/// route's `max_endpoints`.
const MAX_UNREACHABLE: u32 = 3;
/// Time after which a retryable request without an answer is offered to another
/// endpoint, as a multiple of the route's latency objective.
const STALL_FACTOR_PLAIN: f64 = 2.0;
/// The same for a stream, whose objective is for its first event.
const STALL_FACTOR_STREAM: f64 = 1.5;

/// Maximum time to read the body of an endpoint's refusal. Without its end, the
/// connection is closed.
pub(crate) const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// A caller's request, ready to be sent to any endpoint of its service.
pub(crate) struct OutboundRequest {
    pub(crate) request_no: RequestNo,
    /// Id of the request, for logs.
    pub(crate) id: String,
    pub(crate) service: ServiceName,
    pub(crate) engine_memory: Option<Tokens>,
    /// Regions of the endpoints that it may be sent to; `None` for all.
    pub(crate) allowed_regions: Option<Vec<Region>>,
    pub(crate) kind: RouteKind,
    pub(crate) objective: Duration,
    pub(crate) max_endpoints: u32,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Keeps the body counted against the memory limit while it may be sent again.
    pub(crate) _body_memory: BodyMemoryGuard,
    /// Counts the request against the limit of open requests.
    pub(crate) _open: OpenRequestGuard,
    pub(crate) prompt: Vec<PromptPart>,
    pub(crate) traits: RequestTraits,
    pub(crate) team: Option<TeamId>,
    pub(crate) urgency: u8,
    /// Level of the route, 0 most urgent.
    pub(crate) level: u8,
    /// When the request was received, by the relay's clock.
    pub(crate) received_at: Duration,
    /// When the whole answer is due, by the same clock.
    pub(crate) deadline: Duration,
}

impl OutboundRequest {
    fn dispatch_request<'a>(&'a self, tried: &'a [EndpointId]) -> DispatchRequest<'a> {
        DispatchRequest {
            service: &self.service,
            engine_memory: self.engine_memory,
            level: self.level,
            max_gap: match self.kind {
                RouteKind::Stream { max_gap, .. } => Some(max_gap),
                _ => None,
            },
            prompt: &self.prompt,
            tried,
            allowed_regions: self.allowed_regions.as_deref(),
        }
    }

    /// Returns how long to wait for an answer's header while the request can still
    /// be sent to another endpoint.
    pub(crate) fn stall_timeout(&self) -> Duration {
        let factor = match self.kind.is_stream() {
            true => STALL_FACTOR_STREAM,
            false => STALL_FACTOR_PLAIN,
        };
        self.objective.mul_f64(factor)
    }

    /// Whether two endpoints may work on the request for long. Two engines may not.
    pub(crate) fn may_overlap(&self) -> bool {
        self.kind.is_retryable() && !self.kind.is_stream() && self.engine_memory.is_none()
    }

    /// Returns the timer of the silence of an endpoint that was heard, or got the request,
    /// at `now`.
    pub(crate) fn stall_timer(&self, now: Duration) -> SilenceTimer {
        SilenceTimer::new(self.stall_timeout(), ASK_INTERVAL, now)
    }

    /// Returns the timer of the silence before the first event, of an endpoint that got the
    /// request at `sent_at` and was heard at `now`.
    pub(crate) fn first_event_timer(&self, sent_at: Duration, now: Duration) -> SilenceTimer {
        let timer = self.stall_timer(now);
        if !self.kind.is_stream() || self.engine_memory.is_none() {
            return timer;
        }
        let wait = sound_engine_wait(self.objective, self.stall_timeout());
        timer.keep_sound_until(sent_at.saturating_add(wait))
    }
}

/// Counts a request as in flight at an endpoint until it ends. Dropping it
/// records the request as cancelled.
pub(crate) struct InFlightRequest {
    cx: Arc<RelayState>,
    pub(crate) pick: Pick,
    request_no: RequestNo,
    /// When the endpoint was chosen for the request.
    pub(crate) sent_at: Duration,
    /// Whether no pooled connection may be used.
    new_connection: bool,
    /// Whether another endpoint had broken the request off before it was sent here.
    pub(crate) sent_on: bool,
    /// Whether an event of a stream has arrived.
    has_event: bool,
    ended: bool,
}

impl InFlightRequest {
    /// Records the outcome of the request at this endpoint.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.record_end(outcome);
    }

    fn record_end(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.cx.now();
            let (id, incarnation) = (&self.pick.endpoint, self.pick.incarnation);
            self.cx
                .dispatcher()
                .finished(now, id, incarnation, self.request_no, outcome);
        }
    }

    /// Records the arrival of events of a stream from this endpoint.
    pub(crate) fn record_event(&mut self) {
        if std::mem::replace(&mut self.has_event, true) {
            return;
        }
        let now = self.cx.now();
        self.cx
            .dispatcher()
            .first_event(now, &self.pick.endpoint, self.request_no);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.record_end(Outcome::Cancelled);
    }
}

/// Returns which side ended an attempt, for logs.
pub(crate) fn ended_by(error: &ClientError) -> &'static str {
    match error {
        ClientError::Timeout(_) | ClientError::NoMemory => "router",
        _ => "endpoint",
    }
}

/// An endpoint's answer, of which the header was read.
pub(crate) struct EndpointAnswer {
    pub(crate) in_flight: InFlightRequest,
    pub(crate) answer: EndpointResponse,
}

impl EndpointAnswer {
    /// Whether the endpoint reports a failure of its own.
    pub(crate) fn is_failure(&self) -> bool {
        self.answer.status.is_server_error()
    }

    /// Discards the answer, as another endpoint still has the request.
    pub(crate) fn discard(self, cx: &RelayState, outbound: &OutboundRequest) {
        slog::info!(cx.log, "answer discarded"; "request" => &outbound.id,
            "endpoint" => &self.in_flight.pick.endpoint, "status" => self.answer.status.as_u16());
        let outcome = match self.is_failure() {
            true => Outcome::Failed,
            false => Outcome::Ok,
        };
        self.in_flight.end(outcome);
    }
}

/// Result of sending a request, up to the header of the answer.
pub(crate) type SendResult = Result<EndpointResponse, SendError>;

/// A request that was sent to an endpoint and waits for the header of the answer.
/// Dropping it closes the connection.
pub(crate) struct Attempt {
    pub(crate) in_flight: InFlightRequest,
    pub(crate) sent: Pin<Box<dyn Future<Output = SendResult> + Send>>,
    started_at: Duration,
    is_connected: Arc<AtomicBool>,
}

impl Attempt {
    /// Whether there is a connection to the endpoint.
    pub(crate) fn is_connected(&self) -> bool {
        self.is_connected.load(Ordering::Relaxed)
    }

    pub(crate) fn silence_timer(&self, outbound: &OutboundRequest) -> SilenceTimer {
        outbound.stall_timer(self.started_at)
    }

    /// Closes the connection, as another endpoint has the request.
    pub(crate) fn give_up(self) {
        drop(self.sent);
        self.in_flight.end(Outcome::Silent);
    }
}

/// Why no endpoint answered a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendFailure {
    /// The service has no endpoint that accepts requests.
    NoEndpoint,
    /// The endpoints are at capacity.
    Full,
    /// All endpoints asked for a pause. The first one ends after this time.
    Paused(Duration),
    /// The endpoints are cold, and this router has no free share there. The first share or
    /// endpoint becomes free after this time.
    Cold(Duration),
    /// All endpoints are in evacuated data centres.
    Evacuated,
    /// The planned stop of this router leaves the request too little time.
    Stopping,
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// Connections to endpoints could not be opened or were broken.
    ConnectionFailed,
}

/// Sends a request to endpoints until one answers, as far as its kind, the
/// route and the retry budget allow.
///
/// `last_event` is the id of the event after which a stream is resumed. `running` is an
/// attempt that was started already.
pub(crate) async fn send_request(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    progress: &mut Progress,
    last_event: Option<&str>,
    mut running: Option<Attempt>,
) -> Result<EndpointAnswer, SendFailure> {
    let mut last_failure = SendFailure::NoEndpoint;
    loop {
        let left = outbound.deadline.saturating_sub(cx.now());
        if left.is_zero() {
            return Err(SendFailure::DeadlineExceeded);
        }
        let attempt = match running.take() {
            Some(attempt) => attempt,
            None => {
                let in_flight = next_endpoint(cx, outbound, progress, last_failure)?;
                let attempt = start_attempt(cx, outbound, in_flight, left, last_event);
                attempt.ok_or(SendFailure::ConnectionFailed)?
            }
        };
        let (result, other) = wait_for_answer(cx, outbound, progress, attempt, last_event).await;
        running = other;
        progress.record(&result);
        match result {
            AttemptResult::Answered(answered) if running.is_some() && answered.is_failure() => {
                answered.discard(cx, outbound);
                progress.may_have_run = true;
                last_failure = SendFailure::ConnectionFailed;
            }
            AttemptResult::Answered(answered) => {
                if running.is_some() {
                    progress.record_given_up();
                }
                return Ok(*answered);
            }
            AttemptResult::NotRun(failure, _) => last_failure = failure,
            AttemptResult::Unreachable => {
                last_failure = SendFailure::ConnectionFailed;
                if running.is_none() && progress.unreachable_count >= MAX_UNREACHABLE {
                    return Err(last_failure);
                }
            }
            AttemptResult::Unknown => last_failure = SendFailure::ConnectionFailed,
        }
    }
}

/// Checks whether a request may be sent to one more endpoint.
pub(crate) fn may_send_again(
    cx: &RelayState,
    outbound: &OutboundRequest,
    state: &SentState,
) -> Result<(), KeepReason> {
    match lock(&cx.crashes).is_quarantined(&outbound.traits) {
        true => Err(KeepReason::Quarantined),
        false => state.may_send_again(),
    }
}

/// Chooses the next endpoint of a request that no endpoint has.
fn next_endpoint(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    progress: &mut Progress,
    last_failure: SendFailure,
) -> Result<InFlightRequest, SendFailure> {
    let is_retry = progress.sent_count > 0;
    let not_sent_again = |reason: KeepReason| {
        slog::info!(cx.log, "not sent again"; "request" => &outbound.id,
            "reason" => reason.as_str(), "sent" => progress.sent_count);
        last_failure
    };
    if is_retry {
        may_send_again(cx, outbound, &progress.state(outbound)).map_err(not_sent_again)?;
    }
    check_stop(cx, outbound, is_retry)?;
    let pick = match choose_endpoint(cx, outbound, progress) {
        Ok(pick) => pick,
        Err(NoEndpoint::Paused(left)) => return Err(SendFailure::Paused(left)),
        Err(NoEndpoint::Cold(left)) => return Err(SendFailure::Cold(left)),
        Err(NoEndpoint::Tried) if !is_retry && progress.unreachable_count > 0 => {
            return Err(SendFailure::ConnectionFailed);
        }
        Err(NoEndpoint::Evacuated) if last_failure == SendFailure::NoEndpoint => {
            return Err(SendFailure::Evacuated);
        }
        Err(NoEndpoint::None | NoEndpoint::Tried | NoEndpoint::Evacuated) => {
            return Err(last_failure);
        }
    };
    // A retry that isn't sent must not use up the budget, so this is last.
    if is_retry && !cx.try_retry(&outbound.service) {
        return Err(not_sent_again(KeepReason::RetryBudget));
    }
    Ok(take_endpoint(cx, outbound, progress, pick))
}

/// Checks whether a planned stop leaves a request the time that it may take.
fn check_stop(
    cx: &RelayState,
    outbound: &OutboundRequest,
    was_sent: bool,
) -> Result<(), SendFailure> {
    let req = StoppingRequest {
        deadline: outbound.deadline,
        repeatable: outbound.kind.is_retryable(),
        was_sent,
    };
    match cx.stop.get() {
        Some(stop) if !stop.may_send(cx.now(), &req) => Err(SendFailure::Stopping),
        _ => Ok(()),
    }
}

/// Counts a request as in flight at the endpoint that was chosen for it.
fn take_endpoint(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    progress: &mut Progress,
    pick: Pick,
) -> InFlightRequest {
    let dispatch_req = outbound.dispatch_request(&progress.tried);
    cx.dispatcher()
        .started(cx.now(), &pick.endpoint, outbound.request_no, &dispatch_req);
    if pick.is_cold {
        cx.metrics.cold_requests.inc();
    }
    progress.tried.push(pick.endpoint.clone());
    // On a kept connection, a second copy of the answer to the earlier attempt would
    // have the expected id. After a break, idle connections to other endpoints may be
    // stale too.
    let new_connection = progress.may_have_run || progress.addresses.contains(&pick.address);
    progress.addresses.push(pick.address);
    InFlightRequest {
        cx: Arc::clone(cx),
        pick,
        request_no: outbound.request_no,
        sent_at: cx.now(),
        new_connection,
        sent_on: progress.may_have_run,
        has_event: false,
        ended: false,
    }
}

/// Chooses a usable endpoint for a request that another endpoint still has, with a free
/// slot if `needs_free_slot`, and takes a retry from the budget.
pub(crate) fn reserve_endpoint(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    progress: &mut Progress,
    needs_free_slot: bool,
) -> Result<InFlightRequest, KeepReason> {
    let now = cx.now();
    let dispatch_req = outbound.dispatch_request(&progress.tried);
    let pick = cx
        .dispatcher()
        .choose_usable(now, &dispatch_req, needs_free_slot);
    let pick = pick.ok_or(KeepReason::NoneUsable)?;
    if !cx.try_retry(&outbound.service) {
        return Err(KeepReason::RetryBudget);
    }
    let mut in_flight = take_endpoint(cx, outbound, progress, pick);
    // An idle connection doesn't show that the endpoint can still be reached.
    in_flight.new_connection = true;
    Ok(in_flight)
}

/// Takes a silent endpoint that was left for the request once more, and a retry from the
/// budget.
pub(crate) fn reserve_again(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    progress: &mut Progress,
    pick: Pick,
) -> Result<InFlightRequest, KeepReason> {
    let mut state = progress.state(outbound);
    // It counts as one of the route's endpoints already.
    state.sent = state.sent.saturating_sub(1);
    may_send_again(cx, outbound, &state)?;
    if !cx.try_retry(&outbound.service) {
        return Err(KeepReason::RetryBudget);
    }
    if !cx.dispatcher().take_return(cx.now(), &pick.endpoint) {
        return Err(KeepReason::NoneUsable);
    }
    progress.is_return = true;
    Ok(take_endpoint(cx, outbound, progress, pick))
}

fn choose_endpoint(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    progress: &Progress,
) -> Result<Pick, NoEndpoint> {
    let now = cx.now();
    let mut dispatcher = cx.dispatcher();
    let dispatch_req = outbound.dispatch_request(&progress.tried);
    let pick = dispatcher.choose(now, &dispatch_req);
    let known_count = dispatcher.len();
    drop(dispatcher);
    match &pick {
        Ok(pick) => {
            anvilloft_telemetry::decision!(cx.log, "route"; "request" => &outbound.id,
                "service" => &outbound.service, "endpoint" => &pick.endpoint,
                "incarnation" => pick.incarnation, "reason" => ?pick.reason,
                "candidates" => pick.candidates, "cold" => pick.is_cold, "sent" => progress.sent_count,
                "left_ms" => outbound.deadline.saturating_sub(now).as_millis() as u64);
        }
        Err(err) => {
            anvilloft_telemetry::decision!(cx.log, "no endpoint"; "request" => &outbound.id,
                "service" => &outbound.service, "reason" => ?err, "known" => known_count,
                "sent" => progress.sent_count);
        }
    }
    pick
}

/// Result of sending a request to one endpoint.
pub(crate) enum AttemptResult {
    Answered(Box<EndpointAnswer>),
    /// The endpoint did not run the request.
    NotRun(SendFailure, EndpointId),
    /// Nothing was sent, as no connection could be opened.
    Unreachable,
    /// The connection failed after part of the request was sent.
    Unknown,
}

/// Sends a request to the endpoint that was chosen for it. Returns `None` when the
/// request can't be built.
pub(crate) fn start_attempt(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    in_flight: InFlightRequest,
    left: Duration,
    last_event: Option<&str>,
) -> Option<Attempt> {
    let Some(req) = build_request(cx, outbound, &in_flight, left, last_event) else {
        // The caller's header was accepted, so this can't happen with a correct
        // adapter. Nothing was sent.
        slog::error!(cx.log, "can't build the request to an endpoint"; "request" => &outbound.id);
        return None;
    };
    let id_header = cx.adapter.request_id_header();
    let (address, new_connection) = (in_flight.pick.address, in_flight.new_connection);
    let client = Arc::clone(&cx.client);
    let is_connected = Arc::new(AtomicBool::new(false));
    let connected = {
        let is_connected = Arc::clone(&is_connected);
        move || is_connected.store(true, Ordering::Relaxed)
    };
    let sent = async move {
        client
            .exchange_observed(address, req, &id_header, left, new_connection, connected)
            .await
    };
    Some(Attempt {
        in_flight,
        is_connected,
        sent: Box::pin(sent),
        started_at: cx.now(),
    })
}

/// Returns the result of an attempt, and records it at the endpoint.
pub(crate) async fn judge(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    attempt: Attempt,
    sent: SendResult,
) -> AttemptResult {
    let Attempt {
        in_flight,
        started_at,
        ..
    } = attempt;
    let mut answer = match sent {
        Ok(answer) => answer,
        Err(e) => {
            let waited = cx.now().saturating_sub(started_at);
            slog::info!(cx.log, "attempt failed"; "request" => &outbound.id,
                "endpoint" => &in_flight.pick.endpoint, "written" => e.written,
                "error" => %e.error, "by" => ended_by(&e.error),
                "silent_ms" => waited.as_millis() as u64);
            let outcome = match (&e.error, e.written) {
                (ClientError::Timeout(_), true) if waited < outbound.stall_timeout() => {
                    Outcome::Cancelled
                }
                (ClientError::Timeout(_), true) => Outcome::Silent,
                (_, true) => Outcome::Broken,
                // The deadline left less time than a connection may take.
                (ClientError::Timeout(_), false) if outbound.deadline <= cx.now() => {
                    Outcome::Cancelled
                }
                // The router's own link is saturated, so this is no fault of the
                // endpoint.
                (_, false) if cx.link.state().is_saturated() => Outcome::Cancelled,
                (_, false) => Outcome::Unreachable,
            };
            if e.written && e.error.is_connection_failure() {
                crashes::record_broken(cx, &in_flight, &outbound.traits);
            }
            in_flight.end(outcome);
            return match e.written {
                true => AttemptResult::Unknown,
                false => AttemptResult::Unreachable,
            };
        }
    };
    let status = cx.adapter.execution_status(answer.status, &answer.headers);
    let notice = cx.adapter.take_notice(answer.status, &mut answer.headers);
    // Another endpoint at the address speaks for itself only.
    if status != ExecutionStatus::Misdirected {
        apply_notice(cx, &in_flight.pick, notice);
    }
    match status {
        ExecutionStatus::Run => {
            AttemptResult::Answered(Box::new(EndpointAnswer { in_flight, answer }))
        }
        status => {
            slog::info!(cx.log, "endpoint refused"; "request" => &outbound.id,
                "endpoint" => &in_flight.pick.endpoint, "verdict" => ?status);
            let outcome = match status {
                ExecutionStatus::Misdirected => Outcome::Misdirected,
                _ => Outcome::Full,
            };
            let endpoint = in_flight.pick.endpoint.clone();
            in_flight.end(outcome);
            // Reads the body so that the connection can be reused.
            drop(answer.read_to_end(REFUSAL_BODY_TIMEOUT).await);
            let failure = match status {
                ExecutionStatus::Misdirected => SendFailure::NoEndpoint,
                _ => SendFailure::Full,
            };
            AttemptResult::NotRun(failure, endpoint)
        }
    }
}

/// Applies what an answer says about further requests to its endpoint.
fn apply_notice(cx: &RelayState, pick: &Pick, notice: EndpointNotice) {
    let (id, incarnation) = (&pick.endpoint, pick.incarnation);
    if notice.is_empty()
        || !cx
            .dispatcher()
            .apply_notice(cx.now(), id, incarnation, notice)
    {
        return;
    }
    cx.metrics.record_notice(notice);
    slog::info!(cx.log, "endpoint notice"; "endpoint" => id, "incarnation" => incarnation,
        "leaving" => notice.leaving,
        "pause_ms" => notice.pause.map(|p| p.as_millis() as u64));
}

/// Builds the request to an endpoint. Returns `None` when its parts are invalid.
fn build_request(
    cx: &RelayState,
    outbound: &OutboundRequest,
    in_flight: &InFlightRequest,
    left: Duration,
    last_event: Option<&str>,
) -> Option<Request<Full<Bytes>>> {
    let mut headers = outbound.headers.clone();
    let context = ForwardContext {
        time_left: left,
        endpoint: &in_flight.pick.endpoint,
        team: outbound.team.as_deref(),
        urgency: outbound.urgency,
        last_event,
    };
    cx.adapter.prepare_forward(&mut headers, &context);
    let mut req = Request::builder()
        .method(outbound.method.clone())
        .uri(outbound.uri.clone())
        .body(Full::new(outbound.body.clone()))
        .ok()?;
    *req.headers_mut() = headers;
    Some(req)
}
