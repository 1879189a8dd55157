//! Calls of plain services and orders.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anvilloft_types::RunState;
use anvilloft_wire::command::OrderBegin;
use anvilloft_wire::command::OrderFinish;
use anvilloft_wire::command::OrderOutcome;
use anvilloft_wire::command::OrderReply;
use anvilloft_wire::command::OrderState;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use sha2::Digest;
use sha2::Sha256;
use volo_http::response::Response;

use crate::api::Api;
use crate::api::Asked;
use crate::body;
use crate::chat::Failure;
use crate::chat::hash16;
use crate::chat::idempotency_key;
use crate::chat::passed_on;
use crate::chat::refused;
use crate::client::PRIORITY_HEADER;
use crate::client::REFUSED_HEADER;
use crate::error::Refusal;
use crate::memory::Held;
use crate::ports::Admit;
use crate::ports::CoreMsg;
use crate::ports::Target;
use crate::ports::Ticket;
use crate::running::CancelOnDrop;
use crate::running::Running;

/// Longest answer kept with an order, in bytes.
const MAX_KEPT_BODY: usize = 64 * 1024;
/// Pause between two looks at an order that runs elsewhere.
const RUNNING_POLL: Duration = Duration::from_millis(100);
/// Request headers that are passed on to services.
const PASSED_HEADERS: [&str; 4] = [
    "content-type",
    "accept",
    "accept-language",
    "idempotency-key",
];

/// A call as sent to an endpoint.
struct Call {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    _held: Held,
}

/// An endpoint's answer.
struct Done {
    status: StatusCode,
    content_type: String,
    body: Bytes,
}

/// Splits `/v1/services/{service}/{path}`.
fn split_path(path_and_query: &str) -> Option<(&str, String)> {
    let rest = path_and_query.strip_prefix("/v1/services/")?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    (!service.is_empty()).then_some((service, path))
}

/// Records the outcome of an order unless it was recorded. Dropped early, as
/// when the caller goes away in the middle, it records `Unknown`.
struct OrderGuard {
    api: Arc<Api>,
    finish: OrderFinish,
    open: bool,
}

impl OrderGuard {
    fn finish(&mut self, outcome: OrderOutcome, done: Option<&Done>) {
        if !std::mem::take(&mut self.open) {
            return;
        }
        let mut finish = self.finish.clone();
        finish.outcome = outcome as i32;
        if let Some(done) = done {
            finish.status = u32::from(done.status.as_u16());
            finish.content_type = done.content_type.clone();
            finish.body_dropped = done.body.len() > MAX_KEPT_BODY;
            if !finish.body_dropped {
                finish.body = done.body.to_vec();
            }
        }
        self.api.core.post(CoreMsg::OrderFinish(finish));
    }
}

impl Drop for OrderGuard {
    fn drop(&mut self) {
        self.finish(OrderOutcome::Unknown, None);
    }
}

