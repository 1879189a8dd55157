//! Elections: pre-vote, votes, check-quorum.

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
        self.election_due = now + self.rng.random_range(min..=max);
    }

    /// Sets the election timeout after a start. When all members start at once,
    /// the group is without a leader until the first of these timeouts ends.
    pub(crate) fn first_election_timer(&mut self, now: Duration) {
        let min = self.cfg.min_first_election_timeout;
        let spread = self
            .cfg
            .max_election_timeout
            .saturating_sub(self.cfg.min_election_timeout)
            / 2;
        self.election_due = now + self.rng.random_range(min..=min + spread);
    }

    /// Returns whether a leader is known to be at work: this member, or one
    /// heard from within the shortest election timeout.
    pub(crate) fn hears_leader(&self, now: Duration) -> bool {
        self.role == Role::Leader
            || self
                .leader_heard
                .is_some_and(|at| now < at + self.cfg.min_election_timeout)
    }

    /// Returns whether this leader heard from a majority of voters within the
    /// longest election timeout.
    pub(crate) fn hears_majority(&self, now: Duration) -> bool {
        let heard = self.log.membership().majority_value(|id| {
            if id == self.cfg.id {
                now
            } else {
                self.progress_of(id).map_or(Duration::ZERO, |p| p.heard)
            }
        });
        heard.is_some_and(|at| now <= at + self.cfg.max_election_timeout)
    }

    pub(crate) fn become_follower(&mut self, now: Duration, term: Term, leader: Option<MemberId>) {
        if term > self.term {
            self.term = term;
            self.vote = 0;
            self.hard_dirty = true;
            self.leader_heard = None;
            self.incoming = None;
        }
        if self.role != Role::Follower {
            self.reset_election_timer(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.progress.clear();
        let failed = self.reads.drain(..).map(|r| r.ctx);
        self.out.failed_reads.extend(failed);
    }

    pub(crate) fn start_pre_vote(&mut self, now: Duration) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = vec![self.cfg.id];
        if self.has_won() {
            self.start_election(now);
        } else {
            self.ask_for_votes(self.term + 1, Body::PreVote);
        }
    }

    fn start_election(&mut self, now: Duration) {
        self.role = Role::Candidate;
        self.term += 1;
        self.vote = self.cfg.id;
        self.hard_dirty = true;
        self.votes = vec![self.cfg.id];
        self.reset_election_timer(now);
        if self.has_won() {
            self.become_leader(now);
        } else {
            self.ask_for_votes(self.term, Body::Vote);
        }
    }

    fn ask_for_votes(&mut self, term: Term, body: fn(VoteRequest) -> Body) {
        let req = VoteRequest {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let voters: Vec<MemberId> = self.log.membership().voters().collect();
        for id in voters {
            if id != self.cfg.id {
                self.send(id, term, body(req));
            }
        }
    }

    /// Returns whether a majority of the voters in this member's own
    /// membership granted. Grants of others, learners included, don't count.
    fn has_won(&self) -> bool {
        let voters = self.log.membership().voters();
        let (mut all, mut granted) = (0, 0);
        for id in voters {
            all += 1;
            granted += usize::from(self.votes.contains(&id));
        }
        granted > all / 2
    }

    fn become_leader(&mut self, now: Duration) {
        self.role = Role::Leader;
        self.leader = Some(self.cfg.id);
        self.votes.clear();
        self.incoming = None;
        self.progress.clear();
        self.sync_progress(now);
        // A leader commits entries of earlier terms only together with one of
        // its own (Raft, 3.6.2), so it appends one at once.
        self.term_start = self.append_own(EntryKind::Noop, Vec::new());
        self.broadcast(now);
    }

    /// Makes the progress list match the membership.
    pub(crate) fn sync_progress(&mut self, now: Duration) {
        let next = self.log.last_index() + 1;
        let me = self.cfg.id;
        let mut old = std::mem::take(&mut self.progress);
        self.progress = self
            .log
            .membership()
            .members
            .iter()
            .filter(|m| m.id != me)
            .map(|m| match old.iter().position(|p| p.id == m.id) {
                Some(at) => old.swap_remove(at),
                None => Progress::new(m.id, next, now),
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
        let granted = term > self.term && self.is_up_to_date(req) && !self.hears_leader(now);
        let term = if granted { term } else { self.term };
        self.send(from, term, Body::PreVoteReply(VoteReply { granted }));
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
        self.count_vote(from);
        if self.has_won() {
            self.start_election(now);
        }
    }

    /// Votes whatever this member thinks of its own part: the candidate alone
    /// counts by its membership. A learner that was promoted may not know it
    /// yet, and its vote can be needed when a second member fails.
    pub(crate) fn on_vote(&mut self, now: Duration, from: MemberId, term: Term, req: &VoteRequest) {
        let granted = term == self.term
            && (self.vote == 0 || self.vote == from)
            && self.leader.is_none()
            && self.is_up_to_date(req);
        if granted && self.vote == 0 {
            self.vote = from;
            self.hard_dirty = true;
        }
        if granted {
            self.reset_election_timer(now);
        }
        self.send(from, self.term, Body::VoteReply(VoteReply { granted }));
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
        self.count_vote(from);
        if self.has_won() {
            self.become_leader(now);
        }
    }

    fn count_vote(&mut self, from: MemberId) {
        // Only members are counted, so the list stays short.
        if !self.votes.contains(&from) && self.log.membership().get(from).is_some() {
            self.votes.push(from);
        }
    }
}
