//! Connections of callers to a relay, over real sockets.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::Step;
use anvilloft_fakes::raw::whole_answer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::common::CALL_TIMEOUT;
use crate::common::Fleet;
use crate::common::call;
use crate::common::chunk;
use crate::common::eventually;
use crate::common::send;
use crate::common::stream_head;

/// Returns the bytes of a request without a body.
fn request(path: &str, id: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nhost: 127.0.0.1\r\nx-key: k\r\nx-anvilloft-attempt: {id}\r\n\
         content-length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// End of a request on a raw connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// An answer of this status, and whether the connection closes after it.
    Answered(u16, bool),
    /// Closed or reset before the first byte of an answer.
    Closed,
    /// Closed within an answer.
    Broken,
}

/// Reads one answer with a declared length.
async fn read_end(stream: &mut TcpStream) -> End {
    let mut bytes = Vec::new();
    let read = async {
        loop {
            let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head
                    .lines()
                    .find_map(|l| l.strip_prefix("content-length: "))
                    .and_then(|l| l.parse().ok());
                if body.len() >= length.unwrap_or(0_usize) {
                    let close = head.contains("connection: close");
                    return End::Answered(head[9..12].parse().unwrap(), close);
                }
            }
            let mut buf = [0; 2048];
            match stream.read(&mut buf).await {
                Ok(len @ 1..) => bytes.extend_from_slice(&buf[..len]),
                _ if bytes.is_empty() => return End::Closed,
                _ => return End::Broken,
            }
        }
    };
    tokio::time::timeout(CALL_TIMEOUT, read).await.unwrap()
}

async fn get(stream: &mut TcpStream, path: &str, id: &str) -> End {
    if stream.write_all(&request(path, id)).await.is_err() {
        return End::Closed;
    }
    read_end(stream).await
}

/// Guards against a request that stays counted as in flight after its caller left, and
/// against a connection that ends so without a trace.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_is_not_counted_as_in_flight() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000).await;
    let endpoint = RawEndpoint::start(|s| {
        if s.head.contains("/warm") {
            return vec![send(whole_answer(&s.attempt, "done"))];
        }
        vec![Step::Wait(Duration::from_secs(3)), Step::Close]
    });
    let endpoint = endpoint.await.unwrap();
    fleet.announce("e", endpoint.addr, "plain");
    assert_eq!(fleet.send(0, "/any/warm", "w").await.status, 200);
    let metrics = Arc::clone(fleet.relays[0].metrics());
    let mut caller = TcpStream::connect(fleet.relays[0].address()).await.unwrap();
    caller.write_all(&request("/once/x", "left")).await.unwrap();
    eventually("the request is in flight", || metrics.in_flight.get() == 1).await;
    drop(caller);
    eventually("no request is in flight", || metrics.in_flight.get() == 0).await;
    eventually("the end is counted", || {
        let ends = metrics.connection_ends.with_label_values(&["caller_left"]);
        ends.get() == 1 && metrics.connections.get() == 0
    })
    .await;
}

/// Guards against connections that are closed before the published idle limit, also
/// after a change of the limit.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_lives_as_long_as_the_published_limit() {
    struct Case {
        name: &'static str,
        limits_ms: &'static [u64],
        /// Idle time after which the connection must still serve.
        open_ms: u64,
        /// Idle time by which the connection must be closed.
        closed_ms: u64,
    }
    let cases = [
        Case {
            name: "shorter than the default",
            limits_ms: &[2_000],
            open_ms: 1_600,
            closed_ms: 5_000,
        },
        Case {
            name: "shorter after a change",
            limits_ms: &[4_000, 2_000],
            open_ms: 3_600,
            closed_ms: 7_000,
        },
        Case {
            name: "longer after a change",
            limits_ms: &[2_000, 4_000],
            open_ms: 3_600,
            closed_ms: 7_000,
        },
    ];
    let run = cases.map(|c| async move {
        let fleet = Fleet::start(1).await;
        fleet.publish_idle_limit(1, c.limits_ms[0]).await;
        let address = fleet.relays[0].address();
        let mut callers = Vec::new();
        for _ in 0..2 {
            let mut caller = TcpStream::connect(address).await.unwrap();
            let first = get(&mut caller, "/none/x", "a").await;
            assert_eq!(first, End::Answered(404, false), "{}", c.name);
            callers.push(caller);
        }
        for (n, ms) in c.limits_ms.iter().enumerate().skip(1) {
            fleet.publish_idle_limit(n as u64 + 1, *ms).await;
        }
        let [mut used, mut unused]: [TcpStream; 2] = callers.try_into().unwrap();
        let closed = async {
            let limit = Duration::from_millis(c.closed_ms);
            let end = tokio::time::timeout(limit, unused.read(&mut [0; 8])).await;
            assert!(matches!(end, Ok(Ok(0))), "{}: {end:?}", c.name);
        };
        let open = async {
            tokio::time::sleep(Duration::from_millis(c.open_ms)).await;
            let last = get(&mut used, "/none/x", "b").await;
            assert_eq!(last, End::Answered(404, false), "{}", c.name);
        };
        tokio::join!(closed, open);
    });
    futures::future::join_all(run).await;
}

