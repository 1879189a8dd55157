//! Endpoints as soft state with leases.

use std::collections::HashMap;
use std::time::Duration;

use anvilloft_types::EndpointId;
use anvilloft_types::Incarnation;
use anvilloft_wire::frame::EndpointUpdate;
use quick_error::quick_error;

/// Lease of an announcement. Together with the expiry tick and the network it
/// keeps the 3 s after which a silent endpoint gets no new work.
pub const ENDPOINT_LEASE: Duration = Duration::from_millis(2500);

/// How long the last incarnation and number of an endpoint without a lease
/// are remembered, so that a late announcement doesn't bring it back.
pub const TOMBSTONE_KEEP: Duration = Duration::from_secs(30);

/// Largest count of endpoints with tombstones.
pub const MAX_ENDPOINTS: usize = 4096;
/// Largest count of models of one endpoint.
pub const MAX_MODELS: usize = 64;
/// Largest count of adapters of one model.
pub const MAX_ADAPTERS: usize = 256;
/// Largest count of prefix hashes of one endpoint.
pub const MAX_PREFIXES: usize = 4096;
/// Largest length of a name or an address, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

quick_error! {
    /// Why an announcement is refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum DirectoryError {
        /// A field is empty, too long or has no meaning.
        Invalid(field: &'static str) {
            display("field {} is missing, too long or invalid", field)
        }
        /// The table of endpoints is full.
        Full {
            display("more than {} endpoints", MAX_ENDPOINTS)
        }
    }
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new endpoint.
    Added,
    /// A known endpoint of the same incarnation.
    Renewed,
    /// A known endpoint restarted; requests at the old incarnation are lost.
    Restarted {
        /// Incarnation that ended.
        old: Incarnation,
    },
    /// The announcement is older than what is known, or older than a lease.
    Stale,
}

/// An endpoint with its lease.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Latest announcement.
    pub update: EndpointUpdate,
    /// When the announcement was made, by the local clock. Relays count their
    /// age, so this is never later than the true time by more than that error.
    pub announced: Duration,
    /// End of the lease.
    pub expires: Duration,
}

impl Entry {
    /// Returns whether the endpoint may get new work.
    pub fn usable(&self, now: Duration) -> bool {
        now < self.expires && !self.update.leaving
    }

    /// Returns the age of the announcement.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.announced)
    }
}

#[derive(Clone, Copy)]
struct Tombstone {
    incarnation: Incarnation,
    seq: u64,
    until: Duration,
}

/// The endpoints in this router's subset.
#[derive(Default)]
pub struct Endpoints {
    // Sorted by endpoint id.
    entries: Vec<Entry>,
    tombstones: HashMap<EndpointId, Tombstone>,
}

impl Endpoints {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|e| e.update.id.as_str().cmp(id))
    }

    /// Takes an announcement that is `age` old.
    ///
    /// Announcements are ordered by incarnation, then by number; an older one
    /// changes nothing.
    ///
    /// # Errors
    ///
    /// Fails when the announcement breaks a bound or the table is full.
    pub fn announce(
        &mut self,
        now: Duration,
        update: EndpointUpdate,
        age: Duration,
    ) -> Result<Change, DirectoryError> {
        validate(&update)?;
        if age >= ENDPOINT_LEASE {
            return Ok(Change::Stale);
        }
        let announced = now.saturating_sub(age);
        let expires = now + (ENDPOINT_LEASE - age);
        let order = (update.incarnation, update.seq);
        match self.find(&update.id) {
            Ok(at) => {
                let entry = &mut self.entries[at];
                let old = entry.update.incarnation;
                if order <= (old, entry.update.seq) {
                    return Ok(Change::Stale);
                }
                let change = if update.incarnation == old {
                    Change::Renewed
                } else {
                    Change::Restarted { old }
                };
                *entry = Entry {
                    update,
                    announced,
                    expires,
                };
                Ok(change)
            }
            Err(at) => {
                if let Some(t) = self.tombstones.get(&update.id)
                    && order <= (t.incarnation, t.seq)
                {
                    return Ok(Change::Stale);
                }
                if self.entries.len() + self.tombstones.len() >= MAX_ENDPOINTS {
                    return Err(DirectoryError::Full);
                }
                self.tombstones.remove(&update.id);
                self.entries.insert(
                    at,
                    Entry {
                        update,
                        announced,
                        expires,
                    },
                );
                Ok(Change::Added)
            }
        }
    }

    /// Drops endpoints whose lease has ended and returns them.
    pub fn expire(&mut self, now: Duration) -> Vec<Entry> {
        self.tombstones.retain(|_, t| now < t.until);
        let gone: Vec<Entry> = self.entries.extract_if(.., |e| now >= e.expires).collect();
        for entry in &gone {
            let tombstone = Tombstone {
                incarnation: entry.update.incarnation,
                seq: entry.update.seq,
                until: now + TOMBSTONE_KEEP,
            };
            self.tombstones.insert(entry.update.id.clone(), tombstone);
        }
        gone
    }

    /// Returns the endpoint, whether its lease holds or not.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.find(id).ok().map(|at| &self.entries[at])
    }

    /// Returns all endpoints by id.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Returns the count of endpoints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn validate(update: &EndpointUpdate) -> Result<(), DirectoryError> {
    let name = |s: &str, field| {
        if s.is_empty() || s.len() > MAX_NAME_BYTES {
            Err(DirectoryError::Invalid(field))
        } else {
            Ok(())
        }
    };
    name(&update.id, "id")?;
    name(&update.pool, "pool")?;
    name(&update.data_centre, "data_centre")?;
    if update.address.parse::<std::net::SocketAddr>().is_err() {
        return Err(DirectoryError::Invalid("address"));
    }
    if update.slots == 0 {
        return Err(DirectoryError::Invalid("slots"));
    }
    if update.models.len() > MAX_MODELS {
        return Err(DirectoryError::Invalid("models"));
    }
    for model in &update.models {
        name(&model.name, "models.name")?;
        if model.version.len() > MAX_NAME_BYTES {
            return Err(DirectoryError::Invalid("models.version"));
        }
        if model.adapters.len() > MAX_ADAPTERS
            || model.adapters.iter().any(|a| a.len() > MAX_NAME_BYTES)
        {
            return Err(DirectoryError::Invalid("models.adapters"));
        }
    }
    if update.prefixes.len() > MAX_PREFIXES {
        return Err(DirectoryError::Invalid("prefixes"));
    }
    if let Some(load) = &update.load
        && !(load.kv_used.is_finite()
            && (0.0..=1.0).contains(&load.kv_used)
            && load.tokens_per_s.is_finite()
            && load.tokens_per_s >= 0.0)
    {
        return Err(DirectoryError::Invalid("load"));
    }
    Ok(())
}
