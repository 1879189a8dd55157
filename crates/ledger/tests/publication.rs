//! Published route tables and their prepaid budgets.

#![expect(clippy::expect_used, reason = "a failed expectation fails the test")]

mod support;

use anvilloft_ledger::Amounts;
use anvilloft_ledger::Ledger;
use anvilloft_ledger::prepaid_budget;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::CloseIncarnation;
use anvilloft_wire::command::Grant;
use anvilloft_wire::command::Granted;
use anvilloft_wire::command::LockedAmount;
use anvilloft_wire::command::LockedReserve;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::Prepaid;
use anvilloft_wire::command::Publish;
use anvilloft_wire::command::Published;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::Report;
use anvilloft_wire::command::ReportEntry;
use anvilloft_wire::command::RestoreReserve;
use anvilloft_wire::command::RouterState;
use anvilloft_wire::compression::compress;
use anvilloft_wire::control::Query;
use support::*;

fn publish(version: u64, source: &str, tokens: u64) -> Body {
    Body::Publish(Publish {
        version,
        source: compress(source.as_bytes()).expect("a compressed table"),
        prepaid: vec![Prepaid {
            team: "small".into(),
            tokens,
        }],
    })
}

fn published(version: u64) -> Reply {
    Reply::Published(Published { version })
}

fn read_publication(ledger: &Ledger) -> String {
    let query = Query {
        kind: "publication".into(),
        ..Query::default()
    };
    ledger.query(&query).expect("the publication")
}

fn amounts(ledger: &Ledger) -> Amounts {
    ledger
        .amounts(&prepaid_budget("small"))
        .expect("the budget exists")
}

fn open_router(incarnation: u64, state: RouterState) -> Body {
    Body::OpenIncarnation(OpenIncarnation {
        router: "r".into(),
        incarnation,
        caller_address: "c".into(),
        peer_address: "p".into(),
        state: state.into(),
        ..OpenIncarnation::default()
    })
}

fn lending_grant(seq: u64, need: u64, want: u64) -> Body {
    Body::Grant(Grant {
        router: "r".into(),
        incarnation: 1,
        seq,
        budget: prepaid_budget("small"),
        need,
        want,
        lending: true,
    })
}

fn return_report(returned: u64) -> Body {
    Body::Report(Report {
        router: "r".into(),
        incarnation: 1,
        seq: 1,
        locked: None,
        entries: vec![ReportEntry {
            budget: prepaid_budget("small"),
            returned,
            ..ReportEntry::default()
        }],
    })
}

/// Guards against a route table that reverts to an older version, or whose content
/// changes under the same version, when operators publish concurrently or resend.
#[test]
fn the_first_table_of_the_highest_version_is_in_force() {
    let mut ledger = Ledger::new();
    let steps = [
        (7, "seven", 7, "seven"),
        (7, "other", 7, "seven"),
        (5, "five", 7, "seven"),
        (12, "twelve", 12, "twelve"),
        (7, "seven", 12, "twelve"),
    ];
    for (version, source, in_force, content) in steps {
        let reply = apply(&mut ledger, publish(version, source, 100));
        assert_eq!(reply, published(in_force), "{version} {source}");
        assert_eq!(read_publication(&ledger), content);
    }
    assert_eq!(ledger.publication_since(12), None);
    assert_eq!(ledger.publication_since(7).map(|p| p.version), Some(12));
    let restored = Ledger::decode(&ledger.encode()).expect("an intact snapshot");
    assert_eq!(restored, ledger);
}

/// Guards against a long table that is sent to readers who only need its version.
#[test]
fn of_a_long_table_only_the_version_is_read() {
    let mut ledger = Ledger::new();
    let read = |ledger: &Ledger, max_source_bytes| {
        let query = Query {
            kind: "publication".into(),
            max_source_bytes,
            ..Query::default()
        };
        ledger.query(&query).expect("the publication")
    };
    assert_eq!(read(&ledger, 1), "", "before the first table");
    apply(&mut ledger, publish(7, "seven", 100));
    for (max_source_bytes, expected) in [(0, "seven"), (1, "7"), (1_000, "seven")] {
        assert_eq!(
            read(&ledger, max_source_bytes),
            expected,
            "{max_source_bytes}"
        );
    }
}

