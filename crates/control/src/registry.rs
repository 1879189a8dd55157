//! Endpoint announcements received by this control member.
//!
//! The member keeps the newest announcement of each endpoint and forwards it to
//! every router that it has a session with. Changes that affect routing are
//! forwarded at once. Plain renewals are sent in batches, so that the number of
//! messages grows with the number of routers and not with routers times
//! endpoints. Members don't forward renewals to each other: routers have sessions with
//! all members and merge what they receive. An announcement that an endpoint leaves is
//! copied to the other members before it is acknowledged, as nobody may repeat it.

use std::sync::Mutex;
use std::sync::MutexGuard;

use anvilloft_types::MAX_SEQ_STEP;
use anvilloft_types::lock;
use anvilloft_types::prelude::*;
use anvilloft_types::to_ms;
use anvilloft_wire::frame::EndpointBatch;
use anvilloft_wire::frame::EndpointUpdate;

/// Interval between batches of renewals: a third of the usual 1.2 s between
/// announcements.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which an endpoint without announcements is removed. This only
/// bounds the table: routers detect silent endpoints themselves.
const ENTRY_TTL: Duration = Duration::from_secs(30);
/// Maximum number of endpoints. New ones beyond it are refused.
const MAX_ENDPOINTS: usize = 4_096;

/// Outcome of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// It changes an endpoint in a way that affects routing.
    Changed,
    /// It only renews a known endpoint.
    Renewed,
    /// A newer announcement was received before.
    Stale,
    /// A later start of the endpoint is known, so the announcement is not followed.
    Superseded,
    /// It contradicts what the same incarnation announced before, so it may come from
    /// another writer and is not followed.
    Conflicting,
    /// The table is full.
    Full,
}

#[derive(Debug)]
struct Entry {
    update: EndpointUpdate,
    announced_at: Duration,
    /// Whether the newest announcement waits for the next batch.
    pending: bool,
    /// Whether enough members hold a copy of the announcement that the endpoint leaves.
    is_replicated: bool,
}

impl Entry {
    fn new(announced_at: Duration, update: EndpointUpdate) -> Self {
        Self {
            update,
            announced_at,
            pending: false,
            is_replicated: false,
        }
    }

    /// Returns whether the endpoint takes no new work.
    fn is_leaving(&self) -> bool {
        self.update.leaving || self.update.left
    }
}

/// Returns the place of an endpoint in entries that are sorted by id, or the place at
/// which it would be inserted.
fn position(entries: &[Entry], id: &str) -> Result<usize, usize> {
    entries.binary_search_by(|e| e.update.id.as_str().cmp(id))
}

/// The newest announcement of each endpoint at this member.
#[derive(Debug, Default)]
pub struct Registry {
    // Sorted by id.
    entries: Mutex<Vec<Entry>>,
}

