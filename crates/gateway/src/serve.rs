//! Serves callers' connections within bounds.
//!
//! The server of volo-http bounds neither the count of connections nor the time
//! to read a header, and ends connections on signals of its own. Each accepted
//! connection is therefore served by hyper's HTTP/1 connection, with the same
//! volo-http service.

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

/// Largest count of headers in a request.
pub const MAX_HEADERS: usize = 100;
/// Pause after a failed `accept`, for example without free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bounds of callers' connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Open connections.
    pub max_connections: usize,
    /// Time to read a request's header; an idle connection is closed after it
    /// too.
    pub header_read: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_connections: 8192,
            header_read: Duration::from_secs(10),
        }
    }
}

/// A volo service whose every failure is an answer.
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

/// Answers requests, refusals included.
pub trait Answers: Send + Sync + 'static {
    /// Returns the answer to one request.
    fn answer(&self, req: Request) -> impl Future<Output = Response> + Send;
}

/// The volo service of what answers requests.
pub struct AnswerService<A>(pub A);

impl<A: Answers> volo::Service<ServerContext, Request> for AnswerService<A> {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        Ok(self.0.answer(req).await)
    }
}

/// Serves `service` on `listener` until the token is cancelled.
///
/// Cancelling `stop` closes the listener; open connections go on as tasks of
/// the runtime. Cancelling `finish` ends each of them after the request that it
/// carries, and idle ones at once.
pub async fn serve<S: HttpService>(
    listener: TcpListener,
    service: S,
    limits: ConnectionLimits,
    metrics: Arc<Metrics>,
    stop: CancellationToken,
    finish: CancellationToken,
) {
    let service = Arc::new(service);
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Small events must not wait for the acknowledgement of the event
        // before.
        stream.set_nodelay(true).ok();
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            metrics.connections_refused.inc();
            refuse(&stream).ok();
            continue;
        };
        let service = Arc::clone(&service);
        let metrics = Arc::clone(&metrics);
        let finish = finish.clone();
        tokio::spawn(async move {
            metrics.connections.inc();
            serve_one(stream, peer, service, limits.header_read, finish).await;
            metrics.connections.dec();
            drop(permit);
        });
    }
}

/// Serves one connection until its end.
async fn serve_one<S: HttpService>(
    stream: TcpStream,
    peer: SocketAddr,
    service: Arc<S>,
    header_read: Duration,
    finish: CancellationToken,
) {
    let answer = service_fn(move |req: hyper::Request<Incoming>| {
        let service = Arc::clone(&service);
        async move {
            let mut cx = ServerContext::new(Address::from(peer));
            service.call(&mut cx, req.map(Body::from_incoming)).await
        }
    });
    // An error means that the caller went away or broke the protocol; hyper has
    // answered it where it can.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_read)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), answer);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        res = connection.as_mut() => return drop(res),
        () = finish.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    connection.await.ok();
}

/// Tells a caller beyond the bound that nothing was run. It is written without
/// waiting, as far as the socket takes it at once.
fn refuse(stream: &TcpStream) -> io::Result<usize> {
    let refusal = Refusal::unavailable(
        "too_many_connections",
        "this router has as many open connections as it may",
    )
    .retry_after(Duration::from_secs(1));
    let body = refusal.json().to_string();
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         retry-after: 1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.try_write(answer.as_bytes())
}
