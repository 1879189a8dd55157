//! Budgets under concurrent use.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_fakes::http::Call;
use common::*;

/// Guards against overspending (invariant I1) when two routers draw on one budget
/// concurrently, and against refusals while the budget still covers a request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn budget_is_never_overspent_and_can_be_used_up() {
    // A chat costs 1 + 8 tokens and reserves the length of its body plus 50. At
    // least 40 sequential chats fit.
    let tokens = 800;
    let fleet = Fleet::start(2, tokens).await;
    let mut options = engine("e1");
    options.slots = 64;
    let _fake = fleet.fake(options).await;
    let mut calls = Vec::new();
    for n in 0..60 {
        let addr = fleet.addr(n % 2);
        calls.push(tokio::spawn(async move {
            chat("b", n % 3 == 0).send(addr, TIMEOUT).await
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
    // Sequential requests are answered until the budget doesn't cover one more.
    let mut refused = 0;
    for n in 0..200 {
        let reply = chat("b", false)
            .send(fleet.addr(n % 2), TIMEOUT)
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
    let max_reserved = 50 + 100;
    assert!(left < max_reserved + 9, "refused with {left} tokens left");
}

/// Guards against refusals at one router while another holds idle tokens: idle
/// allotments must be recalled.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_allotments_are_recalled_when_another_router_needs_them() {
    let fleet = Fleet::start(2, 250_000).await;
    let _fake = fleet.fake(engine("e1")).await;
    for n in 0..20 {
        let reply = chat(&format!("r{n}"), false)
            .send(fleet.addr(0), TIMEOUT)
            .await
            .unwrap();
        assert_eq!(reply.status, 200);
    }
    let used = fleet.settled().await;
    let unspent = fleet.control.budget(BUDGET)["unspent"].as_i64().unwrap();
    // Removes all tokens that the first router does not hold, so that the second
    // can only be served from the first one's idle allotment.
    fleet.control.top_up(BUDGET, -unspent);
    let reply = chat("recall", false)
        .send(fleet.addr(1), TIMEOUT)
        .await
        .unwrap();
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert!(fleet.settled().await > used);
}

/// Guards against an unbounded number of requests that wait for a grant, and
/// against one team that takes up the whole limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_wait_for_a_grant_are_limited_by_team() {
    let completion = |prompt: &str, key: &str| {
        let body = format!(r#"{{"model":"m","prompt":"{prompt}","max_tokens":50}}"#);
        Call::post("/v1/completions", body).key(key)
    };
    let fleet = Fleet::start_with(1, 1_000_000, |o| {
        o.queues.max_team_grant_waits = 4;
        o.queues.max_grant_waits = 6;
    })
    .await;
    let fake = fleet.fake(engine("e1")).await;
    fleet
        .control
        .add_team("other", "other-key", "normal", 1_000_000);
    let api = fleet.routers[0].api();
    wait_until(|| api.view.load().config.team("other").is_some()).await;
    fleet.control_cut_off[0].store(true, Ordering::Relaxed);
    let addr = fleet.addr(0);
    let mut waiting = Vec::new();
    for n in 0..6 {
        let key = if n < 4 { KEY } else { "other-key" };
        let call = completion(&format!("first{n}"), key);
        waiting.push(tokio::spawn(async move { call.send(addr, TIMEOUT).await }));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for key in [KEY, "other-key"] {
        let reply = completion("last", key).send(addr, TIMEOUT).await.unwrap();
        assert_eq!(reply.status, 429, "{}", reply.text());
        assert_eq!(error(&reply), ("no".into(), "grant_wait_full".into()));
    }
    assert_eq!(fake.counts().run_count("last"), 0);
    // Requests that got their grant no longer count.
    fleet.control_cut_off[0].store(false, Ordering::Relaxed);
    for call in waiting {
        assert_eq!(call.await.unwrap().unwrap().status, 200);
    }
    assert_eq!(
        completion("last", KEY)
            .send(addr, TIMEOUT)
            .await
            .unwrap()
            .status,
        200
    );
}
