//! Entries of a route table.

use anvilloft_types::prelude::*;

/// What a request of a route may do, and what its answer looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    Once,
    /// Answered by a series of numbered events.
    Stream {
        /// Whether another endpoint may go on after the last event that the
        /// caller has.
        resumable: bool,
        /// Longest pause between events with which the answer is on time.
        max_gap: Duration,
    },
}

impl Kind {
    /// Whether a request may be sent again although it may have run.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { resumable, .. } => resumable,
        }
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route sends a share of its requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceName,
    /// Share, against the sum of the route's weights.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Start of the requests' paths; begins and ends with a slash.
    pub prefix: String,
    /// What a request may do.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to a whole answer, or to the first event, that counts as on time.
    pub objective: Duration,
    /// Rank: 0 first.
    pub level: u8,
    /// Services, at least one with a weight.
    pub targets: Vec<Target>,
    /// Most endpoints that one request may be sent to.
    pub max_endpoints: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

impl Route {
    /// Returns a builder with nothing but names set.
    pub fn builder(name: impl Into<String>, host: &str, prefix: impl Into<String>) -> RouteBuilder {
        RouteBuilder(Self {
            name: name.into(),
            host: host.to_ascii_lowercase(),
            prefix: prefix.into(),
            kind: Kind::Once,
            timeout: Duration::from_secs(60),
            objective: Duration::from_secs(1),
            level: 0,
            targets: Vec::new(),
            max_endpoints: 1,
            anonymous: false,
        })
    }

    /// Returns the service for a request; `draw` is a uniform random number.
    pub fn pick(&self, draw: u64) -> Option<&str> {
        let sum: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut at = draw.checked_rem(sum)?;
        for target in &self.targets {
            match at.checked_sub(u64::from(target.weight)) {
                Some(rest) => at = rest,
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
    /// Sets what a request may do.
    #[must_use]
    pub fn kind(mut self, kind: Kind) -> Self {
        self.0.kind = kind;
        self
    }

    /// Sets the longest time that a caller is kept waiting.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.0.timeout = timeout;
        self
    }

    /// Sets the time that counts as on time.
    #[must_use]
    pub fn objective(mut self, objective: Duration) -> Self {
        self.0.objective = objective;
        self
    }

    /// Sets the rank, 0 first.
    #[must_use]
    pub fn level(mut self, level: u8) -> Self {
        self.0.level = level;
        self
    }

    /// Adds a service with a weight.
    #[must_use]
    pub fn target(mut self, service: impl Into<ServiceName>, weight: u32) -> Self {
        self.0.targets.push(Target {
            service: service.into(),
            weight,
        });
        self
    }

    /// Sets the most endpoints that one request may be sent to.
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

    /// Returns the route; the table checks it.
    pub fn build(self) -> Route {
        self.0
    }
}

/// What is known of the batch engines behind a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory shared by running requests and cached prompt parts.
    pub memory: Tokens,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// A service: endpoints that can stand in for each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Connections that one endpoint accepts from all routers together.
    pub max_connections: u32,
    /// Set when the endpoints are batch engines.
    pub engine: Option<Engine>,
}

/// A team with its keys and what it has paid for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name.
    pub name: TeamId,
    /// Keys, any of which names the team.
    pub keys: Vec<String>,
    /// Rank that goes before the rank of the route, 0 first.
    pub level: Option<u8>,
    /// Sum of everything that the team has paid for; `None` when its work is
    /// not counted.
    pub prepaid: Option<Tokens>,
}

/// Limits of what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest header of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time to receive a header.
    pub header_time: Duration,
    /// Time after which an idle connection is closed.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
