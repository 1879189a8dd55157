//! Unit tests of `Allotments` and `SettlementCopies`.

#![expect(clippy::expect_used, reason = "a failed expectation fails the test")]

use std::time::Duration;

use anvilloft_budget::Allotments;
use anvilloft_budget::GrantRefusal;
use anvilloft_budget::GrantResult;
use anvilloft_budget::Holding;
use anvilloft_budget::NeedGrant;
use anvilloft_budget::SettlementCopies;
use anvilloft_budget::Shortage;
use anvilloft_ledger::code;
use anvilloft_wire::CommandReply;
use anvilloft_wire::command::Granted;
use anvilloft_wire::command::Insufficient;
use anvilloft_wire::command::Refused;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::ReportEntry;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn granted(amount: u64) -> CommandReply {
    CommandReply {
        reply: Some(Reply::Granted(Granted { amount })),
    }
}

fn insufficient(unspent: u64) -> CommandReply {
    let allotted = 7;
    CommandReply {
        reply: Some(Reply::Insufficient(Insufficient {
            unspent,
            allotted,
            locked: 0,
        })),
    }
}

fn refused(code: &str) -> CommandReply {
    CommandReply {
        reply: Some(Reply::Refused(Refused {
            code: code.into(),
            message: String::new(),
        })),
    }
}

fn entry(budget: &str, settled: u64, returned: u64, key: Option<u8>) -> ReportEntry {
    ReportEntry {
        budget: budget.into(),
        settled,
        returned,
        request_key: key.map_or_else(Vec::new, |k| vec![k; 16]),
    }
}

fn holding(idle: u64, reserved: u64, waiting: u64) -> Holding {
    Holding {
        idle,
        reserved,
        waiting,
    }
}

/// Returns allotments that hold `amount` idle tokens of budget `b`.
fn with_idle(amount: u64) -> Allotments {
    let mut a = Allotments::new("r1".into(), 1);
    let need = a
        .reserve(ms(0), "b", amount)
        .expect_err("nothing is held")
        .need();
    let grant = a.next_grant(ms(0)).expect("a grant");
    let results = a.on_grant(ms(0), grant.seq, &granted(amount));
    assert_eq!(
        results,
        [GrantResult {
            need,
            outcome: Ok(need)
        }]
    );
    a.release(ms(0), need);
    a
}

/// Guards against billing a request twice, or for more than it reserved.
#[test]
fn settlement_is_clamped_and_billed_once() {
    let mut a = with_idle(100);
    let id = a.reserve(ms(0), "b", 60).expect("held");
    assert_eq!(a.holding("b"), holding(40, 60, 0));
    assert_eq!(a.settle(ms(0), id, 61, Some([3; 16])), 60);
    assert_eq!(
        a.settle(ms(0), id, 10, None),
        0,
        "the reservation has ended"
    );
    let id = a.reserve(ms(0), "b", 40).expect("held");
    assert_eq!(a.settle(ms(0), id, 15, None), 15);
    let report = a.next_report(ms(20)).expect("due");
    assert_eq!(
        report.entries,
        [entry("b", 15, 0, None), entry("b", 60, 0, Some(3))]
    );
    assert_eq!(a.holding("b"), holding(25, 0, 0));
}

/// Guards against a flood of grant requests, and against a sequence number that is
/// used for two different grants.
#[test]
fn one_outstanding_grant_covers_all_needs() {
    let mut a = Allotments::new("r1".into(), 1);
    let first = a
        .reserve(ms(0), "b", 10)
        .expect_err("nothing is held")
        .need();
    let grant = a.next_grant(ms(0)).expect("a grant");
    assert_eq!((grant.seq, grant.need), (1, 10));
    let needs: Vec<_> = (0..3)
        .map(|_| {
            a.reserve(ms(1), "b", 5)
                .expect_err("nothing is held")
                .need()
        })
        .collect();
    assert_eq!(a.next_grant(ms(500)), None, "one at a time");
    assert_eq!(
        a.next_grant(ms(1_000)),
        Some(grant.clone()),
        "sent again unchanged"
    );
    let results = a.on_grant(ms(1_000), 1, &granted(10));
    assert_eq!(
        results,
        [GrantResult {
            need: first,
            outcome: Ok(first)
        }]
    );
    assert_eq!(
        a.on_grant(ms(1_000), 1, &granted(10)),
        [],
        "a duplicate reply"
    );
    let grant = a.next_grant(ms(1_000)).expect("a grant");
    assert_eq!((grant.seq, grant.need), (2, 15));
    assert!(grant.want >= grant.need);
    a.cancel("b", needs[1]);
    let results = a.on_grant(ms(1_000), 2, &granted(15));
    assert_eq!(results.len(), 2);
    assert_eq!(a.holding("b"), holding(5, 20, 0));
}

