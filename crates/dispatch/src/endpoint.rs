//! State of one endpoint, as seen by this router.

use std::net::SocketAddr;

use anvilloft_types::MAX_SEQ_STEP;
use anvilloft_types::availability::Availability;
use anvilloft_types::prelude::*;

use crate::cache::PartCache;
use crate::cache::PromptPart;
use crate::cold::ColdCause;
use crate::cold::Warmth;
use crate::health::Health;
use crate::speed::EngineSpeed;

/// Time after an endpoint first says that it leaves for which requests that it has had may
/// return. Endpoints serve for 2 s at least after that is acknowledged.
pub(crate) const LEAVING_GRACE: Duration = Duration::from_millis(1_500);
/// Half-life of the measured delay of first events, in seconds.
const DELAY_HALF_LIFE_S: f64 = 2.0;
/// Half-life of the time that an engine spends on prompts, in seconds.
const PREFILL_HALF_LIFE_S: f64 = 2.0;
/// Usual time between announcements before any was measured.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);
/// Range of the measured time between announcements.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);
const MAX_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);
/// Weight of the newest sample in its moving average.
const ANNOUNCE_WEIGHT: f64 = 0.1;
/// Weight of the newest sample in the moving average of the age that announcements reach.
const ANNOUNCED_AGE_WEIGHT: f64 = 0.25;
/// Age of the latest announcement from which the next one is overdue, as a multiple of the
/// usual age. One lost or delayed announcement alone isn't evidence.
const OVERDUE_FACTOR: u32 = 2;
/// Weight of the newest sample in the moving average of the delay.
const DELAY_WEIGHT: f64 = 0.4;

/// State that an endpoint announces about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Name.
    pub id: EndpointId,
    /// Incarnation; 0 in a leave notice that names none.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation.
    pub seq: u64,
    /// Address.
    pub address: SocketAddr,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the endpoint is draining and takes no new work.
    pub leaving: bool,
    /// Whether the endpoint has left for good.
    pub left: bool,
    /// Remaining time for which the endpoint is slow after its start.
    pub warm_up: Duration,
    /// Time since the endpoint sent the announcement.
    pub age: Duration,
}

impl Announcement {
    /// Returns whether this can follow `old` within the same incarnation. An endpoint
    /// moves only with a restart, so another address or service is another writer's, and
    /// so is a number that is far ahead.
    pub(crate) fn can_follow(&self, old: &Self) -> bool {
        self.seq > old.seq
            && self.seq - old.seq <= MAX_SEQ_STEP
            && self.address == old.address
            && self.service == old.service
    }
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new endpoint, or a new incarnation of one.
    Added,
    /// The endpoint takes no new work from now on.
    Leaving,
    /// A newer announcement of a known incarnation, which doesn't begin to leave.
    Renewed,
    /// Ignored: it is older than the latest announcement or contradicts it, its
    /// incarnation has left, or it is of a new endpoint while the number of endpoints is
    /// at its limit.
    Stale,
}

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer that reports success.
    Ok,
    /// An answer that reports a failure.
    Failed,
    /// The endpoint was full and did not run the request.
    Full,
    /// The address now belongs to another endpoint.
    Misdirected,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or the answer was malformed.
    Broken,
    /// The router closed the connection because the endpoint was silent.
    Silent,
    /// The caller disconnected, or the deadline passed.
    Cancelled,
}

/// A request in flight at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    pub(crate) no: RequestNo,
    pub(crate) started: Duration,
    /// Predicted time to process the uncached tokens of the prompt.
    pub(crate) prefill: Duration,
    /// Number of these tokens, if no other prompt was known to be ahead of this one.
    pub(crate) sample_tokens: Option<Tokens>,
    pub(crate) rank: usize,
    pub(crate) first_event_at: Option<Duration>,
}

