//! What endpoints say about further requests.

use std::time::Duration;

use anvilloft_types::availability::Availability;
use anvilloft_types::availability::EndpointNotice;
use anvilloft_types::availability::MAX_PAUSE;

const SECOND: Duration = Duration::from_secs(1);

fn pause(length: Duration) -> EndpointNotice {
    EndpointNotice {
        leaving: false,
        pause: Some(length),
    }
}

const LEAVING: EndpointNotice = EndpointNotice {
    leaving: true,
    pause: None,
};

struct Case {
    name: &'static str,
    /// Times and notices, in order.
    notices: &'static [(u64, EndpointNotice)],
    /// Time at which the result is asked for, in seconds.
    at: u64,
    is_leaving: bool,
    pause_left: Option<Duration>,
}

const fn ask(secs: u64) -> EndpointNotice {
    EndpointNotice {
        leaving: false,
        pause: Some(Duration::from_secs(secs)),
    }
}

const CASES: &[Case] = &[
    Case {
        name: "nothing said",
        notices: &[],
        at: 1,
        is_leaving: false,
        pause_left: None,
    },
    Case {
        name: "a leave holds beside later answers without it",
        notices: &[(1, LEAVING), (2, ask(0))],
        at: 9_999,
        is_leaving: true,
        pause_left: None,
    },
    Case {
        name: "a pause ends",
        notices: &[(1, ask(2))],
        at: 3,
        is_leaving: false,
        pause_left: None,
    },
    Case {
        name: "a shorter pause doesn't end a longer one",
        notices: &[(1, ask(9)), (2, ask(1))],
        at: 4,
        is_leaving: false,
        pause_left: Some(Duration::from_secs(6)),
    },
    Case {
        name: "a longer pause replaces a shorter one",
        notices: &[(1, ask(2)), (2, ask(5))],
        at: 4,
        is_leaving: false,
        pause_left: Some(Duration::from_secs(3)),
    },
    Case {
        name: "an absurd pause is bounded",
        notices: &[(0, ask(u64::MAX))],
        at: 0,
        is_leaving: false,
        pause_left: Some(MAX_PAUSE),
    },
];

/// Guards against requests to an endpoint that leaves, or that asked for a pause.
#[test]
fn notices_hold_as_long_as_they_say() {
    for case in CASES {
        let mut a = Availability::default();
        for (at, notice) in case.notices {
            a.apply(Duration::from_secs(*at), *notice, 0.0);
        }
        let now = Duration::from_secs(case.at);
        assert_eq!(a.is_leaving(), case.is_leaving, "{}", case.name);
        assert_eq!(a.pause_left(now), case.pause_left, "{}", case.name);
    }
}

/// Guards against all hosts returning to an endpoint in the moment its pause ends, and
/// against one that returns before.
#[test]
fn hosts_return_after_a_pause_one_after_the_other() {
    let mut ends: Vec<Duration> = Vec::new();
    for host in 0..100 {
        let mut a = Availability::default();
        a.apply(SECOND, pause(4 * SECOND), f64::from(host) / 100.0);
        ends.extend(a.pause_left(SECOND));
    }
    assert!(ends.iter().all(|end| *end >= 4 * SECOND), "{ends:?}");
    let within = |limit| ends.iter().filter(|end| **end < limit).count();
    assert!(within(4 * SECOND + Duration::from_millis(250)) <= 50);
    assert!(within(5 * SECOND) == 100);
}
