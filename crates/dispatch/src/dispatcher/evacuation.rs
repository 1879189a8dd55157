//! Evacuated data centres, whose endpoints get nothing new.
//!
//! Handles the load of a whole data centre that operators move to the others: from the
//! moment that the router learns of it, no request is sent there, not as a last resort
//! either, while the answers in progress go on.

use anvilloft_types::prelude::*;

use super::DispatchRequest;
use super::Dispatcher;
use super::NoEndpoint;
use crate::endpoint::Endpoint;
use crate::endpoint::LEAVING_GRACE;

/// A list of evacuated data centres, as control sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationList {
    /// Number of changes that led to the list; 0 before the first.
    pub version: u64,
    /// Names of the data centres.
    pub data_centres: Vec<DataCentre>,
}

/// Data centres whose evacuation started or ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Data centres that are evacuated from now on.
    pub started: Vec<DataCentre>,
    /// Data centres that are no longer evacuated. Their endpoints may be cold.
    pub ended: Vec<DataCentre>,
}

impl EvacuationChange {
    /// Whether nothing started or ended.
    pub fn is_empty(&self) -> bool {
        self.started.is_empty() && self.ended.is_empty()
    }
}

impl Dispatcher {
    /// Replaces the list of evacuated data centres, unless the one in force is as new.
    /// Returns the differences, or `None` if the list was ignored.
    pub fn set_evacuated(
        &mut self,
        now: Duration,
        list: &EvacuationList,
    ) -> Option<EvacuationChange> {
        if list.version <= self.evacuation_version {
            return None;
        }
        self.evacuation_version = list.version;
        let mut list: Vec<_> = list.data_centres.iter().map(|d| (d.clone(), now)).collect();
        list.sort_unstable();
        list.dedup();
        let mut change = EvacuationChange::default();
        for (name, since) in &mut list {
            match find(&self.evacuated, name) {
                Some(learned_at) => *since = learned_at,
                None => change.started.push(name.clone()),
            }
        }
        for (name, _) in &self.evacuated {
            if find(&list, name).is_none() {
                change.ended.push(name.clone());
            }
        }
        self.evacuated = list;
        for name in &change.ended {
            self.evacuation_ended(now, name);
        }
        Some(change)
    }

    /// Returns the version of the list of evacuated data centres in force.
    pub fn evacuation_version(&self) -> u64 {
        self.evacuation_version
    }

    /// Returns the positions of the endpoints of a request's service that take new work and
    /// are in a region that the request may be sent to.
    pub(super) fn endpoints_of(&self, req: &DispatchRequest<'_>) -> Result<Vec<usize>, NoEndpoint> {
        let mut found: Vec<usize> = (0..self.endpoints.len())
            .filter(|at| {
                let ep = &self.endpoints[*at];
                ep.announcement.service == req.service
                    && !ep.is_leaving()
                    && self.is_allowed(req, ep)
            })
            .collect();
        if found.is_empty() {
            return Err(NoEndpoint::None);
        }
        found.retain(|at| self.evacuated_at(&self.endpoints[*at]).is_none());
        match found.is_empty() {
            true => Err(NoEndpoint::Evacuated),
            false => Ok(found),
        }
    }

    /// Returns when this router learned that an endpoint's data centre is evacuated, or
    /// `None` if it isn't.
    fn evacuated_at(&self, ep: &Endpoint) -> Option<Duration> {
        find(&self.evacuated, &ep.announcement.data_centre)
    }

    /// Whether evacuations let a request return to an endpoint that has had it: for as long
    /// as to one that leaves, from the moment that the router learns of the evacuation.
    pub(super) fn allows_return(&self, now: Duration, ep: &Endpoint) -> bool {
        self.evacuated_at(ep)
            .is_none_or(|since| now < since + LEAVING_GRACE)
    }
}

fn find(list: &[(DataCentre, Duration)], name: &str) -> Option<Duration> {
    let at = list.binary_search_by(|(d, _)| d.as_str().cmp(name)).ok()?;
    Some(list[at].1)
}
