//! The client towards endpoints.

#![expect(
    clippy::unwrap_used,
    reason = "a failed set-up fails the test that uses it"
)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::Step;
use anvilloft_fakes::raw::whole_answer;
use anvilloft_gateway::client::Client;
use anvilloft_gateway::client::ClientError;
use anvilloft_gateway::client::Limits;
use anvilloft_gateway::client::SendError;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;

const GAP: Duration = Duration::from_millis(200);

async fn call(client: &Arc<Client>, addr: SocketAddr, attempt: u128) -> Result<Bytes, SendError> {
    let req = Request::post("/x")
        .body(Full::new(Bytes::from_static(b"{}")))
        .unwrap();
    let answer = client.send(addr, req, attempt, GAP, false).await?;
    answer.collect(GAP).await.map_err(|error| SendError {
        error,
        written: true,
    })
}

/// Guards against a connection opened for each request, and against one that
/// is used again although the peer closed it or sent something unasked.
#[tokio::test]
async fn connections_are_used_again_only_when_clean() {
    let endpoint = RawEndpoint::start(|seen| {
        let mut steps = vec![Step::Send(whole_answer(
            &seen.attempt,
            &seen.number.to_string(),
        ))];
        match seen.number {
            2 => steps.push(Step::Close),
            4 => {
                steps.push(Step::Wait(Duration::from_millis(5)));
                steps.push(Step::Send(whole_answer(&seen.attempt, "stray")));
            }
            _ => {}
        }
        steps
    })
    .await
    .unwrap();
    let client = Client::new(Limits::default(), 1024);
    for n in 0..8 {
        let body = call(&client, endpoint.addr, n).await.unwrap();
        assert_eq!(body, n.to_string());
        // The close after answer 2 may be seen together with it.
        assert!(client.idle_count() == 1 || n == 2, "after {n}");
        // The stray answer after number 4 must be there before the next call;
        // one that comes later is told by its attempt id, which other tests
        // cover.
        let pause = if n == 4 { 500 } else { 40 };
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    let idle = Limits {
        idle: Duration::from_millis(10),
        ..Limits::default()
    };
    let client = Client::new(idle, 1024);
    call(&client, endpoint.addr, 9).await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    client.close_idle();
    assert_eq!(client.idle_count(), 0);
}

/// Guards against a wrong word on whether anything was written, on which the
/// answer `run: no` rests (I4).
#[tokio::test]
async fn failures_say_whether_a_byte_was_written() {
    let closed = {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        listener.local_addr().unwrap()
    };
    let client = Client::new(Limits::default(), 16);
    let e = call(&client, closed, 1).await.unwrap_err();
    assert!(matches!(e.error, ClientError::Connect(_)));
    assert!(!e.written);

    let endpoint = RawEndpoint::start(|seen| match seen.number {
        0 => vec![Step::Close],
        1 => vec![Step::Wait(Duration::from_secs(5))],
        2 => vec![Step::Send(whole_answer("ffff", "x"))],
        3 => {
            let mut long = whole_answer(&seen.attempt, &"x".repeat(100));
            long.truncate(long.len() - 80);
            vec![Step::Send(long), Step::Wait(Duration::from_secs(5))]
        }
        4 => vec![
            Step::Send(b"HTTP/1.1 200 OK\r\nx-anvilloft-attempt: ".to_vec()),
            Step::Send(format!("{}\r\n\r\nx", seen.attempt).into_bytes()),
            Step::Close,
        ],
        _ => vec![
            Step::Send(
                format!(
                    "HTTP/1.1 200 OK\r\nx-anvilloft-attempt: {}\r\ncontent-length: 9\r\n\r\nx",
                    seen.attempt
                )
                .into_bytes(),
            ),
            Step::Wait(Duration::from_secs(5)),
        ],
    })
    .await
    .unwrap();
    let expected = [
        ClientError::Broken(String::new()),
        ClientError::Silent("answer"),
        ClientError::WrongAttempt,
        ClientError::TooLong,
        ClientError::NoEnd,
        ClientError::Silent("next piece"),
    ];
    for (n, wanted) in expected.into_iter().enumerate() {
        let e = call(&client, endpoint.addr, n as u128).await.unwrap_err();
        assert!(e.written, "case {n}");
        let same = std::mem::discriminant(&e.error) == std::mem::discriminant(&wanted);
        assert!(same, "case {n}: {:?}", e.error);
        assert_eq!(client.idle_count(), 0, "case {n} kept its connection");
    }
    assert_eq!(endpoint.request_count.load(Ordering::Relaxed), 6);
}
