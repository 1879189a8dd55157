//! The table of subcommands. Each has a file with its usage text at the top,
//! an arguments type and one `run`.

mod demo;

use std::process::ExitCode;

use clap::ArgMatches;
use clap::Command;

/// Why a subcommand failed, as told to the operator.
pub(crate) type Failure = Box<dyn std::error::Error + Send + Sync>;

/// One subcommand.
struct Entry {
    name: &'static str,
    command: fn() -> Command,
    run: fn(&ArgMatches) -> Result<ExitCode, Failure>,
}

/// Every subcommand by name.
const TABLE: &[Entry] = &[Entry {
    name: demo::NAME,
    command: demo::command,
    run: demo::run,
}];

/// Returns the whole command line.
pub(crate) fn root() -> Command {
    let mut root = Command::new("anvilloft")
        .about("Operates a fleet of anvilloft routers")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true);
    for entry in TABLE {
        root = root.subcommand((entry.command)());
    }
    root
}

/// Runs the subcommand that was named.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    let Some((name, args)) = matches.subcommand() else {
        return Err("no subcommand was named".into());
    };
    match TABLE.iter().find(|entry| entry.name == name) {
        Some(entry) => (entry.run)(args),
        None => Err(format!("there is no subcommand {name}").into()),
    }
}
