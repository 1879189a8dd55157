//! An open session: heartbeats, calls and the bounded send queue.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_types::BoxFuture;
use anvilloft_types::lock;
use anvilloft_types::to_ms;
use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::coop::unconstrained;
use tokio::task::yield_now;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

use super::CLOSE_LIMIT;
use super::CLOSE_TIMEOUT;
use super::HANDSHAKE_TIMEOUT;
use super::HEARTBEAT_INTERVAL;
use super::Identity;
use super::MAX_INBOUND_CALLS;
use super::MAX_OUTBOUND_CALLS;
use super::MAX_QUEUED_BYTES;
use super::MAX_QUEUED_FRAMES;
use super::PONG_TIMEOUT;
use super::SILENCE_TIMEOUT;
use super::SessionError;
use super::handshake::Opened;
use super::handshake::Side;
use super::handshake::handshake;
use super::progress::CountingWriter;
use super::progress::WriteProgress;
use super::seal::Seal;
use crate::control::Answer;
use crate::control::CallError;
use crate::control::ControlReply;
use crate::control::ControlRequest;
use crate::control::Request;
use crate::frame::Call;
use crate::frame::CallReply;
use crate::frame::Frame;
use crate::frame::Hello;
use crate::frame::MAX_FRAME_BYTES;
use crate::frame::Payload;

/// Handles the frames and calls of sessions.
pub trait Handler: Send + Sync {
    /// Called when a session was opened.
    fn opened(&self, _session: &Arc<Session>) {}

    /// Called when a session ended.
    fn closed(&self, _session: &Arc<Session>, _reason: &SessionError) {}

    /// Handles a frame that is neither a heartbeat nor part of a call. Must not
    /// block.
    fn frame(&self, session: &Arc<Session>, payload: Payload);

    /// Handles a call of the peer and returns the reply.
    fn call(&self, session: &Arc<Session>, call: Call) -> BoxFuture<'static, ControlReply>;
}

/// Round trip of a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct RoundTrip {
    /// Time from ping to pong.
    pub time: Duration,
    /// When the pong arrived.
    pub received_at: Instant,
}

/// Heartbeats of this side, by the time from the start of the session at which they
/// were sent.
#[derive(Default)]
struct Pings {
    last: Duration,
    /// The first one without a pong.
    unanswered: Option<Duration>,
}

/// States of a queued call, in [`Outgoing::state`].
const QUEUED: u8 = 0;
const WRITTEN: u8 = 1;
const CANCELLED: u8 = 2;

/// Number of bytes that a session seals or checks before other tasks run, and before it
/// sees its own close: a core host has one thread and a tenth of a core.
const TURN_BYTES: usize = 64 * 1024;

/// Lets other tasks run after each [`TURN_BYTES`] of frames.
#[derive(Default)]
struct Turn {
    bytes: usize,
}

impl Turn {
    async fn count(&mut self, len: usize) {
        self.bytes = self.bytes.saturating_add(len);
        if self.bytes >= TURN_BYTES {
            self.bytes = 0;
            yield_now().await;
        }
    }
}

/// A frame in the send queue. `state` is set for calls: it shows whether any
/// byte of the call may have left this process.
struct Outgoing {
    bytes: Vec<u8>,
    state: Option<Arc<AtomicU8>>,
}

/// An open session with a peer.
pub struct Session {
    peer: Hello,
    remote: Option<SocketAddr>,
    version: u32,
    tx: mpsc::Sender<Outgoing>,
    queued_bytes: AtomicUsize,
    calls: Mutex<HashMap<u64, oneshot::Sender<ControlReply>>>,
    next_call: AtomicU64,
    start: Instant,
    round_trip: Mutex<Option<RoundTrip>>,
    pings: Mutex<Pings>,
    is_dialled: bool,
    stop: watch::Sender<StopReason>,
    ended: watch::Sender<bool>,
}

/// Why this side ends the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopReason {
    /// The session is open.
    None,
    /// [`Session::close`] was called, or the connection ended.
    Requested,
    /// The send queue was full.
    Overflow,
}

