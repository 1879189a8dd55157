//! `anvilloft settings`: prints the default settings of a daemon.

use anvilloft_settings::ControlSettings;
use anvilloft_settings::RouterSettings;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use crate::error::CliError;
use crate::output::write;

/// Returns the argument that names a daemon.
pub(crate) fn daemon_arg() -> Arg {
    Arg::new("daemon")
        .value_name("DAEMON")
        .required(true)
        .value_parser(["router", "control"])
}

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    Command::new("settings")
        .about("Prints the default settings of a daemon as an INI file with units and ranges")
        .arg(daemon_arg())
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let text = match args.get_one::<String>("daemon").map(String::as_str) {
        Some("router") => RouterSettings::defaults(),
        _ => ControlSettings::defaults(),
    };
    write(&text);
    Ok(())
}
