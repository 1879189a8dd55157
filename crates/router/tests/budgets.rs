//! Budgets under concurrent use.

mod common;

use common::*;

/// Guards against overspending (I1) when two routers draw on one budget at
/// once, and against a budget that is refused while it covers a request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_budget_is_never_overspent_and_is_usable_to_its_last_request() {
    // A chat costs 1 + 8 tokens and reserves its body plus 50; 40 fit at
    // least when each waits for its turn.
    let tokens = 800;
    let fleet = Fleet::start(2, tokens).await;
    let mut options = engine("e1");
    options.slots = 64;
    let _fake = fleet.fake(options).await;
    let mut calls = Vec::new();
    for n in 0..60 {
        let addr = fleet.addr(n % 2);
        calls.push(tokio::spawn(async move {
            chat("b", n % 3 == 0).send(addr, LIMIT).await
        }));
    }
    let mut answered = 0;
    for call in calls {
        let reply = call.await.unwrap().unwrap();
        match reply.status {
            200 => answered += 1,
            402 => assert_eq!(error(&reply), ("no".into(), "budget_exhausted".into())),
            other => panic!("{other}: {}", reply.text()),
        }
    }
    assert_eq!(fleet.settled().await, answered * 9);
    assert!(answered > 0);
    // One after the other, requests go on until not even one is covered.
    let mut refused = 0;
    for n in 0..200 {
        let reply = chat("b", false)
            .send(fleet.addr(n % 2), LIMIT)
            .await
            .unwrap();
        if reply.status == 402 {
            refused += 1;
            break;
        }
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert_eq!(refused, 1);
    let settled = fleet.settled().await;
    let amounts = fleet.control.budget(BUDGET);
    let left = tokens as u64 - settled;
    assert_eq!(
        amounts["unspent"].as_u64().unwrap() + amounts["allotted"].as_u64().unwrap(),
        left
    );
    // The reservation of a request is its body's length plus 50.
    let bound = 50 + 100;
    assert!(left < bound + 9, "refused with {left} tokens left");
}

/// Guards against tokens that stay at one router while another refuses: idle
/// allotments are recalled.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_allotments_come_back_when_another_router_needs_them() {
    let fleet = Fleet::start(2, 250_000).await;
    let _fake = fleet.fake(engine("e1")).await;
    for n in 0..20 {
        let reply = chat(&format!("r{n}"), false)
            .send(fleet.addr(0), LIMIT)
            .await
            .unwrap();
        assert_eq!(reply.status, 200);
    }
    let used = fleet.settled().await;
    let unspent = fleet.control.budget(BUDGET)["unspent"].as_i64().unwrap();
    // What is not held by the first router is taken away, so the second can
    // only be served from the first one's idle allotment.
    fleet.control.top_up(BUDGET, -unspent);
    let reply = chat("recall", false)
        .send(fleet.addr(1), LIMIT)
        .await
        .unwrap();
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert!(fleet.settled().await > used);
}
