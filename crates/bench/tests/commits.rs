//! Guards against a measurement that no longer runs.

use std::time::Duration;

use anvilloft_bench::commits::CommitsConfig;
use anvilloft_bench::commits::run;

/// With `ANVILLOFT_BENCH` set, the whole measurement runs and prints its
/// figures; otherwise a short one does.
#[test]
fn commits_are_measured() {
    let folder = tempfile::tempdir().unwrap();
    let mut cfg = CommitsConfig {
        folder: folder.path().to_owned(),
        ..CommitsConfig::default()
    };
    if std::env::var_os("ANVILLOFT_BENCH").is_none() {
        cfg.members = vec![1, 3];
        cfg.callers = vec![8];
        cfg.time = Duration::from_millis(200);
        cfg.restarts = vec![100];
    }
    let figures = run(&cfg).unwrap();
    assert!(figures.iter().all(|f| f.value > 0.0), "{figures:#?}");
    // Each caller waits for one commit at a time, so by Little's law the mean
    // latency is callers / rate. A median far below it is a fault.
    let value = |what: &str| {
        figures
            .iter()
            .find(|f| f.name.ends_with(what))
            .map(|f| f.value)
            .unwrap()
    };
    let mean_ms = cfg.callers[0] as f64 / value("commits") * 1e3;
    assert!(value("p50") > mean_ms / 10.0 && value("p50") < mean_ms * 10.0);
    for f in figures {
        println!("{}: {:.2} {}", f.name, f.value, f.unit);
    }
}
