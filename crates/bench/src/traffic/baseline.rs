//! Baseline policies that the production code is compared with.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use anvilloft_admission::Admission;
use anvilloft_admission::AdmissionRequest;
use anvilloft_admission::Capacity;
use anvilloft_admission::Decision;
use anvilloft_admission::Refusal;
use anvilloft_admission::RefusalReason;
use anvilloft_routing::Choice;
use anvilloft_routing::EndpointState;
use anvilloft_routing::NoRoute;
use anvilloft_routing::Outcome;
use anvilloft_routing::RouteRequest;
use anvilloft_routing::RouterCapacity;
use anvilloft_routing::Selector;
use anvilloft_types::availability::EndpointNotice;
use anvilloft_types::prelude::*;
use rand::Rng;
use rand::rngs::SmallRng;

/// First-come-first-served admission without ranks or teams.
pub(crate) struct Fifo {
    queue: VecDeque<(RequestNo, Duration)>,
    running: HashSet<RequestNo>,
    cap: Capacity,
}

impl Fifo {
    /// Maximum queue length, the same as in the production admission.
    const MAX_QUEUED: usize = 8192;
    /// Maximum wait, the same as for the lowest rank.
    const MAX_WAIT: Duration = Duration::from_secs(30);

    pub(crate) fn new() -> Self {
        Self {
            queue: VecDeque::new(),
            running: HashSet::new(),
            cap: Capacity::slots(0),
        }
    }
}

impl Admission for Fifo {
    fn enqueue(&mut self, now: Duration, req: AdmissionRequest) -> Result<(), Refusal> {
        if self.queue.len() >= Self::MAX_QUEUED {
            return Err(Refusal {
                reason: RefusalReason::QueueFull,
                retry_after: Duration::from_secs(1),
            });
        }
        self.queue.push_back((req.id, now));
        Ok(())
    }

    fn restore_running(
        &mut self,
        _now: Duration,
        req: AdmissionRequest,
        _level: u32,
        _since: Duration,
    ) {
        self.running.insert(req.id);
    }

    fn cancel(&mut self, _now: Duration, id: RequestNo) {
        self.queue.retain(|(q, _)| *q != id);
    }

    fn finish(&mut self, _now: Duration, id: RequestNo, _used: Tokens) {
        self.running.remove(&id);
    }

    fn set_capacity(&mut self, _now: Duration, cap: Capacity) {
        self.cap = cap;
    }

    fn poll(&mut self, now: Duration) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(&(id, since)) = self.queue.front() {
            let waited = now.saturating_sub(since);
            if waited > Self::MAX_WAIT {
                self.queue.pop_front();
                let refusal = Refusal {
                    reason: RefusalReason::DeadlinePassed,
                    retry_after: Duration::from_secs(1),
                };
                decisions.push(Decision::Refuse { id, refusal });
                continue;
            }
            if self.running.len() >= self.cap.slots as usize {
                break;
            }
            self.queue.pop_front();
            self.running.insert(id);
            decisions.push(Decision::Start {
                id,
                level: 0,
                waited,
            });
        }
        decisions
    }

    fn next_timeout(&self) -> Option<Duration> {
        self.queue.front().map(|(_, at)| *at + Self::MAX_WAIT)
    }

    fn counts(&self) -> (usize, usize) {
        (self.queue.len(), self.running.len())
    }
}

/// How a [`SimpleSelector`] chooses an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SelectionRule {
    Random,
    RoundRobin,
    /// Fewest running and waiting requests per slot in the last load report.
    LeastReportedLoad,
}

/// Selector without predictions, shares or failure scores.
pub(crate) struct SimpleSelector {
    rule: SelectionRule,
    rng: SmallRng,
    routers: u32,
    endpoints: Vec<EndpointState>,
    running: HashMap<AttemptId, ()>,
    next: usize,
}

impl SimpleSelector {
    pub(crate) fn new(rule: SelectionRule, rng: SmallRng) -> Self {
        Self {
            rule,
            rng,
            routers: 1,
            endpoints: Vec::new(),
            running: HashMap::new(),
            next: 0,
        }
    }
}

impl Selector for SimpleSelector {
    fn set_routers(&mut self, _own: &str, routers: &[RouterId]) {
        self.routers = routers.len().max(1) as u32;
    }

    fn update(&mut self, _now: Duration, ep: &EndpointState) {
        match self.endpoints.binary_search_by(|e| e.id.cmp(&ep.id)) {
            Ok(at) => self.endpoints[at] = ep.clone(),
            Err(at) => self.endpoints.insert(at, ep.clone()),
        }
    }

    fn remove(&mut self, ep: &str) {
        self.endpoints.retain(|e| e.id != ep);
    }

    fn apply_notice(
        &mut self,
        _now: Duration,
        _ep: &str,
        _incarnation: Incarnation,
        _notice: EndpointNotice,
    ) -> bool {
        false
    }

    fn choose(&mut self, now: Duration, req: &RouteRequest<'_>) -> Result<Choice, NoRoute> {
        let live: Vec<&EndpointState> = self
            .endpoints
            .iter()
            .filter(|e| e.lease_expires > now && !req.exclude.contains(&e.id))
            .collect();
        if live.is_empty() {
            return Err(NoRoute::NoEndpoint);
        }
        let at = match self.rule {
            SelectionRule::Random => self.rng.random_range(0..live.len()),
            SelectionRule::RoundRobin => {
                self.next += 1;
                self.next % live.len()
            }
            SelectionRule::LeastReportedLoad => {
                let load = |e: &EndpointState| {
                    let l = e.load.unwrap_or_default();
                    f64::from(l.running + l.waiting) / f64::from(e.slots.max(1))
                };
                (0..live.len())
                    .min_by(|a, b| load(live[*a]).total_cmp(&load(live[*b])))
                    .unwrap_or(0)
            }
        };
        Ok(Choice {
            endpoint: live[at].id.clone(),
            incarnation: live[at].incarnation,
            candidates: live.len(),
            first_token: Duration::ZERO,
            gap: Duration::ZERO,
            reason: anvilloft_routing::ChoiceReason::Score,
        })
    }

    fn started(&mut self, _now: Duration, _ep: &str, attempt: AttemptId, _tokens: Tokens) {
        self.running.insert(attempt, ());
    }

    fn first_byte(&mut self, _now: Duration, _ep: &str, _attempt: AttemptId) {}

    fn finished(&mut self, _now: Duration, _ep: &str, attempt: AttemptId, _outcome: Outcome) {
        self.running.remove(&attempt);
    }

    fn capacity(&self, now: Duration, _req: &RouteRequest<'_>) -> RouterCapacity {
        let live = self.endpoints.iter().filter(|e| e.lease_expires > now);
        let slots: u32 = live.map(|e| e.slots).sum();
        RouterCapacity {
            slots: slots.div_ceil(self.routers),
            max_in_flight: slots.div_ceil(self.routers),
            running: self.running.len() as u32,
            endpoints: self.endpoints.len() as u32,
        }
    }
}
