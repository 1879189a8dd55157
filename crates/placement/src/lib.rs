//! Decides which endpoint loads which model.
//!
//! [`Planner`] belongs to one term of the control leader. It takes demand and
//! the endpoints' announcements and returns orders, each with a fencing number
//! and its reason; the leader sends them. Weights stay loaded until their room
//! is needed, so that falling demand causes no order.

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
