//! `anvilloft check`: checks the settings file of a daemon without starting it.

use std::path::Path;

use anvilloft_settings::ControlSettings;
use anvilloft_settings::RouterSettings;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use crate::cmd::settings::daemon_arg;
use crate::error::CliError;
use crate::output::write;

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Checks the settings file of a daemon without starting it")
        .arg(daemon_arg())
        .arg(Arg::new("file").value_name("FILE").required(true))
}

/// Runs the subcommand. Reports all faults of the file at once.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let file = args.get_one::<String>("file").map_or("", String::as_str);
    let path = Path::new(file);
    let result = match args.get_one::<String>("daemon").map(String::as_str) {
        Some("router") => RouterSettings::load(path).map(drop),
        _ => ControlSettings::load(path).map(drop),
    };
    match result {
        Ok(()) => {
            write(&format!("{file}: no faults\n"));
            Ok(())
        }
        Err(err) => Err(CliError::Problems(err.to_string())),
    }
}
