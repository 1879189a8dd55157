//! Budget amounts, request keys and router incarnations.

#![expect(clippy::expect_used, reason = "a failed expectation fails the test")]

mod support;

use anvilloft_ledger::Amounts;
use anvilloft_ledger::Ledger;
use anvilloft_ledger::code;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Expire;
use anvilloft_wire::command::Granted;
use anvilloft_wire::command::Insufficient;
use anvilloft_wire::command::Ok as OkReply;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::RouterState;
use anvilloft_wire::control::Query;
use support::*;

const OK: Reply = Reply::Ok(OkReply {});

fn amounts(ledger: &Ledger) -> Amounts {
    ledger.amounts("main").expect("the budget exists")
}

fn granted(amount: u64) -> Reply {
    Reply::Granted(Granted { amount })
}

/// Guards against a top-up that is applied twice after a lost answer, and a
/// correction that would take tokens that are allotted or spent.
#[test]
fn a_top_up_applies_once_for_each_id() {
    let mut ledger = ledger();
    assert_eq!(apply(&mut ledger, top_up("t", "main", 50)), OK);
    assert_eq!(apply(&mut ledger, top_up("t", "main", 50)), OK);
    assert_eq!(amounts(&ledger).topped_up, 1_000_050);
    let cases = [
        (top_up("t", "main", 60), code::TOP_UP_ID_REUSED),
        (top_up("u", "none", 60), code::UNKNOWN_BUDGET),
        (top_up("u", "main", 0), code::ZERO_AMOUNT),
        (top_up("u", "main", -1_000_051), code::INSUFFICIENT_UNSPENT),
        (top_up("u", "main", i64::MIN), code::INSUFFICIENT_UNSPENT),
        (top_up("u", "main", i64::MAX), code::OVERFLOW),
    ];
    for (body, code) in cases {
        assert_eq!(code_of(&apply(&mut ledger, body)), code);
    }
    assert_eq!(apply(&mut ledger, top_up("u", "main", -1_000_050)), OK);
    assert_eq!(amounts(&ledger), Amounts::default());
    // Ids are dropped on `Expire` alone, by the ledger's own time.
    let keep = ledger.config().value("top_up_id_keep_ms", "");
    at(&mut ledger, keep, top_up("v", "main", 1));
    assert_eq!(apply(&mut ledger, top_up("t", "main", 50)), OK);
    assert_eq!(amounts(&ledger).topped_up, 1, "kept until Expire");
    apply(&mut ledger, Body::Expire(Expire {}));
    assert_eq!(apply(&mut ledger, top_up("t", "main", 50)), OK);
    assert_eq!(amounts(&ledger).topped_up, 51);
}

/// Guards against grants that scatter a budget over routers: the sizes of
/// section 7, with and without other holders, and the exact size when small.
#[test]
fn a_grant_has_the_size_of_the_rule() {
    struct Case {
        before: Vec<Body>,
        ask: (u64, u64),
        want: Reply,
    }
    let other = || vec![grant("r2", 1, "main", 200_000, 200_000)];
    let case = |before, ask, want| Case { before, ask, want };
    let cases = [
        case(vec![], (10, 100), granted(100)),
        case(vec![], (10, 900_000), granted(500_000)),
        case(vec![], (700_000, 900_000), granted(700_000)),
        case(other(), (10, 900_000), granted(200_000)),
        case(
            vec![top_up("t", "main", -900_001)],
            (10, 900_000),
            granted(10),
        ),
        case(
            vec![top_up("t", "main", -900_000)],
            (10, 900_000),
            granted(50_000),
        ),
        case(
            other(),
            (800_001, 800_001),
            Reply::Insufficient(Insufficient {
                unspent: 800_000,
                allotted: 200_000,
            }),
        ),
    ];
    for (n, case) in cases.into_iter().enumerate() {
        let mut ledger = ledger();
        for body in case.before {
            apply(&mut ledger, body);
        }
        let (need, want) = case.ask;
        let reply = apply(&mut ledger, grant("r1", 1, "main", need, want));
        assert_eq!(reply, case.want, "case {n}");
    }
}

