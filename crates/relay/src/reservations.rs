//! Tokens of budgets at this router, and the requests that wait for them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use anvilloft_budget::Allotments;
use anvilloft_budget::GrantRefusal;
use anvilloft_budget::GrantResult;
use anvilloft_budget::NeedId;
use anvilloft_budget::ReservationId;
use anvilloft_budget::ReservePolicy;
use anvilloft_budget::Usage;
use anvilloft_directory::HOLDERS;
use anvilloft_types::lock;
use anvilloft_types::prelude::*;
use anvilloft_wire::CommandReply;
use anvilloft_wire::command::Grant;
use anvilloft_wire::command::Report;
use anvilloft_wire::control::LoanGrant;
use anvilloft_wire::control::LoanRequest;
use anvilloft_wire::frame::LoanEnd;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::loans::OpenLoans;

/// Window over which demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);
/// Reserve that bridges partitions from control, which last about 9 s. It is
/// complete after 4 s of steady demand.
const RESERVE: ReservePolicy = ReservePolicy {
    grant_interval: Duration::from_millis(1_000),
    target: Duration::from_secs(10),
    growth: Duration::from_millis(2_500),
    working: Duration::from_secs(1),
    unlock: Duration::from_secs(3),
    max_grant_latency: Duration::from_millis(25),
};
/// Interval between reports of settlements. Each report is an entry of the
/// replicated log.
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of requests that wait for a grant.
const MAX_WAITING: usize = 512;

type Outcome = Result<ReservationId, GrantRefusal>;

/// Why tokens could not be reserved immediately.
pub(crate) enum ReserveError {
    /// The request is queued for a grant. The receiver gets the outcome.
    Queued(NeedId, oneshot::Receiver<Outcome>),
    /// Too many requests wait for a grant.
    QueueFull,
}

struct State {
    allotments: Allotments,
    loans: OpenLoans,
    waiting: HashMap<NeedId, oneshot::Sender<Outcome>>,
}

impl State {
    /// Wakes the requests whose needs have an outcome. Tokens of requests that no longer
    /// wait are released.
    fn deliver(&mut self, now: Duration, results: Vec<GrantResult>) {
        for GrantResult { need, outcome } in results {
            let reserved = outcome.as_ref().ok().copied();
            let delivered = self
                .waiting
                .remove(&need)
                .is_some_and(|tx| tx.send(outcome).is_ok());
            if let (false, Some(id)) = (delivered, reserved) {
                self.allotments.release(now, id);
            }
        }
    }
}

/// Allotments of this router, its loans to peers, and the requests that wait for a
/// grant.
pub(crate) struct TokenReservations {
    state: Mutex<State>,
    /// Wakes the control thread, as a grant or a report may be due.
    pub(crate) changed: Notify,
}

