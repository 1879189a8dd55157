//! Router incarnations and the allotments that they hold.

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
use crate::ledger::is_past;
use crate::validate::check_name;

/// Largest count of incarnations, with closed ones that are still remembered.
const MAX_INCARNATIONS: usize = 65_536;
/// How long the answer to a grant is kept after its tokens are spent, in
/// milliseconds. Longer than any network delays a command.
const GRANT_KEEP_MS: u64 = 3_600_000;
/// Interval between scans for old grants, in milliseconds. A scan visits every
/// allotment, so not every `Expire` runs one.
const GRANT_SCAN_MS: u64 = 900_000;

/// What an incarnation may still do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Takes grants and begins orders.
    Open,
    /// Its allotments are frozen; reports still apply.
    Lost,
    /// Its allotments are returned; late settlements come out of the unspent.
    Closed,
}

/// Tokens of one budget at one incarnation, and the last grant's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Held {
    pub(crate) amount: Tokens,
    pub(crate) seq: u64,
    pub(crate) at_ms: u64,
    pub(crate) granted: Tokens,
    pub(crate) unspent: Tokens,
    pub(crate) allotted: Tokens,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RouterIncarnation {
    pub(crate) name: Arc<str>,
    pub(crate) open: OpenIncarnation,
    pub(crate) phase: Phase,
    /// A newer incarnation at the same addresses shows that the process ended.
    pub(crate) superseded: bool,
    /// Ledger time of the last phase.
    pub(crate) since_ms: u64,
    /// Number of the last report applied.
    pub(crate) reports: u64,
    /// Grants up to this number are stale unless `held` has their answer.
    pub(crate) grant_floor: u64,
    pub(crate) held: HashMap<Arc<str>, Held>,
}

impl RouterIncarnation {
    pub(crate) fn total(&self) -> Tokens {
        self.held.values().map(|h| h.amount).sum()
    }
}

