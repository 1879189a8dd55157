//! Tokens that one router incarnation holds, by budget.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use anvilloft_types::BudgetId;
use anvilloft_types::Incarnation;
use anvilloft_types::RouterId;
use anvilloft_types::Tokens;
use anvilloft_wire::CommandReply;
use anvilloft_wire::command::Grant;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::Report;
use quick_error::quick_error;

use crate::outbox::Outbox;

mod lending;
mod local;

pub use lending::Reserve;
use local::Local;
use local::Outstanding;

/// Number of a reservation, unique within one `Allotments`.
pub type ReservationId = u64;
/// Number of a need that waits for a grant, unique within one `Allotments`.
pub type NeedId = u64;

/// Time after which an unanswered grant is sent again. Longer than the time
/// that control waits for recalled tokens.
const GRANT_RESEND: Duration = Duration::from_millis(1_000);
/// Default of [`Allotments::set_demand_window`].
const WINDOW: Duration = Duration::from_secs(1);
/// Time without early grants after one was refused or came in exact size: the
/// budget is nearly spent then, and its tokens shall not be scattered.
const EARLY_PAUSE: Duration = Duration::from_secs(10);
/// How long a recall stays in effect: tokens that come free meanwhile go back
/// too. Longer than control waits for them, as a request that ends during the
/// wait would otherwise leave its rest at the wrong router.
const RECALL_EFFECT: Duration = Duration::from_secs(1);
/// Default of [`Allotments::set_idle`], as the built-in `allotment_idle_ms`.
const IDLE: Duration = Duration::from_secs(10);
/// Code of a refusal after which the grant is asked again under a new number.
const STALE_GRANT: &str = "stale_grant";

quick_error! {
    /// The router's allotment doesn't cover a reservation. The need waits for
    /// a grant until [`Allotments::on_grant`] names it or
    /// [`Allotments::cancel`] ends it.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum NeedGrant {
        /// Number under which the need waits.
        Waiting(need: NeedId) {
            display("need {} waits for a grant", need)
        }
    }
}

impl NeedGrant {
    /// Returns the number under which the need waits.
    pub fn need(&self) -> NeedId {
        match self {
            Self::Waiting(need) => *need,
        }
    }
}

quick_error! {
    /// Why a need was not met.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum GrantRefusal {
        /// The budget doesn't cover the need.
        Insufficient(unspent: Tokens, allotted: Tokens) {
            display("the budget has {} unspent tokens and {} at routers", unspent, allotted)
        }
        /// Control refused the grant.
        Refused(code: String, message: String) {
            display("{}: {}", code, message)
        }
    }
}

/// What became of a waiting need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantResult {
    /// Number of the need.
    pub need: NeedId,
    /// The reservation, or why there is none.
    pub outcome: Result<ReservationId, GrantRefusal>,
}

/// Tokens of one budget at this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Held and not reserved.
    pub idle: Tokens,
    /// Reserved for requests in flight.
    pub reserved: Tokens,
    /// Sum of the needs that wait for a grant.
    pub waiting: Tokens,
}

#[derive(Debug)]
struct Reservation {
    budget: BudgetId,
    amount: Tokens,
}

impl Reservation {
    fn new(budget: &str, amount: Tokens) -> Self {
        Self {
            budget: budget.into(),
            amount,
        }
    }
}

/// Allotments, reservations and unreported settlements of one router
/// incarnation.
#[derive(Debug)]
pub struct Allotments {
    router: RouterId,
    incarnation: Incarnation,
    // Ordered, so that the same calls give the same grants and reports.
    budgets: BTreeMap<BudgetId, Local>,
    // Bounded by the requests in flight, which admission bounds.
    reservations: HashMap<ReservationId, Reservation>,
    // Budgets to look at for a grant.
    due: VecDeque<BudgetId>,
    outstanding: BTreeMap<u64, BudgetId>,
    // Budgets with `returned_in`.
    returning: Vec<BudgetId>,
    next_id: u64,
    next_seq: u64,
    outbox: Outbox,
    idle: Duration,
    demand_window: Duration,
    lending: Option<Reserve>,
    scanned: Duration,
    reserves_at: Duration,
    draining: bool,
}

