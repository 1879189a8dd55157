//! Estimates the rate at which the slots work off queued requests.

use anvilloft_types::prelude::*;

/// Minimum weight of a new sample in the moving averages.
const MIN_GAIN: f64 = 0.02;

/// Moving averages over finished requests, from which the drain rate is
/// estimated.
///
/// By Little's law the rate is the number of slots divided by the mean time in
/// a slot, so it is known before any queue has formed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DrainRate {
    /// Mean time in a slot, in seconds.
    slot_time: f64,
    /// Mean estimated tokens of a request.
    tokens: f64,
    samples: u32,
}

impl DrainRate {
    /// Adds a finished request with its time in a slot and its estimated
    /// tokens.
    pub(crate) fn add(&mut self, slot_time: Duration, tokens: Tokens) {
        self.samples = self.samples.saturating_add(1);
        // Early samples weigh more, so that the initial zeros don't bias the
        // averages.
        let gain = MIN_GAIN.max(1.0 / f64::from(self.samples));
        self.slot_time += gain * (slot_time.as_secs_f64() - self.slot_time);
        self.tokens += gain * (tokens as f64 - self.tokens);
    }

    /// Returns the mean of the estimated tokens of a request, or 1 before the
    /// first request has finished.
    pub(crate) fn mean_tokens(&self) -> f64 {
        self.tokens.max(1.0)
    }

    /// Returns the drain rate of a number of slots in tokens per second, or
    /// `None` before the first request has finished.
    pub(crate) fn tokens_per_s(&self, slots: u32) -> Option<f64> {
        if self.samples == 0 {
            return None;
        }
        Some(f64::from(slots.max(1)) * self.tokens.max(1.0) / self.slot_time.max(1e-4))
    }
}
