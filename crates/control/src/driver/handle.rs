//! Access to the control thread from other threads.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvilloft_types::prelude::*;
use anvilloft_wire::CallError;
use anvilloft_wire::Control;
use anvilloft_wire::ControlReply;
use anvilloft_wire::ControlRequest;
use anvilloft_wire::control::Request;
use anvilloft_wire::frame::ConsensusFrame;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::timeout;

use super::status::DriverStats;
use super::status::Status;

/// A request and the sender for its reply.
pub(crate) struct Call {
    pub(crate) req: ControlRequest,
    pub(crate) reply: oneshot::Sender<ControlReply>,
}

/// Access to the control thread.
///
/// Clones refer to the same thread.
#[derive(Clone)]
pub struct Handle {
    pub(super) calls: mpsc::Sender<Call>,
    pub(super) messages: mpsc::Sender<ConsensusFrame>,
    pub(super) status: watch::Receiver<Status>,
    pub(super) stop: Arc<watch::Sender<bool>>,
    pub(super) stats: Arc<DriverStats>,
}

impl Handle {
    /// Delivers a consensus message from another member. Never blocks.
    pub fn deliver_consensus(&self, frame: ConsensusFrame) {
        if self.messages.try_send(frame).is_err() {
            self.stats.messages_dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns a receiver that follows the member's status.
    pub fn status(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }

    /// Returns the counters and gauges of the control thread.
    pub fn stats(&self) -> &DriverStats {
        &self.stats
    }

    /// Asks the control thread to stop.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

impl Control for Handle {
    fn call(
        &self,
        req: ControlRequest,
        limit: Duration,
    ) -> BoxFuture<'_, Result<ControlReply, CallError>> {
        Box::pin(async move {
            let changes_state = matches!(req.request, Some(Request::Propose(_)));
            let (reply, rx) = oneshot::channel();
            if self.calls.try_send(Call { req, reply }).is_err() {
                self.stats.calls_refused.fetch_add(1, Ordering::Relaxed);
                return Err(CallError::Unavailable(
                    "the call queue of the control thread is full".into(),
                ));
            }
            let reason = match timeout(limit, rx).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(_)) => "the control thread stopped",
                Err(_) => "no reply in time",
            };
            Err(if changes_state {
                CallError::Unknown(reason.into())
            } else {
                CallError::Unavailable(reason.into())
            })
        })
    }
}
