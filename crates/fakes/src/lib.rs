//! Test doubles for tests, the demo and the load generator.
//!
//! - [`early`]: an endpoint that answers before it has read a request.
//! - [`engine`]: a model engine or plain service that can inject faults.
//! - [`http`]: an HTTP client that exposes the response as received.
//! - [`proxy`]: a network between processes that can be cut, slowed and reset.
//! - [`raw`]: an endpoint that sends scripted bytes.
//! - [`control`]: the ledger and the links between routers, in one process.
//! - [`free_address`]: finds a loopback address to listen on.

mod address;
pub mod control;
pub mod early;
pub mod engine;
pub mod http;
mod model;
mod orders;
pub mod proxy;
pub mod raw;
mod slots;

pub use address::free_address;
pub use control::LocalControl;
pub use control::LocalLink;
pub use engine::FakeEndpoint;
pub use engine::FakeEndpointOptions;
pub use engine::Fault;
