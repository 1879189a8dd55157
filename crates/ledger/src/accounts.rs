//! Budget amounts: top-ups, grants, reports and billed request keys.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use anvilloft_types::Incarnation;
use anvilloft_types::RouterId;
use anvilloft_types::Tokens;
use anvilloft_wire::command::Grant;
use anvilloft_wire::command::Granted;
use anvilloft_wire::command::Insufficient;
use anvilloft_wire::command::Ok as OkReply;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::Report;
use anvilloft_wire::command::ReportEntry;
use anvilloft_wire::command::TopUp;

use crate::code;
use crate::code::refused;
use crate::ledger::Ledger;
use crate::ledger::drain_expired;
use crate::routers::Allotment;
use crate::routers::Phase;
use crate::routers::RouterIncarnation;
use crate::validate::MAX_REASON_BYTES;
use crate::validate::check_name;

/// Maximum total of top-ups of one budget, in tokens. With it, no sum of the
/// parts of a budget can overflow.
const MAX_TOPPED_UP: Tokens = i64::MAX as Tokens;
/// Divisor of the remaining tokens of a budget. Routers that lend tokens to
/// each other may hold the resulting share beyond what their requests need.
const RESERVE_DIVISOR: Tokens = 2;
/// Time after the loss of a router, in milliseconds, within which its reserve is restored
/// if that is possible.
const RESTORE_WAIT_MS: u64 = 5_000;
/// Maximum number of top-up ids kept for detecting resends.
const MAX_TOP_UP_IDS: usize = 4_194_304;
/// Maximum number of billed request keys. At the limit the oldest key is
/// evicted before its retention ends, and counted, because a settlement can't
/// be refused.
const MAX_REQUEST_KEYS: usize = 4_194_304;

/// Amounts of one budget, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Amounts {
    /// Sum of all top-ups and corrections.
    pub topped_up: Tokens,
    /// Tokens that are neither allotted nor spent.
    pub unspent: Tokens,
    /// Tokens held by router incarnations.
    pub allotted: Tokens,
    /// Tokens spent by requests.
    pub settled: Tokens,
    /// Tokens of served requests that were not billed, because the budget was
    /// spent before the settlement arrived. Not part of `topped_up`.
    pub written_off: Tokens,
    /// Part of `settled` that dead routers held and that counts as used, because they
    /// may have used it without a report.
    pub forfeited: Tokens,
}

impl Amounts {
    /// Returns how many more tokens lending routers may get beyond what their requests
    /// need.
    pub fn reserve_room(&self) -> Tokens {
        let reserve = self.unspent.saturating_add(self.allotted) / RESERVE_DIVISOR;
        reserve.saturating_sub(self.allotted)
    }

    // Sets all amounts. Panics if the parts don't add up to the total.
    fn replace(&mut self, topped_up: Tokens, unspent: Tokens, allotted: Tokens, settled: Tokens) {
        let sum = unspent
            .checked_add(allotted)
            .and_then(|s| s.checked_add(settled));
        assert_eq!(
            sum,
            Some(topped_up),
            "topped_up = unspent + allotted + settled"
        );
        self.topped_up = topped_up;
        self.unspent = unspent;
        self.allotted = allotted;
        self.settled = settled;
    }

    // Adds unspent tokens, up to the maximum total.
    fn add(&mut self, amount: Tokens) -> Option<()> {
        let topped_up = self.topped_up.checked_add(amount)?;
        if topped_up > MAX_TOPPED_UP {
            return None;
        }
        let unspent = self.unspent.checked_add(amount)?;
        self.replace(topped_up, unspent, self.allotted, self.settled);
        Some(())
    }

    // Removes unspent tokens.
    fn subtract(&mut self, amount: Tokens) -> Option<()> {
        let topped_up = self.topped_up.checked_sub(amount)?;
        let unspent = self.unspent.checked_sub(amount)?;
        self.replace(topped_up, unspent, self.allotted, self.settled);
        Some(())
    }

