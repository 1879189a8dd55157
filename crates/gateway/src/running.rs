//! Guards that end a request whatever happens to its task.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_types::AttemptId;
use anvilloft_types::RequestNo;
use anvilloft_types::Tokens;
use prometheus::IntGauge;
use tokio::sync::oneshot;

use crate::client::Client;
use crate::ports::AttemptEnd;
use crate::ports::CoreHandle;
use crate::ports::CoreMsg;

/// Cancel calls that run at once, at most; the closed connection tells the
/// endpoint too.
const MAX_CANCELS: usize = 64;
/// Longest time that the end of an answer waits for its settlement to be handed
/// over. Longer than a report waits for others, which is 20 ms.
const HAND_OVER: Duration = Duration::from_millis(50);
static CANCELS: AtomicUsize = AtomicUsize::new(0);

/// A request known to the control thread. Dropped before its end, as when the
/// caller goes away, it settles what it used so far.
pub(crate) struct Running {
    core: CoreHandle,
    pub(crate) no: RequestNo,
    pub(crate) key: Option<[u8; 16]>,
    pub(crate) used: Tokens,
    open: bool,
    gauge: IntGauge,
}

impl Running {
    pub(crate) fn new(core: &CoreHandle, gauge: &IntGauge, key: Option<[u8; 16]>) -> Self {
        gauge.inc();
        Self {
            core: core.clone(),
            no: core.next_no(),
            key,
            used: 0,
            open: true,
            gauge: gauge.clone(),
        }
    }

    /// Settles the request.
    pub(crate) fn finish(&mut self, used: Tokens, end: AttemptEnd) {
        if std::mem::take(&mut self.open) {
            self.core.post(CoreMsg::Finish {
                no: self.no,
                used,
                end,
                key: self.key,
            });
        }
    }

    /// Settles the request and waits until the settlement was handed over, so
    /// that the death of this router after the end of the answer doesn't leave
    /// the request unbilled.
    pub(crate) async fn settle(&mut self, used: Tokens) {
        self.finish(used, AttemptEnd::Ok);
        let (tx, rx) = oneshot::channel();
        self.core.post(CoreMsg::HandedOver(tx));
        tokio::time::timeout(HAND_OVER, rx).await.ok();
    }

    /// The control thread ended the request itself.
    pub(crate) fn ended(&mut self) {
        self.open = false;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.gauge.dec();
        self.finish(self.used, AttemptEnd::Cancelled);
    }
}

/// Cancels an attempt at its endpoint unless it ended.
pub(crate) struct CancelOnDrop {
    client: Arc<Client>,
    addr: SocketAddr,
    attempt: AttemptId,
    armed: bool,
}

impl CancelOnDrop {
    pub(crate) fn new(client: &Arc<Client>, addr: SocketAddr, attempt: AttemptId) -> Self {
        Self {
            client: Arc::clone(client),
            addr,
            attempt,
            armed: true,
        }
    }

    pub(crate) fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        if CANCELS.fetch_add(1, Ordering::Relaxed) >= MAX_CANCELS {
            CANCELS.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let client = Arc::clone(&self.client);
        let (addr, attempt) = (self.addr, self.attempt);
        runtime.spawn(async move {
            client.cancel(addr, attempt).await;
            CANCELS.fetch_sub(1, Ordering::Relaxed);
        });
    }
}
