//! Forwards callers' requests to endpoints by the published route table.
//!
//! - `relay` starts and stops a relay, `options` configures it, and `state` is
//!   shared by its requests.
//! - `forward` handles a request, `attempt` sends it to endpoints and `progress` keeps
//!   what is known of it after each, `stream` forwards a streamed answer and resumes it
//!   at another endpoint, and `events` splits a stream into events.
//! - `charge` reserves and settles the tokens of a request, `reservations` holds
//!   this router's tokens, and `loans` lends tokens between routers.
//! - `control` maintains the lease and the sessions with the control group and
//!   with peers, and `convert` translates their messages.
//! - `crashes` detects crashed endpoints and refuses the requests that crash them.
//! - `adapter` is the interface to a deployment's headers and to its format of
//!   the route table.

mod adapter;
mod attempt;
mod charge;
mod control;
mod convert;
mod crashes;
mod evacuations;
mod event_buffer;
mod events;
mod forward;
mod handover;
mod loans;
mod options;
mod progress;
mod relay;
mod reservations;
mod resume;
mod state;
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
