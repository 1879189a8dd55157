//! Leases of routers and endpoints, and draining.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_fakes::http::Call;
use anvilloft_wire::config::DefaultValue;
use anvilloft_wire::config::Item;
use common::*;

/// Guards against requests served under an expired configuration (invariant I8),
/// and against `run: no` for a request that reached an endpoint (invariant I4).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn router_without_a_lease_refuses_requests() {
    let fleet = Fleet::start(2, 1_000_000).await;
    let mut options = engine("e1");
    options.tokens = 1000;
    options.token_delay = Duration::from_millis(5);
    let fake = fleet.fake(options).await;
    // Waits until the routers know each other.
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let addr = fleet.addr(0);
    let running = tokio::spawn(async move {
        let body = r#"{"model":"m","prompt":"long","max_tokens":700,"stream":true}"#;
        Call::post("/v1/completions", body)
            .key(KEY)
            .send(addr, TIMEOUT)
            .await
    });
    wait_until(|| fake.running() == 1).await;
    fleet.cut_off[0].store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(3100)).await;
    let arrived = fake.counts().arrived.load(Ordering::Relaxed);
    for call in [chat("late", true), chat("late", false), order("late")] {
        let reply = call.send(addr, TIMEOUT).await.unwrap();
        assert_eq!(reply.status, 503);
        assert_eq!(error(&reply), ("no".into(), "no_lease".into()));
        let other = fleet.addr(1).to_string();
        assert_eq!(reply.json()["error"]["try"][0], other.as_str());
    }
    assert_eq!(fake.counts().arrived.load(Ordering::Relaxed), arrived);
    assert_eq!(fake.counts().run_count("late"), 0);
    assert_eq!(
        Call::get("/readyz")
            .send(addr, TIMEOUT)
            .await
            .unwrap()
            .status,
        503
    );
    // The request in flight finishes, and the other router still serves.
    let reply = running.await.unwrap().unwrap();
    assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
    assert_eq!(
        chat("else", false)
            .send(fleet.addr(1), TIMEOUT)
            .await
            .unwrap()
            .status,
        200
    );
    fleet.cut_off[0].store(false, Ordering::Relaxed);
    wait_until(|| {
        fleet.routers[0]
            .api()
            .view
            .load()
            .has_lease(fleet.routers[0].api().clock.now())
    })
    .await;
    assert_eq!(
        chat("back", false)
            .send(addr, TIMEOUT)
            .await
            .unwrap()
            .status,
        200
    );
}

