//! Keys that are never logged.

use std::fmt;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// Minimum length of a key, in bytes. A shorter one could be guessed offline from
/// one recorded session.
const MIN_KEY_BYTES: usize = 32;
/// Maximum size of a key file, in bytes.
const MAX_KEY_BYTES: u64 = 4096;

/// A key. `Debug` hides its content, and there is no `Display`.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Wraps the bytes of a key.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Returns the content. To be called only where the key is used.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }

    /// Reads a key file. White space around the key is trimmed.
    ///
    /// # Errors
    ///
    /// When the file can't be read or is too large, when group or others have
    /// access, or when the key is shorter than 32 bytes. The message doesn't hold
    /// the content.
    pub fn from_file(path: &Path) -> Result<Self, String> {
        let shown = path.display();
        let meta = fs::metadata(path).map_err(|err| format!("can't read {shown}: {err}"))?;
        if !meta.is_file() {
            return Err(format!("{shown} is not a file"));
        }
        let mode = meta.permissions().mode() & 0o777;
        if mode & 0o077 != 0 {
            return Err(format!(
                "{shown} has mode {mode:04o}; group and others must have no access (chmod 600)"
            ));
        }
        if meta.len() > MAX_KEY_BYTES {
            return Err(format!("{shown} is longer than {MAX_KEY_BYTES} bytes"));
        }
        let bytes = fs::read(path).map_err(|err| format!("can't read {shown}: {err}"))?;
        let key = bytes.trim_ascii();
        if key.len() < MIN_KEY_BYTES {
            return Err(format!(
                "the key in {shown} is shorter than {MIN_KEY_BYTES} bytes"
            ));
        }
        Ok(Self(key.to_vec()))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}
