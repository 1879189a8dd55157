//! HTTP/1.1 client towards endpoints.
//!
//! A connection carries one request at a time and goes back to the pool only
//! after the end of the answer was seen. The task that waits for an answer
//! drives the connection itself, so nothing reads from a pooled connection and
//! a late answer can't be taken for the next one.

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
use futures::FutureExt;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http_body::Body as _;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::pieces::Pieces;

/// Header with the attempt id, echoed by the endpoint.
pub const ATTEMPT_HEADER: &str = "x-anvilloft-attempt";
/// Header with the level of the rank, 0 first.
pub const PRIORITY_HEADER: &str = "x-anvilloft-priority";
/// Header by which an endpoint says that it did not run the request.
pub const REFUSED_HEADER: &str = "x-anvilloft-refused";
/// Largest count of idle connections to one endpoint.
pub const MAX_IDLE: usize = 64;
/// Bytes after which frames that are already there are handed on together.
const COALESCE_BYTES: usize = 32 * 1024;

/// Time limits towards endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// To open a connection.
    pub connect: Duration,
    /// From the request to the answer's headers.
    pub first_byte: Duration,
    /// Between two pieces of the answer's body.
    pub gap: Duration,
    /// A connection idle for longer is closed.
    pub idle: Duration,
}

impl Default for Limits {
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
    /// Why an attempt has no answer or no complete one.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ClientError {
        /// No connection could be opened.
        Connect(reason: String) {
            display("cannot connect: {}", reason)
        }
        /// The connection ended or broke.
        Broken(reason: String) {
            display("connection broken: {}", reason)
        }
        /// Nothing came within the limit.
        Silent(what: &'static str) {
            display("no {} within the limit", what)
        }
        /// The answer carries no or another attempt id.
        WrongAttempt {
            display("the answer belongs to another attempt")
        }
        /// The answer has neither a length nor a terminal chunk.
        NoEnd {
            display("the end of the answer can't be recognised")
        }
        /// The answer is longer than allowed.
        TooLong {
            display("the answer is too long")
        }
    }
}

impl ClientError {
    /// Returns whether the failure is one that a dead endpoint shows.
    pub fn connection_failed(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Broken(_))
    }
}

/// A failed attempt, with what is needed to decide on a retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendError {
    /// What failed.
    pub error: ClientError,
    /// Whether any byte of the request was written to the endpoint.
    pub written: bool,
}

/// Counts the bytes that the kernel took.
struct CountingStream {
    inner: TcpStream,
    written: Arc<AtomicU64>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let res = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = res {
            self.written.fetch_add(n as u64, Ordering::Relaxed);
        }
        res
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let res = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(n)) = res {
            self.written.fetch_add(n as u64, Ordering::Relaxed);
        }
        res
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

type Driver = http1::Connection<TokioIo<CountingStream>, Full<Bytes>>;

struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    driver_done: bool,
    written: Arc<AtomicU64>,
    idle_since: Instant,
    /// Idle time that the endpoint announced, or the client's own limit.
    max_idle: Duration,
}

/// Takes note of connections that a client opens.
pub trait ConnectObserver: Send + Sync {
    /// One was open, or given up, after a time.
    fn opened(&self, took: Duration);
}

impl Conn {
    async fn open(addr: SocketAddr, client: &Client) -> Result<Self, ClientError> {
        let limits = &client.limits;
        let started = Instant::now();
        let connect = tokio::time::timeout(limits.connect, TcpStream::connect(addr)).await;
        if let Some(observer) = &client.observer {
            observer.opened(started.elapsed());
        }
        let stream = match connect {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(ClientError::Connect(e.to_string())),
            Err(_) => return Err(ClientError::Connect("timed out".into())),
        };
        stream.set_nodelay(true).ok();
        let written = Arc::new(AtomicU64::new(0));
        let io = TokioIo::new(CountingStream {
            inner: stream,
            written: Arc::clone(&written),
        });
        let (sender, driver) = http1::handshake(io)
            .await
            .map_err(|e| ClientError::Connect(e.to_string()))?;
        Ok(Self {
            sender,
            driver: Box::pin(driver),
            driver_done: false,
            written,
            idle_since: Instant::now(),
            max_idle: limits.idle,
        })
    }

    /// Advances input and output; returns the failure when the connection ended.
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

    /// Returns whether the connection can carry a request: it is open, nothing
    /// unexpected arrived on it, and it wasn't idle for too long.
    fn usable(&mut self) -> bool {
        if self.idle_since.elapsed() > self.max_idle {
            return false;
        }
        let waker = futures::task::noop_waker();
        self.drive(&mut Context::from_waker(&waker)).is_none() && self.sender.is_ready()
    }
}

/// Connections to endpoints.
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<Conn>>>,
    limits: Limits,
    max_answer_bytes: usize,
    observer: Option<Arc<dyn ConnectObserver>>,
}

