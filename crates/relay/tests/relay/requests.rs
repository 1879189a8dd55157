//! Requests of callers through a relay to scripted endpoints.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::Step;
use anvilloft_fakes::raw::whole_answer;
use rstest::rstest;

use crate::common::CALL_TIMEOUT;
use crate::common::COUNTS;
use crate::common::Fleet;
use crate::common::call;
use crate::common::chunk;
use crate::common::event;
use crate::common::eventually;
use crate::common::send;
use crate::common::stream_head;
use crate::common::whole_stream;

/// Guards against requests that are served without a route table, a route or a
/// valid key, and against a key that is forwarded to an endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_needs_a_table_a_route_and_a_key() {
    let fleet = Fleet::start(1).await;
    let heads = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&heads);
    let endpoint = RawEndpoint::start(move |s| {
        seen.lock().unwrap().push(s.head.clone());
        vec![send(whole_answer(&s.attempt, "done"))]
    });
    let endpoint = endpoint.await.unwrap();
    assert_eq!(fleet.try_send(0, "/any/x", "a1").await.status, 503);
    fleet.publish(3, 1_000).await;
    fleet.announce("e", endpoint.addr, "plain");
    let reply = fleet.send(0, "/any/x", "a2").await;
    assert_eq!((reply.status, reply.text().as_str()), (200, "done"));
    assert_eq!(reply.header("x-anvilloft-attempt"), Some("a2"));
    assert_eq!(fleet.try_send(0, "/none/x", "a3").await.status, 404);
    let call = anvilloft_fakes::http::Call::post("/any/x", "")
        .header("x-key", "wrong")
        .header("x-anvilloft-attempt", "a4");
    let reply = call
        .send(fleet.relays[0].address(), CALL_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(reply.status, 401);
    let heads = heads.lock().unwrap();
    assert_eq!(
        heads.len(),
        1,
        "only the valid request reached the endpoint"
    );
    assert!(heads[0].contains("x-team: small") && !heads[0].contains("x-key"));
    assert!(heads[0].contains("x-endpoint: e"));
}

/// Guards against an event that is missing, duplicated or incomplete when an
/// endpoint fails within an event and the stream is resumed at another one.
///
/// Both endpoints abort every stream that begins there, so that the test doesn't
/// depend on which of them is chosen first.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_resumed_elsewhere_after_the_last_whole_event() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 100_000).await;
    // Endpoint and attempt of each request, and whether it resumed after an event.
    let seen = Arc::new(Mutex::new(Vec::new()));
    let mut endpoints = Vec::new();
    for name in ["e1", "e2"] {
        let seen = Arc::clone(&seen);
        let endpoint = RawEndpoint::start(move |s| {
            let resumes = s.head.contains("last-event-id: ");
            let entry = (name, s.attempt.clone(), resumes);
            seen.lock().unwrap().push(entry);
            if resumes {
                return whole_stream(&s, 5);
            }
            let partial = chunk(&event(1)) + &chunk(&event(2)) + &chunk("id: 3\nda");
            vec![
                send(stream_head(&s.attempt) + &partial),
                Step::Wait(Duration::from_millis(50)),
                Step::Close,
            ]
        });
        let endpoint = endpoint.await.unwrap();
        fleet.announce(name, endpoint.addr, "engines");
        endpoints.push(endpoint);
    }
    let expected: String = (1..=5).map(event).collect();
    // The first complete stream shows that the relay knows both endpoints. Every
    // later one must be complete.
    let mut complete_count = 0;
    for n in 0..50 {
        let id = format!("b{n}");
        let reply = fleet.send(0, "/stream/x", &id).await;
        if reply.complete {
            assert_eq!(reply.text(), expected);
            assert_eq!(reply.header("x-anvilloft-attempt"), Some(id.as_str()));
            complete_count += 1;
        } else {
            assert_eq!(complete_count, 0, "{id} ended early: {:?}", reply.text());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if complete_count == 10 {
            break;
        }
    }
    assert_eq!(complete_count, 10, "resumed streams");
    let seen = seen.lock().unwrap();
    for (endpoint, attempt, _) in seen.iter().filter(|(_, _, resumes)| *resumes) {
        let began = (*endpoint, attempt.clone(), false);
        assert!(
            !seen.contains(&began),
            "{attempt} was resumed at the endpoint that had failed"
        );
    }
}

