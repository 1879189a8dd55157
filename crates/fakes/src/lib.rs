//! Stand-ins for tests, the demo and the load generator.
//!
//! `engine` is a model engine or a plain service with faults, `http` a small
//! caller that shows what came over the connection, `raw` an endpoint that
//! answers with scripted bytes, `control` the replicated ledger within one
//! process, and `address` finds addresses to listen on.

mod address;
pub mod control;
pub mod engine;
pub mod http;
mod model;
mod orders;
pub mod raw;
mod slots;

pub use address::free_address;
pub use control::LocalControl;
pub use control::LocalLink;
pub use engine::Fake;
pub use engine::FakeOptions;
pub use engine::Fault;
