//! `anvilloft member`: lists, adds, promotes, removes and replaces control
//! members.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use http::Method;
use serde_json::json;

use crate::api::Api;
use crate::api::block_on;
use crate::api::encode;
use crate::api::with_options;
use crate::error::CliError;
use crate::output::print;

fn id(name: &'static str, value: &'static str) -> Arg {
    Arg::new(name)
        .value_name(value)
        .required(true)
        .help("16 hexadecimal digits, as the member logs them at its start")
}

fn address() -> Arg {
    Arg::new("address")
        .value_name("ADDRESS")
        .required(true)
        .help("Peer address, such as 192.0.2.1:7000")
}

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    with_options(Command::new("member").about("Lists and changes control members"))
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists members, leader and progress"))
        .subcommand(
            Command::new("add")
                .about("Adds a member without a vote; it gets one when it has caught up")
                .arg(id("id", "ID"))
                .arg(address()),
        )
        .subcommand(
            Command::new("promote")
                .about("Gives a caught-up member a vote")
                .arg(id("id", "ID")),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes a member")
                .arg(id("id", "ID")),
        )
        .subcommand(
            Command::new("replace")
                .about("Removes a member whose disk is lost and adds its successor")
                .arg(id("id", "OLD-ID"))
                .arg(id("new-id", "NEW-ID"))
                .arg(address()),
        )
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let Some((verb, args)) = args.subcommand() else {
        return Err(CliError::Usage("a subcommand must be given".to_owned()));
    };
    let api = Api::new(args)?;
    let text = |name: &str| args.get_one::<String>(name).map_or("", String::as_str);
    let path = |suffix: &str| format!("/admin/v1/members/{}{suffix}", encode(text("id")));
    let members = "/admin/v1/members";
    let reply = block_on(async {
        match verb {
            "list" => api.get(members).await,
            "add" => {
                let body = json!({ "id": text("id"), "address": text("address") });
                api.call(Method::POST, members, Some(&body)).await
            }
            "promote" => api.call(Method::POST, &path("/promote"), None).await,
            "remove" => api.call(Method::DELETE, &path(""), None).await,
            _ => {
                let body = json!({ "id": text("new-id"), "address": text("address") });
                api.call(Method::POST, &path("/replace"), Some(&body)).await
            }
        }
    })?;
    print(args, &reply);
    Ok(())
}
