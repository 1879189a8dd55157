//! What a router knows about one endpoint.

use std::collections::VecDeque;

use anvilloft_types::prelude::*;

use crate::Failure;
use crate::Outcome;
use crate::RouteRequest;
use crate::share;

/// Growth of the time between tokens, from one request to all, that is accepted
/// at an engine that misses the target with a single request.
const SLOW_ENGINE_GROWTH: f64 = 1.5;
/// Most finished attempts that are kept to correct a late report.
const MOST_FINISHES: usize = 256;
/// Age up to which finished attempts are kept. Older reports are not
/// corrected.
const FINISH_AGE: Duration = Duration::from_secs(5);
/// Most prefixes that this router remembers to have sent.
const MOST_SENT: usize = 128;
/// Time after which a prefix that this router sent may have been evicted.
const SENT_AGE: Duration = Duration::from_secs(60);
/// Half-life of the failure score.
const FAILURE_HALF_LIFE: f64 = 10.0;
/// Failure score from which an endpoint is used only when no other is left.
/// One failure is below it, two in a row are above.
const FAILURE_LIMIT: f64 = 1.5;
/// Time for which an endpoint that is gone keeps its place in the rendezvous
/// order. Otherwise copies of a request that crashed it would all move on to
/// the next endpoint before the strike is known everywhere.
const GONE_KEEP: Duration = Duration::from_secs(5);
/// Weight of the newest sample of the time between tokens.
const GAP_DECAY: f64 = 0.9;
/// Weight of the newest sample of the time to the first token.
const FIRST_GAIN: f64 = 0.1;

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

/// Load as the endpoint reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub waiting: u32,
    /// Used share of the KV cache, 0 to 1.
    pub kv_used: f64,
    /// Generated tokens a second of all requests.
    pub tokens_per_s: f64,
}

/// An endpoint's announcement as a router holds it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointState {
    /// Name.
    pub id: EndpointId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Number of the announcement within the incarnation.
    pub seq: u64,
    /// Models; empty for a plain service.
    pub models: Vec<ServedModel>,
    /// Name of the plain service; empty for a model engine.
    pub service: ServiceName,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether the endpoint takes no new work.
    pub leaving: bool,
    /// Network distance from this router, one way.
    pub one_way_latency: Duration,
    /// End of the lease.
    pub lease_expires: Duration,
    /// Time at which the load was measured.
    pub load_measured_at: Duration,
    /// Reported load.
    pub load: Option<Load>,
    /// Hashes of cached prompt prefixes, late and with gaps.
    pub prefixes: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    id: AttemptId,
    /// Key of the request's fingerprint.
    key: u64,
    started: Duration,
    answered: bool,
    /// Predicted time to the first token without the endpoint's own factor.
    predicted: f64,
}

/// Least squares of the time between tokens over the running requests, with
/// weights that decay by sample.
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

    /// Returns base and slope, both at least zero.
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

/// An endpoint with this router's own observations.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) state: EndpointState,
    pub(crate) hash: u64,
    /// Routers that use the endpoint, and this router's place among them.
    routers: u32,
    position: u32,
    attempts: Vec<Attempt>,
    /// Start and end of recently finished attempts.
    finishes: VecDeque<(Duration, Duration)>,
    /// Load that other routers put on the endpoint, as of the last report.
    others: f64,
    gap: GapFit,
    gap_samples: u32,
    /// Observed over predicted time to the first token.
    first_factor: f64,
    /// Prediction for the request that was routed here last.
    pub(crate) predicted: f64,
    /// Key of the fingerprint of that request.
    pub(crate) key: u64,
    failures: f64,
    failures_at: Duration,
    sent: VecDeque<(u64, Duration)>,
    /// Slots up to which the time between tokens stays within the target.
    usable: u32,
}

impl Endpoint {
    pub(crate) fn new(state: EndpointState, gap_base: f64, gap_slope: f64) -> Self {
        let hash = share::name_hash(&state.id);
        let mut gap = GapFit::default();
        // The expected line counts as two samples until real ones replace it.
        let far = f64::from(state.slots.max(2));
        gap.add(1.0, 0.5, 1.0, gap_base + gap_slope);
        gap.add(1.0, 0.5, far, gap_base + gap_slope * far);
        let usable = state.slots;
        Self {
            state,
            hash,
            routers: 1,
            position: 0,
            attempts: Vec::new(),
            finishes: VecDeque::new(),
            others: 0.0,
            gap,
            gap_samples: 0,
            first_factor: 1.0,
            predicted: 0.0,
            key: 0,
            failures: 0.0,
            failures_at: Duration::ZERO,
            sent: VecDeque::new(),
            usable,
        }
    }

