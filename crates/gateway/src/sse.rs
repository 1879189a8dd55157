//! Parser for the server-sent events of an engine's stream.

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;

/// Maximum length of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Token counts as reported by an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Sum of both. [`Usage::total`] computes it when the engine omits it.
    #[serde(default)]
    pub total_tokens: u64,
}

impl Usage {
    /// Returns the number of tokens to bill.
    pub fn total(&self) -> u64 {
        self.total_tokens
            .max(self.prompt_tokens.saturating_add(self.completion_tokens))
    }
}

#[derive(Deserialize)]
struct CompletionChunk {
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    choices: Vec<serde::de::IgnoredAny>,
}

/// Splits a stream into events. It returns whole events only, so an error event
/// can be appended to its output at any point.
pub struct EventScanner {
    buf: BytesMut,
    // Length of the prefix of `buf` that contains no end of an event.
    scanned: usize,
    forward_usage: bool,
    /// Number of events with completion data so far. Engines send one token per
    /// event.
    pub data_events: u64,
    /// Usage last reported by the engine.
    pub usage: Option<Usage>,
    /// Whether the stream has sent `[DONE]`.
    pub done: bool,
    /// Whether the stream has sent an error event.
    pub error_seen: bool,
}

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventScanner {
    /// Creates a scanner. Without `forward_usage` it drops the event that contains
    /// only the usage, because the caller didn't ask for it.
    pub fn new(forward_usage: bool) -> Self {
        Self {
            buf: BytesMut::new(),
            scanned: 0,
            forward_usage,
            data_events: 0,
            usage: None,
            done: false,
            error_seen: false,
        }
    }

    /// Consumes a chunk of the stream and returns the events that it completes.
    /// Stops after `[DONE]`, after an error event, and once more than `max_events`
    /// events with data have been seen.
    ///
    /// # Errors
    ///
    /// Fails when an event is too long.
    pub fn push(&mut self, chunk: &[u8], max_events: u64) -> Result<Bytes, EventTooLong> {
        if self.done || self.error_seen {
            return Ok(Bytes::new());
        }
        self.buf.extend_from_slice(chunk);
        let mut start = 0;
        let mut at = self.scanned;
        let mut dropped = false;
        let mut kept = BytesMut::new();
        while !self.done && !self.error_seen && self.data_events <= max_events {
            let Some(end) = event_end(&self.buf, at) else {
                break;
            };
            let keep = self.inspect_event(start, end);
            if keep && dropped {
                kept.extend_from_slice(&self.buf[start..end]);
            } else if !keep && !dropped {
                // From here on, events are copied to leave out the dropped ones.
                dropped = true;
                kept.extend_from_slice(&self.buf[..start]);
            }
            start = end;
            at = end;
        }
        let whole = self.buf.split_to(start).freeze();
        // The last bytes may be the start of an event's end.
        self.scanned = self.buf.len().saturating_sub(3);
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(if dropped { kept.freeze() } else { whole })
    }

    /// Records the event's usage, error or end, and returns whether to forward it.
    fn inspect_event(&mut self, start: usize, end: usize) -> bool {
        let event = &self.buf[start..end];
        let Some(data) = event_data(event) else {
            return true;
        };
        if data == b"[DONE]" {
            self.done = true;
            return true;
        }
        if data.starts_with(b"{\"error\"") {
            self.error_seen = true;
            return false;
        }
        if may_have_usage(data)
            && let Ok(chunk) = serde_json::from_slice::<CompletionChunk>(data)
            && chunk.usage.is_some()
        {
            self.usage = chunk.usage;
            if chunk.choices.is_empty() {
                return self.forward_usage;
            }
        }
        self.data_events += 1;
        true
    }
}

/// Returns the index after the blank line that ends the first event at or after
/// `from`.
pub fn event_end(buf: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(found) = buf.get(at..)?.iter().position(|b| *b == b'\n') {
        let next = at + found + 1;
        match (buf.get(next), buf.get(next + 1)) {
            (Some(b'\n'), _) => return Some(next + 1),
            (Some(b'\r'), Some(b'\n')) => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

/// Returns the first data field of an event.
fn event_data(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|b| *b == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}

/// Returns whether the data may contain a usage that is not null, which avoids
/// parsing every event.
fn may_have_usage(data: &[u8]) -> bool {
    const KEY: &[u8] = b"\"usage\"";
    let mut rest = data;
    while let Some(at) = rest.iter().position(|b| *b == b'u') {
        let is_key = at > 0 && rest[at - 1..].starts_with(KEY);
        if is_key {
            let value = rest[at - 1 + KEY.len()..].trim_ascii_start();
            let value = value.strip_prefix(b":").unwrap_or(value);
            if !value.trim_ascii_start().starts_with(b"null") {
                return true;
            }
        }
        rest = &rest[at + 1..];
        // A key needs its opening quote, so a `u` at the start of `rest` is none.
        if rest.is_empty() {
            break;
        }
    }
    false
}
