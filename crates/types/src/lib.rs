//! Identifiers and small value types shared by all other crates.

use std::future::Future;
use std::pin::Pin;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

pub mod availability;
mod clock;
pub mod prelude;

pub use clock::Clock;

/// Name of a team, as chosen by the operator.
pub type TeamId = String;
/// Name of a prepaid budget. A team may own several.
pub type BudgetId = String;
/// Name of a router host, from its settings.
pub type RouterId = String;
/// Name of an endpoint, as announced by the endpoint itself.
pub type EndpointId = String;
/// Name of a data centre, from the settings of the process.
pub type DataCentre = String;
/// Name of a model, as used in requests.
pub type ModelName = String;
/// Name of a service that isn't a model.
pub type ServiceName = String;
/// Name of a request rank (priority class), such as `urgent`.
pub type RankName = String;
/// Number of one run of a router or endpoint process. A later run has a larger
/// number.
pub type Incarnation = u64;

/// Largest step between the numbers of two announcements that an endpoint sends within
/// an incarnation: 49 days, for numbers that count milliseconds.
pub const MAX_SEQ_STEP: u64 = 1 << 32;
/// Revision of the configuration. Starts at 0 and only increases.
pub type Revision = u64;
/// Number of tokens, the unit of every budget.
pub type Tokens = u64;
/// Number of a request, unique within one router incarnation.
pub type RequestNo = u64;
/// Random id of one attempt to run a request at an endpoint.
pub type AttemptId = u128;
/// Random id of a control member, generated when its data folder is created.
pub type MemberId = u64;
/// Number of a replicated group. Currently every command goes to group 0.
pub type GroupId = u32;
/// Hash of team and request body that identifies a repeated request.
pub type Fingerprint = [u8; 16];

/// Future returned by object-safe asynchronous traits.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Whether a request was executed, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunState {
    /// No part of the request was executed.
    No,
    /// The request was executed.
    Yes,
    /// The request may have been executed.
    Unknown,
}

impl RunState {
    /// Returns the value used in error responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// Locks a mutex and ignores poisoning. The data must stay consistent even if a
/// holder panics, so each holder may make only one change.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 if the
/// host's clock is set to an earlier time.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, to_ms)
}

/// Returns a time in whole milliseconds, at most `u64::MAX`.
pub fn to_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
