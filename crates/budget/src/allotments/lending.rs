//! Reserves of routers that lend tokens to each other.

use std::time::Duration;

use anvilloft_types::Tokens;
use anvilloft_wire::command::SEAL;

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
    /// Demand that the part of it lasts for which is not sealed.
    pub open: Duration,
    /// Demand by which it grows with each grant, beyond what is used meanwhile.
    pub step: Duration,
}

impl Reserve {
    /// Returns the least and the wanted amount of a grant, and the amount to be
    /// sealed, if one is due. `covered` is what the needs lack that it shall
    /// cover. A reserve is worth having in any size.
    pub(super) fn amounts(
        &self,
        now: Duration,
        local: &mut Local,
        covered: Option<Tokens>,
        window: Duration,
        draining: bool,
    ) -> Option<(Tokens, Tokens, Tokens)> {
        let rate = local.rate(now, window) as f64;
        let demand_of =
            |time: Duration| (rate * time.as_secs_f64() / window.as_secs_f64()) as Tokens;
        let held = local.idle.saturating_add(local.sealed);
        let most = demand_of(self.lasts).saturating_sub(held);
        let open = demand_of(self.open).saturating_sub(local.idle);
        let due = now >= local.early_after && (most > 0 || open > 0) && !draining;
        let unseal = std::mem::take(&mut local.unseal).min(local.sealed);
        if covered.is_none() && !due && unseal == 0 {
            return None;
        }
        let (mut usable, mut sealed) = (unseal, 0);
        if due {
            let step = demand_of(self.every + self.step).min(most);
            usable = open.min(step.saturating_add(local.sealed)).max(unseal);
            sealed = step.saturating_sub(usable.saturating_sub(local.sealed));
            local.early_after = now + self.every;
        }
        let need = covered.unwrap_or(0);
        Some((need.max(1), need.saturating_add(usable), sealed))
    }
}

/// Seals of one router: what they cover is not used as long as control answers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Seals {
    /// When the last reply to a grant or a report came.
    pub(super) heard: Duration,
    /// How often the seals were broken.
    pub(super) broken: u64,
    /// Time of the host's clock at which the clock of `heard` began.
    pub(super) host_start: Duration,
}

impl Seals {
    pub(super) fn heard_ms(&self) -> u64 {
        u64::try_from((self.host_start + self.heard).as_millis()).unwrap_or(u64::MAX)
    }
}

impl Allotments {
    /// Lets routers lend tokens to each other with
    /// [`reserve_up_to`](Self::reserve_up_to), and builds up a reserve of each
    /// budget in use. `host_start` is the time of the host's clock at which the
    /// clock of the other calls begins.
    pub fn set_lending(&mut self, reserve: Reserve, host_start: Duration) {
        self.lending = Some(reserve);
        self.seals.host_start = host_start;
    }

    /// Asks control to unseal tokens of a budget, at most `most`. Returns how many
    /// may become usable with the reply.
    pub fn ask_unseal(&mut self, budget: &str, most: Tokens) -> Tokens {
        let Some(local) = self.budgets.get_mut(budget) else {
            return 0;
        };
        let amount = local.sealed.min(most);
        if amount > 0 && !self.draining {
            local.unseal = local.unseal.saturating_add(amount);
            self.due.push_back(budget.into());
        }
        amount
    }

    /// Returns how often sealed tokens were made usable for want of a reply.
    pub fn seals_broken(&self) -> u64 {
        self.seals.broken
    }

    /// Makes sealed tokens usable after [`SEAL`] without a reply of control.
    pub(super) fn break_seals(&mut self, now: Duration) {
        let sealed = |l: &Local| l.sealed > 0;
        if now.saturating_sub(self.seals.heard) < SEAL || !self.budgets.values().any(sealed) {
            return;
        }
        self.seals.broken += 1;
        for local in self.budgets.values_mut() {
            local.idle = local.idle.saturating_add(std::mem::take(&mut local.sealed));
        }
    }

    /// Reserves what is idle of a budget, at most `most`. Returns `None` when
    /// nothing is. Unlike [`reserve`](Self::reserve) it asks for no grant.
    pub fn reserve_up_to(
        &mut self,
        now: Duration,
        budget: &str,
        most: Tokens,
    ) -> Option<(ReservationId, Tokens)> {
        self.break_seals(now);
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
