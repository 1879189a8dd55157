//! HTTP towards callers and announcements of endpoints.

use std::sync::Arc;
use std::time::Duration;

use anvilloft_types::Clock;
use anvilloft_types::RunState;
use anvilloft_wire::frame::EndpointUpdate;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use serde_json::json;
use slog::Logger;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::announce;
use crate::auth;
use crate::auth::Caller;
use crate::body;
use crate::body::ReadLimits;
use crate::chat;
use crate::client::Client;
use crate::error::Refusal;
use crate::memory::BodyMemory;
use crate::metrics::Metrics;
use crate::model_request::Kind;
use crate::ports::CoreHandle;
use crate::serve::Answers;
use crate::service;
use crate::view::SharedView;
use crate::view::View;

/// Header with the id of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that names the rank of a request.
pub const RANK_HEADER: &str = "x-anvilloft-rank";
/// Longest idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY: usize = 256;

/// Limits towards callers.
#[derive(Clone, Debug)]
pub struct ApiOptions {
    /// Name of this router.
    pub router: String,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Bytes of all request bodies in memory, at most.
    pub max_buffered_bytes: usize,
    /// Largest sum of header names and values, in bytes.
    pub max_header_bytes: usize,
    /// Longest pause while a body arrives.
    pub body_gap: Duration,
    /// Longest time that a caller may not take a piece of a stream.
    pub write_stall: Duration,
    /// Longest time for a stream.
    pub stream_limit: Duration,
    /// Time to the first byte of a plain service's answer.
    pub service_first_byte: Duration,
    /// Key of the endpoints; announcements are refused while it is empty.
    pub endpoint_key: String,
}

impl Default for ApiOptions {
    fn default() -> Self {
        Self {
            router: String::new(),
            max_body_bytes: 4 * 1024 * 1024,
            max_buffered_bytes: 512 * 1024 * 1024,
            max_header_bytes: 32 * 1024,
            body_gap: Duration::from_secs(10),
            write_stall: Duration::from_secs(30),
            stream_limit: Duration::from_secs(600),
            service_first_byte: Duration::from_secs(5),
            endpoint_key: String::new(),
        }
    }
}

/// Everything that a request needs.
pub struct Api {
    /// Limits.
    pub options: ApiOptions,
    /// Monotonic time.
    pub clock: Clock,
    /// Configuration, lease and routers.
    pub view: SharedView,
    /// The control thread.
    pub core: CoreHandle,
    /// Connections to endpoints.
    pub client: Arc<Client>,
    /// Bytes of request bodies in memory.
    pub bodies: BodyMemory,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Log.
    pub log: Logger,
}

/// What every handler knows of its request.
pub(crate) struct Asked {
    pub(crate) request_id: String,
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
}

/// Answers with JSON text, with status 200.
pub fn json_response(text: impl Into<Body>) -> Response {
    let mut resp = Response::new(text.into());
    resp.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    resp
}

/// Returns a random id for a request.
fn new_request_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

impl Api {
    /// Refuses new work without a lease or after a drain, with the routers to
    /// use instead.
    pub(crate) fn check_serving(&self, view: &View, team: &str) -> Result<(), Refusal> {
        let refusal = if !view.takes_work {
            Refusal::unavailable("draining", "this router is stopping")
        } else if !view.has_lease(self.clock.now()) {
            Refusal::unavailable(
                "no_lease",
                "this router has no valid configuration lease at present",
            )
            .retry_after(Duration::from_secs(1))
        } else {
            return Ok(());
        };
        Err(self.with_routers(view, team, refusal))
    }

