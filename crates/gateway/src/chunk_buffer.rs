//! Joins chunks of a body into one contiguous buffer.

use bytes::Bytes;
use bytes::BytesMut;

/// Chunks of a body in arrival order. A single chunk is returned without a copy.
#[derive(Debug, Default)]
pub(crate) struct ChunkBuffer {
    first: Option<Bytes>,
    // All chunks copied together once there are two; `first` is `None` then.
    joined: BytesMut,
}

impl ChunkBuffer {
    pub(crate) fn push(&mut self, chunk: Bytes) {
        match self.first.take() {
            None if self.joined.is_empty() => self.first = Some(chunk),
            None => self.joined.extend_from_slice(&chunk),
            Some(first) => {
                self.joined.extend_from_slice(&first);
                self.joined.extend_from_slice(&chunk);
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.first.is_none() && self.joined.is_empty()
    }

    /// Returns the total length of the chunks, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.joined.len() + self.first.as_ref().map_or(0, Bytes::len)
    }

    /// Returns the number of bytes copied to join chunks; 0 for a single chunk.
    pub(crate) fn copied_len(&self) -> usize {
        self.joined.len()
    }

    /// Returns the chunks joined, or `None` when there was no data.
    pub(crate) fn join(self) -> Option<Bytes> {
        let joined = (!self.joined.is_empty()).then(|| self.joined.freeze());
        self.first.or(joined)
    }
}
