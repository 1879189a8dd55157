//! Limit on the total memory of all request bodies.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use prometheus::IntGauge;

use crate::error::Refusal;

/// Retry delay for callers whose body exceeds the limit. Large bodies are read
/// and answered in about this time.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Limit on the bytes of all request bodies of a process.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    used: Arc<AtomicUsize>,
    max_bytes: usize,
    gauge: IntGauge,
}

impl BodyMemory {
    /// Creates a limit of `max_bytes`; `gauge` shows the bytes in use.
    pub fn new(max_bytes: usize, gauge: IntGauge) -> Self {
        Self {
            used: Arc::default(),
            max_bytes,
            gauge,
        }
    }

    /// Returns a guard for a body of which no bytes have arrived yet.
    pub fn guard(&self) -> BodyMemoryGuard {
        BodyMemoryGuard {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// Counts the bytes of one body towards the limit until it is dropped.
#[derive(Debug)]
pub struct BodyMemoryGuard {
    memory: BodyMemory,
    bytes: usize,
}

impl BodyMemoryGuard {
    /// Counts `added` bytes that have arrived.
    ///
    /// A body that doesn't fit releases its own bytes in the same atomic step.
    /// Otherwise bodies that arrive together could all be refused because of the
    /// bytes of one another.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the limit would be exceeded.
    pub fn grow(&mut self, added: usize) -> Result<(), Refusal> {
        let (max_bytes, own) = (self.memory.max_bytes, self.bytes);
        let fits = |used: usize| used.saturating_add(added) <= max_bytes;
        let update = |used: usize| Some(if fits(used) { used + added } else { used - own });
        let (Ok(used) | Err(used)) =
            self.memory
                .used
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
        if fits(used) {
            self.bytes += added;
            self.memory.gauge.add(to_gauge_value(added));
            return Ok(());
        }
        self.bytes = 0;
        self.memory.gauge.sub(to_gauge_value(own));
        Err(Refusal::unavailable(
            "overloaded",
            "the request bodies in memory have reached their limit",
        )
        .retry_after(RETRY_DELAY))
    }
}

impl Drop for BodyMemoryGuard {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
        self.memory.gauge.sub(to_gauge_value(self.bytes));
    }
}

/// Converts a byte count for the gauge. A buffer in memory never exceeds
/// `i64::MAX` bytes.
pub(crate) fn to_gauge_value(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
