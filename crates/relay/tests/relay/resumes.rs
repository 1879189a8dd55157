//! Odd answers of the endpoint that is asked to go on with a broken stream.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::ReceivedRequest;
use anvilloft_fakes::raw::Step;

use crate::common::Fleet;
use crate::common::chunk;
use crate::common::event;
use crate::common::send;
use crate::common::stream_head;
use crate::common::whole_stream;

/// Number of the last event of each stream.
const LAST: u32 = 5;

struct Case {
    name: &'static str,
    /// Bytes that are sent instead of the events after the second. The connection is
    /// closed then.
    answer: fn(&str) -> String,
}

fn with_length(status: &str, attempt: &str, fields: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-anvilloft-attempt: {attempt}\r\n{fields}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn until_close(attempt: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-anvilloft-attempt: {attempt}\r\n\
         content-type: text/event-stream\r\n\r\n{body}"
    )
}

fn events(numbers: impl Iterator<Item = u32>) -> String {
    numbers.map(event).collect()
}

const ERROR: &str = "{\"error\":\"foreign\"}";
const JSON: &str = "content-type: application/json\r\n";
const EVENTS: &str = "content-type: text/event-stream\r\n";

const CASES: [Case; 24] = [
    Case {
        name: "server error in chunks",
        answer: |a| {
            let head = stream_head(a).replace("200 OK", "500 Error");
            head + &chunk(ERROR) + "0\r\n\r\n"
        },
    },
    Case {
        name: "server error without a length",
        answer: |a| until_close(a, ERROR).replace("200 OK", "500 Error"),
    },
    Case {
        name: "server error after an interim answer",
        answer: |a| {
            let interim = "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n".to_owned();
            interim + &with_length("500 Error", a, JSON, ERROR)
        },
    },
    Case {
        name: "server error, in two writes",
        answer: |a| with_length("500 Error", a, EVENTS, "id: 3\ndata: foreign\n\n"),
    },
    Case {
        name: "plain text",
        answer: |a| {
            let fields = "content-type: text/plain\r\n";
            with_length("200 OK", a, fields, "id: 3\ndata: foreign\n\n")
        },
    },
    Case {
        name: "an event that reports an error",
        answer: |a| {
            let error = "event: error\ndata: foreign\n\n";
            stream_head(a) + &chunk(error) + "0\r\n\r\n"
        },
    },
    Case {
        name: "events from number 0 on",
        answer: |a| stream_head(a) + &chunk(&events(0..=LAST)) + "0\r\n\r\n",
    },
    Case {
        name: "the head alone",
        answer: stream_head,
    },
    Case {
        name: "half of the head",
        answer: |a| stream_head(a).split_at(40).0.to_owned(),
    },
    Case {
        name: "the next event and another break",
        answer: |a| stream_head(a) + &chunk(&event(3)) + &chunk("id: 4\nda"),
    },
    Case {
        name: "server error",
        answer: |a| with_length("500 Error", a, JSON, ERROR),
    },
    Case {
        name: "busy, without the mark that it was not run",
        answer: |a| with_length("503 Busy", a, JSON, ERROR),
    },
    Case {
        name: "caller's error",
        answer: |a| with_length("404 Not Found", a, JSON, ERROR),
    },
    Case {
        name: "an error as a stream of events",
        answer: |a| with_length("500 Error", a, EVENTS, "id: 3\ndata: foreign\n\n"),
    },
    Case {
        name: "success that is no stream",
        answer: |a| with_length("200 OK", a, JSON, ERROR),
    },
    Case {
        name: "encoded",
        answer: |a| {
            let fields = "content-type: text/event-stream\r\ncontent-encoding: gzip\r\n";
            with_length("200 OK", a, fields, "id: 3\ndata: foreign\n\n")
        },
    },
    Case {
        name: "no content",
        answer: |a| with_length("204 No Content", a, "", ""),
    },
    Case {
        name: "no event",
        answer: |a| stream_head(a) + "0\r\n\r\n",
    },
    Case {
        name: "no event and no length",
        answer: |a| until_close(a, ""),
    },
    Case {
        name: "an error's head and text instead of events",
        answer: |a| until_close(a, &with_length("500 Error", a, JSON, ERROR)),
    },
    Case {
        name: "events from the first on",
        answer: |a| stream_head(a) + &chunk(&events(1..=LAST)) + "0\r\n\r\n",
    },
    Case {
        name: "events that skip one",
        answer: |a| stream_head(a) + &chunk(&events(4..=LAST)) + "0\r\n\r\n",
    },
    Case {
        name: "part of an event and no length",
        answer: |a| until_close(a, "id: 3\ndata: fore"),
    },
    Case {
        name: "no answer in the protocol",
        answer: |_| format!("{ERROR}\r\n\r\n{ERROR}"),
    },
];

