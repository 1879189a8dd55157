//! Chooses the endpoint of a routed request.
//!
//! `endpoint` holds what a router knows about one endpoint, `health` judges it
//! by the outcomes of its requests, `cache` estimates which prompt parts its
//! memory holds, `dispatcher` chooses, `retry` limits repeats to a share of the
//! requests, `shed` says what a busy router refuses, and `link` tells a full link
//! of the router from dead endpoints. Nothing here reads a clock or does input or
//! output.

mod cache;
mod dispatcher;
mod endpoint;
mod health;
mod link;
mod retry;
mod shed;

pub use cache::Part;
pub use dispatcher::Ask;
pub use dispatcher::Dispatcher;
pub use dispatcher::DispatcherConfig;
pub use dispatcher::NoEndpoint;
pub use dispatcher::Pick;
pub use dispatcher::Reason;
pub use endpoint::Announcement;
pub use endpoint::Change;
pub use endpoint::Outcome;
pub use endpoint::PromptRead;
pub use endpoint::RANKS;
pub use endpoint::Work;
pub use link::LINK_EVERY;
pub use link::LinkDelay;
pub use retry::RepeatBudget;
pub use shed::Shedder;
