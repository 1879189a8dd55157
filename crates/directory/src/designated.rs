//! Routers that may send requests to an endpoint while it is cold.
//!
//! A cold endpoint tolerates few requests per second, and when many endpoints return at
//! once, they are empty and therefore the first choice of every router of a large
//! deployment. So only a few routers send to each of them. All routers find these by
//! rendezvous hashing of the endpoint's id over the live routers of their directory;
//! where their directories differ by one router, at most one of the few differs.

use anvilloft_types::prelude::*;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::RouterState;

use crate::routers::score;

/// Number of routers that are ranked for each endpoint.
pub const MAX_DESIGNATED: usize = 4;

/// The live routers of one directory, among which those of each endpoint are chosen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesignatedRouters {
    // Sorted.
    live: Vec<RouterId>,
}

impl DesignatedRouters {
    /// Collects the routers of a lease that are alive and not silent.
    pub fn new(routers: &[OpenIncarnation], silent: &[RouterId]) -> Self {
        let alive = routers
            .iter()
            .filter(|r| r.state == i32::from(RouterState::Alive) && !silent.contains(&r.router));
        let mut live: Vec<RouterId> = alive.map(|r| r.router.clone()).collect();
        live.sort();
        live.dedup();
        Self { live }
    }

    /// Returns the rank of a router among those of an endpoint, 0 first, or `None` if it
    /// is not one of the first [`MAX_DESIGNATED`].
    pub fn rank(&self, endpoint: &str, router: &str) -> Option<usize> {
        self.live
            .binary_search_by(|name| name.as_str().cmp(router))
            .ok()?;
        let own = (score(endpoint, router), router);
        let higher = self
            .live
            .iter()
            .filter(|name| (score(endpoint, name), name.as_str()) > own)
            .take(MAX_DESIGNATED)
            .count();
        (higher < MAX_DESIGNATED).then_some(higher)
    }

    /// Returns the number of live routers.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Whether no router is alive.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }
}
