//! Simulates the part of the replicated ledger that grants permits to suspect
//! requests, by the rules of section 10 of the design page.

use std::collections::HashMap;
use std::collections::HashSet;

/// Reply to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// The request may run.
    Run,
    /// Another run of the request or of a suspect on the endpoint is not over.
    Wait,
    /// The request is quarantined and must be refused.
    Quarantined,
}

#[derive(Debug, Default)]
struct Suspect {
    quarantined: bool,
    /// Endpoint on which the suspect has a permit to run.
    permit: Option<usize>,
    /// Endpoints, with their incarnations, that died while they ran the suspect.
    deaths: HashSet<(usize, u64)>,
}

/// Strikes and permits of all routers.
#[derive(Debug, Default)]
pub(crate) struct LedgerModel {
    /// Suspects by fingerprint.
    suspects: HashMap<u64, Suspect>,
    /// Endpoints on which a suspect has a permit.
    busy_endpoints: HashSet<usize>,
    /// Whether the deaths of two endpoints quarantine a fingerprint even when
    /// neither happened under a permit.
    count_deaths: bool,
}

impl LedgerModel {
    pub(crate) fn new(count_deaths: bool) -> Self {
        Self {
            count_deaths,
            ..Self::default()
        }
    }

    fn quarantine(&mut self, fingerprint: u64) {
        if let Some(s) = self.suspects.get_mut(&fingerprint) {
            s.quarantined = true;
            if let Some(endpoint) = s.permit.take() {
                self.busy_endpoints.remove(&endpoint);
            }
        }
    }

    pub(crate) fn strike(&mut self, fingerprint: u64, endpoint: usize, incarnation: u64) {
        let s = self.suspects.entry(fingerprint).or_default();
        s.deaths.insert((endpoint, incarnation));
        if s.permit == Some(endpoint) || (self.count_deaths && s.deaths.len() >= 2) {
            self.quarantine(fingerprint);
        }
    }

    pub(crate) fn acquire_permit(&mut self, fingerprint: u64, endpoint: usize) -> Permit {
        let endpoint_busy = self.busy_endpoints.contains(&endpoint);
        if endpoint_busy && !self.suspects.contains_key(&fingerprint) {
            return Permit::Run;
        }
        let s = self.suspects.entry(fingerprint).or_default();
        if s.quarantined {
            return Permit::Quarantined;
        }
        if s.permit.is_some() || endpoint_busy {
            return Permit::Wait;
        }
        s.permit = Some(endpoint);
        self.busy_endpoints.insert(endpoint);
        Permit::Run
    }

    /// Releases the permit of a request whose run ended. The request is
    /// quarantined when the endpoint died, and no longer a suspect otherwise.
    pub(crate) fn finish_run(&mut self, fingerprint: u64, endpoint: usize, died: bool) {
        let held = self
            .suspects
            .get(&fingerprint)
            .is_some_and(|s| s.permit == Some(endpoint));
        if !held {
            return;
        }
        if died {
            self.quarantine(fingerprint);
        } else {
            self.busy_endpoints.remove(&endpoint);
            self.suspects.remove(&fingerprint);
        }
    }

    /// Returns the permit of a request that was not run; it stays a suspect.
    pub(crate) fn return_permit(&mut self, fingerprint: u64, endpoint: usize) {
        if let Some(s) = self.suspects.get_mut(&fingerprint)
            && s.permit == Some(endpoint)
        {
            s.permit = None;
            self.busy_endpoints.remove(&endpoint);
        }
    }

    pub(crate) fn suspects(&self) -> Vec<u64> {
        self.suspects.keys().copied().collect()
    }

    pub(crate) fn quarantined(&self) -> Vec<u64> {
        self.suspects
            .iter()
            .filter(|(_, s)| s.quarantined)
            .map(|(f, _)| *f)
            .collect()
    }
}
