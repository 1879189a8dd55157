//! Sending of a request to endpoints, with retries.

use std::net::SocketAddr;
use std::sync::Arc;

use anvilloft_dispatch::DispatchRequest;
use anvilloft_dispatch::NoEndpoint;
use anvilloft_dispatch::Outcome;
use anvilloft_dispatch::Pick;
use anvilloft_dispatch::PromptPart;
use anvilloft_gateway::client::ClientError;
use anvilloft_gateway::client::EndpointResponse;
use anvilloft_gateway::memory::BodyMemoryGuard;
use anvilloft_routes::RouteKind;
use anvilloft_types::prelude::*;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http_body_util::Full;

use crate::adapter::ExecutionStatus;
use crate::adapter::ForwardContext;
use crate::state::RelayState;

/// Maximum number of failed connects for one request. An endpoint that can't be
/// reached has not received the request, so it doesn't count towards the
/// route's `max_endpoints`.
const MAX_UNREACHABLE: u32 = 3;
/// Time after which a retryable request without an answer is sent to another
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
    pub(crate) kind: RouteKind,
    pub(crate) objective: Duration,
    pub(crate) max_endpoints: u32,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Keeps the body counted against the memory limit while it may be sent again.
    pub(crate) _body_memory: BodyMemoryGuard,
    pub(crate) prompt: Vec<PromptPart>,
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
        }
    }

    /// Returns how long to wait for an answer's header while the request can still
    /// be sent to another endpoint.
    fn stall_timeout(&self) -> Duration {
        let factor = match self.kind.is_stream() {
            true => STALL_FACTOR_STREAM,
            false => STALL_FACTOR_PLAIN,
        };
        self.objective.mul_f64(factor)
    }
}

/// Counts a request as in flight at an endpoint until it ends. Dropping it
/// records the request as cancelled.
pub(crate) struct InFlightRequest {
    cx: Arc<RelayState>,
    pub(crate) pick: Pick,
    request_no: RequestNo,
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

