//! Load shedding of a router with an overloaded processor.

use std::time::Duration;

use anvilloft_dispatch::LoadShedder;

/// Priority levels, and the number of streams of each that arrive in one interval:
/// in total twice what the router can handle.
const STREAMS: [(u8, u32); 3] = [(0, 4), (1, 3), (2, 5)];
/// Processor time that one stream takes.
const COST_MS: f64 = 8.4;
const INTERVAL_MS: f64 = 50.0;

/// Guards against urgent streams that are refused or late because of less urgent
/// ones, and against refusing all less urgent streams. For 20 s, twice as many streams
/// arrive as the processor can forward.
#[test]
fn least_urgent_streams_are_refused_first() {
    let mut shedder = LoadShedder::default();
    let mut backlog_ms: f64 = 0.0;
    let mut served = [0_u32; 3];
    let mut arrived = [0_u32; 3];
    let mut late_intervals = 0;
    for interval in 0..400_u32 {
        shedder.record_lateness(Duration::from_secs_f64(backlog_ms / 1e3));
        for (level, count) in STREAMS {
            for n in 0..count {
                let draw = f64::from((interval * 7 + n * 13) % 100) / 100.0;
                let rank = usize::from(level);
                arrived[rank] += 1;
                if !shedder.refuses(level, draw) {
                    served[rank] += 1;
                    backlog_ms += COST_MS;
                }
            }
        }
        backlog_ms = (backlog_ms - INTERVAL_MS).max(0.0);
        late_intervals += u32::from(interval > 40 && backlog_ms > 150.0);
    }
    let share = |rank: usize| f64::from(served[rank]) / f64::from(arrived[rank]);
    assert!(share(0) > 0.99, "urgent {:.2}", share(0));
    assert!(share(1) > share(2), "{:.2} {:.2}", share(1), share(2));
    assert!(
        share(1) + share(2) > 0.2,
        "less urgent streams get the rest of the processor"
    );
    assert_eq!(late_intervals, 0, "no answer is late by more than 150 ms");
}

/// Guards against refusals by a router that is not overloaded.
#[test]
fn router_without_overload_refuses_nothing() {
    let mut shedder = LoadShedder::default();
    for _ in 0..100 {
        shedder.record_lateness(Duration::from_millis(8));
    }
    assert!((0..3).all(|level| !shedder.refuses(level, 0.0)));
}
