//! Token reserves of routers that lend tokens to each other.

use std::time::Duration;

use anvilloft_types::Tokens;
use anvilloft_wire::command::LockedAmount;

use super::Allotments;
use super::LocalBalance;
use super::LocalBudget;
use super::Reservation;
use super::ReservationId;

/// Maximum number of budgets whose tokens a report locks. It bounds the report's
/// size; the tokens of further budgets stay usable.
const MAX_LOCKED_BUDGETS: usize = 256;

/// Weight of the newest reply in the moving average of the grants' latency.
const GRANT_LATENCY_WEIGHT: f64 = 0.1;

/// Minimum number of requests in one to two demand windows for which a router has a
/// reserve of its own, in a data centre that has no more routers than holders.
pub(super) const MIN_RESERVE_REQUESTS: u32 = 4;

/// Minimum number of requests for a reserve of its own, for each router of a data centre
/// that has more routers than holders. With this, nearly all requests draw on the holders,
/// and a router that takes most of a team's requests still spares them the loans.
const MIN_RESERVE_REQUESTS_PER_ROUTER: u32 = 25;

/// Requests of the largest size in use by which a reserve that other routers draw on
/// exceeds the mean demand, as few requests come irregularly.
const HELD_SPARE_REQUESTS: u64 = 2;

/// Minimum size of a reserve that is locked in a data centre that has no more routers than
/// holders, in requests of the largest size in use.
const MIN_LOCKED_REQUESTS: u64 = 3;

/// How much of a reserve stays unlocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LockRule {
    /// The working part or the largest request. Few routers have reserves, and what a lock
    /// holds up in the first seconds of a partition is refused. A small reserve isn't locked,
    /// nor one that no other router draws on while grants are slow.
    AllButLargest { is_slow: bool },
    /// The working part or a mean request, as the unlocked parts of many reserves add up.
    /// Larger requests wait for a grant or for the next report, which leaves their tokens
    /// unlocked.
    AllButMean,
}

/// How a lending router builds up a reserve of idle tokens, for use while it is
/// partitioned from control.
///
/// A team loses the usable tokens at a router when the router dies. A reserve
/// therefore grows slowly, so that a router that has just started, or has just come
/// back from a partition, holds little, and most of it is locked while the router is
/// in contact with control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservePolicy {
    /// Interval between two grants for the reserve of one budget.
    pub grant_interval: Duration,
    /// Size of the full reserve, as the time that it lasts at the current demand.
    pub target: Duration,
    /// Growth per grant beyond the tokens used meanwhile, as time at the current
    /// demand.
    pub growth: Duration,
    /// Part of the reserve that is never locked, as time at the current demand.
    pub working: Duration,
    /// Time without contact with control until the whole reserve is unlocked.
    pub unlock: Duration,
    /// Latency of grants above which less is locked in a data centre that has no more routers
    /// than holders: a request that a lock holds up waits for a grant.
    pub max_grant_latency: Duration,
}

impl ReservePolicy {
    /// Returns the minimum and the wanted amount of a grant, if one is due.
    /// `missing` is the number of tokens that the needs it has to cover lack. Without
    /// needs the minimum is 1, because a reserve of any size is useful.
    pub(super) fn grant_amounts(
        &self,
        now: Duration,
        local: &mut LocalBudget,
        missing: Option<Tokens>,
        window: Duration,
        draining: bool,
    ) -> Option<(Tokens, Tokens)> {
        let demand = local.demand_per_window(now, window) as f64;
        let demand_of =
            |time: Duration| (demand * time.as_secs_f64() / window.as_secs_f64()) as Tokens;
        let spare = match local.is_held {
            true => local
                .largest_reservation()
                .saturating_mul(HELD_SPARE_REQUESTS),
            false => 0,
        };
        let full = demand_of(self.target).saturating_add(spare);
        let max_growth = full.saturating_sub(local.idle);
        let due = now >= local.prefetch_after && max_growth > 0 && !draining && !local.is_drawn;
        if missing.is_none() && !due {
            return None;
        }
        let mut growth = 0;
        if due {
            growth = demand_of(self.grant_interval + self.growth).saturating_add(spare);
            growth = growth.min(max_growth);
            local.prefetch_after = now + self.grant_interval;
        }
        let need = missing.unwrap_or(0);
        Some((need.max(1), need.saturating_add(growth)))
    }

    /// Returns for how long all of a lock holds without contact with control.
    fn hold(&self) -> Duration {
        self.unlock * 2 / 3
    }

    /// Returns the number of idle tokens to lock.
    fn locked_amount(
        &self,
        now: Duration,
        local: &LocalBudget,
        window: Duration,
        rule: LockRule,
    ) -> Tokens {
        let demand = local.demand_per_window(now, window) as f64;
        let working = demand * self.working.as_secs_f64() / window.as_secs_f64();
        let largest = local.largest_reservation();
        let unlocked = match rule {
            LockRule::AllButLargest { is_slow } => {
                let is_small = local.idle < largest.saturating_mul(MIN_LOCKED_REQUESTS);
                if is_small || (is_slow && !local.is_held) {
                    return 0;
                }
                largest.max(working as Tokens)
            }
            LockRule::AllButMean => {
                let unlocked = local.mean_reservation().max(working as Tokens);
                unlocked.saturating_add(local.waiting_sum())
            }
        };
        local.idle.saturating_sub(unlocked)
    }
}

impl Allotments {
    /// Enables lending to other routers through
    /// [`reserve_up_to`](Self::reserve_up_to), and builds up a reserve of each
    /// budget in use.
    pub fn set_lending(&mut self, policy: ReservePolicy) {
        self.lending = Some(policy);
    }

