//! Model requests: admission, attempts, streams and settlement.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anvilloft_types::RunState;
use anvilloft_types::Tokens;
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
use crate::api::Asked;
use crate::api::MAX_IDEMPOTENCY_KEY;
use crate::api::json_response;
use crate::body;
use crate::body::ChannelBody;
use crate::body::OpenAnswer;
use crate::body::Piece;
use crate::body::WholeBody;
use crate::client::Answer;
use crate::client::ClientError;
use crate::client::PRIORITY_HEADER;
use crate::client::REFUSED_HEADER;
use crate::error::Refusal;
use crate::model_request;
use crate::model_request::Kind;
use crate::model_request::ModelRequest;
use crate::ports::Admit;
use crate::ports::AttemptEnd;
use crate::ports::CoreMsg;
use crate::ports::Target;
use crate::ports::Ticket;
use crate::running::CancelOnDrop;
use crate::running::Running;
use crate::sse::Scanner;
use crate::sse::Usage;

/// Pieces of a stream that wait for a slow caller, at most.
const STREAM_QUEUE: usize = 16;
/// Bytes of a prompt for each token, where no count is known.
const BYTES_PER_TOKEN: u64 = 4;
/// Events without a token: the role at the start and the reason at the end.
const EXTRA_EVENTS: u64 = 2;
/// Longest wait for the end of a stream after its `[DONE]`.
const TAIL_WAIT: Duration = Duration::from_secs(1);

