//! Data centres whose endpoints get no more traffic.
//!
//! The list has a version of its own, so a change of the configuration neither starts nor
//! ends an evacuation.

use anvilloft_wire::CommandReply;
use anvilloft_wire::command::Evacuate;
use anvilloft_wire::command::Evacuations;
use anvilloft_wire::command::Reply;
use prost::Message;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use crate::changes::ChangeReply;
use crate::code;
use crate::code::refused;
use crate::ledger::Ledger;
use crate::validate::MAX_REASON_BYTES;
use crate::validate::check_name;

/// Maximum number of evacuated data centres. Each lease and push contains all of them.
const MAX_EVACUATED: usize = 64;
/// Maximum number of changes that are kept; the oldest are dropped first.
const MAX_CHANGES: usize = 256;

/// The evacuated data centres, as stored in snapshots.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Evacuation {
    #[prost(message, required, tag = "1")]
    current: Evacuations,
    /// The latest changes, oldest first. The version rises by 1 with each.
    #[prost(message, repeated, tag = "2")]
    changes: Vec<EvacuationChange>,
}

/// One effective change.
#[derive(Clone, PartialEq, prost::Message)]
struct EvacuationChange {
    /// Version after the change.
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(string, tag = "2")]
    data_centre: String,
    #[prost(bool, tag = "3")]
    active: bool,
    #[prost(uint64, tag = "4")]
    at_ms: u64,
    #[prost(string, tag = "5")]
    author: String,
    #[prost(string, tag = "6")]
    reason: String,
}

impl Evacuation {
    /// Returns whether a data centre may have been changed after a version.
    fn changed_since(&self, data_centre: &str, version: u64) -> bool {
        let mut later = self.changes.iter().filter(|c| c.version > version);
        let oldest_kept = self.changes.first().map_or(0, |c| c.version);
        later.any(|c| c.data_centre == data_centre) || version.saturating_add(1) < oldest_kept
    }

    fn record(&mut self, c: &Evacuate, at_ms: u64) {
        self.current.version += 1;
        if self.changes.len() >= MAX_CHANGES {
            self.changes.remove(0);
        }
        self.changes.push(EvacuationChange {
            version: self.current.version,
            data_centre: c.data_centre.clone(),
            active: c.active,
            at_ms,
            author: c.author.clone(),
            reason: c.reason.clone(),
        });
    }
}

impl Ledger {
    /// Starts or ends an evacuation.
    pub(crate) fn evacuate(&mut self, c: &Evacuate) -> Reply {
        if let Err((code, message)) = check_name(&c.data_centre) {
            return refused(code, message);
        }
        if c.change_id.is_empty() {
            return self.set_evacuated(c);
        }
        if let Err((code, message)) = check_name(&c.change_id) {
            return refused(code, message);
        }
        // Each copy of a command may be based on another version.
        let content = Evacuate {
            base_version: None,
            ..c.clone()
        };
        let digest = Sha256::digest(content.encode_to_vec()).to_vec();
        if let Some(reply) = self.changes.repeated_reply(&c.change_id, &digest) {
            return reply;
        }
        if let Err(full) = self.changes.check_room() {
            return full;
        }
        let reply = self.set_evacuated(c);
        if matches!(reply, Reply::Evacuations(_)) {
            self.changes.store_reply(ChangeReply {
                change_id: c.change_id.clone(),
                at_ms: self.now_ms,
                digest,
                reply: Some(CommandReply {
                    reply: Some(reply.clone()),
                }),
            });
        }
        reply
    }

    fn set_evacuated(&mut self, c: &Evacuate) -> Reply {
        if c.reason.len() > MAX_REASON_BYTES || c.author.len() > MAX_REASON_BYTES {
            return refused(
                code::OUT_OF_RANGE,
                format!("a reason and an author have at most {MAX_REASON_BYTES} bytes"),
            );
        }
        let found = self
            .evacuation
            .current
            .data_centres
            .binary_search(&c.data_centre);
        if found.is_ok() == c.active {
            return Reply::Evacuations(self.evacuations());
        }
        if let Some(base) = c.base_version
            && self.evacuation.changed_since(&c.data_centre, base)
        {
            return refused(
                code::EVACUATION_CHANGED,
                format!("{} was changed after version {base}", c.data_centre),
            );
        }
        let list = &mut self.evacuation.current.data_centres;
        match found {
            Ok(at) => {
                list.remove(at);
            }
            Err(_) if list.len() >= MAX_EVACUATED => {
                return refused(
                    code::TABLE_FULL,
                    format!("at most {MAX_EVACUATED} data centres are evacuated at once"),
                );
            }
            Err(at) => list.insert(at, c.data_centre.clone()),
        }
        self.evacuation.record(c, self.now_ms);
        Reply::Evacuations(self.evacuations())
    }

    /// Returns the evacuated data centres.
    pub fn evacuations(&self) -> Evacuations {
        self.evacuation.current.clone()
    }

    /// Returns the version of the list of evacuated data centres; 0 before the first.
    pub fn evacuation_version(&self) -> u64 {
        self.evacuation.current.version
    }

    /// Returns the evacuated data centres and the latest changes, newest first, as
    /// operators see them.
    pub(crate) fn query_evacuations(&self, limit: usize) -> Value {
        let changes: Value = self
            .evacuation
            .changes
            .iter()
            .rev()
            .take(limit)
            .map(|c| {
                json!({
                    "version": c.version,
                    "data_centre": c.data_centre,
                    "active": c.active,
                    "at_ms": c.at_ms,
                    "author": c.author,
                    "reason": c.reason,
                })
            })
            .collect();
        json!({
            "version": self.evacuation.current.version,
            "data_centres": self.evacuation.current.data_centres,
            "changes": changes,
        })
    }
}
