//! One budget at a router.

use std::collections::VecDeque;
use std::time::Duration;

use anvilloft_types::Tokens;
use anvilloft_wire::command::Grant;

use super::NeedId;

/// A grant without a reply.
#[derive(Debug)]
pub(super) struct Outstanding {
    pub(super) grant: Grant,
    pub(super) sent: Duration,
}

/// What the incarnation holds of one budget.
#[derive(Debug, Default)]
pub(super) struct Local {
    pub(super) idle: Tokens,
    pub(super) reserved: Tokens,
    pub(super) waiting: VecDeque<(NeedId, Tokens)>,
    pub(super) outstanding: Option<Outstanding>,
    // Count of needs that the next grant may cover, after a grant for more of
    // them was refused.
    pub(super) cover_limit: Option<usize>,
    // Needs are asked for in full, and idle tokens go back first. Otherwise
    // the recall for the rest of a need takes the part that is held, and the
    // router asks for the parts in turn without end.
    pub(super) ask_in_full: bool,
    // Report with the idle tokens that go back first. Control has to apply it
    // before it decides on the grant.
    pub(super) returned_in: Option<u64>,
    pub(super) recalled_until: Duration,
    pub(super) used_at: Duration,
    pub(super) window: Duration,
    pub(super) demand: Tokens,
    pub(super) last_demand: Tokens,
    pub(super) early_after: Duration,
}

impl Local {
    pub(super) fn count_demand(&mut self, now: Duration, amount: Tokens, window: Duration) {
        let age = now.saturating_sub(self.window);
        if age >= window {
            self.last_demand = if age < window * 2 { self.demand } else { 0 };
            self.demand = 0;
            self.window = now;
        }
        self.demand = self.demand.saturating_add(amount);
        self.used_at = now;
    }

    /// Returns the demand of a window: that of the last one, or of the present
    /// one as far as it tells.
    pub(super) fn rate(&self, now: Duration, window: Duration) -> Tokens {
        let age = now.saturating_sub(self.window).max(window / 3);
        let present = self.demand as f64 * window.as_secs_f64() / age.as_secs_f64();
        self.last_demand.max(present as Tokens)
    }

    /// Moves idle tokens to a reservation.
    pub(super) fn take(&mut self, amount: Tokens) {
        self.idle -= amount;
        self.reserved += amount;
    }

    /// Returns the least and the wanted amount of a grant without lending, if
    /// one is due. `covered` is what the needs lack that it shall cover.
    pub(super) fn amounts(
        &self,
        now: Duration,
        covered: Option<Tokens>,
        draining: bool,
    ) -> Option<(Tokens, Tokens)> {
        let rate = self.last_demand.max(self.demand);
        match covered {
            Some(need) if draining => Some((need, need)),
            Some(need) => Some((need, need.saturating_add(rate.saturating_mul(2)))),
            None => {
                let early = now >= self.early_after && self.idle < self.last_demand / 2;
                (early && !draining).then(|| ((rate / 4).max(1), rate.saturating_mul(2)))
            }
        }
    }

    pub(super) fn is_unused(&self) -> bool {
        self.idle == 0
            && self.reserved == 0
            && self.waiting.is_empty()
            && self.outstanding.is_none()
            && self.returned_in.is_none()
    }
}
