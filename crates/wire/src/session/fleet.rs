//! The sessions of one router: with control members and with peer routers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::Weak;
use std::time::Duration;

use super::ControlClient;
use super::Handler;
use super::Identity;
use super::Link;
use super::Session;
use super::SessionError;
use super::serve;
use crate::command::OpenIncarnation;
use crate::control::Answer;
use crate::control::ControlReply;
use crate::control::ControlRequest;
use crate::frame::Call;
use crate::frame::Payload;
use crate::peers::PeerFrame;
use crate::peers::Peers;
use anvilloft_types::BoxFuture;
use anvilloft_types::lock;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// Maximum number of received frames that wait in [`Fleet::inbox`].
const MAX_INBOX_FRAMES: usize = 4096;
/// Maximum number of sessions with peers.
const MAX_SESSIONS: usize = 1024;
/// Maximum age of a round trip from which the delay of a frame is estimated.
/// With the 2.5 s lease of an endpoint, it adds up to the limit of 3 s for a
/// leaving endpoint.
const MAX_ROUND_TRIP_AGE: Duration = Duration::from_millis(500);
/// Role of routers in hellos.
const ROUTER_ROLE: &str = "router";

/// Handles calls of peer routers that are for this router itself.
pub trait PeerCallHandler: Send + Sync {
    /// Returns the reply, or `None` for a call that is to be relayed to control.
    fn answer(&self, session: &Arc<Session>, req: &ControlRequest) -> Option<ControlReply>;
}

/// Handles no call itself, so that every call is relayed to control.
struct RelayAll;

impl PeerCallHandler for RelayAll {
    fn answer(&self, _session: &Arc<Session>, _req: &ControlRequest) -> Option<ControlReply> {
        None
    }
}

/// Options for the sessions of a router.
pub struct FleetOptions {
    /// Identity of this router.
    pub identity: Identity,
    /// Listener for peers.
    pub listener: std::net::TcpListener,
    /// Peer addresses of control members.
    pub control: Vec<SocketAddr>,
    /// Peer addresses of routers from the settings.
    pub routers: Vec<SocketAddr>,
    /// Maximum number of peer routers that this router dials. With more routers,
    /// each dials those that follow it on a ring of all names.
    pub max_peers: usize,
    /// Handles calls of peers that are for this router itself.
    pub call_handler: Arc<dyn PeerCallHandler>,
}

impl FleetOptions {
    /// Returns options without addresses and without a limit on dialled peers.
    pub fn new(identity: Identity, listener: std::net::TcpListener) -> Self {
        Self {
            identity,
            listener,
            control: Vec::new(),
            routers: Vec::new(),
            max_peers: usize::MAX,
            call_handler: Arc::new(RelayAll),
        }
    }
}

/// The sessions of one router. Dropping it ends them.
pub struct Fleet {
    /// Access to the ledger.
    pub control: Arc<ControlClient>,
    /// Access to peers.
    pub peers: Arc<FleetPeers>,
    /// Frames received from peers and control members.
    pub inbox: mpsc::Receiver<PeerFrame>,
}

/// Sessions of a router, by the name of the peer.
pub struct FleetPeers {
    name: String,
    identity: Arc<Identity>,
    sessions: Mutex<HashMap<String, Arc<Session>>>,
    links: Mutex<HashMap<SocketAddr, Link>>,
    /// Peer addresses that are dialled beside those on the ring.
    further_routers: Mutex<Vec<SocketAddr>>,
    configured_routers: Vec<SocketAddr>,
    inbox: mpsc::Sender<PeerFrame>,
    control: OnceLock<Arc<ControlClient>>,
    max_peers: usize,
    call_handler: Arc<dyn PeerCallHandler>,
    log: Logger,
    weak_self: Weak<FleetPeers>,
    // Stops accepting sessions when it is dropped.
    _stop: watch::Sender<bool>,
}

/// Starts the sessions of a router. Must be called within a tokio runtime.
///
/// # Errors
///
/// When the listener can't be used.
pub fn join_fleet(options: FleetOptions, log: &Logger) -> std::io::Result<Fleet> {
    let (tx, inbox) = mpsc::channel(MAX_INBOX_FRAMES);
    let (stop, stopped) = watch::channel(false);
    let identity = Arc::new(options.identity);
    options.listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(options.listener)?;
    let shared = Arc::new_cyclic(|weak_self| FleetPeers {
        name: identity.node.clone(),
        identity: Arc::clone(&identity),
        sessions: Mutex::new(HashMap::new()),
        links: Mutex::new(HashMap::new()),
        further_routers: Mutex::default(),
        configured_routers: options.routers.clone(),
        inbox: tx,
        control: OnceLock::new(),
        max_peers: options.max_peers,
        call_handler: options.call_handler,
        log: log.clone(),
        weak_self: weak_self.clone(),
        _stop: stop,
    });
    let handler: Arc<dyn Handler> = Arc::clone(&shared) as Arc<dyn Handler>;
    let control = Arc::new(ControlClient::start(
        &options.control,
        Arc::clone(&identity),
        Arc::clone(&handler),
        log.clone(),
    ));
    let peers = Arc::downgrade(&shared);
    control.set_fallback_peers(move || {
        peers
            .upgrade()
            .map_or_else(Vec::new, |s| s.router_sessions())
    });
    shared.control.set(Arc::clone(&control)).ok();
    tokio::spawn(serve(
        listener,
        identity,
        handler,
        MAX_SESSIONS,
        stopped,
        log.clone(),
    ));
    for address in options.routers {
        shared.dial(address);
    }
    Ok(Fleet {
        control,
        peers: shared,
        inbox,
    })
}

