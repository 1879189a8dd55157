//! `anvilloft demo`: a small fleet in one process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use anvilloft_control::ControlDaemon;
use anvilloft_fakes::Fake;
use anvilloft_fakes::FakeOptions;
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

use super::Failure;

/// Name of the subcommand.
pub(crate) const NAME: &str = "demo";

const ABOUT: &str = "Starts a small fleet in this process and prints calls to try";
const USAGE: &str = "\
Starts, on loopback ports and within this process, one control member with a
temporary data folder, two routers, two fake model endpoints and a fake order
service, and prints curl lines to try. It runs until Ctrl-C.

With --self-test it makes these calls itself, prints the answers and exits with
0 when all are as expected, else with 1.";

/// Bearer key of the demo's team.
const KEY: &str = "demo-key";
/// Key that the endpoints announce themselves with.
const ENDPOINT_KEY: &str = "demo-endpoint-key";
const TOKENS: i64 = 1_000_000;
const BUDGET: &str = "demo-budget";
const FLEET_KEY: &[u8] = b"the demo runs on loopback alone!";
/// Limit of one call of the self-test.
const LIMIT: Duration = Duration::from_secs(10);

/// Arguments of the subcommand.
struct Args {
    seconds: Option<u64>,
    self_test: bool,
}

/// Describes the arguments.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about(ABOUT)
        .long_about(USAGE)
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .value_parser(clap::value_parser!(u64))
                .help("Ends after N seconds"),
        )
        .arg(
            Arg::new("self-test")
                .long("self-test")
                .action(ArgAction::SetTrue)
                .help("Makes the calls itself and exits"),
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

/// The processes of the demo, as threads and tasks.
struct Fleet {
    _control: ControlDaemon,
    _folder: TempDir,
    routers: Vec<Router>,
    endpoints: Vec<Fake>,
}

/// Runs the subcommand.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let args = Args::from(matches);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let fleet = start().await?;
        let entry = fleet.routers[0].address();
        print_calls(entry);
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
        let bound = args.seconds.map(Duration::from_secs);
        super::until_stopped(bound).await?;
        Ok(ExitCode::SUCCESS)
    })
}

