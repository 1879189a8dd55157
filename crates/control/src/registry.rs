//! Announcements of endpoints that arrive at this control member.
//!
//! The member keeps the newest announcement of each endpoint and passes it on
//! to every router that has a session with it. What changes where requests may
//! go leaves at once; plain renewals leave in batches, so that their cost grows
//! with the count of routers and not with routers times endpoints. Members
//! don't pass announcements to each other: routers keep sessions with all of
//! them and merge what they hear.

use std::sync::Mutex;
use std::sync::MutexGuard;

use anvilloft_types::lock;
use anvilloft_types::prelude::*;
use anvilloft_wire::frame::EndpointBatch;
use anvilloft_wire::frame::EndpointUpdate;

/// Time between two batches of renewals. A third of the usual 1.2 s between
/// announcements.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(400);
/// An endpoint that announced nothing for this long is forgotten. Routers judge
/// silence themselves; this only bounds the table.
const FORGET: Duration = Duration::from_secs(30);
/// Largest count of endpoints. At the bound a new one is refused.
const MAX_ENDPOINTS: usize = 4_096;

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// It changes where requests may go.
    Changed,
    /// It renews what was known.
    Renewed,
    /// A newer one was heard before.
    Stale,
    /// The table is full.
    Full,
}

#[derive(Debug)]
struct Entry {
    update: EndpointUpdate,
    at: Duration,
    /// Whether the newest announcement waits for the next batch.
    pending: bool,
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

    /// Takes an announcement. One that left is remembered, so that a delayed
    /// renewal doesn't bring it back.
    pub fn announce(&self, now: Duration, update: EndpointUpdate) -> AnnounceOutcome {
        let mut entries = self.lock();
        let at = match entries.binary_search_by(|e| e.update.id.cmp(&update.id)) {
            Ok(at) => at,
            Err(at) => {
                if entries.len() >= MAX_ENDPOINTS {
                    return AnnounceOutcome::Full;
                }
                let entry = Entry {
                    update,
                    at: now,
                    pending: false,
                };
                entries.insert(at, entry);
                return AnnounceOutcome::Changed;
            }
        };
        let Some(entry) = entries.get_mut(at) else {
            return AnnounceOutcome::Stale;
        };
        let old = &entry.update;
        if update.left {
            // A notice of leaving names nothing but the endpoint.
            if old.left {
                return AnnounceOutcome::Stale;
            }
            entry.update.left = true;
            entry.update.leaving = true;
            entry.at = now;
            return AnnounceOutcome::Changed;
        }
        if (update.incarnation, update.seq) <= (old.incarnation, old.seq) {
            return AnnounceOutcome::Stale;
        }
        if update.incarnation == old.incarnation && old.left {
            return AnnounceOutcome::Stale;
        }
        let changed = update.incarnation != old.incarnation
            || update.address != old.address
            || update.pool != old.pool
            || update.leaving != old.leaving;
        entry.update = update;
        entry.at = now;
        entry.pending = !changed;
        match changed {
            true => AnnounceOutcome::Changed,
            false => AnnounceOutcome::Renewed,
        }
    }

    /// Returns the announcement of one endpoint, as it is passed on.
    pub fn get(&self, now: Duration, id: &str) -> Option<EndpointUpdate> {
        let entries = self.lock();
        let at = entries
            .binary_search_by(|e| e.update.id.as_str().cmp(id))
            .ok()?;
        entries.get(at).map(|e| aged(e, now))
    }

    /// Returns the renewals since the last batch.
    pub fn take_batch(&self, now: Duration) -> Option<EndpointBatch> {
        let mut entries = self.lock();
        entries.retain(|e| now.saturating_sub(e.at) < FORGET);
        let updates: Vec<_> = entries
            .iter_mut()
            .filter_map(|e| std::mem::take(&mut e.pending).then(|| aged(e, now)))
            .collect();
        (!updates.is_empty()).then_some(EndpointBatch { updates })
    }

    /// Returns everything that is known, for a router that has just connected.
    pub fn all(&self, now: Duration) -> EndpointBatch {
        EndpointBatch {
            updates: self.lock().iter().map(|e| aged(e, now)).collect(),
        }
    }

    /// Returns the count of endpoints.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn aged(entry: &Entry, now: Duration) -> EndpointUpdate {
    let age = now.saturating_sub(entry.at);
    EndpointUpdate {
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        ..entry.update.clone()
    }
}
