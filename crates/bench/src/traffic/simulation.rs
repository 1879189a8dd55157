//! Event-driven simulation of callers, routers and endpoints. Routers run the
//! production decision code and don't know of each other's requests.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use anvilloft_admission::Admission;
use anvilloft_admission::FairAdmission;
use anvilloft_routing::EndpointState;
use anvilloft_routing::Failure;
use anvilloft_routing::PredictiveSelector;
use anvilloft_routing::RetryBudget;
use anvilloft_routing::RouteRequest;
use anvilloft_routing::Selector;
use anvilloft_routing::SelectorConfig;
use anvilloft_routing::Suspects;
use anvilloft_types::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::baseline::Fifo;
use super::baseline::SelectionRule;
use super::baseline::SimpleSelector;
use super::engine::Engine;
use super::engine::MODEL;
use super::permits::LedgerModel;
use super::stats;
use super::stats::RunStats;
use super::workload::Arrival;

/// One-way network delay between callers, routers and endpoints.
pub(crate) const ONE_WAY_DELAY: Duration = Duration::from_millis(1);
/// Interval between announcements of an endpoint.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum and maximum delay of a load report, in milliseconds.
const REPORT_LAG_MS: (u64, u64) = (200, 1000);
/// How long an announcement is valid.
const LEASE_TTL: Duration = Duration::from_millis(2500);
/// Time that the ledger takes to commit.
pub(crate) const COMMIT_DELAY: Duration = Duration::from_millis(3);
/// Timeout of the first byte of a response.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time from a crash to the start of the next incarnation.
const RESTART_DELAY: Duration = Duration::from_secs(5);
/// Interval between timer ticks of a router.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time to wait for outstanding responses after the last arrival.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(90);

/// Admission code of a run.
#[derive(Clone, Debug)]
pub(crate) enum AdmissionKind {
    Fair(anvilloft_admission::Policy),
    Fifo,
}

/// Endpoint selection code of a run.
#[derive(Clone, Debug)]
pub(crate) enum RoutingKind {
    Predictive(SelectorConfig),
    Simple(SelectionRule),
}

/// How the caller of a crashing request sends it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resend {
    /// 20 times, each after the response to the previous one.
    InTurn,
    /// 20 times at once through all routers, after the first response.
    AtOnce,
    /// 20 times at once, together with the original.
    FromStart,
}

/// Injected fault of an endpoint, given by its index.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// Crashes and doesn't restart.
    Dead(usize),
    /// Starts no more jobs, but still announces itself.
    Silent(usize),
    /// Slows down by this factor.
    Slow(usize, f64),
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct SimulationConfig {
    pub(crate) routers: usize,
    pub(crate) endpoints: usize,
    pub(crate) slots: u32,
    pub(crate) seconds: f64,
    /// Initial time that is not measured, in seconds.
    pub(crate) warm_up: f64,
    pub(crate) seed: u64,
    pub(crate) admission: AdmissionKind,
    pub(crate) routing: RoutingKind,
    /// Faults with the time at which they occur, in seconds.
    pub(crate) faults: Vec<(f64, Fault)>,
    pub(crate) resend: Resend,
    /// Whether the deaths of two endpoints quarantine a request even when neither
    /// happened under a permit.
    pub(crate) count_deaths: bool,
}

/// Event with the indices of the request, attempt, router or endpoint that it
/// is about.
#[derive(Debug)]
pub(super) enum Event {
    RequestArrived(usize),
    AttemptArrived(usize),
    EngineFinished(usize),
    /// The first byte of an attempt reaches the router.
    FirstByte(usize),
    FirstByteTimeout(usize),
    ResponseCompleted(usize),
    AttemptFailed(usize, Failure),
    Announce(usize),
    AnnouncementReceived(usize, Box<EndpointState>),
    Tick(usize),
    Fault(Fault),
    /// A crashing request takes its endpoint down.
    Crash(usize),
    Restart(usize),
    /// A router probes an endpoint: router, endpoint and incarnation.
    Probe(usize, usize, Incarnation),
    StrikeCommitted(usize),
    SuspectsReceived(usize, Vec<u64>),
    PermitRequested(usize),
    PermitReply(usize, super::permits::Permit),
    Retry(usize),
    /// The attempt, and whether it completed.
    PermitReleased(usize, bool),
}

