//! Access to the control thread from other threads.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvilloft_consensus::MemberChange;
use anvilloft_consensus::ProposeError;
use anvilloft_ledger::Config;
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

/// Input of the control thread.
pub(crate) enum Call {
    /// A request and where its reply goes.
    Control(ControlRequest, oneshot::Sender<ControlReply>),
    /// A membership change.
    Change(MemberChange, oneshot::Sender<Result<(), ProposeError>>),
}

/// Access to the control thread. Clones reach the same thread.
#[derive(Clone)]
pub struct Handle {
    pub(super) calls: mpsc::Sender<Call>,
    pub(super) messages: mpsc::Sender<ConsensusFrame>,
    pub(super) status: watch::Receiver<Status>,
    pub(super) config: watch::Receiver<Arc<Config>>,
    pub(super) stop: Arc<watch::Sender<bool>>,
    pub(super) stats: Arc<DriverStats>,
}

impl Handle {
    /// Takes a consensus message from another member. Never blocks.
    pub fn consensus(&self, frame: ConsensusFrame) {
        if self.messages.try_send(frame).is_err() {
            self.stats.messages_dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Starts a change of one member. It is in force once
    /// [`Status::changing`] is false again with the change in the membership.
    /// A learner that has caught up is promoted by the leader itself; a member
    /// that is silent and has the address of a caught-up learner is removed.
    ///
    /// # Errors
    ///
    /// Fails on a member that doesn't lead, and when the change is refused.
    pub async fn change(&self, change: MemberChange) -> Result<(), ProposeError> {
        let (tx, rx) = oneshot::channel();
        let call = Call::Change(change, tx);
        self.calls.try_send(call).map_err(|_| ProposeError::Busy)?;
        rx.await.unwrap_or(Err(ProposeError::NotLeader))
    }

    /// Returns a view of the member's state that follows it.
    pub fn status(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }

    /// Returns this member's configuration, which may be behind the leader's.
    pub fn config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.clone()
    }

    /// Returns the counters of the control thread.
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
            let (tx, rx) = oneshot::channel();
            if self.calls.try_send(Call::Control(req, tx)).is_err() {
                self.stats.calls_refused.fetch_add(1, Ordering::Relaxed);
                return Err(CallError::Unavailable("the control thread is busy".into()));
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
