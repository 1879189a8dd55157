//! Ranks, limits and capacity.

use anvilloft_types::prelude::*;

/// A rank: a priority class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Rank {
    /// Name, such as `urgent`.
    pub name: RankName,
    /// Priority level; 0 is served first.
    pub level: u32,
    /// Weight among ranks of one level; 0 counts as 1.
    pub weight: u32,
    /// Minimum share of the tokens that the rank gets while it has demand, in
    /// percent.
    pub floor_percent: u32,
    /// Maximum time in the queue.
    pub max_wait: Duration,
}

impl Rank {
    /// Creates a rank of weight 1.
    pub fn new(name: &str, level: u32, floor_percent: u32, max_wait: Duration) -> Self {
        Self {
            name: name.to_owned(),
            level,
            weight: 1,
            floor_percent,
            max_wait,
        }
    }
}

/// Limits that the configuration sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Ranks in any order.
    pub ranks: Vec<Rank>,
    /// Maximum number of queued requests of a team in one rank.
    pub max_team_queue: usize,
    /// Maximum number of requests in all queues together.
    pub max_total_queue: usize,
    /// Maximum share of the first rank's tokens that one team may take while
    /// other teams wait in that rank, in percent.
    pub urgent_share_percent: u32,
    /// Share of the slots that is reserved for the first rank, for floors and
    /// for teams that use much less than the largest user, in permille.
    ///
    /// Without the reserve, an urgent request or one of a small team has to
    /// wait for a running request to end whenever other work fills the fleet.
    /// With 45, that other work alone keeps 95 % of the slots busy.
    pub reserve_permille: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            ranks: vec![
                Rank::new("urgent", 0, 0, Duration::from_secs(2)),
                Rank::new("normal", 1, 10, Duration::from_secs(8)),
                Rank::new("low", 2, 5, Duration::from_secs(30)),
            ],
            max_team_queue: 256,
            max_total_queue: 8192,
            urgent_share_percent: 50,
            reserve_permille: 45,
        }
    }
}

/// Limits on the work that runs at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of running requests. The limits of all routers add up to
    /// the slots of the endpoints.
    pub slots: u32,
    /// Maximum number of running requests when those beyond `slots` belong to
    /// the first rank, or to small teams while the first rank has no demand.
    /// They use slots that other routers hold in reserve; an urgent request
    /// also goes first inside the engine.
    pub urgent_slots: u32,
    /// Maximum sum of the estimated tokens of running requests; `Tokens::MAX`
    /// for no limit.
    pub tokens: Tokens,
}

impl Capacity {
    /// Creates a capacity without a limit on tokens.
    pub fn slots(slots: u32) -> Self {
        Self {
            slots,
            urgent_slots: slots,
            tokens: Tokens::MAX,
        }
    }
}
