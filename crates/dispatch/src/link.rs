//! Which requests a router refuses because its link is full.
//!
//! The load that this answers: all callers of one large team in a data centre
//! use one router, and their requests have more bytes than its link can carry.
//! Packets then wait so long that connections to endpoints time out, and no
//! request of any rank is served, while other routers are idle. What does not
//! fit is refused at once, the least urgent streams first, so that callers go
//! to another router.

use anvilloft_types::prelude::*;

use crate::endpoint::rank;

/// Share of the link for requests and answers. The rest carries the headers of
/// packets and messages to control and peers.
const USED: f64 = 0.55;
/// Bytes that may wait for the link, as a time: the shortest objective of a
/// stream leaves four times as much.
const BURST: Duration = Duration::from_millis(200);
/// Share of the burst that is kept for more urgent ranks, by rank.
const KEPT: [f64; 3] = [0.0, 0.25, 0.5];

/// The bytes that a router's link has room for.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    /// Bytes a second; 0 for a link that is no bound.
    rate: f64,
    /// Bytes that may leave now. Below 0, bytes wait.
    room: f64,
    at: Duration,
}

impl LinkBudget {
    /// Makes a budget of a link of `bytes_per_s`; 0 is no bound.
    pub fn new(bytes_per_s: u64) -> Self {
        let rate = bytes_per_s as f64 * USED;
        Self {
            rate,
            room: rate * BURST.as_secs_f64(),
            at: Duration::ZERO,
        }
    }

    fn burst(&self) -> f64 {
        self.rate * BURST.as_secs_f64()
    }

    /// Takes `bytes` that leave or will leave at once.
    pub fn sent(&mut self, now: Duration, bytes: usize) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let burst = self.burst();
        let room = (self.room + passed * self.rate).min(burst);
        // What waits longer than a burst has left the router's control.
        self.room = (room - bytes as f64).max(-burst);
    }

    /// Whether a stream of a rank is refused.
    pub fn refuses(&mut self, now: Duration, level: u8) -> bool {
        self.sent(now, 0);
        self.rate > 0.0 && self.room < self.burst() * KEPT[rank(level).min(KEPT.len() - 1)]
    }
}
