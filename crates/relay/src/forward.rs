//! A request from its header to its answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvilloft_dispatch::Outcome;
use anvilloft_gateway::Refusal;
use anvilloft_gateway::body;
use anvilloft_gateway::body::ReadLimits;
use anvilloft_gateway::memory::BodyMemoryGuard;
use anvilloft_gateway::serve::Handler;
use anvilloft_routes::Route;
use anvilloft_routes::RouteTable;
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
use volo_http::body::Body;

use crate::adapter::RequestHead;
use crate::attempt::Answered;
use crate::attempt::Failed;
use crate::attempt::Plan;
use crate::attempt::Progress;
use crate::attempt::send;
use crate::charge::Charge;
use crate::charge::reserve;
use crate::shared::Shared;
use crate::stream::EventBody;

/// When to come back while endpoints have no room.
const ROOM_AGAIN: Duration = Duration::from_millis(600);
/// When to come back while no endpoint is known or the router can't serve.
pub(crate) const SERVICE_AGAIN: Duration = Duration::from_secs(1);
/// Time that a caller waits who names none.
const PATIENCE: Duration = Duration::from_secs(60);
/// Ranks of a team that are told apart; more urgent ones are all first.
const TEAM_LEVELS: u8 = 3;
/// Ranks of a route that are told apart within one of a team.
const ROUTE_LEVELS: u8 = 3;
/// Headers that concern one connection only (RFC 9110, 7.6.1).
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

/// What answers on the callers' port.
pub(crate) struct Callers(pub(crate) Arc<Shared>);

impl Handler for Callers {
    async fn handle(&self, req: Request<Body>) -> Response<Body> {
        answer(&self.0, req).await
    }
}

/// Drops the headers that concern one connection only.
pub(crate) fn strip(headers: &mut HeaderMap) {
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

async fn answer(cx: &Arc<Shared>, req: Request<Body>) -> Response<Body> {
    let started = cx.now();
    cx.metrics.in_flight.inc();
    let (id, result) = match cx.adapter.parse_head(req.headers()) {
        Err(field) => {
            let message = format!("header \"{field}\" is missing or can't be read");
            (String::new(), Err(Refusal::bad_request(field, message)))
        }
        Ok(head) => {
            let id = String::from_utf8_lossy(head.id.as_bytes()).into_owned();
            let result = forward(cx, started, &id, head, req).await;
            (id, result)
        }
    };
    cx.metrics.in_flight.dec();
    let now = cx.now();
    let ms = now.saturating_sub(started).as_millis() as u64;
    match result {
        Ok(resp) => {
            let status = resp.status();
            let kind = if status.is_success() { "ok" } else { "failed" };
            cx.metrics.answers.with_label_values(&["route", kind]).inc();
            // The end of a stream has a line of its own.
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
                "in_touch" => cx.in_touch.load(Ordering::Relaxed));
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
                .retry_after(SERVICE_AGAIN),
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

/// Returns the urgency of a request: the team's rank goes before the route's.
fn urgency(team: Option<&Team>, route: &Route) -> u8 {
    let team = team.and_then(|t| t.level).unwrap_or(0).min(TEAM_LEVELS - 1);
    team * ROUTE_LEVELS + route.level.min(ROUTE_LEVELS - 1)
}

async fn forward(
    cx: &Arc<Shared>,
    started: Duration,
    id: &str,
    head: RequestHead,
    req: Request<Body>,
) -> Result<Response<Body>, Refusal> {
    if cx.closing.load(Ordering::Relaxed) {
        return Err(
            Refusal::unavailable("draining", "this router is stopping").retry_after(Duration::ZERO)
        );
    }
    let table = cx.table.load_full();
    let route = find_route(&table, &req)?;
    let team = find_team(&table, route, head.key.as_deref())?;
    if route.kind.is_stream() {
        let shedder = *lock(&cx.shedder);
        if shedder.refuses(route.level, rand::random()) {
            return Err(busy(shedder.lateness()));
        }
        let link = cx.link.state();
        if link.refuses(route.level, rand::random()) {
            return Err(busy(link.delay()));
        }
    }
    let service = route
        .choose_service(rand::random())
        .and_then(|name| table.service(name))
        .ok_or_else(no_endpoint)?;
    let max_wait = head.max_wait.unwrap_or(PATIENCE);
    let end = started + max_wait.min(route.timeout);
    lock(&cx.repeats).of(&service.name).record_request(started);

    let (parts, body) = req.into_parts();
    let (body, held) = read_body(cx, body, &table, end).await?;
    let charge = reserve(cx, id, service, team, head.tokens, end).await?;
    let mut headers = parts.headers;
    strip(&mut headers);
    let plan = Plan {
        no: cx.number(),
        id: id.to_owned(),
        service: service.name.clone(),
        engine_memory: service.engine.map(|e| e.memory),
        kind: route.kind,
        objective: route.objective,
        max_endpoints: route.max_endpoints.max(1),
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        _held: held,
        prompt: head.prompt,
        team: team.map(|t| t.name.clone()),
        urgency: urgency(team, route),
        level: route.level,
        started,
        end,
    };
    run(cx, plan, charge).await
}

async fn read_body(
    cx: &Shared,
    body: Body,
    table: &RouteTable,
    end: Duration,
) -> Result<(Bytes, BodyMemoryGuard), Refusal> {
    let left = end.saturating_sub(cx.now());
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
            "the body did not arrive before the deadline",
        ))
    })
}

