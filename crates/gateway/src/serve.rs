//! HTTP server with a connection limit and a header timeout.
//!
//! The server of volo-http limits neither the number of connections nor the time
//! to read a header, and installs its own signal handlers for shutdown. Each
//! accepted connection is therefore served by hyper's HTTP/1 connection, with
//! the same volo-http service.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use anvilloft_types::RunState;
use futures::FutureExt;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use volo::net::Address;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::client::ATTEMPT_HEADER;
use crate::connection::AnswerBody;
pub use crate::connection::AnswerDeadline;
use crate::connection::ConnectionEnd;
use crate::connection::ConnectionState;
use crate::connection::EndCause;
use crate::connection::Observer;
use crate::connection::RequestBody;
pub use crate::connection::Timeouts;
use crate::connection::TrackedStream;
use crate::connection::linger;
use crate::error::Refusal;
use crate::metrics::Metrics;

/// Size of the buffers of a connection, in bytes: the largest header of a request. With
/// the default of 400 KiB, 200 connections would take most of a small host's memory.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of headers in a request.
pub const MAX_HEADERS: usize = 100;
/// Delay after a failed `accept`, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of connections beyond the limit that are being refused.
const MAX_REFUSED: usize = 256;
/// Maximum interval at which the timeouts of a connection are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval, at which a planned stop checks whether a header has arrived.
const HEADER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the current timeouts of connections.
pub type TimeoutSource = Arc<dyn Fn() -> Timeouts + Send + Sync>;

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

/// Server of callers' connections.
pub struct Server {
    max_connections: usize,
    timeouts: TimeoutSource,
    id_header: HeaderName,
    observer: Observer,
}

impl Server {
    /// Returns a server with these limits, without a log.
    pub fn new(limits: ConnectionLimits, metrics: Arc<Metrics>) -> Self {
        let log = Logger::root(slog::Discard, slog::o!());
        let timeouts = Timeouts {
            header: limits.header_timeout,
            idle: limits.header_timeout,
        };
        Self {
            max_connections: limits.max_connections,
            timeouts: Arc::new(move || timeouts),
            id_header: HeaderName::from_static(ATTEMPT_HEADER),
            observer: Observer { log, metrics },
        }
    }

    /// Sets the log.
    #[must_use]
    pub fn log(mut self, log: Logger) -> Self {
        self.observer.log = log;
        self
    }

    /// Sets where the timeouts come from. An open connection uses the longest that it
    /// has seen.
    #[must_use]
    pub fn timeouts(mut self, source: TimeoutSource) -> Self {
        self.timeouts = source;
        self
    }

    /// Sets the header that holds the id of a request, for logs.
    #[must_use]
    pub fn id_header(mut self, name: HeaderName) -> Self {
        self.id_header = name;
        self
    }

    /// Serves `service` on `listener` until `stop_accepting` is cancelled.
    ///
    /// Cancelling `stop_accepting` closes the listener; open connections continue as
    /// tasks of the runtime. Cancelling `shutdown` closes each of them after its
    /// current request, and idle ones immediately.
    pub async fn serve<S: HttpService>(
        self,
        listener: TcpListener,
        service: S,
        stop_accepting: CancellationToken,
        shutdown: CancellationToken,
    ) {
        let permits = Arc::new(Semaphore::new(self.max_connections));
        let refusals = Arc::new(Semaphore::new(MAX_REFUSED));
        let border = Arc::new(Border {
            service,
            timeouts: self.timeouts,
            id_header: self.id_header,
            observer: Arc::new(self.observer),
            shutdown,
        });
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
                border.observer.metrics.connections_refused.inc();
                reject_connection(stream, &refusals);
                continue;
            };
            let mut guard = ConnectionGuard::new(&border.observer, peer);
            let border = Arc::clone(&border);
            tokio::spawn(async move {
                if let Some(stream) = serve_connection(stream, border, &mut guard).await {
                    linger(stream).await;
                }
                // A planned stop waits for the open connections, so the caller has its
                // answer by now.
                drop(guard);
                drop(permit);
            });
        }
    }
}

/// The border between connections and the service.
struct Border<S> {
    service: S,
    timeouts: TimeoutSource,
    id_header: HeaderName,
    observer: Arc<Observer>,
    /// Closes each connection after its current request.
    shutdown: CancellationToken,
}

impl<S: HttpService> Border<S> {
    /// Handles one request. A panic of the service becomes an answer.
    async fn handle(
        &self,
        state: &Arc<ConnectionState>,
        peer: SocketAddr,
        req: hyper::Request<Incoming>,
    ) -> hyper::Response<AnswerBody> {
        let id = req.headers().get(&self.id_header);
        let id = String::from_utf8_lossy(id.map_or(&[], HeaderValue::as_bytes)).into_owned();
        state.begin(id.clone());
        let is_head = req.method() == Method::HEAD;
        let waits = req.headers().contains_key(header::EXPECT);
        let req = req.map(|incoming| RequestBody::body(incoming, waits, state));
        let mut cx = ServerContext::new(Address::from(peer));
        let answered = AssertUnwindSafe(self.service.call(&mut cx, req)).catch_unwind();
        let mut resp = match answered.await {
            Ok(Ok(resp)) => resp,
            Ok(Err(never)) => match never {},
            Err(_) => {
                self.observer.record_panic(&id);
                Refusal::new(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "internal_error",
                    "this router failed while it had the request",
                )
                .with_run_state(RunState::Unknown)
                .into_response()
            }
        };
        if let Some(deadline) = resp.extensions().get::<AnswerDeadline>() {
            state.set_answer_deadline(*deadline);
        }
        if state.must_close() || self.shutdown.is_cancelled() {
            let close = HeaderValue::from_static("close");
            resp.headers_mut().insert(header::CONNECTION, close);
        }
        resp.map(|body| AnswerBody::new(body, is_head, &self.observer, state))
    }
}

