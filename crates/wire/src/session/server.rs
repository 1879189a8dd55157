//! Accepts sessions from peers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::Logger;
use slog::debug;
use slog::warn;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use super::Handler;
use super::Identity;
use super::handshake::Side;
use super::peer::open;

/// Delay after a failed `accept`, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts at most `max_sessions` sessions at once until `stop` becomes true.
/// Then the sessions are closed; this function doesn't wait for their end.
pub async fn serve(
    listener: TcpListener,
    identity: Arc<Identity>,
    handler: Arc<dyn Handler>,
    max_sessions: usize,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    let permits = Arc::new(Semaphore::new(max_sessions));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let (stream, remote) = match accepted {
            Ok(accepted) => accepted,
            Err(err) => {
                warn!(log, "can't accept a peer connection"; "error" => %err);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            identity.stats.refused.fetch_add(1, Ordering::Relaxed);
            warn!(log, "refused a peer connection at the session limit"; "remote" => %remote);
            continue;
        };
        let identity = identity.clone();
        let handler = handler.clone();
        let log = log.clone();
        let mut stop = stop.clone();
        tokio::spawn(async move {
            // Small frames such as votes must not wait for a full segment.
            let _ = stream.set_nodelay(true);
            let (r, w) = stream.into_split();
            match open(r, w, Some(remote), Side::Server, &identity, handler).await {
                Err(err) => {
                    warn!(log, "peer handshake failed"; "remote" => %remote, "error" => %err);
                }
                Ok(session) => {
                    debug!(log, "peer session accepted"; "peer" => &session.peer().node, "remote" => %remote);
                    tokio::select! {
                        () = session.ended() => (),
                        _ = stop.wait_for(|stop| *stop) => session.close(),
                    }
                    session.ended().await;
                }
            }
            drop(permit);
        });
    }
}
