//! Requests whose deadline passes while an endpoint has them.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::Step;
use anvilloft_fakes::raw::whole_answer;

use crate::common::CALL_TIMEOUT;
use crate::common::Fleet;
use crate::common::call;
use crate::common::send;

/// Requests that follow each short one. They reach both endpoints, but for a chance of one
/// in millions.
const FOLLOWERS: usize = 24;

/// Guards against a sound endpoint that is avoided because a caller waits for less time
/// than the rest of the answer takes.
#[rstest::rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_short_deadline_is_no_failure_of_the_endpoint(#[values("/any/x", "/once/x")] path: &str) {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let counts = [Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0))];
    for (name, count) in ["e1", "e2"].into_iter().zip(&counts) {
        let count = Arc::clone(count);
        let endpoint = RawEndpoint::start(move |req| {
            let answer = whole_answer(&req.attempt, "done");
            if !req.attempt.starts_with("short") {
                count.fetch_add(1, Ordering::Relaxed);
                return vec![send(answer)];
            }
            let (head, body) = answer.split_at(answer.len() - 4);
            vec![
                send(head),
                Step::Wait(Duration::from_millis(400)),
                send(body),
            ]
        });
        let endpoint = endpoint.await.unwrap();
        fleet.announce(name, endpoint.addr, "plain");
    }
    while counts.iter().any(|n| n.load(Ordering::Relaxed) == 0) {
        assert_eq!(fleet.send(0, path, "warm").await.status, 200);
    }
    for n in 0..4 {
        let short = call(path, "body", &format!("short-{n}")).header("x-wait-ms", "150");
        let reply = short.send(fleet.relays[0].address(), CALL_TIMEOUT).await;
        assert_eq!(reply.unwrap().status, 504);
        counts.iter().for_each(|n| n.store(0, Ordering::Relaxed));
        for m in 0..FOLLOWERS {
            let reply = fleet.try_send(0, path, &format!("f{n}-{m}")).await;
            assert_eq!(reply.status, 200, "{}", reply.text());
        }
        let served: Vec<u64> = counts.iter().map(|n| n.load(Ordering::Relaxed)).collect();
        assert!(!served.contains(&0), "after short request {n}: {served:?}");
    }
}
