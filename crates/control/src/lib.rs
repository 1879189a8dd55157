//! The control daemon: one member of the replicated ledger, and the
//! administration API over it.

pub mod admin;
pub mod driver;
