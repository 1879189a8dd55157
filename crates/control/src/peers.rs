//! Sessions of a control member with other members and with routers.
//!
//! [`Peers`] carries consensus messages (it is the driver's [`Transport`]),
//! answers calls, and forwards calls to the leader, one hop at most. A message
//! to a member uses any open session with it, whichever side dialled.

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
use slog::warn;
use tokio::runtime;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::driver::EndpointOrder;
use crate::driver::Handle;
use crate::driver::Transport;
use crate::orders::OrderSender;
use crate::registry::AnnounceOutcome;
use crate::registry::BATCH_INTERVAL;
use crate::registry::Registry;

/// Kind of a query that each member answers by itself.
pub(crate) const LOCAL_QUERY: &str = "member";
/// Longest time that a call of a peer may take, whatever the peer asks for.
const MAX_CALL: Duration = Duration::from_secs(60);
/// Pause before a call is tried again while no leader is known.
const PAUSE: Duration = Duration::from_millis(20);
/// Time for one forwarded attempt; a call outlives one lost leader.
const ATTEMPT: Duration = Duration::from_secs(1);

/// Sessions and links of one control member.
pub struct Peers {
    identity: Arc<Identity>,
    runtime: runtime::Handle,
    handle: OnceLock<Handle>,
    /// Open sessions with members, newest last.
    members: Mutex<HashMap<MemberId, Vec<Arc<Session>>>>,
    /// Open sessions with routers, by session.
    routers: Mutex<Vec<Arc<Session>>>,
    /// Links by peer address. Bounded by the settings and the membership.
    links: Mutex<HashMap<SocketAddr, Link>>,
    calls: Semaphore,
    max_calls: usize,
    draining: AtomicBool,
    forwarded: AtomicU64,
    orders: OrderSender,
    registry: Registry,
    clock: Clock,
    log: Logger,
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Peers").finish_non_exhaustive()
    }
}

impl Peers {
    /// Makes the table without sessions. `max_calls` bounds the calls of all
    /// peers that run at once.
    pub fn new(
        identity: Arc<Identity>,
        runtime: runtime::Handle,
        max_calls: usize,
        log: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            identity,
            runtime,
            handle: OnceLock::new(),
            members: Mutex::default(),
            routers: Mutex::default(),
            links: Mutex::default(),
            calls: Semaphore::new(max_calls),
            max_calls,
            draining: AtomicBool::new(false),
            forwarded: AtomicU64::new(0),
            orders: OrderSender::new(log.clone()),
            registry: Registry::default(),
            clock: Clock::start(),
            log,
        })
    }

    /// Names the driver, once it runs.
    pub fn set_handle(&self, handle: Handle) {
        // A second driver would need a second table.
        let _ = self.handle.set(handle);
    }

    /// Keeps links to exactly these addresses.
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

    /// Ends all links and sessions.
    pub fn stop(&self) {
        lock(&self.links).clear();
        for session in lock(&self.members).values().flatten() {
            session.close();
        }
        for session in lock(&self.routers).iter() {
            session.close();
        }
    }

    /// Returns an open session with a member.
    pub fn member_session(&self, id: MemberId) -> Option<Arc<Session>> {
        let members = lock(&self.members);
        let open = members.get(&id)?.iter().rev().find(|s| s.is_open());
        open.cloned()
    }

    /// Returns one open session with each member.
    pub fn member_sessions(&self) -> Vec<Arc<Session>> {
        let members = lock(&self.members);
        members
            .values()
            .filter_map(|sessions| sessions.iter().rev().find(|s| s.is_open()).cloned())
            .collect()
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

    /// Takes an endpoint's announcement. What changes where requests may go is
    /// passed on to the routers before this returns.
    pub fn announce(&self, update: EndpointUpdate) -> AnnounceOutcome {
        let now = self.clock.now();
        let id = update.id.clone();
        let heard = self.registry.announce(now, update);
        if heard == AnnounceOutcome::Changed
            && let Some(update) = self.registry.get(now, &id)
        {
            slog::info!(self.log, "endpoint changed"; "endpoint" => &id,
                "incarnation" => update.incarnation, "seq" => update.seq,
                "address" => &update.address, "pool" => &update.pool,
                "leaving" => update.leaving, "left" => update.left);
            self.to_routers(EndpointBatch {
                updates: vec![update],
            });
        }
        heard
    }

    /// Passes renewals on to the routers until the runtime ends.
    pub(crate) async fn pass_on_renewals(self: Arc<Self>) {
        loop {
            tokio::time::sleep(BATCH_INTERVAL).await;
            if let Some(batch) = self.registry.take_batch(self.clock.now()) {
                self.to_routers(batch);
            }
        }
    }

    fn to_routers(&self, batch: EndpointBatch) {
        for session in lock(&self.routers).iter() {
            // A router whose session ends hears everything again with the next.
            let _ = session.send(Payload::EndpointBatch(batch.clone()));
        }
    }

    /// Returns the number of open sessions with members and with routers.
    pub fn session_counts(&self) -> (usize, usize) {
        let members = lock(&self.members).values().map(Vec::len).sum();
        (members, lock(&self.routers).len())
    }

    /// Returns the number of calls passed on to the leader.
    pub fn forwarded_calls(&self) -> u64 {
        self.forwarded.load(Ordering::Relaxed)
    }

    /// Refuses calls from now on, so that callers turn to other members, and
    /// waits until the calls in flight have ended.
    pub async fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        let all = u32::try_from(self.max_calls).unwrap_or(u32::MAX);
        // The semaphore is never closed.
        let _ = self.calls.acquire_many(all).await;
    }

    /// Answers a call here or passes it on to the leader until `limit`.
    async fn run(&self, req: ControlRequest, limit: Duration, hops: u32) -> ControlReply {
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
        let Ok(_permit) = self.calls.try_acquire() else {
            return unavailable("too many calls run");
        };
        let table = matches!(req.request, Some(Request::Table(_)));
        if table || hops >= HOPS_BY_CONTROL {
            // A table is not the leader's alone, and a caller that passed
            // through a member knows more members than this one does.
            let result = handle.call(req, limit).await;
            return result.unwrap_or_else(ControlReply::from);
        }
        let changes = matches!(req.request, Some(Request::Propose(_) | Request::Group(_)));
        let deadline = Instant::now() + limit;
        // Once set it stays: a later refusal says nothing about the earlier
        // attempt.
        let mut unknown = None;
        let mut last = "no leader is known".to_owned();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return match unknown {
                    Some(reason) if changes => Answer::Unknown(reason).into(),
                    Some(reason) => Answer::Unavailable(reason).into(),
                    None => Answer::Unavailable(last).into(),
                };
            }
            let leader = handle.status().borrow().leader;
            let result = match leader.and_then(|id| self.member_session(id)) {
                Some(session) => {
                    self.forwarded.fetch_add(1, Ordering::Relaxed);
                    let limit = left.min(ATTEMPT);
                    session.call(req.clone(), limit, HOPS_BY_CONTROL).await
                }
                None => handle.call(req.clone(), left.min(ATTEMPT)).await,
            };
            match result.and_then(ControlReply::into_result) {
                Ok(reply) if matches!(reply.answer, Some(Answer::NotLeader(_))) => (),
                Ok(reply) => return reply,
                Err(CallError::Unknown(reason)) => unknown = Some(reason),
                Err(CallError::Unavailable(reason)) => last = reason,
            }
            let left = deadline.saturating_duration_since(Instant::now());
            tokio::time::sleep(left.min(PAUSE)).await;
        }
    }
}

