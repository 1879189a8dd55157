//! Detection of a saturated link, and refusals while it lasts.

use std::time::Duration;

use anvilloft_dispatch::LINK_INTERVAL;
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
    /// Connect times in each interval, in milliseconds.
    connect_ms: &'static [u64],
    /// Whether the link counts as saturated after some intervals.
    saturated: bool,
}

/// Guards against avoiding endpoints because the router's own link is saturated, and
/// against mistaking dead endpoints for a saturated link.
#[rstest]
#[case::idle_link(Case { connect_ms: &[3, 4, 3, 5], saturated: false })]
#[case::dead_endpoints(Case { connect_ms: &[300, 300, 300, 4], saturated: false })]
#[case::saturated_link(Case { connect_ms: &[220, 200, 240, 210], saturated: true })]
#[case::nothing_opens(Case { connect_ms: &[300, 300, 300], saturated: true })]
#[case::one_slow_connection(Case { connect_ms: &[300], saturated: false })]
fn saturated_link_delays_all_connections(#[case] case: Case) {
    let mut link = LinkDelay::default();
    for _ in 0..5 {
        case.connect_ms
            .iter()
            .for_each(|t| link.record_connect(ms(*t)));
        link.end_interval();
    }
    assert_eq!(link.is_saturated(), case.saturated, "{case:?}");
}

/// Guards against a link that counts as saturated long after the load is gone,
/// because an idle router opens no connections.
#[test]
fn saturation_ends_within_a_second_without_connections() {
    let mut link = LinkDelay::default();
    (0..5).for_each(|_| link.record_connect(ms(300)));
    link.end_interval();
    assert!(link.is_saturated());
    (0..10).for_each(|_| link.end_interval());
    assert!(!link.is_saturated());
}

/// Bytes that the link carries per millisecond.
const LINK_BYTES_PER_MS: f64 = 1_250.0;
/// Connect time on an idle link.
const IDLE_CONNECT_MS: f64 = 3.0;

/// Streams of one rank.
struct Streams {
    /// Streams that arrive per second.
    per_s: f64,
    /// Bytes of one stream on the link.
    bytes: f64,
    /// Maximum time to the first event for a stream to be on time.
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

/// Simulates 20 s of streams at 1.25 times the capacity of the link. Returns the
/// share of each rank's streams that are on time.
fn on_time_shares(refuse: bool) -> [f64; 3] {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut link = LinkDelay::default();
    let mut queued_bytes = 0.0;
    let mut arrived = [0_u32; 3];
    let mut on_time = [0_u32; 3];
    for tick in 0..20_000_u64 {
        for (rank, streams) in STREAMS.iter().enumerate() {
            if rng.random::<f64>() >= streams.per_s / 1e3 {
                continue;
            }
            arrived[rank] += 1;
            if refuse && link.refuses(rank as u8, rng.random()) {
                continue;
            }
            let delay_ms = queued_bytes / LINK_BYTES_PER_MS;
            link.record_connect(Duration::from_secs_f64((IDLE_CONNECT_MS + delay_ms) / 1e3));
            queued_bytes += streams.bytes;
            on_time[rank] += u32::from(delay_ms * 2.0 <= streams.objective_ms);
        }
        queued_bytes = (queued_bytes - LINK_BYTES_PER_MS).max(0.0);
        if ms(tick + 1)
            .as_millis()
            .is_multiple_of(LINK_INTERVAL.as_millis())
        {
            link.end_interval();
        }
    }
    std::array::from_fn(|rank| f64::from(on_time[rank]) / f64::from(arrived[rank]))
}

/// Guards against urgent streams that are late behind less urgent ones, and against
/// refusing all less urgent streams, when a team's callers send one router 1.25 times
/// what its link carries.
#[test]
fn urgent_streams_are_on_time_on_a_saturated_link() {
    let (with, without) = (on_time_shares(true), on_time_shares(false));
    assert!(with[0] >= 0.95, "{with:?}, without {without:?}");
    assert!(with[1] >= with[2], "{with:?}");
    assert!(with[2] >= 0.1, "{with:?}");
    assert!(without[0] < 0.5, "{without:?}");
}