struct Scheduled {
    at: Duration,
    seq: u64,
    ev: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    // Reversed, so that the `BinaryHeap` returns the earliest event first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.seq).cmp(&(self.at, self.seq))
    }
}

/// One router with production or baseline decision code.
pub(super) struct Router {
    pub(super) admission: Box<dyn Admission>,
    pub(super) selector: Box<dyn Selector>,
    pub(super) retries: RetryBudget,
    pub(super) suspects: Suspects,
    /// Admitted requests for which no endpoint could be chosen yet.
    pub(super) pending: VecDeque<usize>,
    pub(super) quarantined: std::collections::HashSet<u64>,
}

pub(super) struct RequestState {
    pub(super) arrival: Arrival,
    pub(super) router: usize,
    pub(super) level: u32,
    pub(super) admitted: bool,
    pub(super) ended: bool,
    pub(super) first_byte_sent: bool,
    pub(super) attempt_count: u32,
    pub(super) tried_endpoints: Vec<EndpointId>,
    /// Whether it is a copy, sent by the caller of a crashing request.
    pub(super) resent: bool,
    /// Number of copies that the caller still sends, one after the other.
    pub(super) copies_left: u32,
}

pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) router: usize,
    pub(super) endpoint: usize,
    pub(super) incarnation: Incarnation,
    /// Whether the router still waits for its result.
    pub(super) is_open: bool,
    /// Whether it needs a permit of the ledger.
    pub(super) permit: bool,
    pub(super) sent_at: Duration,
    pub(super) started_at: Option<Duration>,
    pub(super) first_byte_at: Option<Duration>,
    pub(super) gap: Duration,
}

/// State of the simulation.
pub(crate) struct Simulation {
    pub(super) cfg: SimulationConfig,
    pub(super) now: Duration,
    heap: BinaryHeap<Scheduled>,
    seq: u64,
    pub(super) rng: SmallRng,
    pub(super) routers: Vec<Router>,
    pub(super) engines: Vec<Engine>,
    pub(super) requests: Vec<RequestState>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) ledger: LedgerModel,
    pub(super) stats: RunStats,
    pub(super) open_requests: usize,
    pub(super) warm_up: Duration,
    pub(super) end: Duration,
    /// Busy slots of all endpoints since `busy_updated_at`.
    busy_slots: u32,
    busy_updated_at: Duration,
}

impl Simulation {
    pub(crate) fn new(cfg: SimulationConfig, arrivals: &[Arrival]) -> Self {
        let mut rng = SmallRng::seed_from_u64(cfg.seed ^ 0x5eed);
        let names: Vec<RouterId> = (0..cfg.routers).map(|r| format!("r{r:03}")).collect();
        let routers = names
            .iter()
            .map(|name| {
                let admission: Box<dyn Admission> = match &cfg.admission {
                    AdmissionKind::Fair(p) => Box::new(FairAdmission::new(p.clone())),
                    AdmissionKind::Fifo => Box::new(Fifo::new()),
                };
                let selector_rng = SmallRng::seed_from_u64(rng.random());
                let mut selector: Box<dyn Selector> = match &cfg.routing {
                    RoutingKind::Predictive(c) => {
                        Box::new(PredictiveSelector::new(c.clone(), selector_rng))
                    }
                    RoutingKind::Simple(rule) => Box::new(SimpleSelector::new(*rule, selector_rng)),
                };
                selector.set_routers(name, &names);
                Router {
                    admission,
                    selector,
                    retries: RetryBudget::new(Duration::ZERO),
                    suspects: Suspects::new(),
                    pending: VecDeque::new(),
                    quarantined: Default::default(),
                }
            })
            .collect();
        let engines = (0..cfg.endpoints)
            .map(|e| Engine::new(e, cfg.slots))
            .collect();
        let mut simulation = Self {
            now: Duration::ZERO,
            heap: BinaryHeap::new(),
            seq: 0,
            rng,
            routers,
            engines,
            requests: Vec::with_capacity(arrivals.len()),
            attempts: Vec::with_capacity(arrivals.len()),
            ledger: LedgerModel::new(cfg.count_deaths),
            stats: RunStats::default(),
            open_requests: 0,
            warm_up: Duration::from_secs_f64(cfg.warm_up),
            end: Duration::from_secs_f64(cfg.seconds),
            busy_slots: 0,
            busy_updated_at: Duration::ZERO,
            cfg,
        };
        simulation.prepare(arrivals);
        simulation
    }

