//! The router daemon: traffic threads, the control thread and their start and
//! stop.
//!
//! `core` is the control thread. `router` starts both kinds of threads and
//! serves callers. `daemon` is the process: settings, log, signals.

pub mod core;
pub mod daemon;
mod router;

pub use router::Links;
pub use router::Router;
pub use router::RouterError;
pub use router::RouterOptions;