    /// Returns the bounds for reading a body of at most `bytes`.
    pub(crate) fn read_limits(&self, bytes: usize) -> ReadLimits<'_> {
        ReadLimits {
            bytes,
            gap: self.options.body_gap,
            memory: &self.bodies,
        }
    }

    /// Adds the other routers of the team to a refusal.
    pub(crate) fn with_routers(&self, view: &View, team: &str, mut refusal: Refusal) -> Refusal {
        refusal.try_routers = view
            .routers
            .entry_routers(team, usize::MAX)
            .into_iter()
            .filter(|r| r.router != self.options.router)
            .take(3)
            .map(|r| r.caller_address.clone())
            .collect();
        refusal
    }

    /// Finds the caller and checks that this router may serve it.
    pub(crate) fn caller(&self, view: &View, headers: &HeaderMap) -> Result<Caller, Refusal> {
        if !view.has_lease(self.clock.now()) || !view.takes_work {
            // Without a lease the keys may be out of date: nobody is told
            // whether a key is valid.
            self.check_serving(view, "")?;
        }
        auth::caller(&view.config, headers)
    }

    /// Returns the rank that the caller names, or the team's.
    pub(crate) fn rank(
        &self,
        view: &View,
        caller: &Caller,
        headers: &HeaderMap,
    ) -> Result<String, Refusal> {
        let name = match headers.get(RANK_HEADER) {
            Some(value) => value.to_str().unwrap_or_default(),
            None if caller.default_rank.is_empty() => "normal",
            None => &caller.default_rank,
        };
        match view.config.rank(name) {
            Some(rank) => Ok(rank.name.clone()),
            None => Err(Refusal::bad_request(
                RANK_HEADER,
                "there is no rank of this name",
            )),
        }
    }

    async fn dispatch(self: &Arc<Self>, asked: Asked) -> (&'static str, Result<Response, Refusal>) {
        let path = asked.path_and_query.split('?').next().unwrap_or_default();
        let is_get = asked.method == Method::GET || asked.method == Method::HEAD;
        let is_post = asked.method == Method::POST;
        match path {
            "/v1/chat/completions" if is_post => {
                ("chat", chat::handle(self, Kind::Chat, asked).await)
            }
            "/v1/completions" if is_post => (
                "completion",
                chat::handle(self, Kind::Completion, asked).await,
            ),
            "/v1/entry" if is_get => ("entry", Ok(self.entry(&asked))),
            "/v1/models" if is_get => ("models", self.models(&asked)),
            "/v1/budget" if is_get => ("budget", self.budget(&asked).await),
            "/v1/endpoints/announce" if is_post => ("announce", self.announce(asked).await),
            "/v1/endpoints/events" if is_post => ("events", self.events(asked).await),
            "/healthz" if is_get => ("healthz", Ok(json_response("{\"ok\":true}"))),
            "/readyz" if is_get => ("readyz", self.ready()),
            "/metrics" if is_get => ("metrics", Ok(self.show_metrics())),
            _ if path.starts_with("/v1/services/") => {
                ("service", service::handle(self, asked).await)
            }
            "/v1/chat/completions"
            | "/v1/completions"
            | "/v1/entry"
            | "/v1/models"
            | "/v1/budget"
            | "/v1/endpoints/announce"
            | "/v1/endpoints/events"
            | "/healthz"
            | "/readyz"
            | "/metrics" => (
                "other",
                Err(Refusal::new(
                    StatusCode::METHOD_NOT_ALLOWED,
                    "method_not_allowed",
                    "this path is not offered with this method",
                )),
            ),
            _ => (
                "other",
                Err(Refusal::new(
                    StatusCode::NOT_FOUND,
                    "not_found",
                    "there is no such path",
                )),
            ),
        }
    }

    /// Names the routers that a team should use. Needs no key, as callers ask
    /// before they know a router, and tells nothing about the team.
    fn entry(&self, asked: &Asked) -> Response {
        let view = self.view.load();
        let query = asked.path_and_query.split_once('?').map_or("", |(_, q)| q);
        let team = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("team="))
            .unwrap_or_default();
        let count = view.entry_count(team);
        let routers: Vec<_> = view
            .routers
            .entry_routers(team, count)
            .into_iter()
            .map(|r| json!({"address": r.caller_address, "data_centre": r.data_centre}))
            .collect();
        let keep_ms = view.config.value("keep_ms", team);
        json_response(json!({"routers": routers, "keep_ms": keep_ms}).to_string())
    }

    fn models(&self, asked: &Asked) -> Result<Response, Refusal> {
        let view = self.view.load();
        self.caller(&view, &asked.headers)?;
        let models: Vec<_> = view
            .config
            .models()
            .map(|m| json!({"id": m.name, "object": "model", "owned_by": "anvilloft"}))
            .collect();
        Ok(json_response(
            json!({"object": "list", "data": models}).to_string(),
        ))
    }

    async fn budget(&self, asked: &Asked) -> Result<Response, Refusal> {
        let caller = {
            let view = self.view.load();
            self.caller(&view, &asked.headers)?
        };
        let text = self.core.budget(caller.budget, caller.team).await?;
        Ok(json_response(text))
    }

    async fn announce(&self, asked: Asked) -> Result<Response, Refusal> {
        self.check_endpoint(&asked.headers)?;
        let limits = self.read_limits(announce::MAX_ANNOUNCE_BYTES);
        let (body, _held) = body::read(asked.body, &limits).await?;
        let update: EndpointUpdate = announce::parse(&body)?;
        let id = update.id.clone();
        self.core
            .announce(update)
            .await
            .map_err(|e| Refusal::bad_request("", e))?;
        let view = self.view.load();
        let routers: Vec<_> = view
            .routers
            .endpoint_routers(&id)
            .into_iter()
            .map(|r| r.caller_address.clone())
            .collect();
        Ok(json_response(
            json!({"renew_ms": announce::RENEW_MS, "routers": routers}).to_string(),
        ))
    }

    /// Takes cache events. They come late and with gaps, and the announcement
    /// carries the prefixes as a whole, so that they are only counted.
    async fn events(&self, asked: Asked) -> Result<Response, Refusal> {
        self.check_endpoint(&asked.headers)?;
        let limits = self.read_limits(announce::MAX_ANNOUNCE_BYTES);
        body::read(asked.body, &limits).await?;
        Ok(json_response("{}"))
    }

    fn check_endpoint(&self, headers: &HeaderMap) -> Result<(), Refusal> {
        if auth::is_endpoint(headers, &self.options.endpoint_key) {
            return Ok(());
        }
        Err(Refusal::new(
            StatusCode::UNAUTHORIZED,
            "invalid_key",
            "the endpoint key is missing or wrong",
        ))
    }

    fn ready(&self) -> Result<Response, Refusal> {
        let view = self.view.load();
        self.check_serving(&view, "")?;
        if view.draining {
            return Err(Refusal::unavailable(
                "draining",
                "this router finishes its work",
            ));
        }
        Ok(json_response("{\"ready\":true}"))
    }

    fn show_metrics(&self) -> Response {
        self.metrics.core_queue.set(self.core.waiting() as i64);
        self.metrics
            .idle_connections
            .set(self.client.idle_count() as i64);
        let mut resp = Response::new(Body::from(self.metrics.text()));
        resp.headers_mut().insert(
            http::header::CONTENT_TYPE,
            HeaderValue::from_static("text/plain; version=0.0.4"),
        );
        resp
    }

    /// Answers one request.
    pub async fn answer(self: &Arc<Self>, req: Request) -> Response {
        let (parts, body) = req.into_parts();
        let request_id = new_request_id();
        let header_bytes: usize = parts
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let path_and_query = parts
            .uri
            .path_and_query()
            .map(|p| p.as_str().to_owned())
            .unwrap_or_default();
        let (kind, res) = if header_bytes + path_and_query.len() > self.options.max_header_bytes {
            let refusal = Refusal::new(
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "headers_too_large",
                "path and headers are too long",
            );
            ("other", Err(refusal))
        } else {
            self.dispatch(Asked {
                request_id: request_id.clone(),
                method: parts.method,
                path_and_query,
                headers: parts.headers,
                body,
            })
            .await
        };
        let code = res.as_ref().err().map_or("ok", |r| r.code);
        self.metrics.answers.with_label_values(&[kind, code]).inc();
        let mut resp = match res {
            Ok(resp) => resp,
            Err(refusal) => {
                let level_run = refusal.run != RunState::No;
                slog::debug!(self.log, "refused"; "decision" => "refuse",
                    "request" => &request_id, "code" => refusal.code,
                    "run" => refusal.run.as_str(), "after_run" => level_run);
                let stop = matches!(refusal.code, "draining" | "body_too_large");
                let mut resp = refusal.into_response();
                if stop {
                    resp.headers_mut()
                        .insert(http::header::CONNECTION, HeaderValue::from_static("close"));
                }
                resp
            }
        };
        if let Ok(id) = HeaderValue::from_str(&request_id) {
            resp.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        resp
    }
}

impl Answers for Arc<Api> {
    async fn answer(&self, req: Request) -> Response {
        Api::answer(self, req).await
    }
}
