//! Randomised simulation of real `Allotments` against the real `Ledger`, over a
//! network that drops, delays, duplicates and reorders messages.
//!
//! `ANVILLOFT_SCHEDULES` sets the number of schedules and `ANVILLOFT_SEED` the
//! first seed. A failure prints the seed that reproduces it.

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

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

fn run(faults: Faults) -> Outcome {
    let first = env_or("ANVILLOFT_SEED", 1);
    let count = env_or("ANVILLOFT_SCHEDULES", DEFAULT_SCHEDULES);
    let mut total = Outcome::default();
    for seed in first..first + count {
        match catch_unwind(AssertUnwindSafe(|| Fleet::new(seed, faults).run())) {
            Ok(outcome) => total.add(&outcome),
            Err(panic) => {
                eprintln!("failed with ANVILLOFT_SEED={seed} ANVILLOFT_SCHEDULES=1 ({faults:?})");
                std::panic::resume_unwind(panic);
            }
        }
    }
    println!("{count} schedules from seed {first}, {faults:?}: {total:?}");
    total
}

/// Guards against a settlement that is lost or billed twice, an allotment that is
/// returned early, and an order that runs twice, under a single fault.
#[test]
fn single_fault_loses_nothing() {
    let total = run(Faults::Single);
    assert!(
        total.served > 0 && total.orders_run > 0,
        "the simulation served requests and ran orders"
    );
}

/// Guards against overspending and unaccounted losses when several faults coincide,
/// both holders of a settlement die, or a partition lasts longer than the hold time.
#[test]
fn multiple_faults_never_overspend() {
    let total = run(Faults::Many);
    assert!(
        total.served > 0 && total.orders_run > 0,
        "the simulation served requests and ran orders"
    );
}
