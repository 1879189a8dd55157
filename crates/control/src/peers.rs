//! Sessions of a control member with other members and with routers.
//!
//! [`Peers`] is the driver's [`Transport`] for consensus messages. It answers
//! calls, or forwards them to the leader over at most one hop. A message to a
//! member uses any open session with it, whichever side opened the connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_types::BoxFuture;
use anvilloft_types::Clock;
use anvilloft_types::Incarnation;
use anvilloft_types::MemberId;
use anvilloft_types::Revision;
use anvilloft_types::RouterId;
use anvilloft_types::lock;
use anvilloft_wire::CallError;
use anvilloft_wire::Control;
use anvilloft_wire::ControlReply;
use anvilloft_wire::ControlRequest;
use anvilloft_wire::command::Evacuations;
use anvilloft_wire::command::Quarantined;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::Request;
use anvilloft_wire::frame::Call;
use anvilloft_wire::frame::ConsensusFrame;
use anvilloft_wire::frame::EndpointBatch;
use anvilloft_wire::frame::EndpointUpdate;
use anvilloft_wire::frame::Payload;
use anvilloft_wire::session::HOPS_BY_CONTROL;
use anvilloft_wire::session::Handler;
use anvilloft_wire::session::Identity;
use anvilloft_wire::session::Link;
use anvilloft_wire::session::Session;
use anvilloft_wire::session::SessionError;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::runtime;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::driver::EndpointOrder;
use crate::driver::Handle;
use crate::driver::Transport;
use crate::forwarding::End;
use crate::forwarding::RETRY_DELAY;
use crate::orders::OrderSender;
use crate::registry::AnnounceOutcome;
use crate::registry::BATCH_INTERVAL;
use crate::registry::Registry;
use unanswered::UnansweredCalls;

mod calls;
mod notices;
mod unanswered;

/// Kind of the query for a member's own status, which is never forwarded.
pub(crate) const LOCAL_QUERY: &str = "member";
/// Maximum timeout of a peer's call, whatever the peer asks for.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of attempts at once beside an earlier one of the same call. Without a
/// limit, a slow leader would get each call several times.
const MAX_FURTHER_ATTEMPTS: usize = 32;
/// Timeout of one attempt, short enough that a call survives the loss of a
/// leader.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Where a call comes from.
#[derive(Clone, Copy, Debug)]
enum Origin {
    /// A caller of this member itself, such as an operator.
    Own,
    Peer {
        hops: u32,
    },
}

/// Receiver of an attempt of a call.
#[derive(Clone)]
enum Target {
    Here,
    Session(Arc<Session>),
}

/// Sessions and links of a control member.
pub struct Peers {
    identity: Arc<Identity>,
    runtime: runtime::Handle,
    handle: OnceLock<Handle>,
    /// Open sessions with each member, newest last.
    members: Mutex<HashMap<MemberId, Vec<Arc<Session>>>>,
    /// Open sessions with routers.
    routers: Mutex<Vec<Arc<Session>>>,
    /// Links by peer address. Their number is bounded by the settings and the
    /// membership.
    links: Mutex<HashMap<SocketAddr, Link>>,
    call_permits: Semaphore,
    max_calls: usize,
    election_time: Duration,
    /// Permits for attempts beside an earlier one of the same call.
    further_attempts: Semaphore,
    draining: AtomicBool,
    forwarded: AtomicU64,
    orders: OrderSender,
    registry: Registry,
    unanswered: UnansweredCalls,
    clock: Clock,
    log: Logger,
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Peers").finish_non_exhaustive()
    }
}

