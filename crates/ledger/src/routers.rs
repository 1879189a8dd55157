//! Router incarnations and their allotments.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use anvilloft_types::Incarnation;
use anvilloft_types::RouterId;
use anvilloft_types::Tokens;
use anvilloft_wire::command::CloseIncarnation;
use anvilloft_wire::command::Ok as OkReply;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::RouterState;

use crate::code;
use crate::code::refused;
use crate::ledger::Ledger;
use crate::ledger::has_elapsed;
use crate::reserves::Reserve;
use crate::validate::check_name;

/// Maximum number of incarnations, including closed ones that are still recorded.
const MAX_INCARNATIONS: usize = 65_536;
/// Minimum time for which the reply to a grant is kept, also when its tokens are
/// spent, in milliseconds. Longer than any network delays a command.
const GRANT_KEEP_MS: u64 = 3_600_000;
/// Interval between scans for expired grants, in milliseconds. A scan visits every
/// allotment, so not every `Expire` command runs one.
const GRANT_SCAN_MS: u64 = 900_000;

/// Phase in the life of a router incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Can get grants and begin orders.
    Open,
    /// Gets no grants. Its allotments are frozen, but reports still apply.
    Lost,
    /// Has no allotments any more. Late settlements are taken from the unspent
    /// tokens.
    Closed,
}

/// Tokens of one budget that one incarnation holds, and the reply to its last
/// grant.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Allotment {
    pub(crate) amount: Tokens,
    /// Number of the last grant.
    pub(crate) grant_seq: u64,
    /// Ledger time of the last grant.
    pub(crate) granted_at_ms: u64,
    /// Tokens that the last grant allotted, or 0 if it was refused.
    pub(crate) granted: Tokens,
    /// Unspent tokens of the budget before the last grant.
    pub(crate) budget_unspent: Tokens,
    /// Allotted tokens of the budget before the last grant.
    pub(crate) budget_allotted: Tokens,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RouterIncarnation {
    pub(crate) name: Arc<str>,
    /// The command that opened the incarnation, with its current state.
    pub(crate) registration: OpenIncarnation,
    pub(crate) phase: Phase,
    /// Whether a newer incarnation has opened at the same addresses, which shows
    /// that the process has ended.
    pub(crate) superseded: bool,
    /// Ledger time at which the incarnation was opened, last marked lost, or closed.
    pub(crate) since_ms: u64,
    /// Number of the last applied report.
    pub(crate) last_report_seq: u64,
    /// Grants up to this number are stale, unless `allotments` has their reply.
    pub(crate) stale_grant_seq: u64,
    /// Allotments by budget.
    pub(crate) allotments: HashMap<Arc<str>, Allotment>,
    pub(crate) reserve: Reserve,
}

impl RouterIncarnation {
    /// Returns the tokens that the incarnation holds of all budgets.
    pub(crate) fn total_allotted(&self) -> Tokens {
        self.allotments.values().map(|a| a.amount).sum()
    }
}

/// A lost incarnation whose allotments are frozen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostIncarnation {
    /// Name of the router.
    pub router: RouterId,
    /// Incarnation of the router.
    pub incarnation: Incarnation,
    /// Whether the process is known to have ended. The hold is then
    /// `peer_flush_ms`, which suffices, instead of `settle_hold_ms`.
    pub known_dead: bool,
    /// Ledger time at which the incarnation was marked lost, in milliseconds.
    pub since_ms: u64,
    /// Time for which the allotments stay frozen, in milliseconds.
    pub hold_ms: u64,
    /// Log index of the contact from which the incarnation's lock counts, if its
    /// process is known to have ended and tokens were locked.
    pub locked_since: Option<u64>,
    /// Sum of the locked tokens.
    pub locked: Tokens,
    /// Sum of the tokens of all budgets that it holds.
    pub allotted: Tokens,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Routers {
    pub(crate) by_name: BTreeMap<Arc<str>, BTreeMap<Incarnation, RouterIncarnation>>,
    /// Number of incarnations in `by_name`.
    pub(crate) count: usize,
    /// Version of the router directory.
    pub(crate) directory_version: u64,
    /// Ledger time of the last scan for expired grants.
    pub(crate) grants_scanned_ms: u64,
}

