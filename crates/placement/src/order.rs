//! Orders to endpoints.

use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use anvilloft_types::EndpointId;
use anvilloft_types::ModelName;

/// Number that rises with every order of the fleet: orders of a later term are
/// above all of an earlier one. An endpoint that checks it refuses an order
/// with a number not above the last one that it took.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FencingNumber {
    /// Consensus term of the leader.
    pub term: u64,
    /// Number of the order within the term, from 1 up.
    pub seq: u64,
}

impl Display for FencingNumber {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.term, self.seq)
    }
}

/// What an endpoint shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load the weights of a model from the weight store.
    Load(ModelName),
    /// Drop the weights of a model.
    Unload(ModelName),
}

/// Why an order is given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReason {
    /// The model has demand and no endpoint has it.
    NoEndpoint,
    /// The model's demand needs more endpoints than have it.
    Demand {
        /// Smoothed demand, in tokens a second.
        tokens_per_s: u64,
        /// Endpoints that the demand needs.
        needed: usize,
        /// Endpoints that have the model.
        loaded: usize,
    },
    /// Another model needs the room, and this one has more endpoints than its
    /// demand needs.
    MakeRoom {
        /// The model that needs the room.
        wanted: ModelName,
    },
}

impl Display for OrderReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoEndpoint => write!(f, "no endpoint has the model"),
            Self::Demand {
                tokens_per_s,
                needed,
                loaded,
            } => write!(
                f,
                "{tokens_per_s} tokens/s need {needed} endpoints, {loaded} have the model"
            ),
            Self::MakeRoom { wanted } => write!(f, "model {wanted} needs the room"),
        }
    }
}

/// One order to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Fencing number.
    pub fencing: FencingNumber,
    /// Endpoint that gets the order.
    pub endpoint: EndpointId,
    /// What it shall do.
    pub action: Action,
    /// Why.
    pub reason: OrderReason,
    /// The order must have arrived by this time or be dropped unsent: after
    /// it, a new leader may give orders to this endpoint, which ignores
    /// fencing numbers. `None` for an endpoint that checks them.
    pub arrive_by: Option<Duration>,
}

impl Display for Order {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let (verb, model) = match &self.action {
            Action::Load(m) => ("load", m),
            Action::Unload(m) => ("unload", m),
        };
        write!(
            f,
            "order {} endpoint {} {verb} {model}: {}",
            self.fencing, self.endpoint, self.reason
        )
    }
}
