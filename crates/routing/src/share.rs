//! A router's share of an endpoint's slots, and the routers that use an
//! endpoint of a large fleet.
//!
//! Both are computed from names alone, so routers agree without communication.

use anvilloft_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of routers that use one endpoint.
pub const MAX_ROUTERS_PER_ENDPOINT: usize = 12;

/// Returns the rendezvous weight of a pair of names.
pub(crate) fn pair_weight(a: &str, b: &str) -> u64 {
    xxh3_64_with_seed(a.as_bytes(), xxh3_64_with_seed(b.as_bytes(), 0))
}

/// Returns the rendezvous weight of a name for a key.
pub(crate) fn key_weight(key: u64, name_hash: u64) -> u64 {
    // Finaliser of splitmix64 over both hashes.
    let mut x = key ^ name_hash.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the hash of a name.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// Returns the routers that use an endpoint, in rendezvous order.
pub fn subset<'a>(endpoint: &str, routers: &'a [RouterId], max_routers: usize) -> Vec<&'a str> {
    let mut all: Vec<(u64, &str)> = routers
        .iter()
        .map(|r| (pair_weight(r, endpoint), r.as_str()))
        .collect();
    all.sort_unstable_by(|a, b| b.cmp(a));
    all.truncate(max_routers.max(1));
    all.into_iter().map(|(_, r)| r).collect()
}

/// Returns how many slots of an endpoint belong to one router.
///
/// The slots that remain after an equal division go one each to the routers
/// that come first in rendezvous order, so the shares add up to the slots.
/// `position` is the router's place in that order. A router without a place
/// gets the same share as the last one.
pub fn slot_share(slots: u32, routers: u32, position: u32) -> u32 {
    let routers = routers.max(1);
    slots / routers + u32::from(position < slots % routers)
}

/// Returns the maximum number of requests that one router may run at an
/// endpoint. All routers together exceed the slots by at most one request per
/// router.
pub fn max_in_flight(slots: u32, routers: u32) -> u32 {
    slots / routers.max(1) + 1
}

/// Share of an endpoint's slots that ranks below the first leave free, in
/// permille. Matches the reserve of admission.
const RESERVE_PERMILLE: f64 = 45.0;

/// Returns how many slots of an endpoint the ranks below the first leave free.
///
/// The reserve is spread evenly, so a router that may run one urgent request
/// beyond its share finds a free slot at any endpoint. Fractions are rounded up
/// or down by the hash of the endpoint's name, with the same result at all
/// routers.
pub(crate) fn reserve(slots: u32, name_hash: u64) -> u32 {
    let fraction = (name_hash >> 11) as f64 / (1u64 << 53) as f64;
    (f64::from(slots) * RESERVE_PERMILLE / 1000.0 + fraction) as u32
}
