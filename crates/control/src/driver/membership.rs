//! Membership of the control group, as managed by its leader.

use anvilloft_consensus::Member;
use anvilloft_consensus::MemberChange;
use anvilloft_consensus::ProposeError;
use anvilloft_types::prelude::*;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::GroupAction;
use anvilloft_wire::control::GroupRequest;
use serde_json::Value;
use serde_json::json;

use super::core::Core;
use super::reads::PendingRead;
use super::replies::ReplySender;
use super::replies::ok_reply;
use super::replies::refusal;
use super::replies::send_answer;

/// Time without contact after which a member counts as silent. A silent member
/// is removed once another member has taken over its address, or a learner that
/// has caught up can replace it.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without contact after which a voter is removed from a group with an
/// even number of voters. Longer than partitions of a single host usually last.
const VOTER_REMOVAL_TIMEOUT: Duration = Duration::from_secs(12);

impl Core {
    /// Handles a request about the membership. A change is answered once it is
    /// committed, or at once if it is already in force.
    pub(super) fn on_group(&mut self, now: Duration, req: GroupRequest, reply: ReplySender) {
        let id = req.member;
        let known = self.node.membership().get(id).cloned();
        let (change, in_force) = match req.action() {
            GroupAction::Status => return self.request_read(now, PendingRead::Group, reply),
            GroupAction::AddLearner => {
                let in_force = known.is_some_and(|m| m.address == req.address);
                let address = req.address;
                (MemberChange::AddLearner { id, address }, in_force)
            }
            GroupAction::Promote => (MemberChange::Promote(id), known.is_some_and(|m| m.voter)),
            GroupAction::Remove => (MemberChange::Remove(id), known.is_none()),
        };
        if in_force && !self.node.has_uncommitted_membership() {
            send_answer(reply, Answer::Applied(ok_reply()));
            return;
        }
        match self.propose_change(now, change) {
            Ok(index) => self.record_pending(index, 0, None, Some(reply)),
            Err(e @ ProposeError::InvalidChange(_)) => {
                send_answer(reply, refusal("invalid_change", e.to_string()));
            }
            Err(e @ ProposeError::NotCaughtUp) => {
                send_answer(reply, refusal("not_caught_up", e.to_string()));
            }
            Err(e) => send_answer(reply, Answer::Unavailable(e.to_string())),
        }
    }

    fn propose_change(&mut self, now: Duration, change: MemberChange) -> Result<u64, ProposeError> {
        let result = self.node.propose_change(now, change.clone());
        slog::info!(self.log, "membership change"; "change" => ?change, "result" => ?result);
        result
    }

    fn is_silent(&self, now: Duration, id: MemberId) -> bool {
        self.node
            .last_contact(id)
            .is_some_and(|at| now >= at + SILENCE_TIMEOUT)
    }

    /// Promotes a learner that has caught up, and removes the silent member
    /// that it replaces: the one whose address it took over, or otherwise the
    /// voter that has been silent longest.
    pub(super) fn maintain_membership(&mut self, now: Duration) {
        let members = self.node.membership().members.clone();
        let candidates = members
            .iter()
            .filter(|m| m.voter || self.node.is_caught_up(now, m.id));
        for m in candidates {
            let replaced = members
                .iter()
                .find(|o| o.id != m.id && o.address == m.address && !m.address.is_empty())
                .or_else(|| (!m.voter).then(|| self.longest_silent_voter(now)).flatten());
            let change = match replaced {
                // Removed before the promotion: another voter would raise the
                // majority while the dead member still counts.
                Some(old) if self.is_silent(now, old.id) => MemberChange::Remove(old.id),
                Some(_) => continue,
                None if m.voter => continue,
                None => MemberChange::Promote(m.id),
            };
            // A refused change is retried at the next check.
            let _ = self.propose_change(now, change);
            return;
        }
        self.remove_surplus_voter(now);
    }

    /// Removes a voter that has been silent for a long time from a group with
    /// an even number of voters. Such a group tolerates no more failures than
    /// one with a voter less, so a voter that may never return only uses up one
    /// of them. A voter that does return asks to join again.
    fn remove_surplus_voter(&mut self, now: Duration) {
        let count = self.node.membership().voters().count();
        let is_gone = |m: &&Member| {
            let last_contact = self.node.last_contact(m.id);
            last_contact.is_some_and(|at| now >= at + VOTER_REMOVAL_TIMEOUT)
        };
        if count.is_multiple_of(2)
            && let Some(id) = self.longest_silent_voter(now).filter(is_gone).map(|m| m.id)
        {
            let _ = self.propose_change(now, MemberChange::Remove(id));
        }
    }

    fn longest_silent_voter(&self, now: Duration) -> Option<&Member> {
        let voters = self.node.membership().members.iter().filter(|m| m.voter);
        voters
            .filter(|m| self.is_silent(now, m.id))
            .min_by_key(|m| self.node.last_contact(m.id))
    }

    /// Returns the members, the leader and their progress as JSON.
    pub(super) fn group_status(&self) -> Value {
        let now = self.now();
        let hex = |id: MemberId| format!("{id:016x}");
        let members: Value = self
            .node
            .membership()
            .members
            .iter()
            .map(|m| {
                json!({
                    "id": hex(m.id),
                    "address": m.address,
                    "voter": m.voter,
                    "silent": self.is_silent(now, m.id),
                    "synced": self.node.synced_index(m.id),
                })
            })
            .collect();
        json!({
            "leader": self.node.leader().map(hex),
            "term": self.node.term(),
            "commit": self.node.commit_index(),
            "changing": self.node.has_uncommitted_membership(),
            "members": members,
        })
    }
}