    // Moves unspent tokens to the allotted ones.
    fn allot(&mut self, amount: Tokens) -> Option<()> {
        let unspent = self.unspent.checked_sub(amount)?;
        let allotted = self.allotted.checked_add(amount)?;
        self.replace(self.topped_up, unspent, allotted, self.settled);
        Some(())
    }

    /// Moves allotted tokens to the settled ones.
    pub(crate) fn settle(&mut self, amount: Tokens) -> Option<()> {
        let allotted = self.allotted.checked_sub(amount)?;
        let settled = self.settled.checked_add(amount)?;
        self.replace(self.topped_up, self.unspent, allotted, settled);
        Some(())
    }

    /// Counts the tokens of a dead router as used.
    pub(crate) fn forfeit(&mut self, amount: Tokens) -> Option<()> {
        self.settle(amount)?;
        self.forfeited = self.forfeited.saturating_add(amount);
        Some(())
    }

    /// Moves allotted tokens back to the unspent ones.
    pub(crate) fn return_allotted(&mut self, amount: Tokens) -> Option<()> {
        let allotted = self.allotted.checked_sub(amount)?;
        let unspent = self.unspent.checked_add(amount)?;
        self.replace(self.topped_up, unspent, allotted, self.settled);
        Some(())
    }

    // Settles tokens that are not allotted (any more) from the unspent ones, or
    // writes them off when too few are unspent.
    fn settle_from_unspent(&mut self, amount: Tokens) {
        match self.unspent.checked_sub(amount) {
            Some(unspent) => {
                let settled = self.settled.saturating_add(amount);
                self.replace(self.topped_up, unspent, self.allotted, settled);
            }
            None => self.written_off = self.written_off.saturating_add(amount),
        }
    }
}

/// The amounts of one budget and the incarnations that hold its tokens.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Account {
    pub(crate) amounts: Amounts,
    /// Router incarnations that hold tokens, sorted.
    pub(crate) holders: Vec<(Arc<str>, Incarnation)>,
    /// Sum of everything paid in, if a published route table sets it. `None` for
    /// budgets with single top-ups.
    pub(crate) published_total: Option<Tokens>,
}

impl Account {
    /// Adjusts `topped_up` to the published total. Allotted and spent tokens
    /// can't be taken back, so a lower total takes full effect only as routers
    /// return tokens.
    pub(crate) fn apply_published_total(&mut self) {
        let Some(total) = self.published_total else {
            return;
        };
        let amounts = &mut self.amounts;
        let changed = match total.checked_sub(amounts.topped_up) {
            Some(increase) => amounts.add(increase),
            None => amounts.subtract((amounts.topped_up - total).min(amounts.unspent)),
        };
        debug_assert!(changed.is_some());
    }

    pub(crate) fn add_holder(&mut self, router: &Arc<str>, incarnation: Incarnation) {
        let holder = (router.clone(), incarnation);
        if let Err(i) = self.holders.binary_search(&holder) {
            self.holders.insert(i, holder);
        }
    }

    pub(crate) fn remove_holder(&mut self, router: &str, incarnation: Incarnation) {
        if let Ok(i) = self
            .holders
            .binary_search_by(|(r, n)| (r.as_ref(), *n).cmp(&(router, incarnation)))
        {
            self.holders.remove(i);
        }
    }
}

/// An applied top-up, kept to detect resends and for the history.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct TopUpRecord {
    #[prost(uint64, tag = "1")]
    pub(crate) at_ms: u64,
    #[prost(message, required, tag = "2")]
    pub(crate) top_up: TopUp,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Accounts {
    pub(crate) by_name: HashMap<Arc<str>, Account>,
    pub(crate) top_ups: HashMap<String, TopUpRecord>,
    /// Times and ids of top-ups, oldest first.
    pub(crate) top_up_queue: VecDeque<(u64, String)>,
    /// Tokens billed under each request key.
    pub(crate) request_keys: HashMap<[u8; 16], Tokens>,
    /// Billing times and request keys, oldest first.
    pub(crate) request_key_queue: VecDeque<(u64, [u8; 16])>,
    /// Number of request keys evicted before their retention ended.
    pub(crate) request_keys_evicted: u64,
    /// Tokens settled on budgets that don't exist.
    pub(crate) written_off_unknown: Tokens,
    /// Tokens that routers reported beyond their allotments. 0 unless a router
    /// is faulty.
    pub(crate) reported_excess: Tokens,
}

