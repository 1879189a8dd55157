//! The durable state of one group on one member.
//!
//! Files of group 0 are `0-hard`, `0-snapshot` and `0-log-NNNNNNNNNN`. A new
//! segment starts only after the one before it is synced, so only the last
//! segment can have a torn tail. The snapshot file names the first segment
//! that counts; older ones are left-overs of a crash and are removed.

use std::io;
use std::sync::Arc;

use anvilloft_consensus::Effects;
use anvilloft_consensus::Entry;
use anvilloft_consensus::HardState;
use anvilloft_consensus::LogIndex;
use anvilloft_consensus::RestoredState;
use anvilloft_consensus::Snapshot;
use anvilloft_types::prelude::*;
use prost::Message;
use quick_error::quick_error;

use crate::disk::Disk;
use crate::record;

/// Length at which a segment is full, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Name of the file that holds the member id.
const MEMBER_FILE: &str = "member";

quick_error! {
    /// Why the durable state can't be read or written.
    #[derive(Debug)]
    pub enum StorageError {
        /// The file system refused an operation.
        Io(err: io::Error) {
            display("disk error: {}", err)
            source(err)
            from()
        }
        /// Synced data was damaged. Nothing was changed on disk.
        Corrupt(file: String, offset: u64) {
            display("file {} is damaged at byte {}, before data that was synced", file, offset)
        }
        /// An earlier write or sync failed, so the content is unknown.
        Failed {
            display("an earlier write failed; restart the member")
        }
    }
}

/// Head of a snapshot file. The state follows it as raw bytes, then a record
/// with the checksum of the state. So the file is written from the state in
/// memory in parts, without another copy.
#[derive(Clone, PartialEq, Message)]
struct SnapshotHead {
    /// First segment that counts.
    #[prost(uint64, tag = "1")]
    first_segment: u64,
    /// Snapshot without its state.
    #[prost(message, optional, tag = "2")]
    snapshot: Option<Snapshot>,
    /// Length of the state, in bytes.
    #[prost(uint64, tag = "3")]
    state_len: u64,
}

/// A segment file and the highest index in it.
#[derive(Debug)]
struct Segment {
    number: u64,
    last: LogIndex,
}

/// A snapshot file that is being written.
struct Staged {
    index: LogIndex,
    first_segment: u64,
    /// Part of the state that is written and synced, in bytes.
    written: usize,
    crc: crc32fast::Hasher,
    done: bool,
}

/// The durable state of one group on one member.
pub struct Store {
    disk: Box<dyn Disk>,
    group: GroupId,
    segment_bytes: u64,
    /// Segments in order. The last one is appended to.
    segments: Vec<Segment>,
    /// Length of the last segment, all of it synced.
    len: u64,
    next_segment: u64,
    written: u64,
    staged: Option<Staged>,
    failed: bool,
}

/// Reads the identity of the member from its folder. A folder without one gets
/// `fresh`, which must be a random number.
///
/// # Errors
///
/// Fails when the disk does, or when the file is damaged.
pub fn load_or_create_member_id(
    disk: &mut dyn Disk,
    fresh: MemberId,
) -> Result<MemberId, StorageError> {
    match disk.read(MEMBER_FILE) {
        Ok(buf) => record::get_plain(&buf)
            .and_then(|p| p.try_into().ok())
            .map(u64::from_le_bytes)
            .ok_or_else(|| StorageError::Corrupt(MEMBER_FILE.to_owned(), 0)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            replace(disk, MEMBER_FILE, &fresh.to_le_bytes())?;
            Ok(fresh)
        }
        Err(e) => Err(e.into()),
    }
}

