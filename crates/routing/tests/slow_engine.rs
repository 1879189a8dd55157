//! Guards against a slow engine that gets only one request at a time.

use std::time::Duration;

use anvilloft_routing::EndpointState;
use anvilloft_routing::PredictiveSelector;
use anvilloft_routing::RouteRequest;
use anvilloft_routing::Selector;
use anvilloft_routing::SelectorConfig;
use anvilloft_routing::endpoint::Load;
use anvilloft_routing::endpoint::ServedModel;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn report(seq: u64, running: u32, gap_ms: f64) -> EndpointState {
    let now = Duration::from_secs(seq);
    EndpointState {
        id: "e".into(),
        incarnation: 1,
        seq,
        models: vec![ServedModel {
            model: "m".into(),
            ..ServedModel::default()
        }],
        slots: 8,
        lease_expires: now + Duration::from_secs(3),
        load_measured_at: now,
        load: Some(Load {
            running,
            tokens_per_s: f64::from(running) * 1_000.0 / gap_ms,
            ..Load::default()
        }),
        ..EndpointState::default()
    }
}

/// Returns the number of requests that one router sends to an endpoint that
/// reports the given time between tokens.
fn count_placed(gap_ms: impl Fn(u32) -> f64) -> usize {
    let rng = SmallRng::seed_from_u64(1);
    let mut selector = PredictiveSelector::new(SelectorConfig::default(), rng);
    selector.set_routers("r", &["r".into()]);
    for seq in 1..20 {
        let running = 1 + (seq % 4) as u32;
        selector.update(
            Duration::from_secs(seq),
            &report(seq, running, gap_ms(running)),
        );
    }
    let now = Duration::from_secs(20);
    selector.update(now, &report(20, 0, 1.0));
    let mut count = 0;
    for attempt in 0..16 {
        let req = RouteRequest {
            model: "m",
            ..RouteRequest::default()
        };
        let Ok(choice) = selector.choose(now, &req) else {
            break;
        };
        selector.started(now, &choice.endpoint, attempt, 10);
        count += 1;
    }
    count
}

#[test]
fn slots_follow_the_time_between_tokens() {
    struct Case {
        name: &'static str,
        base_ms: f64,
        slope_ms: f64,
        min: usize,
        max: usize,
    }
    let cases = [
        Case {
            name: "a fast engine uses its slots",
            base_ms: 10.0,
            slope_ms: 1.0,
            min: 8,
            max: 9,
        },
        Case {
            name: "an engine is not filled past the target",
            base_ms: 11.0,
            slope_ms: 5.0,
            min: 3,
            max: 5,
        },
        Case {
            name: "an engine that always misses the target still uses its slots",
            base_ms: 500.0,
            slope_ms: 1.0,
            min: 8,
            max: 9,
        },
    ];
    for c in cases {
        let count = count_placed(|running| c.base_ms + c.slope_ms * f64::from(running));
        assert!((c.min..=c.max).contains(&count), "{}: {count}", c.name);
    }
}
