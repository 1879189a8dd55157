//! Where the tokens of each budget are.
//!
//! Handles the load of an operator, or of the leader's metrics, that reads the balances
//! of thousands of budgets while many routers have died at once: the sums visit each
//! budget and each allotment of a dead router once, and locked amounts only of live ones.

use std::collections::BTreeMap;

use anvilloft_types::BudgetId;
use anvilloft_types::Tokens;
use anvilloft_wire::control::Query;
use serde_json::Value;
use serde_json::json;

use crate::accounts::Account;
use crate::accounts::Amounts;
use crate::ledger::Ledger;
use crate::publication::prepaid_team;
use crate::routers::Phase;
use crate::routers::RouterIncarnation;

/// Tokens held by dead or lost routers, by why they are not available.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeadHoldings {
    /// At routers that were lost, but whose processes may still run.
    pub unconfirmed: Tokens,
    /// Locked at routers whose processes have ended. What was still locked when they
    /// ended is restored once the leader can bound that time.
    pub restorable: Tokens,
    /// Unlocked or in use at routers whose processes have ended. Held until late
    /// settlements have had time to arrive, and counted as used after that.
    pub usable_at_death: Tokens,
}

impl DeadHoldings {
    /// Returns the sum.
    pub fn total(&self) -> Tokens {
        self.unconfirmed
            .saturating_add(self.restorable)
            .saturating_add(self.usable_at_death)
    }

    fn add(&mut self, other: &Self) {
        self.unconfirmed = self.unconfirmed.saturating_add(other.unconfirmed);
        self.restorable = self.restorable.saturating_add(other.restorable);
        self.usable_at_death = self.usable_at_death.saturating_add(other.usable_at_death);
    }

    /// Returns what an incarnation holds of an allotment, or `None` if it is not lost.
    fn of(inc: &RouterIncarnation, budget: &str, amount: Tokens) -> Option<Self> {
        let locked = inc.reserve.locked_of(budget).min(amount);
        match (inc.phase, inc.superseded) {
            (Phase::Open | Phase::Closed, _) => None,
            (Phase::Lost, false) => Some(Self {
                unconfirmed: amount,
                ..Self::default()
            }),
            (Phase::Lost, true) => Some(Self {
                restorable: locked,
                usable_at_death: amount - locked,
                ..Self::default()
            }),
        }
    }
}

/// Where the tokens of one budget, or of all budgets, are. `settled`, `unspent`, `live`,
/// `locked` and `dead` add up to `topped_up`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Balance {
    /// Sum of all top-ups and corrections.
    pub topped_up: Tokens,
    /// Tokens that are neither allotted nor spent.
    pub unspent: Tokens,
    /// Tokens spent.
    pub settled: Tokens,
    /// Part of `settled` that dead routers held and that counts as used, because they
    /// may have used it without a report.
    pub forfeited: Tokens,
    /// Tokens at live routers that are unlocked or in use by requests in flight. Only the
    /// routers can tell the two apart.
    pub live: Tokens,
    /// Tokens locked at live routers.
    pub locked: Tokens,
    /// Tokens at dead or lost routers.
    pub dead: DeadHoldings,
}

impl Balance {
    fn of(amounts: &Amounts, locked: Tokens, dead: DeadHoldings) -> Self {
        Self {
            topped_up: amounts.topped_up,
            unspent: amounts.unspent,
            settled: amounts.settled,
            forfeited: amounts.forfeited,
            live: amounts.allotted.saturating_sub(locked + dead.total()),
            locked,
            dead,
        }
    }

    /// Returns the tokens that dead routers took from the budget, for now or for good.
    pub fn lost(&self) -> Tokens {
        self.forfeited.saturating_add(self.dead.total())
    }
}

impl Ledger {
    /// Returns where the tokens of a budget are.
    pub fn balance(&self, budget: &str) -> Option<Balance> {
        let account = self.accounts.by_name.get(budget)?;
        Some(self.balance_of(budget, account))
    }