/// Writes a file of one record as a whole: a reader sees the old or the new
/// content.
fn replace(disk: &mut dyn Disk, name: &str, payload: &[u8]) -> io::Result<()> {
    let tmp = format!("{name}.tmp");
    remove_if_there(disk, &tmp)?;
    let mut buf = Vec::with_capacity(payload.len() + 8);
    record::put_plain(&mut buf, payload);
    disk.append(&tmp, &buf)?;
    disk.sync(&tmp)?;
    disk.rename(&tmp, name)?;
    disk.sync_folder()
}

fn remove_if_there(disk: &mut dyn Disk, name: &str) -> io::Result<()> {
    match disk.remove(name) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}

/// Reads a snapshot file: the first segment that counts, and the snapshot.
fn read_snapshot(
    disk: &dyn Disk,
    name: &str,
) -> Result<Option<(u64, Arc<Snapshot>)>, StorageError> {
    let buf = match disk.read(name) {
        Ok(buf) => buf,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e.into()),
    };
    parse_snapshot(&buf)
        .map(Some)
        .ok_or_else(|| StorageError::Corrupt(name.to_owned(), 0))
}

fn parse_snapshot(buf: &[u8]) -> Option<(u64, Arc<Snapshot>)> {
    let (head, rest) = record::split_plain(buf)?;
    let head = SnapshotHead::decode(head).ok()?;
    let (state, tail) = rest.split_at_checked(usize::try_from(head.state_len).ok()?)?;
    let crc = crc32fast::hash(state).to_le_bytes();
    if record::get_plain(tail)? != crc {
        return None;
    }
    let mut snapshot = head.snapshot?;
    snapshot.state = state.to_vec();
    Some((head.first_segment, Arc::new(snapshot)))
}

fn read_message<M: Message + Default>(
    disk: &dyn Disk,
    name: &str,
) -> Result<Option<M>, StorageError> {
    let buf = match disk.read(name) {
        Ok(buf) => buf,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e.into()),
    };
    record::get_plain(&buf)
        .and_then(|p| M::decode(p).ok())
        .map(Some)
        .ok_or_else(|| StorageError::Corrupt(name.to_owned(), 0))
}

impl Store {
    /// Opens the state of a group. Everything returned is synced.
    ///
    /// # Errors
    ///
    /// Fails when the disk does, and with `Corrupt` when synced data is
    /// damaged.
    pub fn open(
        disk: Box<dyn Disk>,
        group: GroupId,
    ) -> Result<(Self, RestoredState), StorageError> {
        Self::open_with_segment_bytes(disk, group, SEGMENT_BYTES)
    }

    /// Opens the state of a group with segments of another length, in bytes.
    ///
    /// # Errors
    ///
    /// Like [`open`](Self::open).
    pub fn open_with_segment_bytes(
        mut disk: Box<dyn Disk>,
        group: GroupId,
        segment_bytes: u64,
    ) -> Result<(Self, RestoredState), StorageError> {
        let hard: Option<HardState> = read_message(&*disk, &format!("{group}-hard"))?;
        let (first_segment, snapshot) = match read_snapshot(&*disk, &format!("{group}-snapshot"))? {
            Some((first_segment, snapshot)) => (first_segment, Some(snapshot)),
            None => (0, None),
        };
        let prefix = format!("{group}-log-");
        let mut numbers: Vec<u64> = disk
            .list()?
            .iter()
            .filter_map(|name| name.strip_prefix(&prefix)?.parse().ok())
            .collect();
        numbers.sort_unstable();
        let (old, kept): (Vec<u64>, Vec<u64>) =
            numbers.into_iter().partition(|n| *n < first_segment);
        let mut store = Self {
            disk: {
                for number in old {
                    disk.remove(&segment_name(group, number))?;
                }
                disk
            },
            group,
            segment_bytes,
            segments: Vec::new(),
            len: 0,
            next_segment: first_segment,
            written: 0,
            staged: None,
            failed: false,
        };
        let base = snapshot.as_ref().map_or(0, |s| s.index);
        let entries = store.read_segments(&kept, base)?;
        store.disk.sync_folder()?;
        Ok((
            store,
            RestoredState {
                hard_state: hard.unwrap_or_default(),
                snapshot,
                entries,
            },
        ))
    }

