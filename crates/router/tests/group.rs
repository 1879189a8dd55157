//! Routers with a control group of three members, all within this process.

#![expect(
    clippy::unwrap_used,
    reason = "a failed set-up fails the test that uses it"
)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anvilloft_control::ControlDaemon;
use anvilloft_fakes::FakeEndpoint;
use anvilloft_fakes::FakeEndpointOptions;
use anvilloft_fakes::free_address;
use anvilloft_fakes::http::Call;
use anvilloft_ledger::set_op;
use anvilloft_router::Router;
use anvilloft_router::daemon;
use anvilloft_settings::ControlSettings;
use anvilloft_settings::GroupStart;
use anvilloft_settings::RouterSettings;
use anvilloft_settings::Secret;
use anvilloft_telemetry::Metrics;
use anvilloft_wire::Control;
use anvilloft_wire::ControlRequest;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::ConfigChange;
use anvilloft_wire::command::TopUp;
use anvilloft_wire::config::Budget;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::Key;
use anvilloft_wire::config::Model;
use anvilloft_wire::config::Service;
use anvilloft_wire::config::Team;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::GroupAction;
use anvilloft_wire::control::GroupRequest;
use common::*;
use sha2::Digest;

const FLEET_KEY: &[u8] = b"0123456789abcdef0123456789abcdef";
const TOKENS: i64 = 200_000;

