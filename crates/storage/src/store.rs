//! Durable state of one replicated group on one member.
//!
//! Files of group 0 are `0-hard` (term and vote), `0-snapshot` and the log
//! segments `0-log-NNNNNNNNNN`. A new segment starts only after the one before it
//! is synced, so only the last segment can have a torn tail. The snapshot file
//! contains the number of the first live segment; older segments are left over
//! from a crash and are removed.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;

use anvilloft_consensus::Effects;
use anvilloft_consensus::Entry;
use anvilloft_consensus::HardState;
use anvilloft_consensus::LogIndex;
use anvilloft_consensus::RestoredState;
use anvilloft_consensus::Snapshot;
use anvilloft_types::prelude::*;
use anvilloft_types::unix_ms;
use prost::Message;
use quick_error::quick_error;

use crate::disk::Disk;
use crate::record;

/// Segment length at which a new segment is started, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Minimum difference between two write times that are kept, in milliseconds.
const WRITE_TIME_INTERVAL_MS: u64 = 100;
/// Maximum number of write times that are kept: those of the last 5 s or more.
const MAX_WRITE_TIMES: usize = 50;

/// Name of the file that holds the member id.
const MEMBER_FILE: &str = "member";

quick_error! {
    /// Error while reading or writing the durable state.
    #[derive(Debug)]
    pub enum StorageError {
        /// A file operation failed.
        Io(err: io::Error) {
            display("disk error: {}", err)
            source(err)
        }
        /// The disk has no room. What was to be written isn't durable, and may be
        /// written again.
        Full(err: io::Error) {
            display("the disk is full: {}", err)
            source(err)
        }
        /// Synced data is corrupt. It is left unchanged on disk.
        Corrupt(file: String, offset: u64) {
            display("file {} is corrupt at byte {}: synced data was lost", file, offset)
        }
        /// An earlier write or sync failed, so the content on disk is unknown.
        Failed {
            display("an earlier write or sync failed; restart the control member")
        }
    }
}

impl From<io::Error> for StorageError {
    fn from(err: io::Error) -> Self {
        match err.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full(err),
            _ => Self::Io(err),
        }
    }
}

/// Header of a snapshot file. The state follows it as raw bytes, then a record
/// with the checksum of the state. This way the file is written in parts directly
/// from the state in memory, without another copy.
#[derive(Clone, PartialEq, Message)]
struct SnapshotHeader {
    /// Number of the first live segment.
    #[prost(uint64, tag = "1")]
    first_segment: u64,
    /// Snapshot without its state.
    #[prost(message, optional, tag = "2")]
    snapshot: Option<Snapshot>,
    /// Length of the state that follows the header, in bytes.
    #[prost(uint64, tag = "3")]
    state_len: u64,
}

/// A log segment and the highest index in it.
#[derive(Debug)]
struct Segment {
    number: u64,
    last_index: LogIndex,
}

/// Time at which an entry was written, stored with it. Its tag is none of
/// [`Entry`]'s, so both are parts of one encoded message.
#[derive(Clone, Copy, PartialEq, Message)]
struct WriteTime {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "15")]
    written_ms: u64,
}

/// A temporary snapshot file that is being written in parts.
struct StagedSnapshot {
    index: LogIndex,
    first_segment: u64,
    /// Number of bytes of the state that are written and synced.
    written: usize,
    crc: crc32fast::Hasher,
    done: bool,
}

/// Durable state of one replicated group on one member.
pub struct Store {
    disk: Box<dyn Disk>,
    group: GroupId,
    segment_bytes: u64,
    /// Segments in ascending order. Appends go to the last one.
    segments: Vec<Segment>,
    /// Length of the last segment in bytes, all of it synced.
    segment_len: u64,
    /// Whether a segment may hold a part of records that were not saved.
    has_unsaved_records: bool,
    next_segment: u64,
    log_bytes_written: u64,
    staged: Option<StagedSnapshot>,
    failed: bool,
    /// When the entries that were read at the start had been written, in ascending
    /// order of their indices.
    write_times: VecDeque<(LogIndex, u64)>,
}

