//! Cold endpoints: what the dispatcher learns of them, and which of them it may use.

use anvilloft_types::prelude::*;
use rand::Rng;

use super::Dispatcher;
use crate::cold::ColdCause;
use crate::cold::ColdDecision;
use crate::cold::ColdLimit;
use crate::cold::ColdView;
use crate::endpoint::Endpoint;

/// Time without a sign from control after which this router counts as cut off. Leases are
/// renewed every second.
const CUT_OFF_AFTER: Duration = Duration::from_secs(3);
/// Longest time between two signs from control in which an announcement can't have been
/// missed because of the link to control.
const MAX_CONTACT_GAP: Duration = Duration::from_millis(1_500);
/// Number of usual intervals without an announcement after which an endpoint may have
/// been gone, beside the time that an announcement may take on its way.
const SILENT_INTERVALS: u32 = 2;
/// Time that an announcement may wait for the next batch of a control member.
const BATCH_DELAY: Duration = Duration::from_millis(400);
/// Number of endpoints of a data centre whose connections fail within
/// [`OUTAGE_WINDOW`], while none there answers, after which the whole data centre may be
/// out. A router tries few endpoints during a short outage, but all of them return cold.
const OUTAGE_FAILURES: usize = 3;
/// Time in which these failures are counted.
const OUTAGE_WINDOW: Duration = Duration::from_secs(3);
/// How long an endpoint that was removed is remembered. When it returns, its first
/// announcement may be from before it was gone.
const REMOVED_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of removed endpoints that are remembered.
const MAX_REMOVED: usize = 4_096;

/// Contact of this router with control.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// Time of the last sign.
    heard_at: Duration,
    /// Begin of the contact without a gap.
    since: Duration,
}

/// What the dispatcher knows of cold endpoints, apart from each endpoint's own state.
#[derive(Debug, Default)]
pub(super) struct ColdState {
    // Sorted by service.
    limits: Vec<(ServiceName, ColdLimit)>,
    contact: Contact,
    // Endpoints that were removed, and when.
    removed: Vec<(EndpointId, Duration)>,
}

impl ColdState {
    fn limit(&self, service: &str) -> Option<ColdLimit> {
        let found = self
            .limits
            .binary_search_by(|(name, _)| name.as_str().cmp(service));
        Some(self.limits.get(found.ok()?)?.1)
    }

    fn heard(&mut self, now: Duration) {
        if now.saturating_sub(self.contact.heard_at) > MAX_CONTACT_GAP {
            self.contact.since = now;
        }
        self.contact.heard_at = self.contact.heard_at.max(now);
    }

    fn view(&self, now: Duration, ep: &Endpoint) -> Option<ColdView> {
        Some(ColdView {
            now,
            limit: self.limit(&ep.announcement.service)?,
            rank: ep.cold_rank,
            is_cut_off: now.saturating_sub(self.contact.heard_at) > CUT_OFF_AFTER,
        })
    }

    /// Whether the endpoint was announced by nobody for long, though this router was in
    /// contact with control. One that answers is not gone.
    fn is_silent(&self, ep: &Endpoint) -> bool {
        let answered_at = ep.health.last_answer.unwrap_or_default();
        let seen_at = ep.last_announced.max(answered_at);
        let from = seen_at.max(self.contact.since);
        let on_its_way = MAX_CONTACT_GAP + BATCH_DELAY;
        let limit = ep.announce_interval() * SILENT_INTERVALS + on_its_way;
        self.contact.heard_at.saturating_sub(from) > limit
    }
}

/// An endpoint that has become cold or warm, as this router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// Name.
    pub endpoint: EndpointId,
    /// Why it counts as cold; `None` if it is warm now.
    pub cause: Option<ColdCause>,
    /// Rank of this router among the designated routers of the endpoint.
    pub rank: Option<usize>,
}

impl Dispatcher {
    /// Sets what the cold endpoints of each service tolerate. Endpoints of other services
    /// are used without regard to being cold.
    pub fn set_cold_limits(&mut self, limits: impl IntoIterator<Item = (ServiceName, ColdLimit)>) {
        self.cold.limits = limits.into_iter().collect();
        self.cold.limits.sort_by(|a, b| a.0.cmp(&b.0));
    }