impl Client {
    /// Makes a client. Whole answers longer than `max_answer_bytes` fail.
    pub fn new(limits: Limits, max_answer_bytes: usize) -> Arc<Self> {
        Self::make(limits, max_answer_bytes, None)
    }

    /// Makes a client that tells how long its connections take to open.
    pub fn observed(
        limits: Limits,
        max_answer_bytes: usize,
        observer: Arc<dyn ConnectObserver>,
    ) -> Arc<Self> {
        Self::make(limits, max_answer_bytes, Some(observer))
    }

    fn make(
        limits: Limits,
        max_answer_bytes: usize,
        observer: Option<Arc<dyn ConnectObserver>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            idle: Mutex::new(HashMap::new()),
            limits,
            max_answer_bytes,
            observer,
        })
    }

    /// Returns the limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Conn> {
        let mut idle = lock(&self.idle);
        let conns = idle.get_mut(&addr)?;
        while let Some(mut conn) = conns.pop() {
            if conn.usable() {
                return Some(conn);
            }
        }
        None
    }

    fn put_idle(&self, addr: SocketAddr, mut conn: Conn) {
        if conn.driver_done || !conn.sender.is_ready() {
            return;
        }
        conn.idle_since = Instant::now();
        let mut idle = lock(&self.idle);
        let conns = idle.entry(addr).or_default();
        if conns.len() < MAX_IDLE {
            conns.push(conn);
        }
    }

    /// Closes connections that were idle for too long. Called every second.
    pub fn close_idle(&self) {
        let mut idle = lock(&self.idle);
        idle.retain(|_, conns| {
            conns.retain(|c| c.idle_since.elapsed() <= c.max_idle);
            !conns.is_empty()
        });
    }

    /// Returns the count of idle connections.
    pub fn idle_count(&self) -> usize {
        let idle = lock(&self.idle);
        idle.values().map(Vec::len).sum()
    }

    /// Sends one attempt and waits for the answer's headers. With `fresh` it
    /// opens a new connection.
    ///
    /// # Errors
    ///
    /// Says whether any byte was written. The connection is dropped, which the
    /// endpoint sees as a cancellation.
    pub async fn send(
        self: &Arc<Self>,
        addr: SocketAddr,
        mut req: Request<Full<Bytes>>,
        attempt: AttemptId,
        first_byte: Duration,
        fresh: bool,
    ) -> Result<Answer, SendError> {
        let id = format!("{attempt:032x}");
        let host = HeaderValue::from_str(&addr.to_string());
        if let (Ok(host), Ok(id)) = (host, HeaderValue::from_str(&id)) {
            req.headers_mut().insert(http::header::HOST, host);
            req.headers_mut().insert(ATTEMPT_HEADER, id);
        }
        let echo = HeaderName::from_static(ATTEMPT_HEADER);
        self.exchange(addr, req, &echo, first_byte, fresh).await
    }

    /// Sends a request as it is and waits for the answer's headers. The
    /// endpoint must repeat the header `echo` of the request in its answer.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send).
    pub async fn exchange(
        self: &Arc<Self>,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        echo: &HeaderName,
        first_byte: Duration,
        fresh: bool,
    ) -> Result<Answer, SendError> {
        let id = req.headers().get(echo).cloned();
        let pooled = if fresh { None } else { self.take_idle(addr) };
        let mut conn = match pooled {
            Some(conn) => conn,
            None => Conn::open(addr, self).await.map_err(|error| SendError {
                error,
                written: false,
            })?,
        };
        let before = conn.written.load(Ordering::Relaxed);
        let mut response = Box::pin(conn.sender.send_request(req));
        let wait = std::future::poll_fn(|cx| {
            loop {
                if let Poll::Ready(res) = response.as_mut().poll(cx) {
                    return Poll::Ready(res.map_err(|e| ClientError::Broken(e.to_string())));
                }
                let was_done = conn.driver_done;
                match conn.drive(cx) {
                    // The answer may have come together with the close.
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
        let res = match tokio::time::timeout(first_byte, wait).await {
            Ok(res) => res,
            Err(_) => Err(ClientError::Silent("answer")),
        };
        drop(response);
        let fail = |error, conn: &Conn| SendError {
            error,
            written: conn.written.load(Ordering::Relaxed) > before,
        };
        let response = match res {
            Ok(response) => response,
            Err(e) => return Err(fail(e, &conn)),
        };
        let (parts, body) = response.into_parts();
        if parts.headers.get(echo) != id.as_ref() {
            return Err(SendError {
                error: ClientError::WrongAttempt,
                written: true,
            });
        }
        // Without a length or chunks, the end of the connection would be the
        // only end, and it can't be told from a crash.
        let framed = body.size_hint().exact().is_some()
            || parts
                .headers
                .get(http::header::TRANSFER_ENCODING)
                .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"chunked"));
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            addr,
            framed,
            body: Some(body),
            conn: Some(conn),
            client: Arc::clone(self),
        })
    }

    /// Tells an endpoint to stop an attempt. Best effort: the endpoint also
    /// sees the closed connection.
    pub async fn cancel(self: &Arc<Self>, addr: SocketAddr, attempt: AttemptId) {
        let body = format!("{{\"attempt\":\"{attempt:032x}\"}}");
        let req = Request::post("/v1/cancel")
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        if let Ok(req) = req
            && let Ok(answer) = self
                .send(addr, req, attempt, self.limits.connect, false)
                .await
        {
            answer.collect(self.limits.connect).await.ok();
        }
    }
}

