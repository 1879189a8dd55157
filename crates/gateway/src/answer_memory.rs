//! Limit on the total memory of endpoints' answers.

use std::sync::Arc;
use std::sync::Mutex;

use anvilloft_types::lock;
use bytes::Bytes;
use prometheus::IntGauge;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::memory::to_gauge_value;

/// Bytes of each answer that aren't counted, so that small answers never wait. The number
/// of requests limits their sum.
pub const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Shares a number of bytes between answers.
#[derive(Debug)]
pub struct AnswerShares {
    used: usize,
    max_bytes: usize,
}

impl AnswerShares {
    /// Shares `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self { used: 0, max_bytes }
    }

    /// Returns the bytes of all answers.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Changes the bytes of an answer. Returns whether they fit.
    ///
    /// An answer grows only to as many bytes as are free after it, so that a few large
    /// answers leave room for smaller ones (dynamic thresholds, Choudhury and Hahne, 1998).
    pub fn resize(&mut self, from: usize, to: usize) -> bool {
        let others = self.used.saturating_sub(from);
        let left = self.max_bytes.saturating_sub(others);
        if to > from && to > left / 2 {
            return false;
        }
        self.used = others + to;
        true
    }
}

/// Limit on the bytes of all endpoints' answers that a process holds.
///
/// An answer that doesn't fit waits, and its endpoint with it, until others have ended or
/// until it may exceed the limit. Only a few may do so at a time, in the order in which
/// they began to wait, so that large answers end one after the other.
#[derive(Debug)]
pub struct AnswerMemory {
    shares: Mutex<AnswerShares>,
    large: Arc<Semaphore>,
    freed: Notify,
    gauge: IntGauge,
}

impl AnswerMemory {
    /// Creates a limit of `max_bytes`, which `max_large` answers at a time may exceed;
    /// `gauge` shows the counted bytes.
    pub fn new(max_bytes: usize, max_large: usize, gauge: IntGauge) -> Arc<Self> {
        Arc::new(Self {
            shares: Mutex::new(AnswerShares::new(max_bytes)),
            large: Arc::new(Semaphore::new(max_large)),
            freed: Notify::new(),
            gauge,
        })
    }

    /// Returns the charge of an answer without bytes.
    pub fn charge(self: &Arc<Self>) -> AnswerCharge {
        AnswerCharge {
            memory: Arc::clone(self),
            shared: 0,
            beyond: 0,
            permit: None,
        }
    }
}

/// Counts the bytes of one answer until it is dropped.
#[derive(Debug)]
pub struct AnswerCharge {
    memory: Arc<AnswerMemory>,
    /// Bytes within the limit.
    shared: usize,
    /// Bytes beyond the limit, with a permit.
    beyond: usize,
    permit: Option<OwnedSemaphorePermit>,
}

impl AnswerCharge {
    /// Changes the number of bytes of the answer. Returns whether they fit.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let bytes = bytes.saturating_sub(UNCOUNTED_BYTES);
        let before = self.shared + self.beyond;
        if bytes == before {
            return true;
        }
        if lock(&self.memory.shares).resize(self.shared, bytes) {
            self.shared = bytes;
            self.beyond = 0;
            self.permit = None;
        } else if self.permit.is_some() {
            self.beyond = bytes.saturating_sub(self.shared);
        } else {
            return false;
        }
        let after = self.shared + self.beyond;
        self.memory
            .gauge
            .add(to_gauge_value(after) - to_gauge_value(before));
        if after < before {
            self.memory.freed.notify_waiters();
        }
        true
    }

    /// Changes the number of bytes of the answer, after a wait if they don't fit.
    pub async fn resize(&mut self, bytes: usize) {
        if self.try_resize(bytes) {
            return;
        }
        let memory = Arc::clone(&self.memory);
        let mut permit = std::pin::pin!(Arc::clone(&memory.large).acquire_owned());
        loop {
            let mut freed = std::pin::pin!(memory.freed.notified());
            freed.as_mut().enable();
            if self.try_resize(bytes) {
                return;
            }
            tokio::select! {
                // The semaphore is never closed.
                permit = &mut permit, if self.permit.is_none() => self.permit = permit.ok(),
                () = freed => {}
            }
        }
    }

    /// Returns bytes that stay counted until the last reference to them is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        match self.shared + self.beyond {
            0 => bytes,
            _ => Bytes::from_owner(CountedBytes {
                bytes,
                _charge: self,
            }),
        }
    }

    /// Returns the first bytes of the answer, which stay counted until the last reference
    /// to them is dropped. The rest is no longer counted.
    pub fn detach(&mut self, bytes: Bytes) -> Bytes {
        let rest = self.memory.charge();
        std::mem::replace(self, rest).attach(bytes)
    }
}

impl Drop for AnswerCharge {
    fn drop(&mut self) {
        self.permit = None;
        self.try_resize(0);
    }
}

struct CountedBytes {
    bytes: Bytes,
    _charge: AnswerCharge,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
