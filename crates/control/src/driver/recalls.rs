//! Grants that wait until other routers return allotments of the same budget.
//!
//! A grant is checked before it is proposed because the ledger's answer is
//! final: a resent grant gets the same answer again. A grant that the budget
//! can't cover is held for up to `recall_wait_ms` while the routers with
//! allotments are asked to return idle tokens. Then it is proposed regardless
//! of the balance.
//!
//! Lending routers borrow idle tokens from each other, but those that are locked can
//! only come back through control. So a grant of theirs is held only if the locked
//! tokens of routers in contact cover what is missing.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use anvilloft_ledger::Ledger;
use anvilloft_types::prelude::*;
use anvilloft_wire::command::Grant;

/// Need of a grant that a lending router requests ahead of need. Nothing is recalled for
/// one.
const NEED_OF_PREFETCH: Tokens = 1;
/// Maximum number of held grants. Further ones are proposed at once.
const MAX_HELD_GRANTS: usize = 4_096;

/// A grant that waits for returned tokens, with the caller's context.
pub(crate) struct HeldGrant<W> {
    pub(crate) grant: Grant,
    pub(crate) context: W,
    deadline: Duration,
}

/// Tokens that the ledger may allot for a proposed grant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProposedAmount {
    need: Tokens,
    /// Maximum beyond the need.
    extra: Tokens,
}

/// Number and total tokens of one budget's grants that are proposed and not yet
/// applied.
#[derive(Debug, Default)]
struct InFlight {
    count: u64,
    need: Tokens,
    extra: Tokens,
}

/// A request to the holders of a budget's allotments to return idle tokens.
#[derive(Debug)]
struct Recall {
    /// When the holders were last asked.
    sent_at: Duration,
    expires: Duration,
    holders: Vec<(RouterId, Incarnation)>,
}

/// Held grants, and the recalls of the budgets that they need.
pub(crate) struct Recalls<W> {
    held: VecDeque<HeldGrant<W>>,
    in_flight: HashMap<BudgetId, InFlight>,
    recalls: BTreeMap<BudgetId, Recall>,
    /// Recalls not sent to the routers yet.
    unsent: Vec<(RouterId, Incarnation, BudgetId)>,
}

impl<W> Default for Recalls<W> {
    fn default() -> Self {
        Self {
            held: VecDeque::new(),
            in_flight: HashMap::new(),
            recalls: BTreeMap::new(),
            unsent: Vec::new(),
        }
    }
}

impl<W> Recalls<W> {
    /// Holds a grant until tokens are returned. Returns the grant if it is to
    /// be proposed now instead. `silent` returns the routers out of contact, sorted.
    pub(crate) fn try_hold(
        &mut self,
        now: Duration,
        ledger: &Ledger,
        silent: impl FnOnce() -> Vec<RouterId>,
        grant: Grant,
        context: W,
    ) -> Option<(Grant, W)> {
        if self.covers(ledger, &grant) || self.held.len() >= MAX_HELD_GRANTS {
            return Some((grant, context));
        }
        let holders = match grant.lending {
            true => self.locked_holders(ledger, &silent(), &grant),
            false => idle_holders(ledger, &grant),
        };
        let config = ledger.config();
        let wait = Duration::from_millis(config.value("recall_wait_ms", ""));
        let earlier = self.recalls.get(&grant.budget);
        let asked_at = earlier.filter(|r| r.expires > now).map(|r| r.sent_at);
        if grant.lending && asked_at.is_some_and(|at| now >= at + wait) {
            // Holders that have returned nothing since then have nothing idle.
            return Some((grant, context));
        }
        let is_awaited = !grant.lending && self.in_flight.contains_key(&grant.budget);
        if holders.is_empty() && !is_awaited {
            return Some((grant, context));
        }
        // While a recall is in effect, its holders report each end of a request by itself,
        // so one of locked reserves isn't prolonged.
        let is_prolonged = !grant.lending || asked_at.is_none();
        if is_prolonged && !holders.is_empty() {
            let budget = &grant.budget;
            if asked_at.is_none() {
                let unsent = holders.iter().map(|(r, i)| (r.clone(), *i, budget.clone()));
                self.unsent.extend(unsent);
            }
            // Long enough for each holder to get it with its next lease
            // renewal.
            let renew = Duration::from_millis(config.value("lease_renew_ms", ""));
            let expires = now + wait.max(renew * 2);
            let recall = Recall {
                sent_at: asked_at.unwrap_or(now),
                expires,
                holders,
            };
            self.recalls.insert(budget.clone(), recall);
        }
        let asked_at = asked_at.filter(|_| grant.lending).unwrap_or(now);
        self.held.push_back(HeldGrant {
            grant,
            context,
            deadline: asked_at + wait,
        });
        None
    }

    /// Records that a grant was proposed. Returns the maximum number of tokens
    /// that the ledger may allot for it, to be passed to
    /// [`record_applied`](Self::record_applied).
    pub(crate) fn record_proposed(&mut self, ledger: &Ledger, grant: &Grant) -> ProposedAmount {
        let proposed = max_allotment(ledger, grant);
        let f = self.in_flight.entry(grant.budget.clone()).or_default();
        f.count += 1;
        f.need = f.need.saturating_add(proposed.need);
        f.extra = f.extra.saturating_add(proposed.extra);
        proposed
    }

