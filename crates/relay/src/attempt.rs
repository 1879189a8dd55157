//! One request at one endpoint.

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
use crate::shared::Shared;

/// Connections that may fail to open before a request is given up. An endpoint
/// that can't be reached has not seen the request, so it doesn't count among
/// those that the route allows.
const MAX_UNREACHABLE: u32 = 3;
/// Part of the objective of an idempotent request after which an endpoint
/// without an answer is left for another one.
const STALL_PLAIN: f64 = 2.0;
/// The same for the first event of a stream.
const STALL_STREAM: f64 = 1.5;

/// A caller's request, ready to be sent to any endpoint of its service.
pub(crate) struct Plan {
    pub(crate) no: RequestNo,
    /// Id for logs.
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
    /// Counts the body as in memory as long as it may be sent again.
    pub(crate) _held: BodyMemoryGuard,
    pub(crate) prompt: Vec<PromptPart>,
    pub(crate) team: Option<TeamId>,
    pub(crate) urgency: u8,
    /// Rank of the route, 0 first.
    pub(crate) level: u8,
    /// When the request came, by the relay's clock.
    pub(crate) started: Duration,
    /// When the caller must have the answer, by the same clock.
    pub(crate) end: Duration,
}

impl Plan {
    fn ask<'a>(&'a self, tried: &'a [EndpointId]) -> DispatchRequest<'a> {
        DispatchRequest {
            service: &self.service,
            engine_memory: self.engine_memory,
            level: self.level,
            prompt: &self.prompt,
            tried,
        }
    }

    /// Returns how long to wait for an answer's header while another endpoint
    /// could still be asked.
    fn stall(&self) -> Duration {
        let share = match self.kind.is_stream() {
            true => STALL_STREAM,
            false => STALL_PLAIN,
        };
        self.objective.mul_f64(share)
    }
}

/// Marks a request as running at an endpoint until it ends; one that is dropped
/// was cancelled.
pub(crate) struct Running {
    cx: Arc<Shared>,
    pub(crate) pick: Pick,
    no: RequestNo,
    ended: bool,
}

impl Running {
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.cx.now();
            let (id, incarnation) = (&self.pick.endpoint, self.pick.incarnation);
            self.cx
                .dispatcher()
                .finished(now, id, incarnation, self.no, outcome);
        }
    }

    /// Notes the first event of a stream.
    pub(crate) fn first_event(&self) {
        let now = self.cx.now();
        self.cx
            .dispatcher()
            .first_event(now, &self.pick.endpoint, self.no);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.finish(Outcome::Cancelled);
    }
}

/// How far a request has come over all its attempts.
#[derive(Default)]
pub(crate) struct Progress {
    pub(crate) tried: Vec<EndpointId>,
    /// Endpoints that got the request.
    pub(crate) sent: u32,
    unreachable: u32,
    /// Whether an endpoint may have run it.
    pub(crate) may_have_run: bool,
}

/// An endpoint's answer whose header was read.
pub(crate) struct Answered {
    pub(crate) running: Running,
    pub(crate) answer: EndpointResponse,
}

/// Why no endpoint gave an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failed {
    /// The service has no endpoint that takes work.
    NoEndpoint,
    /// Endpoints had no room.
    Full,
    /// The time is over.
    Late,
    /// Endpoints could not be reached or broke off.
    Broken,
}

/// Sends a request to endpoints until one answers, as far as its kind, the
/// route and the budget of repeats allow. `last_event` names the event after
/// which a stream goes on.
pub(crate) async fn send(
    cx: &Arc<Shared>,
    plan: &Plan,
    progress: &mut Progress,
    last_event: Option<&str>,
) -> Result<Answered, Failed> {
    let mut failed = Failed::NoEndpoint;
    loop {
        let now = cx.now();
        let left = plan.end.saturating_sub(now);
        if left.is_zero() {
            return Err(Failed::Late);
        }
        if progress.sent > 0 {
            let again = plan.kind.is_retryable() || !progress.may_have_run;
            if !again || progress.sent >= plan.max_endpoints || !cx.take_repeat(&plan.service) {
                return Err(failed);
            }
        }
        let pick = choose(cx, plan, progress);
        let pick = match pick {
            Ok(pick) => pick,
            Err(NoEndpoint::None) => return Err(failed),
            Err(NoEndpoint::Tried) if progress.sent == 0 && progress.unreachable > 0 => {
                return Err(Failed::Broken);
            }
            Err(NoEndpoint::Tried) => return Err(failed),
        };
        let running = Running {
            cx: Arc::clone(cx),
            pick,
            no: plan.no,
            ended: false,
        };
        progress.tried.push(running.pick.endpoint.clone());
        let more = plan.kind.is_retryable() && progress.sent + 1 < plan.max_endpoints;
        let wait = if more { left.min(plan.stall()) } else { left };
        match try_one(cx, plan, running, left, wait, last_event).await {
            Tried::Answered(answered) => {
                progress.sent += 1;
                return Ok(*answered);
            }
            Tried::NotRun(why) => {
                progress.sent += 1;
                failed = why;
            }
            Tried::Unreachable => {
                progress.unreachable += 1;
                failed = Failed::Broken;
                if progress.unreachable >= MAX_UNREACHABLE {
                    return Err(failed);
                }
            }
            Tried::Unknown => {
                progress.sent += 1;
                progress.may_have_run = true;
                failed = Failed::Broken;
            }
        }
    }
}

