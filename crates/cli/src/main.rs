//! Command line for operators of an anvilloft fleet.

mod api;
mod cmd;
mod error;
mod output;
#[cfg(test)]
mod tests;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cmd::root().get_matches();
    match cmd::run(&matches) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("anvilloft: {e}");
            ExitCode::FAILURE
        }
    }
}
