//! HTTP/1.1 client with a connection pool for requests to endpoints.
//!
//! A connection carries one request at a time and returns to the pool only after
//! the end of the response has been read. The task that waits for a response
//! drives the connection itself, so nothing reads from a pooled connection and a
//! late response can't be mistaken for the next one.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use anvilloft_types::AttemptId;
use anvilloft_types::lock;
use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http_body::Body as _;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;

use crate::answer_memory::AnswerMemory;
use crate::counting_stream::CountingStream;
use crate::silence::HeaderWait;

mod response;
mod waiting;

pub use response::EndpointResponse;

use waiting::WaitingRequests;

/// Header with the attempt id, echoed by the endpoint.
pub const ATTEMPT_HEADER: &str = "x-anvilloft-attempt";
/// Header with the level of the rank; 0 is the most urgent.
pub const PRIORITY_HEADER: &str = "x-anvilloft-priority";
/// Header by which an endpoint states that it did not run the request.
pub const REFUSED_HEADER: &str = "x-anvilloft-refused";
/// Maximum number of idle connections to one endpoint.
pub const MAX_IDLE_PER_ENDPOINT: usize = 64;

/// Size of a connection's read buffer, in bytes: the largest header of a response.
/// An endpoint that sends a header without end fills no more memory than that.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum length of a response's header and of all interim responses before it, in bytes.
/// The read buffer limits each of them, but not their number.
const MAX_HEADERS_BYTES: u64 = READ_BUFFER_BYTES as u64;

/// Time after which a connection that no request waits for any more is given up: callers
/// that wait longer for their answer are few.
const MAX_CONNECT_TIME: Duration = Duration::from_secs(2);
/// Maximum number of connections that go on opening when their requests have gone.
const MAX_LATE_OPENS: usize = 128;

/// Timeouts for connections to endpoints.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// Timeout from the request, before a connection is opened, to the headers of the
    /// response. A `SilencePolicy` may extend it while the endpoint is silent.
    pub first_byte: Duration,
    /// Timeout between two chunks of the response body.
    pub gap: Duration,
    /// Idle time after which a pooled connection is closed.
    pub idle: Duration,
}

impl Default for ClientTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            first_byte: Duration::from_secs(30),
            gap: Duration::from_secs(10),
            idle: Duration::from_secs(5),
        }
    }
}

quick_error! {
    /// Reason why an attempt has no complete response.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ClientError {
        /// No connection could be opened.
        Connect(reason: String) {
            display("cannot connect: {}", reason)
        }
        /// The connection was closed or reset.
        Broken(reason: String) {
            display("connection broken: {}", reason)
        }
        /// Nothing arrived within the timeout.
        Timeout(what: &'static str) {
            display("timed out waiting for the {}", what)
        }
        /// The response has no attempt id or a different one.
        WrongAttempt {
            display("the response belongs to another attempt")
        }
        /// The response has neither a content length nor chunked encoding.
        NoFraming {
            display("the response has neither a length nor chunked encoding")
        }
        /// The response body exceeds the size limit.
        TooLong {
            display("the response body exceeds the size limit")
        }
        /// The responses of all requests exceed the memory limit until the timeout.
        NoMemory {
            display("the responses in memory have reached their limit")
        }
    }
}

impl ClientError {
    /// Returns whether the connection failed, as it does when the endpoint is dead.
    pub fn is_connection_failure(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Broken(_))
    }
}

/// A failed attempt, with the information needed to decide on a retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendError {
    /// Reason for the failure.
    pub error: ClientError,
    /// Whether any byte of the request was written to the endpoint.
    pub written: bool,
}

type Driver = http1::Connection<TokioIo<CountingStream>, Full<Bytes>>;

struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    driver_done: bool,
    written: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
    receive_limit: Arc<AtomicU64>,
    idle_since: Instant,
    /// Derived from the endpoint's `keep-alive` header, or the client's own timeout
    /// if that is shorter or the header is absent.
    max_idle: Duration,
}

