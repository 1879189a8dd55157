//! The shipped selector.

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

/// How the candidates to score are picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SelectionMethod {
    /// All of them; the best score wins.
    LeastScore,
    /// Two at random; the better score wins.
    PowerOfTwo,
    /// All of them; the fewest own attempts by slots win.
    LeastInFlight,
    /// Two by rendezvous over the fingerprint; the better score wins. Copies of
    /// a request run where the first one runs.
    FingerprintPair,
    /// The same with one of the two by rendezvous over the prefix.
    PrefixPair,
}

/// Weights and expectations of a [`PredictiveSelector`].
#[derive(Clone, Debug, PartialEq)]
pub struct SelectorConfig {
    /// How the candidates to score are picked.
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
    /// Expected growth of the time between tokens with each more request.
    pub gap_slope: Duration,
    /// Weight of the time to the first token.
    pub first_token_weight: f64,
    /// Weight of the time between tokens.
    pub gap_weight: f64,
    /// Weight of this router's own requests over its part. Late reports about
    /// the load of others make routers herd and count in the predictions only.
    pub load_weight: f64,
    /// Weight of the failure score.
    pub failure_weight: f64,
    /// Whether prefix affinity is used.
    pub prefix_affinity: bool,
    /// Load over the mean up to which affinity counts.
    pub affinity_load_bound: f64,
    /// Most routers that use one endpoint.
    pub max_routers_per_endpoint: usize,
    /// Shortest time after which a first byte is overdue.
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

/// Tier of endpoints that failed lately.
const UNHEALTHY: u8 = 4;

/// Time after which a request that found no room asks again.
const RETRY: Duration = Duration::from_millis(20);
/// Load over the slots up to which a request may exceed the part of its router
/// to stay within the pair of its fingerprint.
const LOOSE: f64 = 0.8;

/// Requests beyond the load bound up to which a request stays within its pair.
/// Two endpoints that share the prefix's requests differ by as many by chance;
/// leaving the pair earlier would spread copies of a crashing request.
const PAIR_IMBALANCE: f64 = 1.75;

/// A candidate with the tier that it is used in; a lower tier goes first.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    at: usize,
    tier: u8,
}

/// Chooses by predicted service within this router's share of the slots.
pub struct PredictiveSelector {
    cfg: SelectorConfig,
    rng: SmallRng,
    own: RouterId,
    routers: Vec<RouterId>,
    /// Time of the latest call.
    now: Duration,
    /// Sorted by name.
    endpoints: Vec<Endpoint>,
    /// Reused between calls.
    candidates: Vec<Candidate>,
}

impl PredictiveSelector {
    /// Makes a selector that knows no endpoint.
    pub fn new(cfg: SelectorConfig, rng: SmallRng) -> Self {
        Self {
            cfg,
            rng,
            own: RouterId::new(),
            routers: Vec::new(),
            now: Duration::ZERO,
            endpoints: Vec::new(),
            candidates: Vec::new(),
        }
    }

