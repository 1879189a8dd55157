//! Arrivals, generated before a run so that every policy gets the same requests.

use anvilloft_types::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::engine;

/// Names of the ranks, by index.
pub(crate) const RANKS: [&str; 3] = ["urgent", "normal", "low"];

/// Ranges of the request size, in tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) prompt_tokens: (u32, u32),
    pub(crate) output_tokens: (u32, u32),
}

impl Shape {
    fn mean(range: (u32, u32)) -> f64 {
        f64::from(range.0 + range.1) / 2.0
    }

    /// Returns the mean time that a request occupies a slot, in seconds.
    pub(crate) fn mean_slot_time_s(&self, slots: u32) -> f64 {
        engine::mean_slot_time_s(
            Self::mean(self.prompt_tokens),
            Self::mean(self.output_tokens),
            slots,
        )
    }
}

/// Shapes by rank: short answers, long drafts and photo tags.
pub(crate) const SHAPES: [Shape; 3] = [
    Shape {
        prompt_tokens: (100, 500),
        output_tokens: (20, 100),
    },
    Shape {
        prompt_tokens: (200, 1400),
        output_tokens: (40, 240),
    },
    Shape {
        prompt_tokens: (300, 900),
        output_tokens: (10, 50),
    },
];

/// Requests of one team in one rank.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source {
    pub(crate) team: usize,
    pub(crate) rank: usize,
    pub(crate) shape: Shape,
    /// Slots that the source keeps busy on average.
    pub(crate) slots: f64,
}

/// One request as its caller sends it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) arrives_at: Duration,
    pub(crate) team: usize,
    pub(crate) rank: usize,
    pub(crate) router: usize,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    /// Estimated tokens at admission: prompt and output limit.
    pub(crate) estimate: u32,
    pub(crate) prefix: u64,
    pub(crate) fingerprint: u64,
    pub(crate) stream: bool,
    /// Whether the request crashes the endpoint that runs it.
    pub(crate) poison: bool,
}

/// Which routers the callers of a team use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EntryMode {
    /// All routers.
    All,
    /// `clamp(ceil(8 x team share), 2, all)` routers for each team.
    ByShare,
}

/// Parameters of the arrivals.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    pub(crate) sources: Vec<Source>,
    pub(crate) routers: usize,
    pub(crate) slots: u32,
    pub(crate) seconds: f64,
    pub(crate) entry_mode: EntryMode,
    /// On average one in this number of requests crashes its endpoint; 0 for
    /// none.
    pub(crate) poison_every: u32,
    /// Number of distinct prompt prefixes of a team.
    pub(crate) prefixes: u64,
}

impl Workload {
    /// Generates the arrivals, sorted by time.
    pub(crate) fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        let total: f64 = self.sources.iter().map(|source| source.slots).sum();
        for (index, source) in self.sources.iter().enumerate() {
            // Each source has its own generator, so that a flood of one source
            // doesn't change the arrivals of the others.
            let mut rng = SmallRng::seed_from_u64(seed ^ ((index as u64 + 1) << 32));
            let rate = source.slots / source.shape.mean_slot_time_s(self.slots);
            let team_slots: f64 = self
                .sources
                .iter()
                .filter(|o| o.team == source.team)
                .map(|o| o.slots)
                .sum();
            let routers = self.entry_routers(source.team, team_slots / total);
            let mut time_s = 0.0;
            loop {
                time_s -= rng.random::<f64>().max(1e-12).ln() / rate;
                if time_s >= self.seconds {
                    break;
                }
                let prompt_tokens =
                    rng.random_range(source.shape.prompt_tokens.0..=source.shape.prompt_tokens.1);
                let output_tokens =
                    rng.random_range(source.shape.output_tokens.0..=source.shape.output_tokens.1);
                let estimate_factor = rng.random_range(1.0..2.0);
                let router_index = rng.random_range(0..routers.len());
                let prefix = rng.random_range(0..self.prefixes.max(1));
                arrivals.push(Arrival {
                    arrives_at: Duration::from_secs_f64(time_s),
                    team: source.team,
                    rank: source.rank,
                    router: routers[router_index],
                    prompt_tokens,
                    output_tokens,
                    estimate: prompt_tokens + (f64::from(output_tokens) * estimate_factor) as u32,
                    prefix: ((source.team as u64) << 32) | prefix,
                    fingerprint: rng.random(),
                    stream: rng.random::<f64>() < 0.5,
                    poison: self.poison_every > 0 && rng.random_range(0..self.poison_every) == 0,
                });
            }
        }
        arrivals.sort_by_key(|a| a.arrives_at);
        arrivals
    }

    fn entry_routers(&self, team: usize, share: f64) -> Vec<usize> {
        let count = match self.entry_mode {
            EntryMode::All => self.routers,
            EntryMode::ByShare => anvilloft_directory::entry_router_count(share, self.routers),
        };
        // A stride that is coprime to the usual numbers of routers spreads the
        // teams.
        (0..count)
            .map(|i| (team * 5 + i * 2) % self.routers)
            .collect()
    }
}
