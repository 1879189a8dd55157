//! Serves callers by the published route table.
//!
//! `relay` starts and stops it. `forward` takes a request from its header to
//! its answer, `attempt` sends it to one endpoint, `stream` passes the events
//! of an answer on and resumes them elsewhere, and `events` finds their ends.
//! `purse` holds the tokens of teams and `loans` those of peers; `control` keeps
//! in touch with the control group and with peers. `dialect` is the border to a deployment's own names of headers and
//! its format of the table.

mod adapter;
mod attempt;
mod charge;
mod control;
mod convert;
mod events;
mod forward;
mod loans;
mod options;
mod purse;
mod relay;
mod shared;
mod stream;

pub use adapter::ExecutionStatus;
pub use adapter::ForwardContext;
pub use adapter::ProtocolAdapter;
pub use adapter::RequestHead;
pub use adapter::TokenCounts;
pub use events::EventSplitter;
pub use options::RelayOptions;
pub use options::RelayOptionsBuilder;
pub use relay::Relay;
pub use relay::RelayError;
pub use stream::StreamError;
