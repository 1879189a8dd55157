//! Evacuation of data centres.

/// Starts or ends the evacuation of a data centre. A command that changes nothing is
/// answered like the one that did.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Evacuate {
    /// Name of the data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Whether routers send nothing more to the endpoints there.
    #[prost(bool, tag = "2")]
    pub active: bool,
    /// Id chosen by the operator's client; a resent command has the same id. Empty if
    /// the client has none.
    #[prost(string, tag = "3")]
    pub change_id: String,
    /// Name of the operator's key, or empty.
    #[prost(string, tag = "4")]
    pub author: String,
    /// Why the evacuation starts or ends, or empty.
    #[prost(string, tag = "5")]
    pub reason: String,
    /// Version of the evacuations that was read before the command was proposed. A
    /// command that arrives after a later change of the same data centre is refused, so
    /// that a delayed copy of it can't undo that change.
    #[prost(uint64, optional, tag = "6")]
    pub base_version: Option<u64>,
}

/// The data centres that are evacuated.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Evacuations {
    /// Number of effective changes so far. A list with a higher version replaces one
    /// with a lower.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Names of the data centres, in ascending order.
    #[prost(string, repeated, tag = "2")]
    pub data_centres: Vec<String>,
}
