//! Handles calls of plain services. A call that must not run twice is an order,
//! which is recorded under its idempotency key.

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
use crate::api::ApiRequest;
use crate::body;
use crate::client::PRIORITY_HEADER;
use crate::client::REFUSED_HEADER;
use crate::completions::AttemptFailure;
use crate::completions::build_response;
use crate::completions::hash_parts;
use crate::completions::idempotency_key;
use crate::completions::read_error_response;
use crate::core_handle::Admit;
use crate::core_handle::AttemptEnd;
use crate::core_handle::CoreMsg;
use crate::core_handle::Target;
use crate::core_handle::Ticket;
use crate::error::Refusal;
use crate::guards::CancelOnDrop;
use crate::guards::RequestGuard;
use crate::memory::BodyMemoryGuard;
use crate::notice;
use crate::silence::HeaderWait;
use crate::silence::KeepEndpoint;
use crate::silence::read_body;

/// Maximum length of a response body recorded with an order, in bytes.
const MAX_RECORDED_BODY_BYTES: usize = 64 * 1024;
/// Interval between checks of an order that another request is running.
const ORDER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Request headers that are forwarded to services.
const FORWARDED_HEADERS: [&str; 4] = [
    "content-type",
    "accept",
    "accept-language",
    "idempotency-key",
];

/// A call to send to an endpoint.
struct ServiceCall {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    _memory_guard: BodyMemoryGuard,
}

/// The complete response of a service.
struct ServiceResponse {
    status: StatusCode,
    content_type: String,
    body: Bytes,
}

/// Splits `/v1/services/{service}/{path}` into service and path.
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

/// Records the outcome of an order once. Dropped without an outcome, for example
/// when the task that runs the order panics, it records `Unknown`.
struct OrderGuard {
    api: Arc<Api>,
    finish: OrderFinish,
    armed: bool,
}

