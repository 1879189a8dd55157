//! Allotments of routers that lend to each other.

use std::time::Duration;

use anvilloft_budget::Allotments;
use anvilloft_budget::Reserve;
use anvilloft_wire::CommandReply;
use anvilloft_wire::command::Granted;
use anvilloft_wire::command::Reply;

const SECOND: Duration = Duration::from_secs(1);

fn lending() -> Allotments {
    let mut allotments = Allotments::new("r".into(), 1);
    allotments.set_demand_window(5 * SECOND);
    allotments.set_report_pace(Duration::from_millis(300));
    allotments.set_lending(Reserve {
        every: SECOND,
        lasts: 10 * SECOND,
        step: SECOND,
    });
    allotments
}

/// Answers every grant with what is wanted. Returns the sum.
fn grant_all(allotments: &mut Allotments, now: Duration) -> u64 {
    let mut sum = 0;
    while let Some(grant) = allotments.next_grant(now) {
        assert!(grant.lending, "control must know that peers lend");
        sum += grant.want;
        let reply = CommandReply {
            reply: Some(Reply::Granted(Granted { amount: grant.want })),
        };
        allotments.on_grant(now, grant.seq, &reply);
    }
    sum
}

/// Guards against a loan of more than is idle, and against tokens that are
/// lost when a loan ends.
#[test]
fn a_loan_takes_what_is_idle_and_gives_the_rest_back() {
    let mut allotments = lending();
    allotments
        .reserve(SECOND, "b", 100)
        .expect_err("nothing is held yet");
    let held = grant_all(&mut allotments, SECOND);
    let idle = held - 100;
    let (loan, amount) = allotments
        .reserve_up_to(SECOND, "b", idle + 50)
        .expect("a loan");
    assert_eq!(amount, idle);
    assert_eq!(
        allotments.reserve_up_to(SECOND, "b", 1),
        None,
        "nothing is idle"
    );
    assert_eq!(allotments.reserve_up_to(SECOND, "none", 1), None);
    allotments.settle(SECOND, loan, 30, None);
    assert_eq!(allotments.holding("b").idle, idle - 30);
}

/// The load: one request of 100 tokens each second. Guards against a router
/// that holds nothing when it is cut off, and against one that keeps asking.
#[test]
fn a_reserve_grows_to_its_size_and_stays_there() {
    let mut allotments = lending();
    let mut sizes = Vec::new();
    for s in 1..=20_u32 {
        let now = s * SECOND;
        let reserved = allotments.reserve(now, "b", 100);
        grant_all(&mut allotments, now);
        let id = reserved.unwrap_or_else(|need| need.need());
        allotments.settle(now, id, 100, None);
        sizes.push(allotments.holding("b").idle);
    }
    assert!(sizes[4] > 300, "after 5 s the reserve lasts 3 s: {sizes:?}");
    let last = sizes[19];
    assert!(
        (800..=1_300).contains(&last),
        "it lasts about 10 s: {sizes:?}"
    );
}

/// Guards against a report for each settlement, each of which is an entry of
/// the replicated log.
#[test]
fn reports_leave_at_their_pace() {
    let mut allotments = lending();
    let mut reports = 0;
    for step in 1..=100_u32 {
        let now = step * Duration::from_millis(20);
        let reserved = allotments.reserve(now, "b", 10);
        grant_all(&mut allotments, now);
        let id = reserved.unwrap_or_else(|need| need.need());
        allotments.settle(now, id, 5, None);
        if let Some(report) = allotments.next_report(now) {
            reports += 1;
            allotments.on_report_ack(now, report.seq);
        }
    }
    assert!((5..=7).contains(&reports), "{reports} reports in 2 s");
}
