//! Arrivals, generated before a run so that every policy meets the same ones.

use anvilloft_types::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::engine;

/// Names of the ranks by index.
pub(crate) const RANKS: [&str; 3] = ["urgent", "normal", "low"];

/// Sizes of the requests of one kind, in tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) prompt: (u32, u32),
    pub(crate) out: (u32, u32),
}

impl Shape {
    fn mean(range: (u32, u32)) -> f64 {
        f64::from(range.0 + range.1) / 2.0
    }

    /// Returns the mean time in a slot, in seconds.
    pub(crate) fn nominal(&self, slots: u32) -> f64 {
        engine::nominal(Self::mean(self.prompt), Self::mean(self.out), slots)
    }
}

/// Short answers, long drafts and photo tags.
pub(crate) const SHAPES: [Shape; 3] = [
    Shape {
        prompt: (100, 500),
        out: (20, 100),
    },
    Shape {
        prompt: (200, 1400),
        out: (40, 240),
    },
    Shape {
        prompt: (300, 900),
        out: (10, 50),
    },
];

/// One stream of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source {
    pub(crate) team: usize,
    pub(crate) rank: usize,
    pub(crate) shape: Shape,
    /// Slots that the source keeps busy on average.
    pub(crate) slots: f64,
}

/// One request that arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) team: usize,
    pub(crate) rank: usize,
    pub(crate) router: usize,
    pub(crate) prompt: u32,
    pub(crate) out: u32,
    /// Estimate before the run: prompt and output limit.
    pub(crate) estimate: u32,
    pub(crate) prefix: u64,
    pub(crate) fingerprint: u64,
    pub(crate) stream: bool,
    pub(crate) poison: bool,
}

/// How callers find routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Entry {
    /// Any router.
    All,
    /// `clamp(ceil(8 x team share), 2, all)` routers by team.
    ByShare,
}

/// Parameters of the arrivals.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    pub(crate) sources: Vec<Source>,
    pub(crate) routers: usize,
    pub(crate) slots: u32,
    pub(crate) seconds: f64,
    pub(crate) entry: Entry,
    /// One request in so many crashes its endpoint; 0 for none.
    pub(crate) poison_every: u32,
    /// Distinct prompt prefixes of a team.
    pub(crate) prefixes: u64,
}

impl Workload {
    /// Generates the arrivals in order of time.
    pub(crate) fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut out = Vec::new();
        let total: f64 = self.sources.iter().map(|s| s.slots).sum();
        for (no, s) in self.sources.iter().enumerate() {
            // Each source has its own generator, so that a flood of one source
            // leaves the arrivals of the others as they were.
            let mut rng = SmallRng::seed_from_u64(seed ^ ((no as u64 + 1) << 32));
            let rate = s.slots / s.shape.nominal(self.slots);
            let team_slots: f64 = self
                .sources
                .iter()
                .filter(|o| o.team == s.team)
                .map(|o| o.slots)
                .sum();
            let entry = self.entry_of(s.team, team_slots / total);
            let mut at = 0.0;
            loop {
                at -= rng.random::<f64>().max(1e-12).ln() / rate;
                if at >= self.seconds {
                    break;
                }
                let prompt = rng.random_range(s.shape.prompt.0..=s.shape.prompt.1);
                let tokens = rng.random_range(s.shape.out.0..=s.shape.out.1);
                let spare = rng.random_range(1.0..2.0);
                let pick = rng.random_range(0..entry.len());
                let prefix = rng.random_range(0..self.prefixes.max(1));
                out.push(Arrival {
                    at: Duration::from_secs_f64(at),
                    team: s.team,
                    rank: s.rank,
                    router: entry[pick],
                    prompt,
                    out: tokens,
                    estimate: prompt + (f64::from(tokens) * spare) as u32,
                    prefix: ((s.team as u64) << 32) | prefix,
                    fingerprint: rng.random(),
                    stream: rng.random::<f64>() < 0.5,
                    poison: self.poison_every > 0 && rng.random_range(0..self.poison_every) == 0,
                });
            }
        }
        out.sort_by_key(|a| a.at);
        out
    }

    fn entry_of(&self, team: usize, share: f64) -> Vec<usize> {
        let n = match self.entry {
            Entry::All => self.routers,
            Entry::ByShare => anvilloft_directory::entry_router_count(share, self.routers),
        };
        // A stride that is coprime to the usual counts spreads the teams.
        (0..n).map(|i| (team * 5 + i * 2) % self.routers).collect()
    }
}
