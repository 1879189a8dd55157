//! Refusals of endpoints that are sent again, have no end, or state nothing.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::Step;
use anvilloft_fakes::raw::whole_answer;

use crate::common::CALL_TIMEOUT;
use crate::common::Fleet;
use crate::common::call;
use crate::common::send;

fn refusal(attempt: &str) -> String {
    format!(
        "HTTP/1.1 503 Full\r\nx-anvilloft-refused: not-run\r\n\
         x-anvilloft-attempt: {attempt}\r\ncontent-length: 4\r\n\r\nfull"
    )
}

fn chunked_refusal(attempt: &str) -> String {
    refusal(attempt)
        .replace("content-length: 4", "transfer-encoding: chunked")
        .replace("\r\n\r\nfull", "\r\n\r\n4\r\nfull\r\n0\r\n\r\n")
}

/// A way in which an endpoint repeats its refusal.
struct Case {
    name: &'static str,
    /// Answer to a request that is refused.
    refuse: fn(&str) -> Vec<Step>,
    /// Bytes before the answer to the next request on the connection, which has run;
    /// the argument is the id of the refused one.
    before_next: fn(&str) -> Vec<Step>,
}

fn once(attempt: &str) -> Vec<Step> {
    vec![send(refusal(attempt))]
}

fn no_more(_: &str) -> Vec<Step> {
    Vec::new()
}

const CASES: [Case; 12] = [
    Case {
        name: "100 ms later",
        refuse: |a| {
            let pause = Step::Wait(Duration::from_millis(100));
            vec![send(refusal(a)), pause, send(refusal(a))]
        },
        before_next: no_more,
    },
    Case {
        name: "in chunks, with the end of the refusal",
        refuse: |a| vec![send(chunked_refusal(a).repeat(2))],
        before_next: no_more,
    },
    Case {
        name: "in chunks, instead of the next answer",
        refuse: |a| vec![send(chunked_refusal(a))],
        before_next: |a| vec![send(chunked_refusal(a))],
    },
    Case {
        name: "instead of the next answer, after an interim answer",
        refuse: once,
        before_next: |a| {
            let interim = "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n".to_owned();
            vec![send(interim + &refusal(a))]
        },
    },
    Case {
        name: "while the connection is idle",
        refuse: |a| {
            let pause = Step::Wait(Duration::from_millis(5));
            vec![send(refusal(a)), pause, send(refusal(a))]
        },
        before_next: no_more,
    },
    Case {
        name: "with the end of the refusal",
        refuse: |a| vec![send(refusal(a).repeat(2))],
        before_next: no_more,
    },
    Case {
        name: "half with the end of the refusal, half later",
        refuse: |a| {
            let again = refusal(a);
            let (first, rest) = again.split_at(30);
            let pause = Step::Wait(Duration::from_millis(5));
            vec![send(refusal(a) + first), pause, send(rest)]
        },
        before_next: no_more,
    },
    Case {
        name: "instead of the next answer",
        refuse: once,
        before_next: |a| vec![send(refusal(a))],
    },
    Case {
        name: "instead of the next answer, in pieces",
        refuse: once,
        before_next: |a| {
            let again = refusal(a);
            let pieces = again.as_bytes().chunks(20);
            pieces
                .flat_map(|p| [send(p), Step::Wait(Duration::from_millis(2))])
                .collect()
        },
    },
    Case {
        name: "instead of the next answer, without an id",
        refuse: once,
        before_next: |_| {
            vec![send(
                "HTTP/1.1 503 Full\r\nx-anvilloft-refused: not-run\r\ncontent-length: 0\r\n\r\n",
            )]
        },
    },
    Case {
        name: "with an end that never comes",
        refuse: |a| {
            let endless = refusal(a).replace("content-length: 4", "content-length: 9");
            vec![send(endless), Step::Wait(Duration::from_millis(400))]
        },
        before_next: |_| vec![send("12345")],
    },
    Case {
        name: "with bytes behind its end",
        refuse: |a| vec![send(refusal(a) + "full")],
        before_next: no_more,
    },
];

