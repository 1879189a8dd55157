//! Builds and validates a route table.

use std::time::Duration;

use crate::CallerLimits;
use crate::Route;
use crate::RouteTable;
use crate::Service;
use crate::TableError;
use crate::Team;

/// Builder of a [`RouteTable`].
#[derive(Clone, Debug, Default)]
pub struct RouteTableBuilder {
    version: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    teams: Vec<Team>,
    limits: CallerLimits,
}

impl RouteTableBuilder {
    /// Sets the version.
    #[must_use]
    pub fn version(mut self, version: u64) -> Self {
        self.version = version;
        self
    }

    /// Adds a route.
    #[must_use]
    pub fn route(mut self, route: Route) -> Self {
        self.routes.push(route);
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn service(mut self, service: Service) -> Self {
        self.services.push(service);
        self
    }

    /// Adds a team.
    #[must_use]
    pub fn team(mut self, team: Team) -> Self {
        self.teams.push(team);
        self
    }

    /// Sets the limits on callers' requests.
    #[must_use]
    pub fn limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Validates the table and returns it.
    ///
    /// # Errors
    ///
    /// The first rule that the table violates.
    pub fn build(mut self) -> Result<RouteTable, TableError> {
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(pair) = self.services.windows(2).find(|w| w[0].name == w[1].name) {
            return Err(TableError::DuplicateName("services", pair[0].name.clone()));
        }
        for route in &self.routes {
            self.validate_route(route)?;
        }
        // By host, then longest prefix first, as `RouteTable::route` expects.
        self.routes.sort_by(|a, b| {
            (&a.host, b.prefix.len(), &a.prefix).cmp(&(&b.host, a.prefix.len(), &b.prefix))
        });
        let is_duplicate = |w: &&[Route]| w[0].host == w[1].host && w[0].prefix == w[1].prefix;
        if let Some(pair) = self.routes.windows(2).find(is_duplicate) {
            let (host, prefix) = (pair[0].host.clone(), pair[0].prefix.clone());
            return Err(TableError::DuplicateRoute(host, prefix));
        }
        self.teams.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(pair) = self.teams.windows(2).find(|w| w[0].name == w[1].name) {
            return Err(TableError::DuplicateName("teams", pair[0].name.clone()));
        }
        let mut keys: Vec<(String, usize)> = Vec::new();
        for (at, team) in self.teams.iter().enumerate() {
            keys.extend(team.keys.iter().map(|key| (key.clone(), at)));
        }
        keys.sort();
        keys.dedup();
        if let Some(pair) = keys.windows(2).find(|w| w[0].0 == w[1].0) {
            let name = |at: usize| {
                self.teams
                    .get(at)
                    .map_or("", |t| t.name.as_str())
                    .to_owned()
            };
            return Err(TableError::DuplicateKey(name(pair[0].1), name(pair[1].1)));
        }
        let deferred = |s: &Service| Some((s.name.clone(), self.deferred_objective(&s.name)?));
        let deferred_objectives = self.services.iter().filter_map(deferred).collect();
        Ok(RouteTable {
            version: self.version,
            deferred_objectives,
            routes: self.routes,
            services: self.services,
            teams: self.teams,
            keys,
            limits: self.limits,
        })
    }

    /// Returns the shortest objective of the streams to a service, if streams of a lower
    /// rank than the first have it and others have longer ones.
    fn deferred_objective(&self, service: &str) -> Option<Duration> {
        let is_target = |r: &&Route| {
            r.targets
                .iter()
                .any(|t| t.weight > 0 && t.service == service)
        };
        let streams = || {
            self.routes
                .iter()
                .filter(is_target)
                .filter(|r| r.kind.is_stream())
        };
        let shortest = streams().map(|r| r.objective).min()?;
        let has_longer = streams().any(|r| r.objective > shortest);
        let is_deferred = streams().all(|r| r.objective > shortest || r.level > 0);
        (has_longer && is_deferred).then_some(shortest)
    }

    fn validate_route(&self, route: &Route) -> Result<(), TableError> {
        let name = || route.name.clone();
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(TableError::InvalidPrefix(name(), route.prefix.clone()));
        }
        if route.timeout.is_zero() {
            return Err(TableError::ZeroTimeout(name()));
        }
        if route.targets.iter().all(|t| t.weight == 0) {
            return Err(TableError::ZeroWeight(name()));
        }
        for target in &route.targets {
            let known = self
                .services
                .binary_search_by(|s| s.name.cmp(&target.service));
            if known.is_err() {
                return Err(TableError::UnknownService(name(), target.service.clone()));
            }
        }
        Ok(())
    }
}
