//! Guards against forged, replayed and modified frames, memory use by
//! unauthenticated peers, silent connections, and call errors that are wrong
//! about whether a request may have run.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_wire::CallError;
use anvilloft_wire::Control;
use anvilloft_wire::ControlClient;
use anvilloft_wire::ControlRequest;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Expire;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::Query;
use anvilloft_wire::frame::Payload;
use anvilloft_wire::session::CLOSE_LIMIT;
use anvilloft_wire::session::CLOSE_TIMEOUT;
use anvilloft_wire::session::HEARTBEAT_INTERVAL;
use anvilloft_wire::session::Link;
use anvilloft_wire::session::MAX_QUEUED_BYTES;
use anvilloft_wire::session::PONG_TIMEOUT;
use anvilloft_wire::session::SILENCE_TIMEOUT;
use proptest::prelude::*;
use support::Fault;
use support::KEY;
use support::Recorder;
use support::identity;
use support::log;
use support::proxy;
use support::server;
use support::server_with_send_buffer;
use support::wait_for;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const TIMEOUT: Duration = Duration::from_secs(3);

fn link(address: std::net::SocketAddr, identity: anvilloft_wire::session::Identity) -> Link {
    let handler = Arc::new(Recorder::default());
    Link::start(address, Arc::new(identity), handler, log())
}

fn proposal() -> ControlRequest {
    Body::Expire(Expire {}).into()
}

fn query() -> ControlRequest {
    Query::default().into()
}

fn client(members: &[std::net::SocketAddr]) -> ControlClient {
    let handler = Arc::new(Recorder::default());
    ControlClient::start(members, Arc::new(identity("client", KEY)), handler, log())
}

#[tokio::test]
async fn a_peer_with_another_fleet_key_gets_no_session() {
    let server = server(identity("server", KEY), Recorder::default()).await;
    let other = link(server.address, identity("other", "another key"));
    let handshake_failed = || {
        server
            .identity
            .stats
            .handshakes_failed
            .load(Ordering::SeqCst)
            > 0
    };
    assert!(wait_for(TIMEOUT, handshake_failed).await);
    assert!(other.session().is_none());
    assert_eq!(server.identity.stats.opened.load(Ordering::SeqCst), 0);
    let good = link(server.address, identity("good", KEY));
    assert!(wait_for(TIMEOUT, || good.session().is_some()).await);
}

#[tokio::test]
async fn the_highest_common_version_is_used_and_without_one_the_handshake_fails() {
    struct Case {
        ours: (u32, u32),
        theirs: (u32, u32),
        version: Option<u32>,
    }
    let cases = [
        Case {
            ours: (1, 1),
            theirs: (1, 1),
            version: Some(1),
        },
        Case {
            ours: (1, 3),
            theirs: (2, 4),
            version: Some(3),
        },
        Case {
            ours: (1, 1),
            theirs: (2, 3),
            version: None,
        },
        Case {
            ours: (4, 5),
            theirs: (2, 3),
            version: None,
        },
    ];
    for case in cases {
        let mut ours = identity("server", KEY);
        ours.versions = case.ours;
        let server = server(ours, Recorder::default()).await;
        let mut theirs = identity("client", KEY);
        theirs.versions = case.theirs;
        let stats = theirs.stats.clone();
        let link = link(server.address, theirs);
        let handshake_done =
            || link.session().is_some() || stats.handshakes_failed.load(Ordering::SeqCst) > 0;
        assert!(wait_for(TIMEOUT, handshake_done).await);
        assert_eq!(link.session().map(|s| s.version()), case.version);
    }
}

#[tokio::test]
async fn modified_frames_end_the_session_and_are_not_delivered() {
    for fault in [
        Fault::Replay,
        Fault::Swap,
        Fault::FlipByte,
        Fault::Truncate,
        Fault::Oversize,
    ] {
        let server = server(identity("server", KEY), Recorder::default()).await;
        let proxy = proxy(server.address, fault).await;
        let link = link(proxy.address, identity("client", KEY));
        assert!(wait_for(TIMEOUT, || link.session().is_some()).await);
        let session = link.session().unwrap();
        session.send(Payload::Recall("before".into())).unwrap();
        let recalls = || server.handler.recalls.lock().unwrap().clone();
        assert!(wait_for(TIMEOUT, || recalls().len() == 1).await);
        proxy.armed.store(true, Ordering::SeqCst);
        session.send(Payload::Recall("first".into())).unwrap();
        session.send(Payload::Recall("second".into())).unwrap();
        let closed = tokio::time::timeout(TIMEOUT, session.ended()).await;
        assert!(closed.is_ok(), "{fault:?}");
        let received = recalls();
        // The original of a replayed frame is genuine; nothing else may arrive.
        let expected: &[&str] = match fault {
            Fault::Replay => &["before", "first"],
            _ => &["before"],
        };
        assert_eq!(received, expected, "{fault:?}");
    }
}

