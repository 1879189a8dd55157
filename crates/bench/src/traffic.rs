//! Runs the production `admission` and `routing` code in a seeded event-driven
//! simulation of endpoints.
//!
//! Several routers share the endpoints and don't know of each other's requests.
//! Load reports arrive late, cache events are lost, and endpoints die, stop
//! responding or slow down. Baseline policies run in the same report for
//! comparison.

mod baseline;
mod cases;
mod engine;
mod permits;
mod report;
mod requests;
mod scale;
mod simulation;
mod stats;
mod workload;

pub use report::Bound;
pub use report::Report;
pub use report::Row;

/// Parameters of [`run`].
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficConfig {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Numbers of endpoints; every case runs with each.
    pub endpoints: Vec<usize>,
    /// Simulated time of a run, in seconds.
    pub seconds: f64,
    /// Whether the baseline policies run as well.
    pub baselines: bool,
    /// Whether router subsets at the target size and the cost of a decision are
    /// measured.
    pub scale: bool,
    /// Runs only cases whose names contain this; all when empty.
    pub case_filter: String,
}

impl Default for TrafficConfig {
    fn default() -> Self {
        Self {
            seed: 20_261_204,
            endpoints: vec![12, 20],
            seconds: 60.0,
            baselines: true,
            scale: true,
            case_filter: String::new(),
        }
    }
}

/// Runs the selected cases.
pub fn run(cfg: &TrafficConfig) -> Report {
    let mut rows = Vec::new();
    // Runs first: memory freed by other cases would be reused, and the resident
    // size would not grow.
    if "cost".contains(&cfg.case_filter) && cfg.scale {
        rows.append(&mut scale::decision_costs(cfg.seed));
    }
    for &endpoints in &cfg.endpoints {
        let mut cases = cases::Cases {
            cfg,
            endpoints,
            rows: Vec::new(),
        };
        cases.run_all();
        rows.append(&mut cases.rows);
    }
    if "subsets".contains(&cfg.case_filter) && cfg.scale {
        rows.append(&mut scale::compare_subsets(cfg.seed));
    }
    Report {
        seed: cfg.seed,
        notes: notes(),
        rows,
    }
}

fn notes() -> Vec<String> {
    [
        "9 routers, 10 teams (3 large), 32 slots an endpoint; figures of a model, not of processes",
        "a wait runs from the router to the start inside the engine; 10 ms is added to both sides of a ratio of waits",
        "idempotent requests are those that can still be repeated; streams that break after their first byte are counted apart",
        "the load curve uses one shape of request for all ranks; below 1x the demand is the ceiling of the goodput",
        "permits alone: the ledger quarantines only at a death under a permit",
    ]
    .map(str::to_owned)
    .to_vec()
}
