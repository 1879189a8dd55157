//! The route table: which request goes to which service, for whom and within
//! which limits.
//!
//! `table` holds the table and its lookups, `route` its entries, `build` the
//! checks that a table must pass, `error` why one fails. A table is immutable;
//! a newer version replaces it as a whole.

mod build;
mod error;
mod route;
mod table;

pub use build::RouteTableBuilder;
pub use error::TableError;
pub use route::CallerLimits;
pub use route::Engine;
pub use route::Kind;
pub use route::Route;
pub use route::RouteBuilder;
pub use route::Service;
pub use route::Target;
pub use route::Team;
pub use table::RouteTable;
