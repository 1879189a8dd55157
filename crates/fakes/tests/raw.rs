//! Tests for the endpoint that sends scripted bytes.

use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::Step;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Guards against a crashed endpoint that accepts a connection after its others have ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_endpoint_refuses_connections() {
    let mut accepted = 0;
    for _ in 0..500 {
        let endpoint = RawEndpoint::start(|_| vec![Step::Crash]).await.unwrap();
        let mut stream = TcpStream::connect(endpoint.addr).await.unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
        let read = stream.read(&mut [0; 1]).await;
        assert!(matches!(read, Ok(0) | Err(_)));
        accepted += u32::from(TcpStream::connect(endpoint.addr).await.is_ok());
    }
    assert_eq!(accepted, 0, "connections of 500 crashed endpoints");
}