impl std::fmt::Debug for Session {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Session")
            .field("peer", &self.peer.node)
            .field("role", &self.peer.role)
            .field("remote", &self.remote)
            .finish_non_exhaustive()
    }
}

impl Session {
    /// Returns the peer's hello.
    pub fn peer(&self) -> &Hello {
        &self.peer
    }

    /// Returns the remote address of the connection.
    pub fn remote(&self) -> Option<SocketAddr> {
        self.remote
    }

    /// Returns the protocol version in use.
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Returns whether the session is open.
    pub fn is_open(&self) -> bool {
        *self.stop.borrow() == StopReason::None && !*self.ended.borrow()
    }

    /// Returns the round trip of the last heartbeat.
    pub fn round_trip(&self) -> Option<RoundTrip> {
        *lock(&self.round_trip)
    }

    /// Returns whether this side opened the connection.
    pub fn is_dialled(&self) -> bool {
        self.is_dialled
    }

    /// Returns whether no heartbeat has waited for its answer for [`PONG_TIMEOUT`].
    pub fn is_responsive(&self) -> bool {
        let unanswered = lock(&self.pings).unanswered;
        unanswered.is_none_or(|sent| self.start.elapsed().saturating_sub(sent) < PONG_TIMEOUT)
    }

    /// Sends a heartbeat at once unless one is unanswered, so that
    /// [`is_responsive`](Self::is_responsive) tells of a session that fell silent.
    pub fn probe(&self) {
        if lock(&self.pings).unanswered.is_none() {
            // An error can be ignored: a full queue ends the session.
            let _ = self.send(self.next_ping());
        }
    }

    /// Returns a ping with the current time, which the pong echoes.
    fn next_ping(&self) -> Payload {
        let sent_at = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        let sent = Duration::from_micros(sent_at);
        let mut pings = lock(&self.pings);
        pings.last = sent;
        pings.unanswered.get_or_insert(sent);
        Payload::Ping(sent_at)
    }

    fn record_pong(&self, sent: Duration) {
        let received_at = Instant::now();
        let time = self.start.elapsed().saturating_sub(sent);
        *lock(&self.round_trip) = Some(RoundTrip { time, received_at });
        let mut pings = lock(&self.pings);
        pings.unanswered = Some(pings.last).filter(|last| *last > sent);
    }

    /// Closes the session. Frames that were queued before are still sent, except
    /// calls, until the connection has accepted no byte for [`CLOSE_TIMEOUT`], and for
    /// at most [`CLOSE_LIMIT`].
    pub fn close(&self) {
        self.stop_for(StopReason::Requested);
    }

    /// Ends the session. Only the first reason is kept.
    fn stop_for(&self, reason: StopReason) {
        self.stop.send_if_modified(|stop| {
            let is_first = *stop == StopReason::None;
            if is_first {
                *stop = reason;
            }
            is_first
        });
    }

    /// Waits until the session has ended.
    pub async fn ended(&self) {
        let mut ended = self.ended.subscribe();
        // `self` holds the sender, so waiting can't fail.
        let _ = ended.wait_for(|ended| *ended).await;
    }

    /// Queues a frame.
    ///
    /// # Errors
    ///
    /// `TooLarge` for a frame over the limit; `Overflow` when the queue is
    /// full, which also drops the session; `ClosedLocally` when it has ended.
    pub fn send(&self, payload: Payload) -> Result<(), SessionError> {
        self.queue(payload, None)
    }

    fn queue(&self, payload: Payload, state: Option<Arc<AtomicU8>>) -> Result<(), SessionError> {
        if !self.is_open() {
            return Err(SessionError::ClosedLocally);
        }
        let frame = Frame {
            payload: Some(payload),
        };
        let len = frame.encoded_len();
        if len > MAX_FRAME_BYTES {
            return Err(SessionError::TooLarge);
        }
        let before = self.queued_bytes.fetch_add(len, Ordering::Relaxed);
        let out = Outgoing {
            bytes: frame.encode_to_vec(),
            state,
        };
        if before.saturating_add(len) > MAX_QUEUED_BYTES || self.tx.try_send(out).is_err() {
            self.stop_for(StopReason::Overflow);
            return Err(SessionError::Overflow);
        }
        Ok(())
    }

