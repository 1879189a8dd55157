//! The router daemon: traffic threads, the control thread and their start and
//! stop.
//!
//! `core` is the control thread. `router` starts both kinds of threads and
//! serves callers.

pub mod core;
mod router;

pub use router::Links;
pub use router::Router;
pub use router::RouterError;
pub use router::RouterOptions;
