//! Handling of a caller's request, from its header to its answer.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use anvilloft_dispatch::ENGINE_LEVELS;
use anvilloft_dispatch::OrderedPrompt;
use anvilloft_dispatch::Outcome;
use anvilloft_dispatch::PromptPart;
use anvilloft_dispatch::engine_level;
use anvilloft_gateway::Refusal;
use anvilloft_gateway::body;
use anvilloft_gateway::body::ReadLimits;
use anvilloft_gateway::client::ClientError;
use anvilloft_gateway::memory::BodyMemoryGuard;
use anvilloft_gateway::serve::AnswerDeadline;
use anvilloft_gateway::serve::Handler;
use anvilloft_routes::Route;
use anvilloft_routes::RouteTable;
use anvilloft_routes::Service;
use anvilloft_routes::Team;
use anvilloft_types::lock;
use anvilloft_types::prelude::*;
use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body::Body as _;
use prometheus::IntGauge;
use tokio::time::Instant;
use volo_http::body::Body;

use crate::adapter::RequestHead;
use crate::attempt::EndpointAnswer;
use crate::attempt::OutboundRequest;
use crate::attempt::REFUSAL_BODY_TIMEOUT;
use crate::attempt::SendFailure;
use crate::attempt::ended_by;
use crate::attempt::send_request;
use crate::charge::Charge;
use crate::charge::reserve;
use crate::crashes;
use crate::progress::Progress;
use crate::resume::return_before_answer;
use crate::state::RelayState;
use crate::stream::EventBody;
use crate::stream::StreamError;
use crate::stream::response_head;

/// `Retry-After` of refusals because endpoints or this router are at capacity.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(600);
/// `Retry-After` of refusals because all endpoints are in evacuated data centres. The end
/// of an evacuation isn't known in advance, and routers learn of it within a second.
const RETRY_AFTER_EVACUATED: Duration = Duration::from_secs(2);
/// `Retry-After` of refusals because no endpoint can be used or this router can't
/// serve.
pub(crate) const RETRY_AFTER_UNAVAILABLE: Duration = Duration::from_secs(1);
/// How long a caller waits when its request doesn't say.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(60);
/// Number of distinct levels of a team; less urgent levels count as the last.
const TEAM_LEVELS: u8 = 3;
/// Headers that apply to a single connection (RFC 9110, 7.6.1).
const CONNECTION_HEADERS: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::HeaderName::from_static("keep-alive"),
    header::HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
];

/// Handles requests of callers.
pub(crate) struct CallerHandler(pub(crate) Arc<RelayState>);

impl Handler for CallerHandler {
    async fn handle(&self, req: Request<Body>) -> Response<Body> {
        handle(&self.0, req).await
    }
}

/// Removes the headers that apply to a single connection, including those that
/// `Connection` names.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<header::HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

/// Counts a request as in flight, also when its caller leaves.
struct OpenRequest<'a>(&'a IntGauge);

impl<'a> OpenRequest<'a> {
    fn new(gauge: &'a IntGauge) -> Self {
        gauge.inc();
        Self(gauge)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.dec();
    }
}

async fn handle(cx: &Arc<RelayState>, req: Request<Body>) -> Response<Body> {
    let received_at = cx.now();
    let open = OpenRequest::new(&cx.metrics.in_flight);
    let (id, result) = match cx.adapter.parse_head(req.headers()) {
        Err(field) => {
            let message = format!("header \"{field}\" is missing or can't be read");
            (String::new(), Err(Refusal::bad_request(field, message)))
        }
        Ok(head) => {
            let id = String::from_utf8_lossy(head.id.as_bytes()).into_owned();
            let is_sent = AtomicBool::new(false);
            let result = tokio::select! {
                biased;
                result = forward(cx, received_at, &id, head, req, &is_sent) => result,
                () = cx.abandon.cancelled() => Err(stopping(is_sent.load(Ordering::Relaxed))),
            };
            (id, result)
        }
    };
    drop(open);
    let now = cx.now();
    let ms = now.saturating_sub(received_at).as_millis() as u64;
    match result {
        Ok(resp) => {
            let status = resp.status();
            let kind = if status.is_success() { "ok" } else { "failed" };
            cx.metrics.answers.with_label_values(&["route", kind]).inc();
            // The end of a stream is logged by the stream itself.
            if resp.body().size_hint().exact().is_some() {
                slog::info!(cx.log, "answered"; "request" => &id, "status" => status.as_u16(),
                    "ms" => ms);
            }
            resp
        }
        Err(refusal) => {
            cx.metrics
                .answers
                .with_label_values(&["route", refusal.code])
                .inc();
            slog::info!(cx.log, "refused"; "request" => &id, "status" => refusal.status.as_u16(),
                "code" => refusal.code, "run" => refusal.run.as_str(), "ms" => ms,
                "reason" => &refusal.message,
                "table" => cx.table.load().version(),
                "in_touch" => cx.control_reachable.load(Ordering::Relaxed));
            let after = refusal.retry_after;
            let mut resp = refusal.into_response();
            if let Some(after) = after {
                let value = cx.adapter.retry_after_value(after);
                resp.headers_mut().insert(header::RETRY_AFTER, value);
            }
            resp
        }
    }
}

