//! Ranks, limits and capacity.

use anvilloft_types::prelude::*;

/// A rank of work.
#[derive(Clone, Debug, PartialEq)]
pub struct Rank {
    /// Name, such as `urgent`.
    pub name: RankName,
    /// Order of service; 0 is served first.
    pub level: u32,
    /// Weight among ranks of one level; 0 counts as 1.
    pub weight: u32,
    /// Share of tokens kept while the rank has demand, in percent.
    pub floor_percent: u32,
    /// Longest time in the queue.
    pub max_wait: Duration,
}

impl Rank {
    /// Makes a rank.
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
    /// Longest queue of a team in one rank, in requests.
    pub max_team_queue: usize,
    /// Longest sum of all queues, in requests.
    pub max_total_queue: usize,
    /// Share of the first rank's tokens that one team may take while other
    /// teams wait in that rank, in percent.
    pub urgent_share_percent: u32,
    /// Share of the slots that is kept for the first rank, for floors and for
    /// teams well below the largest user, in permille.
    ///
    /// Without it, an urgent request or a small team that meets a fleet full of
    /// other work waits for the next request to end. 45 keeps 95 % of the slots
    /// busy with that other work alone.
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

/// What may run at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Requests. The sum over all routers is the slots of the endpoints.
    pub slots: u32,
    /// Requests when those beyond `slots` belong to the first rank, or to small
    /// teams while the first rank has no demand. They find the place that other
    /// routers keep free; an urgent request also goes first inside the engine.
    pub urgent_slots: u32,
    /// Estimated tokens; `Tokens::MAX` for no limit.
    pub tokens: Tokens,
}

impl Capacity {
    /// Makes a capacity without a limit on tokens.
    pub fn slots(slots: u32) -> Self {
        Self {
            slots,
            urgent_slots: slots,
            tokens: Tokens::MAX,
        }
    }
}
