//! The production selector, [`PredictiveSelector`].

use anvilloft_types::availability::EndpointNotice;
use anvilloft_types::prelude::*;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::Choice;
use crate::ChoiceReason;
use crate::NoRoute;
use crate::Outcome;
use crate::RouteRequest;
use crate::RouterCapacity;
use crate::Selector;
use crate::endpoint::Endpoint;
use crate::endpoint::EndpointState;
use crate::score;
use crate::score::Prediction;
use crate::share;

/// How the candidates that are scored are picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SelectionMethod {
    /// All of them; the lowest score wins.
    LeastScore,
    /// Two at random; the lower score wins.
    PowerOfTwo,
    /// All of them; the fewest attempts of this router per slot win.
    LeastInFlight,
    /// Two by rendezvous hashing of the fingerprint; the lower score wins.
    /// Copies of a request run where the first one runs.
    FingerprintPair,
    /// Like `FingerprintPair`, but one of the two is picked by rendezvous
    /// hashing of the prefix.
    PrefixPair,
}

/// Weights, targets and expected times of a [`PredictiveSelector`].
#[derive(Clone, Debug, PartialEq)]
pub struct SelectorConfig {
    /// How the candidates that are scored are picked.
    pub method: SelectionMethod,
    /// Target of the time to the first token.
    pub target_first_token: Duration,
    /// Target of the time between tokens.
    pub target_gap: Duration,
    /// Expected time to the first token of an empty prompt.
    pub first_token_base: Duration,
    /// Expected time for each prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Expected time of a request in a slot.
    pub service_time: Duration,
    /// Expected time between tokens of a single request.
    pub gap_base: Duration,
    /// Expected increase of the time between tokens with each further request.
    pub gap_slope: Duration,
    /// Weight of the time to the first token.
    pub first_token_weight: f64,
    /// Weight of the time between tokens.
    pub gap_weight: f64,
    /// Weight of this router's own requests relative to its share. The load of
    /// other routers counts only in the predictions, because load reports are
    /// late and routers that follow them all choose the same endpoint.
    pub load_weight: f64,
    /// Weight of the failure score.
    pub failure_weight: f64,
    /// Whether requests prefer endpoints that cache their prefix.
    pub prefix_affinity: bool,
    /// Maximum load, relative to the mean, at which prefix affinity applies.
    pub affinity_load_bound: f64,
    /// Maximum number of routers that use one endpoint.
    pub max_routers_per_endpoint: usize,
    /// Minimum time after which a first byte is overdue.
    pub min_overdue: Duration,
}

impl Default for SelectorConfig {
    fn default() -> Self {
        Self {
            method: SelectionMethod::PrefixPair,
            target_first_token: Duration::from_millis(790),
            target_gap: Duration::from_millis(31),
            first_token_base: Duration::from_millis(50),
            prefill_per_token: Duration::from_micros(200),
            service_time: Duration::from_secs(2),
            gap_base: Duration::from_millis(12),
            gap_slope: Duration::from_micros(500),
            first_token_weight: 1.0,
            gap_weight: 1.0,
            load_weight: 0.5,
            failure_weight: 1.0,
            prefix_affinity: true,
            affinity_load_bound: 1.25,
            max_routers_per_endpoint: share::MAX_ROUTERS_PER_ENDPOINT,
            min_overdue: Duration::from_secs(3),
        }
    }
}

/// Tier of unhealthy endpoints.
const UNHEALTHY_TIER: u8 = 4;

/// Time after which a request that found no free slot retries.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum load, relative to the slots, at which a request may exceed the share
/// of its router to stay within the pair of its fingerprint.
const MAX_LIGHT_LOAD: f64 = 0.8;

/// Number of requests by which an endpoint may exceed the load bound before
/// requests leave their pair. The loads of two endpoints that share the requests
/// of a prefix differ by as many by chance; leaving the pair earlier would spread
/// copies of a crashing request.
const PAIR_IMBALANCE: f64 = 1.75;

/// A candidate with its tier; lower tiers are preferred. Tier 0 has a slot in
/// this router's share, 1 one that lower ranks leave free for the first, 2 and 3
/// only one beyond the share, and 4 is unhealthy.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    index: usize,
    tier: u8,
}

