//! A stand-in for the part of the replicated ledger that grants permits to
//! suspects. It follows the rules of section 10 of the design page.

use std::collections::HashMap;
use std::collections::HashSet;

/// Reply to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    Run,
    Wait,
    Condemned,
}

#[derive(Debug, Default)]
struct Suspect {
    condemned: bool,
    /// Endpoint of the permit.
    permit: Option<usize>,
    /// Endpoints and incarnations that died.
    deaths: HashSet<(usize, u64)>,
}

/// Strikes and permits of the fleet.
#[derive(Debug, Default)]
pub(crate) struct LedgerModel {
    suspects: HashMap<u64, Suspect>,
    /// Endpoints that run a suspect.
    endpoints: HashSet<usize>,
    /// Whether deaths of two endpoints quarantine a fingerprint even if neither
    /// happened under a permit.
    count_deaths: bool,
}

impl LedgerModel {
    pub(crate) fn new(count_deaths: bool) -> Self {
        Self {
            count_deaths,
            ..Self::default()
        }
    }

    fn condemn(&mut self, fingerprint: u64) {
        if let Some(s) = self.suspects.get_mut(&fingerprint) {
            s.condemned = true;
            if let Some(ep) = s.permit.take() {
                self.endpoints.remove(&ep);
            }
        }
    }

    pub(crate) fn strike(&mut self, fingerprint: u64, ep: usize, incarnation: u64) {
        let s = self.suspects.entry(fingerprint).or_default();
        s.deaths.insert((ep, incarnation));
        if s.permit == Some(ep) || (self.count_deaths && s.deaths.len() >= 2) {
            self.condemn(fingerprint);
        }
    }

    pub(crate) fn begin(&mut self, fingerprint: u64, ep: usize) -> Permit {
        let busy = self.endpoints.contains(&ep);
        if busy && !self.suspects.contains_key(&fingerprint) {
            return Permit::Run;
        }
        let s = self.suspects.entry(fingerprint).or_default();
        if s.condemned {
            return Permit::Condemned;
        }
        if s.permit.is_some() || busy {
            return Permit::Wait;
        }
        s.permit = Some(ep);
        self.endpoints.insert(ep);
        Permit::Run
    }

    pub(crate) fn end(&mut self, fingerprint: u64, ep: usize, died: bool) {
        let held = self
            .suspects
            .get(&fingerprint)
            .is_some_and(|s| s.permit == Some(ep));
        if !held {
            return;
        }
        if died {
            self.condemn(fingerprint);
        } else {
            self.endpoints.remove(&ep);
            self.suspects.remove(&fingerprint);
        }
    }

    /// Gives back the permit of a request that was not run.
    pub(crate) fn release(&mut self, fingerprint: u64, ep: usize) {
        if let Some(s) = self.suspects.get_mut(&fingerprint)
            && s.permit == Some(ep)
        {
            s.permit = None;
            self.endpoints.remove(&ep);
        }
    }

    pub(crate) fn list(&self) -> Vec<u64> {
        self.suspects.keys().copied().collect()
    }

    pub(crate) fn condemned(&self) -> Vec<u64> {
        self.suspects
            .iter()
            .filter(|(_, s)| s.condemned)
            .map(|(f, _)| *f)
            .collect()
    }
}
