//! `anvilloft apply`: makes the configuration equal to a JSON file.

use std::fs;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use http::Method;
use serde_json::Value;
use serde_json::json;

use crate::api::ApiClient;
use crate::api::block_on;
use crate::api::with_change_options;
use crate::api::with_options;
use crate::error::CliError;
use crate::output::print;

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    with_options(with_change_options(
        Command::new("apply")
            .about("Makes the configuration equal to a JSON file; can safely be repeated")
            .arg(Arg::new("file").value_name("FILE").required(true).help(
                "File in the form of GET /admin/v1/config; kinds without a section stay as they are",
            ))
            .arg(
                Arg::new("prune")
                    .long("prune")
                    .action(ArgAction::SetTrue)
                    .help("Deletes items that a section of the file doesn't list"),
            ),
    ))
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let path = args.get_one::<String>("file").map_or("", String::as_str);
    let text = fs::read_to_string(path)
        .map_err(|err| CliError::Usage(format!("can't read {path}: {err}")))?;
    let file: Value =
        serde_json::from_str(&text).map_err(|err| CliError::Usage(format!("{path}: {err}")))?;
    let api = ApiClient::new(args)?;
    let reply = block_on(async {
        let body = json!({ "file": file, "prune": args.get_flag("prune") });
        let body = api.change_body(args, body).await?;
        api.call(Method::POST, "/admin/v1/apply", Some(&body)).await
    })?;
    print(args, &reply);
    Ok(())
}