    pub(crate) fn set_share(&mut self, routers: u32, position: u32) {
        self.routers = routers.max(1);
        self.position = position;
    }

    /// Takes a newer announcement. The caller has checked that it is newer.
    pub(crate) fn set_state(&mut self, state: EndpointState) {
        let restarted = state.incarnation != self.state.incarnation;
        if restarted {
            self.failures = 0.0;
            self.sent.clear();
            self.attempts.clear();
            self.finishes.clear();
            self.others = 0.0;
        }
        let fresh = restarted || state.load_measured_at > self.state.load_measured_at;
        self.state = state;
        if self.gap_samples == 0 {
            self.usable = self.state.slots;
        }
        let Some(load) = self.state.load else {
            return;
        };
        if !fresh {
            return;
        }
        let measured = self.state.load_measured_at;
        // Own requests that were running there at the time of the report.
        let own = self
            .attempts
            .iter()
            .filter(|a| a.started <= measured)
            .count()
            + self
                .finishes
                .iter()
                .filter(|(from, to)| *from <= measured && *to > measured)
                .count();
        let total = f64::from(load.running) + f64::from(load.waiting);
        self.others = (total - own as f64).max(0.0);
        if load.running > 0 && load.tokens_per_s > 0.0 {
            let running = f64::from(load.running);
            self.sample_gap(running, running / load.tokens_per_s);
        }
    }

    fn sample_gap(&mut self, running: f64, gap: f64) {
        self.gap.add(GAP_DECAY, 1.0, running, gap);
        self.gap_samples = self.gap_samples.saturating_add(1);
    }

    /// Limits the slots to those that keep the time between tokens within the
    /// target.
    pub(crate) fn limit_gap(&mut self, target: f64) {
        let slots = self.state.slots;
        if self.gap_samples < 3 || !self.state.service.is_empty() {
            self.usable = slots;
            return;
        }
        let (base, slope) = self.gap.line();
        // One request alone may already break the target on a slow engine.
        // Fewer requests there would cost throughput and still not meet it.
        let target = target.max(SLOW_ENGINE_GROWTH * (base + slope));
        let most = if slope > 1e-9 {
            ((target - base) / slope).floor()
        } else {
            f64::from(slots)
        };
        self.usable = most.clamp(1.0, f64::from(slots.max(1))) as u32;
    }

    /// Returns the requests of all routers, as far as known.
    pub(crate) fn load(&self) -> f64 {
        self.attempts.len() as f64 + self.others
    }

    /// Whether one more request keeps the load within `bound`, a share of the
    /// usable slots, and `extra` requests beyond it.
    pub(crate) fn keeps_within(&self, bound: f64, extra: f64) -> bool {
        (self.load() + 1.0 - extra) / f64::from(self.usable().max(1)) <= bound
    }

    pub(crate) fn own(&self) -> u32 {
        self.attempts.len() as u32
    }

    pub(crate) fn part(&self) -> u32 {
        share::slot_share(self.usable, self.routers, self.position)
    }

    /// Returns the part that lower work uses first.
    pub(crate) fn lower_part(&self) -> u32 {
        let reserve = share::reserve(self.usable, self.hash);
        share::slot_share(self.usable - reserve, self.routers, self.position)
    }

    /// Returns whether lower work leaves more slots free here than elsewhere.
    pub(crate) fn leaves_more_free(&self) -> bool {
        share::reserve(self.usable, self.hash) > share::reserve(self.usable, 0)
    }

    pub(crate) fn limit(&self) -> u32 {
        share::max_in_flight(self.usable, self.routers)
    }

    /// Returns the slots that keep the time between tokens within the target.
    pub(crate) fn usable(&self) -> u32 {
        self.usable
    }

    /// Returns whether a request may go here.
    pub(crate) fn serves(&self, now: Duration, req: &RouteRequest<'_>) -> bool {
        !self.state.leaving && self.state.lease_expires > now && self.offers(req)
    }