    /// Counts a frame as taken from the send queue.
    fn release(&self, out: &Outgoing) {
        self.queued_bytes
            .fetch_sub(out.bytes.len(), Ordering::Relaxed);
    }

    /// Sends a request and waits for the reply.
    ///
    /// # Errors
    ///
    /// `Unknown` when any byte of a proposal may have been written and no reply
    /// was received; `Unavailable` otherwise.
    pub async fn call(
        &self,
        req: ControlRequest,
        max_wait: Duration,
        hops: u32,
    ) -> Result<ControlReply, CallError> {
        // A renewal or query changes nothing, so its outcome is never in doubt.
        let is_proposal = matches!(req.request, Some(Request::Propose(_) | Request::Group(_)));
        let id = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        {
            let mut calls = lock(&self.calls);
            if calls.len() >= MAX_OUTBOUND_CALLS {
                return Err(CallError::Unavailable(
                    "too many calls are in flight on the session".to_owned(),
                ));
            }
            calls.insert(id, tx);
        }
        let entry = CallEntry { session: self, id };
        let state = Arc::new(AtomicU8::new(QUEUED));
        let call = Call {
            id,
            timeout_ms: to_ms(max_wait),
            request: Some(req),
            hops,
        };
        self.queue(Payload::Call(call), Some(state.clone()))
            .map_err(|err| CallError::Unavailable(err.to_string()))?;
        let reply = tokio::select! {
            reply = timeout(max_wait, rx) => match reply {
                Ok(Ok(reply)) => Ok(reply),
                Ok(Err(_)) => Err("the session ended"),
                Err(_) => Err("no reply in time"),
            },
            () = self.ended() => Err("the session ended"),
        };
        drop(entry);
        reply.map_err(|reason| {
            let unwritten = state
                .compare_exchange(QUEUED, CANCELLED, Ordering::SeqCst, Ordering::SeqCst)
                .is_ok();
            if is_proposal && !unwritten {
                CallError::Unknown(reason.to_owned())
            } else {
                CallError::Unavailable(reason.to_owned())
            }
        })
    }
}

/// Removes a call from `Session::calls` when dropped, so also when the future of
/// the call is dropped.
struct CallEntry<'a> {
    session: &'a Session,
    id: u64,
}

impl Drop for CallEntry<'_> {
    fn drop(&mut self) {
        lock(&self.session.calls).remove(&self.id);
    }
}

/// Runs the handshake and starts the session's tasks. They end by themselves
/// when the session ends.
pub(super) async fn open<R, W>(
    reader: R,
    writer: W,
    remote: Option<SocketAddr>,
    side: Side,
    identity: &Identity,
    handler: Arc<dyn Handler>,
) -> Result<Arc<Session>, SessionError>
where
    R: AsyncRead + Unpin + Send + 'static,
    W: AsyncWrite + Unpin + Send + 'static,
{
    let progress = Arc::new(WriteProgress::default());
    let writer = CountingWriter::new(writer, Arc::clone(&progress));
    let opened = timeout(HANDSHAKE_TIMEOUT, handshake(reader, writer, side, identity))
        .await
        .unwrap_or(Err(SessionError::HandshakeTimeout));
    let opened = match opened {
        Ok(opened) => opened,
        Err(err) => {
            let failed = &identity.stats.handshakes_failed;
            failed.fetch_add(1, Ordering::Relaxed);
            return Err(err);
        }
    };
    identity.stats.opened.fetch_add(1, Ordering::Relaxed);
    let Opened {
        reader,
        writer,
        seal_out,
        seal_in,
        peer,
        version,
    } = opened;
    let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
    let session = Arc::new(Session {
        peer,
        remote,
        version,
        tx,
        queued_bytes: AtomicUsize::new(0),
        calls: Mutex::default(),
        next_call: AtomicU64::new(1),
        start: Instant::now(),
        round_trip: Mutex::default(),
        pings: Mutex::default(),
        is_dialled: side == Side::Client,
        stop: watch::Sender::new(StopReason::None),
        ended: watch::Sender::new(false),
    });
    handler.opened(&session);
    let stats = identity.stats.clone();
    let run = session.clone();
    tokio::spawn(async move {
        let run_frames = async {
            tokio::select! {
                err = write_frames(&run, writer, seal_out, rx, &progress) => err,
                err = read_frames(&run, reader, seal_in, handler.clone()) => err,
            }
        };
        // After a time without processor, what the connection accepts counts before the
        // timers that have expired meanwhile. A peer that never stops sending can't use
        // up the budget of `stopped`.
        let reason = tokio::select! {
            biased;
            err = run_frames => err,
            err = unconstrained(stopped(&run, &progress)) => err,
        };
        let reason = match *run.stop.borrow() {
            StopReason::Requested => SessionError::ClosedLocally,
            _ => reason,
        };
        let counter = match reason {
            SessionError::SilenceTimeout => Some(&stats.dropped_silent),
            SessionError::Overflow => Some(&stats.dropped_overflow),
            SessionError::BadMac | SessionError::BadFrame => Some(&stats.dropped_invalid),
            _ => None,
        };
        if let Some(counter) = counter {
            counter.fetch_add(1, Ordering::Relaxed);
        }
        // `select` has dropped both halves of the connection, so the state of a
        // queued call is final from here on.
        run.stop_for(StopReason::Requested);
        run.ended.send_replace(true);
        lock(&run.calls).clear();
        handler.closed(&run, &reason);
    });
    Ok(session)
}

