//! JSON format of the announcements that endpoints send.

use anvilloft_wire::frame::EndpointLoad;
use anvilloft_wire::frame::EndpointUpdate;
use anvilloft_wire::frame::LoadedModel;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Refusal;

/// Maximum length of an announcement, in bytes.
pub const MAX_ANNOUNCE_BYTES: usize = 256 * 1024;
/// Interval between announcements that the response asks for, in milliseconds.
pub const RENEW_INTERVAL_MS: u64 = 1000;

/// An announcement as sent by an endpoint.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Announcement {
    /// Name of the endpoint.
    pub id: String,
    /// Incarnation of the endpoint.
    pub incarnation: u64,
    /// Sequence number of the announcement within the incarnation.
    pub seq: u64,
    /// Address, `ip:port`.
    pub address: String,
    /// Data centre of the endpoint.
    pub data_centre: String,
    /// Pool of a model engine, or name of the service.
    #[serde(default)]
    pub pool: String,
    /// `model` or `service`.
    pub kind: String,
    /// Loaded models.
    #[serde(default)]
    pub models: Vec<ModelEntry>,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Whether the endpoint rejects outdated fencing numbers.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the endpoint accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Reported load.
    #[serde(default)]
    pub load: Option<Load>,
    /// Hashes of cached prompt prefixes.
    #[serde(default)]
    pub prefixes: Vec<u64>,
}

/// A loaded model.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ModelEntry {
    /// Name of the model.
    pub name: String,
    /// Version of the model; empty when the endpoint states none.
    #[serde(default)]
    pub version: String,
    /// Names of the loaded adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Load that an endpoint reports about itself.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Load {
    /// Number of running requests.
    #[serde(default)]
    pub running: u32,
    /// Number of queued requests.
    #[serde(default)]
    pub waiting: u32,
    /// Used fraction of the KV cache, 0 to 1.
    #[serde(default)]
    pub kv_used: f64,
    /// Generated tokens per second.
    #[serde(default)]
    pub tokens_per_s: f64,
}

impl From<Announcement> for EndpointUpdate {
    fn from(a: Announcement) -> Self {
        Self {
            id: a.id,
            incarnation: a.incarnation,
            seq: a.seq,
            address: a.address,
            data_centre: a.data_centre,
            pool: a.pool,
            service: a.kind == "service",
            models: a
                .models
                .into_iter()
                .map(|m| LoadedModel {
                    name: m.name,
                    version: m.version,
                    adapters: m.adapters,
                })
                .collect(),
            slots: a.slots,
            checks_fencing: a.checks_fencing,
            leaving: a.leaving,
            load: a.load.map(|l| EndpointLoad {
                running: l.running,
                waiting: l.waiting,
                kv_used: l.kv_used,
                tokens_per_s: l.tokens_per_s,
            }),
            prefixes: a.prefixes,
            age_ms: 0,
            left: false,
            warm_up_ms: 0,
        }
    }
}

/// Parses an announcement. The directory validates the fields.
pub(crate) fn parse(body: &[u8]) -> Result<EndpointUpdate, Refusal> {
    let announcement: Announcement = serde_json::from_slice(body)
        .map_err(|e| Refusal::bad_request("", format!("invalid announcement: {e}")))?;
    if !matches!(announcement.kind.as_str(), "model" | "service") {
        return Err(Refusal::bad_request("kind", "must be model or service"));
    }
    Ok(announcement.into())
}
