//! Compression of published route tables.
//!
//! Every router fetches each version from a control member that may have only
//! a fraction of a core. Compression reduces a table of 350 routes to a tenth
//! of its size, and thereby the cost of authenticating and sending it.

use std::io;
use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Maximum size of a decompressed table, in bytes. The control group accepts
/// commands of up to 2 MiB, and tables compress to about a tenth.
pub const MAX_DECOMPRESSED_BYTES: u64 = 16 * 1024 * 1024;

/// Compresses a table.
///
/// # Errors
///
/// Never in practice, as the output goes to memory.
pub fn compress(source: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(source)?;
    encoder.finish()
}

/// Decompresses a table.
///
/// # Errors
///
/// When the data is corrupt, or decompresses to more than
/// [`MAX_DECOMPRESSED_BYTES`].
pub fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut source = Vec::new();
    let decoder = DeflateDecoder::new(compressed);
    decoder
        .take(MAX_DECOMPRESSED_BYTES + 1)
        .read_to_end(&mut source)?;
    if source.len() as u64 > MAX_DECOMPRESSED_BYTES {
        let reason =
            format!("the decompressed table is longer than {MAX_DECOMPRESSED_BYTES} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
    }
    Ok(source)
}