fn find_route<'a>(table: &'a RouteTable, req: &Request<Body>) -> Result<&'a Route, Refusal> {
    if table.version() == 0 {
        return Err(
            Refusal::unavailable("no_route_table", "this router has no route table yet")
                .retry_after(RETRY_AFTER_UNAVAILABLE),
        );
    }
    let host = req
        .headers()
        .get(header::HOST)
        .and_then(|h| h.to_str().ok())
        .or_else(|| req.uri().host())
        .unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let path = req.uri().path();
    table.route(host, path).ok_or_else(|| {
        Refusal::new(
            StatusCode::NOT_FOUND,
            "unknown_route",
            format!("no route has host \"{host}\" and a prefix of the path"),
        )
    })
}

fn find_team<'a>(
    table: &'a RouteTable,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<&'a Team>, Refusal> {
    let team = key.and_then(|key| table.team_of_key(key));
    if team.is_none() && !route.anonymous && !table.teams().is_empty() {
        return Err(Refusal::invalid_key());
    }
    Ok(team)
}

/// Returns the urgency of a request at an engine. The team's level takes precedence over
/// the route's.
fn urgency(
    cx: &RelayState,
    table: &RouteTable,
    team: Option<&Team>,
    route: &Route,
    service: &Service,
    prompt: &[PromptPart],
) -> u8 {
    let team_level = team.and_then(|t| t.level).unwrap_or(0).min(TEAM_LEVELS - 1);
    let deferred_objective = table.deferred_objective(&service.name);
    // Most services have none, and their requests need no prediction.
    let prefill = deferred_objective.map_or(Duration::ZERO, |_| {
        let tokens = prompt.iter().map(|part| part.tokens);
        let tokens = tokens.fold(0, Tokens::saturating_add);
        cx.dispatcher().prefill_time(&service.name, tokens)
    });
    let level = engine_level(&OrderedPrompt {
        level: route.level,
        objective: route.objective,
        deferred_objective,
        prefill,
    });
    team_level * ENGINE_LEVELS + level
}

/// Handles a request from its route to its answer. Sets `is_sent` once an endpoint may get
/// it.
async fn forward(
    cx: &Arc<RelayState>,
    received_at: Duration,
    id: &str,
    head: RequestHead,
    req: Request<Body>,
    is_sent: &AtomicBool,
) -> Result<Response<Body>, Refusal> {
    if cx.stop.get().is_some_and(|stop| !stop.accepts(received_at)) {
        return Err(stopping(false));
    }
    let table = cx.table.load_full();
    let route = find_route(&table, &req)?;
    let team = find_team(&table, route, head.key.as_deref())?;
    if route.kind.is_stream() {
        let shedder = *lock(&cx.shedder);
        if shedder.refuses(route.level, rand::random()) {
            return Err(router_busy(shedder.lateness()));
        }
        let link = cx.link.state();
        if link.refuses(route.level, rand::random()) {
            return Err(router_busy(link.delay()));
        }
    }
    // Plain requests are short, so those of a free service don't yield to slow streams.
    let rank = if route.kind.is_stream() {
        route.level
    } else {
        0
    };
    let open = cx.open_request(rank).ok_or_else(too_many_requests)?;
    let service = route
        .choose_service(rand::random())
        .and_then(|name| table.service(name))
        .ok_or_else(no_endpoint)?;
    let max_wait = head.max_wait.unwrap_or(DEFAULT_MAX_WAIT);
    let deadline = received_at + max_wait.min(route.timeout);
    lock(&cx.retry_budgets)
        .for_service(&service.name)
        .record_request(received_at);

    let (parts, body) = req.into_parts();
    let (body, body_memory) = read_body(cx, body, &table, deadline).await?;
    let traits = crashes::request_traits(&parts, team, &body, &head.prompt);
    crashes::check_quarantine(cx, &traits)?;
    let charge = reserve(cx, id, service, team, head.tokens, deadline).await?;
    // The wait for tokens may have taken a while.
    crashes::check_quarantine(cx, &traits)?;
    let mut headers = parts.headers;
    remove_connection_headers(&mut headers);
    let urgency = urgency(cx, &table, team, route, service, &head.prompt);
    let outbound = OutboundRequest {
        request_no: cx.next_request_no(),
        id: id.to_owned(),
        service: service.name.clone(),
        engine_memory: service.engine.map(|e| e.memory),
        allowed_regions: route.regions_for(team),
        kind: route.kind,
        objective: route.objective,
        max_endpoints: route.max_endpoints.max(1),
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        _body_memory: body_memory,
        _open: open,
        prompt: head.prompt,
        traits,
        team: team.map(|t| t.name.clone()),
        urgency,
        level: route.level,
        received_at,
        deadline,
    };
    is_sent.store(true, Ordering::Relaxed);
    exchange(cx, outbound, charge).await
}

