//! Checksummed records, and the log segments made of them.
//!
//! A record is `[len u32][crc32 u32][payload]`, little endian. The payload of
//! a log record is `[offset u64][synced u64][entry]`: the record's own position
//! in the file, and the length of the file that was synced before the record
//! was written. Together they distinguish a torn tail from corruption: if an
//! invalid record is followed by a valid one whose `synced` reaches past the
//! invalid one, then synced data was lost.

/// Length of the record header, in bytes.
const HEADER_LEN: usize = 8;
/// Length of `offset` and `synced` before the entry of a log record, in bytes.
const LOG_PREFIX_LEN: usize = 16;

/// Result of scanning a segment.
#[derive(Debug, Default)]
pub(crate) struct SegmentScan<'a> {
    /// Entries of the valid records at the start of the segment.
    pub(crate) entries: Vec<&'a [u8]>,
    /// Total length of those records, in bytes.
    pub(crate) valid_len: usize,
    /// Whether a later record proves that data at `valid_len` had been synced.
    pub(crate) synced_data_lost: bool,
}

/// Appends a record to a buffer.
pub(crate) fn put_record(buf: &mut Vec<u8>, payload: &[u8]) {
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    buf.extend_from_slice(payload);
}

/// Returns the payload of a buffer that holds exactly one valid record.
pub(crate) fn read_single_record(buf: &[u8]) -> Option<&[u8]> {
    let (payload, rest) = split_first_record(buf)?;
    rest.is_empty().then_some(payload)
}

/// Returns the payload of the first record, and the bytes after the record.
pub(crate) fn split_first_record(buf: &[u8]) -> Option<(&[u8], &[u8])> {
    let payload = payload_at(buf, 0)?;
    Some((payload, buf.get(HEADER_LEN + payload.len()..)?))
}

/// Appends a log record to a buffer. `offset` is the position in the file at
/// which the buffer will be written, and `synced` the synced length of the file.
pub(crate) fn put_log_record(buf: &mut Vec<u8>, offset: u64, synced: u64, entry: &[u8]) {
    let at = offset + buf.len() as u64;
    let mut payload = Vec::with_capacity(LOG_PREFIX_LEN + entry.len());
    payload.extend_from_slice(&at.to_le_bytes());
    payload.extend_from_slice(&synced.to_le_bytes());
    payload.extend_from_slice(entry);
    put_record(buf, &payload);
}

/// Reads the valid records of a segment, and searches the rest for a proof that
/// synced data was lost.
pub(crate) fn scan_segment(buf: &[u8]) -> SegmentScan<'_> {
    let mut scan = SegmentScan::default();
    while let Some((_, entry)) = log_record_at(buf, scan.valid_len) {
        scan.entries.push(entry);
        scan.valid_len += HEADER_LEN + LOG_PREFIX_LEN + entry.len();
    }
    let mut at = scan.valid_len + 1;
    while at + HEADER_LEN + LOG_PREFIX_LEN <= buf.len() {
        if let Some((synced, _)) = log_record_at(buf, at)
            && synced > scan.valid_len as u64
        {
            scan.synced_data_lost = true;
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
    let start = at + HEADER_LEN;
    let payload = buf.get(start..start.checked_add(len)?)?;
    (crc32fast::hash(payload) == crc).then_some(payload)
}

/// Returns the synced length and entry of the record at a position.
fn log_record_at(buf: &[u8], at: usize) -> Option<(u64, &[u8])> {
    // Checked before the checksum, so that a search at every position of a
    // corrupt file stays cheap.
    if u64_at(buf, at + HEADER_LEN)? != at as u64 {
        return None;
    }
    let payload = payload_at(buf, at)?;
    let synced = u64_at(payload, 8)?;
    Some((synced, payload.get(LOG_PREFIX_LEN..)?))
}
