//! The clock by which leases are measured.

use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// Monotonic time since the start of the process, which goes on while the host
/// is suspended: a lease that control has ended meanwhile must not look valid.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: fn() -> Duration,
    start: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self::with_source(host_time)
    }

    /// Starts a clock at zero over another source of time.
    pub fn with_source(source: fn() -> Duration) -> Self {
        Self {
            source,
            start: source(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        (self.source)().saturating_sub(self.start)
    }
}

/// Time since the host booted, with the time that it was suspended.
///
/// # Panics
///
/// When the kernel is older than Linux 2.6.39, which lacks this clock: without
/// it no lease can be trusted.
fn host_time() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => time.into(),
        Err(e) => panic!("clock CLOCK_BOOTTIME of the host: {e}"),
    }
}
