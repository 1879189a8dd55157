//! Limits retries to a share of recent successes.

use anvilloft_types::prelude::*;

/// Retries that are allowed for each recent success.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Retries per second that are allowed without successes.
const BASE_RETRIES_PER_S: f64 = 3.0;
/// Maximum number of saved retries of the base rate: ten seconds' worth.
const MAX_BASE_RETRIES: f64 = 30.0;
/// Decay time of the retries earned by successes. At a steady rate, those of
/// ten seconds are kept.
const EARNED_DECAY: Duration = Duration::from_secs(10);

/// The retry budget of one router.
///
/// Prevents retry storms, which would keep an overloaded fleet overloaded: a
/// budget that is a share of the successes doesn't grow while nothing succeeds.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    base_retries: f64,
    earned_retries: f64,
    updated_at: Duration,
}

impl RetryBudget {
    /// Creates a budget.
    pub fn new(now: Duration) -> Self {
        Self {
            base_retries: BASE_RETRIES_PER_S,
            earned_retries: 0.0,
            updated_at: now,
        }
    }

    /// Records a success.
    pub fn record_success(&mut self, now: Duration) {
        self.advance(now);
        self.earned_retries += RETRIES_PER_SUCCESS;
    }

    /// Returns whether a retry is available.
    pub fn is_available(&mut self, now: Duration) -> bool {
        self.advance(now);
        self.earned_retries >= 1.0 || self.base_retries >= 1.0
    }

    /// Takes one retry from the budget. Returns whether one was available.
    pub fn try_take(&mut self, now: Duration) -> bool {
        self.advance(now);
        if self.earned_retries >= 1.0 {
            self.earned_retries -= 1.0;
            return true;
        }
        if self.base_retries >= 1.0 {
            self.base_retries -= 1.0;
            return true;
        }
        false
    }

    /// Adds the base rate and decays the earned retries up to `now`.
    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.base_retries =
            (self.base_retries + elapsed * BASE_RETRIES_PER_S).min(MAX_BASE_RETRIES);
        self.earned_retries *= (-elapsed / EARNED_DECAY.as_secs_f64()).exp();
    }
}
