//! Load shedding for a router with an overloaded processor.
//!
//! A router is overloaded when all callers of a large team use it and its processor
//! can't forward all their streams. Unless some are refused, every request is late,
//! urgent ones included. The lateness of the router's own timers measures the
//! overload. Streams are refused before their bodies are read, the least urgent
//! first; plain requests are not refused, because they cost the router little.

use anvilloft_types::prelude::*;

/// Lateness of timers, in milliseconds, at which streams of a rank begin to be
/// refused, and at which all are; by rank, most urgent first. The first rank is
/// refused only when its answers would miss any objective.
const REFUSAL_RAMPS_MS: [(f64, f64); 3] = [(300.0, 900.0), (40.0, 120.0), (15.0, 45.0)];
/// Weight of the newest sample in the moving average of the lateness.
const LATENESS_WEIGHT: f64 = 0.3;

/// Decides which streams to refuse from the lateness of the router's timers.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadShedder {
    /// Moving average of the lateness.
    lateness_ms: f64,
}

impl LoadShedder {
    /// Records how late a timer fired.
    pub fn record_lateness(&mut self, lateness: Duration) {
        self.lateness_ms += (lateness.as_secs_f64() * 1e3 - self.lateness_ms) * LATENESS_WEIGHT;
    }

    /// Returns the moving average of the lateness.
    pub fn lateness(&self) -> Duration {
        Duration::from_secs_f64(self.lateness_ms / 1e3)
    }

    /// Whether to refuse a stream of a priority level, with a probability that
    /// rises with the lateness; `draw` is uniform from 0 to 1.
    pub fn refuses(&self, level: u8, draw: f64) -> bool {
        let rank = usize::from(level).min(REFUSAL_RAMPS_MS.len() - 1);
        let (from, to) = REFUSAL_RAMPS_MS[rank];
        draw < (self.lateness_ms - from) / (to - from)
    }
}
