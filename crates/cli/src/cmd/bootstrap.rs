//! `anvilloft bootstrap`: creates the first operator key.
//!
//! The key is printed once. Its SHA-256 is written to a file, to which the
//! setting `operator_hash_file` of every control member must point.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use sha2::Digest;
use sha2::Sha256;

use crate::api::random_hex;
use crate::error::CliError;

/// Returns the command-line definition.
pub(crate) fn command() -> Command {
    Command::new("bootstrap")
        .about("Creates the first operator key, prints it once and writes its SHA-256 to a file")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .help("New file for the setting operator_hash_file of the control members"),
        )
}

/// Runs the subcommand.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let path = args.get_one::<String>("file").map_or("", String::as_str);
    let secret = format!("avl_{}", random_hex(32)?);
    let hash = hex::encode(Sha256::digest(secret.as_bytes()));
    // An existing file isn't overwritten, because its key may be in use.
    OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)
        .and_then(|mut file| {
            writeln!(file, "{hash}")?;
            file.sync_all()
        })
        .map_err(|err| CliError::Usage(format!("can't write {path}: {err}")))?;
    println!("{secret}");
    eprintln!("This key isn't shown again. Its SHA-256 is in {path}.");
    Ok(())
}
