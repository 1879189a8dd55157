//! Subcommands. Each module defines the command line of one subcommand and
//! runs it.

mod apply;
mod bench;
mod bootstrap;
mod budget;
mod check;
mod default;
mod demo;
mod emulate;
mod endpoint;
mod evacuation;
mod exception;
mod explain;
mod history;
mod items;
mod key;
mod member;
mod model;
mod quarantine;
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

/// Error of a subcommand, as printed for the operator.
pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Name, command-line definition and entry point of a subcommand.
struct Subcommand {
    name: &'static str,
    command: fn() -> Command,
    run: fn(&ArgMatches) -> Result<ExitCode, BoxError>,
}

/// Builds the table of subcommands from the modules whose `run` returns a
/// `CliError`. `demo` and `emulate`, which return an exit code, are added first.
macro_rules! subcommands {
    ($($name:ident),+ $(,)?) => {
        &[
            Subcommand {
                name: demo::NAME,
                command: demo::command,
                run: demo::run,
            },
            Subcommand {
                name: emulate::NAME,
                command: emulate::command,
                run: emulate::run,
            },
            $(Subcommand {
                name: stringify!($name),
                command: $name::command,
                run: |args| Ok(report_result($name::run(args))),
            },)+
        ]
    };
}

/// All subcommands, in the order of the help.
const SUBCOMMANDS: &[Subcommand] = subcommands![
    status, team, key, budget, rank, model, service, default, exception, router, endpoint, member,
    quarantine, evacuation, history, apply, bench, check, explain, settings, bootstrap,
];

/// Prints the error, if any, and returns the documented exit code.
fn report_result(result: Result<(), CliError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("anvilloft: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}

/// Returns the definition of the whole command line.
pub(crate) fn root() -> Command {
    let mut root = Command::new("anvilloft")
        .about("Operates a fleet of anvilloft routers")
        .version(clap::crate_version!())
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true);
    for subcommand in SUBCOMMANDS {
        root = root.subcommand((subcommand.command)());
    }
    root
}

/// Runs the subcommand of a parsed command line.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode, BoxError> {
    let Some((name, args)) = matches.subcommand() else {
        return Err("no subcommand was given".into());
    };
    match SUBCOMMANDS
        .iter()
        .find(|subcommand| subcommand.name == name)
    {
        Some(subcommand) => (subcommand.run)(args),
        None => Err(format!("there is no subcommand {name}").into()),
    }
}

/// Waits for SIGINT, SIGTERM or the end of `max_time`.
async fn wait_for_stop(max_time: Option<Duration>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        res = tokio::signal::ctrl_c() => res,
        _ = terminate.recv() => Ok(()),
        () = tokio::time::sleep(max_time.unwrap_or(Duration::MAX)) => Ok(()),
    }
}
