//! Reports of demand and endpoints to control, for the placement of models.

use std::collections::HashMap;

use anvilloft_types::Tokens;
use anvilloft_wire::control::ModelDemand;
use anvilloft_wire::control::PlacementReport;
use anvilloft_wire::control::ReportedEndpoint;
use prost::Message;

use super::Core;

/// Number of lease renewals per report.
const RENEWALS_PER_REPORT: u32 = 5;
/// Factor by which demand decays each second. Its time constant of about 10 s is
/// below that of the planner, which smooths further.
const DEMAND_DECAY_PER_SECOND: f64 = 0.9;
/// Maximum number of models whose demand is recorded.
const MAX_DEMAND_MODELS: usize = 1_024;
/// Maximum encoded size of the endpoints in one report, in bytes. Leaves most of
/// a frame of 4 MiB free.
const MAX_ENDPOINT_BYTES: usize = 1024 * 1024;

/// Demand by model and the time of the next report.
#[derive(Debug, Default)]
pub(crate) struct ReportState {
    /// Exponentially decayed sum of tokens by model.
    demand: HashMap<String, f64>,
    /// Number of renewals to send without a report before the next one.
    renewals_to_skip: u32,
}

impl ReportState {
    /// Adds the tokens of a request, whether it is served or refused.
    pub(crate) fn record_demand(&mut self, model: &str, tokens: Tokens) {
        if let Some(sum) = self.demand.get_mut(model) {
            *sum += tokens as f64;
        } else if self.demand.len() < MAX_DEMAND_MODELS {
            self.demand.insert(model.to_owned(), tokens as f64);
        }
    }

    /// Decays the demand by one second.
    pub(crate) fn decay_demand(&mut self) {
        self.demand.retain(|_, sum| {
            *sum *= DEMAND_DECAY_PER_SECOND;
            *sum >= 0.1
        });
    }

    /// Puts a report into the next renewal, because the last one was lost or
    /// reached a member that isn't the leader.
    pub(crate) fn report_next(&mut self) {
        self.renewals_to_skip = 0;
    }
}

impl Core {
    /// Returns the report for a renewal, or `None` when none is due.
    pub(crate) fn next_placement_report(&mut self) -> Option<PlacementReport> {
        if self.placement.renewals_to_skip > 0 {
            self.placement.renewals_to_skip -= 1;
            return None;
        }
        self.placement.renewals_to_skip = RENEWALS_PER_REPORT - 1;
        let mut demand: Vec<ModelDemand> = self
            .placement
            .demand
            .iter()
            .map(|(model, sum)| ModelDemand {
                model: model.clone(),
                // The sum of a steady rate converges to
                // `rate / (1 - DEMAND_DECAY_PER_SECOND)`.
                millitokens_per_s: (sum * (1.0 - DEMAND_DECAY_PER_SECOND) * 1_000.0) as u64,
            })
            .collect();
        demand.sort_by(|a, b| a.model.cmp(&b.model));
        let mut bytes = 0;
        let mut endpoints = Vec::new();
        for entry in self.endpoints.iter() {
            let update = &entry.update;
            if update.service || !self.is_reporter_of(&update.id) {
                continue;
            }
            let endpoint = ReportedEndpoint {
                id: update.id.clone(),
                incarnation: update.incarnation,
                address: update.address.clone(),
                data_centre: update.data_centre.clone(),
                models: update.models.iter().map(|m| m.name.clone()).collect(),
                slots: update.slots,
                checks_fencing: update.checks_fencing,
                leaving: update.leaving,
                seq: update.seq,
            };
            bytes += endpoint.encoded_len();
            if bytes > MAX_ENDPOINT_BYTES {
                slog::warn!(self.log, "endpoints left out of the placement report";
                    "reported" => endpoints.len());
                break;
            }
            endpoints.push(endpoint);
        }
        Some(PlacementReport { demand, endpoints })
    }

    /// Returns whether this router reports the endpoint to control: it is the
    /// first router of the endpoint that control does not list as silent.
    fn is_reporter_of(&self, endpoint: &str) -> bool {
        let silent = self.routers.silent();
        self.routers
            .endpoint_routers(endpoint)
            .into_iter()
            .find(|r| !silent.contains(&r.router))
            .is_some_and(|r| r.router == self.id.router)
    }
}
