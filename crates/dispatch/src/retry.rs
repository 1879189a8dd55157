//! Limits repeats to a share of the requests.
//!
//! The load that this answers: an outage of some endpoints, when every router
//! repeats what failed and the repeats of the fleet together would fill the
//! endpoints that are left.

use std::collections::VecDeque;

use anvilloft_types::prelude::*;

/// Repeats that one router may send to a service within a window.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    window: Duration,
    ratio: f64,
    extra: f64,
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

impl RepeatBudget {
    /// Makes a budget of `ratio` repeats for each request of the last `window`,
    /// and `extra` more.
    pub fn new(window: Duration, ratio: f64, extra: f64) -> Self {
        Self {
            window,
            ratio,
            extra,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Sets the repeats beyond the ratio.
    pub fn set_extra(&mut self, extra: f64) {
        self.extra = extra;
    }

    /// Counts a caller's request.
    pub fn request(&mut self, now: Duration) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat. Returns whether there was one left.
    pub fn take(&mut self, now: Duration) -> bool {
        self.expire(now);
        let most = self.ratio * self.requests.len() as f64 + self.extra;
        let allowed = ((self.repeats.len() + 1) as f64) <= most;
        if allowed {
            self.repeats.push_back(now);
        }
        allowed
    }

    fn expire(&mut self, now: Duration) {
        let window = self.window;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now > *at + window) {
                times.pop_front();
            }
        }
    }
}
