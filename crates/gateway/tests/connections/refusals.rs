//! Refusals that are decided while a request's body still arrives.

use std::time::Duration;
use std::time::Instant;

use anvilloft_gateway::serve::ConnectionLimits;
use tokio::io::AsyncWriteExt;
use tokio::runtime::Runtime;

use crate::common::Caller;
use crate::common::STEP_TIMEOUT;
use crate::common::Server;
use crate::common::head;
use crate::common::read_answer;

/// Size of a refused body, in bytes.
const BODY_BYTES: usize = 600 * 1024;
/// Size of a body that is too large to be discarded on a kept connection, in bytes.
const HUGE_BYTES: usize = 6 * 1024 * 1024;
/// Parts in which a body is sent slowly.
const PARTS: usize = 12;
/// Pause after each part of a slowly sent body.
const PAUSE: Duration = Duration::from_millis(30);

/// How a request is sent.
struct Case {
    bytes: usize,
    chunked: bool,
    pause: Duration,
    /// Whether the connection has served a request before.
    kept: bool,
    /// Whether the connection closes after the refusal.
    closes: bool,
}

/// Sends a refused request as a caller does that writes all of it, whether or not it has
/// been refused.
async fn send_refused(caller: Caller, c: &Case) -> Result<Caller, String> {
    let (bytes, chunked, pause) = (c.bytes, c.chunked, c.pause);
    let line = match chunked {
        true => "transfer-encoding: chunked\r\n".to_owned(),
        false => format!("content-length: {bytes}\r\n"),
    };
    let (mut rx, mut tx) = caller.0.into_split();
    let writer = tokio::spawn(async move {
        let part = vec![b'x'; bytes / PARTS];
        tx.write_all(&head("/refuse", &line)).await?;
        for _ in 0..PARTS {
            if chunked {
                tx.write_all(format!("{:x}\r\n", part.len()).as_bytes())
                    .await?;
            }
            tx.write_all(&part).await?;
            if chunked {
                tx.write_all(b"\r\n").await?;
            }
            tokio::time::sleep(pause).await;
        }
        if chunked {
            tx.write_all(b"0\r\n\r\n").await?;
        }
        Ok::<_, std::io::Error>((tx, Instant::now()))
    });
    let answer = read_answer(&mut rx).await?;
    let answered_at = Instant::now();
    let (tx, sent_at) = writer
        .await
        .map_err(|e| e.to_string())?
        .map_err(|e| format!("the body can't be sent: {e}"))?;
    if answer.status != 401 || !answer.body.contains("invalid_key") {
        return Err(format!("the refusal is incomplete: {answer:?}"));
    }
    if pause > Duration::ZERO && answered_at > sent_at {
        return Err("the refusal waited for the body".to_owned());
    }
    if answer.close != c.closes {
        return Err(format!(
            "the connection is not announced to close: {answer:?}"
        ));
    }
    let mut caller = Caller(rx.reunite(tx).map_err(|e| e.to_string())?);
    if answer.close {
        caller.closed().await;
        return Ok(caller);
    }
    let next = caller.get("/next").await?;
    match next.status {
        200 => Ok(caller),
        status => Err(format!("the next request got {status}")),
    }
}