/// Receives the duration of each connection attempt.
pub trait ConnectObserver: Send + Sync {
    /// Called when a connection has been opened, or the attempt has failed, after
    /// `elapsed`.
    fn record_connect(&self, elapsed: Duration);
}

impl Conn {
    /// Opens a connection within [`MAX_CONNECT_TIME`].
    async fn open(addr: SocketAddr, client: &Client) -> Result<Self, ClientError> {
        let started = Instant::now();
        let mut connect = std::pin::pin!(TcpStream::connect(addr));
        let mut opened = tokio::time::timeout(client.timeouts.connect, &mut connect).await;
        if let Some(observer) = &client.observer {
            observer.record_connect(started.elapsed());
        }
        if opened.is_err() {
            let rest = MAX_CONNECT_TIME.saturating_sub(client.timeouts.connect);
            opened = tokio::time::timeout(rest, connect).await;
        }
        let stream = match opened {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(ClientError::Connect(e.to_string())),
            Err(_) => return Err(ClientError::Connect("timed out".into())),
        };
        stream.set_nodelay(true).ok();
        let written = Arc::new(AtomicU64::new(0));
        let received = Arc::new(AtomicU64::new(0));
        let receive_limit = Arc::new(AtomicU64::new(u64::MAX));
        let io = TokioIo::new(CountingStream::new(
            stream,
            Arc::clone(&written),
            Arc::clone(&received),
            Arc::clone(&receive_limit),
        ));
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(|e| ClientError::Connect(e.to_string()))?;
        Ok(Self {
            sender,
            driver: Box::pin(driver),
            driver_done: false,
            written,
            received,
            receive_limit,
            idle_since: Instant::now(),
            max_idle: client.timeouts.idle,
        })
    }

    /// Drives the connection's input and output. Returns an error once the
    /// connection has ended.
    fn drive(&mut self, cx: &mut Context<'_>) -> Option<ClientError> {
        if self.driver_done {
            return Some(ClientError::Broken("closed".into()));
        }
        match self.driver.as_mut().poll(cx) {
            Poll::Pending => None,
            Poll::Ready(res) => {
                self.driver_done = true;
                Some(ClientError::Broken(match res {
                    Ok(()) => "closed".into(),
                    Err(e) => e.to_string(),
                }))
            }
        }
    }

    /// Sends a request and waits for the headers of the response.
    async fn request(
        &mut self,
        req: Request<Full<Bytes>>,
        header_wait: HeaderWait<'_>,
    ) -> Result<http::Response<Incoming>, SendError> {
        let written_before = self.written.load(Ordering::Relaxed);
        let received = Arc::clone(&self.received);
        let received_before = received.load(Ordering::Relaxed);
        let receive_limit = Arc::clone(&self.receive_limit);
        let limit = received_before.saturating_add(MAX_HEADERS_BYTES);
        receive_limit.store(limit, Ordering::Relaxed);
        let mut response = Box::pin(self.sender.send_request(req));
        let mut wait = std::future::poll_fn(|cx| {
            loop {
                if let Poll::Ready(res) = response.as_mut().poll(cx) {
                    return Poll::Ready(res.map_err(|e| ClientError::Broken(e.to_string())));
                }
                let was_done = self.driver_done;
                match self.drive(cx) {
                    // The response may have arrived together with the close.
                    Some(_) if !was_done => continue,
                    Some(e) => return Poll::Ready(Err(e)),
                    None => {}
                }
                return response
                    .as_mut()
                    .poll(cx)
                    .map_err(|e| ClientError::Broken(e.to_string()));
            }
        });
        let mut limit = header_wait.limit;
        let res = loop {
            if let Ok(res) = tokio::time::timeout(limit, &mut wait).await {
                break res;
            }
            let is_silent = received.load(Ordering::Relaxed) == received_before;
            let extension = match header_wait.policy {
                Some(policy) if is_silent => policy.extension().await,
                _ => None,
            };
            match extension {
                Some(more) => limit = more,
                None => break Err(ClientError::Timeout("response headers")),
            }
        };
        drop(response);
        receive_limit.store(u64::MAX, Ordering::Relaxed);
        res.map_err(|error| SendError {
            error,
            written: self.written.load(Ordering::Relaxed) > written_before,
        })
    }