/// Guards against calls that are sent over a silent session until it is dropped.
#[tokio::test]
async fn a_silent_session_is_unresponsive_long_before_it_is_dropped() {
    let server = server(identity("c1", KEY), Recorder::default()).await;
    let proxy = proxy(server.address, Fault::None).await;
    let link = link(proxy.address, identity("c2", KEY));
    assert!(wait_for(Duration::from_secs(2), || link.session().is_some()).await);
    let session = link.session().unwrap();
    let was_silent = wait_for(3 * HEARTBEAT_INTERVAL, || !session.is_responsive()).await;
    assert!(!was_silent, "unresponsive while heartbeats are answered");
    proxy.freeze.send_replace(1);
    let limit = HEARTBEAT_INTERVAL + 2 * PONG_TIMEOUT;
    assert!(wait_for(limit, || !session.is_responsive()).await);
    assert!(session.is_open());
}

#[tokio::test]
async fn a_silent_connection_is_replaced_while_new_ones_work() {
    let handler = Recorder {
        answer: Some(Answer::QueryResult("{}".into())),
        ..Recorder::default()
    };
    let server = server(identity("server", KEY), handler).await;
    let proxy = proxy(server.address, Fault::None).await;
    let client = client(&[proxy.address]);
    assert!(client.call(query(), TIMEOUT).await.is_ok());
    let first = client.sessions().pop().unwrap();
    assert!(wait_for(TIMEOUT, || first.round_trip().is_some()).await);
    proxy.freeze.send_modify(|n| *n += 1);
    let start = Instant::now();
    let reply = client.call(query(), Duration::from_secs(6)).await;
    assert!(reply.is_ok(), "{reply:?}");
    assert!(
        start.elapsed() < Duration::from_secs(4),
        "{:?}",
        start.elapsed()
    );
    assert!(!first.is_open());
}

#[tokio::test]
async fn a_peer_that_reads_nothing_is_dropped_and_the_send_queue_stays_bounded() {
    let server = server(identity("server", KEY), Recorder::default()).await;
    let proxy = proxy(server.address, Fault::None).await;
    let link = link(proxy.address, identity("client", KEY));
    assert!(wait_for(TIMEOUT, || link.session().is_some()).await);
    let session = link.session().unwrap();
    proxy.freeze.send_modify(|n| *n += 1);
    let big = "x".repeat(1024 * 1024);
    let mut sent = 0;
    while session.send(Payload::Recall(big.clone())).is_ok() {
        sent += big.len();
    }
    assert!(sent <= MAX_QUEUED_BYTES);
    assert!(tokio::time::timeout(TIMEOUT, session.ended()).await.is_ok());
    let huge = "x".repeat(5 * 1024 * 1024);
    assert!(session.send(Payload::Recall(huge)).is_err());
}

/// Guards against frames that were queued before a session closes and don't arrive.
#[tokio::test]
async fn frames_queued_before_a_close_arrive() {
    struct Case {
        name: &'static str,
        /// Whether the side that accepted the session closes it.
        accepting_closes: bool,
        /// Whether the other side sends frames, too.
        both_send: bool,
    }
    let case = |name, accepting_closes, both_send| Case {
        name,
        accepting_closes,
        both_send,
    };
    let cases = [
        case("the dialling side", false, false),
        case("the accepting side", true, false),
        case("the dialling side, both send", false, true),
        case("the accepting side, both send", true, true),
    ];
    let count = 256;
    for case in cases.iter().cycle().take(5 * cases.len()) {
        let server = server(identity("server", KEY), Recorder::default()).await;
        let handler = Arc::new(Recorder::default());
        let client_identity = Arc::new(identity("client", KEY));
        let link = Link::start(server.address, client_identity, handler.clone(), log());
        let accepted = || server.handler.sessions.lock().unwrap().first().cloned();
        let is_open = || accepted().is_some() && link.session().is_some();
        assert!(wait_for(TIMEOUT, is_open).await);
        let (dialled, accepted) = (link.session().unwrap(), accepted().unwrap());
        let (closing, other, receiver) = match case.accepting_closes {
            true => (accepted, dialled, &handler),
            false => (dialled, accepted, &server.handler),
        };
        for n in 0..count {
            closing.send(Payload::Recall(format!("{n:01024}"))).unwrap();
            if case.both_send {
                other.send(Payload::Recall(format!("{n:01024}"))).unwrap();
            }
        }
        closing.close();
        assert!(closing.send(Payload::Recall("late".into())).is_err());
        let received = || receiver.recalls.lock().unwrap().len();
        wait_for(TIMEOUT, || received() == count).await;
        assert_eq!(received(), count, "{}", case.name);
        assert!(tokio::time::timeout(TIMEOUT, closing.ended()).await.is_ok());
    }
}

