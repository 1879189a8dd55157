//! `anvilloft explain`: tells the story of one request from logs.

use std::fs;

use anvilloft_telemetry::RequestTrace;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;

use crate::error::CliError;
use crate::output::write;

const HELP: &str = "\
Reads JSON logs of any number of processes, in any order, and prints the lines
of one request, what its host believed before, and the cause of its end. Exits
with 1 when a part of the story is missing. A caller's repeat has another id.";

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .required(true)
        .action(ArgAction::Append)
        .num_args(1..);
    Command::new("explain")
        .about("Tells the story of one request from logs")
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
    let story = RequestTrace::from_logs(id, logs.iter().flat_map(|log| log.lines()));
    for line in &story.lines {
        write(&format!("{line}\n"));
    }
    if !story.cause.is_empty() {
        write(&format!("cause: {}\n", story.cause));
    }
    match story.missing.is_empty() {
        true => Ok(()),
        false => Err(CliError::Problems(format!(
            "missing: {}",
            story.missing.join("; ")
        ))),
    }
}
