//! Accepts administration connections within limits.
//!
//! The HTTP library limits neither the number of connections nor the time to
//! read a header. After an error it calls `accept` again at once, which would
//! keep a whole core busy while no file descriptors are free.

use std::io;
use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

use prometheus::IntCounter;
use slog::Logger;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;
use volo::net::conn::Conn;
use volo::net::incoming::Incoming;
use volo::net::incoming::MakeIncoming;

/// Delay after a failed `accept`, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval between checks whether a connection is closed. The HTTP library
/// owns the stream, so its end isn't visible here otherwise.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Limits of the administration connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Time after which a connection is closed, even while it is in use.
    pub max_lifetime: Duration,
}

/// Listener that enforces `ConnectionLimits`.
pub(super) struct Listener {
    listener: Option<TcpListener>,
    stop: watch::Receiver<bool>,
    max_lifetime: Duration,
    permits: Arc<Semaphore>,
    refused: IntCounter,
    log: Logger,
}

impl std::fmt::Debug for Listener {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.listener.fmt(f)
    }
}

impl Listener {
    pub(super) fn new(
        listener: TcpListener,
        stop: watch::Receiver<bool>,
        limits: ConnectionLimits,
        refused: IntCounter,
        log: Logger,
    ) -> Self {
        Self {
            listener: Some(listener),
            stop,
            max_lifetime: limits.max_lifetime,
            permits: Arc::new(Semaphore::new(limits.max_connections)),
            refused,
            log,
        }
    }

    /// Takes a permit for the connection, which `release_when_closed` gives
    /// back. Returns `None` when the limit is reached.
    fn admit(&self, stream: TcpStream) -> io::Result<Option<TcpStream>> {
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            self.refused.inc();
            return Ok(None);
        };
        let stream = stream.into_std()?;
        let probe = stream.try_clone()?;
        tokio::spawn(release_when_closed(probe, permit, self.max_lifetime));
        TcpStream::from_std(stream).map(Some)
    }
}

/// Holds the permit until the client closes its side or the lifetime ends,
/// then shuts the connection down.
async fn release_when_closed(
    stream: std::net::TcpStream,
    permit: OwnedSemaphorePermit,
    max_lifetime: Duration,
) {
    let deadline = Instant::now() + max_lifetime;
    let mut buf = [0];
    while Instant::now() < deadline {
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
        match stream.peek(&mut buf) {
            Ok(0) => break,
            Ok(_) => (),
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => (),
            Err(_) => break,
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    drop(permit);
}

impl Incoming for Listener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        while let Some(listener) = &self.listener {
            let stop = async {
                let _ = self.stop.wait_for(|stop| *stop).await;
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => Some(accepted),
                () = stop => None,
            };
            let admitted = match accepted {
                Some(accepted) => accepted.and_then(|(stream, _)| self.admit(stream)),
                None => {
                    // Frees the port. The library calls `accept` again, which
                    // then waits forever.
                    self.listener = None;
                    continue;
                }
            };
            match admitted {
                Ok(Some(stream)) => return Ok(Some(Conn::from(stream))),
                Ok(None) => {
                    warn!(
                        self.log,
                        "refused an administration connection: connection limit reached"
                    );
                }
                Err(err) => {
                    warn!(self.log, "can't accept an administration connection"; "error" => %err);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        std::future::pending().await
    }
}

impl MakeIncoming for Listener {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}