/// Guards against queued requests that start after the lease expired.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queued_requests_are_refused_when_the_lease_expires() {
    let fleet = Fleet::start(1, 1_000_000).await;
    let mut options = engine("e1");
    options.slots = 1;
    options.tokens = 1000;
    options.token_delay = Duration::from_millis(5);
    let fake = fleet.fake(options).await;
    let addr = fleet.addr(0);
    let body = r#"{"model":"m","prompt":"first","max_tokens":800,"stream":true}"#;
    let mut running = Vec::new();
    for _ in 0..2 {
        let call = Call::post("/v1/completions", body).key(KEY);
        running.push(tokio::spawn(async move { call.send(addr, TIMEOUT).await }));
    }
    wait_until(|| fake.running() == 1).await;
    let queued = tokio::spawn(async move { chat("queued", false).send(addr, TIMEOUT).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.cut_off[0].store(true, Ordering::Relaxed);
    let reply = queued.await.unwrap().unwrap();
    assert_eq!(
        error(&reply),
        ("no".into(), "no_lease".into()),
        "{}",
        reply.text()
    );
    assert_eq!(fake.counts().run_count("queued"), 0);
    for stream in running {
        stream.abort();
    }
}

/// Guards against configuration changes that a router misses for more than 4 s
/// (invariant I8).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn disabled_team_is_refused_everywhere_at_once() {
    let fleet = Fleet::start(3, 1_000_000).await;
    let _fake = fleet.fake(engine("e1")).await;
    let changed = Instant::now();
    fleet
        .control
        .set_items(vec![Item::Team(anvilloft_wire::config::Team {
            name: "team".into(),
            default_rank: "normal".into(),
            weight: 1,
            disabled: true,
        })]);
    for n in 0..3 {
        while chat("off", false)
            .send(fleet.addr(n), TIMEOUT)
            .await
            .unwrap()
            .status
            != 403
        {
            assert!(changed.elapsed() < Duration::from_secs(4));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    assert!(
        changed.elapsed() < Duration::from_secs(1),
        "the push was lost"
    );
}

/// Guards against new requests at an endpoint that leaves or stops announcing
/// itself (invariant I6), and against interrupting its requests in flight.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_endpoints_get_no_new_requests() {
    let fleet = Fleet::start(2, 10_000_000).await;
    let mut options = engine("leaves");
    options.tokens = 30;
    options.token_delay = Duration::from_millis(10);
    let leaving = fleet.fake(options.clone()).await;
    options.id = "stops".into();
    let silent = fleet.fake(options.clone()).await;
    options.id = "stays".into();
    let _stays = fleet.fake(options).await;
    let streams: Vec<_> = (0..9)
        .map(|n| {
            let addr = fleet.addr(n % 2);
            tokio::spawn(async move { chat(&format!("s{n}"), true).send(addr, TIMEOUT).await })
        })
        .collect();
    wait_until(|| leaving.running() > 0 && silent.running() > 0).await;
    leaving.announce_leaving();
    silent.stop_announcing();
    for stream in streams {
        let reply = stream.await.unwrap().unwrap();
        assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
    }
    // The leaving endpoint gets no new requests at once; the silent one, once its
    // lease has expired.
    let arrived = |f: &anvilloft_fakes::FakeEndpoint| f.counts().arrived.load(Ordering::Relaxed);
    let leaving_before = arrived(&leaving);
    let send = async |tag: &str| {
        let calls = (0..12).map(|n| {
            let (addr, prompt) = (fleet.addr(n % 2), format!("{tag}{n}"));
            async move { chat(&prompt, false).send(addr, TIMEOUT).await.unwrap() }
        });
        for reply in futures::future::join_all(calls).await {
            assert_eq!(reply.status, 200, "{}", reply.text());
        }
    };
    send("a").await;
    assert_eq!(arrived(&leaving), leaving_before);
    tokio::time::sleep(Duration::from_millis(2600)).await;
    let silent_before = arrived(&silent);
    send("b").await;
    assert_eq!(arrived(&silent), silent_before);
}

/// Guards against requests interrupted by a drain (invariant I7), against callers
/// whose cached entry answer names no serving router, and against tokens that stay
/// allotted to a closed router.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_under_load_interrupts_no_request() {
    let mut fleet = Fleet::start(2, 10_000_000).await;
    fleet.control.set_items(vec![Item::Default(DefaultValue {
        name: "keep_ms".into(),
        value: 1000,
    })]);
    let mut options = engine("e1");
    options.slots = 64;
    options.tokens = 50;
    options.token_delay = Duration::from_millis(10);
    let _fake = fleet.fake(options).await;
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let (leaving, staying) = (fleet.addr(0), fleet.addr(1));
    // Callers keep their entry answer for `keep_ms` and follow the routers named
    // in refusals.
    let callers: Vec<_> = (0..12)
        .map(|c| {
            tokio::spawn(async move {
                let mut done = 0;
                let deadline = Instant::now() + Duration::from_millis(3500);
                let mut router = leaving;
                while Instant::now() < deadline {
                    let call = chat(&format!("c{c}-{done}"), true);
                    let reply = match call.send(router, TIMEOUT).await {
                        Ok(reply) => reply,
                        // The listener closes after the drain.
                        Err(_) => {
                            router = staying;
                            continue;
                        }
                    };
                    if reply.status == 503 {
                        let (run, code) = error(&reply);
                        assert_eq!((run.as_str(), code.as_str()), ("no", "draining"));
                        let other = reply.json()["error"]["try"][0].clone();
                        router = other.as_str().unwrap().parse().unwrap();
                        continue;
                    }
                    assert_eq!(reply.status, 200, "{}", reply.text());
                    assert!(reply.complete);
                    assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
                    done += 1;
                }
                done
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let router = fleet.routers.remove(0);
    let drain_started = Instant::now();
    let entry = Call::get("/v1/entry?team=team");
    router.start_drain();
    tokio::time::sleep(Duration::from_millis(50)).await;
    // It still accepts requests while callers may keep an entry answer that names
    // it.
    assert_eq!(
        chat("still", false)
            .send(leaving, TIMEOUT)
            .await
            .unwrap()
            .status,
        200
    );
    assert!(router.drain(TIMEOUT).await, "not drained");
    assert!(drain_started.elapsed() >= Duration::from_millis(1000));
    assert!(drain_started.elapsed() < Duration::from_secs(3));
    let mut total = 0;
    for caller in callers {
        total += caller.await.unwrap();
    }
    assert!(total >= 36, "only {total} answers");
    let named = entry.send(staying, TIMEOUT).await.unwrap().json();
    assert_eq!(named["routers"].as_array().unwrap().len(), 1);
    fleet.settled().await;
    let open = fleet.control.with_ledger(|l| l.open_incarnations());
    assert_eq!(open.len(), 1, "the incarnation is closed");
    let held = fleet.control.with_ledger(|l| l.holders(BUDGET));
    assert!(held.iter().all(|(router, _, _)| router == "r1"), "{held:?}");
}

/// Guards against running requests that no longer count after a change of the
/// ranks, so that the queues start as many requests again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn running_requests_count_after_the_ranks_change() {
    let fleet = Fleet::start(1, 1_000_000).await;
    let mut options = engine("e1");
    options.slots = 2;
    options.tokens = 1000;
    options.token_delay = Duration::from_millis(10);
    let _fake = fleet.fake(options).await;
    let addr = fleet.addr(0);
    let mut calls = Vec::new();
    for n in 0..8 {
        let body = format!(r#"{{"model":"m","prompt":"p{n}","max_tokens":800,"stream":true}}"#);
        let call = Call::post("/v1/completions", body).key(KEY);
        calls.push(tokio::spawn(async move { call.send(addr, TIMEOUT).await }));
    }
    let counts = || {
        let page = fleet.routers[0].metrics().registry.gather();
        ["anvilloft_queued", "anvilloft_running"].map(|name| {
            page.iter()
                .find(|m| m.name() == name)
                .map_or(0.0, |m| m.get_metric()[0].get_gauge().get_value())
        })
    };
    wait_until(|| counts().iter().sum::<f64>() == 8.0).await;
    let before = counts();
    assert!(before[0] > 0.0 && before[1] > 0.0, "{before:?}");
    fleet
        .control
        .set_items(vec![Item::Rank(anvilloft_wire::config::Rank {
            name: "low".into(),
            level: 2,
            weight: 7,
            floor_percent: 5,
            queue_ms: 30_000,
        })]);
    let view = &fleet.routers[0].api().view;
    let changed = || view.load().config.rank("low").map(|r| r.weight) == Some(7);
    wait_until(changed).await;
    // The gauges are updated every second.
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert_eq!(counts(), before, "queued and running");
    for call in calls {
        call.abort();
    }
}
