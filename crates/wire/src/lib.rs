//! Messages between the system's own processes, their framing and sessions.
//!
//! - `config`, `command` and `frame`: prost messages
//! - `control`: the trait through which every process reaches the replicated
//!   ledger, and its requests
//! - `compression`: compression of route tables
//! - `session`: authenticated sessions that carry the frames
//! - `peers`: the trait through which routers exchange frames

pub mod command;
pub mod compression;
pub mod config;
pub mod control;
pub mod frame;
pub mod peers;
pub mod session;

pub use command::Command;
pub use command::CommandReply;
pub use control::CallError;
pub use control::Control;
pub use control::ControlReply;
pub use control::ControlRequest;
pub use session::ControlClient;
