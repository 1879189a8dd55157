//! The delay of a router's own link.
//!
//! The load that this answers: all callers of a large team keep to one router
//! and send more than its link carries. Packets wait in the link's queue, so
//! connections to all endpoints open late. A router that gives them up and avoids
//! those endpoints sends prompts to the few that are left, where their shared
//! parts have to be read again, and soon refuses everything.
//!
//! The shortest time of an interval counts: a full link delays all connections,
//! and an endpoint that is dead or full only its own.
//!
//! While the link is full, streams of the lower ranks are refused before their
//! bodies are read, the least urgent ones first. The first rank never is: its
//! callers come back to the same router and would send their bodies twice.

use anvilloft_types::prelude::*;

use crate::endpoint::rank;

/// Interval over which the delay is measured.
pub const LINK_EVERY: Duration = Duration::from_millis(100);
/// Connections in an interval below which they say nothing. A router whose link
/// is full opens some five.
const SAMPLES: u32 = 3;
/// Part of the delay that stays after an interval that says nothing.
const FADE: f64 = 0.8;
/// Delay from which the link counts as full: thirty round trips within a city.
const FULL: Duration = Duration::from_millis(100);
/// Delay, in milliseconds, at which streams of a rank begin to be refused, and at
/// which all are, from the second rank on: a tenth to a third of the shortest
/// objective, as urgent streams wait behind what is accepted.
const RAMPS: [(f64, f64); 2] = [(150.0, 450.0), (50.0, 150.0)];

/// Times in which connections to endpoints opened.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkDelay {
    /// Connections of this interval, and the shortest time of one.
    samples: u32,
    shortest: Duration,
    delay: Duration,
}

impl LinkDelay {
    /// Takes the time after which a connection was open or given up.
    pub fn opened(&mut self, took: Duration) {
        self.shortest = match self.samples {
            0 => took,
            _ => self.shortest.min(took),
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// Ends an interval of `LINK_EVERY`.
    pub fn end_interval(&mut self) {
        self.delay = match std::mem::take(&mut self.samples) < SAMPLES {
            true => self.delay.mul_f64(FADE),
            false => self.shortest,
        };
    }

    /// Returns the delay of the last interval.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Whether a connection that did not open says nothing of its endpoint.
    pub fn is_full(&self) -> bool {
        self.delay >= FULL
    }

    /// Whether a stream of a rank is refused; `draw` is uniform from 0 to 1.
    pub fn refuses(&self, level: u8, draw: f64) -> bool {
        let Some(lower) = rank(level).checked_sub(1) else {
            return false;
        };
        let (from, to) = RAMPS[lower.min(RAMPS.len() - 1)];
        draw < (self.delay.as_secs_f64() * 1e3 - from) / (to - from)
    }
}
