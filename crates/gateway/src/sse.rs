//! Server-sent events of an engine's stream.

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;

/// Longest single event, in bytes.
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
    /// Sum; counted from the other two when the engine leaves it out.
    #[serde(default)]
    pub total_tokens: u64,
}

impl Usage {
    /// Returns the tokens to bill.
    pub fn total(&self) -> u64 {
        self.total_tokens
            .max(self.prompt_tokens.saturating_add(self.completion_tokens))
    }
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    choices: Vec<serde::de::IgnoredAny>,
}

/// Reads a stream event by event. Only whole events come out, so an error
/// event can follow at any point.
pub struct Scanner {
    buf: BytesMut,
    // Bytes of `buf` that hold no end of an event.
    scanned: usize,
    forward_usage: bool,
    /// Events with answer data so far. Engines send one token in an event.
    pub events: u64,
    /// Usage as last reported.
    pub usage: Option<Usage>,
    /// Whether `[DONE]` was seen.
    pub done: bool,
    /// Whether an error event was seen.
    pub failed: bool,
}

/// The stream breaks the format or a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadStream;

impl Scanner {
    /// Makes a scanner. Without `forward_usage` the event that holds only the
    /// usage is left out, as the caller didn't ask for it.
    pub fn new(forward_usage: bool) -> Self {
        Self {
            buf: BytesMut::new(),
            scanned: 0,
            forward_usage,
            events: 0,
            usage: None,
            done: false,
            failed: false,
        }
    }

    /// Takes a piece of the stream and returns the whole events in it.
    /// Stops after `[DONE]`, and after `max_events` events with data.
    ///
    /// # Errors
    ///
    /// Fails when an event is too long.
    pub fn push(&mut self, piece: &[u8], max_events: u64) -> Result<Bytes, BadStream> {
        if self.done || self.failed {
            return Ok(Bytes::new());
        }
        self.buf.extend_from_slice(piece);
        let mut start = 0;
        let mut at = self.scanned;
        let mut dropped = false;
        let mut kept = BytesMut::new();
        while !self.done && !self.failed && self.events <= max_events {
            let Some(end) = event_end(&self.buf, at) else {
                break;
            };
            let keep = self.event(start, end);
            if keep && dropped {
                kept.extend_from_slice(&self.buf[start..end]);
            } else if !keep && !dropped {
                // From here on, events are copied around the one left out.
                dropped = true;
                kept.extend_from_slice(&self.buf[..start]);
            }
            start = end;
            at = end;
        }
        let whole = self.buf.split_to(start).freeze();
        // The last byte may be the first half of an end.
        self.scanned = self.buf.len().saturating_sub(3);
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(BadStream);
        }
        Ok(if dropped { kept.freeze() } else { whole })
    }

    /// Notes what the event says and returns whether to forward it.
    fn event(&mut self, start: usize, end: usize) -> bool {
        let event = &self.buf[start..end];
        let Some(data) = data_of(event) else {
            return true;
        };
        if data == b"[DONE]" {
            self.done = true;
            return true;
        }
        if data.starts_with(b"{\"error\"") {
            self.failed = true;
            return false;
        }
        if has_usage(data)
            && let Ok(chunk) = serde_json::from_slice::<Chunk>(data)
            && chunk.usage.is_some()
        {
            self.usage = chunk.usage;
            if chunk.choices.is_empty() {
                return self.forward_usage;
            }
        }
        self.events += 1;
        true
    }
}

/// Returns the index after the blank line that ends the first event at or
/// after `from`.
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

/// Returns the data field of a single-line event.
fn data_of(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|b| *b == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}

/// Returns whether the data may hold a usage that is not null. Spares parsing
/// every event.
fn has_usage(data: &[u8]) -> bool {
    const KEY: &[u8] = b"\"usage\"";
    let mut rest = data;
    while let Some(at) = rest.iter().position(|b| *b == b'u') {
        let begins = at > 0 && rest[at - 1..].starts_with(KEY);
        if begins {
            let value = rest[at - 1 + KEY.len()..].trim_ascii_start();
            let value = value.strip_prefix(b":").unwrap_or(value);
            if !value.trim_ascii_start().starts_with(b"null") {
                return true;
            }
        }
        rest = &rest[at + 1..];
        // A key needs its opening quote, which `at - 1` reads again.
        if rest.is_empty() {
            break;
        }
    }
    false
}
