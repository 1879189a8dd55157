//! The membership of the control group, on its leader.

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
use super::reads::Read;
use super::replies::ReplyTo;
use super::replies::answer;
use super::replies::done;
use super::replies::refused;

/// Time without a sign of life after which a member counts as silent. A silent
/// member whose address a new identity has taken over is removed.
const SILENCE: Duration = Duration::from_secs(3);

/// Time without a sign of life after which a voter beyond an odd count is
/// removed. Longer than partitions of a single host usually last.
const LONG_SILENCE: Duration = Duration::from_secs(12);

impl Core {
    /// Takes a request about the membership. A change is answered once it is
    /// committed; one that is in force already is answered at once.
    pub(super) fn on_group(&mut self, now: Duration, req: GroupRequest, reply: ReplyTo) {
        let id = req.member;
        let known = self.node.membership().get(id).cloned();
        let (change, in_force) = match req.action() {
            GroupAction::Status => return self.read(now, Read::Group, reply),
            GroupAction::AddLearner => {
                let in_force = known.is_some_and(|m| m.address == req.address);
                let address = req.address;
                (MemberChange::AddLearner { id, address }, in_force)
            }
            GroupAction::Promote => (MemberChange::Promote(id), known.is_some_and(|m| m.voter)),
            GroupAction::Remove => (MemberChange::Remove(id), known.is_none()),
        };
        if in_force && !self.node.has_uncommitted_membership() {
            answer(reply, Answer::Applied(done()));
            return;
        }
        match self.change(now, change) {
            Ok(index) => self.await_commit(index, 0, None, Some(reply)),
            Err(e @ ProposeError::InvalidChange(_)) => {
                answer(reply, refused("invalid_change", e.to_string()));
            }
            Err(e @ ProposeError::NotCaughtUp) => {
                answer(reply, refused("not_caught_up", e.to_string()));
            }
            Err(e) => answer(reply, Answer::Unavailable(e.to_string())),
        }
    }

    fn change(&mut self, now: Duration, change: MemberChange) -> Result<u64, ProposeError> {
        let result = self.node.propose_change(now, change.clone());
        slog::info!(self.log, "membership change"; "change" => ?change, "result" => ?result);
        result
    }

    fn is_silent(&self, now: Duration, id: MemberId) -> bool {
        self.node
            .last_contact(id)
            .is_some_and(|at| now >= at + SILENCE)
    }

    /// Promotes a learner that has caught up, and removes the silent member that
    /// it replaces: the one whose address it took over, or else the voter that
    /// has been silent longest.
    pub(super) fn tend_membership(&mut self, now: Duration) {
        let members = self.node.membership().members.clone();
        let ready = members
            .iter()
            .filter(|m| m.voter || self.node.is_caught_up(now, m.id));
        for m in ready {
            let old = members
                .iter()
                .find(|o| o.id != m.id && o.address == m.address && !m.address.is_empty())
                .or_else(|| (!m.voter).then(|| self.silent_voter(now)).flatten());
            let change = match old {
                // Removed before the promotion: while the dead member counts,
                // a further voter would raise the majority.
                Some(old) if self.is_silent(now, old.id) => MemberChange::Remove(old.id),
                Some(_) => continue,
                None if m.voter => continue,
                None => MemberChange::Promote(m.id),
            };
            // A refusal is tried again at the next check.
            let _ = self.change(now, change);
            return;
        }
        self.drop_spare_voter(now);
    }

    /// Removes a voter that has been silent for long from a group of even size.
    /// Such a group bears no more losses than the next smaller one, so a voter
    /// that may never come back only takes one of them away. One that does come
    /// back asks to join again.
    fn drop_spare_voter(&mut self, now: Duration) {
        let count = self.node.membership().voters().count();
        let gone = |m: &&Member| {
            let heard = self.node.last_contact(m.id);
            heard.is_some_and(|at| now >= at + LONG_SILENCE)
        };
        if count.is_multiple_of(2)
            && let Some(id) = self.silent_voter(now).filter(gone).map(|m| m.id)
        {
            let _ = self.change(now, MemberChange::Remove(id));
        }
    }

    fn silent_voter(&self, now: Duration) -> Option<&Member> {
        let voters = self.node.membership().members.iter().filter(|m| m.voter);
        voters
            .filter(|m| self.is_silent(now, m.id))
            .min_by_key(|m| self.node.last_contact(m.id))
    }

    /// Returns members, leader and progress.
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
