//! Decides whether an endpoint counts as cold, and whether this router may send it another
//! request now.
//!
//! The load: up to all endpoints of a data centre return at once, cold and without
//! requests, in front of hundreds of routers, each of which would prefer them. A cold
//! endpoint crashes well above a few requests per second, from all routers together. So
//! only its designated routers send to it, each a part of the rate, and the parts of two
//! disjoint sets of routers fit into the bound, as routers may hold two versions of the
//! directory.
//!
//! An endpoint counts as cold while its announcement says so, and from any event after
//! which it may have become cold (a *doubt*) until its announcements show otherwise.

use std::collections::VecDeque;

use anvilloft_types::prelude::*;

/// Length of the sliding window of a router's share. Requests that it sends within a
/// window may arrive within one second, as network delays differ.
const WINDOW: Duration = Duration::from_millis(1_250);
/// Maximum number of routers that send to one cold endpoint. With more of them, more
/// callers' requests can reach it, but a new directory replaces more of its routers.
const MAX_ROUTERS: usize = 4;
/// Longest window of a share: one request per hour.
const MAX_WINDOW_S: f64 = 3_600.0;
/// Minimum range of the random delay before a router that is cut off from control, and not
/// designated, tries an endpoint again.
const MIN_PROBE_SPREAD: Duration = Duration::from_secs(10);
/// The same for each router of the directory, so that all of them together send at most one
/// such request per second on average.
const PROBE_SPREAD_PER_ROUTER: Duration = Duration::from_secs(1);
/// Shortest time that callers are told to wait.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// What the endpoints of a service tolerate while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// How long an endpoint is cold after it starts.
    pub start: Duration,
    /// Requests per second that a cold endpoint tolerates, above 0.
    pub per_s: f64,
}

/// Part of the rate of a cold endpoint that one router may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdShare {
    /// Number of requests in any window.
    pub count: usize,
    /// Length of the window.
    pub window: Duration,
}

impl ColdLimit {
    /// Returns the number of requests that all designated routers of one directory may send
    /// within a window. An endpoint tolerates `per_s * 1.5 + 5` requests in one second: two
    /// disjoint sets of routers fit into that, and two further requests of routers that are
    /// cut off from control.
    fn total(&self) -> f64 {
        self.per_s.min(self.per_s * 0.75 + 1.5).max(0.0)
    }

    /// Returns the share of the designated router of a rank; `None` if it has none.
    pub fn share(&self, rank: usize) -> Option<ColdShare> {
        let total = self.total();
        let whole = total as usize;
        let routers = whole.clamp(1, MAX_ROUTERS);
        if rank >= routers || total <= 0.0 {
            return None;
        }
        if whole == 0 {
            let window = (WINDOW.as_secs_f64() / total).min(MAX_WINDOW_S);
            return Some(ColdShare {
                count: 1,
                window: Duration::from_secs_f64(window),
            });
        }
        Some(ColdShare {
            count: whole / routers + usize::from(rank < whole % routers),
            window: WINDOW,
        })
    }
}

/// Why an endpoint counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// It announced it.
    Announced,
    /// A connection to it failed, or an answer broke off.
    Failed,
    /// Connections to several endpoints of its data centre failed.
    Outage,
    /// Its announcements stopped for a while.
    Silent,
    /// The evacuation of its data centre has ended.
    EvacuationEnded,
}

impl ColdCause {
    /// Returns the cause for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Announced => "announced",
            Self::Failed => "failed",
            Self::Outage => "outage",
            Self::Silent => "silent",
            Self::EvacuationEnded => "evacuation_ended",
        }
    }
}

/// What a router knows when it decides about an endpoint, apart from the endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdView {
    /// The present time.
    pub now: Duration,
    /// What the endpoints of the service tolerate.
    pub limit: ColdLimit,
    /// Rank of this router among the designated routers of the endpoint.
    pub rank: Option<usize>,
    /// Whether this router is cut off from control, so that no announcements arrive.
    pub is_cut_off: bool,
}

impl ColdView {
    fn share(&self) -> Option<ColdShare> {
        self.limit.share(self.rank?)
    }
}

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdDecision {
    /// The endpoint doesn't count as cold.
    Warm,
    /// It is cold, and this router has a free share.
    Share,
    /// It may be cold, and this router, which is cut off from control, may try it.
    Probe,
    /// No request may be sent before this time has passed.
    Blocked(Duration),
}

/// An event after which the endpoint may have become cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Doubt {
    since: Duration,
    cause: ColdCause,
    /// When the first announcement that was sent since then arrived.
    heard_at: Option<Duration>,
    /// End of the first successful answer to a request that was sent since then.
    first_success: Option<Duration>,
    /// When a router that is cut off and not designated may try the endpoint.
    probe_at: Duration,
}

/// What one router knows of how warm an endpoint is, and its own recent requests there.
#[derive(Clone, Debug, Default)]
pub struct Warmth {
    announced_until: Duration,
    doubt: Option<Doubt>,
    // In order of time; no more than the largest share.
    sent: VecDeque<Duration>,
}

