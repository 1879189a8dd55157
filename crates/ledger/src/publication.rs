//! The published route table and the prepaid amounts that came with it.
//!
//! The ledger keeps the table as the operator wrote it and does not read it.
//! Each team's prepaid amount is a budget of its own, named by
//! [`prepaid_budget`], so grants, reports and recalls treat it as any other.

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

/// Start of the names of prepaid budgets. Configured names hold no `/`.
const PREFIX: &str = "prepaid/";
/// Largest count of teams in one publication.
const MAX_TEAMS: usize = 65_536;

/// Returns the name of the budget that holds a team's prepaid amount.
pub fn prepaid_budget(team: &str) -> BudgetId {
    format!("{PREFIX}{team}")
}

/// Returns the team whose prepaid amount a budget holds.
pub(crate) fn team_of(budget: &str) -> Option<&str> {
    budget.strip_prefix(PREFIX)
}

/// The table in force, packed.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Table {
    pub(crate) version: u64,
    pub(crate) source: Arc<[u8]>,
}

impl Ledger {
    /// Returns the version of the published route table, 0 before the first.
    pub fn publication_version(&self) -> u64 {
        self.table.version
    }

    /// Returns the published route table when it is newer than a version.
    pub fn publication_since(&self, version: u64) -> Option<Publication> {
        (self.table.version > version).then(|| Publication {
            version: self.table.version,
            source: self.table.source.to_vec(),
        })
    }

    /// Publishes a table with a higher version. The first accepted content of
    /// a version stands: another content under the same number changes nothing.
    pub(crate) fn publish(&mut self, c: &Publish) -> Reply {
        if c.version > self.table.version {
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
            self.table = Table {
                version: c.version,
                source: c.source.as_slice().into(),
            };
            for p in &c.prepaid {
                self.accounts.set_total(&prepaid_budget(&p.team), p.tokens);
            }
        }
        Reply::Published(Published {
            version: self.table.version,
        })
    }

    /// Returns the team that a budget belongs to, configured or prepaid.
    pub(crate) fn budget_team(&self, budget: &str) -> Option<TeamId> {
        match self.config.budget(budget) {
            Some(b) => Some(b.team.clone()),
            None => team_of(budget).map(str::to_owned),
        }
    }
}
