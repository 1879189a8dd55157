//! The cases, each with its workload, its measures and its bounds.

use anvilloft_routing::SelectionMethod;
use anvilloft_routing::SelectorConfig;

use super::TrafficConfig;
use super::baseline::Rule;
use super::report::Bound;
use super::report::Row;
use super::tally::Tally;
use super::tally::percentile;
use super::workload::Entry;
use super::workload::SHAPES;
use super::workload::Shape;
use super::workload::Source;
use super::workload::Workload;
use super::world::AdmissionKind;
use super::world::Fault;
use super::world::Resend;
use super::world::RoutingKind;
use super::world::Setup;
use super::world::World;

/// Routers of every case.
pub(crate) const ROUTERS: usize = 9;
/// Slots of an endpoint.
pub(crate) const SLOTS: u32 = 32;
/// Teams of every case; the first three are large.
const TEAMS: usize = 10;
/// Share of the demand of each large team.
const LARGE: f64 = 0.22;
/// Demand by rank without a flood, as a share of all slots.
const MIX: [f64; 3] = [0.25, 0.35, 0.20];
/// Added to both sides of a ratio of waits, in seconds: a ratio against a wait
/// of zero means nothing.
pub(crate) const WAIT_BASE: f64 = 0.010;

/// Decision code under a name.
#[derive(Clone, Debug)]
pub(crate) struct Policy {
    pub(crate) name: &'static str,
    pub(crate) admission: AdmissionKind,
    pub(crate) routing: RoutingKind,
}

impl Policy {
    pub(crate) fn shipped() -> Self {
        Self {
            name: "shipped",
            admission: AdmissionKind::Fair(Default::default()),
            routing: RoutingKind::Predictive(SelectorConfig::default()),
        }
    }

    /// Returns the policies of the same run: the shipped one first.
    fn all(baselines: bool) -> Vec<Self> {
        let shipped = Self::shipped();
        let mut out = vec![shipped.clone()];
        if baselines {
            let plain = |name, rule| Self {
                name,
                routing: RoutingKind::Plain(rule),
                ..shipped.clone()
            };
            out.push(plain("random", Rule::Random));
            out.push(plain("round-robin", Rule::RoundRobin));
            out.push(plain("late-reports", Rule::LateReports));
            out.push(Self {
                name: "fcfs",
                admission: AdmissionKind::Fifo,
                ..shipped
            });
        }
        out
    }
}

fn mean(samples: &[f32]) -> f64 {
    samples.iter().copied().map(f64::from).sum::<f64>() / samples.len().max(1) as f64
}

/// One size of the bench.
pub(crate) struct Cases<'a> {
    pub(crate) cfg: &'a TrafficConfig,
    pub(crate) endpoints: usize,
    pub(crate) rows: Vec<Row>,
}

