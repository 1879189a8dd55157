//! The control daemon.

pub mod driver;
