//! Chooses an endpoint for each request.
//!
//! A request to a plain service goes to the least loaded endpoint; the router's own
//! data centre is preferred. A batch engine is chosen by the predicted time to the
//! first event: the wait behind other prompts, the delay measured lately, and the
//! time to process the tokens that the engine has not cached.
//!
//! Routers tell each other which prompts they sent where, so each of them knows
//! which engines have cached the shared parts. A prompt whose shared parts no
//! engine has cached goes to its preferred engine, which all routers find by the
//! same rendezvous hash: the first shared part, which many prompts have in common,
//! narrows the engines to a few, and the last shared part selects one of these. While
//! that one is busy, routers send prompts to the next one in the same order, so that they
//! find each other's second copy without reports.
//!
//! Processing a shared part again delays every request behind it, so it is weighted
//! higher than the time that it takes. Otherwise a crash or a burst would move
//! prompts to engines that have to process them again; that delays other prompts,
//! which then move as well, until the engines do little else.
//!
//! An engine reads prompts in chunks between the steps of its running answers, so a
//! long prompt stretches the pauses of all answers there. An engine therefore costs
//! more by the streams that the prompt would hold up, and by the prompts that would
//! hold up its answer. Long prompts and long answers then gather on engines apart.

use anvilloft_types::availability::EndpointNotice;
use anvilloft_types::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::cache::PromptPart;
use crate::config::DispatcherConfig;
use crate::endpoint::Announcement;
use crate::endpoint::Change;
use crate::endpoint::Endpoint;
use crate::endpoint::EngineLoad;
use crate::endpoint::InFlight;
use crate::endpoint::Outcome;
use crate::endpoint::RANKS;
use crate::endpoint::SentPrompt;
use crate::endpoint::rank;
use crate::speed::ServiceSpeed;
use crate::speed::SpeedSample;

mod engines;
mod evidence;
mod peers;

/// How long after its last announcement an endpoint that has left is remembered, so
/// that a delayed announcement doesn't add it again.
const LEFT_RETENTION: Duration = Duration::from_secs(30);
/// The same for an endpoint whose answers said that it leaves. Nobody else may know.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of endpoints.
const MAX_ENDPOINTS: usize = 4_096;
/// Maximum number of sent prompts that are queued for the peers. Further ones are
/// not reported, so other engines may have to process their parts again.
const MAX_QUEUED_PROMPTS: usize = 256;
/// Weight of the newest answer in the moving average of the time that streams take.
const STREAM_TIME_WEIGHT: f64 = 0.05;
/// Load penalty of an endpoint in another data centre, as a share of its slots.
/// Below 1, so that a free remote slot is preferred to waiting for a local one.
const REMOTE_LOAD_PENALTY: f64 = 0.3;
/// Load penalty of an endpoint that is still warming up, as a share of its slots.
const WARM_UP_LOAD_PENALTY: f64 = 0.5;
/// Range of the random tie-break between loads, as a share of the slots: less than
/// one request of 64 slots.
const LOAD_JITTER: f64 = 0.01;

/// The properties of a request that determine its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRequest<'a> {
    /// Service.
    pub service: &'a str,
    /// Memory of one engine if the service's endpoints are batch engines.
    pub engine_memory: Option<Tokens>,
    /// Priority level of the route; 0 is the most urgent.
    pub level: u8,
    /// Longest pause between two events of the answer that is in time.
    pub max_gap: Option<Duration>,
    /// Parts of the prompt, in order.
    pub prompt: &'a [PromptPart],
    /// Endpoints that the request was already sent to.
    pub tried: &'a [EndpointId],
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It has the lowest load or the shortest predicted time.
    Predicted,
    /// It has cached the prompt's shared parts: less than one token of them is
    /// expected to be missing.
    Affinity,
    /// All untried endpoints that asked for no pause are avoided, full or silent.
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
    /// Why it was chosen.
    pub reason: Reason,
    /// Number of endpoints that were considered.
    pub candidates: usize,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEndpoint {
    /// The service has no endpoint that takes new work.
    None,
    /// Every endpoint was already tried or asked for a pause.
    Tried,
    /// Every endpoint asked for a pause. The first one ends after this time.
    Paused(Duration),
}