    fn balance_of(&self, budget: &str, account: &Account) -> Balance {
        let (mut locked, mut dead): (Tokens, _) = (0, DeadHoldings::default());
        for (router, incarnation) in &account.holders {
            let Some(inc) = self.routers.get(router, *incarnation) else {
                continue;
            };
            let amount = inc.allotments.get(budget).map_or(0, |a| a.amount);
            match DeadHoldings::of(inc, budget, amount) {
                Some(holdings) => dead.add(&holdings),
                None => locked += inc.reserve.locked_of(budget).min(amount),
            }
        }
        Balance::of(&account.amounts, locked, dead)
    }

    /// Returns where the tokens of all budgets are.
    pub fn total_balance(&self) -> Balance {
        let mut sums = Amounts::default();
        for a in self.accounts.by_name.values().map(|a| &a.amounts) {
            sums.topped_up = sums.topped_up.saturating_add(a.topped_up);
            sums.unspent = sums.unspent.saturating_add(a.unspent);
            sums.allotted = sums.allotted.saturating_add(a.allotted);
            sums.settled = sums.settled.saturating_add(a.settled);
            sums.forfeited = sums.forfeited.saturating_add(a.forfeited);
        }
        let open = self.routers.all().filter(|i| i.phase == Phase::Open);
        let locked = open.fold(0, |sum: Tokens, inc| {
            let of_inc = inc.reserve.locked_amounts().map(|l| {
                let held = inc.allotments.get(l.budget.as_str());
                l.amount.min(held.map_or(0, |a| a.amount))
            });
            of_inc.fold(sum, Tokens::saturating_add)
        });
        let mut dead = DeadHoldings::default();
        for (_, holdings) in self.dead_holdings() {
            dead.add(&holdings);
        }
        Balance::of(&sums, locked, dead)
    }

    /// Returns the budgets of which dead or lost routers hold tokens, the largest amount
    /// first.
    pub fn dead_holdings(&self) -> Vec<(BudgetId, DeadHoldings)> {
        let mut by_budget: BTreeMap<&str, DeadHoldings> = BTreeMap::new();
        for inc in self.routers.all().filter(|i| i.phase == Phase::Lost) {
            for (budget, allotment) in &inc.allotments {
                if let Some(holdings) = DeadHoldings::of(inc, budget, allotment.amount)
                    && holdings.total() > 0
                {
                    by_budget.entry(budget).or_default().add(&holdings);
                }
            }
        }
        let mut rows: Vec<_> = by_budget
            .into_iter()
            .map(|(budget, holdings)| (budget.to_owned(), holdings))
            .collect();
        // The sort is stable, so equal amounts stay in the order of their names.
        rows.sort_by_key(|(_, holdings)| std::cmp::Reverse(holdings.total()));
        rows
    }

    /// Answers `balances`: the budgets whose names are greater than `q.name`, sorted.
    pub(crate) fn query_balances(&self, q: &Query, limit: usize) -> Value {
        let accounts = &self.accounts.by_name;
        let owner = |budget: &str| match prepaid_team(budget) {
            Some(team) => Some(team.to_owned()),
            None => self.config.budget(budget).map(|b| b.team.clone()),
        };
        let mut names: Vec<&str> = accounts
            .keys()
            .map(AsRef::as_ref)
            .filter(|name| *name > q.name.as_str())
            .filter(|name| q.team.is_empty() || owner(name).as_deref() == Some(&q.team))
            .collect();
        names.sort_unstable();
        names
            .into_iter()
            .take(limit)
            .filter_map(|name| Some((name, self.balance(name)?)))
            .map(|(name, b)| {
                json!({
                    "name": name,
                    "topped_up": b.topped_up,
                    "settled": b.settled,
                    "forfeited": b.forfeited,
                    "unspent": b.unspent,
                    "live": b.live,
                    "locked": b.locked,
                    "unconfirmed": b.dead.unconfirmed,
                    "restorable": b.dead.restorable,
                    "usable_at_death": b.dead.usable_at_death,
                })
            })
            .collect()
    }
}