    /// Whether any service has a limit for cold endpoints.
    pub fn has_cold_limits(&self) -> bool {
        !self.cold.limits.is_empty()
    }

    /// Sets for which endpoints this router is designated. `rank` returns its rank among the
    /// designated routers of an endpoint.
    pub fn set_cold_ranks(&mut self, rank: impl Fn(&str) -> Option<usize>) {
        for ep in &mut self.endpoints {
            ep.cold_rank = match self.cold.limit(&ep.announcement.service) {
                Some(_) => rank(&ep.announcement.id),
                None => None,
            };
        }
    }

    /// Sets whether this router is designated for one endpoint, like
    /// [`set_cold_ranks`](Self::set_cold_ranks).
    pub fn set_cold_rank(&mut self, endpoint: &str, rank: impl FnOnce(&str) -> Option<usize>) {
        if let Ok(at) = self.position(endpoint)
            && let Some(ep) = self.endpoints.get_mut(at)
            && self.cold.limit(&ep.announcement.service).is_some()
        {
            ep.cold_rank = rank(endpoint);
        }
    }

    /// Records a sign that control can be reached.
    pub fn control_heard(&mut self, now: Duration) {
        self.cold.heard(now);
    }

    /// Records that an evacuation has ended. Endpoints there may have started again
    /// shortly before, so they count as cold until they announce otherwise.
    pub fn evacuation_ended(&mut self, now: Duration, data_centre: &str) {
        for at in 0..self.endpoints.len() {
            if self.endpoints[at].announcement.data_centre == data_centre {
                self.doubt(now, at, ColdCause::EvacuationEnded);
            }
        }
    }

    /// Records that a connection to an endpoint broke off before an answer was whole.
    pub fn connection_broke(&mut self, now: Duration, endpoint: &str, incarnation: Incarnation) {
        if self.get_incarnation(endpoint, incarnation).is_some()
            && let Ok(at) = self.position(endpoint)
        {
            self.doubt_failed(now, at);
        }
    }

    /// Marks an endpoint whose connection failed as possibly cold, and all endpoints of its
    /// data centre if that seems to be out.
    pub(super) fn doubt_failed(&mut self, now: Duration, at: usize) {
        if !self.has_cold_limits() {
            return;
        }
        self.doubt(now, at, ColdCause::Failed);
        let Some(data_centre) = self
            .endpoints
            .get(at)
            .map(|ep| &ep.announcement.data_centre)
        else {
            return;
        };
        let local: Vec<usize> = (0..self.endpoints.len())
            .filter(|at| self.endpoints[*at].announcement.data_centre == *data_centre)
            .collect();
        let failures = local.iter().filter_map(|at| {
            let failed_at = self.endpoints[*at].warmth.failed_at()?;
            (now.saturating_sub(failed_at) < OUTAGE_WINDOW).then_some(failed_at)
        });
        let failures: Vec<Duration> = failures.collect();
        let first = failures.iter().copied().min().unwrap_or(now);
        let has_answer = local.iter().any(|at| {
            let answered_at = self.endpoints[*at].health.last_answer;
            answered_at.is_some_and(|at| at > first)
        });
        if failures.len() < OUTAGE_FAILURES || has_answer {
            return;
        }
        for at in local {
            if !self.endpoints[at].warmth.is_doubted() {
                self.doubt(now, at, ColdCause::Outage);
            }
        }
    }

    pub(super) fn doubt(&mut self, now: Duration, at: usize, cause: ColdCause) {
        let Some(ep) = self.endpoints.get_mut(at) else {
            return;
        };
        if let Some(limit) = self.cold.limit(&ep.announcement.service) {
            let draw = self.rng.random_range(0.0..1.0);
            ep.warmth
                .doubted(now, cause, &limit, self.router_count, draw);
        }
    }

    /// Records an announcement before it is applied: the endpoint may have been gone since
    /// the last one.
    pub(super) fn before_announcement(&mut self, now: Duration, endpoint: &str) {
        self.cold.heard(now);
        if let Ok(at) = self.position(endpoint) {
            self.doubt_if_silent(now, at);
        }
    }

