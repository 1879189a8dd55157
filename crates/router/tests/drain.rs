//! Requests that a planned stop meets.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_router::Router;
use anvilloft_router::core::Phase;
use anvilloft_wire::config::DefaultValue;
use anvilloft_wire::config::Item;
use common::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time for which a router that has closed its incarnation would be gone if it didn't
/// wait for its callers.
const AFTER_CLOSE: Duration = Duration::from_millis(400);

/// Starts a router that accepts requests for a second after its drain has begun.
async fn start() -> Fleet {
    let fleet = Fleet::start(1, 1_000_000).await;
    fleet.control.set_items(vec![Item::Default(DefaultValue {
        name: "keep_ms".into(),
        value: 1000,
    })]);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    fleet
}

async fn wait_for(router: &Router, wanted: Phase) {
    let mut phase = router.phase();
    let reached = phase.wait_for(|p| *p == wanted);
    tokio::time::timeout(TIMEOUT, reached)
        .await
        .unwrap()
        .unwrap();
}

/// Returns the bytes of a chat completion on a connection that is kept.
fn raw_chat() -> String {
    let body = r#"{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5}"#;
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Opens a connection and sends all of a request but its last `kept` bytes.
async fn begin_request(addr: SocketAddr, kept: usize) -> (TcpStream, String) {
    let request = raw_chat();
    let (sent, rest) = request.split_at(request.len() - kept);
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(sent.as_bytes()).await.unwrap();
    (stream, rest.to_owned())
}

async fn read_to_end(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut answer)).await;
    read.unwrap().ok();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a planned stop that cuts off a request whose body ends after the
/// last request in flight.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_arrives_across_a_planned_stop_is_answered() {
    let mut fleet = start().await;
    let fake = fleet.fake(engine("e1")).await;
    let (mut stream, rest) = begin_request(fleet.addr(0), 10).await;
    let router = fleet.routers.remove(0);
    router.start_drain();
    wait_for(&router, Phase::Closed).await;
    let drain = tokio::spawn(router.drain(TIMEOUT));
    tokio::time::sleep(AFTER_CLOSE).await;
    stream.write_all(rest.as_bytes()).await.unwrap();
    let answer = read_to_end(stream).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert!(answer.contains(r#""run":"no""#), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(drain.await.unwrap(), "not drained");
    drop(fake);
}

/// Guards against a planned stop that waits for callers without a request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_closes_idle_connections_at_its_end() {
    let mut fleet = start().await;
    let fake = fleet.fake(engine("e1")).await;
    let addr = fleet.addr(0);
    let silent = TcpStream::connect(addr).await.unwrap();
    let (mut kept, _) = begin_request(addr, 0).await;
    let mut answer = [0; 12];
    kept.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"HTTP/1.1 200");
    let router = fleet.routers.remove(0);
    router.start_drain();
    wait_for(&router, Phase::Closed).await;
    let drain = tokio::spawn(router.drain(TIMEOUT));
    let ended = tokio::time::timeout(Duration::from_secs(1), drain).await;
    assert!(ended.expect("still waits").unwrap(), "not drained");
    assert_eq!(read_to_end(silent).await, "");
    drop((kept, fake));
}

/// Guards against a request that waits for tokens until the end of a planned stop, as
/// nothing refused it once the lease had expired.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_waiting_request_is_refused_when_a_stopping_router_loses_control() {
    let mut fleet = start().await;
    let fake = fleet.fake(engine("e1")).await;
    let addr = fleet.addr(0);
    let router = fleet.routers.remove(0);
    router.start_drain();
    wait_for(&router, Phase::Leaving).await;
    // By then control has recorded the drain.
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.control_cut_off[0].store(true, Ordering::Relaxed);
    let call = tokio::spawn(async move { chat("x", false).send(addr, TIMEOUT).await });
    wait_for(&router, Phase::Finishing).await;
    let drain = tokio::spawn(router.drain(TIMEOUT));
    let reply = call.await.unwrap().expect("no answer");
    assert_eq!(reply.status, 503, "{}", reply.text());
    assert_eq!(error(&reply), ("no".into(), "draining".into()));
    fleet.control_cut_off[0].store(false, Ordering::Relaxed);
    assert!(drain.await.unwrap(), "not drained");
    drop(fake);
}

/// Guards against a stop that cuts off a waiting request instead of refusing it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_waiting_request_is_refused_when_a_drain_is_interrupted() {
    let mut fleet = start().await;
    let fake = fleet.fake(engine("e1")).await;
    let addr = fleet.addr(0);
    fleet.control_cut_off[0].store(true, Ordering::Relaxed);
    let call = tokio::spawn(async move { chat("x", false).send(addr, TIMEOUT).await });
    let router = fleet.routers.remove(0);
    wait_until(|| router.metrics().in_flight.get() == 1).await;
    assert!(!router.drain(Duration::from_millis(300)).await);
    let reply = call.await.unwrap().expect("no answer");
    assert_eq!(
        error(&reply),
        ("no".into(), "stopping".into()),
        "{}",
        reply.text()
    );
    drop(fake);
}
