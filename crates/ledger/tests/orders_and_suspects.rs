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

fn order_state(reply: &Reply) -> OrderState {
    match reply {
        Reply::Order(o) => o.state(),
        other => panic!("not a reply to an order: {other:?}"),
    }
}

/// Guards against an order that runs twice, however its first attempt ended.
#[test]
fn an_order_runs_at_most_once() {
    struct Case {
        name: &'static str,
        // Commands applied after `r1` began the order with attempt 1.
        commands: Vec<Body>,
        // Expected reply to attempt 2 at `r2`.
        want: OrderState,
    }
    let done = || finish_order("o", 1, OrderOutcome::Done, b"ok".to_vec());
    let case = |name, commands, want| Case {
        name,
        commands,
        want,
    };
    let cases = [
        case("running", vec![], OrderState::Running),
        case("done", vec![done()], OrderState::Finished),
        case(
            "not run",
            vec![finish_order("o", 1, OrderOutcome::NotRun, vec![])],
            OrderState::Run,
        ),
        case(
            "unknown",
            vec![finish_order("o", 1, OrderOutcome::Unknown, vec![])],
            OrderState::Unknown,
        ),
        case("router lost", vec![mark_lost("r1", 1)], OrderState::Unknown),
        case(
            "router lost, then open again",
            vec![mark_lost("r1", 1), open_incarnation("r1", 1)],
            OrderState::Unknown,
        ),
        case(
            "router closed",
            vec![close_incarnation("r1", 1)],
            OrderState::Unknown,
        ),
        case(
            "router restarted",
            vec![open_incarnation("r1", 2)],
            OrderState::Unknown,
        ),
        case(
            "router lost, then done",
            vec![mark_lost("r1", 1), done()],
            OrderState::Finished,
        ),
        case(
            "router lost, then not run",
            vec![
                mark_lost("r1", 1),
                finish_order("o", 1, OrderOutcome::NotRun, vec![]),
            ],
            OrderState::Unknown,
        ),
        case(
            "finish of another attempt",
            vec![finish_order("o", 9, OrderOutcome::NotRun, vec![])],
            OrderState::Running,
        ),
    ];
    for case in cases {
        let mut ledger = test_ledger();
        for _ in 0..2 {
            // A resent command gets the same reply.
            let reply = apply(&mut ledger, begin_order("r1", 1, "o", 1, 1));
            assert_eq!(order_state(&reply), OrderState::Run);
        }
        for body in case.commands {
            apply(&mut ledger, body);
        }
        let mut ledger = Ledger::decode(&ledger.encode()).expect("an intact snapshot");
        let reply = apply(&mut ledger, begin_order("r2", 1, "o", 1, 2));
        assert_eq!(order_state(&reply), case.want, "{}", case.name);
        let reply = apply(&mut ledger, begin_order("r2", 1, "o", 2, 3));
        assert_eq!(order_state(&reply), OrderState::Mismatch, "{}", case.name);
    }
}

/// Guards against a delayed command that restarts an attempt that has ended. The
/// order would then wait for an attempt that no router runs.
#[test]
fn an_ended_attempt_does_not_run_again() {
    let mut ledger = test_ledger();
    apply(&mut ledger, begin_order("r1", 1, "o", 1, 1));
    apply(
        &mut ledger,
        finish_order("o", 1, OrderOutcome::NotRun, vec![]),
    );
    let reply = apply(&mut ledger, begin_order("r1", 1, "o", 1, 1));
    assert_eq!(refusal_code(&reply), code::STALE_ATTEMPT);
    assert_eq!(
        refusal_code(&apply(
            &mut ledger,
            finish_order("p", 1, OrderOutcome::Done, vec![])
        )),
        code::UNKNOWN_ORDER
    );
    let reply = apply(&mut ledger, begin_order("r1", 7, "o", 1, 2));
    assert_eq!(refusal_code(&reply), code::INCARNATION_CLOSED);
}