/// Guards against a refusal that is counted for a request that an endpoint runs: its
/// caller is told that it was not run, or it runs a second time.
#[rstest::rstest]
#[case::whole_answer("once", "plain")]
#[case::stream("fragile", "engines")]
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_counts_for_no_other_request(
    #[case] route: &str,
    #[case] service: &str,
) {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 10_000_000).await;
    // The number of runs of each request.
    let runs = Arc::new(Mutex::new(HashMap::<String, u32>::new()));
    let last_refused = Mutex::new(String::new());
    let endpoint = RawEndpoint::start({
        let runs = Arc::clone(&runs);
        move |req| {
            let path = req.head.split(' ').nth(1).unwrap_or_default();
            let case = path.rsplit('/').next().and_then(|n| n.parse().ok());
            let case = case.and_then(|n: usize| CASES.get(n)).unwrap();
            let mut last_refused = last_refused.lock().unwrap();
            if req.attempt.contains("refuse") {
                *last_refused = req.attempt.clone();
                return (case.refuse)(&req.attempt);
            }
            *runs.lock().unwrap().entry(req.attempt.clone()).or_default() += 1;
            let mut steps = (case.before_next)(&last_refused);
            steps.push(send(whole_answer(&req.attempt, "done")));
            steps
        }
    });
    let endpoint = endpoint.await.unwrap();
    fleet.announce("e", endpoint.addr, service);
    let mut faults = Vec::new();
    for (n, case) in CASES.iter().enumerate() {
        for round in 0..10 {
            for kind in ["refuse", "run"] {
                let id = format!("{kind}-{n}-{round}");
                let reply = fleet.send(0, &format!("/{route}/{n}"), &id).await;
                let runs = runs.lock().unwrap().get(&id).copied().unwrap_or_default();
                let is_promise = matches!(reply.status, 408 | 421 | 429 | 503);
                let is_true = match reply.status {
                    200 => reply.text() == "done" && runs == 1,
                    _ => !is_promise || runs == 0,
                };
                if !is_true || runs > 1 || (kind == "refuse" && reply.status != 503) {
                    faults.push(format!(
                        "{}: {kind} got {}, run {runs} times",
                        case.name, reply.status
                    ));
                }
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
    assert!(!runs.lock().unwrap().is_empty());
}

/// Guards against a second copy of a refusal that counts for the same request at
/// another endpoint of the same address.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_counts_not_for_the_next_attempt() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 0).await;
    let seen = Arc::new(Mutex::new(HashMap::<String, u32>::new()));
    let endpoint = RawEndpoint::start({
        let seen = Arc::clone(&seen);
        move |req| {
            let mut seen = seen.lock().unwrap();
            let count = seen.entry(req.attempt.clone()).or_default();
            *count += 1;
            if *count == 1 {
                // The copy arrives after the request was sent again.
                let pause = Step::Wait(Duration::from_millis(10));
                let copy = send(refusal(&req.attempt));
                return vec![send(refusal(&req.attempt)), pause, copy];
            }
            vec![send(whole_answer(&req.attempt, "done"))]
        }
    });
    let endpoint = endpoint.await.unwrap();
    for id in ["e1", "e2"] {
        fleet.announce(id, endpoint.addr, "plain");
    }
    let mut repeated_count = 0;
    for n in 0..20 {
        let id = format!("s{n}");
        let reply = fleet.send(0, "/once/x", &id).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        let count = seen.lock().unwrap().get(&id).copied().unwrap_or_default();
        let expected = if count > 1 { 200 } else { 503 };
        assert_eq!(reply.status, expected, "{id}: sent {count} times");
        repeated_count += u32::from(count > 1);
    }
    assert!(repeated_count > 0, "no request was sent again");
}

/// Guards against an endpoint's status that states nothing and is passed on as the
/// promise that the request was not run.
#[rstest::rstest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unmarked_refusal_promises_nothing(#[values(408, 421, 429, 503)] status: u16) {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 100_000).await;
    for (id, service) in [("e1", "plain"), ("e2", "engines")] {
        let endpoint = RawEndpoint::start(move |req| {
            vec![send(format!(
                "HTTP/1.1 {status} No\r\nx-anvilloft-attempt: {}\r\nx-seal: own\r\n\
                 content-length: 2\r\n\r\nno",
                req.attempt
            ))]
        });
        fleet.announce(id, endpoint.await.unwrap().addr, service);
    }
    for path in ["/once/x", "/fragile/x"] {
        let reply = fleet.send(0, path, &format!("u{}", path.len())).await;
        assert_eq!(reply.status, 502, "{path}");
        assert_eq!(reply.header("x-seal"), None, "{path}");
    }
    // Callers repeat an idempotent request after any failure.
    let reply = fleet.send(0, "/any/x", "u-any").await;
    assert_eq!(reply.status, status);
}

