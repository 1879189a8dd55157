//! Guards that settle a request or cancel an attempt when dropped early.

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
use crate::core_handle::AttemptEnd;
use crate::core_handle::CoreHandle;
use crate::core_handle::CoreMsg;

/// Maximum number of cancel calls in flight. Further ones are skipped: the closed
/// connection also tells the endpoint that the attempt is cancelled.
const MAX_CANCELS_IN_FLIGHT: usize = 64;
/// Maximum time that the end of a response waits for the handover of its
/// settlement. It exceeds the 20 ms for which reports are batched.
const SETTLEMENT_TIMEOUT: Duration = Duration::from_millis(50);
static CANCELS_IN_FLIGHT: AtomicUsize = AtomicUsize::new(0);

/// A request that the control thread has admitted or is about to admit. If it is
/// dropped before its end, for example because the caller disconnects, it
/// settles the tokens used so far.
pub(crate) struct RequestGuard {
    core: CoreHandle,
    pub(crate) no: RequestNo,
    pub(crate) key: Option<[u8; 16]>,
    pub(crate) used: Tokens,
    armed: bool,
    gauge: IntGauge,
}

impl RequestGuard {
    pub(crate) fn new(core: &CoreHandle, gauge: &IntGauge, key: Option<[u8; 16]>) -> Self {
        gauge.inc();
        Self {
            core: core.clone(),
            no: core.next_request_no(),
            key,
            used: 0,
            armed: true,
            gauge: gauge.clone(),
        }
    }

    /// Ends the request and settles `used` tokens. Only the first call counts.
    pub(crate) fn finish(&mut self, used: Tokens, end: AttemptEnd) {
        if std::mem::take(&mut self.armed) {
            self.core.post(CoreMsg::Finish {
                no: self.no,
                used,
                end,
                key: self.key,
            });
        }
    }

    /// Settles the request and waits until the settlement is handed over, so that
    /// the request is billed even if this router crashes after the response.
    pub(crate) async fn settle(&mut self, used: Tokens) {
        self.finish(used, AttemptEnd::Ok);
        let (tx, rx) = oneshot::channel();
        self.core.post(CoreMsg::AwaitSettlements(tx));
        tokio::time::timeout(SETTLEMENT_TIMEOUT, rx).await.ok();
    }

    /// Prevents the settlement on drop, once the control thread has ended the
    /// request itself.
    pub(crate) fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.gauge.dec();
        self.finish(self.used, AttemptEnd::Cancelled);
    }
}

/// Cancels an attempt at its endpoint when dropped, unless disarmed.
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
        if CANCELS_IN_FLIGHT.fetch_add(1, Ordering::Relaxed) >= MAX_CANCELS_IN_FLIGHT {
            CANCELS_IN_FLIGHT.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let client = Arc::clone(&self.client);
        let (addr, attempt) = (self.addr, self.attempt);
        runtime.spawn(async move {
            client.cancel(addr, attempt).await;
            CANCELS_IN_FLIGHT.fetch_sub(1, Ordering::Relaxed);
        });
    }
}
