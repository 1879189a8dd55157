//! Budget amounts: top-ups, grants, reports and billed request keys.

use std::collections::HashMap;
use std::collections::HashSet;
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
use crate::ledger::drain_past;
use crate::routers::Held;
use crate::routers::Phase;
use crate::validate::MAX_REASON_BYTES;
use crate::validate::check_name;

/// Largest total of top-ups of one budget, in tokens. Sums of parts of a
/// budget then never overflow.
const MAX_TOPPED_UP: Tokens = i64::MAX as Tokens;
/// Part of what is left of a budget that lending routers may hold beyond the
/// needs of requests: one in so many.
const RESERVE_SHARE: Tokens = 2;
/// Largest count of top-up ids kept for resends.
const MAX_TOP_UP_IDS: usize = 4_194_304;
/// Largest count of billed request keys. At the bound the oldest is dropped
/// before its time and counted, because a settlement can't be refused.
const MAX_REQUEST_KEYS: usize = 4_194_304;

/// Amounts of one budget, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Amounts {
    /// Sum of top-ups and corrections.
    pub topped_up: Tokens,
    /// Not allotted and not spent.
    pub unspent: Tokens,
    /// Held by router incarnations.
    pub allotted: Tokens,
    /// Spent.
    pub settled: Tokens,
    /// Served but not billed, because the budget was spent before the
    /// settlement arrived. Not part of `topped_up`.
    pub written_off: Tokens,
}

impl Amounts {
    // Applies a move between parts only if it keeps the sum.
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

    fn add(&mut self, amount: Tokens) -> Option<()> {
        let topped_up = self.topped_up.checked_add(amount)?;
        if topped_up > MAX_TOPPED_UP {
            return None;
        }
        let unspent = self.unspent.checked_add(amount)?;
        self.replace(topped_up, unspent, self.allotted, self.settled);
        Some(())
    }

    fn subtract(&mut self, amount: Tokens) -> Option<()> {
        let topped_up = self.topped_up.checked_sub(amount)?;
        let unspent = self.unspent.checked_sub(amount)?;
        self.replace(topped_up, unspent, self.allotted, self.settled);
        Some(())
    }

    fn allot(&mut self, amount: Tokens) -> Option<()> {
        let unspent = self.unspent.checked_sub(amount)?;
        let allotted = self.allotted.checked_add(amount)?;
        self.replace(self.topped_up, unspent, allotted, self.settled);
        Some(())
    }

    pub(crate) fn settle(&mut self, amount: Tokens) -> Option<()> {
        let allotted = self.allotted.checked_sub(amount)?;
        let settled = self.settled.checked_add(amount)?;
        self.replace(self.topped_up, self.unspent, allotted, settled);
        Some(())
    }

    pub(crate) fn give_back(&mut self, amount: Tokens) -> Option<()> {
        let allotted = self.allotted.checked_sub(amount)?;
        let unspent = self.unspent.checked_add(amount)?;
        self.replace(self.topped_up, unspent, allotted, self.settled);
        Some(())
    }

    // Settles what is no longer allotted.
    fn settle_late(&mut self, amount: Tokens) {
        match self.unspent.checked_sub(amount) {
            Some(unspent) => {
                let settled = self.settled.saturating_add(amount);
                self.replace(self.topped_up, unspent, self.allotted, settled);
            }
            None => self.written_off = self.written_off.saturating_add(amount),
        }
    }
}

/// One budget.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Account {
    pub(crate) amounts: Amounts,
    /// Incarnations that hold tokens, sorted.
    pub(crate) holders: Vec<(Arc<str>, Incarnation)>,
    /// Sum that a published table sets, instead of single top-ups.
    pub(crate) total: Option<Tokens>,
}