/// Guards against frames that are lost because a process that closes a session, or its
/// peer, gets no processor for a while.
#[tokio::test]
async fn frames_queued_before_a_close_arrive_after_a_time_without_processor() {
    let count = 256;
    let mut lost = Vec::new();
    for turns in (0..4).cycle().take(8) {
        let server = server(identity("server", KEY), Recorder::default()).await;
        let link = link(server.address, identity("client", KEY));
        let accepted = || server.handler.sessions.lock().unwrap().first().cloned();
        let is_open = || accepted().is_some() && link.session().is_some();
        assert!(wait_for(TIMEOUT, is_open).await);
        let (dialled, accepted) = (link.session().unwrap(), accepted().unwrap());
        for n in 0..count {
            dialled.send(Payload::Recall(format!("{n:01024}"))).unwrap();
            accepted.send(Payload::Recall(String::new())).unwrap();
        }
        dialled.close();
        for _ in 0..turns {
            tokio::task::yield_now().await;
        }
        // Both sessions run on this thread.
        std::thread::sleep(CLOSE_TIMEOUT + Duration::from_millis(100));
        let received = || server.handler.recalls.lock().unwrap().len();
        wait_for(TIMEOUT, || received() == count || !accepted.is_open()).await;
        if received() < count {
            lost.push((turns, count - received()));
        }
    }
    assert!(lost.is_empty(), "turns before, lost frames: {lost:?}");
}

/// Guards against frames that are lost because the peer reads slowly, though it reads on.
#[tokio::test]
async fn frames_queued_before_a_close_arrive_at_a_peer_that_reads_slowly() {
    let server = server_with_send_buffer(identity("server", KEY), 4096).await;
    let proxy = proxy(server.address, Fault::Delay).await;
    let handler = Arc::new(Recorder::default());
    let client_identity = Arc::new(identity("client", KEY));
    let link = Link::start(proxy.address, client_identity, handler.clone(), log());
    let accepted = || server.handler.sessions.lock().unwrap().first().cloned();
    let is_open = || accepted().is_some() && link.session().is_some();
    assert!(wait_for(TIMEOUT, is_open).await);
    let accepted = accepted().unwrap();
    proxy.armed.store(true, Ordering::SeqCst);
    let count = 20;
    for n in 0..count {
        accepted
            .send(Payload::Recall(format!("{n:08192}")))
            .unwrap();
    }
    let start = Instant::now();
    accepted.close();
    let received = || handler.recalls.lock().unwrap().len();
    wait_for(TIMEOUT, || received() == count).await;
    let took = start.elapsed();
    assert_eq!(received(), count);
    assert!(took > 2 * CLOSE_TIMEOUT, "the peer was not slow: {took:?}");
}

/// Guards against a close that waits for a peer that reads nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_close_does_not_wait_for_a_peer_that_reads_nothing() {
    // The buffers of the sockets are full long before the close, so that no further byte
    // is accepted: sealing what larger buffers take lasts for seconds in a debug build
    // on a busy machine.
    let server = server_with_send_buffer(identity("server", KEY), 4096).await;
    let proxy = proxy(server.address, Fault::None).await;
    let link = link(proxy.address, identity("client", KEY));
    let accepted = || server.handler.sessions.lock().unwrap().first().cloned();
    let is_open = || accepted().is_some() && link.session().is_some();
    assert!(wait_for(TIMEOUT, is_open).await);
    let session = accepted().unwrap();
    proxy.freeze.send_modify(|n| *n += 1);
    // More than the buffers of the sockets hold.
    for _ in 0..256 {
        session
            .send(Payload::Recall("x".repeat(64 * 1024)))
            .unwrap();
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(session.is_open());
    let start = Instant::now();
    session.close();
    assert!(tokio::time::timeout(TIMEOUT, session.ended()).await.is_ok());
    let took = start.elapsed();
    assert!(took < CLOSE_LIMIT, "{took:?}");
}