impl Registry {
    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        lock(&self.entries)
    }

    /// Records an announcement. An endpoint that has left is remembered, so
    /// that a delayed renewal doesn't bring it back.
    pub fn announce(&self, now: Duration, update: EndpointUpdate) -> AnnounceOutcome {
        let announced_at = now.saturating_sub(Duration::from_millis(update.age_ms));
        let mut entries = self.lock();
        let index = match position(&entries, &update.id) {
            Ok(index) => index,
            Err(index) => {
                if entries.len() >= MAX_ENDPOINTS {
                    return AnnounceOutcome::Full;
                }
                entries.insert(index, Entry::new(announced_at, update));
                return AnnounceOutcome::Changed;
            }
        };
        let Some(entry) = entries.get_mut(index) else {
            return AnnounceOutcome::Stale;
        };
        let old = &entry.update;
        if update.left {
            // A leave notice lacks the endpoint's address, pool and load, so the
            // entry keeps its own. Without an incarnation it applies to the known one.
            let incarnation = match update.incarnation {
                0 => old.incarnation,
                named => named,
            };
            if incarnation < old.incarnation || (old.left && incarnation == old.incarnation) {
                return AnnounceOutcome::Stale;
            }
            // This member may not know the newest incarnation, though routers do.
            entry.update.incarnation = incarnation;
            entry.update.left = true;
            entry.update.leaving = true;
            entry.announced_at = announced_at;
            entry.is_replicated = false;
            return AnnounceOutcome::Changed;
        }
        if update.incarnation < old.incarnation {
            return AnnounceOutcome::Superseded;
        }
        if (update.incarnation, update.seq) <= (old.incarnation, old.seq) {
            return AnnounceOutcome::Stale;
        }
        if update.incarnation == old.incarnation {
            if old.left {
                return AnnounceOutcome::Stale;
            }
            // An endpoint moves only with a restart. A number that is far ahead would
            // hide what the endpoint says later.
            if update.address != old.address
                || update.pool != old.pool
                || update.seq - old.seq > MAX_SEQ_STEP
            {
                return AnnounceOutcome::Conflicting;
            }
        }
        let changed = update.incarnation != old.incarnation || update.leaving != old.leaving;
        // Routers must know at once when the endpoint tolerates few requests, or many again.
        let is_cold = update.warm_up_ms > 0;
        let turned = is_cold != (old.warm_up_ms > 0) || update.warm_up_ms > old.warm_up_ms;
        let is_forwarded = changed || turned;
        entry.update = update;
        entry.announced_at = announced_at;
        entry.pending = !is_forwarded;
        entry.is_replicated &= !changed;
        match is_forwarded {
            true => AnnounceOutcome::Changed,
            false => AnnounceOutcome::Renewed,
        }
    }

    /// Returns the newest announcement of an endpoint, with its current age.
    pub fn get(&self, now: Duration, id: &str) -> Option<EndpointUpdate> {
        let entries = self.lock();
        let index = position(&entries, id).ok()?;
        entries.get(index).map(|e| with_age(e, now))
    }

    /// Returns the announcement that an endpoint leaves, unless enough members are known
    /// to hold it.
    pub(crate) fn unreplicated_notice(&self, now: Duration, id: &str) -> Option<EndpointUpdate> {
        let entries = self.lock();
        let index = position(&entries, id).ok()?;
        let entry = entries.get(index)?;
        (entry.is_leaving() && !entry.is_replicated).then(|| with_age(entry, now))
    }

    /// Records that enough members hold the announcement that an endpoint leaves.
    pub(crate) fn set_replicated(&self, notice: &EndpointUpdate) {
        let mut entries = self.lock();
        let Ok(index) = position(&entries, &notice.id) else {
            return;
        };
        if let Some(entry) = entries.get_mut(index) {
            let old = &entry.update;
            entry.is_replicated = (old.incarnation, old.leaving, old.left)
                == (notice.incarnation, notice.leaving, notice.left);
        }
    }

    /// Returns the announcements of the endpoints that leave, for a member that has just
    /// connected. A notice without an incarnation is left out: it could be applied to a
    /// later one there.
    pub(crate) fn leaving(&self, now: Duration) -> EndpointBatch {
        let entries = self.lock();
        let is_sent = |e: &&Entry| e.is_leaving() && e.update.incarnation > 0;
        let leaving = entries.iter().filter(is_sent);
        EndpointBatch {
            updates: leaving.map(|e| with_age(e, now)).collect(),
        }
    }

    /// Removes entries that have expired, and returns the renewals since the
    /// last batch.
    pub fn take_batch(&self, now: Duration) -> Option<EndpointBatch> {
        let mut entries = self.lock();
        entries.retain(|e| now.saturating_sub(e.announced_at) < ENTRY_TTL);
        let updates: Vec<_> = entries
            .iter_mut()
            .filter_map(|e| std::mem::take(&mut e.pending).then(|| with_age(e, now)))
            .collect();
        (!updates.is_empty()).then_some(EndpointBatch { updates })
    }

    /// Returns the announcements of all endpoints, for a router that has just
    /// connected.
    pub fn all(&self, now: Duration) -> EndpointBatch {
        EndpointBatch {
            updates: self.lock().iter().map(|e| with_age(e, now)).collect(),
        }
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Returns an entry's announcement with its current age.
fn with_age(entry: &Entry, now: Duration) -> EndpointUpdate {
    let age = now.saturating_sub(entry.announced_at);
    EndpointUpdate {
        age_ms: to_ms(age),
        ..entry.update.clone()
    }
}
