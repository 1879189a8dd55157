//! Orders, which must run at most once.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_fakes::FakeEndpointOptions;
use anvilloft_fakes::Fault;
use anvilloft_fakes::http::Call;
use common::*;

/// Guards against a second run (invariant I5) of an order that is repeated at
/// once, at another router, while it runs, or after a lost reply of control.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_orders_run_once_and_get_the_same_answer() {
    let fleet = Fleet::start(2, 1_000_000).await;
    let mut options = FakeEndpointOptions::service("o1", "orders");
    options.first_token = Duration::from_millis(100);
    let shop = fleet.fake(options).await;
    let calls: Vec<_> = (0..12)
        .map(|n| {
            let addr = fleet.addr(n % 2);
            tokio::spawn(async move { order(&format!("k{}", n / 4)).send(addr, TIMEOUT).await })
        })
        .collect();
    fleet.control.lose_replies(3);
    let mut answers = Vec::new();
    for call in calls {
        let reply = call.await.unwrap().unwrap();
        assert_eq!(reply.status, 200, "{}", reply.text());
        answers.push(reply.text());
    }
    for k in 0..3 {
        assert_eq!(shop.counts().run_count(&format!("k{k}")), 1);
        assert!(
            answers[k * 4..k * 4 + 4]
                .iter()
                .all(|a| *a == answers[k * 4])
        );
    }
    assert_eq!(fleet.settled().await, 3 * 10);
    // The same key with another body, and an order without a key.
    let other = Call::post("/v1/services/orders/place", "{\"boards\":2}")
        .key(KEY)
        .header("Idempotency-Key", "k0");
    assert_eq!(
        error(&other.send(fleet.addr(0), TIMEOUT).await.unwrap()).1,
        "key_mismatch"
    );
    let none = Call::post("/v1/services/orders/place", "{}").key(KEY);
    assert_eq!(none.send(fleet.addr(0), TIMEOUT).await.unwrap().status, 400);
}

/// Guards against a second run after the service died while it ran the order, and
/// against an answer to the caller that it did not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_whose_endpoint_died_is_unknown_and_never_runs_again() {
    let fleet = Fleet::start(2, 1_000_000).await;
    let dying = fleet
        .fake(FakeEndpointOptions::service("o1", "orders"))
        .await;
    dying.set_fault(Fault::DieAfter(0));
    let reply = order("d1").send(fleet.addr(0), TIMEOUT).await.unwrap();
    assert_eq!(reply.status, 502);
    assert_eq!(error(&reply).0, "unknown");
    let healthy = fleet
        .fake(FakeEndpointOptions::service("o2", "orders"))
        .await;
    for n in 0..4 {
        let reply = order("d1").send(fleet.addr(n % 2), TIMEOUT).await.unwrap();
        assert_eq!(error(&reply), ("unknown".into(), "order_unknown".into()));
    }
    assert_eq!(dying.counts().run_count("d1"), 1);
    assert_eq!(healthy.counts().run_count("d1"), 0);
    fleet.control.with_ledger(|l| l.assert_invariants());
}

/// Guards against orders that stay unknown although they did not run: after an
/// explicit refusal or at an unreachable endpoint, the order is retried or its
/// key is freed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_that_did_not_run_can_run_later() {
    let fleet = Fleet::start(1, 1_000_000).await;
    let shop = fleet
        .fake(FakeEndpointOptions::service("o1", "orders"))
        .await;
    shop.set_fault(Fault::RefuseNotRun);
    let reply = order("n1").send(fleet.addr(0), TIMEOUT).await.unwrap();
    assert_eq!(error(&reply).0, "no", "{}", reply.text());
    assert_eq!(shop.counts().run_count("n1"), 0);
    shop.set_fault(Fault::None);
    let reply = order("n1").send(fleet.addr(0), TIMEOUT).await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(shop.counts().run_count("n1"), 1);
    // With a budget below the price, the order is refused before anything is sent.
    fleet.control.add_team("poor", "poor-key", "normal", 5);
    wait_until(|| {
        fleet.routers[0]
            .api()
            .view
            .load()
            .config
            .team("poor")
            .is_some()
    })
    .await;
    let call = Call::post("/v1/services/orders/place", "{}")
        .key("poor-key")
        .header("Idempotency-Key", "n1");
    let reply = call.send(fleet.addr(0), TIMEOUT).await.unwrap();
    assert_eq!(reply.status, 402, "{}", reply.text());
    assert_eq!(error(&reply).0, "no");
    assert_eq!(shop.counts().arrived.load(Ordering::Relaxed), 2);
}

/// Guards against interrupting an order when its caller disconnects: it must
/// finish, and the caller can get the answer by its key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_finishes_after_its_caller_disconnects() {
    let fleet = Fleet::start(2, 1_000_000).await;
    let mut options = FakeEndpointOptions::service("o1", "orders");
    options.first_token = Duration::from_millis(200);
    let shop = fleet.fake(options).await;
    let open = order("c1").open(fleet.addr(0)).await.unwrap();
    wait_until(|| shop.running() == 1).await;
    drop(open);
    let reply = order("c1").send(fleet.addr(1), TIMEOUT).await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(reply.json()["run"], 1);
    assert_eq!(shop.counts().run_count("c1"), 1);
}
