//! Joins chunks of a body into one contiguous buffer.

use bytes::Bytes;

#[cfg(test)]
mod tests;

/// Size of the blocks in which chunks are kept, in bytes. Blocks of one size take each
/// other's place in the heap, while buffers that grow leave holes of all sizes there.
const BLOCK_BYTES: usize = 64 * 1024;

/// Chunks of a body in arrival order. A single chunk is returned without a copy.
#[derive(Debug, Default)]
pub(crate) struct ChunkBuffer {
    first: Option<Bytes>,
    /// All chunks copied one after the other once there are two; `first` is `None` then.
    /// Only the last block has room.
    blocks: Vec<Vec<u8>>,
    copied_len: usize,
}

impl ChunkBuffer {
    pub(crate) fn push(&mut self, chunk: Bytes) {
        match self.first.take() {
            None if self.blocks.is_empty() => self.first = Some(chunk),
            None => self.append(&chunk),
            Some(first) => {
                self.append(&first);
                self.append(&chunk);
            }
        }
    }

    fn append(&mut self, mut chunk: &[u8]) {
        self.copied_len += chunk.len();
        while !chunk.is_empty() {
            let is_full = |block: &Vec<u8>| block.len() >= BLOCK_BYTES;
            if self.blocks.last().is_none_or(is_full) {
                // The first block may stay small, so it grows.
                let capacity = match self.blocks.is_empty() {
                    true => 0,
                    false => BLOCK_BYTES,
                };
                self.blocks.push(Vec::with_capacity(capacity));
            }
            let Some(block) = self.blocks.last_mut() else {
                return;
            };
            let (fitting, rest) = chunk.split_at(chunk.len().min(BLOCK_BYTES - block.len()));
            if block.capacity() - block.len() < fitting.len() {
                let capacity = (block.len() + fitting.len()).max(block.capacity() * 2);
                block.reserve_exact(capacity.min(BLOCK_BYTES) - block.len());
            }
            block.extend_from_slice(fitting);
            chunk = rest;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.first.is_none() && self.blocks.is_empty()
    }

    /// Returns the total length of the chunks, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.copied_len + self.first.as_ref().map_or(0, Bytes::len)
    }

    /// Returns the number of bytes copied to join chunks; 0 for a single chunk.
    pub(crate) fn copied_len(&self) -> usize {
        self.copied_len
    }

    /// Returns the chunks joined, or `None` when there was no data.
    pub(crate) fn join(mut self) -> Option<Bytes> {
        if self.blocks.len() <= 1 {
            return self.first.or(self.blocks.pop().map(Bytes::from));
        }
        let mut joined = Vec::with_capacity(self.copied_len);
        // Each block is freed as it is copied.
        for block in self.blocks {
            joined.extend_from_slice(&block);
        }
        Some(Bytes::from(joined))
    }
}
