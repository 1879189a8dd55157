//! The control daemon: one member of the replicated ledger, and the
//! administration API over it.
//!
//! `driver` runs consensus, storage and ledger on one thread. `peers` carries
//! its messages and the calls of routers. `admin` serves operators. `daemon`
//! puts them together from the settings.

pub mod admin;
pub mod daemon;
pub mod driver;
mod orders;
pub mod peers;

pub use daemon::ControlDaemon;
pub use daemon::DaemonError;
