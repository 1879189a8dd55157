//! Pieces of a body that are handed on as one.

use bytes::Bytes;
use bytes::BytesMut;

/// Pieces in their order. A single one is handed on without a copy.
#[derive(Debug, Default)]
pub(crate) struct Pieces {
    first: Option<Bytes>,
    // All of them, from the second on.
    joined: BytesMut,
}

impl Pieces {
    pub(crate) fn push(&mut self, piece: Bytes) {
        let Some(first) = &self.first else {
            self.first = Some(piece);
            return;
        };
        if self.joined.is_empty() {
            self.joined.extend_from_slice(first);
        }
        self.joined.extend_from_slice(&piece);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.first.is_none()
    }

    /// Returns the length of all pieces, in bytes.
    pub(crate) fn len(&self) -> usize {
        let first = self.first.as_ref().map_or(0, Bytes::len);
        self.joined.len().max(first)
    }

    /// Returns the bytes that were copied to join pieces.
    pub(crate) fn joined_len(&self) -> usize {
        self.joined.len()
    }

    /// Returns all pieces as one, or `None` when there was none.
    pub(crate) fn join(self) -> Option<Bytes> {
        match self.joined.is_empty() {
            true => self.first,
            false => Some(self.joined.freeze()),
        }
    }
}
