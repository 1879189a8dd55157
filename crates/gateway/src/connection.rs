//! What is known about one connection of a caller: the request that is being served,
//! bytes that were read or not yet written, and how the connection ended.

use std::io;
use std::io::IoSlice;
use std::io::Read;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use anvilloft_types::lock;
use bytes::Bytes;
use http_body::Body as _;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::Logger;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::time::Instant;
use volo_http::body::Body;

use crate::body::AnswerError;
use crate::metrics::Metrics;

/// Maximum number of bytes that are read and discarded of a body that nobody reads.
const DISCARD_BYTES: u64 = 4 * 1024 * 1024;
/// Maximum time to read and discard the rest of such a body.
const DISCARD_TIME: Duration = Duration::from_secs(5);
/// Maximum time to read from a closed connection, until the caller closes its side.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Size of the reads from a closed connection, in bytes.
const LINGER_READ_BYTES: usize = 16 * 1024;

/// Timeouts of a connection. They may change while the connection is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Timeout for reading the header of a request.
    pub header: Duration,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
}

impl Timeouts {
    /// Returns the longer of each timeout.
    #[must_use]
    pub fn longest(self, other: Self) -> Self {
        Self {
            header: self.header.max(other.header),
            idle: self.idle.max(other.idle),
        }
    }
}

/// Extension of a response: when it ends, also if its caller reads nothing.
#[derive(Clone, Copy, Debug)]
pub struct AnswerDeadline(pub Instant);

/// Why a connection ended while a request had no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndCause {
    /// The caller closed or reset the connection.
    CallerLeft,
    /// The caller sent something that is no request.
    ProtocolError,
    /// The header of a request stopped arriving.
    HeaderTimeout,
    /// The caller stopped reading its answer.
    AnswerStalled,
    /// The answer failed after its header was sent.
    AnswerFailed,
    /// The code that produces the answer panicked after its header was sent.
    Panicked,
    /// The process stopped.
    Stopped,
}

impl EndCause {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::CallerLeft => "caller_left",
            Self::ProtocolError => "protocol_error",
            Self::HeaderTimeout => "header_timeout",
            Self::AnswerStalled => "answer_stalled",
            Self::AnswerFailed => "answer_failed",
            Self::Panicked => "panicked",
            Self::Stopped => "stopped",
        }
    }
}

struct Progress {
    /// Id of the newest request.
    id: String,
    /// Whether the newest request has no complete answer yet.
    open: bool,
    /// Number of requests so far.
    count: u64,
    /// When the first bytes of a header arrived that is not complete.
    header_since: Option<Instant>,
    /// End of the last answer, or of the last write.
    active_at: Instant,
    /// Whether bytes of an answer wait for the caller to read.
    unwritten: bool,
    /// When the answer to the newest request ends, also if its caller reads nothing.
    answer_deadline: Option<Instant>,
    /// Number of bodies of which more bytes may arrive. The rest of one that nobody reads
    /// may still be discarded when the next request begins.
    open_bodies: u32,
    /// Whether a body was not read to its end.
    body_cut: bool,
    /// Whether the connection must close, as a body can't be discarded.
    must_close: bool,
    /// Whether reads ask the socket itself, beyond what the runtime knows of it.
    reads_socket: bool,
    failure: Option<EndCause>,
}

/// Progress of one connection.
pub(crate) struct ConnectionState(Mutex<Progress>);

impl ConnectionState {
    pub(crate) fn new() -> Self {
        Self(Mutex::new(Progress {
            id: String::new(),
            open: false,
            count: 0,
            header_since: None,
            active_at: Instant::now(),
            unwritten: false,
            answer_deadline: None,
            open_bodies: 0,
            body_cut: false,
            must_close: false,
            reads_socket: false,
            failure: None,
        }))
    }

    /// Records that the header of a request is complete.
    pub(crate) fn begin(&self, id: String) {
        let mut p = lock(&self.0);
        (p.id, p.open) = (id, true);
        p.count += 1;
        p.header_since = None;
        p.answer_deadline = None;
    }

    /// Sets when the answer to the newest request ends, also if its caller reads nothing.
    pub(crate) fn set_answer_deadline(&self, deadline: AnswerDeadline) {
        lock(&self.0).answer_deadline = Some(deadline.0);
    }

    /// Records that the answer was passed to the connection completely.
    fn answer_ended(&self) {
        let mut p = lock(&self.0);
        p.open = false;
        p.active_at = Instant::now();
    }

    fn answer_failed(&self, cause: EndCause) {
        lock(&self.0).failure.get_or_insert(cause);
    }

    fn body_began(&self) {
        lock(&self.0).open_bodies += 1;
    }

    fn body_ended(&self, cut: bool) {
        let mut p = lock(&self.0);
        p.open_bodies = p.open_bodies.saturating_sub(1);
        p.body_cut |= cut;
        p.active_at = Instant::now();
    }

    fn id(&self) -> String {
        lock(&self.0).id.clone()
    }

    /// Whether the answer must tell the caller that the connection closes.
    pub(crate) fn must_close(&self) -> bool {
        lock(&self.0).must_close
    }

