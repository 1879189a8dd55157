//! Re-exports of the types that most modules need.

pub use std::time::Duration;

pub use crate::AttemptId;
pub use crate::BoxFuture;
pub use crate::BudgetId;
pub use crate::DataCentre;
pub use crate::EndpointId;
pub use crate::Fingerprint;
pub use crate::GroupId;
pub use crate::Incarnation;
pub use crate::MemberId;
pub use crate::ModelName;
pub use crate::RankName;
pub use crate::RequestNo;
pub use crate::Revision;
pub use crate::RouterId;
pub use crate::RunState;
pub use crate::ServiceName;
pub use crate::TeamId;
pub use crate::Tokens;
