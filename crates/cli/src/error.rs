//! Errors of the command and their exit codes.

use quick_error::quick_error;

quick_error! {
    /// Reason why a subcommand failed. The exit codes are part of the interface.
    #[derive(Debug)]
    pub enum CliError {
        /// A check found problems. The message says which, or how many were
        /// printed.
        Problems(what: String) {
            display("{}", what)
        }
        /// An argument or a local file is invalid, or a local operation failed.
        Usage(reason: String) {
            display("{}", reason)
        }
        /// The API refused the request. Nothing was changed.
        Refused(code: String, reason: String) {
            display("{} ({})", reason, code)
        }
        /// The configuration changed since the base revision. Nothing was changed.
        Conflict(reason: String) {
            display("{}", reason)
        }
        /// No control member could run the request. Nothing was changed.
        NotRun(reason: String) {
            display("not run: {}", reason)
        }
        /// The outcome is unknown: the request may have been run.
        Unknown(reason: String, id: String) {
            display("the outcome is unknown: {}; run the same command with --change-id {}", reason, id)
        }
    }
}

/// Explanation of the exit codes in the help text.
pub(crate) const EXIT_CODES: &str = "\
Exit codes: 0 success, 1 a check found problems, 2 invalid argument or local file,
3 refused by the API, 4 conflict with another change, 5 not run, 6 outcome unknown.";

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