/// Starts a control group of one member.
async fn start_control(folder: &TempDir, log: &slog::Logger) -> Result<ControlDaemon, Failure> {
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

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Proposes a command until the new group has a leader.
async fn propose(control: &dyn Control, body: Body) -> Result<(), Failure> {
    let until = tokio::time::Instant::now() + LIMIT;
    loop {
        let reply = control.call(body.clone().into(), LIMIT).await;
        if let Ok(reply) = reply
            && let Some(Answer::Applied(applied)) = reply.answer
        {
            return match applied.reply {
                Some(CommandReply::Ok(_) | CommandReply::Accepted(_)) => Ok(()),
                other => Err(format!("control refused a command: {other:?}").into()),
            };
        }
        if tokio::time::Instant::now() > until {
            return Err("control has no leader".into());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sets up a team with a key and a budget, a model and a service.
async fn set_up(control: &dyn Control) -> Result<(), Failure> {
    let items = vec![
        Item::Team(Team {
            name: "demo".into(),
            default_rank: "normal".into(),
            weight: 1,
            disabled: false,
        }),
        Item::Budget(Budget {
            name: BUDGET.into(),
            team: "demo".into(),
        }),
        Item::Key(Key {
            name: "demo-key-1".into(),
            team: "demo".into(),
            budget: BUDGET.into(),
            hash: Sha256::digest(KEY).to_vec(),
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
        budget: BUDGET.into(),
        amount: TOKENS,
        author: "demo".into(),
        reason: "set up the demo".into(),
    };
    propose(control, Body::TopUp(top_up)).await
}

async fn start() -> Result<Fleet, Failure> {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let folder = TempDir::new()?;
    let control = start_control(&folder, &log).await?;
    set_up(control.handle()).await?;
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
        let mut options = FakeOptions::engine(&format!("engine-{}", n + 1), "forge");
        options.data_centre = centre.into();
        options.first_token = Duration::from_millis(50);
        options.token_delay = Duration::from_millis(20);
        options.tokens = 24;
        options.key = ENDPOINT_KEY.into();
        options.routers = addresses.clone();
        endpoints.push(Fake::start(options)?);
    }
    let mut options = FakeOptions::service("shop-1", "orders");
    options.key = ENDPOINT_KEY.into();
    options.routers = addresses;
    endpoints.push(Fake::start(options)?);
    for router in &routers {
        if !router.wait_until_ready(LIMIT).await {
            return Err("a router got no lease".into());
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
async fn wait_for_directory(routers: &[Router]) -> Result<(), Failure> {
    let until = tokio::time::Instant::now() + LIMIT;
    for router in routers {
        loop {
            let entry = Call::get("/v1/entry?team=demo")
                .send(router.address(), LIMIT)
                .await?;
            let known = entry.json()["routers"].as_array().map_or(0, Vec::len);
            if known == routers.len() && router.endpoint_count() == 3 {
                break;
            }
            if tokio::time::Instant::now() > until {
                return Err("the routers did not find each other and the endpoints".into());
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

fn print_calls(entry: SocketAddr) {
    println!("anvilloft demo: two routers, two model endpoints and an order service\n");
    println!("# which routers to use");
    println!("curl -s 'http://{entry}/v1/entry?team=demo'");
    println!("# a streamed chat");
    println!(
        "curl -sN http://{entry}/v1/chat/completions -H 'Authorization: Bearer {KEY}' -d '{}'",
        chat_body()
    );
    println!("# the budget");
    println!("curl -s http://{entry}/v1/budget -H 'Authorization: Bearer {KEY}'");
    println!("# an order; send it twice, it runs once");
    println!(
        "curl -s http://{entry}/v1/services/orders/place -H 'Authorization: Bearer {KEY}' -H 'Idempotency-Key: order-1' -d '{{\"boards\":3}}'\n"
    );
}

/// Prints an answer and whether it is as expected.
fn show(name: &str, reply: &Reply, ok: bool) -> bool {
    println!(
        "{} {name}: {} {}",
        if ok { "ok  " } else { "FAIL" },
        reply.status,
        reply.text().trim()
    );
    ok
}

async fn self_test(fleet: &Fleet) -> Result<bool, Failure> {
    let (first, second) = (fleet.routers[0].address(), fleet.routers[1].address());
    let mut ok = true;

    let reply = Call::get("/v1/entry?team=demo").send(first, LIMIT).await?;
    let named = reply.json()["routers"].as_array().map_or(0, Vec::len);
    ok &= show("entry", &reply, reply.status == 200 && named == 2);

    let chat = Call::post("/v1/chat/completions", chat_body()).key(KEY);
    let reply = chat.send(first, LIMIT).await?;
    let done = reply.events().last().is_some_and(|e| e == "[DONE]");
    let text = reply.content();
    ok &= show(
        "chat",
        &reply,
        reply.status == 200 && done && text.contains("oak boards"),
    );

    let order = || {
        Call::post("/v1/services/orders/place", "{\"boards\":3}")
            .key(KEY)
            .header("Idempotency-Key", "self-test-1")
    };
    let reply = order().send(first, LIMIT).await?;
    ok &= show(
        "order",
        &reply,
        reply.status == 200 && reply.json()["run"] == 1,
    );
    let again = order().send(second, LIMIT).await?;
    let same = again.status == 200 && again.body == reply.body;
    ok &= show(
        "order again",
        &again,
        same && fleet.endpoints[2].counts().runs("self-test-1") == 1,
    );

    let mut balanced = false;
    let mut reply = Reply::default();
    for _ in 0..50 {
        reply = Call::get("/v1/budget").key(KEY).send(second, LIMIT).await?;
        let amounts = reply.json();
        let amount = |name: &str| amounts[name].as_i64().unwrap_or(-1);
        let sum = amount("unspent") + amount("allotted") + amount("settled");
        // The chat and the order, once.
        balanced = sum == TOKENS && amount("settled") > 50;
        if balanced {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    ok &= show("budget", &reply, reply.status == 200 && balanced);

    let reply = Call::get("/v1/budget")
        .key("wrong")
        .send(first, LIMIT)
        .await?;
    ok &= show("wrong key", &reply, reply.status == 401);
    Ok(ok)
}