    /// Returns whether the connection can carry a request: it is open, received no
    /// unexpected data and has not exceeded its idle time.
    fn is_usable(&mut self) -> bool {
        if self.idle_since.elapsed() > self.max_idle {
            return false;
        }
        let waker = futures::task::noop_waker();
        self.drive(&mut Context::from_waker(&waker)).is_none() && self.sender.is_ready()
    }
}

/// A connection for a request that found none in the pool.
struct OpenedConn {
    conn: Conn,
    /// Whether another request used it before.
    is_reused: bool,
}

/// HTTP client with a pool of connections to endpoints.
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<Conn>>>,
    /// Endpoints for whose connections requests wait.
    waiting: WaitingRequests,
    /// Permits for connections that go on opening when their requests have gone.
    late_opens: Arc<Semaphore>,
    timeouts: ClientTimeouts,
    max_response_bytes: usize,
    answers: Arc<AnswerMemory>,
    observer: Option<Arc<dyn ConnectObserver>>,
}

impl Client {
    /// Creates a client. [`EndpointResponse::collect`] and
    /// [`EndpointResponse::read_to_end`] fail for bodies longer than
    /// `max_response_bytes`. `answers` limits the memory of all bodies.
    pub fn new(
        timeouts: ClientTimeouts,
        max_response_bytes: usize,
        answers: Arc<AnswerMemory>,
    ) -> Arc<Self> {
        Self::build(timeouts, max_response_bytes, answers, None)
    }

    /// Creates a client that reports the duration of its connection attempts to
    /// `observer`.
    pub fn with_observer(
        timeouts: ClientTimeouts,
        max_response_bytes: usize,
        answers: Arc<AnswerMemory>,
        observer: Arc<dyn ConnectObserver>,
    ) -> Arc<Self> {
        Self::build(timeouts, max_response_bytes, answers, Some(observer))
    }

