//! Records of a segment file.
//!
//! A record is `[len u32][crc32 u32][payload]`, little endian. The payload of
//! a log record is `[offset u64][synced u64][entry]`: its own position in the
//! file, and the length of the file that was synced before it was written.
//! The two tell a torn tail from damage. After a bad record, a valid one that
//! says that more of the file had been synced proves that synced data is lost.

/// Length of the record header, in bytes.
const HEADER: usize = 8;
/// Length of the two numbers before the entry, in bytes.
const PREFIX: usize = 16;

/// Result of reading a segment.
#[derive(Debug, Default)]
pub(crate) struct Scan<'a> {
    /// Entries of the valid records at the start.
    pub(crate) entries: Vec<&'a [u8]>,
    /// Length of those records, in bytes.
    pub(crate) valid: usize,
    /// Whether a later record proves that data at `valid` had been synced.
    pub(crate) damaged: bool,
}

/// Appends a record without the log prefix.
pub(crate) fn put_plain(buf: &mut Vec<u8>, payload: &[u8]) {
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    buf.extend_from_slice(payload);
}

/// Reads a file that consists of one record.
pub(crate) fn get_plain(buf: &[u8]) -> Option<&[u8]> {
    let (payload, rest) = split_plain(buf)?;
    rest.is_empty().then_some(payload)
}

/// Reads the first record, and returns what follows it.
pub(crate) fn split_plain(buf: &[u8]) -> Option<(&[u8], &[u8])> {
    let payload = payload_at(buf, 0)?;
    Some((payload, buf.get(HEADER + payload.len()..)?))
}

/// Appends a log record. `offset` is where `buf` will be written.
pub(crate) fn put_entry(buf: &mut Vec<u8>, offset: u64, synced: u64, entry: &[u8]) {
    let at = offset + buf.len() as u64;
    let mut payload = Vec::with_capacity(PREFIX + entry.len());
    payload.extend_from_slice(&at.to_le_bytes());
    payload.extend_from_slice(&synced.to_le_bytes());
    payload.extend_from_slice(entry);
    put_plain(buf, &payload);
}

/// Reads all records of a segment.
pub(crate) fn scan(buf: &[u8]) -> Scan<'_> {
    let mut scan = Scan::default();
    while let Some((_, entry)) = entry_at(buf, scan.valid) {
        scan.entries.push(entry);
        scan.valid += HEADER + PREFIX + entry.len();
    }
    let mut at = scan.valid + 1;
    while at + HEADER + PREFIX <= buf.len() {
        if let Some((synced, _)) = entry_at(buf, at)
            && synced > scan.valid as u64
        {
            scan.damaged = true;
            break;
        }
        at += 1;
    }
    scan
}

fn u64_at(buf: &[u8], at: usize) -> Option<u64> {
    let bytes = buf.get(at..at.checked_add(8)?)?;
    bytes.try_into().ok().map(u64::from_le_bytes)
}

fn u32_at(buf: &[u8], at: usize) -> Option<u32> {
    let bytes = buf.get(at..at.checked_add(4)?)?;
    bytes.try_into().ok().map(u32::from_le_bytes)
}

fn payload_at(buf: &[u8], at: usize) -> Option<&[u8]> {
    let len = usize::try_from(u32_at(buf, at)?).ok()?;
    let crc = u32_at(buf, at + 4)?;
    let from = at + HEADER;
    let payload = buf.get(from..from.checked_add(len)?)?;
    (crc32fast::hash(payload) == crc).then_some(payload)
}

/// Returns the synced length and entry of the record at a position.
fn entry_at(buf: &[u8], at: usize) -> Option<(u64, &[u8])> {
    // Checked before the checksum, so that a search at every position of a
    // damaged file stays cheap.
    if u64_at(buf, at + HEADER)? != at as u64 {
        return None;
    }
    let payload = payload_at(buf, at)?;
    let synced = u64_at(payload, 8)?;
    Some((synced, payload.get(PREFIX..)?))
}
