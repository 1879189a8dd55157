//! Benchmarks of the decision code and of whole processes.
//!
//! - [`budgets`]: small and large teams, and the cost of budgets at scale.
//! - [`traffic`]: admission and routing against a model of endpoints.

pub mod budgets;
pub mod traffic;
