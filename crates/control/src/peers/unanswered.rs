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

/// Minimum time between two log lines about calls without an answer.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Calls without an answer of the control group.
pub struct UnansweredCalls {
    refused: AtomicU64,
    abandoned: AtomicU64,
    lines: LineLimit,
    log: Logger,
}

impl UnansweredCalls {
    pub(super) fn new(log: Logger) -> Self {
        Self {
            refused: AtomicU64::new(0),
            abandoned: AtomicU64::new(0),
            lines: LineLimit::new(LOG_INTERVAL),
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

    fn record(&self, counter: &AtomicU64, reason: &str, waited: Duration) {
        counter.fetch_add(1, Ordering::Relaxed);
        if let Some(count) = self.lines.record() {
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
            calls.record(&calls.refused, reason, self.start.elapsed());
        }
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        if !self.is_ended {
            let calls = self.calls;
            calls.record(&calls.abandoned, "the caller left", self.start.elapsed());
        }
    }
}
