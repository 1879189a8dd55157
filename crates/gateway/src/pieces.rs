//! Pieces of a body that are handed on as one.

use bytes::Bytes;
use bytes::BytesMut;

/// Pieces in their order. A single one is handed on without a copy.
#[derive(Debug, Default)]
pub(crate) struct Pieces {
    first: Option<Bytes>,
    // All of them, from the second on; `first` is empty then.
    joined: BytesMut,
}

impl Pieces {
    pub(crate) fn push(&mut self, piece: Bytes) {
        match self.first.take() {
            None if self.joined.is_empty() => self.first = Some(piece),
            None => self.joined.extend_from_slice(&piece),
            Some(first) => {
                self.joined.extend_from_slice(&first);
                self.joined.extend_from_slice(&piece);
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.first.is_none() && self.joined.is_empty()
    }

    /// Returns the length of all pieces, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.joined.len() + self.first.as_ref().map_or(0, Bytes::len)
    }

    /// Returns the bytes that were copied to join pieces.
    pub(crate) fn joined_len(&self) -> usize {
        self.joined.len()
    }

    /// Returns all pieces as one, or `None` when there was none.
    pub(crate) fn join(self) -> Option<Bytes> {
        let joined = (!self.joined.is_empty()).then(|| self.joined.freeze());
        self.first.or(joined)
    }
}
