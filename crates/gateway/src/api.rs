//! HTTP API for callers and for endpoint announcements.

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
use crate::client::Client;
use crate::completions;
use crate::core_handle::CoreHandle;
use crate::error::Refusal;
use crate::memory::BodyMemory;
use crate::metrics::Metrics;
use crate::model_request::CompletionKind;
use crate::serve::Handler;
use crate::service;
use crate::view::SharedView;
use crate::view::View;

/// Header with the id of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that names the rank of a request.
pub const RANK_HEADER: &str = "x-anvilloft-rank";
/// Maximum length of an idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Settings of the HTTP API.
#[derive(Clone, Debug)]
pub struct ApiOptions {
    /// Name of this router.
    pub router_name: String,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of all request bodies in memory, in bytes.
    pub max_buffered_bytes: usize,
    /// Maximum length of the path and of all header names and values together, in
    /// bytes.
    pub max_header_bytes: usize,
    /// Maximum time without data while a body arrives.
    pub body_idle_timeout: Duration,
    /// Maximum time that a chunk of a stream waits for a slow caller.
    pub write_timeout: Duration,
    /// Maximum time from the first attempt to the end of an answer.
    pub max_stream_duration: Duration,
    /// Silence of a plain service after which another endpoint may take a call.
    pub service_first_byte_timeout: Duration,
    /// Key of the endpoints. If it is empty, all announcements are refused.
    pub endpoint_key: String,
}

impl Default for ApiOptions {
    fn default() -> Self {
        Self {
            router_name: String::new(),
            max_body_bytes: 4 * 1024 * 1024,
            max_buffered_bytes: 512 * 1024 * 1024,
            max_header_bytes: 32 * 1024,
            body_idle_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
            max_stream_duration: Duration::from_secs(600),
            service_first_byte_timeout: Duration::from_secs(5),
            endpoint_key: String::new(),
        }
    }
}

/// The HTTP API, with everything that handling a request needs.
pub struct Api {
    /// Limits, name and endpoint key.
    pub options: ApiOptions,
    /// Monotonic clock.
    pub clock: Clock,
    /// Configuration, lease and routers.
    pub view: SharedView,
    /// Handle of the control thread.
    pub core: CoreHandle,
    /// Client for requests to endpoints.
    pub client: Arc<Client>,
    /// Limit on request bodies in memory.
    pub body_memory: BodyMemory,
    /// Metrics of the traffic threads.
    pub metrics: Arc<Metrics>,
    /// Logger.
    pub log: Logger,
}

/// A caller's request, as passed to its handler.
pub(crate) struct ApiRequest {
    pub(crate) request_id: String,
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
}

/// Returns a response with status 200 and the JSON text.
pub fn json_response(text: impl Into<Body>) -> Response {
    let mut resp = Response::new(text.into());
    resp.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    resp
}

/// Returns a random request id.
fn new_request_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

impl Api {
    /// Refuses new requests without a valid lease or once the drain no longer
    /// accepts any, and names the routers to use instead.
    pub(crate) fn check_serving(&self, view: &View, team: &str) -> Result<(), Refusal> {
        let refusal = if !view.accepts_work {
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
        Err(self.with_alternative_routers(view, team, refusal))
    }

    /// Returns the limits for reading a body of at most `max_bytes`.
    pub(crate) fn read_limits(&self, max_bytes: usize) -> ReadLimits<'_> {
        ReadLimits {
            max_bytes,
            idle_timeout: self.options.body_idle_timeout,
            memory: &self.body_memory,
        }
    }

    /// Adds other routers of the team to a refusal, up to three.
    pub(crate) fn with_alternative_routers(
        &self,
        view: &View,
        team: &str,
        mut refusal: Refusal,
    ) -> Refusal {
        refusal.alternative_routers = view
            .routers
            .entry_routers(team, usize::MAX)
            .into_iter()
            .filter(|r| r.router != self.options.router_name)
            .take(3)
            .map(|r| r.caller_address.clone())
            .collect();
        refusal
    }

    /// Authenticates the caller and checks that this router may serve it.
    pub(crate) fn authenticate(&self, view: &View, headers: &HeaderMap) -> Result<Caller, Refusal> {
        if !view.has_lease(self.clock.now()) || !view.accepts_work {
            // Without a lease the keys may be outdated, so the refusal must not
            // reveal whether a key is valid.
            self.check_serving(view, "")?;
        }
        auth::authenticate(&view.config, headers)
    }