/// The known endpoints, their load, and the requests in flight there.
#[derive(Debug)]
pub struct Dispatcher {
    cfg: DispatcherConfig,
    // Sorted by id.
    endpoints: Vec<Endpoint>,
    /// The load that each peer reported last, and when.
    peer_loads: Vec<(RouterId, Duration, Vec<EngineLoad>)>,
    /// Number of routers in the fleet, including this one.
    router_count: usize,
    /// Prompts sent since the last report to the peers.
    sent_prompts: Vec<SentPrompt>,
    /// Moving average of the time from the first to the last event of an answer, in
    /// seconds, by rank.
    stream_time: [f64; RANKS],
    /// Prompt tokens per second of the engines, sorted by service.
    speeds: Vec<(ServiceName, ServiceSpeed)>,
    rng: SmallRng,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints. `seed` makes its tie-breaks
    /// reproducible.
    pub fn new(cfg: DispatcherConfig, seed: u64) -> Self {
        Self {
            cfg,
            endpoints: Vec::new(),
            peer_loads: Vec::new(),
            router_count: 1,
            sent_prompts: Vec::new(),
            stream_time: [0.0; RANKS],
            speeds: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|e| e.announcement.id.as_str().cmp(id))
    }

    fn find(&mut self, id: &str) -> Option<&mut Endpoint> {
        let at = self.position(id).ok()?;
        self.endpoints.get_mut(at)
    }

    fn get(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(self.position(id).ok()?)
    }

    fn get_incarnation(&self, id: &str, incarnation: Incarnation) -> Option<&Endpoint> {
        self.get(id)
            .filter(|ep| ep.announcement.incarnation == incarnation)
    }

    /// Applies an announcement. Announcements may arrive out of order or more than
    /// once.
    pub fn announce(&mut self, now: Duration, announcement: Announcement) -> Change {
        let at = match self.position(&announcement.id) {
            Ok(at) => at,
            Err(at) => {
                if self.endpoints.len() >= MAX_ENDPOINTS {
                    return Change::Stale;
                }
                let change = match announcement.leaving || announcement.left {
                    true => Change::Leaving,
                    false => Change::Added,
                };
                self.endpoints.insert(at, Endpoint::new(now, announcement));
                return change;
            }
        };
        let Some(ep) = self.endpoints.get_mut(at) else {
            return Change::Stale;
        };
        let old = &ep.announcement;
        if announcement.incarnation > old.incarnation {
            *ep = Endpoint::new(now, announcement);
            return Change::Added;
        }
        // A control member that didn't know the endpoint can't tell which
        // incarnation leaves.
        let any_incarnation = announcement.left && announcement.incarnation == 0;
        if (announcement.incarnation < old.incarnation && !any_incarnation) || old.left {
            return Change::Stale;
        }
        let says_leaving = announcement.leaving || announcement.left;
        let starts_leaving = says_leaving && !old.leaving;
        let said_at = now.saturating_sub(announcement.age);
        if announcement.left {
            ep.announcement.left = true;
            ep.announcement.leaving = true;
        } else if announcement.can_follow(old) {
            ep.record_announced(now, said_at);
            ep.warm_at = now + announcement.warm_up;
            ep.announcement = announcement;
        } else {
            return Change::Stale;
        }
        if starts_leaving {
            ep.record_leaving(said_at);
        }
        match starts_leaving {
            true => Change::Leaving,
            false => Change::Renewed,
        }
    }

    /// Removes endpoints that are silent, run none of this router's requests and
    /// have answered none lately, and those that left some time ago. Returns the
    /// removed ones.
    ///
    /// While `control_reachable` is false, the router receives no announcements.
    /// Silence then says nothing about an endpoint, and all endpoints are kept.
    pub fn expire(&mut self, now: Duration, control_reachable: bool) -> Vec<EndpointId> {
        let mut removed = Vec::new();
        if !control_reachable {
            for ep in &mut self.endpoints {
                ep.last_announced = ep
                    .last_announced
                    .max(now.saturating_sub(self.cfg.announcement_timeout));
            }
            return removed;
        }
        let timeout = self.cfg.announcement_timeout;
        self.endpoints.retain(|ep| {
            let silent_for = now.saturating_sub(ep.last_announced);
            let keep = if ep.announcement.left {
                silent_for < LEFT_RETENTION
            } else if ep.availability.is_leaving() {
                silent_for < LEAVING_RETENTION
            } else {
                silent_for < timeout * 2
                    || !ep.in_flight.is_empty()
                    || ep
                        .health
                        .last_answer
                        .is_some_and(|at| now.saturating_sub(at) < timeout)
            };
            if !keep {
                removed.push(ep.announcement.id.clone());
            }
            keep
        });
        let eps = &self.endpoints;
        self.speeds
            .retain(|(service, _)| eps.iter().any(|ep| ep.announcement.service == *service));
        removed
    }

    /// Returns the number of known endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Chooses an endpoint for a request.
    ///
    /// # Errors
    ///
    /// `NoEndpoint` if no endpoint takes new work or all of them were tried.
    pub fn choose(&mut self, now: Duration, req: &DispatchRequest<'_>) -> Result<Pick, NoEndpoint> {
        self.choose_among(now, req, false)
    }

