//! One member of one group: its state, and the calls that drive it.

use std::collections::VecDeque;
use std::mem;
use std::sync::Arc;

use anvilloft_types::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::error::ProposeError;
use crate::log::Log;
use crate::message::Body;
use crate::message::Entry;
use crate::message::EntryKind;
use crate::message::HardState;
use crate::message::Membership;
use crate::message::Message;
use crate::message::Snapshot;
use crate::replication::Incoming;
use crate::replication::Progress;
use crate::types::Effects;
use crate::types::LogIndex;
use crate::types::NodeConfig;
use crate::types::PersistToken;
use crate::types::RestoredState;
use crate::types::Role;
use crate::types::Term;

/// Largest term or snapshot index that is taken from a message. Far beyond any
/// real one, it keeps additions from overflowing.
pub(crate) const MAX_NUMBER: u64 = 1 << 62;

/// A read that waits for its round to be acknowledged by a majority, and for
/// its index to be committed.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) ctx: u64,
    pub(crate) round: u64,
    pub(crate) index: LogIndex,
}

/// One member of one group.
#[derive(Debug)]
pub struct Node {
    pub(crate) cfg: NodeConfig,
    pub(crate) rng: StdRng,
    pub(crate) term: Term,
    pub(crate) vote: MemberId,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    pub(crate) log: Log,
    pub(crate) commit: LogIndex,
    /// Last entry handed out in `Effects::committed`.
    applied: LogIndex,
    /// Last entry handed out in `Effects::entries`.
    pub(crate) handed: LogIndex,
    /// Last entry that is synced on this member.
    pub(crate) synced: LogIndex,
    /// When this member last heard from the leader of its term.
    pub(crate) leader_heard: Option<Duration>,
    pub(crate) election_due: Duration,
    pub(crate) heartbeat_due: Duration,
    /// Members that granted the current pre-vote or vote.
    pub(crate) votes: Vec<MemberId>,
    /// Leader only: the other members, sorted by id.
    pub(crate) progress: Vec<Progress>,
    /// Leader only: index of the first entry of its term.
    pub(crate) term_start: LogIndex,
    /// Leader only: number of the newest read round.
    pub(crate) round: u64,
    pub(crate) reads: VecDeque<PendingRead>,
    /// Snapshot that is being received.
    pub(crate) incoming: Option<Incoming>,
    pub(crate) hard_dirty: bool,
    pub(crate) out: Effects,
}

impl Node {
    /// Builds a member from what its data folder holds. `seed` drives the
    /// choice of election timeouts.
    pub fn new(cfg: NodeConfig, restored: RestoredState, now: Duration, seed: u64) -> Self {
        let log = Log::new(restored.snapshot, restored.entries);
        let base = log.base_index();
        let last = log.last_index();
        let HardState { term, vote, .. } = restored.hard_state;
        let mut node = Self {
            cfg,
            rng: StdRng::seed_from_u64(seed),
            term: term.max(log.last_term()),
            vote: if term < log.last_term() { 0 } else { vote },
            role: Role::Follower,
            leader: None,
            log,
            commit: base,
            applied: base,
            handed: last,
            synced: last,
            leader_heard: None,
            election_due: Duration::ZERO,
            heartbeat_due: Duration::ZERO,
            votes: Vec::new(),
            progress: Vec::new(),
            term_start: 0,
            round: 0,
            reads: VecDeque::new(),
            incoming: None,
            hard_dirty: false,
            out: Effects::default(),
        };
        node.first_election_timer(now);
        if node.log.membership().voters().eq([node.cfg.id]) {
            // No other member can lead, so there is nobody to wait for.
            node.election_due = now;
        }
        node
    }