    /// Returns whether the endpoint is gone for longer than copies of a request
    /// that crashed it may still come.
    pub(crate) fn forgotten(&self, now: Duration) -> bool {
        now > self.state.lease_expires + GONE_KEEP
    }

    /// Returns whether the endpoint has what a request needs, live or not.
    pub(crate) fn offers(&self, req: &RouteRequest<'_>) -> bool {
        if !req.service.is_empty() {
            return self.state.service == req.service;
        }
        self.state.models.iter().any(|m| {
            m.model == req.model
                && (req.version.is_empty() || m.version == req.version)
                && (req.adapter.is_empty() || m.adapters.iter().any(|a| a == req.adapter))
        })
    }

    pub(crate) fn failure_score(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failures_at).as_secs_f64();
        self.failures * (-age / FAILURE_HALF_LIFE).exp2()
    }

    /// Returns whether the endpoint neither failed repeatedly nor lets a first
    /// byte be overdue.
    pub(crate) fn healthy(&self, now: Duration, overdue: f64) -> bool {
        self.failure_score(now) < FAILURE_LIMIT && !self.overdue(now, overdue)
    }

    fn overdue(&self, now: Duration, least: f64) -> bool {
        self.attempts.iter().any(|a| {
            let limit = least.max(4.0 * a.predicted * self.first_factor);
            !a.answered && now.saturating_sub(a.started).as_secs_f64() > limit
        })
    }

    pub(crate) fn gap_at(&self, running: f64) -> f64 {
        let (base, slope) = self.gap.line();
        base + slope * running
    }

    pub(crate) fn first_factor(&self) -> f64 {
        self.first_factor
    }

    /// Returns the chance that a prefix is cached here.
    pub(crate) fn cached(&self, now: Duration, prefix: u64) -> f64 {
        if self.state.prefixes.contains(&prefix) {
            return 0.9;
        }
        let sent = self
            .sent
            .iter()
            .any(|&(p, at)| p == prefix && now.saturating_sub(at) < SENT_AGE);
        if sent { 0.8 } else { 0.0 }
    }

    pub(crate) fn note_prefix(&mut self, now: Duration, prefix: u64) {
        self.sent.retain(|&(p, _)| p != prefix);
        if self.sent.len() >= MOST_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back((prefix, now));
    }

    pub(crate) fn started(&mut self, now: Duration, id: AttemptId) {
        self.attempts.push(Attempt {
            id,
            key: self.key,
            started: now,
            answered: false,
            predicted: self.predicted,
        });
    }

    /// Returns whether a request with this key runs here for this router.
    pub(crate) fn runs(&self, key: u64) -> bool {
        self.attempts.iter().any(|a| a.key == key)
    }

    pub(crate) fn first_byte(&mut self, id: AttemptId) {
        if let Some(a) = self.attempts.iter_mut().find(|a| a.id == id) {
            a.answered = true;
        }
    }

    pub(crate) fn finished(&mut self, now: Duration, id: AttemptId, outcome: Outcome) {
        let Some(at) = self.attempts.iter().position(|a| a.id == id) else {
            return;
        };
        let attempt = self.attempts.swap_remove(at);
        while self.finishes.len() >= MOST_FINISHES
            || self
                .finishes
                .front()
                .is_some_and(|(_, to)| now.saturating_sub(*to) > FINISH_AGE)
        {
            self.finishes.pop_front();
        }
        self.finishes.push_back((attempt.started, now));
        match outcome {
            Outcome::Done { first_token, gap } => {
                self.failures = self.failure_score(now) * 0.5;
                self.failures_at = now;
                let ratio = first_token.as_secs_f64() / attempt.predicted.max(1e-3);
                self.first_factor += FIRST_GAIN * (ratio.clamp(0.05, 50.0) - self.first_factor);
                if !gap.is_zero() && self.state.load.is_none() {
                    let running = (self.load() + 1.0).min(f64::from(self.state.slots.max(1)));
                    self.sample_gap(running, gap.as_secs_f64());
                }
            }
            Outcome::Failed(Failure::Refused) => self.fail(now, 0.5),
            Outcome::Failed(_) => self.fail(now, 1.0),
            Outcome::Cancelled => {}
        }
    }

    fn fail(&mut self, now: Duration, amount: f64) {
        self.failures = self.failure_score(now) + amount;
        self.failures_at = now;
    }
}
