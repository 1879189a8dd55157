//! What callers of a router get that has more work than processor.

use std::time::Duration;

use anvilloft_dispatch::Shedder;

/// Share of the processor that one stream of a rank needs, and how many of each
/// come in a span of 50 ms: twice what the router can do.
const STREAMS: [(u8, u32); 3] = [(0, 4), (1, 3), (2, 5)];
const COST_MS: f64 = 8.4;
const SPAN_MS: f64 = 50.0;

/// The load: twice the streams that the processor can pass on, for 20 s.
/// Guards against urgent streams that are refused or late because of others,
/// and against refusals of all that is less urgent.
#[test]
fn the_least_urgent_streams_make_room() {
    let mut shedder = Shedder::default();
    let mut backlog_ms: f64 = 0.0;
    let mut served = [0_u32; 3];
    let mut asked = [0_u32; 3];
    let mut late_spans = 0;
    for span in 0..400_u32 {
        shedder.measured(Duration::from_secs_f64(backlog_ms / 1e3));
        for (level, count) in STREAMS {
            for n in 0..count {
                let draw = f64::from((span * 7 + n * 13) % 100) / 100.0;
                let rank = usize::from(level);
                asked[rank] += 1;
                if !shedder.refuses(level, draw) {
                    served[rank] += 1;
                    backlog_ms += COST_MS;
                }
            }
        }
        backlog_ms = (backlog_ms - SPAN_MS).max(0.0);
        late_spans += u32::from(span > 40 && backlog_ms > 150.0);
    }
    let share = |rank: usize| f64::from(served[rank]) / f64::from(asked[rank]);
    assert!(share(0) > 0.99, "urgent {:.2}", share(0));
    assert!(share(1) > share(2), "{:.2} {:.2}", share(1), share(2));
    assert!(
        share(1) + share(2) > 0.2,
        "the rest of the processor is used"
    );
    assert_eq!(late_spans, 0, "no answer is late by more than 150 ms");
}

/// Guards against refusals by a router that has time.
#[test]
fn a_router_with_time_refuses_nothing() {
    let mut shedder = Shedder::default();
    for _ in 0..100 {
        shedder.measured(Duration::from_millis(8));
    }
    assert!((0..3).all(|level| !shedder.refuses(level, 0.0)));
}