/// Guards against a refusal that is lost with its connection, because the connection is
/// closed while the request's body still arrives.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_is_not_lost_with_an_unread_body() {
    let case = |bytes, chunked, pause, kept, closes| Case {
        bytes,
        chunked,
        pause,
        kept,
        closes,
    };
    let none = Duration::ZERO;
    let cases = [
        case(BODY_BYTES, false, none, false, false),
        case(BODY_BYTES, false, PAUSE, false, false),
        case(BODY_BYTES, true, none, false, true),
        case(BODY_BYTES, true, PAUSE, false, true),
        case(BODY_BYTES, false, none, true, false),
        case(BODY_BYTES, true, PAUSE, true, true),
        case(HUGE_BYTES, false, none, true, true),
        case(HUGE_BYTES, true, none, false, true),
    ];
    let mut failures = Vec::new();
    for c in cases {
        let server = Server::start(ConnectionLimits::default()).await;
        for _ in 0..5 {
            let mut caller = server.connect().await;
            if c.kept {
                assert_eq!(caller.get("/first").await.unwrap().status, 200);
            }
            if let Err(e) = send_refused(caller, &c).await {
                let Case {
                    bytes,
                    chunked,
                    pause,
                    kept,
                    ..
                } = c;
                failures.push(format!(
                    "{bytes} bytes, chunked {chunked}, pause {pause:?}, kept {kept}: {e}"
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a connection beyond the limit that is reset before its caller has read
/// the refusal.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_beyond_the_limit_reads_its_refusal() {
    let limits = ConnectionLimits {
        max_connections: 1,
        ..ConnectionLimits::default()
    };
    let server = Server::start(limits).await;
    let mut first = server.connect().await;
    assert_eq!(first.get("/first").await.unwrap().status, 200);
    let mut failures = Vec::new();
    for _ in 0..10 {
        let mut caller = server.connect().await;
        // The refusal is sent and the connection closed before this request arrives.
        tokio::time::sleep(Duration::from_millis(20)).await;
        let line = format!("content-length: {BODY_BYTES}\r\n");
        let request = [head("/next", &line), vec![b'x'; BODY_BYTES]].concat();
        if let Err(e) = caller.write(&request).await {
            failures.push(e);
        }
        match caller.read().await {
            Ok(answer) if answer.status == 503 && answer.close => {}
            other => failures.push(format!("{other:?}")),
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a refusal that is lost at a planned stop, because the process ends while
/// the caller still sends the body.
#[test]
fn a_refusal_is_not_lost_with_a_process_that_has_no_open_connections() {
    let mut failures = Vec::new();
    // More than is discarded before the connection is shut down.
    for chunked in [false, true] {
        let process = Runtime::new().unwrap();
        let server = process.block_on(Server::start(ConnectionLimits::default()));
        let callers = Runtime::new().unwrap();
        let caller = callers.block_on(server.connect());
        let case = Case {
            bytes: HUGE_BYTES,
            chunked,
            pause: PAUSE,
            kept: false,
            closes: true,
        };
        let sent = callers.spawn(async move { send_refused(caller, &case).await.map(drop) });
        let started = Instant::now();
        let mut is_open = false;
        loop {
            let count = server.metrics.connections.get();
            if is_open && count == 0 {
                break;
            }
            is_open |= count > 0;
            assert!(started.elapsed() < STEP_TIMEOUT, "{count} are open");
            std::thread::sleep(Duration::from_millis(1));
        }
        process.shutdown_background();
        if let Err(e) = callers.block_on(sent).unwrap() {
            failures.push(format!("chunked {chunked}: {e}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against the body of a refused request that is taken for a header, as its first
/// bytes arrive together with the rest of another refused body.
#[tokio::test]
async fn a_body_behind_a_refused_one_is_not_taken_for_a_header() {
    const PART: usize = 1_000;
    const HEADER_TIMEOUT: Duration = Duration::from_millis(300);
    let server = Server::start(ConnectionLimits {
        header_timeout: HEADER_TIMEOUT,
        ..ConnectionLimits::default()
    })
    .await;
    let mut caller = server.connect().await;
    let refused = |parts: usize| head("/refuse", &format!("content-length: {}\r\n", parts * PART));
    let part = vec![b'x'; PART];
    caller
        .write(&[refused(2), part.clone()].concat())
        .await
        .unwrap();
    assert_eq!(caller.read().await.map(|a| a.status), Ok(401));
    let next = [part.clone(), refused(3), part.clone()].concat();
    caller.write(&next).await.unwrap();
    assert_eq!(caller.read().await.map(|a| a.status), Ok(401));
    caller.write(&part).await.unwrap();
    tokio::time::sleep(HEADER_TIMEOUT * 3).await;
    caller
        .write(&[part, head("/next", "")].concat())
        .await
        .unwrap();
    assert_eq!(caller.read().await.map(|a| a.status), Ok(200));
}
