//! Event-driven model of callers, routers and endpoints. Routers run the
//! shipped decision code and don't see each other.

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
use super::baseline::Plain;
use super::baseline::Rule;
use super::engine::Engine;
use super::engine::MODEL;
use super::ledger::LedgerModel;
use super::tally;
use super::tally::Tally;
use super::workload::Arrival;

/// One network trip between callers, routers and endpoints.
pub(crate) const TRIP: Duration = Duration::from_millis(1);
/// Time between announcements of an endpoint.
const ANNOUNCE: Duration = Duration::from_secs(1);
/// Delay of a load report, in milliseconds.
const REPORT_LAG_MS: (u64, u64) = (200, 1000);
/// Validity of an announcement.
const LEASE: Duration = Duration::from_millis(2500);
/// Time of a commit in the ledger.
pub(crate) const COMMIT: Duration = Duration::from_millis(3);
/// Limit of the wait for the first byte of a model's answer.
const FIRST_BYTE: Duration = Duration::from_secs(30);
/// Time from a crash to the next incarnation.
const RESTART: Duration = Duration::from_secs(5);
/// Time between timer calls of a router.
const TICK: Duration = Duration::from_millis(20);
/// Time after the last arrival in which answers may still come.
const DRAIN: Duration = Duration::from_secs(90);

/// Admission of a run.
#[derive(Clone, Debug)]
pub(crate) enum AdmissionKind {
    Fair(anvilloft_admission::Policy),
    Fifo,
}

/// Routing of a run.
#[derive(Clone, Debug)]
pub(crate) enum RoutingKind {
    Predictive(SelectorConfig),
    Plain(Rule),
}

/// How the caller of a crashing request sends it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resend {
    /// 20 times, each after the answer to the one before.
    InTurn,
    /// 20 times at once through all routers after the first answer.
    AtOnce,
    /// 20 times at once together with the first one.
    FromStart,
}

/// A planned fault.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    Dead(usize),
    Silent(usize),
    Slow(usize, f64),
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) routers: usize,
    pub(crate) endpoints: usize,
    pub(crate) slots: u32,
    pub(crate) seconds: f64,
    pub(crate) warm: f64,
    pub(crate) seed: u64,
    pub(crate) admission: AdmissionKind,
    pub(crate) routing: RoutingKind,
    pub(crate) faults: Vec<(f64, Fault)>,
    pub(crate) resend: Resend,
    pub(crate) count_deaths: bool,
}

#[derive(Debug)]
pub(super) enum Ev {
    Arrive(usize),
    AtEngine(usize),
    EngineEnd(usize),
    FirstByte(usize),
    FirstByteLimit(usize),
    Done(usize),
    Failed(usize, Failure),
    Announce(usize),
    Announced(usize, Box<EndpointState>),
    Tick(usize),
    Fault(Fault),
    Crash(usize),
    Restart(usize),
    Probe(usize, usize, Incarnation),
    Strike(usize),
    List(usize, Vec<u64>),
    PermitAsk(usize),
    PermitReply(usize, super::ledger::Permit),
    Retry(usize),
    Release(usize, bool),
}

struct Scheduled {
    at: Duration,
    seq: u64,
    ev: Ev,
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
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.seq).cmp(&(self.at, self.seq))
    }
}

/// One router with the shipped decision code or a baseline.
pub(super) struct Router {
    pub(super) admission: Box<dyn Admission>,
    pub(super) selector: Box<dyn Selector>,
    pub(super) retries: RetryBudget,
    pub(super) suspects: Suspects,
    /// Admitted requests that found every endpoint full.
    pub(super) pending: VecDeque<usize>,
    pub(super) condemned: std::collections::HashSet<u64>,
}

pub(super) struct Req {
    pub(super) a: Arrival,
    pub(super) router: usize,
    pub(super) level: u32,
    pub(super) admitted: bool,
    pub(super) ended: bool,
    pub(super) first_byte: bool,
    pub(super) tries: u32,
    pub(super) tried: Vec<EndpointId>,
    /// Sent again by the caller of a crashing request.
    pub(super) resent: bool,
    /// Copies that the caller still sends in turn.
    pub(super) left: u32,
}

