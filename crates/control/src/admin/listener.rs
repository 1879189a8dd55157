//! Accepts administration connections within a bound.
//!
//! The HTTP library bounds neither the count of connections nor the time to
//! read a header, and asks its listener again at once after an error, which
//! takes a whole core while file descriptors are short.

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

/// Pause after a failed `accept`, for example without free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Interval at which a connection is checked for its end. The library takes
/// the stream as its own, so the end can't be seen from the stream itself.
const CHECK: Duration = Duration::from_millis(100);

/// Bounds of the connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Time after which a connection is closed, even while it is in use.
    pub max_lifetime: Duration,
}

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

    /// Counts a connection until it ends.
    fn admit(&self, stream: TcpStream) -> io::Result<Option<TcpStream>> {
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            self.refused.inc();
            return Ok(None);
        };
        let stream = stream.into_std()?;
        let watched = stream.try_clone()?;
        tokio::spawn(watch_end(watched, permit, self.max_lifetime));
        TcpStream::from_std(stream).map(Some)
    }
}

/// Holds the permit until the client has closed its side or the time is over.
async fn watch_end(
    stream: std::net::TcpStream,
    permit: OwnedSemaphorePermit,
    max_lifetime: Duration,
) {
    let end = Instant::now() + max_lifetime;
    let mut buf = [0];
    while Instant::now() < end {
        tokio::time::sleep(CHECK).await;
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
                    // Frees the port. The library's task goes on to ask.
                    self.listener = None;
                    continue;
                }
            };
            match admitted {
                Ok(Some(stream)) => return Ok(Some(Conn::from(stream))),
                Ok(None) => {
                    warn!(
                        self.log,
                        "refused an administration connection at the limit"
                    );
                }
                Err(err) => {
                    warn!(self.log, "can't accept an administration connection"; "error" => %err);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
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