fn choose(cx: &Arc<Shared>, plan: &Plan, progress: &Progress) -> Result<Pick, NoEndpoint> {
    let now = cx.now();
    let mut dispatcher = cx.dispatcher();
    let ask = plan.ask(&progress.tried);
    let pick = dispatcher.choose(now, &ask);
    let known = dispatcher.len();
    if let Ok(pick) = &pick {
        dispatcher.started(now, &pick.endpoint, plan.no, &ask);
    }
    drop(dispatcher);
    match &pick {
        Ok(pick) => {
            anvilloft_telemetry::decision!(cx.log, "route"; "request" => &plan.id,
                "service" => &plan.service, "endpoint" => &pick.endpoint,
                "incarnation" => pick.incarnation, "reason" => ?pick.reason,
                "candidates" => pick.candidates, "sent" => progress.sent,
                "left_ms" => plan.end.saturating_sub(now).as_millis() as u64);
        }
        Err(why) => {
            anvilloft_telemetry::decision!(cx.log, "no endpoint"; "request" => &plan.id,
                "service" => &plan.service, "reason" => ?why, "known" => known,
                "sent" => progress.sent);
        }
    }
    pick
}

enum Tried {
    Answered(Box<Answered>),
    NotRun(Failed),
    Unreachable,
    Unknown,
}

async fn try_one(
    cx: &Arc<Shared>,
    plan: &Plan,
    running: Running,
    left: Duration,
    wait: Duration,
    last_event: Option<&str>,
) -> Tried {
    let Some(req) = request(cx, plan, &running, left, last_event) else {
        // The caller's own header was accepted, so this can't happen for a
        // sound dialect; nothing was sent.
        slog::error!(cx.log, "a request can't be made"; "request" => &plan.id);
        return Tried::Unreachable;
    };
    let echo = cx.adapter.request_id_header();
    let address = running.pick.address;
    let sent = cx.client.exchange(address, req, &echo, wait, false).await;
    let answer = match sent {
        Ok(answer) => answer,
        Err(e) => {
            slog::info!(cx.log, "attempt failed"; "request" => &plan.id,
                "endpoint" => &running.pick.endpoint, "written" => e.written,
                "error" => %e.error);
            let outcome = match (&e.error, e.written) {
                (ClientError::Timeout(_), true) if wait < plan.stall() => Outcome::Cancelled,
                (_, true) => Outcome::Broken,
                // The router's own link keeps all connections waiting.
                (_, false) if cx.link.state().is_saturated() => Outcome::Cancelled,
                (_, false) => Outcome::Unreachable,
            };
            running.end(outcome);
            return match e.written {
                true => Tried::Unknown,
                false => Tried::Unreachable,
            };
        }
    };
    match cx.adapter.execution_status(answer.status, &answer.headers) {
        ExecutionStatus::Run => Tried::Answered(Box::new(Answered { running, answer })),
        verdict => {
            slog::info!(cx.log, "endpoint refused"; "request" => &plan.id,
                "endpoint" => &running.pick.endpoint, "verdict" => ?verdict);
            let outcome = match verdict {
                ExecutionStatus::Misdirected => Outcome::Misdirected,
                _ => Outcome::Full,
            };
            running.end(outcome);
            // Reads the rest so that the connection can be used again.
            drop(answer.read_to_end(wait).await);
            match verdict {
                ExecutionStatus::Misdirected => Tried::NotRun(Failed::NoEndpoint),
                _ => Tried::NotRun(Failed::Full),
            }
        }
    }
}

fn request(
    cx: &Shared,
    plan: &Plan,
    running: &Running,
    left: Duration,
    last_event: Option<&str>,
) -> Option<Request<Full<Bytes>>> {
    let mut headers = plan.headers.clone();
    let context = ForwardContext {
        time_left: left,
        endpoint: &running.pick.endpoint,
        team: plan.team.as_deref(),
        urgency: plan.urgency,
        last_event,
    };
    cx.adapter.prepare_forward(&mut headers, &context);
    let mut req = Request::builder()
        .method(plan.method.clone())
        .uri(plan.uri.clone())
        .body(Full::new(plan.body.clone()))
        .ok()?;
    *req.headers_mut() = headers;
    Some(req)
}
