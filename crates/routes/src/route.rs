//! Entries of a route table: routes, services, teams and limits.

use anvilloft_types::prelude::*;

/// Name of a region, which has several data centres.
pub type Region = String;

/// How the requests of a route may be executed and answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request must not run more than once.
    AtMostOnce,
    /// A request is answered by a stream of numbered events.
    Stream {
        /// Whether another endpoint can resume the stream after the last event
        /// that the caller received.
        resumable: bool,
        /// Maximum time between two events for the stream to be on time.
        max_gap: Duration,
    },
}

impl RouteKind {
    /// Whether a request that may already have run can be sent again.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable, .. } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route sends a share of its requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight, relative to the sum of the route's weights.
    pub weight: u32,
}

/// A route: the requests that it matches and how they are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host of the matching requests, in lower case.
    pub host: String,
    /// Path prefix of the matching requests; begins and ends with a slash.
    pub prefix: String,
    /// How requests may be executed and answered.
    pub kind: RouteKind,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Latency objective: maximum time to a complete answer, or to the first event
    /// of a stream, for a request to be on time.
    pub objective: Duration,
    /// Priority level; 0 is the most urgent.
    pub level: u8,
    /// Target services, at least one with a weight above zero.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_endpoints: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Regions of the endpoints that requests may reach; `None` for all.
    pub allowed_regions: Option<Vec<Region>>,
}

impl Route {
    /// Returns a builder for a route without targets, with default properties.
    pub fn builder(name: impl Into<String>, host: &str, prefix: impl Into<String>) -> RouteBuilder {
        RouteBuilder(Self {
            name: name.into(),
            host: host.to_ascii_lowercase(),
            prefix: prefix.into(),
            kind: RouteKind::AtMostOnce,
            timeout: Duration::from_secs(60),
            objective: Duration::from_secs(1),
            level: 0,
            targets: Vec::new(),
            max_endpoints: 1,
            anonymous: false,
            allowed_regions: None,
        })
    }

    /// Returns the regions of the endpoints that a request of a team may reach: those that
    /// both the route and the team allow. `None` for all regions.
    pub fn regions_for(&self, team: Option<&Team>) -> Option<Vec<Region>> {
        let of_team = team.and_then(|t| t.allowed_regions.as_ref());
        match (&self.allowed_regions, of_team) {
            (Some(route), Some(team)) => {
                let both = route.iter().filter(|region| team.contains(region));
                Some(both.cloned().collect())
            }
            (one, other) => one.as_ref().or(other).cloned(),
        }
    }

    /// Returns a target service, chosen by weight; `draw` is a uniform random
    /// number. Returns `None` if all weights are zero.
    pub fn choose_service(&self, draw: u64) -> Option<&str> {
        let sum: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut remaining = draw.checked_rem(sum)?;
        for target in &self.targets {
            match remaining.checked_sub(u64::from(target.weight)) {
                Some(rest) => remaining = rest,
                None => return Some(&target.service),
            }
        }
        None
    }
}

/// Builder of a [`Route`].
#[derive(Clone, Debug)]
pub struct RouteBuilder(Route);

impl RouteBuilder {
    /// Sets how requests may be executed and answered.
    #[must_use]
    pub fn kind(mut self, kind: RouteKind) -> Self {
        self.0.kind = kind;
        self
    }

    /// Sets the maximum time that a caller waits.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.0.timeout = timeout;
        self
    }

    /// Sets the latency objective.
    #[must_use]
    pub fn objective(mut self, objective: Duration) -> Self {
        self.0.objective = objective;
        self
    }

    /// Sets the priority level; 0 is the most urgent.
    #[must_use]
    pub fn level(mut self, level: u8) -> Self {
        self.0.level = level;
        self
    }

    /// Adds a target service with a weight.
    #[must_use]
    pub fn target(mut self, service: impl Into<ServiceName>, weight: u32) -> Self {
        self.0.targets.push(Target {
            service: service.into(),
            weight,
        });
        self
    }

    /// Sets the maximum number of endpoints that one request may be sent to.
    #[must_use]
    pub fn max_endpoints(mut self, count: u32) -> Self {
        self.0.max_endpoints = count;
        self
    }

    /// Sets whether requests need no key.
    #[must_use]
    pub fn anonymous(mut self, anonymous: bool) -> Self {
        self.0.anonymous = anonymous;
        self
    }

    /// Restricts requests to endpoints in these regions, unless there are none.
    #[must_use]
    pub fn allowed_regions(mut self, regions: Vec<Region>) -> Self {
        self.0.allowed_regions = (!regions.is_empty()).then_some(regions);
        self
    }

    /// Returns the route, which [`RouteTableBuilder::build`] validates.
    ///
    /// [`RouteTableBuilder::build`]: crate::RouteTableBuilder::build
    pub fn build(self) -> Route {
        self.0
    }
}

/// Properties of the batch engines behind a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Memory that running requests and cached prompt parts share.
    pub memory: Tokens,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// A service: a set of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Maximum number of connections that one endpoint accepts from all routers
    /// together.
    pub max_connections: u32,
    /// Set if the endpoints are batch engines.
    pub engine: Option<EngineSpec>,
    /// Set if an endpoint tolerates few requests while it is cold.
    pub cold: Option<ColdSpec>,
}

/// What an endpoint tolerates while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdSpec {
    /// How long an endpoint is cold after it starts.
    pub start: Duration,
    /// Requests that a cold endpoint tolerates in 1,000 s, above 0.
    pub per_1000_s: u64,
}

/// A team with its keys and its prepaid tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name.
    pub name: TeamId,
    /// Keys, each of which identifies the team.
    pub keys: Vec<String>,
    /// Priority level that overrides the route's; 0 is the most urgent.
    pub level: Option<u8>,
    /// Sum of all tokens that the team has paid for; `None` if its use is not
    /// metered.
    pub prepaid: Option<Tokens>,
    /// Regions of the endpoints that its requests may reach; `None` for all.
    pub allowed_regions: Option<Vec<Region>>,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request header, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request header.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
