//! In-memory disk with fault injection, for tests.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use anvilloft_types::lock;
use rand::Rng;

use crate::disk::Disk;

/// [`Disk`] in memory that injects faults. Clones share their content, so a test
/// can keep one clone, drop the store that owns another, and open a new store.
#[derive(Clone, Debug, Default)]
pub struct MemDisk {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Content of each file by file id.
    files: BTreeMap<u64, FileContent>,
    last_file_id: u64,
    /// File id of each name.
    names: BTreeMap<String, u64>,
    synced_names: BTreeMap<String, u64>,
    /// Name changes since the last sync of the folder, in order.
    unsynced_changes: Vec<NameChange>,
    fail_syncs: u32,
    /// Number of bytes that still fit, if the disk has a limit.
    room: Option<usize>,
    /// Number of write operations that still succeed before the disk refuses every
    /// change for want of room.
    ops_until_full: Option<u32>,
    /// Number of write operations that still succeed before the simulated power
    /// failure.
    ops_until_power_failure: Option<u32>,
    sync_count: u64,
}

impl State {
    /// Counts a write operation. Fails if the power has failed or the disk is full.
    fn consume_write_op(&mut self) -> io::Result<()> {
        match &mut self.ops_until_full {
            Some(0) => return Err(io::ErrorKind::StorageFull.into()),
            Some(ops) => *ops -= 1,
            None => {}
        }
        match &mut self.ops_until_power_failure {
            Some(0) => Err(io::Error::other("injected power failure")),
            Some(ops) => {
                *ops -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

#[derive(Debug, Default)]
struct FileContent {
    data: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Clone, Debug)]
enum NameChange {
    Link(String, u64),
    Rename(String, String),
    Remove(String),
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, u64>) {
        match self {
            Self::Link(name, file) => {
                names.insert(name.clone(), *file);
            }
            Self::Rename(from, to) => {
                if let Some(file) = names.remove(from) {
                    names.insert(to.clone(), file);
                }
            }
            Self::Remove(name) => {
                names.remove(name);
            }
        }
    }
}

impl MemDisk {
    /// Creates an empty disk.
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Simulates a power failure, which loses unsynced data: a random part of the
    /// unsynced tail of each file survives, possibly followed by garbage, and a
    /// random number of the first unsynced name changes.
    pub fn crash(&self, rng: &mut impl Rng) {
        let mut state = self.state();
        state.ops_until_power_failure = None;
        let kept_changes = rng.random_range(0..=state.unsynced_changes.len());
        let mut names = state.synced_names.clone();
        for change in state.unsynced_changes.iter().take(kept_changes) {
            change.apply(&mut names);
        }
        state.unsynced_changes.clear();
        state.names = names.clone();
        state.synced_names = names;
        for file in state.files.values_mut() {
            if file.data.starts_with(&file.synced) {
                let synced_len = file.synced.len();
                let new_len = rng.random_range(synced_len..=file.data.len());
                let lost = file.data.len() - new_len;
                file.data.truncate(new_len);
                // Blocks that were allocated but not written read as garbage.
                if lost > 0 && rng.random_bool(0.3) {
                    let garbage_len = rng.random_range(1..=lost);
                    let zeros = rng.random_bool(0.5);
                    for _ in 0..garbage_len {
                        file.data.push(if zeros { 0 } else { rng.random() });
                    }
                }
            } else {
                file.data = file.synced.clone();
            }
            file.synced = file.data.clone();
        }
    }

    /// Makes the next `count` file syncs fail.
    pub fn fail_syncs(&self, count: u32) {
        self.state().fail_syncs = count;
    }

    /// Makes every write operation after the next `count` fail, until
    /// [`crash`](Self::crash) is called.
    pub fn fail_power_after(&self, count: u32) {
        self.state().ops_until_power_failure = Some(count);
    }

    /// Sets the number of bytes that can still be appended, or no limit. What is
    /// removed makes no room.
    pub fn set_room(&self, room: Option<usize>) {
        self.state().room = room;
    }

    /// Makes every write operation after the next `count` fail for want of room, also
    /// syncs, renames and removals, or none.
    pub fn fill_after(&self, count: Option<u32>) {
        self.state().ops_until_full = count;
    }

    /// Returns the number of file syncs that succeeded.
    pub fn sync_count(&self) -> u64 {
        self.state().sync_count
    }

    /// Corrupts one byte of a file, as a failing storage device does.
    pub fn corrupt(&self, name: &str, offset: usize) {
        let mut state = self.state();
        if let Some(id) = state.names.get(name).copied()
            && let Some(file) = state.files.get_mut(&id)
        {
            for data in [&mut file.data, &mut file.synced] {
                if let Some(byte) = data.get_mut(offset) {
                    *byte ^= 0x5a;
                }
            }
        }
    }

    /// Returns the total size of all files, in bytes.
    pub fn total_bytes(&self) -> u64 {
        let state = self.state();
        let len = |id| state.files.get(id).map_or(0, |f| f.data.len() as u64);
        state.names.values().map(len).sum()
    }
}

fn not_found(name: &str) -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, name.to_owned())
}

impl Disk for MemDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        let id = state.names.get(name).ok_or_else(|| not_found(name))?;
        let file = state.files.get(id).ok_or_else(|| not_found(name))?;
        Ok(file.data.clone())
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.consume_write_op()?;
        let id = match state.names.get(name) {
            Some(id) => *id,
            None => {
                state.last_file_id += 1;
                let id = state.last_file_id;
                state.names.insert(name.to_owned(), id);
                state
                    .unsynced_changes
                    .push(NameChange::Link(name.to_owned(), id));
                id
            }
        };
        let len = state.room.map_or(data.len(), |room| room.min(data.len()));
        state.room = state.room.map(|room| room - len);
        let file = state.files.entry(id).or_default();
        file.data.extend_from_slice(&data[..len]);
        match len < data.len() {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let mut state = self.state();
        state.consume_write_op()?;
        let id = *state.names.get(name).ok_or_else(|| not_found(name))?;
        if let Some(file) = state.files.get_mut(&id) {
            file.data
                .truncate(usize::try_from(len).unwrap_or(usize::MAX));
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.consume_write_op()?;
        if state.fail_syncs > 0 {
            state.fail_syncs -= 1;
            return Err(io::Error::other("injected sync failure"));
        }
        let id = *state.names.get(name).ok_or_else(|| not_found(name))?;
        if let Some(file) = state.files.get_mut(&id) {
            file.synced = file.data.clone();
        }
        state.sync_count += 1;
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.consume_write_op()?;
        let id = state.names.remove(from).ok_or_else(|| not_found(from))?;
        state.names.insert(to.to_owned(), id);
        let change = NameChange::Rename(from.to_owned(), to.to_owned());
        state.unsynced_changes.push(change);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.consume_write_op()?;
        state.names.remove(name).ok_or_else(|| not_found(name))?;
        state
            .unsynced_changes
            .push(NameChange::Remove(name.to_owned()));
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.consume_write_op()?;
        state.synced_names = state.names.clone();
        state.unsynced_changes.clear();
        Ok(())
    }
}