/// Calls a member until it applies the command or answers the query.
async fn call(member: &ControlDaemon, req: ControlRequest) -> Answer {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let reply = member.handle().call(req.clone(), TIMEOUT).await;
        match reply.map(|r| r.answer) {
            Ok(Some(answer @ (Answer::Applied(_) | Answer::QueryResult(_)))) => return answer,
            other => assert!(Instant::now() < deadline, "{other:?}"),
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

async fn start_group(folder: &std::path::Path) -> Vec<ControlDaemon> {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let peers: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let mut members = Vec::new();
    for i in [1, 2, 0] {
        let settings = ControlSettings::builder()
            .name(format!("c{i}"))
            .data_centre(format!("dc{}", i + 1))
            .data_folder(folder.join(format!("c{i}")))
            .peer_listen(peers[i])
            .admin_listen(free_address())
            .group(if i == 0 {
                GroupStart::New
            } else {
                GroupStart::Join
            })
            .group_wait(Duration::from_secs(2))
            .peers(peers.clone())
            .fleet_key(Secret::new(FLEET_KEY))
            .build()
            .unwrap();
        let metrics = Metrics::new().unwrap();
        members.push(
            ControlDaemon::start(settings, metrics, log.clone())
                .await
                .unwrap(),
        );
    }
    members.rotate_right(1);
    let group = |action: GroupAction, i: usize| GroupRequest {
        action: action as i32,
        member: members[i].member_id(),
        address: peers[i].to_string(),
    };
    for i in [1, 2] {
        call(&members[0], group(GroupAction::AddLearner, i).into()).await;
        let deadline = Instant::now() + TIMEOUT;
        loop {
            call(&members[0], group(GroupAction::Promote, i).into()).await;
            let status = call(&members[0], group(GroupAction::Status, i).into()).await;
            let Answer::QueryResult(text) = status else {
                panic!("{status:?}");
            };
            let status: serde_json::Value = serde_json::from_str(&text).unwrap();
            let members = status["members"].as_array().unwrap();
            if members.iter().filter(|m| m["voter"] == true).count() == i + 1 {
                break;
            }
            assert!(Instant::now() < deadline, "{text}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    members
}

async fn configure(member: &ControlDaemon) {
    let items = vec![
        Item::Team(Team {
            name: "team".into(),
            default_rank: "normal".into(),
            weight: 1,
            disabled: false,
        }),
        Item::Budget(Budget {
            name: BUDGET.into(),
            team: "team".into(),
        }),
        Item::Key(Key {
            name: "k".into(),
            team: "team".into(),
            budget: BUDGET.into(),
            hash: sha2::Sha256::digest(KEY).to_vec(),
            role: String::new(),
        }),
        Item::Model(Model {
            name: "m".into(),
            version: String::new(),
            default_max_tokens: 16,
            max_tokens: 1000,
        }),
        Item::Service(Service {
            name: "orders".into(),
            idempotent: false,
            price: 10,
        }),
    ];
    let change = ConfigChange {
        change_id: "set-up".into(),
        base_revision: 0,
        author: "test".into(),
        reason: "test".into(),
        ops: items.into_iter().map(set_op).collect(),
        dry_run: false,
    };
    call(member, Body::ConfigChange(change).into()).await;
    let top_up = TopUp {
        id: "t".into(),
        budget: BUDGET.into(),
        amount: TOKENS,
        author: "test".into(),
        reason: "test".into(),
    };
    call(member, Body::TopUp(top_up).into()).await;
}

/// Guards against refused, lost or duplicated requests when the control leader
/// dies: callers get answers, orders run once, and the budget stays exact.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn death_of_the_control_leader_fails_no_request() {
    let dir = tempfile::tempdir().unwrap();
    let mut members = start_group(dir.path()).await;
    configure(&members[0]).await;
    let control: Vec<SocketAddr> = members.iter().map(ControlDaemon::peer_address).collect();
    let log = logger();
    let mut routers = Vec::new();
    for n in 0..2 {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = RouterSettings::builder()
            .name(format!("r{n}"))
            .data_centre(format!("dc{}", n + 1))
            .caller_listen(any)
            .peer_listen(any)
            .control(control.clone())
            .fleet_key(Secret::new(FLEET_KEY))
            .endpoint_key(Secret::new(ENDPOINT_KEY))
            .build()
            .unwrap();
        routers.push(daemon::start(&settings, &log).unwrap());
    }
    for router in &routers {
        assert!(router.wait_until_ready(TIMEOUT).await, "no lease");
    }
    let addresses: Vec<SocketAddr> = routers.iter().map(Router::address).collect();
    let start = |mut options: FakeEndpointOptions| {
        options.key = ENDPOINT_KEY.into();
        options.routers = addresses.clone();
        options.slots = 64;
        FakeEndpoint::start(options).unwrap()
    };
    let mut options = engine("e1");
    options.token_delay = Duration::from_millis(5);
    let _engine = start(options);
    let shop = start(FakeEndpointOptions::service("o1", "orders"));
    wait_until(|| routers.iter().all(|r| r.endpoint_count() == 2)).await;

    let deadline = Instant::now() + Duration::from_millis(2500);
    let callers: Vec<_> = (0..8)
        .map(|c| {
            let router = addresses[c % 2];
            tokio::spawn(async move {
                let (mut chats, mut orders) = (0, 0);
                while Instant::now() < deadline {
                    let reply = chat(&format!("c{c}"), true)
                        .send(router, TIMEOUT)
                        .await
                        .unwrap();
                    assert_eq!(reply.status, 200, "{}", reply.text());
                    assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
                    chats += 1;
                    let reply = order(&format!("o{c}-{orders}"))
                        .send(router, TIMEOUT)
                        .await
                        .unwrap();
                    assert_eq!(reply.status, 200, "{}", reply.text());
                    orders += 1;
                }
                (chats, orders)
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let leader = members
        .iter()
        .position(|m| m.handle().status().borrow().is_leader)
        .unwrap();
    members.remove(leader).kill().await.unwrap();

    let (mut chats, mut orders) = (0, 0);
    for (c, caller) in callers.into_iter().enumerate() {
        let (done, placed) = caller.await.unwrap();
        chats += done;
        orders += placed;
        for n in 0..placed {
            assert_eq!(shop.counts().run_count(&format!("o{c}-{n}")), 1);
        }
    }
    assert!(chats >= 40, "only {chats} chats");
    // A chat costs one prompt token and eight generated ones; an order, its price.
    let expected = chats * 9 + orders * 10;
    let end = Instant::now() + TIMEOUT;
    loop {
        let reply = Call::get("/v1/budget")
            .key(KEY)
            .send(addresses[0], TIMEOUT)
            .await
            .unwrap();
        let amounts = reply.json();
        let amount = |name: &str| amounts[name].as_i64().unwrap_or(-1);
        if amount("settled") == expected {
            assert_eq!(amount("unspent") + amount("allotted") + expected, TOKENS);
            break;
        }
        assert!(
            Instant::now() < end,
            "expected {expected}: {}",
            reply.text()
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
