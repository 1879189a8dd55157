//! Locked part of the idle tokens of a lending router.

use std::collections::VecDeque;
use std::time::Duration;

use anvilloft_types::Tokens;
use anvilloft_wire::command::LockedAmount;
use anvilloft_wire::command::LockedReserve;
use anvilloft_wire::command::lock_more;
use anvilloft_wire::command::still_locked;
use anvilloft_wire::command::unlock;

/// A lock that a report has announced to control.
#[derive(Debug)]
struct Lock {
    /// Number of the report.
    seq: u64,
    /// When the router received the acknowledgement that the lock counts from.
    since: Duration,
    unlock_ms: u64,
    // Sorted by budget.
    amounts: Vec<LockedAmount>,
}

impl Lock {
    fn amount(&self, now: Duration, budget: &str) -> Tokens {
        let found = self
            .amounts
            .binary_search_by(|l| l.budget.as_str().cmp(budget));
        let Ok(at) = found else {
            return 0;
        };
        // Rounded down, while control rounds up.
        let elapsed_ms = now.saturating_sub(self.since).as_millis();
        let elapsed_ms = u64::try_from(elapsed_ms).unwrap_or(u64::MAX);
        still_locked(self.amounts[at].amount, self.unlock_ms, elapsed_ms)
    }
}

/// The locks that control may know.
///
/// Control goes by the last report that it has applied. While a report is
/// unacknowledged, that may be the one before, so the locks of both are kept to.
#[derive(Debug, Default)]
pub(super) struct Locks {
    // At most two, in ascending order of reports.
    locks: VecDeque<Lock>,
    /// Number of the last acknowledged report, and when its acknowledgement came.
    last_ack: Option<(u64, Duration)>,
}

impl Locks {
    /// Returns the idle tokens that are usable, of `idle` tokens of a budget.
    pub(super) fn usable(&self, now: Duration, budget: &str, idle: Tokens) -> Tokens {
        let locked = self.locks.iter().map(|l| l.amount(now, budget)).max();
        idle.saturating_sub(locked.unwrap_or(0))
    }

    /// Locks tokens with a report that is about to be sent. Returns `None`, and locks
    /// nothing, unless control has acknowledged every report before it.
    pub(super) fn add(
        &mut self,
        seq: u64,
        unlock: Duration,
        amounts: Vec<LockedAmount>,
    ) -> Option<LockedReserve> {
        let (acked_seq, since) = self.last_ack.filter(|(acked, _)| acked + 1 == seq)?;
        let unlock_ms = u64::try_from(unlock.as_millis()).ok()?;
        let locked = LockedReserve {
            acked_seq,
            unlock_ms,
            amounts,
        };
        self.locks.push_back(Lock {
            seq,
            since,
            unlock_ms,
            amounts: locked.amounts.clone(),
        });
        Some(locked)
    }

    /// Locks the part of a grant that no request needs. Control adds it to the lock
    /// that it knows, which may be any of these.
    pub(super) fn on_grant(&mut self, budget: &str, reserve: Tokens) {
        for lock in &mut self.locks {
            lock_more(&mut lock.amounts, budget, reserve);
        }
    }

    /// Unlocks a budget, all idle tokens of which go back to control. Control counts them
    /// as locked until it applies the report, and they can't be used here any more.
    pub(super) fn on_return(&mut self, budget: &str) {
        for lock in &mut self.locks {
            unlock(&mut lock.amounts, budget);
        }
    }

    /// Returns the time since control last acknowledged a report, if it ever has.
    pub(super) fn since_ack(&self, now: Duration) -> Option<Duration> {
        self.last_ack.map(|(_, at)| now.saturating_sub(at))
    }

    /// Handles the acknowledgement of every report up to `seq`.
    pub(super) fn on_report_ack(&mut self, now: Duration, seq: u64) {
        if self.last_ack.is_none_or(|(acked, _)| acked < seq) {
            self.last_ack = Some((seq, now));
        }
        while self.locks.get(1).is_some_and(|next| next.seq <= seq) {
            self.locks.pop_front();
        }
    }
}