/// Guards against a request that was sent before a planned stop, or beside changes of the
/// table, and gets neither an answer nor a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_beside_table_changes_answers_what_it_has_read() {
    let mut fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000).await;
    let seen = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&seen);
    let endpoint = RawEndpoint::start(move |s| {
        counter.fetch_add(1, Ordering::Relaxed);
        vec![
            Step::Wait(Duration::from_millis(20)),
            send(whole_answer(&s.attempt, "done")),
        ]
    });
    let endpoint = endpoint.await.unwrap();
    fleet.announce("e", endpoint.addr, "plain");
    assert_eq!(fleet.send(0, "/any/warm", "w").await.status, 200);
    let address = fleet.relays[0].address();
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..64)
        .map(|n| {
            let is_over = Arc::clone(&is_over);
            tokio::spawn(async move {
                // Answers, refusals, unread closes and others.
                let mut counts = [0_u32; 4];
                let mut id = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let Ok(mut stream) = TcpStream::connect(address).await else {
                        break;
                    };
                    loop {
                        id += 1;
                        let end = get(&mut stream, "/once/x", &format!("c{n}-{id}")).await;
                        let at = match end {
                            End::Answered(200, _) => 0,
                            End::Answered(429 | 503, _) => 1,
                            End::Closed => 2,
                            _ => 3,
                        };
                        counts[at] += 1;
                        if !matches!(end, End::Answered(_, false)) || n % 8 == 0 {
                            break;
                        }
                    }
                }
                counts
            })
        })
        .collect();
    for version in 2..12 {
        fleet.publish(version, 1_000).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    let relay = fleet.relays.remove(0);
    let metrics = Arc::clone(relay.metrics());
    assert!(relay.drain().await, "the stop is complete");
    is_over.store(true, Ordering::Relaxed);
    let mut total = [0; 4];
    for caller in callers {
        let counts = caller.await.unwrap();
        for (sum, count) in total.iter_mut().zip(counts) {
            *sum += count;
        }
    }
    println!("answers, refusals, unread closes, others: {total:?}");
    let [answers, _, _, others] = total;
    assert!(answers > 100, "{total:?}");
    assert_eq!(others, 0, "{total:?}");
    assert_eq!(metrics.in_flight.get(), 0);
    // Every request that reached the endpoint was answered.
    assert_eq!(seen.load(Ordering::Relaxed), answers + 1);
}

/// Guards against an answer that is cut off by the idle limit of its connection, which a
/// table has made shorter than a pause of the caller's link.
#[rstest::rstest]
#[case::whole("/any/x")]
#[case::end_of_a_stream("/stream/x")]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_being_written_outlasts_a_short_idle_limit(#[case] path: &str) {
    // More than the buffers of both sockets take.
    const LEN: usize = 7 * 1024 * 1024;
    const PAUSE: Duration = Duration::from_millis(2_500);
    let fleet = Fleet::start(1).await;
    fleet.publish_idle_limit(1, 1_000).await;
    let endpoint = RawEndpoint::start(|req| {
        let body = match req.attempt.as_str() {
            "long" => "x".repeat(LEN),
            _ => "done".to_owned(),
        };
        match req.head.starts_with("post /stream/") {
            false => vec![send(whole_answer(&req.attempt, &body))],
            true => {
                let events: String = (1..=8)
                    .map(|id| chunk(&format!("id: {id}\ndata: {}\n\n", &body[..body.len() / 8])))
                    .collect();
                vec![send(stream_head(&req.attempt) + &events + "0\r\n\r\n")]
            }
        }
    });
    let endpoint = endpoint.await.unwrap();
    for service in ["plain", "engines"] {
        fleet.announce(&format!("e-{service}"), endpoint.addr, service);
    }
    while fleet.send(0, path, "warm").await.status == 429 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let call = call(path, "body", "long");
    let mut open = call.open(fleet.relays[0].address()).await.unwrap();
    tokio::time::sleep(PAUSE).await;
    let reply = open.read_reply(CALL_TIMEOUT).await;
    assert_eq!(reply.status, 200);
    assert!(reply.complete, "cut off after {} bytes", reply.body.len());
}
