//! Protobuf messages that members exchange and store on disk.

use anvilloft_types::prelude::*;

/// Kind of a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// Command for the state machine.
    Command = 0,
    /// Empty entry that a new leader appends first in its term.
    Noop = 1,
    /// Complete membership, in effect from this entry on.
    Members = 2,
}

/// An entry of the replicated log.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Entry {
    /// Position in the log.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that appended the entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Kind of the entry.
    #[prost(enumeration = "EntryKind", tag = "3")]
    pub kind: i32,
    /// Command or encoded [`Membership`], depending on `kind`.
    #[prost(bytes = "vec", tag = "4")]
    pub data: Vec<u8>,
}

/// A control member.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Member {
    /// Random id, generated when the data folder is created.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Peer address, `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Whether the member votes and counts towards a majority.
    #[prost(bool, tag = "3")]
    pub voter: bool,
}

/// The members of a group, sorted by id.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Membership {
    /// Members.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
}

/// Raft hard state: term and vote of a member, persisted before it replies.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct HardState {
    /// Replicated group.
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// Latest term that the member has seen.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Member voted for in this term, or 0 for none.
    #[prost(uint64, tag = "3")]
    pub vote: u64,
}

/// Snapshot of the state machine at one log index.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Snapshot {
    /// Replicated group.
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// Index of the last entry that the state includes.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Membership in effect at that entry.
    #[prost(message, optional, tag = "4")]
    pub membership: Option<Membership>,
    /// Encoded state; empty for the initial state.
    #[prost(bytes = "vec", tag = "5")]
    pub state: Vec<u8>,
}

/// A message from one member to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Replicated group.
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// Id of the receiver. A host that lost its disk has a new id and drops
    /// messages to the old one.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Term of the sender. A pre-vote and its grant carry the term of the
    /// prospective election instead.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Payload of the message.
    #[prost(oneof = "Body", tags = "4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<Body>,
}

/// Payload of a [`Message`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Asks whether an election could be won.
    #[prost(message, tag = "4")]
    PreVote(VoteRequest),
    /// Reply to `PreVote`.
    #[prost(message, tag = "5")]
    PreVoteReply(VoteReply),
    /// Requests a vote.
    #[prost(message, tag = "6")]
    Vote(VoteRequest),
    /// Reply to `Vote`.
    #[prost(message, tag = "7")]
    VoteReply(VoteReply),
    /// Log entries, or a heartbeat when there are none.
    #[prost(message, tag = "8")]
    AppendEntries(AppendEntries),
    /// Reply to `AppendEntries`.
    #[prost(message, tag = "9")]
    AppendEntriesReply(AppendEntriesReply),
    /// Chunk of a snapshot.
    #[prost(message, tag = "10")]
    InstallSnapshot(InstallSnapshot),
    /// Reply to `InstallSnapshot`.
    #[prost(message, tag = "11")]
    InstallSnapshotReply(InstallSnapshotReply),
}

/// Requests a vote or pre-vote.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct VoteRequest {
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
}

/// Reply to a [`VoteRequest`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct VoteReply {
    /// Whether the vote was granted.
    #[prost(bool, tag = "1")]
    pub granted: bool,
}

/// Log entries from the leader.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct AppendEntries {
    /// Index of the entry that precedes `entries`.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Term of the entry that precedes `entries`.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// Entries, contiguous from `prev_index + 1`.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// Commit index of the leader.
    #[prost(uint64, tag = "4")]
    pub leader_commit: u64,
    /// Read-index round, echoed in the reply.
    #[prost(uint64, tag = "5")]
    pub read_round: u64,
}

/// Reply to [`AppendEntries`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct AppendEntriesReply {
    /// Whether the log matched at `prev_index` and the entries were stored.
    #[prost(bool, tag = "1")]
    pub stored: bool,
    /// Last index known to match when stored, otherwise the `prev_index` that
    /// didn't match.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Highest index that may match, when not stored.
    #[prost(uint64, tag = "3")]
    pub hint: u64,
    /// Read-index round of the request.
    #[prost(uint64, tag = "4")]
    pub read_round: u64,
}

/// Chunk of a snapshot from the leader.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct InstallSnapshot {
    /// Index of the last entry that the snapshot includes.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
    /// Membership in effect at that entry.
    #[prost(message, optional, tag = "3")]
    pub membership: Option<Membership>,
    /// Size of the whole encoded state, in bytes.
    #[prost(uint64, tag = "4")]
    pub total_bytes: u64,
    /// Offset of `data` in the encoded state, in bytes.
    #[prost(uint64, tag = "5")]
    pub offset: u64,
    /// Chunk of the encoded state.
    #[prost(bytes = "vec", tag = "6")]
    pub data: Vec<u8>,
    /// Read-index round, echoed in the reply.
    #[prost(uint64, tag = "7")]
    pub read_round: u64,
}

/// Reply to [`InstallSnapshot`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct InstallSnapshotReply {
    /// Index of the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Offset of the chunk that the receiver expects next, in bytes.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Whether the receiver has all state up to `index`.
    #[prost(bool, tag = "3")]
    pub done: bool,
    /// Read-index round of the request.
    #[prost(uint64, tag = "4")]
    pub read_round: u64,
}

impl Membership {
    /// Builds a membership of voters from ids and peer addresses.
    pub fn from_voters<I, S>(members: I) -> Self
    where
        I: IntoIterator<Item = (MemberId, S)>,
        S: Into<String>,
    {
        let mut members: Vec<Member> = members
            .into_iter()
            .map(|(id, address)| Member {
                id,
                address: address.into(),
                voter: true,
            })
            .collect();
        members.sort_by_key(|m| m.id);
        Self { members }
    }
}
