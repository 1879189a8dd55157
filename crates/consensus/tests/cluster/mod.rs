//! Simulated cluster: control members on an in-memory network and in-memory
//! disks, under virtual time.
//!
//! The members run the production `Node` and `Store`. After every step the
//! cluster checks that each term has at most one leader, that committed entries
//! agree and never change, and that a read sees every entry acknowledged before
//! it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use anvilloft_consensus::Effects;
use anvilloft_consensus::EntryKind;
use anvilloft_consensus::LogIndex;
use anvilloft_consensus::MemberChange;
use anvilloft_consensus::Membership;
use anvilloft_consensus::Message;
use anvilloft_consensus::Node;
use anvilloft_consensus::NodeConfig;
use anvilloft_consensus::Role;
use anvilloft_consensus::Snapshot;
use anvilloft_storage::MemDisk;
use anvilloft_storage::StorageError;
use anvilloft_storage::Store;
use prost::Message as _;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub(crate) const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// State machine that counts the applied entries and hashes their content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StateMachine {
    pub(crate) index: LogIndex,
    hash: u64,
}

impl StateMachine {
    fn apply(&mut self, index: LogIndex, term: u64, data: &[u8]) {
        assert_eq!(index, self.index + 1, "entries are applied without gaps");
        self.index = index;
        for byte in term.to_le_bytes().iter().chain(data) {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// Encodes the state, padded so that snapshots are sent in several chunks.
    fn encode(self) -> Vec<u8> {
        let mut buf = self.index.to_le_bytes().to_vec();
        buf.extend_from_slice(&self.hash.to_le_bytes());
        buf.resize(16 + (self.index % 300) as usize, 7);
        buf
    }

    fn decode(buf: &[u8]) -> Self {
        if buf.is_empty() {
            return Self::default();
        }
        let read_u64 = |at: usize| u64::from_le_bytes(buf[at..at + 8].try_into().unwrap());
        Self {
            index: read_u64(0),
            hash: read_u64(8),
        }
    }
}

struct RunningMember {
    node: Node,
    store: Store,
    machine: StateMachine,
    inbox: VecDeque<(u64, Message)>,
    /// Effects that are being synced, and the time at which the sync ends.
    syncing: Option<(Duration, Effects)>,
    /// Pending proposals: index, term, value.
    proposals: Vec<(LogIndex, u64, u64)>,
    /// Pending reads: context, and the highest index acknowledged when the read
    /// began.
    reads: BTreeMap<u64, LogIndex>,
}

pub(crate) struct Host {
    pub(crate) disk: MemDisk,
    running: Option<RunningMember>,
    /// Time until which the process is stalled.
    pub(crate) stalled_until: Duration,
}

/// Message loss, duplication, delay and cut links of the simulated network.
#[derive(Clone, Debug)]
pub(crate) struct Network {
    pub(crate) loss: f64,
    pub(crate) duplicate: f64,
    /// Minimum and maximum delay.
    pub(crate) delay_ms: (u64, u64),
    /// Links that drop all messages in one direction: from, to.
    pub(crate) cut_links: BTreeSet<(u64, u64)>,
}

impl Network {
    pub(crate) fn healthy() -> Self {
        Self {
            loss: 0.0,
            duplicate: 0.0,
            delay_ms: (1, 3),
            cut_links: BTreeSet::new(),
        }
    }
}

/// A message in transit: arrival time, send number, sender, receiver and the
/// encoded message.
type InFlight = (Duration, u64, u64, u64, Vec<u8>);

pub(crate) struct Cluster {
    pub(crate) now: Duration,
    pub(crate) rng: StdRng,
    pub(crate) hosts: BTreeMap<u64, Host>,
    pub(crate) net: Network,
    /// Minimum and maximum duration of a sync.
    pub(crate) sync_ms: (u64, u64),
    /// Number of applied entries after which a member compacts its log.
    pub(crate) compact_every: u64,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    send_count: u64,
    next_value: u64,
    next_ctx: u64,
    leader_by_term: BTreeMap<u64, u64>,
    /// Term and data of each committed entry.
    committed: BTreeMap<LogIndex, (u64, Vec<u8>)>,
    /// State of the state machine after each index.
    states: BTreeMap<LogIndex, StateMachine>,
    /// Highest index that was acknowledged to a client.
    pub(crate) acked_index: LogIndex,
    pub(crate) acked_entries: u64,
    pub(crate) reads_done: u64,
    pub(crate) initial_members: Vec<u64>,
}

impl Cluster {
    pub(crate) fn new(seed: u64, size: u64) -> Self {
        let mut cluster = Self {
            now: ms(1_000),
            rng: StdRng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            net: Network::healthy(),
            sync_ms: (0, 2),
            compact_every: 24,
            in_flight: BinaryHeap::new(),
            send_count: 0,
            next_value: 1,
            next_ctx: 1,
            leader_by_term: BTreeMap::new(),
            committed: BTreeMap::new(),
            states: BTreeMap::from([(0, StateMachine::default())]),
            acked_index: 0,
            acked_entries: 0,
            reads_done: 0,
            initial_members: (1..=size).collect(),
        };
        for id in 1..=size {
            cluster.add_host(id);
            cluster.start(id);
        }
        cluster
    }

    /// Adds a host with an empty disk.
    pub(crate) fn add_host(&mut self, id: u64) {
        self.hosts.insert(
            id,
            Host {
                disk: MemDisk::new(),
                running: None,
                stalled_until: Duration::ZERO,
            },
        );
    }

    pub(crate) fn start(&mut self, id: u64) {
        let seed = self.rng.random();
        let is_initial_member = self.initial_members.contains(&id);
        let initial_members =
            Membership::from_voters(self.initial_members.iter().map(|m| (*m, "")));
        let host = self.hosts.get_mut(&id).unwrap();
        if host.running.is_some() {
            return;
        }
        let open_result = Store::open_with_segment_bytes(Box::new(host.disk.clone()), 0, 400);
        let (store, mut restored) = match open_result {
            Ok(opened) => opened,
            Err(StorageError::Io(_)) => {
                // An injected fault hit the disk while the member was starting.
                host.disk.crash(&mut self.rng);
                return;
            }
            Err(e) => panic!("member {id} can't read its disk: {e}"),
        };
        if is_initial_member && restored.snapshot.is_none() {
            restored.snapshot = Some(std::sync::Arc::new(Snapshot {
                membership: Some(initial_members),
                ..Snapshot::default()
            }));
        }
        let state = restored.snapshot.as_ref().map(|s| s.state.clone());
        let machine = StateMachine::decode(&state.unwrap_or_default());
        let mut cfg = NodeConfig::new(id, 0);
        cfg.max_message_bytes = 120;
        cfg.trailing_entries = 6;
        host.running = Some(RunningMember {
            node: Node::new(cfg, restored, self.now, seed),
            store,
            machine,
            inbox: VecDeque::new(),
            syncing: None,
            proposals: Vec::new(),
            reads: BTreeMap::new(),
        });
        host.stalled_until = Duration::ZERO;
        self.check_state(machine);
    }

    /// Crashes a host: its process ends and unsynced writes are lost.
    pub(crate) fn crash(&mut self, id: u64) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.running = None;
            host.disk.crash(&mut self.rng);
        }
    }

