//! Decides which endpoint loads which model.
//!
//! Each [`Planner`] serves one term of the control leader. From the demand and
//! the endpoints' announcements it derives orders, each with a fencing number
//! and a reason, which the leader sends. Weights stay loaded until another
//! model needs the space, so that falling demand alone causes no order.

mod order;
mod planner;

pub use order::Action;
pub use order::FencingNumber;
pub use order::Order;
pub use order::OrderReason;
pub use planner::Demand;
pub use planner::EndpointView;
pub use planner::PlacementConfig;
pub use planner::Planner;