impl Accounts {
    pub(crate) fn get(&self, budget: &str) -> Option<&Amounts> {
        self.by_name.get(budget).map(|a| &a.amounts)
    }

    /// Adds an empty account for a budget unless there is one.
    pub(crate) fn open(&mut self, budget: &str) {
        if !self.by_name.contains_key(budget) {
            self.by_name.insert(budget.into(), Account::default());
        }
    }

    /// Sets the sum of everything paid into a budget. Adds an account for the
    /// budget if there is none.
    pub(crate) fn set_published_total(&mut self, budget: &str, total: Tokens) {
        self.open(budget);
        if let Some(account) = self.by_name.get_mut(budget) {
            account.published_total = Some(total.min(MAX_TOPPED_UP));
            account.apply_published_total();
        }
    }

    pub(crate) fn remove(&mut self, budget: &str) {
        self.by_name.remove(budget);
    }

    // Bills tokens under a request key, and returns those that exceed what was billed
    // under it before: a caller whose stream broke off may get the whole answer with a
    // retry.
    fn bill_key(&mut self, key: [u8; 16], tokens: Tokens, now_ms: u64) -> Tokens {
        if let Some(billed) = self.request_keys.get_mut(&key) {
            let excess = tokens.saturating_sub(*billed);
            *billed += excess;
            return excess;
        }
        self.request_keys.insert(key, tokens);
        self.request_key_queue.push_back((now_ms, key));
        if self.request_key_queue.len() > MAX_REQUEST_KEYS
            && let Some((_, oldest)) = self.request_key_queue.pop_front()
        {
            self.request_keys.remove(&oldest);
            self.request_keys_evicted = self.request_keys_evicted.saturating_add(1);
        }
        tokens
    }

    pub(crate) fn expire(&mut self, now_ms: u64, top_up_keep_ms: u64, key_keep_ms: u64) {
        let top_ups = &mut self.top_ups;
        drain_expired(
            &mut self.top_up_queue,
            |(at, _)| *at,
            now_ms,
            top_up_keep_ms,
            |(_, id)| {
                top_ups.remove(&id);
            },
        );
        let keys = &mut self.request_keys;
        drain_expired(
            &mut self.request_key_queue,
            |(at, _)| *at,
            now_ms,
            key_keep_ms,
            |(_, key)| {
                keys.remove(&key);
            },
        );
    }
}

impl Ledger {
    /// Returns the amounts of a budget.
    pub fn amounts(&self, budget: &str) -> Option<Amounts> {
        self.accounts.get(budget).copied()
    }

    /// Returns the open and lost incarnations that hold tokens of a budget, with
    /// their amounts.
    pub fn holders(&self, budget: &str) -> Vec<(RouterId, Incarnation, Tokens)> {
        let Some(account) = self.accounts.by_name.get(budget) else {
            return Vec::new();
        };
        account
            .holders
            .iter()
            .map(|(router, incarnation)| {
                let amount = self
                    .routers
                    .get(router, *incarnation)
                    .and_then(|i| i.allotments.get(budget))
                    .map_or(0, |a| a.amount);
                (router.to_string(), *incarnation, amount)
            })
            .collect()
    }