    /// Removes a host together with its disk.
    pub(crate) fn lose_disk(&mut self, id: u64) {
        self.hosts.remove(&id);
    }

    pub(crate) fn node(&self, id: u64) -> Option<&Node> {
        Some(&self.hosts.get(&id)?.running.as_ref()?.node)
    }

    pub(crate) fn state_machine(&self, id: u64) -> Option<StateMachine> {
        Some(self.hosts.get(&id)?.running.as_ref()?.machine)
    }

    /// Returns the leader of the highest term.
    pub(crate) fn leader(&self) -> Option<u64> {
        self.hosts
            .iter()
            .filter_map(|(id, h)| Some((h.running.as_ref()?, *id)))
            .filter(|(r, _)| r.node.role() == Role::Leader)
            .max_by_key(|(r, _)| r.node.term())
            .map(|(_, id)| id)
    }

    /// Cuts or restores all links of a host in both directions.
    pub(crate) fn isolate(&mut self, id: u64, cut: bool) {
        let others: Vec<u64> = self.hosts.keys().copied().filter(|o| *o != id).collect();
        for other in others {
            for pair in [(id, other), (other, id)] {
                if cut {
                    self.net.cut_links.insert(pair);
                } else {
                    self.net.cut_links.remove(&pair);
                }
            }
        }
    }