impl Peers {
    /// Creates an instance without sessions. `max_calls` is the maximum number
    /// of calls in flight from all peers together, and `election_time` the time that an
    /// election takes at most, if no vote is split.
    pub fn new(
        identity: Arc<Identity>,
        runtime: runtime::Handle,
        max_calls: usize,
        election_time: Duration,
        log: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            identity,
            runtime,
            handle: OnceLock::new(),
            members: Mutex::default(),
            routers: Mutex::default(),
            links: Mutex::default(),
            call_permits: Semaphore::new(max_calls),
            max_calls,
            election_time,
            further_attempts: Semaphore::new(MAX_FURTHER_ATTEMPTS),
            draining: AtomicBool::new(false),
            forwarded: AtomicU64::new(0),
            orders: OrderSender::new(log.clone()),
            registry: Registry::default(),
            unanswered: UnansweredCalls::new(log.clone()),
            clock: Clock::start(),
            log,
        })
    }

    /// Sets the handle of the driver once it runs.
    pub fn set_handle(&self, handle: Handle) {
        // Each driver has its own `Peers`, so a second handle is ignored.
        let _ = self.handle.set(handle);
    }

    /// Opens and closes links so that exactly these addresses have one.
    pub fn set_links(self: &Arc<Self>, addresses: &[SocketAddr]) {
        let _guard = self.runtime.enter();
        let mut links = lock(&self.links);
        links.retain(|address, _| addresses.contains(address));
        for address in addresses {
            links.entry(*address).or_insert_with(|| {
                let handler = Arc::new(PeerHandler(self.clone()));
                Link::start(*address, self.identity.clone(), handler, self.log.clone())
            });
        }
    }

    /// Closes all links and sessions, and waits until queued frames have been sent, for
    /// at most `limit` and [`CLOSE_LIMIT`](anvilloft_wire::session::CLOSE_LIMIT).
    pub async fn stop(&self, limit: Duration) {
        lock(&self.links).clear();
        let mut sessions: Vec<_> = lock(&self.members).values().flatten().cloned().collect();
        sessions.extend(lock(&self.routers).iter().cloned());
        for session in &sessions {
            session.close();
        }
        let all_ended = async {
            for session in &sessions {
                session.ended().await;
            }
        };
        // A session that hasn't ended ends with the process.
        let _ = tokio::time::timeout(limit, all_ended).await;
    }

    /// Returns the newest open session with a member, if possible a responsive one.
    pub fn member_session(&self, id: MemberId) -> Option<Arc<Session>> {
        lock(&self.members).get(&id).and_then(|s| preferred(s))
    }

    /// Returns the newest open session with each member, if possible a responsive one.
    pub fn member_sessions(&self) -> Vec<Arc<Session>> {
        let members = lock(&self.members);
        members.values().filter_map(|s| preferred(s)).collect()
    }

    /// Returns the paths of a call to the leader, newest sessions first.
    fn paths(&self, leader: Option<MemberId>) -> Vec<(End, Target)> {
        if leader == Some(self.identity.member) {
            return vec![(End::Leader, Target::Here)];
        }
        let members = lock(&self.members);
        let mut paths = Vec::new();
        for (id, sessions) in members.iter() {
            if Some(*id) == leader {
                let open = sessions.iter().rev().filter(|s| s.is_open());
                paths.extend(open.map(|s| (End::Leader, Target::Session(s.clone()))));
            } else if let Some(session) = preferred(sessions) {
                paths.push((End::Other, Target::Session(session)));
            }
        }
        paths
    }

    /// Returns the names of the routers with an open session, sorted.
    pub fn router_names(&self) -> Vec<RouterId> {
        let routers = lock(&self.routers);
        let open = routers.iter().filter(|s| s.is_open());
        let mut names: Vec<RouterId> = open.map(|s| s.peer().node.clone()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Records an endpoint's announcement. Changes that affect routing are sent
    /// to the routers before this returns.
    pub fn announce(&self, update: EndpointUpdate) -> AnnounceOutcome {
        let now = self.clock.now();
        let id = update.id.clone();
        let outcome = self.registry.announce(now, update);
        if outcome == AnnounceOutcome::Changed
            && let Some(update) = self.registry.get(now, &id)
        {
            info!(self.log, "endpoint changed"; "endpoint" => &id,
                "incarnation" => update.incarnation, "seq" => update.seq,
                "address" => &update.address, "pool" => &update.pool,
                "leaving" => update.leaving, "left" => update.left,
                "warm_up_ms" => update.warm_up_ms);
            self.send_to_routers(EndpointBatch {
                updates: vec![update],
            });
        }
        outcome
    }

    /// Forwards renewals to the routers in batches until the runtime ends.
    pub(crate) async fn forward_renewals(self: Arc<Self>) {
        loop {
            tokio::time::sleep(BATCH_INTERVAL).await;
            if let Some(batch) = self.registry.take_batch(self.clock.now()) {
                self.send_to_routers(batch);
            }
        }
    }

    fn send_to_routers(&self, batch: EndpointBatch) {
        for session in lock(&self.routers).iter() {
            // A router whose session has ended gets all announcements when its
            // next session opens.
            let _ = session.send(Payload::EndpointBatch(batch.clone()));
        }
    }

    /// Returns the number of open sessions with members and with routers.
    pub fn session_counts(&self) -> (usize, usize) {
        let members = lock(&self.members).values().map(Vec::len).sum();
        (members, lock(&self.routers).len())
    }

    /// Returns the number of calls forwarded to the leader.
    pub fn forwarded_calls(&self) -> u64 {
        self.forwarded.load(Ordering::Relaxed)
    }

    /// Returns the counters of the calls of this member's own callers without an answer.
    pub fn unanswered_calls(&self) -> &UnansweredCalls {
        &self.unanswered
    }

    /// Refuses new calls, so that callers use other members, and waits until
    /// the calls in flight have ended.
    pub async fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        let all = u32::try_from(self.max_calls).unwrap_or(u32::MAX);
        // The semaphore is never closed.
        let _ = self.call_permits.acquire_many(all).await;
    }

    /// Answers a call locally or forwards it to the leader. Retries for up to
    /// `timeout`.
    async fn handle_call(
        &self,
        req: ControlRequest,
        timeout: Duration,
        origin: Origin,
    ) -> ControlReply {
        let Some(handle) = self.handle.get() else {
            return unavailable("the member is starting");
        };
        if let Some(Request::Query(query)) = &req.request
            && query.kind == LOCAL_QUERY
        {
            return Answer::QueryResult(local_status(handle)).into();
        }
        if self.draining.load(Ordering::Relaxed) {
            return unavailable("the member is stopping");
        }
        let Ok(_permit) = self.call_permits.try_acquire() else {
            return unavailable("too many calls are in flight");
        };
        let is_table_request = matches!(req.request, Some(Request::Table(_)));
        let is_forwarded = matches!(origin, Origin::Peer { hops } if hops >= HOPS_BY_CONTROL);
        if is_table_request || is_forwarded {
            // Every member can answer a table request. A call that another
            // member forwarded isn't forwarded again: that member retries it
            // with the leader that it knows by then.
            let result = handle.call(req, timeout).await;
            return result.unwrap_or_else(ControlReply::from);
        }
        let must_wait = {
            let status = handle.status();
            let status = status.borrow();
            status.disk_full && status.leader.is_none()
        };
        if must_wait {
            return unavailable("the disk of this member is full");
        }
        match origin {
            Origin::Own => self.call_over_paths(handle, &req, timeout).await,
            Origin::Peer { .. } => self.call_leader(handle, req, timeout).await,
        }
    }

    /// Sends a call of a peer to the leader that is known. Peers try other members, and
    /// wait for one as long as for an election.
    async fn call_leader(
        &self,
        handle: &Handle,
        req: ControlRequest,
        timeout: Duration,
    ) -> ControlReply {
        let changes_state = changes_state(&req);
        let deadline = Instant::now() + timeout;
        // Kept once it is set: a later refusal says nothing about the outcome
        // of the earlier attempt.
        let mut unknown_outcome = None;
        let mut last_refusal = "no leader is known".to_owned();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return match unknown_outcome {
                    Some(reason) if changes_state => Answer::Unknown(reason).into(),
                    Some(reason) => Answer::Unavailable(reason).into(),
                    None => Answer::Unavailable(last_refusal).into(),
                };
            }
            let leader = handle.status().borrow().leader;
            let result = match leader.and_then(|id| self.member_session(id)) {
                Some(session) => {
                    self.forwarded.fetch_add(1, Ordering::Relaxed);
                    let timeout = left.min(ATTEMPT_TIMEOUT);
                    session.call(req.clone(), timeout, HOPS_BY_CONTROL).await
                }
                None => handle.call(req.clone(), left.min(ATTEMPT_TIMEOUT)).await,
            };
            match result.and_then(ControlReply::into_result) {
                Ok(reply) if matches!(reply.answer, Some(Answer::NotLeader(_))) => (),
                Ok(reply) => return reply,
                Err(CallError::Unknown(reason)) => unknown_outcome = Some(reason),
                Err(CallError::Unavailable(reason)) => last_refusal = reason,
            }
            let left = deadline.saturating_duration_since(Instant::now());
            tokio::time::sleep(left.min(RETRY_DELAY)).await;
        }
    }
}