impl Allotments {
    /// Returns the empty allotments of a new incarnation.
    pub fn new(router: RouterId, incarnation: Incarnation) -> Self {
        Self {
            outbox: Outbox::new(router.clone(), incarnation),
            router,
            incarnation,
            budgets: BTreeMap::new(),
            reservations: HashMap::new(),
            due: VecDeque::new(),
            outstanding: BTreeMap::new(),
            returning: Vec::new(),
            next_id: 1,
            next_seq: 1,
            idle: IDLE,
            demand_window: WINDOW,
            lending: None,
            scanned: Duration::ZERO,
            reserves_at: Duration::ZERO,
            draining: false,
        }
    }

    /// Sets the time after which an unused allotment goes back by itself.
    pub fn set_idle(&mut self, idle: Duration) {
        self.idle = idle;
    }

    /// Sets the time over which demand is measured. A grant asks for the demand
    /// of two windows, so a longer one carries the router further through a
    /// partition and leaves more tokens idle.
    pub fn set_demand_window(&mut self, window: Duration) {
        self.demand_window = window;
    }

    /// Sets how long a settlement waits for others of the same report. Without
    /// a pace the first leaves at once and others follow at the round trip.
    pub fn set_report_pace(&mut self, pace: Duration) {
        self.outbox.set_pace(pace);
    }

    /// Reserves the upper bound of a request.
    ///
    /// # Errors
    ///
    /// `NeedGrant` when the tokens held don't cover it. The need then waits.
    pub fn reserve(
        &mut self,
        now: Duration,
        budget: &str,
        amount: Tokens,
    ) -> Result<ReservationId, NeedGrant> {
        let id = self.next_id;
        self.next_id += 1;
        let local = self.budgets.entry(budget.into()).or_default();
        local.count_demand(now, amount, self.demand_window);
        if amount <= local.idle {
            local.take(amount);
            // Asks early, so that the next requests need not wait for a reply.
            let low = match self.lending {
                // Grants for the reserve are due by time.
                Some(_) => false,
                None => local.idle < local.last_demand / 2,
            };
            if !self.draining && local.outstanding.is_none() && now >= local.early_after && low {
                self.due.push_back(budget.into());
            }
            self.reservations
                .insert(id, Reservation::new(budget, amount));
            return Ok(id);
        }
        local.waiting.push_back((id, amount));
        if local.outstanding.is_none() {
            self.due.push_back(budget.into());
        }
        Err(NeedGrant::Waiting(id))
    }

    /// Ends the wait of a need, for example when its caller has gone.
    pub fn cancel(&mut self, budget: &str, need: NeedId) {
        if let Some(local) = self.budgets.get_mut(budget) {
            local.waiting.retain(|(n, _)| *n != need);
        }
    }

    /// Settles a reservation with the actual use and returns the amount
    /// billed, which never exceeds the reservation. An unknown or ended
    /// reservation bills nothing.
    pub fn settle(
        &mut self,
        now: Duration,
        id: ReservationId,
        used: Tokens,
        key: Option<[u8; 16]>,
    ) -> Tokens {
        let Some(r) = self.reservations.remove(&id) else {
            return 0;
        };
        let used = used.min(r.amount);
        if let Some(local) = self.budgets.get_mut(&r.budget) {
            local.reserved -= r.amount;
            local.idle += r.amount - used;
            local.used_at = now;
        }
        self.outbox.settled(now, &r.budget, used, key);
        let recalled = self
            .budgets
            .get(&r.budget)
            .is_some_and(|l| now < l.recalled_until);
        if self.draining || recalled {
            self.give_back(now, &r.budget);
        }
        used
    }

    /// Ends the reservation of a request that was not run.
    pub fn release(&mut self, now: Duration, id: ReservationId) {
        self.settle(now, id, 0, None);
    }

    /// Returns the next grant to propose, or an unanswered one to propose
    /// again. At most one is outstanding for each budget.
    pub fn next_grant(&mut self, now: Duration) -> Option<Grant> {
        self.scan_reserves(now);
        while let Some(budget) = self.due.pop_front() {
            if let Some(grant) = self.make_grant(now, &budget) {
                return Some(grant);
            }
        }
        for budget in self.outstanding.values() {
            if let Some(o) = self
                .budgets
                .get_mut(budget)
                .and_then(|l| l.outstanding.as_mut())
                && now.saturating_sub(o.sent) >= GRANT_RESEND
            {
                o.sent = now;
                return Some(o.grant.clone());
            }
        }
        None
    }