/// Reads the member id from its folder. If the folder has none, `new_id`, which
/// must be random, is stored and returned.
///
/// # Errors
///
/// Fails on a disk error, and with `Corrupt` if the file is corrupt.
pub fn load_or_create_member_id(
    disk: &mut dyn Disk,
    new_id: MemberId,
) -> Result<MemberId, StorageError> {
    match disk.read(MEMBER_FILE) {
        Ok(buf) => record::read_single_record(&buf)
            .and_then(|p| p.try_into().ok())
            .map(u64::from_le_bytes)
            .ok_or_else(|| StorageError::Corrupt(MEMBER_FILE.to_owned(), 0)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            replace_file(disk, MEMBER_FILE, &new_id.to_le_bytes())?;
            Ok(new_id)
        }
        Err(e) => Err(e.into()),
    }
}

/// Atomically replaces a file with one record: after a crash it has either the
/// old or the new content.
fn replace_file(disk: &mut dyn Disk, name: &str, payload: &[u8]) -> Result<(), StorageError> {
    let tmp = format!("{name}.tmp");
    remove_if_exists(disk, &tmp)?;
    let mut buf = Vec::with_capacity(payload.len() + 8);
    record::put_record(&mut buf, payload);
    disk.append(&tmp, &buf)?;
    disk.sync(&tmp)?;
    disk.rename(&tmp, name)?;
    Ok(disk.sync_folder()?)
}

/// Appends data to a file and syncs it. After an error, the file may hold a part of it.
fn append_all(disk: &mut dyn Disk, name: &str, parts: &[&[u8]]) -> io::Result<()> {
    for part in parts.iter().filter(|part| !part.is_empty()) {
        disk.append(name, part)?;
    }
    disk.sync(name)
}

fn remove_if_exists(disk: &mut dyn Disk, name: &str) -> io::Result<()> {
    match disk.remove(name) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}

/// Reads a snapshot file. Returns the number of the first live segment and the
/// snapshot, or `None` if the file doesn't exist.
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
    let (header, rest) = record::split_first_record(buf)?;
    let header = SnapshotHeader::decode(header).ok()?;
    let (state, tail) = rest.split_at_checked(usize::try_from(header.state_len).ok()?)?;
    let crc = crc32fast::hash(state).to_le_bytes();
    if record::read_single_record(tail)? != crc {
        return None;
    }
    let mut snapshot = header.snapshot?;
    snapshot.state = state.to_vec();
    Some((header.first_segment, Arc::new(snapshot)))
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
    record::read_single_record(&buf)
        .and_then(|p| M::decode(p).ok())
        .map(Some)
        .ok_or_else(|| StorageError::Corrupt(name.to_owned(), 0))
}

impl Store {
    /// Opens the state of a group. All returned state is synced to disk.
    ///
    /// # Errors
    ///
    /// Fails on a disk error, and with `Corrupt` if synced data is corrupt.
    pub fn open(
        disk: Box<dyn Disk>,
        group: GroupId,
    ) -> Result<(Self, RestoredState), StorageError> {
        Self::open_with_segment_bytes(disk, group, SEGMENT_BYTES)
    }