/// A service's only endpoint, and what its requests are told.
struct Ending {
    name: &'static str,
    /// Steps of the endpoint; `None` if there is none.
    steps: Option<fn(&str) -> Vec<Step>>,
    status: u16,
    code: &'static str,
    run: &'static str,
}

const ENDINGS: &[Ending] = &[
    Ending {
        name: "no endpoint",
        steps: None,
        status: 503,
        code: "no_endpoint",
        run: "no",
    },
    Ending {
        name: "full",
        steps: Some(|attempt| vec![send(refusal(attempt))]),
        status: 503,
        code: "endpoints_full",
        run: "no",
    },
    Ending {
        name: "unreachable",
        steps: Some(|_| vec![Step::Crash]),
        status: 503,
        code: "endpoints_unreachable",
        run: "no",
    },
    Ending {
        name: "silent until the deadline",
        steps: Some(|_| vec![Step::Wait(CALL_TIMEOUT)]),
        status: 504,
        code: "endpoint_late",
        run: "unknown",
    },
    Ending {
        name: "broken",
        steps: Some(|_| vec![Step::Close]),
        status: 502,
        code: "endpoint_failed",
        run: "unknown",
    },
    Ending {
        name: "broken within the body",
        steps: Some(|attempt| {
            let answer = whole_answer(attempt, "done");
            vec![send(&answer[..answer.len() - 1]), Step::Close]
        }),
        status: 502,
        code: "endpoint_failed",
        run: "unknown",
    },
];

/// Guards against a request that ends without an answer, and against a refusal that
/// doesn't say truly whether it was run.
#[rstest::rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_an_answer_is_told_whether_it_was_run(
    #[values("/once/x", "/any/x")] path: &str,
) {
    for ending in ENDINGS {
        let fleet = Fleet::start(1).await;
        fleet.publish(1, 1_000).await;
        let address = fleet.relays[0].address();
        if let Some(steps) = ending.steps {
            let endpoint = RawEndpoint::start(move |req| match req.attempt.as_str() {
                "known" => vec![send(whole_answer(&req.attempt, "done"))],
                _ => steps(&req.attempt),
            });
            let endpoint = endpoint.await.unwrap();
            fleet.announce("e", endpoint.addr, "plain");
            assert_eq!(fleet.send(0, path, "known").await.status, 200);
            if ending.code == "endpoints_unreachable" {
                // The endpoint closes its listener and the pooled connection.
                fleet.try_send(0, path, "last").await;
            }
        }
        let call = call(path, "body", "asked").header("x-wait-ms", "500");
        let reply = call.send(address, CALL_TIMEOUT).await.unwrap();
        let told = &reply.json()["error"];
        let told = (told["code"].as_str(), told["run"].as_str());
        let expected = (Some(ending.code), Some(ending.run));
        assert_eq!(reply.status, ending.status, "{}: {told:?}", ending.name);
        assert!(reply.complete, "{}", ending.name);
        assert_eq!(told, expected, "{}", ending.name);
    }
}
