//! Tokens of teams at this router, for requests that wait for them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use anvilloft_budget::Allotments;
use anvilloft_budget::GrantRefusal;
use anvilloft_budget::GrantResult;
use anvilloft_budget::NeedId;
use anvilloft_budget::ReservationId;
use anvilloft_budget::ReservePolicy;
use anvilloft_types::lock;
use anvilloft_types::prelude::*;
use anvilloft_wire::CommandReply;
use anvilloft_wire::command::Grant;
use anvilloft_wire::command::Report;
use anvilloft_wire::control::LoanGrant;
use anvilloft_wire::frame::LoanEnd;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::loans::Loans;

/// Time over which demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);
/// Reserve for partitions from control, which last some 9 s. It is complete
/// after 4 s of even demand.
const RESERVE: ReservePolicy = ReservePolicy {
    grant_interval: Duration::from_millis(1_000),
    target: Duration::from_secs(10),
    growth: Duration::from_millis(2_500),
};
/// Time between two reports of settlements. Each is an entry of the replicated
/// log.
const REPORT_PACE: Duration = Duration::from_millis(300);
/// Requests that wait for a grant, at most.
const MAX_WAITING: usize = 512;

type Outcome = Result<ReservationId, GrantRefusal>;

/// Why no tokens could be reserved now.
pub(crate) enum NoTokens {
    /// The request waits for a grant.
    Wait(NeedId, oneshot::Receiver<Outcome>),
    /// Too many wait.
    Crowded,
}

struct Inner {
    allotments: Allotments,
    loans: Loans,
    waiting: HashMap<NeedId, oneshot::Sender<Outcome>>,
}

/// Allotments with the requests that wait for them.
pub(crate) struct Purse {
    inner: Mutex<Inner>,
    /// Wakes the control thread: a grant or a report may be due.
    pub(crate) changed: Notify,
}

impl Purse {
    pub(crate) fn new(router: &str, incarnation: Incarnation) -> Self {
        Self {
            inner: Mutex::new(Inner {
                allotments: allotments(router, incarnation),
                loans: Loans::default(),
                waiting: HashMap::new(),
            }),
            changed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    /// Starts over under another incarnation, before any grant was made.
    pub(crate) fn restart(&self, router: &str, incarnation: Incarnation) {
        self.lock().allotments = allotments(router, incarnation);
    }

    pub(crate) fn reserve(
        &self,
        now: Duration,
        budget: &str,
        amount: Tokens,
    ) -> Result<ReservationId, NoTokens> {
        let mut inner = self.lock();
        let reserved = inner.allotments.reserve(now, budget, amount);
        let result = match reserved {
            Ok(id) => Ok(id),
            Err(need) if inner.waiting.len() >= MAX_WAITING => {
                inner.allotments.cancel(budget, need.need());
                Err(NoTokens::Crowded)
            }
            Err(need) => {
                let (tx, rx) = oneshot::channel();
                inner.waiting.insert(need.need(), tx);
                Err(NoTokens::Wait(need.need(), rx))
            }
        };
        drop(inner);
        if result.is_err() {
            // What was held covers the others; reserves grow and reports leave
            // by time, so the control thread is left asleep.
            self.changed.notify_one();
        }
        result
    }

    /// Ends the wait of a request. Tokens that were reserved meanwhile are
    /// released.
    pub(crate) fn give_up(&self, now: Duration, budget: &str, need: NeedId) {
        let mut inner = self.lock();
        inner.waiting.remove(&need);
        inner.allotments.cancel(budget, need);
        // A reservation keeps the number under which it waited.
        inner.allotments.release(now, need);
    }

    /// Reserves what is idle, at most `most`.
    pub(crate) fn reserve_up_to(
        &self,
        now: Duration,
        budget: &str,
        most: Tokens,
    ) -> Option<(ReservationId, Tokens)> {
        self.lock().allotments.reserve_up_to(now, budget, most)
    }

    /// Lends what is idle to a peer, at most `most`.
    pub(crate) fn lend(&self, now: Duration, peer: &str, budget: &str, most: Tokens) -> LoanGrant {
        let mut inner = self.lock();
        if !inner.loans.has_room() {
            return LoanGrant::default();
        }
        let Some((loan, amount)) = inner.allotments.reserve_up_to(now, budget, most) else {
            return LoanGrant::default();
        };
        inner.loans.add(now, loan, peer, amount);
        LoanGrant {
            loan_id: loan,
            amount,
        }
    }

    /// Ends a loan to a peer.
    pub(crate) fn end_loan(&self, now: Duration, peer: &str, end: &LoanEnd) {
        let mut inner = self.lock();
        if inner.loans.end(end.loan_id, peer) {
            inner.allotments.settle(now, end.loan_id, end.used, None);
        }
    }

    /// Settles loans whose end was never told as used up. Returns their count.
    pub(crate) fn close_loans(&self, now: Duration) -> usize {
        let mut inner = self.lock();
        let overdue = inner.loans.take_overdue(now);
        for (loan, amount) in &overdue {
            inner.allotments.settle(now, *loan, *amount, None);
        }
        overdue.len()
    }

    pub(crate) fn settle(&self, now: Duration, id: ReservationId, used: Tokens) {
        self.lock().allotments.settle(now, id, used, None);
    }

    pub(crate) fn next_grant(&self, now: Duration) -> Option<Grant> {
        self.lock().allotments.next_grant(now)
    }

    pub(crate) fn next_report(&self, now: Duration) -> Option<Report> {
        self.lock().allotments.next_report(now)
    }

    pub(crate) fn on_grant(&self, now: Duration, seq: u64, reply: &CommandReply) {
        let mut inner = self.lock();
        for GrantResult { need, outcome } in inner.allotments.on_grant(now, seq, reply) {
            let reserved = outcome.as_ref().ok().copied();
            let sent = inner
                .waiting
                .remove(&need)
                .is_some_and(|tx| tx.send(outcome).is_ok());
            if let (false, Some(id)) = (sent, reserved) {
                inner.allotments.release(now, id);
            }
        }
    }

    pub(crate) fn on_report_ack(&self, now: Duration, seq: u64) {
        self.lock().allotments.on_report_ack(now, seq);
    }

    pub(crate) fn recall(&self, now: Duration, budget: &str) {
        self.lock().allotments.recall(now, budget);
    }

    /// Gives everything unreserved back, now and as requests end.
    pub(crate) fn drain(&self, now: Duration) {
        self.lock().allotments.drain(now);
        self.changed.notify_one();
    }

    pub(crate) fn is_settled(&self) -> bool {
        self.lock().allotments.is_settled()
    }
}

fn allotments(router: &str, incarnation: Incarnation) -> Allotments {
    let mut allotments = Allotments::new(router.to_owned(), incarnation);
    allotments.set_demand_window(DEMAND_WINDOW);
    allotments.set_report_delay(REPORT_PACE);
    allotments.set_lending(RESERVE);
    allotments
}
