//! Limit on the rate of log lines about an event that may come often.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use anvilloft_types::lock;

#[derive(Debug, Default)]
struct Unlogged {
    count: u64,
    logged_at: Option<Instant>,
}

/// Allows one line in each interval, which tells how often the event came since the last.
#[derive(Debug)]
pub struct LineLimit {
    interval: Duration,
    unlogged: Mutex<Unlogged>,
}

impl LineLimit {
    /// Creates a limit of one line in each `interval`. The first event is logged at once.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            unlogged: Mutex::default(),
        }
    }

    /// Counts an event. If a line may be logged now, returns the number of events since
    /// the last one, with this event.
    pub fn record(&self) -> Option<u64> {
        let mut unlogged = lock(&self.unlogged);
        unlogged.count += 1;
        let last = unlogged.logged_at;
        if last.is_some_and(|at| at.elapsed() < self.interval) {
            return None;
        }
        unlogged.logged_at = Some(Instant::now());
        Some(std::mem::take(&mut unlogged.count))
    }
}
