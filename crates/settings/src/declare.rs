//! Generates a settings type, its builder, its INI reader and its printed
//! defaults from one table, so that the code and its documentation can't differ.

use std::fs;
use std::path::Path;

use ini::Ini;

use crate::Fault;
use crate::SettingsError;
use crate::value::SettingValue;

/// Maximum size of a settings file, in bytes.
const MAX_FILE_BYTES: u64 = 256 * 1024;

/// One row of a settings table.
#[derive(Clone, Debug)]
pub struct SettingSpec {
    /// Section of the INI file.
    pub section: &'static str,
    /// Key within the section.
    pub key: &'static str,
    /// Unit of the value; empty for text.
    pub unit: &'static str,
    /// Default, or `None` when the setting must be given.
    pub default: Option<&'static str>,
    /// Minimum value, count or length.
    pub min: u64,
    /// Maximum value, count or length.
    pub max: u64,
    /// What the setting does.
    pub help: &'static str,
}

/// Returns a table as an INI file with units and ranges in comments. Settings
/// without a default are commented out.
pub(crate) fn to_ini(specs: &[SettingSpec]) -> String {
    let mut out = String::new();
    let mut section = "";
    for spec in specs {
        if spec.section != section {
            section = spec.section;
            if !out.is_empty() {
                out.push('\n');
            }
            out.push_str(&format!("[{section}]\n"));
        }
        for line in spec.help.lines() {
            out.push_str(&format!("; {}\n", line.trim()));
        }
        if !spec.unit.is_empty() {
            out.push_str(&format!(
                "; Unit: {}. Range: {} to {}.\n",
                spec.unit, spec.min, spec.max
            ));
        }
        match spec.default {
            Some(default) => out.push_str(&format!("{} = {default}\n", spec.key)),
            None => out.push_str(&format!("; Must be given.\n;{} =\n", spec.key)),
        }
    }
    out
}

/// Reads the settings of a table from an INI file and collects the faults.
pub(crate) struct Reader<'a> {
    path: &'a Path,
    ini: Ini,
    specs: &'a [SettingSpec],
    /// Faults found so far.
    pub(crate) faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// Parses the file. Faults of the file and its keys are collected.
    pub(crate) fn open(path: &'a Path, specs: &'a [SettingSpec]) -> Self {
        let mut reader = Self {
            path,
            ini: Ini::new(),
            specs,
            faults: Vec::new(),
        };
        let text = fs::metadata(path).and_then(|meta| {
            if meta.len() > MAX_FILE_BYTES {
                let reason = format!("the file is longer than {MAX_FILE_BYTES} bytes");
                return Err(std::io::Error::other(reason));
            }
            fs::read_to_string(path)
        });
        match text {
            Err(err) => reader.fault("", "", format!("can't be read: {err}")),
            // Without escapes, so that a backslash in a path stays a backslash.
            Ok(text) => match Ini::load_from_str_noescape(&text) {
                Err(err) => reader.fault("", "", err.to_string()),
                Ok(ini) => reader.ini = ini,
            },
        }
        reader.check_keys();
        reader
    }

    pub(crate) fn fault(&mut self, section: &str, key: &str, message: impl Into<String>) {
        self.faults.push(Fault {
            file: self.path.display().to_string(),
            section: section.to_owned(),
            key: key.to_owned(),
            message: message.into(),
        });
    }

    /// Reports unknown sections, unknown keys and keys that are given twice.
    fn check_keys(&mut self) {
        let mut found = Vec::new();
        for (section, props) in self.ini.iter() {
            let name = section.unwrap_or_default();
            if !name.is_empty() && !self.specs.iter().any(|spec| spec.section == name) {
                found.push((name.to_owned(), String::new(), "unknown section"));
                continue;
            }
            let mut keys: Vec<&str> = props.iter().map(|(key, _)| key).collect();
            keys.sort_unstable();
            keys.dedup();
            for key in keys {
                let is_known = |spec: &SettingSpec| spec.section == name && spec.key == key;
                if !self.specs.iter().any(is_known) {
                    found.push((name.to_owned(), key.to_owned(), "unknown key"));
                } else if props.get_all(key).count() > 1 {
                    found.push((name.to_owned(), key.to_owned(), "given twice"));
                }
            }
        }
        for (section, key, message) in found {
            self.fault(&section, &key, message);
        }
    }

    /// Reads one setting. Returns `None` when it is not given or has a fault.
    pub(crate) fn read<T: SettingValue>(&mut self, index: usize) -> Option<T> {
        let spec = &self.specs[index];
        let text = self.ini.get_from(Some(spec.section), spec.key)?.trim();
        let base = self.path.parent().unwrap_or(Path::new(""));
        match T::parse(text, base) {
            Ok(value) => Some(value),
            Err(message) => {
                self.fault(spec.section, spec.key, message);
                None
            }
        }
    }
}