impl Cases<'_> {
    fn slots(&self) -> f64 {
        self.endpoints as f64 * f64::from(SLOTS)
    }

    /// Returns a team's share of the demand.
    fn share(team: usize) -> f64 {
        if team < 3 {
            LARGE
        } else {
            (1.0 - 3.0 * LARGE) / (TEAMS - 3) as f64
        }
    }

    /// Returns the usual sources with the demand of each rank multiplied.
    fn sources(&self, factor: [f64; 3], shapes: [Shape; 3]) -> Vec<Source> {
        let mut out = Vec::new();
        for team in 0..TEAMS {
            for rank in 0..3 {
                out.push(Source {
                    team,
                    rank,
                    shape: shapes[rank],
                    slots: self.slots() * MIX[rank] * factor[rank] * Self::share(team),
                });
            }
        }
        out
    }

    pub(crate) fn workload(&self, sources: Vec<Source>) -> Workload {
        Workload {
            sources,
            routers: ROUTERS,
            slots: SLOTS,
            seconds: self.cfg.seconds,
            entry: Entry::All,
            poison_every: 0,
            prefixes: 50,
        }
    }

    pub(crate) fn setup(&self, policy: &Policy) -> Setup {
        Setup {
            routers: ROUTERS,
            endpoints: self.endpoints,
            slots: SLOTS,
            seconds: self.cfg.seconds,
            warm: self.cfg.seconds * 0.2,
            seed: self.cfg.seed,
            admission: policy.admission.clone(),
            routing: policy.routing.clone(),
            faults: Vec::new(),
            resend: Resend::InTurn,
            count_deaths: true,
        }
    }

    pub(crate) fn run(&self, policy: &Policy, work: &Workload) -> Tally {
        World::new(self.setup(policy), &work.arrivals(self.cfg.seed)).run()
    }

    fn row(&mut self, case: &str, policy: &str, measure: &str, value: f64, bound: Bound) {
        let bound = Some(bound).filter(|_| policy == "shipped");
        self.note(case, policy, measure, value, bound);
    }

    pub(crate) fn note(
        &mut self,
        case: &str,
        policy: &str,
        measure: &str,
        value: f64,
        bound: Option<Bound>,
    ) {
        self.rows.push(Row {
            case: case.to_owned(),
            endpoints: self.endpoints,
            policy: policy.to_owned(),
            measure: measure.to_owned(),
            value,
            bound,
        });
    }

    /// Runs every case whose name is asked for.
    pub(crate) fn all(&mut self) {
        let only = self.cfg.only.clone();
        let wanted = |name: &str| name.contains(&only);
        for policy in Policy::all(self.cfg.baselines) {
            if wanted("low flood") {
                self.low_flood(&policy);
            }
            if wanted("urgent flood") {
                self.urgent_flood(&policy);
            }
            if wanted("one team floods urgent") {
                self.one_team_flood(&policy);
            }
            if wanted("small team") {
                self.small_team(&policy);
            }
            if wanted("saturation") {
                self.saturation(&policy);
            }
            if wanted("dead, silent, slow") {
                self.faults(&policy);
            }
            if wanted("load 0.5x to 10x") {
                self.load_curve(&policy);
            }
        }
        for (resend, case) in [
            (Resend::InTurn, "poison, in turn"),
            (Resend::AtOnce, "poison, at once"),
            (Resend::FromStart, "poison, from start"),
        ] {
            if wanted(case) {
                self.poison(resend, case);
            }
        }
        if wanted("ways to choose") {
            self.ways_to_choose();
        }
        if wanted("entry") {
            self.entry_by_share();
        }
    }

    fn low_flood(&mut self, policy: &Policy) {
        let calm = self.run(policy, &self.workload(self.sources([1.0; 3], SHAPES)));
        let low = self.run(
            policy,
            &self.workload(self.sources([1.0, 1.0, 10.0], SHAPES)),
        );
        let urgent = low.rank(0);
        let (case, name) = ("low flood x10", policy.name);
        self.row(
            case,
            name,
            "urgent served, part",
            urgent.served_part(),
            Bound::AtLeast(0.999),
        );
        let ratio = (urgent.wait_p95() + WAIT_BASE) / (calm.rank(0).wait_p95() + WAIT_BASE);
        self.row(
            case,
            name,
            "urgent p95 wait over calm (+10 ms)",
            ratio,
            Bound::Below(1.2),
        );
        self.note(case, name, "urgent p95 wait, s", urgent.wait_p95(), None);
        let inside = percentile(&low.engine_waits[0], 0.95);
        self.note(case, name, "urgent p95 wait inside engine, s", inside, None);
        self.note(case, name, "busy slots, part", low.busy_part(), None);
        let first = percentile(&calm.first, 0.95);
        self.note("calm", name, "p95 first token, s", first, None);
        self.note(
            "calm",
            name,
            "p95 gap, s",
            percentile(&calm.gaps, 0.95),
            None,
        );
        self.note(case, name, "p95 gap, s", percentile(&low.gaps, 0.95), None);
    }

    fn urgent_flood(&mut self, policy: &Policy) {
        let name = policy.name;
        let flood = self.run(
            policy,
            &self.workload(self.sources([10.0, 1.0, 1.0], SHAPES)),
        );
        let case = "urgent flood x10";
        self.row(
            case,
            name,
            "normal share of tokens",
            flood.token_share(1),
            Bound::AtLeast(0.10),
        );
        self.row(
            case,
            name,
            "low share of tokens",
            flood.token_share(2),
            Bound::AtLeast(0.05),
        );
    }

    /// One team floods the urgent rank; the others keep their service.
    fn one_team_flood(&mut self, policy: &Policy) {
        let mut sources = self.sources([1.0; 3], SHAPES);
        for s in sources.iter_mut().filter(|s| s.team == 0 && s.rank == 0) {
            s.slots *= 40.0;
        }
        let t = self.run(policy, &self.workload(sources));
        let others = t.sum(|team, rank| team != 0 && rank == 0);
        let (case, name) = ("one team floods urgent", policy.name);
        let served = others.served_part();
        self.row(
            case,
            name,
            "other teams' urgent served, part",
            served,
            Bound::AtLeast(0.999),
        );
        let p95 = others.wait_p95();
        self.note(case, name, "other teams' urgent p95 wait, s", p95, None);
    }

    fn small_team(&mut self, policy: &Policy) {
        // The small team asks for half of its fair share of four.
        let small = Source {
            team: 3,
            rank: 1,
            shape: SHAPES[1],
            slots: self.slots() / 8.0,
        };
        let alone = self.run(policy, &self.workload(vec![small]));
        let mut sources = vec![small];
        for team in 0..3 {
            sources.push(Source {
                team,
                slots: self.slots() / 4.0 * 20.0,
                ..small
            });
        }
        let beside = self.run(policy, &self.workload(sources));
        let (case, name) = ("small team beside 3 at 20x", policy.name);
        let own = beside.sum(|team, _| team == 3);
        self.row(
            case,
            name,
            "small team served, part",
            own.served_part(),
            Bound::AtLeast(0.99),
        );
        let ratio = (own.wait_p95() + WAIT_BASE) / (alone.all().wait_p95() + WAIT_BASE);
        self.row(
            case,
            name,
            "small team p95 wait over alone (+10 ms)",
            ratio,
            Bound::AtMost(1.5),
        );
        self.note(case, name, "small team p95 wait, s", own.wait_p95(), None);
        let inside = percentile(&beside.engine_waits[1], 0.95);
        self.note(case, name, "p95 wait inside engine, s", inside, None);
        self.note(case, name, "busy slots, part", beside.busy_part(), None);
    }

    fn saturation(&mut self, policy: &Policy) {
        let work = self.workload(self.sources([4.0; 3], SHAPES));
        let t = self.run(policy, &work);
        let (case, name) = ("saturation, 3.2x", policy.name);
        self.row(
            case,
            name,
            "busy slots, part",
            t.busy_part(),
            Bound::AtLeast(0.95),
        );
        self.row(
            case,
            name,
            "most requests over slots",
            t.over as f64,
            Bound::AtMost(ROUTERS as f64),
        );
        self.row(
            case,
            name,
            "most of a router over slots/routers",
            t.over_router as f64,
            Bound::AtMost(1.0),
        );
        let gap = percentile(&t.gaps, 0.95);
        self.note(case, name, "p95 gap, s", gap, None);
    }

    fn faults(&mut self, policy: &Policy) {
        let work = self.workload(self.sources([0.75; 3], SHAPES));
        let mut setup = self.setup(policy);
        let at = self.cfg.seconds * 0.3;
        setup.faults = vec![
            (at, Fault::Dead(1)),
            (at, Fault::Silent(4)),
            (at, Fault::Slow(7, 10.0)),
        ];
        let t = World::new(setup, &work.arrivals(self.cfg.seed)).run();
        let all = t.all();
        let (case, name) = ("dead, silent, slow x10", policy.name);
        let failed = (all.failed + t.unanswered) as f64 / all.offered.max(1) as f64;
        self.row(
            case,
            name,
            "idempotent failed, part",
            failed,
            Bound::Below(0.001),
        );
        let cut = all.cut as f64 / all.offered.max(1) as f64;
        self.note(case, name, "streams cut after first byte, part", cut, None);
        let refused = all.refused as f64 / all.offered.max(1) as f64;
        self.note(case, name, "refused, part", refused, None);
        let p95 = percentile(&t.first, 0.95);
        self.note(case, name, "p95 first token, s", p95, None);
        let p99 = percentile(&t.first, 0.99);
        self.note(case, name, "p99 first token, s", p99, None);
    }

    fn poison(&mut self, resend: Resend, case: &str) {
        for (count_deaths, name) in [(true, "shipped"), (false, "permits alone")] {
            let policy = Policy::shipped();
            let mut work = self.workload(self.sources([0.5; 3], SHAPES));
            work.poison_every = 1000;
            let mut setup = self.setup(&policy);
            setup.resend = resend;
            setup.count_deaths = count_deaths;
            let t = World::new(setup, &work.arrivals(self.cfg.seed)).run();
            let most = t.deaths.values().copied().max().unwrap_or(0);
            self.row(
                case,
                name,
                "most endpoints lost to one request",
                f64::from(most),
                Bound::AtMost(2.0),
            );
            self.note(case, name, "crashing requests", t.deaths.len() as f64, None);
            let all = t.all();
            let offered = all.offered.max(1) as f64;
            let hurt = (all.failed + t.unanswered) as f64 / offered;
            self.note(case, name, "innocent failed, part", hurt, None);
            let condemned = all.condemned as f64 / offered;
            self.note(case, name, "innocent quarantined, part", condemned, None);
            let cut = all.cut as f64 / offered;
            self.note(case, name, "innocent streams cut, part", cut, None);
        }
    }

    fn load_curve(&mut self, policy: &Policy) {
        // One shape for all ranks: otherwise the tokens by slot would differ
        // by rank, and serving urgent work first would look like a loss.
        let shapes = [SHAPES[1]; 3];
        let loads = [0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0];
        let mut points = Vec::new();
        for load in loads {
            let factor = load / MIX.iter().sum::<f64>();
            let work = self.workload(self.sources([factor; 3], shapes));
            let t = self.run(policy, &work);
            points.push((load, t.goodput(), t.demand()));
        }
        let peak = points.iter().map(|p| p.1).fold(0.0, f64::max);
        let (case, name) = ("load 0.5x to 10x", policy.name);
        let mut worst = f64::INFINITY;
        for (load, goodput, demand) in &points {
            // Below saturation the demand itself is the ceiling.
            worst = worst.min(goodput / demand.min(peak));
            let measure = format!("goodput at {load}x, tokens/s");
            self.note(case, name, &measure, *goodput, None);
        }
        self.row(
            case,
            name,
            "worst goodput over min(peak, demand)",
            worst,
            Bound::AtLeast(0.95),
        );
    }

    /// What it costs that small teams use few routers.
    fn entry_by_share(&mut self) {
        let policy = Policy::shipped();
        for (entry, case) in [
            (Entry::All, "calm, entry by all"),
            (Entry::ByShare, "calm, entry by share"),
        ] {
            let mut work = self.workload(self.sources([1.0; 3], SHAPES));
            work.entry = entry;
            let t = self.run(&policy, &work);
            let all = t.all();
            self.note(case, "shipped", "served, part", all.served_part(), None);
            self.note(case, "shipped", "p95 wait, s", all.wait_p95(), None);
            let urgent = t.rank(0).wait_p95();
            self.note(case, "shipped", "urgent p95 wait, s", urgent, None);
        }
    }

    /// Compares ways to choose an endpoint within the shipped selector.
    fn ways_to_choose(&mut self) {
        let way = |name, method, affinity| Policy {
            name,
            routing: RoutingKind::Predictive(SelectorConfig {
                method,
                prefix_affinity: affinity,
                ..SelectorConfig::default()
            }),
            ..Policy::shipped()
        };
        let case = "ways to choose";
        for policy in [
            way("prefix pair", SelectionMethod::PrefixPair, true),
            way("pair", SelectionMethod::FingerprintPair, true),
            way("pair, no prefix", SelectionMethod::FingerprintPair, false),
            way("power of two", SelectionMethod::PowerOfTwo, true),
            way("least score", SelectionMethod::LeastScore, true),
            way("least, no prefix", SelectionMethod::LeastScore, false),
            way("least in flight", SelectionMethod::LeastInFlight, true),
        ] {
            let name = policy.name;
            let calm = self.run(&policy, &self.workload(self.sources([1.0; 3], SHAPES)));
            let low = self.run(
                &policy,
                &self.workload(self.sources([1.0, 1.0, 10.0], SHAPES)),
            );
            let mut work = self.workload(self.sources([0.5; 3], SHAPES));
            work.poison_every = 1000;
            let mut setup = self.setup(&policy);
            setup.resend = Resend::FromStart;
            let poison = World::new(setup, &work.arrivals(self.cfg.seed)).run();
            let lost = poison.deaths.values().copied().max().unwrap_or(0);
            for (measure, value) in [
                ("calm p95 first token, s", percentile(&calm.first, 0.95)),
                ("calm mean first token, s", mean(&calm.first)),
                ("calm p95 gap, s", percentile(&calm.gaps, 0.95)),
                ("calm load deviation", percentile(&calm.spread, 0.5)),
                ("low flood urgent p95 wait, s", low.rank(0).wait_p95()),
                ("low flood busy slots, part", low.busy_part()),
                ("lost to copies from start", f64::from(lost)),
            ] {
                self.note(case, name, measure, value, None);
            }
        }
    }
}
