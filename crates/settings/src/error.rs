//! Errors of settings files.

use std::fmt;

use quick_error::quick_error;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// File, or `(builder)` when the settings were built in code.
    pub file: String,
    /// Section of the key.
    pub section: String,
    /// Key; empty when the fault concerns the whole section or file.
    pub key: String,
    /// Description of the fault, without section and key.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

fn one_per_line(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

quick_error! {
    /// Why settings can't be used.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SettingsError {
        /// All faults: those found while reading the file, then missing and
        /// out-of-range settings in the order of the table, then violated rules
        /// between settings.
        Faults(faults: Vec<Fault>) {
            display("{}", one_per_line(faults))
        }
    }
}

impl SettingsError {
    /// Returns all faults.
    pub fn faults(&self) -> &[Fault] {
        match self {
            Self::Faults(faults) => faults,
        }
    }
}
