//! The loop of the control thread.

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
use super::clocks::Clocks;
use super::handle::Call;
use super::placement::Placement;
use super::reads::Read;
use super::recalls::Recalls;
use super::replies::ReplyTo;
use super::replies::answer;
use super::replies::done;
use super::replies::refused;
use super::shadow::Shadow;
use super::status::DriverStats;
use super::status::Status;

/// Calls and messages taken in before their effects are carried out. Bounds
/// the size of one sync.
const BATCH: usize = 1_024;
/// A snapshot waits until the log since the last one is this share of its
/// size: a state of 74 MB, which 740,000 budgets need, isn't written for every
/// 4,096 entries of 71 bytes.
const SNAPSHOT_SHARE: usize = 4;
/// Entries given to the snapshot thread at once, in bytes.
const SHADOW_BYTES: usize = 1024 * 1024;
/// Part of a snapshot file that is written at once, in bytes. Writing 74 MB in
/// one call took 0.3 s, the shortest election timeout.
const STAGE_BYTES: usize = 4 * 1024 * 1024;
/// Commands that wait to be committed, in bytes.
const MAX_WAITING_BYTES: usize = 64 * 1024 * 1024;
/// Interval between checks of incarnation clocks and of the membership.
const CHECK_EVERY: Duration = Duration::from_millis(200);
/// Interval between `Expire` commands.
const EXPIRE_EVERY: Duration = Duration::from_secs(10);

/// A command that waits to be committed.
struct Waiter {
    term: u64,
    bytes: usize,
    /// Budget and most tokens of a grant.
    grant: Option<(BudgetId, Tokens)>,
    reply: Option<ReplyTo>,
}

/// The state of the control thread.
pub(super) struct Core {
    clock: Clock,
    pub(super) node: Node,
    store: Store,
    pub(super) ledger: Ledger,
    pub(super) transport: Arc<dyn Transport>,
    pub(super) log: Logger,
    pub(super) stats: Arc<DriverStats>,
    pub(super) status: watch::Sender<Status>,
    pub(super) snapshot_entries: u64,
    pub(super) snapshot_log_bytes: usize,
    /// Routers that are neither closed nor lost, at a directory version.
    directory: (u64, Arc<[OpenIncarnation]>),
    shadow: Shadow,
    /// Snapshot whose file is being written.
    staging: Option<Arc<Snapshot>>,
    applied: u64,
    bytes_since_snapshot: usize,
    /// Term in which this member is known to lead, or 0.
    led_term: u64,
    waiters: BTreeMap<u64, Waiter>,
    waiting_bytes: usize,
    pub(super) reads: HashMap<u64, (Read, ReplyTo)>,
    pub(super) next_read: u64,
    pub(super) clocks: Clocks,
    pub(super) recalls: Recalls<ReplyTo>,
    pub(super) placement: Placement,
    next_check: Duration,
    next_expire: Duration,
    last_ms: u64,
}

impl Core {
    pub(super) fn new(
        clock: Clock,
        node: Node,
        store: Store,
        ledger: Ledger,
        shadow: Shadow,
        transport: Arc<dyn Transport>,
        log: Logger,
    ) -> Self {
        let applied = node.commit_index();
        Self {
            clock,
            node,
            store,
            ledger,
            transport,
            log,
            stats: Arc::default(),
            status: watch::Sender::default(),
            snapshot_entries: 4_096,
            snapshot_log_bytes: usize::MAX,
            directory: (u64::MAX, Arc::default()),
            shadow,
            staging: None,
            applied,
            bytes_since_snapshot: 0,
            led_term: 0,
            waiters: BTreeMap::new(),
            waiting_bytes: 0,
            reads: HashMap::new(),
            next_read: 0,
            clocks: Clocks::default(),
            recalls: Recalls::default(),
            placement: Placement::default(),
            next_check: Duration::ZERO,
            next_expire: Duration::ZERO,
            last_ms: 0,
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Runs until told to stop or until the disk fails.
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
            self.publish("");
            let wait = self.deadline().saturating_sub(self.now());
            tokio::select! {
                biased;
                _ = stop.wait_for(|stop| *stop) => break Ok(()),
                Some(frame) = messages.recv() => self.on_frame(frame),
                Some(call) = calls.recv() => self.on_call(call),
                () = time::sleep(wait) => {}
            }
            // Takes in what arrived during the last sync before time passes,
            // so that a slow disk looks no longer than it is.
            for _ in 0..BATCH {
                match messages.try_recv() {
                    Ok(frame) => self.on_frame(frame),
                    Err(_) => break,
                }
            }
            for _ in 0..BATCH {
                match calls.try_recv() {
                    Ok(call) => self.on_call(call),
                    Err(_) => break,
                }
            }
            let now = self.now();
            if now >= self.node.deadline() {
                self.node.tick(now);
            }
            self.lead(now);
        };
        if let Err(e) = &result {
            slog::crit!(self.log, "control thread stops"; "error" => %e);
            self.publish(&e.to_string());
        }
        result
    }

