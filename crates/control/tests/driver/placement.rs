//! Placement orders of successive leaders.

use std::time::Instant;

use anvilloft_wire::Control;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::ModelDemand;
use anvilloft_wire::control::PlacementReport;
use anvilloft_wire::control::Query;
use anvilloft_wire::control::RenewLease;
use anvilloft_wire::control::ReportedEndpoint;

use super::CALL_TIMEOUT;
use super::group::Group;
use super::group::Reply;
use super::group::default_change;
use super::group::ms;
use super::group::open_incarnation;

const PLACEMENT_LEASE: u64 = 3_500;

/// Reports demand for a model that the only engine lacks. The engine ignores
/// fencing numbers.
fn renewal_with_report() -> RenewLease {
    let engine = ReportedEndpoint {
        id: "e1".into(),
        incarnation: 1,
        address: "127.0.0.1:9".into(),
        data_centre: "dc1".into(),
        slots: 4,
        ..ReportedEndpoint::default()
    };
    let demand = ModelDemand {
        model: "n".into(),
        millitokens_per_s: 5_000,
    };
    RenewLease {
        router: "r1".into(),
        incarnation: 1,
        report: Some(PlacementReport {
            demand: vec![demand],
            endpoints: vec![engine],
        }),
        ..RenewLease::default()
    }
}

/// Sends reports until the leaders have sent this many orders.
async fn report_until(group: &Group, orders: usize) {
    let deadline = Instant::now() + ms(12_000);
    while group.orders().len() < orders {
        assert!(Instant::now() < deadline, "no order");
        let leader = group.leader().await;
        // A leader that crashes during the call grants no lease.
        let _ = group.renew_lease(leader, &renewal_with_report()).await;
        tokio::time::sleep(ms(50)).await;
    }
}

/// Returns how often the list of endpoints contains the engine.
async fn listed_engines(group: &Group) -> usize {
    let leader = group.leader().await;
    let query = Query {
        kind: "endpoints".into(),
        ..Query::default()
    };
    let reply = group.handle(leader).call(query.into(), CALL_TIMEOUT).await;
    match reply.unwrap().answer {
        Some(Answer::QueryResult(text)) => text.matches("\"e1\"").count(),
        other => panic!("{other:?}"),
    }
}

/// Guards against orders of a new leader that overtake those of the old one at
/// an engine that ignores fencing numbers, and against endpoints that stay
/// listed although no router reports them any more.
#[tokio::test]
async fn a_new_leader_waits_out_the_placement_lease() {
    let mut group = Group::start(3).await;
    let defaults = [
        ("placement_lease_ms", PLACEMENT_LEASE),
        ("placement_load_spacing_ms", 10),
        ("lease_renew_ms", 100),
    ];
    for (base, (name, value)) in (0..).zip(defaults) {
        let reply = group.propose(default_change(base, name, value)).await;
        assert_eq!(reply, Reply::Accepted(base + 1));
    }
    assert_eq!(group.propose(open_incarnation("r1", 1)).await, Reply::Ok);
    report_until(&group, 1).await;

    let old = group.leader().await;
    let crashed_at = Instant::now();
    group.crash(old);
    report_until(&group, 2).await;
    let waited = crashed_at.elapsed();
    assert!(
        waited >= ms(PLACEMENT_LEASE),
        "ordered {waited:?} after the crash"
    );
    let orders = group.orders();
    let (first, second) = (&orders[0], &orders[1]);
    assert!(second.order.fencing.term > first.order.fencing.term);
    for order in &orders {
        let within = order.arrive_within.expect("the engine ignores fencing");
        assert!(within < ms(PLACEMENT_LEASE), "{within:?}");
    }

    assert_eq!(listed_engines(&group).await, 1);
    // Longer than 16 renewals plus the leader's check interval.
    tokio::time::sleep(ms(2_000)).await;
    assert_eq!(listed_engines(&group).await, 0, "not reported for 2 s");
}