/// Chooses the endpoint with the best predicted latency within this router's
/// share of the slots.
pub struct PredictiveSelector {
    cfg: SelectorConfig,
    rng: SmallRng,
    own_name: RouterId,
    routers: Vec<RouterId>,
    /// Time of the latest call.
    now: Duration,
    /// Sorted by name.
    endpoints: Vec<Endpoint>,
    /// Buffer that is reused between calls.
    candidates: Vec<Candidate>,
}

impl PredictiveSelector {
    /// Creates a selector without endpoints.
    pub fn new(cfg: SelectorConfig, rng: SmallRng) -> Self {
        Self {
            cfg,
            rng,
            own_name: RouterId::new(),
            routers: Vec::new(),
            now: Duration::ZERO,
            endpoints: Vec::new(),
            candidates: Vec::new(),
        }
    }

    /// Returns the number of known endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    fn find(&self, ep: &str) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|e| e.state.id.as_str().cmp(ep))
    }

    fn find_mut(&mut self, ep: &str) -> Option<&mut Endpoint> {
        let index = self.find(ep).ok()?;
        self.endpoints.get_mut(index)
    }

    /// Recomputes this router's share of an endpoint's slots.
    fn set_share(&mut self, index: usize) {
        let ep = &mut self.endpoints[index];
        if self.routers.is_empty() {
            ep.set_share(1, 0);
            return;
        }
        let subset = share::subset(
            &ep.state.id,
            &self.routers,
            self.cfg.max_routers_per_endpoint,
        );
        let position = subset
            .iter()
            .position(|r| *r == self.own_name)
            .unwrap_or(subset.len());
        ep.set_share(subset.len() as u32, position as u32);
    }

    /// Fills the list of candidates with the endpoints that can take a request,
    /// each with its tier.
    fn collect_candidates(&mut self, now: Duration, req: &RouteRequest<'_>) -> Result<(), NoRoute> {
        let min_overdue = self.cfg.min_overdue.as_secs_f64();
        let mut serving = 0;
        let mut paused = 0;
        let mut first_end = Duration::MAX;
        let mut untried_open = 0;
        let mut healthy_count = 0;
        self.candidates.clear();
        for (index, ep) in self.endpoints.iter().enumerate() {
            if !ep.serves(now, req) {
                continue;
            }
            serving += 1;
            let pause = ep.availability.pause_left(now);
            if let Some(left) = pause {
                paused += 1;
                first_end = first_end.min(left);
            }
            if req.exclude.contains(&ep.state.id) {
                continue;
            }
            if pause.is_some() {
                continue;
            }
            untried_open += 1;
            let is_healthy = ep.is_healthy(now, min_overdue);
            healthy_count += usize::from(is_healthy);
            if ep.own_in_flight() >= ep.max_in_flight() {
                continue;
            }
            let tier = if !is_healthy {
                UNHEALTHY_TIER
            } else if ep.own_in_flight() >= ep.slot_share() {
                // Where lower ranks leave more slots free, a slot beyond this
                // router's share is rarely needed by another router's urgent
                // request.
                2 + u8::from(!ep.has_larger_reserve())
            } else {
                u8::from(req.level > 0 && ep.own_in_flight() >= ep.lower_slot_share())
            };
            self.candidates.push(Candidate { index, tier });
        }
        if serving == 0 {
            return Err(NoRoute::NoEndpoint);
        }
        if serving == paused {
            return Err(NoRoute::Paused(first_end));
        }
        if untried_open == 0 {
            return Err(NoRoute::Excluded);
        }
        let best = self.candidates.iter().map(|c| c.tier).min();
        // Waits for a healthy endpoint that is momentarily full rather than use
        // an unhealthy one.
        let full = match best {
            None => true,
            Some(tier) => tier == UNHEALTHY_TIER && healthy_count > 0,
        };
        if full {
            return Err(NoRoute::Full(RETRY_DELAY));
        }
        Ok(())
    }

    /// Returns the maximum load, relative to its slots, up to which an endpoint
    /// takes requests that prefer it: the mean load of the candidates with one
    /// more request each, times the affinity bound.
    fn load_bound(&self) -> f64 {
        let (mut load, mut slots) = (0.0, 0.0);
        for c in &self.candidates {
            let ep = &self.endpoints[c.index];
            load += ep.load() + 1.0;
            slots += f64::from(ep.usable_slots().max(1));
        }
        self.cfg.affinity_load_bound * load / slots
    }

    /// Narrows the candidates according to the selection method.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoute::Full`] for a suspect whose pair has no free slot.
    fn narrow(&mut self, now: Duration, req: &RouteRequest<'_>, bound: f64) -> Result<(), NoRoute> {
        if matches!(
            self.cfg.method,
            SelectionMethod::FingerprintPair | SelectionMethod::PrefixPair
        ) {
            if self.narrow_to_copies(now, req)? || self.narrow_to_pair(now, req, bound) {
                return Ok(());
            }
            if req.suspect && self.pair_has_untried_endpoint(now, req) {
                return Err(NoRoute::Full(RETRY_DELAY));
            }
        }
        let best = self.candidates.iter().map(|c| c.tier).min();
        self.candidates.retain(|c| Some(c.tier) == best);
        let n = self.candidates.len();
        if n > 2 && self.cfg.method == SelectionMethod::PowerOfTwo {
            let a = self.rng.random_range(0..n);
            let b = (a + self.rng.random_range(1..n)) % n;
            self.candidates = vec![self.candidates[a], self.candidates[b]];
        }
        Ok(())
    }

    /// Returns whether an endpoint of the pair has not been tried yet. If it is
    /// failing, a copy of the request may just have crashed it; this must be
    /// known before a third endpoint is risked.
    fn pair_has_untried_endpoint(&self, now: Duration, req: &RouteRequest<'_>) -> bool {
        let pair = self.pair(now, req, fingerprint_key(&req.fingerprint));
        pair.iter()
            .flatten()
            .any(|&index| !req.exclude.contains(&self.endpoints[index].state.id))
    }

    /// Narrows the candidates to the endpoint where a copy of the request is
    /// running, so that the copies can crash only this one. Returns whether
    /// there is one.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoute::Full`] when that endpoint has no free slot. The copy
    /// waits instead of risking another endpoint.
    fn narrow_to_copies(&mut self, now: Duration, req: &RouteRequest<'_>) -> Result<bool, NoRoute> {
        let key = fingerprint_key(&req.fingerprint);
        let min_overdue = self.cfg.min_overdue.as_secs_f64();
        let is_running = |ep: &Endpoint| ep.is_running(key) && ep.is_healthy(now, min_overdue);
        if !self.endpoints.iter().any(is_running) {
            return Ok(false);
        }
        let endpoints = &self.endpoints;
        self.candidates.retain(|c| is_running(&endpoints[c.index]));
        if self.candidates.is_empty() {
            return Err(NoRoute::Full(RETRY_DELAY));
        }
        Ok(true)
    }

    /// Narrows the candidates to the pair of the fingerprint, if one of the two
    /// has a free slot within the load bound. Returns whether it has. Beyond
    /// the bound, pairs that share an endpoint by chance would fill it while
    /// others are idle.
    fn narrow_to_pair(&mut self, now: Duration, req: &RouteRequest<'_>, bound: f64) -> bool {
        let key = fingerprint_key(&req.fingerprint);
        let pair = self.pair(now, req, key);
        let endpoints = &self.endpoints;
        let fits = |c: &Candidate| {
            let ep = &endpoints[c.index];
            let lightly_loaded = ep.load() + 1.0 <= MAX_LIGHT_LOAD * f64::from(ep.usable_slots());
            // Urgent work stays within the pair only where a slot is certainly
            // free.
            let within_share = c.tier < 2 && (lightly_loaded || req.level > 0);
            let tier_fits =
                within_share || (c.tier < UNHEALTHY_TIER && (lightly_loaded || req.suspect));
            let balanced = req.suspect || ep.stays_within(bound, PAIR_IMBALANCE);
            pair.contains(&Some(c.index)) && tier_fits && balanced
        };
        if !self.candidates.iter().any(fits) {
            return false;
        }
        self.candidates.retain(fits);
        let best = self.candidates.iter().map(|c| c.tier).min();
        self.candidates.retain(|c| Some(c.tier) == best);
        true
    }

    /// Returns the first two endpoints in rendezvous order that serve a request
    /// or did until recently, with or without a free slot: the first one for
    /// the prefix and the first other one for the fingerprint, or the first two
    /// for the fingerprint.
    fn pair(&self, now: Duration, req: &RouteRequest<'_>, key: u64) -> [Option<usize>; 2] {
        let by_prefix = self.cfg.method == SelectionMethod::PrefixPair && self.cfg.prefix_affinity;
        let prefix = req.prefix.filter(|_| by_prefix);
        let mut preferred: Option<(u64, usize)> = None;
        let mut best: [Option<(u64, usize)>; 2] = [None, None];
        for (index, ep) in self.endpoints.iter().enumerate() {
            if ep.is_gone(now) || !ep.matches(req) {
                continue;
            }
            if let Some(prefix) = prefix {
                preferred = preferred.max(Some((share::key_weight(prefix, ep.name_hash), index)));
            }
            let entry = Some((share::key_weight(key, ep.name_hash), index));
            if entry > best[0] {
                best = [entry, best[0]];
            } else if entry > best[1] {
                best[1] = entry;
            }
        }
        let [first, second] = best.map(|b| b.map(|(_, index)| index));
        match preferred.map(|(_, index)| index) {
            None => [first, second],
            preferred if preferred == first => [preferred, second],
            preferred => [preferred, first],
        }
    }

    /// Returns the chance that the prefix is cached at an endpoint, or zero
    /// above the load bound.
    fn hit_chance(
        &self,
        now: Duration,
        ep: &Endpoint,
        prefix: u64,
        preferred: Option<usize>,
        index: usize,
        bound: f64,
    ) -> f64 {
        if !ep.stays_within(bound, 0.0) {
            return 0.0;
        }
        let chance = ep.cache_chance(now, prefix);
        if chance > 0.0 {
            chance
        } else if preferred == Some(index) {
            // No endpoint is known to cache the prefix. All routers agree on
            // the preferred one.
            0.5
        } else {
            0.0
        }
    }
}

