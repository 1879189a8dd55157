//! State of one group member, and the methods that drive it.

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
use crate::replication::IncomingSnapshot;
use crate::replication::Progress;
use crate::types::Effects;
use crate::types::LogIndex;
use crate::types::NodeConfig;
use crate::types::PersistToken;
use crate::types::RestoredState;
use crate::types::Role;
use crate::types::Term;

/// Maximum term or snapshot index accepted from a message. It is far beyond any
/// real value and keeps additions from overflowing.
pub(crate) const MAX_TERM_OR_INDEX: u64 = 1 << 62;

/// A read that waits until a majority acknowledges its read round and its index
/// is committed.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) ctx: u64,
    pub(crate) read_round: u64,
    pub(crate) index: LogIndex,
}

/// One member of a replicated group.
#[derive(Debug)]
pub struct Node {
    pub(crate) cfg: NodeConfig,
    pub(crate) rng: StdRng,
    pub(crate) term: Term,
    pub(crate) vote: MemberId,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    pub(crate) log: Log,
    pub(crate) commit_index: LogIndex,
    /// Index of the last entry returned in `Effects::committed`.
    applied_index: LogIndex,
    /// Index of the last entry returned in `Effects::entries`.
    pub(crate) emitted_index: LogIndex,
    /// Index of the last entry that is synced on this member.
    pub(crate) synced_index: LogIndex,
    /// Time of the last message from the leader of the current term.
    pub(crate) last_leader_contact: Option<Duration>,
    pub(crate) election_deadline: Duration,
    pub(crate) heartbeat_deadline: Duration,
    /// Members that granted the current pre-vote or vote.
    pub(crate) votes: Vec<MemberId>,
    /// Leader only: replication progress of the other members, sorted by id.
    pub(crate) progress: Vec<Progress>,
    /// Leader only: index of the first entry of the leader's term.
    pub(crate) term_start_index: LogIndex,
    /// Leader only: number of the newest read-index round.
    pub(crate) read_round: u64,
    pub(crate) pending_reads: VecDeque<PendingRead>,
    /// Snapshot that is being received in chunks.
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) hard_state_changed: bool,
    pub(crate) effects: Effects,
}

