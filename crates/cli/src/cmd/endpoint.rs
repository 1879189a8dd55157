//! `anvilloft endpoint`: lists the model engines.

use clap::ArgMatches;
use clap::Command;
use serde_json::Value;

use crate::api::ApiClient;
use crate::api::block_on;
use crate::api::percent_encode;
use crate::api::with_options;
use crate::error::CliError;
use crate::output::print;

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    with_options(Command::new("endpoint").about("Lists the model engines"))
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Lists all model engines that routers report to the control leader"),
        )
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let args = args.subcommand().map_or(args, |(_, args)| args);
    let api = ApiClient::new(args)?;
    let mut all = Vec::new();
    let mut path = "/admin/v1/endpoints".to_owned();
    loop {
        let page = block_on(api.get(&path))?;
        all.extend(page["endpoints"].as_array().cloned().unwrap_or_default());
        match page["next"].as_str() {
            Some(next) => path = format!("/admin/v1/endpoints?after={}", percent_encode(next)),
            None => break,
        }
    }
    print(args, &Value::Array(all));
    Ok(())
}
