//! The choice of an endpoint.
//!
//! Plain services get the least loaded endpoint, one of the router's own data
//! centre before others. Batch engines are chosen by the predicted time to the
//! first event: the wait for prompts that are being read, the delay measured
//! lately, and the part of the prompt that the engine's memory doesn't hold.
//! Routers tell each other which prompts they sent where, so each knows which
//! engines have read the shared parts. A prompt whose parts no engine has read
//! goes to the one that every router ranks first by the same hash: the first
//! shared part, which many prompts have in common, narrows the engines to a
//! few, and the last one picks among these.
//!
//! Reading a shared part once more costs every request behind it, so it counts
//! for more than its time. Without that, a crash or a burst moves prompts to
//! engines that have to read them again, which delays others, which moves them
//! too, until the engines do little else.

use anvilloft_types::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::cache::Part;
use crate::endpoint::Announcement;
use crate::endpoint::Change;
use crate::endpoint::Endpoint;
use crate::endpoint::Others;
use crate::endpoint::Outcome;
use crate::endpoint::PromptRead;
use crate::endpoint::RANKS;
use crate::endpoint::Running;
use crate::endpoint::Work;
use crate::endpoint::rank;

/// How long an endpoint that left is remembered, so that a late announcement
/// doesn't bring it back.
const LEFT_KEEP: Duration = Duration::from_secs(30);
/// Largest count of endpoints.
const MAX_ENDPOINTS: usize = 4_096;
/// Prompts that wait to be told to peers, at most. Further ones are not told,
/// and their parts may be read once more.
const MAX_READS: usize = 256;
/// Age from which a peer's work is forgotten.
const PEER_AGE: Duration = Duration::from_secs(2);
/// Predicted time, in seconds, that an engine with all slots taken needs longer
/// than an empty one to a first event.
const CROWD_COST: f64 = 0.2;
/// Share of the slots for which an endpoint of another data centre counts as
/// busier. Below 1, so that a free slot elsewhere goes before a wait here.
const REMOTE_LOAD: f64 = 0.3;
/// The same for an endpoint that still warms up.
const COLD_LOAD: f64 = 0.5;
/// Range of loads that count as equal, as a share of the slots: less than one
/// request of 64 slots.
const LOAD_TIE: f64 = 0.01;
/// Range of predicted times that count as equal, in seconds: less than a way
/// to another data centre.
const COST_TIE: f64 = 0.002;

/// Fixed properties of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// Data centre of this router.
    pub data_centre: DataCentre,
    /// Time without an announcement after which an endpoint is used only while
    /// it answers requests.
    pub silence: Duration,
    /// Engines among which prompts with the same first shared part are divided,
    /// at least.
    pub spread_least: usize,
    /// Share of the engines among which they are divided, as one in so many. As
    /// few first parts are in use, a few engines would get the prompts of a
    /// large pool.
    pub spread_share: usize,
    /// Prompt tokens that an engine reads in a second, until measured.
    pub prefill_rate: f64,
    /// Predicted time that is given up to stay in the own data centre.
    pub remote_cost: Duration,
    /// Chance that the engine which ranks first for a prompt has its shared
    /// parts in memory because of a router whose requests are not told here.
    pub likely_hit: f64,
    /// Weight of the time to read shared parts again, against the same time as
    /// a wait.
    pub reread_weight: f64,
    /// Predicted time that is given up to send a prompt that no engine has read
    /// where other routers would send it too.
    pub home: Duration,
}

impl DispatcherConfig {
    /// Returns the usual properties for a router of a data centre.
    pub fn new(data_centre: impl Into<DataCentre>) -> Self {
        Self {
            data_centre: data_centre.into(),
            silence: Duration::from_millis(4_500),
            spread_least: 3,
            spread_share: 4,
            prefill_rate: 51_000.0,
            remote_cost: Duration::from_millis(4),
            likely_hit: 0.9,
            reread_weight: 3.0,
            home: Duration::from_millis(150),
        }
    }
}

