//! False refusals by size of the balance, and the cost of budgets at scale.
//!
//! [`study`] simulates 9 routers and teams of different balances with the
//! production `Ledger` and `Allotments`, and counts false refusals with and
//! without each rule that moves tokens to where a request needs them.
//! [`slopes`] measures memory, snapshot and wire bytes and the apply rate at
//! several sizes.

mod simulation;
mod slopes;

use serde::Serialize;

pub use slopes::SlopeRow;
pub use slopes::slopes;

/// Rules that move tokens to the router that needs them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Rules {
    /// Grants cover exactly the need when the balance is small.
    pub exact_size: bool,
    /// Idle allotments are recalled before a grant is refused.
    pub recall: bool,
    /// The entry response, which lists the routers that a team's callers may
    /// use, names only two for a team with a small balance.
    pub two_routers: bool,
}

impl Rules {
    /// Every rule, as in production.
    pub const ALL: Self = Self {
        exact_size: true,
        recall: true,
        two_routers: true,
    };
}

/// Parameters of [`study`].
#[derive(Clone, Debug, PartialEq)]
pub struct StudyConfig {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of routers.
    pub routers: usize,
    /// Balances to compare, in tokens. A request reserves 300 to 2,000 tokens.
    pub balances: Vec<u64>,
    /// Number of teams for each balance.
    pub teams: usize,
    /// Time from which one router and control can't reach each other, in
    /// seconds. Callers then use the other routers.
    pub partition_at_s: Option<u64>,
    /// Sets of rules to compare, each with its name in the report.
    pub rules: Vec<(&'static str, Rules)>,
}

impl Default for StudyConfig {
    fn default() -> Self {
        let all_rules = Rules::ALL;
        Self {
            seed: 20_261_204,
            routers: 9,
            balances: vec![3_000, 10_000, 30_000, 100_000, 300_000, 1_000_000],
            teams: 20,
            partition_at_s: None,
            rules: vec![
                ("all rules", all_rules),
                (
                    "without exact size",
                    Rules {
                        exact_size: false,
                        ..all_rules
                    },
                ),
                (
                    "without recall",
                    Rules {
                        recall: false,
                        ..all_rules
                    },
                ),
                (
                    "without two routers",
                    Rules {
                        two_routers: false,
                        ..all_rules
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

/// Results of the teams with one balance under one set of rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct StudyRow {
    /// Name of the set of rules.
    pub rules: String,
    /// Prepaid balance of each team, in tokens.
    pub balance: u64,
    /// Number of teams.
    pub teams: usize,
    /// Requests sent by callers.
    pub requests: u64,
    /// Requests that got their reservation.
    pub served: u64,
    /// Requests refused for lack of tokens.
    pub refused: u64,
    /// Requests refused although the tokens that were neither used nor reserved
    /// covered the need.
    pub false_refusals: u64,
    /// False refusals per 1,000 requests.
    pub false_per_thousand: f64,
    /// Tokens used, in percent of the balance.
    pub used_percent: f64,
    /// Grants per request.
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

/// Simulates every set of rules with the same requests.
pub fn study(cfg: &StudyConfig) -> Vec<StudyRow> {
    cfg.rules
        .iter()
        .flat_map(|(name, rules)| simulation::run(cfg, name, *rules))
        .collect()
}
