//! `anvilloft emulate`: runs emulated endpoints.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use anvilloft_fakes::FakeEndpoint;
use anvilloft_fakes::FakeEndpointOptions;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use super::BoxError;

/// Name of the subcommand.
pub(crate) const NAME: &str = "emulate";

const ABOUT: &str = "Runs emulated model engines or a plain service that announce themselves";
const USAGE: &str = "\
Runs emulated endpoints, which respond like a model engine or a plain service and
announce themselves to the given routers. Use it to try out a fleet without
accelerators. It runs until Ctrl-C and prints one line for each endpoint.

The response to a prompt consists of made-up tokens at the given rate.";

/// Maximum number of endpoints in one process.
const MAX_COUNT: u32 = 256;

/// Arguments of the subcommand.
struct Args {
    id: String,
    count: u32,
    seconds: Option<u64>,
    options: FakeEndpointOptions,
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    let number = |name, value, help, default| {
        option(name, value, help)
            .value_parser(value_parser!(u32))
            .default_value(default)
    };
    Command::new(NAME)
        .about(ABOUT)
        .long_about(USAGE)
        .arg(
            option("routers", "ADDRESSES", "Caller addresses of routers")
                .value_parser(value_parser!(SocketAddr))
                .value_delimiter(',')
                .required(true),
        )
        .arg(
            option(
                "endpoint-key-file",
                "FILE",
                "File with the key for announcements",
            )
            .required(true),
        )
        .arg(
            option(
                "id",
                "NAME",
                "Name of the endpoint; with a number appended when there are several",
            )
            .default_value("endpoint"),
        )
        .arg(option("model", "NAME", "Model to serve").conflicts_with("service"))
        .arg(option(
            "service",
            "NAME",
            "Plain service to emulate, instead of a model engine",
        ))
        .arg(
            option(
                "data-centre",
                "NAME",
                "Data centre that the endpoints announce",
            )
            .default_value("dc1"),
        )
        .arg(number("count", "N", "Number of endpoints", "1"))
        .arg(number(
            "slots",
            "N",
            "Maximum number of requests in flight for each endpoint",
            "8",
        ))
        .arg(number("tokens", "N", "Tokens of a response", "32"))
        .arg(number(
            "first-token-ms",
            "MS",
            "Time to the first token",
            "50",
        ))
        .arg(number("token-ms", "MS", "Time between tokens", "10"))
        .arg(option("seconds", "N", "Exits after N seconds").value_parser(value_parser!(u64)))
}

impl Args {
    fn new(matches: &ArgMatches) -> Result<Self, BoxError> {
        let text = |name: &str| matches.get_one::<String>(name).cloned();
        let number = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or_default();
        let millis = |name: &str| Duration::from_millis(number(name).into());
        let id = text("id").unwrap_or_default();
        let mut options = match (text("model"), text("service")) {
            (Some(model), _) => FakeEndpointOptions::engine(&id, &model),
            (None, Some(service)) => FakeEndpointOptions::service(&id, &service),
            (None, None) => return Err("--model or --service is required".into()),
        };
        let path = text("endpoint-key-file").unwrap_or_default();
        options.key = std::fs::read_to_string(&path)
            .map_err(|e| format!("{path}: {e}"))?
            .trim()
            .to_owned();
        options.incarnation = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)?
            .as_millis()
            .try_into()?;
        options.routers = matches
            .get_many::<SocketAddr>("routers")
            .map(|r| r.copied().collect())
            .unwrap_or_default();
        options.data_centre = text("data-centre").unwrap_or_default();
        options.slots = number("slots");
        options.tokens = number("tokens");
        options.first_token = millis("first-token-ms");
        options.token_delay = millis("token-ms");
        let count = number("count");
        if count == 0 || count > MAX_COUNT {
            return Err(format!("--count must be 1 to {MAX_COUNT}").into());
        }
        Ok(Self {
            id,
            count,
            seconds: matches.get_one("seconds").copied(),
            options,
        })
    }
}

/// Runs the subcommand.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, BoxError> {
    let args = Args::new(matches)?;
    let mut endpoints = Vec::new();
    for n in 0..args.count {
        let mut options = args.options.clone();
        if args.count > 1 {
            options.id = format!("{}-{n}", args.id);
        }
        let id = options.id.clone();
        let endpoint = FakeEndpoint::start(options)?;
        println!("{id} listens on {}", endpoint.addr());
        endpoints.push(endpoint);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let max_time = args.seconds.map(Duration::from_secs);
    runtime.block_on(super::wait_for_stop(max_time))?;
    Ok(ExitCode::SUCCESS)
}
