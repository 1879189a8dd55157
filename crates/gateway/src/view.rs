//! Snapshot of configuration, lease and routers for the traffic threads.

use std::sync::Arc;
use std::time::Duration;

use anvilloft_directory::RouterDirectory;
use anvilloft_directory::entry_router_count;
use anvilloft_ledger::Config;
use arc_swap::ArcSwap;

/// A consistent snapshot, replaced as a whole by the control thread.
#[derive(Clone)]
pub struct View {
    /// Configuration in force.
    pub config: Arc<Config>,
    /// Time on the router's monotonic clock at which the configuration lease
    /// expires.
    pub lease_expires: Duration,
    /// Whether the router is draining: new callers are sent to other routers.
    pub draining: bool,
    /// Whether this router still accepts new requests while it drains.
    pub accepts_work: bool,
    /// Routers of the fleet.
    pub routers: Arc<RouterDirectory>,
    /// Share of this router's recent tokens by team, sorted by team. The callers
    /// of a team spread over its routers, so the share approximates the team's
    /// share of the fleet's demand.
    pub team_shares: Arc<Vec<(String, f64)>>,
    /// Number of endpoints with a valid lease.
    pub endpoint_count: usize,
}

impl View {
    /// Returns the snapshot of a router that has no lease yet.
    pub fn empty() -> Self {
        Self {
            config: Arc::new(Config::new()),
            lease_expires: Duration::ZERO,
            draining: false,
            accepts_work: true,
            routers: Arc::new(RouterDirectory::default()),
            team_shares: Arc::new(Vec::new()),
            endpoint_count: 0,
        }
    }

    /// Returns the number of routers that the callers of a team should use.
    pub fn entry_router_count(&self, team: &str) -> usize {
        let share = self
            .team_shares
            .binary_search_by(|(name, _)| name.as_str().cmp(team))
            .map_or(0.0, |at| self.team_shares[at].1);
        entry_router_count(share, self.routers.alive().count())
    }

    /// Returns whether the configuration lease is valid at `now`.
    pub fn has_lease(&self, now: Duration) -> bool {
        now < self.lease_expires
    }
}

/// The current snapshot, shared between threads.
pub type SharedView = Arc<ArcSwap<View>>;
