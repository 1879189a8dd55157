//! `anvilloft status`: shows the status of the fleet, problems first.

use clap::ArgMatches;
use clap::Command;

use crate::api::ApiClient;
use crate::api::block_on;
use crate::api::with_options;
use crate::error::CliError;
use crate::output::format_table;
use crate::output::print;
use crate::output::write;

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    with_options(Command::new("status").about("Shows the status of the fleet, problems first"))
}

/// Runs the subcommand. Fails with exit code 1 when the status lists an
/// error.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let api = ApiClient::new(args)?;
    let mut reply = block_on(api.get("/admin/v1/status"))?;
    let errors = reply["problems"]
        .as_array()
        .map_or(0, |p| p.iter().filter(|p| p["severity"] == "error").count());
    if args.get_flag("json") {
        print(args, &reply);
    } else {
        write("problems:\n");
        write(&format_table(&reply["problems"].take()));
        if let Some(fields) = reply.as_object_mut() {
            fields.remove("problems");
        }
        write(&format!("\n{}", format_table(&reply)));
    }
    match errors {
        0 => Ok(()),
        n => Err(CliError::Problems(format!("the status lists {n} errors"))),
    }
}