/// A lost incarnation whose allotments are frozen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostIncarnation {
    /// Name of the router.
    pub router: RouterId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Whether the process is known to have ended, so that `peer_flush_ms`
    /// is hold enough instead of `settle_hold_ms`.
    pub known_dead: bool,
    /// Ledger time at which it was marked, in milliseconds.
    pub since_ms: u64,
    /// Length of the hold, in milliseconds.
    pub hold_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Routers {
    pub(crate) by_name: BTreeMap<Arc<str>, BTreeMap<Incarnation, RouterIncarnation>>,
    pub(crate) count: usize,
    pub(crate) directory_version: u64,
    pub(crate) scanned_ms: u64,
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
    /// Returns the version of the router directory. It rises with each change
    /// of [`Self::open_incarnations`].
    pub fn directory_version(&self) -> u64 {
        self.routers.directory_version
    }

    /// Returns the incarnations that are neither closed nor lost, by name.
    pub fn open_incarnations(&self) -> Vec<OpenIncarnation> {
        self.routers
            .all()
            .filter(|i| i.phase == Phase::Open)
            .map(|i| i.open.clone())
            .collect()
    }

    /// Whether an incarnation is neither closed nor lost.
    pub fn is_incarnation_open(&self, router: &str, incarnation: Incarnation) -> bool {
        self.routers.is_open(router, incarnation)
    }

    /// Returns the lost incarnations that are not closed yet. The leader
    /// proposes their `CloseIncarnation` when the hold has passed by its own
    /// clock too.
    pub fn lost_incarnations(&self) -> Vec<LostIncarnation> {
        self.routers
            .all()
            .filter(|i| i.phase == Phase::Lost)
            .map(|i| LostIncarnation {
                router: i.open.router.clone(),
                incarnation: i.open.incarnation,
                known_dead: i.superseded,
                since_ms: i.since_ms,
                hold_ms: self.hold_ms(i),
            })
            .collect()
    }

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
            return refused(code::MALFORMED, "unknown state of a router");
        };
        if self.routers.get(&c.router, c.incarnation).is_some() {
            return self.set_state(c, state);
        }
        if state == RouterState::Lost {
            return refused(
                code::UNKNOWN_INCARNATION,
                "an incarnation that was never opened can't be lost",
            );
        }
        if self.routers.count >= MAX_INCARNATIONS {
            return refused(
                code::TABLE_FULL,
                format!("at most {MAX_INCARNATIONS} router incarnations are kept"),
            );
        }
        let mut superseded = Vec::new();
        if let Some(known) = self.routers.by_name.get(c.router.as_str()) {
            if known.keys().next_back().is_some_and(|n| *n > c.incarnation) {
                return refused(
                    code::OLD_INCARNATION,
                    "a newer incarnation of the router was opened",
                );
            }
            for old in known.values().filter(|i| i.phase != Phase::Closed) {
                // The old process holds its listening sockets until it exits,
                // so one that answers at the same addresses replaced it.
                let same = old.open.caller_address == c.caller_address
                    && old.open.peer_address == c.peer_address;
                if same {
                    superseded.push(old.open.incarnation);
                } else if old.phase == Phase::Open {
                    return refused(
                        code::STILL_ALIVE,
                        format!(
                            "incarnation {} of router {} is open at {}",
                            old.open.incarnation, c.router, old.open.peer_address
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
                old.open.state = RouterState::Lost.into();
                old.since_ms = self.now_ms;
                self.release_work(&c.router, incarnation);
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
                    open: c.clone(),
                    phase: Phase::Open,
                    superseded: false,
                    since_ms: self.now_ms,
                    reports: 0,
                    grant_floor: 0,
                    held: HashMap::new(),
                },
            );
        self.routers.count += 1;
        self.routers.directory_version += 1;
        Reply::Ok(OkReply {})
    }

    fn set_state(&mut self, c: &OpenIncarnation, state: RouterState) -> Reply {
        let now_ms = self.now_ms;
        let replaced = self
            .routers
            .by_name
            .get(c.router.as_str())
            .is_some_and(|known| known.keys().next_back() > Some(&c.incarnation));
        let Some(inc) = self.routers.get_mut(&c.router, c.incarnation) else {
            return refused(code::UNKNOWN_INCARNATION, "the incarnation is unknown");
        };
        if inc.phase == Phase::Closed {
            return refused(code::INCARNATION_CLOSED, "the incarnation is closed");
        }
        if replaced {
            // A replacement on another host may have opened while this one was
            // lost; two processes must not both count as the router.
            return match state {
                RouterState::Lost => Reply::Ok(OkReply {}),
                _ => refused(code::INCARNATION_LOST, "a newer incarnation was opened"),
            };
        }
        if inc.open.state == c.state {
            return Reply::Ok(OkReply {});
        }
        if inc.phase == Phase::Open
            && inc.open.state == i32::from(RouterState::Draining)
            && state == RouterState::Alive
        {
            // A delayed copy of the opening command must not undo the drain.
            return Reply::Ok(OkReply {});
        }
        inc.open.state = c.state;
        if state == RouterState::Lost {
            inc.phase = Phase::Lost;
            inc.since_ms = now_ms;
            self.release_work(&c.router, c.incarnation);
        } else {
            // A lost router that is heard again still holds its allotments.
            inc.phase = Phase::Open;
        }
        self.routers.directory_version += 1;
        Reply::Ok(OkReply {})
    }

    pub(crate) fn close_incarnation(&mut self, c: &CloseIncarnation) -> Reply {
        let now_ms = self.now_ms;
        let Some(inc) = self.routers.get(&c.router, c.incarnation) else {
            return refused(code::UNKNOWN_INCARNATION, "the incarnation is unknown");
        };
        match inc.phase {
            Phase::Closed => return Reply::Ok(OkReply {}),
            Phase::Lost if inc.total() > 0 && !is_past(now_ms, inc.since_ms, self.hold_ms(inc)) => {
                return refused(
                    code::STILL_HELD,
                    format!(
                        "its allotments are frozen for {} ms from {}",
                        self.hold_ms(inc),
                        inc.since_ms
                    ),
                );
            }
            _ => {}
        }
        let was_open = inc.phase == Phase::Open;
        // A router with a prepaid budget serves on while it is cut off, and what
        // it used after its last report died with it.
        let lost = inc.phase == Phase::Lost;
        let Some(inc) = self.routers.get_mut(&c.router, c.incarnation) else {
            return refused(code::UNKNOWN_INCARNATION, "the incarnation is unknown");
        };
        inc.phase = Phase::Closed;
        inc.open.state = RouterState::Lost.into();
        inc.since_ms = now_ms;
        for (budget, held) in std::mem::take(&mut inc.held) {
            if held.amount > 0
                && let Some(account) = self.accounts.by_name.get_mut(&budget)
            {
                let moved = match lost && account.total.is_some() {
                    true => account.amounts.settle(held.amount),
                    false => account.amounts.give_back(held.amount),
                };
                debug_assert!(moved.is_some());
                account.remove_holder(&c.router, c.incarnation);
                account.follow_total();
            }
        }
        if was_open {
            self.routers.directory_version += 1;
        }
        self.release_work(&c.router, c.incarnation);
        Reply::Ok(OkReply {})
    }

    // Ends orders and suspect permits of an incarnation that can't finish them.
    fn release_work(&mut self, router: &str, incarnation: Incarnation) {
        let now_ms = self.now_ms;
        self.orders.abandon(router, incarnation, now_ms);
        let condemn_ms = self.config.value("condemn_ms", "");
        self.suspects
            .abandon(router, incarnation, now_ms, condemn_ms);
    }

    // Forgets the answers to grants of a deleted budget.
    pub(crate) fn forget_grants(&mut self, budget: &str) {
        for inc in self
            .routers
            .by_name
            .values_mut()
            .flat_map(BTreeMap::values_mut)
        {
            if let Some(held) = inc.held.remove(budget) {
                inc.grant_floor = inc.grant_floor.max(held.seq);
            }
        }
    }

    pub(crate) fn expire_routers(&mut self) {
        let now_ms = self.now_ms;
        let keep_ms = self.config.value("incarnation_keep_ms", "");
        let mut dropped = 0;
        self.routers.by_name.retain(|_, incarnations| {
            // The newest incarnation stays, so that no older one can open.
            let newest = incarnations.keys().next_back().copied();
            incarnations.retain(|n, i| {
                let keep = Some(*n) == newest
                    || i.phase != Phase::Closed
                    || !is_past(now_ms, i.since_ms, keep_ms);
                dropped += usize::from(!keep);
                keep
            });
            true
        });
        self.routers.count -= dropped;
        if !is_past(now_ms, self.routers.scanned_ms, GRANT_SCAN_MS) {
            return;
        }
        self.routers.scanned_ms = now_ms;
        for inc in self
            .routers
            .by_name
            .values_mut()
            .flat_map(|m| m.values_mut())
        {
            let floor = &mut inc.grant_floor;
            inc.held.retain(|_, h| {
                let keep = h.amount > 0 || !is_past(now_ms, h.at_ms, GRANT_KEEP_MS);
                if !keep {
                    *floor = (*floor).max(h.seq);
                }
                keep
            });
        }
    }

    pub(crate) fn check_routers(&self) {
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
                    inc.phase != Phase::Closed || inc.held.is_empty(),
                    "{name}: a closed incarnation holds nothing"
                );
                for (budget, held) in &inc.held {
                    let listed = self.accounts.by_name.get(budget).is_some_and(|a| {
                        a.holders
                            .binary_search_by(|(r, n)| {
                                (r, n).cmp(&(&inc.name, &inc.open.incarnation))
                            })
                            .is_ok()
                    });
                    assert_eq!(
                        listed,
                        held.amount > 0,
                        "{name}: the holders of {budget} list who holds tokens"
                    );
                }
            }
        }
        assert_eq!(count, self.routers.count);
    }
}
