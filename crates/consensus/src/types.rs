//! Settings, inputs and outputs of a node.

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

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Identity of this member.
    pub id: MemberId,
    /// Replicated group.
    pub group: GroupId,
    /// Interval between heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout.
    pub min_election_timeout: Duration,
    /// Longest election timeout. A leader that hears from no majority for
    /// this long steps down.
    pub max_election_timeout: Duration,
    /// Shortest election timeout after a start of this member. It may be shorter
    /// than the others: members that hear from a leader refuse the pre-vote.
    pub min_first_election_timeout: Duration,
    /// Longest entry, in bytes.
    pub max_entry_bytes: usize,
    /// Soft limit of one append or snapshot message, in bytes. An append holds
    /// at least one entry, so a message is at most this and one entry long.
    pub max_message_bytes: usize,
    /// Most entries that may wait for a majority, and most entries sent to one
    /// member without an acknowledgement.
    pub max_uncommitted_entries: u64,
    /// Most reads that may wait for a majority.
    pub max_pending_reads: usize,
    /// Entries that stay in memory below a snapshot, so that a member that is
    /// a little behind needs no snapshot.
    pub trailing_entries: u64,
}

impl NodeConfig {
    /// Returns the settings for members within one city.
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

/// State read back from the data folder.
#[derive(Clone, Debug, Default)]
pub struct RestoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Newest snapshot. A founding member starts with one at index 0 that
    /// holds the founding membership; a member that joins later has none.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries that follow the snapshot.
    pub entries: Vec<Entry>,
}

/// Part that a member plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it could win an election, without raising its term.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads the group.
    Leader,
}

/// A change of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a member that receives the log and has no vote.
    AddLearner {
        /// Identity of the new member.
        id: MemberId,
        /// Peer address, `ip:port`.
        address: String,
    },
    /// Gives a learner that has caught up a vote.
    Promote(MemberId),
    /// Removes a voter or learner.
    Remove(MemberId),
}

/// Names the newest entry of an [`Effects`] whose entries are being synced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PersistToken {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
}

/// What the caller must do, in the order of the fields.
///
/// `messages_before_sync` may be sent at once. `hard_state`, `snapshot` and `entries` are
/// written and synced, in this order, before `messages_after_sync` are sent and before
/// [`Node::on_persisted`](crate::Node::on_persisted) is called. The effects of a
/// later call must not overtake those of an earlier one.
#[derive(Debug, Default)]
pub struct Effects {
    /// Appends of a leader, which may be sent before the sync.
    pub messages_before_sync: Vec<(MemberId, Message)>,
    /// Term and vote to persist.
    pub hard_state: Option<HardState>,
    /// Snapshot to persist.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether `snapshot` came from a leader and replaces the whole log and
    /// the state machine. Otherwise it only stands for the entries up to its
    /// index.
    pub reset: bool,
    /// Entries to persist. An entry replaces those at its index and above.
    pub entries: Vec<Entry>,
    /// To be passed to `on_persisted` after the sync.
    pub token: PersistToken,
    /// Messages to send after the sync.
    pub messages_after_sync: Vec<(MemberId, Message)>,
    /// Committed entries to apply, in order, after `snapshot` when `reset`.
    pub committed: Vec<Entry>,
    /// Contexts of reads that may be answered from the state after
    /// `committed` was applied.
    pub confirmed_reads: Vec<u64>,
    /// Contexts of reads that this member can't answer any more.
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

    /// Returns whether a sync is needed.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}