fn unavailable(reason: &str) -> ControlReply {
    Answer::Unavailable(reason.to_owned()).into()
}

/// Says what this member knows of its group, without asking the leader.
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
        Box::pin(async move { self.run(req, timeout, 0).await.into_result() })
    }
}

/// The handler of all sessions. It owns the table, because the answer to a
/// call outlives the session's borrow.
pub(crate) struct PeerHandler(pub(crate) Arc<Peers>);

impl Handler for PeerHandler {
    fn opened(&self, session: &Arc<Session>) {
        if session.peer().role == "control" {
            let mut members = lock(&self.0.members);
            let sessions = members.entry(session.peer().member).or_default();
            sessions.push(session.clone());
        } else {
            lock(&self.0.routers).push(session.clone());
            let all = self.0.registry.all(self.0.clock.now());
            if !all.updates.is_empty() {
                let _ = session.send(Payload::EndpointBatch(all));
            }
            let table = self
                .0
                .handle
                .get()
                .map(|h| h.status().borrow().publication_version);
            if let Some(version) = table.filter(|version| *version > 0) {
                let _ = session.send(Payload::PublicationPush(version));
            }
        }
    }

    fn closed(&self, session: &Arc<Session>, reason: &SessionError) {
        slog::debug!(self.0.log, "peer session ended";
            "peer" => &session.peer().node, "reason" => %reason);
        lock(&self.0.members).retain(|_, sessions| {
            sessions.retain(|s| !Arc::ptr_eq(s, session));
            !sessions.is_empty()
        });
        lock(&self.0.routers).retain(|s| !Arc::ptr_eq(s, session));
    }

    fn frame(&self, session: &Arc<Session>, payload: Payload) {
        let Payload::Consensus(frame) = payload else {
            return;
        };
        // Whoever holds the fleet key is trusted, but a member must not speak
        // for another one by mistake, such as with a copied data folder.
        if session.peer().role != "control" || frame.from != session.peer().member {
            warn!(self.0.log, "dropped a consensus message in another member's name";
                "peer" => &session.peer().node, "from" => frame.from);
            return;
        }
        if let Some(handle) = self.0.handle.get() {
            handle.deliver_consensus(frame);
        }
    }

    fn call(&self, _session: &Arc<Session>, call: Call) -> BoxFuture<'static, ControlReply> {
        let peers = self.0.clone();
        Box::pin(async move {
            let Some(req) = call.request else {
                return unavailable("empty request");
            };
            let limit = Duration::from_millis(call.timeout_ms).min(MAX_CALL);
            peers.run(req, limit, call.hops).await
        })
    }
}

impl Transport for Peers {
    fn send(&self, member: MemberId, frame: ConsensusFrame) {
        if let Some(session) = self.member_session(member) {
            // A lost message is sent again by the consensus.
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

    fn send_order(&self, order: EndpointOrder) {
        let handle = self.handle.get().cloned();
        self.orders.send(&self.runtime, order, move |counter| {
            if let Some(handle) = handle {
                counter(handle.stats()).fetch_add(1, Ordering::Relaxed);
            }
        });
    }
}