/// Returns a hash of 16 bytes over length-prefixed parts.
pub(crate) fn hash16(parts: &[&[u8]]) -> [u8; 16] {
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

/// Returns the caller's idempotency key.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, Refusal> {
    match headers.get("idempotency-key") {
        None => Ok(None),
        Some(value) => match value.to_str() {
            Ok(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY => Ok(Some(key)),
            _ => Err(Refusal::bad_request(
                "Idempotency-Key",
                format!("must be a text of 1 to {MAX_IDEMPOTENCY_KEY} bytes"),
            )),
        },
    }
}

/// Why an attempt gave no answer.
pub(crate) struct Failure {
    pub(crate) end: AttemptEnd,
    /// Whether the request may have run.
    pub(crate) run: RunState,
    pub(crate) retry: bool,
    /// An answer of the endpoint that is passed on.
    pub(crate) refusal: Option<Refusal>,
}

impl Failure {
    /// A request to the endpoint could not be made, so nothing was sent.
    pub(crate) fn not_made() -> Self {
        Self {
            end: AttemptEnd::Failed,
            run: RunState::No,
            retry: false,
            refusal: None,
        }
    }

    pub(crate) fn of(error: &ClientError, written: bool) -> Self {
        let end = match error {
            ClientError::Connect(_) => AttemptEnd::Unreachable,
            ClientError::Broken(_) if !written => AttemptEnd::Unreachable,
            ClientError::Broken(_) => AttemptEnd::Broken,
            ClientError::Silent(_) => AttemptEnd::Silent,
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

/// The start of a successful answer.
enum Started {
    Whole { body: Bytes, usage: Option<Usage> },
    Stream(Box<Stream>),
}

struct Stream {
    answer: Answer,
    scanner: Scanner,
    first: Bytes,
    cancel: CancelOnDrop,
}

/// Serves one model request.
pub(crate) async fn handle(api: &Arc<Api>, kind: Kind, asked: Asked) -> Result<Response, Refusal> {
    let arrived = Instant::now();
    let (caller, rank) = {
        let view = api.view.load();
        let caller = api.caller(&view, &asked.headers)?;
        let rank = api.rank(&view, &caller, &asked.headers)?;
        (caller, rank)
    };
    let key = idempotency_key(&asked.headers)?.map(str::to_owned);
    let limits = api.read_limits(api.options.max_body_bytes);
    let (body, _held) = body::read(asked.body, &limits).await?;
    let req = model_request::parse(&api.view.load().config, kind, &body)?;
    let fingerprint = hash16(&[caller.team.as_bytes(), &body]);
    let key = key.map(|key| hash16(&[caller.team.as_bytes(), key.as_bytes(), &body]));
    let amount = req
        .prompt_bound
        .checked_add(req.max_tokens)
        .ok_or_else(|| Refusal::bad_request("max_tokens", "is too large"))?;

    let mut running = Running::new(&api.core, &api.metrics.in_flight, key);
    let admit = Admit {
        no: running.no,
        request_id: asked.request_id,
        team: caller.team.clone(),
        rank,
        budget: caller.budget,
        amount,
        target: Target::Model {
            name: req.model.clone(),
            version: req.version.clone(),
            prefix: req.prefix,
            prompt: req.prompt_bound,
            output: req.max_tokens,
        },
        fingerprint,
        attempt: None,
    };
    let mut ticket = match api.core.admit(admit).await {
        Ok(ticket) => ticket,
        Err(refusal) => {
            running.ended();
            return Err(refusal);
        }
    };
    let started = loop {
        let failure = match attempt(api, kind, &req, &ticket).await {
            Ok(started) => break started,
            Err(failure) => failure,
        };
        if let Some(refusal) = failure.refusal {
            running.finish(0, failure.end);
            return Err(refusal);
        }
        let next = api
            .core
            .failed(running.no, failure.end, failure.retry, failure.run, 0)
            .await;
        ticket = match next {
            Ok(ticket) => ticket,
            Err(refusal) => {
                running.ended();
                return Err(refusal);
            }
        };
    };
    let waited = arrived.elapsed();
    api.metrics.first_byte.observe(waited.as_secs_f64());
    api.core.post(CoreMsg::FirstByte(running.no, waited));
    match started {
        Started::Whole { body, usage } => {
            let used = usage.map_or(amount, |u| u.total()).min(amount);
            let open = OpenAnswer::new(&api.metrics.open_answers);
            running.settle(used).await;
            Ok(json_response(WholeBody::body(body, open)))
        }
        Started::Stream(stream) => {
            let (tx, rx) = mpsc::channel(STREAM_QUEUE);
            let pump = Pump {
                core: api.core.clone(),
                stream: *stream,
                running,
                tx,
                prompt_estimate: (req.prompt_bound / BYTES_PER_TOKEN).max(1),
                max_tokens: req.max_tokens,
                amount,
                gap: api.client.limits().gap,
                write_stall: api.options.write_stall,
                until: Instant::now() + api.options.stream_limit,
            };
            tokio::spawn(pump.run());
            let mut resp = Response::new(ChannelBody::body(
                rx,
                OpenAnswer::new(&api.metrics.open_answers),
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
    kind: Kind,
    req: &ModelRequest,
    ticket: &Ticket,
) -> Result<Started, Failure> {
    let outcome = |name| api.metrics.attempts.with_label_values(&[name]).inc();
    let request = Request::post(kind.path())
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(PRIORITY_HEADER, ticket.priority)
        .body(Full::new(req.body.clone()))
        .map_err(|_| Failure::not_made())?;
    let mut cancel = CancelOnDrop::new(&api.client, ticket.address, ticket.attempt);
    let first_byte = api.client.limits().first_byte;
    let sent = api
        .client
        .send(ticket.address, request, ticket.attempt, first_byte, false)
        .await;
    let answer = match sent {
        Ok(answer) => answer,
        Err(e) => {
            if !e.written || e.error.connection_failed() {
                cancel.disarm();
            }
            outcome("failed");
            return Err(Failure::of(&e.error, e.written));
        }
    };
    if answer.status != StatusCode::OK {
        cancel.disarm();
        outcome("refused");
        return Err(refused(answer, api.client.limits().gap).await);
    }
    let started = if req.stream {
        start_stream(answer, req, cancel, api.client.limits().first_byte).await
    } else {
        let res = read_whole(answer, api.client.limits().first_byte).await;
        if res.is_ok() {
            cancel.disarm();
        }
        res
    };
    outcome(if started.is_ok() { "ok" } else { "failed" });
    started
}

/// Reads an answer that isn't 200.
pub(crate) async fn refused(answer: Answer, gap: Duration) -> Failure {
    let status = answer.status;
    let not_run = answer
        .headers
        .get(REFUSED_HEADER)
        .is_some_and(|v| v.as_bytes() == b"not-run");
    let busy = not_run
        || status == StatusCode::TOO_MANY_REQUESTS
        || status == StatusCode::SERVICE_UNAVAILABLE;
    let body = answer.collect(gap).await.unwrap_or_default();
    let run = if not_run || busy {
        RunState::No
    } else {
        RunState::Unknown
    };
    if status.is_client_error() && !busy {
        // The engine found fault with the request: another engine would too.
        let message = serde_json::from_slice::<serde_json::Value>(&body)
            .ok()
            .and_then(|v| v["error"]["message"].as_str().map(str::to_owned))
            .unwrap_or_else(|| format!("the engine refused the request with status {status}"));
        let refusal = Refusal::new(status, "engine_refused", message);
        return Failure {
            end: AttemptEnd::Ok,
            run: RunState::No,
            retry: false,
            refusal: Some(refusal),
        };
    }
    Failure {
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

async fn read_whole(answer: Answer, gap: Duration) -> Result<Started, Failure> {
    #[derive(serde::Deserialize)]
    struct Whole {
        #[serde(default)]
        usage: Option<Usage>,
        #[serde(rename = "choices")]
        _choices: Vec<serde::de::IgnoredAny>,
    }
    // An engine sends the whole answer at its end, so the pause before it is
    // the time of the generation.
    let body = answer
        .collect(gap)
        .await
        .map_err(|e| Failure::of(&e, true))?;
    match serde_json::from_slice::<Whole>(&body) {
        Ok(whole) => Ok(Started::Whole {
            body,
            usage: whole.usage,
        }),
        Err(_) => Err(Failure {
            end: AttemptEnd::Failed,
            run: RunState::Unknown,
            retry: true,
            refusal: None,
        }),
    }
}

async fn start_stream(
    mut answer: Answer,
    req: &ModelRequest,
    cancel: CancelOnDrop,
    gap: Duration,
) -> Result<Started, Failure> {
    let is_stream = answer
        .headers
        .get(http::header::CONTENT_TYPE)
        .is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
    let failed = || Failure {
        end: AttemptEnd::Failed,
        run: RunState::Unknown,
        retry: true,
        refusal: None,
    };
    if !is_stream {
        return Err(failed());
    }
    let mut scanner = Scanner::new(req.include_usage);
    loop {
        let piece = match answer.next(gap).await {
            Ok(Some(piece)) => piece,
            Ok(None) => return Err(failed()),
            Err(e) => return Err(Failure::of(&e, true)),
        };
        let first = scanner
            .push(&piece, req.max_tokens.saturating_add(EXTRA_EVENTS))
            .map_err(|_| failed())?;
        if scanner.failed && first.is_empty() {
            return Err(failed());
        }
        if !first.is_empty() {
            return Ok(Started::Stream(Box::new(Stream {
                answer,
                scanner,
                first,
                cancel,
            })));
        }
    }
}

/// Carries a stream from its endpoint to its caller.
struct Pump {
    core: crate::ports::CoreHandle,
    stream: Stream,
    running: Running,
    tx: mpsc::Sender<Piece>,
    prompt_estimate: Tokens,
    max_tokens: Tokens,
    amount: Tokens,
    gap: Duration,
    write_stall: Duration,
    until: Instant,
}

/// How a stream ended.
enum End {
    Done,
    CallerGone,
    Limit(&'static str, &'static str),
    Broken(AttemptEnd, String),
}

impl Pump {
    /// Returns the tokens to settle.
    fn used(&self) -> Tokens {
        let scanner = &self.stream.scanner;
        let counted = scanner.events.min(self.max_tokens) + self.prompt_estimate;
        scanner
            .usage
            .map_or(counted, |u| u.total())
            .min(self.amount)
    }

    async fn forward(&mut self) -> End {
        let max_events = self.max_tokens.saturating_add(EXTRA_EVENTS);
        let mut out = std::mem::take(&mut self.stream.first);
        loop {
            // Kept up to date for the case that this task is dropped.
            self.running.used = self.used();
            let done = self.stream.scanner.done;
            if !out.is_empty() || done {
                let piece = if done {
                    // Settled first: a caller that saw its end may ask for
                    // its budget at once.
                    let used = self.used();
                    self.running.settle(used).await;
                    Piece::Last(out)
                } else {
                    Piece::More(out)
                };
                match self.tx.try_send(piece) {
                    Ok(()) => {}
                    Err(mpsc::error::TrySendError::Closed(_)) => return End::CallerGone,
                    Err(mpsc::error::TrySendError::Full(piece)) => {
                        let send = self.tx.send(piece);
                        match tokio::time::timeout(self.write_stall, send).await {
                            Ok(Ok(())) => {}
                            Ok(Err(_)) | Err(_) => return End::CallerGone,
                        }
                    }
                }
            }
            if done {
                return End::Done;
            }
            if self.stream.scanner.failed {
                let reason = "the engine reported an error".to_owned();
                return End::Broken(AttemptEnd::Failed, reason);
            }
            if self.stream.scanner.events > max_events {
                return End::Limit("token_limit", "the stream reached its reserved tokens");
            }
            if Instant::now() >= self.until {
                return End::Limit("stream_limit", "the stream reached its time limit");
            }
            let next = tokio::select! {
                biased;
                next = self.stream.answer.next(self.gap) => next,
                () = self.tx.closed() => return End::CallerGone,
            };
            let piece = match next {
                Ok(Some(piece)) => piece,
                Ok(None) => {
                    let reason = "the engine ended the stream early".to_owned();
                    return End::Broken(AttemptEnd::Failed, reason);
                }
                Err(e) => return End::Broken(Failure::of(&e, true).end, e.to_string()),
            };
            out = match self.stream.scanner.push(&piece, max_events) {
                Ok(out) => out,
                Err(_) => {
                    let reason = "the engine sent an event that is too long".to_owned();
                    return End::Broken(AttemptEnd::Failed, reason);
                }
            };
        }
    }

    async fn run(mut self) {
        let end = self.forward().await;
        let used = self.used();
        let refusal = match end {
            End::Done => {
                self.stream.cancel.disarm();
                let tx = self.tx;
                drop(tx);
                // Reads the end, so that the connection can be used again.
                while let Ok(Some(_)) = self.stream.answer.next(TAIL_WAIT).await {}
                return;
            }
            End::CallerGone => {
                self.running.finish(used, AttemptEnd::Cancelled);
                return;
            }
            End::Limit(code, message) => {
                self.running.finish(used, AttemptEnd::Ok);
                Refusal::new(StatusCode::OK, code, message).run(RunState::Yes)
            }
            End::Broken(end, reason) => {
                // Answers after the strike, if the endpoint died.
                self.core
                    .failed(self.running.no, end, false, RunState::Yes, used)
                    .await
                    .ok();
                self.running.ended();
                let message = format!("the stream was interrupted: {reason}");
                Refusal::bad_gateway("interrupted", message, RunState::Yes)
            }
        };
        let event = format!("data: {}\n\n", refusal.json());
        let send = self.tx.send(Piece::Last(Bytes::from(event)));
        tokio::time::timeout(self.write_stall, send).await.ok();
    }
}

/// Makes an answer with the status and content type of an endpoint.
pub(crate) fn passed_on(
    api: &Api,
    status: StatusCode,
    content_type: &str,
    body: Bytes,
) -> Response {
    let open = OpenAnswer::new(&api.metrics.open_answers);
    let mut resp = Response::new(WholeBody::body(body, open));
    *resp.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(content_type)
        && !content_type.is_empty()
    {
        resp.headers_mut().insert(http::header::CONTENT_TYPE, value);
    }
    resp
}
