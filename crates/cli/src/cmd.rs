//! The table of subcommands. Each has a file with its usage text at the top,
//! an arguments type and one `run`.

mod apply;
mod bench;
mod bootstrap;
mod budget;
mod check;
mod default;
mod demo;
mod emulate;
mod endpoint;
mod exception;
mod explain;
mod history;
mod items;
mod key;
mod member;
mod model;
mod rank;
mod router;
mod service;
mod settings;
mod status;
mod team;

use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::error::CliError;
use crate::error::EXIT_CODES;

/// Why a subcommand failed, as told to the operator.
pub(crate) type Failure = Box<dyn std::error::Error + Send + Sync>;

/// One subcommand.
struct Entry {
    name: &'static str,
    command: fn() -> Command,
    run: fn(&ArgMatches) -> Result<ExitCode, Failure>,
}

macro_rules! administration {
    ($($name:ident),+ $(,)?) => {
        &[
            Entry {
                name: demo::NAME,
                command: demo::command,
                run: demo::run,
            },
            Entry {
                name: emulate::NAME,
                command: emulate::command,
                run: emulate::run,
            },
            $(Entry {
                name: stringify!($name),
                command: $name::command,
                run: |args| Ok(exit_code($name::run(args))),
            },)+
        ]
    };
}

/// Every subcommand by name, in the order of the help.
const TABLE: &[Entry] = administration![
    status, team, key, budget, rank, model, service, default, exception, router, endpoint, member,
    history, apply, bench, check, explain, settings, bootstrap,
];

/// Prints the error and returns the documented exit code.
fn exit_code(result: Result<(), CliError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("anvilloft: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}

/// Returns the whole command line.
pub(crate) fn root() -> Command {
    let mut root = Command::new("anvilloft")
        .about("Operates a fleet of anvilloft routers")
        .version(clap::crate_version!())
        .after_help(EXIT_CODES)
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

/// Waits for SIGINT, SIGTERM or the end of the time.
async fn until_stopped(bound: Option<Duration>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        res = tokio::signal::ctrl_c() => res,
        _ = terminate.recv() => Ok(()),
        () = tokio::time::sleep(bound.unwrap_or(Duration::MAX)) => Ok(()),
    }
}