/// Returns the newest open session, if possible a responsive one.
fn preferred(sessions: &[Arc<Session>]) -> Option<Arc<Session>> {
    let open = || sessions.iter().rev().filter(|s| s.is_open());
    let responsive = open().find(|s| s.is_responsive());
    responsive.or_else(|| open().next()).cloned()
}

/// Returns whether the peer of a session is a member of the group, not a router.
fn is_member(session: &Session) -> bool {
    session.peer().role == "control"
}

/// Returns whether a call may have changed something although it got no answer.
fn changes_state(req: &ControlRequest) -> bool {
    matches!(req.request, Some(Request::Propose(_) | Request::Group(_)))
}

fn unavailable(reason: &str) -> ControlReply {
    Answer::Unavailable(reason.to_owned()).into()
}

/// Returns this member's view of the group as JSON, without asking the leader.
fn local_status(handle: &Handle) -> String {
    let status = handle.status().borrow().clone();
    serde_json::json!({
        "id": format!("{:016x}", status.id),
        "members": status.membership.members.len(),
        "leader": status.leader.map(|id| format!("{id:016x}")),
        "term": status.term,
        "applied": status.applied_index,
    })
    .to_string()
}

impl Control for Peers {
    fn call(
        &self,
        req: ControlRequest,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<ControlReply, CallError>> {
        Box::pin(async move {
            let waiting = self.unanswered.begin_call();
            let reply = self.handle_call(req, timeout, Origin::Own).await;
            let result = reply.into_result();
            waiting.end(&result);
            result
        })
    }
}

/// Handler of all sessions. Holds an `Arc` because the future that `call`
/// returns outlives the borrow of the handler.
pub(crate) struct PeerHandler(pub(crate) Arc<Peers>);

impl Handler for PeerHandler {
    fn opened(&self, session: &Arc<Session>) {
        if is_member(session) {
            let mut members = lock(&self.0.members);
            let sessions = members.entry(session.peer().member).or_default();
            sessions.push(session.clone());
            let leaving = self.0.registry.leaving(self.0.clock.now());
            if !leaving.updates.is_empty() {
                let _ = session.send(Payload::EndpointBatch(leaving));
            }
            info!(self.0.log, "member session opened"; "peer" => &session.peer().node,
                "dialled" => session.is_dialled(), "sessions" => sessions.len());
        } else {
            lock(&self.0.routers).push(session.clone());
            let all = self.0.registry.all(self.0.clock.now());
            if !all.updates.is_empty() {
                let _ = session.send(Payload::EndpointBatch(all));
            }
            let Some(status) = self.0.handle.get().map(Handle::status) else {
                return;
            };
            let (evacuations, publication) = {
                let status = status.borrow();
                (status.evacuations.clone(), status.publication_version)
            };
            if evacuations.version > 0 {
                let _ = session.send(Payload::Evacuations(evacuations));
            }
            if publication > 0 {
                let _ = session.send(Payload::PublicationPush(publication));
            }
        }
    }