    fn read_segments(
        &mut self,
        numbers: &[u64],
        base: LogIndex,
    ) -> Result<Vec<Entry>, StorageError> {
        let mut log: Vec<Entry> = Vec::new();
        for (at, number) in numbers.iter().enumerate() {
            let name = segment_name(self.group, *number);
            let corrupt = |offset: usize| StorageError::Corrupt(name.clone(), offset as u64);
            let buf = self.disk.read(&name)?;
            let scan = record::scan(&buf);
            let is_last = at + 1 == numbers.len();
            if scan.valid < buf.len() {
                if scan.damaged || !is_last {
                    return Err(corrupt(scan.valid));
                }
                self.disk.truncate(&name, scan.valid as u64)?;
            }
            let mut last = 0;
            for payload in &scan.entries {
                let e = Entry::decode(*payload).map_err(|_| corrupt(scan.valid))?;
                last = last.max(e.index);
                push(&mut log, base, e).map_err(|()| corrupt(scan.valid))?;
            }
            // Records may have reached the page cache only.
            self.disk.sync(&name)?;
            self.segments.push(Segment {
                number: *number,
                last,
            });
            self.len = scan.valid as u64;
            self.next_segment = number + 1;
        }
        Ok(log)
    }

    /// Returns the bytes of log records written since the store was opened.
    pub fn log_bytes(&self) -> u64 {
        self.written
    }