/// Guards against a close that waits for a peer that reads on for as long as it likes.
#[tokio::test]
async fn a_close_does_not_wait_long_for_a_peer_that_reads_slowly() {
    let server = server_with_send_buffer(identity("server", KEY), 4096).await;
    let proxy = proxy(server.address, Fault::Delay).await;
    let link = link(proxy.address, identity("client", KEY));
    let accepted = || server.handler.sessions.lock().unwrap().first().cloned();
    let is_open = || accepted().is_some() && link.session().is_some();
    assert!(wait_for(TIMEOUT, is_open).await);
    let session = accepted().unwrap();
    proxy.armed.store(true, Ordering::SeqCst);
    for n in 0..200 {
        session.send(Payload::Recall(format!("{n:08192}"))).unwrap();
    }
    let start = Instant::now();
    session.close();
    assert!(tokio::time::timeout(TIMEOUT, session.ended()).await.is_ok());
    let took = start.elapsed();
    assert!(took < CLOSE_LIMIT + Duration::from_secs(1), "{took:?}");
    assert!(took > 2 * CLOSE_TIMEOUT, "the peer was not slow: {took:?}");
}

/// Guards against a session that is dropped as silent while the peer reads a long queue.
#[tokio::test]
async fn a_session_stays_open_while_the_peer_reads_a_long_queue() {
    let server = server_with_send_buffer(identity("server", KEY), 4096).await;
    let proxy = proxy(server.address, Fault::Delay).await;
    let handler = Arc::new(Recorder::default());
    let client_identity = Arc::new(identity("client", KEY));
    let link = Link::start(proxy.address, client_identity, handler.clone(), log());
    let accepted = || server.handler.sessions.lock().unwrap().first().cloned();
    let is_open = || accepted().is_some() && link.session().is_some();
    assert!(wait_for(TIMEOUT, is_open).await);
    let accepted = accepted().unwrap();
    proxy.armed.store(true, Ordering::SeqCst);
    let count = 120;
    for n in 0..count {
        accepted
            .send(Payload::Recall(format!("{n:08192}")))
            .unwrap();
    }
    let start = Instant::now();
    let received = || handler.recalls.lock().unwrap().len();
    wait_for(4 * TIMEOUT, || received() == count || !accepted.is_open()).await;
    let took = start.elapsed();
    assert!(accepted.is_open(), "ended after {took:?}");
    assert_eq!(received(), count);
    assert!(took > SILENCE_TIMEOUT, "the peer was not slow: {took:?}");
}

/// Guards against a session that keeps the thread, and so its own close, heartbeats and
/// other sessions, waiting while it checks a long queue.
#[tokio::test]
async fn other_tasks_run_between_the_frames_of_a_long_queue() {
    let server = server(identity("server", KEY), Recorder::default()).await;
    let link = link(server.address, identity("client", KEY));
    assert!(wait_for(TIMEOUT, || link.session().is_some()).await);
    let session = link.session().unwrap();
    let (count, len) = (32, 64 * 1024);
    for _ in 0..count {
        session.send(Payload::Recall("x".repeat(len))).unwrap();
    }
    let received = || server.handler.recalls.lock().unwrap().len();
    let start = Instant::now();
    let (mut last, mut most) = (0, 0);
    while last < count && start.elapsed() < 2 * TIMEOUT {
        tokio::task::yield_now().await;
        let now = received();
        most = most.max(now - last);
        last = now;
    }
    assert_eq!(last, count);
    assert_eq!(most, 1, "frames that were checked in one turn");
}

/// Guards against a call that is reported as not run although the peer received it
/// while the session closed.
#[tokio::test]
async fn a_call_queued_before_a_close_runs_only_if_its_outcome_is_unknown() {
    for _ in 0..20 {
        let server = server(identity("server", KEY), Recorder::default()).await;
        let link = link(server.address, identity("client", KEY));
        assert!(wait_for(TIMEOUT, || link.session().is_some()).await);
        let session = link.session().unwrap();
        let (result, ()) = tokio::join!(session.call(proposal(), TIMEOUT, 0), async {
            session.close();
        });
        tokio::time::sleep(Duration::from_millis(50)).await;
        let was_received = !server.handler.hops.lock().unwrap().is_empty();
        match result {
            Err(CallError::Unavailable(_)) => assert!(!was_received),
            Err(CallError::Unknown(_)) => {}
            Ok(reply) => panic!("{reply:?}"),
        }
    }
}