    fn deadline(&self) -> Duration {
        let mut due = self.node.deadline();
        if self.led_term != 0 {
            due = due.min(self.next_check);
            due = due.min(self.recalls.deadline().unwrap_or(due));
        }
        due
    }

    fn on_frame(&mut self, frame: ConsensusFrame) {
        if let Ok(msg) = Message::decode(frame.message.as_slice())
            && frame.group == msg.group
        {
            self.node.step(self.now(), frame.from, msg);
        }
    }

    fn on_call(&mut self, call: Call) {
        let now = self.now();
        self.note_leadership(now);
        let Call { req, reply } = call;
        // Nothing was done yet, so a caller that left loses nothing.
        if reply.is_closed() {
            return;
        }
        match req.request {
            Some(Request::Table(ask)) => {
                // What is applied is committed, so a member that is behind hands
                // out an older table, but never one that was not published.
                let newer = self.ledger.publication_since(ask.held_version);
                answer(reply, Answer::Table(newer.unwrap_or_default()));
            }
            _ if self.node.role() != Role::Leader => {
                answer(reply, Answer::NotLeader(self.leader_address()));
            }
            Some(Request::Propose(cmd)) => self.on_command(now, cmd, reply),
            Some(Request::Renew(req)) => self.read(now, Read::Renew(req), reply),
            Some(Request::Query(q)) => self.read(now, Read::Query(q), reply),
            Some(Request::Group(req)) => self.on_group(now, req, reply),
            Some(Request::Loan(_)) => {
                answer(
                    reply,
                    Answer::Unavailable("only routers lend tokens".into()),
                );
            }
            None => answer(reply, Answer::Unavailable("empty request".into())),
        }
    }

    fn on_command(&mut self, now: Duration, cmd: Command, reply: ReplyTo) {
        let Some(body) = cmd.body else {
            answer(reply, Answer::Unavailable("empty command".into()));
            return;
        };
        match body {
            Body::OpenIncarnation(o) if o.state == i32::from(RouterState::Lost) => {
                // Only the leader's clocks tell that a router is lost.
                let message = "a router can't be reported as lost".to_owned();
                answer(reply, refused("malformed", message));
            }
            Body::Grant(grant) if self.node.is_leader_ready() && !grant.lending => {
                let ready = self.recalls.offer(now, &self.ledger, grant, reply);
                if let Some((grant, reply)) = ready {
                    self.propose_grant(now, grant, reply);
                }
            }
            body => self.propose(now, body, Some(reply), None),
        }
    }

    fn propose_grant(&mut self, now: Duration, grant: Grant, reply: ReplyTo) {
        let most = self.recalls.proposed(&self.ledger, &grant);
        let of = (grant.budget.clone(), most);
        self.propose(now, Body::Grant(grant), Some(reply), Some(of));
    }

    fn propose(
        &mut self,
        now: Duration,
        body: Body,
        reply: Option<ReplyTo>,
        grant: Option<(BudgetId, Tokens)>,
    ) {
        let cmd = Command {
            at_ms: self.wall_ms(),
            body: Some(body),
        };
        let data = cmd.encode_to_vec();
        let bytes = data.len();
        let result = if self.waiting_bytes + bytes > MAX_WAITING_BYTES {
            Err(ProposeError::Busy)
        } else {
            self.node.propose(now, data)
        };
        match result {
            Ok(index) => {
                self.await_commit(index, bytes, grant, reply);
            }
            Err(e) => {
                if let Some((budget, most)) = grant {
                    self.recalls.applied(&budget, most);
                }
                self.stats.calls_refused.fetch_add(1, Ordering::Relaxed);
                if let Some(reply) = reply {
                    answer(reply, Answer::Unavailable(e.to_string()));
                }
            }
        }
    }

