//! The route table: maps requests to services, and keys to teams.
//!
//! - `table`: the table and its lookups.
//! - `route`: its entries.
//! - `build`: builds and validates a table.
//! - `error`: why a table is invalid.
//! - [`lint`]: findings and differences before a table is published.
//!
//! A table is immutable; a newer version replaces it as a whole.

mod build;
mod error;
pub mod lint;
mod route;
mod table;

pub use build::RouteTableBuilder;
pub use error::TableError;
pub use route::CallerLimits;
pub use route::EngineSpec;
pub use route::Route;
pub use route::RouteBuilder;
pub use route::RouteKind;
pub use route::Service;
pub use route::Target;
pub use route::Team;
pub use table::RouteTable;
