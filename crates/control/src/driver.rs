//! The control thread: one member's consensus, store and ledger.
//!
//! [`Driver::start`] opens the member's disk and runs everything on one thread
//! with a current-thread runtime. [`Handle`] reaches it from any other thread:
//! it implements [`Control`](anvilloft_wire::Control) and delivers consensus
//! messages of other members.
//!
//! - `core`: the main loop
//! - `reads`: configuration leases and queries
//! - `membership`: changes to the control group
//! - `timers`: timeouts of router incarnations
//! - `recalls`: grants that wait until routers return allotments
//! - `placement`: router reports and the placement planner
//! - `full_disk`: waiting for room on the disk
//! - `snapshot_worker`: encodes snapshots on a second thread
//!
//! Input that is queued while a sync runs is handled together before the next
//! one, so that one sync covers many commands.

mod contacts;
mod core;
mod full_disk;
mod group_log;
mod handle;
mod member_plan;
mod membership;
mod placement;
mod proposal_clock;
mod reads;
mod recalls;
mod replies;
mod reserves;
mod snapshot_worker;
mod status;
#[cfg(test)]
mod tests;
mod timers;
mod tokens;

use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;

use anvilloft_consensus::Effects;
use anvilloft_consensus::Member;
use anvilloft_consensus::Membership;
use anvilloft_consensus::Node;
use anvilloft_consensus::NodeConfig;
use anvilloft_consensus::Snapshot;
use anvilloft_ledger::Ledger;
use anvilloft_ledger::LedgerError;
use anvilloft_storage::Disk;
use anvilloft_storage::StorageError;
use anvilloft_storage::Store;
use anvilloft_types::Clock;
use anvilloft_types::prelude::*;
use anvilloft_types::to_ms;
use anvilloft_types::unix_ms;
use anvilloft_wire::command::Evacuations;
use anvilloft_wire::command::Quarantined;
use anvilloft_wire::frame::ConsensusFrame;
use quick_error::quick_error;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::sync::watch;

use self::contacts::OwnCopies;
use self::core::Core;
use self::member_plan::PlanConfig;
use self::snapshot_worker::SnapshotWorker;

pub use self::handle::Handle;
pub(crate) use self::placement::ENDPOINTS_QUERY;
pub use self::placement::EndpointOrder;
pub(crate) use self::replies::ok_reply;
pub use self::status::DriverStats;
pub use self::status::Status;
pub use self::status::TokenStats;

/// Maximum number of queued calls.
const MAX_QUEUED_CALLS: usize = 8_192;
/// Maximum number of queued consensus messages. They have their own queue so
/// that calls can't delay heartbeats. Messages beyond the limit are dropped;
/// consensus retransmits them.
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Maximum size of a command, in bytes. Together with the message size limit of
/// the consensus crate, it keeps every frame below the 4 MiB of a peer session.
pub const MAX_COMMAND_BYTES: usize = 2 * 1024 * 1024;

/// Sends messages to other processes.
///
/// Implemented by the session layer. No method may block; messages that can't
/// be sent are dropped.
pub trait Transport: Send + Sync {
    /// Sends a consensus message to another control member.
    fn send(&self, member: MemberId, frame: ConsensusFrame);

    /// Asks a router to return idle allotments of a budget at once, ahead of
    /// its next lease answer.
    fn send_recall(&self, _router: &str, _incarnation: Incarnation, _budget: &str) {}

    /// Notifies the routers of a newer configuration revision. Called on the
    /// leader only.
    fn push_config_revision(&self, _revision: Revision) {}

    /// Notifies the routers of a newly published route table. Called on every
    /// member, because a router may have lost its session with the leader.
    fn push_publication_version(&self, _version: u64) {}

    /// Sends the routers the traits of requests that are quarantined. Called on every
    /// member after a change.
    fn push_quarantined(&self, _quarantined: Quarantined) {}

    /// Sends the routers the list of evacuated data centres. Called on every member after
    /// a change, because the leader may fail before it has sent it.
    fn push_evacuations(&self, _evacuations: Evacuations) {}

    /// Sends a placement order to an endpoint, or drops it if it can't arrive
    /// in time. Called on the leader only.
    fn send_order(&self, _order: EndpointOrder) {}
}

quick_error! {
    /// Error that prevents the driver from starting or stops it.
    #[derive(Debug)]
    pub enum DriverError {
        /// The durable state can't be read or written.
        Storage(err: StorageError) {
            display("{}", err)
            source(err)
            from()
        }
        /// The snapshot can't be read by this build.
        Snapshot(err: LedgerError) {
            display("snapshot: {}", err)
            source(err)
            from()
        }
        /// The thread or its runtime can't be started.
        Thread(err: std::io::Error) {
            display("control thread: {}", err)
            source(err)
            from()
        }
        /// The control thread panicked.
        Panicked {
            display("the control thread panicked")
        }
    }
}

