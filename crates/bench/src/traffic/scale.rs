//! Router subsets of a large fleet, and the cost of one decision.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use anvilloft_admission::Admission;
use anvilloft_admission::AdmissionRequest;
use anvilloft_admission::Capacity;
use anvilloft_admission::FairAdmission;
use anvilloft_admission::Policy;
use anvilloft_routing::EndpointState;
use anvilloft_routing::Load;
use anvilloft_routing::Outcome;
use anvilloft_routing::PredictiveSelector;
use anvilloft_routing::RouteRequest;
use anvilloft_routing::Selector;
use anvilloft_routing::SelectorConfig;
use anvilloft_routing::ServedModel;
use anvilloft_routing::share;
use anvilloft_types::RouterId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::engine::MODEL;
use super::report::Row;
use super::stats::percentile;
use super::stats::relative_deviation;

/// Numbers of routers and endpoints at the target size.
const ROUTERS: usize = 350;
const ENDPOINTS: usize = 1300;
/// Slots per endpoint.
const SLOTS: u32 = 32;
/// Mean time that a request occupies a slot, in seconds.
const MEAN_SERVICE_S: f64 = 2.0;

fn row(case: &str, endpoints: usize, policy: &str, measure: &str, value: f64) -> Row {
    Row {
        case: case.to_owned(),
        endpoints,
        policy: policy.to_owned(),
        measure: measure.to_owned(),
        value,
        bound: None,
    }
}

fn endpoint_state(index: usize, seq: u64, load: u32) -> EndpointState {
    EndpointState {
        id: format!("e{index:04}"),
        incarnation: 1,
        seq,
        models: vec![ServedModel {
            model: MODEL.to_owned(),
            ..ServedModel::default()
        }],
        slots: SLOTS,
        lease_expires: Duration::from_secs(3600),
        load_measured_at: Duration::from_secs(seq),
        load: Some(Load {
            running: load.min(SLOTS),
            waiting: load.saturating_sub(SLOTS),
            kv_used: 0.0,
            tokens_per_s: f64::from(load.min(SLOTS)) / 0.025,
        }),
        ..EndpointState::default()
    }
}

fn route_request(rng: &mut SmallRng) -> RouteRequest<'static> {
    RouteRequest {
        model: MODEL,
        level: 1,
        prompt_tokens: 500,
        fingerprint: rng.random(),
        ..RouteRequest::default()
    }
}

/// Simulates how the load is distributed over the endpoints of a large fleet.
struct Fleet {
    selectors: Vec<PredictiveSelector>,
    /// Indices of the selectors that use an endpoint, by endpoint.
    selectors_by_endpoint: Vec<Vec<usize>>,
    load: Vec<u32>,
    refused: u64,
    offered: u64,
}

impl Fleet {
    fn new(subset: usize, seed: u64) -> Self {
        let names: Vec<RouterId> = (0..ROUTERS).map(|r| format!("r{r:03}")).collect();
        let mut selectors: Vec<PredictiveSelector> = names
            .iter()
            .enumerate()
            .map(|(r, name)| {
                let cfg = SelectorConfig {
                    max_routers_per_endpoint: subset,
                    ..SelectorConfig::default()
                };
                let rng = SmallRng::seed_from_u64(seed ^ r as u64);
                let mut s = PredictiveSelector::new(cfg, rng);
                s.set_routers(name, &names);
                s
            })
            .collect();
        let mut selectors_by_endpoint = Vec::new();
        for e in 0..ENDPOINTS {
            let first = endpoint_state(e, 1, 0);
            let members: Vec<usize> = share::subset(&first.id, &names, subset)
                .into_iter()
                .filter_map(|n| names.iter().position(|r| r == n))
                .collect();
            for &r in &members {
                selectors[r].update(Duration::ZERO, &first);
            }
            selectors_by_endpoint.push(members);
        }
        Self {
            selectors,
            selectors_by_endpoint,
            load: vec![0; ENDPOINTS],
            refused: 0,
            offered: 0,
        }
    }

