//! Configuration changes: refusal of invalid ones, atomic and idempotent
//! application, and revisions that only increase.

#![expect(clippy::expect_used, reason = "a failed expectation fails the test")]

mod support;

use anvilloft_ledger::Config;
use anvilloft_ledger::ConfigError;
use anvilloft_ledger::DEFAULTS;
use anvilloft_ledger::Ledger;
use anvilloft_ledger::code;
use anvilloft_ledger::delete_op;
use anvilloft_ledger::set_op;
use anvilloft_wire::command::Accepted;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Conflict;
use anvilloft_wire::command::Expire;
use anvilloft_wire::command::Reply;
use anvilloft_wire::config::ConfigOp;
use anvilloft_wire::config::ConfigUpdate;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::Kind;
use anvilloft_wire::config::Model;
use anvilloft_wire::config::Rank;
use support::*;

fn accepted(revision: u64) -> Reply {
    Reply::Accepted(Accepted { revision })
}

/// Guards against a change that breaks a reference or a rule, and against a
/// refused change whose first operations stay applied.
#[test]
fn a_change_that_breaks_a_rule_is_refused_as_a_whole() {
    struct Case {
        code: &'static str,
        ops: Vec<ConfigOp>,
    }
    let rank = |name: &str, floor_percent| {
        set_op(Item::Rank(Rank {
            name: name.into(),
            floor_percent,
            ..Rank::default()
        }))
    };
    let case = |code, ops| Case { code, ops };
    let cases = [
        case(code::DANGLING_REFERENCE, vec![budget("b", "nobody")]),
        case(
            code::DANGLING_REFERENCE,
            vec![key("k2", "alder", "nothing", 2)],
        ),
        case(
            code::DANGLING_REFERENCE,
            vec![team("rival"), key("k2", "rival", "main", 2)],
        ),
        case(
            code::DANGLING_REFERENCE,
            vec![exception("nobody", "urgent_share_percent", 60, "r")],
        ),
        case(
            code::DANGLING_REFERENCE,
            vec![delete_op(Kind::Team, "alder")],
        ),
        case(code::UNKNOWN_ITEM, vec![delete_op(Kind::Model, "none")]),
        case(code::UNKNOWN_DEFAULT, vec![default("no_such_ms", 1)]),
        case(code::OUT_OF_RANGE, vec![default("config_lease_ms", 60_000)]),
        case(code::OUT_OF_RANGE, vec![delete_op(Kind::Rank, "normal")]),
        case(
            code::EMPTY_REASON,
            vec![exception("alder", "urgent_share_percent", 60, " ")],
        ),
        case(
            code::NO_EXCEPTION,
            vec![exception("alder", "config_lease_ms", 1_000, "r")],
        ),
        case(
            code::DUPLICATE_KEY_HASH,
            vec![key("k2", "alder", "main", 1)],
        ),
        case(
            code::BUDGET_IN_USE,
            vec![
                delete_op(Kind::Key, "k1"),
                delete_op(Kind::Budget, "main"),
                delete_op(Kind::Team, "alder"),
            ],
        ),
        case(
            code::BUDGET_MOVED,
            vec![team("rival"), budget("main", "rival")],
        ),
        case(code::FLOORS_EXCEEDED, vec![rank("a", 60), rank("b", 30)]),
        case(code::BAD_NAME, vec![team("a/b")]),
        case(code::MALFORMED, vec![ConfigOp::default()]),
    ];
    for (n, case) in cases.into_iter().enumerate() {
        let mut ledger = test_ledger();
        let setup = change("k1", 1, vec![key("k1", "alder", "main", 1)]);
        assert_eq!(apply(&mut ledger, setup), accepted(2));
        let before = ledger.config().clone();
        let mut ops = vec![team("first")];
        ops.extend(case.ops);
        let reply = apply(&mut ledger, change("c", 2, ops));
        assert_eq!(refusal_code(&reply), case.code, "case {n}: {reply:?}");
        assert!(*ledger.config() == before, "case {n} was applied in part");
    }
}

