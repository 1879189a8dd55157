//! Log lines and counters of calls of a member's own callers that get no answer of the
//! control group.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_telemetry::LineLimit;
use anvilloft_types::to_ms;
use anvilloft_wire::CallError;
use anvilloft_wire::ControlReply;
use slog::Logger;
use slog::warn;

#[cfg(test)]
mod tests;

/// Minimum time between two log lines about refused calls, and about callers that left.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Calls without an answer of the control group.
pub struct UnansweredCalls {
    refused: AtomicU64,
    abandoned: AtomicU64,
    refused_lines: LineLimit,
    /// Separate, as the refusals of the same second would hide a caller that left.
    abandoned_lines: LineLimit,
    log: Logger,
}

impl UnansweredCalls {
    pub(super) fn new(log: Logger) -> Self {
        Self {
            refused: AtomicU64::new(0),
            abandoned: AtomicU64::new(0),
            refused_lines: LineLimit::new(LOG_INTERVAL),
            abandoned_lines: LineLimit::new(LOG_INTERVAL),
            log,
        }
    }

    /// Returns the number of calls that were refused.
    pub fn refused(&self) -> &AtomicU64 {
        &self.refused
    }

    /// Returns the number of calls whose callers left before an answer.
    pub fn abandoned(&self) -> &AtomicU64 {
        &self.abandoned
    }

    /// Starts a call. Unless it is ended, its caller is counted as gone.
    pub(super) fn begin_call(&self) -> WaitingCall<'_> {
        WaitingCall {
            calls: self,
            start: Instant::now(),
            is_ended: false,
        }
    }

    fn record(&self, counter: &AtomicU64, lines: &LineLimit, reason: &str, waited: Duration) {
        counter.fetch_add(1, Ordering::Relaxed);
        if let Some(count) = lines.record() {
            warn!(self.log, "call not answered"; "reason" => reason,
                "waited_ms" => to_ms(waited), "count" => count);
        }
    }
}

/// A call that waits for its answer.
pub(super) struct WaitingCall<'a> {
    calls: &'a UnansweredCalls,
    start: Instant,
    is_ended: bool,
}

impl WaitingCall<'_> {
    pub(super) fn end(mut self, result: &Result<ControlReply, CallError>) {
        self.is_ended = true;
        if let Err(CallError::Unavailable(reason) | CallError::Unknown(reason)) = result {
            let calls = self.calls;
            let waited = self.start.elapsed();
            calls.record(&calls.refused, &calls.refused_lines, reason, waited);
        }
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        if !self.is_ended {
            let calls = self.calls;
            let waited = self.start.elapsed();
            let lines = &calls.abandoned_lines;
            calls.record(&calls.abandoned, lines, "the caller left", waited);
        }
    }
}
