//! Choice of an engine by the predicted time to the first event.

use anvilloft_types::prelude::*;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::DispatchRequest;
use super::Dispatcher;
use super::Reason;
use crate::cache::PromptPart;
use crate::cache::total_tokens;
use crate::endpoint::Endpoint;
use crate::endpoint::rank;
use crate::speed::ServiceSpeed;
use crate::speed::SpeedSample;

/// Predicted extra time to the first event, in seconds, at an engine with all slots
/// in use compared with an idle one.
const FULL_UTILIZATION_COST_S: f64 = 0.2;
/// Smallest pause between events that a route can ask for, in seconds.
const MIN_GAP_S: f64 = 0.01;
/// Range of the random tie-break between predicted times, in seconds: less than the
/// one-way latency to another data centre.
const COST_JITTER_S: f64 = 0.002;

impl Dispatcher {
    /// Returns the time that an engine of a service takes to process prompt tokens.
    pub fn prefill_time(&self, service: &str, tokens: Tokens) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.service_rate(service).max(1.0))
    }

    /// Returns the prompt tokens per second of the engines of a service.
    pub(super) fn service_rate(&self, service: &str) -> f64 {
        let found = self
            .speeds
            .binary_search_by(|(s, _)| s.as_str().cmp(service));
        let speed = found.ok().and_then(|at| self.speeds.get(at));
        speed.map_or(self.cfg.initial_prefill_rate, |(_, speed)| speed.rate())
    }

    /// Returns the learned rate of each service, in prompt tokens per second.
    pub fn learned_rates(&self) -> impl Iterator<Item = (&str, f64)> {
        self.speeds
            .iter()
            .map(|(s, speed)| (s.as_str(), speed.rate()))
    }

    /// Records how fast an engine processed a prompt.
    pub(super) fn record_speed(&mut self, now: Duration, endpoint: &str, sample: SpeedSample) {
        let Ok(at) = self.position(endpoint) else {
            return;
        };
        let service = self.endpoints[at].announcement.service.clone();
        let speed_at = match self.speeds.binary_search_by(|(s, _)| s.cmp(&service)) {
            Ok(at) => at,
            Err(at) => {
                let speed = ServiceSpeed::new(self.cfg.initial_prefill_rate);
                self.speeds.insert(at, (service, speed));
                at
            }
        };
        let speed = &mut self.speeds[speed_at].1;
        speed.record(sample);
        let relative = sample.rate / speed.rate();
        self.endpoints[at].speed.record(now, relative);
    }

    /// Returns the share of the other routers that do not report their prompts to this one.
    pub(super) fn unreported_share(&self) -> f64 {
        let others = (self.router_count.max(2) - 1) as f64;
        (1.0 - self.peer_loads.len() as f64 / others).clamp(0.0, 1.0)
    }

    /// Returns the rendezvous score of an engine for a prompt part, the same at all
    /// routers. The highest score wins.
    fn score(key: u64, id: &str) -> u64 {
        xxh3_64_with_seed(id.as_bytes(), key)
    }

    /// Returns the first and the second preferred engine of a prompt, by rendezvous hashing
    /// of its shared parts.
    fn preferred_engines(&self, shared: &[PromptPart], candidates: &[usize]) -> [Option<usize>; 2] {
        let eps = &self.endpoints;
        let score = |part: &PromptPart, at: &usize| Self::score(part.id, &eps[*at].announcement.id);
        let two_best = |part: &PromptPart, engines: &[usize]| {
            let best = engines.iter().copied().max_by_key(|at| score(part, at));
            let others = engines.iter().copied().filter(|at| Some(*at) != best);
            let second = others.max_by_key(|at| score(part, at));
            [best, second.filter(|_| self.cfg.preferred_engines > 1)]
        };
        let [first, .., last] = shared else {
            let only = shared.first();
            return only.map_or([None; 2], |part| two_best(part, candidates));
        };
        let spread = candidates.len().div_ceil(self.cfg.spread_divisor.max(1));
        let spread = spread.max(self.cfg.min_spread).min(candidates.len());
        let mut top = candidates.to_vec();
        top.sort_by_cached_key(|at| std::cmp::Reverse(score(first, at)));
        top.truncate(spread);
        two_best(last, &top)
    }

    /// Returns how far the wait at the preferred engine outweighs another read of the shared
    /// parts, from 0 to 1. Routers that see the same wait move prompts to the same second
    /// engine, so its hit probability rises with it.
    fn overflow(&self, now: Duration, level: u8, preferred: Option<usize>, read_s: f64) -> f64 {
        let Some(at) = preferred else {
            return 0.0;
        };
        let wait = self.endpoints[at].predicted_wait(now, rank(level));
        match wait >= read_s {
            true => 1.0,
            false => wait / read_s,
        }
    }

    /// Returns the penalty, as predicted time in seconds, for the streams that a prompt
    /// that takes `prefill` seconds would hold up at an engine, and for the prompts there
    /// that would hold up its own answer.
    fn stall_penalty(
        &self,
        now: Duration,
        req: &DispatchRequest<'_>,
        ep: &Endpoint,
        prefill: f64,
    ) -> f64 {
        let Some(max_gap) = req.max_gap else {
            return 0.0;
        };
        let of_others = prefill * ep.total_in_flight();
        let of_answer = ep.prefill_share(now) * self.stream_time[rank(req.level)];
        let gaps = (of_others + of_answer) / max_gap.as_secs_f64().max(MIN_GAP_S);
        gaps * self.cfg.stall_cost.as_secs_f64()
    }

    pub(super) fn choose_engine(
        &mut self,
        now: Duration,
        req: &DispatchRequest<'_>,
        candidates: &[usize],
    ) -> (usize, Reason) {
        let shared = req.prompt.len().saturating_sub(1);
        let shared = &req.prompt[..shared];
        let shared_tokens = total_tokens(shared);
        let own_tokens = req.prompt.last().map_or(0, |p| p.tokens);
        let [preferred, second] = self.preferred_engines(shared, candidates);
        let hit_probability = self.cfg.unreported_hit_probability * self.unreported_share();
        let is_cached = candidates
            .iter()
            .any(|at| self.endpoints[*at].cache.hit_tokens(shared) == shared_tokens);
        let service_rate = self.service_rate(req.service);
        let read_s = shared_tokens as f64 * self.cfg.shared_prefill_weight / service_rate;
        let overflow = self.overflow(now, req.level, preferred, read_s);
        let second_hit = hit_probability * overflow;
        let mut best = (candidates[0], Reason::Predicted);
        let mut min_cost = f64::INFINITY;
        let non_preferred_cost = self.cfg.non_preferred_cost.as_secs_f64();
        for at in candidates {
            let ep = &self.endpoints[*at];
            let is_preferred = preferred == Some(*at);
            let mut missing = (shared_tokens - ep.cache.hit_tokens(shared)) as f64;
            let is_second = second == Some(*at);
            if is_preferred {
                missing *= 1.0 - hit_probability;
            } else if is_second {
                missing *= 1.0 - second_hit;
            }
            let rate = service_rate * ep.speed.factor(now);
            let own_prefill = (missing + own_tokens as f64) / rate;
            let stall = self.stall_penalty(now, req, ep, own_prefill);
            let prefill = missing * self.cfg.shared_prefill_weight + own_tokens as f64;
            let prefill = prefill / rate;
            let non_preferred = match (is_preferred || is_cached, is_second) {
                (true, _) => 0.0,
                (false, true) => non_preferred_cost * (1.0 - overflow),
                (false, false) => non_preferred_cost,
            };
            let remote = match ep.announcement.data_centre == self.cfg.data_centre {
                true => 0.0,
                false => self.cfg.remote_cost.as_secs_f64(),
            };
            let cost = prefill
                + stall
                + non_preferred
                + ep.predicted_wait(now, rank(req.level))
                + remote
                + ep.utilization() * FULL_UTILIZATION_COST_S;
            let cost = cost + self.rng.random_range(0.0..COST_JITTER_S);
            if cost < min_cost {
                min_cost = cost;
                best = match missing < 1.0 && !shared.is_empty() {
                    true => (*at, Reason::Affinity),
                    false => (*at, Reason::Predicted),
                };
            }
        }
        best
    }
}