impl Routers {
    pub(crate) fn get(&self, router: &str, incarnation: Incarnation) -> Option<&RouterIncarnation> {
        self.by_name.get(router)?.get(&incarnation)
    }

    pub(crate) fn get_mut(
        &mut self,
        router: &str,
        incarnation: Incarnation,
    ) -> Option<&mut RouterIncarnation> {
        self.by_name.get_mut(router)?.get_mut(&incarnation)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &RouterIncarnation> {
        self.by_name.values().flat_map(BTreeMap::values)
    }

    fn is_open(&self, router: &str, incarnation: Incarnation) -> bool {
        self.get(router, incarnation)
            .is_some_and(|i| i.phase == Phase::Open)
    }
}

impl Ledger {
    /// Returns the version of the router directory, which increases with each
    /// change of [`Self::open_incarnations`].
    pub fn directory_version(&self) -> u64 {
        self.routers.directory_version
    }

    /// Returns the incarnations that are neither closed nor lost, sorted by name.
    pub fn open_incarnations(&self) -> Vec<OpenIncarnation> {
        self.routers
            .all()
            .filter(|i| i.phase == Phase::Open)
            .map(|i| i.registration.clone())
            .collect()
    }

    /// Returns whether an incarnation is neither closed nor lost.
    pub fn is_incarnation_open(&self, router: &str, incarnation: Incarnation) -> bool {
        self.routers.is_open(router, incarnation)
    }

    /// Returns the lost incarnations that are not closed yet.
    ///
    /// The leader proposes `CloseIncarnation` for each when the hold has passed by
    /// its own clock too.
    pub fn lost_incarnations(&self) -> Vec<LostIncarnation> {
        self.routers
            .all()
            .filter(|i| i.phase == Phase::Lost)
            .map(|i| LostIncarnation {
                router: i.registration.router.clone(),
                incarnation: i.registration.incarnation,
                known_dead: i.superseded,
                since_ms: i.since_ms,
                hold_ms: self.hold_ms(i),
                locked_since: i.reserve.contact_index().filter(|_| i.superseded),
                locked: i.reserve.total(),
                allotted: i.total_allotted(),
            })
            .collect()
    }

    // Returns the time for which the allotments of a lost incarnation stay frozen.
    fn hold_ms(&self, inc: &RouterIncarnation) -> u64 {
        let name = if inc.superseded {
            "peer_flush_ms"
        } else {
            "settle_hold_ms"
        };
        self.config.value(name, "")
    }

    pub(crate) fn open_incarnation(&mut self, c: &OpenIncarnation) -> Reply {
        if let Err((code, message)) = check_name(&c.router) {
            return refused(code, message);
        }
        let Ok(state) = RouterState::try_from(c.state) else {
            return refused(code::MALFORMED, "unknown router state");
        };
        if self.routers.get(&c.router, c.incarnation).is_some() {
            return self.set_state(c, state);
        }
        if state == RouterState::Lost {
            return refused(
                code::UNKNOWN_INCARNATION,
                "a router incarnation that was never opened can't be marked lost",
            );
        }
        if self.routers.count >= MAX_INCARNATIONS {
            return refused(
                code::TABLE_FULL,
                format!("at most {MAX_INCARNATIONS} router incarnations are kept"),
            );
        }
        let mut superseded = Vec::new();
        if let Some(incarnations) = self.routers.by_name.get(c.router.as_str()) {
            if incarnations
                .keys()
                .next_back()
                .is_some_and(|n| *n > c.incarnation)
            {
                return refused(
                    code::OLD_INCARNATION,
                    "a newer incarnation of the router was opened",
                );
            }
            for old in incarnations.values().filter(|i| i.phase != Phase::Closed) {
                // The old process keeps its listening sockets until it exits, so a
                // new process at the same addresses shows that the old one ended.
                let same_addresses = old.registration.caller_address == c.caller_address
                    && old.registration.peer_address == c.peer_address;
                if same_addresses {
                    superseded.push(old.registration.incarnation);
                } else if old.phase == Phase::Open {
                    return refused(
                        code::STILL_ALIVE,
                        format!(
                            "incarnation {} of router {} is open at {}",
                            old.registration.incarnation, c.router, old.registration.peer_address
                        ),
                    );
                }
            }
        }
        for incarnation in superseded {
            if let Some(old) = self.routers.get_mut(&c.router, incarnation)
                && !old.superseded
            {
                old.superseded = true;
                old.phase = Phase::Lost;
                old.registration.state = RouterState::Lost.into();
                old.since_ms = self.now_ms;
                self.abandon_work(&c.router, incarnation);
            }
        }
        let name: Arc<str> = match self.routers.by_name.get_key_value(c.router.as_str()) {
            Some((name, _)) => name.clone(),
            None => c.router.as_str().into(),
        };
        self.routers
            .by_name
            .entry(name.clone())
            .or_default()
            .insert(
                c.incarnation,
                RouterIncarnation {
                    name,
                    registration: c.clone(),
                    phase: Phase::Open,
                    superseded: false,
                    since_ms: self.now_ms,
                    last_report_seq: 0,
                    stale_grant_seq: 0,
                    allotments: HashMap::new(),
                    reserve: Reserve::default(),
                },
            );
        self.routers.count += 1;
        self.routers.directory_version += 1;
        Reply::Ok(OkReply {})
    }

