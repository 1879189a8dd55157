//! What a router makes of connections that open late.

use std::time::Duration;

use anvilloft_dispatch::LINK_EVERY;
use anvilloft_dispatch::LinkDelay;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
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

/// Bytes that a link carries in a millisecond.
const LINK_PER_MS: f64 = 1_250.0;
/// Time to open a connection on an idle link, in milliseconds.
const IDLE_OPEN_MS: f64 = 3.0;

/// Streams of one rank: how many come in a second, their bytes on the link, and
/// the longest time to a first event that is on time, in milliseconds.
struct Streams {
    per_s: f64,
    bytes: f64,
    objective_ms: f64,
}

const STREAMS: [Streams; 3] = [
    Streams {
        per_s: 45.0,
        bytes: 20_000.0,
        objective_ms: 1_000.0,
    },
    Streams {
        per_s: 35.0,
        bytes: 10_500.0,
        objective_ms: 1_500.0,
    },
    Streams {
        per_s: 50.0,
        bytes: 6_000.0,
        objective_ms: 4_000.0,
    },
];

/// Plays 20 s of streams with 1.25 times what the link carries. Returns the share
/// of each rank that is on time.
fn on_time(refuse: bool) -> [f64; 3] {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut link = LinkDelay::default();
    let mut waiting = 0.0;
    let mut asked = [0_u32; 3];
    let mut good = [0_u32; 3];
    for tick in 0..20_000_u64 {
        for (rank, streams) in STREAMS.iter().enumerate() {
            if rng.random::<f64>() >= streams.per_s / 1e3 {
                continue;
            }
            asked[rank] += 1;
            if refuse && link.refuses(rank as u8, rng.random()) {
                continue;
            }
            let delay_ms = waiting / LINK_PER_MS;
            link.opened(Duration::from_secs_f64((IDLE_OPEN_MS + delay_ms) / 1e3));
            waiting += streams.bytes;
            good[rank] += u32::from(delay_ms * 2.0 <= streams.objective_ms);
        }
        waiting = (waiting - LINK_PER_MS).max(0.0);
        if ms(tick + 1)
            .as_millis()
            .is_multiple_of(LINK_EVERY.as_millis())
        {
            link.end_interval();
        }
    }
    std::array::from_fn(|rank| f64::from(good[rank]) / f64::from(asked[rank]))
}

/// The load: a team's callers keep to one router with 1.25 times what its link
/// carries. Guards against urgent streams that are late behind less urgent ones,
/// and against refusals of all that is less urgent.
#[test]
fn urgent_streams_pass_a_full_link() {
    let (with, without) = (on_time(true), on_time(false));
    assert!(with[0] >= 0.95, "{with:?}, without {without:?}");
    assert!(with[1] >= with[2], "{with:?}");
    assert!(with[2] >= 0.1, "{with:?}");
    assert!(without[0] < 0.5, "{without:?}");
}
