//! Routers that reach control and each other over TCP sessions.

#![expect(
    clippy::unwrap_used,
    reason = "a failed set-up fails the test that uses it"
)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilloft_fakes::free_address;
use anvilloft_router::Router;
use anvilloft_router::daemon;
use anvilloft_settings::RouterSettings;
use anvilloft_settings::Secret;
use anvilloft_types::BoxFuture;
use anvilloft_wire::Control;
use anvilloft_wire::ControlReply;
use anvilloft_wire::control::Answer;
use anvilloft_wire::frame::Call;
use anvilloft_wire::frame::Payload;
use anvilloft_wire::session::Handler;
use anvilloft_wire::session::Identity;
use anvilloft_wire::session::Session;
use anvilloft_wire::session::serve;
use common::*;
use tokio::net::TcpListener;
use tokio::sync::watch;

const FLEET_KEY: &[u8] = b"0123456789abcdef0123456789abcdef";

/// Serves the fleet's ledger as a control member over TCP.
struct Member(Arc<dyn Control>);

impl Handler for Member {
    fn frame(&self, _: &Arc<Session>, _: Payload) {}

    fn call(&self, _: &Arc<Session>, call: Call) -> BoxFuture<'static, ControlReply> {
        let control = Arc::clone(&self.0);
        Box::pin(async move {
            let timeout = Duration::from_millis(call.timeout_ms);
            match control
                .call(call.request.unwrap_or_default(), timeout)
                .await
            {
                Ok(reply) => reply,
                Err(e) => Answer::Unknown(e.to_string()).into(),
            }
        })
    }
}

fn settings(name: &str, control: SocketAddr, routers: Vec<SocketAddr>) -> RouterSettings {
    RouterSettings::builder()
        .name(name)
        .data_centre("dc1")
        .caller_listen(free_address())
        .peer_listen(free_address())
        .control(vec![control])
        .routers(routers)
        .fleet_key(Secret::new(FLEET_KEY))
        .endpoint_key(Secret::new(ENDPOINT_KEY))
        .build()
        .unwrap()
}

/// Guards against daemons that can't register, serve, use a peer as relay to
/// control, or drain over TCP sessions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routers_work_over_sessions_and_relay_for_each_other() {
    let mut fleet = Fleet::start(0, 1_000_000).await;
    let link = fleet.control.join("member");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let control = listener.local_addr().unwrap();
    let identity = Identity::new("c1", "control", "dc1", Secret::new(FLEET_KEY));
    let (_stop, stopped) = watch::channel(false);
    let member = Arc::new(Member(link.control));
    tokio::spawn(serve(
        listener,
        Arc::new(identity),
        member,
        64,
        stopped,
        logger(),
    ));

    let first = settings("r0", control, Vec::new());
    let first_peer = first.peer_listen;
    fleet
        .routers
        .push(daemon::start(&first, &logger()).unwrap());
    // The second router can reach control only through its peer.
    let unreachable = free_address();
    let second = settings("r1", unreachable, vec![first_peer]);
    fleet
        .routers
        .push(daemon::start(&second, &logger()).unwrap());
    for router in &fleet.routers {
        assert!(router.wait_until_ready(TIMEOUT).await, "no lease");
    }
    // The endpoint announces itself to the first router only.
    let mut options = engine("e1");
    options.key = ENDPOINT_KEY.into();
    options.routers = vec![fleet.addr(0)];
    let _fake = anvilloft_fakes::FakeEndpoint::start(options).unwrap();
    wait_until(|| fleet.routers.iter().all(|r| r.endpoint_count() == 1)).await;
    for n in 0..2 {
        let reply = chat("tcp", true)
            .send(fleet.addr(n), TIMEOUT)
            .await
            .unwrap();
        assert_eq!(reply.content(), "[tcp] t1 t2 t3 t4 t5 t6 t7", "router {n}");
    }
    assert_eq!(fleet.settled().await, 18);
    fleet
        .control
        .set_items(vec![anvilloft_wire::config::Item::Default(
            anvilloft_wire::config::DefaultValue {
                name: "keep_ms".into(),
                value: 1000,
            },
        )]);
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let drains: Vec<Router> = fleet.routers.drain(..).rev().collect();
    for router in drains {
        assert!(router.drain(TIMEOUT).await, "not drained");
    }
    assert!(
        fleet
            .control
            .with_ledger(|l| l.open_incarnations())
            .is_empty()
    );
}
