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

/// Guards against a top-up that is applied twice because its reply was lost, and a
/// correction that would remove allotted or spent tokens.
#[test]
fn a_top_up_applies_once_for_each_id() {
    let mut ledger = test_ledger();
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
        assert_eq!(refusal_code(&apply(&mut ledger, body)), code);
    }
    assert_eq!(apply(&mut ledger, top_up("u", "main", -1_000_050)), OK);
    assert_eq!(amounts(&ledger), Amounts::default());
    // Ids are dropped only on `Expire`, by ledger time.
    let keep_ms = ledger.config().value("top_up_id_keep_ms", "");
    apply_at(&mut ledger, keep_ms, top_up("v", "main", 1));
    assert_eq!(apply(&mut ledger, top_up("t", "main", 50)), OK);
    assert_eq!(amounts(&ledger).topped_up, 1, "kept until Expire");
    apply(&mut ledger, Body::Expire(Expire {}));
    assert_eq!(apply(&mut ledger, top_up("t", "main", 50)), OK);
    assert_eq!(amounts(&ledger).topped_up, 51);
}

/// Guards against grants that scatter a budget over routers. A router that wants
/// more than it needs gets at most half of the unspent tokens divided by the
/// number of holders, itself included. From a small budget it gets only its need.
#[test]
fn grant_size_depends_on_unspent_tokens_and_holders() {
    struct Case {
        setup: Vec<Body>,
        // Needed and wanted tokens.
        request: (u64, u64),
        reply: Reply,
    }
    let other_holder = || vec![grant("r2", 1, "main", 200_000, 200_000)];
    let case = |setup, request, reply| Case {
        setup,
        request,
        reply,
    };
    let cases = [
        case(vec![], (10, 100), granted(100)),
        case(vec![], (10, 900_000), granted(500_000)),
        case(vec![], (700_000, 900_000), granted(700_000)),
        case(other_holder(), (10, 900_000), granted(200_000)),
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
            other_holder(),
            (800_001, 800_001),
            Reply::Insufficient(Insufficient {
                unspent: 800_000,
                allotted: 200_000,
                locked: 0,
            }),
        ),
    ];
    for (n, case) in cases.into_iter().enumerate() {
        let mut ledger = test_ledger();
        for body in case.setup {
            apply(&mut ledger, body);
        }
        let (need, want) = case.request;
        let reply = apply(&mut ledger, grant("r1", 1, "main", need, want));
        assert_eq!(reply, case.reply, "case {n}");
    }
}

/// Guards against a delayed or resent grant that allots tokens twice.
#[test]
fn a_resent_grant_allots_once() {
    let mut ledger = test_ledger();
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
    assert_eq!(refusal_code(&reply), code::STALE_GRANT);
    assert_eq!(amounts(&ledger).allotted, 15);
    assert_eq!(ledger.holders("main"), [("r1".into(), 1, 15)]);
    // A grant that was refused because its budget didn't exist must not be applied
    // after the budget is created.
    let reply = apply(&mut ledger, grant("r1", 3, "new", 5, 5));
    assert_eq!(refusal_code(&reply), code::UNKNOWN_BUDGET);
    apply(&mut ledger, change("new", 1, vec![budget("new", "alder")]));
    apply(&mut ledger, top_up("new", "new", 100));
    let reply = apply(&mut ledger, grant("r1", 3, "new", 5, 5));
    assert_eq!(refusal_code(&reply), code::STALE_GRANT);
}

/// Guards against wrong replies to resent grants while a router is lost. A grant
/// that was given before gets the same reply, and one that was refused is never
/// applied later.
#[test]
fn a_grant_keeps_its_reply_while_the_router_is_lost() {
    let mut ledger = test_ledger();
    assert_eq!(
        apply(&mut ledger, grant("r1", 1, "main", 10, 10)),
        granted(10)
    );
    apply(&mut ledger, mark_lost("r1", 1));
    assert_eq!(
        apply(&mut ledger, grant("r1", 1, "main", 10, 10)),
        granted(10)
    );
    let reply = apply(&mut ledger, grant("r1", 2, "main", 10, 10));
    assert_eq!(refusal_code(&reply), code::INCARNATION_LOST);
    apply(&mut ledger, open_incarnation("r1", 1));
    let reply = apply(&mut ledger, grant("r1", 2, "main", 10, 10));
    assert_eq!(refusal_code(&reply), code::STALE_GRANT);
    assert_eq!(amounts(&ledger).allotted, 10);
}

