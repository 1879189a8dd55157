//! Handles model requests: admission, attempts, streaming and settlement.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anvilloft_types::RunState;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::mpsc;
use volo_http::response::Response;

use crate::api::Api;
use crate::api::ApiRequest;
use crate::api::MAX_IDEMPOTENCY_KEY_BYTES;
use crate::api::json_response;
use crate::body;
use crate::body::BufferedBody;
use crate::body::ChannelBody;
use crate::body::OpenResponseGuard;
use crate::client::ClientError;
use crate::client::EndpointResponse;
use crate::client::PRIORITY_HEADER;
use crate::client::REFUSED_HEADER;
use crate::core_handle::Admit;
use crate::core_handle::AttemptEnd;
use crate::core_handle::CoreMsg;
use crate::core_handle::Target;
use crate::core_handle::Ticket;
use crate::error::Refusal;
use crate::guards::CancelOnDrop;
use crate::guards::RequestGuard;
use crate::model_request;
use crate::model_request::CompletionKind;
use crate::model_request::ModelRequest;
use crate::notice;
use crate::silence::HeaderWait;
use crate::silence::KeepEndpoint;
use crate::silence::next_chunk;
use crate::silence::read_body;
use crate::sse::EventScanner;
use crate::sse::Usage;

mod forwarder;

use forwarder::StreamForwarder;

/// Maximum number of queued chunks of a stream while its caller is slow.
const MAX_QUEUED_CHUNKS: usize = 16;
/// Estimated prompt bytes per token, used when the engine reports no usage.
const BYTES_PER_TOKEN: u64 = 4;
/// Data events without a token: the role at the start and the finish reason at the
/// end.
const NON_TOKEN_EVENTS: u64 = 2;
/// Time for each token of an answer that is not streamed, in which its engine is silent.
/// Engines are used up to a gap of 31 ms.
const TOKEN_TIME: Duration = Duration::from_millis(50);

/// Returns the first 16 bytes of the SHA-256 over the length-prefixed parts.
pub(crate) fn hash_parts(parts: &[&[u8]]) -> [u8; 16] {
    let mut sha = Sha256::new();
    for part in parts {
        sha.update((part.len() as u64).to_be_bytes());
        sha.update(part);
    }
    let digest = sha.finalize();
    let mut out = [0; 16];
    out.copy_from_slice(&digest[..16]);
    out
}

/// Returns the caller's idempotency key, if any. Fails if the key is invalid.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, Refusal> {
    match headers.get("idempotency-key") {
        None => Ok(None),
        Some(value) => match value.to_str() {
            Ok(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES => Ok(Some(key)),
            _ => Err(Refusal::bad_request(
                "Idempotency-Key",
                format!("must be a text of 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes"),
            )),
        },
    }
}

/// A failed attempt.
pub(crate) struct AttemptFailure {
    pub(crate) end: AttemptEnd,
    /// Whether the request was run, as far as is known.
    pub(crate) run: RunState,
    pub(crate) retry: bool,
    /// Error of the endpoint that is returned to the caller instead of a retry.
    pub(crate) refusal: Option<Refusal>,
}

impl AttemptFailure {
    /// Returns the failure of a request that could not be built, so that nothing was
    /// sent.
    pub(crate) fn request_not_built() -> Self {
        Self {
            end: AttemptEnd::Failed,
            run: RunState::No,
            retry: false,
            refusal: None,
        }
    }

    pub(crate) fn from_client_error(error: &ClientError, written: bool) -> Self {
        let end = match error {
            ClientError::Connect(_) => AttemptEnd::Unreachable,
            ClientError::Broken(_) if !written => AttemptEnd::Unreachable,
            ClientError::Broken(_) => AttemptEnd::Broken,
            ClientError::Timeout(_) => AttemptEnd::TimedOut,
            // The router kept the endpoint waiting.
            ClientError::NoMemory => AttemptEnd::Cancelled,
            _ => AttemptEnd::Failed,
        };
        Self {
            end,
            run: if written {
                RunState::Unknown
            } else {
                RunState::No
            },
            retry: true,
            refusal: None,
        }
    }
}

/// A successful response: all of it, or the start of a stream.
enum AttemptResponse {
    Whole { body: Bytes, usage: Option<Usage> },
    Stream(Box<EngineStream>),
}

struct EngineStream {
    response: EndpointResponse,
    scanner: EventScanner,
    first: Bytes,
    cancel: CancelOnDrop,
}

