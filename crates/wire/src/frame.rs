//! Frames of a peer session.

use crate::control::ControlReply;
use crate::control::ControlRequest;

/// Maximum size of a frame on a peer session, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Lowest protocol version that this build speaks.
pub const PROTOCOL_MIN: u32 = 1;
/// Highest protocol version that this build speaks.
pub const PROTOCOL_MAX: u32 = 1;

/// First frame of each side of a session.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Hello {
    /// Lowest protocol version that the sender speaks.
    #[prost(uint32, tag = "1")]
    pub version_min: u32,
    /// Highest protocol version that the sender speaks.
    #[prost(uint32, tag = "2")]
    pub version_max: u32,
    /// Name of the sending process.
    #[prost(string, tag = "3")]
    pub node: String,
    /// `router` or `control`.
    #[prost(string, tag = "4")]
    pub role: String,
    /// Data centre of the sender.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// Random nonce, 32 bytes.
    #[prost(bytes = "vec", tag = "7")]
    pub nonce: Vec<u8>,
    /// Random identity of a control member; 0 for routers.
    #[prost(uint64, tag = "8")]
    pub member: u64,
}

/// A frame after both hellos.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// The frame itself.
    #[prost(
        oneof = "Payload",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16"
    )]
    pub payload: Option<Payload>,
}

/// The kinds of frames.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    /// Heartbeat. Holds the time since the sender opened the session, in
    /// microseconds.
    #[prost(uint64, tag = "1")]
    Ping(u64),
    /// Echo of a heartbeat.
    #[prost(uint64, tag = "2")]
    Pong(u64),
    /// A request.
    #[prost(message, tag = "3")]
    Call(Call),
    /// The reply to a request.
    #[prost(message, tag = "4")]
    Answer(CallReply),
    /// A consensus message between control members.
    #[prost(message, tag = "5")]
    Consensus(ConsensusFrame),
    /// An endpoint's announcement, relayed between routers.
    #[prost(message, tag = "6")]
    EndpointUpdate(EndpointUpdate),
    /// Asks a router to return idle allotments of a budget.
    #[prost(string, tag = "7")]
    Recall(String),
    /// A copy of unacknowledged settlements for a peer router.
    #[prost(message, tag = "8")]
    SettlementCopy(crate::command::Report),
    /// Tells a router that a newer configuration revision exists.
    #[prost(uint64, tag = "9")]
    ConfigPush(u64),
    /// Fingerprint of a request that gets a strike, 16 bytes, between routers.
    /// It arrives before the list of suspects in the next lease.
    #[prost(bytes = "vec", tag = "10")]
    Struck(Vec<u8>),
    /// Tells a router that a newer route table was published.
    #[prost(uint64, tag = "11")]
    PublicationPush(u64),
    /// Announcements that control members forward to routers.
    #[prost(message, tag = "12")]
    EndpointBatch(EndpointBatch),
    /// Ends a loan of tokens between routers.
    #[prost(message, tag = "13")]
    LoanEnd(LoanEnd),
    /// Load that the sending router puts on model engines.
    #[prost(message, tag = "14")]
    RouterLoad(RouterLoad),
    /// Traits of requests that control members quarantined. It arrives before the
    /// list in the next lease.
    #[prost(message, tag = "15")]
    Quarantined(crate::command::Quarantined),
    /// Data centres that are evacuated. Every control member sends it on a change and
    /// when a session opens; leases contain it, too.
    #[prost(message, tag = "16")]
    Evacuations(crate::command::Evacuations),
}

/// Ends a loan and tells the lender how many of its tokens were used.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct LoanEnd {
    /// Id of the loan at the lender.
    #[prost(uint64, tag = "1")]
    pub loan_id: u64,
    /// Number of tokens used. The others go back to the lender.
    #[prost(uint64, tag = "2")]
    pub used: u64,
}

/// Load that one router puts on model engines.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct RouterLoad {
    /// Load on each engine that has work of this router.
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<EngineLoad>,
    /// Prompts that this router sent to engines since its last message.
    #[prost(message, repeated, tag = "2")]
    pub sent_prompts: Vec<SentPrompt>,
}

/// A prompt that was sent to an engine. The KV cache of the engine holds its
/// parts after the prefill.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct SentPrompt {
    /// Name of the engine.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Ids of the parts of the prompt, in order.
    #[prost(fixed64, repeated, tag = "2")]
    pub part_ids: Vec<u64>,
    /// Their lengths in tokens, in the same order.
    #[prost(uint64, repeated, tag = "3")]
    pub part_tokens: Vec<u64>,
}

