//! Log replication: appends, commits, snapshot transfer and read-index rounds.

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
use crate::node::MAX_TERM_OR_INDEX;
use crate::node::Node;
use crate::types::LogIndex;
use crate::types::Role;
use crate::types::Term;

/// Maximum size of a snapshot accepted from a leader, in bytes. 740,000 budgets
/// of about 100 bytes each take less than a tenth of it.
const MAX_SNAPSHOT_BYTES: u64 = 1024 * 1024 * 1024;
/// Maximum size of the entries in one probe, in bytes. Probes to an unresponsive
/// member are repeated with every heartbeat, so they are kept small.
const MAX_PROBE_BYTES: usize = 16 * 1024;
/// Maximum number of unacknowledged appends to one member. Together with the
/// message size, it bounds the memory used for a member that is far behind.
const MAX_IN_FLIGHT_APPENDS: usize = 64;

/// Replication progress of another member, as tracked by the leader.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) id: MemberId,
    /// Index of the last entry known to be synced on the member.
    pub(crate) match_index: LogIndex,
    /// Index of the next entry to send.
    pub(crate) next_index: LogIndex,
    /// Whether appends are sent one at a time, to find the last index at which
    /// the logs match.
    probing: bool,
    /// Index of the snapshot that is being sent, and the offset of the next chunk.
    snapshot_transfer: Option<(LogIndex, u64)>,
    /// Whether a probe or snapshot chunk is waiting for its reply.
    awaiting_reply: bool,
    /// Time at which a snapshot chunk was last sent.
    last_chunk_sent: Duration,
    /// Last index of each unacknowledged append.
    in_flight: VecDeque<LogIndex>,
    /// Newest read-index round that the member acknowledged.
    read_round: u64,
    /// Time at which a reply from the member was last received.
    pub(crate) last_contact: Duration,
    pub(crate) has_replied: bool,
    pub(crate) catch_up: CatchUpRound,
}

/// Round of replication to a member (Ongaro's thesis, 4.2.1): it ends once the member
/// has synced every entry that the log held at its start.
#[derive(Debug)]
pub(crate) struct CatchUpRound {
    target: LogIndex,
    start: Duration,
    /// Duration of the round before, if there was one.
    last: Option<Duration>,
}

impl CatchUpRound {
    fn new(now: Duration, target: LogIndex) -> Self {
        Self {
            target,
            start: now,
            last: None,
        }
    }

    fn record_match(&mut self, now: Duration, match_index: LogIndex, last_index: LogIndex) {
        if match_index >= self.target {
            self.last = Some(now.saturating_sub(self.start));
            self.target = last_index;
            self.start = now;
        }
    }

    /// Returns whether the last round was shorter than `limit`, and the current one
    /// isn't longer so far.
    pub(crate) fn is_shorter_than(&self, now: Duration, limit: Duration) -> bool {
        self.last.is_some_and(|last| last < limit) && now < self.start + limit
    }
}

impl Progress {
    pub(crate) fn new(id: MemberId, next_index: LogIndex, now: Duration) -> Self {
        Self {
            id,
            match_index: 0,
            next_index,
            probing: true,
            snapshot_transfer: None,
            awaiting_reply: false,
            last_chunk_sent: Duration::ZERO,
            in_flight: VecDeque::new(),
            read_round: 0,
            last_contact: now,
            has_replied: false,
            catch_up: CatchUpRound::new(now, next_index.saturating_sub(1)),
        }
    }

    fn record_match(&mut self, now: Duration, index: LogIndex, last_index: LogIndex) {
        self.match_index = self.match_index.max(index);
        self.catch_up
            .record_match(now, self.match_index, last_index);
    }
}

/// A snapshot that is being received in chunks.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    index: LogIndex,
    term: Term,
    state: Vec<u8>,
}

impl Node {
    pub(crate) fn progress_of(&self, id: MemberId) -> Option<&Progress> {
        self.progress.iter().find(|p| p.id == id)
    }

    /// Sends every member a heartbeat with the current read-index round, together
    /// with the entries that it lacks.
    pub(crate) fn broadcast(&mut self, now: Duration) {
        self.heartbeat_deadline = now + self.cfg.heartbeat_interval;
        for i in 0..self.progress.len() {
            let p = &mut self.progress[i];
            // A lost probe is sent again with the heartbeat. A lost snapshot
            // chunk is large and sent again less often.
            if p.snapshot_transfer.is_none()
                || now >= p.last_chunk_sent + self.cfg.min_election_timeout
            {
                p.awaiting_reply = false;
            }
            self.send_append_entries(now, i, true);
        }
    }

