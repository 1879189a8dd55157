//! The published route table and the prepaid amounts of its teams.
//!
//! The ledger stores the table as the operator wrote it and doesn't parse it.
//! Each team's prepaid amount is a separate budget, named by
//! [`prepaid_budget`], so grants, reports and recalls treat it like any other.

use std::sync::Arc;

use anvilloft_types::BudgetId;
use anvilloft_types::TeamId;
use anvilloft_wire::command::Publish;
use anvilloft_wire::command::Published;
use anvilloft_wire::command::Reply;
use anvilloft_wire::control::Publication;

use crate::code;
use crate::code::refused;
use crate::ledger::Ledger;
use crate::validate::check_name;

/// Prefix of the names of prepaid budgets. No configured budget has it, as
/// configured names have no `/`.
const PREPAID_PREFIX: &str = "prepaid/";
/// Maximum number of teams in one publication.
const MAX_TEAMS: usize = 65_536;

/// Returns the name of the budget that holds a team's prepaid amount.
pub fn prepaid_budget(team: &str) -> BudgetId {
    format!("{PREPAID_PREFIX}{team}")
}

/// Returns the team whose prepaid amount a budget holds, or `None` for a
/// configured budget.
pub(crate) fn prepaid_team(budget: &str) -> Option<&str> {
    budget.strip_prefix(PREPAID_PREFIX)
}

/// The published route table in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RouteTable {
    pub(crate) version: u64,
    /// The table as the operator wrote it, compressed by
    /// [`anvilloft_wire::compression`].
    pub(crate) source: Arc<[u8]>,
}

impl Ledger {
    /// Returns the version of the published route table, or 0 if there is none.
    pub fn publication_version(&self) -> u64 {
        self.route_table.version
    }

    /// Returns the compressed size of the published route table, in bytes.
    pub fn publication_bytes(&self) -> usize {
        self.route_table.source.len()
    }

    /// Returns the published route table if it is newer than a version.
    pub fn publication_since(&self, version: u64) -> Option<Publication> {
        (self.route_table.version > version).then(|| Publication {
            version: self.route_table.version,
            source: self.route_table.source.to_vec(),
        })
    }

    /// Publishes a route table if its version is higher than the one in force.
    /// Another table under a version that was accepted before changes nothing.
    pub(crate) fn publish(&mut self, c: &Publish) -> Reply {
        if c.version > self.route_table.version {
            if c.prepaid.len() > MAX_TEAMS {
                return refused(
                    code::OUT_OF_RANGE,
                    format!("a route table has at most {MAX_TEAMS} teams"),
                );
            }
            if let Some((code, message)) = c.prepaid.iter().find_map(|p| check_name(&p.team).err())
            {
                return refused(code, message);
            }
            self.route_table = RouteTable {
                version: c.version,
                source: c.source.as_slice().into(),
            };
            for p in &c.prepaid {
                self.accounts
                    .set_published_total(&prepaid_budget(&p.team), p.tokens);
            }
        }
        Reply::Published(Published {
            version: self.route_table.version,
        })
    }

    /// Returns the team that a budget belongs to, configured or prepaid.
    pub(crate) fn budget_team(&self, budget: &str) -> Option<TeamId> {
        match self.config.budget(budget) {
            Some(b) => Some(b.team.clone()),
            None => prepaid_team(budget).map(str::to_owned),
        }
    }
}