/// Waits until this side ends the session: after [`Session::close`], until the
/// connection has accepted no byte of the queue for [`CLOSE_TIMEOUT`], at the latest
/// after [`CLOSE_LIMIT`].
async fn stopped(session: &Session, progress: &WriteProgress) -> SessionError {
    let mut stop = session.stop.subscribe();
    let reason = stop.wait_for(|stop| *stop != StopReason::None).await;
    if reason.is_ok_and(|reason| *reason == StopReason::Overflow) {
        return SessionError::Overflow;
    }
    let limit = tokio::time::sleep(CLOSE_LIMIT);
    tokio::pin!(limit);
    let mut written = progress.written();
    loop {
        tokio::select! {
            () = &mut limit => return SessionError::ClosedLocally,
            () = tokio::time::sleep(CLOSE_TIMEOUT) => (),
        }
        let before = std::mem::replace(&mut written, progress.written());
        // What the peer still has to read is in the buffers of both kernels, so its
        // progress can't be seen from here.
        if written == before && !progress.is_finished() {
            return SessionError::ClosedLocally;
        }
    }
}

/// Waits for [`Session::close`].
async fn close_requested(stop: &mut watch::Receiver<StopReason>) {
    // The session holds the sender, so waiting can't fail.
    let _ = stop.wait_for(|stop| *stop == StopReason::Requested).await;
}

async fn write_frames<W: AsyncWrite + Unpin>(
    session: &Session,
    mut writer: FramedWrite<W, LengthDelimitedCodec>,
    mut seal: Seal,
    mut rx: mpsc::Receiver<Outgoing>,
    progress: &WriteProgress,
) -> SessionError {
    let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
    heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stop = session.stop.subscribe();
    let mut turn = Turn::default();
    loop {
        let mut next = tokio::select! {
            () = close_requested(&mut stop) => None,
            out = rx.recv() => out.inspect(|out| session.release(out)),
            _ = heartbeat.tick() => {
                let frame = Frame { payload: Some(session.next_ping()) };
                let bytes = frame.encode_to_vec();
                Some(Outgoing { bytes, state: None })
            }
        };
        if next.is_none() {
            return match flush_queue(session, &mut writer, &mut seal, &mut rx).await {
                // The connection stays open until the peer has read everything:
                // closing it with unread data would reset it.
                Ok(()) => {
                    progress.finish();
                    std::future::pending().await
                }
                Err(err) => SessionError::Io(err),
            };
        }
        let batch = async {
            while let Some(out) = next {
                let skip = out.state.is_some_and(|state| {
                    state
                        .compare_exchange(QUEUED, WRITTEN, Ordering::SeqCst, Ordering::SeqCst)
                        .is_err()
                });
                if !skip {
                    writer.feed(seal.seal(&out.bytes)).await?;
                    turn.count(out.bytes.len()).await;
                }
                next = rx.try_recv().ok().inspect(|out| session.release(out));
            }
            SinkExt::<Bytes>::flush(&mut writer).await
        };
        tokio::pin!(batch);
        loop {
            let written = progress.written();
            match timeout(SILENCE_TIMEOUT, &mut batch).await {
                Ok(Ok(())) => break,
                Ok(Err(err)) => return SessionError::Io(err),
                // A long batch takes longer on a slow connection or a busy host.
                Err(_) if progress.written() > written => (),
                Err(_) => return SessionError::SilenceTimeout,
            }
        }
    }
}

