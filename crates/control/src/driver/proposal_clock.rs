//! Times of the leader's proposals.

use anvilloft_types::prelude::*;

/// The wall clock without its steps back. Ledger time goes on while the wall clock is
/// behind it, as times between commands would be lost otherwise.
#[derive(Debug, Default)]
pub(super) struct ProposalClock {
    /// Time of a proposal, in milliseconds since the Unix epoch.
    base_ms: u64,
    /// The same by the monotonic clock.
    base_at: Duration,
}

impl ProposalClock {
    /// Returns the time of a proposal at `now`, in milliseconds since the Unix epoch.
    pub(super) fn read(&mut self, now: Duration, wall_ms: u64, ledger_ms: u64) -> u64 {
        let elapsed = now.saturating_sub(self.base_at).as_millis();
        let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let time_ms = self.base_ms.saturating_add(elapsed_ms);
        let min_ms = wall_ms.max(ledger_ms);
        if time_ms >= min_ms {
            return time_ms;
        }
        self.base_ms = min_ms;
        self.base_at = now;
        min_ms
    }
}
