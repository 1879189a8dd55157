//! Allotments of one router incarnation: the tokens that it holds, by budget.

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
use anvilloft_wire::command::Insufficient;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::Report;
use quick_error::quick_error;

use crate::outbox::Outbox;
use crate::usage::Usage;

mod lending;
mod local;
mod locks;

pub use lending::ReservePolicy;
use local::LocalBudget;
use local::OutstandingGrant;
use locks::Locks;

/// Id of a reservation, unique within one `Allotments`.
pub type ReservationId = u64;
/// Id of a need: a reservation that waits for a grant. Unique within one
/// `Allotments`; the reservation that covers a need keeps its id.
pub type NeedId = u64;

/// Interval after which an unanswered grant request is sent again. Longer than the
/// time that control waits for recalled tokens.
const GRANT_RESEND_INTERVAL: Duration = Duration::from_millis(1_000);
/// Default of [`Allotments::set_demand_window`].
const DEFAULT_DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Time without grant requests ahead of need, after a recall, or after a grant was
/// refused or had only its minimum amount: the budget is then nearly spent, and its tokens should not be
/// scattered over routers.
const PREFETCH_PAUSE: Duration = Duration::from_secs(10);
/// How long a recall stays in effect: tokens that come free meanwhile are returned
/// as well. Longer than control waits for them; otherwise a request that ends during
/// the wait would leave its unused tokens at the wrong router.
const RECALL_DURATION: Duration = Duration::from_secs(1);
/// Default of [`Allotments::set_idle_timeout`], the same as the built-in
/// `allotment_idle_ms`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Refusal code after which the grant is requested again with a new sequence number.
const STALE_GRANT: &str = "stale_grant";

quick_error! {
    /// The router's allotment doesn't cover a reservation.
    ///
    /// The need waits for a grant until [`Allotments::on_grant`] returns its result or
    /// [`Allotments::cancel`] cancels it.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum NeedGrant {
        /// Id of the need.
        Waiting(need: NeedId) {
            display("reservation {} waits for a grant", need)
        }
    }
}

impl NeedGrant {
    /// Returns the id of the need.
    pub fn need(&self) -> NeedId {
        match self {
            Self::Waiting(need) => *need,
        }
    }
}

/// Tokens of a budget that doesn't cover a need, as control told them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// Tokens that are not allotted.
    pub unspent: Tokens,
    /// Tokens allotted to routers.
    pub allotted: Tokens,
    /// Of these, idle tokens that were locked. Control gets them back from routers that
    /// it reaches again, or that have died.
    pub locked: Tokens,
}

impl From<Insufficient> for Shortage {
    fn from(i: Insufficient) -> Self {
        Self {
            unspent: i.unspent,
            allotted: i.allotted,
            locked: i.locked,
        }
    }
}

impl Shortage {
    /// Returns the shortage without allotted tokens that were found idle.
    #[must_use]
    pub fn without(&self, idle: Tokens) -> Self {
        Self {
            allotted: self.allotted.saturating_sub(idle),
            ..*self
        }
    }

    /// Returns whether a request may get its tokens once others have ended. `usage` is
    /// what the requests of the budget use of their reservations.
    pub fn may_cover(&self, needed: Tokens, usage: &Usage) -> bool {
        let in_use = self.allotted.saturating_sub(self.locked);
        let returned = usage.max_return(in_use);
        let total = self.unspent.saturating_add(self.locked);
        total.saturating_add(returned) >= needed
    }
}

quick_error! {
    /// Why a need was refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum GrantRefusal {
        /// The budget doesn't have enough unspent tokens.
        Insufficient(budget: Shortage) {
            display("the budget has only {} unspent tokens, and {} allotted to routers", budget.unspent, budget.allotted)
        }
        /// Control refused the grant.
        Refused(code: String, message: String) {
            display("{}: {}", code, message)
        }
    }
}

/// Outcome of a waiting need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantResult {
    /// Id of the need.
    pub need: NeedId,
    /// The reservation, or why there is none.
    pub outcome: Result<ReservationId, GrantRefusal>,
}

