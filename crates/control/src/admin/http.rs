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
use super::handlers::Admin;
use super::listener::Listener;

/// Maximum time to read a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Returns whether the member is ready, and a line of text that says why.
pub type ReadinessCheck = Arc<dyn Fn() -> (bool, String) + Send + Sync>;

/// Serves until `stop` becomes true. `ready` decides the response to /readyz.
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
        async move { handle(&admin, &metrics, &ready, req).await }
    };
    let app: Router = Router::new().fallback(handler);
    let mut server = Server::new(app).http1_only();
    // Administration requests are rare: with one request per connection, idle
    // clients hold no file descriptors.
    server.http1_config().set_keep_alive(false);
    tokio::select! {
        result = server.run(incoming) => {
            if let Err(err) = result {
                warn!(log, "administration server failed"; "error" => %err);
            }
        }
        _ = stop.wait_for(|stop| *stop) => (),
    }
}

async fn handle(
    admin: &Admin,
    metrics: &Metrics,
    ready: &ReadinessCheck,
    req: Request,
) -> Response {
    let (parts, body) = req.into_parts();
    let path = parts.uri.path();
    if parts.method == Method::GET {
        match path {
            "/healthz" => return text_response(StatusCode::OK, "ok\n"),
            "/readyz" => {
                let (ready, line) = ready();
                let status = match ready {
                    true => StatusCode::OK,
                    false => StatusCode::SERVICE_UNAVAILABLE,
                };
                return text_response(status, &format!("{line}\n"));
            }
            "/metrics" => {
                return match metrics.render() {
                    Ok(page) => response(StatusCode::OK, "text/plain; version=0.0.4", page),
                    Err(err) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
                };
            }
            _ => (),
        }
    }
    let authorization = parts
        .headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let (status, json) = match read_body(body, admin.options.max_body_bytes).await {
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
    response(status, "application/json", format!("{json}\n").into_bytes())
}

/// Reads a body of at most `limit` bytes.
async fn read_body(body: Body, limit: u64) -> Result<Bytes, ApiError> {
    let max_bytes = usize::try_from(limit).unwrap_or(usize::MAX);
    match tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(ApiError::TooLarge(limit)),
        Ok(Err(_)) => Err(ApiError::BadRequest(
            "the request body can't be read".to_owned(),
        )),
        Err(_) => Err(ApiError::BadRequest(
            "timed out reading the request body".to_owned(),
        )),
    }
}

fn text_response(status: StatusCode, text: &str) -> Response {
    response(status, "text/plain", text.as_bytes().to_vec())
}

fn response(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    // Responses contain secrets and amounts, which no cache may keep.
    headers.insert(
        header::CACHE_CONTROL,
        header::HeaderValue::from_static("no-store"),
    );
    response
}