/// A request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Service.
    pub service: &'a str,
    /// Whether the service's endpoints are batch engines.
    pub engine_memory: Option<Tokens>,
    /// Rank of the route, 0 first.
    pub level: u8,
    /// Parts of the prompt, in order.
    pub prompt: &'a [Part],
    /// Endpoints that the request was sent to already.
    pub tried: &'a [EndpointId],
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The least predicted time.
    Predicted,
    /// It ranks first for a prompt part.
    Affinity,
    /// All others were avoided, full or silent.
    LastResort,
}

/// The chosen endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Name.
    pub endpoint: EndpointId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Address.
    pub address: std::net::SocketAddr,
    /// Why.
    pub reason: Reason,
    /// Endpoints that were considered.
    pub candidates: usize,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEndpoint {
    /// The service has no endpoint that takes work.
    None,
    /// Every endpoint was tried already.
    Tried,
}

/// Endpoints and the requests that run there.
#[derive(Debug)]
pub struct Dispatcher {
    cfg: DispatcherConfig,
    // Sorted by id.
    endpoints: Vec<Endpoint>,
    /// Work that each peer told last, by peer.
    peers: Vec<(RouterId, Duration, Vec<Work>)>,
    /// Routers of the fleet, this one included.
    routers: usize,
    /// Prompts that were sent since peers were told.
    reads: Vec<PromptRead>,
    rng: SmallRng,
}

impl Dispatcher {
    /// Makes a dispatcher that knows no endpoint.
    pub fn new(cfg: DispatcherConfig, seed: u64) -> Self {
        Self {
            cfg,
            endpoints: Vec::new(),
            peers: Vec::new(),
            routers: 1,
            reads: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn place(&self, id: &str) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|e| e.said.id.as_str().cmp(id))
    }

    fn find(&mut self, id: &str) -> Option<&mut Endpoint> {
        let at = self.place(id).ok()?;
        self.endpoints.get_mut(at)
    }

    /// Takes an announcement, in any order and any number of times.
    pub fn announce(&mut self, now: Duration, said: Announcement) -> Change {
        let at = match self.place(&said.id) {
            Ok(at) => at,
            Err(at) => {
                if self.endpoints.len() >= MAX_ENDPOINTS {
                    return Change::Stale;
                }
                let change = match said.leaving || said.left {
                    true => Change::Leaving,
                    false => Change::Added,
                };
                self.endpoints.insert(at, Endpoint::new(now, said));
                return change;
            }
        };
        let Some(ep) = self.endpoints.get_mut(at) else {
            return Change::Stale;
        };
        let old = &ep.said;
        if said.incarnation > old.incarnation {
            *ep = Endpoint::new(now, said);
            return Change::Added;
        }
        // A member that had not heard of the endpoint can't tell which
        // incarnation leaves.
        let unnamed = said.left && said.incarnation == 0;
        if (said.incarnation < old.incarnation && !unnamed) || old.left {
            return Change::Stale;
        }
        let leaves = (said.leaving || said.left) && !old.leaving;
        if said.left {
            ep.said.left = true;
            ep.said.leaving = true;
        } else if said.seq > old.seq {
            ep.heard = ep.heard.max(now.saturating_sub(said.age));
            ep.warm_at = now + said.warm_up;
            ep.said = said;
        } else {
            return Change::Stale;
        }
        match leaves {
            true => Change::Leaving,
            false => Change::Renewed,
        }
    }

    /// Forgets endpoints that are silent, run nothing and answer nothing. While
    /// `in_touch` is false the router hears no announcements, so silence tells
    /// nothing and every endpoint is kept.
    pub fn expire(&mut self, now: Duration, in_touch: bool) -> Vec<EndpointId> {
        let mut gone = Vec::new();
        if !in_touch {
            for ep in &mut self.endpoints {
                ep.heard = ep.heard.max(now.saturating_sub(self.cfg.silence));
            }
            return gone;
        }
        let silence = self.cfg.silence;
        self.endpoints.retain(|ep| {
            let quiet = now.saturating_sub(ep.heard);
            let keep = if ep.said.left {
                quiet < LEFT_KEEP
            } else {
                quiet < silence * 2
                    || !ep.running.is_empty()
                    || ep
                        .health
                        .answered
                        .is_some_and(|at| now.saturating_sub(at) < silence)
            };
            if !keep {
                gone.push(ep.said.id.clone());
            }
            keep
        });
        gone
    }