    /// Returns the open incarnations that hold locked tokens of a budget, with the
    /// amounts. Unlike other idle tokens, they can't be lent.
    pub fn locked_reserves(&self, budget: &str) -> Vec<(RouterId, Incarnation, Tokens)> {
        let Some(account) = self.accounts.by_name.get(budget) else {
            return Vec::new();
        };
        let locked_of = |(router, incarnation): &(Arc<str>, Incarnation)| {
            let inc = self.routers.get(router, *incarnation)?;
            let locked = inc.reserve.locked_of(budget);
            let is_held = inc.phase == Phase::Open && locked > 0;
            is_held.then(|| (router.to_string(), *incarnation, locked))
        };
        account.holders.iter().filter_map(locked_of).collect()
    }

    /// Returns the locked tokens of a budget that may be returned or restored.
    fn locked_total(&self, budget: &str) -> Tokens {
        let holders = self.accounts.by_name.get(budget).map(|a| &a.holders);
        let may_return = |i: &&RouterIncarnation| match i.phase {
            Phase::Open => true,
            Phase::Lost => self.now_ms.saturating_sub(i.since_ms) < RESTORE_WAIT_MS,
            Phase::Closed => false,
        };
        holders
            .into_iter()
            .flatten()
            .filter_map(|(router, incarnation)| self.routers.get(router, *incarnation))
            .filter(may_return)
            .fold(0, |sum: Tokens, i| {
                sum.saturating_add(i.reserve.locked_of(budget))
            })
    }

    /// Applies a grant.
    pub(crate) fn grant(&mut self, c: &Grant) -> Reply {
        match self.allot(c) {
            Reply::Insufficient(refusal) => Reply::Insufficient(Insufficient {
                locked: self.locked_total(&c.budget),
                ..refusal
            }),
            reply => reply,
        }
    }

    pub(crate) fn top_up(&mut self, c: &TopUp) -> Reply {
        if let Err((code, message)) = check_name(&c.id) {
            return refused(code, message);
        }
        if c.reason.len() > MAX_REASON_BYTES || c.author.len() > MAX_REASON_BYTES {
            return refused(
                code::OUT_OF_RANGE,
                format!("a reason and an author have at most {MAX_REASON_BYTES} bytes"),
            );
        }
        if let Some(applied) = self.accounts.top_ups.get(&c.id) {
            if applied.top_up.budget == c.budget && applied.top_up.amount == c.amount {
                return Reply::Ok(OkReply {});
            }
            return refused(
                code::TOP_UP_ID_REUSED,
                format!("top-up {} was applied with another budget or amount", c.id),
            );
        }
        if c.amount == 0 {
            return refused(code::ZERO_AMOUNT, "the amount of a top-up must not be zero");
        }
        if self.accounts.top_ups.len() >= MAX_TOP_UP_IDS {
            return refused(
                code::TABLE_FULL,
                format!("at most {MAX_TOP_UP_IDS} top-up ids are kept"),
            );
        }
        let Some(account) = self.accounts.by_name.get_mut(c.budget.as_str()) else {
            return unknown_budget(&c.budget);
        };
        let tokens = c.amount.unsigned_abs();
        if c.amount > 0 {
            if account.amounts.add(tokens).is_none() {
                return refused(code::OVERFLOW, "the total of the budget would be too large");
            }
        } else if account.amounts.subtract(tokens).is_none() {
            return refused(
                code::INSUFFICIENT_UNSPENT,
                format!(
                    "the budget has only {} unspent tokens",
                    account.amounts.unspent
                ),
            );
        }
        self.accounts
            .top_up_queue
            .push_back((self.now_ms, c.id.clone()));
        self.accounts.top_ups.insert(
            c.id.clone(),
            TopUpRecord {
                at_ms: self.now_ms,
                top_up: c.clone(),
            },
        );
        Reply::Ok(OkReply {})
    }

