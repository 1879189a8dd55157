//! Budget allotments of one router incarnation: reservations, settlements,
//! grants and reports.
//!
//! [`Allotments`] decides and holds state; the router's control thread sends
//! its grants and reports and hands the replies back. [`Copies`] keeps the
//! settlements of another router until control has them.

mod allotments;
mod copies;
mod outbox;

pub use allotments::Allotments;
pub use allotments::GrantRefusal;
pub use allotments::GrantResult;
pub use allotments::Holding;
pub use allotments::NeedGrant;
pub use allotments::NeedId;
pub use allotments::ReservationId;
pub use allotments::Reserve;
pub use copies::Copies;
pub use copies::is_release;
