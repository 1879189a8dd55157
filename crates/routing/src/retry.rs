//! Limits retries to a share of recent successes.

use anvilloft_types::prelude::*;

/// Retries by recent successes.
const SHARE: f64 = 0.1;
/// Retries a second that are allowed without successes.
const BASE_PER_S: f64 = 3.0;
/// Largest saved amount, in retries: ten seconds of the base rate.
const MOST: f64 = 30.0;
/// Retries saved by successes that are kept, in seconds of the success rate.
const KEEP: Duration = Duration::from_secs(10);

/// The retry budget of one router.
///
/// A retry storm would keep an overloaded fleet overloaded; a share of the
/// successes can't grow while nothing succeeds.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    base: f64,
    earned: f64,
    at: Duration,
}

impl RetryBudget {
    /// Makes a budget.
    pub fn new(now: Duration) -> Self {
        Self {
            base: BASE_PER_S,
            earned: 0.0,
            at: now,
        }
    }

    /// Notes a success.
    pub fn success(&mut self, now: Duration) {
        self.advance(now);
        self.earned += SHARE;
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub fn take(&mut self, now: Duration) -> bool {
        self.advance(now);
        if self.earned >= 1.0 {
            self.earned -= 1.0;
            return true;
        }
        if self.base >= 1.0 {
            self.base -= 1.0;
            return true;
        }
        false
    }

    fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.base = (self.base + passed * BASE_PER_S).min(MOST);
        self.earned *= (-passed / KEEP.as_secs_f64()).exp();
    }
}
