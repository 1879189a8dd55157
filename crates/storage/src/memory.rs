//! A disk in memory that fails and forgets on demand.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use anvilloft_types::lock;
use rand::Rng;

use crate::disk::Disk;

/// A disk in memory. Clones share their content, so that a test keeps one
/// clone, drops the store that holds the other, and opens a new store.
#[derive(Clone, Debug, Default)]
pub struct MemDisk {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<u64, Content>,
    next_file: u64,
    names: BTreeMap<String, u64>,
    synced_names: BTreeMap<String, u64>,
    /// Changes of names since the last sync of the folder, in order.
    unsynced: Vec<NameChange>,
    fail_syncs: u32,
    /// Writing operations until the power fails.
    power_left: Option<u32>,
    syncs: u64,
}

impl State {
    fn spend_power(&mut self) -> io::Result<()> {
        match &mut self.power_left {
            Some(0) => Err(io::Error::other("injected power failure")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

#[derive(Debug, Default)]
struct Content {
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
    /// Makes an empty disk.
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Loses what isn't synced, as a power failure does: of each file any part
    /// of the unsynced tail survives, possibly followed by garbage, and of the
    /// unsynced name changes any number of the first ones.
    pub fn crash(&self, rng: &mut impl Rng) {
        let mut state = self.state();
        state.power_left = None;
        let kept = rng.random_range(0..=state.unsynced.len());
        let mut names = state.synced_names.clone();
        for change in state.unsynced.iter().take(kept) {
            change.apply(&mut names);
        }
        state.unsynced.clear();
        state.names = names.clone();
        state.synced_names = names;
        for file in state.files.values_mut() {
            if file.data.starts_with(&file.synced) {
                let from = file.synced.len();
                let cut = rng.random_range(from..=file.data.len());
                let lost = file.data.len() - cut;
                file.data.truncate(cut);
                // A tail that was allocated but not written reads as garbage.
                if lost > 0 && rng.random_bool(0.3) {
                    let garbage = rng.random_range(1..=lost);
                    let zeros = rng.random_bool(0.5);
                    for _ in 0..garbage {
                        file.data.push(if zeros { 0 } else { rng.random() });
                    }
                }
            } else {
                file.data = file.synced.clone();
            }
            file.synced = file.data.clone();
        }
    }

    /// Makes the next `count` syncs of files fail.
    pub fn fail_syncs(&self, count: u32) {
        self.state().fail_syncs = count;
    }

    /// Makes every writing operation after the next `count` fail, until
    /// [`crash`](Self::crash) is called.
    pub fn fail_power_after(&self, count: u32) {
        self.state().power_left = Some(count);
    }

    /// Returns how many syncs of files succeeded.
    pub fn sync_count(&self) -> u64 {
        self.state().syncs
    }

    /// Changes one byte of a file, as a failing medium does.
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

    /// Returns the bytes of all files together.
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
        state.spend_power()?;
        let id = match state.names.get(name) {
            Some(id) => *id,
            None => {
                state.next_file += 1;
                let id = state.next_file;
                state.names.insert(name.to_owned(), id);
                state.unsynced.push(NameChange::Link(name.to_owned(), id));
                id
            }
        };
        let file = state.files.entry(id).or_default();
        file.data.extend_from_slice(data);
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let mut state = self.state();
        state.spend_power()?;
        let id = *state.names.get(name).ok_or_else(|| not_found(name))?;
        if let Some(file) = state.files.get_mut(&id) {
            file.data
                .truncate(usize::try_from(len).unwrap_or(usize::MAX));
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.spend_power()?;
        if state.fail_syncs > 0 {
            state.fail_syncs -= 1;
            return Err(io::Error::other("injected sync failure"));
        }
        let id = *state.names.get(name).ok_or_else(|| not_found(name))?;
        if let Some(file) = state.files.get_mut(&id) {
            file.synced = file.data.clone();
        }
        state.syncs += 1;
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.spend_power()?;
        let id = state.names.remove(from).ok_or_else(|| not_found(from))?;
        state.names.insert(to.to_owned(), id);
        let change = NameChange::Rename(from.to_owned(), to.to_owned());
        state.unsynced.push(change);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.spend_power()?;
        state.names.remove(name).ok_or_else(|| not_found(name))?;
        state.unsynced.push(NameChange::Remove(name.to_owned()));
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.spend_power()?;
        state.synced_names = state.names.clone();
        state.unsynced.clear();
        Ok(())
    }
}
