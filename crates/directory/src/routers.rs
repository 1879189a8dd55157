//! Router directory of the fleet, as published by the ledger.

use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::RouterState;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of routers that use one endpoint.
pub const MAX_ROUTERS_PER_ENDPOINT: usize = 12;

/// Minimum number of routers that a team uses, so that it keeps one if the other
/// dies.
const MIN_ENTRY_ROUTERS: usize = 2;
/// Factor by which a team's share of the routers exceeds its share of the demand.
/// Each router has an equal part of every endpoint's slots, so with fewer routers a
/// team would queue while slots of other routers are free.
const ENTRY_HEADROOM: f64 = 4.0;
/// Minimum number of routers in a caller's data centre for the caller to use only
/// these. With fewer, the death of one would leave too much load to the others.
const MIN_LOCAL_ROUTERS: usize = 2;

/// Returns how many of `routers` a team should use if it makes up `share` (0 to 1)
/// of the demand.
pub fn entry_router_count(share: f64, routers: usize) -> usize {
    let count = (ENTRY_HEADROOM * share.clamp(0.0, 1.0) * routers as f64).ceil() as usize;
    count.max(MIN_ENTRY_ROUTERS).min(routers)
}

/// Contact of the control member that answers a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberContact {
    /// It knows no leader of the control group.
    CutOff,
    /// It is in contact, but has just started, so routers may still connect to it.
    Starting,
    /// It is in contact.
    Full,
}

/// Where a caller is, and how its control member finds routers.
#[derive(Clone, Copy, Debug)]
pub struct CallerView<'a> {
    /// Sorted names of the routers that have a session with the control member that
    /// answers the caller.
    pub connected: &'a [String],
    /// Contact of that member.
    pub contact: MemberContact,
    /// Data centre of the caller.
    pub data_centre: &'a str,
    /// Region of the caller; empty if it isn't known.
    pub region: &'a str,
}

/// Returns the routers for a caller: those of its data centre, or, if these are too few,
/// all of them in the order of data centre, region and the rest. `region_of` returns the
/// region of a data centre.
///
/// Routers without a session are left out, as they may have been gone for long. If most
/// routers have none, a member that has just started lists none, so that the first to
/// connect don't get all callers. One that is itself cut off lists all: it can't tell which
/// of them are running, and callers may reach them.
pub fn routers_for_callers<'a>(
    routers: &'a [OpenIncarnation],
    view: &CallerView<'_>,
    region_of: impl Fn(&str) -> Option<String>,
) -> Vec<&'a OpenIncarnation> {
    let (connected, data_centre) = (view.connected, view.data_centre);
    let alive = |r: &&OpenIncarnation| r.state == i32::from(RouterState::Alive);
    let mut usable: Vec<_> = routers.iter().filter(alive).collect();
    let has_session = |r: &&OpenIncarnation| connected.binary_search(&r.router).is_ok();
    let with_session: Vec<_> = usable.iter().copied().filter(has_session).collect();
    usable = match view.contact {
        _ if with_session.len() * 2 > usable.len() => with_session,
        MemberContact::CutOff => usable,
        MemberContact::Starting => Vec::new(),
        MemberContact::Full => with_session,
    };
    let local: Vec<_> = usable
        .iter()
        .copied()
        .filter(|r| r.data_centre == data_centre)
        .collect();
    match local.len() >= MIN_LOCAL_ROUTERS {
        true => local,
        false => {
            usable.sort_by_cached_key(|r| {
                let is_near = region_of(&r.data_centre).is_some_and(|own| own == view.region);
                (r.data_centre != data_centre, !is_near)
            });
            usable
        }
    }
}

/// The router directory at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouterDirectory {
    version: u64,
    // Sorted by router name.
    list: Vec<OpenIncarnation>,
    // Names of silent routers, sorted.
    silent: Vec<String>,
}

/// Returns the rendezvous hashing score of a router for a key. The highest wins.
pub(crate) fn score(key: &str, router: &str) -> u64 {
    xxh3_64_with_seed(router.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

impl RouterDirectory {
    /// Creates the directory from the routers in a lease grant.
    pub fn new(version: u64, mut list: Vec<OpenIncarnation>) -> Self {
        list.sort_by(|a, b| a.router.cmp(&b.router));
        Self {
            version,
            list,
            silent: Vec::new(),
        }
    }

    /// Replaces the names of the silent routers, from which control has received no
    /// renewal for the length of a lease.
    pub fn set_silent(&mut self, mut silent: Vec<String>) {
        silent.sort();
        self.silent = silent;
    }

    /// Returns the names of the silent routers, sorted.
    pub fn silent(&self) -> &[String] {
        &self.silent
    }

    /// Whether control has received no renewal from this router for the length of a
    /// lease.
    pub fn is_silent(&self, router: &str) -> bool {
        self.silent
            .binary_search_by(|name| name.as_str().cmp(router))
            .is_ok()
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all routers, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &OpenIncarnation> {
        self.list.iter()
    }

    /// Returns the routers that accept new callers: alive and not silent.
    pub fn alive(&self) -> impl Iterator<Item = &OpenIncarnation> {
        self.list
            .iter()
            .filter(|r| r.state == RouterState::Alive as i32 && !self.is_silent(&r.router))
    }

    /// Returns a router by name.
    pub fn get(&self, router: &str) -> Option<&OpenIncarnation> {
        self.list
            .binary_search_by(|r| r.router.as_str().cmp(router))
            .ok()
            .map(|at| &self.list[at])
    }

    /// Returns the routers that a team should use, best first, at most `count`.
    ///
    /// Routers are ordered by rendezvous hashing of the team. The best router of
    /// each data centre comes before the second of any, so that the loss of a data
    /// centre never takes two of a team's routers while another one is unused.
    pub fn entry_routers(&self, team: &str, count: usize) -> Vec<&OpenIncarnation> {
        let mut scored: Vec<_> = self.alive().collect();
        scored.sort_by_key(|r| std::cmp::Reverse(score(team, &r.router)));
        let mut ranked: Vec<(usize, usize, &OpenIncarnation)> = Vec::with_capacity(scored.len());
        for (position, router) in scored.into_iter().enumerate() {
            let rank_in_centre = ranked
                .iter()
                .filter(|(_, _, r)| r.data_centre == router.data_centre)
                .count();
            ranked.push((rank_in_centre, position, router));
        }
        ranked.sort_by_key(|(rank_in_centre, position, _)| (*rank_in_centre, *position));
        ranked.into_iter().take(count).map(|(_, _, r)| r).collect()
    }

    /// Returns the routers that use an endpoint, by rendezvous hashing. Draining
    /// routers are included, because they still serve callers.
    pub fn endpoint_routers(&self, endpoint: &str) -> Vec<&OpenIncarnation> {
        let mut scored: Vec<_> = self
            .list
            .iter()
            .filter(|r| r.state != RouterState::Lost as i32)
            .collect();
        scored.sort_by_key(|r| std::cmp::Reverse(score(endpoint, &r.router)));
        scored.truncate(MAX_ROUTERS_PER_ENDPOINT);
        scored
    }

    /// Returns the router that keeps copies of another router's settlements. It is
    /// in another data centre if possible.
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
