//! Non-idempotent orders and suspect requests.

#![expect(clippy::expect_used, reason = "a failed expectation fails the test")]

mod support;

use anvilloft_ledger::Ledger;
use anvilloft_ledger::code;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Expire;
use anvilloft_wire::command::OrderOutcome;
use anvilloft_wire::command::OrderReply;
use anvilloft_wire::command::OrderState;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::RouterState;
use anvilloft_wire::command::Strike;
use anvilloft_wire::command::SuspectBegin;
use anvilloft_wire::command::SuspectEnd;
use anvilloft_wire::command::SuspectReply;
use support::*;

fn state(reply: &Reply) -> OrderState {
    match reply {
        Reply::Order(o) => o.state(),
        other => panic!("not an order: {other:?}"),
    }
}

/// Guards against an order that runs twice, whatever ended its first attempt.
#[test]
fn an_order_runs_at_most_once() {
    struct Case {
        name: &'static str,
        // Applied after `r1` began the order with attempt 1.
        then: Vec<Body>,
        // Reply to attempt 2 at `r2`.
        want: OrderState,
    }
    let done = || finish("o", 1, OrderOutcome::Done, b"ok".to_vec());
    let case = |name, then, want| Case { name, then, want };
    let cases = [
        case("running", vec![], OrderState::Running),
        case("done", vec![done()], OrderState::Finished),
        case(
            "not run",
            vec![finish("o", 1, OrderOutcome::NotRun, vec![])],
            OrderState::Run,
        ),
        case(
            "unknown",
            vec![finish("o", 1, OrderOutcome::Unknown, vec![])],
            OrderState::Unknown,
        ),
        case("router lost", vec![lost("r1", 1)], OrderState::Unknown),
        case(
            "router back",
            vec![lost("r1", 1), open("r1", 1)],
            OrderState::Unknown,
        ),
        case("router closed", vec![close("r1", 1)], OrderState::Unknown),
        case("router restarted", vec![open("r1", 2)], OrderState::Unknown),
        case(
            "answer after all",
            vec![lost("r1", 1), done()],
            OrderState::Finished,
        ),
        case(
            "given up, then not run",
            vec![lost("r1", 1), finish("o", 1, OrderOutcome::NotRun, vec![])],
            OrderState::Unknown,
        ),
        case(
            "another attempt's finish",
            vec![finish("o", 9, OrderOutcome::NotRun, vec![])],
            OrderState::Running,
        ),
    ];
    for case in cases {
        let mut ledger = ledger();
        for _ in 0..2 {
            // A resent command gets the same reply.
            let reply = apply(&mut ledger, begin("r1", 1, "o", 1, 1));
            assert_eq!(state(&reply), OrderState::Run);
        }
        for body in case.then {
            apply(&mut ledger, body);
        }
        let mut ledger = Ledger::decode(&ledger.encode()).expect("a sound snapshot");
        let reply = apply(&mut ledger, begin("r2", 1, "o", 1, 2));
        assert_eq!(state(&reply), case.want, "{}", case.name);
        let reply = apply(&mut ledger, begin("r2", 1, "o", 2, 3));
        assert_eq!(state(&reply), OrderState::Mismatch, "{}", case.name);
    }
}

/// Guards against a delayed command of an attempt that ended, which would let
/// the order wait for nobody.
#[test]
fn an_ended_attempt_does_not_run_again() {
    let mut ledger = ledger();
    apply(&mut ledger, begin("r1", 1, "o", 1, 1));
    apply(&mut ledger, finish("o", 1, OrderOutcome::NotRun, vec![]));
    let reply = apply(&mut ledger, begin("r1", 1, "o", 1, 1));
    assert_eq!(code_of(&reply), code::STALE_ATTEMPT);
    assert_eq!(
        code_of(&apply(
            &mut ledger,
            finish("p", 1, OrderOutcome::Done, vec![])
        )),
        code::UNKNOWN_ORDER
    );
    let reply = apply(&mut ledger, begin("r1", 7, "o", 1, 2));
    assert_eq!(code_of(&reply), code::INCARNATION_CLOSED);
}