    fn make_grant(&mut self, now: Duration, budget: &str) -> Option<Grant> {
        let local = self.budgets.get(budget)?;
        if local.ask_in_full && local.outstanding.is_none() && local.idle > 0 {
            self.give_back(now, budget);
            let seq = self.outbox.seal_all(now);
            self.budgets.get_mut(budget)?.returned_in = Some(seq);
            self.returning.push(budget.into());
        }
        let local = self.budgets.get_mut(budget)?;
        if local.outstanding.is_some() || local.returned_in.is_some() {
            return None;
        }
        let covers = local
            .cover_limit
            .unwrap_or(usize::MAX)
            .min(local.waiting.len());
        let sum = local
            .waiting
            .iter()
            .take(covers)
            .fold(0, |s: Tokens, (_, t)| s.saturating_add(*t));
        let covered = (covers > 0).then(|| sum.saturating_sub(local.idle).max(1));
        let (need, want) = match &self.lending {
            Some(r) => r.amounts(now, local, covered, self.demand_window, self.draining),
            None => local.amounts(now, covered, self.draining),
        }?;
        let grant = Grant {
            router: self.router.clone(),
            incarnation: self.incarnation,
            seq: self.next_seq,
            budget: budget.into(),
            need,
            want,
            lending: self.lending.is_some(),
        };
        self.next_seq += 1;
        local.outstanding = Some(Outstanding {
            grant: grant.clone(),
            sent: now,
        });
        self.outstanding.insert(grant.seq, budget.into());
        Some(grant)
    }

    /// Takes the reply to a grant. Returns the needs that it ended; others go
    /// on waiting. A reply that was taken before is ignored.
    pub fn on_grant(&mut self, now: Duration, seq: u64, reply: &CommandReply) -> Vec<GrantResult> {
        let Some(budget) = self.outstanding.get(&seq).cloned() else {
            return Vec::new();
        };
        let Some(local) = self.budgets.get_mut(&budget) else {
            return Vec::new();
        };
        let Some(o) = &local.outstanding else {
            return Vec::new();
        };
        let (need, want) = (o.grant.need, o.grant.want);
        let mut results = Vec::new();
        match &reply.reply {
            Some(Reply::Granted(g)) => {
                local.idle = local.idle.saturating_add(g.amount);
                local.cover_limit = None;
                if g.amount == need && need < want && self.lending.is_none() {
                    local.early_after = now + EARLY_PAUSE;
                }
            }
            Some(Reply::Insufficient(i)) => {
                local.early_after = now + EARLY_PAUSE;
                // Control has waited for recalled tokens, so a need that
                // exceeds what there is now can't be met; the others may fit
                // where their sum doesn't.
                let room = i.unspent.saturating_add(local.idle);
                local.waiting.retain(|(need, amount)| {
                    let fits = *amount <= room;
                    if !fits {
                        results.push(GrantResult {
                            need: *need,
                            outcome: Err(GrantRefusal::Insufficient(i.unspent, i.allotted)),
                        });
                    }
                    fits
                });
                let mut sum: Tokens = 0;
                let fit = local
                    .waiting
                    .iter()
                    .take_while(|(_, t)| {
                        sum = sum.saturating_add(*t);
                        sum <= room
                    })
                    .count();
                local.cover_limit = Some(fit.max(1));
            }
            Some(Reply::Refused(r)) if r.code == STALE_GRANT => {}
            Some(Reply::Refused(r)) => {
                local.early_after = now + EARLY_PAUSE;
                for (need, _) in local.waiting.drain(..) {
                    results.push(GrantResult {
                        need,
                        outcome: Err(GrantRefusal::Refused(r.code.clone(), r.message.clone())),
                    });
                }
            }
            // Not an answer to a grant; the grant is sent again.
            _ => return Vec::new(),
        }
        local.outstanding = None;
        self.outstanding.remove(&seq);
        self.serve_waiting(now, &budget, &mut results);
        results
    }

    fn serve_waiting(&mut self, now: Duration, budget: &str, results: &mut Vec<GrantResult>) {
        let Some(local) = self.budgets.get_mut(budget) else {
            return;
        };
        while let Some((need, amount)) = local.waiting.front().copied()
            && amount <= local.idle
        {
            local.waiting.pop_front();
            local.take(amount);
            local.used_at = now;
            // A reservation keeps the number under which it waited.
            self.reservations
                .insert(need, Reservation::new(budget, amount));
            results.push(GrantResult {
                need,
                outcome: Ok(need),
            });
        }
        if local.waiting.is_empty() {
            local.ask_in_full = false;
        } else {
            self.due.push_back(budget.into());
        }
        if self.draining {
            self.give_back(now, budget);
        }
    }

