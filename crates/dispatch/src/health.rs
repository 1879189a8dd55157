//! Judges an endpoint by the outcomes of its requests.
//!
//! Answers of health checks are not used: they may be false either way, and an
//! endpoint that fails every second request can answer them well.

use anvilloft_types::prelude::*;

/// Weight of the newest outcome in the rate of failures.
const GAIN: f64 = 0.2;
/// Outcomes after which the rate of failures counts.
const SAMPLES: u32 = 4;
/// Excess over the other endpoints' rate of failures from which an endpoint is
/// avoided. Chance alone rarely brings four outcomes in a row above it.
const EXCESS: f64 = 0.35;
/// First time for which an endpoint that can't be reached is avoided.
const AVOID_MIN: Duration = Duration::from_millis(500);
/// Longest time for which an endpoint is avoided before it is tried again.
const AVOID_MAX: Duration = Duration::from_secs(4);
/// Time for which an endpoint that refused for want of room is avoided.
const FULL: Duration = Duration::from_millis(150);

/// Outcomes of one endpoint's requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    failures: f64,
    samples: u32,
    avoid: Duration,
    avoid_until: Duration,
    full_until: Duration,
    /// When a request was last answered.
    pub(crate) answered: Option<Duration>,
}

impl Health {
    pub(crate) fn ok(&mut self, now: Duration) {
        self.sample(0.0);
        self.avoid = Duration::ZERO;
        self.avoid_until = Duration::ZERO;
        self.answered = Some(now);
    }

    /// An answer that says that the request failed.
    pub(crate) fn failed(&mut self, now: Duration) {
        self.sample(1.0);
        self.answered = Some(now);
    }

    /// No connection, or one that broke before the answer.
    pub(crate) fn unreachable(&mut self, now: Duration) {
        self.sample(1.0);
        self.avoid = (self.avoid * 2).clamp(AVOID_MIN, AVOID_MAX);
        self.avoid_until = now + self.avoid;
    }

    pub(crate) fn full(&mut self, now: Duration) {
        self.full_until = now + FULL;
        self.answered = Some(now);
    }

    fn sample(&mut self, failed: f64) {
        self.failures += (failed - self.failures) * GAIN;
        self.samples = self.samples.saturating_add(1);
    }

    pub(crate) fn rate(&self) -> Option<f64> {
        (self.samples >= SAMPLES).then_some(self.failures)
    }

    pub(crate) fn is_full(&self, now: Duration) -> bool {
        now < self.full_until
    }

    /// Whether other endpoints go first; `usual` is the rate of failures of the
    /// service's endpoints.
    pub(crate) fn is_avoided(&self, now: Duration, usual: f64) -> bool {
        now < self.avoid_until || self.rate().is_some_and(|rate| rate > usual + EXCESS)
    }
}
