//! The state of one endpoint as a router sees it.

use std::collections::VecDeque;

use anvilloft_types::availability::Availability;
use anvilloft_types::prelude::*;

use crate::Failure;
use crate::Outcome;
use crate::RouteRequest;
use crate::share;

/// Maximum time between tokens, relative to that of a single request, at an
/// engine that misses the target even with a single request.
const SLOW_ENGINE_GROWTH: f64 = 1.5;
/// Maximum number of finished attempts that are kept to correct late load
/// reports.
const MAX_FINISHED: usize = 256;
/// Maximum age of the finished attempts that are kept. Older load reports are
/// not corrected.
const MAX_FINISHED_AGE: Duration = Duration::from_secs(5);
/// Maximum number of kept prefixes that this router sent to an endpoint.
const MAX_SENT_PREFIXES: usize = 128;
/// Time after which a prefix that this router sent may have been evicted.
const MAX_SENT_AGE: Duration = Duration::from_secs(60);
/// Time after the end of the lease for which an endpoint whose answers said that it
/// leaves is remembered. Its announcements may not say so.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);
/// Half-life of the failure score, in seconds.
const FAILURE_HALF_LIFE: f64 = 10.0;
/// Failure score from which an endpoint is used only when no healthy one is
/// left. A single failure stays below it, two in a row exceed it.
const UNHEALTHY_SCORE: f64 = 1.5;
/// Time for which an endpoint whose lease ended keeps its place in the
/// rendezvous order. Otherwise copies of a request that crashed it would all
/// move on to the next endpoint before all routers know of the strike.
const GONE_GRACE: Duration = Duration::from_secs(5);
/// Factor by which older samples of the time between tokens lose weight with
/// each new one.
const GAP_DECAY: f64 = 0.9;
/// Weight of a new sample in the correction factor of the time to the first
/// token.
const FIRST_TOKEN_GAIN: f64 = 0.1;

/// A model that an endpoint serves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServedModel {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: String,
    /// Loaded adapters.
    pub adapters: Vec<String>,
}

/// Load as reported by the endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait inside the engine.
    pub waiting: u32,
    /// Used share of the KV cache, 0 to 1.
    pub kv_used: f64,
    /// Tokens per second that are generated for all requests together.
    pub tokens_per_s: f64,
}

/// The latest announcement of an endpoint as a router stores it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointState {
    /// Name.
    pub id: EndpointId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the announcement within the incarnation.
    pub seq: u64,
    /// Models; empty for a plain service.
    pub models: Vec<ServedModel>,
    /// Name of the plain service; empty for a model engine.
    pub service: ServiceName,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Whether the endpoint takes no new work.
    pub leaving: bool,
    /// One-way network latency from this router.
    pub one_way_latency: Duration,
    /// End of the lease.
    pub lease_expires: Duration,
    /// Time at which the load was measured.
    pub load_measured_at: Duration,
    /// Reported load.
    pub load: Option<Load>,
    /// Hashes of cached prompt prefixes. May be outdated or incomplete.
    pub prefixes: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    id: AttemptId,
    /// Rendezvous key of the request's fingerprint.
    fingerprint_key: u64,
    started_at: Duration,
    got_first_byte: bool,
    /// Predicted seconds to the first token, before the endpoint's correction
    /// factor.
    predicted_first_token: f64,
}

