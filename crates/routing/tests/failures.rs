//! Tests of the retry budget and of suspects.

use std::time::Duration;

use anvilloft_routing::Failure;
use anvilloft_routing::RetryBudget;
use anvilloft_routing::Suspects;
use anvilloft_routing::suspect::Permission;
use rstest::rstest;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against retries that multiply the load of a failing fleet.
#[test]
fn retries_are_a_tenth_of_successes_and_three_a_second() {
    let mut budget = RetryBudget::new(ms(0));
    let mut taken = 0;
    for t in 0..20_000 {
        if t % 10 == 0 {
            budget.record_success(ms(t));
        }
        taken += u32::from(budget.try_take(ms(t)));
    }
    // 2,000 successes give 200 retries, 20 s give 60.
    assert!((220..=270).contains(&taken), "{taken}");
    let mut budget_without_successes = RetryBudget::new(ms(0));
    let taken = (0..20_000)
        .filter(|t| budget_without_successes.try_take(ms(*t)))
        .count();
    assert!((50..=70).contains(&taken), "{taken}");
}

/// Guards against a slow or unreachable endpoint that counts as dead, and
/// against a dead one that doesn't.
#[rstest]
#[case("timeout", &[Failure::FirstByte, Failure::Gap], true, false)]
#[case("refusal", &[Failure::Refused, Failure::BadAnswer], true, false)]
#[case("no connection", &[Failure::Connect], true, false)]
#[case("broken connection", &[Failure::Reset], false, false)]
#[case("broken, announcement stopped", &[Failure::Reset], true, true)]
#[case("broken, then refused", &[Failure::Reset, Failure::Connect], false, true)]
fn which_failures_count_as_death(
    #[case] name: &str,
    #[case] failures: &[Failure],
    #[case] lease_lost: bool,
    #[case] dead: bool,
) {
    let mut s = Suspects::new();
    for (id, failure) in failures.iter().enumerate() {
        s.started("e", 1, id as u128, [1; 16]);
        s.failed(ms(10), "e", 1, id as u128, *failure);
    }
    assert_eq!(s.is_dead(ms(20), "e", 1, lease_lost), dead, "{name}");
    assert!(!s.is_dead(ms(6000), "e", 1, lease_lost), "{name}");
    assert!(!s.is_dead(ms(20), "e", 2, lease_lost), "{name}");
}

/// Guards against strikes for requests that were not in flight, and against
/// requests in flight that get none.
#[test]
fn every_request_in_flight_is_struck_once() {
    let mut s = Suspects::new();
    for id in 0..4u8 {
        s.started("e", 1, u128::from(id), [id; 16]);
    }
    s.started("other", 1, 9, [9; 16]);
    s.finished("e", 1, 0);
    // Never sent, so it can't be the cause.
    assert!(!s.failed(ms(1), "e", 1, 1, Failure::Connect));
    assert!(s.failed(ms(1), "e", 1, 2, Failure::Reset));
    let mut strikes = s.endpoint_died(ms(2), "e", 1);
    strikes.sort_unstable_by_key(|d| d.attempt);
    let struck: Vec<u128> = strikes.iter().map(|d| d.attempt).collect();
    assert_eq!(struck, [2, 3]);
    assert!(s.endpoint_died(ms(3), "e", 1).is_empty());
    assert_eq!(s.check(&[2; 16]), Permission::PermitRequired);
    assert_eq!(s.check(&[1; 16]), Permission::Run);
    assert_eq!(s.in_flight(), 1);
}

/// Guards against taking a restarted endpoint for the old process.
#[test]
fn new_incarnation_strikes_requests_of_the_old_one() {
    let mut s = Suspects::new();
    s.started("e", 1, 1, [1; 16]);
    s.started("e", 2, 2, [2; 16]);
    assert!(s.endpoint_announced(ms(1), "e", 1).is_empty());
    let strikes = s.endpoint_announced(ms(2), "e", 2);
    assert_eq!(strikes.len(), 1);
    assert_eq!((strikes[0].attempt, strikes[0].incarnation), (1, 1));
}

/// Guards against a caller that waits forever to learn whether an endpoint
/// died, and against a fleet-wide list that drops a strike it doesn't contain
/// yet.
#[test]
fn failed_attempts_and_own_strikes_expire() {
    let mut s = Suspects::new();
    s.started("e", 1, 1, [1; 16]);
    assert!(s.failed(ms(0), "e", 1, 1, Failure::Reset));
    assert!(s.expire(ms(4000)).is_empty());
    assert_eq!(s.expire(ms(5001)), [1]);
    assert_eq!(s.in_flight(), 0);
    s.started("f", 1, 2, [2; 16]);
    s.endpoint_died(ms(6000), "f", 1);
    s.set_struck(ms(6001), []);
    assert_eq!(s.check(&[2; 16]), Permission::PermitRequired);
    s.set_struck(ms(6002), [[2; 16]]);
    assert_eq!(s.check(&[2; 16]), Permission::PermitRequired);
    s.set_struck(ms(6003), []);
    assert_eq!(s.check(&[2; 16]), Permission::Run);
}