/// Guards against a non-idempotent request that runs twice, and against one that
/// is not retried although the endpoint's refusal says that it has not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_have_run_is_not_sent_again() {
    let refused = "HTTP/1.1 503 Full\r\nx-anvilloft-refused: not-run\r\nx-anvilloft-attempt: ";
    struct Case {
        path: &'static str,
        refuse: bool,
        status: u16,
        /// Requests that the second endpoint receives after the first.
        second_count: u64,
    }
    let cases = [
        Case {
            path: "/once/x",
            refuse: false,
            status: 502,
            second_count: 0,
        },
        Case {
            path: "/once/x",
            refuse: true,
            status: 200,
            second_count: 1,
        },
        Case {
            path: "/any/x",
            refuse: false,
            status: 200,
            second_count: 1,
        },
    ];
    for c in cases {
        let fleet = Fleet::start(1).await;
        fleet.publish(1, 0).await;
        let refuse = c.refuse;
        let first = RawEndpoint::start(move |s| match refuse {
            true => vec![send(format!(
                "{refused}{}\r\ncontent-length: 0\r\n\r\n",
                s.attempt
            ))],
            false => vec![Step::Close],
        });
        let first = first.await.unwrap();
        let second = RawEndpoint::start(|s| vec![send(whole_answer(&s.attempt, "done"))]);
        let second = second.await.unwrap();
        fleet.announce("e1", first.addr, "plain");
        // The first request is sent while only the first endpoint is known, the later
        // ones when both are.
        let reply = fleet.send(0, c.path, "a1").await;
        assert_ne!(reply.status, 200, "{}", c.path);
        fleet.announce("e2", second.addr, "plain");
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let mut outcomes = Vec::new();
        for n in 0..20 {
            let before = (
                first.request_count.load(Ordering::Relaxed),
                second.request_count.load(Ordering::Relaxed),
            );
            let reply = fleet.try_send(0, c.path, &format!("b{n}")).await;
            if first.request_count.load(Ordering::Relaxed) > before.0 {
                let second_count = second.request_count.load(Ordering::Relaxed) - before.1;
                outcomes.push((reply.status, second_count));
            }
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
        assert!(
            !outcomes.is_empty(),
            "{}: the first endpoint was tried",
            c.path
        );
        assert!(
            outcomes.iter().all(|s| *s == (c.status, c.second_count)),
            "{} refuse {}: {outcomes:?}",
            c.path,
            c.refuse
        );
    }
}

/// Guards against forwarding the answer to another request, which arrives on a
/// pooled connection.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_another_request_is_not_forwarded() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 0).await;
    let endpoint = RawEndpoint::start(|s| {
        let id = if s.number % 2 == 1 {
            "other"
        } else {
            s.attempt.as_str()
        };
        vec![send(whole_answer(id, &format!("for {id}")))]
    });
    let endpoint = endpoint.await.unwrap();
    fleet.announce("e", endpoint.addr, "plain");
    assert_eq!(fleet.send(0, "/once/x", "a1").await.text(), "for a1");
    let reply = fleet.try_send(0, "/once/x", "a2").await;
    assert_eq!(reply.status, 502);
    assert!(!reply.text().contains("for other"));
}

