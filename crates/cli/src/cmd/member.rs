//! `anvilloft member`: lists, adds, promotes, removes and replaces control
//! members.

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

fn id_arg(name: &'static str, value: &'static str) -> Arg {
    Arg::new(name)
        .value_name(value)
        .required(true)
        .help("Member id, 16 hexadecimal digits that the member logs when it starts")
}

fn address_arg() -> Arg {
    Arg::new("address")
        .value_name("ADDRESS")
        .required(true)
        .help("Peer address, such as 192.0.2.1:7000")
}

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    with_options(Command::new("member").about("Lists and changes control members"))
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Lists the members with the leader and the progress of each"),
        )
        .subcommand(
            Command::new("add")
                .about("Adds a member as a learner; it is promoted once it has caught up")
                .arg(id_arg("id", "ID"))
                .arg(address_arg()),
        )
        .subcommand(
            Command::new("promote")
                .about("Makes a learner that has caught up a voter")
                .arg(id_arg("id", "ID")),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes a member")
                .arg(id_arg("id", "ID")),
        )
        .subcommand(
            Command::new("replace")
                .about("Replaces a member whose disk is lost by a new one")
                .arg(id_arg("id", "OLD-ID"))
                .arg(id_arg("new-id", "NEW-ID"))
                .arg(address_arg()),
        )
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let Some((action, args)) = args.subcommand() else {
        return Err(CliError::Usage("a subcommand is required".to_owned()));
    };
    let api = ApiClient::new(args)?;
    let text = |name: &str| args.get_one::<String>(name).map_or("", String::as_str);
    let member_path =
        |suffix: &str| format!("/admin/v1/members/{}{suffix}", percent_encode(text("id")));
    let members_path = "/admin/v1/members";
    let reply = block_on(async {
        match action {
            "list" => api.get(members_path).await,
            "add" => {
                let body = json!({ "id": text("id"), "address": text("address") });
                api.call(Method::POST, members_path, Some(&body)).await
            }
            "promote" => api.call(Method::POST, &member_path("/promote"), None).await,
            "remove" => api.call(Method::DELETE, &member_path(""), None).await,
            _ => {
                let body = json!({ "id": text("new-id"), "address": text("address") });
                api.call(Method::POST, &member_path("/replace"), Some(&body))
                    .await
            }
        }
    })?;
    print(args, &reply);
    Ok(())
}
