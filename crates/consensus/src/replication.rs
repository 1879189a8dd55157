//! Replication of the log: appends, commits, snapshots, read rounds.

use std::collections::VecDeque;
use std::sync::Arc;

use anvilloft_types::prelude::*;

use crate::message::AppendEntries;
use crate::message::AppendEntriesReply;
use crate::message::Body;
use crate::message::InstallSnapshot;
use crate::message::InstallSnapshotReply;
use crate::message::Message;
use crate::message::Snapshot;
use crate::node::MAX_NUMBER;
use crate::node::Node;
use crate::types::LogIndex;
use crate::types::Role;
use crate::types::Term;

/// Largest state that a member accepts from a leader, in bytes. 740,000
/// budgets at about 100 bytes need a tenth of it.
const MAX_SNAPSHOT_BYTES: u64 = 1024 * 1024 * 1024;
/// Entries in one probe, in bytes. Probes to a silent member are repeated with
/// every heartbeat, so they are small.
const PROBE_BYTES: usize = 16 * 1024;
/// Appends to one member without an acknowledgement. With the message size,
/// this bounds the memory for a member that is far behind.
const MAX_INFLIGHT: usize = 64;

/// What a leader knows about another member.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) id: MemberId,
    /// Last entry known to be synced there.
    pub(crate) matched: LogIndex,
    /// Next entry to send.
    pub(crate) next: LogIndex,
    /// Whether one message at a time is sent, to find where the logs part.
    probing: bool,
    /// Position in the snapshot that is being sent, and its index.
    snapshot: Option<(LogIndex, u64)>,
    /// Whether a probe or part of a snapshot waits for its reply.
    waiting: bool,
    /// When a part of a snapshot was last sent.
    part_sent: Duration,
    /// Last index of each append that isn't acknowledged.
    inflight: VecDeque<LogIndex>,
    /// Newest read round that the member acknowledged.
    round: u64,
    /// When the member was last heard from.
    pub(crate) heard: Duration,
}

impl Progress {
    pub(crate) fn new(id: MemberId, next: LogIndex, now: Duration) -> Self {
        Self {
            id,
            matched: 0,
            next,
            probing: true,
            snapshot: None,
            waiting: false,
            part_sent: Duration::ZERO,
            inflight: VecDeque::new(),
            round: 0,
            heard: now,
        }
    }
}

/// A snapshot that arrives in parts.
#[derive(Debug)]
pub(crate) struct Incoming {
    index: LogIndex,
    term: Term,
    state: Vec<u8>,
}

impl Node {
    pub(crate) fn progress_of(&self, id: MemberId) -> Option<&Progress> {
        self.progress.iter().find(|p| p.id == id)
    }

    /// Sends every member a heartbeat with the current read round, and the
    /// entries that it lacks.
    pub(crate) fn broadcast(&mut self, now: Duration) {
        self.heartbeat_due = now + self.cfg.heartbeat_interval;
        for at in 0..self.progress.len() {
            let p = &mut self.progress[at];
            // A lost probe is sent again with the heartbeat. A lost part of a
            // snapshot is large, and sent again less often.
            if p.snapshot.is_none() || now >= p.part_sent + self.cfg.min_election_timeout {
                p.waiting = false;
            }
            self.send_append(now, at, true);
        }
    }

    /// Sends entries that weren't sent yet.
    pub(crate) fn send_new_entries(&mut self, now: Duration) {
        for at in 0..self.progress.len() {
            self.send_append(now, at, false);
        }
    }

    fn send_append(&mut self, now: Duration, at: usize, heartbeat: bool) {
        let (commit, round) = (self.commit, self.round);
        // The list is empty when this member has just stepped down.
        let Some(p) = self.progress.get(at) else {
            return;
        };
        let id = p.id;
        if p.waiting {
            if heartbeat {
                // Matches every log and changes none.
                self.send_early(
                    id,
                    Body::AppendEntries(AppendEntries {
                        round,
                        ..AppendEntries::default()
                    }),
                );
            }
            return;
        }
        let prev_index = p.next - 1;
        let prev_term = self.log.term(prev_index);
        let (Some(prev_term), None) = (prev_term, p.snapshot) else {
            self.send_install(now, at);
            return;
        };
        let entries = if p.probing {
            self.log.slice(p.next, PROBE_BYTES)
        } else if p.inflight.len() < MAX_INFLIGHT {
            self.log.slice(p.next, self.cfg.max_message_bytes)
        } else {
            Vec::new()
        };
        if entries.is_empty() && !heartbeat {
            return;
        }
        let last = prev_index + entries.len() as u64;
        let append = AppendEntries {
            prev_index,
            prev_term,
            entries,
            commit,
            round,
        };
        self.send_early(id, Body::AppendEntries(append));
        let p = &mut self.progress[at];
        if p.probing {
            p.waiting = true;
        } else if last > prev_index {
            p.next = last + 1;
            p.inflight.push_back(last);
            // What one message can't hold goes into the next.
            self.send_append(now, at, false);
        }
    }