impl FleetPeers {
    /// Returns the open sessions with peer routers.
    pub fn router_sessions(&self) -> Vec<Arc<Session>> {
        lock(&self.sessions)
            .values()
            .filter(|s| s.peer().role == ROUTER_ROLE && s.is_open())
            .cloned()
            .collect()
    }

    /// Returns the open session with a peer router.
    pub fn router_session(&self, name: &str) -> Option<Arc<Session>> {
        let sessions = lock(&self.sessions);
        let session = sessions.get(name)?;
        (session.peer().role == ROUTER_ROLE && session.is_open()).then(|| Arc::clone(session))
    }

    /// Sets the peer addresses of the routers that this one dials beside those on the
    /// ring. Takes effect with the next list of routers.
    pub fn set_further_routers(&self, addresses: Vec<SocketAddr>) {
        *lock(&self.further_routers) = addresses;
    }

    /// Returns the peer addresses of the routers that this one dials.
    fn to_dial(&self, routers: &[OpenIncarnation]) -> Vec<SocketAddr> {
        let others = routers.iter().filter(|r| r.router != self.name);
        let mut others: Vec<&OpenIncarnation> = others.collect();
        if others.len() <= self.max_peers {
            // Of two routers, the one with the lower name dials.
            others.retain(|r| self.name < r.router);
        } else {
            others.sort_by(|a, b| a.router.cmp(&b.router));
            let next = others.partition_point(|r| r.router < self.name);
            others.rotate_left(next);
            others.truncate(self.max_peers);
        }
        let addresses = others.iter().filter_map(|r| r.peer_address.parse().ok());
        addresses.collect()
    }

    fn dial(&self, address: SocketAddr) {
        let Some(this) = self.weak_self.upgrade() else {
            return;
        };
        let mut links = lock(&self.links);
        if links.len() < MAX_SESSIONS && !links.contains_key(&address) {
            let identity = Arc::clone(&self.identity);
            let link = Link::start(address, identity, this, self.log.clone());
            links.insert(address, link);
        }
    }
}

impl Handler for FleetPeers {
    fn opened(&self, session: &Arc<Session>) {
        let mut sessions = lock(&self.sessions);
        if sessions.len() < MAX_SESSIONS {
            sessions.insert(session.peer().node.clone(), Arc::clone(session));
        }
    }

    fn closed(&self, session: &Arc<Session>, reason: &SessionError) {
        let mut sessions = lock(&self.sessions);
        // Keeps a newer session of the same peer.
        if sessions
            .get(&session.peer().node)
            .is_some_and(|s| Arc::ptr_eq(s, session))
        {
            sessions.remove(&session.peer().node);
            slog::debug!(self.log, "peer session ended"; "peer" => &session.peer().node,
                "reason" => %reason);
        }
    }

    fn frame(&self, session: &Arc<Session>, payload: Payload) {
        let transit = session
            .round_trip()
            .filter(|r| r.received_at.elapsed() <= MAX_ROUND_TRIP_AGE)
            .map(|r| r.time / 2);
        let frame = PeerFrame {
            node: session.peer().node.clone(),
            payload,
            transit,
        };
        if self.inbox.try_send(frame).is_err() {
            slog::warn!(self.log, "dropped a peer frame: the inbox is full";
                "peer" => &session.peer().node);
        }
    }

    fn call(&self, session: &Arc<Session>, call: Call) -> BoxFuture<'static, ControlReply> {
        if let Some(req) = &call.request
            && let Some(reply) = self.call_handler.answer(session, req)
        {
            return Box::pin(async move { reply });
        }
        let control = self.control.get().cloned();
        Box::pin(async move {
            let timeout = Duration::from_millis(call.timeout_ms);
            let (Some(control), Some(req)) = (control, call.request) else {
                return Answer::Unavailable(
                    "the call has no request, or the router is still starting".into(),
                )
                .into();
            };
            if call.hops > 0 {
                return Answer::Unavailable("the call was relayed before".into()).into();
            }
            let result = control.call_members(req, timeout).await;
            result.unwrap_or_else(ControlReply::from)
        })
    }
}

impl Peers for FleetPeers {
    fn send(&self, node: &str, payload: Payload) -> bool {
        let session = lock(&self.sessions).get(node).cloned();
        session.is_some_and(|s| s.send(payload).is_ok())
    }

    fn set_routers(&self, routers: &[OpenIncarnation]) {
        let mut wanted = self.to_dial(routers);
        wanted.extend_from_slice(&lock(&self.further_routers));
        for address in &wanted {
            self.dial(*address);
        }
        lock(&self.links).retain(|address, _| {
            wanted.contains(address) || self.configured_routers.contains(address)
        });
    }
}
