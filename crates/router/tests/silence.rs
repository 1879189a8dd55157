//! Sound endpoints that are silent for a while and go on.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_fakes::FakeEndpointOptions;
use anvilloft_fakes::Fault;
use anvilloft_fakes::http::Call;
use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::Step;
use anvilloft_fakes::raw::chat_body;
use anvilloft_fakes::raw::whole_answer;
use common::*;

/// Silence after which another endpoint may get a request.
const LIMIT: Duration = Duration::from_millis(300);
/// Silence of the endpoints, which outlasts four attempts that are each given up after
/// [`LIMIT`].
const SILENCE: Duration = Duration::from_millis(2_000);

struct Case {
    name: &'static str,
    call: fn() -> Call,
    /// Service of the endpoints; empty for engines.
    service: &'static str,
    endpoints: usize,
    /// Attempts that may reach the endpoints.
    max_runs: u64,
}

fn stock() -> Call {
    Call::post("/v1/services/stock/levels", "{}").key(KEY)
}

const CASES: &[Case] = &[
    Case {
        name: "stream",
        call: || chat("x", true),
        service: "",
        endpoints: 1,
        max_runs: 1,
    },
    Case {
        name: "whole answer",
        call: || chat("x", false),
        service: "",
        endpoints: 1,
        max_runs: 1,
    },
    Case {
        name: "whole answer, another engine",
        call: || chat("x", false),
        service: "",
        endpoints: 2,
        max_runs: 1,
    },
    Case {
        name: "stream, another silent engine",
        call: || chat("x", true),
        service: "",
        endpoints: 2,
        max_runs: 2,
    },
    Case {
        name: "service",
        call: stock,
        service: "stock",
        endpoints: 1,
        max_runs: 1,
    },
    Case {
        name: "order",
        call: || order("k"),
        service: "orders",
        endpoints: 1,
        max_runs: 1,
    },
    Case {
        name: "order, another endpoint",
        call: || order("k"),
        service: "orders",
        endpoints: 2,
        max_runs: 1,
    },
];

async fn start_fleet() -> Fleet {
    Fleet::start_with(1, 1_000_000, |o| {
        o.client.first_byte = LIMIT;
        o.client.gap = LIMIT;
        o.api.service_first_byte_timeout = LIMIT;
    })
    .await
}

fn options(id: &str, service: &str) -> FakeEndpointOptions {
    match service {
        "" => engine(id),
        _ => FakeEndpointOptions::service(id, service),
    }
}

async fn play(case: &Case) -> Option<String> {
    let fleet = start_fleet().await;
    let mut fakes = Vec::new();
    for n in 0..case.endpoints {
        let mut options = options(&format!("e{n}"), case.service);
        options.first_token = SILENCE;
        fakes.push(fleet.fake(options).await);
    }
    let started = Instant::now();
    let reply = match (case.call)().send(fleet.addr(0), TIMEOUT).await {
        Ok(reply) => reply,
        Err(e) => return Some(format!("{}: {e}", case.name)),
    };
    let runs: u64 = fakes
        .iter()
        .map(|f| f.counts().arrived.load(Ordering::Relaxed))
        .sum();
    let is_right = reply.status == 200 && reply.complete && runs <= case.max_runs;
    (!is_right).then(|| {
        format!(
            "{}: status {}, {runs} attempts, after {:?}: {}",
            case.name,
            reply.status,
            started.elapsed(),
            reply.text()
        )
    })
}

/// Guards against a sound endpoint that is given up although no other one takes over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_endpoint_is_not_given_up_before_another_takes_over() {
    let faults = futures::future::join_all(CASES.iter().map(play)).await;
    let faults: Vec<String> = faults.into_iter().flatten().collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a request that stays at a silent endpoint although another one has
/// become free.
#[rstest::rstest]
#[case::stream("", chat("x", true))]
#[case::service("stock", stock())]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_leaves_a_silent_endpoint_for_a_new_one(
    #[case] service: &str,
    #[case] call: Call,
) {
    let fleet = start_fleet().await;
    let silent = fleet.fake(options("e1", service)).await;
    silent.set_fault(Fault::StallAfter(0));
    let addr = fleet.addr(0);
    let reply = tokio::spawn(async move { call.send(addr, TIMEOUT).await });
    wait_until(|| silent.counts().arrived.load(Ordering::Relaxed) == 1).await;
    tokio::time::sleep(LIMIT * 2).await;
    let _sound = fleet.fake(options("e2", service)).await;
    let reply = reply.await.unwrap().unwrap();
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert!(reply.complete);
}

