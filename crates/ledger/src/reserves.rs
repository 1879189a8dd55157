//! Locked reserves of router incarnations, and their return after a router's death.
//!
//! A router that is cut off goes on using its tokens and can't report it, so what it
//! held counts as used when it dies. It keeps most of its idle tokens locked, though:
//! they become usable only some seconds after its last contact with control. If the
//! leader can bound the time from that contact to the end of the process, the tokens
//! that were still locked then go back to the budget.

use anvilloft_types::Tokens;
use anvilloft_wire::command::LockedAmount;
use anvilloft_wire::command::LockedReserve;
use anvilloft_wire::command::Ok as OkReply;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::Report;
use anvilloft_wire::command::RestoreReserve;
use anvilloft_wire::command::lock_more;
use anvilloft_wire::command::still_locked;
use anvilloft_wire::command::unlock;

use crate::code;
use crate::code::refused;
use crate::ledger::Ledger;
use crate::routers::Phase;

/// What one incarnation last reported as locked.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Reserve {
    /// Log index of the last applied report; 0 if there is none.
    #[prost(uint64, tag = "1")]
    last_report_index: u64,
    /// Log index of the report whose acknowledgement the lock counts from.
    #[prost(uint64, tag = "2")]
    contact_index: u64,
    #[prost(message, optional, tag = "3")]
    locked: Option<LockedReserve>,
    /// Whether the reserve was restored. A delayed report of the dead process must not
    /// lock tokens again, or they would be returned twice.
    #[prost(bool, tag = "4")]
    restored: bool,
    /// Tokens that were restored and that a delayed report may still return.
    #[prost(message, repeated, tag = "5")]
    restored_amounts: Vec<LockedAmount>,
}

impl Reserve {
    /// Records the next report of the incarnation, at an index of the log.
    ///
    /// A report without a lock leaves the lock of an earlier one in force, as the
    /// router keeps to it until it has reported another.
    pub(crate) fn record_report(&mut self, index: u64, report: &Report) {
        let new_lock = report.locked.as_ref().filter(|l| {
            l.acked_seq.checked_add(1) == Some(report.seq)
                && self.last_report_index > 0
                && !self.restored
        });
        if let Some(locked) = new_lock {
            self.contact_index = self.last_report_index;
            self.locked = Some(locked.clone());
        } else if let Some(locked) = &mut self.locked {
            // Returned tokens may have been locked.
            for e in report.entries.iter().filter(|e| e.returned > 0) {
                unlock(&mut locked.amounts, &e.budget);
            }
        }
        self.last_report_index = index;
    }

    /// Records a grant, whose part that no request needs is locked.
    pub(crate) fn record_grant(&mut self, budget: &str, reserve: Tokens) {
        if let Some(locked) = &mut self.locked {
            lock_more(&mut locked.amounts, budget, reserve);
        }
    }

    /// Returns how many of the tokens that a report returns were not restored before.
    pub(crate) fn new_returns(&mut self, budget: &str, returned: Tokens) -> Tokens {
        let amounts = &mut self.restored_amounts;
        let Ok(at) = amounts.binary_search_by(|l| l.budget.as_str().cmp(budget)) else {
            return returned;
        };
        let restored = amounts[at].amount.min(returned);
        amounts[at].amount -= restored;
        returned - restored
    }

    /// Returns the locked amount of a budget.
    pub(crate) fn locked_of(&self, budget: &str) -> Tokens {
        let amounts = self.locked.as_ref().map_or(&[][..], |l| &l.amounts);
        let found = amounts.binary_search_by(|l| l.budget.as_str().cmp(budget));
        found.map_or(0, |at| amounts[at].amount)
    }

    /// Returns the locked amounts.
    pub(crate) fn locked_amounts(&self) -> impl Iterator<Item = &LockedAmount> {
        self.locked.iter().flat_map(|l| &l.amounts)
    }

    /// Returns the sum of the locked amounts.
    pub(crate) fn total(&self) -> Tokens {
        self.locked_amounts()
            .fold(0, |sum: Tokens, l| sum.saturating_add(l.amount))
    }

    /// Returns the log index of the contact from which the lock counts.
    pub(crate) fn contact_index(&self) -> Option<u64> {
        self.locked.as_ref().map(|_| self.contact_index)
    }
}

impl Ledger {
    /// Returns the tokens to their budgets that a dead incarnation had still locked.
    /// The rest stays frozen until the incarnation is closed.
    pub(crate) fn restore_reserve(&mut self, c: &RestoreReserve) -> Reply {
        let Some(inc) = self.routers.get_mut(&c.router, c.incarnation) else {
            return refused(
                code::UNKNOWN_INCARNATION,
                "the router incarnation is unknown",
            );
        };
        if inc.phase != Phase::Lost || !inc.superseded {
            return refused(
                code::STILL_ALIVE,
                "the process of the router incarnation may still run",
            );
        }
        let Some(locked) = inc.reserve.locked.take() else {
            return Reply::Ok(OkReply {});
        };
        inc.reserve.restored = true;
        for l in &locked.amounts {
            let (Some(allotment), Some(account)) = (
                inc.allotments.get_mut(l.budget.as_str()),
                self.accounts.by_name.get_mut(l.budget.as_str()),
            ) else {
                continue;
            };
            let unused = still_locked(l.amount, locked.unlock_ms, c.died_within_ms);
            let unused = unused.min(allotment.amount);
            if account.amounts.return_allotted(unused).is_some() {
                allotment.amount -= unused;
                lock_more(&mut inc.reserve.restored_amounts, &l.budget, unused);
            }
            if allotment.amount == 0 {
                account.remove_holder(&c.router, c.incarnation);
            }
            account.apply_published_total();
        }
        Reply::Ok(OkReply {})
    }
}
