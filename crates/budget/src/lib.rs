//! Budget allotments of one router incarnation: reservations, settlements,
//! grants and reports.
//!
//! [`Allotments`] is the state machine; the router's control thread sends its grant
//! requests and reports to control and passes the replies back. [`SettlementCopies`]
//! keeps copies of other routers' settlements until control has applied them.

mod allotments;
mod copies;
mod outbox;
mod usage;

pub use allotments::Allotments;
pub use allotments::GrantRefusal;
pub use allotments::GrantResult;
pub use allotments::Holding;
pub use allotments::LocalBalance;
pub use allotments::NeedGrant;
pub use allotments::NeedId;
pub use allotments::ReservationId;
pub use allotments::ReservePolicy;
pub use allotments::Shortage;
pub use copies::SettlementCopies;
pub use copies::is_release_notice;
pub use usage::Usage;
