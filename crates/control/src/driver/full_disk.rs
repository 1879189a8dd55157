//! Waiting of a member whose disk is full.
//!
//! Until what consensus asked for is saved, the member sends none of the messages that
//! depend on it and takes part in nothing, as if its disk were slow. The others elect
//! another leader meanwhile.

use anvilloft_consensus::Effects;
use anvilloft_storage::StorageError;
use anvilloft_types::prelude::*;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::Request;
use anvilloft_wire::frame::ConsensusFrame;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use super::DriverError;
use super::core::Core;
use super::handle::Call;
use super::replies::send_answer;

/// Interval between attempts to write to a full disk.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before a snapshot is written again that had no room.
const SNAPSHOT_DELAY: Duration = Duration::from_secs(1);

/// What waits for room on the disk.
#[derive(Default)]
pub(super) struct Unsaved {
    effects: Option<Effects>,
    /// When a snapshot may be written again.
    snapshot_at: Duration,
}

impl Unsaved {
    /// Returns whether the member waits.
    pub(super) fn is_waiting(&self) -> bool {
        self.effects.is_some()
    }

    pub(super) fn take(&mut self) -> Option<Effects> {
        self.effects.take()
    }

    /// Returns whether a snapshot may be written.
    pub(super) fn allows_snapshot(&self, now: Duration) -> bool {
        now >= self.snapshot_at
    }

    pub(super) fn delay_snapshot(&mut self, now: Duration) {
        self.snapshot_at = now + SNAPSHOT_DELAY;
    }
}

impl Core {
    /// Saves effects. Returns them if that is done, or keeps them if the disk is full.
    pub(super) fn save(
        &mut self,
        fx: Effects,
        was_waiting: bool,
    ) -> Result<Option<Effects>, DriverError> {
        match self.store.save(&fx) {
            Ok(()) if was_waiting => {
                slog::info!(self.log, "the disk has room again"; "member" => self.node.id());
                Ok(Some(fx))
            }
            Ok(()) => Ok(Some(fx)),
            Err(StorageError::Full(err)) => {
                if !was_waiting {
                    slog::error!(self.log, "the disk is full; waiting for room";
                        "member" => self.node.id(), "error" => %err);
                }
                self.unsaved.effects = Some(fx);
                Ok(None)
            }
            Err(err) => Err(err.into()),
        }
    }

    /// Waits until the disk is tried again, and refuses calls meanwhile. Returns whether
    /// the member shall stop.
    pub(super) async fn wait_for_room(
        &mut self,
        calls: &mut mpsc::Receiver<Call>,
        messages: &mut mpsc::Receiver<ConsensusFrame>,
        stop: &mut watch::Receiver<bool>,
    ) -> bool {
        let mut retry = std::pin::pin!(time::sleep(RETRY_INTERVAL));
        loop {
            tokio::select! {
                biased;
                _ = stop.wait_for(|stop| *stop) => return true,
                () = &mut retry => return false,
                // Consensus retransmits what is dropped.
                Some(_) = messages.recv() => {}
                Some(call) = calls.recv() => self.refuse_or_read(call),
            }
        }
    }

    fn refuse_or_read(&mut self, call: Call) {
        if let Some(Request::Table(_)) = call.req.request {
            self.on_call(call);
        } else {
            let reason = "the disk of this member is full";
            send_answer(call.reply, Answer::Unavailable(reason.to_owned()));
        }
    }
}