/// Number of priority ranks. Higher priority levels count as the last rank.
/// Engines process the prompts of more urgent requests first, so less urgent
/// requests don't delay them.
pub const RANKS: usize = 3;

/// Returns the rank of a route's priority level.
pub(crate) fn rank(level: u8) -> usize {
    usize::from(level).min(RANKS - 1)
}

/// Load that one router puts on one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// Name of the engine.
    pub endpoint: EndpointId,
    /// Predicted time to process the prompts that wait there, by rank.
    pub backlog: [Duration; RANKS],
    /// Delay of first events beyond the prediction, by rank.
    pub delay: [Duration; RANKS],
    /// Number of requests that run or wait there.
    pub in_flight: u32,
}

/// A prompt that was sent to an engine, which then caches its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentPrompt {
    /// Name of the engine.
    pub endpoint: EndpointId,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
}

/// State of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    /// Latest announcement.
    pub(crate) announcement: Announcement,
    /// End of the time in which requests may return to the endpoint, if it is leaving.
    returns_until: Option<Duration>,
    /// When the endpoint sent its latest announcement.
    pub(crate) last_announced: Duration,
    /// Moving average of the time between announcements.
    announce_interval: Duration,
    /// Moving average of the age that an announcement reaches before the next one arrives.
    /// It has the time on the way, which may be as long as the interval.
    usual_age: Option<Duration>,
    /// When the endpoint's warm-up ends.
    pub(crate) warm_at: Duration,
    /// Whether the endpoint is cold, and this router's recent requests there.
    pub(crate) warmth: Warmth,
    /// Rank of this router among the designated routers of the endpoint.
    pub(crate) cold_rank: Option<usize>,
    /// Cause for which the endpoint was last reported as cold.
    pub(crate) reported_cold: Option<ColdCause>,
    /// This router's requests.
    pub(crate) in_flight: Vec<InFlight>,
    pub(crate) health: Health,
    /// What the endpoint's answers said about further requests.
    pub(crate) availability: Availability,
    pub(crate) cache: PartCache,
    /// Speed relative to the other engines of the service.
    pub(crate) speed: EngineSpeed,
    /// Moving average of the delay of first events beyond the prediction, in
    /// seconds, and the time of its last sample, by rank.
    delay: [(f64, Duration); RANKS],
    /// Time that the engine spends on the prompts of all known routers, in seconds,
    /// decayed since the time at which it was updated.
    prefill: (f64, Duration),
    /// Load of other routers.
    pub(crate) peer_load: PeerLoad,
}

/// Load that all other routers together put on one engine, at the time `updated_at`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerLoad {
    /// Predicted time to process the prompts that wait, in seconds, by rank.
    pub(crate) backlog: [f64; RANKS],
    /// Longest delay of first events that one of the routers measured, in seconds,
    /// by rank.
    pub(crate) delay: [f64; RANKS],
    pub(crate) in_flight: f64,
    pub(crate) updated_at: Duration,
}

impl PeerLoad {
    /// Adds `other` multiplied by `factor`. Delays are maxima rather than sums, and
    /// are left unchanged.
    pub(crate) fn add_scaled(&mut self, other: &Self, factor: f64) {
        for (own, more) in self.backlog.iter_mut().zip(other.backlog) {
            *own += more * factor;
        }
        self.in_flight += other.in_flight * factor;
    }
}

impl Endpoint {
    pub(crate) fn new(now: Duration, announcement: Announcement) -> Self {
        let sent_at = now.saturating_sub(announcement.age);
        let mut warmth = Warmth::default();
        warmth.announced(now, sent_at, announcement.warm_up, ANNOUNCE_INTERVAL);
        Self {
            last_announced: sent_at,
            announce_interval: ANNOUNCE_INTERVAL,
            warm_at: now + announcement.warm_up,
            warmth,
            cold_rank: None,
            reported_cold: None,
            announcement,
            usual_age: None,
            returns_until: None,
            in_flight: Vec::new(),
            health: Health::default(),
            availability: Availability::default(),
            cache: PartCache::default(),
            speed: EngineSpeed::default(),
            delay: [(0.0, now); RANKS],
            prefill: (0.0, now),
            peer_load: PeerLoad::default(),
        }
    }