/// Least-squares fit of the time between tokens as a linear function of the
/// number of running requests. Each new sample reduces the weight of the older
/// ones. The fields are weighted sums over the samples, with x for the running
/// requests and y for the seconds between tokens.
#[derive(Clone, Copy, Debug, Default)]
struct GapFit {
    w: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl GapFit {
    fn add(&mut self, decay: f64, weight: f64, x: f64, y: f64) {
        self.w = self.w * decay + weight;
        self.x = self.x * decay + weight * x;
        self.y = self.y * decay + weight * y;
        self.xx = self.xx * decay + weight * x * x;
        self.xy = self.xy * decay + weight * x * y;
    }

    /// Returns base and slope of the fitted line, both at least zero.
    fn line(&self) -> (f64, f64) {
        let det = self.w * self.xx - self.x * self.x;
        if self.w <= 0.0 {
            return (0.0, 0.0);
        }
        let slope = if det > 1e-9 {
            ((self.w * self.xy - self.x * self.y) / det).max(0.0)
        } else {
            0.0
        };
        let base = ((self.y - slope * self.x) / self.w).max(0.0);
        (base, slope)
    }
}

/// An endpoint with the observations of this router.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) state: EndpointState,
    /// What the endpoint's answers said about further requests.
    pub(crate) availability: Availability,
    pub(crate) name_hash: u64,
    /// Number of routers that use the endpoint.
    routers: u32,
    /// Position of this router among them in rendezvous order.
    position: u32,
    attempts: Vec<Attempt>,
    /// Start and end of recently finished attempts.
    finished_attempts: VecDeque<(Duration, Duration)>,
    /// Number of requests of other routers, as of the last load report.
    other_load: f64,
    gap: GapFit,
    gap_samples: u32,
    /// Average ratio of the observed to the predicted time to the first token.
    first_token_factor: f64,
    /// Predicted seconds to the first token of the request that was routed here
    /// last, before the correction factor.
    pub(crate) last_predicted: f64,
    /// Rendezvous key of the fingerprint of that request.
    pub(crate) last_key: u64,
    /// Failure score at `failure_score_at`.
    last_failure_score: f64,
    failure_score_at: Duration,
    /// Prefixes that this router sent here, with the time.
    sent_prefixes: VecDeque<(u64, Duration)>,
    /// Number of slots up to which the time between tokens stays within the
    /// target.
    usable_slots: u32,
}

impl Endpoint {
    pub(crate) fn new(state: EndpointState, gap_base: f64, gap_slope: f64) -> Self {
        let name_hash = share::name_hash(&state.id);
        let mut gap = GapFit::default();
        // Two samples of half weight stand for the expected line until real
        // samples replace them.
        let full_load = f64::from(state.slots.max(2));
        gap.add(1.0, 0.5, 1.0, gap_base + gap_slope);
        gap.add(1.0, 0.5, full_load, gap_base + gap_slope * full_load);
        let usable_slots = state.slots;
        Self {
            state,
            availability: Availability::default(),
            name_hash,
            routers: 1,
            position: 0,
            attempts: Vec::new(),
            finished_attempts: VecDeque::new(),
            other_load: 0.0,
            gap,
            gap_samples: 0,
            first_token_factor: 1.0,
            last_predicted: 0.0,
            last_key: 0,
            last_failure_score: 0.0,
            failure_score_at: Duration::ZERO,
            sent_prefixes: VecDeque::new(),
            usable_slots,
        }
    }

    pub(crate) fn set_share(&mut self, routers: u32, position: u32) {
        self.routers = routers.max(1);
        self.position = position;
    }

    /// Stores a newer announcement. The caller has checked that it is newer.
    pub(crate) fn set_state(&mut self, state: EndpointState) {
        let restarted = state.incarnation != self.state.incarnation;
        if restarted {
            self.availability = Availability::default();
            self.last_failure_score = 0.0;
            self.sent_prefixes.clear();
            self.attempts.clear();
            self.finished_attempts.clear();
            self.other_load = 0.0;
        }
        let has_new_load = restarted || state.load_measured_at > self.state.load_measured_at;
        self.state = state;
        if self.gap_samples == 0 {
            self.usable_slots = self.state.slots;
        }
        let Some(load) = self.state.load else {
            return;
        };
        if !has_new_load {
            return;
        }
        let measured = self.state.load_measured_at;
        // Attempts of this router that were in flight there at the time of the
        // report.
        let own_in_flight = self
            .attempts
            .iter()
            .filter(|a| a.started_at <= measured)
            .count()
            + self
                .finished_attempts
                .iter()
                .filter(|(from, to)| *from <= measured && *to > measured)
                .count();
        let total = f64::from(load.running) + f64::from(load.waiting);
        self.other_load = (total - own_in_flight as f64).max(0.0);
        if load.running > 0 && load.tokens_per_s > 0.0 {
            let running = f64::from(load.running);
            self.add_gap_sample(running, running / load.tokens_per_s);
        }
    }

