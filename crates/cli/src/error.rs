//! Errors of the command and their exit codes.

use quick_error::quick_error;

quick_error! {
    /// Why a subcommand failed. The exit codes are part of the interface.
    #[derive(Debug)]
    pub enum CliError {
        /// Something was checked and is wrong; it has been printed.
        Problems(what: String) {
            display("{}", what)
        }
        /// The arguments or a local file are wrong.
        Usage(reason: String) {
            display("{}", reason)
        }
        /// The API refused the request. Nothing was changed.
        Refused(code: String, reason: String) {
            display("{} ({})", reason, code)
        }
        /// Another change came first. Nothing was changed.
        Conflict(reason: String) {
            display("{}", reason)
        }
        /// No control member could run the request. Nothing was changed.
        NotRun(reason: String) {
            display("not run: {}", reason)
        }
        /// The request may have been run.
        Unknown(reason: String, id: String) {
            display("the outcome is unknown: {}; run the same command with --change-id {}", reason, id)
        }
    }
}

/// Meaning of the exit codes, for the help text.
pub(crate) const EXIT_CODES: &str = "\
Exit codes: 0 done, 1 something checked is wrong, 2 wrong arguments or local file,
3 refused by the API, 4 another change came first, 5 not run, 6 outcome unknown.";

impl CliError {
    /// Returns the exit code.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Problems(_) => 1,
            Self::Usage(_) => 2,
            Self::Refused(..) => 3,
            Self::Conflict(_) => 4,
            Self::NotRun(_) => 5,
            Self::Unknown(..) => 6,
        }
    }
}
