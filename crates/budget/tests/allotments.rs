//! The rules of `Allotments` one by one.

#![expect(clippy::expect_used, reason = "a failed expectation fails the test")]

use std::time::Duration;

use anvilloft_budget::Allotments;
use anvilloft_budget::Copies;
use anvilloft_budget::GrantRefusal;
use anvilloft_budget::GrantResult;
use anvilloft_budget::Holding;
use anvilloft_budget::NeedGrant;
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
        reply: Some(Reply::Insufficient(Insufficient { unspent, allotted })),
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

/// Returns allotments that hold `amount` idle tokens of `b`.
fn with(amount: u64) -> Allotments {
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

/// Guards against a request that is billed more than it reserved or twice.
#[test]
fn a_settlement_is_clamped_and_happens_once() {
    let mut a = with(100);
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

/// Guards against a storm of grants, and against a grant number that is used
/// for two different grants.
#[test]
fn one_grant_is_outstanding_and_covers_all_needs() {
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
        "a copy of the reply"
    );
    let grant = a.next_grant(ms(1_000)).expect("a grant");
    assert_eq!((grant.seq, grant.need), (2, 15));
    assert!(grant.want >= grant.need);
    a.cancel("b", needs[1]);
    let results = a.on_grant(ms(1_000), 2, &granted(15));
    assert_eq!(results.len(), 2);
    assert_eq!(a.holding("b"), holding(5, 20, 0));
}

/// Guards against false refusals: when the sum of needs is not covered, those
/// that fit are still served, and the refusal names what is there.
#[test]
fn needs_that_fit_are_served_where_their_sum_is_not() {
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
    let outcome = Err(GrantRefusal::Insufficient(100, 7));
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
    assert_eq!(a.next_grant(ms(5_000)), None, "nobody waits");
}

/// Guards against a router that asks for a need in parts without end: each
/// recall for the rest would take the part that it holds.
#[test]
fn after_a_recall_a_need_is_asked_for_in_full() {
    let mut a = with(100);
    let need = a.reserve(ms(0), "b", 150).expect_err("too much").need();
    let grant = a.next_grant(ms(0)).expect("a grant");
    assert_eq!(grant.need, 50, "the idle tokens count");
    a.recall(ms(10), "b");
    a.next_copy(ms(10));
    assert_eq!(a.on_grant(ms(20), grant.seq, &granted(50)), []);
    // Control would refuse a grant that overtakes the returned tokens.
    assert_eq!(a.next_grant(ms(20)), None, "the tokens go back first");
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

/// Guards against needs that wait forever after a refusal, and against a stale
/// number that ends them.
#[test]
fn a_refusal_ends_the_needs_and_a_stale_number_does_not() {
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

/// Guards against idle tokens that stay at a router: they go back on recall at
/// once, after the idle time, and on drain; reserved ones stay.
#[test]
fn idle_tokens_go_back() {
    let mut a = with(100);
    let id = a.reserve(ms(0), "b", 30).expect("held");
    a.recall(ms(1), "b");
    let report = a.next_report(ms(1)).expect("sent without delay");
    assert_eq!(report.entries, [entry("b", 0, 70, None)]);
    a.on_report_ack(ms(2), report.seq);
    assert_eq!(a.next_report(ms(900)), None, "reserved tokens stay");
    // What comes free soon after the recall goes back too.
    a.settle(ms(900), id, 10, None);
    let report = a.next_report(ms(900)).expect("sent without delay");
    assert_eq!(report.entries, [entry("b", 10, 20, None)]);

    let mut a = with(100);
    let id = a.reserve(ms(0), "b", 30).expect("held");
    let second = a.reserve(ms(0), "b", 30).expect("held");
    a.settle(ms(2), id, 10, None);
    let report = a.next_report(ms(2)).expect("no other is on its way");
    assert_eq!(report.entries, [entry("b", 10, 0, None)]);
    // While a report is on its way, settlements wait for others.
    a.settle(ms(3), second, 10, None);
    assert_eq!(a.next_report(ms(22)), None);
    assert!(!a.is_sealed(), "waits for others");
    assert_eq!(a.next_report(ms(23)), None, "one at a time");
    assert!(a.is_sealed(), "due");
    a.on_report_ack(ms(23), report.seq);
    let report = a.next_report(ms(23)).expect("the next one");
    assert_eq!(report.entries, [entry("b", 10, 0, None)]);
    a.on_report_ack(ms(24), report.seq);
    assert_eq!(a.next_report(ms(9_990)), None);
    let report = a.next_report(ms(11_200)).expect("the idle time has passed");
    assert_eq!(report.entries, [entry("b", 0, 80, None)]);
    a.on_report_ack(ms(11_200), report.seq);
    assert!(a.is_settled() && a.budgets() == 0);

    let mut a = with(100);
    let id = a.reserve(ms(0), "b", 30).expect("held");
    a.drain(ms(1));
    a.settle(ms(2), id, 10, None);
    let report = a.next_report(ms(2)).expect("sent without delay");
    assert_eq!(report.entries, [entry("b", 10, 90, None)]);
    assert!(!a.is_settled());
    a.on_report_ack(ms(3), report.seq);
    assert!(a.is_settled());
}

/// Guards against a report that is lost, changed or overtaken before control
/// has acknowledged it, and against settlements that no peer has a copy of.
#[test]
fn a_report_is_sent_unchanged_until_acknowledged() {
    let mut a = with(10_000);
    let mut copies = Copies::new();
    for n in 0..300 {
        let id = a.reserve(ms(0), "b", 1).expect("held");
        a.settle(ms(0), id, 1, Some([n as u8; 16]));
    }
    let first = a.next_report(ms(0)).expect("a full report need not wait");
    assert_eq!((first.seq, first.entries.len()), (1, 256));
    assert_eq!(a.next_report(ms(100)), None);
    let id = a.reserve(ms(100), "b", 9).expect("held");
    a.settle(ms(100), id, 9, None);
    assert_eq!(a.next_report(ms(500)), Some(first.clone()));
    // The peer gets everything although control acknowledges nothing.
    while let Some(copy) = a.next_copy(ms(500)) {
        copies.insert(copy);
    }
    let kept = copies.next("r1", 1, 10);
    let seqs: Vec<_> = kept.iter().map(|r| r.seq).collect();
    let sum: u64 = kept
        .iter()
        .flat_map(|r| &r.entries)
        .map(|e| e.settled)
        .sum();
    assert_eq!((seqs, sum), (vec![1, 2, 3], 309));
    copies.on_ack("r1", 1, 3);
    assert!(copies.incarnations().is_empty());
    assert_eq!(a.unacknowledged(), 3);
    a.copy_again();
    assert_eq!(a.next_copy(ms(500)), Some(first.clone()), "for a new peer");
    a.on_report_ack(ms(500), 1);
    a.next_copy(ms(500))
        .into_iter()
        .for_each(|c| copies.insert(c));
    copies.insert(first);
    copies.insert(a.copy_release());
    assert_eq!(
        copies.next("r1", 1, 1).first().map(|r| r.seq),
        Some(2),
        "acknowledged copies are dropped"
    );
}