    fn add_gap_sample(&mut self, running: f64, gap: f64) {
        self.gap.add(GAP_DECAY, 1.0, running, gap);
        self.gap_samples = self.gap_samples.saturating_add(1);
    }

    /// Updates the number of slots that keep the time between tokens within the
    /// target.
    pub(crate) fn update_usable_slots(&mut self, target: f64) {
        let slots = self.state.slots;
        if self.gap_samples < 3 || !self.state.service.is_empty() {
            self.usable_slots = slots;
            return;
        }
        let (base, slope) = self.gap.line();
        // On a slow engine a single request may already miss the target.
        // Running fewer requests there would cost throughput and still miss it.
        let target = target.max(SLOW_ENGINE_GROWTH * (base + slope));
        let max_slots = if slope > 1e-9 {
            ((target - base) / slope).floor()
        } else {
            f64::from(slots)
        };
        self.usable_slots = max_slots.clamp(1.0, f64::from(slots.max(1))) as u32;
    }

    /// Returns the estimated number of requests of all routers.
    pub(crate) fn load(&self) -> f64 {
        self.attempts.len() as f64 + self.other_load
    }

    /// Returns whether the load with one more request stays within `bound`, a
    /// share of the usable slots, plus `extra` requests.
    pub(crate) fn stays_within(&self, bound: f64, extra: f64) -> bool {
        (self.load() + 1.0 - extra) / f64::from(self.usable_slots().max(1)) <= bound
    }

    /// Returns the number of attempts of this router in flight.
    pub(crate) fn own_in_flight(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Returns this router's share of the slots.
    pub(crate) fn slot_share(&self) -> u32 {
        share::slot_share(self.usable_slots, self.routers, self.position)
    }

    /// Returns the part of this router's share that ranks below the first use
    /// first, which leaves out the reserve.
    pub(crate) fn lower_slot_share(&self) -> u32 {
        let reserve = share::reserve(self.usable_slots, self.name_hash);
        share::slot_share(self.usable_slots - reserve, self.routers, self.position)
    }

    /// Returns whether the reserve is rounded up here, so that lower ranks
    /// leave more slots free than elsewhere.
    pub(crate) fn has_larger_reserve(&self) -> bool {
        share::reserve(self.usable_slots, self.name_hash) > share::reserve(self.usable_slots, 0)
    }

    /// Returns the maximum number of attempts that this router may have in
    /// flight.
    pub(crate) fn max_in_flight(&self) -> u32 {
        share::max_in_flight(self.usable_slots, self.routers)
    }

    /// Returns the number of slots that keep the time between tokens within the
    /// target.
    pub(crate) fn usable_slots(&self) -> u32 {
        self.usable_slots
    }

    /// Returns whether the endpoint is live, takes new work and has what a
    /// request needs.
    pub(crate) fn serves(&self, now: Duration, req: &RouteRequest<'_>) -> bool {
        !self.state.leaving
            && !self.availability.is_leaving()
            && self.state.lease_expires > now
            && self.matches(req)
    }

    /// Returns whether the lease ended so long ago that copies of a request
    /// that crashed the endpoint are no longer expected.
    pub(crate) fn is_gone(&self, now: Duration) -> bool {
        now > self.state.lease_expires + GONE_GRACE
    }

    /// Returns whether the endpoint must be remembered, although its lease has ended.
    pub(crate) fn is_remembered(&self, now: Duration) -> bool {
        let leaving = self.availability.is_leaving();
        !self.attempts.is_empty()
            || !self.is_gone(now)
            || (leaving && now < self.state.lease_expires + LEAVING_RETENTION)
    }

    /// Returns whether the endpoint has what a request needs, live or not.
    pub(crate) fn matches(&self, req: &RouteRequest<'_>) -> bool {
        if !req.service.is_empty() {
            return self.state.service == req.service;
        }
        self.state.models.iter().any(|m| {
            m.model == req.model
                && (req.version.is_empty() || m.version == req.version)
                && (req.adapter.is_empty() || m.adapters.iter().any(|a| a == req.adapter))
        })
    }

    /// Returns the decayed failure score.
    pub(crate) fn failure_score(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_score_at).as_secs_f64();
        self.last_failure_score * (-age / FAILURE_HALF_LIFE).exp2()
    }

