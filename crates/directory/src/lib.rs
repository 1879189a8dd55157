//! Endpoints and routers known to this process.
//!
//! [`endpoints`] holds a lease for each announced endpoint. [`routers`] holds the
//! router directory; it chooses the routers for a caller and the routers that use
//! an endpoint. [`holders`] finds the routers that hold tokens for others, and
//! [`designated`] those that may send to a cold endpoint. Time is passed in; nothing
//! here does I/O.

pub mod designated;
pub mod endpoints;
pub mod holders;
pub mod routers;

pub use designated::DesignatedRouters;
pub use designated::MAX_DESIGNATED;
pub use endpoints::Change;
pub use endpoints::DirectoryError;
pub use endpoints::EndpointLease;
pub use endpoints::EndpointTable;
pub use endpoints::can_listen_at;
pub use holders::HOLDERS;
pub use holders::TokenHolders;
pub use routers::CallerView;
pub use routers::MemberContact;
pub use routers::RouterDirectory;
pub use routers::entry_router_count;
pub use routers::routers_for_callers;