/// Load that one router puts on one engine. The lists are indexed by rank; a
/// missing rank counts as 0.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct EngineLoad {
    /// Name of the engine.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Predicted time to prefill the prompts that wait there, in milliseconds.
    #[prost(uint32, repeated, tag = "2")]
    pub backlog_ms: Vec<u32>,
    /// Number of requests that run or wait there.
    #[prost(uint32, tag = "3")]
    pub in_flight: u32,
    /// Measured delay of first events beyond the prediction, in milliseconds.
    #[prost(uint32, repeated, tag = "4")]
    pub delay_ms: Vec<u32>,
}

/// Announcements that were received since the last batch.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EndpointBatch {
    /// The announcements, the newest of each endpoint.
    #[prost(message, repeated, tag = "1")]
    pub updates: Vec<EndpointUpdate>,
}

/// A request on a session.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Call {
    /// Id, unique on the session.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Time that the sender waits for the reply, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub timeout_ms: u64,
    /// The request.
    #[prost(message, optional, tag = "3")]
    pub request: Option<ControlRequest>,
    /// Number of relays so far. Routers and control members relay a call at most
    /// once each.
    #[prost(uint32, tag = "4")]
    pub hops: u32,
}

/// The reply to a request on a session.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CallReply {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The reply.
    #[prost(message, optional, tag = "2")]
    pub reply: Option<ControlReply>,
}

/// A consensus message between control members.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ConsensusFrame {
    /// Id of the replicated group.
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// Member that sent the message.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Encoded message of the consensus crate.
    #[prost(bytes = "vec", tag = "3")]
    pub message: Vec<u8>,
    /// Ages of entries that the sender wrote to its disk before it was last started,
    /// in ascending order. Sent to a new leader only.
    #[prost(message, repeated, tag = "4")]
    pub entry_ages: Vec<EntryAge>,
}

/// Time since a member wrote an entry to its disk.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct EntryAge {
    /// Index of the entry.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Time since it was written, by the wall clock of the member's host, in
    /// milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// A model that an endpoint has loaded.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct LoadedModel {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Version of the model.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Names of loaded adapters.
    #[prost(string, repeated, tag = "3")]
    pub adapters: Vec<String>,
}

/// Last reported load of an endpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EndpointLoad {
    /// Number of requests that run.
    #[prost(uint32, tag = "1")]
    pub running: u32,
    /// Number of requests that wait inside the engine.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Used share of the KV cache, 0 to 1.
    #[prost(double, tag = "3")]
    pub kv_used: f64,
    /// Generated tokens a second.
    #[prost(double, tag = "4")]
    pub tokens_per_s: f64,
}

/// An endpoint's announcement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EndpointUpdate {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Incarnation of the endpoint.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the announcement within the incarnation.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Address, `ip:port`.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Data centre of the endpoint.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Pool of a model engine, or name of a plain service.
    #[prost(string, tag = "6")]
    pub pool: String,
    /// Whether this is a plain service, not a model engine.
    #[prost(bool, tag = "7")]
    pub service: bool,
    /// Loaded models.
    #[prost(message, repeated, tag = "8")]
    pub models: Vec<LoadedModel>,
    /// Maximum number of requests that run at once.
    #[prost(uint32, tag = "9")]
    pub slots: u32,
    /// Whether the endpoint refuses old fencing numbers.
    #[prost(bool, tag = "10")]
    pub checks_fencing: bool,
    /// Whether the endpoint takes no new work.
    #[prost(bool, tag = "11")]
    pub leaving: bool,
    /// Reported load.
    #[prost(message, optional, tag = "12")]
    pub load: Option<EndpointLoad>,
    /// Hashes of cached prompt prefixes.
    #[prost(uint64, repeated, tag = "13")]
    pub prefixes: Vec<u64>,
    /// Age of the announcement when it was forwarded, in milliseconds.
    #[prost(uint64, tag = "14")]
    pub age_ms: u64,
    /// Whether the endpoint has left for good.
    #[prost(bool, tag = "15")]
    pub left: bool,
    /// Remaining time of slow operation after the endpoint's start, in
    /// milliseconds.
    #[prost(uint64, tag = "16")]
    pub warm_up_ms: u64,
}