/// Configuration of a [`Driver`].
pub struct DriverConfig {
    /// Settings of the consensus node. Its id comes from
    /// [`anvilloft_storage::load_or_create_member_id`].
    pub node: NodeConfig,
    /// Disk of this member. Nothing but the driver may write to it.
    pub disk: Box<dyn Disk>,
    /// Peer address of this member. If set and the disk is empty, the member
    /// starts a new group of itself alone. With `None` it waits to be added to
    /// a group.
    pub bootstrap_address: Option<String>,
    /// Transport to other processes.
    pub transport: Arc<dyn Transport>,
    /// Logger.
    pub log: Logger,
    /// Random seed of the election timeouts.
    pub seed: u64,
    /// Whether members that were removed ask to join again by themselves, as with
    /// `[control] auto_join`. A silent voter is then removed sooner.
    pub members_rejoin: bool,
    /// Clock that measures elections and the silence of routers.
    pub clock: Clock,
    /// Number of log entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Size of the log, in bytes, after which a snapshot is taken regardless of
    /// the number of entries.
    pub snapshot_log_bytes: usize,
}

impl DriverConfig {
    /// Returns the default configuration.
    pub fn new(
        id: MemberId,
        disk: Box<dyn Disk>,
        transport: Arc<dyn Transport>,
        log: Logger,
        seed: u64,
    ) -> Self {
        Self {
            node: NodeConfig {
                max_entry_bytes: MAX_COMMAND_BYTES,
                ..NodeConfig::new(id, 0)
            },
            disk,
            bootstrap_address: None,
            transport,
            log,
            seed,
            members_rejoin: false,
            clock: Clock::start(),
            snapshot_entries: 4_096,
            snapshot_log_bytes: 64 * 1024 * 1024,
        }
    }
}

/// A running control thread.
pub struct Driver {
    handle: Handle,
    thread: JoinHandle<Result<(), DriverError>>,
}

impl Driver {
    /// Opens the disk and starts the control thread.
    ///
    /// # Errors
    ///
    /// Fails when the disk can't be read, when synced data is damaged, and
    /// when no thread can be started.
    pub fn start(cfg: DriverConfig) -> Result<Self, DriverError> {
        let (clock, start) = (cfg.clock, cfg.clock.now());
        let group = cfg.node.group;
        let (mut store, mut restored) = Store::open(cfg.disk, group)?;
        let is_new = restored.snapshot.is_none()
            && restored.entries.is_empty()
            && restored.hard_state.term == 0;
        if let (true, Some(address)) = (is_new, cfg.bootstrap_address) {
            let id = cfg.node.id;
            let member = Member {
                id,
                address,
                voter: true,
            };
            // Stored as a snapshot because no log entry holds the first
            // membership.
            let initial = Arc::new(Snapshot {
                group,
                membership: Some(Membership {
                    members: vec![member],
                }),
                ..Snapshot::default()
            });
            store.save(&Effects {
                snapshot: Some(Arc::clone(&initial)),
                reset: true,
                ..Effects::default()
            })?;
            restored.snapshot = Some(initial);
        }
        let ledger = match &restored.snapshot {
            Some(s) if !s.state.is_empty() => Ledger::decode(&s.state)?,
            _ => Ledger::new(),
        };
        slog::info!(cfg.log, "control state restored";
            "member" => cfg.node.id, "term" => restored.hard_state.term,
            "snapshot" => restored.snapshot.as_ref().map_or(0, |s| s.index),
            "entries" => restored.entries.len(),
            "ms" => to_ms(clock.now() - start));
        let own_copies = OwnCopies::new(clock.now(), unix_ms(), &store.take_write_times());
        let worker = SnapshotWorker::start(restored.snapshot.clone())?;
        let (calls_tx, calls) = mpsc::channel(MAX_QUEUED_CALLS);
        let (messages_tx, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (status_tx, status) = watch::channel(Status::default());
        let (stop_tx, stop) = watch::channel(false);
        let stats = Arc::new(DriverStats::default());
        let handle = Handle {
            calls: calls_tx,
            messages: messages_tx,
            status,
            stop: Arc::new(stop_tx),
            stats: Arc::clone(&stats),
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()?;
        let first_reply_timeout = cfg.node.max_election_timeout;
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                let node = Node::new(cfg.node, restored, clock.now(), cfg.seed);
                let mut core =
                    Core::new(clock, node, store, ledger, worker, cfg.transport, cfg.log);
                core.stats = stats;
                core.status = status_tx;
                core.snapshot_entries = cfg.snapshot_entries;
                core.snapshot_log_bytes = cfg.snapshot_log_bytes;
                core.own_copies = own_copies;
                core.plan = PlanConfig {
                    members_rejoin: cfg.members_rejoin,
                    first_reply_timeout,
                };
                runtime.block_on(core.run(calls, messages, stop))
            })?;
        Ok(Self { handle, thread })
    }

    /// Returns a handle to the control thread.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Stops the control thread and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns the error that had stopped the thread before, if any.
    pub fn stop(self) -> Result<(), DriverError> {
        self.handle.stop.send_replace(true);
        self.join()
    }

    /// Waits until the control thread ends. Without [`stop`](Self::stop), it
    /// ends only when its disk fails.
    ///
    /// # Errors
    ///
    /// Returns the error that stopped the thread.
    pub fn join(self) -> Result<(), DriverError> {
        self.thread.join().unwrap_or(Err(DriverError::Panicked))
    }
}