/// Writes the queued frames and then the end of the stream. Calls are left out: their
/// replies could not be awaited.
async fn flush_queue<W: AsyncWrite + Unpin>(
    session: &Session,
    writer: &mut FramedWrite<W, LengthDelimitedCodec>,
    seal: &mut Seal,
    rx: &mut mpsc::Receiver<Outgoing>,
) -> std::io::Result<()> {
    let mut turn = Turn::default();
    rx.close();
    while let Some(out) = rx.recv().await {
        session.release(&out);
        if out.state.is_none() {
            writer.feed(seal.seal(&out.bytes)).await?;
            turn.count(out.bytes.len()).await;
        }
    }
    SinkExt::<Bytes>::flush(writer).await?;
    writer.get_mut().shutdown().await
}

async fn read_frames<R: AsyncRead + Unpin>(
    session: &Arc<Session>,
    mut reader: FramedRead<R, LengthDelimitedCodec>,
    mut seal: Seal,
    handler: Arc<dyn Handler>,
) -> SessionError {
    let permits = Arc::new(Semaphore::new(MAX_INBOUND_CALLS));
    let mut turn = Turn::default();
    loop {
        let buf = match timeout(SILENCE_TIMEOUT, reader.next()).await {
            Err(_) => return SessionError::SilenceTimeout,
            Ok(None) => return SessionError::ClosedByPeer,
            Ok(Some(Err(err))) => return SessionError::Io(err),
            Ok(Some(Ok(buf))) => buf,
        };
        turn.count(buf.len()).await;
        let frame = match seal.open(buf) {
            Ok(frame) => Frame::decode(frame),
            Err(err) => return err,
        };
        let Ok(frame) = frame else {
            return SessionError::BadFrame;
        };
        match frame.payload {
            // A kind of frame that a newer version added.
            None => (),
            Some(Payload::Ping(sent_at)) => {
                // An error can be ignored: a full queue ends the session.
                let _ = session.send(Payload::Pong(sent_at));
            }
            Some(Payload::Pong(sent_at)) => session.record_pong(Duration::from_micros(sent_at)),
            Some(Payload::Answer(answer)) => {
                let pending = lock(&session.calls).remove(&answer.id);
                if let (Some(tx), Some(reply)) = (pending, answer.reply) {
                    let _ = tx.send(reply);
                }
            }
            // The reply could not be sent.
            Some(Payload::Call(_)) if !session.is_open() => (),
            Some(Payload::Call(call)) => {
                let id = call.id;
                match permits.clone().try_acquire_owned() {
                    Err(_) => send_reply(
                        session,
                        id,
                        unavailable("too many calls of this peer are running"),
                    ),
                    Ok(permit) => {
                        let reply = handler.call(session, call);
                        let session = session.clone();
                        tokio::spawn(async move {
                            send_reply(&session, id, reply.await);
                            drop(permit);
                        });
                    }
                }
            }
            Some(payload) => handler.frame(session, payload),
        }
    }
}

fn unavailable(reason: &str) -> ControlReply {
    Answer::Unavailable(reason.to_owned()).into()
}

/// Sends the reply to a call. It is lost when the session has ended.
fn send_reply(session: &Session, id: u64, reply: ControlReply) {
    let send = |reply| {
        let reply = Some(reply);
        session.send(Payload::Answer(CallReply { id, reply }))
    };
    if let Err(SessionError::TooLarge) = send(reply) {
        // Only a query result can be that large.
        let _ = send(unavailable("the reply exceeds the frame limit"));
    }
}
