//! Estimate of the rate at which the capacity takes up work.

use anvilloft_types::prelude::*;

/// Weight of one finished request in the means.
const GAIN: f64 = 0.02;

/// Means over finished requests.
///
/// The rate follows from Little's law, so it is known before any queue has
/// formed: slots, over the mean time in a slot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DrainRate {
    residence: f64,
    tokens: f64,
    samples: u32,
}

impl DrainRate {
    /// Adds a finished request with its time in a slot and its estimated
    /// tokens.
    pub(crate) fn add(&mut self, residence: Duration, tokens: Tokens) {
        self.samples = self.samples.saturating_add(1);
        // The first samples weigh more, so that the mean forgets its start.
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.residence += gain * (residence.as_secs_f64() - self.residence);
        self.tokens += gain * (tokens as f64 - self.tokens);
    }

    /// Returns the mean of the estimated tokens; 1 before the first request
    /// finished.
    pub(crate) fn mean_tokens(&self) -> f64 {
        self.tokens.max(1.0)
    }

    /// Returns tokens a second for a count of slots, or `None` before the
    /// first request finished.
    pub(crate) fn tokens_per_s(&self, slots: u32) -> Option<f64> {
        if self.samples == 0 {
            return None;
        }
        Some(f64::from(slots.max(1)) * self.tokens.max(1.0) / self.residence.max(1e-4))
    }
}