    // Changes the state of an incarnation that was opened before.
    fn set_state(&mut self, c: &OpenIncarnation, state: RouterState) -> Reply {
        let now_ms = self.now_ms;
        let replaced = self
            .routers
            .by_name
            .get(c.router.as_str())
            .is_some_and(|incarnations| incarnations.keys().next_back() > Some(&c.incarnation));
        let Some(inc) = self.routers.get_mut(&c.router, c.incarnation) else {
            return refused(
                code::UNKNOWN_INCARNATION,
                "the router incarnation is unknown",
            );
        };
        if inc.phase == Phase::Closed {
            return refused(code::INCARNATION_CLOSED, "the router incarnation is closed");
        }
        if replaced {
            // A newer incarnation may have opened on another host while this one was
            // lost. Two processes must not both count as the same router.
            return match state {
                RouterState::Lost => Reply::Ok(OkReply {}),
                _ => refused(
                    code::INCARNATION_LOST,
                    "a newer incarnation of the router was opened",
                ),
            };
        }
        if inc.registration.state == c.state {
            return Reply::Ok(OkReply {});
        }
        if inc.phase == Phase::Open
            && inc.registration.state == i32::from(RouterState::Draining)
            && state == RouterState::Alive
        {
            // A delayed copy of the opening command must not cancel the drain.
            return Reply::Ok(OkReply {});
        }
        inc.registration.state = c.state;
        if state == RouterState::Lost {
            inc.phase = Phase::Lost;
            inc.since_ms = now_ms;
            self.abandon_work(&c.router, c.incarnation);
        } else {
            // A lost router that is reachable again still holds its allotments.
            inc.phase = Phase::Open;
        }
        self.routers.directory_version += 1;
        Reply::Ok(OkReply {})
    }

    pub(crate) fn close_incarnation(&mut self, c: &CloseIncarnation) -> Reply {
        let now_ms = self.now_ms;
        let Some(inc) = self.routers.get(&c.router, c.incarnation) else {
            return refused(
                code::UNKNOWN_INCARNATION,
                "the router incarnation is unknown",
            );
        };
        match inc.phase {
            Phase::Closed => return Reply::Ok(OkReply {}),
            Phase::Lost
                if inc.total_allotted() > 0
                    && !has_elapsed(now_ms, inc.since_ms, self.hold_ms(inc)) =>
            {
                return refused(
                    code::STILL_HELD,
                    format!(
                        "the allotments of the router incarnation are frozen for {} ms from ledger time {} ms",
                        self.hold_ms(inc),
                        inc.since_ms
                    ),
                );
            }
            _ => {}
        }
        let was_open = inc.phase == Phase::Open;
        // A router that is cut off continues to serve from prepaid budgets, and the
        // usage since its last report is lost with it. Its prepaid allotments
        // therefore count as spent.
        let lost = inc.phase == Phase::Lost;
        let Some(inc) = self.routers.get_mut(&c.router, c.incarnation) else {
            return refused(
                code::UNKNOWN_INCARNATION,
                "the router incarnation is unknown",
            );
        };
        inc.phase = Phase::Closed;
        inc.registration.state = RouterState::Lost.into();
        inc.since_ms = now_ms;
        for (budget, allotment) in std::mem::take(&mut inc.allotments) {
            if allotment.amount > 0
                && let Some(account) = self.accounts.by_name.get_mut(&budget)
            {
                let moved = match lost && account.published_total.is_some() {
                    true => account.amounts.forfeit(allotment.amount),
                    false => account.amounts.return_allotted(allotment.amount),
                };
                debug_assert!(moved.is_some());
                account.remove_holder(&c.router, c.incarnation);
                account.apply_published_total();
            }
        }
        if was_open {
            self.routers.directory_version += 1;
        }
        self.abandon_work(&c.router, c.incarnation);
        Reply::Ok(OkReply {})
    }

