//! Reports of endpoints that crashed, and the quarantine that follows from them.

/// Records endpoints that crashed. Reports of several routers about the same crash
/// are merged.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ReportCrashes {
    /// The crashes.
    #[prost(message, repeated, tag = "1")]
    pub crashes: Vec<Crash>,
}

/// One endpoint that crashed, as seen by one router.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Crash {
    /// Endpoint that crashed.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Incarnation of the endpoint that crashed.
    #[prost(uint64, tag = "2")]
    pub endpoint_incarnation: u64,
    /// The router's requests that waited there for their whole answers.
    #[prost(message, repeated, tag = "3")]
    pub requests: Vec<CrashedRequest>,
    /// Time since the router noticed the crash, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// A request that waited for an answer at an endpoint when it crashed.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct CrashedRequest {
    /// The request as a whole, the same when its caller sends it again.
    #[prost(message, optional, tag = "1")]
    pub whole: Option<RequestTrait>,
    /// The parts of its prompt that other requests may share, in order.
    #[prost(message, repeated, tag = "2")]
    pub parts: Vec<RequestTrait>,
    /// Fingerprint of the whole prompt, 16 bytes, as requests may differ in their prompts
    /// alone. Older routers don't send it.
    #[prost(bytes = "vec", tag = "3")]
    pub prompt: Vec<u8>,
    /// Whether the request was sent there after another endpoint had broken it off.
    #[prost(bool, tag = "4")]
    pub sent_on: bool,
}

/// A property that a crashing request may share with others.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct RequestTrait {
    /// Fingerprint, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Whether the router has seen an answer to a request with this trait.
    #[prost(bool, tag = "2")]
    pub answered: bool,
    /// Whether that was so shortly before the crash that the trait isn't the cause.
    #[prost(bool, tag = "3")]
    pub answered_lately: bool,
    /// Time since the last such answer, in milliseconds. Older routers don't send it.
    #[prost(uint64, optional, tag = "4")]
    pub answer_age_ms: Option<u64>,
}

/// Traits of requests that are refused because such requests crashed endpoints.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Quarantined {
    /// Fingerprints of the traits, 16 bytes each.
    #[prost(bytes = "vec", repeated, tag = "1")]
    pub fingerprints: Vec<Vec<u8>>,
    /// Log index of the command that last changed the list, or 0 if none has. Older
    /// members don't send it.
    #[prost(uint64, optional, tag = "2")]
    pub version: Option<u64>,
}

/// Ends the quarantine of a trait, so that requests with it run again.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ReleaseQuarantine {
    /// Id chosen by the operator's client; a resent release has the same id.
    #[prost(string, tag = "1")]
    pub change_id: String,
    /// Name of the operator's key.
    #[prost(string, tag = "2")]
    pub author: String,
    /// Why the trait is released.
    #[prost(string, tag = "3")]
    pub reason: String,
    /// Fingerprint of the trait, 16 bytes.
    #[prost(bytes = "vec", tag = "4")]
    pub fingerprint: Vec<u8>,
}
