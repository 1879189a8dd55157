//! The few file operations that the store needs.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::PathBuf;

/// Files in one folder. Nothing is durable before it is synced: the content
/// of a file by `sync`, names and renames by `sync_folder`.
pub trait Disk: Send {
    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Passes on the error of the file system, like all other methods.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Fails when the file doesn't exist or can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file, which is created when it doesn't exist.
    ///
    /// # Errors
    ///
    /// Passes on the error of the file system.
    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()>;
    /// Shortens a file to `len` bytes.
    ///
    /// # Errors
    ///
    /// Passes on the error of the file system.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;
    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// The content is unknown after an error.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing any file of the new name.
    ///
    /// # Errors
    ///
    /// Passes on the error of the file system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Passes on the error of the file system.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes created, renamed and removed names durable.
    ///
    /// # Errors
    ///
    /// The set of names is unknown after an error.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct RealDisk {
    folder: PathBuf,
    /// The file appended to last, kept open between batches.
    open: Option<(String, File)>,
    /// Locked while the folder is in use. Two processes with one identity
    /// could vote twice in a term.
    _lock: File,
}

/// Name of the file that is locked.
const LOCK_FILE: &str = "lock";

impl RealDisk {
    /// Opens a folder, which is created when it doesn't exist.
    ///
    /// # Errors
    ///
    /// Passes on the error of the file system. Fails with `WouldBlock` while
    /// another process uses the folder.
    pub fn open(folder: impl Into<PathBuf>) -> io::Result<Self> {
        let folder = folder.into();
        fs::create_dir_all(&folder)?;
        // The folder's own name must survive too.
        if let Some(parent) = folder.parent().filter(|p| !p.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        let lock = File::create(folder.join(LOCK_FILE))?;
        lock.try_lock()?;
        Ok(Self {
            folder,
            open: None,
            _lock: lock,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let reopen = !matches!(&self.open, Some((n, _)) if n == name);
        if reopen {
            let f = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.folder.join(name))?;
            self.open = Some((name.to_owned(), f));
        }
        match &mut self.open {
            Some((_, f)) => Ok(f),
            None => Err(io::Error::other("no open file")),
        }
    }

    fn forget(&mut self, name: &str) {
        if matches!(&self.open, Some((n, _)) if n == name) {
            self.open = None;
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
        self.file(name)?.write_all(data)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.file(name)?.set_len(len)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.forget(from);
        self.forget(to);
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.forget(name);
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
