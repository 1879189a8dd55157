//! Return of the tokens that dead routers can't have used.

use anvilloft_types::prelude::*;
use anvilloft_wire::command::Body;

use super::core::Core;

impl Core {
    /// Proposes to return the tokens that dead routers can't have used.
    pub(super) fn restore_reserves(&mut self, now: Duration) {
        let voters = self.node.membership().voters().collect::<Vec<_>>();
        let contacts = &self.contacts;
        let due = self
            .timers
            .due_restores(now, &self.ledger, |dead_at, index| {
                contacts.elapsed_until(dead_at, index, &voters)
            });
        for (restore, lost) in due {
            slog::info!(self.log, "restoring the reserve of a dead router";
                "router" => &restore.router, "incarnation" => restore.incarnation,
                "died_within_ms" => restore.died_within_ms, "locked" => lost.locked,
                "allotted" => lost.allotted);
            self.propose(now, Body::RestoreReserve(restore), None, None);
        }
    }
}