/// Counts a connection as open, and records how it ended.
struct ConnectionGuard {
    state: Arc<ConnectionState>,
    observer: Arc<Observer>,
    peer: SocketAddr,
    /// Why the connection ended; the process stops if the guard is dropped without it.
    cause: EndCause,
    error: Option<String>,
}

impl ConnectionGuard {
    fn new(observer: &Arc<Observer>, peer: SocketAddr) -> Self {
        observer.metrics.connections.inc();
        Self {
            state: Arc::new(ConnectionState::new()),
            observer: Arc::clone(observer),
            peer,
            cause: EndCause::Stopped,
            error: None,
        }
    }

    /// Logs and counts the end of the connection if a request has no complete answer.
    fn record_end(&self) {
        let unfinished = self.state.unfinished();
        if unfinished.is_none() && self.cause != EndCause::ProtocolError {
            return;
        }
        let (id, failure) = unfinished.unwrap_or_default();
        let end = ConnectionEnd {
            id: &id,
            peer: self.peer,
            count: self.state.request_count(),
            error: self.error.as_deref(),
        };
        self.observer
            .record_end(failure.unwrap_or(self.cause), &end);
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.record_end();
        // A planned stop exits the process once no connection is open.
        self.observer.metrics.connections.dec();
    }
}

/// Polls a future once.
async fn poll_once<F: Future>(mut future: Pin<&mut F>) -> Poll<F::Output> {
    std::future::poll_fn(|cx| Poll::Ready(future.as_mut().poll(cx))).await
}

fn check_interval(timeouts: Timeouts) -> Duration {
    let shortest = timeouts.header.min(timeouts.idle);
    shortest.clamp(HEADER_POLL_INTERVAL, CHECK_INTERVAL)
}

/// Serves one connection until its end. Returns its socket if the caller may still be
/// sending.
async fn serve_connection<S: HttpService>(
    stream: TcpStream,
    border: Arc<Border<S>>,
    guard: &mut ConnectionGuard,
) -> Option<TcpStream> {
    let (state, peer) = (Arc::clone(&guard.state), guard.peer);
    let mut timeouts = (border.timeouts)();
    let handler = {
        let (border, state) = (Arc::clone(&border), Arc::clone(&state));
        service_fn(move |req: hyper::Request<Incoming>| {
            let (border, state) = (Arc::clone(&border), Arc::clone(&state));
            // hyper keeps room for this future as long as the connection is open.
            Box::pin(async move { Ok::<_, Infallible>(border.handle(&state, peer, req).await) })
        })
    };
    // Without a timer, hyper has no timeouts of its own.
    let stream = TrackedStream::new(stream, Arc::clone(&state));
    let mut connection = http1::Builder::new()
        .max_headers(MAX_HEADERS)
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), handler);
    let mut check = std::pin::pin!(tokio::time::sleep(check_interval(timeouts)));
    let (mut is_stopping, mut is_closing) = (false, false);
    let cause = loop {
        tokio::select! {
            // What has arrived is read before a timeout is checked.
            biased;
            res = Pin::new(&mut connection) => {
                let is_parse = res.as_ref().is_err_and(hyper::Error::is_parse);
                guard.error = res.err().map(|err| err.to_string());
                break match is_parse {
                    true => EndCause::ProtocolError,
                    false => EndCause::CallerLeft,
                };
            }
            () = border.shutdown.cancelled(), if !is_stopping => {
                is_stopping = true;
                check.as_mut().reset(Instant::now());
            }
            () = check.as_mut() => {
                timeouts = timeouts.longest((border.timeouts)());
                let now = Instant::now();
                let is_due = state.deadline(timeouts).is_some_and(|(at, _)| at <= now);
                if is_due || (is_stopping && !is_closing) {
                    // A request that the runtime hasn't seen would be lost with a close.
                    state.set_reads_socket(true);
                    let polled = poll_once(Pin::new(&mut connection)).await;
                    state.set_reads_socket(false);
                    if let Poll::Ready(res) = polled {
                        guard.error = res.err().map(|err| err.to_string());
                        break EndCause::CallerLeft;
                    }
                }
                // hyper would close a kept connection within a header.
                if is_stopping && !is_closing && !state.is_reading_header() {
                    is_closing = true;
                    Pin::new(&mut connection).graceful_shutdown();
                }
                let interval = match is_stopping && !is_closing {
                    true => HEADER_POLL_INTERVAL,
                    false => check_interval(timeouts),
                };
                match state.deadline(timeouts) {
                    Some((at, cause)) if at <= now => break cause.unwrap_or(EndCause::CallerLeft),
                    Some((at, _)) => check.as_mut().reset(at.min(now + interval)),
                    None => check.as_mut().reset(now + interval),
                }
            }
        }
    };
    guard.cause = cause;
    let lingers = state.has_unread() || cause == EndCause::ProtocolError;
    let stream = connection.into_parts().io.into_inner().into_inner();
    lingers.then_some(stream)
}

/// Sends a refusal on a connection beyond the limit, and closes it without losing the
/// refusal. The refusal is written without waiting, and truncated if the socket doesn't
/// take all of it immediately.
fn reject_connection(stream: TcpStream, refusals: &Arc<Semaphore>) {
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
    let permit: Result<OwnedSemaphorePermit, _> = Arc::clone(refusals).try_acquire_owned();
    if let (Ok(_), Ok(permit)) = (stream.try_write(response.as_bytes()), permit) {
        tokio::spawn(async move {
            linger(stream).await;
            drop(permit);
        });
    }
}
