//! Which requests a busy router refuses.
//!
//! The load that this answers: all callers of one large team use one router,
//! and its processor can't pass all their streams on. Without a choice every
//! request is late, urgent ones too. The least urgent streams are refused
//! first, before their bodies are read, as far as the router's own timers are
//! late; plain requests, which cost it little, are not.

use anvilloft_types::prelude::*;

/// Lateness of timers at which streams of a rank begin to be refused, and at
/// which all are, in milliseconds; by rank, from the most urgent one.
/// The first rank is refused when answers would miss any objective.
const RAMPS: [(f64, f64); 3] = [(300.0, 900.0), (40.0, 120.0), (15.0, 45.0)];
/// Weight of the newest lateness.
const GAIN: f64 = 0.3;

/// Lateness of a router's own timers, and what follows from it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shedder {
    late_ms: f64,
}

impl Shedder {
    /// Takes how late a timer came.
    pub fn measured(&mut self, late: Duration) {
        self.late_ms += (late.as_secs_f64() * 1e3 - self.late_ms) * GAIN;
    }

    /// Returns the lateness, as it decides.
    pub fn late(&self) -> Duration {
        Duration::from_secs_f64(self.late_ms / 1e3)
    }

    /// Whether a stream of a rank is refused; `draw` is uniform from 0 to 1.
    pub fn refuses(&self, level: u8, draw: f64) -> bool {
        let rank = usize::from(level).min(RAMPS.len() - 1);
        let (from, to) = RAMPS[rank];
        draw < (self.late_ms - from) / (to - from)
    }
}
