//! Orders that load and unload models at endpoints.

use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use anvilloft_types::EndpointId;
use anvilloft_types::ModelName;

/// A number that increases with every order in the fleet: orders of a later
/// term have higher numbers than all orders of an earlier one. An endpoint that
/// checks it refuses an order unless its number is higher than that of the last
/// order it accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FencingNumber {
    /// Consensus term of the leader.
    pub term: u64,
    /// Sequence number of the order within the term, starting at 1.
    pub seq: u64,
}

impl Display for FencingNumber {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.term, self.seq)
    }
}

/// What an order asks an endpoint to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load the weights of a model from the weight store.
    Load(ModelName),
    /// Unload the weights of a model.
    Unload(ModelName),
}

/// Reason for an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReason {
    /// The model has demand and no endpoint has it.
    NoEndpoint,
    /// The model's demand needs more endpoints than have it.
    Demand {
        /// Smoothed demand, in tokens per second.
        tokens_per_s: u64,
        /// Number of endpoints that the demand needs.
        needed: usize,
        /// Number of endpoints that have the model.
        loaded: usize,
    },
    /// Another model needs the space, and this one has more endpoints than its
    /// demand needs.
    MakeRoom {
        /// The model that needs the space.
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
            Self::MakeRoom { wanted } => write!(f, "model {wanted} needs the space"),
        }
    }
}

/// One order to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Fencing number.
    pub fencing: FencingNumber,
    /// Endpoint that receives the order.
    pub endpoint: EndpointId,
    /// What the endpoint is asked to do.
    pub action: Action,
    /// Reason for the order.
    pub reason: OrderReason,
    /// Time by which the order must have arrived; an order that can't is
    /// dropped unsent. After it, a new leader may give orders to this endpoint,
    /// which ignores fencing numbers. `None` for an endpoint that checks them.
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
