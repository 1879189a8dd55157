//! Bounds the number of requests in flight at a router.
//!
//! Each holds memory until it is answered, whatever its size. When engines are slow, streams
//! of the lower ranks would fill the router first, so a part of it is kept for the more
//! urgent ones.

/// Rank from which on all are treated alike.
const LAST_RANK: usize = 2;
/// Shares of the limit that each rank may fill, in eighths.
const SHARES: [usize; LAST_RANK + 1] = [8, 7, 6];

/// Returns whether another request of `rank`, 0 the most urgent, is accepted beside
/// `in_flight` others.
pub fn accepts_request(in_flight: usize, limit: usize, rank: u8) -> bool {
    let share = SHARES[usize::from(rank).min(LAST_RANK)];
    in_flight < limit.saturating_mul(share) / 8
}
