//! Kept connections to endpoints, and what requests on them get.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::Step;
use anvilloft_fakes::raw::whole_answer;

use crate::common::Fleet;
use crate::common::chunk;
use crate::common::event;
use crate::common::send;
use crate::common::stream_head;
use crate::common::whole_stream;

/// Number of the last event of each stream.
const LAST: u32 = 3;

/// Guards against a request that fails as the idle connections to two endpoints were
/// closed while it was sent on them.
#[rstest::rstest]
#[case::plain("any", "plain")]
#[case::stream("stream", "engines")]
#[tokio::test(flavor = "multi_thread")]
async fn a_second_stale_connection_fails_no_request(
    #[case] path: &'static str,
    #[case] service: &'static str,
) {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let is_stale = Arc::new(AtomicBool::new(false));
    let mut endpoints = Vec::new();
    for name in ["e1", "e2"] {
        let (used, is_stale) = (Mutex::new(HashSet::new()), Arc::clone(&is_stale));
        let endpoint = RawEndpoint::start(move |req| {
            let is_new = used.lock().unwrap().insert(req.connection);
            if !is_new && is_stale.load(Ordering::Relaxed) {
                return vec![Step::Close];
            }
            let mut steps = match req.head.contains("/any/") {
                true => vec![send(whole_answer(&req.attempt, "done"))],
                false => whole_stream(&req, LAST),
            };
            steps.insert(0, Step::Wait(Duration::from_millis(20)));
            steps
        });
        let endpoint = endpoint.await.unwrap();
        fleet.announce(name, endpoint.addr, service);
        endpoints.push(endpoint);
    }
    let path = format!("/{path}/x");
    let is_used = |e: &RawEndpoint| e.request_count.load(Ordering::Relaxed) > 0;
    for round in 0..100 {
        let ids: Vec<String> = (0..8).map(|n| format!("w{round}-{n}")).collect();
        let warm_up = ids.iter().map(|id| fleet.send(0, &path, id));
        for reply in futures::future::join_all(warm_up).await {
            assert_eq!((reply.status, reply.complete), (200, true));
        }
        if endpoints.iter().all(is_used) {
            break;
        }
    }
    assert!(endpoints.iter().all(is_used), "an endpoint gets no request");
    is_stale.store(true, Ordering::Relaxed);
    let reply = fleet.send(0, &path, "r").await;
    assert_eq!(
        (reply.status, reply.complete),
        (200, true),
        "{}",
        reply.text()
    );
}

/// Guards against a request on the connection of an answer that was of no use.
#[rstest::rstest]
#[case::repeated_events(&[1, 2, 3])]
#[case::no_event(&[])]
#[tokio::test(flavor = "multi_thread")]
async fn the_connection_of_an_answer_of_no_use_is_closed(#[case] events: &'static [u32]) {
    let fleet = Fleet::start_with(1, |o| o.retries(Duration::from_secs(1), 1.0, 1e6)).await;
    fleet.publish(1, 1_000_000).await;
    // Connections with an odd answer, and how many of them carried another request.
    let seen = Arc::new(Mutex::new((HashSet::new(), 0)));
    for name in ["e1", "e2"] {
        let seen = Arc::clone(&seen);
        let endpoint = RawEndpoint::start(move |req| {
            let (odd_ones, reused) = &mut *seen.lock().unwrap();
            *reused += u32::from(odd_ones.contains(&(name, req.connection)));
            if req.head.contains("last-event-id: ") {
                odd_ones.insert((name, req.connection));
                let events: String = events.iter().map(|&id| event(id)).collect();
                let chunk = match events.is_empty() {
                    true => String::new(),
                    false => chunk(&events),
                };
                return vec![send(stream_head(&req.attempt) + &chunk + "0\r\n\r\n")];
            }
            if req.attempt.starts_with("whole") {
                return whole_stream(&req, LAST);
            }
            let partial = stream_head(&req.attempt) + &chunk(&event(1)) + &chunk(&event(2));
            vec![
                send(partial),
                Step::Wait(Duration::from_millis(20)),
                Step::Close,
            ]
        });
        fleet.announce(name, endpoint.await.unwrap().addr, "engines");
    }
    for n in 0..10 {
        let reply = fleet.send(0, "/stream/x", &format!("broken{n}")).await;
        assert!(!reply.complete, "{}", reply.text());
        for m in 0..2 {
            let reply = fleet.send(0, "/stream/x", &format!("whole{n}-{m}")).await;
            assert!(reply.complete, "{}", reply.text());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let (odd_ones, reused) = &*seen.lock().unwrap();
    assert!(!odd_ones.is_empty(), "no request to go on was seen");
    assert_eq!(*reused, 0, "of {} connections", odd_ones.len());
}
