//! Decides which waiting request starts next and refuses early those that
//! would wait too long.
//!
//! The crate does no I/O and reads no clock: callers pass in the time and carry
//! out the returned decisions. Each instance serves one model or one service,
//! so that a model without free capacity doesn't delay the others.
//!
//! - [`policy`]: ranks, limits and capacity.
//! - [`fair`]: the production implementation, [`FairAdmission`].

pub mod fair;
pub mod policy;

mod decay;
mod flow;
mod rate;

use anvilloft_types::prelude::*;
use quick_error::quick_error;

pub use fair::FairAdmission;
pub use policy::Capacity;
pub use policy::Policy;
pub use policy::Rank;

/// A request to be admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Number of the request, unique among the queued and running requests of
    /// the instance.
    pub id: RequestNo,
    /// Team of the request.
    pub team: TeamId,
    /// Weight of the team in the fair sharing; 0 counts as 1.
    pub weight: u32,
    /// Name of the requested rank. An unknown name counts as the lowest rank.
    pub rank: RankName,
    /// Estimated tokens of prompt and answer.
    pub tokens: Tokens,
    /// Maximum wait that the caller accepts, limited by [`Rank::max_wait`],
    /// which also applies when this is `None`.
    pub max_wait: Option<Duration>,
    /// Overrides [`Policy::urgent_share_percent`] for this request, in percent.
    pub urgent_share_percent: Option<u32>,
}

quick_error! {
    /// Reason for which a request is refused.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    pub enum RefusalReason {
        /// The team's queue in this rank is full.
        TeamQueueFull {
            display("the queue of the team is full")
        }
        /// The number of requests in all queues together is at its limit.
        QueueFull {
            display("the queues of the router are full")
        }
        /// The expected wait is longer than the limit.
        WaitTooLong {
            display("the expected wait is longer than the limit")
        }
        /// The request reached its maximum wait.
        DeadlinePassed {
            display("the request reached its maximum wait")
        }
        /// Another queued or running request has the same number.
        DuplicateId {
            display("the request number is already in use")
        }
        /// The capacity is zero.
        NoCapacity {
            display("no endpoint serves the request")
        }
    }
}

/// A refused request, no part of which was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Estimated time after which the same request would be accepted.
    pub retry_after: Duration,
}

/// A decision on a queued request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request starts now.
    Start {
        /// Number of the request.
        id: RequestNo,
        /// Level that the request runs at. Differs from the level of its own
        /// rank when its team was above the urgent share.
        level: u32,
        /// Time that the request spent in the queue.
        waited: Duration,
    },
    /// The request does not start.
    Refuse {
        /// Number of the request.
        id: RequestNo,
        /// Reason and retry delay.
        refusal: Refusal,
    },
}

/// Admission of requests to a limited capacity.
pub trait Admission: Send {
    /// Queues a request. [`poll`](Self::poll) returns the decision on it.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when a queue is full or the expected wait is
    /// longer than the limit.
    fn enqueue(&mut self, now: Duration, req: AdmissionRequest) -> Result<(), Refusal>;

    /// Adds a request that is running already, for example after the queues
    /// were rebuilt. It counts against the capacity and the shares until
    /// [`finish`](Self::finish). `level` is the level that it was started at,
    /// `started_at` the time of its start. Does nothing when the number is in
    /// use.
    fn restore_running(
        &mut self,
        now: Duration,
        req: AdmissionRequest,
        level: u32,
        started_at: Duration,
    );

    /// Removes a request that has not started. The end of a started request
    /// must be reported with [`finish`](Self::finish).
    fn cancel(&mut self, now: Duration, id: RequestNo);

    /// Reports the end of a started request and the tokens that it used, 0 when
    /// it was not run.
    fn finish(&mut self, now: Duration, id: RequestNo, used: Tokens);

    /// Sets the capacity. Lowering it stops no running request.
    fn set_capacity(&mut self, now: Duration, cap: Capacity);

    /// Returns the decisions that are due.
    fn poll(&mut self, now: Duration) -> Vec<Decision>;

    /// Returns the earliest deadline in the queues, at which
    /// [`poll`](Self::poll) is due even if no other call precedes it.
    fn next_timeout(&self) -> Option<Duration>;

    /// Returns the numbers of queued and of running requests, for metrics.
    fn counts(&self) -> (usize, usize);
}