    fn send_install(&mut self, now: Duration, at: usize) {
        let Some(s) = self.log.snapshot().map(Arc::clone) else {
            return;
        };
        let p = &mut self.progress[at];
        let offset = match p.snapshot {
            Some((index, offset)) if index == s.index => offset,
            _ => 0,
        };
        p.snapshot = Some((s.index, offset));
        p.waiting = true;
        p.part_sent = now;
        let id = p.id;
        let from = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(s.state.len());
        let to = (from + self.cfg.max_message_bytes).min(s.state.len());
        self.send_early(
            id,
            Body::InstallSnapshot(InstallSnapshot {
                index: s.index,
                last_term: s.term,
                membership: s.membership.clone(),
                total: s.state.len() as u64,
                offset: from as u64,
                data: s.state[from..to].to_vec(),
                round: self.round,
            }),
        );
    }

    fn send_early(&mut self, to: MemberId, body: Body) {
        let msg = Message {
            group: self.cfg.group,
            to,
            term: self.term,
            body: Some(body),
        };
        // A new leader's own vote must be synced before it acts as leader.
        if self.hard_dirty {
            self.out.messages_after_sync.push((to, msg));
        } else {
            self.out.messages_before_sync.push((to, msg));
        }
    }

    /// Follows the sender of an append or snapshot. Returns false when the
    /// sender's term is over.
    fn follow(&mut self, now: Duration, from: MemberId, term: Term) -> bool {
        if term < self.term || self.role == Role::Leader {
            return false;
        }
        if self.role != Role::Follower || self.leader != Some(from) {
            self.become_follower(now, term, Some(from));
        }
        self.leader_heard = Some(now);
        self.reset_election_timer(now);
        true
    }

    pub(crate) fn on_append(
        &mut self,
        now: Duration,
        from: MemberId,
        term: Term,
        mut req: AppendEntries,
    ) {
        let round = req.round;
        if !self.follow(now, from, term) {
            // The reply's term makes a leader of an old term step down.
            self.reply_append(from, false, req.prev_index, 0, round);
            return;
        }
        // Entries at or below the base are committed, hence equal.
        let base = self.log.base_index();
        if req.prev_index < base {
            let skip = usize::try_from(base - req.prev_index).unwrap_or(usize::MAX);
            if req.entries.len() < skip {
                let known = req.prev_index + req.entries.len() as u64;
                self.reply_append(from, true, known, 0, round);
                return;
            }
            req.entries.drain(..skip);
            req.prev_index = base;
            req.prev_term = self.log.term(base).unwrap_or_default();
        }
        if self.log.term(req.prev_index) != Some(req.prev_term) {
            let hint = self.conflict_hint(req.prev_index);
            self.reply_append(from, false, req.prev_index, hint, round);
            return;
        }
        let mut index = req.prev_index;
        for e in req.entries {
            index += 1;
            if e.index != index {
                return;
            }
            match self.log.term(index) {
                Some(t) if t == e.term => continue,
                // An honest leader never replaces a committed entry.
                Some(_) if index <= self.commit => return,
                Some(_) => {
                    self.log.truncate_from(index);
                    self.handed = self.handed.min(index - 1);
                    self.synced = self.synced.min(index - 1);
                }
                None => {}
            }
            self.log.push(e);
        }
        self.commit = self.commit.max(req.commit.min(index));
        self.reply_append(from, true, index, 0, round);
    }

    /// Returns the highest index below `prev` at which the logs may match.
    fn conflict_hint(&self, prev: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if prev > last {
            return last;
        }
        // Skips the whole term that doesn't match.
        let term = self.log.term(prev);
        let mut index = prev;
        while index > self.commit.max(self.log.base_index()) && self.log.term(index) == term {
            index -= 1;
        }
        index
    }

    fn reply_append(
        &mut self,
        to: MemberId,
        stored: bool,
        index: LogIndex,
        hint: LogIndex,
        round: u64,
    ) {
        self.send(
            to,
            self.term,
            Body::AppendEntriesReply(AppendEntriesReply {
                stored,
                index,
                hint,
                round,
            }),
        );
    }

    /// Records a sign of life from a member. Returns its place in the list.
    fn heard(&mut self, now: Duration, from: MemberId, term: Term, round: u64) -> Option<usize> {
        if self.role != Role::Leader || term != self.term {
            return None;
        }
        let at = self.progress.iter().position(|p| p.id == from)?;
        let p = &mut self.progress[at];
        p.heard = p.heard.max(now);
        p.round = p.round.max(round.min(self.round));
        Some(at)
    }

