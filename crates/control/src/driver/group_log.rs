//! Logs what a member sees of its group: the leader, elections, and changes of the
//! members.

use std::sync::atomic::Ordering;

use anvilloft_consensus::Entry;
use anvilloft_consensus::LogIndex;
use anvilloft_consensus::Membership;
use anvilloft_consensus::Node;
use anvilloft_consensus::Role;
use anvilloft_types::prelude::*;
use anvilloft_types::to_ms;
use prost::Message as _;
use slog::Logger;
use slog::info;
use slog::warn;

use super::core::Core;

/// Minimum interval between lines about elections after the first ones without a
/// leader, and between lines about members whose change is delayed.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Number of elections without a leader in between of which each is logged.
const LOGGED_ELECTIONS: u32 = 4;
/// Silence from which on a member is logged.
const REPORTED_SILENCE: Duration = Duration::from_secs(1);

/// What was logged last.
#[derive(Debug)]
pub(super) struct GroupLog {
    leader: Option<MemberId>,
    /// When `leader` changed.
    changed_at: Duration,
    role: Role,
    /// Elections that this member started since it last knew a leader.
    elections: u32,
    next_election_line: Duration,
    next_delay_line: Duration,
    /// The members by the entries applied so far.
    applied: Membership,
    /// Index of the last entry at the start of the process. Changes up to it were logged
    /// when they were made.
    restored_index: LogIndex,
}

/// Formats member ids as in the status, separated by commas.
fn hex_ids(ids: &[MemberId]) -> String {
    let ids: Vec<String> = ids.iter().map(|id| format!("{id:016x}")).collect();
    ids.join(",")
}

impl GroupLog {
    pub(super) fn new(node: &Node) -> Self {
        Self {
            leader: None,
            changed_at: Duration::ZERO,
            role: Role::Follower,
            elections: 0,
            next_election_line: Duration::ZERO,
            next_delay_line: Duration::ZERO,
            applied: node
                .snapshot()
                .and_then(|s| s.membership.clone())
                .unwrap_or_default(),
            restored_index: node.last_index(),
        }
    }

    /// Logs a change of the leader, and the votes with which this member's pre-vote
    /// succeeded.
    pub(super) fn observe(&mut self, now: Duration, node: &Node, log: &Logger) {
        let term = node.term();
        let leader = node.leader();
        if leader != self.leader {
            let ms = to_ms(now.saturating_sub(self.changed_at));
            if let Some(old) = self.leader {
                info!(log, "leader lost"; "leader" => hex_ids(&[old]), "term" => term,
                    "after_ms" => ms);
            }
            if let Some(new) = leader {
                info!(log, "leader found"; "leader" => hex_ids(&[new]), "term" => term,
                    "elections" => self.elections, "after_ms" => ms);
                self.elections = 0;
            }
            self.leader = leader;
            self.changed_at = now;
        }
        let role = node.role();
        if role != self.role && role == Role::Candidate && self.elections <= LOGGED_ELECTIONS {
            info!(log, "votes requested"; "term" => term, "last_index" => node.last_index());
        }
        self.role = role;
    }

    /// Logs that this member starts an election. `votes` are those that it got in its
    /// election before, if that failed.
    pub(super) fn election_started(
        &mut self,
        now: Duration,
        node: &Node,
        votes: &[MemberId],
        log: &Logger,
    ) {
        self.elections += 1;
        if self.elections > LOGGED_ELECTIONS && now < self.next_election_line {
            return;
        }
        self.next_election_line = now + REPEAT_INTERVAL;
        let voters: Vec<MemberId> = node.membership().voters().collect();
        info!(log, "election started"; "term" => node.term(), "attempt" => self.elections,
            "last_index" => node.last_index(), "voters" => hex_ids(&voters),
            "votes_before" => hex_ids(votes));
    }

    /// Logs the members that a committed entry adds, promotes and removes.
    pub(super) fn members_applied(&mut self, e: &Entry, log: &Logger) {
        let Ok(next) = Membership::decode(e.data.as_slice()) else {
            return;
        };
        let line = |change: &'static str, id: MemberId, address: &str| {
            if e.index <= self.restored_index {
                return;
            }
            info!(log, "member changed"; "change" => change, "member" => hex_ids(&[id]),
                "address" => address, "index" => e.index,
                "voters" => next.voters().count());
        };
        for m in &next.members {
            match self.applied.get(m.id) {
                None => line("added", m.id, &m.address),
                Some(old) if !old.voter && m.voter => line("promoted", m.id, &m.address),
                Some(_) => {}
            }
        }
        for m in &self.applied.members {
            if next.get(m.id).is_none() {
                line("removed", m.id, &m.address);
            }
        }
        self.applied = next;
    }

    /// Records the members of an installed snapshot.
    pub(super) fn members_installed(&mut self, members: Option<&Membership>) {
        self.applied = members.cloned().unwrap_or_default();
    }
}

impl Core {
    /// Runs the node's work that is due, and logs an election that this starts.
    pub(super) fn tick(&mut self, now: Duration) {
        let votes = self.node.votes().to_vec();
        let was_leader = self.node.role() == Role::Leader;
        self.node.tick(now);
        if !was_leader && self.node.role() != Role::Follower {
            self.stats.elections_started.fetch_add(1, Ordering::Relaxed);
            self.group_log
                .election_started(now, &self.node, &votes, &self.log);
        }
    }

    /// Logs, on the leader, the learners that aren't promoted and the voters that are
    /// silent, at a bounded rate.
    pub(super) fn log_delayed_members(&mut self, now: Duration) {
        if now < self.group_log.next_delay_line {
            return;
        }
        let commit = self.node.commit_index();
        let is_changing = self.node.has_uncommitted_membership();
        for m in &self.node.membership().members {
            let m = self.view(now, m);
            let is_silent = m.silent_for >= REPORTED_SILENCE;
            let reason = match m.voter {
                true if !is_silent => continue,
                true => "silent",
                false if is_changing => "another change is uncommitted",
                false if is_silent => "no contact",
                false if !m.is_caught_up => "behind",
                false => "waits for another member",
            };
            self.group_log.next_delay_line = now + REPEAT_INTERVAL;
            warn!(self.log, "member change delayed"; "member" => hex_ids(&[m.id]),
                "voter" => m.voter, "reason" => reason, "silent_ms" => to_ms(m.silent_for),
                "synced" => self.node.synced_index(m.id), "commit" => commit);
        }
    }
}