    /// Runs at a fraction of the capacity and returns samples of the relative
    /// deviation of the load and of the maximum load divided by the slots.
    fn run(&mut self, load_fraction: f64, seed: u64) -> (Vec<f32>, Vec<f32>) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rate = load_fraction * ENDPOINTS as f64 * f64::from(SLOTS) / MEAN_SERVICE_S;
        let mut completions: BinaryHeap<Reverse<(Duration, u64, usize, usize)>> = BinaryHeap::new();
        let (mut time_s, mut attempt, mut report_s) = (0.0, 0u64, 1u64);
        let (mut deviations, mut max_loads) = (Vec::new(), Vec::new());
        while time_s < 8.0 {
            time_s -= rng.random::<f64>().max(1e-12).ln() / rate;
            let now = Duration::from_secs_f64(time_s);
            while let Some(&Reverse((end, id, e, r))) = completions.peek()
                && end <= now
            {
                completions.pop();
                self.load[e] -= 1;
                let outcome = Outcome::Done {
                    first_token: Duration::from_millis(150),
                    gap: Duration::ZERO,
                };
                self.selectors[r].finished(end, &format!("e{e:04}"), u128::from(id), outcome);
            }
            if time_s >= report_s as f64 {
                report_s += 1;
                for e in 0..ENDPOINTS {
                    let report = endpoint_state(e, report_s, self.load[e]);
                    for &r in &self.selectors_by_endpoint[e] {
                        self.selectors[r].update(now, &report);
                    }
                }
                if report_s > 4 {
                    let loads: Vec<f64> = self.load.iter().map(|l| f64::from(*l)).collect();
                    deviations.push(relative_deviation(&loads) as f32);
                    let max = self.load.iter().copied().max().unwrap_or(0);
                    max_loads.push(max as f32 / SLOTS as f32);
                }
            }
            attempt += 1;
            self.offered += 1;
            let r = rng.random_range(0..ROUTERS);
            let req = route_request(&mut rng);
            let Ok(choice) = self.selectors[r].choose(now, &req) else {
                self.refused += 1;
                continue;
            };
            let e: usize = choice.endpoint[1..].parse().unwrap_or(0);
            self.selectors[r].started(now, &choice.endpoint, u128::from(attempt), 500);
            self.load[e] += 1;
            let service = -rng.random::<f64>().max(1e-12).ln() * MEAN_SERVICE_S;
            let end = now + Duration::from_secs_f64(service);
            completions.push(Reverse((end, attempt, e, r)));
        }
        (deviations, max_loads)
    }
}

/// Compares router subsets with full knowledge of the load, at 70 % load.
pub(crate) fn compare_subsets(seed: u64) -> Vec<Row> {
    let case = "subsets, 350 routers";
    let mut rows = Vec::new();
    for subset in [6, 12, 24] {
        let mut fleet = Fleet::new(subset, seed);
        let known: Vec<f64> = fleet.selectors.iter().map(|s| s.len() as f64).collect();
        let (deviations, max_loads) = fleet.run(0.7, seed);
        let name = format!("subset {subset}");
        let refused_fraction = fleet.refused as f64 / fleet.offered as f64;
        for (measure, value) in [
            (
                "endpoints a router knows, mean",
                known.iter().sum::<f64>() / known.len() as f64,
            ),
            (
                "endpoints a router knows, deviation",
                relative_deviation(&known),
            ),
            ("endpoint load, deviation", percentile(&deviations, 0.5)),
            (
                "most loaded endpoint over slots",
                percentile(&max_loads, 0.5),
            ),
            ("no room in own share, part", refused_fraction),
        ] {
            rows.push(row(case, ENDPOINTS, &name, measure, value));
        }
    }
    // With full knowledge, each request goes to the least loaded endpoint.
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut heap: BinaryHeap<Reverse<(u32, usize)>> =
        (0..ENDPOINTS).map(|e| Reverse((0, e))).collect();
    let mut load = vec![0u32; ENDPOINTS];
    let rate = 0.7 * ENDPOINTS as f64 * f64::from(SLOTS) / MEAN_SERVICE_S;
    let mut completions: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    let mut time_s = 0.0;
    while time_s < 8.0 {
        time_s -= rng.random::<f64>().max(1e-12).ln() / rate;
        let now = Duration::from_secs_f64(time_s);
        while let Some(&Reverse((end, e))) = completions.peek()
            && end <= now
        {
            completions.pop();
            load[e] -= 1;
            heap.push(Reverse((load[e], e)));
        }
        // Skips heap entries whose load is out of date.
        while let Some(&Reverse((l, e))) = heap.peek() {
            if l == load[e] {
                break;
            }
            heap.pop();
        }
        if let Some(Reverse((_, e))) = heap.pop() {
            load[e] += 1;
            heap.push(Reverse((load[e], e)));
            let service = -rng.random::<f64>().max(1e-12).ln() * MEAN_SERVICE_S;
            completions.push(Reverse((now + Duration::from_secs_f64(service), e)));
        }
    }
    let loads: Vec<f64> = load.iter().map(|l| f64::from(*l)).collect();
    let max = load.iter().copied().max().unwrap_or(0);
    let name = "full knowledge";
    rows.push(row(
        case,
        ENDPOINTS,
        name,
        "endpoint load, deviation",
        relative_deviation(&loads),
    ));
    let max_load = f64::from(max) / f64::from(SLOTS);
    rows.push(row(
        case,
        ENDPOINTS,
        name,
        "most loaded endpoint over slots",
        max_load,
    ));
    rows
}