async fn read_body(
    cx: &RelayState,
    body: Body,
    table: &RouteTable,
    deadline: Duration,
) -> Result<(Bytes, BodyMemoryGuard), Refusal> {
    let left = deadline.saturating_sub(cx.now());
    let limits = ReadLimits {
        max_bytes: table.limits().max_body_bytes,
        idle_timeout: left,
        memory: &cx.bodies,
    };
    let read = tokio::time::timeout(left, body::read(body, &limits)).await;
    read.unwrap_or_else(|_| {
        Err(Refusal::new(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
            "the request body did not arrive before the deadline",
        ))
    })
}

/// Returns the refusal of a request when the router stops. `is_sent` tells whether an
/// endpoint may run it.
fn stopping(is_sent: bool) -> Refusal {
    match is_sent {
        true => Refusal::bad_gateway(
            "stopping",
            "this router stopped before the request was answered",
            RunState::Unknown,
        ),
        false => {
            Refusal::unavailable("draining", "this router is stopping").retry_after(Duration::ZERO)
        }
    }
}

fn router_busy(delay: Duration) -> Refusal {
    let ms = delay.as_millis();
    Refusal::unavailable(
        "router_busy",
        format!("this router is overloaded, with a delay of {ms} ms"),
    )
    .retry_after(RETRY_AFTER_FULL)
}

fn too_many_requests() -> Refusal {
    Refusal::unavailable(
        "router_busy",
        "the requests in flight at this router have reached their limit",
    )
    .retry_after(RETRY_AFTER_FULL)
}

fn no_endpoint() -> Refusal {
    Refusal::unavailable(
        "no_endpoint",
        "the service has no endpoint that accepts requests",
    )
    .retry_after(RETRY_AFTER_UNAVAILABLE)
}

/// Returns the refusal of a request whose answer found no room until its deadline.
fn answers_too_large() -> Refusal {
    Refusal::bad_gateway(
        "answers_too_large",
        "the answers in the memory of this router have reached their limit",
        RunState::Unknown,
    )
}

/// Returns the refusal for a request that an endpoint may have run.
fn refusal_of_unknown(is_late: bool) -> Refusal {
    match is_late {
        true => Refusal::new(
            StatusCode::GATEWAY_TIMEOUT,
            "endpoint_late",
            "the endpoint did not answer before the deadline",
        )
        .with_run_state(RunState::Unknown),
        false => Refusal::bad_gateway(
            "endpoint_failed",
            "the endpoint failed while it had the request",
            RunState::Unknown,
        ),
    }
}

/// Returns the refusal for a request that no endpoint answered.
fn refusal_of_failure(failure: SendFailure, progress: &Progress) -> Refusal {
    if progress.may_have_run {
        return refusal_of_unknown(failure == SendFailure::DeadlineExceeded);
    }
    match failure {
        SendFailure::NoEndpoint => no_endpoint(),
        SendFailure::Full => Refusal::unavailable(
            "endpoints_full",
            "the endpoints of the service are at capacity",
        )
        .retry_after(RETRY_AFTER_FULL),
        SendFailure::Paused(left) => Refusal::unavailable(
            "endpoints_paused",
            "the endpoints of the service asked for a pause",
        )
        .retry_after(left),
        SendFailure::Cold(left) => Refusal::unavailable(
            "endpoints_cold",
            "the endpoints of the service have started lately and get few requests",
        )
        .retry_after(left),
        SendFailure::Evacuated => Refusal::unavailable(
            "evacuated",
            "the endpoints of the service are in evacuated data centres",
        )
        .retry_after(RETRY_AFTER_EVACUATED),
        SendFailure::Stopping => stopping(false),
        SendFailure::DeadlineExceeded => Refusal::unavailable(
            "too_late",
            "the deadline passed before the request was sent",
        ),
        SendFailure::ConnectionFailed => Refusal::unavailable(
            "endpoints_unreachable",
            "no endpoint of the service could be reached",
        )
        .retry_after(RETRY_AFTER_UNAVAILABLE),
    }
}

