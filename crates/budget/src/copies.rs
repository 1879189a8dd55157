//! Copies of another router's unacknowledged settlements.

use std::collections::BTreeMap;

use anvilloft_types::Incarnation;
use anvilloft_types::RouterId;
use anvilloft_wire::command::Report;

/// Largest count of entries kept for each incarnation. One entry stands for a
/// request or for all requests of a budget within 20 ms.
const MAX_ENTRIES: usize = 262_144;
/// Largest count of incarnations.
const MAX_INCARNATIONS: usize = 1_024;

/// Whether a settlement copy only says that control has every report up to
/// its number. Such a copy holds no entries.
pub fn is_release(copy: &Report) -> bool {
    copy.entries.is_empty()
}

/// Settlements kept for other routers, to be delivered if they die.
#[derive(Debug, Default)]
pub struct Copies {
    by_incarnation: BTreeMap<(RouterId, Incarnation), BTreeMap<u64, Report>>,
    refused: u64,
}

impl Copies {
    /// Returns an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a settlement copy, or a release that drops older ones.
    pub fn insert(&mut self, copy: Report) {
        let id = (copy.router.clone(), copy.incarnation);
        if is_release(&copy) {
            self.on_ack(&id.0, id.1, copy.seq);
            return;
        }
        if !self.by_incarnation.contains_key(&id) && self.by_incarnation.len() >= MAX_INCARNATIONS {
            self.refused = self.refused.saturating_add(1);
            return;
        }
        let reports = self.by_incarnation.entry(id).or_default();
        let entries: usize = reports.values().map(|r| r.entries.len()).sum();
        if entries.saturating_add(copy.entries.len()) > MAX_ENTRIES {
            self.refused = self.refused.saturating_add(1);
            return;
        }
        reports.insert(copy.seq, copy);
    }

    /// Drops the copies that control has applied.
    pub fn on_ack(&mut self, router: &str, incarnation: Incarnation, seq: u64) {
        let id = (router.to_string(), incarnation);
        if let Some(reports) = self.by_incarnation.get_mut(&id) {
            reports.retain(|n, _| *n > seq);
            if reports.is_empty() {
                self.by_incarnation.remove(&id);
            }
        }
    }

    /// Returns the oldest copies of an incarnation in order, at most `count`,
    /// to be proposed in its name. Control applies a report once, whoever
    /// sends it. Several are sent without waiting for each reply, as a backlog
    /// has to arrive within `peer_flush_ms`.
    pub fn next(&self, router: &str, incarnation: Incarnation, count: usize) -> Vec<Report> {
        self.by_incarnation
            .get(&(router.to_string(), incarnation))
            .map_or_else(Vec::new, |r| r.values().take(count).cloned().collect())
    }

    /// Drops what is kept for an incarnation, for example once it is closed
    /// and its reports can't be applied any more.
    pub fn forget(&mut self, router: &str, incarnation: Incarnation) {
        self.by_incarnation
            .remove(&(router.to_string(), incarnation));
    }

    /// Returns the incarnations that have copies here.
    pub fn incarnations(&self) -> Vec<(RouterId, Incarnation)> {
        self.by_incarnation.keys().cloned().collect()
    }

    /// Returns the count of copies not taken for lack of room.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
