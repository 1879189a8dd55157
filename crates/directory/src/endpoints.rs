//! Endpoint leases, kept as soft state from announcements.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use anvilloft_types::EndpointId;
use anvilloft_types::Incarnation;
use anvilloft_wire::frame::EndpointUpdate;
use quick_error::quick_error;

/// Lease that an announcement grants. Even with the expiry tick and the network
/// delay, a silent endpoint gets no new work after 3 s.
pub const ENDPOINT_LEASE: Duration = Duration::from_millis(2500);

/// How long the last incarnation and sequence number of an expired endpoint are
/// remembered, so that a delayed announcement doesn't add it again.
pub const TOMBSTONE_TTL: Duration = Duration::from_secs(30);

/// Maximum number of endpoints, including tombstones.
pub const MAX_ENDPOINTS: usize = 4096;
/// Maximum number of models of one endpoint.
pub const MAX_MODELS: usize = 64;
/// Maximum number of adapters of one model.
pub const MAX_ADAPTERS: usize = 256;
/// Maximum number of prefix hashes of one endpoint.
pub const MAX_PREFIXES: usize = 4096;
/// Maximum length of a name or a version, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

quick_error! {
    /// Why an announcement was refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum DirectoryError {
        /// A field is missing, too long or invalid.
        Invalid(field: &'static str) {
            display("field {} of the announcement is missing, too long or invalid", field)
        }
        /// The endpoint table is full.
        Full {
            display("the endpoint table is full: {} endpoints", MAX_ENDPOINTS)
        }
    }
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new endpoint.
    Added,
    /// A known endpoint of the same incarnation.
    Renewed,
    /// A known endpoint restarted; its requests at the old incarnation are lost.
    Restarted {
        /// Incarnation that ended.
        old: Incarnation,
    },
    /// Ignored: older than the latest announcement, or older than a lease.
    Stale,
}

/// An endpoint's latest announcement and its lease.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLease {
    /// Latest announcement.
    pub update: EndpointUpdate,
    /// When the endpoint sent the announcement, by the local clock. The age comes
    /// from the nodes that relayed it, so this is later than the true time by at
    /// most the error of that age.
    pub announced_at: Duration,
    /// End of the lease.
    pub expires: Duration,
}

impl EndpointLease {
    /// Whether the endpoint may get new work.
    pub fn is_usable(&self, now: Duration) -> bool {
        now < self.expires && !self.update.leaving
    }

    /// Returns the age of the announcement.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.announced_at)
    }
}

/// Last announcement of an expired endpoint.
#[derive(Clone, Copy)]
struct Tombstone {
    incarnation: Incarnation,
    seq: u64,
    expires: Duration,
}

/// The endpoints that this router uses.
#[derive(Default)]
pub struct EndpointTable {
    // Sorted by endpoint id.
    entries: Vec<EndpointLease>,
    tombstones: HashMap<EndpointId, Tombstone>,
}

impl EndpointTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|e| e.update.id.as_str().cmp(id))
    }

    /// Applies an announcement that was sent `age` ago.
    ///
    /// Announcements are ordered by incarnation, then by sequence number; an older
    /// one is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the announcement is invalid or the table is full.
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
        let announced_at = now.saturating_sub(age);
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
                *entry = EndpointLease {
                    update,
                    announced_at,
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
                    EndpointLease {
                        update,
                        announced_at,
                        expires,
                    },
                );
                Ok(Change::Added)
            }
        }
    }

    /// Removes and returns the endpoints whose lease has expired.
    pub fn expire(&mut self, now: Duration) -> Vec<EndpointLease> {
        self.tombstones.retain(|_, t| now < t.expires);
        let expired: Vec<EndpointLease> =
            self.entries.extract_if(.., |e| now >= e.expires).collect();
        for entry in &expired {
            let tombstone = Tombstone {
                incarnation: entry.update.incarnation,
                seq: entry.update.seq,
                expires: now + TOMBSTONE_TTL,
            };
            self.tombstones.insert(entry.update.id.clone(), tombstone);
        }
        expired
    }

    /// Returns an endpoint, even if its lease has expired.
    pub fn get(&self, id: &str) -> Option<&EndpointLease> {
        self.find(id).ok().map(|at| &self.entries[at])
    }

    /// Returns all endpoints, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointLease> {
        self.entries.iter()
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns whether an endpoint can listen at an address.
pub fn can_listen_at(address: SocketAddr) -> bool {
    // `::ffff:0.0.0.0` is as unusable as `0.0.0.0`.
    let ip = address.ip().to_canonical();
    address.port() != 0
        && !ip.is_unspecified()
        && !ip.is_multicast()
        && ip != IpAddr::V4(Ipv4Addr::BROADCAST)
}

fn validate(update: &EndpointUpdate) -> Result<(), DirectoryError> {
    let check_name = |s: &str, field| {
        if s.is_empty() || s.len() > MAX_NAME_BYTES {
            Err(DirectoryError::Invalid(field))
        } else {
            Ok(())
        }
    };
    check_name(&update.id, "id")?;
    check_name(&update.pool, "pool")?;
    check_name(&update.data_centre, "data_centre")?;
    let address = update.address.parse::<SocketAddr>();
    if !address.is_ok_and(can_listen_at) {
        return Err(DirectoryError::Invalid("address"));
    }
    if update.slots == 0 {
        return Err(DirectoryError::Invalid("slots"));
    }
    if update.models.len() > MAX_MODELS {
        return Err(DirectoryError::Invalid("models"));
    }
    for model in &update.models {
        check_name(&model.name, "models.name")?;
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