/// Guards against reports that are applied twice, out of order or with a gap.
#[test]
fn reports_apply_in_order_and_once() {
    let mut ledger = test_ledger();
    apply(&mut ledger, grant("r1", 1, "main", 100, 100));
    let reply = apply(&mut ledger, report("r1", 2, &[("main", 5, 0, None)]));
    assert_eq!(refusal_code(&reply), code::REPORT_GAP);
    for _ in 0..2 {
        assert_eq!(
            apply(&mut ledger, report("r1", 1, &[("main", 30, 20, None)])),
            OK
        );
    }
    let a = amounts(&ledger);
    assert_eq!((a.allotted, a.settled), (50, 30));
    // Usage beyond the allotment is taken from the unspent tokens, never from the
    // allotments of other routers.
    apply(&mut ledger, grant("r2", 1, "main", 100, 100));
    apply(&mut ledger, report("r1", 2, &[("main", 60, 0, None)]));
    let a = amounts(&ledger);
    assert_eq!((a.allotted, a.settled), (100, 90));
}

/// Guards against a request that is billed again when its caller repeats it at
/// another router.
#[test]
fn a_request_key_is_billed_once() {
    let mut ledger = test_ledger();
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
    apply(&mut ledger, report("r2", 1, &[("main", 29, 0, Some(7))]));
    let a = amounts(&ledger);
    assert_eq!((a.settled, a.allotted), (30, 133));
    // A retry that got more of the answer is billed for the rest.
    apply(&mut ledger, report("r2", 2, &[("main", 45, 0, Some(7))]));
    let a = amounts(&ledger);
    assert_eq!((a.settled, a.allotted), (45, 88));
    let mut restored = Ledger::decode(&ledger.encode()).expect("a snapshot");
    apply(&mut restored, report("r2", 3, &[("main", 44, 0, Some(7))]));
    assert_eq!(amounts(&restored).settled, 45, "kept by the snapshot");
    let keep_ms = ledger.config().value("request_key_keep_ms", "");
    apply_at(&mut ledger, keep_ms, Body::Expire(Expire {}));
    apply(&mut ledger, report("r2", 3, &[("main", 1, 0, Some(7))]));
    assert_eq!(amounts(&ledger).settled, 46, "dropped after its retention");
}

/// Guards against an allotment that is returned while late settlements may still
/// arrive, and against a settlement after the close that overspends the budget.
#[test]
fn a_lost_routers_tokens_stay_frozen_for_the_hold() {
    let mut ledger = test_ledger();
    apply_at(&mut ledger, 1_000, grant("r1", 1, "main", 600_000, 600_000));
    apply_at(&mut ledger, 1_000, mark_lost("r1", 1));
    let hold_ms = ledger.config().value("settle_hold_ms", "");
    assert_eq!(
        ledger
            .lost_incarnations()
            .first()
            .map(|l| (l.known_dead, l.hold_ms)),
        Some((false, hold_ms))
    );
    let reply = apply_at(&mut ledger, 1_000 + hold_ms - 1, close_incarnation("r1", 1));
    assert_eq!(refusal_code(&reply), code::STILL_HELD);
    apply(&mut ledger, report("r1", 1, &[("main", 100_000, 0, None)]));
    assert_eq!(
        amounts(&ledger).settled,
        100_000,
        "late settlements apply during the hold"
    );
    assert_eq!(
        apply_at(&mut ledger, 1_000 + hold_ms, close_incarnation("r1", 1)),
        OK
    );
    assert_eq!(amounts(&ledger).unspent, 900_000);
    // Settlements after the close are taken from the unspent tokens, or written off
    // if there are too few.
    apply(&mut ledger, report("r1", 2, &[("main", 800_000, 9, None)]));
    apply(&mut ledger, report("r1", 2, &[("main", 800_000, 9, None)]));
    apply(&mut ledger, report("r1", 3, &[("main", 100_001, 0, None)]));
    let a = amounts(&ledger);
    assert_eq!(
        (a.unspent, a.settled, a.written_off),
        (100_000, 900_000, 100_001)
    );
    let reply = apply(&mut ledger, grant("r1", 2, "main", 1, 1));
    assert_eq!(refusal_code(&reply), code::INCARNATION_CLOSED);
}

