//! Types of settings, with their parsing and range checks.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use crate::Secret;
use crate::declare::SettingSpec;

/// A type that a setting can have.
pub(crate) trait SettingValue: Sized {
    /// Parses the value. Paths are relative to `base`.
    fn parse(text: &str, base: &Path) -> Result<Self, String>;

    /// Checks the value against the range in the settings table.
    fn check(&self, _spec: &SettingSpec) -> Result<(), String> {
        Ok(())
    }
}

fn check_range(value: u64, spec: &SettingSpec) -> Result<(), String> {
    if (spec.min..=spec.max).contains(&value) {
        return Ok(());
    }
    Err(format!(
        "{value} is outside {} to {} {}",
        spec.min, spec.max, spec.unit
    ))
}

impl SettingValue for u64 {
    fn parse(text: &str, _base: &Path) -> Result<Self, String> {
        text.parse()
            .map_err(|_| format!("`{text}` is not a whole number"))
    }

    fn check(&self, spec: &SettingSpec) -> Result<(), String> {
        check_range(*self, spec)
    }
}

impl SettingValue for bool {
    fn parse(text: &str, _base: &Path) -> Result<Self, String> {
        match text {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(format!("`{text}` is neither yes nor no")),
        }
    }
}

impl SettingValue for Duration {
    fn parse(text: &str, base: &Path) -> Result<Self, String> {
        u64::parse(text, base).map(Self::from_millis)
    }

    fn check(&self, spec: &SettingSpec) -> Result<(), String> {
        check_range(u64::try_from(self.as_millis()).unwrap_or(u64::MAX), spec)
    }
}

impl SettingValue for String {
    fn parse(text: &str, _base: &Path) -> Result<Self, String> {
        Ok(text.to_owned())
    }

    fn check(&self, spec: &SettingSpec) -> Result<(), String> {
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
                "`{self}` may contain letters, digits, `-`, `_` and `.` only"
            ));
        }
        Ok(())
    }
}

impl SettingValue for SocketAddr {
    fn parse(text: &str, _base: &Path) -> Result<Self, String> {
        text.parse()
            .map_err(|_| format!("`{text}` is not an address such as 192.0.2.1:7000"))
    }
}

impl SettingValue for Option<SocketAddr> {
    fn parse(text: &str, base: &Path) -> Result<Self, String> {
        if text.is_empty() {
            return Ok(None);
        }
        SocketAddr::parse(text, base).map(Some)
    }
}

impl SettingValue for Vec<SocketAddr> {
    fn parse(text: &str, base: &Path) -> Result<Self, String> {
        text.split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(|part| SocketAddr::parse(part, base))
            .collect()
    }

    fn check(&self, spec: &SettingSpec) -> Result<(), String> {
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

impl SettingValue for PathBuf {
    fn parse(text: &str, base: &Path) -> Result<Self, String> {
        if text.is_empty() {
            return Err("the path is empty".to_owned());
        }
        Ok(base.join(text))
    }
}

impl SettingValue for Option<PathBuf> {
    fn parse(text: &str, base: &Path) -> Result<Self, String> {
        if text.is_empty() {
            return Ok(None);
        }
        PathBuf::parse(text, base).map(Some)
    }
}

impl SettingValue for Secret {
    fn parse(text: &str, base: &Path) -> Result<Self, String> {
        Self::from_file(&PathBuf::parse(text, base)?)
    }
}

/// Declares an enum whose values are keywords in the settings file.
macro_rules! keyword_enum {
    ($(#[doc = $doc:literal])+ $name:ident { $($(#[doc = $vdoc:literal])+ $variant:ident = $word:literal,)+ }) => {
        $(#[doc = $doc])+
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $($(#[doc = $vdoc])+ $variant,)+
        }

        impl SettingValue for $name {
            fn parse(text: &str, _base: &Path) -> Result<Self, String> {
                match text {
                    $($word => Ok(Self::$variant),)+
                    _ => Err(format!("`{text}` is not one of {}", [$($word),+].join(", "))),
                }
            }
        }
    };
}

keyword_enum! {
    /// Format of log lines.
    LogFormat {
        /// One JSON object per line, for programs.
        Json = "json",
        /// Plain text, for people.
        Terminal = "terminal",
    }
}

keyword_enum! {
    /// Lowest level of log lines that are written.
    LogLevel {
        /// A fault that needs an operator.
        Error = "error",
        /// A fault that the system handles.
        Warning = "warning",
        /// Changes of state.
        Info = "info",
        /// Individual decisions.
        Debug = "debug",
    }
}

keyword_enum! {
    /// What a control member with an empty data folder does.
    GroupStart {
        /// Waits until an operator adds it to the group.
        Join = "join",
        /// Starts a new group with itself as the only member.
        New = "new",
    }
}
