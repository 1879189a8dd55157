//! Types of single settings and how they are read from text.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use crate::Secret;
use crate::declare::Spec;

/// A type that a setting can have.
pub(crate) trait Value: Sized {
    /// Reads the value; relative paths start at `base`.
    fn parse(text: &str, base: &Path) -> Result<Self, String>;

    /// Checks the range of the table.
    fn check(&self, _spec: &Spec) -> Result<(), String> {
        Ok(())
    }
}

fn check_range(value: u64, spec: &Spec) -> Result<(), String> {
    if (spec.min..=spec.max).contains(&value) {
        return Ok(());
    }
    Err(format!(
        "{value} is outside {} to {} {}",
        spec.min, spec.max, spec.unit
    ))
}

impl Value for u64 {
    fn parse(text: &str, _base: &Path) -> Result<Self, String> {
        text.parse()
            .map_err(|_| format!("`{text}` is not a whole number"))
    }

    fn check(&self, spec: &Spec) -> Result<(), String> {
        check_range(*self, spec)
    }
}

impl Value for bool {
    fn parse(text: &str, _base: &Path) -> Result<Self, String> {
        match text {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(format!("`{text}` is neither yes nor no")),
        }
    }
}

impl Value for Duration {
    fn parse(text: &str, base: &Path) -> Result<Self, String> {
        u64::parse(text, base).map(Self::from_millis)
    }

    fn check(&self, spec: &Spec) -> Result<(), String> {
        check_range(u64::try_from(self.as_millis()).unwrap_or(u64::MAX), spec)
    }
}

impl Value for String {
    fn parse(text: &str, _base: &Path) -> Result<Self, String> {
        Ok(text.to_owned())
    }

    fn check(&self, spec: &Spec) -> Result<(), String> {
        let len = self.len() as u64;
        if len < spec.min || len > spec.max {
            return Err(format!("must have {} to {} characters", spec.min, spec.max));
        }
        // Names appear in log lines, file names and HTTP paths.
        if !self
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
        {
            return Err(format!(
                "`{self}` may hold letters, digits, `-`, `_` and `.` only"
            ));
        }
        Ok(())
    }
}

impl Value for SocketAddr {
    fn parse(text: &str, _base: &Path) -> Result<Self, String> {
        text.parse()
            .map_err(|_| format!("`{text}` is not an address such as 192.0.2.1:7000"))
    }
}

impl Value for Option<SocketAddr> {
    fn parse(text: &str, base: &Path) -> Result<Self, String> {
        if text.is_empty() {
            return Ok(None);
        }
        SocketAddr::parse(text, base).map(Some)
    }
}

impl Value for Vec<SocketAddr> {
    fn parse(text: &str, base: &Path) -> Result<Self, String> {
        text.split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(|part| SocketAddr::parse(part, base))
            .collect()
    }

    fn check(&self, spec: &Spec) -> Result<(), String> {
        let len = self.len() as u64;
        if len < spec.min || len > spec.max {
            return Err(format!(
                "{len} addresses; must have {} to {}",
                spec.min, spec.max
            ));
        }
        let mut sorted = self.clone();
        sorted.sort_unstable();
        sorted.dedup();
        if sorted.len() != self.len() {
            return Err("an address is listed twice".to_owned());
        }
        Ok(())
    }
}

impl Value for PathBuf {
    fn parse(text: &str, base: &Path) -> Result<Self, String> {
        if text.is_empty() {
            return Err("the path is empty".to_owned());
        }
        Ok(base.join(text))
    }
}

impl Value for Option<PathBuf> {
    fn parse(text: &str, base: &Path) -> Result<Self, String> {
        if text.is_empty() {
            return Ok(None);
        }
        PathBuf::parse(text, base).map(Some)
    }
}

impl Value for Secret {
    fn parse(text: &str, base: &Path) -> Result<Self, String> {
        Self::from_file(&PathBuf::parse(text, base)?)
    }
}

macro_rules! words {
    ($(#[doc = $doc:literal])+ $name:ident { $($(#[doc = $vdoc:literal])+ $variant:ident = $word:literal,)+ }) => {
        $(#[doc = $doc])+
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $($(#[doc = $vdoc])+ $variant,)+
        }

        impl Value for $name {
            fn parse(text: &str, _base: &Path) -> Result<Self, String> {
                match text {
                    $($word => Ok(Self::$variant),)+
                    _ => Err(format!("`{text}` is none of {}", [$($word),+].join(", "))),
                }
            }
        }
    };
}

words! {
    /// Format of log lines.
    LogFormat {
        /// One JSON object a line, for programs.
        Json = "json",
        /// Plain lines, for people.
        Terminal = "terminal",
    }
}

words! {
    /// Lowest level of log lines that are written.
    LogLevel {
        /// A fault that needs an operator.
        Error = "error",
        /// A fault that the system handles.
        Warning = "warning",
        /// Changes of state.
        Info = "info",
        /// Single decisions.
        Debug = "debug",
    }
}

words! {
    /// What a control member with an empty data folder does.
    GroupStart {
        /// Waits until an operator adds it to the group.
        Join = "join",
        /// Starts a new group with itself as the only member.
        New = "new",
    }
}
