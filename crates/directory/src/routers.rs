//! Routers of the fleet, from the ledger's directory.

use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::RouterState;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Largest count of routers that use one endpoint.
pub const SUBSET: usize = 12;

/// Least count of routers in an entry answer, so that the death of one leaves
/// the team another.
const ENTRY_LEAST: usize = 2;
/// Routers of a team over its share of the fleet. Each router has an equal part
/// of every endpoint's slots, so a team needs more routers than its share of
/// the demand, or it queues there while slots elsewhere are free.
const ENTRY_HEADROOM: f64 = 4.0;
/// Routers in a caller's data centre from which no others are named. With
/// fewer, the death of one would leave too much to the others.
const LOCAL_ENOUGH: usize = 2;

/// Returns how many of `routers` a team should use that makes `share` (0 to 1)
/// of the demand.
pub fn entry_count(share: f64, routers: usize) -> usize {
    let count = (ENTRY_HEADROOM * share.clamp(0.0, 1.0) * routers as f64).ceil() as usize;
    count.max(ENTRY_LEAST).min(routers)
}

/// Returns the routers for callers of a data centre. Those without a session
/// with the control member that answers are left out, unless most have none:
/// then that member has just started or is the one that is cut off.
///
/// `connected` has the names of the routers with a session, sorted.
pub fn serving<'a>(
    routers: &'a [OpenIncarnation],
    connected: &[String],
    data_centre: &str,
) -> Vec<&'a OpenIncarnation> {
    let alive = |r: &&OpenIncarnation| r.state == i32::from(RouterState::Alive);
    let mut usable: Vec<_> = routers.iter().filter(alive).collect();
    let has_session = |r: &&OpenIncarnation| connected.binary_search(&r.router).is_ok();
    let in_touch: Vec<_> = usable.iter().copied().filter(has_session).collect();
    if in_touch.len() * 2 > usable.len() {
        usable = in_touch;
    }
    let local: Vec<_> = usable
        .iter()
        .copied()
        .filter(|r| r.data_centre == data_centre)
        .collect();
    match local.len() >= LOCAL_ENOUGH {
        true => local,
        false => usable,
    }
}

/// The router directory at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routers {
    version: u64,
    // Sorted by router name.
    list: Vec<OpenIncarnation>,
    // Sorted names.
    silent: Vec<String>,
}

/// Returns the rendezvous score of a router for a subject. The highest wins.
fn score(subject: &str, router: &str) -> u64 {
    xxh3_64_with_seed(router.as_bytes(), xxh3_64_with_seed(subject.as_bytes(), 0))
}

impl Routers {
    /// Makes the directory from a lease answer.
    pub fn new(version: u64, mut list: Vec<OpenIncarnation>) -> Self {
        list.sort_by(|a, b| a.router.cmp(&b.router));
        Self {
            version,
            list,
            silent: Vec::new(),
        }
    }

    /// Replaces the names of routers that control has not heard for a lease.
    pub fn set_silent(&mut self, mut silent: Vec<String>) {
        silent.sort();
        self.silent = silent;
    }

    /// Returns the names of routers that control has not heard for a lease.
    pub fn silent(&self) -> &[String] {
        &self.silent
    }

    /// Whether control has not heard the router of this name for a lease.
    pub fn is_silent(&self, router: &str) -> bool {
        self.silent
            .binary_search_by(|name| name.as_str().cmp(router))
            .is_ok()
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all routers by name.
    pub fn iter(&self) -> impl Iterator<Item = &OpenIncarnation> {
        self.list.iter()
    }

    /// Returns the routers that take new callers.
    pub fn alive(&self) -> impl Iterator<Item = &OpenIncarnation> {
        self.list
            .iter()
            .filter(|r| r.state == RouterState::Alive as i32 && !self.is_silent(&r.router))
    }

    /// Returns the router of this name.
    pub fn get(&self, router: &str) -> Option<&OpenIncarnation> {
        self.list
            .binary_search_by(|r| r.router.as_str().cmp(router))
            .ok()
            .map(|at| &self.list[at])
    }

    /// Returns the routers that a team should use, best first, at most `count`.
    ///
    /// Routers are ordered by rendezvous hash of the team. The best router of
    /// each data centre comes before the second of any, so that two routers
    /// are never lost with one data centre while another has any.
    pub fn entry(&self, team: &str, count: usize) -> Vec<&OpenIncarnation> {
        let mut scored: Vec<_> = self.alive().collect();
        scored.sort_by_key(|r| std::cmp::Reverse(score(team, &r.router)));
        let mut nth: Vec<(usize, usize, &OpenIncarnation)> = Vec::with_capacity(scored.len());
        for (place, router) in scored.into_iter().enumerate() {
            let in_centre = nth
                .iter()
                .filter(|(_, _, r)| r.data_centre == router.data_centre)
                .count();
            nth.push((in_centre, place, router));
        }
        nth.sort_by_key(|(in_centre, place, _)| (*in_centre, *place));
        nth.into_iter().take(count).map(|(_, _, r)| r).collect()
    }

    /// Returns the routers that use an endpoint, by rendezvous hash. Draining
    /// routers stay in the subset, as they still serve callers.
    pub fn subset(&self, endpoint: &str) -> Vec<&OpenIncarnation> {
        let mut scored: Vec<_> = self
            .list
            .iter()
            .filter(|r| r.state != RouterState::Lost as i32)
            .collect();
        scored.sort_by_key(|r| std::cmp::Reverse(score(endpoint, &r.router)));
        scored.truncate(SUBSET);
        scored
    }

    /// Returns the router that keeps copies of another router's settlements:
    /// one in another data centre where there is any.
    pub fn copy_holder(&self, router: &str) -> Option<&OpenIncarnation> {
        let centre = self.get(router).map(|r| r.data_centre.as_str());
        self.alive().filter(|r| r.router != router).max_by_key(|r| {
            (
                Some(r.data_centre.as_str()) != centre,
                score(router, &r.router),
            )
        })
    }
}
