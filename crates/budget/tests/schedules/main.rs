//! Randomised runs of real `Allotments` against the real `Ledger` through a
//! network that drops, delays, duplicates and reorders.
//!
//! `ANVILLOFT_SCHEDULES` sets the count of schedules and `ANVILLOFT_SEED` the
//! first seed. A failure prints the seed that repeats it.

#![expect(clippy::expect_used, reason = "a failed expectation fails the test")]

mod fleet;
mod process;

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;

use fleet::Faults;
use fleet::Fleet;
use fleet::Outcome;

// Keeps the default run of one test well under 10 s in a debug build.
const DEFAULT_SCHEDULES: u64 = 100;

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

fn run(faults: Faults) -> Outcome {
    let first = setting("ANVILLOFT_SEED", 1);
    let count = setting("ANVILLOFT_SCHEDULES", DEFAULT_SCHEDULES);
    let mut sum = Outcome::default();
    for seed in first..first + count {
        match catch_unwind(AssertUnwindSafe(|| Fleet::new(seed, faults).run())) {
            Ok(outcome) => sum.add(&outcome),
            Err(panic) => {
                eprintln!("failed with ANVILLOFT_SEED={seed} ANVILLOFT_SCHEDULES=1 ({faults:?})");
                std::panic::resume_unwind(panic);
            }
        }
    }
    println!("{count} schedules from seed {first}, {faults:?}: {sum:?}");
    sum
}

/// Guards against a settlement that is lost or billed twice, an allotment that
/// returns early and an order that runs twice, when one thing fails.
#[test]
fn one_fault_loses_nothing() {
    let sum = run(Faults::Single);
    assert!(sum.served > 0 && sum.orders_run > 0, "the runs did work");
}

/// Guards against overspending and uncounted losses when several things fail
/// at once, both holders of a settlement die, or a partition outlasts the hold.
#[test]
fn many_faults_never_overspend() {
    let sum = run(Faults::Many);
    assert!(sum.served > 0 && sum.orders_run > 0, "the runs did work");
}
