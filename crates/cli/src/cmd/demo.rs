//! `anvilloft demo`: runs a small fleet in one process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use anvilloft_control::ControlDaemon;
use anvilloft_fakes::FakeEndpoint;
use anvilloft_fakes::FakeEndpointOptions;
use anvilloft_fakes::http::Call;
use anvilloft_fakes::http::Reply;
use anvilloft_ledger::set_op;
use anvilloft_router::Router;
use anvilloft_settings::ControlSettings;
use anvilloft_settings::GroupStart;
use anvilloft_settings::RouterSettings;
use anvilloft_settings::Secret;
use anvilloft_telemetry::Metrics;
use anvilloft_wire::Control;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::ConfigChange;
use anvilloft_wire::command::Reply as CommandReply;
use anvilloft_wire::command::TopUp;
use anvilloft_wire::config::Budget;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::Key;
use anvilloft_wire::config::Model;
use anvilloft_wire::config::Service;
use anvilloft_wire::config::Team;
use anvilloft_wire::control::Answer;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use sha2::Digest;
use sha2::Sha256;
use tempfile::TempDir;

use super::BoxError;

/// Name of the subcommand.
pub(crate) const NAME: &str = "demo";

const ABOUT: &str = "Starts a small fleet in this process and prints example calls";
const USAGE: &str = "\
Starts one control member with a temporary data folder, two routers, two fake
model endpoints and a fake order service, all in this process and on loopback
ports. Prints curl commands to try and runs until Ctrl-C.

With --self-test it makes these calls itself, prints the responses and exits with
0 when all are as expected, and with 1 otherwise.";

/// Bearer key of the demo's team.
const TEAM_KEY: &str = "demo-key";
/// Key that the endpoints use in their announcements.
const ENDPOINT_KEY: &str = "demo-endpoint-key";
/// Tokens that the demo's budget is topped up with.
const BUDGET_TOKENS: i64 = 1_000_000;
const BUDGET_NAME: &str = "demo-budget";
/// Key that the demo's control member and routers share.
const FLEET_KEY: &[u8] = b"the demo runs on loopback alone!";
/// Timeout of one call, and of each wait while the fleet starts.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Arguments of the subcommand.
struct Args {
    seconds: Option<u64>,
    self_test: bool,
}

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about(ABOUT)
        .long_about(USAGE)
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .value_parser(clap::value_parser!(u64))
                .help("Exits after N seconds"),
        )
        .arg(
            Arg::new("self-test")
                .long("self-test")
                .action(ArgAction::SetTrue)
                .help("Makes the example calls itself and exits"),
        )
}

impl From<&ArgMatches> for Args {
    fn from(matches: &ArgMatches) -> Self {
        Self {
            seconds: matches.get_one("seconds").copied(),
            self_test: matches.get_flag("self-test"),
        }
    }
}

/// Daemons and endpoints of the demo, which run as threads and tasks.
struct Fleet {
    _control: ControlDaemon,
    _folder: TempDir,
    routers: Vec<Router>,
    endpoints: Vec<FakeEndpoint>,
}

/// Runs the subcommand.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, BoxError> {
    let args = Args::from(matches);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let fleet = start_fleet().await?;
        let router = fleet.routers[0].address();
        print_examples(router);
        if args.self_test {
            let ok = self_test(&fleet).await?;
            println!(
                "{}",
                if ok {
                    "self-test passed"
                } else {
                    "self-test FAILED"
                }
            );
            return Ok(if ok {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            });
        }
        let max_time = args.seconds.map(Duration::from_secs);
        super::wait_for_stop(max_time).await?;
        Ok(ExitCode::SUCCESS)
    })
}

/// Starts a control group of one member.
async fn start_control(folder: &TempDir, log: &slog::Logger) -> Result<ControlDaemon, BoxError> {
    let settings = ControlSettings::builder()
        .name("control-1")
        .data_centre("dc1")
        .data_folder(folder.path().join("control-1"))
        .peer_listen(any_port())
        .admin_listen(any_port())
        .group(GroupStart::New)
        .fleet_key(Secret::new(FLEET_KEY))
        .build()?;
    Ok(ControlDaemon::start(settings, Metrics::new()?, log.clone()).await?)
}

