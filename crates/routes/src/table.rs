//! The route table and its lookups.

use std::time::Duration;

use crate::CallerLimits;
use crate::Route;
use crate::RouteTableBuilder;
use crate::Service;
use crate::Team;

/// One version of the route table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    pub(crate) version: u64,
    // Sorted by host, then longest prefix first.
    pub(crate) routes: Vec<Route>,
    // Sorted by name.
    pub(crate) services: Vec<Service>,
    // Sorted by name.
    pub(crate) teams: Vec<Team>,
    // Keys with the index of their team, sorted by key.
    pub(crate) keys: Vec<(String, usize)>,
    pub(crate) limits: CallerLimits,
    // Shortest objectives of streams of a lower rank, sorted by service.
    pub(crate) deferred_objectives: Vec<(String, Duration)>,
}

impl RouteTable {
    /// Returns a builder of an empty table.
    pub fn builder() -> RouteTableBuilder {
        RouteTableBuilder::default()
    }

    /// Returns the version; 0 before the first table is published.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route of a request: the route of its host with the longest
    /// matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let from = self.routes.partition_point(|r| r.host < host);
        let of_host = self.routes.get(from..)?;
        of_host
            .iter()
            .take_while(|r| r.host == host)
            .find(|r| path.starts_with(&r.prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name))
            .ok()?;
        self.services.get(at)
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns the team that a key identifies.
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        let at = self
            .keys
            .binary_search_by(|(k, _)| k.as_str().cmp(key))
            .ok()?;
        self.keys
            .get(at)
            .and_then(|(_, team)| self.teams.get(*team))
    }

    /// Returns all teams, sorted by name.
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// Returns the shortest objective of the streams to a service, if streams of a lower
    /// rank than the first have it and others have longer ones.
    pub fn deferred_objective(&self, service: &str) -> Option<Duration> {
        let objectives = &self.deferred_objectives;
        let at = objectives.binary_search_by(|(s, _)| s.as_str().cmp(service));
        at.ok().map(|at| objectives[at].1)
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }
}