pub(super) struct Attempt {
    pub(super) req: usize,
    pub(super) router: usize,
    pub(super) ep: usize,
    pub(super) inc: Incarnation,
    pub(super) open: bool,
    pub(super) permit: bool,
    pub(super) sent: Duration,
    pub(super) engine_start: Option<Duration>,
    pub(super) first: Option<Duration>,
    pub(super) gap: Duration,
}

/// The model.
pub(crate) struct World {
    pub(super) cfg: Setup,
    pub(super) now: Duration,
    heap: BinaryHeap<Scheduled>,
    seq: u64,
    pub(super) rng: SmallRng,
    pub(super) routers: Vec<Router>,
    pub(super) engines: Vec<Engine>,
    pub(super) reqs: Vec<Req>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) ledger: LedgerModel,
    pub(super) tally: Tally,
    pub(super) open: usize,
    pub(super) warm: Duration,
    pub(super) end: Duration,
    busy: u32,
    busy_at: Duration,
}

impl World {
    pub(crate) fn new(cfg: Setup, arrivals: &[Arrival]) -> Self {
        let mut rng = SmallRng::seed_from_u64(cfg.seed ^ 0x5eed);
        let names: Vec<RouterId> = (0..cfg.routers).map(|r| format!("r{r:03}")).collect();
        let routers = names
            .iter()
            .map(|name| {
                let admission: Box<dyn Admission> = match &cfg.admission {
                    AdmissionKind::Fair(p) => Box::new(FairAdmission::new(p.clone())),
                    AdmissionKind::Fifo => Box::new(Fifo::new()),
                };
                let own = SmallRng::seed_from_u64(rng.random());
                let mut selector: Box<dyn Selector> = match &cfg.routing {
                    RoutingKind::Predictive(c) => Box::new(PredictiveSelector::new(c.clone(), own)),
                    RoutingKind::Plain(rule) => Box::new(Plain::new(*rule, own)),
                };
                selector.set_routers(name, &names);
                Router {
                    admission,
                    selector,
                    retries: RetryBudget::new(Duration::ZERO),
                    suspects: Suspects::new(),
                    pending: VecDeque::new(),
                    condemned: Default::default(),
                }
            })
            .collect();
        let engines = (0..cfg.endpoints)
            .map(|e| Engine::new(e, cfg.slots))
            .collect();
        let mut world = Self {
            now: Duration::ZERO,
            heap: BinaryHeap::new(),
            seq: 0,
            rng,
            routers,
            engines,
            reqs: Vec::with_capacity(arrivals.len()),
            attempts: Vec::with_capacity(arrivals.len()),
            ledger: LedgerModel::new(cfg.count_deaths),
            tally: Tally::default(),
            open: 0,
            warm: Duration::from_secs_f64(cfg.warm),
            end: Duration::from_secs_f64(cfg.seconds),
            busy: 0,
            busy_at: Duration::ZERO,
            cfg,
        };
        world.prepare(arrivals);
        world
    }

    fn prepare(&mut self, arrivals: &[Arrival]) {
        for ep in 0..self.engines.len() {
            for r in 0..self.routers.len() {
                let rng = &mut self.rng;
                let mut state = self.engines[ep].announce(Duration::ZERO, rng);
                state.lease_expires = LEASE;
                self.routers[r].selector.update(Duration::ZERO, &state);
            }
            let at = Duration::from_millis(self.rng.random_range(0..1000));
            self.at(at, Ev::Announce(ep));
        }
        for r in 0..self.routers.len() {
            self.capacity(r);
            self.at(Duration::from_millis(r as u64), Ev::Tick(r));
        }
        let faults = self.cfg.faults.clone();
        for (at, fault) in faults {
            self.at(Duration::from_secs_f64(at), Ev::Fault(fault));
        }
        for a in arrivals {
            let no = self.add_request(*a, a.router, false);
            if a.poison && self.cfg.resend == Resend::FromStart {
                self.send_copies(no, a.at);
            }
        }
    }

    pub(super) fn at(&mut self, at: Duration, ev: Ev) {
        self.seq += 1;
        self.heap.push(Scheduled {
            at,
            seq: self.seq,
            ev,
        });
    }

    pub(super) fn after(&mut self, delay: Duration, ev: Ev) {
        self.at(self.now + delay, ev);
    }