    /// Whether the caller may be sending bytes that nobody will read.
    pub(crate) fn has_unread(&self) -> bool {
        let p = lock(&self.0);
        p.open_bodies > 0 || p.body_cut
    }

    /// Sets whether reads ask the socket itself. Other tasks may have run for a while since
    /// the runtime read its events.
    pub(crate) fn set_reads_socket(&self, reads: bool) {
        lock(&self.0).reads_socket = reads;
    }

    /// Whether a part of a header was read.
    pub(crate) fn is_reading_header(&self) -> bool {
        lock(&self.0).header_since.is_some()
    }

    pub(crate) fn request_count(&self) -> u64 {
        lock(&self.0).count
    }

    /// Returns when the connection is closed if nothing happens until then, and why.
    /// Returns `None` while a request is served, unless its caller reads nothing of an
    /// answer with a deadline.
    pub(crate) fn deadline(&self, timeouts: Timeouts) -> Option<(Instant, Option<EndCause>)> {
        let p = lock(&self.0);
        if p.open && p.unwritten {
            return Some((p.answer_deadline?, Some(EndCause::AnswerStalled)));
        }
        if p.open || p.open_bodies > 0 {
            return None;
        }
        let (since, timeout, cause) = match p.header_since {
            Some(since) => (since, timeouts.header, Some(EndCause::HeaderTimeout)),
            None => {
                let stalled = p.unwritten.then_some(EndCause::AnswerStalled);
                (p.active_at, timeouts.idle, stalled)
            }
        };
        let at = since.checked_add(timeout)?;
        // The idle limit may be shorter than a pause of the link to a caller that waits.
        let answer_deadline = p.answer_deadline.filter(|_| p.unwritten);
        Some((answer_deadline.map_or(at, |due| at.max(due)), cause))
    }

    /// Returns the id of the request without a complete answer, if there is one; it is
    /// empty if its header isn't complete. The second value is the recorded cause.
    pub(crate) fn unfinished(&self) -> Option<(String, Option<EndCause>)> {
        let p = lock(&self.0);
        let id = match p.open || p.unwritten {
            true => p.id.clone(),
            false if p.header_since.is_some() => String::new(),
            false => return None,
        };
        Some((id, p.failure))
    }

    fn record_read(&self, len: usize) {
        let mut p = lock(&self.0);
        if len > 0 && !p.open && p.open_bodies == 0 && p.header_since.is_none() {
            p.header_since = Some(Instant::now());
        }
    }

    fn record_write(&self, len: usize, result: &Poll<io::Result<usize>>) {
        let mut p = lock(&self.0);
        p.unwritten = !matches!(result, Poll::Ready(Ok(n)) if *n == len);
        if matches!(result, Poll::Ready(Ok(n)) if *n > 0) {
            p.active_at = Instant::now();
        }
    }
}

/// Logs and counts what goes wrong on connections.
pub(crate) struct Observer {
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<Metrics>,
}

impl Observer {
    pub(crate) fn record_panic(&self, id: &str) {
        self.metrics.panics.inc();
        slog::error!(self.log, "a request's code panicked"; "request" => id);
    }

    /// Records that a connection ended while a request had no complete answer.
    pub(crate) fn record_end(&self, cause: EndCause, end: &ConnectionEnd<'_>) {
        let cause = cause.as_str();
        self.metrics
            .connection_ends
            .with_label_values(&[cause])
            .inc();
        slog::info!(self.log, "connection ended early"; "cause" => cause,
            "request" => end.id, "peer" => %end.peer, "requests" => end.count,
            "error" => end.error);
    }
}

/// End of a connection.
pub(crate) struct ConnectionEnd<'a> {
    /// Id of the request; empty if its header isn't complete.
    pub(crate) id: &'a str,
    pub(crate) peer: SocketAddr,
    /// Number of requests on the connection.
    pub(crate) count: u64,
    pub(crate) error: Option<&'a str>,
}

/// A caller's socket that records its progress.
pub(crate) struct TrackedStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
}

impl TrackedStream {
    pub(crate) fn new(stream: TcpStream, state: Arc<ConnectionState>) -> Self {
        Self { stream, state }
    }

    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }
}