    fn allot(&mut self, c: &Grant) -> Reply {
        let now_ms = self.now_ms;
        let team = self.budget_team(&c.budget);
        let Some(inc) = self.routers.get_mut(&c.router, c.incarnation) else {
            return unknown_incarnation(&c.router, c.incarnation);
        };
        // A resent grant gets the first reply even if the incarnation has been
        // lost since: the tokens are allotted, and the router must learn of them.
        let last = inc.allotments.get(c.budget.as_str());
        if let Some(allotment) = last
            && allotment.grant_seq == c.seq
        {
            return allotment.reply();
        }
        let newest = last.map_or(0, |a| a.grant_seq).max(inc.stale_grant_seq);
        match inc.phase {
            Phase::Open => {}
            Phase::Lost => {
                // The incarnation may open again. A delayed copy of this grant
                // must not allot tokens then, as the router no longer waits for it.
                inc.stale_grant_seq = inc.stale_grant_seq.max(c.seq);
                return refused(code::INCARNATION_LOST, "the router incarnation is lost");
            }
            Phase::Closed => {
                return refused(code::INCARNATION_CLOSED, "the router incarnation is closed");
            }
        }
        // A router has at most one grant in flight for each budget, so one with a
        // lower number is a delayed copy of a grant that was answered before.
        if c.seq <= newest {
            return refused(
                code::STALE_GRANT,
                format!("grant {} is older than grant {newest}", c.seq),
            );
        }
        let (Some(account), Some(team)) = (self.accounts.by_name.get_mut(c.budget.as_str()), team)
        else {
            // If the budget is created later, a delayed copy of this grant must
            // not allot tokens that the router doesn't know of.
            inc.stale_grant_seq = inc.stale_grant_seq.max(c.seq);
            return unknown_budget(&c.budget);
        };
        let need = c.need.max(1);
        let amounts = &mut account.amounts;
        let small_budget = self.config.value("small_budget_tokens", &team);
        let requester = (c.router.as_str(), c.incarnation);
        let others = account
            .holders
            .iter()
            .filter(|(r, n)| (r.as_ref(), *n) != requester)
            .count() as u64;
        let granted = if amounts.unspent < need {
            0
        } else if c.lending {
            // Limits the reserve: the team loses the tokens that a router holds
            // when the router dies.
            let extra = c.want.saturating_sub(need).min(amounts.reserve_room());
            need + extra.min(amounts.unspent - need)
        } else if amounts.unspent < small_budget {
            need
        } else {
            let share = amounts.unspent / (2 * (others + 1));
            c.want.max(need).min(share.max(need))
        };
        let allotment = inc.allotments.entry(c.budget.as_str().into()).or_default();
        allotment.grant_seq = c.seq;
        allotment.granted_at_ms = now_ms;
        allotment.granted = granted;
        allotment.budget_unspent = amounts.unspent;
        allotment.budget_allotted = amounts.allotted;
        if granted > 0 {
            let (Some(amount), Some(())) = (
                allotment.amount.checked_add(granted),
                amounts.allot(granted),
            ) else {
                return refused(code::OVERFLOW, "the allotment would be too large");
            };
            allotment.amount = amount;
            inc.reserve
                .record_grant(&c.budget, granted.saturating_sub(c.need));
            account.add_holder(&inc.name, c.incarnation);
        }
        allotment.reply()
    }

    pub(crate) fn report(&mut self, c: &Report) -> Reply {
        let Some(inc) = self.routers.get_mut(&c.router, c.incarnation) else {
            return unknown_incarnation(&c.router, c.incarnation);
        };
        let expected = inc.last_report_seq.saturating_add(1);
        if c.seq < expected {
            return Reply::Ok(OkReply {});
        }
        if c.seq > expected {
            // Peers keep their copies of reports while the missing one may still
            // arrive. After the close there is nothing to wait for.
            let code = match inc.phase {
                Phase::Closed => code::INCARNATION_CLOSED,
                _ => code::REPORT_GAP,
            };
            return refused(code, format!("expected report {expected}, got {}", c.seq));
        }
        if c.entries
            .iter()
            .any(|e| !matches!(e.request_key.len(), 0 | 16))
        {
            return refused(
                code::MALFORMED,
                "a request key must have 16 bytes or be empty",
            );
        }
        inc.last_report_seq = c.seq;
        inc.reserve.record_report(self.log_index, c);
        for e in &c.entries {
            self.report_entry(&c.router, c.incarnation, e);
        }
        Reply::Ok(OkReply {})
    }