/// Guards against a delayed or resent grant that allots tokens twice.
#[test]
fn a_resent_grant_allots_once() {
    let mut ledger = ledger();
    assert_eq!(
        apply(&mut ledger, grant("r1", 1, "main", 10, 10)),
        granted(10)
    );
    assert_eq!(
        apply(&mut ledger, grant("r1", 1, "main", 10, 10)),
        granted(10)
    );
    assert_eq!(apply(&mut ledger, grant("r1", 2, "main", 5, 5)), granted(5));
    let reply = apply(&mut ledger, grant("r1", 1, "main", 10, 10));
    assert_eq!(code_of(&reply), code::STALE_GRANT);
    assert_eq!(amounts(&ledger).allotted, 15);
    assert_eq!(ledger.holders("main"), [("r1".into(), 1, 15)]);
    // A grant for a budget that was created since must not be applied late.
    let reply = apply(&mut ledger, grant("r1", 3, "new", 5, 5));
    assert_eq!(code_of(&reply), code::UNKNOWN_BUDGET);
    apply(&mut ledger, change("new", 1, vec![budget("new", "alder")]));
    apply(&mut ledger, top_up("new", "new", 100));
    let reply = apply(&mut ledger, grant("r1", 3, "new", 5, 5));
    assert_eq!(code_of(&reply), code::STALE_GRANT);
}

/// Guards against a lost reply across the `lost` state: a grant given before
/// it is answered again, one refused in it is never applied later.
#[test]
fn a_grant_keeps_its_answer_while_the_router_is_lost() {
    let mut ledger = ledger();
    assert_eq!(
        apply(&mut ledger, grant("r1", 1, "main", 10, 10)),
        granted(10)
    );
    apply(&mut ledger, lost("r1", 1));
    assert_eq!(
        apply(&mut ledger, grant("r1", 1, "main", 10, 10)),
        granted(10)
    );
    let reply = apply(&mut ledger, grant("r1", 2, "main", 10, 10));
    assert_eq!(code_of(&reply), code::INCARNATION_LOST);
    apply(&mut ledger, open("r1", 1));
    let reply = apply(&mut ledger, grant("r1", 2, "main", 10, 10));
    assert_eq!(code_of(&reply), code::STALE_GRANT);
    assert_eq!(amounts(&ledger).allotted, 10);
}

/// Guards against reports that are applied twice, out of order or with a hole.
#[test]
fn reports_apply_in_order_and_once() {
    let mut ledger = ledger();
    apply(&mut ledger, grant("r1", 1, "main", 100, 100));
    let reply = apply(&mut ledger, report("r1", 2, &[("main", 5, 0, None)]));
    assert_eq!(code_of(&reply), code::REPORT_GAP);
    for _ in 0..2 {
        assert_eq!(
            apply(&mut ledger, report("r1", 1, &[("main", 30, 20, None)])),
            OK
        );
    }
    let a = amounts(&ledger);
    assert_eq!((a.allotted, a.settled), (50, 30));
    // More than the allotment comes out of the unspent, never out of others'.
    apply(&mut ledger, grant("r2", 1, "main", 100, 100));
    apply(&mut ledger, report("r1", 2, &[("main", 60, 0, None)]));
    let a = amounts(&ledger);
    assert_eq!((a.allotted, a.settled), (100, 90));
}

/// Guards against a request that is billed again when its caller repeats it at
/// another router.
#[test]
fn a_request_key_is_billed_once() {
    let mut ledger = ledger();
    apply(&mut ledger, grant("r1", 1, "main", 100, 100));
    apply(&mut ledger, grant("r2", 1, "main", 100, 100));
    apply(
        &mut ledger,
        report(
            "r1",
            1,
            &[("main", 30, 0, Some(7)), ("main", 8, 0, Some(7))],
        ),
    );
    apply(&mut ledger, report("r2", 1, &[("main", 31, 0, Some(7))]));
    let a = amounts(&ledger);
    assert_eq!((a.settled, a.allotted), (30, 131));
    let keep = ledger.config().value("request_key_keep_ms", "");
    at(&mut ledger, keep, Body::Expire(Expire {}));
    apply(&mut ledger, report("r2", 2, &[("main", 1, 0, Some(7))]));
    assert_eq!(
        amounts(&ledger).settled,
        31,
        "forgotten after its retention"
    );
}

/// Guards against an allotment that returns before late settlements had their
/// time, and against a settlement after the close that overspends.
#[test]
fn a_lost_routers_tokens_stay_frozen_for_the_hold() {
    let mut ledger = ledger();
    at(&mut ledger, 1_000, grant("r1", 1, "main", 600_000, 600_000));
    at(&mut ledger, 1_000, lost("r1", 1));
    let hold = ledger.config().value("settle_hold_ms", "");
    assert_eq!(
        ledger
            .lost_incarnations()
            .first()
            .map(|l| (l.known_dead, l.hold_ms)),
        Some((false, hold))
    );
    let reply = at(&mut ledger, 1_000 + hold - 1, close("r1", 1));
    assert_eq!(code_of(&reply), code::STILL_HELD);
    apply(&mut ledger, report("r1", 1, &[("main", 100_000, 0, None)]));
    assert_eq!(
        amounts(&ledger).settled,
        100_000,
        "late settlements apply in the hold"
    );
    assert_eq!(at(&mut ledger, 1_000 + hold, close("r1", 1)), OK);
    assert_eq!(amounts(&ledger).unspent, 900_000);
    // After the close: out of the unspent, else written off.
    apply(&mut ledger, report("r1", 2, &[("main", 800_000, 9, None)]));
    apply(&mut ledger, report("r1", 2, &[("main", 800_000, 9, None)]));
    apply(&mut ledger, report("r1", 3, &[("main", 100_001, 0, None)]));
    let a = amounts(&ledger);
    assert_eq!(
        (a.unspent, a.settled, a.written_off),
        (100_000, 900_000, 100_001)
    );
    let reply = apply(&mut ledger, grant("r1", 2, "main", 1, 1));
    assert_eq!(code_of(&reply), code::INCARNATION_CLOSED);
}