    /// Records the arrival of the first event of a stream.
    pub(crate) fn record_first_event(&self) {
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

/// Progress of a request over all its attempts.
#[derive(Default)]
pub(crate) struct Progress {
    pub(crate) tried: Vec<EndpointId>,
    /// Addresses of the tried endpoints.
    addresses: Vec<SocketAddr>,
    /// Number of endpoints that received the request.
    pub(crate) sent_count: u32,
    unreachable_count: u32,
    /// Whether an endpoint may have run the request.
    pub(crate) may_have_run: bool,
}

/// An endpoint's answer, of which the header was read.
pub(crate) struct EndpointAnswer {
    pub(crate) in_flight: InFlightRequest,
    pub(crate) answer: EndpointResponse,
}

/// Why no endpoint answered a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendFailure {
    /// The service has no endpoint that accepts requests.
    NoEndpoint,
    /// The endpoints are at capacity.
    Full,
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// Connections to endpoints could not be opened or were broken.
    ConnectionFailed,
}

/// Sends a request to endpoints until one answers, as far as its kind, the
/// route and the retry budget allow.
///
/// `last_event` is the id of the event after which a stream is resumed.
pub(crate) async fn send_request(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    progress: &mut Progress,
    last_event: Option<&str>,
) -> Result<EndpointAnswer, SendFailure> {
    let mut last_failure = SendFailure::NoEndpoint;
    loop {
        let now = cx.now();
        let left = outbound.deadline.saturating_sub(now);
        if left.is_zero() {
            return Err(SendFailure::DeadlineExceeded);
        }
        if progress.sent_count > 0 {
            let can_retry = outbound.kind.is_retryable() || !progress.may_have_run;
            if !can_retry
                || progress.sent_count >= outbound.max_endpoints
                || !cx.try_retry(&outbound.service)
            {
                return Err(last_failure);
            }
        }
        let pick = choose_endpoint(cx, outbound, progress);
        let pick = match pick {
            Ok(pick) => pick,
            Err(NoEndpoint::None) => return Err(last_failure),
            Err(NoEndpoint::Tried)
                if progress.sent_count == 0 && progress.unreachable_count > 0 =>
            {
                return Err(SendFailure::ConnectionFailed);
            }
            Err(NoEndpoint::Tried) => return Err(last_failure),
        };
        let in_flight = InFlightRequest {
            cx: Arc::clone(cx),
            pick,
            request_no: outbound.request_no,
            ended: false,
        };
        progress.tried.push(in_flight.pick.endpoint.clone());
        // On a kept connection, a second copy of the answer to the earlier attempt would
        // have the expected id.
        let new_connection = progress.addresses.contains(&in_flight.pick.address);
        progress.addresses.push(in_flight.pick.address);
        let may_retry =
            outbound.kind.is_retryable() && progress.sent_count + 1 < outbound.max_endpoints;
        let wait = if may_retry {
            left.min(outbound.stall_timeout())
        } else {
            left
        };
        let limits = AttemptLimits {
            left,
            wait,
            new_connection,
        };
        match attempt_endpoint(cx, outbound, in_flight, limits, last_event).await {
            AttemptResult::Answered(answered) => {
                progress.sent_count += 1;
                return Ok(*answered);
            }
            AttemptResult::NotRun(failure) => {
                progress.sent_count += 1;
                last_failure = failure;
            }
            AttemptResult::Unreachable => {
                progress.unreachable_count += 1;
                last_failure = SendFailure::ConnectionFailed;
                if progress.unreachable_count >= MAX_UNREACHABLE {
                    return Err(last_failure);
                }
            }
            AttemptResult::Unknown => {
                progress.sent_count += 1;
                progress.may_have_run = true;
                last_failure = SendFailure::ConnectionFailed;
            }
        }
    }
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
    if let Ok(pick) = &pick {
        dispatcher.started(now, &pick.endpoint, outbound.request_no, &dispatch_req);
    }
    drop(dispatcher);
    match &pick {
        Ok(pick) => {
            anvilloft_telemetry::decision!(cx.log, "route"; "request" => &outbound.id,
                "service" => &outbound.service, "endpoint" => &pick.endpoint,
                "incarnation" => pick.incarnation, "reason" => ?pick.reason,
                "candidates" => pick.candidates, "sent" => progress.sent_count,
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
enum AttemptResult {
    Answered(Box<EndpointAnswer>),
    /// The endpoint did not run the request.
    NotRun(SendFailure),
    /// Nothing was sent, as no connection could be opened.
    Unreachable,
    /// The connection failed after part of the request was sent.
    Unknown,
}

/// Limits of one attempt.
struct AttemptLimits {
    /// Time until the request's deadline.
    left: Duration,
    /// Maximum time to wait for the header of the answer.
    wait: Duration,
    /// Whether no pooled connection may be used.
    new_connection: bool,
}

/// Sends a request to the endpoint that was chosen for it.
async fn attempt_endpoint(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    in_flight: InFlightRequest,
    limits: AttemptLimits,
    last_event: Option<&str>,
) -> AttemptResult {
    let AttemptLimits {
        left,
        wait,
        new_connection,
    } = limits;
    let Some(req) = build_request(cx, outbound, &in_flight, left, last_event) else {
        // The caller's header was accepted, so this can't happen with a correct
        // adapter. Nothing was sent.
        slog::error!(cx.log, "can't build the request to an endpoint"; "request" => &outbound.id);
        return AttemptResult::Unreachable;
    };
    let id_header = cx.adapter.request_id_header();
    let address = in_flight.pick.address;
    let sent = cx
        .client
        .exchange(address, req, &id_header, wait, new_connection)
        .await;
    let answer = match sent {
        Ok(answer) => answer,
        Err(e) => {
            slog::info!(cx.log, "attempt failed"; "request" => &outbound.id,
                "endpoint" => &in_flight.pick.endpoint, "written" => e.written,
                "error" => %e.error);
            let outcome = match (&e.error, e.written) {
                (ClientError::Timeout(_), true) if wait < outbound.stall_timeout() => {
                    Outcome::Cancelled
                }
                (_, true) => Outcome::Broken,
                // The router's own link is saturated, so this is no fault of the
                // endpoint.
                (_, false) if cx.link.state().is_saturated() => Outcome::Cancelled,
                (_, false) => Outcome::Unreachable,
            };
            in_flight.end(outcome);
            return match e.written {
                true => AttemptResult::Unknown,
                false => AttemptResult::Unreachable,
            };
        }
    };
    match cx.adapter.execution_status(answer.status, &answer.headers) {
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
            in_flight.end(outcome);
            // Reads the body so that the connection can be reused.
            drop(answer.read_to_end(wait.min(REFUSAL_BODY_TIMEOUT)).await);
            match status {
                ExecutionStatus::Misdirected => AttemptResult::NotRun(SendFailure::NoEndpoint),
                _ => AttemptResult::NotRun(SendFailure::Full),
            }
        }
    }
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
