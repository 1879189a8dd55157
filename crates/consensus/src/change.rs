//! Proposes membership changes, reports replication status and installs
//! snapshots.

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
    /// Proposes to add, promote or remove one member.
    ///
    /// # Errors
    ///
    /// Fails if this member isn't the leader, while another change or the first
    /// entry of the term is uncommitted (Ongaro, raft-dev, 2015: "bug in
    /// single-server membership changes"), if a learner to promote hasn't
    /// caught up, and if the change is invalid for the membership.
    pub fn propose_change(
        &mut self,
        now: Duration,
        change: MemberChange,
    ) -> Result<LogIndex, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader);
        }
        if self.log.membership_index() > self.commit_index
            || self.commit_index < self.term_start_index
        {
            return Err(ProposeError::ChangePending);
        }
        let next = self.log.membership().with_change(&change)?;
        if let MemberChange::Promote(id) = change
            && !self.is_caught_up(now, id)
        {
            return Err(ProposeError::NotCaughtUp);
        }
        let index = self.append_as_leader(EntryKind::Members, next.encode_to_vec());
        self.rebuild_progress(now);
        Ok(index)
    }

    /// Returns whether a member is in contact with this leader and syncs entries within
    /// an election timeout of their arrival, so that waiting for it delays a commit by no
    /// more than an election would.
    pub fn is_caught_up(&self, now: Duration, id: MemberId) -> bool {
        let limit = self.cfg.max_election_timeout;
        self.progress_of(id)
            .is_some_and(|p| now < p.last_contact + limit && p.catch_up.is_shorter_than(now, limit))
    }

    /// Returns the time at which this leader last received a reply from a member.
    pub fn last_contact(&self, id: MemberId) -> Option<Duration> {
        self.progress_of(id).map(|p| p.last_contact)
    }

    /// Returns whether this leader has received a reply from a member in its term.
    pub fn has_replied(&self, id: MemberId) -> bool {
        self.progress_of(id).is_some_and(|p| p.has_replied)
    }

    /// Returns the index of the last entry known to be synced on a member.
    pub fn synced_index(&self, id: MemberId) -> LogIndex {
        if id == self.cfg.id {
            return self.synced_index;
        }
        self.progress_of(id).map_or(0, |p| p.match_index)
    }

    /// Returns whether the membership in effect is not yet committed.
    pub fn has_uncommitted_membership(&self) -> bool {
        self.log.membership_index() > self.commit_index
    }

    /// Replaces the log and the state machine with a snapshot from the leader.
    pub(crate) fn install_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        let index = snapshot.index;
        self.log.reset(Arc::clone(&snapshot));
        self.commit_index = index;
        self.emitted_index = index;
        self.synced_index = index;
        self.set_applied_index(index);
        self.effects.snapshot = Some(snapshot);
        self.effects.reset = true;
    }
}