    fn prepare(&mut self, arrivals: &[Arrival]) {
        for endpoint in 0..self.engines.len() {
            for r in 0..self.routers.len() {
                let rng = &mut self.rng;
                let mut state = self.engines[endpoint].announce(Duration::ZERO, rng);
                state.lease_expires = LEASE_TTL;
                self.routers[r].selector.update(Duration::ZERO, &state);
            }
            let at = Duration::from_millis(self.rng.random_range(0..1000));
            self.schedule_at(at, Event::Announce(endpoint));
        }
        for r in 0..self.routers.len() {
            self.update_capacity(r);
            self.schedule_at(Duration::from_millis(r as u64), Event::Tick(r));
        }
        let faults = self.cfg.faults.clone();
        for (at, fault) in faults {
            self.schedule_at(Duration::from_secs_f64(at), Event::Fault(fault));
        }
        for a in arrivals {
            let request = self.add_request(*a, a.router, false);
            if a.poison && self.cfg.resend == Resend::FromStart {
                self.send_copies(request, a.arrives_at);
            }
        }
    }

    pub(super) fn schedule_at(&mut self, at: Duration, ev: Event) {
        self.seq += 1;
        self.heap.push(Scheduled {
            at,
            seq: self.seq,
            ev,
        });
    }

    pub(super) fn schedule_after(&mut self, delay: Duration, ev: Event) {
        self.schedule_at(self.now + delay, ev);
    }

    /// Adds a request, which reaches its router one network delay after
    /// `a.arrives_at`.
    pub(super) fn add_request(&mut self, a: Arrival, router: usize, resent: bool) -> usize {
        let request = self.requests.len();
        self.requests.push(RequestState {
            arrival: a,
            router,
            level: 0,
            admitted: false,
            ended: false,
            first_byte_sent: false,
            attempt_count: 0,
            tried_endpoints: Vec::new(),
            resent,
            copies_left: 0,
        });
        self.open_requests += 1;
        self.schedule_at(a.arrives_at + ONE_WAY_DELAY, Event::RequestArrived(request));
        request
    }

    /// Sends 20 copies of a request through all routers.
    pub(super) fn send_copies(&mut self, request: usize, at: Duration) {
        let a = Arrival {
            arrives_at: at,
            ..self.requests[request].arrival
        };
        for i in 0..20 {
            let router = (a.router + i + 1) % self.routers.len();
            self.add_request(a, router, true);
        }
    }

    /// Runs the simulation to its end and returns the measurements.
    pub(crate) fn run(mut self) -> RunStats {
        while let Some(s) = self.heap.pop() {
            self.now = s.at;
            if self.now > self.end
                && (self.open_requests == 0 || self.now > self.end + DRAIN_TIMEOUT)
            {
                break;
            }
            self.handle(s.ev);
        }
        self.stats.unanswered = self
            .requests
            .iter()
            .filter(|r| !r.ended && !r.resent && r.arrival.arrives_at >= self.warm_up)
            .count() as u64;
        self.stats.seconds = (self.end - self.warm_up).as_secs_f64();
        self.stats
    }