    fn build(
        timeouts: ClientTimeouts,
        max_response_bytes: usize,
        answers: Arc<AnswerMemory>,
        observer: Option<Arc<dyn ConnectObserver>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            idle: Mutex::new(HashMap::new()),
            waiting: WaitingRequests::default(),
            late_opens: Arc::new(Semaphore::new(MAX_LATE_OPENS)),
            timeouts,
            max_response_bytes,
            answers,
            observer,
        })
    }

    /// Returns the limit on the memory of all responses.
    pub fn answers(&self) -> &Arc<AnswerMemory> {
        &self.answers
    }

    /// Returns the timeouts.
    pub fn timeouts(&self) -> &ClientTimeouts {
        &self.timeouts
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Conn> {
        let mut idle = lock(&self.idle);
        let conns = idle.get_mut(&addr)?;
        while let Some(mut conn) = conns.pop() {
            if conn.is_usable() {
                return Some(conn);
            }
        }
        None
    }

    /// Returns a pooled connection. A close that has arrived while the runtime was busy
    /// counts.
    async fn take_idle_checked(&self, addr: SocketAddr) -> Option<Conn> {
        while let Some(mut conn) = self.take_idle(addr) {
            // Lets the runtime read the events of its sockets.
            tokio::task::yield_now().await;
            if conn.is_usable() {
                return Some(conn);
            }
        }
        None
    }

    /// Returns a connection for a request within `limit`: a new one or, if `may_reuse`, one
    /// that another request returns to the pool meanwhile.
    ///
    /// The new connection is opened in the background and joins the pool if the request
    /// doesn't need it any more and the pool has none. While the router's link is saturated,
    /// connections open too late for the requests that asked for them, and would otherwise be
    /// opened in vain.
    async fn connect(
        self: &Arc<Self>,
        addr: SocketAddr,
        limit: Duration,
        may_reuse: bool,
    ) -> Result<OpenedConn, SendError> {
        let (mut tx, rx) = oneshot::channel();
        let client = Arc::clone(self);
        let permit = Arc::clone(&self.late_opens).try_acquire_owned().ok();
        tokio::spawn(async move {
            let open = Conn::open(addr, &client);
            let opened = match &permit {
                Some(_) => open.await,
                None => tokio::select! {
                    opened = open => opened,
                    () = tx.closed() => return,
                },
            };
            if let Err(Ok(conn)) = tx.send(opened)
                && !client.has_idle(addr)
            {
                client.put_idle(addr, conn);
            }
        });
        let own_limit = limit.min(self.timeouts.connect);
        let connected = async {
            tokio::select! {
                biased;
                conn = self.take_returned(addr), if may_reuse => Ok(OpenedConn {
                    conn,
                    is_reused: true,
                }),
                opened = rx => match opened {
                    Ok(opened) => opened.map(|conn| OpenedConn {
                        conn,
                        is_reused: false,
                    }),
                    Err(_) => Err(ClientError::Timeout("connection")),
                },
            }
        };
        let result = match tokio::time::timeout(own_limit, connected).await {
            Ok(result) => result,
            Err(_) if limit < self.timeouts.connect => Err(ClientError::Timeout("connection")),
            Err(_) => Err(ClientError::Connect("timed out".into())),
        };
        result.map_err(|error| SendError {
            error,
            written: false,
        })
    }

    /// Whether the pool has an idle connection to an endpoint.
    fn has_idle(&self, addr: SocketAddr) -> bool {
        lock(&self.idle).get(&addr).is_some_and(|c| !c.is_empty())
    }

    /// Waits for a connection that returns to the pool.
    async fn take_returned(&self, addr: SocketAddr) -> Conn {
        let waiting = self.waiting.join(addr);
        loop {
            waiting.returned().await;
            if let Some(conn) = self.take_idle_checked(addr).await {
                return conn;
            }
        }
    }

    fn put_idle(&self, addr: SocketAddr, mut conn: Conn) {
        if conn.driver_done || !conn.sender.is_ready() {
            return;
        }
        conn.idle_since = Instant::now();
        let mut idle = lock(&self.idle);
        let conns = idle.entry(addr).or_default();
        if conns.len() < MAX_IDLE_PER_ENDPOINT {
            conns.push(conn);
            drop(idle);
            self.waiting.notify_one(addr);
        }
    }

    /// Closes connections that exceed their idle time. Called every second.
    pub fn close_idle(&self) {
        let mut idle = lock(&self.idle);
        idle.retain(|_, conns| {
            conns.retain(|c| c.idle_since.elapsed() <= c.max_idle);
            !conns.is_empty()
        });
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        let idle = lock(&self.idle);
        idle.values().map(Vec::len).sum()
    }

    /// Sends one attempt and waits for the headers of the response. With
    /// `new_connection` it doesn't use a pooled connection.
    ///
    /// # Errors
    ///
    /// Returns why the attempt failed and whether any byte was written. The
    /// connection is closed, which the endpoint treats as a cancellation.
    pub async fn send(
        self: &Arc<Self>,
        addr: SocketAddr,
        mut req: Request<Full<Bytes>>,
        attempt: AttemptId,
        header_wait: impl Into<HeaderWait<'_>>,
        new_connection: bool,
    ) -> Result<EndpointResponse, SendError> {
        let id = format!("{attempt:032x}");
        let host = HeaderValue::from_str(&addr.to_string());
        if let (Ok(host), Ok(id)) = (host, HeaderValue::from_str(&id)) {
            req.headers_mut().insert(http::header::HOST, host);
            req.headers_mut().insert(ATTEMPT_HEADER, id);
        }
        let echo_header = HeaderName::from_static(ATTEMPT_HEADER);
        let connected = || {};
        self.exchange_inner(
            addr,
            req,
            &echo_header,
            header_wait.into(),
            new_connection,
            connected,
        )
        .await
    }

    /// Sends a request unchanged and waits for the headers of the response. The
    /// endpoint must return the request's `echo_header` in its response.
    ///
    /// # Errors
    ///
    /// Same as [`send`](Self::send).
    pub async fn exchange(
        self: &Arc<Self>,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        echo_header: &HeaderName,
        first_byte: Duration,
        new_connection: bool,
    ) -> Result<EndpointResponse, SendError> {
        let connected = || {};
        self.exchange_observed(
            addr,
            req,
            echo_header,
            first_byte,
            new_connection,
            connected,
        )
        .await
    }

    /// Same as [`exchange`](Self::exchange). Calls `connected` once there is a connection
    /// for the request, before any byte of it is sent.
    ///
    /// # Errors
    ///
    /// Same as [`send`](Self::send).
    pub async fn exchange_observed(
        self: &Arc<Self>,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        echo_header: &HeaderName,
        first_byte: Duration,
        new_connection: bool,
        connected: impl FnOnce(),
    ) -> Result<EndpointResponse, SendError> {
        self.exchange_inner(
            addr,
            req,
            echo_header,
            first_byte.into(),
            new_connection,
            connected,
        )
        .await
    }

    async fn exchange_inner(
        self: &Arc<Self>,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        echo_header: &HeaderName,
        header_wait: HeaderWait<'_>,
        new_connection: bool,
        connected: impl FnOnce(),
    ) -> Result<EndpointResponse, SendError> {
        let id = req.headers().get(echo_header).cloned();
        let started = Instant::now();
        let left = || HeaderWait {
            limit: header_wait.limit.saturating_sub(started.elapsed()),
            ..header_wait
        };
        let pooled = if new_connection {
            None
        } else {
            self.take_idle_checked(addr).await
        };
        let (mut conn, spare) = match pooled {
            Some(conn) => (conn, Some(req.clone())),
            None => {
                let opened = self.connect(addr, header_wait.limit, !new_connection);
                let opened = opened.await?;
                (opened.conn, opened.is_reused.then(|| req.clone()))
            }
        };
        connected();
        let mut sent = conn.request(req, left()).await;
        if let (Err(e), Some(req)) = (&sent, spare)
            && !e.written
            && matches!(e.error, ClientError::Broken(_))
        {
            // A close of a pooled connection says nothing about the endpoint.
            conn = self.connect(addr, left().limit, false).await?.conn;
            sent = conn.request(req, left()).await;
        }
        let response = sent?;
        let (parts, body) = response.into_parts();
        if parts.headers.get(echo_header) != id.as_ref() {
            return Err(SendError {
                error: ClientError::WrongAttempt,
                written: true,
            });
        }
        // Without a content length or chunked encoding, only the end of the
        // connection marks the end of the body, and a crash looks the same.
        let is_framed = body.size_hint().exact().is_some()
            || parts
                .headers
                .get(http::header::TRANSFER_ENCODING)
                .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"chunked"));
        Ok(EndpointResponse {
            status: parts.status,
            headers: parts.headers,
            addr,
            is_framed,
            body: Some(body),
            conn: Some(conn),
            client: Arc::clone(self),
            has_many_frames: false,
        })
    }

    /// Tells an endpoint to cancel an attempt. This is best effort: the endpoint
    /// also notices the closed connection.
    pub async fn cancel(self: &Arc<Self>, addr: SocketAddr, attempt: AttemptId) {
        let body = format!("{{\"attempt\":\"{attempt:032x}\"}}");
        let req = Request::post("/v1/cancel")
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        if let Ok(req) = req
            && let Ok(response) = self
                .send(addr, req, attempt, self.timeouts.connect, false)
                .await
        {
            response.collect(self.timeouts.connect).await.ok();
        }
    }
}