    /// Returns the idle tokens of a budget to control without delay, and those
    /// that come free within the next second.
    pub fn recall(&mut self, now: Duration, budget: &str) {
        if let Some(local) = self.budgets.get_mut(budget) {
            local.recalled_until = now + RECALL_EFFECT;
            local.early_after = now + EARLY_PAUSE;
            local.ask_in_full = !local.waiting.is_empty();
        }
        self.give_back(now, budget);
    }

    fn give_back(&mut self, now: Duration, budget: &str) {
        let Some(local) = self.budgets.get_mut(budget) else {
            return;
        };
        let amount = std::mem::take(&mut local.idle);
        if amount > 0 {
            self.outbox.returned(now, budget, amount);
            self.outbox.hurry();
        }
    }

    /// Returns the oldest report that control has not acknowledged, when it
    /// is due to be sent or sent again. While one is on its way, settlements of
    /// the last 20 ms may still wait for others.
    pub fn next_report(&mut self, now: Duration) -> Option<Report> {
        self.return_idle(now);
        self.outbox.next_report(now)
    }

    fn return_idle(&mut self, now: Duration) {
        if now.saturating_sub(self.scanned) < self.idle / 10 {
            return;
        }
        self.scanned = now;
        let idle = self.idle;
        let outbox = &mut self.outbox;
        self.budgets.retain(|budget, local| {
            if now.saturating_sub(local.used_at) >= idle && local.outstanding.is_none() {
                outbox.returned(now, budget, std::mem::take(&mut local.idle));
                return !local.is_unused();
            }
            true
        });
    }

    /// Whether every settlement so far is in a report, which
    /// [`next_report`](Self::next_report) or [`next_copy`](Self::next_copy) has
    /// sealed.
    pub fn is_sealed(&self) -> bool {
        self.outbox.is_sealed()
    }

    /// Takes control's acknowledgement of every report up to `seq`.
    pub fn on_report_ack(&mut self, _now: Duration, seq: u64) {
        self.outbox.acknowledge(seq);
        self.returning.retain(|budget| {
            let Some(local) = self.budgets.get_mut(budget) else {
                return false;
            };
            if local.returned_in.is_some_and(|n| n > seq) {
                return true;
            }
            local.returned_in = None;
            self.due.push_back(budget.clone());
            false
        });
    }

    /// Returns the next report to copy to the peer router. Reports are copied
    /// in order, and also while control is unreachable.
    pub fn next_copy(&mut self, now: Duration) -> Option<Report> {
        self.outbox.next_copy(now)
    }

    /// Copies every unacknowledged report again, after the peer has changed
    /// or its session was replaced.
    pub fn copy_again(&mut self) {
        self.outbox.copy_again();
    }

    /// Returns a copy without entries, which tells the peer the last report
    /// that control has acknowledged.
    pub fn copy_release(&self) -> Report {
        self.outbox.release()
    }

    /// Returns everything unreserved, now and whenever a reservation ends.
    pub fn drain(&mut self, now: Duration) {
        self.draining = true;
        let budgets: Vec<BudgetId> = self.budgets.keys().cloned().collect();
        for budget in budgets {
            self.give_back(now, &budget);
        }
    }

    /// Returns what is held of a budget.
    pub fn holding(&self, budget: &str) -> Holding {
        self.budgets
            .get(budget)
            .map_or_else(Holding::default, |l| Holding {
                idle: l.idle,
                reserved: l.reserved,
                waiting: l.waiting.iter().fold(0, |s, (_, t)| s.saturating_add(*t)),
            })
    }

    /// Returns the count of budgets with tokens, needs or grants here.
    pub fn budgets(&self) -> usize {
        self.budgets.len()
    }

    /// Returns the count of reservations in flight.
    pub fn reservations(&self) -> usize {
        self.reservations.len()
    }

    /// Returns the count of reports that control has not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.outbox.unacknowledged()
    }

    /// Whether control knows everything: no reservation, grant, settlement or
    /// return is left. The incarnation can then be closed without loss.
    pub fn is_settled(&self) -> bool {
        self.outbox.is_empty()
            && self.reservations.is_empty()
            && self.outstanding.is_empty()
            && self.budgets.values().all(|l| l.idle == 0)
    }
}