    /// Returns the count of known endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Chooses an endpoint.
    ///
    /// # Errors
    ///
    /// `NoEndpoint` when none takes work or each was tried.
    pub fn choose(&mut self, now: Duration, ask: &Ask<'_>) -> Result<Pick, NoEndpoint> {
        let of_service: Vec<usize> = (0..self.endpoints.len())
            .filter(|at| {
                let said = &self.endpoints[*at].said;
                said.service == ask.service && !said.leaving && !said.left
            })
            .collect();
        if of_service.is_empty() {
            return Err(NoEndpoint::None);
        }
        let usual = self.usual_failures(&of_service);
        let fresh: Vec<usize> = of_service
            .iter()
            .copied()
            .filter(|at| !ask.tried.contains(&self.endpoints[*at].said.id))
            .collect();
        if fresh.is_empty() {
            return Err(NoEndpoint::Tried);
        }
        let good: Vec<usize> = fresh
            .iter()
            .copied()
            .filter(|at| self.is_good(now, *at, usual))
            .collect();
        let candidates = if good.is_empty() { &fresh } else { &good };
        let (at, reason) = match ask.engine_memory {
            Some(_) => self.choose_engine(now, ask, candidates),
            None => (self.choose_plain(now, candidates), Reason::Predicted),
        };
        let reason = match good.is_empty() {
            true => Reason::LastResort,
            false => reason,
        };
        let said = &self.endpoints[at].said;
        Ok(Pick {
            endpoint: said.id.clone(),
            incarnation: said.incarnation,
            address: said.address,
            reason,
            candidates: candidates.len(),
        })
    }

    fn usual_failures(&self, of_service: &[usize]) -> f64 {
        let mut rates: Vec<f64> = of_service
            .iter()
            .filter_map(|at| self.endpoints[*at].health.rate())
            .collect();
        rates.sort_by(f64::total_cmp);
        // The lower median: half of the endpoints may fail and still be found.
        rates
            .get(rates.len().saturating_sub(1) / 2)
            .copied()
            .unwrap_or(0.0)
    }

    fn is_good(&self, now: Duration, at: usize, usual: f64) -> bool {
        let ep = &self.endpoints[at];
        let silent = now.saturating_sub(ep.heard) > self.cfg.silence;
        let answers = ep
            .health
            .answered
            .is_some_and(|t| now.saturating_sub(t) < self.cfg.silence);
        !ep.health.is_full(now) && !ep.health.is_avoided(now, usual) && (!silent || answers)
    }

    fn choose_plain(&mut self, now: Duration, candidates: &[usize]) -> usize {
        let mut best = candidates[0];
        let mut least = f64::INFINITY;
        for at in candidates {
            let ep = &self.endpoints[*at];
            let busy = f64::from(u32::try_from(ep.running.len()).unwrap_or(u32::MAX));
            let slots = f64::from(ep.said.slots.max(1));
            let remote = f64::from(u8::from(ep.said.data_centre != self.cfg.data_centre));
            let cold = f64::from(u8::from(now < ep.warm_at));
            let load = busy / slots + REMOTE_LOAD * remote + COLD_LOAD * cold;
            let load = load + self.rng.random_range(0.0..LOAD_TIE);
            if load < least {
                least = load;
                best = *at;
            }
        }
        best
    }

    /// Returns the hash by which all routers rank an engine for a prompt part.
    fn order(key: u64, id: &str) -> u64 {
        xxh3_64_with_seed(id.as_bytes(), key)
    }

    /// Returns the engine that ranks first for a prompt by the hash of its shared
    /// parts.
    fn home(&self, shared: &[Part], of: &[usize]) -> Option<usize> {
        let eps = &self.endpoints;
        let order = |part: &Part, at: &usize| Self::order(part.id, &eps[*at].said.id);
        let [first, .., last] = shared else {
            let first = shared.first()?;
            return of.iter().copied().max_by_key(|at| order(first, at));
        };
        let spread = of.len().div_ceil(self.cfg.spread_share.max(1));
        let spread = spread.max(self.cfg.spread_least).min(of.len());
        let mut near = of.to_vec();
        near.sort_by_cached_key(|at| std::cmp::Reverse(order(first, at)));
        near.truncate(spread);
        near.into_iter().max_by_key(|at| order(last, at))
    }

