//! Keeps a session to one address open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use slog::Logger;
use slog::debug;
use slog::info;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::Handler;
use super::Identity;
use super::Session;
use super::SessionError;
use super::handshake::Side;
use super::peer::open;

/// First delay before a new attempt.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Maximum delay before a new attempt. After an outage a router gets no tokens
/// and no endpoint announcements until it has reached a control member again.
const BACKOFF_MAX: Duration = Duration::from_millis(200);
/// Connect timeout of the first attempt, doubled with each further one. A host
/// without power doesn't answer, and may be back right after the attempt.
const CONNECT_TIMEOUT_MIN: Duration = Duration::from_millis(200);
/// Maximum connect timeout. The kernel retransmits a segment that was lost in a
/// network outage only after 1 s; a new attempt follows the outage sooner.
const CONNECT_TIMEOUT_MAX: Duration = Duration::from_millis(800);
/// Duration of a session after which the delay starts from the minimum again.
const STABLE_AFTER: Duration = Duration::from_secs(5);

/// A session that is redialled with jittered backoff whenever it ends. Dropping
/// the link closes the session.
pub struct Link {
    address: SocketAddr,
    session: watch::Receiver<Option<Arc<Session>>>,
    task: JoinHandle<()>,
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Link")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Link {
    /// Starts to dial. Must be called within a tokio runtime.
    pub fn start(
        address: SocketAddr,
        identity: Arc<Identity>,
        handler: Arc<dyn Handler>,
        log: Logger,
    ) -> Self {
        let (tx, session) = watch::channel(None);
        let task = tokio::spawn(run(address, identity, handler, log, tx));
        Self {
            address,
            session,
            task,
        }
    }

    /// Returns the dialled address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the session while one is open.
    pub fn session(&self) -> Option<Arc<Session>> {
        self.session
            .borrow()
            .as_ref()
            .filter(|session| session.is_open())
            .cloned()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
        if let Some(session) = self.session.borrow().as_ref() {
            session.close();
        }
    }
}

async fn dial(
    address: SocketAddr,
    identity: &Identity,
    handler: Arc<dyn Handler>,
    connect_timeout: Duration,
) -> Result<Arc<Session>, SessionError> {
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .unwrap_or(Err(std::io::ErrorKind::TimedOut.into()))?;
    // Small frames such as votes must not wait for a full segment.
    stream.set_nodelay(true)?;
    let (r, w) = stream.into_split();
    open(r, w, Some(address), Side::Client, identity, handler).await
}

async fn run(
    address: SocketAddr,
    identity: Arc<Identity>,
    handler: Arc<dyn Handler>,
    log: Logger,
    tx: watch::Sender<Option<Arc<Session>>>,
) {
    let mut backoff = BACKOFF_MIN;
    let mut connect_timeout = CONNECT_TIMEOUT_MIN;
    loop {
        match dial(address, &identity, handler.clone(), connect_timeout).await {
            Ok(session) => {
                info!(log, "peer session open"; "address" => %address, "peer" => &session.peer().node);
                let opened = tokio::time::Instant::now();
                connect_timeout = CONNECT_TIMEOUT_MIN;
                tx.send_replace(Some(session.clone()));
                session.ended().await;
                tx.send_replace(None);
                info!(log, "peer session ended"; "address" => %address);
                if opened.elapsed() >= STABLE_AFTER {
                    backoff = BACKOFF_MIN;
                }
            }
            Err(err) => {
                debug!(log, "can't open the peer session"; "address" => %address, "error" => %err);
                connect_timeout = (connect_timeout * 2).min(CONNECT_TIMEOUT_MAX);
            }
        }
        // Without jitter all routers would dial a restarted member at once.
        let delay = backoff.mul_f64(rand::rng().random_range(0.5..1.5));
        tokio::time::sleep(delay).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}