    /// Calls `f` on a member unless it is down, stalled or syncing.
    fn with_node<T>(&mut self, id: u64, f: impl FnOnce(&mut Node, Duration) -> T) -> Option<T> {
        let now = self.now;
        let host = self.hosts.get_mut(&id)?;
        if host.stalled_until > now {
            return None;
        }
        let running = host.running.as_mut()?;
        if running.syncing.is_some() {
            return None;
        }
        Some(f(&mut running.node, now))
    }

    /// Proposes a new value at a member. Returns whether it was accepted.
    pub(crate) fn propose(&mut self, id: u64) -> bool {
        let value = self.next_value;
        self.next_value += 1;
        let accepted = self.with_node(id, |node, now| {
            let index = node.propose(now, value.to_le_bytes().to_vec()).ok()?;
            Some((index, node.term(), value))
        });
        let Some(Some(proposal)) = accepted else {
            return false;
        };
        let host = self.hosts.get_mut(&id).unwrap();
        host.running.as_mut().unwrap().proposals.push(proposal);
        self.process_effects(id);
        true
    }

    pub(crate) fn read(&mut self, id: u64) -> bool {
        let ctx = self.next_ctx;
        self.next_ctx += 1;
        let acked_index = self.acked_index;
        if self.with_node(id, |node, now| node.request_read(now, ctx).is_ok()) != Some(true) {
            return false;
        }
        let host = self.hosts.get_mut(&id).unwrap();
        host.running
            .as_mut()
            .unwrap()
            .reads
            .insert(ctx, acked_index);
        self.process_effects(id);
        true
    }

    pub(crate) fn change(&mut self, id: u64, change: MemberChange) -> bool {
        let accepted = self.with_node(id, |node, now| node.propose_change(now, change).is_ok());
        self.process_effects(id);
        accepted == Some(true)
    }

