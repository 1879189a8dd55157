//! Simulations of the decision code and benchmarks of whole processes.
//!
//! - [`budgets`]: false refusals by size of the balance, and the cost of budgets
//!   at scale.
//! - [`commits`]: commit rate, latency and restart time of the replicated log
//!   on a real disk.
//! - [`history`]: checks that recorded concurrent runs are linearizable.
//! - [`lease`]: configuration leases compared with serving without a lease
//!   during network partitions.
//! - [`load`]: requests through a router compared with direct requests.
//! - [`reserves`]: what callers get in a partition of all routers from control.
//! - [`traffic`]: admission and routing in a simulation of endpoints.

pub mod budgets;
pub mod commits;
pub mod history;
pub mod lease;
pub mod load;
pub mod reserves;
pub mod traffic;
