//! Counts and samples measured in a run.

use std::collections::HashMap;

use anvilloft_types::prelude::*;

/// Counts and samples of the requests of one team in one rank.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestStats {
    pub(crate) offered: u64,
    pub(crate) served: u64,
    pub(crate) refused: u64,
    /// Requests that failed although they were safe to retry.
    pub(crate) failed: u64,
    /// Streams that broke after their first byte.
    pub(crate) broken_streams: u64,
    /// Requests refused as quarantined although they don't crash endpoints.
    pub(crate) quarantined: u64,
    /// Waits from the arrival at the router to the start on an endpoint, in
    /// seconds.
    pub(crate) waits: Vec<f32>,
}

impl RequestStats {
    fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.broken_streams += other.broken_streams;
        self.quarantined += other.quarantined;
        self.waits.extend_from_slice(&other.waits);
    }

    /// Returns the fraction of offered requests that were served.
    pub(crate) fn served_fraction(&self) -> f64 {
        self.served as f64 / (self.offered as f64).max(1.0)
    }

    /// Returns the 95th percentile of the wait, in seconds.
    pub(crate) fn wait_p95(&self) -> f64 {
        percentile(&self.waits, 0.95)
    }
}

/// Returns a percentile (0 to 1) of the samples, or 0 without samples.
pub(crate) fn percentile(samples: &[f32], p: f64) -> f64 {
    if samples.is_empty() {
        return 0.0;
    }
    let mut sorted = samples.to_vec();
    sorted.sort_unstable_by(f32::total_cmp);
    let index = ((sorted.len() - 1) as f64 * p).round() as usize;
    f64::from(sorted[index])
}

/// All measurements of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunStats {
    /// Requests by team and rank.
    pub(crate) by_team_and_rank: HashMap<(usize, usize), RequestStats>,
    /// Tokens of responses that completed in the measured time, by rank.
    pub(crate) tokens: [f64; 3],
    /// Tokens of the requests that arrived in the measured time.
    pub(crate) offered_tokens: f64,
    /// Busy slot-seconds in the measured time.
    pub(crate) busy_slot_seconds: f64,
    /// Slot-seconds of all endpoints in the measured time.
    pub(crate) total_slot_seconds: f64,
    /// Maximum number of requests on one endpoint beyond its slots.
    pub(crate) max_over_slots: i64,
    /// Maximum number of requests of one router on one endpoint beyond its equal
    /// share of the slots, rounded down.
    pub(crate) max_over_router_share: i64,
    /// Waits in the queues of the endpoints, by rank, in seconds.
    pub(crate) engine_waits: [Vec<f32>; 3],
    /// Wait plus the time from sending the attempt to its first byte, in seconds.
    pub(crate) first_token_times: Vec<f32>,
    /// Times between tokens, in seconds.
    pub(crate) gaps: Vec<f32>,
    /// Number of endpoint crashes by fingerprint of the crashing request.
    pub(crate) endpoint_deaths: HashMap<u64, u32>,
    /// Requests without a response at the end of the run.
    pub(crate) unanswered: u64,
    /// Measured time, in seconds.
    pub(crate) seconds: f64,
    /// Samples of the relative standard deviation of the load of the endpoints.
    pub(crate) load_deviations: Vec<f32>,
}

impl RunStats {
    pub(crate) fn requests_of(&mut self, team: usize, rank: usize) -> &mut RequestStats {
        self.by_team_and_rank.entry((team, rank)).or_default()
    }

    /// Returns the sum over the teams and ranks that match.
    pub(crate) fn sum(&self, include: impl Fn(usize, usize) -> bool) -> RequestStats {
        let mut sum = RequestStats::default();
        for ((team, rank), stats) in &self.by_team_and_rank {
            if include(*team, *rank) {
                sum.add(stats);
            }
        }
        sum
    }

    pub(crate) fn of_rank(&self, rank: usize) -> RequestStats {
        self.sum(|_, r| r == rank)
    }

    pub(crate) fn total(&self) -> RequestStats {
        self.sum(|_, _| true)
    }

    /// Returns the tokens of complete responses per second.
    pub(crate) fn goodput(&self) -> f64 {
        self.tokens.iter().sum::<f64>() / self.seconds.max(1e-9)
    }

    /// Returns the requested tokens per second.
    pub(crate) fn demand(&self) -> f64 {
        self.offered_tokens / self.seconds.max(1e-9)
    }

    pub(crate) fn token_share(&self, rank: usize) -> f64 {
        self.tokens[rank] / self.tokens.iter().sum::<f64>().max(1.0)
    }

    pub(crate) fn busy_fraction(&self) -> f64 {
        self.busy_slot_seconds / self.total_slot_seconds.max(1e-9)
    }
}

/// Returns the standard deviation relative to the mean.
pub(crate) fn relative_deviation(values: &[f64]) -> f64 {
    let n = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / n;
    if mean <= 0.0 {
        return 0.0;
    }
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / n;
    variance.sqrt() / mean
}

/// Returns whether a time is after the warm-up and before the end of a run.
pub(crate) fn in_measured_time(at: Duration, warm_up: Duration, end: Duration) -> bool {
    at >= warm_up && at < end
}
