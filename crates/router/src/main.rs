//! The router daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::Command;

fn main() -> ExitCode {
    let matches = Command::new("anvilloft-router")
        .about("Routes callers' requests to endpoints")
        .version(clap::crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .required(true)
                .value_name("FILE")
                .value_parser(clap::value_parser!(PathBuf))
                .help("Settings file; `anvilloft settings router` prints the defaults"),
        )
        .get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::FAILURE;
    };
    match anvilloft_router::daemon::run(path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("anvilloft-router: {e}");
            ExitCode::FAILURE
        }
    }
}