/// Guards against answers that fill the memory of control, and against records
/// that are dropped early.
#[test]
fn answers_and_their_retention_are_bounded() {
    let mut ledger = ledger();
    let cases = [("a", 65_536, false), ("b", 65_537, true)];
    for (key, len, dropped) in cases {
        apply(&mut ledger, begin("r1", 1, key, 1, 1));
        apply(
            &mut ledger,
            finish(key, 1, OrderOutcome::Done, vec![b'x'; len]),
        );
        let reply = apply(&mut ledger, begin("r2", 1, key, 1, 2));
        let want = OrderReply {
            state: OrderState::Finished.into(),
            status: 200,
            content_type: "text/plain".into(),
            body: if dropped { vec![] } else { vec![b'x'; len] },
            body_dropped: dropped,
        };
        assert_eq!(reply, Reply::Order(want));
    }
    // A team's bodies stop at 8 MiB; its orders are still recorded.
    for n in 0..130 {
        let key = format!("c{n}");
        apply(&mut ledger, begin("r1", 1, &key, 1, 1));
        apply(
            &mut ledger,
            finish(&key, 1, OrderOutcome::Done, vec![b'x'; 65_536]),
        );
    }
    let Reply::Order(last) = apply(&mut ledger, begin("r2", 1, "c129", 1, 2)) else {
        panic!("the order is recorded");
    };
    assert!(last.body_dropped && last.state() == OrderState::Finished);

    apply(&mut ledger, begin("r1", 1, "running", 1, 1));
    let keep = ledger.config().value("order_keep_ms", "");
    at(&mut ledger, keep - 1, Body::Expire(Expire {}));
    let reply = apply(&mut ledger, begin("r2", 1, "a", 1, 2));
    assert_eq!(state(&reply), OrderState::Finished);
    at(&mut ledger, keep, Body::Expire(Expire {}));
    let reply = apply(&mut ledger, begin("r2", 1, "a", 1, 2));
    assert_eq!(
        state(&reply),
        OrderState::Run,
        "dropped after its retention"
    );
    let reply = apply(&mut ledger, begin("r2", 1, "running", 1, 2));
    assert_eq!(
        state(&reply),
        OrderState::Running,
        "a running order is never dropped"
    );
}

fn strike(fingerprint: u8, endpoint: &str) -> Body {
    Body::Strike(Strike {
        fingerprint: vec![fingerprint; 16],
        endpoint: endpoint.into(),
        endpoint_incarnation: 1,
    })
}

fn ask(ledger: &mut Ledger, fingerprint: u8, router: &str, endpoint: &str) -> SuspectReply {
    let body = Body::SuspectBegin(SuspectBegin {
        fingerprint: vec![fingerprint; 16],
        router: router.into(),
        incarnation: 1,
        endpoint: endpoint.into(),
    });
    match apply(ledger, body) {
        Reply::Suspect(s) => s,
        other => panic!("not a suspect: {other:?}"),
    }
}

fn end(fingerprint: u8, router: &str, endpoint: &str, died: bool) -> Body {
    Body::SuspectEnd(SuspectEnd {
        fingerprint: vec![fingerprint; 16],
        router: router.into(),
        incarnation: 1,
        died,
        endpoint: endpoint.into(),
        endpoint_incarnation: 1,
        not_run: false,
    })
}

/// Guards against a request that crashes a third endpoint.
#[test]
fn a_request_costs_at_most_two_endpoints() {
    let ends: [(&str, Body); 5] = [
        ("died", end(1, "r1", "e2", true)),
        ("struck under the permit", strike(1, "e2")),
        ("router lost", lost("r1", 1)),
        ("router closed", close("r1", 1)),
        (
            "router restarted",
            open_at("r1", 2, "127.0.0.1", RouterState::Alive),
        ),
    ];
    for (name, body) in ends {
        let mut ledger = ledger();
        apply(&mut ledger, strike(1, "e1"));
        assert_eq!(ledger.suspect_fingerprints(), [[1; 16]]);
        assert!(ask(&mut ledger, 1, "r1", "e2").run);
        assert!(
            ask(&mut ledger, 1, "r1", "e2").run,
            "{name}: a resent command"
        );
        let second = ask(&mut ledger, 1, "r2", "e3");
        assert!(
            !second.run && second.retry_after_ms > 0,
            "{name}: one permit at a time"
        );
        at(&mut ledger, 1_000, body);
        let reply = ask(&mut ledger, 1, "r2", "e3");
        let condemn = ledger.config().value("condemn_ms", "");
        assert!(
            !reply.run && reply.retry_after_ms == 0,
            "{name}: quarantined"
        );
        assert_eq!(reply.quarantined_until_ms, 1_000 + condemn, "{name}");
        let mut ledger = Ledger::decode(&ledger.encode()).expect("a sound snapshot");
        at(&mut ledger, 1_000 + condemn - 1, Body::Expire(Expire {}));
        assert!(
            !ask(&mut ledger, 1, "r2", "e3").run,
            "{name}: for the whole time"
        );
        at(&mut ledger, 1_000 + condemn, Body::Expire(Expire {}));
        assert!(ledger.suspect_fingerprints().is_empty(), "{name}");
    }
}

