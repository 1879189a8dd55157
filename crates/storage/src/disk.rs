//! File operations that the store needs, and their implementation on a folder.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::PathBuf;

/// Files in one folder. Nothing is durable before it is synced: file contents by
/// `sync`, created, renamed and removed names by `sync_folder`.
pub trait Disk: Send {
    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Fails when the file doesn't exist or can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file and creates it if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()>;
    /// Truncates a file to `len` bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;
    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// The content is unknown after an error.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file and replaces any existing file with the new name.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes created, renamed and removed names durable.
    ///
    /// # Errors
    ///
    /// The set of names is unknown after an error.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// [`Disk`] on a folder of the file system.
#[derive(Debug)]
pub struct RealDisk {
    folder: PathBuf,
    /// Name and handle of the file last appended to, kept open between batches.
    append_file: Option<(String, File)>,
    /// Lock on the folder, held while it is in use. Two processes with the same
    /// member id could vote twice in one term.
    _lock: File,
}

/// Name of the lock file.
const LOCK_FILE: &str = "lock";

impl RealDisk {
    /// Opens and locks a folder, and creates it if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system, or `WouldBlock` while another process
    /// uses the folder.
    pub fn open(folder: impl Into<PathBuf>) -> io::Result<Self> {
        let folder = folder.into();
        fs::create_dir_all(&folder)?;
        // Makes the folder's own name durable.
        if let Some(parent) = folder.parent().filter(|p| !p.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        let lock = File::create(folder.join(LOCK_FILE))?;
        lock.try_lock()?;
        Ok(Self {
            folder,
            append_file: None,
            _lock: lock,
        })
    }

    /// Returns the handle for appending to a file, opened if necessary.
    fn append_handle(&mut self, name: &str) -> io::Result<&mut File> {
        let must_open = !matches!(&self.append_file, Some((n, _)) if n == name);
        if must_open {
            let f = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.folder.join(name))?;
            self.append_file = Some((name.to_owned(), f));
        }
        match &mut self.append_file {
            Some((_, f)) => Ok(f),
            None => Err(io::Error::other("no file is open for appending")),
        }
    }

    /// Closes the cached handle if it belongs to this file.
    fn close_cached(&mut self, name: &str) {
        if matches!(&self.append_file, Some((n, _)) if n == name) {
            self.append_file = None;
        }
    }
}

impl Disk for RealDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            if entry.file_type()?.is_file()
                && let Ok(name) = entry.file_name().into_string()
            {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        self.append_handle(name)?.write_all(data)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.append_handle(name)?.set_len(len)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.append_handle(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close_cached(from);
        self.close_cached(to);
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close_cached(name);
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
