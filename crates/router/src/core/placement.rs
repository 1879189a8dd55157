//! What this router reports to control for the placement of models.

use std::collections::HashMap;

use anvilloft_types::Tokens;
use anvilloft_wire::control::ModelDemand;
use anvilloft_wire::control::PlacementReport;
use anvilloft_wire::control::ReportedEndpoint;
use prost::Message;

use super::Core;

/// Renewals from one report to the next.
const RENEWALS: u32 = 5;
/// Decay of the demand each second; its time constant is about 10 s, below
/// that of the planner, which smooths further.
const DECAY: f64 = 0.9;
/// Models whose demand is counted, at most.
const MAX_DEMANDS: usize = 1_024;
/// Size of the endpoints in one report, in bytes. Leaves most of a frame of
/// 4 MiB free.
const MAX_BYTES: usize = 1024 * 1024;

/// Demand by model and the time of the next report.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    /// Decayed sum of tokens by model.
    demand: HashMap<String, f64>,
    /// Renewals without a report until the next one.
    skip: u32,
}

impl Reports {
    /// Counts a request, whether it is served or refused.
    pub(crate) fn count(&mut self, model: &str, tokens: Tokens) {
        if let Some(sum) = self.demand.get_mut(model) {
            *sum += tokens as f64;
        } else if self.demand.len() < MAX_DEMANDS {
            self.demand.insert(model.to_owned(), tokens as f64);
        }
    }

    /// Lets one second pass.
    pub(crate) fn decay(&mut self) {
        self.demand.retain(|_, sum| {
            *sum *= DECAY;
            *sum >= 0.1
        });
    }

    /// Puts a report into the next renewal, as the last one was lost or went to
    /// a member that doesn't lead.
    pub(crate) fn repeat(&mut self) {
        self.skip = 0;
    }
}

impl Core {
    /// Returns the report for a renewal, when one is due.
    pub(crate) fn next_placement_report(&mut self) -> Option<PlacementReport> {
        if self.placement.skip > 0 {
            self.placement.skip -= 1;
            return None;
        }
        self.placement.skip = RENEWALS - 1;
        let mut demand: Vec<ModelDemand> = self
            .placement
            .demand
            .iter()
            .map(|(model, sum)| ModelDemand {
                model: model.clone(),
                // A steady rate adds up to `rate / (1 - DECAY)`.
                millitokens_per_s: (sum * (1.0 - DECAY) * 1_000.0) as u64,
            })
            .collect();
        demand.sort_by(|a, b| a.model.cmp(&b.model));
        let mut bytes = 0;
        let mut endpoints = Vec::new();
        for entry in self.endpoints.iter() {
            let update = &entry.update;
            if update.service || !self.reports(&update.id) {
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
            if bytes > MAX_BYTES {
                slog::warn!(self.log, "endpoints left out of the placement report";
                    "reported" => endpoints.len());
                break;
            }
            endpoints.push(endpoint);
        }
        Some(PlacementReport { demand, endpoints })
    }

    /// Returns whether this router is the first of the endpoint's subset that
    /// control hears.
    fn reports(&self, endpoint: &str) -> bool {
        let silent = self.routers.silent();
        self.routers
            .endpoint_routers(endpoint)
            .into_iter()
            .find(|r| !silent.contains(&r.router))
            .is_some_and(|r| r.router == self.id.router)
    }
}