    fn report_entry(&mut self, router: &str, incarnation: Incarnation, e: &ReportEntry) {
        let (mut settled, mut returned) = (e.settled, e.returned);
        // An attempt that used no tokens must not mark the key as billed: a later
        // attempt may use some.
        if settled > 0
            && let Ok(key) = <[u8; 16]>::try_from(e.request_key.as_slice())
        {
            let billed = self.accounts.bill_key(key, settled, self.now_ms);
            // What was billed before is returned.
            returned = returned.saturating_add(settled - billed);
            settled = billed;
        }
        let Some(inc) = self.routers.get_mut(router, incarnation) else {
            return;
        };
        let Some(account) = self.accounts.by_name.get_mut(e.budget.as_str()) else {
            self.accounts.written_off_unknown =
                self.accounts.written_off_unknown.saturating_add(settled);
            return;
        };
        let amounts = &mut account.amounts;
        if inc.phase == Phase::Closed {
            // Closing the incarnation has already returned the allotment.
            amounts.settle_from_unspent(settled);
            account.apply_published_total();
            return;
        }
        returned = inc.reserve.new_returns(&e.budget, returned);
        let mut empty = Allotment::default();
        let allotment = inc
            .allotments
            .get_mut(e.budget.as_str())
            .unwrap_or(&mut empty);
        let settled_allotted = settled.min(allotment.amount);
        let returned_allotted = returned.min(allotment.amount - settled_allotted);
        if amounts.settle(settled_allotted).is_some()
            && amounts.return_allotted(returned_allotted).is_some()
        {
            allotment.amount -= settled_allotted + returned_allotted;
        }
        if allotment.amount == 0 {
            account.remove_holder(router, incarnation);
        }
        account.apply_published_total();
        let excess = settled - settled_allotted;
        if excess > 0 {
            account.amounts.settle_from_unspent(excess);
        }
        self.accounts.reported_excess = self
            .accounts
            .reported_excess
            .saturating_add(excess)
            .saturating_add(returned - returned_allotted);
    }

    pub(crate) fn assert_account_invariants(&self) {
        for (name, account) in &self.accounts.by_name {
            let a = &account.amounts;
            assert_eq!(
                Some(a.topped_up),
                a.unspent
                    .checked_add(a.allotted)
                    .and_then(|s| s.checked_add(a.settled)),
                "{name}: topped_up = unspent + allotted + settled"
            );
            let held: Tokens = self.holders(name).iter().map(|(_, _, t)| t).sum();
            assert_eq!(
                held, a.allotted,
                "{name}: the amounts of the holders add up to `allotted`"
            );
        }
        assert_eq!(
            self.accounts.top_ups.len(),
            self.accounts.top_up_queue.len(),
            "each top-up id is queued for expiry once"
        );
        assert_eq!(
            self.accounts.request_keys.len(),
            self.accounts.request_key_queue.len(),
            "each request key is queued for expiry once"
        );
    }
}

fn unknown_budget(name: &str) -> Reply {
    refused(code::UNKNOWN_BUDGET, format!("there is no budget {name}"))
}

fn unknown_incarnation(router: &str, incarnation: Incarnation) -> Reply {
    refused(
        code::UNKNOWN_INCARNATION,
        format!("router {router} has no incarnation {incarnation}"),
    )
}

impl Allotment {
    /// Returns the reply to the last grant.
    fn reply(&self) -> Reply {
        if self.granted > 0 {
            Reply::Granted(Granted {
                amount: self.granted,
            })
        } else {
            Reply::Insufficient(Insufficient {
                unspent: self.budget_unspent,
                allotted: self.budget_allotted,
                locked: 0,
            })
        }
    }
}