/// Guards against copies of a crashing request that ran at two endpoints before
/// the first strike was known, and then cost a third one under a permit.
#[test]
fn copies_that_ran_at_once_cost_two_endpoints() {
    let second_incarnation = Body::Strike(Strike {
        fingerprint: vec![1; 16],
        endpoint: "e1".into(),
        endpoint_incarnation: 2,
    });
    for (name, second) in [
        ("another endpoint", strike(1, "e2")),
        ("the endpoint once more", second_incarnation),
    ] {
        let mut ledger = ledger();
        apply(&mut ledger, strike(1, "e1"));
        apply(&mut ledger, strike(1, "e1"));
        let mut ledger = Ledger::decode(&ledger.encode()).expect("a sound snapshot");
        assert_eq!(
            ledger.suspect_fingerprints(),
            [[1; 16]],
            "{name}: one death"
        );
        apply(&mut ledger, second);
        let reply = ask(&mut ledger, 1, "r1", "e3");
        assert!(!reply.run && reply.quarantined_until_ms > 0, "{name}");
    }
}

/// Guards against a harmless request that stays suspect after the endpoint
/// crashed for its own reasons, and against two suspects on one endpoint.
#[test]
fn a_clean_finish_clears_the_request() {
    let mut ledger = ledger();
    apply(&mut ledger, strike(1, "e1"));
    apply(&mut ledger, strike(2, "e1"));
    assert!(ask(&mut ledger, 1, "r1", "e2").run);
    assert!(
        !ask(&mut ledger, 2, "r2", "e2").run,
        "one suspect on an endpoint"
    );
    apply(&mut ledger, end(1, "r2", "e2", false));
    assert!(
        !ask(&mut ledger, 1, "r2", "e3").run,
        "only the holder ends a permit"
    );
    apply(&mut ledger, end(1, "r1", "e2", false));
    assert_eq!(ledger.suspect_fingerprints(), [[2; 16]]);
    assert!(ask(&mut ledger, 2, "r2", "e2").run);
    assert!(
        ask(&mut ledger, 1, "r1", "e2").run,
        "cleared: no permit needed"
    );
}

/// Guards against a third death when a router asks for a permit before the
/// strike of the first death is applied: the second death must count as one
/// under a permit, and no other router may run the request meanwhile.
#[test]
fn a_permit_holds_before_the_first_strike() {
    let mut ledger = ledger();
    assert!(ask(&mut ledger, 1, "r1", "e2").run);
    apply(&mut ledger, strike(1, "e1"));
    assert!(!ask(&mut ledger, 1, "r2", "e3").run, "one permit at a time");
    apply(&mut ledger, strike(1, "e2"));
    let reply = ask(&mut ledger, 1, "r2", "e3");
    assert!(!reply.run && reply.quarantined_until_ms > 0, "quarantined");
}

/// Guards against a strike that is lost because a permit's run never reached
/// its endpoint.
#[test]
fn a_permit_that_was_not_used_keeps_the_strike() {
    let mut ledger = ledger();
    apply(&mut ledger, strike(1, "e1"));
    assert!(ask(&mut ledger, 1, "r1", "e2").run);
    let Body::SuspectEnd(mut unused) = end(1, "r1", "e2", false) else {
        panic!("another command");
    };
    unused.not_run = true;
    apply(&mut ledger, Body::SuspectEnd(unused));
    assert_eq!(ledger.suspect_fingerprints(), [[1; 16]]);
    assert!(ask(&mut ledger, 1, "r2", "e3").run, "the permit is free");
    apply(&mut ledger, end(1, "r2", "e3", true));
    assert!(!ask(&mut ledger, 1, "r1", "e4").run, "the second death");
}
