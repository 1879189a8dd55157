//! The control daemon: one member of the control group, which replicates the
//! ledger, and its administration API.
//!
//! - `driver`: consensus, storage and ledger on one thread
//! - `peers`: sessions with other members and with routers
//! - `forwarding`: paths of a call to the leader
//! - `registry`: endpoint announcements, forwarded to routers
//! - `orders`: placement orders, sent to endpoints over HTTP
//! - `evacuations`: starts and ends evacuations of data centres
//! - `join`: joins the control group without an operator
//! - `admin`: administration API
//! - `daemon`: starts and stops a member from its settings

pub mod admin;
pub mod daemon;
pub mod driver;
pub mod evacuations;
mod forwarding;
mod join;
mod orders;
pub mod peers;
pub mod registry;

pub use daemon::ControlDaemon;
pub use daemon::DaemonError;