    fn handle(&mut self, ev: Event) {
        match ev {
            Event::RequestArrived(request) => self.handle_arrival(request),
            Event::AttemptArrived(attempt) => self.handle_attempt_arrival(attempt),
            Event::EngineFinished(attempt) => {
                let endpoint = self.attempts[attempt].endpoint;
                if self.engines[endpoint].finish(attempt as u128).is_some() {
                    self.schedule_after(ONE_WAY_DELAY, Event::ResponseCompleted(attempt));
                    self.start_waiting_jobs(endpoint);
                }
            }
            Event::FirstByte(attempt) => self.handle_first_byte(attempt),
            Event::FirstByteTimeout(attempt) => {
                if self.attempts[attempt].is_open && self.attempts[attempt].first_byte_at.is_none()
                {
                    let endpoint = self.attempts[attempt].endpoint;
                    self.engines[endpoint].cancel(attempt as u128);
                    self.start_waiting_jobs(endpoint);
                    self.handle_failure(attempt, Failure::FirstByte);
                }
            }
            Event::ResponseCompleted(attempt) => self.handle_completion(attempt),
            Event::AttemptFailed(attempt, failure) => self.handle_failure(attempt, failure),
            Event::Announce(endpoint) => self.announce(endpoint),
            Event::AnnouncementReceived(r, state) => {
                self.routers[r].selector.update(self.now, &state);
                let strikes = self.routers[r].suspects.endpoint_announced(
                    self.now,
                    &state.id,
                    state.incarnation,
                );
                self.schedule_strikes(strikes);
                self.process_decisions(r);
            }
            Event::Tick(r) => {
                self.process_decisions(r);
                let _ = self.routers[r].suspects.expire(self.now);
                self.schedule_after(TICK_INTERVAL, Event::Tick(r));
            }
            Event::Fault(fault) => match fault {
                Fault::Dead(endpoint) => self.crash(endpoint, false),
                Fault::Silent(endpoint) => self.engines[endpoint].silent = true,
                Fault::Slow(endpoint, factor) => self.engines[endpoint].slowdown = factor,
            },
            Event::Crash(attempt) => {
                let endpoint = self.attempts[attempt].endpoint;
                let runs = |j: &super::engine::Job| j.attempt == attempt as u128;
                if self.engines[endpoint].running.iter().any(runs) {
                    let f = self.requests[self.attempts[attempt].request]
                        .arrival
                        .fingerprint;
                    *self.stats.endpoint_deaths.entry(f).or_default() += 1;
                    self.crash(endpoint, true);
                }
            }
            Event::Restart(endpoint) => {
                self.engines[endpoint].restart();
                self.announce(endpoint);
            }
            Event::Probe(r, endpoint, incarnation) => self.probe_endpoint(r, endpoint, incarnation),
            Event::StrikeCommitted(attempt) => self.commit_strike(attempt),
            Event::SuspectsReceived(r, list) => self.update_suspects(r, list),
            Event::PermitRequested(attempt) => self.request_permit(attempt),
            Event::PermitReply(attempt, reply) => self.handle_permit_reply(attempt, reply),
            Event::Retry(request) => self.route(request),
            Event::PermitReleased(attempt, completed) => {
                let a = &self.attempts[attempt];
                let f = self.requests[a.request].arrival.fingerprint;
                if completed {
                    self.ledger.finish_run(f, a.endpoint, false);
                } else {
                    self.ledger.return_permit(f, a.endpoint);
                }
                self.broadcast_suspects();
            }
        }
    }

    fn handle_attempt_arrival(&mut self, attempt: usize) {
        let a = &self.attempts[attempt];
        let endpoint = a.endpoint;
        if !self.engines[endpoint].alive || self.engines[endpoint].incarnation != a.incarnation {
            self.schedule_after(
                ONE_WAY_DELAY,
                Event::AttemptFailed(attempt, Failure::Connect),
            );
            return;
        }
        let req = &self.requests[a.request];
        let job = super::engine::Job {
            attempt: attempt as u128,
            request: a.request,
            router: a.router,
            level: req.level,
            prompt_tokens: req.arrival.prompt_tokens,
            output_tokens: req.arrival.output_tokens,
            prefix: req.arrival.prefix,
        };
        let router = a.router;
        self.engines[endpoint].enqueue(job);
        let engine = &self.engines[endpoint];
        let over_slots = i64::from(engine.in_flight()) - i64::from(engine.slots);
        let share = engine.slots / self.cfg.routers as u32;
        let over_share = i64::from(engine.in_flight_of(router)) - i64::from(share);
        self.stats.max_over_slots = self.stats.max_over_slots.max(over_slots);
        self.stats.max_over_router_share = self.stats.max_over_router_share.max(over_share);
        self.start_waiting_jobs(endpoint);
    }