impl Node {
    /// Creates a member from its restored state. Election timeouts are drawn from
    /// a generator seeded with `seed`.
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
            commit_index: base,
            applied_index: base,
            emitted_index: last,
            synced_index: last,
            last_leader_contact: None,
            election_deadline: Duration::ZERO,
            heartbeat_deadline: Duration::ZERO,
            votes: Vec::new(),
            progress: Vec::new(),
            term_start_index: 0,
            read_round: 0,
            pending_reads: VecDeque::new(),
            incoming_snapshot: None,
            hard_state_changed: false,
            effects: Effects::default(),
        };
        node.start_first_election_timer(now);
        if node.log.membership().voters().eq([node.cfg.id]) {
            // No other member can become leader, so there is none to wait for.
            node.election_deadline = now;
        }
        node
    }

    /// Runs the work that is due: elections, heartbeats and check-quorum.
    pub fn tick(&mut self, now: Duration) {
        if self.role == Role::Leader {
            if !self.has_quorum_contact(now) {
                self.become_follower(now, self.term, None);
            } else if now >= self.heartbeat_deadline {
                self.broadcast(now);
            }
        } else if now >= self.election_deadline {
            self.reset_election_timer(now);
            self.leader = None;
            if self.log.membership().is_voter(self.cfg.id) {
                self.start_pre_vote(now);
            }
        }
    }

    /// Returns the time at which `tick` must next be called.
    pub fn deadline(&self) -> Duration {
        match self.role {
            Role::Leader => self.heartbeat_deadline,
            _ => self.election_deadline,
        }
    }

    /// Handles a message from another member.
    pub fn step(&mut self, now: Duration, from: MemberId, msg: Message) {
        if msg.group != self.cfg.group || msg.to != self.cfg.id || from == self.cfg.id {
            return;
        }
        let Some(body) = msg.body else {
            return;
        };
        if msg.term > MAX_TERM_OR_INDEX {
            return;
        }
        // A pre-vote and its grant carry the term of the prospective election,
        // which no member has entered yet.
        let prospective = match &body {
            Body::PreVote(_) => true,
            Body::PreVoteReply(r) => r.granted,
            _ => false,
        };
        if msg.term > self.term && !prospective {
            // A member in contact with a leader ignores candidates, so that a
            // removed or returning member can't depose the leader.
            if matches!(body, Body::Vote(_)) && self.has_active_leader(now) {
                return;
            }
            self.become_follower(now, msg.term, None);
        }
        match body {
            Body::PreVote(req) => self.on_pre_vote(now, from, msg.term, &req),
            Body::PreVoteReply(r) => self.on_pre_vote_reply(now, from, msg.term, &r),
            Body::Vote(req) => self.on_vote(now, from, msg.term, &req),
            Body::VoteReply(r) => self.on_vote_reply(now, from, msg.term, &r),
            Body::AppendEntries(req) => self.on_append_entries(now, from, msg.term, req),
            Body::AppendEntriesReply(r) => self.on_append_entries_reply(now, from, msg.term, &r),
            Body::InstallSnapshot(req) => self.on_install_snapshot(now, from, msg.term, req),
            Body::InstallSnapshotReply(r) => {
                self.on_install_snapshot_reply(now, from, msg.term, &r)
            }
        }
    }

    /// Appends a command to the log. The next
    /// [`take_effects`](Self::take_effects) returns it for sending and
    /// persisting, together with all others proposed until then.
    ///
    /// # Errors
    ///
    /// Fails if this member isn't the leader, if too many entries are uncommitted
    /// and if the command is too large.
    pub fn propose(&mut self, _now: Duration, data: Vec<u8>) -> Result<LogIndex, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader);
        }
        if data.len() > self.cfg.max_entry_bytes {
            return Err(ProposeError::TooLarge(data.len()));
        }
        if self.log.last_index() - self.commit_index >= self.cfg.max_uncommitted_entries {
            return Err(ProposeError::Busy);
        }
        Ok(self.append_as_leader(EntryKind::Command, data))
    }

    /// Requests a linearizable read of the state at or after this call. `ctx` is
    /// returned in `Effects::confirmed_reads` or `Effects::failed_reads`.
    ///
    /// # Errors
    ///
    /// Fails if this member isn't the leader and if too many reads are waiting.
    pub fn request_read(&mut self, _now: Duration, ctx: u64) -> Result<(), ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader);
        }
        if self.pending_reads.len() >= self.cfg.max_pending_reads {
            return Err(ProposeError::Busy);
        }
        self.pending_reads.push_back(PendingRead {
            ctx,
            // Only replies to messages sent after this call count.
            read_round: self.read_round + 1,
            // Until an entry of its own term is committed, a leader may not know
            // every entry that was committed before.
            index: self.commit_index.max(self.term_start_index),
        });
        Ok(())
    }

    /// Returns the work that the caller must carry out now. See [`Effects`] for
    /// the order.
    pub fn take_effects(&mut self, now: Duration) -> Effects {
        if self.role == Role::Leader {
            if self
                .pending_reads
                .back()
                .is_some_and(|r| r.read_round > self.read_round)
            {
                self.read_round += 1;
                self.broadcast(now);
            } else {
                self.send_new_entries(now);
            }
            self.advance_commit(now);
            self.confirm_reads();
        }
        let mut fx = mem::take(&mut self.effects);
        if mem::take(&mut self.hard_state_changed) {
            fx.hard_state = Some(HardState {
                group: self.cfg.group,
                term: self.term,
                vote: self.vote,
            });
        }
        fx.entries = self.log.slice(self.emitted_index + 1, usize::MAX);
        self.emitted_index = self.log.last_index();
        fx.token = PersistToken {
            index: self.log.last_index(),
            term: self.log.last_term(),
        };
        while self.applied_index < self.commit_index {
            let Some(e) = self.log.get(self.applied_index + 1) else {
                break;
            };
            fx.committed.push(e.clone());
            self.applied_index += 1;
        }
        fx
    }

    /// Records that the entries of an [`Effects`] are synced.
    pub fn on_persisted(&mut self, now: Duration, token: PersistToken) {
        if self.log.term(token.index) == Some(token.term) && token.index > self.synced_index {
            self.synced_index = token.index;
            if self.role == Role::Leader {
                self.advance_commit(now);
            }
        }
    }

    /// Replaces the log up to an applied entry with a snapshot of the state after
    /// it. The next effects contain the snapshot to persist.
    pub fn compact(&mut self, through: LogIndex, state: Vec<u8>) {
        if let Some(s) = self.build_snapshot(through, state) {
            self.compact_to(s);
        }
    }

    /// Builds a snapshot at an applied entry, for a caller that writes it ahead of
    /// [`compact_to`](Self::compact_to). Returns `None` if the entry isn't applied
    /// or no longer in memory, or if an equal or newer snapshot exists.
    pub fn build_snapshot(&self, through: LogIndex, state: Vec<u8>) -> Option<Arc<Snapshot>> {
        if through > self.applied_index {
            return None;
        }
        self.log.build_snapshot(self.cfg.group, through, state)
    }

    /// Like [`compact`](Self::compact), with a snapshot from
    /// [`build_snapshot`](Self::build_snapshot).
    pub fn compact_to(&mut self, snapshot: Arc<Snapshot>) {
        // A snapshot from a leader may have been installed in between.
        let newest = self.log.snapshot().map_or(0, |s| s.index);
        if snapshot.index > newest && snapshot.index <= self.applied_index {
            self.log
                .compact(Arc::clone(&snapshot), self.cfg.trailing_entries);
            self.effects.snapshot = Some(snapshot);
        }
    }

    /// Returns entries that were returned in `Effects::committed`, starting at
    /// `from` and limited to `max_bytes`, but at least one. Entries far below the
    /// newest snapshot are no longer available.
    pub fn applied_entries(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut entries = self.log.slice(from, max_bytes);
        entries.retain(|e| e.index <= self.applied_index);
        entries
    }

    /// Returns the id of this member.
    pub fn id(&self) -> MemberId {
        self.cfg.id
    }

    /// Returns the Raft role of this member.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Returns the members that granted the current pre-vote or vote.
    pub fn votes(&self) -> &[MemberId] {
        &self.votes
    }

    /// Returns the newest membership, whether or not it is committed.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the index of the last committed entry.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.log.snapshot()
    }

    /// Returns whether this member is the leader and has returned an entry of its
    /// own term in `Effects::committed`. A state machine that applied that entry
    /// includes everything that was committed before the term.
    pub fn is_leader_ready(&self) -> bool {
        self.role == Role::Leader && self.applied_index >= self.term_start_index
    }

    pub(crate) fn append_as_leader(&mut self, kind: EntryKind, data: Vec<u8>) -> LogIndex {
        let index = self.log.last_index() + 1;
        self.log.push(Entry {
            index,
            term: self.term,
            kind: kind.into(),
            data,
        });
        index
    }

    /// Records that the state machine was replaced with a snapshot at `index`.
    pub(crate) fn set_applied_index(&mut self, index: LogIndex) {
        self.applied_index = index;
    }

    /// Queues a message that must not be sent before the sync.
    pub(crate) fn send_after_sync(&mut self, to: MemberId, term: Term, body: Body) {
        let group = self.cfg.group;
        self.effects.messages_after_sync.push((
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