fn busy(late: Duration) -> Refusal {
    let ms = late.as_millis();
    Refusal::unavailable("router_busy", format!("this router is {ms} ms behind"))
        .retry_after(ROOM_AGAIN)
}

fn no_endpoint() -> Refusal {
    Refusal::unavailable("no_endpoint", "the service has no endpoint that takes work")
        .retry_after(SERVICE_AGAIN)
}

/// Says why no endpoint answered.
fn unanswered(failed: Failed, progress: &Progress) -> Refusal {
    if progress.may_have_run {
        return match failed {
            Failed::Late => Refusal::new(
                StatusCode::GATEWAY_TIMEOUT,
                "endpoint_late",
                "the endpoint did not answer in time",
            )
            .with_run_state(RunState::Unknown),
            _ => Refusal::bad_gateway("endpoint_failed", "the endpoint failed", RunState::Unknown),
        };
    }
    match failed {
        Failed::NoEndpoint => no_endpoint(),
        Failed::Full => Refusal::unavailable("endpoints_full", "the endpoints have no room")
            .retry_after(ROOM_AGAIN),
        Failed::Late => Refusal::unavailable("too_late", "the time was over before it was sent"),
        Failed::Broken => {
            Refusal::unavailable("endpoints_unreachable", "no endpoint could be reached")
                .retry_after(SERVICE_AGAIN)
        }
    }
}

async fn run(
    cx: &Arc<Shared>,
    plan: Plan,
    mut charge: Option<Charge>,
) -> Result<Response<Body>, Refusal> {
    let mut progress = Progress::default();
    let mut failure: Option<Response<Body>> = None;
    loop {
        let answered = send(cx, &plan, &mut progress, None).await;
        if let Some(charge) = &mut charge {
            charge.ran |= matches!(&answered, Ok(a) if a.answer.status.is_success());
        }
        let Answered { running, answer } = match answered {
            Ok(answered) => answered,
            Err(failed) => {
                // An endpoint's own failure is passed on when nothing better
                // came of it.
                return failure.ok_or_else(|| unanswered(failed, &progress));
            }
        };
        if answer.headers.contains_key(header::CONTENT_ENCODING) {
            // Callers ask for no encoding, so these are not the endpoint's bytes.
            progress.may_have_run = true;
            running.end(Outcome::Broken);
            continue;
        }
        let mut resp = Response::new(Body::empty());
        *resp.status_mut() = answer.status;
        *resp.headers_mut() = answer.headers.clone();
        strip(resp.headers_mut());
        if answer.status.is_success() && plan.kind.is_stream() {
            let body = EventBody::new(cx, plan, progress, charge, running, answer);
            *resp.body_mut() = Body::from_body(body);
            return Ok(resp);
        }
        let left = plan.end.saturating_sub(cx.now());
        let status = answer.status;
        match tokio::time::timeout(left, answer.read_to_end(left)).await {
            Ok(Ok(body)) => {
                *resp.body_mut() = Body::from(body);
                if status.is_server_error() {
                    running.end(Outcome::Failed);
                    progress.may_have_run = true;
                    if plan.kind.is_retryable() {
                        failure = Some(resp);
                        continue;
                    }
                } else {
                    running.end(Outcome::Ok);
                }
                return Ok(resp);
            }
            Ok(Err(e)) => {
                slog::info!(cx.log, "answer broke off"; "request" => &plan.id,
                    "endpoint" => &running.pick.endpoint, "error" => %e);
                progress.may_have_run = true;
                running.end(Outcome::Broken);
            }
            Err(_) => {
                progress.may_have_run = true;
                running.end(Outcome::Cancelled);
            }
        }
    }
}
