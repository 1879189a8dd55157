//! Bytes of request bodies in memory, bounded together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use prometheus::IntGauge;

use crate::error::Refusal;

/// Time after which a caller whose body found no room tries again. Large bodies
/// are read and answered in about this time.
const ROOM_AGAIN: Duration = Duration::from_secs(1);

/// The bound on all request bodies of a process.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    held: Arc<AtomicUsize>,
    most: usize,
    gauge: IntGauge,
}

impl BodyMemory {
    /// Makes a bound of `most` bytes; `gauge` shows the bytes held.
    pub fn new(most: usize, gauge: IntGauge) -> Self {
        Self {
            held: Arc::default(),
            most,
            gauge,
        }
    }

    /// Returns the part of a body of which nothing has arrived.
    pub fn hold(&self) -> Held {
        Held {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// Bytes of one body, counted until this is dropped.
#[derive(Debug)]
pub struct Held {
    memory: BodyMemory,
    bytes: usize,
}

impl Held {
    /// Counts `more` bytes that arrived.
    ///
    /// A body that finds no room gives back what it holds in the same step, so
    /// that bodies that arrive together aren't all refused for want of the room
    /// that one of them takes.
    ///
    /// # Errors
    ///
    /// A refusal when the bound would be passed.
    pub fn add(&mut self, more: usize) -> Result<(), Refusal> {
        let (most, mine) = (self.memory.most, self.bytes);
        let fits = |held: usize| held.saturating_add(more) <= most;
        let after = |held: usize| Some(if fits(held) { held + more } else { held - mine });
        let (Ok(held) | Err(held)) =
            self.memory
                .held
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, after);
        if fits(held) {
            self.bytes += more;
            self.memory.gauge.add(signed(more));
            return Ok(());
        }
        self.bytes = 0;
        self.memory.gauge.sub(signed(mine));
        Err(
            Refusal::unavailable("overloaded", "too many bytes of requests are in memory")
                .retry_after(ROOM_AGAIN),
        )
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.memory.gauge.sub(signed(self.bytes));
    }
}

/// Converts bytes for a gauge. A buffer in memory is never longer than `i64::MAX`.
fn signed(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