/// Guards against recorded responses that fill the memory of the control members,
/// and against records that are dropped before their retention ends.
#[test]
fn recorded_responses_and_their_retention_are_bounded() {
    let mut ledger = test_ledger();
    let cases = [("a", 65_536, false), ("b", 65_537, true)];
    for (key, len, dropped) in cases {
        apply(&mut ledger, begin_order("r1", 1, key, 1, 1));
        apply(
            &mut ledger,
            finish_order(key, 1, OrderOutcome::Done, vec![b'x'; len]),
        );
        let reply = apply(&mut ledger, begin_order("r2", 1, key, 1, 2));
        let want = OrderReply {
            state: OrderState::Finished.into(),
            status: 200,
            content_type: "text/plain".into(),
            body: if dropped { vec![] } else { vec![b'x'; len] },
            body_dropped: dropped,
        };
        assert_eq!(reply, Reply::Order(want));
    }
    // Beyond 8 MiB of bodies of one team, orders are recorded without a body.
    for n in 0..130 {
        let key = format!("c{n}");
        apply(&mut ledger, begin_order("r1", 1, &key, 1, 1));
        apply(
            &mut ledger,
            finish_order(&key, 1, OrderOutcome::Done, vec![b'x'; 65_536]),
        );
    }
    let Reply::Order(last) = apply(&mut ledger, begin_order("r2", 1, "c129", 1, 2)) else {
        panic!("the order was not recorded");
    };
    assert!(last.body_dropped && last.state() == OrderState::Finished);

    apply(&mut ledger, begin_order("r1", 1, "running", 1, 1));
    let keep_ms = ledger.config().value("order_keep_ms", "");
    apply_at(&mut ledger, keep_ms - 1, Body::Expire(Expire {}));
    let reply = apply(&mut ledger, begin_order("r2", 1, "a", 1, 2));
    assert_eq!(order_state(&reply), OrderState::Finished);
    apply_at(&mut ledger, keep_ms, Body::Expire(Expire {}));
    let reply = apply(&mut ledger, begin_order("r2", 1, "a", 1, 2));
    assert_eq!(
        order_state(&reply),
        OrderState::Run,
        "dropped after its retention"
    );
    let reply = apply(&mut ledger, begin_order("r2", 1, "running", 1, 2));
    assert_eq!(
        order_state(&reply),
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

fn request_permit(
    ledger: &mut Ledger,
    fingerprint: u8,
    router: &str,
    endpoint: &str,
) -> SuspectReply {
    let body = Body::SuspectBegin(SuspectBegin {
        fingerprint: vec![fingerprint; 16],
        router: router.into(),
        incarnation: 1,
        endpoint: endpoint.into(),
    });
    match apply(ledger, body) {
        Reply::Suspect(s) => s,
        other => panic!("not a reply to a permit request: {other:?}"),
    }
}

fn end_run(fingerprint: u8, router: &str, endpoint: &str, died: bool) -> Body {
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
fn a_request_crashes_at_most_two_endpoints() {
    let ends: [(&str, Body); 5] = [
        ("died", end_run(1, "r1", "e2", true)),
        ("struck under the permit", strike(1, "e2")),
        ("router lost", mark_lost("r1", 1)),
        ("router closed", close_incarnation("r1", 1)),
        (
            "router restarted",
            open_incarnation_at("r1", 2, "127.0.0.1", RouterState::Alive),
        ),
    ];
    for (name, body) in ends {
        let mut ledger = test_ledger();
        apply(&mut ledger, strike(1, "e1"));
        assert_eq!(ledger.suspect_fingerprints(), [[1; 16]]);
        assert!(request_permit(&mut ledger, 1, "r1", "e2").run);
        assert!(
            request_permit(&mut ledger, 1, "r1", "e2").run,
            "{name}: a resent command"
        );
        let second = request_permit(&mut ledger, 1, "r2", "e3");
        assert!(
            !second.run && second.retry_after_ms > 0,
            "{name}: one permit at a time"
        );
        apply_at(&mut ledger, 1_000, body);
        let reply = request_permit(&mut ledger, 1, "r2", "e3");
        let quarantine_ms = ledger.config().value("condemn_ms", "");
        assert!(
            !reply.run && reply.retry_after_ms == 0,
            "{name}: quarantined"
        );
        assert_eq!(reply.quarantined_until_ms, 1_000 + quarantine_ms, "{name}");
        let mut ledger = Ledger::decode(&ledger.encode()).expect("an intact snapshot");
        apply_at(
            &mut ledger,
            1_000 + quarantine_ms - 1,
            Body::Expire(Expire {}),
        );
        assert!(
            !request_permit(&mut ledger, 1, "r2", "e3").run,
            "{name}: until the quarantine ends"
        );
        apply_at(&mut ledger, 1_000 + quarantine_ms, Body::Expire(Expire {}));
        assert!(ledger.suspect_fingerprints().is_empty(), "{name}");
    }
}

/// Guards against copies of a crashing request that ran at two endpoints before
/// the first strike was known, and then crash a third one under a permit.
#[test]
fn concurrent_copies_crash_at_most_two_endpoints() {
    let second_incarnation = Body::Strike(Strike {
        fingerprint: vec![1; 16],
        endpoint: "e1".into(),
        endpoint_incarnation: 2,
    });
    for (name, second) in [
        ("another endpoint", strike(1, "e2")),
        ("another incarnation of the endpoint", second_incarnation),
    ] {
        let mut ledger = test_ledger();
        apply(&mut ledger, strike(1, "e1"));
        apply(&mut ledger, strike(1, "e1"));
        let mut ledger = Ledger::decode(&ledger.encode()).expect("an intact snapshot");
        assert_eq!(
            ledger.suspect_fingerprints(),
            [[1; 16]],
            "{name}: one death"
        );
        apply(&mut ledger, second);
        let reply = request_permit(&mut ledger, 1, "r1", "e3");
        assert!(!reply.run && reply.quarantined_until_ms > 0, "{name}");
    }
}

/// Guards against a harmless request that stays suspect after the endpoint
/// crashed for another reason, and against two suspects at one endpoint.
#[test]
fn a_clean_run_clears_the_request() {
    let mut ledger = test_ledger();
    apply(&mut ledger, strike(1, "e1"));
    apply(&mut ledger, strike(2, "e1"));
    assert!(request_permit(&mut ledger, 1, "r1", "e2").run);
    assert!(
        !request_permit(&mut ledger, 2, "r2", "e2").run,
        "one suspect at an endpoint"
    );
    apply(&mut ledger, end_run(1, "r2", "e2", false));
    assert!(
        !request_permit(&mut ledger, 1, "r2", "e3").run,
        "only the holder ends a permit"
    );
    apply(&mut ledger, end_run(1, "r1", "e2", false));
    assert_eq!(ledger.suspect_fingerprints(), [[2; 16]]);
    assert!(request_permit(&mut ledger, 2, "r2", "e2").run);
    assert!(
        request_permit(&mut ledger, 1, "r1", "e2").run,
        "a cleared request needs no permit"
    );
}

/// Guards against a third crash when a router asks for a permit before the strike
/// of the first crash is applied. The second crash must count as one under a
/// permit, and no other router may run the request before it.
#[test]
fn a_permit_holds_before_the_first_strike() {
    let mut ledger = test_ledger();
    assert!(request_permit(&mut ledger, 1, "r1", "e2").run);
    apply(&mut ledger, strike(1, "e1"));
    assert!(
        !request_permit(&mut ledger, 1, "r2", "e3").run,
        "one permit at a time"
    );
    apply(&mut ledger, strike(1, "e2"));
    let reply = request_permit(&mut ledger, 1, "r2", "e3");
    assert!(!reply.run && reply.quarantined_until_ms > 0, "quarantined");
}

/// Guards against a strike that is cleared although the permitted request never
/// reached its endpoint.
#[test]
fn an_unused_permit_keeps_the_strike() {
    let mut ledger = test_ledger();
    apply(&mut ledger, strike(1, "e1"));
    assert!(request_permit(&mut ledger, 1, "r1", "e2").run);
    let Body::SuspectEnd(mut unused) = end_run(1, "r1", "e2", false) else {
        panic!("not the end of a run");
    };
    unused.not_run = true;
    apply(&mut ledger, Body::SuspectEnd(unused));
    assert_eq!(ledger.suspect_fingerprints(), [[1; 16]]);
    assert!(
        request_permit(&mut ledger, 1, "r2", "e3").run,
        "the permit is free"
    );
    apply(&mut ledger, end_run(1, "r2", "e3", true));
    assert!(
        !request_permit(&mut ledger, 1, "r1", "e4").run,
        "the second death"
    );
}