    /// Lets time pass: elections, heartbeats and check-quorum.
    pub fn tick(&mut self, now: Duration) {
        if self.role == Role::Leader {
            if !self.hears_majority(now) {
                self.become_follower(now, self.term, None);
            } else if now >= self.heartbeat_due {
                self.broadcast(now);
            }
        } else if now >= self.election_due {
            self.reset_election_timer(now);
            self.leader = None;
            if self.log.membership().is_voter(self.cfg.id) {
                self.start_pre_vote(now);
            }
        }
    }

    /// Returns the time by which `tick` must be called.
    pub fn deadline(&self) -> Duration {
        match self.role {
            Role::Leader => self.heartbeat_due,
            _ => self.election_due,
        }
    }

    /// Takes a message from another member.
    pub fn step(&mut self, now: Duration, from: MemberId, msg: Message) {
        if msg.group != self.cfg.group || msg.to != self.cfg.id || from == self.cfg.id {
            return;
        }
        let Some(body) = msg.body else {
            return;
        };
        if msg.term > MAX_NUMBER {
            return;
        }
        // A pre-vote and its grant carry the term asked about, which nobody
        // has entered yet.
        let prospective = match &body {
            Body::PreVote(_) => true,
            Body::PreVoteReply(r) => r.granted,
            _ => false,
        };
        if msg.term > self.term && !prospective {
            // A member that hears from a leader ignores candidates, so that a
            // removed or returning member can't depose it.
            if matches!(body, Body::Vote(_)) && self.hears_leader(now) {
                return;
            }
            self.become_follower(now, msg.term, None);
        }
        match body {
            Body::PreVote(req) => self.on_pre_vote(now, from, msg.term, &req),
            Body::PreVoteReply(r) => self.on_pre_vote_reply(now, from, msg.term, &r),
            Body::Vote(req) => self.on_vote(now, from, msg.term, &req),
            Body::VoteReply(r) => self.on_vote_reply(now, from, msg.term, &r),
            Body::AppendEntries(req) => self.on_append(now, from, msg.term, req),
            Body::AppendEntriesReply(r) => self.on_append_reply(now, from, msg.term, &r),
            Body::InstallSnapshot(req) => self.on_install(now, from, msg.term, req),
            Body::InstallSnapshotReply(r) => self.on_install_reply(now, from, msg.term, &r),
        }
    }

