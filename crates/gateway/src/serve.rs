//! HTTP server with a connection limit and a header timeout.
//!
//! The server of volo-http limits neither the number of connections nor the time
//! to read a header, and installs its own signal handlers for shutdown. Each
//! accepted connection is therefore served by hyper's HTTP/1 connection, with
//! the same volo-http service.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::error::Refusal;
use crate::metrics::Metrics;

/// Maximum number of headers in a request.
pub const MAX_HEADERS: usize = 100;
/// Delay after a failed `accept`, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits on incoming connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Timeout for reading the header of a request. It also closes idle
    /// connections.
    pub header_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_connections: 8192,
            header_timeout: Duration::from_secs(10),
        }
    }
}

/// A volo service that reports every failure as an HTTP response.
pub trait HttpService:
    volo::Service<ServerContext, Request, Response = Response, Error = Infallible>
    + Send
    + Sync
    + 'static
{
}

impl<S> HttpService for S where
    S: volo::Service<ServerContext, Request, Response = Response, Error = Infallible>
        + Send
        + Sync
        + 'static
{
}

/// Handles HTTP requests. Refusals are responses too.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to one request.
    fn handle(&self, req: Request) -> impl Future<Output = Response> + Send;
}

/// Adapts a [`Handler`] to a volo service.
pub struct HandlerService<H>(pub H);

impl<H: Handler> volo::Service<ServerContext, Request> for HandlerService<H> {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        Ok(self.0.handle(req).await)
    }
}

/// Serves `service` on `listener` until `stop_accepting` is cancelled.
///
/// Cancelling `stop_accepting` closes the listener; open connections continue as
/// tasks of the runtime. Cancelling `shutdown` closes each of them after its
/// current request, and idle ones immediately.
pub async fn serve<S: HttpService>(
    listener: TcpListener,
    service: S,
    limits: ConnectionLimits,
    metrics: Arc<Metrics>,
    stop_accepting: CancellationToken,
    shutdown: CancellationToken,
) {
    let service = Arc::new(service);
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop_accepting.cancelled() => return,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Without this, a small event waits for the acknowledgement of the
        // previous one (Nagle's algorithm).
        stream.set_nodelay(true).ok();
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            metrics.connections_refused.inc();
            reject_connection(&stream).ok();
            continue;
        };
        let service = Arc::clone(&service);
        let metrics = Arc::clone(&metrics);
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            metrics.connections.inc();
            serve_connection(stream, peer, service, limits.header_timeout, shutdown).await;
            metrics.connections.dec();
            drop(permit);
        });
    }
}

/// Serves one connection until its end.
async fn serve_connection<S: HttpService>(
    stream: TcpStream,
    peer: SocketAddr,
    service: Arc<S>,
    header_timeout: Duration,
    shutdown: CancellationToken,
) {
    let handler = service_fn(move |req: hyper::Request<Incoming>| {
        let service = Arc::clone(&service);
        async move {
            let mut cx = ServerContext::new(Address::from(peer));
            service.call(&mut cx, req.map(Body::from_incoming)).await
        }
    });
    // An error means that the caller disconnected or violated the protocol, which
    // hyper has reported to it where possible.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), handler);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        res = connection.as_mut() => return drop(res),
        () = shutdown.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    connection.await.ok();
}

/// Sends a refusal on a connection beyond the limit. It is written without
/// waiting, and truncated if the socket doesn't take all of it immediately.
fn reject_connection(stream: &TcpStream) -> io::Result<usize> {
    let refusal = Refusal::unavailable(
        "too_many_connections",
        "this router has reached its limit of open connections",
    )
    .retry_after(Duration::from_secs(1));
    let body = refusal.json().to_string();
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         retry-after: 1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.try_write(response.as_bytes())
}
