//! Copies of other routers' unacknowledged settlements.

use std::collections::BTreeMap;

use anvilloft_types::Incarnation;
use anvilloft_types::RouterId;
use anvilloft_wire::command::Report;

/// Maximum number of entries kept per incarnation. An entry covers one request, or
/// all requests of a budget within 20 ms.
const MAX_ENTRIES: usize = 262_144;
/// Maximum number of incarnations.
const MAX_INCARNATIONS: usize = 1_024;

/// Returns whether a settlement copy is a release notice: it has no entries, and
/// states that control has applied every report up to its sequence number.
pub fn is_release_notice(copy: &Report) -> bool {
    copy.entries.is_empty()
}

/// Settlement reports kept for other routers, and delivered to control if a router
/// dies.
#[derive(Debug, Default)]
pub struct SettlementCopies {
    by_incarnation: BTreeMap<(RouterId, Incarnation), BTreeMap<u64, Report>>,
    refused: u64,
}

impl SettlementCopies {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a settlement copy, or applies a release notice.
    pub fn insert(&mut self, copy: Report) {
        let id = (copy.router.clone(), copy.incarnation);
        if is_release_notice(&copy) {
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

    /// Removes the copies up to `seq`, which control has applied.
    pub fn on_ack(&mut self, router: &str, incarnation: Incarnation, seq: u64) {
        let id = (router.to_string(), incarnation);
        if let Some(reports) = self.by_incarnation.get_mut(&id) {
            reports.retain(|n, _| *n > seq);
            if reports.is_empty() {
                self.by_incarnation.remove(&id);
            }
        }
    }

    /// Returns the oldest copies of an incarnation in order, at most `count`, to
    /// propose on its behalf. Control applies a report once, whoever sends it.
    /// Several are sent without waiting for each reply, because a backlog has to
    /// arrive within `peer_flush_ms`.
    pub fn oldest(&self, router: &str, incarnation: Incarnation, count: usize) -> Vec<Report> {
        self.by_incarnation
            .get(&(router.to_string(), incarnation))
            .map_or_else(Vec::new, |r| r.values().take(count).cloned().collect())
    }

    /// Removes all copies of an incarnation, for example once it is closed and its
    /// reports can't be applied any more.
    pub fn remove(&mut self, router: &str, incarnation: Incarnation) {
        self.by_incarnation
            .remove(&(router.to_string(), incarnation));
    }

    /// Returns the incarnations with copies here.
    pub fn incarnations(&self) -> Vec<(RouterId, Incarnation)> {
        self.by_incarnation.keys().cloned().collect()
    }

    /// Returns the number of copies refused because a limit was reached.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