/// Guards against a lost update: of two changes made against the same revision,
/// the second must not overwrite the first.
#[test]
fn of_changes_to_one_revision_the_first_wins() {
    let mut ledger = test_ledger();
    assert_eq!(
        apply(&mut ledger, change("a", 1, vec![team("a")])),
        accepted(2)
    );
    let reply = apply(&mut ledger, change("b", 1, vec![team("b")]));
    assert_eq!(reply, Reply::Conflict(Conflict { current: 2 }));
    assert!(ledger.config().team("b").is_none());
}

/// Guards against a resent change that is applied again or gets another reply, and
/// against another operator's change that is mistaken for a resent one.
#[test]
fn a_resent_change_gets_the_first_reply() {
    let mut ledger = test_ledger();
    let first = change("a", 1, vec![team("a")]);
    assert_eq!(apply(&mut ledger, first.clone()), accepted(2));
    apply(
        &mut ledger,
        change("b", 2, vec![delete_op(Kind::Team, "a")]),
    );
    assert_eq!(apply(&mut ledger, first.clone()), accepted(2));
    assert_eq!(ledger.config().revision(), 3);
    assert!(
        ledger.config().team("a").is_none(),
        "the change was applied again"
    );

    let other = apply(&mut ledger, change("a", 3, vec![team("other")]));
    assert_eq!(refusal_code(&other), code::CHANGE_ID_REUSED);
    // A refused change may be corrected under its id.
    let wrong = apply(&mut ledger, change("c", 1, vec![team("c")]));
    assert_eq!(wrong, Reply::Conflict(Conflict { current: 3 }));
    assert_eq!(
        apply(&mut ledger, change("c", 3, vec![team("c")])),
        accepted(4)
    );

    // The reply is kept for its retention, by ledger time, and then dropped.
    let keep_ms = ledger.config().value("change_id_keep_ms", "");
    apply_at(&mut ledger, keep_ms - 1, Body::Expire(Expire {}));
    assert_eq!(apply(&mut ledger, first.clone()), accepted(2));
    apply_at(&mut ledger, keep_ms, Body::Expire(Expire {}));
    assert_eq!(
        apply(&mut ledger, first),
        Reply::Conflict(Conflict { current: 4 })
    );
}

/// Guards against a dry run that changes the state.
#[test]
fn a_dry_run_changes_nothing() {
    let mut ledger = test_ledger();
    let before = ledger.encode();
    let Body::ConfigChange(mut c) = change("a", 1, vec![team("a"), budget("b", "a")]) else {
        return;
    };
    c.dry_run = true;
    assert_eq!(
        apply(&mut ledger, Body::ConfigChange(c.clone())),
        accepted(2)
    );
    assert_eq!(ledger.encode(), before);
    c.dry_run = false;
    assert_eq!(apply(&mut ledger, Body::ConfigChange(c)), accepted(2));
}

