//! `anvilloft quarantine`: lists and releases traits of requests that are refused.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use http::Method;
use serde_json::json;

use crate::api::ApiClient;
use crate::api::block_on;
use crate::api::percent_encode;
use crate::api::with_options;
use crate::error::CliError;
use crate::output::print;

const PATH: &str = "/admin/v1/quarantines";

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    let release = Command::new("release")
        .about("Lets requests with a trait run again")
        .arg(
            Arg::new("fingerprint")
                .value_name("FINGERPRINT")
                .required(true)
                .help("Fingerprint of the trait, as listed and as in the refusals"),
        )
        .arg(
            Arg::new("reason")
                .long("reason")
                .value_name("TEXT")
                .required(true)
                .help("Reason for the release; logged"),
        )
        .arg(
            Arg::new("change-id")
                .long("change-id")
                .value_name("ID")
                .help("Id of the release; a release with the same id is made only once [default: random]"),
        );
    with_options(
        Command::new("quarantine")
            .about("Lists and releases what is refused because such requests crashed endpoints"),
    )
    .subcommand_required(true)
    .subcommand(
        Command::new("list").about("Lists the quarantined traits of requests, newest first"),
    )
    .subcommand(release)
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let (name, args) = args.subcommand().unwrap_or(("list", args));
    let api = ApiClient::new(args)?;
    let reply = match name {
        "release" => {
            let body = json!({
                "change_id": api.change_id(),
                "reason": args.get_one::<String>("reason"),
            });
            let fingerprint = args.get_one::<String>("fingerprint");
            let fingerprint = fingerprint.map(String::as_str).unwrap_or_default();
            let path = format!("{PATH}/{}", percent_encode(fingerprint));
            block_on(api.call(Method::DELETE, &path, Some(&body)))?
        }
        _ => block_on(api.get(PATH))?["quarantines"].take(),
    };
    print(args, &reply);
    Ok(())
}
