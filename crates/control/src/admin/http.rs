//! HTTP server of the administration API and the operational paths.

use std::sync::Arc;
use std::time::Duration;

use anvilloft_telemetry::Metrics;
use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use slog::Logger;
use slog::warn;
use tokio::sync::watch;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Server;
use volo_http::server::route::Router;

use super::error::ApiError;
use super::listener::Listener;
use super::run::Admin;

/// Time to read a request's body.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// Returns whether the member is ready, and a line of text that says why.
pub type ReadinessCheck = Arc<dyn Fn() -> (bool, String) + Send + Sync>;

/// Serves until `stop` becomes true. `ready` decides the answer of /readyz.
pub(super) async fn serve(
    admin: Arc<Admin>,
    metrics: Metrics,
    ready: ReadinessCheck,
    incoming: Listener,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    let handler = move |req: Request| {
        let admin = admin.clone();
        let metrics = metrics.clone();
        let ready = ready.clone();
        async move { answer(&admin, &metrics, &ready, req).await }
    };
    let app: Router = Router::new().fallback(handler);
    let mut server = Server::new(app).http1_only();
    // Administration is rare: a connection carries one request, so idle ones
    // hold no file descriptors.
    server.http1_config().set_keep_alive(false);
    tokio::select! {
        result = server.run(incoming) => {
            if let Err(err) = result {
                warn!(log, "the administration server ended"; "error" => %err);
            }
        }
        _ = stop.wait_for(|stop| *stop) => (),
    }
}

async fn answer(
    admin: &Admin,
    metrics: &Metrics,
    ready: &ReadinessCheck,
    req: Request,
) -> Response {
    let (parts, body) = req.into_parts();
    let path = parts.uri.path();
    if parts.method == Method::GET {
        match path {
            "/healthz" => return text(StatusCode::OK, "ok\n"),
            "/readyz" => {
                let (ready, line) = ready();
                let status = match ready {
                    true => StatusCode::OK,
                    false => StatusCode::SERVICE_UNAVAILABLE,
                };
                return text(status, &format!("{line}\n"));
            }
            "/metrics" => {
                return match metrics.render() {
                    Ok(page) => reply(StatusCode::OK, "text/plain; version=0.0.4", page),
                    Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
                };
            }
            _ => (),
        }
    }
    let authorization = parts
        .headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let (status, json) = match collect(body, admin.options.max_body_bytes).await {
        Err(err) => (err.status(), err.to_json()),
        Ok(body) => {
            let query = parts.uri.query().unwrap_or_default();
            let method = parts.method.as_str();
            let reply = admin.handle(method, path, query, authorization, &body);
            let reply = reply.await;
            (reply.status, reply.body)
        }
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    reply(status, "application/json", format!("{json}\n").into_bytes())
}

async fn collect(body: Body, limit: u64) -> Result<Bytes, ApiError> {
    let size = usize::try_from(limit).unwrap_or(usize::MAX);
    match tokio::time::timeout(BODY_LIMIT, Limited::new(body, size).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(ApiError::TooLarge(limit)),
        Ok(Err(_)) => Err(ApiError::BadRequest("the body can't be read".to_owned())),
        Err(_) => Err(ApiError::BadRequest("the body took too long".to_owned())),
    }
}

fn text(status: StatusCode, text: &str) -> Response {
    reply(status, "text/plain", text.as_bytes().to_vec())
}

fn reply(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    // Answers hold secrets and amounts.
    headers.insert(
        header::CACHE_CONTROL,
        header::HeaderValue::from_static("no-store"),
    );
    response
}
