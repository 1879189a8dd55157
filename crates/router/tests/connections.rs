//! Limits of callers' connections.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Guards against callers that keep connections open without a request, by an
/// unfinished header, by single bytes sent slowly, or by sending nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_without_a_request_are_closed() {
    let fleet = Fleet::start_with(1, 1_000_000, |o| {
        o.connections.header_timeout = Duration::from_millis(400);
    })
    .await;
    let _fake = fleet.fake(engine("e1")).await;
    let addr = fleet.addr(0);
    for (name, start, trickle) in [
        ("silent", "", false),
        ("unfinished", "GET /healthz HTTP/1.1\r\nhost: r\r\n", false),
        ("trickle", "GET /healthz HTTP/1.1\r\nx: ", true),
        (
            "idle after an answer",
            "GET /healthz HTTP/1.1\r\nhost: r\r\n\r\n",
            false,
        ),
    ] {
        let started_at = Instant::now();
        let (mut reader, mut writer) = TcpStream::connect(addr).await.unwrap().into_split();
        writer.write_all(start.as_bytes()).await.unwrap();
        let writing = tokio::spawn(async move {
            while trickle && writer.write_all(b"y").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            // Keeps the sending half open.
            tokio::time::sleep(TIMEOUT).await;
            drop(writer);
        });
        let mut answer = Vec::new();
        let end = tokio::time::timeout(TIMEOUT, reader.read_to_end(&mut answer)).await;
        assert!(end.is_ok(), "{name}: still open");
        let elapsed = started_at.elapsed();
        assert!(elapsed >= Duration::from_millis(350), "{name}: {elapsed:?}");
        assert!(elapsed < Duration::from_secs(2), "{name}: {elapsed:?}");
        writing.abort();
    }
    wait_until(|| fleet.routers[0].metrics().connections.get() == 0).await;
    // The header timeout doesn't interrupt a long answer.
    let mut options = engine("slow");
    options.tokens = 100;
    options.token_delay = Duration::from_millis(20);
    let _slow = fleet.fake(options).await;
    for _ in 0..4 {
        let reply = chat("long", true).send(addr, TIMEOUT).await.unwrap();
        assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
    }
}

/// Guards against an unbounded number of connections, and against connections
/// that still count after they have ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn number_of_connections_is_limited() {
    let fleet = Fleet::start_with(1, 1_000_000, |o| o.connections.max_connections = 8).await;
    let _fake = fleet.fake(engine("e1")).await;
    let addr = fleet.addr(0);
    let metrics = fleet.routers[0].metrics();
    // The fake endpoint announces itself over its own connections. They count
    // towards the limit, and are refused as well when it is reached.
    let mut held = Vec::new();
    while metrics.connections_refused.get() == 0 {
        held.push(TcpStream::connect(addr).await.unwrap());
        assert!(held.len() < 64, "more connections than the limit");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(metrics.connections.get() <= 8);
    let mut refused = TcpStream::connect(addr).await.unwrap();
    let mut answer = String::new();
    refused.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains(r#""run":"no""#), "{answer}");
    drop(held);
    wait_until(|| metrics.connections.get() < 7).await;
    let reply = chat("after", false).send(addr, TIMEOUT).await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.text());
}
