//! Main loop of the control thread.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use anvilloft_consensus::Effects;
use anvilloft_consensus::Entry;
use anvilloft_consensus::EntryKind;
use anvilloft_consensus::Message;
use anvilloft_consensus::Node;
use anvilloft_consensus::ProposeError;
use anvilloft_consensus::Role;
use anvilloft_consensus::Snapshot;
use anvilloft_ledger::Ledger;
use anvilloft_storage::StorageError;
use anvilloft_storage::Store;
use anvilloft_types::Clock;
use anvilloft_types::prelude::*;
use anvilloft_types::unix_ms;
use anvilloft_wire::Command;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Expire;
use anvilloft_wire::command::Grant;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::RouterState;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::Request;
use anvilloft_wire::frame::ConsensusFrame;
use prost::Message as _;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use super::DriverError;
use super::Transport;
use super::contacts::Contacts;
use super::contacts::OwnCopies;
use super::full_disk::Unsaved;
use super::group_log::GroupLog;
use super::handle::Call;
use super::member_plan::PlanConfig;
use super::placement::Placement;
use super::proposal_clock::ProposalClock;
use super::reads::PendingRead;
use super::recalls::ProposedAmount;
use super::recalls::Recalls;
use super::replies::ReplySender;
use super::replies::ok_reply;
use super::replies::refusal;
use super::replies::send_answer;
use super::snapshot_worker::SnapshotWorker;
use super::status::DriverStats;
use super::status::Status;
use super::timers::IncarnationTimers;
use super::tokens::TokenLog;

/// Maximum number of calls, and of messages, handled before their effects are
/// carried out. Bounds the size of one sync.
const MAX_BATCH: usize = 1_024;
/// A new snapshot is taken only once the log since the last one reaches the
/// size of that snapshot divided by this number. Without it, a state of 74 MB
/// (740,000 budgets) would be written for every 4,096 entries of 71 bytes.
const SNAPSHOT_SIZE_DIVISOR: usize = 4;
/// Maximum size of one batch of entries for the snapshot worker, in bytes.
const WORKER_BATCH_BYTES: usize = 1024 * 1024;
/// Size of the chunks in which a snapshot file is written, in bytes. Writing
/// 74 MB in one call took 0.3 s, the shortest election timeout.
const STAGE_CHUNK_BYTES: usize = 4 * 1024 * 1024;
/// Maximum total size of the uncommitted commands, in bytes.
const MAX_PENDING_BYTES: usize = 64 * 1024 * 1024;
/// Interval between checks of the incarnation timers and of the membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between `Expire` commands.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);

/// A proposed command that is not committed yet.
struct PendingCommand {
    term: u64,
    bytes: usize,
    /// Budget of a grant and the maximum number of tokens it may allot.
    grant: Option<(BudgetId, ProposedAmount)>,
    reply: Option<ReplySender>,
}

/// The state of the control thread.
pub(super) struct Core {
    clock: Clock,
    pub(super) node: Node,
    pub(super) store: Store,
    pub(super) unsaved: Unsaved,
    pub(super) ledger: Ledger,
    pub(super) transport: Arc<dyn Transport>,
    pub(super) log: Logger,
    pub(super) group_log: GroupLog,
    pub(super) stats: Arc<DriverStats>,
    pub(super) status: watch::Sender<Status>,
    pub(super) snapshot_entries: u64,
    pub(super) snapshot_log_bytes: usize,
    pub(super) plan: PlanConfig,
    /// Directory version, and the open router incarnations at that version.
    cached_directory: (u64, Arc<[OpenIncarnation]>),
    snapshot_worker: SnapshotWorker,
    /// Snapshot whose file is being written.
    staging: Option<Arc<Snapshot>>,
    applied: u64,
    bytes_since_snapshot: usize,
    /// Term in which this member acts as the leader, or 0.
    leader_term: u64,
    pending_commands: BTreeMap<u64, PendingCommand>,
    pending_bytes: usize,
    pub(super) reads: HashMap<u64, (PendingRead, ReplySender)>,
    pub(super) next_read: u64,
    pub(super) timers: IncarnationTimers,
    pub(super) contacts: Contacts,
    pub(super) own_copies: OwnCopies,
    /// When this member last was not the leader.
    not_leader_at: Duration,
    pub(super) recalls: Recalls<ReplySender>,
    pub(super) placement: Placement,
    pub(super) token_log: TokenLog,
    next_check: Duration,
    next_expire: Duration,
    proposal_clock: ProposalClock,
}

