//! Configuration of a dispatcher.

use anvilloft_types::prelude::*;

/// Name of a region, which has several data centres.
pub type Region = String;

/// Configuration of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// Data centre of this router.
    pub data_centre: DataCentre,
    /// Regions of data centres, sorted by data centre.
    pub regions: Vec<(DataCentre, Region)>,
    /// Time without an announcement after which an endpoint is used only while
    /// it still answers requests.
    pub announcement_timeout: Duration,
    /// Minimum number of engines over which prompts with the same first shared
    /// part are spread.
    pub min_spread: usize,
    /// Prompts with the same first shared part are spread over one in this many
    /// engines, or over `min_spread` if that is more. Few first parts are in use,
    /// so with a constant spread a few engines of a large service would get all
    /// prompts.
    pub spread_divisor: usize,
    /// Estimated number of prompt tokens that an engine processes per second, until the rate
    /// of its service is learned.
    pub initial_prefill_rate: f64,
    /// Penalty of an engine in another data centre, as predicted time.
    pub remote_cost: Duration,
    /// Probability that a prompt's preferred engine has cached its shared parts
    /// because of a router that does not report its prompts to this one; that of the
    /// second one if the first is too busy. With 0.6 for the second, a simulated fleet
    /// read more parts again, and fewer prompts were on time.
    pub unreported_hit_probability: f64,
    /// Number of preferred engines of a prompt, in rendezvous order: 2, or 1 without a second
    /// one for the prompts that the first is too busy for.
    pub preferred_engines: usize,
    /// Weight of the time to process shared parts, relative to the same time spent
    /// waiting.
    pub shared_prefill_weight: f64,
    /// Penalty, as predicted time, for each running stream that a prompt of the length
    /// of the longest pause in time would hold up. 0 disables it.
    pub stall_cost: Duration,
    /// Penalty, as predicted time, of any engine but the preferred one while no
    /// engine has cached the prompt's shared parts.
    pub non_preferred_cost: Duration,
}

impl DispatcherConfig {
    /// Returns the region of a data centre.
    pub(crate) fn region_of(&self, data_centre: &str) -> Option<&str> {
        let found = self
            .regions
            .binary_search_by(|(name, _)| name.as_str().cmp(data_centre));
        Some(self.regions.get(found.ok()?)?.1.as_str())
    }

    /// Returns the default configuration for a router in a data centre.
    pub fn new(data_centre: impl Into<DataCentre>) -> Self {
        Self {
            data_centre: data_centre.into(),
            regions: Vec::new(),
            announcement_timeout: Duration::from_millis(4_500),
            min_spread: 3,
            spread_divisor: 4,
            initial_prefill_rate: 51_000.0,
            remote_cost: Duration::from_millis(4),
            unreported_hit_probability: 0.9,
            preferred_engines: 2,
            shared_prefill_weight: 3.0,
            stall_cost: Duration::from_millis(200),
            non_preferred_cost: Duration::from_millis(150),
        }
    }
}