impl OrderGuard {
    fn finish(&mut self, outcome: OrderOutcome, response: Option<&ServiceResponse>) {
        if !std::mem::take(&mut self.armed) {
            return;
        }
        let mut finish = self.finish.clone();
        finish.outcome = outcome as i32;
        if let Some(response) = response {
            finish.status = u32::from(response.status.as_u16());
            finish.content_type = response.content_type.clone();
            finish.body_dropped = response.body.len() > MAX_RECORDED_BODY_BYTES;
            if !finish.body_dropped {
                finish.body = response.body.to_vec();
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

/// Handles one call of a plain service.
pub(crate) async fn handle(api: &Arc<Api>, request: ApiRequest) -> Result<Response, Refusal> {
    let view = api.view.load_full();
    let caller = api.authenticate(&view, &request.headers)?;
    let rank = api.requested_rank(&view, &caller, &request.headers)?;
    let not_found = || {
        Refusal::new(
            StatusCode::NOT_FOUND,
            "service_not_found",
            "there is no service with this name",
        )
    };
    let (name, path) = split_path(&request.path_and_query).ok_or_else(not_found)?;
    let service = view.config.service(name).ok_or_else(not_found)?.clone();
    let key = idempotency_key(&request.headers)?.map(str::to_owned);
    if !service.idempotent && key.is_none() {
        return Err(Refusal::bad_request(
            "Idempotency-Key",
            "calls of this service require an Idempotency-Key",
        ));
    }
    let limits = api.read_limits(api.options.max_body_bytes);
    let (body, memory_guard) = body::read(request.body, &limits).await?;
    let fingerprint = hash_parts(&[
        caller.team.as_bytes(),
        name.as_bytes(),
        request.method.as_str().as_bytes(),
        path.as_bytes(),
        &body,
    ]);
    let billing_key = key
        .as_ref()
        .map(|key| hash_parts(&[caller.team.as_bytes(), key.as_bytes(), &fingerprint]));
    let call = ServiceCall {
        method: request.method,
        path,
        headers: request.headers,
        body,
        _memory_guard: memory_guard,
    };
    let mut admit = Admit {
        no: 0,
        request_id: request.request_id,
        team: caller.team.clone(),
        rank,
        budget: caller.budget,
        amount: service.price,
        target: Target::Service(service.name.clone()),
        fingerprint,
        attempt: None,
    };
    let (false, Some(key)) = (service.idempotent, key) else {
        return run(api, admit, billing_key, &call, None).await;
    };
    let attempt = rand::random::<u128>();
    admit.attempt = Some(attempt);
    let begin = OrderBegin {
        team: caller.team.clone(),
        key: key.clone(),
        body_hash: order_hash(&service.name, &call),
        router: api.options.router_name.clone(),
        incarnation: 0,
        attempt: attempt.to_be_bytes().to_vec(),
    };
    // Runs in its own task, so that a caller that disconnects doesn't leave the
    // order in an unknown state. The caller can get the response by its key.
    let api = Arc::clone(api);
    let task = tokio::spawn(async move {
        if let Some(response) = begin_order(&api, begin).await? {
            return Ok(response);
        }
        let mut guard = OrderGuard {
            api: Arc::clone(&api),
            finish: OrderFinish {
                team: caller.team,
                key,
                attempt: attempt.to_be_bytes().to_vec(),
                ..OrderFinish::default()
            },
            armed: true,
        };
        run(&api, admit, billing_key, &call, Some(&mut guard)).await
    });
    task.await.unwrap_or_else(|_| {
        Err(Refusal::unavailable("stopping", "the router is stopping")
            .with_run_state(RunState::Unknown))
    })
}

/// Returns the SHA-256 over service, method, path and body.
fn order_hash(service: &str, call: &ServiceCall) -> Vec<u8> {
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

/// Commits the start of an order. Returns `None` if this request must run the
/// order, or else the recorded response.
async fn begin_order(api: &Api, begin: OrderBegin) -> Result<Option<Response>, Refusal> {
    let deadline = Instant::now() + api.options.service_first_byte_timeout;
    loop {
        let timeout = deadline.saturating_duration_since(Instant::now());
        let reply = api.core.order_begin(begin.clone(), timeout).await?;
        let state = OrderState::try_from(reply.state).unwrap_or(OrderState::Unknown);
        match state {
            OrderState::Run => return Ok(None),
            OrderState::Finished => return recorded_response(api, reply).map(Some),
            OrderState::Running if Instant::now() + ORDER_POLL_INTERVAL < deadline => {
                tokio::time::sleep(ORDER_POLL_INTERVAL).await;
            }
            OrderState::Running => {
                return Err(Refusal::new(
                    StatusCode::CONFLICT,
                    "order_running",
                    "the order with this key is still running",
                )
                .with_run_state(RunState::Unknown)
                .retry_after(Duration::from_secs(1)));
            }
            OrderState::Unknown => {
                return Err(Refusal::new(
                    StatusCode::CONFLICT,
                    "order_unknown",
                    "the order with this key may have run; it will not be run again",
                )
                .with_run_state(RunState::Unknown));
            }
            OrderState::Mismatch => {
                return Err(Refusal::new(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "key_mismatch",
                    "the idempotency key was used with a different call",
                ));
            }
        }
    }
}

fn recorded_response(api: &Api, reply: OrderReply) -> Result<Response, Refusal> {
    let status = u16::try_from(reply.status)
        .ok()
        .and_then(|s| StatusCode::from_u16(s).ok())
        .unwrap_or(StatusCode::OK);
    if reply.body_dropped {
        let text = format!(
            "{{\"run\":\"yes\",\"status\":{},\"message\":\"the order was run; its response was too long to record\"}}",
            status.as_u16()
        );
        let body = Bytes::from(text);
        return Ok(build_response(api, status, "application/json", body));
    }
    let body = Bytes::from(reply.body);
    Ok(build_response(api, status, &reply.content_type, body))
}

async fn run(
    api: &Api,
    mut admit: Admit,
    billing_key: Option<[u8; 16]>,
    call: &ServiceCall,
    order: Option<&mut OrderGuard>,
) -> Result<Response, Refusal> {
    let mut guard = RequestGuard::new(&api.core, &api.metrics.in_flight, billing_key);
    admit.no = guard.no;
    let price = admit.amount;
    let mut ticket = match api.core.admit(admit).await {
        Ok(ticket) => ticket,
        Err(refusal) => {
            guard.disarm();
            if let Some(order) = order {
                order.finish(OrderOutcome::NotRun, None);
            }
            return Err(refusal);
        }
    };
    let deadline = Instant::now() + api.options.max_stream_duration;
    loop {
        let mut failure = match attempt(api, call, &ticket, order.is_some(), deadline).await {
            Ok(response) => {
                guard.settle(price).await;
                if let Some(order) = order {
                    order.finish(OrderOutcome::Done, Some(&response));
                }
                return Ok(build_response(
                    api,
                    response.status,
                    &response.content_type,
                    response.body,
                ));
            }
            Err(failure) => failure,
        };
        if order.is_some() && failure.run != RunState::No {
            // An order that may have run is never sent again, and the refusal
            // reports that to the caller. It is billed because it may have run.
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
            .report_failure(guard.no, failure.end, failure.retry, failure.run, used)
            .await;
        ticket = match next {
            Ok(ticket) => ticket,
            Err(refusal) => {
                guard.disarm();
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

async fn attempt(
    api: &Api,
    call: &ServiceCall,
    ticket: &Ticket,
    order: bool,
    deadline: Instant,
) -> Result<ServiceResponse, AttemptFailure> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(PRIORITY_HEADER, ticket.priority);
    for name in FORWARDED_HEADERS {
        if let Some(value) = call.headers.get(name) {
            builder = builder.header(name, value);
        }
    }
    let request = builder
        .body(Full::new(call.body.clone()))
        .map_err(|_| AttemptFailure::request_not_built())?;
    let mut cancel = CancelOnDrop::new(&api.client, ticket.address, ticket.attempt);
    if order {
        // Cancelling would only leave the order in an unknown state.
        cancel.disarm();
    }
    let timeout = api.options.service_first_byte_timeout;
    let policy = KeepEndpoint {
        core: &api.core,
        no: ticket.no,
        // An order that was sent is never sent again.
        movable_at: (!order).then(Instant::now),
        deadline,
    };
    let header_wait = HeaderWait {
        limit: timeout,
        policy: Some(&policy),
    };
    let response = match api
        .client
        // Orders use a new connection: a pooled one may be closed by the endpoint
        // at the same moment, which would leave the order in an unknown state.
        .send(ticket.address, request, ticket.attempt, header_wait, order)
        .await
    {
        Ok(response) => response,
        Err(e) => {
            api.metrics.attempts.with_label_values(&["failed"]).inc();
            return Err(AttemptFailure::from_client_error(&e.error, e.written));
        }
    };
    cancel.disarm();
    notice::report(api, ticket.no, &response);
    let not_run = response
        .headers
        .get(REFUSED_HEADER)
        .is_some_and(|v| v.as_bytes() == b"not-run");
    if not_run || (!order && response.status == StatusCode::SERVICE_UNAVAILABLE) {
        api.metrics.attempts.with_label_values(&["refused"]).inc();
        return Err(read_error_response(response, timeout).await);
    }
    if response
        .headers
        .contains_key(http::header::CONTENT_ENCODING)
    {
        // No encoding is requested from services, so this body is not their own.
        api.metrics.attempts.with_label_values(&["failed"]).inc();
        return Err(AttemptFailure {
            end: AttemptEnd::Failed,
            run: RunState::Unknown,
            retry: true,
            refusal: None,
        });
    }
    let status = response.status;
    let content_type = response
        .headers
        .get(http::header::CONTENT_TYPE)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let body = read_body(response, timeout, &policy).await.map_err(|e| {
        api.metrics.attempts.with_label_values(&["failed"]).inc();
        AttemptFailure::from_client_error(&e, true)
    })?;
    api.metrics.attempts.with_label_values(&["ok"]).inc();
    Ok(ServiceResponse {
        status,
        content_type,
        body,
    })
}