/// Guards against false refusals: if the budget doesn't cover the sum of the needs,
/// those that fit are still served, and the refusal says how many tokens there are.
#[test]
fn fitting_needs_are_served_if_their_sum_is_not_covered() {
    let mut a = Allotments::new("r1".into(), 1);
    let needs: Vec<_> = [60, 200, 30, 40]
        .map(|t| {
            a.reserve(ms(0), "b", t)
                .expect_err("nothing is held")
                .need()
        })
        .into();
    let grant = a.next_grant(ms(0)).expect("a grant");
    assert_eq!(grant.need, 330);
    let results = a.on_grant(ms(0), grant.seq, &insufficient(100));
    let outcome = Err(GrantRefusal::Insufficient(Shortage {
        unspent: 100,
        allotted: 7,
        locked: 0,
    }));
    assert_eq!(
        results,
        [GrantResult {
            need: needs[1],
            outcome
        }]
    );
    let grant = a.next_grant(ms(0)).expect("a grant");
    assert_eq!(grant.need, 90, "the needs at the front that fit together");
    assert_eq!(a.on_grant(ms(0), grant.seq, &granted(90)).len(), 2);
    let grant = a.next_grant(ms(0)).expect("a grant");
    assert_eq!(grant.need, 40);
    let results = a.on_grant(ms(0), grant.seq, &insufficient(10));
    assert_eq!(results.len(), 1);
    assert_eq!(a.next_grant(ms(5_000)), None, "no need is left");
}

/// Guards against a router that requests a need in parts without end, because each
/// recall for the missing part takes the part that it holds.
#[test]
fn need_is_requested_in_full_after_a_recall() {
    let mut a = with_idle(100);
    let need = a.reserve(ms(0), "b", 150).expect_err("too much").need();
    let grant = a.next_grant(ms(0)).expect("a grant");
    assert_eq!(grant.need, 50, "the idle tokens count");
    a.recall(ms(10), "b");
    a.next_copy(ms(10));
    assert_eq!(a.on_grant(ms(20), grant.seq, &granted(50)), []);
    // Control would refuse a grant that arrives before the returned tokens.
    assert_eq!(
        a.next_grant(ms(20)),
        None,
        "the idle tokens are returned first"
    );
    for returned in [100, 50] {
        assert_eq!(a.next_grant(ms(20)), None);
        let report = a.next_report(ms(20)).expect("sent without delay");
        assert_eq!(report.entries, [entry("b", 0, returned, None)]);
        a.on_report_ack(ms(25), report.seq);
    }
    let grant = a.next_grant(ms(25)).expect("a grant");
    assert_eq!((grant.need, a.holding("b")), (150, holding(0, 0, 150)));
    let results = a.on_grant(ms(30), grant.seq, &granted(150));
    assert_eq!(
        results,
        [GrantResult {
            need,
            outcome: Ok(need)
        }]
    );
}

/// Guards against needs that wait forever after a refusal, and against refusing them
/// because of a stale sequence number.
#[test]
fn refusal_ends_the_needs_unless_the_grant_is_stale() {
    let mut a = Allotments::new("r1".into(), 1);
    let need = a.reserve(ms(0), "b", 10).expect_err("nothing is held");
    assert_eq!(need, NeedGrant::Waiting(need.need()));
    let grant = a.next_grant(ms(0)).expect("a grant");
    assert_eq!(
        a.on_grant(ms(0), grant.seq, &refused(code::STALE_GRANT)),
        []
    );
    let again = a.next_grant(ms(0)).expect("a grant");
    assert!(again.seq > grant.seq);
    let results = a.on_grant(ms(0), again.seq, &refused(code::UNKNOWN_BUDGET));
    assert!(matches!(
        &results[..],
        [GrantResult {
            outcome: Err(GrantRefusal::Refused(..)),
            ..
        }]
    ));
}

