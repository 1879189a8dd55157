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
use super::member_plan::MemberView;
use super::reads::PendingRead;
use super::replies::ReplySender;
use super::replies::ok_reply;
use super::replies::refusal;
use super::replies::send_answer;

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

    /// Returns a member as this leader sees it.
    pub(super) fn view<'a>(&self, now: Duration, m: &'a Member) -> MemberView<'a> {
        let last_contact = self.node.last_contact(m.id);
        MemberView {
            id: m.id,
            address: &m.address,
            voter: m.voter,
            is_caught_up: self.node.is_caught_up(now, m.id),
            silent_for: last_contact.map_or(Duration::ZERO, |at| now.saturating_sub(at)),
            has_replied: self.node.has_replied(m.id),
        }
    }

    /// Proposes the next change of the members that is due.
    pub(super) fn maintain_membership(&mut self, now: Duration) {
        if self.node.has_uncommitted_membership() {
            return;
        }
        let members = &self.node.membership().members;
        let views: Vec<MemberView<'_>> = members.iter().map(|m| self.view(now, m)).collect();
        if let Some(change) = self.plan.next_change(&views) {
            // A refused change is retried at the next check.
            let _ = self.propose_change(now, change);
        }
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
                    "silent": self.plan.is_silent(&self.view(now, m)),
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
