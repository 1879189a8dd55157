//! Raft consensus: replicates one ordered log among the control members, with
//! pre-vote, check-quorum, read-index, learners, single-member membership
//! changes and snapshots.
//!
//! [`Node`] is the state machine of one member of one replicated group. It does
//! no I/O and reads neither a clock nor a source of entropy: the caller passes
//! in the time and a random seed, and carries out the returned [`Effects`].
//!
//! Source: D. Ongaro, "Consensus: Bridging Theory and Practice", Stanford,
//! 2014. Chapter 3 (log replication), 4 (membership), 5 (compaction), 6.4
//! (read-index), 9.6 (pre-vote).

mod change;
mod election;
mod error;
mod log;
mod membership;
pub mod message;
mod node;
mod replication;
mod types;

pub use error::ProposeError;
pub use message::Entry;
pub use message::EntryKind;
pub use message::HardState;
pub use message::Member;
pub use message::Membership;
pub use message::Message;
pub use message::Snapshot;
pub use node::Node;
pub use types::Effects;
pub use types::LogIndex;
pub use types::MemberChange;
pub use types::NodeConfig;
pub use types::PersistToken;
pub use types::RestoredState;
pub use types::Role;
pub use types::Term;
