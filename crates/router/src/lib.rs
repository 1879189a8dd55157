//! The router daemon: forwards callers' requests to endpoints.
//!
//! `core` is the control thread, which owns all routing state. `router` starts
//! and stops the control thread and the traffic threads that serve callers.
//! `daemon` is the process around them: settings, log and signals.

pub mod core;
pub mod daemon;
mod router;

pub use router::Links;
pub use router::Router;
pub use router::RouterError;
pub use router::RouterOptions;
