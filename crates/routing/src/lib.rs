//! Chooses the endpoint of each attempt, limits retries and tracks suspects.
//!
//! The crate does no I/O and reads no clock: callers pass in the time and a
//! random generator and carry out the returned decisions.
//!
//! - [`endpoint`]: the state of one endpoint as a router sees it.
//! - [`select`]: the production selector, [`PredictiveSelector`].
//! - [`share`]: a router's share of an endpoint's slots, and the routers that
//!   use an endpoint.
//! - [`retry`]: the retry budget.
//! - [`suspect`]: requests that may have crashed an endpoint.

pub mod endpoint;
pub mod retry;
pub mod select;
pub mod share;
pub mod suspect;

mod score;

use anvilloft_types::availability::EndpointNotice;
use anvilloft_types::prelude::*;
use quick_error::quick_error;

pub use endpoint::EndpointState;
pub use endpoint::Load;
pub use endpoint::ServedModel;
pub use retry::RetryBudget;
pub use select::PredictiveSelector;
pub use select::SelectionMethod;
pub use select::SelectorConfig;
pub use suspect::Suspects;

/// Requirements of an attempt on its endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteRequest<'a> {
    /// Model of the request; empty for a plain service.
    pub model: &'a str,
    /// Version of the model; empty for any.
    pub version: &'a str,
    /// Adapter of the model; empty for none.
    pub adapter: &'a str,
    /// Name of the plain service; empty for a model.
    pub service: &'a str,
    /// Level of the rank that the request runs at; 0 is the most urgent.
    pub level: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Hash of the prompt's prefix, the same at all routers and engines.
    pub prefix: Option<u64>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether the request is a suspect, which runs under a permit. It is then
    /// sent only to the two endpoints of its fingerprint while one of them has
    /// not been tried.
    pub suspect: bool,
    /// Endpoints that earlier attempts used.
    pub exclude: &'a [EndpointId],
}

/// Why an endpoint was chosen, for the decision log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChoiceReason {
    /// It is the only candidate.
    Only,
    /// It has the best score.
    Score,
    /// It probably caches the prefix of the prompt, or is the preferred
    /// endpoint of the prefix.
    Prefix,
}

/// The endpoint that was chosen for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// Number of endpoints that could have been chosen.
    pub candidates: usize,
    /// Predicted time to the first token.
    pub first_token: Duration,
    /// Predicted time between tokens.
    pub gap: Duration,
    /// Why it was chosen.
    pub reason: ChoiceReason,
}

quick_error! {
    /// Why no endpoint was chosen.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum NoRoute {
        /// No endpoint with a live lease serves the request.
        NoEndpoint {
            display("no endpoint serves the request")
        }
        /// Every endpoint that serves the request was tried or asked for a pause.
        Excluded {
            display("every endpoint that serves the request was tried")
        }
        /// Every endpoint that serves the request asked for a pause. The first one ends
        /// after the given time.
        Paused(left: Duration) {
            display("the endpoints asked for a pause of {} ms more", left.as_millis())
        }
        /// This router uses its whole share of the slots of every candidate.
        /// Retry when an attempt finishes or after the given time. Other
        /// requests may find a free slot meanwhile.
        Full(retry: Duration) {
            display("all slots are taken, try again in {} ms", retry.as_millis())
        }
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// No connection could be made.
    Connect,
    /// The connection broke.
    Reset,
    /// The first byte came too late.
    FirstByte,
    /// The next byte came too late.
    Gap,
    /// The endpoint refused the request.
    Refused,
    /// The answer belongs to another attempt or is malformed.
    BadAnswer,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Done {
        /// Time to the first token or byte.
        first_token: Duration,
        /// Mean time between tokens; zero when it is not known.
        gap: Duration,
    },
    /// The attempt failed.
    Failed(Failure),
    /// The caller disconnected, which says nothing about the endpoint.
    Cancelled,
}

/// Capacity of this router at the candidates of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterCapacity {
    /// This router's share of the slots of all candidates.
    pub slots: u32,
    /// Maximum number of attempts that this router may have in flight at all
    /// candidates.
    pub max_in_flight: u32,
    /// Number of attempts of this router in flight there.
    pub running: u32,
    /// Number of candidates.
    pub endpoints: u32,
}

/// Chooses an endpoint for each attempt.
pub trait Selector: Send {
    /// Sets the name of this router and the names of all routers, which
    /// determine the shares of the slots.
    fn set_routers(&mut self, own_name: &str, routers: &[RouterId]);

    /// Adds or updates an endpoint. Older announcements of the same incarnation
    /// and older incarnations are ignored.
    fn update(&mut self, now: Duration, ep: &EndpointState);

    /// Excludes an endpoint until a newer announcement of it arrives.
    fn remove(&mut self, ep: &str);

    /// Applies what an answer of an endpoint's incarnation says about further requests.
    /// Returns whether it changes anything.
    fn apply_notice(
        &mut self,
        now: Duration,
        ep: &str,
        incarnation: Incarnation,
        notice: EndpointNotice,
    ) -> bool;

    /// Chooses the endpoint of an attempt.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoute`] when no endpoint can take the attempt now.
    fn choose(&mut self, now: Duration, req: &RouteRequest<'_>) -> Result<Choice, NoRoute>;

    /// Reports that an attempt is sent to the chosen endpoint. Must directly
    /// follow the call of [`choose`](Self::choose), so that the slot is counted
    /// and copies of the request are recognised.
    fn started(&mut self, now: Duration, ep: &str, attempt: AttemptId, tokens: Tokens);

    /// Reports the first byte of an answer. While a first byte is overdue, its
    /// endpoint counts as unhealthy, long before the attempt times out.
    fn first_byte(&mut self, now: Duration, ep: &str, attempt: AttemptId);

    /// Reports the end of an attempt.
    fn finished(&mut self, now: Duration, ep: &str, attempt: AttemptId, outcome: Outcome);

    /// Returns this router's capacity at the candidates of a request, from
    /// which the capacity of admission is set.
    fn capacity(&self, now: Duration, req: &RouteRequest<'_>) -> RouterCapacity;
}