    /// Opens the state of a group with another segment length, in bytes.
    ///
    /// # Errors
    ///
    /// Same as [`open`](Self::open).
    pub fn open_with_segment_bytes(
        mut disk: Box<dyn Disk>,
        group: GroupId,
        segment_bytes: u64,
    ) -> Result<(Self, RestoredState), StorageError> {
        let hard_state: Option<HardState> = read_message(&*disk, &format!("{group}-hard"))?;
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
        let (obsolete, live): (Vec<u64>, Vec<u64>) =
            numbers.into_iter().partition(|n| *n < first_segment);
        let mut store = Self {
            disk: {
                for number in obsolete {
                    disk.remove(&segment_name(group, number))?;
                }
                disk
            },
            group,
            segment_bytes,
            segments: Vec::new(),
            segment_len: 0,
            has_unsaved_records: false,
            next_segment: first_segment,
            log_bytes_written: 0,
            staged: None,
            failed: false,
            write_times: VecDeque::new(),
        };
        let base = snapshot.as_ref().map_or(0, |s| s.index);
        let entries = store.read_segments(&live, base)?;
        store.disk.sync_folder()?;
        Ok((
            store,
            RestoredState {
                hard_state: hard_state.unwrap_or_default(),
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
        for (i, number) in numbers.iter().enumerate() {
            let name = segment_name(self.group, *number);
            let corrupt = |offset: usize| StorageError::Corrupt(name.clone(), offset as u64);
            let buf = self.disk.read(&name)?;
            let scan = record::scan_segment(&buf);
            let is_last = i + 1 == numbers.len();
            if scan.valid_len < buf.len() {
                if scan.synced_data_lost || !is_last {
                    return Err(corrupt(scan.valid_len));
                }
                self.disk.truncate(&name, scan.valid_len as u64)?;
            }
            let mut last_index = 0;
            for payload in &scan.entries {
                let e = Entry::decode(*payload).map_err(|_| corrupt(scan.valid_len))?;
                last_index = last_index.max(e.index);
                let time = WriteTime::decode(*payload).unwrap_or_default();
                store_write_time(&mut self.write_times, e.index, time.written_ms);
                replay_entry(&mut log, base, e).map_err(|()| corrupt(scan.valid_len))?;
            }
            // Records that were read may be in the page cache only.
            self.disk.sync(&name)?;
            self.segments.push(Segment {
                number: *number,
                last_index,
            });
            self.segment_len = scan.valid_len as u64;
            self.next_segment = number + 1;
        }
        Ok(log)
    }

    /// Returns when some of the last entries were written that were read at the start:
    /// indices, ascending, and wall-clock times in milliseconds since the Unix epoch.
    pub fn take_write_times(&mut self) -> Vec<(LogIndex, u64)> {
        std::mem::take(&mut self.write_times).into()
    }

    /// Returns the number of bytes of log records written since the store was
    /// opened.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes_written
    }

    /// Writes and syncs the hard state, snapshot and entries of an [`Effects`].
    /// All of it is durable when this returns.
    ///
    /// # Errors
    ///
    /// After `Full`, nothing may follow but another `save` of the same effects, before
    /// which the messages must not be sent. After another error, the member must stop.
    pub fn save(&mut self, fx: &Effects) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        let result = self.try_save(fx);
        self.record_failure(&result);
        result
    }

    fn try_save(&mut self, fx: &Effects) -> Result<(), StorageError> {
        if let Some(hard_state) = &fx.hard_state {
            let name = format!("{}-hard", self.group);
            replace_file(&mut *self.disk, &name, &hard_state.encode_to_vec())?;
        }
        if let Some(snapshot) = &fx.snapshot {
            self.save_snapshot(snapshot, fx.reset)?;
        }
        if !fx.entries.is_empty() {
            self.save_entries(&fx.entries)?;
        }
        Ok(())
    }

    /// Writes and syncs the next part of a snapshot file ahead of the `save` that
    /// contains the snapshot, so that no single call takes long. Returns whether
    /// all parts are written. The snapshot takes effect only with that `save`.
    ///
    /// # Errors
    ///
    /// After `Full`, the file is removed and may be staged anew. After another error,
    /// the member must stop.
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
            _ => self.first_segment_above(snapshot.index),
        };
        let result = self.stage_part(snapshot, first_segment, max_bytes);
        self.record_failure(&result);
        result
    }

    fn record_failure<T>(&mut self, result: &Result<T, StorageError>) {
        self.failed = matches!(result, Err(err) if !matches!(err, StorageError::Full(_)));
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
            remove_if_exists(&mut *self.disk, &tmp)?;
            let header = SnapshotHeader {
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
            record::put_record(&mut buf, &header.encode_to_vec());
            self.staged = Some(StagedSnapshot {
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
        let remaining = snapshot.state.get(staged.written..).unwrap_or_default();
        let part = &remaining[..remaining.len().min(max_bytes)];
        staged.crc.update(part);
        let done = part.len() == remaining.len();
        let mut tail = Vec::new();
        if done {
            let crc = staged.crc.clone().finalize().to_le_bytes();
            record::put_record(&mut tail, &crc);
        }
        let parts = [buf.as_slice(), part, tail.as_slice()];
        if let Err(err) = append_all(&mut *self.disk, &tmp, &parts) {
            self.staged = None;
            // Its room is needed by the log. If it can't be removed now, it is when the
            // snapshot is staged anew.
            remove_if_exists(&mut *self.disk, &tmp).ok();
            return Err(err.into());
        }
        staged.written += part.len();
        staged.done = done;
        Ok(done)
    }

    /// Returns the number of the first segment that may hold entries above an
    /// index.
    fn first_segment_above(&self, index: LogIndex) -> u64 {
        let full_count = self.segments.len().saturating_sub(1);
        let obsolete_count = self
            .segments
            .iter()
            .take(full_count)
            .take_while(|s| s.last_index <= index)
            .count();
        self.segments
            .get(obsolete_count)
            .map_or(self.next_segment, |s| s.number)
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot, reset: bool) -> Result<(), StorageError> {
        let name = format!("{}-snapshot", self.group);
        if reset {
            self.staged = None;
        }
        let first_segment = match &self.staged {
            Some(staged) if staged.index == snapshot.index => staged.first_segment,
            // A reset makes every existing segment obsolete: their entries may
            // differ from the leader's and must not be read back.
            _ if reset => self.next_segment,
            _ => self.first_segment_above(snapshot.index),
        };
        while !self.stage_part(snapshot, first_segment, usize::MAX)? {}
        self.staged = None;
        self.disk.rename(&format!("{name}.tmp"), &name)?;
        self.disk.sync_folder()?;
        let obsolete_count = self
            .segments
            .iter()
            .take_while(|s| s.number < first_segment)
            .count();
        let obsolete: Vec<Segment> = self.segments.drain(..obsolete_count).collect();
        for s in &obsolete {
            self.disk.remove(&segment_name(self.group, s.number))?;
        }
        Ok(())
    }

    fn save_entries(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        let is_full = self.segment_len >= self.segment_bytes;
        let is_new = is_full || self.segments.is_empty();
        let (number, start) = match self.segments.last() {
            Some(segment) if !is_new => (segment.number, self.segment_len),
            _ => (self.next_segment, 0),
        };
        let name = segment_name(self.group, number);
        if self.has_unsaved_records {
            match is_new {
                true => remove_if_exists(&mut *self.disk, &name)?,
                false => self.disk.truncate(&name, start)?,
            }
        }
        let mut buf = Vec::new();
        let time = WriteTime {
            written_ms: unix_ms(),
        };
        let time = time.encode_to_vec();
        let mut last_index = 0;
        for e in entries {
            last_index = e.index.max(last_index);
            let mut payload = e.encode_to_vec();
            payload.extend_from_slice(&time);
            record::put_log_record(&mut buf, start, start, &payload);
        }
        self.has_unsaved_records = true;
        append_all(&mut *self.disk, &name, &[&buf])?;
        if is_new {
            self.disk.sync_folder()?;
            self.segments.push(Segment {
                number,
                last_index: 0,
            });
            self.next_segment += 1;
        }
        if let Some(segment) = self.segments.last_mut() {
            segment.last_index = segment.last_index.max(last_index);
        }
        self.has_unsaved_records = false;
        self.segment_len = start + buf.len() as u64;
        self.log_bytes_written += buf.len() as u64;
        Ok(())
    }
}

fn segment_name(group: GroupId, number: u64) -> String {
    format!("{group}-log-{number:010}")
}

/// Adds the time at which an entry was written. Keeps few times, and those of the
/// newest entries.
fn store_write_time(times: &mut VecDeque<(LogIndex, u64)>, index: LogIndex, written_ms: u64) {
    if written_ms == 0 {
        return;
    }
    // An entry that replaces others was written after them.
    while times.back().is_some_and(|(last, _)| *last >= index) {
        times.pop_back();
    }
    let is_close = |at: u64| written_ms.abs_diff(at) < WRITE_TIME_INTERVAL_MS;
    if times.back().is_some_and(|(_, at)| is_close(*at)) {
        return;
    }
    times.push_back((index, written_ms));
    if times.len() > MAX_WRITE_TIMES {
        times.pop_front();
    }
}

/// Adds an entry read from a segment to the log. It replaces the entries at its
/// index and above; entries that the snapshot includes are dropped.
fn replay_entry(log: &mut Vec<Entry>, base: LogIndex, e: Entry) -> Result<(), ()> {
    if e.index <= base {
        log.clear();
        return Ok(());
    }
    let pos = usize::try_from(e.index - base - 1).map_err(|_| ())?;
    if pos > log.len() {
        return Err(());
    }
    log.truncate(pos);
    log.push(e);
    Ok(())
}
