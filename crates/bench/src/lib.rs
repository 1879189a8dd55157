//! Benchmarks of the decision code and of whole processes.
//!
//! - [`lease`]: configuration leases against serving on during isolation.
//! - [`traffic`]: admission and routing against a model of endpoints.

pub mod lease;
//! - [`commits`]: the replicated log on real folders.
//! - [`traffic`]: admission and routing against a model of endpoints.

pub mod commits;
pub mod traffic;
