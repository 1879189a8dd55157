//! What traffic threads know: configuration, lease and routers.

use std::sync::Arc;
use std::time::Duration;

use anvilloft_directory::RouterDirectory;
use anvilloft_directory::entry_router_count;
use anvilloft_ledger::Config;
use arc_swap::ArcSwap;

/// One consistent picture, replaced as a whole by the control thread.
#[derive(Clone)]
pub struct View {
    /// Configuration in force.
    pub config: Arc<Config>,
    /// End of the configuration lease.
    pub lease_until: Duration,
    /// Whether new callers are sent to other routers.
    pub draining: bool,
    /// Whether this router still takes new work while it drains.
    pub takes_work: bool,
    /// Routers of the fleet.
    pub routers: Arc<RouterDirectory>,
    /// Share of this router's recent tokens by team, sorted by team. Callers of
    /// a team spread over its routers, so it stands for the fleet's demand.
    pub shares: Arc<Vec<(String, f64)>>,
    /// Count of endpoints with a lease.
    pub endpoints: usize,
}

impl View {
    /// Makes the picture of a router that has no lease yet.
    pub fn empty() -> Self {
        Self {
            config: Arc::new(Config::new()),
            lease_until: Duration::ZERO,
            draining: false,
            takes_work: true,
            routers: Arc::new(RouterDirectory::default()),
            shares: Arc::new(Vec::new()),
            endpoints: 0,
        }
    }

    /// Returns how many routers a team should use.
    pub fn entry_count(&self, team: &str) -> usize {
        let share = self
            .shares
            .binary_search_by(|(name, _)| name.as_str().cmp(team))
            .map_or(0.0, |at| self.shares[at].1);
        entry_router_count(share, self.routers.alive().count())
    }

    /// Returns whether the configuration lease holds.
    pub fn has_lease(&self, now: Duration) -> bool {
        now < self.lease_until
    }
}

/// The picture as shared between threads.
pub type SharedView = Arc<ArcSwap<View>>;