/// Serves one call of a plain service.
pub(crate) async fn handle(api: &Arc<Api>, asked: Asked) -> Result<Response, Refusal> {
    let view = api.view.load_full();
    let caller = api.caller(&view, &asked.headers)?;
    let rank = api.rank(&view, &caller, &asked.headers)?;
    let unknown = || {
        Refusal::new(
            StatusCode::NOT_FOUND,
            "service_not_found",
            "there is no service of this name",
        )
    };
    let (name, path) = split_path(&asked.path_and_query).ok_or_else(unknown)?;
    let service = view.config.service(name).ok_or_else(unknown)?.clone();
    let key = idempotency_key(&asked.headers)?.map(str::to_owned);
    if !service.idempotent && key.is_none() {
        return Err(Refusal::bad_request(
            "Idempotency-Key",
            "calls of this service need an Idempotency-Key",
        ));
    }
    let limits = api.read_limits(api.options.max_body_bytes);
    let (body, held) = body::read(asked.body, &limits).await?;
    let fingerprint = hash16(&[
        caller.team.as_bytes(),
        name.as_bytes(),
        asked.method.as_str().as_bytes(),
        path.as_bytes(),
        &body,
    ]);
    let bill_key = key
        .as_ref()
        .map(|key| hash16(&[caller.team.as_bytes(), key.as_bytes(), &fingerprint]));
    let call = Call {
        method: asked.method,
        path,
        headers: asked.headers,
        body,
        _held: held,
    };
    let mut admit = Admit {
        no: 0,
        request_id: asked.request_id,
        team: caller.team.clone(),
        rank,
        budget: caller.budget,
        amount: service.price,
        target: Target::Service(service.name.clone()),
        fingerprint,
        attempt: None,
    };
    let (false, Some(key)) = (service.idempotent, key) else {
        return run(api, admit, bill_key, &call, None).await;
    };
    let attempt = rand::random::<u128>();
    admit.attempt = Some(attempt);
    let begin = OrderBegin {
        team: caller.team.clone(),
        key: key.clone(),
        body_hash: order_hash(&service.name, &call),
        router: api.options.router.clone(),
        incarnation: 0,
        attempt: attempt.to_be_bytes().to_vec(),
    };
    // Runs as a task of its own: a caller that goes away in the middle must not
    // leave the order in an unknown state. It gets the answer by its key.
    let api = Arc::clone(api);
    let task = tokio::spawn(async move {
        if let Some(answer) = begin_order(&api, begin).await? {
            return Ok(answer);
        }
        let mut guard = OrderGuard {
            api: Arc::clone(&api),
            finish: OrderFinish {
                team: caller.team,
                key,
                attempt: attempt.to_be_bytes().to_vec(),
                ..OrderFinish::default()
            },
            open: true,
        };
        run(&api, admit, bill_key, &call, Some(&mut guard)).await
    });
    task.await.unwrap_or_else(|_| {
        Err(Refusal::unavailable("stopping", "the router is stopping").run(RunState::Unknown))
    })
}

/// Returns SHA-256 over service, method, path and body.
fn order_hash(service: &str, call: &Call) -> Vec<u8> {
    let mut sha = Sha256::new();
    let parts = [
        service.as_bytes(),
        call.method.as_str().as_bytes(),
        call.path.as_bytes(),
        &call.body,
    ];
    for part in parts {
        sha.update((part.len() as u64).to_be_bytes());
        sha.update(part);
    }
    sha.finalize().to_vec()
}

/// Commits the start of an order. Returns `None` when this router shall run
/// it, else the recorded answer.
async fn begin_order(api: &Api, begin: OrderBegin) -> Result<Option<Response>, Refusal> {
    let until = Instant::now() + api.options.service_first_byte;
    loop {
        let within = until.saturating_duration_since(Instant::now());
        let reply = api.core.order_begin(begin.clone(), within).await?;
        let state = OrderState::try_from(reply.state).unwrap_or(OrderState::Unknown);
        match state {
            OrderState::Run => return Ok(None),
            OrderState::Finished => return recorded(api, reply).map(Some),
            OrderState::Running if Instant::now() + RUNNING_POLL < until => {
                tokio::time::sleep(RUNNING_POLL).await;
            }
            OrderState::Running => {
                return Err(Refusal::new(
                    StatusCode::CONFLICT,
                    "order_running",
                    "the order of this key is running",
                )
                .run(RunState::Unknown)
                .retry_after(Duration::from_secs(1)));
            }
            OrderState::Unknown => {
                return Err(Refusal::new(
                    StatusCode::CONFLICT,
                    "order_unknown",
                    "the order of this key may have run; it will not be run again",
                )
                .run(RunState::Unknown));
            }
            OrderState::Mismatch => {
                return Err(Refusal::new(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "key_mismatch",
                    "the key was used with another call",
                ));
            }
        }
    }
}