/// Returns the rendezvous key of a fingerprint.
fn fingerprint_key(fingerprint: &Fingerprint) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = *fingerprint;
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

impl Selector for PredictiveSelector {
    fn set_routers(&mut self, own_name: &str, routers: &[RouterId]) {
        self.own_name = own_name.to_owned();
        self.routers = routers.to_vec();
        for index in 0..self.endpoints.len() {
            self.set_share(index);
        }
    }

    fn update(&mut self, now: Duration, ep: &EndpointState) {
        self.now = self.now.max(now);
        self.endpoints
            .retain(|e| e.is_remembered(now) || e.state.id == ep.id);
        let target = self.cfg.target_gap.as_secs_f64();
        match self.find(&ep.id) {
            Ok(index) => {
                let endpoint = &mut self.endpoints[index];
                let newer =
                    (ep.incarnation, ep.seq) > (endpoint.state.incarnation, endpoint.state.seq);
                if newer {
                    endpoint.set_state(ep.clone());
                    endpoint.update_usable_slots(target);
                }
            }
            Err(index) => {
                let mut state = ep.clone();
                state.load = None;
                let base = self.cfg.gap_base.as_secs_f64();
                let slope = self.cfg.gap_slope.as_secs_f64();
                let mut endpoint = Endpoint::new(state, base, slope);
                let mut announced = ep.clone();
                announced.load_measured_at =
                    announced.load_measured_at.max(Duration::from_nanos(1));
                endpoint.state.load_measured_at = Duration::ZERO;
                endpoint.set_state(announced);
                self.endpoints.insert(index, endpoint);
                self.set_share(index);
            }
        }
    }

