//! Budgets under concurrent use.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_fakes::http::Call;
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

/// Guards against requests that pile up without bound while no grant arrives,
/// and against one team that takes every place of that wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_wait_for_tokens_are_bounded_by_team() {
    let ask = |prompt: &str, key: &str| {
        let body = format!(r#"{{"model":"m","prompt":"{prompt}","max_tokens":50}}"#);
        Call::post("/v1/completions", body).key(key)
    };
    let fleet = Fleet::start_with(1, 1_000_000, |o| {
        o.queues.grant_wait_team_requests = 4;
        o.queues.grant_wait_requests = 6;
    })
    .await;
    let fake = fleet.fake(engine("e1")).await;
    fleet
        .control
        .add_team("other", "other-key", "normal", 1_000_000);
    let api = fleet.routers[0].api();
    wait(|| api.view.load().config.team("other").is_some()).await;
    fleet.control_cuts[0].store(true, Ordering::Relaxed);
    let addr = fleet.addr(0);
    let mut waiting = Vec::new();
    for n in 0..6 {
        let key = if n < 4 { KEY } else { "other-key" };
        let call = ask(&format!("first{n}"), key);
        waiting.push(tokio::spawn(async move { call.send(addr, LIMIT).await }));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for key in [KEY, "other-key"] {
        let reply = ask("last", key).send(addr, LIMIT).await.unwrap();
        assert_eq!(reply.status, 429, "{}", reply.text());
        assert_eq!(error(&reply), ("no".into(), "grant_wait_full".into()));
    }
    assert_eq!(fake.counts().runs("last"), 0);
    // The places are free again once the grants arrive.
    fleet.control_cuts[0].store(false, Ordering::Relaxed);
    for call in waiting {
        assert_eq!(call.await.unwrap().unwrap().status, 200);
    }
    assert_eq!(
        ask("last", KEY).send(addr, LIMIT).await.unwrap().status,
        200
    );
}
