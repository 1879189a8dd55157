//! `anvilloft status`: shows the fleet with what is wrong first.

use clap::ArgMatches;
use clap::Command;

use crate::api::Api;
use crate::api::block_on;
use crate::api::with_options;
use crate::error::CliError;
use crate::output::print;
use crate::output::table;
use crate::output::write;

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    with_options(Command::new("status").about("Shows the fleet with what is wrong first"))
}

/// Runs the subcommand. Exits with 1 while an error is listed.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let api = Api::new(args)?;
    let mut reply = block_on(api.get("/admin/v1/status"))?;
    let errors = reply["problems"]
        .as_array()
        .map_or(0, |p| p.iter().filter(|p| p["severity"] == "error").count());
    if args.get_flag("json") {
        print(args, &reply);
    } else {
        write("problems:\n");
        write(&table(&reply["problems"].take()));
        if let Some(fields) = reply.as_object_mut() {
            fields.remove("problems");
        }
        write(&format!("\n{}", table(&reply)));
    }
    match errors {
        0 => Ok(()),
        n => Err(CliError::Problems(format!("{n} errors"))),
    }
}
