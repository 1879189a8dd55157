//! Sums that decay with time.

use anvilloft_types::prelude::*;

/// A sum whose old parts count less: a part of age `tau` counts 1/e.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Decayed {
    sum: f64,
    at: Duration,
}

impl Decayed {
    /// Adds an amount.
    pub(crate) fn add(&mut self, now: Duration, tau: Duration, amount: f64) {
        self.sum = (self.value(now, tau) + amount).max(0.0);
        self.at = self.at.max(now);
    }

    /// Returns the sum.
    pub(crate) fn value(&self, now: Duration, tau: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / tau.as_secs_f64()).exp()
    }
}
