//! Requests whose deadline passes while an endpoint has them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::Step;
use anvilloft_fakes::raw::whole_answer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::common::CALL_TIMEOUT;
use crate::common::Fleet;
use crate::common::call;
use crate::common::chunk;
use crate::common::send;
use crate::common::stream_head;

/// Requests that follow each short one. They reach both endpoints, but for a chance of one
/// in millions.
const FOLLOWERS: usize = 24;

/// Returns a listener whose backlog is full, so that further connections wait.
async fn unaccepting_listener() -> (TcpListener, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let connects = (0..8).map(|_| timeout(Duration::from_millis(100), TcpStream::connect(address)));
    let waiting = futures::future::join_all(connects).await;
    assert!(
        waiting.iter().any(Result::is_err),
        "the backlog is not full"
    );
    (listener, address)
}

/// Guards against a sound endpoint that is avoided because a caller waits for less time
/// than the rest of the answer takes.
#[rstest::rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_short_deadline_is_no_failure_of_the_endpoint(#[values("/any/x", "/once/x")] path: &str) {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let counts = [Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0))];
    for (name, count) in ["e1", "e2"].into_iter().zip(&counts) {
        let count = Arc::clone(count);
        let endpoint = RawEndpoint::start(move |req| {
            let answer = whole_answer(&req.attempt, "done");
            if !req.attempt.starts_with("short") {
                count.fetch_add(1, Ordering::Relaxed);
                return vec![send(answer)];
            }
            let (head, body) = answer.split_at(answer.len() - 4);
            vec![
                send(head),
                Step::Wait(Duration::from_millis(400)),
                send(body),
            ]
        });
        let endpoint = endpoint.await.unwrap();
        fleet.announce(name, endpoint.addr, "plain");
    }
    while counts.iter().any(|n| n.load(Ordering::Relaxed) == 0) {
        assert_eq!(fleet.send(0, path, "warm").await.status, 200);
    }
    for n in 0..4 {
        let short = call(path, "body", &format!("short-{n}")).header("x-wait-ms", "150");
        let reply = short.send(fleet.relays[0].address(), CALL_TIMEOUT).await;
        assert_eq!(reply.unwrap().status, 504);
        counts.iter().for_each(|n| n.store(0, Ordering::Relaxed));
        for m in 0..FOLLOWERS {
            let reply = fleet.try_send(0, path, &format!("f{n}-{m}")).await;
            assert_eq!(reply.status, 200, "{}", reply.text());
        }
        let served: Vec<u64> = counts.iter().map(|n| n.load(Ordering::Relaxed)).collect();
        assert!(!served.contains(&0), "after short request {n}: {served:?}");
    }
}

/// Guards against a connection that can't be opened and holds its request past the
/// deadline.
#[rstest::rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_is_not_accepted_holds_no_request_past_its_deadline(
    #[values("/any/x", "/once/x", "/stream/x")] path: &str,
) {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let (_listener, address) = unaccepting_listener().await;
    for service in ["plain", "engines"] {
        fleet.announce(&format!("full-{service}"), address, service);
    }
    while fleet.send(0, path, "warm").await.status == 429 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut shortest = Duration::MAX;
    for n in 0..5 {
        let short = call(path, "body", &format!("short-{n}")).header("x-wait-ms", "100");
        let started = Instant::now();
        let reply = short.send(fleet.relays[0].address(), CALL_TIMEOUT).await;
        shortest = shortest.min(started.elapsed());
        let reply = reply.unwrap();
        assert_eq!(reply.status, 503, "{}", reply.text());
        assert!(!reply.text().contains("no_endpoint"));
    }
    assert!(shortest < Duration::from_millis(250), "{shortest:?}");
}

/// Streams events without end. Returns how long the connection lasted.
async fn flood(listener: TcpListener) -> Duration {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buf = vec![0; 4_096];
    let len = stream.read(&mut buf).await.unwrap();
    let started = Instant::now();
    let head = String::from_utf8_lossy(&buf[..len]).to_ascii_lowercase();
    let id = head.split("x-anvilloft-attempt: ").nth(1).unwrap();
    let id = id.split("\r\n").next().unwrap();
    stream.write_all(stream_head(id).as_bytes()).await.unwrap();
    let data = "x".repeat(16_000);
    for n in 1.. {
        let event = chunk(&format!("id: {n}\ndata: {data}\n\n"));
        if stream.write_all(event.as_bytes()).await.is_err() {
            break;
        }
    }
    started.elapsed()
}

/// Guards against a caller that reads nothing and so holds an endpoint past its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_stops_reading_holds_no_endpoint_past_its_deadline() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    fleet.announce("e1", listener.local_addr().unwrap(), "engines");
    let flooded = tokio::spawn(flood(listener));
    let wait = Duration::from_millis(1_500);
    let call = call("/stream/x", "body", "held").header("x-wait-ms", "1500");
    let open = loop {
        let mut open = call.open(fleet.relays[0].address()).await.unwrap();
        if open.read_until("id: 1\n", CALL_TIMEOUT).await {
            break open;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let lasted = timeout(wait * 3, flooded).await;
    drop(open);
    let lasted = lasted.expect("the endpoint is held").unwrap();
    assert!(lasted > wait / 2, "{lasted:?}");
}