    /// Sets the number of routers of the data centre, and how many of them hold tokens for
    /// the others. The more there are, the fewer of them have reserves of their own: the
    /// unlocked parts of those would add up to more than the holders'.
    pub fn set_centre_routers(&mut self, count: usize, holders: usize) {
        self.has_many_routers = count > holders;
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.min_reserve_requests = match self.has_many_routers {
            true => count.saturating_mul(MIN_RESERVE_REQUESTS_PER_ROUTER),
            false => MIN_RESERVE_REQUESTS,
        };
    }

    /// Reserves the idle tokens of a budget, at most `max`. Returns `None` if there
    /// are none. Unlike [`reserve`](Self::reserve), it never requests a grant.
    pub fn reserve_up_to(
        &mut self,
        now: Duration,
        budget: &str,
        max: Tokens,
    ) -> Option<(ReservationId, Tokens)> {
        let usable = self.usable(now, budget);
        let local = self.budgets.get_mut(budget)?;
        let amount = usable.min(max);
        if amount == 0 || self.draining {
            return None;
        }
        local.reserve(amount);
        local.last_used = now;
        let id = self.next_id;
        self.next_id += 1;
        self.reservations
            .insert(id, Reservation::new(budget, amount));
        Some((id, amount))
    }

    /// Counts a request of a budget as demand, wherever its tokens come from. Returns
    /// whether this router should draw on another one's reserve, because its own requests
    /// are too few for one.
    pub fn record_request(&mut self, now: Duration, budget: &str, amount: Tokens) -> bool {
        let window = self.demand_window;
        let local = self.budgets.entry(budget.into()).or_default();
        local.record_demand(now, amount, window);
        local.recent_count(now, window) < self.min_reserve_requests
    }

    /// Sets whether another router holds this router's reserve of a budget, so that no
    /// tokens are requested ahead of need.
    pub fn set_drawn(&mut self, budget: &str, is_drawn: bool) {
        if let Some(local) = self.budgets.get_mut(budget) {
            local.is_drawn = is_drawn;
        }
    }

    /// Counts a request of another router, for which this one holds the reserve.
    pub fn record_draw(&mut self, now: Duration, budget: &str, amount: Tokens) {
        let window = self.demand_window;
        let local = self.budgets.entry(budget.into()).or_default();
        local.record_demand(now, amount, window);
        local.is_drawn = false;
        local.is_held = true;
    }

    /// Queues a grant request for each reserve that is due to grow.
    pub(super) fn scan_reserves(&mut self, now: Duration) {
        let Some(policy) = self.lending else {
            return;
        };
        if self.draining || now < self.next_reserve_scan {
            return;
        }
        self.next_reserve_scan = now + policy.grant_interval / 4;
        let window = self.demand_window;
        for (budget, local) in &mut self.budgets {
            if now.saturating_sub(local.window_start) >= window * 2 {
                local.demand = 0;
                local.last_demand = 0;
            }
            if now >= local.prefetch_after && local.outstanding.is_none() && !local.is_drawn {
                self.due.push_back(budget.clone());
            }
        }
    }

    /// Returns the tokens of a budget that this router holds, by whether they can be used.
    pub fn balance(&self, now: Duration, budget: &str) -> LocalBalance {
        let holding = self.holding(budget);
        let unlocked = self.locks.usable(now, budget, holding.idle);
        LocalBalance {
            unlocked,
            locked: holding.idle - unlocked,
            in_use: holding.reserved,
        }
    }

    /// Returns the idle tokens of a budget that are not locked.
    fn usable(&self, now: Duration, budget: &str) -> Tokens {
        let idle = self.budgets.get(budget).map_or(0, |l| l.idle);
        self.locks.usable(now, budget, idle)
    }

    /// Returns whether a lending router waits for control for longer than its locks hold.
    pub(super) fn has_lost_contact(&self, now: Duration) -> bool {
        let silent_for = self.locks.since_ack(now);
        self.outbox.unacknowledged() > 0
            && self
                .lending
                .zip(silent_for)
                .is_some_and(|(policy, silent_for)| silent_for >= policy.hold())
    }

    /// Records the time to the reply of a grant request. The time without contact says
    /// nothing about how long a grant takes in contact.
    pub(super) fn record_grant_latency(&mut self, now: Duration, sent_at: Duration) {
        if self.has_lost_contact(now) {
            return;
        }
        let latency = now.saturating_sub(sent_at.max(self.contact_since));
        self.grant_latency = self.grant_latency.mul_f64(1.0 - GRANT_LATENCY_WEIGHT)
            + latency.mul_f64(GRANT_LATENCY_WEIGHT);
    }

    /// Seals the reports that are due. The first of them locks the idle tokens if
    /// every report before it was acknowledged.
    pub(super) fn seal_reports(&mut self, now: Duration) {
        let seq = self.outbox.next_seq();
        self.outbox.seal(now);
        let Some(policy) = self.lending else {
            return;
        };
        if self.outbox.next_seq() == seq {
            return;
        }
        let window = self.demand_window;
        let rule = match self.has_many_routers {
            true => LockRule::AllButMean,
            false => LockRule::AllButLargest {
                is_slow: self.grant_latency > policy.max_grant_latency,
            },
        };
        let amounts = self.budgets.iter().filter_map(|(budget, local)| {
            let amount = policy.locked_amount(now, local, window, rule);
            (amount > 0).then(|| LockedAmount {
                budget: budget.clone(),
                amount,
            })
        });
        let amounts = amounts.take(MAX_LOCKED_BUDGETS).collect();
        if let Some(locked) = self.locks.add(seq, policy.unlock, amounts) {
            self.outbox.set_locked(seq, locked);
        }
    }
}
