//! The replicated state, and the dispatch of commands to its parts.

use std::collections::VecDeque;

use anvilloft_types::Fingerprint;
use anvilloft_types::Revision;
use anvilloft_wire::Command;
use anvilloft_wire::CommandReply;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Ok as OkReply;
use anvilloft_wire::command::Reply;
use anvilloft_wire::config::ConfigUpdate;
use quick_error::quick_error;

use crate::accounts::Accounts;
use crate::changes::Changes;
use crate::code;
use crate::code::refused;
use crate::config::Config;
use crate::crashes::Crashes;
use crate::evacuations::Evacuation;
use crate::orders::Orders;
use crate::publication::RouteTable;
use crate::publication::prepaid_team;
use crate::routers::Routers;
use crate::suspects::Suspects;

quick_error! {
    /// Errors of decoding a snapshot and of queries.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum LedgerError {
        /// The snapshot has a format that this build doesn't read.
        UnsupportedFormat(version: u32) {
            display("snapshot format {} is not supported", version)
        }
        /// The snapshot is damaged.
        Corrupt(reason: String) {
            display("the snapshot is damaged: {}", reason)
        }
        /// The kind of query is unknown.
        UnknownQuery(kind: String) {
            display("there is no query of kind {}", kind)
        }
        /// The item doesn't exist, or the querying team may not see it.
        NotFound(name: String) {
            display("{} was not found", name)
        }
    }
}

/// The replicated state.
#[derive(Clone, Debug, PartialEq)]
pub struct Ledger {
    /// Ledger time: the largest `at_ms` of any applied command. Retention is
    /// measured against this time alone.
    pub(crate) now_ms: u64,
    /// Log index of the command that is applied or was applied last; 0 if unknown.
    pub(crate) log_index: u64,
    pub(crate) config: Config,
    pub(crate) changes: Changes,
    pub(crate) accounts: Accounts,
    pub(crate) routers: Routers,
    pub(crate) orders: Orders,
    pub(crate) suspects: Suspects,
    pub(crate) crashes: Crashes,
    pub(crate) evacuation: Evacuation,
    pub(crate) route_table: RouteTable,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new()
    }
}

impl Ledger {
    /// Returns the state before any command: the built-in ranks and defaults
    /// at revision 0.
    pub fn new() -> Self {
        Self {
            now_ms: 0,
            log_index: 0,
            config: Config::new(),
            changes: Changes::default(),
            accounts: Accounts::default(),
            routers: Routers::default(),
            orders: Orders::default(),
            suspects: Suspects::default(),
            crashes: Crashes::default(),
            evacuation: Evacuation::default(),
            route_table: RouteTable::default(),
        }
    }

    /// Applies the committed command at an index of the log.
    ///
    /// # Panics
    ///
    /// Same as [`apply`](Self::apply).
    pub fn apply_at(&mut self, index: u64, cmd: &Command) -> CommandReply {
        self.log_index = index;
        self.apply(cmd)
    }

    /// Applies a committed command.
    ///
    /// # Panics
    ///
    /// If a budget that the command changes would break
    /// `topped_up = unspent + allotted + settled`. The state must not be used
    /// after that.
    pub fn apply(&mut self, cmd: &Command) -> CommandReply {
        // A new leader's clock may be behind, but ledger time must not go back.
        self.now_ms = self.now_ms.max(cmd.at_ms);
        let reply = match &cmd.body {
            Some(Body::ConfigChange(c)) => self.config_change(c),
            Some(Body::TopUp(c)) => self.top_up(c),
            Some(Body::OpenIncarnation(c)) => self.open_incarnation(c),
            Some(Body::CloseIncarnation(c)) => self.close_incarnation(c),
            Some(Body::Grant(c)) => self.grant(c),
            Some(Body::Report(c)) => self.report(c),
            Some(Body::OrderBegin(c)) => self.order_begin(c),
            Some(Body::OrderFinish(c)) => self.order_finish(c),
            Some(Body::Strike(c)) => self.strike(c),
            Some(Body::SuspectBegin(c)) => self.suspect_begin(c),
            Some(Body::SuspectEnd(c)) => self.suspect_end(c),
            Some(Body::Expire(_)) => self.expire(),
            Some(Body::Publish(c)) => self.publish(c),
            Some(Body::RestoreReserve(c)) => self.restore_reserve(c),
            Some(Body::ReportCrashes(c)) => self.report_crashes(c),
            Some(Body::ReleaseQuarantine(c)) => self.release_quarantine(c),
            Some(Body::Evacuate(c)) => self.evacuate(c),
            None => refused(code::MALFORMED, "the command has no body"),
        };
        CommandReply { reply: Some(reply) }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the update from a revision to the one in force, or `None` if
    /// there is nothing newer. The update holds the full configuration when the
    /// history no longer reaches back to the revision.
    pub fn config_since(&self, revision: Revision) -> Option<ConfigUpdate> {
        if revision >= self.config.revision() {
            return None;
        }
        Some(
            self.changes
                .since(revision)
                .unwrap_or_else(|| self.config.to_update()),
        )
    }

    /// Returns the ledger time, in milliseconds since the Unix epoch.
    ///
    /// It is the largest timestamp of any applied command.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the fingerprints of all suspect and quarantined requests.
    pub fn suspect_fingerprints(&self) -> Vec<Fingerprint> {
        self.suspects.fingerprints()
    }

    /// Asserts every invariant of the whole state.
    ///
    /// # Panics
    ///
    /// If an invariant is broken.
    pub fn assert_invariants(&self) {
        self.assert_account_invariants();
        self.assert_router_invariants();
        self.assert_suspect_invariants();
        assert!(
            self.config.budgets().len()
                == self
                    .accounts
                    .by_name
                    .keys()
                    .filter(|name| prepaid_team(name).is_none())
                    .count()
                && self
                    .config
                    .budgets()
                    .all(|b| self.accounts.get(&b.name).is_some()),
            "every configured budget has an account and no other exists"
        );
    }

    fn expire(&mut self) -> Reply {
        self.changes
            .expire(self.now_ms, self.config.value("change_id_keep_ms", ""));
        self.accounts.expire(
            self.now_ms,
            self.config.value("top_up_id_keep_ms", ""),
            self.config.value("request_key_keep_ms", ""),
        );
        self.expire_incarnations();
        self.orders
            .expire(self.now_ms, self.config.value("order_keep_ms", ""));
        self.suspects
            .expire(self.now_ms, self.config.value("condemn_ms", ""));
        self.expire_crashes();
        Reply::Ok(OkReply {})
    }
}

/// Returns whether `duration_ms` has passed since `since_ms`.
pub(crate) fn has_elapsed(now_ms: u64, since_ms: u64, duration_ms: u64) -> bool {
    now_ms.saturating_sub(since_ms) >= duration_ms
}

/// Removes elements from the front of a queue while they are at least `keep_ms`
/// old, and passes each to `on_drop`. `at` returns the time of an element.
pub(crate) fn drain_expired<T>(
    queue: &mut VecDeque<T>,
    at: impl Fn(&T) -> u64,
    now_ms: u64,
    keep_ms: u64,
    mut on_drop: impl FnMut(T),
) {
    while queue
        .front()
        .is_some_and(|e| has_elapsed(now_ms, at(e), keep_ms))
    {
        if let Some(e) = queue.pop_front() {
            on_drop(e);
        }
    }
}