impl Core {
    pub(super) fn new(
        clock: Clock,
        node: Node,
        store: Store,
        ledger: Ledger,
        snapshot_worker: SnapshotWorker,
        transport: Arc<dyn Transport>,
        log: Logger,
    ) -> Self {
        let applied = node.commit_index();
        Self {
            group_log: GroupLog::new(&node),
            clock,
            node,
            store,
            unsaved: Unsaved::default(),
            ledger,
            transport,
            log,
            stats: Arc::default(),
            status: watch::Sender::default(),
            snapshot_entries: 4_096,
            snapshot_log_bytes: usize::MAX,
            plan: PlanConfig::default(),
            cached_directory: (u64::MAX, Arc::default()),
            snapshot_worker,
            staging: None,
            applied,
            bytes_since_snapshot: 0,
            leader_term: 0,
            pending_commands: BTreeMap::new(),
            pending_bytes: 0,
            reads: HashMap::new(),
            next_read: 0,
            timers: IncarnationTimers::default(),
            contacts: Contacts::default(),
            own_copies: OwnCopies::default(),
            not_leader_at: Duration::ZERO,
            recalls: Recalls::default(),
            placement: Placement::default(),
            token_log: TokenLog::default(),
            next_check: Duration::ZERO,
            next_expire: Duration::ZERO,
            proposal_clock: ProposalClock::default(),
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Runs until stopped or until the disk fails.
    pub(super) async fn run(
        mut self,
        mut calls: mpsc::Receiver<Call>,
        mut messages: mpsc::Receiver<ConsensusFrame>,
        mut stop: watch::Receiver<bool>,
    ) -> Result<(), DriverError> {
        let result = loop {
            if let Err(e) = self.flush() {
                break Err(e);
            }
            self.publish_status("");
            if self.unsaved.is_waiting() {
                match self
                    .wait_for_room(&mut calls, &mut messages, &mut stop)
                    .await
                {
                    true => break Ok(()),
                    false => continue,
                }
            }
            let wait = self.deadline().saturating_sub(self.now());
            tokio::select! {
                biased;
                _ = stop.wait_for(|stop| *stop) => break Ok(()),
                Some(frame) = messages.recv() => self.on_frame(frame),
                Some(call) = calls.recv() => self.on_call(call),
                () = time::sleep(wait) => {}
            }
            // Handles what arrived during the last sync before any timeout is
            // checked, so that a slow disk doesn't make peers look silent.
            for _ in 0..MAX_BATCH {
                match messages.try_recv() {
                    Ok(frame) => self.on_frame(frame),
                    Err(_) => break,
                }
            }
            for _ in 0..MAX_BATCH {
                match calls.try_recv() {
                    Ok(call) => self.on_call(call),
                    Err(_) => break,
                }
            }
            let now = self.now();
            if now >= self.node.deadline() {
                self.note_not_leader(now);
                self.tick(now);
            }
            self.run_leader_tasks(now);
        };
        if let Err(e) = &result {
            slog::crit!(self.log, "control thread stops"; "error" => %e);
            self.publish_status(&e.to_string());
        }
        result
    }

    fn deadline(&self) -> Duration {
        let mut due = self.node.deadline();
        if self.leader_term != 0 {
            due = due.min(self.next_check);
            due = due.min(self.recalls.deadline().unwrap_or(due));
        }
        due
    }

    fn on_frame(&mut self, frame: ConsensusFrame) {
        if let Ok(msg) = Message::decode(frame.message.as_slice())
            && frame.group == msg.group
        {
            let now = self.now();
            self.note_not_leader(now);
            let term = msg.term;
            self.node.step(now, frame.from, msg);
            if !frame.entry_ages.is_empty()
                && self.node.role() == Role::Leader
                && self.node.term() == term
            {
                self.update_leadership(now);
                self.contacts.record_ages(frame.from, &frame.entry_ages);
            }
        }
    }

    fn note_not_leader(&mut self, now: Duration) {
        if self.node.role() != Role::Leader {
            self.not_leader_at = now;
        }
    }

    pub(super) fn on_call(&mut self, call: Call) {
        let now = self.now();
        self.update_leadership(now);
        let Call { req, reply } = call;
        // Nothing was done yet, so the call can be dropped if its caller no
        // longer waits.
        if reply.is_closed() {
            return;
        }
        match req.request {
            Some(Request::Table(req)) => {
                // Everything applied is committed, so a member that lags behind
                // returns an older table, but never an unpublished one.
                let newer = self.ledger.publication_since(req.held_version);
                send_answer(reply, Answer::Table(newer.unwrap_or_default()));
            }
            _ if self.node.role() != Role::Leader => {
                send_answer(reply, Answer::NotLeader(self.leader_address()));
            }
            Some(Request::Propose(cmd)) => self.on_command(now, cmd, reply),
            Some(Request::Renew(req)) => self.request_read(now, PendingRead::Renew(req), reply),
            Some(Request::Query(q)) => self.request_read(now, PendingRead::Query(q), reply),
            Some(Request::Group(req)) => self.on_group(now, req, reply),
            Some(Request::Loan(_)) => {
                send_answer(
                    reply,
                    Answer::Unavailable("only routers lend tokens".into()),
                );
            }
            Some(Request::Copy(_)) => {
                send_answer(
                    reply,
                    Answer::Unavailable("the registry takes copies of announcements".into()),
                );
            }
            None => send_answer(reply, Answer::Unavailable("empty request".into())),
        }
    }

    fn on_command(&mut self, now: Duration, cmd: Command, reply: ReplySender) {
        let Some(body) = cmd.body else {
            send_answer(reply, Answer::Unavailable("empty command".into()));
            return;
        };
        match body {
            Body::OpenIncarnation(o) if o.state == i32::from(RouterState::Lost) => {
                // Only the leader's timers may declare a router lost.
                let message = "only the leader can mark a router as lost".to_owned();
                send_answer(reply, refusal("malformed", message));
            }
            Body::RestoreReserve(_) => {
                // Only the leader can tell when a router died.
                let message = "only the leader can restore a reserve".to_owned();
                send_answer(reply, refusal("malformed", message));
            }
            Body::Grant(grant) if self.node.is_leader_ready() => {
                let (timers, ledger) = (&self.timers, &self.ledger);
                let silent = || timers.silent_routers(now, ledger);
                let ready = self.recalls.try_hold(now, ledger, silent, grant, reply);
                if let Some((grant, reply)) = ready {
                    self.propose_grant(now, grant, reply);
                }
            }
            body => self.propose(now, body, Some(reply), None),
        }
    }

    fn propose_grant(&mut self, now: Duration, grant: Grant, reply: ReplySender) {
        let proposed = self.recalls.record_proposed(&self.ledger, &grant);
        let in_flight = (grant.budget.clone(), proposed);
        self.propose(now, Body::Grant(grant), Some(reply), Some(in_flight));
    }

    pub(super) fn propose(
        &mut self,
        now: Duration,
        body: Body,
        reply: Option<ReplySender>,
        grant: Option<(BudgetId, ProposedAmount)>,
    ) {
        let cmd = Command {
            at_ms: self
                .proposal_clock
                .read(now, unix_ms(), self.ledger.now_ms()),
            body: Some(body),
        };
        let data = cmd.encode_to_vec();
        let bytes = data.len();
        let result = if self.pending_bytes + bytes > MAX_PENDING_BYTES {
            Err(ProposeError::Busy)
        } else {
            self.node.propose(now, data)
        };
        match result {
            Ok(index) => {
                self.record_pending(index, bytes, grant, reply);
            }
            Err(e) => {
                if let Some((budget, proposed)) = grant {
                    self.recalls.record_applied(&budget, proposed);
                }
                self.stats.calls_refused.fetch_add(1, Ordering::Relaxed);
                if let Some(reply) = reply {
                    send_answer(reply, Answer::Unavailable(e.to_string()));
                }
            }
        }
    }

    /// Records a proposed entry of this term, which is answered once it is
    /// applied.
    pub(super) fn record_pending(
        &mut self,
        index: u64,
        bytes: usize,
        grant: Option<(BudgetId, ProposedAmount)>,
        reply: Option<ReplySender>,
    ) {
        self.pending_bytes += bytes;
        let pending = PendingCommand {
            term: self.node.term(),
            bytes,
            grant,
            reply,
        };
        self.pending_commands.insert(index, pending);
    }

    /// Runs the leader's periodic tasks that are due.
    fn run_leader_tasks(&mut self, now: Duration) {
        self.update_leadership(now);
        if !self.node.is_leader_ready() {
            return;
        }
        while let Some((grant, reply)) = self.recalls.next_ready(now, &self.ledger) {
            self.propose_grant(now, grant, reply);
        }
        for (router, incarnation, budget) in self.recalls.take_unsent() {
            self.transport.send_recall(&router, incarnation, &budget);
        }
        if now >= self.next_check {
            self.next_check = now + CHECK_INTERVAL;
            for body in self.timers.due_proposals(now, &self.ledger) {
                slog::info!(self.log, "incarnation timer expired"; "proposal" => ?body);
                self.propose(now, body, None, None);
            }
            self.restore_reserves(now);
            self.account_tokens(now);
            self.maintain_membership(now);
            self.log_delayed_members(now);
            self.maintain_placement(now);
        }
        if now >= self.next_expire {
            self.next_expire = now + EXPIRE_INTERVAL;
            self.propose(now, Body::Expire(Expire {}), None, None);
        }
    }

    /// Resets the leader's state if leadership was won or lost since the last
    /// call. Must run before a call of the new term is handled.
    fn update_leadership(&mut self, now: Duration) {
        let term = match self.node.role() {
            Role::Leader => self.node.term(),
            _ => 0,
        };
        self.group_log.observe(now, &self.node, &self.log);
        if term == self.leader_term {
            return;
        }
        slog::info!(self.log, "leadership changed";
            "leads" => term != 0, "term" => self.node.term(),
            "leader" => self.node.leader().map(|id| format!("{id:016x}")));
        if term != 0 {
            self.stats.elections_won.fetch_add(1, Ordering::Relaxed);
        }
        self.leader_term = term;
        self.timers.reset();
        self.contacts.reset(self.not_leader_at);
        self.token_log.reset(&self.stats.tokens);
        self.contacts
            .record_ages(self.node.id(), &self.own_copies.ages(self.not_leader_at));
        self.placement.reset(term, now);
        self.next_check = now;
        self.next_expire = now + EXPIRE_INTERVAL;
        let address = self.leader_address();
        for reply in self.recalls.clear() {
            send_answer(reply, Answer::NotLeader(address.clone()));
        }
        // The new leader may still commit these commands.
        self.pending_bytes = 0;
        for (_, pending) in std::mem::take(&mut self.pending_commands) {
            if let Some(reply) = pending.reply {
                send_answer(reply, Answer::Unknown("leadership was lost".into()));
            }
        }
    }

    /// Carries out the node's effects until none are left.
    fn flush(&mut self) -> Result<(), DriverError> {
        loop {
            let now = self.now();
            let unsaved = self.unsaved.take();
            let was_waiting = unsaved.is_some();
            let mut fx = unsaved.unwrap_or_else(|| self.node.take_effects(now));
            if fx.is_empty() {
                return Ok(());
            }
            if !was_waiting {
                self.send(now, &fx.messages_before_sync);
            }
            if fx.must_sync() {
                let start = Instant::now();
                match self.save(fx, was_waiting)? {
                    Some(saved) => fx = saved,
                    None => return Ok(()),
                }
                let us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
                self.stats.syncs.fetch_add(1, Ordering::Relaxed);
                self.stats.sync_us.fetch_add(us, Ordering::Relaxed);
                let bytes = self.store.log_bytes();
                self.stats.log_bytes.store(bytes, Ordering::Relaxed);
            }
            self.send(now, &fx.messages_after_sync);
            self.node.on_persisted(self.now(), fx.token);
            self.apply(fx)?;
            self.maintain_snapshot()?;
            let now = self.now();
            self.run_leader_tasks(now);
        }
    }

    fn send(&mut self, now: Duration, messages: &[(MemberId, Message)]) {
        for (to, msg) in messages {
            // A pre-vote has another term and is sent before the election.
            let to_leader = self.node.leader() == Some(*to) && msg.term == self.node.term();
            let entry_ages = match to_leader {
                true => self.own_copies.next_ages(now, msg.term),
                false => Vec::new(),
            };
            let frame = ConsensusFrame {
                group: msg.group,
                from: self.node.id(),
                message: msg.encode_to_vec(),
                entry_ages,
            };
            self.transport.send(*to, frame);
        }
    }

    fn apply(&mut self, fx: Effects) -> Result<(), DriverError> {
        let revision = self.ledger.config().revision();
        let publication = self.ledger.publication_version();
        let quarantine = self.ledger.quarantine_version();
        let evacuations = self.ledger.evacuation_version();
        if let (true, Some(s)) = (fx.reset, &fx.snapshot) {
            self.ledger = match s.state.as_slice() {
                [] => Ledger::new(),
                state => Ledger::decode(state)?,
            };
            self.group_log.members_installed(s.membership.as_ref());
            self.applied = s.index;
            self.bytes_since_snapshot = 0;
            self.snapshot_worker.reset(Some(Arc::clone(s)));
            self.staging = None;
            self.stats.snapshots.fetch_add(1, Ordering::Relaxed);
        }
        let count = fx.committed.len() as u64;
        for e in fx.committed {
            self.apply_entry(e);
        }
        self.stats.applied.fetch_add(count, Ordering::Relaxed);
        let current = self.ledger.config().revision();
        if current != revision && self.leader_term != 0 {
            self.transport.push_config_revision(current);
        }
        let current = self.ledger.publication_version();
        if current != publication {
            slog::info!(self.log, "route table published"; "version" => current,
                "from" => publication);
            self.transport.push_publication_version(current);
        }
        if self.ledger.quarantine_version() != quarantine {
            let current = self.ledger.quarantined();
            slog::warn!(self.log, "quarantine"; "traits" => current.fingerprints.len(),
                "version" => current.version, "from" => quarantine);
            self.transport.push_quarantined(current);
        }
        if self.ledger.evacuation_version() != evacuations {
            let current = self.ledger.evacuations();
            slog::warn!(self.log, "evacuations"; "version" => current.version,
                "from" => evacuations, "data_centres" => ?current.data_centres);
            self.transport.push_evacuations(current);
        }
        let version = self.ledger.directory_version();
        if version != self.cached_directory.0 {
            self.cached_directory = (version, self.ledger.open_incarnations().into());
        }
        for ctx in fx.failed_reads {
            if let Some((_, reply)) = self.reads.remove(&ctx) {
                send_answer(reply, Answer::NotLeader(self.leader_address()));
            }
        }
        for ctx in fx.confirmed_reads {
            if let Some((read, reply)) = self.reads.remove(&ctx) {
                let result = self.finish_read(&read);
                send_answer(reply, result);
            }
        }
        Ok(())
    }

    /// Starts a snapshot when one is due, and stores one that is finished.
    fn maintain_snapshot(&mut self) -> Result<(), DriverError> {
        let (base, size) = self
            .node
            .snapshot()
            .map_or((0, 0), |s| (s.index, s.state.len()));
        // Avoids writing a large state again for a few entries.
        let due = (self.applied >= base + self.snapshot_entries
            || self.bytes_since_snapshot >= self.snapshot_log_bytes)
            && self.bytes_since_snapshot >= size / SNAPSHOT_SIZE_DIVISOR;
        if due && !self.snapshot_worker.is_busy() && self.staging.is_none() {
            self.snapshot_worker.begin(self.applied);
            self.bytes_since_snapshot = 0;
        }
        let node = &self.node;
        let entries = |from| node.applied_entries(from, WORKER_BATCH_BYTES);
        if let Some((index, state)) = self.snapshot_worker.advance(entries) {
            slog::info!(self.log, "snapshot"; "index" => index, "bytes" => state.len());
            self.staging = self.node.build_snapshot(index, state);
        }
        let now = self.now();
        let Some(s) = self
            .staging
            .as_ref()
            .filter(|_| self.unsaved.allows_snapshot(now))
        else {
            return Ok(());
        };
        match self.store.stage_snapshot(s, STAGE_CHUNK_BYTES) {
            Ok(true) => {
                self.stats.snapshots.fetch_add(1, Ordering::Relaxed);
                self.node.compact_to(Arc::clone(s));
                self.staging = None;
                Ok(())
            }
            Ok(false) => Ok(()),
            Err(StorageError::Full(err)) => {
                slog::warn!(self.log, "no room for a snapshot"; "error" => %err);
                self.unsaved.delay_snapshot(now);
                Ok(())
            }
            Err(err) => Err(err.into()),
        }
    }

    fn apply_entry(&mut self, e: Entry) {
        self.applied = e.index;
        // An entry of an earlier term may have been committed by another leader, and
        // long before.
        if e.term == self.leader_term {
            self.contacts.record_applied(self.clock.now(), e.index);
        }
        self.bytes_since_snapshot += e.data.len();
        let pending = self.pending_commands.remove(&e.index);
        let reply = match e.kind() {
            EntryKind::Command => match Command::decode(e.data.as_slice()) {
                Ok(cmd) => Some(self.ledger.apply_at(e.index, &cmd)),
                Err(err) => {
                    slog::error!(self.log, "can't decode a committed command";
                        "index" => e.index, "error" => %err);
                    None
                }
            },
            EntryKind::Members => {
                self.group_log.members_applied(&e, &self.log);
                Some(ok_reply())
            }
            EntryKind::Noop => None,
        };
        let Some(pending) = pending else {
            return;
        };
        self.pending_bytes = self.pending_bytes.saturating_sub(pending.bytes);
        if let Some((budget, proposed)) = &pending.grant {
            self.recalls.record_applied(budget, *proposed);
        }
        if let Some(to) = pending.reply {
            let result = match reply {
                Some(reply) if pending.term == e.term => Answer::Applied(reply),
                // Another leader's entry has this index.
                _ => Answer::Unavailable("the command was not committed".into()),
            };
            send_answer(to, result);
        }
    }

    pub(super) fn leader_address(&self) -> String {
        self.node
            .leader()
            .and_then(|id| self.node.membership().get(id))
            .map(|m| m.address.clone())
            .unwrap_or_default()
    }

    pub(super) fn member_addresses(&self) -> Vec<String> {
        let members = &self.node.membership().members;
        members.iter().map(|m| m.address.clone()).collect()
    }

    fn publish_status(&self, failure: &str) {
        let set = |gauge: &AtomicU64, len: usize| gauge.store(len as u64, Ordering::Relaxed);
        set(&self.stats.pending_commands, self.pending_commands.len());
        set(&self.stats.held_grants, self.recalls.len());
        let (leader, disk_full) = (self.node.leader(), self.unsaved.is_waiting());
        // A leader that waits is about to be replaced.
        let leader = leader.filter(|id| !disk_full || *id != self.node.id());
        let leaderless_since = self.status.borrow().leaderless_since;
        let status = Status {
            id: self.node.id(),
            is_leader: self.node.is_leader_ready() && !disk_full,
            term: self.node.term(),
            leader,
            leaderless_since: match leader {
                Some(_) => None,
                None => leaderless_since.or_else(|| Some(Instant::now())),
            },
            leader_address: self.leader_address(),
            membership: self.node.membership().clone(),
            membership_changing: self.node.has_uncommitted_membership(),
            commit_index: self.node.commit_index(),
            applied_index: self.applied,
            revision: self.ledger.config().revision(),
            publication_version: self.ledger.publication_version(),
            publication_bytes: self.ledger.publication_bytes(),
            evacuations: self.ledger.evacuations(),
            routers: Arc::clone(&self.cached_directory.1),
            disk_full,
            failure: failure.to_owned(),
        };
        self.status.send_if_modified(|old| {
            let changed = *old != status;
            *old = status;
            changed
        });
    }
}
