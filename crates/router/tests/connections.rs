//! Bounds of callers' connections.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Guards against callers that keep connections open without a request: a
/// header that never ends, one byte now and then, and silence.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_header_ends_its_connection() {
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
        let begun = Instant::now();
        let (mut reader, mut writer) = TcpStream::connect(addr).await.unwrap().into_split();
        writer.write_all(start.as_bytes()).await.unwrap();
        let writing = tokio::spawn(async move {
            while trickle && writer.write_all(b"y").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            // Keeps its half open.
            tokio::time::sleep(LIMIT).await;
            drop(writer);
        });
        let mut answer = Vec::new();
        let end = tokio::time::timeout(LIMIT, reader.read_to_end(&mut answer)).await;
        assert!(end.is_ok(), "{name}: still open");
        let took = begun.elapsed();
        assert!(took >= Duration::from_millis(350), "{name}: {took:?}");
        assert!(took < Duration::from_secs(2), "{name}: {took:?}");
        writing.abort();
    }
    wait(|| fleet.routers[0].metrics().connections.get() == 0).await;
    // A long answer is not cut by the limit on headers.
    let mut options = engine("slow");
    options.tokens = 100;
    options.token_delay = Duration::from_millis(20);
    let _slow = fleet.fake(options).await;
    for _ in 0..4 {
        let reply = chat("long", true).send(addr, LIMIT).await.unwrap();
        assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
    }
}

/// Guards against connections without bound, and against a bound whose places
/// are not free again after the connections ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_are_bounded() {
    let fleet = Fleet::start_with(1, 1_000_000, |o| o.connections.max_connections = 8).await;
    let _fake = fleet.fake(engine("e1")).await;
    let addr = fleet.addr(0);
    let metrics = fleet.routers[0].metrics();
    // The fake announces itself over connections of its own, some of which may
    // hold places; they are refused too while these are taken.
    let mut held = Vec::new();
    while metrics.connections_refused.get() == 0 {
        held.push(TcpStream::connect(addr).await.unwrap());
        assert!(held.len() < 64, "more connections than the bound");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(metrics.connections.get() <= 8);
    let mut over = TcpStream::connect(addr).await.unwrap();
    let mut answer = String::new();
    over.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains(r#""run":"no""#), "{answer}");
    drop(held);
    wait(|| metrics.connections.get() < 7).await;
    let reply = chat("after", false).send(addr, LIMIT).await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.text());
}
