//! Planned stops of a relay.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::Step;
use anvilloft_fakes::raw::whole_answer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::common::CALL_TIMEOUT;
use crate::common::Fleet;
use crate::common::call;
use crate::common::eventually;
use crate::common::send;

/// Guards against a short planned stop that cuts off an answer long before its end, to
/// keep time for returning tokens.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_planned_stop_waits_for_answers_for_most_of_its_time() {
    const LIMIT: Duration = Duration::from_secs(3);
    let mut fleet = Fleet::start_with(1, |o| o.drain(Duration::from_millis(100), LIMIT)).await;
    fleet.publish(1, 100_000).await;
    let slow = RawEndpoint::start(|s| {
        let wait = match s.attempt.as_str() {
            "slow" => LIMIT * 4 / 5,
            _ => Duration::ZERO,
        };
        vec![Step::Wait(wait), send(whole_answer(&s.attempt, "done"))]
    });
    let slow = slow.await.unwrap();
    fleet.announce("e", slow.addr, "plain");
    fleet.send(0, "/once/x", "warm").await;
    let relay = fleet.relays.remove(0);
    let address = relay.address();
    let call = call("/once/x", "body", "slow");
    let answer = tokio::spawn(async move { call.send(address, CALL_TIMEOUT).await });
    let count = Arc::clone(&slow.request_count);
    eventually("the endpoint has the request", || {
        count.load(Ordering::Relaxed) == 2
    })
    .await;
    let started = Instant::now();
    let drained = relay.drain().await;
    // The process would end now, and with it the connection.
    let elapsed = started.elapsed();
    assert!(elapsed > LIMIT * 3 / 4, "no answer yet: {elapsed:?}");
    assert!(drained && elapsed < LIMIT, "not settled: {elapsed:?}");
    assert_eq!(answer.await.unwrap().unwrap().text(), "done");
}

/// Guards against a relay whose control thread has ended by a panic, and that stays ready
/// with an old table.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_without_its_control_thread_is_not_ready() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000).await;
    let relay = &fleet.relays[0];
    let is_running = tokio::time::timeout(CALL_TIMEOUT / 50, relay.wait_for_failure());
    assert!(is_running.await.is_err(), "the control thread runs");
    // The adapter of these tests panics at this idle limit.
    fleet.put_source(2, 1_000, "2 1000 x").await;
    let is_ready = relay.readiness();
    eventually("the relay isn't ready", || !is_ready()).await;
    let failed = tokio::time::timeout(CALL_TIMEOUT, relay.wait_for_failure());
    assert!(failed.await.is_ok(), "the failure is reported");
}