/// Returns whether a status tells the caller that its request was not run and never will
/// be.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Sends a request to endpoints and returns the answer for the caller.
async fn exchange(
    cx: &Arc<RelayState>,
    outbound: OutboundRequest,
    mut charge: Option<Charge>,
) -> Result<Response<Body>, Refusal> {
    let mut progress = Progress::default();
    let mut endpoint_failure: Option<Response<Body>> = None;
    let mut running = None;
    loop {
        let result = send_request(cx, &outbound, &mut progress, None, running.take()).await;
        if let Some(charge) = &mut charge {
            charge.has_run |= matches!(&result, Ok(a) if a.answer.status.is_success());
        }
        let EndpointAnswer { in_flight, answer } = match result {
            Ok(answered) => answered,
            Err(failure) => {
                running = return_before_answer(cx, &outbound, &mut progress, failure);
                if running.is_some() {
                    continue;
                }
                // Without a better answer, the caller gets an endpoint's own
                // server error.
                return endpoint_failure.ok_or_else(|| refusal_of_failure(failure, &progress));
            }
        };
        if answer.status.is_informational() || answer.headers.contains_key(header::CONTENT_ENCODING)
        {
            // Callers request neither another protocol nor a content encoding.
            progress.may_have_run = true;
            in_flight.end(Outcome::Broken);
            continue;
        }
        if promises_not_run(answer.status) && !outbound.kind.is_retryable() {
            // Without a mark, the endpoint does not state that it didn't run the request.
            slog::info!(cx.log, "attempt failed"; "request" => &outbound.id,
                "endpoint" => &in_flight.pick.endpoint, "written" => true,
                "error" => format_args!("status {} without a mark", answer.status.as_u16()));
            progress.may_have_run = true;
            in_flight.end(Outcome::Failed);
            drop(answer.read_to_end(REFUSAL_BODY_TIMEOUT).await);
            return Err(refusal_of_failure(SendFailure::ConnectionFailed, &progress));
        }
        if answer.status.is_success() && outbound.kind.is_stream() {
            let begun = EventBody::begin(cx, outbound, progress, charge, in_flight, answer).await;
            return begun.or_else(|err| {
                let is_late = err == StreamError::DeadlineExceeded;
                endpoint_failure.ok_or_else(|| refusal_of_unknown(is_late))
            });
        }
        let mut resp = Response::from_parts(response_head(&answer), Body::empty());
        let (began_at, began) = (cx.now(), Instant::now());
        let left = outbound.deadline.saturating_sub(began_at);
        let status = answer.status;
        match answer.read_to_end(left).await {
            Ok(body) => {
                *resp.body_mut() = Body::from(body);
                if let Some(at) = began.checked_add(left) {
                    resp.extensions_mut().insert(AnswerDeadline(at));
                }
                if status.is_success() {
                    crashes::record_answer(cx, &outbound.traits);
                }
                if status.is_server_error() {
                    in_flight.end(Outcome::Failed);
                    progress.may_have_run = true;
                    if outbound.kind.is_retryable() {
                        endpoint_failure = Some(resp);
                        continue;
                    }
                } else {
                    in_flight.end(Outcome::Ok);
                }
                return Ok(resp);
            }
            Err(e) => {
                slog::info!(cx.log, "answer broke off"; "request" => &outbound.id,
                    "endpoint" => &in_flight.pick.endpoint, "error" => %e,
                    "by" => ended_by(&e));
                progress.may_have_run = true;
                if e.is_connection_failure() {
                    crashes::record_broken(cx, &in_flight, &outbound.traits);
                }
                let waited = cx.now().saturating_sub(began_at);
                in_flight.end(match e {
                    // A short deadline is no fault of the endpoint.
                    ClientError::Timeout(_) if waited < outbound.stall_timeout() => {
                        Outcome::Cancelled
                    }
                    ClientError::Timeout(_) => Outcome::Silent,
                    ClientError::NoMemory => Outcome::Cancelled,
                    _ => Outcome::Broken,
                });
                if e == ClientError::NoMemory {
                    return Err(answers_too_large());
                }
            }
        }
    }
}
