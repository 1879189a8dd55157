//! Endpoints that say in their answers that they leave, ask for a pause, or stop in the
//! middle of the head of an answer.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_fakes::http::Call;
use anvilloft_fakes::http::Reply;
use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::ReceivedRequest;
use anvilloft_fakes::raw::Step;
use anvilloft_fakes::raw::chat_body;
use common::*;

/// Interval between the announcements of a test endpoint.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Announces a service endpoint again and again, always as one that stays.
fn keep_announcing(fleet: &Fleet, raw: &RawEndpoint, id: &'static str) {
    let (router, address) = (fleet.addr(0), raw.addr);
    tokio::spawn(async move {
        for seq in 1.. {
            let text = serde_json::json!({
                "id": id, "incarnation": 1, "seq": seq, "address": address.to_string(),
                "data_centre": "dc1", "pool": "stock", "kind": "service", "slots": 8,
            });
            let call = Call::post("/v1/endpoints/announce", text.to_string()).key(ENDPOINT_KEY);
            call.send(router, TIMEOUT).await.ok();
            tokio::time::sleep(RENEW_INTERVAL).await;
        }
    });
}

fn answer(req: &ReceivedRequest, status: &str, headers: &str) -> Vec<Step> {
    let text = format!(
        "HTTP/1.1 {status}\r\nx-anvilloft-attempt: {}\r\n{headers}content-length: 2\r\n\r\n{{}}",
        req.attempt
    );
    vec![Step::Send(text.into_bytes())]
}

async fn count_stock(fleet: &Fleet) -> Reply {
    let call = Call::post("/v1/services/stock/count", "{}").key(KEY);
    call.send(fleet.addr(0), TIMEOUT).await.unwrap()
}

/// Sends requests until one isn't refused for want of an endpoint.
async fn count_until_known(fleet: &Fleet) -> Reply {
    for _ in 0..200 {
        let reply = count_stock(fleet).await;
        if !reply.text().contains("no_endpoint") {
            return reply;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the router knows no endpoint");
}

fn count(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

/// Guards against requests to a service endpoint whose answer said that it leaves, while
/// its announcements don't say so.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endpoint_that_says_it_leaves_gets_no_more_requests() {
    let fleet = Fleet::start(1, 1_000_000).await;
    let raw = RawEndpoint::start(|req| answer(&req, "200 OK", "x-anvilloft-leaving: 1\r\n"))
        .await
        .unwrap();
    keep_announcing(&fleet, &raw, "s1");
    let first = count_until_known(&fleet).await;
    assert_eq!(first.status, 200, "{}", first.text());
    assert_eq!(first.header("x-anvilloft-leaving"), None);
    for _ in 0..5 {
        tokio::time::sleep(RENEW_INTERVAL / 2).await;
        let reply = count_stock(&fleet).await;
        assert_eq!(reply.status, 503, "{}", reply.text());
        assert_eq!(error(&reply), ("no".into(), "no_endpoint".into()));
    }
    assert_eq!(count(&raw.request_count), 1);
}

/// Guards against requests to a service endpoint that asked for a pause, and against one
/// that is left out after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endpoint_that_asks_for_a_pause_gets_no_requests_until_its_end() {
    const PAUSE: Duration = Duration::from_secs(2);
    let fleet = Fleet::start(1, 1_000_000).await;
    let raw = RawEndpoint::start(|req| match req.number {
        0 => {
            let headers = "x-anvilloft-refused: not-run\r\nretry-after: 2\r\n";
            answer(&req, "503 Busy", headers)
        }
        _ => answer(&req, "200 OK", ""),
    })
    .await
    .unwrap();
    keep_announcing(&fleet, &raw, "s1");
    let first = count_until_known(&fleet).await;
    assert_ne!(first.status, 200, "{}", first.text());
    let began = std::time::Instant::now();
    while began.elapsed() < PAUSE - Duration::from_millis(300) {
        let reply = count_stock(&fleet).await;
        assert_eq!(error(&reply), ("no".into(), "endpoints_paused".into()));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(count(&raw.request_count), 1);
    let spread = Duration::from_millis(700);
    tokio::time::sleep((PAUSE + spread).saturating_sub(began.elapsed())).await;
    let reply = count_stock(&fleet).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
}

/// Guards against a success with an empty or short body that looks whole, when an engine
/// or service stops in the middle of the head of its answer and closes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_stops_is_no_answer() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
                        x-anvilloft-attempt: ID\r\ncontent-length: LEN\r\n";
    let head_len = HEAD.len() - "ID".len() - "LEN".len() + 32 + 2;
    let cut = Arc::new(AtomicU64::new(0));
    let fleet = Fleet::start(1, 1_000_000_000).await;
    let script = {
        let cut = Arc::clone(&cut);
        move |req: ReceivedRequest| {
            let body_len = chat_body("x").len().min(99);
            let head = HEAD
                .replace("ID", &req.attempt)
                .replace("LEN", &format!("{body_len:02}"));
            let len = usize::try_from(count(&cut)).unwrap_or(0).min(head.len());
            vec![Step::Send(head.into_bytes()[..len].to_vec()), Step::Close]
        }
    };
    let script = Arc::new(script);
    let service_script = Arc::clone(&script);
    let service = RawEndpoint::start(move |req| service_script(req));
    let service = service.await.unwrap();
    keep_announcing(&fleet, &service, "s1");
    let engine = RawEndpoint::start(move |req| script(req)).await.unwrap();
    count_until_known(&fleet).await;
    // Each request differs, as the same one again would be quarantined.
    let calls = |len: usize| {
        let body = format!("{{\"cut\":{len}}}");
        [
            Call::post("/v1/services/stock/count", body.as_str()).key(KEY),
            Call::post("/v1/services/stock/place", body.as_str())
                .key(KEY)
                .header("idempotency-key", &format!("order-{len}")),
            chat(&format!("cut at {len}"), false),
            chat(&format!("cut at {len}, streamed"), true),
        ]
    };
    let cuts = [4, 12, 40, head_len - 12, head_len - 1, head_len];
    for (seq, len) in (1..).zip(cuts) {
        cut.store(len as u64, Ordering::Relaxed);
        engine
            .announce(fleet.addr(0), ENDPOINT_KEY, "m1", "m", seq)
            .await;
        for call in calls(len) {
            let reply = call.send(fleet.addr(0), TIMEOUT).await.unwrap();
            assert!(
                reply.status >= 500 && reply.complete,
                "{len} bytes: {} {}",
                reply.status,
                reply.text()
            );
        }
    }
}
