//! Benchmarks of the decision code and of whole processes.
//!
//! - [`budgets`]: small and large teams, and the cost of budgets at scale.
//! - [`commits`]: the replicated log on real folders.
//! - [`history`]: checks that recorded concurrent runs are linearizable.
//! - [`lease`]: configuration leases against serving on during isolation.
//! - [`load`]: whole requests through a router against direct ones.
//! - [`traffic`]: admission and routing against a model of endpoints.

pub mod budgets;
pub mod commits;
pub mod history;
pub mod lease;
pub mod load;
pub mod traffic;
