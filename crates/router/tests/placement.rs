//! Placement of models: a control member orders engines to load the models that
//! are in demand at a router.

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
use anvilloft_fakes::http::Call;
use anvilloft_ledger::set_op;
use anvilloft_router::daemon;
use anvilloft_settings::ControlSettings;
use anvilloft_settings::GroupStart;
use anvilloft_settings::RouterSettings;
use anvilloft_settings::Secret;
use anvilloft_telemetry::Metrics;
use anvilloft_wire::Control;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::ConfigChange;
use anvilloft_wire::command::TopUp;
use anvilloft_wire::config::Budget;
use anvilloft_wire::config::DefaultValue;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::Key;
use anvilloft_wire::config::Model;
use anvilloft_wire::config::Team;
use anvilloft_wire::control::Answer;
use common::*;
use sha2::Digest;

const FLEET_KEY: &[u8] = b"0123456789abcdef0123456789abcdef";
const READER: &str = "reader-key";

fn default(name: &str, value: u64) -> Item {
    Item::Default(DefaultValue {
        name: name.into(),
        value,
    })
}

fn key(name: &str, secret: &str, team: &str, role: &str) -> Item {
    Item::Key(Key {
        name: name.into(),
        team: team.into(),
        budget: if team.is_empty() { "" } else { BUDGET }.into(),
        hash: sha2::Sha256::digest(secret).to_vec(),
        role: role.into(),
    })
}

fn model(name: &str) -> Item {
    Item::Model(Model {
        name: name.into(),
        version: String::new(),
        default_max_tokens: 16,
        max_tokens: 1000,
    })
}

async fn propose(member: &ControlDaemon, body: Body) {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let reply = member.handle().call(body.clone().into(), TIMEOUT).await;
        match reply.map(|r| r.answer) {
            Ok(Some(Answer::Applied(reply))) => {
                let text = format!("{reply:?}");
                assert!(!text.contains("Refused"), "{text}");
                return;
            }
            other => assert!(Instant::now() < deadline, "{other:?}"),
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

async fn change(member: &ControlDaemon, base_revision: u64, items: Vec<Item>) {
    let change = ConfigChange {
        change_id: format!("change-{base_revision}"),
        base_revision,
        author: "test".into(),
        reason: "test".into(),
        ops: items.into_iter().map(set_op).collect(),
        dry_run: false,
    };
    propose(member, Body::ConfigChange(change)).await;
}

async fn start_control(folder: &std::path::Path) -> ControlDaemon {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = ControlSettings::builder()
        .name("c0")
        .data_centre("dc1")
        .data_folder(folder.join("c0"))
        .peer_listen(any)
        .admin_listen(any)
        .group(GroupStart::New)
        .fleet_key(Secret::new(FLEET_KEY))
        .build()
        .unwrap();
    let member = ControlDaemon::start(settings, Metrics::new().unwrap(), logger())
        .await
        .unwrap();
    let team = Team {
        name: "team".into(),
        default_rank: "normal".into(),
        weight: 1,
        disabled: false,
    };
    let budget = Budget {
        name: BUDGET.into(),
        team: "team".into(),
    };
    let items = vec![
        Item::Team(team),
        Item::Budget(budget),
        key("k", KEY, "team", ""),
        key("reader", READER, "", "read-only"),
        model("m"),
        model("n"),
        default("lease_renew_ms", 100),
    ];
    change(&member, 0, items).await;
    let top_up = TopUp {
        id: "t".into(),
        budget: BUDGET.into(),
        amount: 200_000,
        author: "test".into(),
        reason: "test".into(),
    };
    propose(&member, Body::TopUp(top_up)).await;
    member
}

/// Sends a request for the model that no engine has and returns the status.
async fn request_missing_model(router: SocketAddr) -> u16 {
    let body = serde_json::json!({"model": "n", "prompt": "p", "max_tokens": 50});
    let call = Call::post("/v1/completions", body.to_string()).key(KEY);
    call.send(router, TIMEOUT).await.unwrap().status
}

async fn load(engine: &FakeEndpoint, term: u64, model: &str) -> u16 {
    let body = serde_json::json!({
        "endpoint": "e1", "fencing": {"term": term, "seq": 1}, "load": model,
    });
    let call = Call::post("/v1/orders", body.to_string());
    call.send(engine.addr(), TIMEOUT).await.unwrap().status
}

/// Guards against demand that leads to no order, against orders while placement
/// is disabled, and against an engine with fencing that accepts orders of an old
/// leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn demand_without_an_endpoint_loads_the_model() {
    let dir = tempfile::tempdir().unwrap();
    let member = start_control(dir.path()).await;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = RouterSettings::builder()
        .name("r0")
        .data_centre("dc1")
        .caller_listen(any)
        .peer_listen(any)
        .control(vec![member.peer_address()])
        .fleet_key(Secret::new(FLEET_KEY))
        .endpoint_key(Secret::new(ENDPOINT_KEY))
        .build()
        .unwrap();
    let router = daemon::start(&settings, &logger()).unwrap();
    assert!(router.wait_until_ready(TIMEOUT).await, "no lease");
    let start = |checks_fencing| {
        let mut options = FakeEndpointOptions::engine("e1", "m");
        options.key = ENDPOINT_KEY.into();
        options.checks_fencing = checks_fencing;
        options.announce_interval = Duration::from_millis(100);
        if checks_fencing {
            options.routers = vec![router.address()];
        }
        FakeEndpoint::start(options).unwrap()
    };
    let engine = start(true);
    wait_until(|| router.endpoint_count() == 1).await;

    // Twice the time after which the leader would plan with placement enabled.
    let deadline = Instant::now() + Duration::from_secs(3);
    while Instant::now() < deadline {
        assert_eq!(request_missing_model(router.address()).await, 503);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(engine.order_counts(), (0, 0), "placement is off by default");

    change(&member, 1, vec![default("placement_load_spacing_ms", 10)]).await;
    let deadline = Instant::now() + TIMEOUT;
    while request_missing_model(router.address()).await != 200 {
        assert!(Instant::now() < deadline, "the model was never served");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The engine holds one model, so the one without demand was unloaded.
    assert_eq!(engine.models(), ["n"]);
    assert_eq!(engine.order_counts(), (2, 0));

    let deadline = Instant::now() + TIMEOUT;
    loop {
        let call = Call::get("/admin/v1/endpoints").key(READER);
        let reply = call.send(member.admin_address(), TIMEOUT).await.unwrap();
        let row = &reply.json()["endpoints"][0];
        if row["models"] == serde_json::json!(["n"]) {
            assert_eq!(row["id"], "e1");
            break;
        }
        assert!(Instant::now() < deadline, "{}", reply.text());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let call = Call::get("/admin/v1/endpoints").key(KEY);
    let reply = call.send(member.admin_address(), TIMEOUT).await.unwrap();
    assert_eq!(reply.status, 403, "a team sees no endpoints");

    assert_eq!(load(&engine, 0, "old").await, 409);
    assert_eq!(engine.models(), ["n"]);
    assert_eq!(engine.order_counts(), (2, 1));
    // An engine without fencing accepts orders of an old leader. A new leader
    // waits for the end of the old one's lease because of this.
    let unfenced = start(false);
    assert_eq!(load(&unfenced, 2, "a").await, 200);
    assert_eq!(load(&unfenced, 1, "b").await, 200);
    wait_until(|| unfenced.models() == ["m", "a", "b"]).await;
}