    fn remove(&mut self, ep: &str) {
        let now = self.now;
        if let Some(ep) = self.find_mut(ep) {
            // The endpoint is kept, so that its running attempts count against
            // the share if it comes back.
            ep.state.lease_expires = ep.state.lease_expires.min(now);
        }
    }

    fn apply_notice(
        &mut self,
        now: Duration,
        ep: &str,
        incarnation: Incarnation,
        notice: EndpointNotice,
    ) -> bool {
        let spread = self.rng.random::<f64>();
        self.find_mut(ep)
            .filter(|ep| ep.state.incarnation == incarnation)
            .is_some_and(|ep| ep.availability.apply(now, notice, spread))
    }

    fn choose(&mut self, now: Duration, req: &RouteRequest<'_>) -> Result<Choice, NoRoute> {
        self.now = self.now.max(now);
        self.collect_candidates(now, req)?;
        let count = self.candidates.len();
        let prefix = req.prefix.filter(|_| self.cfg.prefix_affinity);
        let mut bound = f64::INFINITY;
        let mut preferred = None;
        if let Some(prefix) = prefix {
            bound = self.load_bound();
            preferred = self
                .candidates
                .iter()
                .max_by_key(|c| share::key_weight(prefix, self.endpoints[c.index].name_hash))
                .map(|c| c.index);
        }
        self.narrow(now, req, bound)?;
        let mut best: Option<(usize, Prediction, f64)> = None;
        for c in &self.candidates {
            let ep = &self.endpoints[c.index];
            let hit = prefix.map_or(0.0, |p| {
                self.hit_chance(now, ep, p, preferred, c.index, bound)
            });
            let mut p = score::predict(&self.cfg, now, ep, req, hit);
            if self.cfg.method == SelectionMethod::LeastInFlight {
                p.score = f64::from(ep.own_in_flight()) / f64::from(ep.usable_slots().max(1));
            }
            // Random jitter keeps equal scores from sending every router to the
            // same endpoint.
            p.score += 1e-3 * self.rng.random::<f64>();
            if best.as_ref().is_none_or(|(_, b, _)| p.score < b.score) {
                best = Some((c.index, p, hit));
            }
        }
        let Some((index, p, hit)) = best else {
            return Err(NoRoute::NoEndpoint);
        };
        let ep = &mut self.endpoints[index];
        ep.last_predicted = p.uncorrected_first_token;
        ep.last_key = fingerprint_key(&req.fingerprint);
        if let Some(prefix) = prefix {
            ep.record_sent_prefix(now, prefix);
        }
        Ok(Choice {
            endpoint: ep.state.id.clone(),
            incarnation: ep.state.incarnation,
            candidates: count,
            first_token: Duration::from_secs_f64(p.first_token),
            gap: Duration::from_secs_f64(p.gap),
            reason: match (count, hit > 0.0) {
                (1, _) => ChoiceReason::Only,
                (_, true) => ChoiceReason::Prefix,
                (_, false) => ChoiceReason::Score,
            },
        })
    }

    fn started(&mut self, now: Duration, ep: &str, attempt: AttemptId, _tokens: Tokens) {
        if let Some(ep) = self.find_mut(ep) {
            ep.started(now, attempt);
        }
    }

    fn first_byte(&mut self, _now: Duration, ep: &str, attempt: AttemptId) {
        if let Some(ep) = self.find_mut(ep) {
            ep.first_byte(attempt);
        }
    }

    fn finished(&mut self, now: Duration, ep: &str, attempt: AttemptId, outcome: Outcome) {
        if let Some(ep) = self.find_mut(ep) {
            ep.finished(now, attempt, outcome);
        }
    }

    fn capacity(&self, now: Duration, req: &RouteRequest<'_>) -> RouterCapacity {
        let min_overdue = self.cfg.min_overdue.as_secs_f64();
        let mut capacity = RouterCapacity::default();
        for ep in &self.endpoints {
            let is_paused = ep.availability.pause_left(now).is_some();
            if ep.serves(now, req) && !is_paused && ep.is_healthy(now, min_overdue) {
                capacity.slots += ep.slot_share();
                capacity.max_in_flight += ep.max_in_flight();
                capacity.running += ep.own_in_flight();
                capacity.endpoints += 1;
            }
        }
        capacity
    }
}
