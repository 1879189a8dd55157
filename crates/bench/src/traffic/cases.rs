//! The simulated cases, each with its workload, measured values and bounds.

use anvilloft_routing::SelectionMethod;
use anvilloft_routing::SelectorConfig;

use super::TrafficConfig;
use super::baseline::SelectionRule;
use super::report::Bound;
use super::report::Row;
use super::simulation::AdmissionKind;
use super::simulation::Fault;
use super::simulation::Resend;
use super::simulation::RoutingKind;
use super::simulation::Simulation;
use super::simulation::SimulationConfig;
use super::stats::RunStats;
use super::stats::percentile;
use super::workload::EntryMode;
use super::workload::SHAPES;
use super::workload::Shape;
use super::workload::Source;
use super::workload::Workload;

/// Number of routers in every case.
pub(crate) const ROUTERS: usize = 9;
/// Slots per endpoint.
pub(crate) const SLOTS: u32 = 32;
/// Number of teams, of which the first three are large. Only the case with a
/// small team has four.
const TEAMS: usize = 10;
/// Share of each large team in the demand.
const LARGE_TEAM_SHARE: f64 = 0.22;
/// Demand by rank without a flood, as a fraction of all slots.
const DEMAND_BY_RANK: [f64; 3] = [0.25, 0.35, 0.20];
/// Added to both waits of a ratio, in seconds, as the ratio to a wait of zero is
/// meaningless.
pub(crate) const WAIT_OFFSET_S: f64 = 0.010;

/// Admission and routing code to simulate, with its name in the report.
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

    /// Returns the policies to compare, the shipped one first.
    fn compared(baselines: bool) -> Vec<Self> {
        let shipped = Self::shipped();
        let mut policies = vec![shipped.clone()];
        if baselines {
            let simple = |name, rule| Self {
                name,
                routing: RoutingKind::Simple(rule),
                ..shipped.clone()
            };
            policies.push(simple("random", SelectionRule::Random));
            policies.push(simple("round-robin", SelectionRule::RoundRobin));
            policies.push(simple("late-reports", SelectionRule::LeastReportedLoad));
            policies.push(Self {
                name: "fcfs",
                admission: AdmissionKind::Fifo,
                ..shipped
            });
        }
        policies
    }
}

fn mean(samples: &[f32]) -> f64 {
    samples.iter().copied().map(f64::from).sum::<f64>() / samples.len().max(1) as f64
}