    /// Returns the rank in the request's header, or the default rank of the team.
    pub(crate) fn requested_rank(
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
                "there is no rank with this name",
            )),
        }
    }

    async fn dispatch(
        self: &Arc<Self>,
        request: ApiRequest,
    ) -> (&'static str, Result<Response, Refusal>) {
        let path = request.path_and_query.split('?').next().unwrap_or_default();
        let is_get = request.method == Method::GET || request.method == Method::HEAD;
        let is_post = request.method == Method::POST;
        match path {
            "/v1/chat/completions" if is_post => (
                "chat",
                completions::handle(self, CompletionKind::Chat, request).await,
            ),
            "/v1/completions" if is_post => (
                "completion",
                completions::handle(self, CompletionKind::Completion, request).await,
            ),
            "/v1/entry" if is_get => ("entry", Ok(self.entry(&request))),
            "/v1/models" if is_get => ("models", self.models(&request)),
            "/v1/budget" if is_get => ("budget", self.budget(&request).await),
            "/v1/endpoints/announce" if is_post => ("announce", self.announce(request).await),
            "/v1/endpoints/events" if is_post => ("events", self.cache_events(request).await),
            "/healthz" if is_get => ("healthz", Ok(json_response("{\"ok\":true}"))),
            "/readyz" if is_get => ("readyz", self.ready()),
            "/metrics" if is_get => ("metrics", Ok(self.metrics_response())),
            _ if path.starts_with("/v1/services/") => {
                ("service", service::handle(self, request).await)
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
                    "this path does not support this method",
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

    /// Returns the routers that a team should use. It needs no key, because callers
    /// ask before they know a router, and reveals nothing about the team.
    fn entry(&self, request: &ApiRequest) -> Response {
        let view = self.view.load();
        let query = request
            .path_and_query
            .split_once('?')
            .map_or("", |(_, q)| q);
        let team = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("team="))
            .unwrap_or_default();
        let count = view.entry_router_count(team);
        let routers: Vec<_> = view
            .routers
            .entry_routers(team, count)
            .into_iter()
            .map(|r| json!({"address": r.caller_address, "data_centre": r.data_centre}))
            .collect();
        let keep_ms = view.config.value("keep_ms", team);
        json_response(json!({"routers": routers, "keep_ms": keep_ms}).to_string())
    }

    fn models(&self, request: &ApiRequest) -> Result<Response, Refusal> {
        let view = self.view.load();
        self.authenticate(&view, &request.headers)?;
        let models: Vec<_> = view
            .config
            .models()
            .map(|m| json!({"id": m.name, "object": "model", "owned_by": "anvilloft"}))
            .collect();
        Ok(json_response(
            json!({"object": "list", "data": models}).to_string(),
        ))
    }

    async fn budget(&self, request: &ApiRequest) -> Result<Response, Refusal> {
        let caller = {
            let view = self.view.load();
            self.authenticate(&view, &request.headers)?
        };
        let text = self.core.budget(caller.budget, caller.team).await?;
        Ok(json_response(text))
    }

    async fn announce(&self, request: ApiRequest) -> Result<Response, Refusal> {
        self.check_endpoint_key(&request.headers)?;
        let limits = self.read_limits(announce::MAX_ANNOUNCE_BYTES);
        let (body, _memory_guard) = body::read(request.body, &limits).await?;
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
            json!({"renew_ms": announce::RENEW_INTERVAL_MS, "routers": routers}).to_string(),
        ))
    }

    /// Accepts cache events and ignores their content: they arrive late and with
    /// gaps, and announcements carry the complete set of prefixes. Only the response
    /// is counted.
    async fn cache_events(&self, request: ApiRequest) -> Result<Response, Refusal> {
        self.check_endpoint_key(&request.headers)?;
        let limits = self.read_limits(announce::MAX_ANNOUNCE_BYTES);
        body::read(request.body, &limits).await?;
        Ok(json_response("{}"))
    }

    fn check_endpoint_key(&self, headers: &HeaderMap) -> Result<(), Refusal> {
        if auth::is_endpoint_key(headers, &self.options.endpoint_key) {
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
            return Err(Refusal::unavailable("draining", "this router is draining"));
        }
        Ok(json_response("{\"ready\":true}"))
    }

    fn metrics_response(&self) -> Response {
        self.metrics
            .core_queue
            .set(self.core.queued_messages() as i64);
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

    /// Handles one request.
    pub async fn handle(self: &Arc<Self>, req: Request) -> Response {
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
                "the path and headers are too long",
            );
            ("other", Err(refusal))
        } else {
            self.dispatch(ApiRequest {
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
                let may_have_run = refusal.run != RunState::No;
                slog::debug!(self.log, "refused"; "decision" => "refuse",
                    "request" => &request_id, "code" => refusal.code,
                    "run" => refusal.run.as_str(), "after_run" => may_have_run);
                let close = matches!(refusal.code, "draining" | "body_too_large");
                let mut resp = refusal.into_response();
                if close {
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

impl Handler for Arc<Api> {
    async fn handle(&self, req: Request) -> Response {
        Api::handle(self, req).await
    }
}