    /// Keeps what is to happen once an entry of this term is committed.
    pub(super) fn await_commit(
        &mut self,
        index: u64,
        bytes: usize,
        grant: Option<(BudgetId, Tokens)>,
        reply: Option<ReplyTo>,
    ) {
        self.waiting_bytes += bytes;
        let waiter = Waiter {
            term: self.node.term(),
            bytes,
            grant,
            reply,
        };
        self.waiters.insert(index, waiter);
    }

    /// Returns the wall clock in milliseconds since the Unix epoch. It never
    /// goes back.
    fn wall_ms(&mut self) -> u64 {
        self.last_ms = self.last_ms.max(unix_ms());
        self.last_ms
    }

    /// Does what only a leader does, as far as it is due.
    fn lead(&mut self, now: Duration) {
        self.note_leadership(now);
        if !self.node.is_leader_ready() {
            return;
        }
        while let Some((grant, reply)) = self.recalls.next_ready(now, &self.ledger) {
            self.propose_grant(now, grant, reply);
        }
        for (router, incarnation, budget) in self.recalls.take_fresh() {
            self.transport.send_recall(&router, incarnation, &budget);
        }
        if now >= self.next_check {
            self.next_check = now + CHECK_EVERY;
            for body in self.clocks.due(now, &self.ledger) {
                slog::info!(self.log, "incarnation clock ran out"; "proposal" => ?body);
                self.propose(now, body, None, None);
            }
            self.tend_membership(now);
            self.tend_placement(now);
        }
        if now >= self.next_expire {
            self.next_expire = now + EXPIRE_EVERY;
            self.propose(now, Body::Expire(Expire {}), None, None);
        }
    }

    /// Starts over when leadership began or ended since the last call. Must
    /// run before a call of the new term is taken in.
    fn note_leadership(&mut self, now: Duration) {
        let led = match self.node.role() {
            Role::Leader => self.node.term(),
            _ => 0,
        };
        if led == self.led_term {
            return;
        }
        slog::info!(self.log, "leadership changed";
            "leads" => led != 0, "term" => self.node.term(),
            "leader" => self.node.leader().map(|id| format!("{id:016x}")));
        if led != 0 {
            self.stats.elections_won.fetch_add(1, Ordering::Relaxed);
        }
        self.led_term = led;
        self.clocks.restart();
        self.placement.restart(led, now);
        self.next_check = now;
        self.next_expire = now + EXPIRE_EVERY;
        let address = self.leader_address();
        for reply in self.recalls.clear() {
            answer(reply, Answer::NotLeader(address.clone()));
        }
        // The new leader may still commit these.
        self.waiting_bytes = 0;
        for (_, waiter) in std::mem::take(&mut self.waiters) {
            if let Some(reply) = waiter.reply {
                answer(reply, Answer::Unknown("leadership was lost".into()));
            }
        }
    }

    /// Carries out effects until there are none.
    fn flush(&mut self) -> Result<(), DriverError> {
        loop {
            let now = self.now();
            let fx = self.node.take_effects(now);
            if fx.is_empty() {
                return Ok(());
            }
            self.send(&fx.messages_before_sync);
            if fx.must_sync() {
                let began = Instant::now();
                self.store.save(&fx)?;
                let us = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
                self.stats.syncs.fetch_add(1, Ordering::Relaxed);
                self.stats.sync_us.fetch_add(us, Ordering::Relaxed);
                let bytes = self.store.log_bytes();
                self.stats.log_bytes.store(bytes, Ordering::Relaxed);
            }
            self.send(&fx.messages_after_sync);
            self.node.on_persisted(self.now(), fx.token);
            self.apply(fx)?;
            self.tend_snapshot()?;
            let now = self.now();
            self.lead(now);
        }
    }

    fn send(&self, messages: &[(MemberId, Message)]) {
        for (to, msg) in messages {
            let frame = ConsensusFrame {
                group: msg.group,
                from: self.node.id(),
                message: msg.encode_to_vec(),
            };
            self.transport.send(*to, frame);
        }
    }

