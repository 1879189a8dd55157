//! Administration API of a control member.
//!
//! `calls` is the table of all calls with the roles that may use them, and
//! `handlers` carries them out. `auth` determines the role of a key, `items`
//! converts configuration items from and to JSON, `change` turns requests into
//! ledger changes and diffs, `read` serves reads in pages, and `status`
//! reports problems of the fleet. `http` serves the calls, on connections that
//! `listener` accepts within limits.

mod auth;
mod calls;
mod change;
mod error;
mod evacuations;
mod handlers;
mod http;
mod items;
mod listener;
mod read;
mod server;
mod status;

pub use auth::hash_secret;
pub use calls::Access;
pub use calls::CALLS;
pub use calls::CallSpec;
pub use error::ApiError;
pub use handlers::Admin;
pub use handlers::AdminOptions;
pub use handlers::Reply;
pub use http::ReadinessCheck;
pub use items::ItemKind;
pub use listener::ConnectionLimits;
pub use server::Server;
