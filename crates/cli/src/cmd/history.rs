//! `anvilloft history`: shows who changed what, when and why.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use crate::api::ApiClient;
use crate::api::block_on;
use crate::api::with_options;
use crate::error::CliError;
use crate::output::print;

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    with_options(Command::new("history").about("Shows who changed what, when and why")).arg(
        Arg::new("limit")
            .long("limit")
            .value_name("ROWS")
            .value_parser(clap::value_parser!(u32).range(1..=1000))
            .default_value("50")
            .help("Maximum number of changes, and of top-ups"),
    )
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let api = ApiClient::new(args)?;
    let limit = args.get_one::<u32>("limit").copied().unwrap_or(50);
    let reply = block_on(api.get(&format!("/admin/v1/history?limit={limit}")))?;
    print(args, &reply);
    Ok(())
}
