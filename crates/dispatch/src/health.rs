//! Health of an endpoint, from the outcomes of its requests.
//!
//! Health checks are not used: they can be wrong either way, and an endpoint that
//! fails every second request can still pass them.

use anvilloft_types::prelude::*;

/// Weight of the newest outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Minimum number of outcomes before the failure rate is used.
const MIN_SAMPLES: u32 = 4;
/// An endpoint is avoided if its failure rate exceeds the service's median by more
/// than this. Four outcomes in a row rarely exceed it by chance alone.
const MAX_EXCESS_FAILURE_RATE: f64 = 0.35;
/// Half-life of the failure rate without new outcomes, in seconds. An endpoint that is
/// avoided has none, and may be sound again.
const FAILURE_HALF_LIFE_S: f64 = 5.0;
/// Initial backoff for an unreachable endpoint; doubles with each failure of a request
/// that was sent after the last one.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff before an unreachable endpoint is tried again.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Backoff for an endpoint that refused a request because it was full.
const FULL_BACKOFF: Duration = Duration::from_millis(150);

/// Health of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// Moving average of outcomes: 0 for a success, 1 for a failure.
    failure_rate: f64,
    /// When `failure_rate` was updated.
    updated_at: Duration,
    samples: u32,
    backoff: Duration,
    /// When the backoff was last raised.
    raised_at: Option<Duration>,
    avoid_until: Duration,
    full_until: Duration,
    /// When the endpoint last answered a request, even with a failure or a
    /// refusal.
    pub(crate) last_answer: Option<Duration>,
    /// When a connection to the endpoint last failed or broke.
    pub(crate) last_break: Option<Duration>,
}

impl Health {
    /// Records a successful answer.
    pub(crate) fn on_success(&mut self, now: Duration) {
        self.record(now, 0.0);
        self.backoff = Duration::ZERO;
        self.raised_at = None;
        self.avoid_until = Duration::ZERO;
        self.last_answer = Some(now);
    }

    /// Records an answer that reports a failure.
    pub(crate) fn on_failure(&mut self, now: Duration) {
        self.record(now, 1.0);
        self.last_answer = Some(now);
    }

    /// Records a connection that could not be opened, or that broke before the
    /// answer was complete. `sent_at` is when its request was sent.
    pub(crate) fn on_broken(&mut self, now: Duration, sent_at: Duration) {
        self.last_break = Some(now);
        self.on_unreachable(now, sent_at);
    }

    /// Records a request without a complete answer. `sent_at` is when it was sent.
    pub(crate) fn on_unreachable(&mut self, now: Duration, sent_at: Duration) {
        self.record(now, 1.0);
        // Requests that were in flight together often fail for the same reason.
        if self.raised_at.is_none_or(|at| sent_at >= at) {
            self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
            self.raised_at = Some(now);
        }
        self.avoid_until = now + self.backoff;
    }

    /// Records a refusal because the endpoint was full.
    pub(crate) fn on_full(&mut self, now: Duration) {
        self.full_until = now + FULL_BACKOFF;
        self.last_answer = Some(now);
    }

    fn record(&mut self, now: Duration, failure: f64) {
        let rate = self.decayed_rate(now);
        self.failure_rate = rate + (failure - rate) * FAILURE_WEIGHT;
        self.updated_at = now;
        self.samples = self.samples.saturating_add(1);
    }

    fn decayed_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE_S)
    }

    /// Returns the failure rate, or `None` after too few outcomes.
    pub(crate) fn failure_rate(&self, now: Duration) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then(|| self.decayed_rate(now))
    }

    /// Whether the endpoint refused a request a moment ago because it was full.
    pub(crate) fn is_full(&self, now: Duration) -> bool {
        now < self.full_until
    }

    /// Whether other endpoints are preferred to this one; `baseline` is the median
    /// failure rate of the service's endpoints.
    pub(crate) fn is_avoided(&self, now: Duration, baseline: f64) -> bool {
        now < self.avoid_until
            || self
                .failure_rate(now)
                .is_some_and(|rate| rate > baseline + MAX_EXCESS_FAILURE_RATE)
    }
}
