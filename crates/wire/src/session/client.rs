//! Client of the control group: implements [`Control`] over sessions.

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

/// Timeout of one attempt, after which the request goes to another member. It
/// covers the wait for a recall (300 ms) and an election within one city
/// (600 ms).
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next round of attempts over all members.
const ROUND_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of links: a group has at most 7 members, and each may move to
/// another address once.
const MAX_LINKS: usize = 14;

type FallbackPeers = Arc<dyn Fn() -> Vec<Arc<Session>> + Send + Sync>;

/// Reaches the control group through any member, or through a router peer when
/// no member is reachable. Requests are resent with the same ids until their
/// timeout, which is safe because commands are idempotent by id.
pub struct ControlClient {
    identity: Arc<Identity>,
    handler: Arc<dyn Handler>,
    log: Logger,
    links: Mutex<Vec<Arc<Link>>>,
    leader: Mutex<Option<SocketAddr>>,
    fallback_peers: Mutex<Option<FallbackPeers>>,
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
            fallback_peers: Mutex::default(),
        };
        for address in members {
            client.add_member(*address);
        }
        client
    }

    /// Adds a link to a member unless there is one, or the limit is reached.
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

    /// Sets the function that returns sessions with router peers, which are used
    /// while no member is reachable.
    pub fn set_fallback_peers(
        &self,
        peers: impl Fn() -> Vec<Arc<Session>> + Send + Sync + 'static,
    ) {
        *lock(&self.fallback_peers) = Some(Arc::new(peers));
    }

    /// Returns open sessions with members, the leader's first.
    pub fn sessions(&self) -> Vec<Arc<Session>> {
        let leader = *lock(&self.leader);
        let mut links = lock(&self.links).clone();
        links.sort_by_key(|link| Some(link.address()) != leader);
        links.iter().filter_map(|link| link.session()).collect()
    }

    /// Returns the open session with the member `node`.
    pub fn session_of(&self, node: &str) -> Option<Arc<Session>> {
        let mut sessions = self.sessions().into_iter();
        sessions.find(|session| session.peer().node == node)
    }

    /// Like [`Control::call`], but without router peers. For calls that a router
    /// peer relayed.
    ///
    /// # Errors
    ///
    /// As [`Control::call`].
    pub async fn call_members(
        &self,
        req: ControlRequest,
        timeout: Duration,
    ) -> Result<ControlReply, CallError> {
        self.run(req, timeout, HOPS_BY_ROUTER, false).await
    }

    /// Moves the link of a member that failed a call to the end and forgets it as
    /// the leader, so that later calls start with another member: a leader that is
    /// cut off from its group keeps its sessions with routers.
    fn deprioritize(&self, failed: &Arc<Session>) {
        let mut links = lock(&self.links);
        let is_failed = |link: &Arc<Link>| link.session().is_some_and(|s| Arc::ptr_eq(&s, failed));
        let Some(index) = links.iter().position(is_failed) else {
            return;
        };
        let link = links.remove(index);
        let address = link.address();
        links.push(link);
        drop(links);
        let mut leader = lock(&self.leader);
        if *leader == Some(address) {
            *leader = None;
        }
    }

    /// Returns the sessions to try, each with the hops of a call on it. Without a
    /// session with a member, `use_peers` allows router peers.
    fn targets(&self, hops: u32, use_peers: bool) -> Vec<(Arc<Session>, u32)> {
        let members = self.sessions();
        if !members.is_empty() || !use_peers {
            return members.into_iter().map(|s| (s, hops)).collect();
        }
        let fallback = lock(&self.fallback_peers).clone();
        let peers = fallback.map(|fallback| fallback()).unwrap_or_default();
        let open = peers.into_iter().filter(|s| s.is_open());
        open.map(|s| (s, 0)).collect()
    }

    async fn run(
        &self,
        req: ControlRequest,
        timeout: Duration,
        hops: u32,
        use_peers: bool,
    ) -> Result<ControlReply, CallError> {
        let deadline = Instant::now() + timeout;
        // Stays set once an attempt may have run: a later failure says nothing
        // about the earlier attempt.
        let mut unknown_reason: Option<String> = None;
        let mut unavailable_reason = "no control member is reachable".to_owned();
        loop {
            for (session, hops) in self.targets(hops, use_peers) {
                let remaining = deadline.saturating_duration_since(Instant::now());
                if remaining.is_zero() {
                    break;
                }
                let result = session
                    .call(req.clone(), remaining.min(ATTEMPT_TIMEOUT), hops)
                    .await;
                let err = match result.and_then(ControlReply::into_result) {
                    Err(err) => err,
                    Ok(reply) => match reply.answer {
                        Some(Answer::NotLeader(hint)) => {
                            unavailable_reason = "the member is not the leader".to_owned();
                            if let Ok(address) = hint.parse() {
                                self.add_member(address);
                                let previous = lock(&self.leader).replace(address);
                                if previous != Some(address) {
                                    // Restart the round with the new leader.
                                    break;
                                }
                            }
                            continue;
                        }
                        None => {
                            unavailable_reason = "the reply is empty".to_owned();
                            continue;
                        }
                        Some(_) => return Ok(reply),
                    },
                };
                self.deprioritize(&session);
                match err {
                    CallError::Unavailable(reason) => unavailable_reason = reason,
                    CallError::Unknown(reason) => unknown_reason = Some(reason),
                }
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(match unknown_reason {
                    Some(reason) => CallError::Unknown(reason),
                    None => CallError::Unavailable(unavailable_reason),
                });
            }
            tokio::time::sleep(remaining.min(ROUND_DELAY)).await;
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
