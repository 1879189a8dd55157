//! What the control thread publishes about itself.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use anvilloft_consensus::Membership;
use anvilloft_types::prelude::*;
use anvilloft_wire::command::OpenIncarnation;

/// State of a control member.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Identity of this member.
    pub id: MemberId,
    /// Whether this member leads and its state includes everything committed.
    pub is_leader: bool,
    /// Current term.
    pub term: u64,
    /// Leader, where known.
    pub leader: Option<MemberId>,
    /// Peer address of the leader, or empty.
    pub leader_address: String,
    /// Members of the group.
    pub membership: Membership,
    /// Whether a membership change is not committed yet.
    pub membership_changing: bool,
    /// Last committed entry.
    pub commit_index: u64,
    /// Last entry applied to the ledger.
    pub applied_index: u64,
    /// Configuration revision of this member's ledger.
    pub revision: Revision,
    /// Version of the published route table in this member's ledger.
    pub publication_version: u64,
    /// Routers that this member's ledger lists, by name.
    pub routers: Arc<[OpenIncarnation]>,
    /// Why the control thread stopped, or empty.
    pub failure: String,
}

/// Counters of a control thread.
#[derive(Debug, Default)]
pub struct DriverStats {
    /// Syncs.
    pub syncs: AtomicU64,
    /// Time spent in syncs, in microseconds.
    pub sync_us: AtomicU64,
    /// Log records written, in bytes.
    pub log_bytes: AtomicU64,
    /// Entries applied.
    pub applied: AtomicU64,
    /// Snapshots taken or received.
    pub snapshots: AtomicU64,
    /// Times that this member became leader.
    pub elections_won: AtomicU64,
    /// Calls refused because a queue was full.
    pub calls_refused: AtomicU64,
    /// Consensus messages dropped because the queue was full.
    pub messages_dropped: AtomicU64,
    /// Commands that wait to be committed, now.
    pub pending_commands: AtomicU64,
    /// Grants that wait for returned allotments, now.
    pub held_grants: AtomicU64,
    /// Orders of the planner.
    pub orders_issued: AtomicU64,
    /// Orders that endpoints took.
    pub orders_accepted: AtomicU64,
    /// Orders that were dropped, refused or lost.
    pub orders_failed: AtomicU64,
    /// Endpoints that routers report, now.
    pub endpoints: AtomicU64,
    /// Reports of routers and endpoints in them beyond the bounds.
    pub reports_dropped: AtomicU64,
}
