//! What a run measured.

use std::collections::HashMap;

use anvilloft_types::prelude::*;

/// Counts and samples of one team in one rank.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cell {
    pub(crate) offered: u64,
    pub(crate) served: u64,
    pub(crate) refused: u64,
    /// Requests that may be repeated and failed all the same.
    pub(crate) failed: u64,
    /// Streams that broke after their first byte.
    pub(crate) cut: u64,
    /// Requests refused as quarantined although they crash nothing.
    pub(crate) condemned: u64,
    pub(crate) waits: Vec<f32>,
}

impl Cell {
    fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.cut += other.cut;
        self.condemned += other.condemned;
        self.waits.extend_from_slice(&other.waits);
    }

    /// Returns the served part of the offered requests.
    pub(crate) fn served_part(&self) -> f64 {
        self.served as f64 / (self.offered as f64).max(1.0)
    }

    /// Returns the 95th percentile of the wait, in seconds.
    pub(crate) fn wait_p95(&self) -> f64 {
        percentile(&self.waits, 0.95)
    }
}

/// Returns a percentile of samples.
pub(crate) fn percentile(samples: &[f32], p: f64) -> f64 {
    if samples.is_empty() {
        return 0.0;
    }
    let mut sorted = samples.to_vec();
    sorted.sort_unstable_by(f32::total_cmp);
    let at = ((sorted.len() - 1) as f64 * p).round() as usize;
    f64::from(sorted[at])
}

/// Everything that a run measured.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) cells: HashMap<(usize, usize), Cell>,
    /// Tokens of answers that ended in the measured time, by rank.
    pub(crate) tokens: [f64; 3],
    /// Tokens of the requests that arrived in the measured time.
    pub(crate) offered_tokens: f64,
    /// Slot-seconds in use in the measured time.
    pub(crate) busy: f64,
    /// Slot-seconds that existed in the measured time.
    pub(crate) existed: f64,
    /// Most requests at one endpoint beyond its slots.
    pub(crate) over: i64,
    /// Most requests of one router at one endpoint beyond its equal part,
    /// rounded down.
    pub(crate) over_router: i64,
    /// Waits inside the engines, by rank, in seconds.
    pub(crate) engine_waits: [Vec<f32>; 3],
    pub(crate) first: Vec<f32>,
    pub(crate) gaps: Vec<f32>,
    /// Endpoints lost to each crashing request.
    pub(crate) deaths: HashMap<u64, u32>,
    /// Requests that had no answer at the end of the run.
    pub(crate) unanswered: u64,
    /// Measured time, in seconds.
    pub(crate) seconds: f64,
    /// Relative deviation of the load over the endpoints, sampled.
    pub(crate) spread: Vec<f32>,
}

impl Tally {
    pub(crate) fn cell(&mut self, team: usize, rank: usize) -> &mut Cell {
        self.cells.entry((team, rank)).or_default()
    }

    /// Returns the sum over the cells that match.
    pub(crate) fn sum(&self, pick: impl Fn(usize, usize) -> bool) -> Cell {
        let mut out = Cell::default();
        for ((team, rank), cell) in &self.cells {
            if pick(*team, *rank) {
                out.add(cell);
            }
        }
        out
    }

    pub(crate) fn rank(&self, rank: usize) -> Cell {
        self.sum(|_, r| r == rank)
    }

    pub(crate) fn all(&self) -> Cell {
        self.sum(|_, _| true)
    }

    /// Returns tokens of complete answers a second.
    pub(crate) fn goodput(&self) -> f64 {
        self.tokens.iter().sum::<f64>() / self.seconds.max(1e-9)
    }

    /// Returns tokens asked for a second.
    pub(crate) fn demand(&self) -> f64 {
        self.offered_tokens / self.seconds.max(1e-9)
    }

    pub(crate) fn token_share(&self, rank: usize) -> f64 {
        self.tokens[rank] / self.tokens.iter().sum::<f64>().max(1.0)
    }

    pub(crate) fn busy_part(&self) -> f64 {
        self.busy / self.existed.max(1e-9)
    }
}

/// Returns the relative standard deviation.
pub(crate) fn deviation(values: &[f64]) -> f64 {
    let n = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / n;
    if mean <= 0.0 {
        return 0.0;
    }
    let var = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / n;
    var.sqrt() / mean
}

/// Returns whether a time lies in the measured part of a run.
pub(crate) fn measured(at: Duration, warm: Duration, end: Duration) -> bool {
    at >= warm && at < end
}