/// Returns the intercept and slope of the least-squares line through the points.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (mx, my) = (
        points.iter().map(|p| p.0).sum::<f64>() / n,
        points.iter().map(|p| p.1).sum::<f64>() / n,
    );
    let xx: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
    let xy: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    let slope = xy / xx.max(1e-12);
    (my - slope * mx, slope)
}

/// Returns the resident memory of the process in bytes, or 0 where `/proc` isn't
/// available.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0.0) * 4096.0
}

fn selector(endpoints: usize, seed: u64) -> PredictiveSelector {
    let mut s = PredictiveSelector::new(SelectorConfig::default(), SmallRng::seed_from_u64(seed));
    s.set_routers("r0", &["r0".to_owned()]);
    for e in 0..endpoints {
        s.update(Duration::ZERO, &endpoint_state(e, 1, 8));
    }
    s
}

fn admission_request(id: u64, teams: u64) -> AdmissionRequest {
    AdmissionRequest {
        id,
        team: format!("team{}", id % teams),
        weight: 1,
        rank: ["urgent", "normal", "low"][(id % 3) as usize].to_owned(),
        tokens: 100 + id % 900,
        max_wait: Some(Duration::from_secs(3600)),
        urgent_share_percent: None,
    }
}

fn unbounded_policy() -> Policy {
    let mut policy = Policy {
        max_team_queue: usize::MAX,
        max_total_queue: usize::MAX,
        ..Policy::default()
    };
    for rank in &mut policy.ranks {
        rank.max_wait = Duration::from_secs(3600);
    }
    policy
}

/// Measures the time and memory of routing and admission decisions and how they
/// grow with the number of endpoints or queued requests.
pub(crate) fn decision_costs(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    let case = "cost of routing";
    let mut points = Vec::new();
    for endpoints in [12, 45, 200, 1300] {
        let mut s = selector(endpoints, seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        let rounds = 20_000;
        let started = Instant::now();
        for i in 0..rounds {
            let now = Duration::from_micros(i);
            let req = route_request(&mut rng);
            if let Ok(c) = s.choose(now, &req) {
                s.started(now, &c.endpoint, u128::from(i), 500);
                let outcome = Outcome::Done {
                    first_token: Duration::from_millis(150),
                    gap: Duration::ZERO,
                };
                s.finished(now, black_box(&c.endpoint), u128::from(i), outcome);
            }
        }
        let us = started.elapsed().as_secs_f64() * 1e6 / rounds as f64;
        rows.push(row(
            case,
            endpoints,
            "shipped",
            "choose, start and finish, us",
            us,
        ));
        points.push((endpoints as f64, us));
    }
    let (base, slope) = fit_line(&points);
    rows.push(row(case, 0, "shipped", "base, us", base));
    rows.push(row(case, 0, "shipped", "slope, us an endpoint", slope));
    let before = resident_bytes();
    let selectors: Vec<PredictiveSelector> = (0..40).map(|i| selector(1300, i)).collect();
    let bytes = (resident_bytes() - before) / (40.0 * 1300.0);
    black_box(&selectors);
    rows.push(row(case, 1300, "shipped", "bytes an endpoint", bytes));

    let case = "cost of admission";
    let mut points = Vec::new();
    for queued in [100u64, 1000, 8000] {
        let mut a = FairAdmission::new(unbounded_policy());
        a.set_capacity(Duration::ZERO, Capacity::slots(1));
        for id in 0..queued {
            let _ = a.enqueue(Duration::ZERO, admission_request(id, 500));
        }
        let rounds = 20_000;
        let started = Instant::now();
        for i in 0..rounds {
            let now = Duration::from_micros(i);
            let _ = a.enqueue(now, admission_request(queued + i, 500));
            for decision in a.poll(now) {
                if let anvilloft_admission::Decision::Start { id, .. } = decision {
                    a.finish(now, id, 300);
                }
            }
        }
        let us = started.elapsed().as_secs_f64() * 1e6 / rounds as f64;
        let measure = format!("offer, poll and finish, {queued} queued, us");
        rows.push(row(case, 0, "shipped", &measure, us));
        points.push((queued as f64, us));
    }
    let (base, slope) = fit_line(&points);
    rows.push(row(case, 0, "shipped", "base, us", base));
    rows.push(row(case, 0, "shipped", "slope, us a queued request", slope));
    let before = resident_bytes();
    let mut a = FairAdmission::new(unbounded_policy());
    a.set_capacity(Duration::ZERO, Capacity::slots(1));
    let count = 400_000;
    for id in 0..count {
        let _ = a.enqueue(Duration::ZERO, admission_request(id, 5000));
    }
    let bytes = (resident_bytes() - before) / count as f64;
    black_box(a.counts());
    rows.push(row(case, 0, "shipped", "bytes a queued request", bytes));
    rows
}
