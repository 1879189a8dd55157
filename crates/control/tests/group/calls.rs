//! Calls at a member whose group can't answer.

use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_wire::control::Control;
use anvilloft_wire::control::Query;

use crate::hosts::Hosts;

fn query() -> Query {
    Query {
        kind: "publication".to_owned(),
        ..Query::default()
    }
}

/// Guards against calls without an answer that leave no trace.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_without_an_answer_are_counted_by_what_happened_to_them() {
    const LIMIT: Duration = Duration::from_millis(400);
    let mut hosts = Hosts::group(3).await;
    for killed in [1, 2] {
        hosts.kill(killed).await;
    }
    let peers = hosts.daemon(0).peers();
    let counts = || {
        let calls = peers.unanswered_calls();
        let load = |n: &std::sync::atomic::AtomicU64| n.load(Ordering::Relaxed);
        (load(calls.refused()), load(calls.abandoned()))
    };
    assert_eq!(counts(), (0, 0));
    let reply = peers.call(query().into(), LIMIT).await;
    assert!(reply.is_err(), "{reply:?}");
    assert_eq!(counts(), (1, 0));
    let left = tokio::time::timeout(LIMIT / 8, peers.call(query().into(), LIMIT)).await;
    assert!(left.is_err(), "{left:?}");
    assert_eq!(counts(), (1, 1));
}
