//! Status and counters that the control thread publishes.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Instant;

use anvilloft_consensus::Membership;
use anvilloft_types::prelude::*;
use anvilloft_wire::command::Evacuations;
use anvilloft_wire::command::OpenIncarnation;

/// State of a control member.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Id of this member.
    pub id: MemberId,
    /// Whether this member is the leader and has applied everything committed.
    pub is_leader: bool,
    /// Current term.
    pub term: u64,
    /// Current leader, if known.
    pub leader: Option<MemberId>,
    /// Since when no leader is known, or `None` while one is.
    pub leaderless_since: Option<Instant>,
    /// Peer address of the leader, or empty if unknown.
    pub leader_address: String,
    /// Members of the group.
    pub membership: Membership,
    /// Whether a membership change is uncommitted.
    pub membership_changing: bool,
    /// Index of the last committed entry.
    pub commit_index: u64,
    /// Index of the last entry applied to the ledger.
    pub applied_index: u64,
    /// Configuration revision of this member's ledger.
    pub revision: Revision,
    /// Version of the published route table in this member's ledger.
    pub publication_version: u64,
    /// Its compressed size, in bytes.
    pub publication_bytes: usize,
    /// Evacuated data centres in this member's ledger.
    pub evacuations: Evacuations,
    /// Open router incarnations in this member's ledger, sorted by name.
    pub routers: Arc<[OpenIncarnation]>,
    /// Whether this member waits for room on its disk.
    pub disk_full: bool,
    /// Reason why the control thread stopped, or empty while it runs.
    pub failure: String,
}

/// Number of budgets whose tokens at dead routers are shown one by one.
pub(super) const LARGEST_LOSSES: usize = 3;

/// Tokens of all budgets (gauges). All are 0 at members that don't lead.
#[derive(Debug, Default)]
pub struct TokenStats {
    /// Paid in.
    pub topped_up: AtomicU64,
    /// Neither allotted nor spent.
    pub unspent: AtomicU64,
    /// Spent, with those that dead routers may have used.
    pub settled: AtomicU64,
    /// Part of `settled` that dead routers may have used.
    pub forfeited: AtomicU64,
    /// Unlocked or in use at live routers.
    pub live: AtomicU64,
    /// Locked at live routers.
    pub locked: AtomicU64,
    /// At lost routers whose processes may still run.
    pub unconfirmed: AtomicU64,
    /// Locked at dead routers.
    pub restorable: AtomicU64,
    /// Unlocked or in use at dead routers.
    pub usable_at_death: AtomicU64,
    /// At dead routers, of the budgets that miss the most, the largest amount first.
    pub largest_losses: [AtomicU64; LARGEST_LOSSES],
}

/// Counters and gauges of a control thread.
#[derive(Debug, Default)]
pub struct DriverStats {
    /// Syncs of the data folder.
    pub syncs: AtomicU64,
    /// Time spent in syncs, in microseconds.
    pub sync_us: AtomicU64,
    /// Size of all log records written since the start, in bytes.
    pub log_bytes: AtomicU64,
    /// Entries applied.
    pub applied: AtomicU64,
    /// Snapshots taken or received.
    pub snapshots: AtomicU64,
    /// Elections that this member started, pre-votes included.
    pub elections_started: AtomicU64,
    /// Times that this member became leader.
    pub elections_won: AtomicU64,
    /// Calls refused at a limit, such as a full queue.
    pub calls_refused: AtomicU64,
    /// Consensus messages dropped because the queue was full.
    pub messages_dropped: AtomicU64,
    /// Commands that are not committed yet (gauge).
    pub pending_commands: AtomicU64,
    /// Grants that wait for returned allotments (gauge).
    pub held_grants: AtomicU64,
    /// Where the tokens of all budgets are, in the leader's ledger.
    pub tokens: TokenStats,
    /// Placement orders issued by the planner.
    pub orders_issued: AtomicU64,
    /// Placement orders that endpoints accepted.
    pub orders_accepted: AtomicU64,
    /// Placement orders that were dropped, refused or lost.
    pub orders_failed: AtomicU64,
    /// Endpoints that routers report (gauge).
    pub endpoints: AtomicU64,
    /// Router reports, and endpoints and demands in them, that were dropped
    /// because they exceeded a limit.
    pub reports_dropped: AtomicU64,
}