    fn choose_engine(&mut self, now: Duration, ask: &Ask<'_>, of: &[usize]) -> (usize, Reason) {
        let shared = ask.prompt.len().saturating_sub(1);
        let shared = &ask.prompt[..shared];
        let shared_tokens: Tokens = shared.iter().map(|p| p.tokens).sum();
        let own_tokens = ask.prompt.last().map_or(0, |p| p.tokens);
        let home = self.home(shared, of);
        let unknown = 1.0 - self.peers.len() as f64 / (self.routers.max(2) - 1) as f64;
        let likely = self.cfg.likely_hit * unknown.clamp(0.0, 1.0);
        let is_read = of
            .iter()
            .any(|at| self.endpoints[*at].cache.hit(shared) == shared_tokens);
        let mut best = (of[0], Reason::Predicted);
        let mut least = f64::INFINITY;
        for at in of {
            let ep = &self.endpoints[*at];
            let is_home = home == Some(*at);
            let mut missing = (shared_tokens - ep.cache.hit(shared)) as f64;
            if is_home {
                missing *= 1.0 - likely;
            }
            let read = missing * self.cfg.reread_weight + own_tokens as f64;
            let read = read / self.cfg.prefill_rate;
            let away = match is_home || is_read {
                true => 0.0,
                false => self.cfg.home.as_secs_f64(),
            };
            let remote = match ep.said.data_centre == self.cfg.data_centre {
                true => 0.0,
                false => self.cfg.remote_cost.as_secs_f64(),
            };
            let cost =
                read + away + ep.wait(now, rank(ask.level)) + remote + ep.crowd() * CROWD_COST;
            let cost = cost + self.rng.random_range(0.0..COST_TIE);
            if cost < least {
                least = cost;
                best = match missing < 1.0 && !shared.is_empty() {
                    true => (*at, Reason::Affinity),
                    false => (*at, Reason::Predicted),
                };
            }
        }
        best
    }

    /// Sets the count of routers, of which only some may be peers.
    pub fn set_routers(&mut self, routers: usize) {
        self.routers = routers.max(1);
    }

    /// Returns this router's work at engines, for its peers.
    pub fn own_work(&self, now: Duration) -> Vec<Work> {
        let busy = self.endpoints.iter().filter(|e| !e.running.is_empty());
        busy.map(|ep| Work {
            endpoint: ep.said.id.clone(),
            backlog: std::array::from_fn(|r| Duration::from_secs_f64(ep.backlog(now, r))),
            delay: std::array::from_fn(|r| Duration::from_secs_f64(ep.delay(now, r))),
            running: u32::try_from(ep.running.len()).unwrap_or(u32::MAX),
        })
        .collect()
    }

    /// Returns the prompts that this router sent since the last call, for its
    /// peers.
    pub fn take_reads(&mut self) -> Vec<PromptRead> {
        std::mem::take(&mut self.reads)
    }

    /// Takes prompts that a peer sent. `memory` is that of an engine.
    pub fn peer_reads(&mut self, reads: &[PromptRead], memory: impl Fn(&str) -> Option<Tokens>) {
        for read in reads {
            if let Some(ep) = self.find(&read.endpoint)
                && let Some(memory) = memory(&ep.said.service)
            {
                ep.cache.read(&read.prompt, memory);
            }
        }
    }

