//! [`Control`] over sessions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use anvilloft_types::BoxFuture;
use anvilloft_types::lock;
use slog::Logger;
use tokio::time::Instant;

use super::HOPS_BY_ROUTER;
use super::Handler;
use super::Identity;
use super::Link;
use super::Session;
use crate::control::Answer;
use crate::control::CallError;
use crate::control::Control;
use crate::control::ControlReply;
use crate::control::ControlRequest;

/// Longest wait for one reply before the request goes to another member. It
/// covers the wait for a recall (300 ms) and an election in one city (600 ms).
const ATTEMPT: Duration = Duration::from_secs(1);
/// Pause before a further round over the members.
const PAUSE: Duration = Duration::from_millis(50);
/// Most links; groups have 7 members at most, and each may move once.
const MAX_LINKS: usize = 14;

type Relays = Arc<dyn Fn() -> Vec<Arc<Session>> + Send + Sync>;

/// Reaches the control group through any member, or through a router peer when
/// no member is reachable. Requests are resent with the same ids until their
/// timeout, which is safe because every command applies once for each id.
pub struct ControlClient {
    identity: Arc<Identity>,
    handler: Arc<dyn Handler>,
    log: Logger,
    links: Mutex<Vec<Arc<Link>>>,
    leader: Mutex<Option<SocketAddr>>,
    relays: Mutex<Option<Relays>>,
}

impl std::fmt::Debug for ControlClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ControlClient").finish_non_exhaustive()
    }
}

impl ControlClient {
    /// Starts links to the members. Must be called within a tokio runtime.
    pub fn start(
        members: &[SocketAddr],
        identity: Arc<Identity>,
        handler: Arc<dyn Handler>,
        log: Logger,
    ) -> Self {
        let client = Self {
            identity,
            handler,
            log,
            links: Mutex::default(),
            leader: Mutex::default(),
            relays: Mutex::default(),
        };
        for address in members {
            client.add_member(*address);
        }
        client
    }

    /// Adds a link to a member unless there is one or too many.
    pub fn add_member(&self, address: SocketAddr) {
        let mut links = lock(&self.links);
        if links.len() >= MAX_LINKS || links.iter().any(|link| link.address() == address) {
            return;
        }
        links.push(Arc::new(Link::start(
            address,
            self.identity.clone(),
            self.handler.clone(),
            self.log.clone(),
        )));
    }

    /// Ends the link to a member that left the group.
    pub fn remove_member(&self, address: SocketAddr) {
        lock(&self.links).retain(|link| link.address() != address);
    }

    /// Names the function that returns sessions to router peers, which are
    /// used while no member is reachable.
    pub fn set_fallback_peers(
        &self,
        relays: impl Fn() -> Vec<Arc<Session>> + Send + Sync + 'static,
    ) {
        *lock(&self.relays) = Some(Arc::new(relays));
    }

    /// Returns open sessions to members, the leader's first.
    pub fn sessions(&self) -> Vec<Arc<Session>> {
        let leader = *lock(&self.leader);
        let mut links = lock(&self.links).clone();
        links.sort_by_key(|link| Some(link.address()) != leader);
        links.iter().filter_map(|link| link.session()).collect()
    }

    /// Returns the open session to the member with a name.
    pub fn session_of(&self, node: &str) -> Option<Arc<Session>> {
        let mut sessions = self.sessions().into_iter();
        sessions.find(|session| session.peer().node == node)
    }

    /// Like [`Control::call`], but without router peers: for calls that a
    /// router peer passed on.
    ///
    /// # Errors
    ///
    /// As [`Control::call`].
    pub async fn call_members(
        &self,
        req: ControlRequest,
        limit: Duration,
    ) -> Result<ControlReply, CallError> {
        self.run(req, limit, HOPS_BY_ROUTER, false).await
    }

    /// Lets later calls start with another member than one that gave no answer:
    /// a leader cut from its group keeps its sessions with routers.
    fn pass_over(&self, silent: &Arc<Session>) {
        let mut links = lock(&self.links);
        let of = |link: &Arc<Link>| link.session().is_some_and(|s| Arc::ptr_eq(&s, silent));
        let Some(at) = links.iter().position(of) else {
            return;
        };
        let link = links.remove(at);
        let address = link.address();
        links.push(link);
        drop(links);
        let mut leader = lock(&self.leader);
        if *leader == Some(address) {
            *leader = None;
        }
    }

    /// Returns sessions to try with the hops of a call on each.
    fn targets(&self, hops: u32, relayed: bool) -> Vec<(Arc<Session>, u32)> {
        let members = self.sessions();
        if !members.is_empty() || !relayed {
            return members.into_iter().map(|s| (s, hops)).collect();
        }
        let relays = lock(&self.relays).clone();
        let peers = relays.map(|relays| relays()).unwrap_or_default();
        let open = peers.into_iter().filter(|s| s.is_open());
        open.map(|s| (s, 0)).collect()
    }

    async fn run(
        &self,
        req: ControlRequest,
        limit: Duration,
        hops: u32,
        relayed: bool,
    ) -> Result<ControlReply, CallError> {
        let deadline = Instant::now() + limit;
        // Once set it stays: a later refusal says nothing about the earlier
        // attempt.
        let mut unknown: Option<String> = None;
        let mut last = "no control member is reachable".to_owned();
        loop {
            for (session, hops) in self.targets(hops, relayed) {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                let result = session.call(req.clone(), left.min(ATTEMPT), hops).await;
                let refusal = match result.and_then(ControlReply::into_result) {
                    Err(err) => err,
                    Ok(reply) => match reply.answer {
                        Some(Answer::NotLeader(hint)) => {
                            last = "the member doesn't lead".to_owned();
                            if let Ok(address) = hint.parse() {
                                self.add_member(address);
                                let known = lock(&self.leader).replace(address);
                                if known != Some(address) {
                                    // Start over with the leader first.
                                    break;
                                }
                            }
                            continue;
                        }
                        None => {
                            last = "the reply is empty".to_owned();
                            continue;
                        }
                        Some(_) => return Ok(reply),
                    },
                };
                self.pass_over(&session);
                match refusal {
                    CallError::Unavailable(reason) => last = reason,
                    CallError::Unknown(reason) => unknown = Some(reason),
                }
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(match unknown {
                    Some(reason) => CallError::Unknown(reason),
                    None => CallError::Unavailable(last),
                });
            }
            tokio::time::sleep(left.min(PAUSE)).await;
        }
    }
}

impl Control for ControlClient {
    fn call(
        &self,
        req: ControlRequest,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<ControlReply, CallError>> {
        Box::pin(self.run(req, timeout, 0, true))
    }
}