/// Guards against two processes that both count as the same router, and against a
/// restarted router whose old allotments stay frozen for the long hold.
#[test]
fn a_new_incarnation_replaces_only_a_process_that_ended() {
    let mut ledger = test_ledger();
    apply(&mut ledger, grant("r1", 1, "main", 10, 10));
    let open_at_other_address = |n| open_incarnation_at("r1", n, "127.0.0.9", RouterState::Alive);
    assert_eq!(
        refusal_code(&apply(&mut ledger, open_at_other_address(2))),
        code::STILL_ALIVE
    );
    let version = ledger.directory_version();
    assert_eq!(apply_at(&mut ledger, 5_000, open_incarnation("r1", 2)), OK);
    assert!(ledger.directory_version() > version);
    assert!(!ledger.is_incarnation_open("r1", 1) && ledger.is_incarnation_open("r1", 2));
    let flush_ms = ledger.config().value("peer_flush_ms", "");
    assert_eq!(
        ledger
            .lost_incarnations()
            .first()
            .map(|l| (l.known_dead, l.hold_ms)),
        Some((true, flush_ms))
    );
    assert_eq!(
        refusal_code(&apply(&mut ledger, open_incarnation("r1", 1))),
        code::INCARNATION_LOST
    );
    let reply = apply_at(
        &mut ledger,
        5_000 + flush_ms - 1,
        close_incarnation("r1", 1),
    );
    assert_eq!(refusal_code(&reply), code::STILL_HELD);
    assert_eq!(
        apply_at(&mut ledger, 5_000 + flush_ms, close_incarnation("r1", 1)),
        OK
    );
    // A process at another address replaces the old one only once that is lost, and
    // the hold is then the long one.
    apply(&mut ledger, mark_lost("r1", 2));
    assert_eq!(apply(&mut ledger, open_at_other_address(3)), OK);
    assert_eq!(
        ledger.lost_incarnations().first().map(|l| l.known_dead),
        Some(false)
    );
    let reply = apply(&mut ledger, open_incarnation("r1", 2));
    assert_eq!(
        refusal_code(&reply),
        code::INCARNATION_LOST,
        "replaced while it was lost"
    );
    assert_eq!(
        refusal_code(&apply(&mut ledger, open_at_other_address(1))),
        code::INCARNATION_CLOSED
    );
    assert_eq!(
        refusal_code(&apply(&mut ledger, open_at_other_address(0))),
        code::OLD_INCARNATION
    );
    // A delayed copy of the opening command does not cancel a drain.
    apply(
        &mut ledger,
        open_incarnation_at("r2", 1, "127.0.0.2", RouterState::Draining),
    );
    apply(
        &mut ledger,
        open_incarnation_at("r2", 1, "127.0.0.2", RouterState::Alive),
    );
    let states: Vec<_> = ledger
        .open_incarnations()
        .iter()
        .map(|r| r.state())
        .collect();
    assert_eq!(states, [RouterState::Alive, RouterState::Draining]);
}

/// Guards against one team's data in the result of another team's query.
#[test]
fn a_query_for_a_team_shows_that_team_alone() {
    let mut ledger = test_ledger();
    let ops = vec![
        team("rival"),
        budget("secret", "rival"),
        key("rk", "rival", "secret", 9),
    ];
    apply(&mut ledger, change("rival", 1, ops));
    apply(&mut ledger, top_up("rival", "secret", 77));
    apply(&mut ledger, begin_order("r1", 1, "order", 1, 1));
    let query = |kind: &str, name: &str, team: &str| Query {
        kind: kind.into(),
        name: name.into(),
        team: team.into(),
        ..Query::default()
    };
    for kind in [
        "budgets", "config", "history", "routers", "orders", "status",
    ] {
        let text = ledger
            .query(&query(kind, "", "alder"))
            .expect("a query result");
        for word in ["rival", "secret", "rk", "77"] {
            assert!(!text.contains(word), "{kind} shows {word}: {text}");
        }
        ledger.query(&query(kind, "", "")).expect("a query result");
    }
    assert!(ledger.query(&query("budget", "secret", "alder")).is_err());
    let text = ledger
        .query(&query("budget", "secret", "rival"))
        .expect("a query result");
    assert!(text.contains("\"unspent\":77"), "{text}");
    assert!(ledger.query(&query("nothing", "", "")).is_err());
}
