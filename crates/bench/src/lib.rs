//! Benchmarks of the decision code and of whole processes.
//!
//! - [`commits`]: the replicated log on real folders.
//! - [`lease`]: configuration leases against serving on during isolation.
//! - [`load`]: whole requests through a router against direct ones.
//! - [`traffic`]: admission and routing against a model of endpoints.

pub mod commits;
pub mod lease;
pub mod load;
pub mod traffic;