/// Guards against a router that misses changes, applies old ones over newer ones,
/// or decreases its revision.
#[test]
fn a_router_applies_updates_and_its_revision_never_decreases() {
    let mut ledger = test_ledger();
    let mut router_cfg = Config::new();
    let full = ledger.config_since(0).expect("revision 1 exists");
    assert_eq!(router_cfg.apply(&full), Ok(true));
    let mut old_updates = Vec::new();
    for n in 1..40_u64 {
        let ops = match n % 3 {
            0 => vec![delete_op(Kind::Team, &format!("t{}", n - 1))],
            _ => vec![
                team(&format!("t{n}")),
                key(&format!("k{n}"), "alder", "main", n as u8),
            ],
        };
        assert_eq!(
            apply(&mut ledger, change(&format!("c{n}"), n, ops)),
            accepted(n + 1)
        );
        old_updates.push(ledger.config_since(n - 1).expect("a change"));
        old_updates.push(ledger.config().to_update());
    }
    let update = ledger.config_since(1).expect("changes");
    assert!(!update.full, "only recent changes are sent");
    assert_eq!(router_cfg.apply(&update), Ok(true));
    assert!(router_cfg == *ledger.config());
    assert!(ledger.config_since(40).is_none(), "nothing is newer");
    for update in &old_updates {
        assert_eq!(
            router_cfg.apply(update),
            Ok(false),
            "revision {}",
            update.to
        );
        assert_eq!(router_cfg.revision(), 40);
    }
    assert!(router_cfg == *ledger.config());
    let gap = ConfigUpdate {
        from: 50,
        to: 51,
        full: false,
        ops: Vec::new(),
    };
    assert_eq!(router_cfg.apply(&gap), Err(ConfigError::Gap(40, 50)));
    let found = router_cfg.key_by_hash(&[2; 32]).map(|k| k.name.as_str());
    assert_eq!(found, Some("k2"));
}

/// Guards against an incomplete update for a router that is further behind than the
/// history reaches back. It must get the full configuration.
#[test]
fn a_router_behind_the_history_gets_the_full_configuration() {
    let mut ledger = Ledger::new();
    for n in 0..4_200 {
        let ops = vec![default("small_budget_tokens", n)];
        let body = change(&format!("c{n}"), n, ops);
        ledger.apply(&anvilloft_wire::Command {
            at_ms: 0,
            body: Some(body),
        });
    }
    let update = ledger.config_since(3).expect("changes");
    assert!(update.full);
    let mut cfg = Config::new();
    assert_eq!(cfg.apply(&update), Ok(true));
    assert!(cfg == *ledger.config());
    assert!(!ledger.config_since(4_199).expect("one change").full);
}

/// Guards against a default whose name has no unit, an unsorted table, which would
/// break the binary search of lookups, and a built-in value out of range.
#[test]
fn the_table_of_defaults_is_valid() {
    assert!(DEFAULTS.is_sorted_by(|a, b| a.name < b.name));
    for d in DEFAULTS {
        assert!((d.min..=d.max).contains(&d.value), "{}", d.name);
        let unit = d.name.rsplit('_').next();
        assert!(
            matches!(unit, Some("ms" | "tokens" | "percent")),
            "{}",
            d.name
        );
        assert!(!d.help.is_empty());
        assert_eq!(Config::new().value(d.name, ""), d.value);
    }
    assert_eq!(Config::new().value("no_such_ms", "team"), 0);
    let names: Vec<_> = Config::new().ranks().map(|r| r.name.clone()).collect();
    assert_eq!(names, ["low", "normal", "urgent"]);
}

/// Guards against an exception that applies to other teams, or that the default
/// overrides.
#[test]
fn an_exception_overrides_the_default_for_its_team() {
    let mut ledger = test_ledger();
    let ops = vec![
        default("urgent_share_percent", 40),
        exception("alder", "urgent_share_percent", 90, "contract"),
        set_op(Item::Model(Model {
            name: "m".into(),
            version: String::new(),
            default_max_tokens: 10,
            max_tokens: 20,
        })),
    ];
    assert_eq!(apply(&mut ledger, change("c", 1, ops)), accepted(2));
    let cfg = ledger.config();
    assert_eq!(cfg.value("urgent_share_percent", "alder"), 90);
    assert_eq!(cfg.value("urgent_share_percent", "rival"), 40);
    assert_eq!(cfg.value("urgent_share_percent", ""), 40);
    assert_eq!(cfg.model("m").map(|m| m.max_tokens), Some(20));
    let ops = vec![delete_op(Kind::Exception, "alder/urgent_share_percent")];
    assert_eq!(apply(&mut ledger, change("d", 2, ops)), accepted(3));
    assert_eq!(ledger.config().value("urgent_share_percent", "alder"), 40);
}