    /// Adds a request that reaches its router one trip after `a.at`.
    pub(super) fn add_request(&mut self, a: Arrival, router: usize, resent: bool) -> usize {
        let no = self.reqs.len();
        self.reqs.push(Req {
            a,
            router,
            level: 0,
            admitted: false,
            ended: false,
            first_byte: false,
            tries: 0,
            tried: Vec::new(),
            resent,
            left: 0,
        });
        self.open += 1;
        self.at(a.at + TRIP, Ev::Arrive(no));
        no
    }

    /// Sends 20 copies of a request through all routers.
    pub(super) fn send_copies(&mut self, no: usize, at: Duration) {
        let a = Arrival {
            at,
            ..self.reqs[no].a
        };
        for i in 0..20 {
            let router = (a.router + i + 1) % self.routers.len();
            self.add_request(a, router, true);
        }
    }

    /// Runs to the end and returns what was measured.
    pub(crate) fn run(mut self) -> Tally {
        while let Some(s) = self.heap.pop() {
            self.now = s.at;
            if self.now > self.end && (self.open == 0 || self.now > self.end + DRAIN) {
                break;
            }
            self.handle(s.ev);
        }
        self.tally.unanswered = self
            .reqs
            .iter()
            .filter(|r| !r.ended && !r.resent && r.a.at >= self.warm)
            .count() as u64;
        self.tally.seconds = (self.end - self.warm).as_secs_f64();
        self.tally
    }

    fn handle(&mut self, ev: Ev) {
        match ev {
            Ev::Arrive(no) => self.arrive(no),
            Ev::AtEngine(at) => self.at_engine(at),
            Ev::EngineEnd(at) => {
                let ep = self.attempts[at].ep;
                if self.engines[ep].end(at as u128).is_some() {
                    self.after(TRIP, Ev::Done(at));
                    self.kick(ep);
                }
            }
            Ev::FirstByte(at) => self.first_byte(at),
            Ev::FirstByteLimit(at) => {
                if self.attempts[at].open && self.attempts[at].first.is_none() {
                    let ep = self.attempts[at].ep;
                    self.engines[ep].cancel(at as u128);
                    self.kick(ep);
                    self.failed(at, Failure::FirstByte);
                }
            }
            Ev::Done(at) => self.done(at),
            Ev::Failed(at, failure) => self.failed(at, failure),
            Ev::Announce(ep) => self.announce(ep),
            Ev::Announced(r, state) => {
                self.routers[r].selector.update(self.now, &state);
                let due = self.routers[r].suspects.endpoint_announced(
                    self.now,
                    &state.id,
                    state.incarnation,
                );
                self.strike_all(due);
                self.pump(r);
            }
            Ev::Tick(r) => {
                self.pump(r);
                let _ = self.routers[r].suspects.expire(self.now);
                self.after(TICK, Ev::Tick(r));
            }
            Ev::Fault(fault) => match fault {
                Fault::Dead(ep) => self.crash(ep, false),
                Fault::Silent(ep) => self.engines[ep].silent = true,
                Fault::Slow(ep, by) => self.engines[ep].slow = by,
            },
            Ev::Crash(at) => {
                let ep = self.attempts[at].ep;
                let runs = |j: &super::engine::Job| j.attempt == at as u128;
                if self.engines[ep].running.iter().any(runs) {
                    let f = self.reqs[self.attempts[at].req].a.fingerprint;
                    *self.tally.deaths.entry(f).or_default() += 1;
                    self.crash(ep, true);
                }
            }
            Ev::Restart(ep) => {
                self.engines[ep].restart();
                self.announce(ep);
            }
            Ev::Probe(r, ep, inc) => self.probe(r, ep, inc),
            Ev::Strike(at) => self.strike(at),
            Ev::List(r, list) => self.list(r, list),
            Ev::PermitAsk(at) => self.permit_ask(at),
            Ev::PermitReply(at, reply) => self.permit_reply(at, reply),
            Ev::Retry(no) => self.route(no),
            Ev::Release(at, clean) => {
                let a = &self.attempts[at];
                let f = self.reqs[a.req].a.fingerprint;
                if clean {
                    self.ledger.end(f, a.ep, false);
                } else {
                    self.ledger.release(f, a.ep);
                }
                self.push_list();
            }
        }
    }

