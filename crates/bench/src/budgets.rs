//! Budgets of small and large teams, and the cost of budgets at scale.
//!
//! [`study`] drives the shipping `Ledger` and `Allotments` with 9 routers and
//! teams of different balances, and counts false refusals with and without
//! each rule that brings tokens to the request. [`slopes`] measures memory,
//! snapshot and wire bytes and the apply rate at several sizes.

mod fleet;
mod slopes;

use serde::Serialize;

pub use slopes::SlopeRow;
pub use slopes::slopes;

/// The rules that bring tokens to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Rules {
    /// Grants have the exact size of the need when the balance is small.
    pub exact_size: bool,
    /// Idle allotments are recalled before a grant is refused.
    pub recall: bool,
    /// The entry answer points a team with a small balance at two routers.
    pub two_routers: bool,
}

impl Rules {
    /// Every rule, as the system runs.
    pub const ALL: Self = Self {
        exact_size: true,
        recall: true,
        two_routers: true,
    };
}

/// What to run.
#[derive(Clone, Debug, PartialEq)]
pub struct StudyConfig {
    /// Seed of every random choice.
    pub seed: u64,
    /// Count of routers.
    pub routers: usize,
    /// Balances to compare, in tokens. A request reserves 300 to 2,000.
    pub balances: Vec<u64>,
    /// Count of teams for each balance.
    pub teams: usize,
    /// Time from which one router and control can't reach each other, in
    /// seconds. Callers then use the others.
    pub cut_at: Option<u64>,
    /// Sets of rules to compare.
    pub rules: Vec<(&'static str, Rules)>,
}

impl Default for StudyConfig {
    fn default() -> Self {
        let all = Rules::ALL;
        Self {
            seed: 20_261_204,
            routers: 9,
            balances: vec![3_000, 10_000, 30_000, 100_000, 300_000, 1_000_000],
            teams: 20,
            cut_at: None,
            rules: vec![
                ("all rules", all),
                (
                    "without exact size",
                    Rules {
                        exact_size: false,
                        ..all
                    },
                ),
                (
                    "without recall",
                    Rules {
                        recall: false,
                        ..all
                    },
                ),
                (
                    "without two routers",
                    Rules {
                        two_routers: false,
                        ..all
                    },
                ),
                (
                    "no rule",
                    Rules {
                        exact_size: false,
                        recall: false,
                        two_routers: false,
                    },
                ),
            ],
        }
    }
}

/// Figures of the teams with one balance under one set of rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct StudyRow {
    /// Name of the set of rules.
    pub rules: String,
    /// Prepaid balance of each team, in tokens.
    pub balance: u64,
    /// Count of teams.
    pub teams: usize,
    /// Requests offered.
    pub requests: u64,
    /// Requests that got their reservation.
    pub served: u64,
    /// Requests refused for lack of tokens.
    pub refused: u64,
    /// Refused although the tokens neither used nor reserved covered the need.
    pub false_refusals: u64,
    /// False refusals for each 1,000 requests.
    pub false_per_thousand: f64,
    /// Tokens used, in percent of the balance.
    pub used_percent: f64,
    /// Grants for each request.
    pub grants_per_request: f64,
    /// 95th percentile of the wait for a reservation, in milliseconds.
    pub wait_p95_ms: f64,
}

impl std::fmt::Display for StudyRow {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:<20} balance {:>9}  requests {:>6}  refused {:>6}  false {:>5} ({:>6.2} in 1,000)  used {:>5.1} %  grants/request {:>5.2}  wait p95 {:>6.1} ms",
            self.rules,
            self.balance,
            self.requests,
            self.refused,
            self.false_refusals,
            self.false_per_thousand,
            self.used_percent,
            self.grants_per_request,
            self.wait_p95_ms,
        )
    }
}

/// Runs every set of rules with the same requests.
pub fn study(cfg: &StudyConfig) -> Vec<StudyRow> {
    cfg.rules
        .iter()
        .flat_map(|(name, rules)| fleet::run(cfg, name, *rules))
        .collect()
}
