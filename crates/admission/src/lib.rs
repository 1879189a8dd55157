//! Decides which waiting request starts next and refuses early those that
//! would wait too long.
//!
//! The crate is pure: time is passed in and verdicts are returned. One
//! instance serves one model or one service, so that a full model holds back
//! no other.
//!
//! - [`policy`]: ranks, limits and capacity.
//! - [`fair`]: the shipped implementation, [`FairAdmission`].

pub mod fair;
pub mod policy;

mod flow;
mod rate;
mod window;

use anvilloft_types::prelude::*;
use quick_error::quick_error;

pub use fair::FairAdmission;
pub use policy::Capacity;
pub use policy::Policy;
pub use policy::Rank;

/// A request that asks to start.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Number of the request, unique within the instance while it is known.
    pub id: RequestNo,
    /// Team of the request.
    pub team: TeamId,
    /// Share beside other teams; 0 counts as 1.
    pub weight: u32,
    /// Name of the requested rank. An unknown name counts as the lowest rank.
    pub rank: RankName,
    /// Estimated tokens of prompt and answer.
    pub tokens: Tokens,
    /// Longest wait that the caller accepts; the rank's limit when `None`.
    pub max_wait: Option<Duration>,
    /// Exception from the urgent share limit, in percent.
    pub urgent_share_percent: Option<u32>,
}

quick_error! {
    /// Why a request does not start.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    pub enum RefusalReason {
        /// The queue of the team in this rank is full.
        TeamQueueFull {
            display("the queue of the team is full")
        }
        /// All queues together are full.
        QueueFull {
            display("the queues of the router are full")
        }
        /// The expected wait is longer than the limit.
        WaitTooLong {
            display("the expected wait is longer than the limit")
        }
        /// The request waited as long as it may.
        DeadlinePassed {
            display("the request waited as long as it may")
        }
        /// The number of the request is in use.
        DuplicateId {
            display("the number of the request is in use")
        }
        /// There is no capacity at all.
        NoCapacity {
            display("no endpoint serves the request")
        }
    }
}

/// A refusal: no part of the request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Estimated time after which the same request would be accepted.
    pub retry_after: Duration,
}

/// A decision on a request that was accepted into a queue.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request starts now.
    Start {
        /// Number of the request.
        id: RequestNo,
        /// Level that the request runs at; differs from that of its own rank
        /// when it was above the urgent share limit.
        level: u32,
        /// Time that the request waited.
        waited: Duration,
    },
    /// The request does not start.
    Refuse {
        /// Number of the request.
        id: RequestNo,
        /// Why, and when to try again.
        refusal: Refusal,
    },
}

/// Admission of requests to a limited capacity.
pub trait Admission: Send {
    /// Queues a request. [`poll`](Self::poll) tells when it starts.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when a queue is full or the expected wait is
    /// longer than the limit.
    fn enqueue(&mut self, now: Duration, req: AdmissionRequest) -> Result<(), Refusal>;

    /// Takes over a request that another queue started, as when the queues are
    /// made anew. It counts against the capacity and the shares until
    /// [`finish`](Self::finish). `level` is the one it was started at, `since`
    /// the time of its start. A number in use is ignored.
    fn restore_running(
        &mut self,
        now: Duration,
        req: AdmissionRequest,
        level: u32,
        since: Duration,
    );

    /// Forgets a request that has not started. A request that was started must
    /// be reported with [`finish`](Self::finish).
    fn cancel(&mut self, now: Duration, id: RequestNo);

    /// Reports the end of a started request and the tokens that it used; 0 when
    /// it was not run after all.
    fn finish(&mut self, now: Duration, id: RequestNo, used: Tokens);

    /// Sets the capacity. A smaller one stops no running request.
    fn set_capacity(&mut self, now: Duration, cap: Capacity);

    /// Returns the decisions that are due.
    fn poll(&mut self, now: Duration) -> Vec<Decision>;

    /// Returns the time of the next decision that no other call causes, which
    /// is the earliest deadline in the queues.
    fn next_timeout(&self) -> Option<Duration>;

    /// Returns the counts of queued and of running requests, for metrics.
    fn counts(&self) -> (usize, usize);
}