impl TokenReservations {
    pub(crate) fn new(router: &str, incarnation: Incarnation) -> Self {
        Self {
            state: Mutex::new(State {
                allotments: new_allotments(router, incarnation),
                loans: OpenLoans::default(),
                waiting: HashMap::new(),
            }),
            changed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Resets the allotments for another incarnation. Must be called before any
    /// grant was made.
    pub(crate) fn reset_incarnation(&self, router: &str, incarnation: Incarnation) {
        self.lock().allotments = new_allotments(router, incarnation);
    }

    /// Counts a request as demand of its budget. Returns whether this router has too few
    /// of them for a reserve of its own.
    pub(crate) fn record_request(&self, now: Duration, budget: &str, amount: Tokens) -> bool {
        self.lock().allotments.record_request(now, budget, amount)
    }

    /// Sets the number of routers of this router's data centre.
    pub(crate) fn set_centre_routers(&self, count: usize) {
        self.lock().allotments.set_centre_routers(count, HOLDERS);
    }

    /// Sets whether another router holds this router's reserve of a budget.
    pub(crate) fn set_drawn(&self, budget: &str, is_drawn: bool) {
        self.lock().allotments.set_drawn(budget, is_drawn);
    }

    /// Reserves tokens of the allotment, or queues the request for a grant. The request
    /// must have been counted.
    pub(crate) fn reserve(
        &self,
        now: Duration,
        budget: &str,
        amount: Tokens,
    ) -> Result<ReservationId, ReserveError> {
        let mut state = self.lock();
        let reserved = state.allotments.reserve_recorded(now, budget, amount);
        let result = match reserved {
            Ok(id) => Ok(id),
            Err(need) if state.waiting.len() >= MAX_WAITING => {
                state.allotments.cancel(budget, need.need());
                Err(ReserveError::QueueFull)
            }
            Err(need) => {
                let (tx, rx) = oneshot::channel();
                state.waiting.insert(need.need(), tx);
                Err(ReserveError::Queued(need.need(), rx))
            }
        };
        drop(state);
        if result.is_err() {
            // A reservation from the allotment doesn't wake the control thread, as
            // reserves grow and reports are sent on a timer.
            self.changed.notify_one();
        }
        result
    }

    /// Removes a request from the queue. Tokens that were reserved for it in the
    /// meantime are released.
    pub(crate) fn cancel_wait(&self, now: Duration, budget: &str, need: NeedId) {
        let mut state = self.lock();
        state.waiting.remove(&need);
        state.allotments.cancel(budget, need);
        // A reservation has the same id as the need that it satisfies.
        state.allotments.release(now, need);
    }

    /// Reserves unreserved tokens of the allotment, at most `max`. Returns the
    /// reservation and its amount.
    pub(crate) fn reserve_up_to(
        &self,
        now: Duration,
        budget: &str,
        max: Tokens,
    ) -> Option<(ReservationId, Tokens)> {
        self.lock().allotments.reserve_up_to(now, budget, max)
    }

    /// Lends unreserved tokens to a peer, at most `max`. The grant is empty when
    /// nothing can be lent.
    pub(crate) fn lend(&self, now: Duration, peer: &str, req: &LoanRequest) -> LoanGrant {
        let (budget, max) = (req.budget.as_str(), req.max_tokens);
        let mut state = self.lock();
        if req.as_holder {
            state.allotments.record_draw(now, budget, max);
        }
        if !state.loans.has_capacity() {
            return LoanGrant::default();
        }
        let Some((loan_id, amount)) = state.allotments.reserve_up_to(now, budget, max) else {
            return LoanGrant::default();
        };
        state.loans.add(now, loan_id, peer, amount);
        LoanGrant { loan_id, amount }
    }

    /// Settles a loan to a peer.
    pub(crate) fn end_loan(&self, now: Duration, peer: &str, end: &LoanEnd) {
        let mut state = self.lock();
        if state.loans.remove(end.loan_id, peer) {
            state.allotments.settle(now, end.loan_id, end.used, None);
        }
    }

    /// Settles overdue loans, whose end no peer reported, as fully used. Returns
    /// their number.
    pub(crate) fn settle_overdue_loans(&self, now: Duration) -> usize {
        let mut state = self.lock();
        let overdue = state.loans.remove_overdue(now);
        for (loan, amount) in &overdue {
            state.allotments.settle(now, *loan, *amount, None);
        }
        overdue.len()
    }

    /// Settles a reservation with the tokens that were used.
    pub(crate) fn settle(&self, now: Duration, id: ReservationId, used: Tokens) {
        self.lock().allotments.settle(now, id, used, None);
    }

    /// Records what a request used of the tokens that were reserved for it.
    pub(crate) fn record_usage(&self, budget: &str, reserved: Tokens, used: Tokens) {
        self.lock().allotments.record_usage(budget, reserved, used);
    }

    /// Returns what the latest requests of a budget used of their reservations.
    pub(crate) fn usage(&self, budget: &str) -> Usage {
        self.lock().allotments.usage(budget)
    }

    /// Returns the next grant command that is due.
    pub(crate) fn next_grant(&self, now: Duration) -> Option<Grant> {
        self.lock().allotments.next_grant(now)
    }

    /// Returns the next report of settlements that is due.
    pub(crate) fn next_report(&self, now: Duration) -> Option<Report> {
        self.lock().allotments.next_report(now)
    }

    /// Applies the reply to a grant command, and wakes the requests that waited for
    /// it. Tokens of requests that no longer wait are released.
    pub(crate) fn on_grant(&self, now: Duration, seq: u64, reply: &CommandReply) {
        let mut state = self.lock();
        let results = state.allotments.on_grant(now, seq, reply);
        state.deliver(now, results);
    }

    /// Records that control has applied a report, and wakes the requests that a lock
    /// held up.
    pub(crate) fn on_report_ack(&self, now: Duration, seq: u64) {
        let mut state = self.lock();
        let results = state.allotments.on_report_ack(now, seq);
        state.deliver(now, results);
    }

    /// Handles a recall of unreserved tokens of a budget.
    pub(crate) fn recall(&self, now: Duration, budget: &str) {
        self.lock().allotments.recall(now, budget);
    }

    /// Returns all unreserved tokens, now and as requests end.
    pub(crate) fn drain(&self, now: Duration) {
        self.lock().allotments.drain(now);
        self.changed.notify_one();
    }

    /// Returns whether no tokens are held and every report was acknowledged.
    pub(crate) fn is_settled(&self) -> bool {
        self.lock().allotments.is_settled()
    }
}

fn new_allotments(router: &str, incarnation: Incarnation) -> Allotments {
    let mut allotments = Allotments::new(router.to_owned(), incarnation);
    allotments.set_demand_window(DEMAND_WINDOW);
    allotments.set_report_delay(REPORT_DELAY);
    allotments.set_lending(RESERVE);
    allotments
}
