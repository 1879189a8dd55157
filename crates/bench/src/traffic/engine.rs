//! Simulation of one inference endpoint.

use std::collections::VecDeque;

use anvilloft_routing::EndpointState;
use anvilloft_routing::Load;
use anvilloft_routing::ServedModel;
use anvilloft_types::prelude::*;
use rand::Rng;
use rand::rngs::SmallRng;

/// Name of the model that every endpoint serves.
pub(crate) const MODEL: &str = "m";
/// Time between tokens without the increase per running request, in seconds.
const BASE_GAP_S: f64 = 0.012;
/// Increase of the time between tokens with each running request, in seconds.
/// With 32 requests it is 28 ms, below the target of 31 ms.
const GAP_PER_REQUEST_S: f64 = 0.0005;
/// Prefill time per prompt token, in seconds.
const PREFILL_PER_TOKEN_S: f64 = 0.0002;
/// Fraction of the prefill time that remains when the prefix is cached.
const CACHED_PREFILL_FRACTION: f64 = 0.2;
/// Maximum number of prompt prefixes in the cache.
const MAX_CACHED_PREFIXES: usize = 64;
/// Probability that a cached prefix is part of an announcement.
const CACHE_EVENT_PROBABILITY: f64 = 0.8;

/// One request on an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) attempt: AttemptId,
    pub(crate) request: usize,
    pub(crate) router: usize,
    pub(crate) level: u32,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) prefix: u64,
}

/// Durations of a job, known at its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTimes {
    /// Time from the start to the first token: prefill and one gap.
    pub(crate) first_token: Duration,
    pub(crate) total: Duration,
    /// Time between tokens.
    pub(crate) gap: Duration,
}

/// One endpoint: its slots, its priority queue and its injected faults.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) id: EndpointId,
    pub(crate) incarnation: Incarnation,
    seq: u64,
    pub(crate) slots: u32,
    pub(crate) running: Vec<Job>,
    pub(crate) waiting: VecDeque<Job>,
    pub(crate) alive: bool,
    /// Whether the endpoint starts no jobs.
    pub(crate) silent: bool,
    /// Factor on all durations.
    pub(crate) slowdown: f64,
    cache: VecDeque<u64>,
}

impl Engine {
    pub(crate) fn new(index: usize, slots: u32) -> Self {
        Self {
            id: format!("e{index:04}"),
            incarnation: 1,
            seq: 0,
            slots,
            running: Vec::new(),
            waiting: VecDeque::new(),
            alive: true,
            silent: false,
            slowdown: 1.0,
            cache: VecDeque::new(),
        }
    }

    /// Returns the time between tokens with `n` running requests.
    pub(crate) fn gap(&self, n: usize) -> f64 {
        (BASE_GAP_S + GAP_PER_REQUEST_S * n as f64) * self.slowdown
    }

    pub(crate) fn running_count(&self) -> u32 {
        self.running.len() as u32
    }

    pub(crate) fn in_flight(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    pub(crate) fn in_flight_of(&self, router: usize) -> u32 {
        let jobs = self.running.iter().chain(&self.waiting);
        jobs.filter(|j| j.router == router).count() as u32
    }

    /// Inserts a job into the queue, behind those of the same or a more urgent
    /// level.
    pub(crate) fn enqueue(&mut self, job: Job) {
        let position = self
            .waiting
            .iter()
            .position(|j| j.level > job.level)
            .unwrap_or(self.waiting.len());
        self.waiting.insert(position, job);
    }

    /// Starts the next waiting job if a slot is free.
    pub(crate) fn start(&mut self) -> Option<(Job, ServiceTimes)> {
        if self.silent || self.running_count() >= self.slots {
            return None;
        }
        let job = self.waiting.pop_front()?;
        let is_cached = self.cache.contains(&job.prefix);
        self.cache.retain(|p| *p != job.prefix);
        self.cache.push_back(job.prefix);
        if self.cache.len() > MAX_CACHED_PREFIXES {
            self.cache.pop_front();
        }
        self.running.push(job);
        let prefill_fraction = if is_cached {
            CACHED_PREFILL_FRACTION
        } else {
            1.0
        };
        let prefill =
            PREFILL_PER_TOKEN_S * f64::from(job.prompt_tokens) * prefill_fraction * self.slowdown;
        let gap = self.gap(self.running.len());
        let service = ServiceTimes {
            first_token: Duration::from_secs_f64(prefill + gap),
            total: Duration::from_secs_f64(prefill + gap * f64::from(job.output_tokens.max(1))),
            gap: Duration::from_secs_f64(gap),
        };
        Some((job, service))
    }

    /// Removes a running job. Returns `None` if it was lost in a crash or
    /// cancelled.
    pub(crate) fn finish(&mut self, attempt: AttemptId) -> Option<Job> {
        let at = self.running.iter().position(|j| j.attempt == attempt)?;
        Some(self.running.swap_remove(at))
    }

    /// Removes a running or waiting job.
    pub(crate) fn cancel(&mut self, attempt: AttemptId) {
        self.running.retain(|j| j.attempt != attempt);
        self.waiting.retain(|j| j.attempt != attempt);
    }

    /// Crashes the endpoint and returns the lost jobs.
    pub(crate) fn crash(&mut self) -> Vec<Job> {
        self.alive = false;
        self.cache.clear();
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.waiting));
        lost
    }

    pub(crate) fn restart(&mut self) {
        self.alive = true;
        self.incarnation += 1;
        self.seq = 0;
    }

    /// Returns the next announcement. The caller sets when its lease expires.
    pub(crate) fn announce(&mut self, now: Duration, rng: &mut SmallRng) -> EndpointState {
        self.seq += 1;
        let n = self.running.len();
        let prefixes = self
            .cache
            .iter()
            .copied()
            .filter(|_| rng.random::<f64>() < CACHE_EVENT_PROBABILITY)
            .collect();
        EndpointState {
            id: self.id.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            models: vec![ServedModel {
                model: MODEL.to_owned(),
                ..ServedModel::default()
            }],
            slots: self.slots,
            one_way_latency: Duration::from_millis(1),
            load_measured_at: now,
            load: Some(Load {
                running: n as u32,
                waiting: self.waiting.len() as u32,
                kv_used: n as f64 / f64::from(self.slots),
                tokens_per_s: if n == 0 { 0.0 } else { n as f64 / self.gap(n) },
            }),
            prefixes,
            ..EndpointState::default()
        }
    }
}

/// Returns how long a request occupies a slot of a nearly full endpoint, in
/// seconds.
pub(crate) fn mean_slot_time_s(prompt_tokens: f64, output_tokens: f64, slots: u32) -> f64 {
    PREFILL_PER_TOKEN_S * prompt_tokens
        + (BASE_GAP_S + GAP_PER_REQUEST_S * f64::from(slots) * 0.9) * output_tokens
}
