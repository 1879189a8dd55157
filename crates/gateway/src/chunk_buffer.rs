//! Joins chunks of a body into one contiguous buffer.

use bytes::Bytes;

/// Size from which the buffer grows by a multiple of its size, in bytes.
const LARGE_BYTES: usize = 64 * 1024;
/// Factor of this growth. Pages that were never written take no memory, while the old
/// buffers of many small steps fragment the heap.
const GROWTH_FACTOR: usize = 4;

/// Chunks of a body in arrival order. A single chunk is returned without a copy.
#[derive(Debug, Default)]
pub(crate) struct ChunkBuffer {
    first: Option<Bytes>,
    // All chunks copied together once there are two; `first` is `None` then.
    joined: Vec<u8>,
}

impl ChunkBuffer {
    pub(crate) fn push(&mut self, chunk: Bytes) {
        match self.first.take() {
            None if self.joined.is_empty() => self.first = Some(chunk),
            None => self.append(&chunk),
            Some(first) => {
                self.append(&first);
                self.append(&chunk);
            }
        }
    }

    fn append(&mut self, chunk: &[u8]) {
        let is_full = self.joined.capacity() - self.joined.len() < chunk.len();
        if is_full && self.joined.len() >= LARGE_BYTES {
            let added = self.joined.len() * (GROWTH_FACTOR - 1);
            self.joined.reserve_exact(added.max(chunk.len()));
        }
        self.joined.extend_from_slice(chunk);
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
        let joined = (!self.joined.is_empty()).then(|| Bytes::from(self.joined));
        self.first.or(joined)
    }
}
