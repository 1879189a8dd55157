//! Benchmarks of the decision code and of whole processes.
//!
//! - [`traffic`]: admission and routing against a model of endpoints.

pub mod traffic;