/// Guards against a team that can use more tokens than it has paid for, and
/// against a refusal while another router still has tokens of the team.
#[tokio::test(flavor = "multi_thread")]
async fn a_team_can_use_all_its_prepaid_tokens_and_no_more() {
    let fleet = Fleet::start(2).await;
    // Each request reserves 140 tokens and uses 100 for its prompt and 4 for
    // each of 5 events.
    let used = COUNTS.prompt + 20;
    fleet.publish(1, used * 6 + 20).await;
    let engine = RawEndpoint::start(|s| whole_stream(&s, 5)).await.unwrap();
    fleet.announce("e", engine.addr, "engines");
    let mut statuses = Vec::new();
    for n in 0..16 {
        let reply = fleet.send(n % 2, "/stream/x", &format!("t{n}")).await;
        statuses.push(reply.status);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(served, 6, "{statuses:?}");
    assert_eq!(
        engine.request_count.load(Ordering::Relaxed),
        6,
        "a refused request is not run"
    );
    assert!(
        statuses.iter().all(|s| matches!(s, 200 | 402 | 429)),
        "{statuses:?}"
    );
}

/// Guards against a 429 for tokens that the requests in flight will use, and against a 402
/// if these return enough.
#[rstest]
#[case::all_is_used(10, 402)]
#[case::a_quarter_is_returned(1, 429)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_beyond_the_tokens_in_flight_gets_402_or_429(
    #[case] events: u32,
    #[case] status: u16,
) {
    let fleet = Fleet::start(1).await;
    let used = COUNTS.prompt + 4 * u64::from(events);
    let prepaid = 10 * used + 3 * COUNTS.max_total();
    fleet.publish(1, prepaid).await;
    let engine = RawEndpoint::start(move |s| {
        let mut steps = whole_stream(&s, events);
        if s.attempt.starts_with("slow") {
            steps.insert(0, Step::Wait(Duration::from_secs(2)));
        }
        steps
    });
    let engine = engine.await.unwrap();
    fleet.announce("e", engine.addr, "engines");
    for n in 0..10 {
        assert_eq!(
            fleet.send(0, "/stream/x", &format!("t{n}")).await.status,
            200
        );
    }
    let slow = |id| fleet.try_send(0, "/single/x", id);
    let late = async {
        tokio::time::sleep(Duration::from_millis(800)).await;
        fleet.try_send(0, "/stream/x", "late").await
    };
    let (_, _, _, late) = tokio::join!(slow("slow0"), slow("slow1"), slow("slow2"), late);
    assert_eq!(late.status, status, "{}", late.text());
}

/// Guards against a planned stop that interrupts an answer in flight, or during
/// which callers are still sent to the router.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_completes_answers_in_flight() {
    let mut fleet = Fleet::start(1).await;
    fleet.publish(1, 100_000).await;
    let slow = RawEndpoint::start(|s| {
        let pieces = [chunk(&event(1)), chunk(&event(2)), "0\r\n\r\n".to_owned()];
        let mut steps = vec![send(stream_head(&s.attempt))];
        for piece in pieces {
            steps.push(Step::Wait(Duration::from_millis(250)));
            steps.push(send(piece));
        }
        steps
    });
    let slow = slow.await.unwrap();
    fleet.announce("e", slow.addr, "engines");
    fleet.send(0, "/stream/x", "warm").await;
    let relay = fleet.relays.remove(0);
    let (address, ready) = (relay.address(), relay.readiness());
    let call = call("/stream/x", "body", "last");
    let answer = tokio::spawn(async move { call.send(address, CALL_TIMEOUT).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(ready());
    let drained = tokio::spawn(relay.drain());
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!ready(), "callers are sent elsewhere at once");
    let reply = answer.await.unwrap().unwrap();
    assert_eq!(reply.text(), event(1) + &event(2));
    assert!(drained.await.unwrap(), "all tokens were returned");
}

/// Guards against request bodies that exceed the memory limit together, and
/// against memory that is not released after a request.
#[tokio::test(flavor = "multi_thread")]
async fn request_bodies_share_a_memory_limit() {
    let fleet = Fleet::start_with(1, |o| o.max_buffered_bytes(150_000)).await;
    fleet.publish(1, 1_000).await;
    let endpoint = RawEndpoint::start(|s| {
        let wait = Step::Wait(Duration::from_millis(300));
        vec![wait, send(whole_answer(&s.attempt, "done"))]
    });
    let endpoint = endpoint.await.unwrap();
    fleet.announce("e", endpoint.addr, "plain");
    assert_eq!(fleet.send(0, "/any/x", "a1").await.status, 200);
    let large = async |id: &str| {
        let call = call("/any/x", &"x".repeat(100_000), id);
        let reply = call.send(fleet.relays[0].address(), CALL_TIMEOUT).await;
        reply.unwrap()
    };
    let (a, b) = tokio::join!(large("a2"), large("a3"));
    let mut statuses = [a.status, b.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 503], "{} {}", a.text(), b.text());
    let bytes = fleet.relays[0].metrics().body_bytes.clone();
    eventually("the memory is released", || bytes.get() == 0).await;
    assert_eq!(large("a4").await.status, 200);
}