    fn choose_among(
        &mut self,
        now: Duration,
        req: &DispatchRequest<'_>,
        needs_free_slot: bool,
    ) -> Result<Pick, NoEndpoint> {
        let of_service: Vec<usize> = (0..self.endpoints.len())
            .filter(|at| {
                let ep = &self.endpoints[*at];
                ep.announcement.service == req.service && !ep.is_leaving()
            })
            .collect();
        if of_service.is_empty() {
            return Err(NoEndpoint::None);
        }
        let pause_left = |at: &usize| self.endpoints[*at].availability.pause_left(now);
        if of_service.iter().all(|at| pause_left(at).is_some()) {
            let first_end = of_service.iter().filter_map(pause_left).min();
            return Err(NoEndpoint::Paused(first_end.unwrap_or_default()));
        }
        let open: Vec<usize> = of_service
            .iter()
            .copied()
            .filter(|at| !req.tried.contains(&self.endpoints[*at].announcement.id))
            .filter(|at| pause_left(at).is_none())
            .collect();
        if open.is_empty() {
            return Err(NoEndpoint::Tried);
        }
        let baseline = self.median_failure_rate(now, &of_service);
        let usable: Vec<usize> = open
            .iter()
            .copied()
            .filter(|at| self.is_usable(now, *at, baseline))
            .filter(|at| !needs_free_slot || self.endpoints[*at].utilization() < 1.0)
            .collect();
        let candidates = if usable.is_empty() { &open } else { &usable };
        let (at, reason) = match req.engine_memory {
            Some(_) => self.choose_engine(now, req, candidates),
            None => (self.choose_least_loaded(now, candidates), Reason::Predicted),
        };
        let reason = match usable.is_empty() {
            true => Reason::LastResort,
            false => reason,
        };
        let announcement = &self.endpoints[at].announcement;
        Ok(Pick {
            endpoint: announcement.id.clone(),
            incarnation: announcement.incarnation,
            address: announcement.address,
            reason,
            candidates: candidates.len(),
        })
    }

    /// Chooses an endpoint like [`choose`](Self::choose), but none that is avoided, full
    /// or silent; only one with a free slot if `needs_free_slot`.
    pub fn choose_usable(
        &mut self,
        now: Duration,
        req: &DispatchRequest<'_>,
        needs_free_slot: bool,
    ) -> Option<Pick> {
        let pick = self.choose_among(now, req, needs_free_slot).ok()?;
        (pick.reason != Reason::LastResort).then_some(pick)
    }

    /// Applies what an answer of an endpoint says about further requests. Returns whether
    /// it changes anything.
    pub fn apply_notice(
        &mut self,
        now: Duration,
        endpoint: &str,
        incarnation: Incarnation,
        notice: EndpointNotice,
    ) -> bool {
        let spread = self.rng.random_range(0.0..1.0);
        let found = self.find(endpoint);
        let Some(ep) = found.filter(|ep| ep.announcement.incarnation == incarnation) else {
            return false;
        };
        if notice.leaving {
            ep.record_leaving(now);
        }
        ep.availability.apply(now, notice, spread)
    }

    /// Whether an endpoint has ended an answer, even a failure or a refusal, since a
    /// time. One that has is slow rather than dead.
    pub fn has_answered_since(&self, endpoint: &str, since: Duration) -> bool {
        self.get(endpoint)
            .and_then(|ep| ep.health.last_answer)
            .is_some_and(|at| at >= since)
    }

    /// Whether an incarnation of an endpoint is known to be leaving.
    pub fn is_leaving(&self, endpoint: &str, incarnation: Incarnation) -> bool {
        self.get_incarnation(endpoint, incarnation)
            .is_some_and(Endpoint::is_leaving)
    }

    /// Whether an incarnation of an endpoint is known and takes a request that it has had
    /// before.
    pub fn takes_return(&self, now: Duration, endpoint: &str, incarnation: Incarnation) -> bool {
        self.get_incarnation(endpoint, incarnation)
            .is_some_and(|ep| ep.takes_return(now))
    }

    fn median_failure_rate(&self, now: Duration, of_service: &[usize]) -> f64 {
        let mut rates: Vec<f64> = of_service
            .iter()
            .filter_map(|at| self.endpoints[*at].health.failure_rate(now))
            .collect();
        rates.sort_by(f64::total_cmp);
        // The lower median, so that failing endpoints stand out even when half of
        // them fail.
        rates
            .get(rates.len().saturating_sub(1) / 2)
            .copied()
            .unwrap_or(0.0)
    }

    /// Whether an endpoint is neither silent, full nor avoided.
    fn is_usable(&self, now: Duration, at: usize, baseline: f64) -> bool {
        let ep = &self.endpoints[at];
        let silent = now.saturating_sub(ep.last_announced) > self.cfg.announcement_timeout;
        let answered_recently = ep
            .health
            .last_answer
            .is_some_and(|t| now.saturating_sub(t) < self.cfg.announcement_timeout);
        !ep.health.is_full(now)
            && !ep.health.is_avoided(now, baseline)
            && (!silent || answered_recently)
    }

