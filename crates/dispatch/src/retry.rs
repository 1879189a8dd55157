//! Limits retries to a share of the requests.
//!
//! When some endpoints are down, every router retries the requests that failed.
//! Without a limit, the retries of the whole fleet would overload the endpoints
//! that are left.

use std::collections::VecDeque;

use anvilloft_types::prelude::*;

/// Retry budget of one router for one service, over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    extra: f64,
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request of the last `window`, plus
    /// `extra` retries.
    pub fn new(window: Duration, ratio: f64, extra: f64) -> Self {
        Self {
            window,
            ratio,
            extra,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Sets the number of retries allowed in addition to the ratio.
    pub fn set_extra(&mut self, extra: f64) {
        self.extra = extra;
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Duration) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget. Returns `false` if none is left.
    pub fn try_take(&mut self, now: Duration) -> bool {
        self.expire(now);
        let limit = self.ratio * self.requests.len() as f64 + self.extra;
        let allowed = ((self.retries.len() + 1) as f64) <= limit;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    fn expire(&mut self, now: Duration) {
        let window = self.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now > *at + window) {
                times.pop_front();
            }
        }
    }
}
