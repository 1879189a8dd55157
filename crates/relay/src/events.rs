//! Splits a stream of server-sent events.

use anvilloft_gateway::sse::MAX_EVENT_BYTES;
use anvilloft_gateway::sse::event_end;
use bytes::Bytes;
use bytes::BytesMut;

use crate::resume::EventOrder;

/// Length of events from which their buffer is not used again, in bytes. The few bytes
/// after them would keep all of it in memory while the endpoint pauses.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Splits a byte stream at the ends of server-sent events.
///
/// Only whole events are returned, so that another endpoint can resume the stream
/// after any of them.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Length of the prefix of `buf` in which no event ends.
    scanned: usize,
    order: EventOrder,
    events: u64,
    /// Whether another endpoint goes on with the stream and has sent no event yet.
    is_resuming: bool,
    /// Whether the last event with data has no id.
    ends_without_id: bool,
}

impl EventSplitter {
    /// Adds bytes of the stream and returns the events that are now whole.
    ///
    /// Returns `None` when an event is longer than [`MAX_EVENT_BYTES`], or when the
    /// first event of an endpoint that goes on is not the one that follows.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buf.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(next) = event_end(&self.buf, end.max(self.scanned)) {
            if !self.record_event(end, next) {
                return None;
            }
            end = next;
        }
        // A blank line has up to three bytes, and some of them may have arrived.
        self.scanned = (self.buf.len() - end).saturating_sub(3);
        (self.buf.len() - end <= MAX_EVENT_BYTES).then(|| self.split_events(end))
    }

    fn split_events(&mut self, end: usize) -> Bytes {
        let events = self.buf.split_to(end).freeze();
        if events.len() > MAX_KEPT_BYTES {
            self.buf = BytesMut::from(self.buf.as_ref());
        }
        events
    }

    /// Records an event. Returns whether it can follow the events so far.
    fn record_event(&mut self, start: usize, end: usize) -> bool {
        let event = &self.buf[start..end];
        let mut id = None;
        let mut has_data = false;
        let mut is_comment = true;
        for line in event.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            is_comment &= line.is_empty() || line.starts_with(b":");
            if let Some(value) = line.strip_prefix(b"id:") {
                id = Some(String::from_utf8_lossy(value.trim_ascii()).into_owned());
            } else if line.starts_with(b"data") {
                has_data = true;
            }
        }
        has_data |= id.is_some();
        if self.is_resuming && !is_comment {
            let follows = match &id {
                Some(id) => self.order.can_follow(id),
                None => has_data && self.order.last_id().is_none(),
            };
            if !follows {
                return false;
            }
            self.is_resuming = false;
        }
        if has_data {
            self.ends_without_id = id.is_none();
        }
        if let Some(id) = id {
            self.order.record(id);
        }
        self.events += u64::from(has_data);
        true
    }

    /// Prepares for the answer of another endpoint, which sends the incomplete event
    /// again.
    pub fn resume(&mut self) {
        self.buf.clear();
        self.scanned = 0;
        self.is_resuming = true;
    }

    /// Returns a splitter for the answer of another endpoint, as [`resume`](Self::resume)
    /// prepares it.
    pub fn resumed(&self) -> Self {
        Self {
            buf: BytesMut::new(),
            scanned: 0,
            order: self.order.clone(),
            events: self.events,
            is_resuming: true,
            ends_without_id: self.ends_without_id,
        }
    }

    /// Returns whether another endpoint goes on with the stream and has sent no event
    /// yet.
    pub fn is_resuming(&self) -> bool {
        self.is_resuming
    }

    /// Returns the length of the incomplete event, in bytes.
    pub fn partial_len(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether part of an event has arrived.
    pub fn has_partial(&self) -> bool {
        self.buf.iter().any(|b| !b.is_ascii_whitespace())
    }

    /// Returns whether another endpoint can go on: it would send the events after the
    /// last id again.
    pub fn can_resume(&self) -> bool {
        !self.ends_without_id
    }

    /// Returns the bytes after the last whole event, at the regular end of a
    /// stream.
    pub fn take_remainder(&mut self) -> Bytes {
        self.scanned = 0;
        self.buf.split().freeze()
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.order.last_id()
    }

    /// Returns the number of events that carried data or an id.
    pub fn event_count(&self) -> u64 {
        self.events
    }
}
