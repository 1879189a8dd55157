//! What a router makes of connections that open late.

use std::time::Duration;

use anvilloft_dispatch::LinkDelay;
use rstest::rstest;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Debug)]
struct Case {
    /// Times of the connections of each interval, in milliseconds.
    opened: &'static [u64],
    /// Whether the link counts as full after some intervals.
    full: bool,
}

/// Guards against endpoints that are avoided because the router's own link is
/// full, and against a dead endpoint that passes for a full link.
#[rstest]
#[case::idle_link(Case { opened: &[3, 4, 3, 5], full: false })]
#[case::dead_endpoints(Case { opened: &[300, 300, 300, 4], full: false })]
#[case::full_link(Case { opened: &[220, 200, 240, 210], full: true })]
#[case::nothing_opens(Case { opened: &[300, 300, 300], full: true })]
#[case::one_slow_connection(Case { opened: &[300], full: false })]
fn a_full_link_delays_all_connections(#[case] case: Case) {
    let mut link = LinkDelay::default();
    for _ in 0..5 {
        case.opened.iter().for_each(|t| link.opened(ms(*t)));
        link.end_interval();
    }
    assert_eq!(link.is_full(), case.full, "{case:?}");
}

/// Guards against a link that counts as full long after the load has gone, as
/// an idle router opens no connections.
#[test]
fn a_full_link_is_forgotten_within_a_second() {
    let mut link = LinkDelay::default();
    (0..5).for_each(|_| link.opened(ms(300)));
    link.end_interval();
    assert!(link.is_full());
    (0..10).for_each(|_| link.end_interval());
    assert!(!link.is_full());
}
