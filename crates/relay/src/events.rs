//! Finds the ends of events in a stream.

use anvilloft_gateway::sse::MAX_EVENT_BYTES;
use anvilloft_gateway::sse::event_end;
use bytes::Bytes;
use bytes::BytesMut;

/// Passes whole events on and keeps the rest, so that another endpoint can go
/// on after any piece that left.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Takes a piece of the stream and returns the whole events so far.
    /// Returns `None` when an event is longer than the limit.
    pub fn push(&mut self, piece: &[u8]) -> Option<Bytes> {
        self.buf.extend_from_slice(piece);
        let mut end = 0;
        while let Some(next) = event_end(&self.buf, end) {
            self.note(end, next);
            end = next;
        }
        (self.buf.len() - end <= MAX_EVENT_BYTES).then(|| self.buf.split_to(end).freeze())
    }

    fn note(&mut self, start: usize, end: usize) {
        let event = &self.buf[start..end];
        let mut data = false;
        for line in event.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = String::from_utf8_lossy(id.trim_ascii()).into_owned();
                self.last_id = Some(id);
                data = true;
            } else if line.starts_with(b"data") {
                data = true;
            }
        }
        self.events += u64::from(data);
    }

    /// Drops the part of an event that is not whole, before another endpoint
    /// sends it again.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
    }

    /// Returns what is left after the last whole event, at the end of a stream
    /// that ended well.
    pub fn take_remainder(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the count of events with data.
    pub fn event_count(&self) -> u64 {
        self.events
    }
}
