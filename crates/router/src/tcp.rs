//! Control and peers over authenticated TCP sessions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use anvilloft_types::BoxFuture;
use anvilloft_wire::CallError;
use anvilloft_wire::ControlReply;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::control::Answer;
use anvilloft_wire::frame::Call;
use anvilloft_wire::frame::Payload;
use anvilloft_wire::peers::FromPeer;
use anvilloft_wire::peers::Peers;
use anvilloft_wire::session::ControlClient;
use anvilloft_wire::session::Handler;
use anvilloft_wire::session::Identity;
use anvilloft_wire::session::Link;
use anvilloft_wire::session::Session;
use anvilloft_wire::session::SessionError;
use anvilloft_wire::session::serve;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::router::Links;

/// Frames of peers that wait for the control thread, at most.
const INBOX: usize = 4096;
/// Sessions with peers, at most.
const MAX_SESSIONS: usize = 1024;
/// A round trip older than this says nothing about the present. The bound
/// keeps the 3 s of a leaving endpoint: its lease is 2.5 s.
const ROUND_TRIP_AGE: Duration = Duration::from_millis(500);
/// Role of routers in hellos.
const ROUTER: &str = "router";

/// Addresses and identity for the sessions of a router.
pub(crate) struct TcpOptions {
    pub(crate) identity: Identity,
    pub(crate) listener: std::net::TcpListener,
    pub(crate) control: Vec<SocketAddr>,
    pub(crate) routers: Vec<SocketAddr>,
}

struct Shared {
    name: String,
    identity: Arc<Identity>,
    sessions: Mutex<HashMap<String, Arc<Session>>>,
    links: Mutex<HashMap<SocketAddr, Link>>,
    fixed: Vec<SocketAddr>,
    inbox: mpsc::Sender<FromPeer>,
    control: OnceLock<Arc<ControlClient>>,
    log: Logger,
    this: Weak<Shared>,
    // Ends the acceptor when the router ends.
    _stop: watch::Sender<bool>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts the sessions. Must be called within the control thread's runtime.
pub(crate) fn links(options: TcpOptions, log: &Logger) -> std::io::Result<Links> {
    let (tx, inbox) = mpsc::channel(INBOX);
    let (stop, stopped) = watch::channel(false);
    let identity = Arc::new(options.identity);
    options.listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(options.listener)?;
    let shared = Arc::new_cyclic(|this| Shared {
        name: identity.node.clone(),
        identity: Arc::clone(&identity),
        sessions: Mutex::new(HashMap::new()),
        links: Mutex::new(HashMap::new()),
        fixed: options.routers.clone(),
        inbox: tx,
        control: OnceLock::new(),
        log: log.clone(),
        this: this.clone(),
        _stop: stop,
    });
    let handler: Arc<dyn Handler> = Arc::clone(&shared) as Arc<dyn Handler>;
    let control = Arc::new(ControlClient::start(
        &options.control,
        Arc::clone(&identity),
        Arc::clone(&handler),
        log.clone(),
    ));
    let relays = Arc::downgrade(&shared);
    control.set_relays(move || relays.upgrade().map_or_else(Vec::new, |s| s.routers()));
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
    Ok(Links {
        control,
        peers: shared,
        inbox,
    })
}

impl Shared {
    /// Returns the sessions with routers, for calls that control can't take.
    fn routers(&self) -> Vec<Arc<Session>> {
        lock(&self.sessions)
            .values()
            .filter(|s| s.peer().role == ROUTER && s.is_open())
            .cloned()
            .collect()
    }

    fn dial(&self, address: SocketAddr) {
        let Some(this) = self.this.upgrade() else {
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

impl Handler for Shared {
    fn opened(&self, session: &Arc<Session>) {
        let mut sessions = lock(&self.sessions);
        if sessions.len() < MAX_SESSIONS {
            sessions.insert(session.peer().node.clone(), Arc::clone(session));
        }
    }

    fn closed(&self, session: &Arc<Session>, reason: &SessionError) {
        let mut sessions = lock(&self.sessions);
        // A newer session of the same peer stays.
        if sessions
            .get(&session.peer().node)
            .is_some_and(|s| Arc::ptr_eq(s, session))
        {
            sessions.remove(&session.peer().node);
            slog::debug!(self.log, "session ended"; "peer" => &session.peer().node,
                "reason" => %reason);
        }
    }

    fn frame(&self, session: &Arc<Session>, payload: Payload) {
        let transit = session
            .round_trip()
            .filter(|r| r.at.elapsed() <= ROUND_TRIP_AGE)
            .map(|r| r.time / 2);
        let frame = FromPeer {
            node: session.peer().node.clone(),
            payload,
            transit,
        };
        if self.inbox.try_send(frame).is_err() {
            slog::warn!(self.log, "frame dropped, the control thread is behind";
                "peer" => &session.peer().node);
        }
    }

    fn call(&self, _session: &Arc<Session>, call: Call) -> BoxFuture<'static, ControlReply> {
        let control = self.control.get().cloned();
        Box::pin(async move {
            let limit = Duration::from_millis(call.timeout_ms);
            let (Some(control), Some(req)) = (control, call.request) else {
                return Answer::Unavailable("nothing to relay".into()).into();
            };
            if call.hops > 0 {
                return Answer::Unavailable("relayed before".into()).into();
            }
            match control.call_members(req, limit).await {
                Ok(reply) => reply,
                Err(CallError::Unavailable(reason)) => Answer::Unavailable(reason).into(),
                Err(CallError::Unknown(reason)) => Answer::Unknown(reason).into(),
            }
        })
    }
}

impl Peers for Shared {
    fn send(&self, node: &str, payload: Payload) -> bool {
        let session = lock(&self.sessions).get(node).cloned();
        session.is_some_and(|s| s.send(payload).is_ok())
    }

    fn set_routers(&self, routers: &[OpenIncarnation]) {
        // Of two routers, the one whose name comes first dials.
        let wanted: Vec<SocketAddr> = routers
            .iter()
            .filter(|r| self.name < r.router)
            .filter_map(|r| r.peer_address.parse().ok())
            .collect();
        for address in &wanted {
            self.dial(*address);
        }
        lock(&self.links)
            .retain(|address, _| wanted.contains(address) || self.fixed.contains(address));
    }
}