fn recorded(api: &Api, reply: OrderReply) -> Result<Response, Refusal> {
    let status = u16::try_from(reply.status)
        .ok()
        .and_then(|s| StatusCode::from_u16(s).ok())
        .unwrap_or(StatusCode::OK);
    if reply.body_dropped {
        let text = format!(
            "{{\"run\":\"yes\",\"status\":{},\"message\":\"the order was run; its answer was too long to keep\"}}",
            status.as_u16()
        );
        let body = Bytes::from(text);
        return Ok(passed_on(api, status, "application/json", body));
    }
    let body = Bytes::from(reply.body);
    Ok(passed_on(api, status, &reply.content_type, body))
}

async fn run(
    api: &Api,
    mut admit: Admit,
    bill_key: Option<[u8; 16]>,
    call: &Call,
    order: Option<&mut OrderGuard>,
) -> Result<Response, Refusal> {
    let mut running = Running::new(&api.core, &api.metrics.in_flight, bill_key);
    admit.no = running.no;
    let price = admit.amount;
    let mut ticket = match api.core.admit(admit).await {
        Ok(ticket) => ticket,
        Err(refusal) => {
            running.ended();
            if let Some(order) = order {
                order.finish(OrderOutcome::NotRun, None);
            }
            return Err(refusal);
        }
    };
    loop {
        let mut failure = match attempt(api, call, &ticket, order.is_some()).await {
            Ok(done) => {
                running.settle(price).await;
                if let Some(order) = order {
                    order.finish(OrderOutcome::Done, Some(&done));
                }
                return Ok(passed_on(api, done.status, &done.content_type, done.body));
            }
            Err(failure) => failure,
        };
        if order.is_some() && failure.run != RunState::No {
            // An order that may have run is never sent again, and its caller
            // is told so. It is billed, as it may have run.
            failure.retry = false;
        }
        let used = if failure.run == RunState::No {
            0
        } else {
            price
        };
        let used = if order.is_some() { used } else { 0 };
        let next = api
            .core
            .failed(running.no, failure.end, failure.retry, failure.run, used)
            .await;
        ticket = match next {
            Ok(ticket) => ticket,
            Err(refusal) => {
                running.ended();
                if let Some(order) = order {
                    let outcome = if failure.run == RunState::No {
                        OrderOutcome::NotRun
                    } else {
                        OrderOutcome::Unknown
                    };
                    order.finish(outcome, None);
                }
                return Err(refusal);
            }
        };
    }
}

async fn attempt(api: &Api, call: &Call, ticket: &Ticket, order: bool) -> Result<Done, Failure> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(PRIORITY_HEADER, ticket.priority);
    for name in PASSED_HEADERS {
        if let Some(value) = call.headers.get(name) {
            builder = builder.header(name, value);
        }
    }
    let request = builder
        .body(Full::new(call.body.clone()))
        .map_err(|_| Failure::not_made())?;
    let mut cancel = CancelOnDrop::new(&api.client, ticket.address, ticket.attempt);
    if order {
        // A cancelled order would be in an unknown state for no gain.
        cancel.disarm();
    }
    let limit = api.options.service_first_byte;
    let answer = match api
        .client
        // A pooled connection may be closed by its peer just now, which would
        // leave an order in an unknown state.
        .send(ticket.address, request, ticket.attempt, limit, order)
        .await
    {
        Ok(answer) => answer,
        Err(e) => {
            api.metrics.attempts.with_label_values(&["failed"]).inc();
            return Err(Failure::of(&e.error, e.written));
        }
    };
    cancel.disarm();
    let not_run = answer
        .headers
        .get(REFUSED_HEADER)
        .is_some_and(|v| v.as_bytes() == b"not-run");
    if not_run || (!order && answer.status == StatusCode::SERVICE_UNAVAILABLE) {
        api.metrics.attempts.with_label_values(&["refused"]).inc();
        return Err(refused(answer, limit).await);
    }
    let status = answer.status;
    let content_type = answer
        .headers
        .get(http::header::CONTENT_TYPE)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let body = answer.collect(limit).await.map_err(|e| {
        api.metrics.attempts.with_label_values(&["failed"]).inc();
        Failure::of(&e, true)
    })?;
    api.metrics.attempts.with_label_values(&["ok"]).inc();
    Ok(Done {
        status,
        content_type,
        body,
    })
}