/// Returns a loopback address with a port that the system chooses.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Proposes a command. Retries until the new group has elected a leader.
async fn propose(control: &dyn Control, body: Body) -> Result<(), BoxError> {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    loop {
        let reply = control.call(body.clone().into(), TIMEOUT).await;
        if let Ok(reply) = reply
            && let Some(Answer::Applied(applied)) = reply.answer
        {
            return match applied.reply {
                Some(CommandReply::Ok(_) | CommandReply::Accepted(_)) => Ok(()),
                other => Err(format!("the control group refused a command: {other:?}").into()),
            };
        }
        if tokio::time::Instant::now() > deadline {
            return Err("the control group elected no leader in time".into());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Creates a team with a key and a budget, a model and a service.
async fn configure(control: &dyn Control) -> Result<(), BoxError> {
    let items = vec![
        Item::Team(Team {
            name: "demo".into(),
            default_rank: "normal".into(),
            weight: 1,
            disabled: false,
        }),
        Item::Budget(Budget {
            name: BUDGET_NAME.into(),
            team: "demo".into(),
        }),
        Item::Key(Key {
            name: "demo-key-1".into(),
            team: "demo".into(),
            budget: BUDGET_NAME.into(),
            hash: Sha256::digest(TEAM_KEY).to_vec(),
            role: String::new(),
        }),
        Item::Model(Model {
            name: "forge".into(),
            version: String::new(),
            default_max_tokens: 64,
            max_tokens: 1024,
        }),
        Item::Service(Service {
            name: "orders".into(),
            idempotent: false,
            price: 50,
        }),
    ];
    let change = ConfigChange {
        change_id: "demo-set-up".into(),
        base_revision: 0,
        author: "demo".into(),
        reason: "set up the demo".into(),
        ops: items.into_iter().map(set_op).collect(),
        dry_run: false,
    };
    propose(control, Body::ConfigChange(change)).await?;
    let top_up = TopUp {
        id: "demo-top-up".into(),
        budget: BUDGET_NAME.into(),
        amount: BUDGET_TOKENS,
        author: "demo".into(),
        reason: "set up the demo".into(),
    };
    propose(control, Body::TopUp(top_up)).await
}

async fn start_fleet() -> Result<Fleet, BoxError> {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let folder = TempDir::new()?;
    let control = start_control(&folder, &log).await?;
    configure(control.handle()).await?;
    let mut routers = Vec::new();
    for (name, centre) in [("router-1", "dc1"), ("router-2", "dc2")] {
        let settings = RouterSettings::builder()
            .name(name)
            .data_centre(centre)
            .caller_listen(any_port())
            .peer_listen(any_port())
            .control(vec![control.peer_address()])
            .fleet_key(Secret::new(FLEET_KEY))
            .endpoint_key(Secret::new(ENDPOINT_KEY))
            .build()?;
        routers.push(anvilloft_router::daemon::start(&settings, &log)?);
    }
    let addresses: Vec<SocketAddr> = routers.iter().map(Router::address).collect();
    let mut endpoints = Vec::new();
    for (n, centre) in ["dc1", "dc2"].into_iter().enumerate() {
        let mut options = FakeEndpointOptions::engine(&format!("engine-{}", n + 1), "forge");
        options.data_centre = centre.into();
        options.first_token = Duration::from_millis(50);
        options.token_delay = Duration::from_millis(20);
        options.tokens = 24;
        options.key = ENDPOINT_KEY.into();
        options.routers = addresses.clone();
        endpoints.push(FakeEndpoint::start(options)?);
    }
    let mut options = FakeEndpointOptions::service("shop-1", "orders");
    options.key = ENDPOINT_KEY.into();
    options.routers = addresses;
    endpoints.push(FakeEndpoint::start(options)?);
    for router in &routers {
        if !router.wait_until_ready(TIMEOUT).await {
            return Err("a router got no lease in time".into());
        }
    }
    wait_for_directory(&routers).await?;
    Ok(Fleet {
        _control: control,
        _folder: folder,
        routers,
        endpoints,
    })
}

/// Waits until each router knows the other and all endpoints.
async fn wait_for_directory(routers: &[Router]) -> Result<(), BoxError> {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    for router in routers {
        loop {
            let reply = Call::get("/v1/entry?team=demo")
                .send(router.address(), TIMEOUT)
                .await?;
            let known_routers = reply.json()["routers"].as_array().map_or(0, Vec::len);
            if known_routers == routers.len() && router.endpoint_count() == 3 {
                break;
            }
            if tokio::time::Instant::now() > deadline {
                return Err(
                    "the routers didn't discover each other and the endpoints in time".into(),
                );
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

fn chat_body() -> String {
    serde_json::json!({
        "model": "forge",
        "messages": [{"role": "user", "content": "Draft a note on oak boards."}],
        "max_tokens": 32,
        "stream": true,
    })
    .to_string()
}

fn print_examples(router: SocketAddr) {
    println!("anvilloft demo: two routers, two model endpoints and an order service\n");
    println!("# the routers that a team should use");
    println!("curl -s 'http://{router}/v1/entry?team=demo'");
    println!("# a streamed chat");
    println!(
        "curl -sN http://{router}/v1/chat/completions -H 'Authorization: Bearer {TEAM_KEY}' -d '{}'",
        chat_body()
    );
    println!("# the budget");
    println!("curl -s http://{router}/v1/budget -H 'Authorization: Bearer {TEAM_KEY}'");
    println!("# an order; send it twice, it runs once");
    println!(
        "curl -s http://{router}/v1/services/orders/place -H 'Authorization: Bearer {TEAM_KEY}' -H 'Idempotency-Key: order-1' -d '{{\"boards\":3}}'\n"
    );
}

/// Prints a response and whether it is as expected.
fn report_check(name: &str, reply: &Reply, ok: bool) -> bool {
    println!(
        "{} {name}: {} {}",
        if ok { "ok  " } else { "FAIL" },
        reply.status,
        reply.text().trim()
    );
    ok
}

async fn self_test(fleet: &Fleet) -> Result<bool, BoxError> {
    let (first, second) = (fleet.routers[0].address(), fleet.routers[1].address());
    let mut ok = true;

    let reply = Call::get("/v1/entry?team=demo")
        .send(first, TIMEOUT)
        .await?;
    let listed = reply.json()["routers"].as_array().map_or(0, Vec::len);
    ok &= report_check("entry", &reply, reply.status == 200 && listed == 2);

    let chat = Call::post("/v1/chat/completions", chat_body()).key(TEAM_KEY);
    let reply = chat.send(first, TIMEOUT).await?;
    let done = reply.events().last().is_some_and(|e| e == "[DONE]");
    let text = reply.content();
    ok &= report_check(
        "chat",
        &reply,
        reply.status == 200 && done && text.contains("oak boards"),
    );

    let order = || {
        Call::post("/v1/services/orders/place", "{\"boards\":3}")
            .key(TEAM_KEY)
            .header("Idempotency-Key", "self-test-1")
    };
    let reply = order().send(first, TIMEOUT).await?;
    ok &= report_check(
        "order",
        &reply,
        reply.status == 200 && reply.json()["run"] == 1,
    );
    let resent = order().send(second, TIMEOUT).await?;
    let same_reply = resent.status == 200 && resent.body == reply.body;
    ok &= report_check(
        "order again",
        &resent,
        same_reply && fleet.endpoints[2].counts().run_count("self-test-1") == 1,
    );

    let mut balanced = false;
    let mut reply = Reply::default();
    for _ in 0..50 {
        reply = Call::get("/v1/budget")
            .key(TEAM_KEY)
            .send(second, TIMEOUT)
            .await?;
        let amounts = reply.json();
        let amount = |name: &str| amounts[name].as_i64().unwrap_or(-1);
        let sum = amount("unspent") + amount("allotted") + amount("settled");
        // The order costs 50 tokens and the chat at least one; each is settled
        // once.
        balanced = sum == BUDGET_TOKENS && amount("settled") > 50;
        if balanced {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    ok &= report_check("budget", &reply, reply.status == 200 && balanced);

    let reply = Call::get("/v1/budget")
        .key("wrong")
        .send(first, TIMEOUT)
        .await?;
    ok &= report_check("wrong key", &reply, reply.status == 401);
    Ok(ok)
}
