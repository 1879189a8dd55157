//! Model of one inference endpoint.

use std::collections::VecDeque;

use anvilloft_routing::EndpointState;
use anvilloft_routing::Load;
use anvilloft_routing::ServedModel;
use anvilloft_types::prelude::*;
use rand::Rng;
use rand::rngs::SmallRng;

/// Model that every endpoint of the bench serves.
pub(crate) const MODEL: &str = "m";
/// Time between tokens of one request alone, in seconds.
const GAP_BASE: f64 = 0.012;
/// Growth of the time between tokens with each running request, in seconds.
/// 32 requests are then at 28 ms, below the target of 31 ms.
const GAP_SLOPE: f64 = 0.0005;
/// Prefill time by prompt token, in seconds.
const PREFILL: f64 = 0.0002;
/// Part of the prefill that a cached prefix leaves.
const CACHED_PART: f64 = 0.2;
/// Prompt prefixes that the cache holds.
const CACHE: usize = 64;
/// Chance that a cache event reaches the next announcement.
const EVENT_SEEN: f64 = 0.8;

/// One request inside an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) attempt: AttemptId,
    pub(crate) req: usize,
    pub(crate) router: usize,
    pub(crate) level: u32,
    pub(crate) prompt: u32,
    pub(crate) out: u32,
    pub(crate) prefix: u64,
}

/// Times of a job that starts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Service {
    pub(crate) prefill: Duration,
    pub(crate) total: Duration,
    pub(crate) gap: Duration,
}

/// One endpoint: slots, a waiting queue by priority, and its faults.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) id: EndpointId,
    pub(crate) incarnation: Incarnation,
    seq: u64,
    pub(crate) slots: u32,
    pub(crate) running: Vec<Job>,
    pub(crate) waiting: VecDeque<Job>,
    pub(crate) alive: bool,
    pub(crate) silent: bool,
    pub(crate) slow: f64,
    cache: VecDeque<u64>,
}

impl Engine {
    pub(crate) fn new(no: usize, slots: u32) -> Self {
        Self {
            id: format!("e{no:04}"),
            incarnation: 1,
            seq: 0,
            slots,
            running: Vec::new(),
            waiting: VecDeque::new(),
            alive: true,
            silent: false,
            slow: 1.0,
            cache: VecDeque::new(),
        }
    }

    /// Returns the time between tokens with `n` running requests.
    pub(crate) fn gap(&self, n: usize) -> f64 {
        (GAP_BASE + GAP_SLOPE * n as f64) * self.slow
    }

    pub(crate) fn busy(&self) -> u32 {
        self.running.len() as u32
    }

    pub(crate) fn in_flight(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    pub(crate) fn in_flight_of(&self, router: usize) -> u32 {
        let all = self.running.iter().chain(&self.waiting);
        all.filter(|j| j.router == router).count() as u32
    }

    /// Queues a job by priority.
    pub(crate) fn push(&mut self, job: Job) {
        let at = self
            .waiting
            .iter()
            .position(|j| j.level > job.level)
            .unwrap_or(self.waiting.len());
        self.waiting.insert(at, job);
    }

    /// Starts the next waiting job if a slot is free.
    pub(crate) fn start(&mut self) -> Option<(Job, Service)> {
        if self.silent || self.busy() >= self.slots {
            return None;
        }
        let job = self.waiting.pop_front()?;
        let hit = self.cache.contains(&job.prefix);
        self.cache.retain(|p| *p != job.prefix);
        self.cache.push_back(job.prefix);
        if self.cache.len() > CACHE {
            self.cache.pop_front();
        }
        self.running.push(job);
        let part = if hit { CACHED_PART } else { 1.0 };
        let prefill = PREFILL * f64::from(job.prompt) * part * self.slow;
        let gap = self.gap(self.running.len());
        let service = Service {
            prefill: Duration::from_secs_f64(prefill + gap),
            total: Duration::from_secs_f64(prefill + gap * f64::from(job.out.max(1))),
            gap: Duration::from_secs_f64(gap),
        };
        Some((job, service))
    }

    /// Ends a running job. Returns `None` if it was lost.
    pub(crate) fn end(&mut self, attempt: AttemptId) -> Option<Job> {
        let at = self.running.iter().position(|j| j.attempt == attempt)?;
        Some(self.running.swap_remove(at))
    }

    /// Removes a job wherever it is.
    pub(crate) fn cancel(&mut self, attempt: AttemptId) {
        self.running.retain(|j| j.attempt != attempt);
        self.waiting.retain(|j| j.attempt != attempt);
    }

    /// Dies. Returns the jobs that are lost.
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

    /// Makes an announcement. The receiver sets the end of the lease.
    pub(crate) fn announce(&mut self, now: Duration, rng: &mut SmallRng) -> EndpointState {
        self.seq += 1;
        let n = self.running.len();
        let prefixes = self
            .cache
            .iter()
            .copied()
            .filter(|_| rng.random::<f64>() < EVENT_SEEN)
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

/// Returns the time of a request in a slot of a nearly full endpoint, in
/// seconds.
pub(crate) fn nominal(prompt: f64, out: f64, slots: u32) -> f64 {
    PREFILL * prompt + (GAP_BASE + GAP_SLOPE * f64::from(slots) * 0.9) * out
}