    fn doubt_if_silent(&mut self, now: Duration, at: usize) {
        let ep = &self.endpoints[at];
        if !ep.warmth.is_doubted() && self.cold.is_silent(ep) {
            self.doubt(now, at, ColdCause::Silent);
        }
    }

    /// Marks a new endpoint as possibly cold if it was removed a while ago.
    pub(super) fn doubt_if_removed(&mut self, now: Duration, endpoint: &str) {
        let count = self.cold.removed.len();
        self.cold.removed.retain(|(id, _)| id != endpoint);
        if self.cold.removed.len() < count
            && let Ok(at) = self.position(endpoint)
        {
            self.doubt(now, at, ColdCause::Silent);
        }
    }

    /// Marks endpoints that are silent as possibly cold, and remembers those that were
    /// removed.
    pub(super) fn expire_cold(&mut self, now: Duration, removed: &[EndpointId]) {
        if self.cold.limits.is_empty() {
            return;
        }
        let list = &mut self.cold.removed;
        list.retain(|(_, at)| now.saturating_sub(*at) < REMOVED_RETENTION);
        let room = MAX_REMOVED.saturating_sub(list.len());
        list.extend(removed.iter().take(room).map(|id| (id.clone(), now)));
        for at in 0..self.endpoints.len() {
            self.doubt_if_silent(now, at);
        }
    }

    /// Returns the endpoints that have become cold or warm since the last call, and the
    /// number of those that count as cold.
    pub fn take_cold_changes(&mut self, now: Duration) -> (Vec<ColdChange>, usize) {
        let (mut changes, mut count) = (Vec::new(), 0);
        for ep in &mut self.endpoints {
            let view = self.cold.view(now, ep);
            let view = view.filter(|_| !ep.is_leaving());
            let cause = view.and_then(|view| ep.warmth.cause(&view));
            count += usize::from(cause.is_some());
            if ep.reported_cold != cause {
                ep.reported_cold = cause;
                changes.push(ColdChange {
                    endpoint: ep.announcement.id.clone(),
                    cause,
                    rank: ep.cold_rank,
                });
            }
        }
        (changes, count)
    }

    /// Returns whether a request may be sent to an endpoint, as far as it is cold.
    pub(super) fn decide_cold(&self, now: Duration, ep: &Endpoint) -> ColdDecision {
        let view = self.cold.view(now, ep);
        view.map_or(ColdDecision::Warm, |view| ep.warmth.decide(&view))
    }

    /// Returns which of some endpoints a request may be sent to, as far as they are cold.
    ///
    /// # Errors
    ///
    /// The time until the first of them may be used, if none may be now.
    pub(super) fn filter_cold(
        &self,
        now: Duration,
        open: Vec<usize>,
    ) -> Result<Vec<usize>, Duration> {
        if self.cold.limits.is_empty() {
            return Ok(open);
        }
        let mut first_free: Option<Duration> = None;
        let mut usable = Vec::with_capacity(open.len());
        for at in open {
            match self.decide_cold(now, &self.endpoints[at]) {
                ColdDecision::Blocked(left) => {
                    first_free = Some(first_free.map_or(left, |first| first.min(left)));
                }
                _ => usable.push(at),
            }
        }
        match first_free {
            Some(left) if usable.is_empty() => Err(left),
            _ => Ok(usable),
        }
    }

    /// Takes a request to an endpoint from this router's share. Returns whether it may be
    /// sent, and whether the endpoint is cold. Requests are counted here rather than when
    /// they start, so that two that are chosen at the same time don't get the same share.
    pub(super) fn take_cold_share(&mut self, now: Duration, endpoint: &str) -> (bool, bool) {
        let Ok(at) = self.position(endpoint) else {
            return (false, false);
        };
        let ep = &mut self.endpoints[at];
        let Some(view) = self.cold.view(now, ep) else {
            return (true, false);
        };
        let decision = ep.warmth.decide(&view);
        if matches!(decision, ColdDecision::Blocked(_)) {
            return (false, true);
        }
        ep.warmth.record_sent(&view);
        (true, decision != ColdDecision::Warm)
    }
}
