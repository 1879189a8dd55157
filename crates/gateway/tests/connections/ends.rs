//! Ends of connections whose requests have no complete answer.

use std::sync::Arc;
use std::time::Duration;

use anvilloft_gateway::metrics::Metrics;
use anvilloft_gateway::serve::ConnectionLimits;
use slog::Logger;
use slog::o;
use tokio::io::AsyncReadExt;

use crate::common::CapturedLog;
use crate::common::GaugeAtLine;
use crate::common::LARGE_BYTES;
use crate::common::Server;
use crate::common::head;

/// Waits until a condition holds.
async fn eventually(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..300 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting until {what}");
}

/// Guards against a panic of a handler that ends the connection without an answer, and
/// against a connection that is counted as open for ever, which delays a planned stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_panic_is_answered_and_harms_no_other_request() {
    let server = Server::start(ConnectionLimits::default()).await;
    let mut other = server.connect().await;
    assert_eq!(other.get("/first").await.unwrap().status, 200);
    let mut caller = server.connect().await;
    let answer = caller.get("/panic").await;
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.close), (500, false));
    assert!(
        answer.body.contains("\"run\":\"unknown\""),
        "{}",
        answer.body
    );
    assert_eq!(caller.get("/next").await.unwrap().status, 200);
    assert_eq!(other.get("/next").await.unwrap().status, 200);
    drop((caller, other));
    let connections = &server.metrics.connections;
    eventually("all connections have ended", || connections.get() == 0).await;
}

/// Guards against a connection that ends without a trace while a request on it has no
/// complete answer, and against such traces of requests that were answered.
#[tokio::test(flavor = "multi_thread")]
async fn an_early_end_of_a_connection_is_logged_and_counted() {
    struct Case {
        bytes: &'static [u8],
        /// Whether the caller leaves, or waits for the end.
        leaves: bool,
        cause: Option<&'static str>,
        id: &'static str,
    }
    let cases = [
        Case {
            bytes: b"POST /hang HTTP/1.1\r\nhost: h\r\nx-anvilloft-attempt: a1\r\n\r\n",
            leaves: true,
            cause: Some("caller_left"),
            id: "a1",
        },
        Case {
            bytes: b"POST /next HTTP/1.1\r\nhost: h\r\nx-anvilloft-attempt: a2\r\n",
            leaves: true,
            cause: Some("caller_left"),
            id: "",
        },
        Case {
            bytes: b"POST /next HTTP/1.1\r\nhost: h\r\nx-anvilloft-attempt: a3\r\n",
            leaves: false,
            cause: Some("header_timeout"),
            id: "",
        },
        Case {
            bytes: b"this is no request\r\n\r\n",
            leaves: false,
            cause: Some("protocol_error"),
            id: "",
        },
        Case {
            bytes: b"POST /panic-in-body HTTP/1.1\r\nhost: h\r\nx-anvilloft-attempt: a5\r\n\r\n",
            leaves: false,
            cause: Some("panicked"),
            id: "a5",
        },
        Case {
            bytes: b"POST /next HTTP/1.1\r\nhost: h\r\n\r\n",
            leaves: true,
            cause: None,
            id: "",
        },
        Case {
            bytes: b"HEAD /next HTTP/1.1\r\nhost: h\r\n\r\n",
            leaves: true,
            cause: None,
            id: "",
        },
        Case {
            bytes: b"",
            leaves: false,
            cause: None,
            id: "",
        },
    ];
    let limits = ConnectionLimits {
        header_timeout: Duration::from_millis(1_000),
        ..ConnectionLimits::default()
    };
    let run = cases.map(|c| async move {
        let log = CapturedLog::default();
        let server = Server::start_logging(limits, log.logger()).await;
        let mut caller = server.connect().await;
        caller.write(c.bytes).await.unwrap();
        if c.leaves {
            tokio::time::sleep(Duration::from_millis(200)).await;
            drop(caller);
        } else {
            caller.closed().await;
        }
        let connections = &server.metrics.connections;
        eventually("the connection has ended", || connections.get() == 0).await;
        let lines = log.lines("connection ended early");
        let Some(cause) = c.cause else {
            assert!(lines.is_empty(), "{lines:?}");
            return;
        };
        let ends = &server.metrics.connection_ends;
        assert_eq!(
            ends.with_label_values(&[cause]).get(),
            1,
            "{cause}: {lines:?}"
        );
        let (cause, id) = (format!("cause={cause};"), format!("request={};", c.id));
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert!(
            lines[0].contains(&cause) && lines[0].contains(&id),
            "{lines:?}"
        );
    });
    futures::future::join_all(run).await;
}

