//! State of one budget at a router.

use std::collections::VecDeque;
use std::time::Duration;

use anvilloft_types::Tokens;
use anvilloft_wire::command::Grant;

use super::NeedId;
use crate::usage::Usage;

/// A grant request without a reply.
#[derive(Debug)]
pub(super) struct OutstandingGrant {
    pub(super) grant: Grant,
    pub(super) sent_at: Duration,
}

/// State of one budget at this router incarnation.
#[derive(Debug, Default)]
pub(super) struct LocalBudget {
    // Held and not reserved.
    pub(super) idle: Tokens,
    pub(super) reserved: Tokens,
    // Needs that wait for a grant, oldest first.
    pub(super) waiting: VecDeque<(NeedId, Tokens)>,
    pub(super) outstanding: Option<OutstandingGrant>,
    // Maximum number of needs that the next grant may cover, after a grant for more
    // of them was refused.
    pub(super) max_covered_needs: Option<usize>,
    // After a recall, needs are requested in full, and idle tokens are returned
    // first. Otherwise the recall for the missing part of a need would take the part
    // that is held, and the router would request the parts in turn without end.
    pub(super) request_in_full: bool,
    // Sequence number of the report that returns the idle tokens first. Control has
    // to apply it before it decides on the grant.
    pub(super) returned_in: Option<u64>,
    // Tokens that come free before this time are returned as well.
    pub(super) recalled_until: Duration,
    pub(super) last_used: Duration,
    // Start of the current demand window.
    pub(super) window_start: Duration,
    // Demand of the current window, and of the one before.
    pub(super) demand: Tokens,
    pub(super) last_demand: Tokens,
    // Number of reservations of the current window, and of the one before.
    count: u32,
    last_count: u32,
    // Whether another router holds this router's reserve.
    pub(super) is_drawn: bool,
    // Whether other routers draw on this router's reserve.
    pub(super) is_held: bool,
    // Largest reservation of the current window, and of the one before.
    largest: Tokens,
    last_largest: Tokens,
    pub(super) usage: Usage,
    // No grant is requested ahead of need before this time.
    pub(super) prefetch_after: Duration,
}

impl LocalBudget {
    /// Adds a reservation to the demand of the current window.
    pub(super) fn record_demand(&mut self, now: Duration, amount: Tokens, window: Duration) {
        let age = now.saturating_sub(self.window_start);
        if age >= window {
            let is_recent = age < window * 2;
            self.last_demand = if is_recent { self.demand } else { 0 };
            self.last_largest = if is_recent { self.largest } else { 0 };
            self.last_count = if is_recent { self.count } else { 0 };
            self.demand = 0;
            self.largest = 0;
            self.count = 0;
            self.window_start = now;
        }
        self.demand = self.demand.saturating_add(amount);
        self.largest = self.largest.max(amount);
        self.count = self.count.saturating_add(1);
        self.last_used = now;
    }

    /// Returns the demand per window: the larger of the last window's demand and the
    /// current one's, extrapolated from at least a third of a window.
    pub(super) fn demand_per_window(&self, now: Duration, window: Duration) -> Tokens {
        let age = now.saturating_sub(self.window_start).max(window / 3);
        let current = self.demand as f64 * window.as_secs_f64() / age.as_secs_f64();
        self.last_demand.max(current as Tokens)
    }

    /// Returns the number of reservations in the last one to two windows.
    pub(super) fn recent_count(&self, now: Duration, window: Duration) -> u32 {
        let age = now.saturating_sub(self.window_start);
        match age < window * 2 {
            true => self.count.saturating_add(self.last_count),
            false => 0,
        }
    }

    /// Returns the mean of the reservations of the last one to two windows.
    pub(super) fn mean_reservation(&self) -> Tokens {
        let count = self.count.saturating_add(self.last_count);
        let sum = self.demand.saturating_add(self.last_demand);
        sum.checked_div(count.into()).unwrap_or(0)
    }

    /// Returns the sum of the needs that wait for a grant.
    pub(super) fn waiting_sum(&self) -> Tokens {
        let needs = self.waiting.iter().map(|(_, amount)| *amount);
        needs.fold(0, Tokens::saturating_add)
    }

    /// Returns the largest of the last reservations.
    pub(super) fn largest_reservation(&self) -> Tokens {
        self.largest.max(self.last_largest)
    }

    /// Moves idle tokens to a reservation.
    pub(super) fn reserve(&mut self, amount: Tokens) {
        self.idle -= amount;
        self.reserved += amount;
    }

    /// Returns the minimum and the wanted amount of a grant without lending, if one
    /// is due. `missing` is the number of tokens that the needs it has to cover lack.
    pub(super) fn grant_amounts(
        &self,
        now: Duration,
        missing: Option<Tokens>,
        draining: bool,
    ) -> Option<(Tokens, Tokens)> {
        let demand = self.last_demand.max(self.demand);
        match missing {
            Some(need) if draining => Some((need, need)),
            Some(need) => Some((need, need.saturating_add(demand.saturating_mul(2)))),
            None => {
                let prefetch = now >= self.prefetch_after && self.idle < self.last_demand / 2;
                (prefetch && !draining).then(|| ((demand / 4).max(1), demand.saturating_mul(2)))
            }
        }
    }

    /// Returns whether this router holds nothing of the budget and requests nothing.
    pub(super) fn is_unused(&self) -> bool {
        self.idle == 0
            && self.reserved == 0
            && self.waiting.is_empty()
            && self.outstanding.is_none()
            && self.returned_in.is_none()
    }
}
