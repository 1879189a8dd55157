//! Administration API of a control member.
//!
//! `calls` is the table of all calls with the roles that may use them, and
//! `run` carries them out. `auth` finds the role of a key, `items` converts
//! configuration items from and to JSON, `change` turns requests into ledger
//! changes and diffs, `read` reads in pages, `status` says what is wrong, and `http` serves it all within the bounds
//! of `listener`.

mod auth;
mod calls;
mod change;
mod error;
mod http;
mod items;
mod listener;
mod read;
mod run;
mod server;
mod status;

pub use auth::hash_secret;
pub use calls::Access;
pub use calls::CALLS;
pub use calls::CallSpec;
pub use error::ApiError;
pub use http::ReadinessCheck;
pub use items::ItemKind;
pub use listener::ConnectionLimits;
pub use run::Admin;
pub use run::AdminOptions;
pub use run::Reply;
pub use server::Server;
