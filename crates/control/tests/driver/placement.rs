//! Orders of successive leaders.

use std::time::Instant;

use anvilloft_wire::Control;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::ModelDemand;
use anvilloft_wire::control::PlacementReport;
use anvilloft_wire::control::Query;
use anvilloft_wire::control::RenewLease;
use anvilloft_wire::control::ReportedEndpoint;

use super::LIMIT;
use super::fleet::Fleet;
use super::fleet::Reply;
use super::fleet::default_change;
use super::fleet::ms;
use super::fleet::open;

const PLACEMENT_LEASE: u64 = 3_500;

/// Demand for a model that the one engine, which ignores fencing, lacks.
fn report() -> RenewLease {
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

/// Reports until there are so many orders.
async fn report_until(fleet: &Fleet, orders: usize) {
    let until = Instant::now() + ms(12_000);
    while fleet.orders().len() < orders {
        assert!(Instant::now() < until, "no order");
        let leader = fleet.leader().await;
        // A leader that dies during the call gives no lease.
        let _ = fleet.lease(leader, &report()).await;
        tokio::time::sleep(ms(50)).await;
    }
}

async fn listed(fleet: &Fleet) -> usize {
    let leader = fleet.leader().await;
    let query = Query {
        kind: "endpoints".into(),
        ..Query::default()
    };
    let reply = fleet.handle(leader).call(query.into(), LIMIT).await;
    match reply.unwrap().answer {
        Some(Answer::QueryResult(text)) => text.matches("\"e1\"").count(),
        other => panic!("{other:?}"),
    }
}

/// Guards against a new leader whose orders to an engine that ignores fencing
/// numbers cross those of the old leader, and against endpoints that stay
/// known although no router reports them any more.
#[tokio::test]
async fn a_new_leader_waits_out_the_placement_lease() {
    let mut fleet = Fleet::start(3).await;
    let defaults = [
        ("placement_lease_ms", PLACEMENT_LEASE),
        ("placement_load_spacing_ms", 10),
        ("lease_renew_ms", 100),
    ];
    for (base, (name, value)) in (0..).zip(defaults) {
        let reply = fleet.propose(default_change(base, name, value)).await;
        assert_eq!(reply, Reply::Accepted(base + 1));
    }
    assert_eq!(fleet.propose(open("r1", 1)).await, Reply::Ok);
    report_until(&fleet, 1).await;

    let old = fleet.leader().await;
    let died = Instant::now();
    fleet.kill(old);
    report_until(&fleet, 2).await;
    let waited = died.elapsed();
    assert!(waited >= ms(PLACEMENT_LEASE), "only {waited:?}");
    let orders = fleet.orders();
    let (first, second) = (&orders[0], &orders[1]);
    assert!(second.order.fencing.term > first.order.fencing.term);
    for order in &orders {
        let within = order.arrive_within.expect("the engine ignores fencing");
        assert!(within < ms(PLACEMENT_LEASE), "{within:?}");
    }

    assert_eq!(listed(&fleet).await, 1);
    // 16 renewals and the leader's check interval.
    tokio::time::sleep(ms(2_000)).await;
    assert_eq!(listed(&fleet).await, 0, "not reported for 2 s");
}
