//! Endpoints that say in their answers that they leave, or ask for a pause.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::ReceivedRequest;
use anvilloft_fakes::raw::Step;
use anvilloft_gateway::notice::LEAVING_HEADER;

use crate::common::Fleet;
use crate::common::chunk;
use crate::common::event;
use crate::common::send;
use crate::common::stream_head;

/// An answer with further headers.
struct Case {
    name: &'static str,
    path: &'static str,
    service: &'static str,
    answer: fn(&str, headers: &str) -> String,
}

fn plain(status: &str, attempt: &str, headers: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-anvilloft-attempt: {attempt}\r\n{headers}\
         content-length: 2\r\n\r\nok"
    )
}

fn refusal(attempt: &str, headers: &str) -> String {
    let headers = format!("x-anvilloft-refused: not-run\r\n{headers}");
    plain("503 Full", attempt, &headers)
}

fn stream(attempt: &str, headers: &str) -> String {
    let head = stream_head(attempt).replacen("\r\n\r\n", &format!("\r\n{headers}\r\n"), 1);
    head + &chunk(&event(1)) + "0\r\n\r\n"
}

const CASES: &[Case] = &[
    Case {
        name: "a success",
        path: "/any/x",
        service: "plain",
        answer: |a, h| plain("200 OK", a, h),
    },
    Case {
        name: "a success of a request that may not be repeated",
        path: "/once/x",
        service: "plain",
        answer: |a, h| plain("200 OK", a, h),
    },
    Case {
        name: "a failure",
        path: "/once/x",
        service: "plain",
        answer: |a, h| plain("500 Failed", a, h),
    },
    Case {
        name: "a refusal",
        path: "/any/x",
        service: "plain",
        answer: refusal,
    },
    Case {
        name: "the head of a stream",
        path: "/stream/x",
        service: "engines",
        answer: stream,
    },
];

/// Returns a script whose answers carry the headers while `on` is set.
fn script(
    answer: fn(&str, &str) -> String,
    headers: &'static str,
    on: &Arc<AtomicBool>,
) -> impl Fn(ReceivedRequest) -> Vec<Step> + Send + Sync + 'static {
    let on = Arc::clone(on);
    move |req| {
        let is_on = on.load(Ordering::Relaxed);
        vec![match (is_on, req.head.contains("/stream/")) {
            (true, _) => send(answer(&req.attempt, headers)),
            (false, true) => send(stream(&req.attempt, "")),
            (false, false) => send(plain("200 OK", &req.attempt, "")),
        }]
    }
}

fn count(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

/// Guards against requests to an endpoint after a caller got an answer in which it said
/// that it leaves: as the only one, as the last resort, after a renewal that doesn't say
/// so.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_says_it_leaves_gets_no_more_requests() {
    for case in CASES {
        let fleet = Fleet::start(1).await;
        fleet.publish(1, 1_000_000).await;
        let on = Arc::new(AtomicBool::new(true));
        let leaving = script(case.answer, "x-anvilloft-leaving: 1\r\n", &on);
        let leaving = RawEndpoint::start(leaving).await.unwrap();
        fleet.announce("e", leaving.addr, case.service);
        let first = fleet.send(0, case.path, "first").await;
        assert_eq!(first.header(LEAVING_HEADER), None, "{}", case.name);
        assert_eq!(count(&leaving.request_count), 1, "{}", case.name);
        for seq in 2..5 {
            fleet.renew("e", leaving.addr, case.service, seq);
            let reply = fleet.try_send(0, case.path, &format!("alone-{seq}")).await;
            assert_eq!(reply.status, 503, "{}: {}", case.name, reply.text());
            assert!(reply.text().contains(r#""run":"no""#), "{}", case.name);
        }
        let off = Arc::new(AtomicBool::new(false));
        let other = RawEndpoint::start(script(case.answer, "", &off))
            .await
            .unwrap();
        fleet.announce("f", other.addr, case.service);
        assert_eq!(fleet.send(0, case.path, "other").await.status, 200);
        for n in 0..20 {
            let reply = fleet.try_send(0, case.path, &format!("n{n}")).await;
            assert_eq!(reply.status, 200, "{}", case.name);
        }
        assert_eq!(count(&leaving.request_count), 1, "{}", case.name);
        let metrics = fleet.relays[0].metrics().text();
        let line = r#"anvilloft_endpoint_notices_total{kind="leaving"} 1"#;
        assert!(metrics.contains(line), "{}: {metrics}", case.name);
    }
}

/// Guards against requests to an endpoint that asked for a pause, and against one that is
/// still left out after it.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_asks_for_a_pause_gets_no_requests_until_its_end() {
    const PAUSE: Duration = Duration::from_secs(2);
    for path in ["/any/x", "/once/x", "/stream/x"] {
        let service = match path {
            "/stream/x" => "engines",
            _ => "plain",
        };
        let fleet = Fleet::start(1).await;
        fleet.publish(1, 1_000_000).await;
        let on = Arc::new(AtomicBool::new(true));
        let pausing = RawEndpoint::start(script(refusal, "retry-after: 2\r\n", &on))
            .await
            .unwrap();
        fleet.announce("e", pausing.addr, service);
        fleet.send(0, path, "first").await;
        let began = Instant::now();
        on.store(false, Ordering::Relaxed);
        assert_eq!(count(&pausing.request_count), 1, "{path}");
        while began.elapsed() < PAUSE - Duration::from_millis(200) {
            let reply = fleet.try_send(0, path, "again").await;
            assert_eq!(reply.status, 503, "{path}");
            let text = reply.text();
            assert!(text.contains("endpoints_paused"), "{path}: {text}");
            assert!(text.contains(r#""run":"no""#), "{path}: {text}");
            let after = reply.header("retry-after").unwrap().parse::<u64>().unwrap();
            assert!(after <= PAUSE.as_secs(), "{path}: {after}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(count(&pausing.request_count), 1, "{path}");
        // The return is spread over half a second.
        let metrics = fleet.relays[0].metrics();
        let left = (PAUSE + Duration::from_millis(600)).saturating_sub(began.elapsed());
        tokio::time::sleep(left).await;
        assert_eq!(fleet.try_send(0, path, "later").await.status, 200, "{path}");
        assert!(metrics.text().contains(r#"notices_total{kind="pause"} 1"#));
    }
}

/// Guards against a request that waits or fails although another endpoint takes it, and
/// against a retry budget that is charged for what isn't sent.
#[tokio::test(flavor = "multi_thread")]
async fn others_take_the_requests_of_an_endpoint_that_asks_for_a_pause() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let (on, off) = (
        Arc::new(AtomicBool::new(true)),
        Arc::new(AtomicBool::new(false)),
    );
    let pausing = RawEndpoint::start(script(refusal, "retry-after: 60\r\n", &on))
        .await
        .unwrap();
    let other = RawEndpoint::start(script(refusal, "", &off)).await.unwrap();
    fleet.announce("e", pausing.addr, "plain");
    let first = fleet.send(0, "/any/x", "first").await;
    assert_eq!(first.status, 503);
    fleet.announce("f", other.addr, "plain");
    for _ in 0..200 {
        if fleet.try_send(0, "/any/x", "other").await.status == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for n in 0..30 {
        let reply = fleet.try_send(0, "/any/x", &format!("n{n}")).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert_eq!(count(&pausing.request_count), 1);
}