impl Account {
    /// Moves `topped_up` to the published sum. What is allotted or spent can't
    /// be taken back, so a lower sum takes effect as tokens come back.
    pub(crate) fn follow_total(&mut self) {
        let Some(total) = self.total else {
            return;
        };
        let amounts = &mut self.amounts;
        let changed = match total.checked_sub(amounts.topped_up) {
            Some(more) => amounts.add(more),
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

/// A top-up that was applied, for resends and for the history.
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
    /// Times and ids of top-ups in order.
    pub(crate) top_up_order: VecDeque<(u64, String)>,
    pub(crate) request_keys: HashSet<[u8; 16]>,
    /// Times and request keys in order.
    pub(crate) request_key_order: VecDeque<(u64, [u8; 16])>,
    /// Request keys dropped before their time.
    pub(crate) request_keys_evicted: u64,
    /// Settlements that named a budget that doesn't exist, in tokens.
    pub(crate) written_off_unknown: Tokens,
    /// Tokens reported beyond the reporter's allotment. 0 unless a router is
    /// at fault.
    pub(crate) reported_excess: Tokens,
}

impl Accounts {
    pub(crate) fn get(&self, budget: &str) -> Option<&Amounts> {
        self.by_name.get(budget).map(|a| &a.amounts)
    }

    pub(crate) fn open(&mut self, budget: &str) {
        if !self.by_name.contains_key(budget) {
            self.by_name.insert(budget.into(), Account::default());
        }
    }

    /// Sets the sum of everything paid into a budget, which is opened when it
    /// doesn't exist.
    pub(crate) fn set_total(&mut self, budget: &str, total: Tokens) {
        self.open(budget);
        if let Some(account) = self.by_name.get_mut(budget) {
            account.total = Some(total.min(MAX_TOPPED_UP));
            account.follow_total();
        }
    }

    pub(crate) fn remove(&mut self, budget: &str) {
        self.by_name.remove(budget);
    }

    // Returns whether the key was billed before, and records it.
    fn bill_key(&mut self, key: [u8; 16], now_ms: u64) -> bool {
        if !self.request_keys.insert(key) {
            return true;
        }
        self.request_key_order.push_back((now_ms, key));
        if self.request_key_order.len() > MAX_REQUEST_KEYS
            && let Some((_, oldest)) = self.request_key_order.pop_front()
        {
            self.request_keys.remove(&oldest);
            self.request_keys_evicted = self.request_keys_evicted.saturating_add(1);
        }
        false
    }

    pub(crate) fn expire(&mut self, now_ms: u64, top_up_keep_ms: u64, key_keep_ms: u64) {
        let top_ups = &mut self.top_ups;
        drain_past(
            &mut self.top_up_order,
            |(at, _)| *at,
            now_ms,
            top_up_keep_ms,
            |(_, id)| {
                top_ups.remove(&id);
            },
        );
        let keys = &mut self.request_keys;
        drain_past(
            &mut self.request_key_order,
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

    /// Returns the open and lost incarnations that hold tokens of a budget.
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
                    .and_then(|i| i.held.get(budget))
                    .map_or(0, |h| h.amount);
                (router.to_string(), *incarnation, amount)
            })
            .collect()
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
        if let Some(first) = self.accounts.top_ups.get(&c.id) {
            if first.top_up.budget == c.budget && first.top_up.amount == c.amount {
                return Reply::Ok(OkReply {});
            }
            return refused(
                code::TOP_UP_ID_REUSED,
                format!("top-up {} was applied with another budget or amount", c.id),
            );
        }
        if c.amount == 0 {
            return refused(code::ZERO_AMOUNT, "a top-up has an amount");
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
                return refused(code::OVERFLOW, "the budget can't count that many tokens");
            }
        } else if account.amounts.subtract(tokens).is_none() {
            return refused(
                code::INSUFFICIENT_UNSPENT,
                format!("only {} tokens are unspent", account.amounts.unspent),
            );
        }
        self.accounts
            .top_up_order
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

    pub(crate) fn grant(&mut self, c: &Grant) -> Reply {
        let now_ms = self.now_ms;
        let team = self.budget_team(&c.budget);
        let Some(inc) = self.routers.get_mut(&c.router, c.incarnation) else {
            return unknown_incarnation(&c.router, c.incarnation);
        };
        // A resent grant gets the first answer even when the incarnation was
        // lost meanwhile: the tokens are allotted and the router has to know.
        let last = inc.held.get(c.budget.as_str());
        if let Some(held) = last
            && held.seq == c.seq
        {
            return held.answer();
        }
        let newest = last.map_or(0, |h| h.seq).max(inc.grant_floor);
        match inc.phase {
            Phase::Open => {}
            Phase::Lost => {
                // The incarnation may open again, and a delayed copy of this
                // grant must not allot tokens that the router gave up on.
                inc.grant_floor = inc.grant_floor.max(c.seq);
                return refused(code::INCARNATION_LOST, "the incarnation is lost");
            }
            Phase::Closed => {
                return refused(code::INCARNATION_CLOSED, "the incarnation is closed");
            }
        }
        // A router has one grant outstanding for each budget, so a lower
        // number is a delayed copy that was answered before.
        if c.seq <= newest {
            return refused(
                code::STALE_GRANT,
                format!("grant {} is older than grant {newest}", c.seq),
            );
        }
        let (Some(account), Some(team)) = (self.accounts.by_name.get_mut(c.budget.as_str()), team)
        else {
            // Without this, a delayed copy could allot tokens that the router
            // doesn't know of once the budget exists.
            inc.grant_floor = inc.grant_floor.max(c.seq);
            return unknown_budget(&c.budget);
        };
        let need = c.need.max(1);
        let amounts = &mut account.amounts;
        let small = self.config.value("small_budget_tokens", &team);
        let asker = (c.router.as_str(), c.incarnation);
        let others = account
            .holders
            .iter()
            .filter(|(r, n)| (r.as_ref(), *n) != asker)
            .count() as u64;
        let granted = if amounts.unspent < need {
            0
        } else if c.lending {
            // Tokens at routers are lost to the team when the routers die.
            let reserve = (amounts.unspent + amounts.allotted) / RESERVE_SHARE;
            let room = reserve.saturating_sub(amounts.allotted);
            let more = c.want.saturating_sub(need).min(room);
            need + more.min(amounts.unspent - need)
        } else if amounts.unspent < small {
            need
        } else {
            let share = amounts.unspent / (2 * (others + 1));
            c.want.max(need).min(share.max(need))
        };
        let held = inc.held.entry(c.budget.as_str().into()).or_default();
        held.seq = c.seq;
        held.at_ms = now_ms;
        held.granted = granted;
        held.unspent = amounts.unspent;
        held.allotted = amounts.allotted;
        if granted > 0 {
            let (Some(amount), Some(())) =
                (held.amount.checked_add(granted), amounts.allot(granted))
            else {
                return refused(code::OVERFLOW, "the budget can't count that many tokens");
            };
            held.amount = amount;
            account.add_holder(&inc.name, c.incarnation);
        }
        held.answer()
    }

    pub(crate) fn report(&mut self, c: &Report) -> Reply {
        let Some(inc) = self.routers.get_mut(&c.router, c.incarnation) else {
            return unknown_incarnation(&c.router, c.incarnation);
        };
        let expected = inc.reports.saturating_add(1);
        if c.seq < expected {
            return Reply::Ok(OkReply {});
        }
        if c.seq > expected {
            // Whoever holds copies keeps them while the missing report may
            // arrive. After the close there is nothing left to wait for.
            let code = match inc.phase {
                Phase::Closed => code::INCARNATION_CLOSED,
                _ => code::REPORT_GAP,
            };
            return refused(
                code,
                format!("report {expected} is expected, not {}", c.seq),
            );
        }
        if c.entries
            .iter()
            .any(|e| !matches!(e.request_key.len(), 0 | 16))
        {
            return refused(code::MALFORMED, "a request key has 16 bytes or none");
        }
        inc.reports = c.seq;
        for e in &c.entries {
            self.report_entry(&c.router, c.incarnation, e);
        }
        Reply::Ok(OkReply {})
    }

    fn report_entry(&mut self, router: &str, incarnation: Incarnation, e: &ReportEntry) {
        let (mut settled, mut returned) = (e.settled, e.returned);
        // An attempt that used nothing leaves the key to the one that will.
        if settled > 0
            && let Ok(key) = <[u8; 16]>::try_from(e.request_key.as_slice())
            && self.accounts.bill_key(key, self.now_ms)
        {
            // Billed before: the tokens go back.
            returned = returned.saturating_add(settled);
            settled = 0;
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
            // The close has returned the allotment already.
            amounts.settle_late(settled);
            account.follow_total();
            return;
        }
        let mut unknown = Held::default();
        let held = inc.held.get_mut(e.budget.as_str()).unwrap_or(&mut unknown);
        let from_held = settled.min(held.amount);
        let back = returned.min(held.amount - from_held);
        if amounts.settle(from_held).is_some() && amounts.give_back(back).is_some() {
            held.amount -= from_held + back;
        }
        if held.amount == 0 {
            account.remove_holder(router, incarnation);
        }
        account.follow_total();
        let excess = settled - from_held;
        if excess > 0 {
            account.amounts.settle_late(excess);
        }
        self.accounts.reported_excess = self
            .accounts
            .reported_excess
            .saturating_add(excess)
            .saturating_add(returned - back);
    }

    pub(crate) fn check_accounts(&self) {
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
            assert_eq!(held, a.allotted, "{name}: the holders' sum is the allotted");
        }
        assert_eq!(
            self.accounts.top_ups.len(),
            self.accounts.top_up_order.len(),
            "each top-up id has one place in the order"
        );
        assert_eq!(
            self.accounts.request_keys.len(),
            self.accounts.request_key_order.len(),
            "each request key has one place in the order"
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

impl Held {
    fn answer(&self) -> Reply {
        if self.granted > 0 {
            Reply::Granted(Granted {
                amount: self.granted,
            })
        } else {
            Reply::Insufficient(Insufficient {
                unspent: self.unspent,
                allotted: self.allotted,
            })
        }
    }
}
