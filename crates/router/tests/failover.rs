//! Routers and endpoints that die.

mod common;

use std::time::Duration;

use anvilloft_fakes::Fake;
use anvilloft_fakes::engine::CRASH_MARK;
use anvilloft_fakes::http::Call;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::CloseIncarnation;
use common::*;

/// Guards against a request that is billed twice because its router died and
/// its caller sent it again (I2), and against tokens lost with the router.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_router_costs_its_streams_and_the_retry_is_billed_once() {
    let mut fleet = Fleet::start(2, 1_000_000).await;
    let mut options = engine("e1");
    options.tokens = 40;
    options.token_delay = Duration::from_millis(10);
    let _fake = fleet.fake(options).await;
    let call =
        |n: usize| chat(&format!("stream {n}"), true).header("Idempotency-Key", &format!("k{n}"));
    // Both are answered and settled once before, so that a doubled bill would
    // show.
    let first = call(0).send(fleet.addr(0), LIMIT).await.unwrap();
    assert!(first.complete);
    let cost = fleet.settled().await;
    let again = call(0).send(fleet.addr(1), LIMIT).await.unwrap();
    assert_eq!(again.content(), first.content());
    assert_eq!(
        fleet.settled().await,
        cost,
        "the repeated request was billed again"
    );

    let mut open = Vec::new();
    for n in 1..5 {
        let mut stream = call(n).open(fleet.addr(0)).await.unwrap();
        assert!(stream.read_until(" t2", LIMIT).await);
        open.push(stream);
    }
    fleet.routers.remove(0).kill();
    for mut stream in open {
        stream.read_to_end(LIMIT).await;
        let reply = stream.reply();
        assert!(
            !reply.complete,
            "a dead router's stream looks complete: {}",
            reply.text()
        );
        assert!(!reply.text().contains("[DONE]"));
    }
    for n in 1..5 {
        let reply = call(n).send(fleet.addr(0), LIMIT).await.unwrap();
        assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
    }
    let settled = fleet.settled().await;
    assert_eq!(settled, cost * 5, "each of five requests is billed once");
    // The dead router's reservations stay frozen until control closes it.
    let amounts = fleet.control.budget(BUDGET);
    assert!(amounts["allotted"].as_u64().unwrap() > 0);
    assert_eq!(amounts["topped_up"], 1_000_000);
}

/// Guards against settlements lost with a router that was cut off from control
/// when it died: the copy holder delivers them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_copy_holder_delivers_a_dead_routers_settlements() {
    let mut fleet = Fleet::start(2, 1_000_000).await;
    let _fake = fleet.fake(engine("e1")).await;
    // Each router must know its copy holder.
    tokio::time::sleep(Duration::from_millis(1100)).await;
    // One request fetches an allotment, then control is out of reach.
    let reply = chat("first", false)
        .send(fleet.addr(0), LIMIT)
        .await
        .unwrap();
    assert_eq!(reply.status, 200);
    let before = fleet.settled().await;
    fleet.control_cuts[0].store(true, std::sync::atomic::Ordering::Relaxed);
    for n in 0..4 {
        let reply = chat(&format!("c{n}"), false)
            .send(fleet.addr(0), LIMIT)
            .await
            .unwrap();
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert_eq!(fleet.settled().await, before, "control was reached");
    let incarnation = fleet
        .control
        .with_ledger(|l| l.open_incarnations())
        .into_iter()
        .find(|r| r.router == "r0")
        .unwrap()
        .incarnation;
    fleet.routers.remove(0).kill();
    fleet
        .control
        .apply(Body::CloseIncarnation(CloseIncarnation {
            router: "r0".into(),
            incarnation,
        }));
    // The directory reaches the holder with its next renewal.
    tokio::time::sleep(Duration::from_millis(1300)).await;
    assert_eq!(fleet.settled().await, before + 4 * 9);
}

/// Guards against a request that crashes one endpoint after the other (the
/// fleet loses at most two), and against a quarantine of innocent requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crashing_request_costs_at_most_two_endpoints() {
    let fleet = Fleet::start(2, 10_000_000).await;
    let mut fakes: Vec<Fake> = Vec::new();
    for n in 0..5 {
        let mut options = engine(&format!("e{n}"));
        options.crashes = true;
        options.token_delay = Duration::from_millis(5);
        fakes.push(fleet.fake(options).await);
    }
    // Each router must know the other.
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let bad = format!("{CRASH_MARK} me");
    let mut codes = Vec::new();
    for n in 0..8 {
        // The caller sends it again at once, to either router.
        let reply = chat(&bad, true)
            .send(fleet.addr(n % 2), LIMIT)
            .await
            .unwrap();
        assert_ne!(reply.status, 200);
        codes.push(error(&reply).1);
        let innocent = chat(&format!("fine {n}"), false);
        let reply = innocent.send(fleet.addr(n % 2), LIMIT).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    let dead = fakes.iter().filter(|f| !f.alive()).count();
    assert!(dead <= 2, "{dead} endpoints died");
    assert_eq!(
        codes.last().map(String::as_str),
        Some("quarantined"),
        "{codes:?}"
    );
    fleet.control.with_ledger(|l| l.assert_invariants());
}

/// Guards against a strike that is cleared by a run that never reached its
/// endpoint, after which the request would crash two more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_run_that_reached_nothing_clears_no_strike() {
    let fleet = Fleet::start(1, 10_000_000).await;
    let mut options = engine("e1");
    options.crashes = true;
    let crashes = fleet.fake(options).await;
    let call = chat(&format!("{CRASH_MARK} once"), false);
    let reply = call.send(fleet.addr(0), LIMIT).await.unwrap();
    assert_ne!(reply.status, 200);
    assert!(!crashes.alive());
    assert_eq!(
        fleet
            .control
            .with_ledger(|l| l.suspect_fingerprints().len()),
        1
    );
    // An endpoint that announced itself and is gone.
    let gone = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = gone.local_addr().unwrap().to_string();
    drop(gone);
    let ghost = serde_json::json!({
        "id": "ghost", "incarnation": 1, "seq": 1, "address": address, "data_centre": "dc1",
        "pool": "p", "kind": "model", "models": [{"name": "m"}], "slots": 4,
    });
    let announce = Call::post("/v1/endpoints/announce", ghost.to_string()).key(ENDPOINT_KEY);
    assert_eq!(
        announce.send(fleet.addr(0), LIMIT).await.unwrap().status,
        200
    );
    let reply = call.send(fleet.addr(0), LIMIT).await.unwrap();
    assert_eq!(error(&reply).0, "no", "{}", reply.text());
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        fleet
            .control
            .with_ledger(|l| l.suspect_fingerprints().len()),
        1
    );
}

/// Guards against caller-visible failures when an endpoint dies before the
/// first byte: the request moves to another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_move_from_a_dead_endpoint_before_their_first_byte() {
    let fleet = Fleet::start(1, 10_000_000).await;
    let mut slow = engine("slow");
    slow.first_token = Duration::from_millis(300);
    let mut slow = fleet.fake(slow).await;
    // Three retries a second are allowed without successes.
    let calls: Vec<_> = (0..3)
        .map(|n| {
            let addr = fleet.addr(0);
            tokio::spawn(async move { chat(&format!("move {n}"), true).send(addr, LIMIT).await })
        })
        .collect();
    wait(|| slow.running() == 3).await;
    let _other = fleet.fake(engine("other")).await;
    slow.kill();
    for call in calls {
        let reply = call.await.unwrap().unwrap();
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
    }
    assert_eq!(fleet.settled().await, 3 * (2 + 8));
}
