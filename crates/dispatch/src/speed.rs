//! Learns how many prompt tokens engines process per second.
//!
//! Load that this handles: prompts of mixed length from many routers that know only a part
//! of each other's work, at engines that differ by a third for good or become 2.5 times
//! slower for a while. The time to the first event of a prompt that had no other work ahead
//! of it is a sample. Prompts of routers that don't report to this one may still have been
//! ahead of it, so samples are too slow more often than too fast.
//!
//! The rate of a service is a quantile of its latest samples, above the median because of
//! that, and so is the factor of an engine of its samples relative to the rate. Longer
//! prompts count more, as the network and the first step of the answer take less of their
//! time.
//! One sample moves neither by more than a rank, however slow it is, so it doesn't make
//! routers leave an engine, which would then read their shared parts again elsewhere.

use std::collections::VecDeque;

use anvilloft_types::prelude::*;

/// Minimum number of processed tokens of a sample.
const MIN_SAMPLE_TOKENS: Tokens = 1_000;
/// Number of tokens from which samples count alike, so that no prompt outweighs many others.
const FULL_WEIGHT_TOKENS: Tokens = 8_000;
/// Number of the latest samples of a service that are used. Larger windows follow a change
/// of all engines later.
const SERVICE_SAMPLES: usize = 48;
/// Number of samples of a service from which the initial estimate has no influence.
const MIN_SERVICE_SAMPLES: usize = 8;
/// Quantile of the samples that is the rate of a service: right while other work was ahead
/// of up to 40 % of the prompts.
const SERVICE_QUANTILE: f64 = 0.6;
/// Number of the latest samples of an engine that are used.
const ENGINE_SAMPLES: usize = 5;
/// Quantile of the samples that is the factor of an engine: four slow samples of five make it
/// slow. With a third of the prompts behind unknown work, three of five are slow by chance
/// in 21 % of the windows, four in 4.5 %.
const ENGINE_QUANTILE: f64 = 0.75;
/// Age from which samples of an engine are forgotten. An engine that is slow for half a
/// second gets fewer prompts, so nothing else may show that it is sound again.
const ENGINE_SAMPLE_MAX_AGE: Duration = Duration::from_secs(30);
/// Range of an engine's factor.
const FACTOR_RANGE: (f64, f64) = (0.2, 5.0);

/// Time to the first event of a prompt that had no other work ahead of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedSample {
    /// Tokens per second.
    pub rate: f64,
    weight: f64,
}

impl SpeedSample {
    /// Creates the sample of a prompt of which `tokens` were processed. Returns `None` if
    /// these are too few to tell.
    pub fn new(tokens: Tokens, elapsed: Duration) -> Option<Self> {
        (tokens >= MIN_SAMPLE_TOKENS && !elapsed.is_zero()).then(|| Self {
            rate: tokens as f64 / elapsed.as_secs_f64(),
            weight: tokens.min(FULL_WEIGHT_TOKENS) as f64,
        })
    }
}

/// Returns a quantile of values with weights, or `default` without values.
fn quantile(mut values: Vec<(f64, f64)>, q: f64, default: f64) -> f64 {
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut left = values.iter().map(|(_, weight)| weight).sum::<f64>() * q;
    for (value, weight) in &values {
        left -= weight;
        if left < 0.0 {
            return *value;
        }
    }
    values.last().map_or(default, |(value, _)| *value)
}

/// Prompt tokens per second of the engines of a service.
#[derive(Clone, Debug)]
pub struct ServiceSpeed {
    initial: f64,
    rate: f64,
    samples: VecDeque<SpeedSample>,
}

impl ServiceSpeed {
    /// Creates the speed of a service of which nothing but an estimate is known.
    pub fn new(initial: f64) -> Self {
        Self {
            initial,
            rate: initial,
            samples: VecDeque::new(),
        }
    }

    /// Records a sample.
    pub fn record(&mut self, sample: SpeedSample) {
        if self.samples.len() >= SERVICE_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        let missing = MIN_SERVICE_SAMPLES.saturating_sub(self.samples.len());
        let prior = (self.initial, sample.weight * missing as f64);
        let samples = self.samples.iter().map(|s| (s.rate, s.weight));
        let values = samples.chain([prior]).collect();
        self.rate = quantile(values, SERVICE_QUANTILE, self.initial);
    }

    /// Returns the rate, in tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}

/// Speed of an engine relative to its service.
#[derive(Clone, Debug)]
pub struct EngineSpeed {
    factor: f64,
    // Oldest first.
    samples: VecDeque<(Duration, f64)>,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            factor: 1.0,
            samples: VecDeque::new(),
        }
    }
}

impl EngineSpeed {
    /// Records a sample, relative to the rate of the service.
    pub fn record(&mut self, now: Duration, relative: f64) {
        let is_recent = |at: Duration| now.saturating_sub(at) < ENGINE_SAMPLE_MAX_AGE;
        self.samples.retain(|(at, _)| is_recent(*at));
        if self.samples.len() >= ENGINE_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, relative));
        let missing = ENGINE_SAMPLES.saturating_sub(self.samples.len());
        let samples = self.samples.iter().map(|(_, relative)| (*relative, 1.0));
        let values = samples.chain([(1.0, missing as f64)]).collect();
        let (min, max) = FACTOR_RANGE;
        self.factor = quantile(values, ENGINE_QUANTILE, 1.0).clamp(min, max);
    }

    /// Returns the factor, 1 without recent samples.
    pub fn factor(&self, now: Duration) -> f64 {
        let last = self.samples.back().map(|(at, _)| *at);
        match last.is_some_and(|at| now.saturating_sub(at) < ENGINE_SAMPLE_MAX_AGE) {
            true => self.factor,
            false => 1.0,
        }
    }
}
