//! Tests for the clock that determines lease expiry.

use std::fs;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_gateway::View;
use anvilloft_types::Clock;

static HOST_UPTIME_MS: AtomicU64 = AtomicU64::new(90_000);

fn host_uptime() -> Duration {
    Duration::from_millis(HOST_UPTIME_MS.load(Ordering::Relaxed))
}

/// Guards against a lease that stays valid when the host is suspended beyond its
/// expiry.
#[test]
fn leases_expire_while_the_host_is_suspended() {
    let clock = Clock::with_source(host_uptime);
    let view = View {
        lease_expires: clock.now() + Duration::from_secs(12),
        ..View::empty()
    };
    assert!(view.has_lease(clock.now()));
    HOST_UPTIME_MS.fetch_add(13_000, Ordering::Relaxed);
    assert_eq!(clock.now(), Duration::from_secs(13));
    assert!(!view.has_lease(clock.now()));
}

/// Guards against a clock that falls behind the uptime of the host.
#[test]
fn the_clock_follows_the_uptime_of_the_host() {
    // `/proc/uptime` has a resolution of hundredths of a second.
    let resolution = Duration::from_millis(10);
    let clock = Clock::start();
    let before = proc_uptime();
    std::thread::sleep(Duration::from_millis(200));
    let passed = proc_uptime() - before;
    let now = clock.now();
    assert!(
        now + resolution >= passed,
        "the clock shows {now:?} after {passed:?}"
    );
}

fn proc_uptime() -> Duration {
    fs::read_to_string("/proc/uptime")
        .ok()
        .and_then(|text| text.split_whitespace().next()?.parse().ok())
        .map(Duration::from_secs_f64)
        .unwrap_or_else(|| panic!("/proc/uptime doesn't contain a number of seconds"))
}
