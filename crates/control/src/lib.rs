//! The control daemon: one member of the replicated ledger, and the
//! administration API over it.
//!
//! `driver` runs consensus, storage and ledger on one thread. `peers` carries
//! its messages and the calls of routers. `registry` passes the announcements of
//! endpoints on to routers. `join` keeps a member in its group. `admin` serves operators. `daemon`
//! puts them together from the settings.

pub mod admin;
pub mod daemon;
pub mod driver;
mod join;
mod orders;
pub mod peers;
pub mod registry;

pub use daemon::ControlDaemon;
pub use daemon::DaemonError;
