//! `anvilloft explain`: shows what happened to one request, from logs.

use std::fs;

use anvilloft_telemetry::RequestTrace;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;

use crate::error::CliError;
use crate::output::write;

const HELP: &str = "\
Reads JSON logs of any number of processes, in any order. Prints the lines of one
request, the last state that its host logged before it, and why the request
ended. Exits with 1 when part of the trace is missing. When a caller repeats a
request, the repeat has another id.";

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .required(true)
        .action(ArgAction::Append)
        .num_args(1..);
    Command::new("explain")
        .about("Shows what happened to one request, from logs")
        .after_help(HELP)
        .arg(Arg::new("id").value_name("ID").required(true))
        .arg(file)
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let id = args.get_one::<String>("id").map_or("", String::as_str);
    let mut logs = Vec::new();
    for file in args.get_many::<String>("file").into_iter().flatten() {
        let bytes = fs::read(file).map_err(|err| CliError::Usage(format!("{file}: {err}")))?;
        logs.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    let trace = RequestTrace::from_logs(id, logs.iter().flat_map(|log| log.lines()));
    for line in &trace.lines {
        write(&format!("{line}\n"));
    }
    if !trace.cause.is_empty() {
        write(&format!("cause: {}\n", trace.cause));
    }
    match trace.missing.is_empty() {
        true => Ok(()),
        false => Err(CliError::Problems(format!(
            "missing: {}",
            trace.missing.join("; ")
        ))),
    }
}
