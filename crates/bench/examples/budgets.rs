//! Prints false refusals by size of the balance and the cost of the ledger by
//! number of budgets.

use std::time::Duration;

use anvilloft_bench::budgets::StudyConfig;
use anvilloft_bench::budgets::slopes;
use anvilloft_bench::budgets::study;

fn main() {
    // Runs first: memory freed by other code would be reused by the ledgers
    // and distort the measurement.
    for row in slopes(&[10_000, 100_000, 740_000], Duration::from_secs(1)) {
        println!("{row}");
    }
    for partition_at_s in [None, Some(60)] {
        println!("one router cut off from control: {partition_at_s:?} s");
        let cfg = StudyConfig {
            partition_at_s,
            ..StudyConfig::default()
        };
        for row in study(&cfg) {
            println!("{row}");
        }
    }
}