    fn closed(&self, session: &Arc<Session>, reason: &SessionError) {
        if is_member(session) {
            info!(self.0.log, "member session ended"; "peer" => &session.peer().node,
                "dialled" => session.is_dialled(), "reason" => %reason);
        } else {
            slog::debug!(self.0.log, "peer session ended";
                "peer" => &session.peer().node, "reason" => %reason);
        }
        lock(&self.0.members).retain(|_, sessions| {
            sessions.retain(|s| !Arc::ptr_eq(s, session));
            !sessions.is_empty()
        });
        lock(&self.0.routers).retain(|s| !Arc::ptr_eq(s, session));
    }

    fn frame(&self, session: &Arc<Session>, payload: Payload) {
        let frame = match payload {
            Payload::Consensus(frame) => frame,
            Payload::EndpointBatch(batch) if is_member(session) => {
                for update in batch.updates {
                    self.0.announce(update);
                }
                return;
            }
            _ => return,
        };
        // Every process with the fleet key is trusted, but a member must not
        // send messages as another one by mistake, such as with a copied data
        // folder.
        if !is_member(session) || frame.from != session.peer().member {
            warn!(self.0.log, "dropped a consensus message with a wrong sender";
                "peer" => &session.peer().node, "from" => frame.from);
            return;
        }
        if let Some(handle) = self.0.handle.get() {
            handle.deliver_consensus(frame);
        }
    }