    /// Creates the state of a later incarnation of an endpoint. It may start at any moment,
    /// so what is known of cold endpoints stays.
    pub(crate) fn restarted(&self, now: Duration, announcement: Announcement) -> Self {
        let mut ep = Self::new(now, announcement);
        ep.announce_interval = self.announce_interval;
        ep.cold_rank = self.cold_rank;
        ep.reported_cold = self.reported_cold;
        ep.warmth.clone_from(&self.warmth);
        ep.record_warmth(now);
        ep
    }

    /// Replaces the announcement by a later one of the same incarnation.
    pub(crate) fn renew(&mut self, now: Duration, announcement: Announcement) {
        let sent_at = now.saturating_sub(announcement.age);
        // A pause counts as two intervals at most, as an outage shows nothing.
        let gap = sent_at.saturating_sub(self.last_announced);
        let gap = gap.min(self.announce_interval * 2);
        let mean = self.announce_interval.mul_f64(1.0 - ANNOUNCE_WEIGHT);
        self.announce_interval = (mean + gap.mul_f64(ANNOUNCE_WEIGHT))
            .clamp(MIN_ANNOUNCE_INTERVAL, MAX_ANNOUNCE_INTERVAL);
        let age = now.saturating_sub(self.last_announced);
        self.usual_age = Some(match self.usual_age {
            Some(mean) => {
                mean.mul_f64(1.0 - ANNOUNCED_AGE_WEIGHT) + age.mul_f64(ANNOUNCED_AGE_WEIGHT)
            }
            None => age,
        });
        self.last_announced = self.last_announced.max(sent_at);
        self.warm_at = now + announcement.warm_up;
        self.announcement = announcement;
        self.record_warmth(now);
    }

    fn record_warmth(&mut self, now: Duration) {
        let sent_at = now.saturating_sub(self.announcement.age);
        let cold_left = self.announcement.warm_up;
        self.warmth
            .announced(now, sent_at, cold_left, self.announce_interval);
    }

    /// Returns the usual time between announcements.
    pub(crate) fn announce_interval(&self) -> Duration {
        self.announce_interval
    }

    /// Whether an announcement is overdue by the usual age, or after `timeout` if that isn't
    /// known.
    pub(crate) fn is_overdue(&self, now: Duration, timeout: Duration) -> bool {
        let usual = self.usual_age.map(|age| age.saturating_mul(OVERDUE_FACTOR));
        now.saturating_sub(self.last_announced) > usual.unwrap_or(timeout).min(timeout)
    }

    /// Returns the predicted time, in seconds, before the engine starts on a new
    /// prompt of a rank: the larger of the backlog of all routers at this rank and
    /// above, and the delay measured there lately.
    pub(crate) fn predicted_wait(&self, now: Duration, rank: usize) -> f64 {
        let age = now.saturating_sub(self.peer_load.updated_at).as_secs_f64();
        let mut backlog = 0.0;
        let mut delay: f64 = 0.0;
        for r in 0..=rank {
            backlog += self.backlog(now, r) + (self.peer_load.backlog[r] - age).max(0.0);
            delay = delay
                .max(self.delay(now, r))
                .max(self.peer_load.delay[r] - age);
        }
        delay.max(backlog)
    }

    /// Whether the endpoint takes no new work for the rest of its incarnation.
    pub(crate) fn is_leaving(&self) -> bool {
        self.announcement.leaving || self.announcement.left || self.availability.is_leaving()
    }

    /// Records that the endpoint said at `at` that it leaves.
    pub(crate) fn record_leaving(&mut self, at: Duration) {
        self.limit_returns(at + LEAVING_GRACE);
    }