    /// Runs the cluster until the virtual time `end`.
    pub(crate) fn run_until(&mut self, end: Duration) {
        while self.now < end {
            let mut next = end;
            if let Some(Reverse((at, ..))) = self.in_flight.peek() {
                next = next.min(*at);
            }
            for host in self.hosts.values() {
                let Some(running) = &host.running else {
                    continue;
                };
                let due = match &running.syncing {
                    Some((at, _)) => *at,
                    None if !running.inbox.is_empty() => self.now,
                    None => running.node.deadline(),
                };
                next = next.min(due.max(host.stalled_until));
            }
            // Hosts that just resumed may have deadlines in the past.
            self.now = next.max(self.now);
            self.deliver();
            let ids: Vec<u64> = self.hosts.keys().copied().collect();
            for id in ids {
                self.run_member(id);
            }
        }
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Runs the cluster until the condition holds or `limit` has passed. Returns
    /// whether the condition holds.
    pub(crate) fn wait_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.run_for(ms(20));
        }
        done(self)
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, ..))) = self.in_flight.peek() {
            if *at > self.now {
                break;
            }
            let Some(Reverse((_, _, from, to, buf))) = self.in_flight.pop() else {
                break;
            };
            if self.net.cut_links.contains(&(from, to)) {
                continue;
            }
            let msg = Message::decode(buf.as_slice()).expect("messages decode");
            if let Some(running) = self.hosts.get_mut(&to).and_then(|h| h.running.as_mut()) {
                running.inbox.push_back((from, msg));
            }
        }
    }

    fn send(&mut self, from: u64, to: u64, msg: &Message) {
        let copies = if self.rng.random_bool(self.net.duplicate) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let cut = self.net.cut_links.contains(&(from, to));
            if self.rng.random_bool(self.net.loss) || cut {
                continue;
            }
            let (min, max) = self.net.delay_ms;
            let at = self.now + ms(self.rng.random_range(min..=max));
            self.send_count += 1;
            let item = (at, self.send_count, from, to, msg.encode_to_vec());
            self.in_flight.push(Reverse(item));
        }
    }

    fn run_member(&mut self, id: u64) {
        let now = self.now;
        let host = self.hosts.get_mut(&id).unwrap();
        if host.stalled_until > now {
            return;
        }
        let Some(running) = host.running.as_mut() else {
            return;
        };
        if let Some((at, _)) = &running.syncing {
            if *at > now {
                return;
            }
            let Some((_, fx)) = running.syncing.take() else {
                return;
            };
            self.finish_sync(id, fx);
        }
        let Some(running) = self.hosts.get_mut(&id).and_then(|h| h.running.as_mut()) else {
            return;
        };
        let mut active = false;
        while let Some((from, msg)) = running.inbox.pop_front() {
            running.node.step(now, from, msg);
            active = true;
        }
        if running.node.deadline() <= now {
            running.node.tick(now);
            active = true;
        }
        if active {
            self.process_effects(id);
        }
    }

    /// Takes the effects of a member and starts to sync them.
    fn process_effects(&mut self, id: u64) {
        let now = self.now;
        let Some(running) = self.hosts.get_mut(&id).and_then(|h| h.running.as_mut()) else {
            return;
        };
        if running.syncing.is_some() {
            return;
        }
        if running.node.role() == Role::Leader {
            let first = self.leader_by_term.entry(running.node.term()).or_insert(id);
            assert_eq!(*first, id, "two leaders in term {}", running.node.term());
        }
        let mut fx = running.node.take_effects(now);
        let must_sync = fx.must_sync();
        let save_result = running.store.save(&fx);
        for (to, msg) in std::mem::take(&mut fx.messages_before_sync) {
            self.send(id, to, &msg);
        }
        if save_result.is_err() {
            // The process stops without sending the messages that wait for the
            // sync. The power may have failed as well.
            self.crash(id);
            return;
        }
        let (min, max) = self.sync_ms;
        let time = if must_sync {
            ms(self.rng.random_range(min..=max))
        } else {
            Duration::ZERO
        };
        if let Some(running) = self.hosts.get_mut(&id).and_then(|h| h.running.as_mut()) {
            running.syncing = Some((now + time, fx));
        }
        if time.is_zero() {
            let running = self.hosts.get_mut(&id).and_then(|h| h.running.as_mut());
            if let Some((_, fx)) = running.and_then(|r| r.syncing.take()) {
                self.finish_sync(id, fx);
            }
        }
    }

    fn finish_sync(&mut self, id: u64, fx: Effects) {
        for (to, msg) in &fx.messages_after_sync {
            self.send(id, *to, msg);
        }
        let now = self.now;
        let Some(running) = self.hosts.get_mut(&id).and_then(|h| h.running.as_mut()) else {
            return;
        };
        running.node.on_persisted(now, fx.token);
        if fx.reset
            && let Some(s) = &fx.snapshot
        {
            running.machine = StateMachine::decode(&s.state);
            assert_eq!(
                running.machine.index, s.index,
                "a snapshot encodes its own index"
            );
        }
        for e in &fx.committed {
            running.machine.apply(e.index, e.term, &e.data);
            let known = self
                .committed
                .entry(e.index)
                .or_insert_with(|| (e.term, e.data.clone()));
            assert_eq!(
                known,
                &(e.term, e.data.clone()),
                "a committed entry changed"
            );
            self.states.entry(e.index).or_insert(running.machine);
            let position = running.proposals.iter().position(|p| p.0 == e.index);
            if let Some(i) = position {
                let (_, term, value) = running.proposals.swap_remove(i);
                if term == e.term {
                    assert_eq!(e.kind(), EntryKind::Command);
                    assert_eq!(
                        e.data,
                        value.to_le_bytes(),
                        "another value was committed at the index"
                    );
                    self.acked_index = self.acked_index.max(e.index);
                    self.acked_entries += 1;
                }
            }
        }
        for ctx in &fx.confirmed_reads {
            let acked_index = running
                .reads
                .remove(ctx)
                .expect("each read is confirmed once");
            assert!(
                running.machine.index >= acked_index,
                "member {id} confirmed a read at index {} after index {acked_index} was acknowledged",
                running.machine.index,
            );
            self.reads_done += 1;
        }
        for ctx in &fx.failed_reads {
            running.reads.remove(ctx);
        }
        let machine = running.machine;
        let base = running.node.snapshot().map_or(0, |s| s.index);
        if machine.index >= base + self.compact_every {
            running.node.compact(machine.index, machine.encode());
        }
        self.check_state(machine);
        // The sync itself can cause more effects, such as a commit.
        let running = self.hosts.get_mut(&id).and_then(|h| h.running.as_mut());
        let has_new_commits = running.is_some_and(|r| r.node.commit_index() > r.machine.index);
        if has_new_commits {
            self.process_effects(id);
        }
    }

    fn check_state(&self, machine: StateMachine) {
        let known = self.states.get(&machine.index);
        assert_eq!(known, Some(&machine), "the state of a member differs");
    }
}