/// Announces a raw endpoint of a service once.
async fn announce_service(fleet: &Fleet, raw: &RawEndpoint, service: &str) {
    let text = serde_json::json!({
        "id": "raw", "incarnation": 1, "seq": 1, "address": raw.addr.to_string(),
        "data_centre": "dc1", "pool": service, "kind": "service", "slots": 8,
    });
    let announce = Call::post("/v1/endpoints/announce", text.to_string()).key(ENDPOINT_KEY);
    let reply = announce.send(fleet.addr(0), TIMEOUT).await;
    assert_eq!(reply.map(|r| r.status).ok(), Some(200));
}

/// Guards against a sound endpoint that is given up between its header and its body.
#[rstest::rstest]
#[case::whole("", chat("x", false))]
#[case::service("stock", stock())]
#[case::order("orders", order("k"))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_body_is_not_given_up_before_another_endpoint_takes_over(
    #[case] service: &str,
    #[case] call: Call,
) {
    let fleet = start_fleet().await;
    let raw = RawEndpoint::start(|req| {
        let body = chat_body("late");
        let answer = whole_answer(&req.attempt, &body);
        let (head, body) = answer.split_at(answer.len() - body.len());
        vec![
            Step::Send(head.to_vec()),
            Step::Wait(LIMIT * 4),
            Step::Send(body.to_vec()),
        ]
    })
    .await
    .unwrap();
    match service {
        "" => {
            raw.announce(fleet.addr(0), ENDPOINT_KEY, "raw", "m", 1)
                .await;
        }
        _ => announce_service(&fleet, &raw, service).await,
    }
    let reply = call.send(fleet.addr(0), TIMEOUT).await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(reply.text(), chat_body("late"));
    assert_eq!(raw.request_count.load(Ordering::Relaxed), 1);
}

/// Guards against a request that waits for an endpoint that is gone, as its connection
/// doesn't show it.
#[rstest::rstest]
#[case::stream(true)]
#[case::whole(false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_endpoint_that_is_no_longer_announced_is_given_up(#[case] stream: bool) {
    let fleet = start_fleet().await;
    let raw = RawEndpoint::start(|_| vec![Step::Wait(TIMEOUT * 6)])
        .await
        .unwrap();
    raw.announce(fleet.addr(0), ENDPOINT_KEY, "raw", "m", 1)
        .await;
    let reply = chat("x", stream).send(fleet.addr(0), TIMEOUT).await;
    let reply = reply.unwrap();
    assert_eq!(reply.status, 502, "{}", reply.text());
    assert_eq!(error(&reply).0, "unknown");
}

/// Guards against requests that wait beyond their rank's limit for a place that a silent
/// endpoint's requests hold.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_behind_a_silent_endpoint_are_refused_within_the_wait_of_their_rank() {
    const URGENT_WAIT: Duration = Duration::from_secs(2);
    let fleet = start_fleet().await;
    let mut options = engine("e1");
    options.slots = 1;
    let silent = fleet.fake(options).await;
    silent.set_fault(Fault::StallAfter(0));
    let addr = fleet.addr(0);
    let calls: Vec<_> = (0..6)
        .map(|n| {
            let call = chat(&format!("x{n}"), true).header("x-anvilloft-rank", "urgent");
            tokio::spawn(async move {
                let started = Instant::now();
                let reply = call.send(addr, URGENT_WAIT * 2).await;
                (reply, started.elapsed())
            })
        })
        .collect();
    let mut refused = 0;
    for call in calls {
        let (reply, elapsed) = call.await.unwrap();
        let reply = reply.unwrap();
        if reply.status == 0 {
            continue;
        }
        assert_eq!(reply.status, 429, "{}", reply.text());
        assert_eq!(error(&reply).0, "no");
        assert!(elapsed < URGENT_WAIT * 3 / 2, "refused after {elapsed:?}");
        refused += 1;
    }
    let placed = silent.counts().arrived.load(Ordering::Relaxed);
    assert!(refused >= 4, "{refused} refused, {placed} placed");
    assert_eq!(refused + placed, 6);
}