    /// Records that no request may return to the endpoint from `until` on.
    pub(crate) fn limit_returns(&mut self, until: Duration) {
        self.returns_until = Some(self.returns_until.map_or(until, |u| u.min(until)));
    }

    /// Whether the endpoint takes a request that it has had before. One that has just
    /// begun to leave still does.
    pub(crate) fn takes_return(&self, now: Duration) -> bool {
        !self.is_leaving() || self.returns_until.is_some_and(|until| now < until)
    }

    /// Returns the requests of all routers in flight, as a share of the slots.
    pub(crate) fn utilization(&self) -> f64 {
        self.total_in_flight() / f64::from(self.announcement.slots.max(1))
    }

    /// Returns the delay of first events of a rank beyond the prediction, in
    /// seconds: the larger of the measured delay, which decays without new samples,
    /// and the lateness of any request that still waits.
    pub(crate) fn delay(&self, now: Duration, rank: usize) -> f64 {
        let overdue = self.awaiting_first_event(rank).map(|r| {
            let elapsed = now.saturating_sub(r.started);
            elapsed.saturating_sub(r.prefill).as_secs_f64()
        });
        overdue.fold(self.decayed_delay(now, rank), f64::max)
    }

    /// Returns the share of the time that the engine spends on prompts.
    pub(crate) fn prefill_share(&self, now: Duration) -> f64 {
        self.decayed_prefill(now) * std::f64::consts::LN_2 / PREFILL_HALF_LIFE_S
    }

    fn decayed_prefill(&self, now: Duration) -> f64 {
        let (prefill, updated_at) = self.prefill;
        let age = now.saturating_sub(updated_at).as_secs_f64();
        prefill * 0.5_f64.powf(age / PREFILL_HALF_LIFE_S)
    }

    /// Records a prompt that takes the engine some time, in seconds.
    pub(crate) fn record_prefill(&mut self, now: Duration, prefill: f64) {
        self.prefill = (self.decayed_prefill(now) + prefill, now);
    }

    /// Returns the requests of all routers in flight.
    pub(crate) fn total_in_flight(&self) -> f64 {
        self.in_flight.len() as f64 + self.peer_load.in_flight
    }

    fn decayed_delay(&self, now: Duration, rank: usize) -> f64 {
        let (delay, sampled_at) = self.delay[rank];
        let age = now.saturating_sub(sampled_at).as_secs_f64();
        delay * 0.5_f64.powf(age / DELAY_HALF_LIFE_S)
    }

    /// Adds a sample, in seconds, to the measured delay of first events of a rank.
    pub(crate) fn record_delay(&mut self, now: Duration, rank: usize, delay: f64) {
        let old = self.decayed_delay(now, rank);
        self.delay[rank] = (old + (delay.max(0.0) - old) * DELAY_WEIGHT, now);
    }

    /// Returns the predicted remaining time, in seconds, to process this router's
    /// prompts of a rank that have brought no event yet.
    pub(crate) fn backlog(&self, now: Duration, rank: usize) -> f64 {
        self.awaiting_first_event(rank)
            .map(|r| {
                let elapsed = now.saturating_sub(r.started);
                r.prefill.saturating_sub(elapsed).as_secs_f64()
            })
            .sum()
    }

    /// Whether a prompt of any known router waits for its first event.
    pub(crate) fn has_waiting(&self, now: Duration) -> bool {
        let age = now.saturating_sub(self.peer_load.updated_at).as_secs_f64();
        let of_peers = self.peer_load.backlog.iter().any(|b| *b > age);
        of_peers || (0..RANKS).any(|rank| self.awaiting_first_event(rank).next().is_some())
    }

    fn awaiting_first_event(&self, rank: usize) -> impl Iterator<Item = &InFlight> {
        let waits = move |r: &&InFlight| r.rank == rank && r.first_event_at.is_none();
        self.in_flight.iter().filter(waits)
    }
}