/// Guards against idle tokens that stay at a router: they are returned on a recall,
/// after the idle timeout and on a drain. Reserved tokens stay.
#[test]
fn idle_tokens_are_returned() {
    let mut a = with_idle(100);
    let id = a.reserve(ms(0), "b", 30).expect("held");
    a.recall(ms(1), "b");
    let report = a.next_report(ms(1)).expect("sent without delay");
    assert_eq!(report.entries, [entry("b", 0, 70, None)]);
    a.on_report_ack(ms(2), report.seq);
    assert_eq!(a.next_report(ms(900)), None, "reserved tokens stay");
    // Tokens that come free soon after the recall are returned as well.
    a.settle(ms(900), id, 10, None);
    let report = a.next_report(ms(900)).expect("sent without delay");
    assert_eq!(report.entries, [entry("b", 10, 20, None)]);

    let mut a = with_idle(100);
    let id = a.reserve(ms(0), "b", 30).expect("held");
    let second = a.reserve(ms(0), "b", 30).expect("held");
    a.settle(ms(2), id, 10, None);
    let report = a
        .next_report(ms(2))
        .expect("no other report is unacknowledged");
    assert_eq!(report.entries, [entry("b", 10, 0, None)]);
    // While a report is unacknowledged, settlements are batched.
    a.settle(ms(3), second, 10, None);
    assert_eq!(a.next_report(ms(22)), None);
    assert!(!a.is_sealed(), "the settlement is batched");
    assert_eq!(a.next_report(ms(23)), None, "one at a time");
    assert!(a.is_sealed(), "the batch is due");
    a.on_report_ack(ms(23), report.seq);
    let report = a.next_report(ms(23)).expect("the next one");
    assert_eq!(report.entries, [entry("b", 10, 0, None)]);
    a.on_report_ack(ms(24), report.seq);
    assert_eq!(a.next_report(ms(9_990)), None);
    let report = a
        .next_report(ms(11_200))
        .expect("the idle timeout has passed");
    assert_eq!(report.entries, [entry("b", 0, 80, None)]);
    a.on_report_ack(ms(11_200), report.seq);
    assert!(a.is_settled() && a.budget_count() == 0);

    let mut a = with_idle(100);
    let id = a.reserve(ms(0), "b", 30).expect("held");
    a.drain(ms(1));
    a.settle(ms(2), id, 10, None);
    let report = a.next_report(ms(2)).expect("sent without delay");
    assert_eq!(report.entries, [entry("b", 10, 90, None)]);
    assert!(!a.is_settled());
    a.on_report_ack(ms(3), report.seq);
    assert!(a.is_settled());
}

/// Guards against a report that is lost, changed or reordered before control has
/// acknowledged it, and against settlements without a copy at the peer.
#[test]
fn report_is_resent_unchanged_until_acknowledged() {
    let mut a = with_idle(10_000);
    let mut copies = SettlementCopies::new();
    for n in 0..300 {
        let id = a.reserve(ms(0), "b", 1).expect("held");
        a.settle(ms(0), id, 1, Some([n as u8; 16]));
    }
    let first = a.next_report(ms(0)).expect("a full report is due at once");
    assert_eq!((first.seq, first.entries.len()), (1, 256));
    assert_eq!(a.next_report(ms(100)), None);
    let id = a.reserve(ms(100), "b", 9).expect("held");
    a.settle(ms(100), id, 9, None);
    assert_eq!(a.next_report(ms(500)), Some(first.clone()));
    // The peer gets all copies although control acknowledges nothing.
    while let Some(copy) = a.next_copy(ms(500)) {
        copies.insert(copy);
    }
    let kept = copies.oldest("r1", 1, 10);
    let seqs: Vec<_> = kept.iter().map(|r| r.seq).collect();
    let sum: u64 = kept
        .iter()
        .flat_map(|r| &r.entries)
        .map(|e| e.settled)
        .sum();
    assert_eq!((seqs, sum), (vec![1, 2, 3], 309));
    copies.on_ack("r1", 1, 3);
    assert!(copies.incarnations().is_empty());
    assert_eq!(a.unacknowledged_reports(), 3);
    a.resend_copies();
    assert_eq!(a.next_copy(ms(500)), Some(first.clone()), "for a new peer");
    a.on_report_ack(ms(500), 1);
    a.next_copy(ms(500))
        .into_iter()
        .for_each(|c| copies.insert(c));
    copies.insert(first);
    copies.insert(a.release_notice());
    assert_eq!(
        copies.oldest("r1", 1, 1).first().map(|r| r.seq),
        Some(2),
        "acknowledged copies are dropped"
    );
}
