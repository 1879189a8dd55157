//! Membership changes by the leader, and snapshots installed by a follower.

use std::sync::Arc;

use anvilloft_types::prelude::*;
use prost::Message as _;

use crate::error::ProposeError;
use crate::message::EntryKind;
use crate::message::Snapshot;
use crate::node::Node;
use crate::types::LogIndex;
use crate::types::MemberChange;
use crate::types::Role;

impl Node {
    /// Changes one member.
    ///
    /// # Errors
    ///
    /// Fails on a member that doesn't lead, while another change or the first
    /// entry of the term is uncommitted (Ongaro, raft-dev, 2015: "bug in
    /// single-server membership changes"), when a learner to promote hasn't
    /// caught up, and when the change doesn't fit the membership.
    pub fn propose_change(
        &mut self,
        now: Duration,
        change: MemberChange,
    ) -> Result<LogIndex, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader);
        }
        if self.log.membership_index() > self.commit || self.commit < self.term_start {
            return Err(ProposeError::ChangePending);
        }
        let next = self.log.membership().changed(&change)?;
        if let MemberChange::Promote(id) = change
            && !self.is_caught_up(now, id)
        {
            return Err(ProposeError::NotCaughtUp);
        }
        let index = self.append_own(EntryKind::Members, next.encode_to_vec());
        self.sync_progress(now);
        Ok(index)
    }

    /// Returns whether a member is heard from and has synced everything that
    /// this leader has committed.
    pub fn is_caught_up(&self, now: Duration, id: MemberId) -> bool {
        self.progress_of(id).is_some_and(|p| {
            p.matched >= self.commit && now < p.heard + self.cfg.min_election_timeout
        })
    }

    /// Returns when this leader last heard from a member.
    pub fn last_contact(&self, id: MemberId) -> Option<Duration> {
        self.progress_of(id).map(|p| p.heard)
    }

    /// Returns the last entry that this leader knows to be synced on a member.
    pub fn synced_index(&self, id: MemberId) -> LogIndex {
        if id == self.cfg.id {
            return self.synced;
        }
        self.progress_of(id).map_or(0, |p| p.matched)
    }

    /// Returns whether the membership in force is not committed yet.
    pub fn has_uncommitted_membership(&self) -> bool {
        self.log.membership_index() > self.commit
    }

    /// Replaces the log and the state machine by a snapshot from the leader.
    pub(crate) fn install(&mut self, snapshot: Arc<Snapshot>) {
        let index = snapshot.index;
        self.log.reset(Arc::clone(&snapshot));
        self.commit = index;
        self.handed = index;
        self.synced = index;
        self.set_applied(index);
        self.out.snapshot = Some(snapshot);
        self.out.reset = true;
    }
}
