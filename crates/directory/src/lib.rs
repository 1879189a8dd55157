//! Endpoints and routers known to this process.
//!
//! `endpoints` keeps announcements as leases. `routers` keeps the router
//! directory, chooses the routers that a caller should use and the routers
//! that use an endpoint. Time is passed in; nothing here does input or output.

pub mod endpoints;
pub mod routers;

pub use endpoints::Change;
pub use endpoints::DirectoryError;
pub use endpoints::Endpoints;
pub use endpoints::Entry;
pub use routers::Routers;
pub use routers::entry_count;
pub use routers::serving;
