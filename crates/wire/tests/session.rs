//! Guards against forged, replayed and changed frames, memory taken for
//! unauthenticated peers, silent connections, and untrue call errors.

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
use anvilloft_wire::session::Link;
use anvilloft_wire::session::MAX_QUEUED_BYTES;
use proptest::prelude::*;
use support::Fault;
use support::KEY;
use support::Recorder;
use support::identity;
use support::log;
use support::proxy;
use support::server;
use support::wait_for;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const SOON: Duration = Duration::from_secs(3);

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
async fn a_peer_with_another_key_gets_no_session() {
    let server = server(identity("server", KEY), Recorder::default()).await;
    let other = link(server.address, identity("other", "another key"));
    let failed = || {
        server
            .identity
            .stats
            .handshakes_failed
            .load(Ordering::SeqCst)
            > 0
    };
    assert!(wait_for(SOON, failed).await);
    assert!(other.session().is_none());
    assert_eq!(server.identity.stats.opened.load(Ordering::SeqCst), 0);
    let good = link(server.address, identity("good", KEY));
    assert!(wait_for(SOON, || good.session().is_some()).await);
}

#[tokio::test]
async fn the_highest_common_version_is_used_or_the_session_refused() {
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
        let mut own = identity("server", KEY);
        own.versions = case.ours;
        let server = server(own, Recorder::default()).await;
        let mut peer = identity("client", KEY);
        peer.versions = case.theirs;
        let stats = peer.stats.clone();
        let link = link(server.address, peer);
        let settled =
            || link.session().is_some() || stats.handshakes_failed.load(Ordering::SeqCst) > 0;
        assert!(wait_for(SOON, settled).await);
        assert_eq!(link.session().map(|s| s.version()), case.version);
    }
}

#[tokio::test]
async fn changed_frames_end_the_session_and_are_not_delivered() {
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
        assert!(wait_for(SOON, || link.session().is_some()).await);
        let session = link.session().unwrap();
        session.send(Payload::Recall("before".into())).unwrap();
        let recalls = || server.handler.recalls.lock().unwrap().clone();
        assert!(wait_for(SOON, || recalls().len() == 1).await);
        proxy.armed.store(true, Ordering::SeqCst);
        session.send(Payload::Recall("first".into())).unwrap();
        session.send(Payload::Recall("second".into())).unwrap();
        let closed = tokio::time::timeout(SOON, session.ended()).await;
        assert!(closed.is_ok(), "{fault:?}");
        let got = recalls();
        // A replayed frame's original is genuine; nothing else may arrive.
        let allowed: &[&str] = match fault {
            Fault::Replay => &["before", "first"],
            _ => &["before"],
        };
        assert_eq!(got, allowed, "{fault:?}");
    }
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
    assert!(client.call(query(), SOON).await.is_ok());
    let first = client.sessions().pop().unwrap();
    assert!(wait_for(SOON, || first.round_trip().is_some()).await);
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
async fn a_peer_that_takes_nothing_is_dropped_and_the_queue_stays_bounded() {
    let server = server(identity("server", KEY), Recorder::default()).await;
    let proxy = proxy(server.address, Fault::None).await;
    let link = link(proxy.address, identity("client", KEY));
    assert!(wait_for(SOON, || link.session().is_some()).await);
    let session = link.session().unwrap();
    proxy.freeze.send_modify(|n| *n += 1);
    let big = "x".repeat(1024 * 1024);
    let mut sent = 0;
    while session.send(Payload::Recall(big.clone())).is_ok() {
        sent += big.len();
    }
    assert!(sent <= MAX_QUEUED_BYTES);
    assert!(tokio::time::timeout(SOON, session.ended()).await.is_ok());
    let huge = "x".repeat(5 * 1024 * 1024);
    assert!(session.send(Payload::Recall(huge)).is_err());
}

#[tokio::test]
async fn errors_say_truly_whether_a_proposal_may_have_run() {
    let limit = Duration::from_millis(300);
    // Bound but not listening: connections are refused, and no server of
    // another test can take the port.
    let absent = tokio::net::TcpSocket::new_v4().unwrap();
    absent.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let nowhere = absent.local_addr().unwrap();
    let err = client(&[nowhere]).call(proposal(), limit).await;
    assert!(matches!(err, Err(CallError::Unavailable(_))), "{err:?}");

    let mute = server(identity("mute", KEY), Recorder::default()).await;
    let to_mute = client(&[mute.address]);
    assert!(wait_for(SOON, || !to_mute.sessions().is_empty()).await);
    let err = to_mute.call(proposal(), limit).await;
    assert!(matches!(err, Err(CallError::Unknown(_))), "{err:?}");
    let err = to_mute.call(query(), limit).await;
    assert!(matches!(err, Err(CallError::Unavailable(_))), "{err:?}");

    // A later refusal must not hide that an earlier attempt may have run.
    let refusing = Recorder {
        answer: Some(Answer::Unavailable("no majority".into())),
        mute_once: true,
        ..Recorder::default()
    };
    let refuses = server(identity("refuses", KEY), refusing).await;
    let client = client(&[refuses.address]);
    let err = client.call(proposal(), Duration::from_millis(1500)).await;
    assert!(matches!(err, Err(CallError::Unknown(_))), "{err:?}");
    assert!(refuses.handler.hops.lock().unwrap().len() > 1);
}

/// Guards against a client that spends every call on a leader which was cut
/// from its group and answers nothing.
#[tokio::test]
async fn a_call_follows_another_member_after_the_leader_fell_silent() {
    let silent = server(identity("silent", KEY), Recorder::default()).await;
    let next = Recorder {
        answer: Some(Answer::QueryResult("done".into())),
        ..Recorder::default()
    };
    let next = server(identity("next", KEY), next).await;
    let client = client(&[silent.address, next.address]);
    assert!(wait_for(SOON, || client.sessions().len() == 2).await);
    let one_attempt = Duration::from_secs(1);
    let first = client.call(query(), one_attempt).await;
    assert!(first.is_err(), "{first:?}");
    let second = client.call(query(), one_attempt).await;
    assert!(second.is_ok(), "{second:?}");
}

#[tokio::test]
async fn calls_follow_the_leader_and_use_router_peers_without_a_member() {
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
    assert!(client_of_follower.call(query(), SOON).await.is_ok());
    assert_eq!(*leader.handler.hops.lock().unwrap(), [0]);

    let relay = Recorder {
        answer: done(),
        ..Recorder::default()
    };
    let relay = server(identity("relay", KEY), relay).await;
    let to_relay = link(relay.address, identity("client", KEY));
    assert!(wait_for(SOON, || to_relay.session().is_some()).await);
    let cut_off = client(&[]);
    let session = to_relay.session().unwrap();
    cut_off.set_fallback_peers(move || vec![session.clone()]);
    assert!(cut_off.call(query(), SOON).await.is_ok());
    assert_eq!(*relay.handler.hops.lock().unwrap(), [0]);
    // A call that a peer passed on goes to no further peer.
    let err = cut_off
        .call_members(query(), Duration::from_millis(100))
        .await;
    assert!(matches!(err, Err(CallError::Unavailable(_))), "{err:?}");
}

#[test]
fn arbitrary_bytes_open_no_session_and_stop_no_server() {
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
        assert!(wait_for(SOON, || good.session().is_some()).await);
    });
}