/// Breaks off each stream that begins, answers the first request to go on with the
/// case that the path names, and each further one with the remaining events.
fn script(resumed: &Mutex<HashMap<String, u32>>, req: &ReceivedRequest) -> Vec<Step> {
    if !req.head.contains("last-event-id: ") {
        let partial = [&event(1), &event(2), "id: 3\nda"];
        // Without a length, a broken answer ends like a whole one.
        let answer = match req.attempt.ends_with(['1', '3', '5', '7', '9']) {
            true => until_close(&req.attempt, &partial.concat()),
            false => stream_head(&req.attempt) + &partial.map(chunk).concat(),
        };
        return vec![
            send(answer),
            Step::Wait(Duration::from_millis(20)),
            Step::Close,
        ];
    }
    let mut resumed = resumed.lock().unwrap();
    let count = resumed.entry(req.attempt.clone()).or_default();
    *count += 1;
    if *count > 1 {
        return whole_stream(req, LAST);
    }
    let path = req.head.split(' ').nth(1).unwrap_or_default();
    let case = path.rsplit('/').next().and_then(|n| n.parse().ok());
    let case = case.and_then(|n: usize| CASES.get(n)).unwrap();
    let answer = (case.answer)(&req.attempt);
    let first_len = match case.name.ends_with("in two writes") {
        true => 30,
        false => answer.len(),
    };
    let (first, rest) = answer.split_at(first_len);
    vec![
        send(first),
        Step::Wait(Duration::from_millis(20)),
        send(rest),
        Step::Wait(Duration::from_millis(20)),
        Step::Close,
    ]
}

/// Guards against foreign, repeated or missing bytes in a stream that went on at an
/// endpoint with an odd answer, and against such a stream that looks complete.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_answer_is_never_joined_to_a_broken_stream() {
    let fleet = Fleet::start_with(1, |o| o.retries(Duration::from_secs(1), 1.0, 1e6)).await;
    fleet.publish(1, 10_000_000).await;
    let resumed = Arc::new(Mutex::new(HashMap::new()));
    let mut endpoints = Vec::new();
    for name in ["e1", "e2", "e3"] {
        let resumed = Arc::clone(&resumed);
        let endpoint = RawEndpoint::start(move |req| script(&resumed, &req));
        let endpoint = endpoint.await.unwrap();
        fleet.announce(name, endpoint.addr, "engines");
        endpoints.push((name, endpoint));
    }
    let expected = events(1..=LAST);
    let mut faults = Vec::new();
    for (n, case) in CASES.iter().enumerate() {
        for (name, endpoint) in &endpoints {
            fleet.renew(name, endpoint.addr, "engines", n as u64 + 2);
        }
        // The first route allows two endpoints, so the stream ends with the odd answer.
        // The second one allows a third endpoint, which goes on.
        for (path, resumes) in [("stream", 1), ("patient", 2)] {
            let (mut seen, mut fault) = (0, None);
            for attempt in 0..40 {
                let id = format!("{path}-{n}-{attempt}");
                let reply = fleet.send(0, &format!("/{path}/{n}"), &id).await;
                let text = reply.text();
                let count = resumed
                    .lock()
                    .unwrap()
                    .get(&id)
                    .copied()
                    .unwrap_or_default();
                if !expected.starts_with(&text) || reply.complete != (text == expected) {
                    fault = Some(format!("complete {}: {text:?}", reply.complete));
                    break;
                }
                if count < resumes {
                    // The relay doesn't know all endpoints yet, or one still counts as failed.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
                seen += 1;
                if resumes == 2 && !reply.complete {
                    fault = Some(format!("a third endpoint was asked, but {text:?}"));
                }
                if seen == 2 || fault.is_some() {
                    break;
                }
            }
            if seen == 0 && fault.is_none() {
                fault = Some(format!("{resumes} requests to go on were never seen"));
            }
            faults.extend(fault.map(|f| format!("{}, /{path}: {f}", case.name)));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a stream whose events have no ids that is repeated from its start
/// within the same answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_ids_is_not_repeated_within_an_answer() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 100_000).await;
    let started = Arc::new(Mutex::new(HashMap::<String, u32>::new()));
    for name in ["e1", "e2"] {
        let started = Arc::clone(&started);
        let endpoint = RawEndpoint::start(move |req| {
            let mut started = started.lock().unwrap();
            let count = started.entry(req.attempt.clone()).or_default();
            *count += 1;
            let mut text = stream_head(&req.attempt) + &chunk("data: a\n\n");
            if *count > 1 {
                text += &(chunk("data: b\n\n") + "0\r\n\r\n");
            }
            vec![
                send(text),
                Step::Wait(Duration::from_millis(20)),
                Step::Close,
            ]
        });
        fleet.announce(name, endpoint.await.unwrap().addr, "engines");
    }
    for n in 0..20 {
        let reply = fleet.send(0, "/stream/x", &format!("c{n}")).await;
        assert!(!reply.complete, "{:?}", reply.text());
        assert_eq!(reply.text(), "data: a\n\n");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