/// The answer to one attempt.
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Address of the endpoint.
    pub addr: SocketAddr,
    framed: bool,
    body: Option<Incoming>,
    conn: Option<Conn>,
    client: Arc<Client>,
}

impl Answer {
    /// Returns whether the end of the answer was seen.
    pub fn ended(&self) -> bool {
        self.body.is_none()
    }

    /// Returns whether the answer's end can be told from a crash.
    pub fn framed(&self) -> bool {
        self.framed
    }

    /// Returns how long the connection may stay idle: most of what the
    /// endpoint announced, as it counts from an earlier moment.
    fn max_idle(&self) -> Duration {
        let limit = self.client.limits.idle;
        let announced = self
            .headers
            .get("keep-alive")
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")))
            .and_then(|v| v.trim().parse::<u32>().ok());
        announced.map_or(limit, |s| limit.min(Duration::from_secs(s.into()) * 3 / 4))
    }

    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, ClientError>> {
        let mut pieces = Pieces::default();
        while let (Some(body), Some(conn)) = (self.body.as_mut(), self.conn.as_mut()) {
            let was_done = conn.driver_done;
            let mut polled = Pin::new(&mut *body).poll_frame(cx);
            if polled.is_pending() {
                conn.drive(cx);
                polled = Pin::new(&mut *body).poll_frame(cx);
            }
            match polled {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    pieces.push(data);
                    if pieces.joined_len() >= COALESCE_BYTES {
                        break;
                    }
                }
                Poll::Ready(Some(Err(e))) => {
                    self.conn = None;
                    if !pieces.is_empty() {
                        // What came before is handed on; the next call fails.
                        break;
                    }
                    return Poll::Ready(Err(ClientError::Broken(e.to_string())));
                }
                Poll::Ready(None) => {
                    self.body = None;
                    // The driver must see the end of the exchange before the
                    // connection counts as free.
                    conn.drive(cx);
                    if let Some(mut conn) = self.conn.take() {
                        conn.max_idle = self.max_idle();
                        self.client.put_idle(self.addr, conn);
                    }
                }
                Poll::Pending => {
                    if !pieces.is_empty() {
                        break;
                    }
                    if was_done {
                        self.conn = None;
                        return Poll::Ready(Err(ClientError::Broken("closed".into())));
                    }
                    if conn.driver_done {
                        continue;
                    }
                    return Poll::Pending;
                }
            }
        }
        match pieces.join() {
            Some(data) => Poll::Ready(Ok(Some(data))),
            None if self.body.is_none() => Poll::Ready(Ok(None)),
            None => Poll::Ready(Err(ClientError::Broken("closed".into()))),
        }
    }

    /// Returns the next piece of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the end or is silent for `gap`.
    pub async fn next(&mut self, gap: Duration) -> Result<Option<Bytes>, ClientError> {
        let piece = std::future::poll_fn(|cx| self.poll_piece(cx));
        match piece.now_or_never() {
            Some(res) => res,
            None => {
                let piece = std::future::poll_fn(|cx| self.poll_piece(cx));
                match tokio::time::timeout(gap, piece).await {
                    Ok(res) => res,
                    Err(_) => Err(ClientError::Silent("next piece")),
                }
            }
        }
    }

    /// Returns the whole body.
    ///
    /// # Errors
    ///
    /// Fails unless the end of the body was seen.
    pub async fn collect(self, gap: Duration) -> Result<Bytes, ClientError> {
        if !self.framed {
            return Err(ClientError::NoEnd);
        }
        self.read_to_end(gap).await
    }

    /// Returns the whole body, also of an answer whose only end is that of its
    /// connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection is reset or silent before the end.
    pub async fn read_to_end(mut self, gap: Duration) -> Result<Bytes, ClientError> {
        let max = self.client.max_answer_bytes;
        let mut pieces = Pieces::default();
        while let Some(data) = self.next(gap).await? {
            pieces.push(data);
            if pieces.len() > max {
                return Err(ClientError::TooLong);
            }
        }
        Ok(pieces.join().unwrap_or_default())
    }
}