/// Guards against a team that keeps more tokens than it has paid for after its
/// prepaid amount was lowered while routers held a part of it.
#[test]
fn a_lowered_amount_takes_effect_as_tokens_are_returned() {
    let mut ledger = Ledger::new();
    apply(&mut ledger, publish(1, "", 100));
    apply(&mut ledger, open_router(1, RouterState::Alive));
    assert_eq!(
        apply(&mut ledger, lending_grant(1, 80, 80)),
        Reply::Granted(Granted { amount: 80 })
    );
    apply(&mut ledger, publish(2, "", 50));
    assert_eq!(
        (amounts(&ledger).topped_up, amounts(&ledger).unspent),
        (80, 0)
    );
    apply(&mut ledger, return_report(60));
    assert_eq!(
        (amounts(&ledger).topped_up, amounts(&ledger).unspent),
        (50, 30)
    );
    apply(&mut ledger, publish(3, "", 70));
    assert_eq!(
        (amounts(&ledger).topped_up, amounts(&ledger).unspent),
        (70, 50)
    );
}

/// Guards against tokens that are granted again although a lost router may have
/// spent them while it was cut off.
#[test]
fn tokens_held_by_a_lost_router_count_as_spent() {
    let mut ledger = Ledger::new();
    apply(&mut ledger, publish(1, "", 100));
    apply(&mut ledger, open_router(1, RouterState::Alive));
    apply(&mut ledger, lending_grant(1, 40, 40));
    // A new process at the same addresses shows that the old one has ended.
    apply(&mut ledger, open_router(2, RouterState::Alive));
    let close = Body::CloseIncarnation(CloseIncarnation {
        router: "r".into(),
        incarnation: 1,
    });
    apply_at(&mut ledger, 3_600_000, close);
    let a = amounts(&ledger);
    assert_eq!((a.unspent, a.allotted, a.settled), (60, 0, 40));
}

/// Guards against routers that reserve so much of a budget for network partitions
/// that their loss takes most of it.
#[test]
fn reserves_are_limited_to_half_of_the_remaining_tokens() {
    struct Case {
        need: u64,
        want: u64,
        granted: u64,
    }
    let cases = [
        Case {
            need: 1,
            want: 90,
            granted: 46,
        },
        // The reserve is used up, but a request still gets what it needs.
        Case {
            need: 20,
            want: 90,
            granted: 20,
        },
    ];
    let mut ledger = Ledger::new();
    apply(&mut ledger, publish(1, "", 90));
    apply(&mut ledger, open_router(1, RouterState::Alive));
    for (seq, c) in (1..).zip(cases) {
        let reply = apply(&mut ledger, lending_grant(seq, c.need, c.want));
        assert_eq!(
            reply,
            Reply::Granted(Granted { amount: c.granted }),
            "grant {seq}"
        );
    }
}

/// Guards against returning the reserve of a router that may still run, returning it
/// twice, and returning what a report after the lock took from it.
#[test]
fn a_locked_reserve_is_restored_once_its_router_is_dead() {
    let mut ledger = Ledger::new();
    let mut index = 0;
    let mut apply = |body: Body| {
        index += 1;
        let cmd = anvilloft_wire::Command {
            at_ms: 0,
            body: Some(body),
        };
        let reply = ledger.apply_at(index, &cmd).reply;
        ledger.assert_invariants();
        (reply, amounts_of(&ledger))
    };
    let report = |seq: u64, settled: u64, locked: Option<u64>| {
        Body::Report(Report {
            router: "r".into(),
            incarnation: 1,
            seq,
            entries: vec![ReportEntry {
                budget: prepaid_budget("small"),
                settled,
                ..ReportEntry::default()
            }],
            locked: locked.map(|amount| LockedReserve {
                acked_seq: seq - 1,
                unlock_ms: 3_000,
                amounts: vec![LockedAmount {
                    budget: prepaid_budget("small"),
                    amount,
                }],
            }),
        })
    };
    let restore = |died_within_ms: u64| {
        Body::RestoreReserve(RestoreReserve {
            router: "r".into(),
            incarnation: 1,
            died_within_ms,
        })
    };
    apply(publish(1, "one", 1_000));
    apply(open_router(1, RouterState::Alive));
    apply(lending_grant(1, 400, 400));
    apply(report(1, 10, None));
    apply(report(2, 10, Some(300)));
    let (reply, _) = apply(restore(0));
    assert!(matches!(reply, Some(Reply::Refused(r)) if r.code == "still_alive"));
    apply(open_router(2, RouterState::Alive));
    // Half was unlocked after 2.5 s.
    let (reply, after) = apply(restore(2_500));
    assert_eq!(reply, Some(Reply::Ok(anvilloft_wire::command::Ok {})));
    assert_eq!((after.unspent, after.allotted), (600 + 150, 380 - 150));
    apply(report(3, 10, Some(300)));
    let (_, again) = apply(restore(0));
    assert_eq!(
        again.unspent, after.unspent,
        "a delayed report locks nothing"
    );
}

fn amounts_of(ledger: &Ledger) -> Amounts {
    ledger.amounts(&prepaid_budget("small")).unwrap_or_default()
}
