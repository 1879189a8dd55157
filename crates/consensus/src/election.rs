//! Leader election: pre-vote, votes and check-quorum.

use anvilloft_types::prelude::*;
use rand::Rng;

use crate::message::Body;
use crate::message::EntryKind;
use crate::message::VoteReply;
use crate::message::VoteRequest;
use crate::node::Node;
use crate::replication::Progress;
use crate::types::Role;
use crate::types::Term;

impl Node {
    pub(crate) fn reset_election_timer(&mut self, now: Duration) {
        let min = self.cfg.min_election_timeout;
        let max = self.cfg.max_election_timeout.max(min);
        self.election_deadline = now + self.rng.random_range(min..=max);
    }

    /// Sets the first election timeout after a start. When all members start at
    /// once, the group has no leader until the first of these timeouts expires.
    pub(crate) fn start_first_election_timer(&mut self, now: Duration) {
        let min = self.cfg.min_first_election_timeout;
        let spread = self
            .cfg
            .max_election_timeout
            .saturating_sub(self.cfg.min_election_timeout)
            / 2;
        self.election_deadline = now + self.rng.random_range(min..=min + spread);
    }

    /// Returns whether a leader is active: this member, or another that sent a
    /// message within the minimum election timeout.
    pub(crate) fn has_active_leader(&self, now: Duration) -> bool {
        self.role == Role::Leader
            || self
                .last_leader_contact
                .is_some_and(|at| now < at + self.cfg.min_election_timeout)
    }

    /// Returns whether a majority of voters replied to this leader within the
    /// maximum election timeout.
    pub(crate) fn has_quorum_contact(&self, now: Duration) -> bool {
        let last_contact = self.log.membership().majority_value(|id| {
            if id == self.cfg.id {
                now
            } else {
                self.progress_of(id)
                    .map_or(Duration::ZERO, |p| p.last_contact)
            }
        });
        last_contact.is_some_and(|at| now <= at + self.cfg.max_election_timeout)
    }

    pub(crate) fn become_follower(&mut self, now: Duration, term: Term, leader: Option<MemberId>) {
        if term > self.term {
            self.term = term;
            self.vote = 0;
            self.hard_state_changed = true;
            self.last_leader_contact = None;
            self.incoming_snapshot = None;
        }
        if self.role != Role::Follower {
            self.reset_election_timer(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.progress.clear();
        let failed = self.pending_reads.drain(..).map(|r| r.ctx);
        self.effects.failed_reads.extend(failed);
    }

    pub(crate) fn start_pre_vote(&mut self, now: Duration) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = vec![self.cfg.id];
        if self.has_vote_majority() {
            self.start_election(now);
        } else {
            self.request_votes(self.term + 1, Body::PreVote);
        }
    }

    fn start_election(&mut self, now: Duration) {
        self.role = Role::Candidate;
        self.term += 1;
        self.vote = self.cfg.id;
        self.hard_state_changed = true;
        self.votes = vec![self.cfg.id];
        self.reset_election_timer(now);
        if self.has_vote_majority() {
            self.become_leader(now);
        } else {
            self.request_votes(self.term, Body::Vote);
        }
    }

    fn request_votes(&mut self, term: Term, body: fn(VoteRequest) -> Body) {
        let req = VoteRequest {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let voters: Vec<MemberId> = self.log.membership().voters().collect();
        for id in voters {
            if id != self.cfg.id {
                self.send_after_sync(id, term, body(req));
            }
        }
    }

    /// Returns whether a majority of the voters in this member's own membership
    /// granted their vote. Grants of others, learners included, don't count.
    fn has_vote_majority(&self) -> bool {
        let voters = self.log.membership().voters();
        let (mut voter_count, mut granted) = (0, 0);
        for id in voters {
            voter_count += 1;
            granted += usize::from(self.votes.contains(&id));
        }
        granted > voter_count / 2
    }

    fn become_leader(&mut self, now: Duration) {
        self.role = Role::Leader;
        self.leader = Some(self.cfg.id);
        self.votes.clear();
        self.incoming_snapshot = None;
        self.progress.clear();
        self.rebuild_progress(now);
        // A leader commits entries of earlier terms only together with one of
        // its own (Raft, 3.6.2), so it appends one at once.
        self.term_start_index = self.append_as_leader(EntryKind::Noop, Vec::new());
        self.broadcast(now);
    }

    /// Adds and removes progress entries to match the membership.
    pub(crate) fn rebuild_progress(&mut self, now: Duration) {
        let next_index = self.log.last_index() + 1;
        let own_id = self.cfg.id;
        let mut old = std::mem::take(&mut self.progress);
        self.progress = self
            .log
            .membership()
            .members
            .iter()
            .filter(|m| m.id != own_id)
            .map(|m| match old.iter().position(|p| p.id == m.id) {
                Some(i) => old.swap_remove(i),
                None => Progress::new(m.id, next_index, now),
            })
            .collect();
    }

    fn is_up_to_date(&self, req: &VoteRequest) -> bool {
        (req.last_term, req.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        now: Duration,
        from: MemberId,
        term: Term,
        req: &VoteRequest,
    ) {
        let granted = term > self.term && self.is_up_to_date(req) && !self.has_active_leader(now);
        let term = if granted { term } else { self.term };
        self.send_after_sync(from, term, Body::PreVoteReply(VoteReply { granted }));
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        now: Duration,
        from: MemberId,
        term: Term,
        reply: &VoteReply,
    ) {
        if self.role != Role::PreCandidate || !reply.granted || term != self.term + 1 {
            return;
        }
        self.record_vote(from);
        if self.has_vote_majority() {
            self.start_election(now);
        }
    }

    /// Grants or refuses a vote, even if this member isn't a voter by its own
    /// membership: only the candidate's membership decides which votes count. A
    /// promoted learner may not have received its promotion yet, and its vote can
    /// be needed when a second member fails.
    pub(crate) fn on_vote(&mut self, now: Duration, from: MemberId, term: Term, req: &VoteRequest) {
        let granted = term == self.term
            && (self.vote == 0 || self.vote == from)
            && self.leader.is_none()
            && self.is_up_to_date(req);
        if granted && self.vote == 0 {
            self.vote = from;
            self.hard_state_changed = true;
        }
        if granted {
            self.reset_election_timer(now);
        }
        self.send_after_sync(from, self.term, Body::VoteReply(VoteReply { granted }));
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        now: Duration,
        from: MemberId,
        term: Term,
        reply: &VoteReply,
    ) {
        if self.role != Role::Candidate || !reply.granted || term != self.term {
            return;
        }
        self.record_vote(from);
        if self.has_vote_majority() {
            self.become_leader(now);
        }
    }

    fn record_vote(&mut self, from: MemberId) {
        // Votes of non-members are ignored, which bounds the list.
        if !self.votes.contains(&from) && self.log.membership().get(from).is_some() {
            self.votes.push(from);
        }
    }
}
