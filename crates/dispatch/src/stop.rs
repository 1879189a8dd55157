//! Decides which requests a router still passes on during a planned stop.
//!
//! Callers learn of the stop late, so new requests are accepted for a while. What is
//! passed on then must end before the process does: a request that may not be repeated
//! is passed on only if its deadline lies before that end. Nothing is lost by refusing
//! it, as another router takes it at once.

use anvilloft_types::prelude::*;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// New requests are accepted until then.
    pub accept_until: Duration,
    /// Answers that have not ended by then may be cut off.
    pub requests_end: Duration,
}

/// A request that is about to be passed on during a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoppingRequest {
    /// When its whole answer is due.
    pub deadline: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether an endpoint has received it already.
    pub was_sent: bool,
}

impl StopSchedule {
    /// Whether a request that arrives at `now` is accepted.
    pub fn accepts(&self, now: Duration) -> bool {
        now < self.accept_until
    }

    /// Whether an accepted request is passed on at `now`.
    pub fn may_send(&self, now: Duration, req: &StoppingRequest) -> bool {
        let ends_in_time = req.deadline <= self.requests_end;
        ends_in_time || (req.repeatable && (req.was_sent || self.accepts(now)))
    }
}