    fn at_engine(&mut self, at: usize) {
        let a = &self.attempts[at];
        let ep = a.ep;
        if !self.engines[ep].alive || self.engines[ep].incarnation != a.inc {
            self.after(TRIP, Ev::Failed(at, Failure::Connect));
            return;
        }
        let req = &self.reqs[a.req];
        let job = super::engine::Job {
            attempt: at as u128,
            req: a.req,
            router: a.router,
            level: req.level,
            prompt: req.a.prompt,
            out: req.a.out,
            prefix: req.a.prefix,
        };
        let router = a.router;
        self.engines[ep].push(job);
        let engine = &self.engines[ep];
        let over = i64::from(engine.in_flight()) - i64::from(engine.slots);
        let part = engine.slots / self.cfg.routers as u32;
        let own = i64::from(engine.in_flight_of(router)) - i64::from(part);
        self.tally.over = self.tally.over.max(over);
        self.tally.over_router = self.tally.over_router.max(own);
        self.kick(ep);
    }

    /// Starts what an endpoint can start.
    fn kick(&mut self, ep: usize) {
        while let Some((job, service)) = self.engines[ep].start() {
            let at = job.attempt as usize;
            self.attempts[at].engine_start = Some(self.now);
            self.attempts[at].gap = service.gap;
            self.after(service.prefill + TRIP, Ev::FirstByte(at));
            self.after(service.total, Ev::EngineEnd(at));
            if self.reqs[job.req].a.poison {
                let limit = service.total.as_millis().clamp(21, 300) as u64;
                let ms = self.rng.random_range(20..limit);
                self.after(Duration::from_millis(ms), Ev::Crash(at));
            }
        }
        self.track_busy();
    }

    fn track_busy(&mut self) {
        let from = self.busy_at.max(self.warm);
        let to = self.now.min(self.end);
        if to > from {
            let seconds = (to - from).as_secs_f64();
            self.tally.busy += f64::from(self.busy) * seconds;
            let slots = self.cfg.slots as usize * self.engines.len();
            self.tally.existed += slots as f64 * seconds;
        }
        self.busy_at = self.now;
        self.busy = self.engines.iter().map(Engine::busy).sum();
    }

    fn crash(&mut self, ep: usize, restarts: bool) {
        if !self.engines[ep].alive {
            return;
        }
        for job in self.engines[ep].crash() {
            self.after(TRIP, Ev::Failed(job.attempt as usize, Failure::Reset));
        }
        if restarts {
            self.after(RESTART, Ev::Restart(ep));
        }
        self.track_busy();
    }

    fn announce(&mut self, ep: usize) {
        if self.engines[ep].alive {
            let state = self.engines[ep].announce(self.now, &mut self.rng);
            for r in 0..self.routers.len() {
                let lag = self.rng.random_range(REPORT_LAG_MS.0..REPORT_LAG_MS.1);
                let mut state = state.clone();
                state.lease_expires = self.now + LEASE;
                self.after(
                    Duration::from_millis(lag),
                    Ev::Announced(r, Box::new(state)),
                );
            }
            if tally::measured(self.now, self.warm, self.end) {
                let loads: Vec<f64> = self
                    .engines
                    .iter()
                    .map(|e| f64::from(e.in_flight()))
                    .collect();
                self.tally.spread.push(tally::deviation(&loads) as f32);
            }
        }
        // A restart begins anew.
        if self.engines[ep].alive {
            self.after(ANNOUNCE, Ev::Announce(ep));
        }
    }

    /// Returns what a request needs from an endpoint.
    pub(super) fn route_request<'a>(req: &'a Req, tried: &'a [EndpointId]) -> RouteRequest<'a> {
        let mut fingerprint = [0; 16];
        fingerprint[..8].copy_from_slice(&req.a.fingerprint.to_le_bytes());
        RouteRequest {
            model: MODEL,
            level: req.level,
            prompt_tokens: u64::from(req.a.prompt),
            prefix: Some(req.a.prefix),
            fingerprint,
            exclude: tried,
            ..RouteRequest::default()
        }
    }

    pub(super) fn first_byte_limit(&mut self, at: usize) {
        self.after(FIRST_BYTE, Ev::FirstByteLimit(at));
    }
}