    fn call(&self, session: &Arc<Session>, call: Call) -> BoxFuture<'static, ControlReply> {
        let peers = self.0.clone();
        let is_member = is_member(session);
        Box::pin(async move {
            let Some(req) = call.request else {
                return unavailable("empty request");
            };
            if let Some(Request::Copy(update)) = req.request {
                return match is_member {
                    true => peers.take_copy(update),
                    false => unavailable("only members copy announcements"),
                };
            }
            let timeout = Duration::from_millis(call.timeout_ms).min(MAX_CALL_TIMEOUT);
            let origin = Origin::Peer { hops: call.hops };
            peers.handle_call(req, timeout, origin).await
        })
    }
}

impl Transport for Peers {
    fn send(&self, member: MemberId, frame: ConsensusFrame) {
        if let Some(session) = self.member_session(member) {
            // Consensus retransmits lost messages.
            let _ = session.send(Payload::Consensus(frame));
        }
    }

    fn send_recall(&self, router: &str, incarnation: Incarnation, budget: &str) {
        for session in lock(&self.routers).iter() {
            let peer = session.peer();
            if peer.node == router && peer.incarnation == incarnation {
                let _ = session.send(Payload::Recall(budget.to_owned()));
            }
        }
    }

    fn push_config_revision(&self, revision: Revision) {
        for session in lock(&self.routers).iter() {
            let _ = session.send(Payload::ConfigPush(revision));
        }
    }

    fn push_publication_version(&self, version: u64) {
        for session in lock(&self.routers).iter() {
            let _ = session.send(Payload::PublicationPush(version));
        }
    }

    fn push_quarantined(&self, quarantined: Quarantined) {
        for session in lock(&self.routers).iter() {
            // The next lease has the list, too.
            let _ = session.send(Payload::Quarantined(quarantined.clone()));
        }
    }

    fn push_evacuations(&self, evacuations: Evacuations) {
        for session in lock(&self.routers).iter() {
            // The next lease has the list, too.
            let _ = session.send(Payload::Evacuations(evacuations.clone()));
        }
    }

    fn send_order(&self, order: EndpointOrder) {
        let handle = self.handle.get().cloned();
        self.orders.send(&self.runtime, order, move |counter| {
            if let Some(handle) = handle {
                counter(handle.stats()).fetch_add(1, Ordering::Relaxed);
            }
        });
    }
}
