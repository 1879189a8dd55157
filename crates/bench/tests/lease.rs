//! Guards against routers that serve under an old configuration for longer than
//! the lease during a partition.

use anvilloft_bench::lease::LeaseConfig;
use anvilloft_bench::lease::run;

#[test]
fn no_answer_under_a_lease_is_staler_than_the_lease() {
    let report = run(&LeaseConfig {
        seed: 7,
        seconds: 40_000,
    });
    for row in report.rows.iter().filter(|r| r.lease_s > 0) {
        assert!(row.max_stale_s < row.lease_s, "{row:?}");
    }
    // Without a lease, the same partitions give stale answers, so the check
    // above can fail.
    assert!(report.rows.iter().any(|r| r.stale_answers > 0));
}