/// Guards against a request whose connection is closed without an answer at the end of a
/// planned stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_an_answer_is_refused_at_the_end_of_a_planned_stop() {
    const LIMIT: Duration = Duration::from_millis(1_500);
    for path in ["/once/x", "/any/x", "/stream/x"] {
        let mut fleet = Fleet::start_with(1, |o| o.drain(Duration::from_millis(100), LIMIT)).await;
        fleet.publish(1, 100_000).await;
        let slow = RawEndpoint::start(|_| vec![Step::Wait(CALL_TIMEOUT)]).await;
        let slow = slow.unwrap();
        for service in ["plain", "engines"] {
            fleet.announce(service, slow.addr, service);
        }
        let relay = fleet.relays.remove(0);
        let address = relay.address();
        let call = call(path, "body", "slow");
        let answer = tokio::spawn(async move {
            loop {
                let reply = call.clone().send(address, CALL_TIMEOUT).await.unwrap();
                if !reply.text().contains("no_endpoint") {
                    return reply;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
        let count = Arc::clone(&slow.request_count);
        eventually("the endpoint has the request", || {
            count.load(Ordering::Relaxed) == 1
        })
        .await;
        let started = Instant::now();
        relay.drain().await;
        let elapsed = started.elapsed();
        assert!(
            elapsed > LIMIT / 2 && elapsed <= LIMIT + LIMIT / 5,
            "{path}: {elapsed:?}"
        );
        let reply = answer.await.unwrap();
        assert_eq!(reply.status, 502, "{path}: {}", reply.text());
        assert!(reply.text().contains("\"run\":\"unknown\""), "{path}");
    }
}

/// Guards against a request that gets neither an answer nor a refusal, as its router was
/// paused until after the end of a planned stop.
#[rstest::rstest]
#[tokio::test]
async fn a_pause_over_the_end_of_a_planned_stop_leaves_time_for_refusals(
    #[values("/once/x", "/any/x", "/stream/x")] path: &'static str,
) {
    const LIMIT: Duration = Duration::from_millis(1_500);
    let mut fleet = Fleet::start_with(1, |o| o.drain(Duration::from_millis(100), LIMIT)).await;
    fleet.publish(1, 100_000).await;
    let slow = RawEndpoint::start(|_| vec![Step::Wait(CALL_TIMEOUT)]).await;
    let slow = slow.unwrap();
    for service in ["plain", "engines"] {
        fleet.announce(service, slow.addr, service);
    }
    let relay = fleet.relays.remove(0);
    let address = relay.address();
    let answer = tokio::spawn(async move {
        loop {
            let reply = call(path, "body", "slow").send(address, CALL_TIMEOUT).await;
            match reply {
                Ok(reply) if reply.text().contains("no_endpoint") => {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                reply => return reply,
            }
        }
    });
    let count = Arc::clone(&slow.request_count);
    eventually("the endpoint has the request", || {
        count.load(Ordering::Relaxed) == 1
    })
    .await;
    tokio::spawn(async {
        tokio::time::sleep(LIMIT / 2).await;
        // Stops the only thread that serves callers.
        std::thread::sleep(LIMIT);
    });
    let metrics = Arc::clone(relay.metrics());
    relay.drain().await;
    // The process ends here.
    assert_eq!(metrics.in_flight.get(), 0, "requests without an end");
    let reply = answer.await.unwrap().unwrap();
    assert_eq!(reply.status, 502, "{}", reply.text());
    assert!(reply.text().contains("\"run\":\"unknown\""));
}

/// Guards against a request that is told it may have run, although the planned stop ended
/// while its body was still arriving.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_was_not_sent_is_refused_as_not_run_at_the_end_of_a_planned_stop() {
    const LIMIT: Duration = Duration::from_secs(2);
    let mut fleet = Fleet::start_with(1, |o| o.drain(Duration::from_millis(100), LIMIT)).await;
    fleet.publish(1, 100_000).await;
    let relay = fleet.relays.remove(0);
    let mut caller = TcpStream::connect(relay.address()).await.unwrap();
    let head = "POST /once/x HTTP/1.1\r\nhost: 127.0.0.1\r\nx-key: k\r\n\
                x-anvilloft-attempt: half\r\ncontent-length: 4\r\n\r\nbo";
    caller.write_all(head.as_bytes()).await.unwrap();
    let metrics = Arc::clone(relay.metrics());
    eventually("the relay has the request", || metrics.in_flight.get() == 1).await;
    let read = tokio::spawn(async move {
        let mut buf = vec![0; 4_096];
        let len = caller.read(&mut buf).await.unwrap();
        String::from_utf8_lossy(&buf[..len]).into_owned()
    });
    relay.drain().await;
    let answer = read.await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains(r#""run":"no""#), "{answer}");
}

/// A request that arrives at a moment of a planned stop.
struct LateRequest {
    path: &'static str,
    /// How long the caller waits, and how long the endpoint takes.
    wait: Duration,
    takes: Duration,
    /// When it arrives after the begin of the stop.
    at: Duration,
    status: u16,
}

const fn late(path: &'static str, wait: u64, takes: u64, at: u64, status: u16) -> LateRequest {
    LateRequest {
        path,
        wait: Duration::from_millis(wait),
        takes: Duration::from_millis(takes),
        at: Duration::from_millis(at),
        status,
    }
}

/// Requests in a stop of 3 s, of which new requests are accepted for 1 s. Answers have
/// until about 2.6 s.
const LATE_REQUESTS: &[LateRequest] = &[
    late("/once/x", 1_000, 100, 100, 200),
    late("/once/x", 1_000, 900, 800, 200),
    late("/once/x", 4_000, 3_500, 100, 503),
    late("/once/x", 4_000, 3_500, 900, 503),
    late("/once/x", 500, 100, 1_200, 503),
    late("/any/x", 4_000, 100, 800, 200),
    late("/any/x", 4_000, 100, 1_500, 503),
    late("/any/x", 4_000, 100, 2_400, 503),
];

/// Guards against requests that are passed on late in a planned stop and cut off at its
/// end, although they may not be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn requests_late_in_a_planned_stop_are_answered_or_refused_as_not_run() {
    const LIMIT: Duration = Duration::from_secs(3);
    let accept = Duration::from_secs(1);
    let mut fleet = Fleet::start_with(1, |o| o.drain(accept, LIMIT)).await;
    fleet.publish(1, 1_000_000).await;
    let ep = RawEndpoint::start(|req| {
        let takes = req
            .body
            .parse()
            .map_or(Duration::ZERO, Duration::from_millis);
        vec![Step::Wait(takes), send(whole_answer(&req.attempt, "done"))]
    });
    let ep = ep.await.unwrap();
    fleet.announce("e", ep.addr, "plain");
    fleet.send(0, "/any/x", "warm").await;
    let relay = fleet.relays.remove(0);
    let address = relay.address();
    // Open connections go on to bring requests when no new ones are taken.
    let mut callers = Vec::new();
    for (n, req) in LATE_REQUESTS.iter().enumerate() {
        let warm = call("/any/x", "0", &format!("warm-{n}")).keep_alive();
        let mut open = warm.open(address).await.unwrap();
        assert_eq!(open.read_reply(CALL_TIMEOUT).await.status, 200);
        callers.push(tokio::spawn(async move {
            tokio::time::sleep(req.at).await;
            let body = req.takes.as_millis().to_string();
            let call = call(req.path, &body, &format!("late-{n}"))
                .header("x-wait-ms", &req.wait.as_millis().to_string())
                .keep_alive();
            // The relay may have closed the idle connection, which says "not run", too.
            if open.send_next(&call).await.is_err() {
                return None;
            }
            Some(open.read_reply(CALL_TIMEOUT).await)
        }));
    }
    let started = Instant::now();
    relay.drain().await;
    assert!(
        started.elapsed() <= LIMIT + LIMIT / 5,
        "{:?}",
        started.elapsed()
    );
    for (req, caller) in LATE_REQUESTS.iter().zip(callers) {
        let LateRequest { path, at, .. } = req;
        let Some(reply) = caller.await.unwrap() else {
            assert_eq!(req.status, 503, "{path} at {at:?}: closed");
            continue;
        };
        let was_closed = reply.status == 0 && req.status == 503;
        assert!(
            reply.status == req.status || was_closed,
            "{path} at {at:?}: {} {}",
            reply.status,
            reply.text()
        );
        if reply.status == 503 {
            assert!(reply.text().contains(r#""run":"no""#), "{path} at {at:?}");
        }
    }
    let warm_count = 1 + LATE_REQUESTS.len() as u64;
    let answered = LATE_REQUESTS.iter().filter(|r| r.status == 200).count() as u64;
    // What was refused never reached the endpoint.
    assert_eq!(
        ep.request_count.load(Ordering::Relaxed),
        warm_count + answered
    );
}