    /// Takes the work that a peer has at engines. Where only some routers are
    /// peers, the work of the others counts as spread evenly over the engines of
    /// a service: scaled up, a single prompt of a peer would look like a queue.
    pub fn peer_work(&mut self, now: Duration, peer: &str, work: Vec<Work>) {
        self.peers
            .retain(|(name, at, _)| name != peer && now.saturating_sub(*at) < PEER_AGE);
        self.peers.push((peer.to_owned(), now, work));
        for ep in &mut self.endpoints {
            ep.others = Others {
                at: now,
                ..Others::default()
            };
        }
        let peers = std::mem::take(&mut self.peers);
        for (_, at, work) in &peers {
            let age = now.saturating_sub(*at).as_secs_f64();
            for w in work {
                let Some(ep) = self.find(&w.endpoint) else {
                    continue;
                };
                for r in 0..RANKS {
                    let backlog = w.backlog[r].as_secs_f64() - age;
                    ep.others.backlog[r] += backlog.max(0.0);
                    let delay = w.delay[r].as_secs_f64() - age;
                    ep.others.delay[r] = ep.others.delay[r].max(delay);
                }
                ep.others.running += f64::from(w.running);
            }
        }
        let unseen = self.routers.saturating_sub(1).saturating_sub(peers.len());
        let unseen = unseen as f64 / peers.len() as f64;
        self.peers = peers;
        if unseen > 0.0 {
            self.spread_unseen(unseen);
        }
    }

    /// Adds the work of routers that are no peers, `unseen` times that of peers.
    fn spread_unseen(&mut self, unseen: f64) {
        // Sorted by service.
        let mut sums: Vec<(ServiceName, f64, Others)> = Vec::new();
        for ep in &self.endpoints {
            let service = &ep.said.service;
            let at = match sums.binary_search_by(|(s, ..)| s.cmp(service)) {
                Ok(at) => at,
                Err(at) => {
                    sums.insert(at, (service.clone(), 0.0, Others::default()));
                    at
                }
            };
            let (_, engines, sum) = &mut sums[at];
            *engines += 1.0;
            sum.add(&ep.others, 1.0);
        }
        for ep in &mut self.endpoints {
            let found = sums.binary_search_by(|(s, ..)| s.cmp(&ep.said.service));
            if let Some((_, engines, sum)) = found.ok().and_then(|at| sums.get(at)) {
                ep.others.add(sum, unseen / engines);
            }
        }
    }

    /// Notes that a request was sent to an endpoint.
    pub fn started(&mut self, now: Duration, endpoint: &str, no: RequestNo, ask: &Ask<'_>) {
        let rate = self.cfg.prefill_rate;
        let Ok(at) = self.place(endpoint) else {
            return;
        };
        let ep = &mut self.endpoints[at];
        let mut prefill = Duration::ZERO;
        if let Some(memory) = ask.engine_memory {
            let all: Tokens = ask.prompt.iter().map(|p| p.tokens).sum();
            let missing = all - ep.cache.hit(ask.prompt);
            prefill = Duration::from_secs_f64(missing as f64 / rate);
            ep.cache.read(ask.prompt, memory);
            if self.reads.len() < MAX_READS {
                self.reads.push(PromptRead {
                    endpoint: endpoint.to_owned(),
                    prompt: ask.prompt.to_vec(),
                });
            }
        }
        ep.running.push(Running {
            no,
            started: now,
            prefill,
            rank: rank(ask.level),
            first: false,
        });
    }

    /// Notes the first event of an engine's answer.
    pub fn first_event(&mut self, now: Duration, endpoint: &str, no: RequestNo) {
        if let Some(ep) = self.find(endpoint)
            && let Some(run) = ep.running.iter_mut().find(|r| r.no == no)
        {
            run.first = true;
            let took = now.saturating_sub(run.started);
            let delay = took.as_secs_f64() - run.prefill.as_secs_f64();
            let rank = run.rank;
            ep.measured(now, rank, delay);
        }
    }

    /// Notes how a request at an endpoint ended.
    pub fn finished(
        &mut self,
        now: Duration,
        endpoint: &str,
        incarnation: Incarnation,
        no: RequestNo,
        outcome: Outcome,
    ) {
        let Some(ep) = self.find(endpoint) else {
            return;
        };
        if ep.said.incarnation != incarnation {
            return;
        }
        ep.running.retain(|r| r.no != no);
        match outcome {
            Outcome::Ok => ep.health.ok(now),
            Outcome::Failed => ep.health.failed(now),
            Outcome::Full => ep.health.full(now),
            Outcome::Unreachable | Outcome::Broken => ep.health.unreachable(now),
            Outcome::Misdirected => {
                ep.said.left = true;
                ep.said.leaving = true;
            }
            Outcome::Cancelled => {}
        }
    }
}