    /// Appends a command. It is sent and persisted by the next
    /// [`take_effects`](Self::take_effects), together with all others that
    /// were proposed until then.
    ///
    /// # Errors
    ///
    /// Fails on a member that doesn't lead, when too many entries are
    /// uncommitted and when the command is too long.
    pub fn propose(&mut self, _now: Duration, data: Vec<u8>) -> Result<LogIndex, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader);
        }
        if data.len() > self.cfg.max_entry_bytes {
            return Err(ProposeError::TooLarge(data.len()));
        }
        if self.log.last_index() - self.commit >= self.cfg.max_uncommitted_entries {
            return Err(ProposeError::Busy);
        }
        Ok(self.append_own(EntryKind::Command, data))
    }

    /// Asks for a read at or after this moment. `ctx` comes back in
    /// `Effects::confirmed_reads` or `Effects::failed_reads`.
    ///
    /// # Errors
    ///
    /// Fails on a member that doesn't lead and when too many reads wait.
    pub fn request_read(&mut self, _now: Duration, ctx: u64) -> Result<(), ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader);
        }
        if self.reads.len() >= self.cfg.max_pending_reads {
            return Err(ProposeError::Busy);
        }
        self.reads.push_back(PendingRead {
            ctx,
            // Only replies to messages sent after this moment count.
            round: self.round + 1,
            // Until an entry of its own term is committed, a leader doesn't
            // know everything that was committed before.
            index: self.commit.max(self.term_start),
        });
        Ok(())
    }

    /// Returns what the caller must do now. See [`Effects`] for the order.
    pub fn take_effects(&mut self, now: Duration) -> Effects {
        if self.role == Role::Leader {
            if self.reads.back().is_some_and(|r| r.round > self.round) {
                self.round += 1;
                self.broadcast(now);
            } else {
                self.send_new_entries(now);
            }
            self.advance_commit(now);
            self.confirm_reads();
        }
        let mut out = mem::take(&mut self.out);
        if mem::take(&mut self.hard_dirty) {
            out.hard_state = Some(HardState {
                group: self.cfg.group,
                term: self.term,
                vote: self.vote,
            });
        }
        out.entries = self.log.slice(self.handed + 1, usize::MAX);
        self.handed = self.log.last_index();
        out.token = PersistToken {
            index: self.log.last_index(),
            term: self.log.last_term(),
        };
        while self.applied < self.commit {
            let Some(e) = self.log.get(self.applied + 1) else {
                break;
            };
            out.committed.push(e.clone());
            self.applied += 1;
        }
        out
    }

    /// Records that the entries of an [`Effects`] are synced.
    pub fn on_persisted(&mut self, now: Duration, token: PersistToken) {
        if self.log.term(token.index) == Some(token.term) && token.index > self.synced {
            self.synced = token.index;
            if self.role == Role::Leader {
                self.advance_commit(now);
            }
        }
    }

    /// Replaces the log up to an applied entry by the state after it. The
    /// snapshot to persist comes with the next effects.
    pub fn compact(&mut self, through: LogIndex, state: Vec<u8>) {
        if let Some(s) = self.build_snapshot(through, state) {
            self.compact_to(s);
        }
    }

    /// Returns the snapshot at an applied entry, for a caller that writes it
    /// ahead of [`compact_to`](Self::compact_to). Returns `None` when a newer
    /// one exists.
    pub fn build_snapshot(&self, through: LogIndex, state: Vec<u8>) -> Option<Arc<Snapshot>> {
        if through > self.applied {
            return None;
        }
        self.log.build_snapshot(self.cfg.group, through, state)
    }

    /// Like [`compact`](Self::compact), with a snapshot from
    /// [`build_snapshot`](Self::build_snapshot).
    pub fn compact_to(&mut self, snapshot: Arc<Snapshot>) {
        // A leader's snapshot may have come in between.
        let newest = self.log.snapshot().map_or(0, |s| s.index);
        if snapshot.index > newest && snapshot.index <= self.applied {
            self.log
                .compact(Arc::clone(&snapshot), self.cfg.trailing_entries);
            self.out.snapshot = Some(snapshot);
        }
    }

    /// Returns entries that were handed out in `Effects::committed`, from an
    /// index on, up to a size in bytes, at least one. Entries far below the
    /// newest snapshot are not kept.
    pub fn applied_entries(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut entries = self.log.slice(from, max_bytes);
        entries.retain(|e| e.index <= self.applied);
        entries
    }

    /// Returns the identity of this member.
    pub fn id(&self) -> MemberId {
        self.cfg.id
    }

    /// Returns the part that this member plays.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the leader of the current term, where known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Returns the membership in force, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the index of the last committed entry.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.log.snapshot()
    }

    /// Returns whether this leader has handed out an entry of its own term in
    /// `Effects::committed`. A state machine that applied it includes
    /// everything that was committed before the term.
    pub fn is_leader_ready(&self) -> bool {
        self.role == Role::Leader && self.applied >= self.term_start
    }

    pub(crate) fn append_own(&mut self, kind: EntryKind, data: Vec<u8>) -> LogIndex {
        let index = self.log.last_index() + 1;
        self.log.push(Entry {
            index,
            term: self.term,
            kind: kind.into(),
            data,
        });
        index
    }

    /// Records that the state machine starts over from a snapshot.
    pub(crate) fn set_applied(&mut self, index: LogIndex) {
        self.applied = index;
    }

    /// Queues a message that must not leave before the sync.
    pub(crate) fn send(&mut self, to: MemberId, term: Term, body: Body) {
        let group = self.cfg.group;
        self.out.messages_after_sync.push((
            to,
            Message {
                group,
                to,
                term,
                body: Some(body),
            },
        ));
    }
}
