//! Configuration, inputs and outputs of a node.

use std::sync::Arc;

use anvilloft_types::prelude::*;

use crate::message::Entry;
use crate::message::HardState;
use crate::message::Message;
use crate::message::Snapshot;

/// Position in the replicated log. The first entry has index 1.
pub type LogIndex = u64;
/// Election term. The first election has term 1.
pub type Term = u64;

/// Configuration of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Id of this member.
    pub id: MemberId,
    /// Replicated group that the member belongs to.
    pub group: GroupId,
    /// Interval between heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout. Timeouts are drawn at random from the range up
    /// to `max_election_timeout`.
    pub min_election_timeout: Duration,
    /// Maximum election timeout. A leader without contact to a majority for
    /// this long steps down (check-quorum).
    pub max_election_timeout: Duration,
    /// Minimum of the first election timeout after this member starts. It may be
    /// shorter than the others: members in contact with a leader refuse the
    /// pre-vote.
    pub min_first_election_timeout: Duration,
    /// Maximum size of the data of an entry, in bytes.
    pub max_entry_bytes: usize,
    /// Soft limit on the size of one append or snapshot message, in bytes. An
    /// append always carries at least one entry, so a message can exceed this by
    /// up to one entry.
    pub max_message_bytes: usize,
    /// Maximum number of entries that wait for a majority, which is also the
    /// maximum number sent to one member without an acknowledgement.
    pub max_uncommitted_entries: u64,
    /// Maximum number of reads that wait for a majority.
    pub max_pending_reads: usize,
    /// Number of entries kept in memory below a snapshot, so that a member that
    /// lags slightly behind needs no snapshot.
    pub trailing_entries: u64,
}

impl NodeConfig {
    /// Returns the default configuration, for members within one city.
    pub fn new(id: MemberId, group: GroupId) -> Self {
        Self {
            id,
            group,
            heartbeat_interval: Duration::from_millis(50),
            min_election_timeout: Duration::from_millis(300),
            max_election_timeout: Duration::from_millis(600),
            min_first_election_timeout: Duration::from_millis(300),
            max_entry_bytes: 1024 * 1024,
            max_message_bytes: 1024 * 1024,
            max_uncommitted_entries: 16_384,
            max_pending_reads: 16_384,
            trailing_entries: 1_024,
        }
    }
}

/// State of a member, as read from its data folder at startup.
#[derive(Clone, Debug, Default)]
pub struct RestoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Newest snapshot. An initial member of the group starts with one at index 0
    /// that holds the initial membership; a member that joins later has none.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Raft role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Runs a pre-vote: asks whether it could win an election, without raising
    /// its term.
    PreCandidate,
    /// Requests votes for the current term.
    Candidate,
    /// Leads the group.
    Leader,
}

/// A change of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a member that replicates the log but has no vote.
    AddLearner {
        /// Id of the new member.
        id: MemberId,
        /// Peer address, `ip:port`.
        address: String,
    },
    /// Turns a learner into a voter, once it has caught up.
    Promote(MemberId),
    /// Removes a voter or learner.
    Remove(MemberId),
}

/// Identifies the last entry of an [`Effects`] while its entries are synced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PersistToken {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
}

/// Work that the caller must carry out, in the order of the fields.
///
/// `messages_before_sync` may be sent at once. `hard_state`, `snapshot` and
/// `entries` are written and synced, in this order, before
/// `messages_after_sync` are sent and before
/// [`Node::on_persisted`](crate::Node::on_persisted) is called. The effects of a
/// later call must not overtake those of an earlier one.
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages that a leader may send before the sync: appends and snapshot
    /// chunks.
    pub messages_before_sync: Vec<(MemberId, Message)>,
    /// Term and vote to persist.
    pub hard_state: Option<HardState>,
    /// Snapshot to persist.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether `snapshot` came from a leader and replaces the whole log and
    /// the state machine. Otherwise it only compacts the entries up to its
    /// index.
    pub reset: bool,
    /// Entries to persist. An entry replaces those at its index and above it.
    pub entries: Vec<Entry>,
    /// Token to pass to `on_persisted` after the sync.
    pub token: PersistToken,
    /// Messages to send after the sync.
    pub messages_after_sync: Vec<(MemberId, Message)>,
    /// Committed entries to apply, in order. When `reset` is set, the state
    /// machine is first replaced by `snapshot`.
    pub committed: Vec<Entry>,
    /// Contexts of the reads that can be served from the state machine once
    /// `committed` is applied.
    pub confirmed_reads: Vec<u64>,
    /// Contexts of the reads that failed because this member is no longer the
    /// leader.
    pub failed_reads: Vec<u64>,
}

impl Effects {
    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        !self.must_sync()
            && self.messages_before_sync.is_empty()
            && self.messages_after_sync.is_empty()
            && self.committed.is_empty()
            && self.confirmed_reads.is_empty()
            && self.failed_reads.is_empty()
    }

    /// Returns whether anything must be written and synced.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}
