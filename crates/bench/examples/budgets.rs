//! Prints the study of small and large budgets and the slopes of the ledger.

use std::time::Duration;

use anvilloft_bench::budgets::StudyConfig;
use anvilloft_bench::budgets::slopes;
use anvilloft_bench::budgets::study;

fn main() {
    // First, while nothing has freed memory that the ledgers could reuse.
    for row in slopes(&[10_000, 100_000, 740_000], Duration::from_secs(1)) {
        println!("{row}");
    }
    for cut_at in [None, Some(60)] {
        println!("one router cut off from control: {cut_at:?} s");
        let cfg = StudyConfig {
            cut_at,
            ..StudyConfig::default()
        };
        for row in study(&cfg) {
            println!("{row}");
        }
    }
}
