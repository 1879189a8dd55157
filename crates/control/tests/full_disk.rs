//! Calls of endpoints and operators at a member whose disk is full.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anvilloft_control::driver::Driver;
use anvilloft_control::driver::DriverConfig;
use anvilloft_control::peers::Peers;
use anvilloft_control::registry::AnnounceOutcome;
use anvilloft_settings::Secret;
use anvilloft_storage::MemDisk;
use anvilloft_wire::CallError;
use anvilloft_wire::Control;
use anvilloft_wire::ControlReply;
use anvilloft_wire::ControlRequest;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Publish;
use anvilloft_wire::compression::compress;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::Query;
use anvilloft_wire::frame::EndpointUpdate;
use anvilloft_wire::session::Identity;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::runtime;

/// Timeout of each call.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// How much longer than its timeout a call may take.
const SLACK: Duration = Duration::from_millis(500);

fn publish(version: u64) -> ControlRequest {
    let publish = Publish {
        version,
        source: compress(b"table").unwrap(),
        prepaid: Vec::new(),
    };
    Body::Publish(publish).into()
}

fn read() -> ControlRequest {
    let query = Query {
        kind: "publication".to_owned(),
        ..Query::default()
    };
    query.into()
}

fn is_done(result: &Result<ControlReply, CallError>) -> bool {
    matches!(
        result.as_ref().map(|reply| &reply.answer),
        Ok(Some(Answer::Applied(_) | Answer::QueryResult(_)))
    )
}

/// Guards against a call that gets no answer, or a change that is acknowledged and not
/// stored, while the member's disk is full.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_call_is_answered_while_the_disk_is_full() {
    let log = Logger::root(Discard, o!());
    let mut identity = Identity::new("c", "control", "a", Secret::new([7; 32]));
    identity.member = 1;
    let peers = Peers::new(
        Arc::new(identity),
        runtime::Handle::current(),
        64,
        Duration::from_millis(600),
        log.clone(),
    );
    let disk = MemDisk::new();
    let mut cfg = DriverConfig::new(1, Box::new(disk.clone()), peers.clone(), log, 1);
    cfg.bootstrap_address = Some("127.0.0.1:1".to_owned());
    let driver = Driver::start(cfg).unwrap();
    peers.set_handle(driver.handle());
    let first = peers.call(publish(1), 4 * TIMEOUT).await;
    assert!(is_done(&first), "{first:?}");

    disk.set_room(Some(10));
    let start = Instant::now();
    // The first of them fills the disk; the others find it full.
    let calls = [publish(2), read(), publish(3), read()].map(|req| peers.call(req, TIMEOUT));
    for result in futures::future::join_all(calls).await {
        assert!(!is_done(&result), "{result:?}");
    }
    let took = start.elapsed();
    assert!(took < TIMEOUT + SLACK, "{took:?}");
    assert!(driver.handle().status().borrow().disk_full);
    let start = Instant::now();
    for req in [publish(4), read()] {
        let result = peers.call(req, TIMEOUT).await;
        assert!(
            matches!(result, Err(CallError::Unavailable(_))),
            "{result:?}"
        );
    }
    let took = start.elapsed();
    assert!(took < SLACK, "{took:?}");
    let update = EndpointUpdate {
        id: "e".to_owned(),
        ..EndpointUpdate::default()
    };
    assert_eq!(peers.announce(update), AnnounceOutcome::Changed);

    disk.set_room(None);
    let mut status = driver.handle().status();
    let has_room = tokio::time::timeout(TIMEOUT, status.wait_for(|s| !s.disk_full));
    assert!(has_room.await.is_ok());
    for req in [publish(5), read()] {
        let result = peers.call(req, 4 * TIMEOUT).await;
        assert!(is_done(&result), "{result:?}");
    }
    let stopped = tokio::task::spawn_blocking(move || driver.stop()).await;
    stopped.unwrap().unwrap();
}