#[tokio::test]
async fn errors_tell_whether_a_proposal_may_have_run() {
    let limit = Duration::from_millis(300);
    // Bound but not listening: connections are refused, and no server of
    // another test can take the port.
    let not_listening = tokio::net::TcpSocket::new_v4().unwrap();
    not_listening.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let refused_address = not_listening.local_addr().unwrap();
    let err = client(&[refused_address]).call(proposal(), limit).await;
    assert!(matches!(err, Err(CallError::Unavailable(_))), "{err:?}");

    let unresponsive = server(identity("unresponsive", KEY), Recorder::default()).await;
    let client_of_unresponsive = client(&[unresponsive.address]);
    assert!(wait_for(TIMEOUT, || !client_of_unresponsive.sessions().is_empty()).await);
    let err = client_of_unresponsive.call(proposal(), limit).await;
    assert!(matches!(err, Err(CallError::Unknown(_))), "{err:?}");
    let err = client_of_unresponsive.call(query(), limit).await;
    assert!(matches!(err, Err(CallError::Unavailable(_))), "{err:?}");

    // A later `Unavailable` must not hide that an earlier attempt may have run.
    let refusing = Recorder {
        answer: Some(Answer::Unavailable("no majority".into())),
        ignore_first_call: true,
        ..Recorder::default()
    };
    let refusing_server = server(identity("refusing_server", KEY), refusing).await;
    let client = client(&[refusing_server.address]);
    let err = client.call(proposal(), Duration::from_millis(1500)).await;
    assert!(matches!(err, Err(CallError::Unknown(_))), "{err:?}");
    assert!(refusing_server.handler.hops.lock().unwrap().len() > 1);
}

/// Guards against a client that sends every call to a leader that is cut off from
/// its group and doesn't reply.
#[tokio::test]
async fn a_call_goes_to_another_member_after_the_leader_did_not_reply() {
    let silent = server(identity("silent", KEY), Recorder::default()).await;
    let next = Recorder {
        answer: Some(Answer::QueryResult("done".into())),
        ..Recorder::default()
    };
    let next = server(identity("next", KEY), next).await;
    let client = client(&[silent.address, next.address]);
    assert!(wait_for(TIMEOUT, || client.sessions().len() == 2).await);
    let one_attempt = Duration::from_secs(1);
    let first = client.call(query(), one_attempt).await;
    assert!(first.is_err(), "{first:?}");
    let second = client.call(query(), one_attempt).await;
    assert!(second.is_ok(), "{second:?}");
}

#[tokio::test]
async fn calls_go_to_the_leader_and_without_members_to_router_peers() {
    let done = || Some(Answer::QueryResult("done".into()));
    let leader = Recorder {
        answer: done(),
        ..Recorder::default()
    };
    let leader = server(identity("leader", KEY), leader).await;
    let follower = Recorder {
        answer: Some(Answer::NotLeader(leader.address.to_string())),
        ..Recorder::default()
    };
    let follower = server(identity("follower", KEY), follower).await;
    let client_of_follower = client(&[follower.address]);
    assert!(client_of_follower.call(query(), TIMEOUT).await.is_ok());
    assert_eq!(*leader.handler.hops.lock().unwrap(), [0]);

    let relay = Recorder {
        answer: done(),
        ..Recorder::default()
    };
    let relay = server(identity("relay", KEY), relay).await;
    let to_relay = link(relay.address, identity("client", KEY));
    assert!(wait_for(TIMEOUT, || to_relay.session().is_some()).await);
    let cut_off = client(&[]);
    let session = to_relay.session().unwrap();
    cut_off.set_fallback_peers(move || vec![session.clone()]);
    assert!(cut_off.call(query(), TIMEOUT).await.is_ok());
    assert_eq!(*relay.handler.hops.lock().unwrap(), [0]);
    // A call that a peer relayed is not relayed to another peer.
    let err = cut_off
        .call_members(query(), Duration::from_millis(100))
        .await;
    assert!(matches!(err, Err(CallError::Unavailable(_))), "{err:?}");
}

#[test]
fn arbitrary_bytes_open_no_session_and_do_not_stop_the_server() {
    let rt = tokio::runtime::Runtime::new().unwrap();
    let server = rt.block_on(server(identity("server", KEY), Recorder::default()));
    let config = ProptestConfig {
        cases: 64,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    proptest!(config, |(buf in proptest::collection::vec(any::<u8>(), 0..2048), framed: bool)| {
        rt.block_on(async {
            let mut stream = TcpStream::connect(server.address).await.unwrap();
            if framed {
                let _ = stream.write_u32(buf.len() as u32).await;
            }
            let _ = stream.write_all(&buf).await;
        });
    });
    assert_eq!(server.identity.stats.opened.load(Ordering::SeqCst), 0);
    rt.block_on(async {
        let good = link(server.address, identity("good", KEY));
        assert!(wait_for(TIMEOUT, || good.session().is_some()).await);
    });
}
