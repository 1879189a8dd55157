//! `anvilloft router`: lists the routers.

use clap::ArgMatches;
use clap::Command;

use crate::api::ApiClient;
use crate::api::block_on;
use crate::api::with_options;
use crate::error::CliError;
use crate::output::print;

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    with_options(Command::new("router").about("Lists the routers"))
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists all routers that are not closed"))
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let args = args.subcommand().map_or(args, |(_, args)| args);
    let api = ApiClient::new(args)?;
    let reply = block_on(api.get("/admin/v1/routers"))?;
    print(args, &reply["routers"]);
    Ok(())
}