    pub(crate) fn on_append_reply(
        &mut self,
        now: Duration,
        from: MemberId,
        term: Term,
        r: &AppendEntriesReply,
    ) {
        let Some(at) = self.heard(now, from, term, r.round) else {
            return;
        };
        let last = self.log.last_index();
        let p = &mut self.progress[at];
        if r.stored {
            if r.index > last {
                return;
            }
            p.matched = p.matched.max(r.index);
            while p.inflight.front().is_some_and(|at| *at <= p.matched) {
                p.inflight.pop_front();
            }
            // The heartbeat of a waiting member matches index 0 only.
            let probed = !p.probing || r.index >= p.next - 1;
            if p.snapshot.is_none() && probed {
                p.probing = false;
                p.waiting = false;
                p.next = p.next.max(p.matched + 1);
            }
            self.advance_commit(now);
        } else {
            // A reject that was overtaken by a newer reply says nothing.
            let stale = if p.probing {
                r.index != p.next - 1
            } else {
                r.index <= p.matched
            };
            if stale || p.snapshot.is_some() {
                return;
            }
            p.probing = true;
            p.waiting = false;
            p.inflight.clear();
            p.next = r
                .hint
                .saturating_add(1)
                .clamp(p.matched + 1, p.next.max(p.matched + 1));
        }
        self.send_append(now, at, false);
    }

    pub(crate) fn on_install(
        &mut self,
        now: Duration,
        from: MemberId,
        term: Term,
        req: InstallSnapshot,
    ) {
        if !self.follow(now, from, term) {
            self.reply_append(from, false, 0, 0, req.round);
            return;
        }
        let done = |index| InstallSnapshotReply {
            index,
            offset: 0,
            done: true,
            round: req.round,
        };
        let round = req.round;
        if req.index > MAX_NUMBER {
            return;
        }
        if req.index <= self.commit {
            let reply = done(req.index);
            self.send(from, self.term, Body::InstallSnapshotReply(reply));
            return;
        }
        let same = |i: &Incoming| i.index == req.index && i.term == req.last_term;
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = Some(Incoming {
                index: req.index,
                term: req.last_term,
                state: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        let end = incoming.state.len() as u64 + req.data.len() as u64;
        if req.offset == incoming.state.len() as u64 && end <= req.total.min(MAX_SNAPSHOT_BYTES) {
            incoming.state.extend_from_slice(&req.data);
        }
        let offset = incoming.state.len() as u64;
        if offset < req.total {
            let reply = InstallSnapshotReply {
                index: req.index,
                offset,
                done: false,
                round,
            };
            self.send(from, self.term, Body::InstallSnapshotReply(reply));
            return;
        }
        let reply = done(req.index);
        let state = self.incoming.take().map(|i| i.state).unwrap_or_default();
        if self.log.term(req.index) == Some(req.last_term) {
            // The log reaches further than the snapshot and agrees with it.
            self.commit = req.index;
        } else {
            let snapshot = Arc::new(Snapshot {
                group: self.cfg.group,
                index: req.index,
                term: req.last_term,
                membership: req.membership,
                state,
            });
            self.install(snapshot);
        }
        self.send(from, self.term, Body::InstallSnapshotReply(reply));
    }

    pub(crate) fn on_install_reply(
        &mut self,
        now: Duration,
        from: MemberId,
        term: Term,
        r: &InstallSnapshotReply,
    ) {
        let Some(at) = self.heard(now, from, term, r.round) else {
            return;
        };
        let last = self.log.last_index();
        let p = &mut self.progress[at];
        match p.snapshot {
            Some((index, _)) if index == r.index => {}
            _ => return,
        }
        if r.done {
            p.snapshot = None;
            p.waiting = false;
            p.matched = p.matched.max(r.index.min(last));
            p.next = p.matched + 1;
            p.probing = true;
            p.inflight.clear();
            self.advance_commit(now);
        } else if p.snapshot != Some((r.index, r.offset)) {
            p.snapshot = Some((r.index, r.offset));
            p.waiting = false;
        }
        self.send_append(now, at, false);
    }

    /// Commits what a majority of voters has synced.
    pub(crate) fn advance_commit(&mut self, now: Duration) {
        let (me, synced) = (self.cfg.id, self.synced);
        let reached = self.log.membership().majority_value(|id| {
            if id == me {
                synced
            } else {
                self.progress_of(id).map_or(0, |p| p.matched)
            }
        });
        let Some(index) = reached else {
            return;
        };
        // Only entries of this term are committed by counting (3.6.2).
        if index > self.commit && self.log.term(index) == Some(self.term) {
            self.commit = index;
            let removed =
                self.log.membership_index() <= index && self.log.membership().get(me).is_none();
            if removed {
                self.become_follower(now, self.term, None);
            }
        }
    }

    /// Releases reads whose round a majority acknowledged.
    pub(crate) fn confirm_reads(&mut self) {
        let (me, round) = (self.cfg.id, self.round);
        let acked = self.log.membership().majority_value(|id| {
            if id == me {
                round
            } else {
                self.progress_of(id).map_or(0, |p| p.round)
            }
        });
        let acked = acked.unwrap_or(0);
        while let Some(read) = self.reads.front() {
            if read.round > acked || read.index > self.commit {
                break;
            }
            let ctx = read.ctx;
            self.reads.pop_front();
            self.out.confirmed_reads.push(ctx);
        }
    }
}