/// Reads from a socket without waiting, whether or not the runtime takes it for readable.
/// An end or an error is left to the runtime.
fn read_socket(stream: &TcpStream, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    let Ok(socket) = stream.as_fd().try_clone_to_owned() else {
        return Poll::Pending;
    };
    match std::net::TcpStream::from(socket).read(buf.initialize_unfilled()) {
        Ok(len @ 1..) => {
            buf.advance(len);
            Poll::Ready(Ok(()))
        }
        _ => Poll::Pending,
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let mut result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if result.is_pending() && lock(&self.state.0).reads_socket {
            result = read_socket(&self.stream, buf);
        }
        self.state.record_read(buf.filled().len() - before);
        result
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.state.record_write(buf.len(), &result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        let len = bufs.iter().map(|b| b.len()).sum();
        self.state.record_write(len, &result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Body of a request. The rest of a body that its handler doesn't read is read and
/// discarded, so that the answer isn't lost with the connection.
pub(crate) struct RequestBody {
    /// `None` after the end of the body.
    incoming: Option<Incoming>,
    /// Whether the caller may wait for leave to send the body.
    waits: bool,
    state: Arc<ConnectionState>,
}

impl RequestBody {
    pub(crate) fn body(incoming: Incoming, waits: bool, state: &Arc<ConnectionState>) -> Body {
        if incoming.is_end_stream() {
            return Body::from_incoming(incoming);
        }
        state.body_began();
        Body::from_body(Self {
            incoming: Some(incoming),
            waits,
            state: Arc::clone(state),
        })
    }
}

impl http_body::Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let Some(incoming) = &mut self.incoming else {
            return Poll::Ready(None);
        };
        let frame = Pin::new(&mut *incoming).poll_frame(cx);
        let ended = match &frame {
            Poll::Ready(None | Some(Err(_))) => true,
            Poll::Ready(Some(Ok(_))) => incoming.is_end_stream(),
            Poll::Pending => false,
        };
        if ended {
            self.incoming = None;
            self.state.body_ended(false);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(|b| b.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.incoming {
            Some(incoming) => incoming.size_hint(),
            None => SizeHint::with_exact(0),
        }
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let is_short = matches!(incoming.size_hint().upper(), Some(n) if n <= DISCARD_BYTES);
        lock(&self.state.0).must_close |= self.waits || !is_short;
        let state = Arc::clone(&self.state);
        match Handle::try_current() {
            Ok(runtime) => drop(runtime.spawn(discard(incoming, state))),
            Err(_) => state.body_ended(true),
        }
    }
}

/// Reads and discards the rest of a body, within bounds.
async fn discard(mut body: Incoming, state: Arc<ConnectionState>) {
    let read = async {
        let mut left = DISCARD_BYTES;
        loop {
            match body.frame().await {
                None => return true,
                Some(Err(_)) => return false,
                Some(Ok(frame)) => {
                    let len = frame.data_ref().map_or(0, Bytes::len);
                    let Some(rest) = left.checked_sub(len as u64) else {
                        return false;
                    };
                    left = rest;
                }
            }
        }
    };
    let whole = tokio::time::timeout(DISCARD_TIME, read).await;
    state.body_ended(whole != Ok(true));
}

/// Closes a connection whose caller may still be sending. A socket that is closed with
/// unread bytes is reset, and the caller may lose the answer.
pub(crate) async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut buf = vec![0; LINGER_READ_BYTES];
    let read = async {
        let mut left = DISCARD_BYTES;
        while let Ok(len @ 1..) = stream.read(&mut buf).await {
            let Some(rest) = left.checked_sub(len as u64) else {
                return;
            };
            left = rest;
        }
    };
    tokio::time::timeout(LINGER_TIME, read).await.ok();
}

/// Body of an answer. Records whether the connection has taken all of it, and turns a
/// panic into an error, which breaks the answer off after what was sent before it.
pub(crate) struct AnswerBody {
    body: Body,
    /// Number of bytes that are due, if known.
    left: Option<u64>,
    ended: bool,
    /// Error that is returned next.
    error: Option<AnswerError>,
    observer: Arc<Observer>,
    state: Arc<ConnectionState>,
}

impl AnswerBody {
    /// Wraps a body. `is_bodiless` tells that no body is sent, as the request is `HEAD`.
    pub(crate) fn new(
        body: Body,
        is_bodiless: bool,
        observer: &Arc<Observer>,
        state: &Arc<ConnectionState>,
    ) -> Self {
        let left = body.size_hint().exact();
        let mut answer = Self {
            body,
            left,
            ended: false,
            error: None,
            observer: Arc::clone(observer),
            state: Arc::clone(state),
        };
        if is_bodiless || left == Some(0) {
            answer.end();
        }
        answer
    }

    fn end(&mut self) {
        if !std::mem::replace(&mut self.ended, true) {
            self.state.answer_ended();
        }
    }

    /// Keeps an error for the next poll. On an error, hyper drops what it hasn't written
    /// yet, which may be the header; it writes it while the body is pending.
    fn fail_later(&mut self, error: AnswerError, waker: &Waker) -> AnswerPoll {
        self.error = Some(error);
        waker.wake_by_ref();
        Poll::Pending
    }
}

type AnswerPoll = Poll<Option<Result<Frame<Bytes>, AnswerError>>>;

impl http_body::Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> AnswerPoll {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        let polled = catch_unwind(AssertUnwindSafe(|| Pin::new(&mut self.body).poll_frame(cx)));
        let Ok(polled) = polled else {
            self.observer.record_panic(&self.state.id());
            self.state.answer_failed(EndCause::Panicked);
            return self.fail_later(AnswerError::Panicked, cx.waker());
        };
        match polled {
            Poll::Ready(Some(Err(err))) => {
                self.state.answer_failed(EndCause::AnswerFailed);
                self.fail_later(AnswerError::Body(err), cx.waker())
            }
            Poll::Ready(None) => {
                self.end();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                let len = frame.data_ref().map_or(0, Bytes::len) as u64;
                self.left = self.left.map(|left| left.saturating_sub(len));
                if self.left == Some(0) {
                    self.end();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