    /// Records that a proposed grant was applied or could not be proposed.
    pub(crate) fn record_applied(&mut self, budget: &str, proposed: ProposedAmount) {
        if let Some(f) = self.in_flight.get_mut(budget) {
            f.count = f.count.saturating_sub(1);
            f.need = f.need.saturating_sub(proposed.need);
            f.extra = f.extra.saturating_sub(proposed.extra);
            if f.count == 0 {
                self.in_flight.remove(budget);
            }
        }
    }

    /// Removes and returns the next held grant to propose: one that its budget
    /// now covers, or whose wait has ended.
    pub(crate) fn next_ready(&mut self, now: Duration, ledger: &Ledger) -> Option<(Grant, W)> {
        let index = self
            .held
            .iter()
            .position(|h| now >= h.deadline || self.covers(ledger, &h.grant))?;
        self.held.remove(index).map(|h| (h.grant, h.context))
    }

    /// Returns the earliest deadline of a held grant.
    pub(crate) fn deadline(&self) -> Option<Duration> {
        self.held.iter().map(|h| h.deadline).min()
    }

    /// Returns the budgets whose idle tokens a router is asked to return, for
    /// its lease answer.
    pub(crate) fn for_router(
        &mut self,
        now: Duration,
        router: &str,
        incarnation: Incarnation,
    ) -> Vec<BudgetId> {
        self.recalls.retain(|_, r| r.expires > now);
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

    /// Returns the recalls that were added since the last call.
    pub(crate) fn take_unsent(&mut self) -> Vec<(RouterId, Incarnation, BudgetId)> {
        std::mem::take(&mut self.unsent)
    }

    /// Returns the number of held grants.
    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    /// Clears all state, and returns the contexts of the held grants.
    pub(crate) fn clear(&mut self) -> Vec<W> {
        let held = std::mem::take(&mut self.held);
        *self = Self::default();
        held.into_iter().map(|h| h.context).collect()
    }

    /// Returns the tokens of a grant's budget that are unspent once all grants in flight
    /// are applied, or `None` for an unknown budget.
    fn available(&self, ledger: &Ledger, grant: &Grant) -> Option<Tokens> {
        let amounts = ledger.amounts(&grant.budget)?;
        let reserved = self.in_flight.get(&grant.budget).map_or(0, |f| {
            let extra = match grant.lending {
                // What lending routers get beyond their needs is bounded in total.
                true => f.extra.min(amounts.reserve_room()),
                false => f.extra,
            };
            f.need.saturating_add(extra)
        });
        Some(amounts.unspent.saturating_sub(reserved))
    }

    /// Returns whether the budget covers the grant's need once all grants in
    /// flight are applied. Unknown budgets are left to the ledger.
    fn covers(&self, ledger: &Ledger, grant: &Grant) -> bool {
        self.available(ledger, grant)
            .is_none_or(|available| available >= grant.need.max(1))
    }

    /// Returns the routers in contact with locked tokens of a grant's budget, the
    /// grant's own included, if these tokens cover what is missing.
    fn locked_holders(
        &self,
        ledger: &Ledger,
        silent: &[RouterId],
        grant: &Grant,
    ) -> Vec<(RouterId, Incarnation)> {
        if grant.need <= NEED_OF_PREFETCH {
            return Vec::new();
        }
        let available = self.available(ledger, grant).unwrap_or(0);
        let mut reserves = ledger.locked_reserves(&grant.budget);
        reserves.retain(|(router, _, _)| silent.binary_search(router).is_err());
        let locked = reserves
            .iter()
            .fold(0, |sum: Tokens, (_, _, t)| sum.saturating_add(*t));
        if available.saturating_add(locked) < grant.need {
            return Vec::new();
        }
        let holders = reserves.into_iter();
        holders.map(|(router, inc, _)| (router, inc)).collect()
    }
}

/// Returns the other open holders of a grant's budget. Those in lost incarnations can't
/// return anything.
fn idle_holders(ledger: &Ledger, grant: &Grant) -> Vec<(RouterId, Incarnation)> {
    let is_asked = |router: &RouterId, incarnation: Incarnation, amount: Tokens| {
        amount > 0
            && (router, incarnation) != (&grant.router, grant.incarnation)
            && ledger.is_incarnation_open(router, incarnation)
    };
    ledger
        .holders(&grant.budget)
        .into_iter()
        .filter(|(router, incarnation, amount)| is_asked(router, *incarnation, *amount))
        .map(|(router, incarnation, _)| (router, incarnation))
        .collect()
}

/// Returns the maximum number of tokens that the ledger may allot for a grant.
fn max_allotment(ledger: &Ledger, grant: &Grant) -> ProposedAmount {
    let config = ledger.config();
    let team = config.budget(&grant.budget).map_or("", |b| b.team.as_str());
    let unspent = ledger.amounts(&grant.budget).map_or(0, |a| a.unspent);
    let need = grant.need.max(1);
    let is_exact = !grant.lending && unspent < config.value("small_budget_tokens", team);
    let extra = match is_exact {
        true => 0,
        false => grant.want.saturating_sub(need),
    };
    ProposedAmount { need, extra }
}