    /// Sends every member the entries that weren't sent to it yet.
    pub(crate) fn send_new_entries(&mut self, now: Duration) {
        for i in 0..self.progress.len() {
            self.send_append_entries(now, i, false);
        }
    }

    fn send_append_entries(&mut self, now: Duration, i: usize, heartbeat: bool) {
        let (leader_commit, read_round) = (self.commit_index, self.read_round);
        // The list is empty when this member has just stepped down.
        let Some(p) = self.progress.get(i) else {
            return;
        };
        let id = p.id;
        if p.awaiting_reply {
            if heartbeat {
                // An empty append at index 0 matches every log and changes none.
                self.send_before_sync(
                    id,
                    Body::AppendEntries(AppendEntries {
                        read_round,
                        ..AppendEntries::default()
                    }),
                );
            }
            return;
        }
        let prev_index = p.next_index - 1;
        let prev_term = self.log.term(prev_index);
        let (Some(prev_term), None) = (prev_term, p.snapshot_transfer) else {
            self.send_snapshot_chunk(now, i);
            return;
        };
        let entries = if p.probing {
            self.log.slice(p.next_index, MAX_PROBE_BYTES)
        } else if p.in_flight.len() < MAX_IN_FLIGHT_APPENDS {
            self.log.slice(p.next_index, self.cfg.max_message_bytes)
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
            leader_commit,
            read_round,
        };
        self.send_before_sync(id, Body::AppendEntries(append));
        let p = &mut self.progress[i];
        if p.probing {
            p.awaiting_reply = true;
        } else if last > prev_index {
            p.next_index = last + 1;
            p.in_flight.push_back(last);
            // Entries beyond the message size go into the next message.
            self.send_append_entries(now, i, false);
        }
    }

    fn send_snapshot_chunk(&mut self, now: Duration, i: usize) {
        let Some(s) = self.log.snapshot().map(Arc::clone) else {
            return;
        };
        let p = &mut self.progress[i];
        let offset = match p.snapshot_transfer {
            Some((index, offset)) if index == s.index => offset,
            _ => 0,
        };
        p.snapshot_transfer = Some((s.index, offset));
        p.awaiting_reply = true;
        p.last_chunk_sent = now;
        let id = p.id;
        let from = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(s.state.len());
        let to = (from + self.cfg.max_message_bytes).min(s.state.len());
        self.send_before_sync(
            id,
            Body::InstallSnapshot(InstallSnapshot {
                index: s.index,
                last_term: s.term,
                membership: s.membership.clone(),
                total_bytes: s.state.len() as u64,
                offset: from as u64,
                data: s.state[from..to].to_vec(),
                read_round: self.read_round,
            }),
        );
    }

    fn send_before_sync(&mut self, to: MemberId, body: Body) {
        let msg = Message {
            group: self.cfg.group,
            to,
            term: self.term,
            body: Some(body),
        };
        // A new leader's own vote must be synced before it acts as leader.
        if self.hard_state_changed {
            self.effects.messages_after_sync.push((to, msg));
        } else {
            self.effects.messages_before_sync.push((to, msg));
        }
    }

    /// Accepts the sender of an append or snapshot as leader. Returns false if the
    /// sender's term is outdated.
    fn accept_leader(&mut self, now: Duration, from: MemberId, term: Term) -> bool {
        if term < self.term || self.role == Role::Leader {
            return false;
        }
        if self.role != Role::Follower || self.leader != Some(from) {
            self.become_follower(now, term, Some(from));
        }
        self.last_leader_contact = Some(now);
        self.reset_election_timer(now);
        true
    }