/// Runs the cases with one number of endpoints and collects their rows.
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
    fn demand_share(team: usize) -> f64 {
        if team < 3 {
            LARGE_TEAM_SHARE
        } else {
            (1.0 - 3.0 * LARGE_TEAM_SHARE) / (TEAMS - 3) as f64
        }
    }

    /// Returns the default sources with the demand of each rank multiplied by
    /// its factor.
    fn sources(&self, factor: [f64; 3], shapes: [Shape; 3]) -> Vec<Source> {
        let mut sources = Vec::new();
        for team in 0..TEAMS {
            for rank in 0..3 {
                sources.push(Source {
                    team,
                    rank,
                    shape: shapes[rank],
                    slots: self.slots()
                        * DEMAND_BY_RANK[rank]
                        * factor[rank]
                        * Self::demand_share(team),
                });
            }
        }
        sources
    }

    pub(crate) fn workload(&self, sources: Vec<Source>) -> Workload {
        Workload {
            sources,
            routers: ROUTERS,
            slots: SLOTS,
            seconds: self.cfg.seconds,
            entry_mode: EntryMode::All,
            poison_every: 0,
            prefixes: 50,
        }
    }

    pub(crate) fn setup(&self, policy: &Policy) -> SimulationConfig {
        SimulationConfig {
            routers: ROUTERS,
            endpoints: self.endpoints,
            slots: SLOTS,
            seconds: self.cfg.seconds,
            warm_up: self.cfg.seconds * 0.2,
            seed: self.cfg.seed,
            admission: policy.admission.clone(),
            routing: policy.routing.clone(),
            faults: Vec::new(),
            resend: Resend::InTurn,
            count_deaths: true,
        }
    }

    pub(crate) fn run(&self, policy: &Policy, workload: &Workload) -> RunStats {
        Simulation::new(self.setup(policy), &workload.arrivals(self.cfg.seed)).run()
    }

    fn add_bounded_row(
        &mut self,
        case: &str,
        policy: &str,
        measure: &str,
        value: f64,
        bound: Bound,
    ) {
        let bound = Some(bound).filter(|_| policy == "shipped");
        self.add_row(case, policy, measure, value, bound);
    }

    pub(crate) fn add_row(
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

    /// Runs every case selected by the filter.
    pub(crate) fn run_all(&mut self) {
        let case_filter = self.cfg.case_filter.clone();
        let selected = |name: &str| name.contains(&case_filter);
        for policy in Policy::compared(self.cfg.baselines) {
            if selected("low flood") {
                self.low_flood(&policy);
            }
            if selected("urgent flood") {
                self.urgent_flood(&policy);
            }
            if selected("one team floods urgent") {
                self.one_team_flood(&policy);
            }
            if selected("small team") {
                self.small_team(&policy);
            }
            if selected("saturation") {
                self.saturation(&policy);
            }
            if selected("dead, silent, slow") {
                self.faults(&policy);
            }
            if selected("load 0.5x to 10x") {
                self.load_curve(&policy);
            }
        }
        for (resend, case) in [
            (Resend::InTurn, "poison, in turn"),
            (Resend::AtOnce, "poison, at once"),
            (Resend::FromStart, "poison, from start"),
        ] {
            if selected(case) {
                self.poison(resend, case);
            }
        }
        if selected("ways to choose") {
            self.compare_selection_methods();
        }
        if selected("entry") {
            self.compare_entry_modes();
        }
    }

    fn low_flood(&mut self, policy: &Policy) {
        let calm = self.run(policy, &self.workload(self.sources([1.0; 3], SHAPES)));
        let low = self.run(
            policy,
            &self.workload(self.sources([1.0, 1.0, 10.0], SHAPES)),
        );
        let urgent = low.of_rank(0);
        let (case, name) = ("low flood x10", policy.name);
        self.add_bounded_row(
            case,
            name,
            "urgent served, part",
            urgent.served_fraction(),
            Bound::AtLeast(0.999),
        );
        let ratio =
            (urgent.wait_p95() + WAIT_OFFSET_S) / (calm.of_rank(0).wait_p95() + WAIT_OFFSET_S);
        self.add_bounded_row(
            case,
            name,
            "urgent p95 wait over calm (+10 ms)",
            ratio,
            Bound::Below(1.2),
        );
        self.add_row(case, name, "urgent p95 wait, s", urgent.wait_p95(), None);
        let engine_wait = percentile(&low.engine_waits[0], 0.95);
        self.add_row(
            case,
            name,
            "urgent p95 wait inside engine, s",
            engine_wait,
            None,
        );
        self.add_row(case, name, "busy slots, part", low.busy_fraction(), None);
        let first = percentile(&calm.first_token_times, 0.95);
        self.add_row("calm", name, "p95 first token, s", first, None);
        self.add_row(
            "calm",
            name,
            "p95 gap, s",
            percentile(&calm.gaps, 0.95),
            None,
        );
        self.add_row(case, name, "p95 gap, s", percentile(&low.gaps, 0.95), None);
    }

    fn urgent_flood(&mut self, policy: &Policy) {
        let name = policy.name;
        let flood = self.run(
            policy,
            &self.workload(self.sources([10.0, 1.0, 1.0], SHAPES)),
        );
        let case = "urgent flood x10";
        self.add_bounded_row(
            case,
            name,
            "normal share of tokens",
            flood.token_share(1),
            Bound::AtLeast(0.10),
        );
        self.add_bounded_row(
            case,
            name,
            "low share of tokens",
            flood.token_share(2),
            Bound::AtLeast(0.05),
        );
    }

    /// One team floods the urgent rank; the other teams must still be served.
    fn one_team_flood(&mut self, policy: &Policy) {
        let mut sources = self.sources([1.0; 3], SHAPES);
        for s in sources.iter_mut().filter(|s| s.team == 0 && s.rank == 0) {
            s.slots *= 40.0;
        }
        let stats = self.run(policy, &self.workload(sources));
        let others = stats.sum(|team, rank| team != 0 && rank == 0);
        let (case, name) = ("one team floods urgent", policy.name);
        let served = others.served_fraction();
        self.add_bounded_row(
            case,
            name,
            "other teams' urgent served, part",
            served,
            Bound::AtLeast(0.999),
        );
        let p95 = others.wait_p95();
        self.add_row(case, name, "other teams' urgent p95 wait, s", p95, None);
    }

    fn small_team(&mut self, policy: &Policy) {
        // There are four teams, and the small one asks for half of its fair
        // share.
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
        let contended = self.run(policy, &self.workload(sources));
        let (case, name) = ("small team beside 3 at 20x", policy.name);
        let small_team_stats = contended.sum(|team, _| team == 3);
        self.add_bounded_row(
            case,
            name,
            "small team served, part",
            small_team_stats.served_fraction(),
            Bound::AtLeast(0.99),
        );
        let ratio = (small_team_stats.wait_p95() + WAIT_OFFSET_S)
            / (alone.total().wait_p95() + WAIT_OFFSET_S);
        self.add_bounded_row(
            case,
            name,
            "small team p95 wait over alone (+10 ms)",
            ratio,
            Bound::AtMost(1.5),
        );
        self.add_row(
            case,
            name,
            "small team p95 wait, s",
            small_team_stats.wait_p95(),
            None,
        );
        let engine_wait = percentile(&contended.engine_waits[1], 0.95);
        self.add_row(case, name, "p95 wait inside engine, s", engine_wait, None);
        self.add_row(
            case,
            name,
            "busy slots, part",
            contended.busy_fraction(),
            None,
        );
    }

    fn saturation(&mut self, policy: &Policy) {
        let workload = self.workload(self.sources([4.0; 3], SHAPES));
        let stats = self.run(policy, &workload);
        let (case, name) = ("saturation, 3.2x", policy.name);
        self.add_bounded_row(
            case,
            name,
            "busy slots, part",
            stats.busy_fraction(),
            Bound::AtLeast(0.95),
        );
        self.add_bounded_row(
            case,
            name,
            "most requests over slots",
            stats.max_over_slots as f64,
            Bound::AtMost(ROUTERS as f64),
        );
        self.add_bounded_row(
            case,
            name,
            "most of a router over slots/routers",
            stats.max_over_router_share as f64,
            Bound::AtMost(1.0),
        );
        let gap = percentile(&stats.gaps, 0.95);
        self.add_row(case, name, "p95 gap, s", gap, None);
    }

    fn faults(&mut self, policy: &Policy) {
        let workload = self.workload(self.sources([0.75; 3], SHAPES));
        let mut setup = self.setup(policy);
        let at = self.cfg.seconds * 0.3;
        setup.faults = vec![
            (at, Fault::Dead(1)),
            (at, Fault::Silent(4)),
            (at, Fault::Slow(7, 10.0)),
        ];
        let stats = Simulation::new(setup, &workload.arrivals(self.cfg.seed)).run();
        let total = stats.total();
        let (case, name) = ("dead, silent, slow x10", policy.name);
        let failed = (total.failed + stats.unanswered) as f64 / total.offered.max(1) as f64;
        self.add_bounded_row(
            case,
            name,
            "idempotent failed, part",
            failed,
            Bound::Below(0.001),
        );
        let broken_streams = total.broken_streams as f64 / total.offered.max(1) as f64;
        self.add_row(
            case,
            name,
            "streams cut after first byte, part",
            broken_streams,
            None,
        );
        let refused = total.refused as f64 / total.offered.max(1) as f64;
        self.add_row(case, name, "refused, part", refused, None);
        let p95 = percentile(&stats.first_token_times, 0.95);
        self.add_row(case, name, "p95 first token, s", p95, None);
        let p99 = percentile(&stats.first_token_times, 0.99);
        self.add_row(case, name, "p99 first token, s", p99, None);
    }

    fn poison(&mut self, resend: Resend, case: &str) {
        for (count_deaths, name) in [(true, "shipped"), (false, "permits alone")] {
            let policy = Policy::shipped();
            let mut workload = self.workload(self.sources([0.5; 3], SHAPES));
            workload.poison_every = 1000;
            let mut setup = self.setup(&policy);
            setup.resend = resend;
            setup.count_deaths = count_deaths;
            let stats = Simulation::new(setup, &workload.arrivals(self.cfg.seed)).run();
            let max_deaths = stats.endpoint_deaths.values().copied().max().unwrap_or(0);
            self.add_bounded_row(
                case,
                name,
                "most endpoints lost to one request",
                f64::from(max_deaths),
                Bound::AtMost(2.0),
            );
            self.add_row(
                case,
                name,
                "crashing requests",
                stats.endpoint_deaths.len() as f64,
                None,
            );
            let total = stats.total();
            let offered = total.offered.max(1) as f64;
            let failed = (total.failed + stats.unanswered) as f64 / offered;
            self.add_row(case, name, "innocent failed, part", failed, None);
            let quarantined = total.quarantined as f64 / offered;
            self.add_row(case, name, "innocent quarantined, part", quarantined, None);
            let broken_streams = total.broken_streams as f64 / offered;
            self.add_row(
                case,
                name,
                "innocent streams cut, part",
                broken_streams,
                None,
            );
        }
    }

    fn load_curve(&mut self, policy: &Policy) {
        // One shape for all ranks: otherwise the tokens per slot would differ
        // by rank, and serving urgent requests first would look like a loss.
        let shapes = [SHAPES[1]; 3];
        let loads = [0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0];
        let mut points = Vec::new();
        for load in loads {
            let factor = load / DEMAND_BY_RANK.iter().sum::<f64>();
            let workload = self.workload(self.sources([factor; 3], shapes));
            let stats = self.run(policy, &workload);
            points.push((load, stats.goodput(), stats.demand()));
        }
        let peak = points.iter().map(|p| p.1).fold(0.0, f64::max);
        let (case, name) = ("load 0.5x to 10x", policy.name);
        let mut worst = f64::INFINITY;
        for (load, goodput, demand) in &points {
            // Below saturation, goodput can't exceed the demand.
            worst = worst.min(goodput / demand.min(peak));
            let measure = format!("goodput at {load}x, tokens/s");
            self.add_row(case, name, &measure, *goodput, None);
        }
        self.add_bounded_row(
            case,
            name,
            "worst goodput over min(peak, demand)",
            worst,
            Bound::AtLeast(0.95),
        );
    }

    /// Measures the cost of giving small teams only a few routers.
    fn compare_entry_modes(&mut self) {
        let policy = Policy::shipped();
        for (entry, case) in [
            (EntryMode::All, "calm, entry by all"),
            (EntryMode::ByShare, "calm, entry by share"),
        ] {
            let mut workload = self.workload(self.sources([1.0; 3], SHAPES));
            workload.entry_mode = entry;
            let stats = self.run(&policy, &workload);
            let total = stats.total();
            self.add_row(
                case,
                "shipped",
                "served, part",
                total.served_fraction(),
                None,
            );
            self.add_row(case, "shipped", "p95 wait, s", total.wait_p95(), None);
            let urgent = stats.of_rank(0).wait_p95();
            self.add_row(case, "shipped", "urgent p95 wait, s", urgent, None);
        }
    }

    /// Compares selection methods of the shipped selector.
    fn compare_selection_methods(&mut self) {
        let with_method = |name, method, affinity| Policy {
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
            with_method("prefix pair", SelectionMethod::PrefixPair, true),
            with_method("pair", SelectionMethod::FingerprintPair, true),
            with_method("pair, no prefix", SelectionMethod::FingerprintPair, false),
            with_method("power of two", SelectionMethod::PowerOfTwo, true),
            with_method("least score", SelectionMethod::LeastScore, true),
            with_method("least, no prefix", SelectionMethod::LeastScore, false),
            with_method("least in flight", SelectionMethod::LeastInFlight, true),
        ] {
            let name = policy.name;
            let calm = self.run(&policy, &self.workload(self.sources([1.0; 3], SHAPES)));
            let low = self.run(
                &policy,
                &self.workload(self.sources([1.0, 1.0, 10.0], SHAPES)),
            );
            let mut workload = self.workload(self.sources([0.5; 3], SHAPES));
            workload.poison_every = 1000;
            let mut setup = self.setup(&policy);
            setup.resend = Resend::FromStart;
            let poison = Simulation::new(setup, &workload.arrivals(self.cfg.seed)).run();
            let max_lost = poison.endpoint_deaths.values().copied().max().unwrap_or(0);
            for (measure, value) in [
                (
                    "calm p95 first token, s",
                    percentile(&calm.first_token_times, 0.95),
                ),
                ("calm mean first token, s", mean(&calm.first_token_times)),
                ("calm p95 gap, s", percentile(&calm.gaps, 0.95)),
                (
                    "calm load deviation",
                    percentile(&calm.load_deviations, 0.5),
                ),
                ("low flood urgent p95 wait, s", low.of_rank(0).wait_p95()),
                ("low flood busy slots, part", low.busy_fraction()),
                ("lost to copies from start", f64::from(max_lost)),
            ] {
                self.add_row(case, name, measure, value, None);
            }
        }
    }
}