    /// Starts as many waiting jobs as the endpoint has free slots.
    fn start_waiting_jobs(&mut self, endpoint: usize) {
        while let Some((job, service)) = self.engines[endpoint].start() {
            let attempt = job.attempt as usize;
            self.attempts[attempt].started_at = Some(self.now);
            self.attempts[attempt].gap = service.gap;
            self.schedule_after(
                service.first_token + ONE_WAY_DELAY,
                Event::FirstByte(attempt),
            );
            self.schedule_after(service.total, Event::EngineFinished(attempt));
            if self.requests[job.request].arrival.poison {
                let limit = service.total.as_millis().clamp(21, 300) as u64;
                let ms = self.rng.random_range(20..limit);
                self.schedule_after(Duration::from_millis(ms), Event::Crash(attempt));
            }
        }
        self.record_busy_slots();
    }

    fn record_busy_slots(&mut self) {
        let from = self.busy_updated_at.max(self.warm_up);
        let to = self.now.min(self.end);
        if to > from {
            let seconds = (to - from).as_secs_f64();
            self.stats.busy_slot_seconds += f64::from(self.busy_slots) * seconds;
            let slots = self.cfg.slots as usize * self.engines.len();
            self.stats.total_slot_seconds += slots as f64 * seconds;
        }
        self.busy_updated_at = self.now;
        self.busy_slots = self.engines.iter().map(Engine::running_count).sum();
    }

    fn crash(&mut self, endpoint: usize, will_restart: bool) {
        if !self.engines[endpoint].alive {
            return;
        }
        for job in self.engines[endpoint].crash() {
            self.schedule_after(
                ONE_WAY_DELAY,
                Event::AttemptFailed(job.attempt as usize, Failure::Reset),
            );
        }
        if will_restart {
            self.schedule_after(RESTART_DELAY, Event::Restart(endpoint));
        }
        self.record_busy_slots();
    }

    fn announce(&mut self, endpoint: usize) {
        if self.engines[endpoint].alive {
            let state = self.engines[endpoint].announce(self.now, &mut self.rng);
            for r in 0..self.routers.len() {
                let lag = self.rng.random_range(REPORT_LAG_MS.0..REPORT_LAG_MS.1);
                let mut state = state.clone();
                state.lease_expires = self.now + LEASE_TTL;
                self.schedule_after(
                    Duration::from_millis(lag),
                    Event::AnnouncementReceived(r, Box::new(state)),
                );
            }
            if stats::in_measured_time(self.now, self.warm_up, self.end) {
                let loads: Vec<f64> = self
                    .engines
                    .iter()
                    .map(|e| f64::from(e.in_flight()))
                    .collect();
                self.stats
                    .load_deviations
                    .push(stats::relative_deviation(&loads) as f32);
            }
        }
        // A restart schedules the announcements again.
        if self.engines[endpoint].alive {
            self.schedule_after(ANNOUNCE_INTERVAL, Event::Announce(endpoint));
        }
    }

    /// Returns the selector's view of a request.
    pub(super) fn route_request<'a>(
        req: &'a RequestState,
        tried_endpoints: &'a [EndpointId],
    ) -> RouteRequest<'a> {
        let mut fingerprint = [0; 16];
        fingerprint[..8].copy_from_slice(&req.arrival.fingerprint.to_le_bytes());
        RouteRequest {
            model: MODEL,
            level: req.level,
            prompt_tokens: u64::from(req.arrival.prompt_tokens),
            prefix: Some(req.arrival.prefix),
            fingerprint,
            exclude: tried_endpoints,
            ..RouteRequest::default()
        }
    }

    pub(super) fn schedule_first_byte_timeout(&mut self, attempt: usize) {
        self.schedule_after(FIRST_BYTE_TIMEOUT, Event::FirstByteTimeout(attempt));
    }
}