    fn apply(&mut self, fx: Effects) -> Result<(), DriverError> {
        let revision = self.ledger.config().revision();
        let publication = self.ledger.publication_version();
        if let (true, Some(s)) = (fx.reset, &fx.snapshot) {
            self.ledger = match s.state.as_slice() {
                [] => Ledger::new(),
                state => Ledger::decode(state)?,
            };
            self.applied = s.index;
            self.bytes_since_snapshot = 0;
            self.shadow.reset(Some(Arc::clone(s)));
            self.staging = None;
            self.stats.snapshots.fetch_add(1, Ordering::Relaxed);
        }
        let count = fx.committed.len() as u64;
        for e in fx.committed {
            self.apply_entry(e);
        }
        self.stats.applied.fetch_add(count, Ordering::Relaxed);
        let current = self.ledger.config().revision();
        if current != revision && self.led_term != 0 {
            self.transport.push_config_revision(current);
        }
        let current = self.ledger.publication_version();
        if current != publication {
            slog::info!(self.log, "route table published"; "version" => current,
                "from" => publication);
            self.transport.push_publication_version(current);
        }
        let version = self.ledger.directory_version();
        if version != self.directory.0 {
            self.directory = (version, self.ledger.open_incarnations().into());
        }
        for ctx in fx.failed_reads {
            if let Some((_, reply)) = self.reads.remove(&ctx) {
                answer(reply, Answer::NotLeader(self.leader_address()));
            }
        }
        for ctx in fx.confirmed_reads {
            if let Some((read, reply)) = self.reads.remove(&ctx) {
                let result = self.finish_read(&read);
                answer(reply, result);
            }
        }
        Ok(())
    }

    /// Begins a snapshot when one is due, and takes one that is finished.
    fn tend_snapshot(&mut self) -> Result<(), DriverError> {
        let (base, size) = self
            .node
            .snapshot()
            .map_or((0, 0), |s| (s.index, s.state.len()));
        // A large state isn't written again for a few entries.
        let due = (self.applied >= base + self.snapshot_entries
            || self.bytes_since_snapshot >= self.snapshot_log_bytes)
            && self.bytes_since_snapshot >= size / SNAPSHOT_SHARE;
        if due && !self.shadow.is_busy() && self.staging.is_none() {
            self.shadow.begin(self.applied);
            self.bytes_since_snapshot = 0;
        }
        let node = &self.node;
        let entries = |from| node.applied_entries(from, SHADOW_BYTES);
        if let Some((index, state)) = self.shadow.advance(entries) {
            slog::info!(self.log, "snapshot"; "index" => index, "bytes" => state.len());
            self.staging = self.node.build_snapshot(index, state);
        }
        if let Some(s) = &self.staging
            && self.store.stage_snapshot(s, STAGE_BYTES)?
        {
            self.stats.snapshots.fetch_add(1, Ordering::Relaxed);
            self.node.compact_to(Arc::clone(s));
            self.staging = None;
        }
        Ok(())
    }

    fn apply_entry(&mut self, e: Entry) {
        self.applied = e.index;
        self.bytes_since_snapshot += e.data.len();
        let waiter = self.waiters.remove(&e.index);
        let reply = match e.kind() {
            EntryKind::Command => match Command::decode(e.data.as_slice()) {
                Ok(cmd) => Some(self.ledger.apply(&cmd)),
                Err(err) => {
                    slog::error!(self.log, "a committed command can't be decoded";
                        "index" => e.index, "error" => %err);
                    None
                }
            },
            EntryKind::Members => Some(done()),
            EntryKind::Noop => None,
        };
        let Some(waiter) = waiter else {
            return;
        };
        self.waiting_bytes = self.waiting_bytes.saturating_sub(waiter.bytes);
        if let Some((budget, most)) = &waiter.grant {
            self.recalls.applied(budget, *most);
        }
        if let Some(to) = waiter.reply {
            let result = match reply {
                Some(reply) if waiter.term == e.term => Answer::Applied(reply),
                // Another leader's entry took the index.
                _ => Answer::Unavailable("the command was not committed".into()),
            };
            answer(to, result);
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

    fn publish(&self, failed: &str) {
        let set = |gauge: &AtomicU64, len: usize| gauge.store(len as u64, Ordering::Relaxed);
        set(&self.stats.pending_commands, self.waiters.len());
        set(&self.stats.held_grants, self.recalls.len());
        let status = Status {
            id: self.node.id(),
            is_leader: self.node.is_leader_ready(),
            term: self.node.term(),
            leader: self.node.leader(),
            leader_address: self.leader_address(),
            membership: self.node.membership().clone(),
            membership_changing: self.node.has_uncommitted_membership(),
            commit_index: self.node.commit_index(),
            applied_index: self.applied,
            revision: self.ledger.config().revision(),
            publication_version: self.ledger.publication_version(),
            routers: Arc::clone(&self.directory.1),
            failure: failed.to_owned(),
        };
        self.status.send_if_modified(|old| {
            let changed = *old != status;
            *old = status;
            changed
        });
    }
}