/// Guards against two processes that both count as one router, and against a
/// restart that has to wait for the long hold.
#[test]
fn a_new_incarnation_replaces_only_a_process_that_ended() {
    let mut ledger = ledger();
    apply(&mut ledger, grant("r1", 1, "main", 10, 10));
    let elsewhere = |n| open_at("r1", n, "127.0.0.9", RouterState::Alive);
    assert_eq!(
        code_of(&apply(&mut ledger, elsewhere(2))),
        code::STILL_ALIVE
    );
    let version = ledger.directory_version();
    assert_eq!(at(&mut ledger, 5_000, open("r1", 2)), OK);
    assert!(ledger.directory_version() > version);
    assert!(!ledger.is_incarnation_open("r1", 1) && ledger.is_incarnation_open("r1", 2));
    let flush = ledger.config().value("peer_flush_ms", "");
    assert_eq!(
        ledger
            .lost_incarnations()
            .first()
            .map(|l| (l.known_dead, l.hold_ms)),
        Some((true, flush))
    );
    assert_eq!(
        code_of(&apply(&mut ledger, open("r1", 1))),
        code::INCARNATION_LOST
    );
    let reply = at(&mut ledger, 5_000 + flush - 1, close("r1", 1));
    assert_eq!(code_of(&reply), code::STILL_HELD);
    assert_eq!(at(&mut ledger, 5_000 + flush, close("r1", 1)), OK);
    // From another address only once the old one is lost, with the full hold.
    apply(&mut ledger, lost("r1", 2));
    assert_eq!(apply(&mut ledger, elsewhere(3)), OK);
    assert_eq!(
        ledger.lost_incarnations().first().map(|l| l.known_dead),
        Some(false)
    );
    let reply = apply(&mut ledger, open("r1", 2));
    assert_eq!(
        code_of(&reply),
        code::INCARNATION_LOST,
        "replaced while it was lost"
    );
    assert_eq!(
        code_of(&apply(&mut ledger, elsewhere(1))),
        code::INCARNATION_CLOSED
    );
    assert_eq!(
        code_of(&apply(&mut ledger, elsewhere(0))),
        code::OLD_INCARNATION
    );
    // A delayed copy of the opening command does not undo a drain.
    apply(
        &mut ledger,
        open_at("r2", 1, "127.0.0.2", RouterState::Draining),
    );
    apply(
        &mut ledger,
        open_at("r2", 1, "127.0.0.2", RouterState::Alive),
    );
    let states: Vec<_> = ledger
        .open_incarnations()
        .iter()
        .map(|r| r.state())
        .collect();
    assert_eq!(states, [RouterState::Alive, RouterState::Draining]);
}

/// Guards against one team's figures in the answer to another team.
#[test]
fn a_query_for_a_team_shows_that_team_alone() {
    let mut ledger = ledger();
    let ops = vec![
        team("rival"),
        budget("secret", "rival"),
        key("rk", "rival", "secret", 9),
    ];
    apply(&mut ledger, change("rival", 1, ops));
    apply(&mut ledger, top_up("rival", "secret", 77));
    apply(&mut ledger, begin("r1", 1, "order", 1, 1));
    let query = |kind: &str, name: &str, team: &str| Query {
        kind: kind.into(),
        name: name.into(),
        team: team.into(),
        limit: 0,
    };
    for kind in [
        "budgets", "config", "history", "routers", "orders", "status",
    ] {
        let text = ledger.query(&query(kind, "", "alder")).expect("an answer");
        for word in ["rival", "secret", "rk", "77"] {
            assert!(!text.contains(word), "{kind} shows {word}: {text}");
        }
        ledger.query(&query(kind, "", "")).expect("an answer");
    }
    assert!(ledger.query(&query("budget", "secret", "alder")).is_err());
    let text = ledger
        .query(&query("budget", "secret", "rival"))
        .expect("an answer");
    assert!(text.contains("\"unspent\":77"), "{text}");
    assert!(ledger.query(&query("nothing", "", "")).is_err());
}