impl Warmth {
    /// Records an announcement that was sent at `sent_at` and says that the endpoint stays
    /// cold for `cold_left` from then on. `interval` is the usual time between its
    /// announcements.
    ///
    /// An announcement from before the doubt may arrive late, as when the network of a data
    /// centre returns together with its endpoints. So the first one after a doubt doesn't
    /// end it, nor do those that arrive together with the first.
    pub fn announced(
        &mut self,
        now: Duration,
        sent_at: Duration,
        cold_left: Duration,
        interval: Duration,
    ) {
        self.announced_until = match cold_left.is_zero() {
            true => Duration::ZERO,
            false => sent_at.saturating_add(cold_left),
        };
        let Some(doubt) = self.doubt.as_mut().filter(|d| sent_at >= d.since) else {
            return;
        };
        match doubt.heard_at {
            None => doubt.heard_at = Some(now),
            Some(at) if now.saturating_sub(at) >= interval / 2 => self.doubt = None,
            Some(_) => {}
        }
    }

    /// Records an event after which the endpoint may have become cold. `draw` is uniform
    /// from 0 to 1, and `router_count` the number of routers in the directory.
    pub fn doubted(
        &mut self,
        now: Duration,
        cause: ColdCause,
        limit: &ColdLimit,
        router_count: usize,
        draw: f64,
    ) {
        let routers = u32::try_from(router_count).unwrap_or(u32::MAX);
        let spread = PROBE_SPREAD_PER_ROUTER
            .saturating_mul(routers)
            .max(MIN_PROBE_SPREAD);
        let delay = spread.mul_f64(draw.clamp(0.0, 1.0));
        self.doubt = Some(Doubt {
            since: now,
            cause,
            heard_at: None,
            first_success: None,
            probe_at: now.saturating_add(limit.start).saturating_add(delay),
        });
    }

    /// Whether there is a doubt that nothing has ended yet.
    pub fn is_doubted(&self) -> bool {
        self.doubt.is_some()
    }

    /// Returns when a connection to the endpoint failed last, if that is still in doubt.
    pub fn failed_at(&self) -> Option<Duration> {
        let doubt = self.doubt.filter(|d| d.cause == ColdCause::Failed)?;
        Some(doubt.since)
    }

    /// Records a successful answer to a request that was sent at `sent_at`.
    pub fn succeeded(&mut self, now: Duration, sent_at: Duration) {
        if let Some(doubt) = self.doubt.as_mut().filter(|d| sent_at >= d.since) {
            doubt.first_success.get_or_insert(now);
        }
    }

    /// Returns why the endpoint counts as cold, if it does.
    pub fn cause(&self, view: &ColdView) -> Option<ColdCause> {
        let warmed_up = |d: &Doubt| {
            view.is_cut_off
                && d.first_success
                    .is_some_and(|at| view.now >= at.saturating_add(view.limit.start))
        };
        let doubt = self.doubt.as_ref().filter(|d| !warmed_up(d));
        let announced = (view.now < self.announced_until).then_some(ColdCause::Announced);
        doubt.map(|d| d.cause).or(announced)
    }

    /// Decides whether this router may send the endpoint a request now.
    pub fn decide(&self, view: &ColdView) -> ColdDecision {
        if self.cause(view).is_none() {
            return ColdDecision::Warm;
        }
        let blocked_until = match (view.share(), &self.doubt) {
            (Some(share), _) => self.share_free_at(&share),
            (None, Some(doubt)) if view.is_cut_off => match doubt.first_success {
                Some(at) => Some(at.saturating_add(view.limit.start)),
                None if view.now >= doubt.probe_at => return ColdDecision::Probe,
                None => Some(doubt.probe_at),
            },
            // Announcements end the doubt; the endpoint may then be cold for its start time.
            (None, Some(doubt)) => Some(doubt.since.saturating_add(view.limit.start)),
            (None, None) => Some(self.announced_until),
        };
        match blocked_until {
            Some(at) if view.share().is_none() || at > view.now => {
                ColdDecision::Blocked(at.saturating_sub(view.now).max(MIN_WAIT))
            }
            _ => ColdDecision::Share,
        }
    }

    /// Returns when the next request of a share may be sent, if the window isn't empty
    /// enough at any time.
    fn share_free_at(&self, share: &ColdShare) -> Option<Duration> {
        let at = self.sent.len().checked_sub(share.count)?;
        self.sent
            .get(at)
            .map(|sent_at| sent_at.saturating_add(share.window))
    }

    /// Records that a request is sent to the endpoint. Those that are sent while it is warm
    /// count too, as it may become cold at once.
    pub fn record_sent(&mut self, view: &ColdView) {
        if self.decide(view) == ColdDecision::Probe
            && let Some(doubt) = &mut self.doubt
        {
            let delay = doubt.probe_at.saturating_sub(doubt.since);
            doubt.probe_at = view.now.saturating_add(delay);
        }
        let Some(share) = view.limit.share(0) else {
            return;
        };
        self.sent.push_back(view.now);
        while self.sent.len() > share.count {
            self.sent.pop_front();
        }
    }
}