    // Ends the orders and suspect permits of an incarnation, which can't finish them
    // any more.
    fn abandon_work(&mut self, router: &str, incarnation: Incarnation) {
        let now_ms = self.now_ms;
        self.orders.abandon(router, incarnation, now_ms);
        let quarantine_ms = self.config.value("condemn_ms", "");
        self.suspects
            .abandon(router, incarnation, now_ms, quarantine_ms);
    }

    /// Drops the allotments of a deleted budget, with the replies to its grants.
    pub(crate) fn drop_allotments(&mut self, budget: &str) {
        for inc in self
            .routers
            .by_name
            .values_mut()
            .flat_map(BTreeMap::values_mut)
        {
            if let Some(allotment) = inc.allotments.remove(budget) {
                inc.stale_grant_seq = inc.stale_grant_seq.max(allotment.grant_seq);
            }
        }
    }

    /// Drops closed incarnations and replies to grants whose retention has passed.
    pub(crate) fn expire_incarnations(&mut self) {
        let now_ms = self.now_ms;
        let keep_ms = self.config.value("incarnation_keep_ms", "");
        let mut dropped = 0;
        self.routers.by_name.retain(|_, incarnations| {
            // The newest incarnation is kept, so that no older one can be opened.
            let newest = incarnations.keys().next_back().copied();
            incarnations.retain(|n, i| {
                let keep = Some(*n) == newest
                    || i.phase != Phase::Closed
                    || !has_elapsed(now_ms, i.since_ms, keep_ms);
                dropped += usize::from(!keep);
                keep
            });
            true
        });
        self.routers.count -= dropped;
        if !has_elapsed(now_ms, self.routers.grants_scanned_ms, GRANT_SCAN_MS) {
            return;
        }
        self.routers.grants_scanned_ms = now_ms;
        for inc in self
            .routers
            .by_name
            .values_mut()
            .flat_map(|m| m.values_mut())
        {
            let stale_seq = &mut inc.stale_grant_seq;
            inc.allotments.retain(|_, a| {
                let keep = a.amount > 0 || !has_elapsed(now_ms, a.granted_at_ms, GRANT_KEEP_MS);
                if !keep {
                    *stale_seq = (*stale_seq).max(a.grant_seq);
                }
                keep
            });
        }
    }

    pub(crate) fn assert_router_invariants(&self) {
        let mut count = 0;
        for (name, incarnations) in &self.routers.by_name {
            let open = incarnations
                .values()
                .filter(|i| i.phase == Phase::Open)
                .count();
            assert!(open <= 1, "{name}: at most one incarnation is open");
            for inc in incarnations.values() {
                count += 1;
                assert!(
                    inc.phase != Phase::Closed || inc.allotments.is_empty(),
                    "{name}: a closed incarnation has no allotments"
                );
                for (budget, allotment) in &inc.allotments {
                    let listed = self.accounts.by_name.get(budget).is_some_and(|a| {
                        a.holders
                            .binary_search_by(|(r, n)| {
                                (r, n).cmp(&(&inc.name, &inc.registration.incarnation))
                            })
                            .is_ok()
                    });
                    assert_eq!(
                        listed,
                        allotment.amount > 0,
                        "{name}: the holders of {budget} are the incarnations with tokens"
                    );
                }
            }
        }
        assert_eq!(count, self.routers.count);
    }
}