    pub(crate) fn on_append_entries(
        &mut self,
        now: Duration,
        from: MemberId,
        term: Term,
        mut req: AppendEntries,
    ) {
        let read_round = req.read_round;
        if !self.accept_leader(now, from, term) {
            // The term in the reply makes an outdated leader step down.
            self.send_append_entries_reply(from, false, req.prev_index, 0, read_round);
            return;
        }
        // Entries at or below the base are committed, so they are identical.
        let base = self.log.base_index();
        if req.prev_index < base {
            let skip = usize::try_from(base - req.prev_index).unwrap_or(usize::MAX);
            if req.entries.len() < skip {
                let known = req.prev_index + req.entries.len() as u64;
                self.send_append_entries_reply(from, true, known, 0, read_round);
                return;
            }
            req.entries.drain(..skip);
            req.prev_index = base;
            req.prev_term = self.log.term(base).unwrap_or_default();
        }
        if self.log.term(req.prev_index) != Some(req.prev_term) {
            let hint = self.conflict_hint(req.prev_index);
            self.send_append_entries_reply(from, false, req.prev_index, hint, read_round);
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
                // A correct leader never replaces a committed entry.
                Some(_) if index <= self.commit_index => return,
                Some(_) => {
                    self.log.truncate_from(index);
                    self.emitted_index = self.emitted_index.min(index - 1);
                    self.synced_index = self.synced_index.min(index - 1);
                }
                None => {}
            }
            self.log.push(e);
        }
        self.commit_index = self.commit_index.max(req.leader_commit.min(index));
        self.send_append_entries_reply(from, true, index, 0, read_round);
    }

    /// Returns the highest index below `prev_index` at which the logs may match.
    fn conflict_hint(&self, prev_index: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if prev_index > last {
            return last;
        }
        // Skips all entries of the conflicting term.
        let term = self.log.term(prev_index);
        let mut index = prev_index;
        while index > self.commit_index.max(self.log.base_index()) && self.log.term(index) == term {
            index -= 1;
        }
        index
    }

    fn send_append_entries_reply(
        &mut self,
        to: MemberId,
        stored: bool,
        index: LogIndex,
        hint: LogIndex,
        read_round: u64,
    ) {
        self.send_after_sync(
            to,
            self.term,
            Body::AppendEntriesReply(AppendEntriesReply {
                stored,
                index,
                hint,
                read_round,
            }),
        );
    }

    /// Records a reply from a member. Returns the position of the member in
    /// `progress`, or `None` if the reply must be ignored.
    fn record_contact(
        &mut self,
        now: Duration,
        from: MemberId,
        term: Term,
        read_round: u64,
    ) -> Option<usize> {
        if self.role != Role::Leader || term != self.term {
            return None;
        }
        let i = self.progress.iter().position(|p| p.id == from)?;
        let p = &mut self.progress[i];
        p.last_contact = p.last_contact.max(now);
        p.has_replied = true;
        p.read_round = p.read_round.max(read_round.min(self.read_round));
        Some(i)
    }

    pub(crate) fn on_append_entries_reply(
        &mut self,
        now: Duration,
        from: MemberId,
        term: Term,
        r: &AppendEntriesReply,
    ) {
        let Some(i) = self.record_contact(now, from, term, r.read_round) else {
            return;
        };
        let last = self.log.last_index();
        let p = &mut self.progress[i];
        if r.stored {
            if r.index > last {
                return;
            }
            p.record_match(now, r.index, last);
            while p
                .in_flight
                .front()
                .is_some_and(|sent| *sent <= p.match_index)
            {
                p.in_flight.pop_front();
            }
            // While a probe is unanswered, heartbeats match at index 0 only.
            let probed = !p.probing || r.index >= p.next_index - 1;
            if p.snapshot_transfer.is_none() && probed {
                p.probing = false;
                p.awaiting_reply = false;
                p.next_index = p.next_index.max(p.match_index + 1);
            }
            self.advance_commit(now);
        } else {
            // A rejection that was overtaken by a newer reply is ignored.
            let stale = if p.probing {
                r.index != p.next_index - 1
            } else {
                r.index <= p.match_index
            };
            if stale || p.snapshot_transfer.is_some() {
                return;
            }
            p.probing = true;
            p.awaiting_reply = false;
            p.in_flight.clear();
            p.next_index = r
                .hint
                .saturating_add(1)
                .clamp(p.match_index + 1, p.next_index.max(p.match_index + 1));
        }
        self.send_append_entries(now, i, false);
    }

    pub(crate) fn on_install_snapshot(
        &mut self,
        now: Duration,
        from: MemberId,
        term: Term,
        req: InstallSnapshot,
    ) {
        if !self.accept_leader(now, from, term) {
            self.send_append_entries_reply(from, false, 0, 0, req.read_round);
            return;
        }
        let done_reply = |index| InstallSnapshotReply {
            index,
            offset: 0,
            done: true,
            read_round: req.read_round,
        };
        let read_round = req.read_round;
        if req.index > MAX_TERM_OR_INDEX {
            return;
        }
        if req.index <= self.commit_index {
            let reply = done_reply(req.index);
            self.send_after_sync(from, self.term, Body::InstallSnapshotReply(reply));
            return;
        }
        let is_same = |i: &IncomingSnapshot| i.index == req.index && i.term == req.last_term;
        if !self.incoming_snapshot.as_ref().is_some_and(is_same) {
            self.incoming_snapshot = Some(IncomingSnapshot {
                index: req.index,
                term: req.last_term,
                state: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming_snapshot else {
            return;
        };
        let end = incoming.state.len() as u64 + req.data.len() as u64;
        if req.offset == incoming.state.len() as u64
            && end <= req.total_bytes.min(MAX_SNAPSHOT_BYTES)
        {
            incoming.state.extend_from_slice(&req.data);
        }
        let offset = incoming.state.len() as u64;
        if offset < req.total_bytes {
            let reply = InstallSnapshotReply {
                index: req.index,
                offset,
                done: false,
                read_round,
            };
            self.send_after_sync(from, self.term, Body::InstallSnapshotReply(reply));
            return;
        }
        let reply = done_reply(req.index);
        let state = self
            .incoming_snapshot
            .take()
            .map(|i| i.state)
            .unwrap_or_default();
        if self.log.term(req.index) == Some(req.last_term) {
            // The log already contains the snapshot's last entry.
            self.commit_index = req.index;
        } else {
            let snapshot = Arc::new(Snapshot {
                group: self.cfg.group,
                index: req.index,
                term: req.last_term,
                membership: req.membership,
                state,
            });
            self.install_snapshot(snapshot);
        }
        self.send_after_sync(from, self.term, Body::InstallSnapshotReply(reply));
    }

    pub(crate) fn on_install_snapshot_reply(
        &mut self,
        now: Duration,
        from: MemberId,
        term: Term,
        r: &InstallSnapshotReply,
    ) {
        let Some(i) = self.record_contact(now, from, term, r.read_round) else {
            return;
        };
        let last = self.log.last_index();
        let p = &mut self.progress[i];
        match p.snapshot_transfer {
            Some((index, _)) if index == r.index => {}
            _ => return,
        }
        if r.done {
            p.snapshot_transfer = None;
            p.awaiting_reply = false;
            p.record_match(now, r.index.min(last), last);
            p.next_index = p.match_index + 1;
            p.probing = true;
            p.in_flight.clear();
            self.advance_commit(now);
        } else if p.snapshot_transfer != Some((r.index, r.offset)) {
            p.snapshot_transfer = Some((r.index, r.offset));
            p.awaiting_reply = false;
        }
        self.send_append_entries(now, i, false);
    }

    /// Advances the commit index to the last entry that a majority of voters has
    /// synced.
    pub(crate) fn advance_commit(&mut self, now: Duration) {
        let (own_id, synced_index) = (self.cfg.id, self.synced_index);
        let majority_index = self.log.membership().majority_value(|id| {
            if id == own_id {
                synced_index
            } else {
                self.progress_of(id).map_or(0, |p| p.match_index)
            }
        });
        let Some(index) = majority_index else {
            return;
        };
        // Only entries of the current term are committed by counting replicas
        // (Raft, 3.6.2).
        if index > self.commit_index && self.log.term(index) == Some(self.term) {
            self.commit_index = index;
            let removed =
                self.log.membership_index() <= index && self.log.membership().get(own_id).is_none();
            if removed {
                self.become_follower(now, self.term, None);
            }
        }
    }

    /// Confirms the reads whose round a majority acknowledged.
    pub(crate) fn confirm_reads(&mut self) {
        let (own_id, read_round) = (self.cfg.id, self.read_round);
        let acked_round = self.log.membership().majority_value(|id| {
            if id == own_id {
                read_round
            } else {
                self.progress_of(id).map_or(0, |p| p.read_round)
            }
        });
        let acked_round = acked_round.unwrap_or(0);
        while let Some(read) = self.pending_reads.front() {
            if read.read_round > acked_round || read.index > self.commit_index {
                break;
            }
            let ctx = read.ctx;
            self.pending_reads.pop_front();
            self.effects.confirmed_reads.push(ctx);
        }
    }
}