    /// Returns the count of known endpoints.
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
        let at = self.find(ep).ok()?;
        self.endpoints.get_mut(at)
    }

    fn set_share(&mut self, at: usize) {
        let ep = &mut self.endpoints[at];
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
            .position(|r| *r == self.own)
            .unwrap_or(subset.len());
        ep.set_share(subset.len() as u32, position as u32);
    }

    /// Fills the list of candidates with those of the best tier.
    fn collect(&mut self, now: Duration, req: &RouteRequest<'_>) -> Result<(), NoRoute> {
        let overdue = self.cfg.min_overdue.as_secs_f64();
        let mut serving = 0;
        let mut tried = 0;
        let mut healthy = 0;
        self.candidates.clear();
        for (at, ep) in self.endpoints.iter().enumerate() {
            if !ep.serves(now, req) {
                continue;
            }
            serving += 1;
            if req.exclude.contains(&ep.state.id) {
                tried += 1;
                continue;
            }
            let well = ep.healthy(now, overdue);
            healthy += usize::from(well);
            if ep.own() >= ep.limit() {
                continue;
            }
            let tier = if !well {
                UNHEALTHY
            } else if ep.own() >= ep.part() {
                // Where more is left free, the place beyond the own part is
                // rarely that of another router's urgent request.
                2 + u8::from(!ep.leaves_more_free())
            } else {
                u8::from(req.level > 0 && ep.own() >= ep.lower_part())
            };
            self.candidates.push(Candidate { at, tier });
        }
        if serving == 0 {
            return Err(NoRoute::NoEndpoint);
        }
        if serving == tried {
            return Err(NoRoute::Excluded);
        }
        let best = self.candidates.iter().map(|c| c.tier).min();
        // An endpoint that fails is no substitute for a healthy one that is
        // full for a moment.
        let full = match best {
            None => true,
            Some(tier) => tier == UNHEALTHY && healthy > 0,
        };
        if full {
            return Err(NoRoute::Full(RETRY));
        }
        Ok(())
    }

    /// Returns the share of its slots up to which an endpoint may be filled by
    /// requests that prefer it: the mean of the candidates with one request
    /// more each, times the affinity bound.
    fn load_bound(&self) -> f64 {
        let (mut load, mut slots) = (0.0, 0.0);
        for c in &self.candidates {
            let ep = &self.endpoints[c.at];
            load += ep.load() + 1.0;
            slots += f64::from(ep.usable().max(1));
        }
        self.cfg.affinity_load_bound * load / slots
    }

    /// Narrows the candidates by the method.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoute::Full`] for a suspect whose pair has no room.
    fn narrow(&mut self, now: Duration, req: &RouteRequest<'_>, bound: f64) -> Result<(), NoRoute> {
        if matches!(
            self.cfg.method,
            SelectionMethod::FingerprintPair | SelectionMethod::PrefixPair
        ) {
            if self.narrow_to_copies(now, req)? || self.narrow_to_pair(now, req, bound) {
                return Ok(());
            }
            if req.suspect && self.pair_is_open(now, req) {
                return Err(NoRoute::Full(RETRY));
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

    /// Returns whether an endpoint of the pair was not tried yet. If it fails, it
    /// may have died a moment ago of a copy of the request: the verdict on it
    /// must come before a third endpoint is risked.
    fn pair_is_open(&self, now: Duration, req: &RouteRequest<'_>) -> bool {
        let pair = self.pair(now, req, key_of(&req.fingerprint));
        pair.iter()
            .flatten()
            .any(|&at| !req.exclude.contains(&self.endpoints[at].state.id))
    }

    /// Narrows the candidates to the endpoint where a copy of the request runs
    /// already: both share one fate. Returns whether there is one.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoute::Full`] when that endpoint has no room. The copy waits
    /// instead of risking another endpoint.
    fn narrow_to_copies(&mut self, now: Duration, req: &RouteRequest<'_>) -> Result<bool, NoRoute> {
        let key = key_of(&req.fingerprint);
        let overdue = self.cfg.min_overdue.as_secs_f64();
        let runs = |ep: &Endpoint| ep.runs(key) && ep.healthy(now, overdue);
        if !self.endpoints.iter().any(runs) {
            return Ok(false);
        }
        let endpoints = &self.endpoints;
        self.candidates.retain(|c| runs(&endpoints[c.at]));
        if self.candidates.is_empty() {
            return Err(NoRoute::Full(RETRY));
        }
        Ok(true)
    }

    /// Narrows the candidates to the pair of the fingerprint, if one of it has
    /// room within the load bound. Returns whether it has. Beyond the bound,
    /// pairs that meet by chance would fill one endpoint while others are idle.
    fn narrow_to_pair(&mut self, now: Duration, req: &RouteRequest<'_>, bound: f64) -> bool {
        let key = key_of(&req.fingerprint);
        let pair = self.pair(now, req, key);
        let endpoints = &self.endpoints;
        let fits = |c: &Candidate| {
            let ep = &endpoints[c.at];
            let loose = ep.load() + 1.0 <= LOOSE * f64::from(ep.usable());
            // Urgent work keeps to the pair only where a slot is surely free.
            let own = c.tier < 2 && (loose || req.level > 0);
            let tier = own || (c.tier < UNHEALTHY && (loose || req.suspect));
            let even = req.suspect || ep.keeps_within(bound, PAIR_IMBALANCE);
            pair.contains(&Some(c.at)) && tier && even
        };
        if !self.candidates.iter().any(fits) {
            return false;
        }
        self.candidates.retain(fits);
        let best = self.candidates.iter().map(|c| c.tier).min();
        self.candidates.retain(|c| Some(c.tier) == best);
        true
    }

    /// Returns the two endpoints that serve a request, or did a moment ago, and
    /// come first in rendezvous order, with or without room: the first over the
    /// prefix and the first other one over the fingerprint, or the first two
    /// over the fingerprint.
    fn pair(&self, now: Duration, req: &RouteRequest<'_>, key: u64) -> [Option<usize>; 2] {
        let by_prefix = self.cfg.method == SelectionMethod::PrefixPair && self.cfg.prefix_affinity;
        let home = req.prefix.filter(|_| by_prefix);
        let mut first: Option<(u64, usize)> = None;
        let mut best: [Option<(u64, usize)>; 2] = [None, None];
        for (at, ep) in self.endpoints.iter().enumerate() {
            if ep.forgotten(now) || !ep.offers(req) {
                continue;
            }
            if let Some(prefix) = home {
                first = first.max(Some((share::weight_of(prefix, ep.hash), at)));
            }
            let entry = Some((share::weight_of(key, ep.hash), at));
            if entry > best[0] {
                best = [entry, best[0]];
            } else if entry > best[1] {
                best[1] = entry;
            }
        }
        let [one, two] = best.map(|b| b.map(|(_, at)| at));
        match first.map(|(_, at)| at) {
            None => [one, two],
            home if home == one => [home, two],
            home => [home, one],
        }
    }

    /// Returns the chance that the prefix is cached at an endpoint, or zero
    /// above the load bound.
    fn hit(
        &self,
        now: Duration,
        ep: &Endpoint,
        prefix: u64,
        top: Option<usize>,
        at: usize,
        bound: f64,
    ) -> f64 {
        if !ep.keeps_within(bound, 0.0) {
            return 0.0;
        }
        let known = ep.cached(now, prefix);
        if known > 0.0 {
            known
        } else if top == Some(at) {
            // Nobody is known to have it: all routers agree on where it goes.
            0.5
        } else {
            0.0
        }
    }
}

/// Returns the rendezvous key of a fingerprint.
fn key_of(fingerprint: &Fingerprint) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = *fingerprint;
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

impl Selector for PredictiveSelector {
    fn set_routers(&mut self, own: &str, routers: &[RouterId]) {
        self.own = own.to_owned();
        self.routers = routers.to_vec();
        for at in 0..self.endpoints.len() {
            self.set_share(at);
        }
    }

    fn update(&mut self, now: Duration, ep: &EndpointState) {
        self.now = self.now.max(now);
        self.endpoints
            .retain(|e| e.own() > 0 || !e.forgotten(now) || e.state.id == ep.id);
        let target = self.cfg.target_gap.as_secs_f64();
        match self.find(&ep.id) {
            Ok(at) => {
                let known = &mut self.endpoints[at];
                let newer = (ep.incarnation, ep.seq) > (known.state.incarnation, known.state.seq);
                if newer {
                    known.set_state(ep.clone());
                    known.limit_gap(target);
                }
            }
            Err(at) => {
                let mut state = ep.clone();
                state.load = None;
                let base = self.cfg.gap_base.as_secs_f64();
                let slope = self.cfg.gap_slope.as_secs_f64();
                let mut known = Endpoint::new(state, base, slope);
                let mut first = ep.clone();
                first.load_measured_at = first.load_measured_at.max(Duration::from_nanos(1));
                known.state.load_measured_at = Duration::ZERO;
                known.set_state(first);
                self.endpoints.insert(at, known);
                self.set_share(at);
            }
        }
    }

    fn remove(&mut self, ep: &str) {
        let now = self.now;
        if let Some(ep) = self.find_mut(ep) {
            // Attempts that still run count against the share if the endpoint
            // comes back.
            ep.state.lease_expires = ep.state.lease_expires.min(now);
        }
    }

    fn choose(&mut self, now: Duration, req: &RouteRequest<'_>) -> Result<Choice, NoRoute> {
        self.now = self.now.max(now);
        self.collect(now, req)?;
        let count = self.candidates.len();
        let prefix = req.prefix.filter(|_| self.cfg.prefix_affinity);
        let mut bound = f64::INFINITY;
        let mut top = None;
        if let Some(prefix) = prefix {
            bound = self.load_bound();
            top = self
                .candidates
                .iter()
                .max_by_key(|c| share::weight_of(prefix, self.endpoints[c.at].hash))
                .map(|c| c.at);
        }
        self.narrow(now, req, bound)?;
        let mut best: Option<(usize, Prediction, f64)> = None;
        for c in &self.candidates {
            let ep = &self.endpoints[c.at];
            let hit = prefix.map_or(0.0, |p| self.hit(now, ep, p, top, c.at, bound));
            let mut p = score::predict(&self.cfg, now, ep, req, hit);
            if self.cfg.method == SelectionMethod::LeastInFlight {
                p.score = f64::from(ep.own()) / f64::from(ep.usable().max(1));
            }
            // Equal scores must not send every router to the same endpoint.
            p.score += 1e-3 * self.rng.random::<f64>();
            if best.as_ref().is_none_or(|(_, b, _)| p.score < b.score) {
                best = Some((c.at, p, hit));
            }
        }
        let Some((at, p, hit)) = best else {
            return Err(NoRoute::NoEndpoint);
        };
        let ep = &mut self.endpoints[at];
        ep.predicted = p.raw;
        ep.key = key_of(&req.fingerprint);
        if let Some(prefix) = prefix {
            ep.note_prefix(now, prefix);
        }
        Ok(Choice {
            endpoint: ep.state.id.clone(),
            incarnation: ep.state.incarnation,
            candidates: count,
            first_token: Duration::from_secs_f64(p.first),
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
        let overdue = self.cfg.min_overdue.as_secs_f64();
        let mut room = RouterCapacity::default();
        for ep in &self.endpoints {
            if ep.serves(now, req) && ep.healthy(now, overdue) {
                room.slots += ep.part();
                room.max_in_flight += ep.limit();
                room.running += ep.own();
                room.endpoints += 1;
            }
        }
        room
    }
}