/// Handles one model request.
pub(crate) async fn handle(
    api: &Arc<Api>,
    kind: CompletionKind,
    request: ApiRequest,
) -> Result<Response, Refusal> {
    let arrived = Instant::now();
    let (caller, rank) = {
        let view = api.view.load();
        let caller = api.authenticate(&view, &request.headers)?;
        let rank = api.requested_rank(&view, &caller, &request.headers)?;
        (caller, rank)
    };
    let key = idempotency_key(&request.headers)?.map(str::to_owned);
    let limits = api.read_limits(api.options.max_body_bytes);
    let (body, _memory_guard) = body::read(request.body, &limits).await?;
    let req = model_request::parse(&api.view.load().config, kind, &body)?;
    let fingerprint = hash_parts(&[caller.team.as_bytes(), &body]);
    let key = key.map(|key| hash_parts(&[caller.team.as_bytes(), key.as_bytes(), &body]));
    let amount = req
        .max_prompt_tokens
        .checked_add(req.max_tokens)
        .ok_or_else(|| Refusal::bad_request("max_tokens", "is too large"))?;

    let mut guard = RequestGuard::new(&api.core, &api.metrics.in_flight, key);
    let admit = Admit {
        no: guard.no,
        request_id: request.request_id,
        team: caller.team.clone(),
        rank,
        budget: caller.budget,
        amount,
        target: Target::Model {
            name: req.model.clone(),
            version: req.version.clone(),
            prefix_hash: req.prefix_hash,
            max_prompt_tokens: req.max_prompt_tokens,
            max_output_tokens: req.max_tokens,
        },
        fingerprint,
        attempt: None,
    };
    let mut ticket = match api.core.admit(admit).await {
        Ok(ticket) => ticket,
        Err(refusal) => {
            guard.disarm();
            return Err(refusal);
        }
    };
    let deadline = Instant::now() + api.options.max_stream_duration;
    let started = loop {
        let failure = match attempt(api, kind, &req, &ticket, deadline).await {
            Ok(started) => break started,
            Err(failure) => failure,
        };
        if let Some(refusal) = failure.refusal {
            guard.finish(0, failure.end);
            return Err(refusal);
        }
        let next = api
            .core
            .report_failure(guard.no, failure.end, failure.retry, failure.run, 0)
            .await;
        ticket = match next {
            Ok(ticket) => ticket,
            Err(refusal) => {
                guard.disarm();
                return Err(refusal);
            }
        };
    };
    let waited = arrived.elapsed();
    api.metrics.first_byte.observe(waited.as_secs_f64());
    api.core.post(CoreMsg::FirstByte(guard.no, waited));
    match started {
        AttemptResponse::Whole { body, usage } => {
            let used = usage.map_or(amount, |u| u.total()).min(amount);
            let open = OpenResponseGuard::new(&api.metrics.open_answers);
            guard.settle(used).await;
            Ok(json_response(BufferedBody::body(body, open)))
        }
        AttemptResponse::Stream(stream) => {
            let (tx, rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
            let forwarder = StreamForwarder {
                core: api.core.clone(),
                stream: *stream,
                guard,
                tx,
                prompt_estimate: (req.max_prompt_tokens / BYTES_PER_TOKEN).max(1),
                max_tokens: req.max_tokens,
                amount,
                gap: api.client.timeouts().gap,
                write_timeout: api.options.write_timeout,
                deadline,
            };
            tokio::spawn(forwarder.run());
            let mut resp = Response::new(ChannelBody::body(
                rx,
                OpenResponseGuard::new(&api.metrics.open_answers),
            ));
            let headers = resp.headers_mut();
            headers.insert(
                http::header::CONTENT_TYPE,
                HeaderValue::from_static("text/event-stream"),
            );
            headers.insert(
                http::header::CACHE_CONTROL,
                HeaderValue::from_static("no-cache"),
            );
            Ok(resp)
        }
    }
}

async fn attempt(
    api: &Api,
    kind: CompletionKind,
    req: &ModelRequest,
    ticket: &Ticket,
    deadline: Instant,
) -> Result<AttemptResponse, AttemptFailure> {
    let record_outcome = |name| api.metrics.attempts.with_label_values(&[name]).inc();
    let request = Request::post(kind.path())
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(PRIORITY_HEADER, ticket.priority)
        .body(Full::new(req.body.clone()))
        .map_err(|_| AttemptFailure::request_not_built())?;
    let mut cancel = CancelOnDrop::new(&api.client, ticket.address, ticket.attempt);
    let first_byte = api.client.timeouts().first_byte;
    let policy = KeepEndpoint {
        core: &api.core,
        no: ticket.no,
        movable_at: Instant::now().checked_add(generation_time(req)),
        deadline,
    };
    let header_wait = HeaderWait {
        limit: first_byte,
        policy: Some(&policy),
    };
    let sent = api
        .client
        .send(ticket.address, request, ticket.attempt, header_wait, false)
        .await;
    let response = match sent {
        Ok(response) => response,
        Err(e) => {
            if !e.written || e.error.is_connection_failure() {
                cancel.disarm();
            }
            record_outcome("failed");
            return Err(AttemptFailure::from_client_error(&e.error, e.written));
        }
    };
    notice::report(api, ticket.no, &response);
    if response.status != StatusCode::OK {
        cancel.disarm();
        record_outcome("refused");
        return Err(read_error_response(response, api.client.timeouts().gap).await);
    }
    let started = if req.stream {
        start_stream(response, req, cancel, first_byte, &policy).await
    } else {
        let res = read_whole(response, first_byte, &policy).await;
        if res.is_ok() {
            cancel.disarm();
        }
        res
    };
    record_outcome(if started.is_ok() { "ok" } else { "failed" });
    started
}

/// Returns the time in which an engine may be silent while it generates an answer.
fn generation_time(req: &ModelRequest) -> Duration {
    match req.stream {
        true => Duration::ZERO,
        false => TOKEN_TIME.saturating_mul(u32::try_from(req.max_tokens).unwrap_or(u32::MAX)),
    }
}

/// Reads an error response and classifies the failure.
pub(crate) async fn read_error_response(
    response: EndpointResponse,
    gap: Duration,
) -> AttemptFailure {
    let status = response.status;
    let not_run = response
        .headers
        .get(REFUSED_HEADER)
        .is_some_and(|v| v.as_bytes() == b"not-run");
    let busy = not_run
        || status == StatusCode::TOO_MANY_REQUESTS
        || status == StatusCode::SERVICE_UNAVAILABLE;
    let body = response.collect(gap).await.unwrap_or_default();
    // Only the mark states that the request was not run.
    let run = if not_run {
        RunState::No
    } else {
        RunState::Unknown
    };
    if status.is_client_error() && !busy {
        // The engine rejected the request as invalid, as any other engine would.
        let message = serde_json::from_slice::<serde_json::Value>(&body)
            .ok()
            .and_then(|v| v["error"]["message"].as_str().map(str::to_owned))
            .unwrap_or_else(|| format!("the engine refused the request with status {status}"));
        let refusal = Refusal::new(status, "engine_refused", message);
        return AttemptFailure {
            end: AttemptEnd::Ok,
            run: RunState::No,
            retry: false,
            refusal: Some(refusal),
        };
    }
    AttemptFailure {
        end: if busy {
            AttemptEnd::Busy
        } else {
            AttemptEnd::Failed
        },
        run,
        retry: true,
        refusal: None,
    }
}

async fn read_whole(
    response: EndpointResponse,
    timeout: Duration,
    policy: &KeepEndpoint<'_>,
) -> Result<AttemptResponse, AttemptFailure> {
    #[derive(serde::Deserialize)]
    struct Whole {
        #[serde(default)]
        usage: Option<Usage>,
        #[serde(rename = "choices")]
        _choices: Vec<serde::de::IgnoredAny>,
    }
    let body = read_body(response, timeout, policy)
        .await
        .map_err(|e| AttemptFailure::from_client_error(&e, true))?;
    match serde_json::from_slice::<Whole>(&body) {
        Ok(whole) => Ok(AttemptResponse::Whole {
            body,
            usage: whole.usage,
        }),
        Err(_) => Err(AttemptFailure {
            end: AttemptEnd::Failed,
            run: RunState::Unknown,
            retry: true,
            refusal: None,
        }),
    }
}

async fn start_stream(
    mut response: EndpointResponse,
    req: &ModelRequest,
    cancel: CancelOnDrop,
    timeout: Duration,
    policy: &KeepEndpoint<'_>,
) -> Result<AttemptResponse, AttemptFailure> {
    let is_stream = response
        .headers
        .get(http::header::CONTENT_TYPE)
        .is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
    let invalid_stream = || AttemptFailure {
        end: AttemptEnd::Failed,
        run: RunState::Unknown,
        retry: true,
        refusal: None,
    };
    if !is_stream {
        return Err(invalid_stream());
    }
    let mut scanner = EventScanner::new(req.include_usage);
    let mut heard_at = None;
    loop {
        let next = match heard_at {
            None => next_chunk(&mut response, timeout, policy).await,
            // Bytes before the first event don't extend the wait for it.
            Some(at) => {
                response
                    .next(timeout.saturating_sub(Instant::elapsed(&at)))
                    .await
            }
        };
        heard_at.get_or_insert_with(Instant::now);
        let chunk = match next {
            Ok(Some(chunk)) => chunk,
            Ok(None) => return Err(invalid_stream()),
            Err(e) => return Err(AttemptFailure::from_client_error(&e, true)),
        };
        let first = scanner
            .push(&chunk, req.max_tokens.saturating_add(NON_TOKEN_EVENTS))
            .map_err(|_| invalid_stream())?;
        if scanner.error_seen && first.is_empty() {
            return Err(invalid_stream());
        }
        if !first.is_empty() {
            return Ok(AttemptResponse::Stream(Box::new(EngineStream {
                response,
                scanner,
                first,
                cancel,
            })));
        }
    }
}

/// Builds a response to the caller with the status, content type and body of an
/// endpoint's response.
pub(crate) fn build_response(
    api: &Api,
    status: StatusCode,
    content_type: &str,
    body: Bytes,
) -> Response {
    let open = OpenResponseGuard::new(&api.metrics.open_answers);
    let mut resp = Response::new(BufferedBody::body(body, open));
    *resp.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(content_type)
        && !content_type.is_empty()
    {
        resp.headers_mut().insert(http::header::CONTENT_TYPE, value);
    }
    resp
}