/// Returns the value given to a builder, or the default, if it is in the range of
/// the table.
pub(crate) fn resolve<T: SettingValue>(
    given: Option<T>,
    spec: &SettingSpec,
    file: &str,
    faults: &mut Vec<Fault>,
) -> Option<T> {
    let fault = |message: String| Fault {
        file: file.to_owned(),
        section: spec.section.to_owned(),
        key: spec.key.to_owned(),
        message,
    };
    let value = match (given, spec.default) {
        (Some(value), _) => Ok(value),
        (None, Some(default)) => T::parse(default, Path::new("")),
        (None, None) => Err("must be given".to_owned()),
    };
    match value.and_then(|value| value.check(spec).map(|()| value)) {
        Ok(value) => Some(value),
        Err(message) => {
            // Reading the file may have reported a fault of this key already.
            let same_key = |f: &Fault| f.section == spec.section && f.key == spec.key;
            if !faults.iter().any(same_key) {
                faults.push(fault(message));
            }
            None
        }
    }
}

/// Wraps the faults in an error.
pub(crate) fn into_error(faults: Vec<Fault>) -> SettingsError {
    SettingsError::Faults(faults)
}

/// Declares a settings type. Each row is
/// `field: Type = [section, key, unit, default, min, max]`.
macro_rules! settings {
    (
        $(#[doc = $tdoc:literal])+
        $name:ident, $builder:ident {
            $(
                $(#[doc = $doc:literal])+
                $field:ident: $ty:ty = [$section:literal, $key:literal, $unit:literal, $default:expr, $min:expr, $max:expr],
            )+
        }
    ) => {
        $(#[doc = $tdoc])+
        #[derive(Clone, Debug)]
        pub struct $name {
            $($(#[doc = $doc])+ pub $field: $ty,)+
        }

        #[doc = concat!("Builder of [`", stringify!($name), "`]; unset settings get their defaults.")]
        #[derive(Clone, Debug, Default)]
        pub struct $builder {
            $($field: Option<$ty>,)+
        }

        impl $builder {
            $(
                #[doc = concat!("Sets `", stringify!($field), "`.")]
                #[must_use]
                pub fn $field(mut self, value: impl Into<$ty>) -> Self {
                    self.$field = Some(value.into());
                    self
                }
            )+

            /// Checks the settings as a whole.
            ///
            /// # Errors
            ///
            /// Returns all faults at once.
            pub fn build(self) -> Result<$name, $crate::SettingsError> {
                self.build_for("(builder)", Vec::new())
            }

            fn build_for(
                self,
                file: &str,
                mut faults: Vec<$crate::Fault>,
            ) -> Result<$name, $crate::SettingsError> {
                let specs = $name::specs();
                let mut rows = specs.iter();
                $(
                    let $field = match rows.next() {
                        Some(spec) => $crate::declare::resolve(self.$field, spec, file, &mut faults),
                        None => None,
                    };
                )+
                let built = (|| Some($name { $($field: $field?,)+ }))();
                match built {
                    Some(settings) => {
                        settings.check(file, &mut faults);
                        if faults.is_empty() {
                            return Ok(settings);
                        }
                        Err($crate::declare::into_error(faults))
                    }
                    None => Err($crate::declare::into_error(faults)),
                }
            }
        }

        impl $name {
            /// Returns a builder with nothing set.
            pub fn builder() -> $builder {
                $builder::default()
            }

            /// Returns the settings table.
            pub fn specs() -> Vec<$crate::SettingSpec> {
                vec![$($crate::SettingSpec {
                    section: $section,
                    key: $key,
                    unit: $unit,
                    default: $default,
                    min: $min,
                    max: $max,
                    help: concat!($($doc, "\n",)+),
                },)+]
            }

            /// Returns the defaults as an INI file with units and ranges in
            /// comments.
            pub fn defaults() -> String {
                $crate::declare::to_ini(&Self::specs())
            }

            /// Reads an INI file and checks it as a whole. Paths are relative to
            /// the folder of the file.
            ///
            /// # Errors
            ///
            /// Returns all faults at once, each with file, section and key.
            pub fn load(path: &std::path::Path) -> Result<Self, $crate::SettingsError> {
                let specs = Self::specs();
                let mut reader = $crate::declare::Reader::open(path, &specs);
                let mut builder = $builder::default();
                let mut index = 0;
                $(
                    builder.$field = reader.read(index);
                    index += 1;
                )+
                let _ = index;
                let faults = std::mem::take(&mut reader.faults);
                builder.build_for(&path.display().to_string(), faults)
            }
        }
    };
}

pub(crate) use settings;
