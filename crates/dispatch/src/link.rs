//! Detects a saturated network link of the router, from connect times.
//!
//! The link saturates when all callers of a large team use one router and send
//! more than its link carries. Packets wait in the link's queue, so connections to
//! all endpoints open late. If the router blamed the endpoints and avoided them, it
//! would send prompts to the few that are left, which would have to process the
//! shared parts again, and it would soon refuse every request.
//!
//! The delay is the shortest connect time of an interval: a saturated link delays
//! all connections, while a dead or full endpoint delays only its own.
//!
//! While the link is saturated, streams of the lower ranks are refused before
//! their bodies are read, the least urgent first. The first rank is never refused:
//! its callers would retry at the same router and send their bodies twice.

use anvilloft_types::prelude::*;

use crate::endpoint::rank;

/// Interval over which the delay is measured.
pub const LINK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum number of connections for an interval to count. A router with a
/// saturated link opens about five per interval.
const MIN_SAMPLES: u32 = 3;
/// Factor by which the delay decays after an interval with too few connections.
const DECAY: f64 = 0.8;
/// Delay from which the link counts as saturated: thirty round trips within a
/// city.
const SATURATED_DELAY: Duration = Duration::from_millis(100);
/// Delay, in milliseconds, at which streams of a rank begin to be refused, and at
/// which all are, from the second rank on: a tenth to a third of the shortest
/// objective, because urgent streams queue behind accepted ones.
const REFUSAL_RAMPS_MS: [(f64, f64); 2] = [(150.0, 450.0), (50.0, 150.0)];

/// Delay of the router's link, from the connect times of its endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkDelay {
    /// Number of connections in the current interval.
    samples: u32,
    /// Shortest connect time in the current interval.
    shortest: Duration,
    /// Delay as of the last interval.
    delay: Duration,
}

impl LinkDelay {
    /// Records the time after which a connection was open or was given up.
    pub fn record_connect(&mut self, took: Duration) {
        self.shortest = match self.samples {
            0 => took,
            _ => self.shortest.min(took),
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// Ends an interval; called every [`LINK_INTERVAL`].
    pub fn end_interval(&mut self) {
        self.delay = match std::mem::take(&mut self.samples) < MIN_SAMPLES {
            true => self.delay.mul_f64(DECAY),
            false => self.shortest,
        };
    }

    /// Returns the delay of the last interval.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Whether the link is saturated. A connection that fails to open then says
    /// nothing about its endpoint.
    pub fn is_saturated(&self) -> bool {
        self.delay >= SATURATED_DELAY
    }

    /// Whether to refuse a stream of a priority level, with a probability that
    /// rises with the delay; `draw` is uniform from 0 to 1.
    pub fn refuses(&self, level: u8, draw: f64) -> bool {
        let Some(lower) = rank(level).checked_sub(1) else {
            return false;
        };
        let (from, to) = REFUSAL_RAMPS_MS[lower.min(REFUSAL_RAMPS_MS.len() - 1)];
        draw < (self.delay.as_secs_f64() * 1e3 - from) / (to - from)
    }
}
