//! Reserves of routers that lend tokens to each other.

use std::time::Duration;

use anvilloft_types::Tokens;

use super::Allotments;
use super::Local;
use super::Reservation;
use super::ReservationId;

/// How a lending router builds up idle tokens for a partition from control.
///
/// Tokens at a router are lost to their team when the router dies, so a reserve
/// grows slowly: a router that has just come back from a partition, or has just
/// started, holds little.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reserve {
    /// Time between two grants for the reserve of one budget.
    pub every: Duration,
    /// Demand that the whole reserve lasts for.
    pub lasts: Duration,
    /// Demand by which it grows with each grant, beyond what is used meanwhile.
    pub step: Duration,
}

impl Reserve {
    /// Returns the least and the wanted amount of a grant, if one is due.
    /// `covered` is what the needs lack that it shall cover. A reserve is worth
    /// having in any size.
    pub(super) fn amounts(
        &self,
        now: Duration,
        local: &mut Local,
        covered: Option<Tokens>,
        window: Duration,
        draining: bool,
    ) -> Option<(Tokens, Tokens)> {
        let rate = local.rate(now, window) as f64;
        let demand_of =
            |time: Duration| (rate * time.as_secs_f64() / window.as_secs_f64()) as Tokens;
        let most = demand_of(self.lasts).saturating_sub(local.idle);
        let due = now >= local.early_after && most > 0 && !draining;
        if covered.is_none() && !due {
            return None;
        }
        let mut step = 0;
        if due {
            step = demand_of(self.every + self.step).min(most);
            local.early_after = now + self.every;
        }
        let need = covered.unwrap_or(0);
        Some((need.max(1), need.saturating_add(step)))
    }
}

impl Allotments {
    /// Lets routers lend tokens to each other with
    /// [`reserve_up_to`](Self::reserve_up_to), and builds up a reserve of each
    /// budget in use.
    pub fn set_lending(&mut self, reserve: Reserve) {
        self.lending = Some(reserve);
    }

    /// Reserves what is idle of a budget, at most `most`. Returns `None` when
    /// nothing is. Unlike [`reserve`](Self::reserve) it asks for no grant.
    pub fn reserve_up_to(
        &mut self,
        now: Duration,
        budget: &str,
        most: Tokens,
    ) -> Option<(ReservationId, Tokens)> {
        let local = self.budgets.get_mut(budget)?;
        let amount = local.idle.min(most);
        if amount == 0 || self.draining {
            return None;
        }
        local.take(amount);
        local.used_at = now;
        let id = self.next_id;
        self.next_id += 1;
        self.reservations
            .insert(id, Reservation::new(budget, amount));
        Some((id, amount))
    }

    /// Looks for reserves that are due to grow.
    pub(super) fn scan_reserves(&mut self, now: Duration) {
        let Some(reserve) = self.lending else {
            return;
        };
        if self.draining || now < self.reserves_at {
            return;
        }
        self.reserves_at = now + reserve.every / 4;
        let window = self.demand_window;
        for (budget, local) in &mut self.budgets {
            if now.saturating_sub(local.window) >= window * 2 {
                local.demand = 0;
                local.last_demand = 0;
            }
            if now >= local.early_after && local.outstanding.is_none() {
                self.due.push_back(budget.clone());
            }
        }
    }
}
