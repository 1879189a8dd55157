//! Guards against connections that use up all file descriptors of a control
//! member.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilloft_control::admin::Admin;
use anvilloft_control::admin::AdminOptions;
use anvilloft_control::admin::ConnectionLimits;
use anvilloft_control::admin::Server;
use anvilloft_telemetry::Metrics;
use slog::Discard;
use slog::Logger;
use slog::o;
use support::OneLedger;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

async fn start(limits: ConnectionLimits) -> (SocketAddr, watch::Sender<bool>) {
    let options = AdminOptions {
        timeout: Duration::from_secs(1),
        max_body_bytes: 1024,
        operator_hash: None,
    };
    let log = Logger::root(Discard, o!());
    let server = Server {
        admin: Arc::new(Admin::new(
            Arc::new(OneLedger::default()),
            options,
            log.clone(),
        )),
        metrics: Metrics::new().unwrap(),
        ready: Arc::new(|| (true, "ready".to_owned())),
        limits,
        log,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(server.serve(listener, stopped).unwrap());
    (address, stop)
}

/// Sends a request and returns the response, or what was read within 3 s.
async fn send_request(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(request.as_bytes()).await;
    let mut response = Vec::new();
    let _ = timeout(Duration::from_secs(3), stream.read_to_end(&mut response)).await;
    String::from_utf8_lossy(&response).into_owned()
}

const HEALTH: &str = "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";

#[tokio::test]
async fn connections_beyond_the_limit_are_refused_until_one_ends() {
    let limits = ConnectionLimits {
        max_connections: 2,
        max_lifetime: Duration::from_secs(60),
    };
    let (address, _stop) = start(limits).await;
    let idle = TcpStream::connect(address).await.unwrap();
    let mut partial = TcpStream::connect(address).await.unwrap();
    partial.write_all(b"GET /healthz HT").await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(send_request(address, HEALTH).await, "");
    drop(idle);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(
        send_request(address, HEALTH)
            .await
            .starts_with("HTTP/1.1 200")
    );
}

#[tokio::test]
async fn a_connection_with_an_unfinished_request_is_closed() {
    let limits = ConnectionLimits {
        max_connections: 1,
        max_lifetime: Duration::from_millis(400),
    };
    let (address, _stop) = start(limits).await;
    let mut partial = TcpStream::connect(address).await.unwrap();
    partial.write_all(b"GET /healthz HT").await.unwrap();
    let mut buf = [0; 16];
    let read = timeout(Duration::from_secs(3), partial.read(&mut buf)).await;
    assert!(matches!(read, Ok(Ok(0) | Err(_))), "{read:?}");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(
        send_request(address, HEALTH)
            .await
            .starts_with("HTTP/1.1 200")
    );
}

#[tokio::test]
async fn a_body_beyond_the_limit_is_refused() {
    let limits = ConnectionLimits {
        max_connections: 4,
        max_lifetime: Duration::from_secs(60),
    };
    let (address, _stop) = start(limits).await;
    let body = "x".repeat(2_000);
    let request =
        format!("POST /admin/v1/changes HTTP/1.1\r\nhost: x\r\ncontent-length: 2000\r\n\r\n{body}");
    let response = send_request(address, &request).await;
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
}
