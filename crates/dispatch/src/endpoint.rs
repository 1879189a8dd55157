//! What a router knows about one endpoint.

use std::net::SocketAddr;

use anvilloft_types::prelude::*;

use crate::cache::Part;
use crate::cache::PartCache;
use crate::health::Health;

/// Half-life of the measured delay of first events.
const DELAY_HALF_LIFE: f64 = 2.0;
/// Weight of the newest delay.
const DELAY_GAIN: f64 = 0.4;

/// What an endpoint said of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Name.
    pub id: EndpointId,
    /// Incarnation; 0 in a notice of leaving that names none.
    pub incarnation: Incarnation,
    /// Number within the incarnation.
    pub seq: u64,
    /// Address.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it has left for good.
    pub left: bool,
    /// How much longer it is slow after its start.
    pub warm_up: Duration,
    /// Time since the endpoint sent it.
    pub age: Duration,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new endpoint, or a new incarnation of one.
    Added,
    /// It takes no new work from now on.
    Leaving,
    /// Nothing that decisions depend on.
    Renewed,
    /// A newer announcement was taken before.
    Stale,
}

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer without failure.
    Ok,
    /// An answer that reports a failure.
    Failed,
    /// The endpoint had no room and did not run it.
    Full,
    /// Another endpoint has the address.
    Misdirected,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or the answer was not one.
    Broken,
    /// The caller left, or the time was over.
    Cancelled,
}

/// A request that runs at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) no: RequestNo,
    pub(crate) started: Duration,
    /// Predicted time to read the uncached part of the prompt.
    pub(crate) prefill: Duration,
    pub(crate) rank: usize,
    pub(crate) first: bool,
}

/// Ranks that are told apart. Engines read prompts of urgent work first, so
/// less urgent work delays no other.
pub const RANKS: usize = 3;

/// Returns the rank of a route's level.
pub(crate) fn rank(level: u8) -> usize {
    usize::from(level).min(RANKS - 1)
}

/// Work of one router at one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Name of the engine.
    pub endpoint: EndpointId,
    /// Predicted time to read the prompts that wait there, by rank.
    pub backlog: [Duration; RANKS],
    /// Delay of first events beyond the prediction, by rank.
    pub delay: [Duration; RANKS],
    /// Requests that run or wait there.
    pub running: u32,
}

/// A prompt that an engine reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptRead {
    /// Name of the engine.
    pub endpoint: EndpointId,
    /// Parts of the prompt, in order.
    pub prompt: Vec<Part>,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) said: Announcement,
    /// When it was last heard of.
    pub(crate) heard: Duration,
    pub(crate) warm_at: Duration,
    pub(crate) running: Vec<Running>,
    pub(crate) health: Health,
    pub(crate) cache: PartCache,
    /// Measured delay of first events beyond the prediction, in seconds, and
    /// when it was measured, by rank.
    delay: [(f64, Duration); RANKS],
    /// Work of peers: prompts that wait, in seconds, the longest delay that one
    /// of them measured, and requests; as told at a moment.
    pub(crate) others: Others,
}

/// Work of all peers at one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Others {
    pub(crate) backlog: [f64; RANKS],
    pub(crate) delay: [f64; RANKS],
    pub(crate) running: f64,
    pub(crate) at: Duration,
}

impl Others {
    /// Adds a share of other work. Delays are no sums and stay as they are.
    pub(crate) fn add(&mut self, work: &Self, share: f64) {
        for (own, more) in self.backlog.iter_mut().zip(work.backlog) {
            *own += more * share;
        }
        self.running += work.running * share;
    }
}

impl Endpoint {
    pub(crate) fn new(now: Duration, said: Announcement) -> Self {
        Self {
            heard: now.saturating_sub(said.age),
            warm_at: now + said.warm_up,
            said,
            running: Vec::new(),
            health: Health::default(),
            cache: PartCache::default(),
            delay: [(0.0, now); RANKS],
            others: Others::default(),
        }
    }

    /// Returns the predicted wait before a new prompt of a rank is read: behind
    /// the prompts of all routers that go first, or as long as such a prompt
    /// was late last.
    pub(crate) fn wait(&self, now: Duration, rank: usize) -> f64 {
        let age = now.saturating_sub(self.others.at).as_secs_f64();
        let mut backlog = 0.0;
        let mut delay: f64 = 0.0;
        for r in 0..=rank {
            backlog += self.backlog(now, r) + (self.others.backlog[r] - age).max(0.0);
            delay = delay
                .max(self.delay(now, r))
                .max(self.others.delay[r] - age);
        }
        delay.max(backlog)
    }

    /// Returns the requests of all routers, as a share of the slots.
    pub(crate) fn crowd(&self) -> f64 {
        (self.running.len() as f64 + self.others.running) / f64::from(self.said.slots.max(1))
    }

    /// Returns the delay of first events of a rank beyond the prediction: as
    /// measured, which fades without new measurements, or as far as a request
    /// that still waits shows.
    pub(crate) fn delay(&self, now: Duration, rank: usize) -> f64 {
        let overdue = self.waiting(rank).map(|r| {
            let gone = now.saturating_sub(r.started);
            gone.saturating_sub(r.prefill).as_secs_f64()
        });
        overdue.fold(self.faded(now, rank), f64::max)
    }

    fn faded(&self, now: Duration, rank: usize) -> f64 {
        let (delay, at) = self.delay[rank];
        let age = now.saturating_sub(at).as_secs_f64();
        delay * 0.5_f64.powf(age / DELAY_HALF_LIFE)
    }

    pub(crate) fn measured(&mut self, now: Duration, rank: usize, delay: f64) {
        let old = self.faded(now, rank);
        self.delay[rank] = (old + (delay.max(0.0) - old) * DELAY_GAIN, now);
    }

    /// Returns the predicted time to read the prompts of a rank that were sent
    /// and have brought no event yet.
    pub(crate) fn backlog(&self, now: Duration, rank: usize) -> f64 {
        self.waiting(rank)
            .map(|r| {
                let gone = now.saturating_sub(r.started);
                r.prefill.saturating_sub(gone).as_secs_f64()
            })
            .sum()
    }

    fn waiting(&self, rank: usize) -> impl Iterator<Item = &Running> {
        let waits = move |r: &&Running| r.rank == rank && !r.first;
        self.running.iter().filter(waits)
    }
}
