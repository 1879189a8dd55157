//! Requests during a planned stop.

use std::time::Duration;

use anvilloft_dispatch::StopSchedule;
use anvilloft_dispatch::StoppingRequest;

const SECOND: Duration = Duration::from_secs(1);
const STOP: StopSchedule = StopSchedule {
    accept_until: Duration::from_secs(2),
    requests_end: Duration::from_secs(7),
};

struct Case {
    name: &'static str,
    at: u64,
    deadline: u64,
    repeatable: bool,
    was_sent: bool,
    may_send: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "an order that ends in time",
        at: 1,
        deadline: 7,
        repeatable: false,
        was_sent: false,
        may_send: true,
    },
    Case {
        name: "an order that may be cut off",
        at: 1,
        deadline: 8,
        repeatable: false,
        was_sent: false,
        may_send: false,
    },
    Case {
        name: "an order that was refused elsewhere and may be cut off",
        at: 1,
        deadline: 8,
        repeatable: false,
        was_sent: true,
        may_send: false,
    },
    Case {
        name: "an accepted order that waited long and still ends in time",
        at: 5,
        deadline: 7,
        repeatable: false,
        was_sent: false,
        may_send: true,
    },
    Case {
        name: "a look-up while new requests are accepted",
        at: 1,
        deadline: 9,
        repeatable: true,
        was_sent: false,
        may_send: true,
    },
    Case {
        name: "a look-up that waited for tokens until late in the stop",
        at: 5,
        deadline: 9,
        repeatable: true,
        was_sent: false,
        may_send: false,
    },
    Case {
        name: "a stream that is resumed",
        at: 5,
        deadline: 9,
        repeatable: true,
        was_sent: true,
        may_send: true,
    },
];

/// Guards against a request that is passed on late in a planned stop and cut off at its
/// end.
#[test]
fn what_is_passed_on_in_a_stop_ends_before_it() {
    for case in CASES {
        let req = StoppingRequest {
            deadline: Duration::from_secs(case.deadline),
            repeatable: case.repeatable,
            was_sent: case.was_sent,
        };
        let now = Duration::from_secs(case.at);
        assert_eq!(STOP.may_send(now, &req), case.may_send, "{}", case.name);
    }
    assert!(STOP.accepts(SECOND) && !STOP.accepts(2 * SECOND));
}
