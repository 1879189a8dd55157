//! Checks the bounds of the traffic simulation in a short run with a fixed seed.

use anvilloft_bench::traffic::TrafficConfig;
use anvilloft_bench::traffic::run;
use rstest::rstest;

/// Guards against decision code that misses a requirement. Each case is the
/// start of a case name in the report, with its number of bounded rows.
#[rstest]
#[case("low flood", 2)]
#[case("urgent flood", 2)]
#[case("one team floods urgent", 1)]
#[case("small team", 2)]
#[case("saturation", 3)]
#[case("dead, silent, slow", 1)]
#[case("load 0.5x", 1)]
#[case("poison, in turn", 1)]
#[case("poison, at once", 1)]
fn bounds_hold(#[case] case_filter: &str, #[case] bounds: usize) {
    let cfg = TrafficConfig {
        endpoints: vec![12],
        seconds: 60.0,
        baselines: false,
        scale: false,
        case_filter: case_filter.to_owned(),
        ..TrafficConfig::default()
    };
    let report = run(&cfg);
    let bounded = report.rows.iter().filter(|r| r.bound.is_some()).count();
    assert_eq!(bounded, bounds, "bounded rows of {case_filter}\n{report}");
    assert!(report.misses().is_empty(), "{report}");
}

/// Guards against randomness that doesn't come from the seed.
#[test]
fn same_seed_gives_the_same_report() {
    let cfg = TrafficConfig {
        endpoints: vec![3],
        seconds: 4.0,
        baselines: false,
        scale: false,
        case_filter: "low flood".to_owned(),
        ..TrafficConfig::default()
    };
    assert_eq!(run(&cfg), run(&cfg));
}
