//! Endpoints that stop in the middle of the head of their answer.

use std::sync::Arc;

use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::Step;

use crate::common::CALL_TIMEOUT;
use crate::common::Fleet;
use crate::common::call;
use crate::common::send;

/// Heads of answers, without the empty line at their end.
const HEADS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nx-anvilloft-attempt: ID\r\ncontent-type: application/json\r\n\
     content-length: 24\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 24\r\nx-anvilloft-attempt: ID\r\n",
    "HTTP/1.1 200 OK\r\nx-anvilloft-attempt: ID\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n",
    "HTTP/1.1 200 OK\r\nx-anvilloft-attempt: ID\r\ncontent-type: text/event-stream\r\n",
];

/// Returns the lengths after which a head is cut: after each byte of the last line, and
/// some before it.
fn cuts(head: &str) -> Vec<usize> {
    let last_line = head.trim_end().rfind('\n').unwrap_or(0);
    let others = [4, 12, 15, 17, 30, last_line];
    others
        .into_iter()
        .chain(last_line + 1..=head.len())
        .collect()
}

/// Guards against a success with an empty or short body that looks whole, when an
/// endpoint stops in the middle of the head of its answer and closes.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_stops_is_no_answer() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000_000).await;
    let cut: Arc<std::sync::Mutex<(String, usize)>> = Arc::default();
    let script = {
        let cut = Arc::clone(&cut);
        move |req: anvilloft_fakes::raw::ReceivedRequest| {
            let (head, len) = cut.lock().unwrap().clone();
            // The length of the id doesn't move the cut.
            let head = head.replace("ID", &req.attempt);
            let len = len.min(head.len());
            vec![send(&head.as_bytes()[..len]), Step::Close]
        }
    };
    let script = Arc::new(script);
    let mut paths: Vec<(&str, &str)> = Vec::new();
    for (service, of_service) in [
        ("plain", ["/any/x", "/once/x"]),
        ("engines", ["/stream/x", "/fragile/x"]),
    ] {
        let script = Arc::clone(&script);
        let ep = RawEndpoint::start(move |req| script(req)).await.unwrap();
        fleet.announce(service, ep.addr, service);
        paths.extend(of_service.map(|path| (path, service)));
    }
    let mut n = 0;
    for head in HEADS {
        for len in cuts(head) {
            *cut.lock().unwrap() = (head.to_owned(), len);
            for (path, _) in &paths {
                n += 1;
                // As long as the placeholder, so that the cut stays.
                let id = format!("{:02}", n % 100);
                let reply = call(path, "body", &id)
                    .send(fleet.relays[0].address(), CALL_TIMEOUT)
                    .await
                    .unwrap();
                let text = reply.text();
                assert!(
                    reply.status >= 500 && reply.complete,
                    "{path}, {len} bytes of {head}: {} {text}",
                    reply.status
                );
                // What was sent may have run.
                if *path == "/once/x" && !text.contains("no_endpoint") {
                    assert_eq!(reply.status, 502, "{path}: {text}");
                    assert!(text.contains(r#""run":"unknown""#), "{path}: {text}");
                }
            }
        }
    }
}

/// Guards against a stream that looks whole although its endpoint closed right after the
/// head, before the first event, where only the end of the connection marks its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_a_length_and_an_event_has_failed() {
    for path in ["/stream/x", "/fragile/x"] {
        let fleet = Fleet::start(1).await;
        fleet.publish(1, 1_000_000).await;
        let ep = RawEndpoint::start(|req| {
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                 x-anvilloft-attempt: {}\r\n\r\n",
                req.attempt
            );
            vec![send(head), Step::Close]
        });
        fleet.announce("e", ep.await.unwrap().addr, "engines");
        let reply = fleet.send(0, path, "empty").await;
        assert_eq!(reply.status, 502, "{path}: {}", reply.text());
    }
}
