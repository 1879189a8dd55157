//! A router's part of an endpoint's slots, and the subsets of large fleets.
//!
//! Both follow from names alone, so routers that cannot see each other agree.

use anvilloft_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Most routers that use one endpoint.
pub const MAX_ROUTERS_PER_ENDPOINT: usize = 12;

/// Returns the rendezvous weight of a pair of names.
pub(crate) fn weight(a: &str, b: &str) -> u64 {
    xxh3_64_with_seed(a.as_bytes(), xxh3_64_with_seed(b.as_bytes(), 0))
}

/// Returns the rendezvous weight of a name for a key.
pub(crate) fn weight_of(key: u64, name_hash: u64) -> u64 {
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
pub fn subset<'a>(endpoint: &str, routers: &'a [RouterId], most: usize) -> Vec<&'a str> {
    let mut all: Vec<(u64, &str)> = routers
        .iter()
        .map(|r| (weight(r, endpoint), r.as_str()))
        .collect();
    all.sort_unstable_by(|a, b| b.cmp(a));
    all.truncate(most.max(1));
    all.into_iter().map(|(_, r)| r).collect()
}

/// Returns how many slots of an endpoint one router takes up.
///
/// The slots that remain after an equal division go one each to the routers
/// that come first in rendezvous order, so the parts add up to the slots. A
/// router that is not in the list has the part of the last one.
pub fn slot_share(slots: u32, routers: u32, position: u32) -> u32 {
    let routers = routers.max(1);
    slots / routers + u32::from(position < slots % routers)
}

/// Returns the most slots of an endpoint that one router may use. All routers
/// together exceed the slots by at most one request a router.
pub fn max_in_flight(slots: u32, routers: u32) -> u32 {
    slots / routers.max(1) + 1
}

/// Slots of an endpoint that lower work leaves free, in permille. It matches
/// the reserve of admission.
const RESERVE_PERMILLE: f64 = 45.0;

/// Returns how many slots of an endpoint lower work leaves free.
///
/// A router that may take one more urgent request than its part finds a free
/// slot at any endpoint, because the free slots are spread evenly. The hash of
/// the endpoint's name decides about fractions, the same at all routers.
pub(crate) fn reserve(slots: u32, name_hash: u64) -> u32 {
    let fraction = (name_hash >> 11) as f64 / (1u64 << 53) as f64;
    (f64::from(slots) * RESERVE_PERMILLE / 1000.0 + fraction) as u32
}
