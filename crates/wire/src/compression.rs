//! Packs published route tables.
//!
//! Every router fetches each version from a control member that may have a
//! small part of a core. A table of 350 routes takes a tenth of its size when
//! it is packed, and as much less to authenticate and send.

use std::io;
use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Largest table that is unpacked, in bytes. The control group takes commands
/// of 2 MiB, so this is beyond any table that packs by a tenth.
pub const MAX_DECOMPRESSED_BYTES: u64 = 16 * 1024 * 1024;

/// Packs a table.
///
/// # Errors
///
/// Never in practice: nothing but memory is written to.
pub fn compress(source: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(source)?;
    encoder.finish()
}

/// Unpacks a table.
///
/// # Errors
///
/// When the bytes are damaged, or hold more than [`MAX_DECOMPRESSED_BYTES`].
pub fn decompress(packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut source = Vec::new();
    let decoder = DeflateDecoder::new(packed);
    decoder
        .take(MAX_DECOMPRESSED_BYTES + 1)
        .read_to_end(&mut source)?;
    if source.len() as u64 > MAX_DECOMPRESSED_BYTES {
        let reason = format!("the table is longer than {MAX_DECOMPRESSED_BYTES} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
    }
    Ok(source)
}
