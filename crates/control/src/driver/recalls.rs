//! Grants that a budget can't cover while other routers hold allotments.
//!
//! A grant is checked before it is proposed, because the ledger's answer to a
//! grant is final: a resent grant gets its first answer. A grant that would be
//! refused waits up to `recall_wait` while the holders are asked to return
//! what is idle; then it is proposed whatever the budget holds.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use anvilloft_ledger::Ledger;
use anvilloft_types::prelude::*;
use anvilloft_wire::command::Grant;

/// Most grants that wait. Further ones are proposed at once.
const MAX_HELD: usize = 4_096;

/// A grant that waits, with whatever belongs to it.
pub(crate) struct Held<W> {
    pub(crate) grant: Grant,
    pub(crate) with: W,
    until: Duration,
}

/// Grants of one budget that are proposed and not yet applied.
#[derive(Debug, Default)]
struct InFlight {
    count: u64,
    amount: Tokens,
}

#[derive(Debug)]
struct Recall {
    until: Duration,
    holders: Vec<(RouterId, Incarnation)>,
}

/// Grants that wait, and the recalls on their behalf.
pub(crate) struct Recalls<W> {
    held: VecDeque<Held<W>>,
    in_flight: HashMap<BudgetId, InFlight>,
    recalls: BTreeMap<BudgetId, Recall>,
    /// Recalls that weren't passed on yet.
    fresh: Vec<(RouterId, Incarnation, BudgetId)>,
}

impl<W> Default for Recalls<W> {
    fn default() -> Self {
        Self {
            held: VecDeque::new(),
            in_flight: HashMap::new(),
            recalls: BTreeMap::new(),
            fresh: Vec::new(),
        }
    }
}

impl<W> Recalls<W> {
    /// Takes a grant. Returns it when it is to be proposed now.
    pub(crate) fn offer(
        &mut self,
        now: Duration,
        ledger: &Ledger,
        grant: Grant,
        with: W,
    ) -> Option<(Grant, W)> {
        if self.covers(ledger, &grant) || self.held.len() >= MAX_HELD {
            return Some((grant, with));
        }
        // A lost holder can't return anything.
        let holders: Vec<(RouterId, Incarnation)> = ledger
            .holders(&grant.budget)
            .into_iter()
            .filter(|(router, incarnation, amount)| {
                *amount > 0
                    && (router, *incarnation) != (&grant.router, grant.incarnation)
                    && ledger.is_incarnation_open(router, *incarnation)
            })
            .map(|(router, incarnation, _)| (router, incarnation))
            .collect();
        if holders.is_empty() && !self.in_flight.contains_key(&grant.budget) {
            return Some((grant, with));
        }
        let config = ledger.config();
        let wait = Duration::from_millis(config.value("recall_wait_ms", ""));
        if !holders.is_empty() {
            let budget = &grant.budget;
            let is_new = self.recalls.get(budget).is_none_or(|r| r.until <= now);
            if is_new {
                let fresh = holders.iter().map(|(r, i)| (r.clone(), *i, budget.clone()));
                self.fresh.extend(fresh);
            }
            // Long enough to reach each holder with its next lease answer.
            let renew = Duration::from_millis(config.value("lease_renew_ms", ""));
            let until = now + wait.max(renew * 2);
            let recall = Recall { until, holders };
            self.recalls.insert(budget.clone(), recall);
        }
        self.held.push_back(Held {
            grant,
            with,
            until: now + wait,
        });
        None
    }

    /// Records that a grant was proposed. Returns the most that the ledger may
    /// allot for it, to be passed to [`applied`](Self::applied).
    pub(crate) fn proposed(&mut self, ledger: &Ledger, grant: &Grant) -> Tokens {
        let most = most(ledger, grant);
        let f = self.in_flight.entry(grant.budget.clone()).or_default();
        f.count += 1;
        f.amount = f.amount.saturating_add(most);
        most
    }

    /// Records that a proposed grant was applied.
    pub(crate) fn applied(&mut self, budget: &str, most: Tokens) {
        if let Some(f) = self.in_flight.get_mut(budget) {
            f.count = f.count.saturating_sub(1);
            f.amount = f.amount.saturating_sub(most);
            if f.count == 0 {
                self.in_flight.remove(budget);
            }
        }
    }

    /// Returns the next grant to propose, because returns have arrived or its
    /// wait has passed.
    pub(crate) fn next_ready(&mut self, now: Duration, ledger: &Ledger) -> Option<(Grant, W)> {
        let at = self
            .held
            .iter()
            .position(|h| now >= h.until || self.covers(ledger, &h.grant))?;
        self.held.remove(at).map(|h| (h.grant, h.with))
    }

    /// Returns when the first wait passes.
    pub(crate) fn deadline(&self) -> Option<Duration> {
        self.held.iter().map(|h| h.until).min()
    }

    /// Returns the budgets that a router shall return, for its lease answer.
    pub(crate) fn of_router(
        &mut self,
        now: Duration,
        router: &str,
        incarnation: Incarnation,
    ) -> Vec<BudgetId> {
        self.recalls.retain(|_, r| r.until > now);
        self.recalls
            .iter()
            .filter(|(_, r)| {
                r.holders
                    .iter()
                    .any(|(n, i)| n == router && *i == incarnation)
            })
            .map(|(budget, _)| budget.clone())
            .collect()
    }

    /// Returns the recalls that began since the last call.
    pub(crate) fn take_fresh(&mut self) -> Vec<(RouterId, Incarnation, BudgetId)> {
        std::mem::take(&mut self.fresh)
    }

    /// Returns how many grants wait.
    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    /// Forgets everything, and returns what belonged to the grants.
    pub(crate) fn clear(&mut self) -> Vec<W> {
        let held = std::mem::take(&mut self.held);
        *self = Self::default();
        held.into_iter().map(|h| h.with).collect()
    }

    /// Whether the budget covers the need after all grants in flight. Unknown
    /// budgets are left to the ledger.
    fn covers(&self, ledger: &Ledger, grant: &Grant) -> bool {
        let Some(amounts) = ledger.amounts(&grant.budget) else {
            return true;
        };
        let taken = self.in_flight.get(&grant.budget).map_or(0, |f| f.amount);
        amounts.unspent.saturating_sub(taken) >= grant.need.max(1)
    }
}

fn most(ledger: &Ledger, grant: &Grant) -> Tokens {
    let config = ledger.config();
    let team = config.budget(&grant.budget).map_or("", |b| b.team.as_str());
    let unspent = ledger.amounts(&grant.budget).map_or(0, |a| a.unspent);
    if unspent < config.value("small_budget_tokens", team) {
        grant.need.max(1)
    } else {
        grant.want.max(grant.need).max(1)
    }
}
