//! Monotonic clock for measuring leases.

use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// Monotonic time since the start of the process, including time during which
/// the host was suspended: a lease that control ended in the meantime must not
/// look valid.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: fn() -> Duration,
    start: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self::with_source(time_since_boot)
    }

    /// Starts a clock at zero that reads the time from `source`.
    pub fn with_source(source: fn() -> Duration) -> Self {
        Self {
            source,
            start: source(),
        }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Duration {
        (self.source)().saturating_sub(self.start)
    }
}

/// Returns the time since the host booted, including time during which it was
/// suspended.
///
/// # Panics
///
/// Panics if the kernel is older than Linux 2.6.39, which lacks this clock:
/// without it no lease can be trusted.
fn time_since_boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => time.into(),
        Err(e) => panic!("failed to read CLOCK_BOOTTIME: {e}"),
    }
}