/// Tokens of one budget that this router holds or waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Tokens held and not reserved.
    pub idle: Tokens,
    /// Tokens reserved for requests in flight.
    pub reserved: Tokens,
    /// Sum of the needs that wait for a grant.
    pub waiting: Tokens,
}

/// Tokens of one budget that this router holds, by whether they can be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalBalance {
    /// Idle and usable.
    pub unlocked: Tokens,
    /// Idle and locked.
    pub locked: Tokens,
    /// Reserved for requests in flight, loans included.
    pub in_use: Tokens,
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

/// Allotments, reservations and unacknowledged settlements of one router
/// incarnation.
#[derive(Debug)]
pub struct Allotments {
    router: RouterId,
    incarnation: Incarnation,
    // Ordered, so that the same calls produce the same grants and reports.
    budgets: BTreeMap<BudgetId, LocalBudget>,
    // Bounded by the number of requests in flight, which admission limits.
    reservations: HashMap<ReservationId, Reservation>,
    // Budgets that may need a grant.
    due: VecDeque<BudgetId>,
    // Budgets with an outstanding grant, by its sequence number.
    outstanding: BTreeMap<u64, BudgetId>,
    // Budgets with `returned_in` set.
    returning: Vec<BudgetId>,
    next_id: u64,
    next_seq: u64,
    outbox: Outbox,
    idle_timeout: Duration,
    demand_window: Duration,
    lending: Option<ReservePolicy>,
    locks: Locks,
    // Number of requests in one to two windows for which this router has a reserve of
    // its own.
    min_reserve_requests: u32,
    // Whether the data centre has more routers than holders, so that the unlocked parts of
    // their reserves add up.
    has_many_routers: bool,
    // Moving average of the time from a grant request to its reply, in contact.
    grant_latency: Duration,
    // When control was first heard after the contact was last lost.
    contact_since: Duration,
    // When idle tokens were last looked for.
    last_idle_scan: Duration,
    next_reserve_scan: Duration,
    draining: bool,
}