    /// Writes and syncs what an [`Effects`] asks for. All of it is durable
    /// when this returns.
    ///
    /// # Errors
    ///
    /// After an error, the member must stop: its messages must not be sent.
    pub fn save(&mut self, fx: &Effects) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        let result = self.try_save(fx);
        self.failed = result.is_err();
        result
    }

    fn try_save(&mut self, fx: &Effects) -> Result<(), StorageError> {
        if let Some(hard) = &fx.hard_state {
            let name = format!("{}-hard", self.group);
            replace(&mut *self.disk, &name, &hard.encode_to_vec())?;
        }
        if let Some(snapshot) = &fx.snapshot {
            self.save_snapshot(snapshot, fx.reset)?;
        }
        if !fx.entries.is_empty() {
            self.save_entries(&fx.entries)?;
        }
        Ok(())
    }

    /// Writes and syncs a part of a snapshot file ahead of the `save` that
    /// carries the snapshot, so that no single call takes long. Returns whether
    /// all parts are written. Nothing but `save` makes the snapshot count.
    ///
    /// # Errors
    ///
    /// Like [`save`](Self::save).
    pub fn stage_snapshot(
        &mut self,
        snapshot: &Snapshot,
        max_bytes: usize,
    ) -> Result<bool, StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        let first_segment = match &self.staged {
            Some(staged) if staged.index == snapshot.index => staged.first_segment,
            _ => self.first_segment(snapshot.index),
        };
        let result = self.stage_part(snapshot, first_segment, max_bytes);
        self.failed = result.is_err();
        result
    }

    fn stage_part(
        &mut self,
        snapshot: &Snapshot,
        first_segment: u64,
        max_bytes: usize,
    ) -> Result<bool, StorageError> {
        let tmp = format!("{}-snapshot.tmp", self.group);
        let mut buf = Vec::new();
        if self
            .staged
            .as_ref()
            .is_none_or(|s| s.index != snapshot.index)
        {
            remove_if_there(&mut *self.disk, &tmp)?;
            let head = SnapshotHead {
                first_segment,
                snapshot: Some(Snapshot {
                    group: snapshot.group,
                    index: snapshot.index,
                    term: snapshot.term,
                    membership: snapshot.membership.clone(),
                    state: Vec::new(),
                }),
                state_len: snapshot.state.len() as u64,
            };
            record::put_plain(&mut buf, &head.encode_to_vec());
            self.staged = Some(Staged {
                index: snapshot.index,
                first_segment,
                written: 0,
                crc: crc32fast::Hasher::new(),
                done: false,
            });
        }
        let Some(staged) = &mut self.staged else {
            return Ok(false);
        };
        if staged.done {
            return Ok(true);
        }
        let rest = snapshot.state.get(staged.written..).unwrap_or_default();
        let part = &rest[..rest.len().min(max_bytes)];
        staged.crc.update(part);
        let done = part.len() == rest.len();
        if !buf.is_empty() {
            self.disk.append(&tmp, &buf)?;
        }
        if !part.is_empty() {
            self.disk.append(&tmp, part)?;
        }
        if done {
            let crc = staged.crc.clone().finalize().to_le_bytes();
            let mut tail = Vec::new();
            record::put_plain(&mut tail, &crc);
            self.disk.append(&tmp, &tail)?;
        }
        self.disk.sync(&tmp)?;
        staged.written += part.len();
        staged.done = done;
        Ok(done)
    }

    /// Returns the first segment that holds entries above an index.
    fn first_segment(&self, index: LogIndex) -> u64 {
        let full = self.segments.len().saturating_sub(1);
        let keep_from = self
            .segments
            .iter()
            .take(full)
            .take_while(|s| s.last <= index)
            .count();
        self.segments
            .get(keep_from)
            .map_or(self.next_segment, |s| s.number)
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot, reset: bool) -> Result<(), StorageError> {
        let name = format!("{}-snapshot", self.group);
        if reset {
            self.staged = None;
        }
        let first_segment = match &self.staged {
            Some(staged) if staged.index == snapshot.index => staged.first_segment,
            // A reset makes every segment old at once: their entries may
            // differ from the leader's and must not come back.
            _ if reset => self.next_segment,
            _ => self.first_segment(snapshot.index),
        };
        while !self.stage_part(snapshot, first_segment, usize::MAX)? {}
        self.staged = None;
        self.disk.rename(&format!("{name}.tmp"), &name)?;
        self.disk.sync_folder()?;
        let old = self
            .segments
            .iter()
            .take_while(|s| s.number < first_segment)
            .count();
        let old: Vec<Segment> = self.segments.drain(..old).collect();
        for s in &old {
            self.disk.remove(&segment_name(self.group, s.number))?;
        }
        Ok(())
    }

    fn save_entries(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        let full = self.len >= self.segment_bytes;
        let created = full || self.segments.is_empty();
        if created {
            self.segments.push(Segment {
                number: self.next_segment,
                last: 0,
            });
            self.next_segment += 1;
            self.len = 0;
        }
        let Some(segment) = self.segments.last_mut() else {
            return Err(StorageError::Failed);
        };
        let name = segment_name(self.group, segment.number);
        let mut buf = Vec::new();
        for e in entries {
            segment.last = segment.last.max(e.index);
            record::put_entry(&mut buf, self.len, self.len, &e.encode_to_vec());
        }
        self.disk.append(&name, &buf)?;
        self.disk.sync(&name)?;
        if created {
            self.disk.sync_folder()?;
        }
        self.len += buf.len() as u64;
        self.written += buf.len() as u64;
        Ok(())
    }
}

fn segment_name(group: GroupId, number: u64) -> String {
    format!("{group}-log-{number:010}")
}

/// Adds an entry that was read back. It replaces those at its index and above;
/// those that the snapshot includes are dropped.
fn push(log: &mut Vec<Entry>, base: LogIndex, e: Entry) -> Result<(), ()> {
    if e.index <= base {
        log.clear();
        return Ok(());
    }
    let at = usize::try_from(e.index - base - 1).map_err(|_| ())?;
    if at > log.len() {
        return Err(());
    }
    log.truncate(at);
    log.push(e);
    Ok(())
}
