//! Sums that decay exponentially with time.

use anvilloft_types::prelude::*;

/// A sum of amounts that decay exponentially: one that was added `tau` ago
/// counts 1/e of its value.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated_at: Duration,
}

impl DecayingSum {
    /// Adds an amount. The sum doesn't fall below zero.
    pub(crate) fn add(&mut self, now: Duration, tau: Duration, amount: f64) {
        self.sum = (self.value(now, tau) + amount).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the decayed sum at the time `now`.
    pub(crate) fn value(&self, now: Duration, tau: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.sum * (-age / tau.as_secs_f64()).exp()
    }
}