impl Allotments {
    /// Creates the empty allotments of a new incarnation.
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
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            demand_window: DEFAULT_DEMAND_WINDOW,
            lending: None,
            locks: Locks::default(),
            min_reserve_requests: lending::MIN_RESERVE_REQUESTS,
            has_many_routers: false,
            grant_latency: Duration::ZERO,
            contact_since: Duration::ZERO,
            last_idle_scan: Duration::ZERO,
            next_reserve_scan: Duration::ZERO,
            draining: false,
        }
    }

    /// Sets the time after which an unused allotment is returned.
    pub fn set_idle_timeout(&mut self, timeout: Duration) {
        self.idle_timeout = timeout;
    }

    /// Sets the time over which demand is measured.
    ///
    /// A grant request asks for the demand of two windows, so a longer window lets the
    /// router serve longer during a partition and leaves more tokens idle.
    pub fn set_demand_window(&mut self, window: Duration) {
        self.demand_window = window;
    }

    /// Sets how long settlements are batched before a report is sent. By default the
    /// first is reported at once, and later ones once per round trip.
    pub fn set_report_delay(&mut self, delay: Duration) {
        self.outbox.set_batch_delay(delay);
    }

    /// Reserves the maximum number of tokens that a request can use.
    ///
    /// # Errors
    ///
    /// `NeedGrant` if the idle tokens don't cover it. The need then waits for a grant.
    pub fn reserve(
        &mut self,
        now: Duration,
        budget: &str,
        amount: Tokens,
    ) -> Result<ReservationId, NeedGrant> {
        let local = self.budgets.entry(budget.into()).or_default();
        local.record_demand(now, amount, self.demand_window);
        self.reserve_recorded(now, budget, amount)
    }

    /// Reserves tokens like [`reserve`](Self::reserve), for a request whose demand was
    /// recorded before.
    ///
    /// # Errors
    ///
    /// Same as [`reserve`](Self::reserve).
    pub fn reserve_recorded(
        &mut self,
        now: Duration,
        budget: &str,
        amount: Tokens,
    ) -> Result<ReservationId, NeedGrant> {
        let id = self.next_id;
        self.next_id += 1;
        let local = self.budgets.entry(budget.into()).or_default();
        if amount <= self.locks.usable(now, budget, local.idle) {
            local.reserve(amount);
            // Prefetches a grant, so that the next requests need not wait for it.
            let low = match self.lending {
                // The reserve is filled on a schedule instead.
                Some(_) => false,
                None => local.idle < local.last_demand / 2,
            };
            if !self.draining && local.outstanding.is_none() && now >= local.prefetch_after && low {
                self.due.push_back(budget.into());
            }
            self.reservations
                .insert(id, Reservation::new(budget, amount));
            return Ok(id);
        }
        if self.has_many_routers && local.idle >= amount {
            // Held up by the lock alone, which the next report renews without it.
            self.outbox.request_report(now, budget);
        }
        local.waiting.push_back((id, amount));
        if local.outstanding.is_none() {
            self.due.push_back(budget.into());
        }
        Err(NeedGrant::Waiting(id))
    }

    /// Cancels a need, for example because its caller has disconnected.
    pub fn cancel(&mut self, budget: &str, need: NeedId) {
        if let Some(local) = self.budgets.get_mut(budget) {
            local.waiting.retain(|(n, _)| *n != need);
        }
    }

    /// Settles a reservation with the tokens actually used.
    ///
    /// Returns the amount billed, which never exceeds the reservation. It is 0 for an
    /// unknown or ended reservation.
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
            local.last_used = now;
        }
        self.outbox.add_settlement(now, &r.budget, used, key);
        let recalled = self
            .budgets
            .get(&r.budget)
            .is_some_and(|l| now < l.recalled_until);
        if self.draining || recalled {
            self.return_idle(now, &r.budget);
        }
        used
    }

    /// Releases the reservation of a request that did not run.
    pub fn release(&mut self, now: Duration, id: ReservationId) {
        self.settle(now, id, 0, None);
    }

    /// Returns the next grant request to propose, or an unanswered one to propose
    /// again. At most one is outstanding per budget.
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
                && now.saturating_sub(o.sent_at) >= GRANT_RESEND_INTERVAL
            {
                o.sent_at = now;
                return Some(o.grant.clone());
            }
        }
        None
    }

    /// Returns the grant request for a budget, if it needs one.
    fn make_grant(&mut self, now: Duration, budget: &str) -> Option<Grant> {
        let local = self.budgets.get(budget)?;
        if local.request_in_full && local.outstanding.is_none() && local.idle > 0 {
            self.return_idle(now, budget);
            let seq = self.outbox.seal_all(now);
            self.budgets.get_mut(budget)?.returned_in = Some(seq);
            self.returning.push(budget.into());
        }
        let local = self.budgets.get_mut(budget)?;
        if local.outstanding.is_some() || local.returned_in.is_some() {
            return None;
        }
        let covered_needs = local
            .max_covered_needs
            .unwrap_or(usize::MAX)
            .min(local.waiting.len());
        let sum = local
            .waiting
            .iter()
            .take(covered_needs)
            .fold(0, |s: Tokens, (_, t)| s.saturating_add(*t));
        let usable = self.locks.usable(now, budget, local.idle);
        let missing = (covered_needs > 0).then(|| sum.saturating_sub(usable).max(1));
        let (need, want) = match &self.lending {
            Some(p) => p.grant_amounts(now, local, missing, self.demand_window, self.draining),
            None => local.grant_amounts(now, missing, self.draining),
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
        local.outstanding = Some(OutstandingGrant {
            grant: grant.clone(),
            sent_at: now,
        });
        self.outstanding.insert(grant.seq, budget.into());
        Some(grant)
    }

    /// Handles the reply to a grant request. Returns the needs that it served or
    /// refused; others keep waiting. A duplicate reply is ignored.
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
        let sent_at = o.sent_at;
        self.record_grant_latency(now, sent_at);
        let Some(local) = self.budgets.get_mut(&budget) else {
            return Vec::new();
        };
        let mut results = Vec::new();
        match &reply.reply {
            Some(Reply::Granted(g)) => {
                local.idle = local.idle.saturating_add(g.amount);
                self.locks.on_grant(&budget, g.amount.saturating_sub(need));
                local.max_covered_needs = None;
                if g.amount == need && need < want && self.lending.is_none() {
                    local.prefetch_after = now + PREFETCH_PAUSE;
                }
            }
            Some(Reply::Insufficient(i)) => {
                local.prefetch_after = now + PREFETCH_PAUSE;
                // Control has already waited for recalled tokens, so a need that exceeds
                // the tokens available now is refused. The other needs may fit one by
                // one even if their sum doesn't.
                let usable = self.locks.usable(now, &budget, local.idle);
                let available = i.unspent.saturating_add(usable);
                local.waiting.retain(|(need, amount)| {
                    let fits = *amount <= available;
                    if !fits {
                        results.push(GrantResult {
                            need: *need,
                            outcome: Err(GrantRefusal::Insufficient((*i).into())),
                        });
                    }
                    fits
                });
                let mut sum: Tokens = 0;
                let fitting = local
                    .waiting
                    .iter()
                    .take_while(|(_, t)| {
                        sum = sum.saturating_add(*t);
                        sum <= available
                    })
                    .count();
                local.max_covered_needs = Some(fitting.max(1));
            }
            Some(Reply::Refused(r)) if r.code == STALE_GRANT => {}
            Some(Reply::Refused(r)) => {
                local.prefetch_after = now + PREFETCH_PAUSE;
                for (need, _) in local.waiting.drain(..) {
                    results.push(GrantResult {
                        need,
                        outcome: Err(GrantRefusal::Refused(r.code.clone(), r.message.clone())),
                    });
                }
            }
            // Not the reply to a grant; the grant request is sent again.
            _ => return Vec::new(),
        }
        local.outstanding = None;
        self.outstanding.remove(&seq);
        self.serve_waiting(now, &budget, &mut results);
        results
    }

    /// Reserves tokens for waiting needs in order, as far as the idle tokens suffice.
    fn serve_waiting(&mut self, now: Duration, budget: &str, results: &mut Vec<GrantResult>) {
        let Some(local) = self.budgets.get_mut(budget) else {
            return;
        };
        while let Some((need, amount)) = local.waiting.front().copied()
            && amount <= self.locks.usable(now, budget, local.idle)
        {
            local.waiting.pop_front();
            local.reserve(amount);
            local.last_used = now;
            // The reservation keeps the id of its need.
            self.reservations
                .insert(need, Reservation::new(budget, amount));
            results.push(GrantResult {
                need,
                outcome: Ok(need),
            });
        }
        if local.waiting.is_empty() {
            local.request_in_full = false;
        } else {
            self.due.push_back(budget.into());
        }
        if self.draining {
            self.return_idle(now, budget);
        }
    }

    /// Handles a recall by control: gives back the idle tokens of a budget at once, and
    /// any tokens that come free within the next second.
    pub fn recall(&mut self, now: Duration, budget: &str) {
        if let Some(local) = self.budgets.get_mut(budget) {
            local.recalled_until = now + RECALL_DURATION;
            local.prefetch_after = now + PREFETCH_PAUSE;
            local.request_in_full = !local.waiting.is_empty();
        }
        self.return_idle(now, budget);
    }

    /// Gives back the idle tokens of a budget without waiting for a batch.
    fn return_idle(&mut self, now: Duration, budget: &str) {
        let Some(local) = self.budgets.get_mut(budget) else {
            return;
        };
        let amount = std::mem::take(&mut local.idle);
        if amount > 0 {
            self.locks.on_return(budget);
            self.outbox.add_return(now, budget, amount);
            self.outbox.flush();
        }
    }

    /// Returns the oldest report that control has not acknowledged, if it is due to be
    /// sent or resent. While one is unacknowledged, settlements of the last 20 ms may
    /// still be batched.
    pub fn next_report(&mut self, now: Duration) -> Option<Report> {
        self.return_unused(now);
        self.seal_reports(now);
        self.outbox.next_report(now)
    }

    /// Gives back the idle tokens of budgets that were not used for the idle timeout.
    fn return_unused(&mut self, now: Duration) {
        if now.saturating_sub(self.last_idle_scan) < self.idle_timeout / 10 {
            return;
        }
        self.last_idle_scan = now;
        let timeout = self.idle_timeout;
        let (outbox, locks) = (&mut self.outbox, &mut self.locks);
        self.budgets.retain(|budget, local| {
            if now.saturating_sub(local.last_used) >= timeout && local.outstanding.is_none() {
                let amount = std::mem::take(&mut local.idle);
                locks.on_return(budget);
                outbox.add_return(now, budget, amount);
                return !local.is_unused();
            }
            true
        });
    }

    /// Returns whether every settlement is in a report that
    /// [`next_report`](Self::next_report) or [`next_copy`](Self::next_copy) has
    /// sealed.
    pub fn is_sealed(&self) -> bool {
        self.outbox.is_sealed()
    }

    /// Handles control's acknowledgement of every report up to `seq`. Returns the needs
    /// that a lock held up and that are now served.
    pub fn on_report_ack(&mut self, now: Duration, seq: u64) -> Vec<GrantResult> {
        if self.has_lost_contact(now) {
            self.contact_since = now;
        }
        self.outbox.acknowledge(seq);
        self.locks.on_report_ack(now, seq);
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
        match self.has_many_routers {
            true => self.serve_unlocked(now),
            false => Vec::new(),
        }
    }

    /// Serves the waiting needs that unlocked tokens cover.
    fn serve_unlocked(&mut self, now: Duration) -> Vec<GrantResult> {
        let is_covered = |l: &LocalBudget| l.waiting.front().is_some_and(|(_, t)| *t <= l.idle);
        let covered = self.budgets.iter().filter(|(_, l)| is_covered(l));
        let budgets: Vec<_> = covered.map(|(budget, _)| budget.clone()).collect();
        let mut results = Vec::new();
        for budget in budgets {
            self.serve_waiting(now, &budget, &mut results);
        }
        results
    }

    /// Returns the next report to copy to the peer router. Reports are copied in
    /// order, even while control is unreachable.
    pub fn next_copy(&mut self, now: Duration) -> Option<Report> {
        self.outbox.next_copy(now)
    }

    /// Copies every unacknowledged report again, because the peer has changed or its
    /// session was replaced.
    pub fn resend_copies(&mut self) {
        self.outbox.resend_copies();
    }

    /// Returns the release notice: a copy without entries that tells the peer the last
    /// report that control has acknowledged.
    pub fn release_notice(&self) -> Report {
        self.outbox.release_notice()
    }

    /// Starts draining: gives back all idle tokens, now and whenever a reservation ends.
    pub fn drain(&mut self, now: Duration) {
        self.draining = true;
        let budgets: Vec<BudgetId> = self.budgets.keys().cloned().collect();
        for budget in budgets {
            self.return_idle(now, &budget);
        }
    }

    /// Records what a request used of the tokens that were reserved for it.
    pub fn record_usage(&mut self, budget: &str, reserved: Tokens, used: Tokens) {
        if let Some(local) = self.budgets.get_mut(budget) {
            local.usage.record(reserved, used);
        }
    }

    /// Returns what the latest requests of a budget used of their reservations.
    pub fn usage(&self, budget: &str) -> Usage {
        self.budgets
            .get(budget)
            .map_or_else(Usage::default, |l| l.usage)
    }

    /// Returns the tokens of a budget that this router holds or waits for.
    pub fn holding(&self, budget: &str) -> Holding {
        self.budgets
            .get(budget)
            .map_or_else(Holding::default, |l| Holding {
                idle: l.idle,
                reserved: l.reserved,
                waiting: l.waiting.iter().fold(0, |s, (_, t)| s.saturating_add(*t)),
            })
    }

    /// Returns the number of budgets with tokens, needs or grants here.
    pub fn budget_count(&self) -> usize {
        self.budgets.len()
    }

    /// Returns the number of reservations in flight.
    pub fn reservation_count(&self) -> usize {
        self.reservations.len()
    }

    /// Returns the number of reports that control has not acknowledged.
    pub fn unacknowledged_reports(&self) -> usize {
        self.outbox.unacknowledged()
    }

    /// Returns whether nothing is left to report: no reservation, grant, settlement or
    /// idle token. The incarnation can then be closed without loss.
    pub fn is_settled(&self) -> bool {
        self.outbox.is_empty()
            && self.reservations.is_empty()
            && self.outstanding.is_empty()
            && self.budgets.values().all(|l| l.idle == 0)
    }
}