    fn choose_least_loaded(&mut self, now: Duration, candidates: &[usize]) -> usize {
        let mut best = candidates[0];
        let mut min_load = f64::INFINITY;
        for at in candidates {
            let ep = &self.endpoints[*at];
            let in_flight = f64::from(u32::try_from(ep.in_flight.len()).unwrap_or(u32::MAX));
            let slots = f64::from(ep.announcement.slots.max(1));
            let remote = f64::from(u8::from(
                ep.announcement.data_centre != self.cfg.data_centre,
            ));
            let warming_up = f64::from(u8::from(now < ep.warm_at));
            let load = in_flight / slots
                + REMOTE_LOAD_PENALTY * remote
                + WARM_UP_LOAD_PENALTY * warming_up;
            let load = load + self.rng.random_range(0.0..LOAD_JITTER);
            if load < min_load {
                min_load = load;
                best = *at;
            }
        }
        best
    }

    /// Records that a request was sent to an endpoint.
    pub fn started(
        &mut self,
        now: Duration,
        endpoint: &str,
        no: RequestNo,
        req: &DispatchRequest<'_>,
    ) {
        let service_rate = self.service_rate(req.service);
        let all_known = self.unreported_share() <= 0.0;
        let Ok(at) = self.position(endpoint) else {
            return;
        };
        let ep = &mut self.endpoints[at];
        let mut prefill = Duration::ZERO;
        let mut sample_tokens = None;
        if let Some(memory) = req.engine_memory {
            let missing = ep.cache.missing_tokens(req.prompt, memory);
            // Routers that don't report may have had shared parts cached.
            let own_tokens = req.prompt.last().map_or(0, |p| p.tokens);
            let is_certain = all_known || missing <= own_tokens;
            sample_tokens = (is_certain && !ep.has_waiting(now)).then_some(missing);
            let rate = service_rate * ep.speed.factor(now);
            prefill = Duration::from_secs_f64(missing as f64 / rate);
            ep.record_prefill(now, prefill.as_secs_f64());
            ep.cache.insert(req.prompt, memory);
            if self.sent_prompts.len() < MAX_QUEUED_PROMPTS {
                self.sent_prompts.push(SentPrompt {
                    endpoint: endpoint.to_owned(),
                    prompt: req.prompt.to_vec(),
                });
            }
        }
        ep.in_flight.push(InFlight {
            no,
            started: now,
            prefill,
            sample_tokens,
            rank: rank(req.level),
            first_event_at: None,
        });
    }

    /// Records the first event of an engine's answer.
    pub fn first_event(&mut self, now: Duration, endpoint: &str, no: RequestNo) {
        let Some(ep) = self.find(endpoint) else {
            return;
        };
        let Some(request) = ep.in_flight.iter_mut().find(|r| r.no == no) else {
            return;
        };
        request.first_event_at = Some(now);
        let elapsed = now.saturating_sub(request.started);
        let delay = elapsed.as_secs_f64() - request.prefill.as_secs_f64();
        let (rank, sample_tokens) = (request.rank, request.sample_tokens);
        ep.record_delay(now, rank, delay);
        if let Some(sample) = sample_tokens.and_then(|t| SpeedSample::new(t, elapsed)) {
            self.record_speed(now, endpoint, sample);
        }
    }

    /// Records how a request at an endpoint ended.
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
        if ep.announcement.incarnation != incarnation {
            return;
        }
        let ended = ep.in_flight.iter().find(|r| r.no == no);
        let sent_at = ended.map_or(now, |r| r.started);
        let streamed = ended.and_then(|r| Some((r.rank, now.saturating_sub(r.first_event_at?))));
        ep.in_flight.retain(|r| r.no != no);
        match outcome {
            Outcome::Ok => ep.health.on_success(now),
            Outcome::Failed => ep.health.on_failure(now),
            Outcome::Full => ep.health.on_full(now),
            Outcome::Unreachable | Outcome::Broken => ep.health.on_broken(now, sent_at),
            Outcome::Silent => ep.health.on_unreachable(now, sent_at),
            Outcome::Misdirected => {
                ep.announcement.left = true;
                ep.announcement.leaving = true;
                ep.limit_returns(now);
            }
            Outcome::Cancelled => {}
        }
        if let (Some((rank, time)), Outcome::Ok) = (streamed, outcome) {
            let mean = &mut self.stream_time[rank];
            *mean += (time.as_secs_f64() - *mean) * STREAM_TIME_WEIGHT;
        }
    }
}