/// Guards against a planned stop that exits before the end of the last connection is
/// logged, as it waits only for open connections.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_counts_as_open_until_its_end_is_logged() {
    let metrics = Arc::new(Metrics::new().unwrap());
    let open = GaugeAtLine {
        message: "connection ended early",
        gauge: metrics.connections.clone(),
        values: Arc::default(),
    };
    let log = Logger::root(open.clone(), o!());
    let server = Server::start_with(ConnectionLimits::default(), metrics, log).await;
    let mut caller = server.connect().await;
    caller.write(&head("/hang", "")).await.unwrap();
    drop(caller);
    let values = &open.values;
    eventually("the end is logged", || !values.lock().unwrap().is_empty()).await;
    assert_eq!(*values.lock().unwrap(), [1]);
}

/// Guards against a panic while a body is sent that makes the answer look complete, or
/// leaves the connection counted as open.
#[tokio::test(flavor = "multi_thread")]
async fn a_panic_in_a_body_breaks_the_answer_off() {
    let server = Server::start(ConnectionLimits::default()).await;
    let mut caller = server.connect().await;
    caller.write(&head("/panic-in-body", "")).await.unwrap();
    let text = String::from_utf8(caller.closed().await).unwrap();
    assert!(!text.contains("\r\n0\r\n"), "{text}");
    let connections = &server.metrics.connections;
    eventually("the connection has ended", || connections.get() == 0).await;
}

/// Guards against a connection that is closed before its idle limit, by a limit that
/// counts while the answer before is still on its way, and against one that closes
/// within a header that still arrives in time.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_limit_counts_only_idle_time() {
    let limits = ConnectionLimits {
        header_timeout: Duration::from_millis(1_000),
        ..ConnectionLimits::default()
    };
    let server = Server::start(limits).await;
    // A caller that is slow to read a large answer.
    let mut slow = server.connect().await;
    slow.write(&head("/large", "")).await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut read = 0;
    let mut buf = vec![0; 64 * 1024];
    while read < LARGE_BYTES {
        match slow.0.read(&mut buf).await {
            Ok(len @ 1..) => read += len,
            other => panic!("{other:?} after {read} of {LARGE_BYTES} bytes"),
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    // A header whose second half arrives late, on a kept connection.
    let mut late = server.connect().await;
    assert_eq!(late.get("/first").await.unwrap().status, 200);
    tokio::time::sleep(Duration::from_millis(800)).await;
    let request = head("/next", "");
    let (first, second) = request.split_at(request.len() / 2);
    late.write(first).await.unwrap();
    tokio::time::sleep(Duration::from_millis(600)).await;
    late.write(second).await.unwrap();
    assert_eq!(late.read().await.map(|a| a.status), Ok(200));
}

/// Guards against a planned stop that closes a connection within the header of a request.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_answers_a_request_whose_header_it_has_begun_to_read() {
    for is_kept in [false, true] {
        let server = Server::start(ConnectionLimits::default()).await;
        let mut caller = server.connect().await;
        if is_kept {
            assert_eq!(caller.get("/first").await.unwrap().status, 200);
        }
        let request = head("/next", "");
        let (first, second) = request.split_at(request.len() / 2);
        caller.write(first).await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        server.stop.cancel();
        server.finish.cancel();
        tokio::time::sleep(Duration::from_millis(100)).await;
        caller.write(second).await.unwrap();
        let answer = caller.read().await;
        assert_eq!(
            answer.map(|a| (a.status, a.close)),
            Ok((200, true)),
            "{is_kept}"
        );
        caller.closed().await;
    }
}