    /// Returns whether the endpoint neither failed repeatedly nor has an
    /// overdue first byte.
    pub(crate) fn is_healthy(&self, now: Duration, min_overdue: f64) -> bool {
        self.failure_score(now) < UNHEALTHY_SCORE && !self.has_overdue_first_byte(now, min_overdue)
    }

    fn has_overdue_first_byte(&self, now: Duration, min_overdue: f64) -> bool {
        self.attempts.iter().any(|a| {
            let overdue_after =
                min_overdue.max(4.0 * a.predicted_first_token * self.first_token_factor);
            !a.got_first_byte && now.saturating_sub(a.started_at).as_secs_f64() > overdue_after
        })
    }

    /// Returns the predicted seconds between tokens with `running` requests.
    pub(crate) fn gap_at(&self, running: f64) -> f64 {
        let (base, slope) = self.gap.line();
        base + slope * running
    }

    pub(crate) fn first_token_factor(&self) -> f64 {
        self.first_token_factor
    }

    /// Returns the estimated chance that a prefix is cached here.
    pub(crate) fn cache_chance(&self, now: Duration, prefix: u64) -> f64 {
        if self.state.prefixes.contains(&prefix) {
            return 0.9;
        }
        let sent = self
            .sent_prefixes
            .iter()
            .any(|&(p, sent_at)| p == prefix && now.saturating_sub(sent_at) < MAX_SENT_AGE);
        if sent { 0.8 } else { 0.0 }
    }

    pub(crate) fn record_sent_prefix(&mut self, now: Duration, prefix: u64) {
        self.sent_prefixes.retain(|&(p, _)| p != prefix);
        if self.sent_prefixes.len() >= MAX_SENT_PREFIXES {
            self.sent_prefixes.pop_front();
        }
        self.sent_prefixes.push_back((prefix, now));
    }

    pub(crate) fn started(&mut self, now: Duration, id: AttemptId) {
        self.attempts.push(Attempt {
            id,
            fingerprint_key: self.last_key,
            started_at: now,
            got_first_byte: false,
            predicted_first_token: self.last_predicted,
        });
    }

    /// Returns whether this router has a request with this fingerprint key in
    /// flight here.
    pub(crate) fn is_running(&self, key: u64) -> bool {
        self.attempts.iter().any(|a| a.fingerprint_key == key)
    }

    pub(crate) fn first_byte(&mut self, id: AttemptId) {
        if let Some(a) = self.attempts.iter_mut().find(|a| a.id == id) {
            a.got_first_byte = true;
        }
    }

    pub(crate) fn finished(&mut self, now: Duration, id: AttemptId, outcome: Outcome) {
        let Some(index) = self.attempts.iter().position(|a| a.id == id) else {
            return;
        };
        let attempt = self.attempts.swap_remove(index);
        while self.finished_attempts.len() >= MAX_FINISHED
            || self
                .finished_attempts
                .front()
                .is_some_and(|(_, to)| now.saturating_sub(*to) > MAX_FINISHED_AGE)
        {
            self.finished_attempts.pop_front();
        }
        self.finished_attempts.push_back((attempt.started_at, now));
        match outcome {
            Outcome::Done { first_token, gap } => {
                self.last_failure_score = self.failure_score(now) * 0.5;
                self.failure_score_at = now;
                let ratio = first_token.as_secs_f64() / attempt.predicted_first_token.max(1e-3);
                self.first_token_factor +=
                    FIRST_TOKEN_GAIN * (ratio.clamp(0.05, 50.0) - self.first_token_factor);
                if !gap.is_zero() && self.state.load.is_none() {
                    let running = (self.load() + 1.0).min(f64::from(self.state.slots.max(1)));
                    self.add_gap_sample(running, gap.as_secs_f64());
                }
            }
            Outcome::Failed(Failure::Refused) => self.record_failure(now, 0.5),
            Outcome::Failed(_) => self.record_failure(now, 1.0),
            Outcome::Cancelled => {}
        }
    }

    fn record_failure(&mut self, now: Duration, amount: f64) {
        self.last_failure_score = self.failure_score(now) + amount;
        self.failure_score_at = now;
    }
}
