//! Drives the shipping code of `admission` and `routing` against a seeded
//! event-driven model of endpoints.
//!
//! Several routers that don't see each other share the endpoints. Load reports
//! arrive late, cache events are lost, and endpoints die, fall silent or slow
//! down. Simple policies run in the same report for comparison.

mod baseline;
mod cases;
mod engine;
mod flow;
mod ledger;
mod report;
mod scale;
mod tally;
mod workload;
mod world;

pub use report::Bound;
pub use report::Report;
pub use report::Row;

/// What to run.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficConfig {
    /// Seed of every random choice.
    pub seed: u64,
    /// Counts of endpoints, one table for each.
    pub endpoints: Vec<usize>,
    /// Modelled time of a run, in seconds.
    pub seconds: f64,
    /// Whether simple policies run as well.
    pub baselines: bool,
    /// Whether the target size and the cost of a decision are measured.
    pub scale: bool,
    /// Cases whose names contain this; all when empty.
    pub only: String,
}

impl Default for TrafficConfig {
    fn default() -> Self {
        Self {
            seed: 20_261_204,
            endpoints: vec![12, 20],
            seconds: 60.0,
            baselines: true,
            scale: true,
            only: String::new(),
        }
    }
}

/// Runs the cases.
pub fn run(cfg: &TrafficConfig) -> Report {
    let mut rows = Vec::new();
    // First, as memory that other cases have freed would be used again unseen.
    if "cost".contains(&cfg.only) && cfg.scale {
        rows.append(&mut scale::costs(cfg.seed));
    }
    for &endpoints in &cfg.endpoints {
        let mut cases = cases::Cases {
            cfg,
            endpoints,
            rows: Vec::new(),
        };
        cases.all();
        rows.append(&mut cases.rows);
    }
    if "subsets".contains(&cfg.only) && cfg.scale {
        rows.append(&mut scale::subsets(cfg.seed));
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
