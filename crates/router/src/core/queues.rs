//! Queues of models and services: capacity, admission requests and decisions.

use std::time::Duration;

use anvilloft_admission::AdmissionRequest;
use anvilloft_admission::Capacity;
use anvilloft_admission::Decision;
use anvilloft_admission::FairAdmission;
use anvilloft_admission::Policy;
use anvilloft_admission::Rank;
use anvilloft_admission::RefusalReason;
use anvilloft_gateway::Refusal;
use anvilloft_gateway::core_handle::Target;
use anvilloft_routing::RouteRequest;
use anvilloft_types::RequestNo;
use http::StatusCode;

use super::Core;
use super::Lane;
use super::LaneKey;
use super::requests::Req;
use super::requests::Stage;

impl Core {
    fn policy(&self) -> Policy {
        let mut policy = Policy {
            max_team_queue: self.queues.max_team_queue,
            max_total_queue: self.queues.max_total_queue,
            ..Policy::default()
        };
        let ranks: Vec<Rank> = self
            .config
            .ranks()
            .map(|r| Rank {
                name: r.name.clone(),
                level: r.level,
                weight: r.weight,
                floor_percent: r.floor_percent,
                max_wait: Duration::from_millis(u64::from(r.queue_ms)),
            })
            .collect();
        if !ranks.is_empty() {
            policy.ranks = ranks;
        }
        policy
    }

    /// Rebuilds the queues after the ranks changed.
    ///
    /// Running requests are carried over; otherwise, the new queues would fill
    /// the endpoints a second time.
    pub(crate) fn rebuild_lanes(&mut self, now: Duration) {
        let policy = self.policy();
        for lane in self.lanes.values_mut() {
            lane.admission = Box::new(FairAdmission::new(policy.clone()));
        }
        self.set_capacities(now);
        for req in self.requests.values().filter(|r| r.started) {
            let started_at = match &req.stage {
                Stage::Running(attempt) | Stage::CheckingEndpoint { attempt, .. } => {
                    attempt.started
                }
                Stage::Waiting | Stage::Permit => now,
            };
            let request = self.admission_request(req);
            if let Some(lane) = self.lanes.get_mut(&req.lane) {
                lane.admission
                    .restore_running(now, request, req.level, started_at);
            }
        }
        let waiting: Vec<RequestNo> = self
            .requests
            .iter_mut()
            .filter(|(_, r)| r.queued && !r.started)
            .map(|(no, r)| {
                r.queued = false;
                *no
            })
            .collect();
        for no in waiting {
            self.enqueue(now, no);
        }
    }

    pub(crate) fn route_request(req: &Req, suspect: bool) -> RouteRequest<'_> {
        let mut route = RouteRequest {
            level: req.level,
            fingerprint: req.admit.fingerprint,
            suspect,
            exclude: &req.tried,
            ..RouteRequest::default()
        };
        match &req.admit.target {
            Target::Model {
                name,
                version,
                prefix_hash,
                max_prompt_tokens,
                ..
            } => {
                route.model = name;
                route.version = version;
                route.prefix = Some(*prefix_hash);
                // The bound is in bytes; about four bytes make a token.
                route.prompt_tokens = max_prompt_tokens / 4;
            }
            Target::Service(name) => route.service = name,
        }
        route
    }

    fn capacity_of(&self, now: Duration, lane: &LaneKey) -> Capacity {
        let (model, service) = match lane {
            LaneKey::Model(name) => (name.as_str(), ""),
            LaneKey::Service(name) => ("", name.as_str()),
        };
        let route = RouteRequest {
            model,
            service,
            ..RouteRequest::default()
        };
        let capacity = self.selector.capacity(now, &route);
        if capacity.slots > 0 {
            return Capacity {
                urgent_slots: capacity.max_in_flight.max(capacity.slots),
                ..Capacity::slots(capacity.slots)
            };
        }
        // The selector leaves out endpoints that failed recently, and those of
        // which this router has no share of the slots. When there is no other,
        // one request at each is better than refusing all.
        let last_resort = self
            .endpoints
            .iter()
            .filter(|e| e.is_usable(now))
            .filter(|e| match lane {
                LaneKey::Model(name) => e.update.models.iter().any(|m| m.name == *name),
                LaneKey::Service(name) => e.update.service && e.update.pool == *name,
            })
            .count();
        Capacity::slots(last_resort as u32)
    }

    pub(crate) fn set_capacities(&mut self, now: Duration) {
        let keys: Vec<LaneKey> = self.lanes.keys().cloned().collect();
        for key in keys {
            let capacity = self.capacity_of(now, &key);
            if let Some(lane) = self.lanes.get_mut(&key) {
                lane.admission.set_capacity(now, capacity);
            }
        }
    }

    fn admission_request(&self, req: &Req) -> AdmissionRequest {
        let team = self.config.team(&req.admit.team);
        let urgent = self.config.value("urgent_share_percent", &req.admit.team);
        AdmissionRequest {
            id: req.admit.no,
            team: req.admit.team.clone(),
            weight: team.map_or(1, |t| t.weight),
            rank: req.admit.rank.clone(),
            tokens: req.admit.amount.max(1),
            max_wait: None,
            urgent_share_percent: u32::try_from(urgent).ok().filter(|u| *u > 0),
        }
    }

    /// Puts a request that needs no further tokens into its queue.
    pub(crate) fn enqueue(&mut self, now: Duration, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else {
            return;
        };
        req.queued = true;
        let key = req.lane.clone();
        let Some(request) = self
            .requests
            .get(&no)
            .map(|req| self.admission_request(req))
        else {
            return;
        };
        if !self.lanes.contains_key(&key) {
            let mut lane = Lane {
                admission: Box::new(FairAdmission::new(self.policy())),
                parked: Vec::new(),
            };
            lane.admission
                .set_capacity(now, self.capacity_of(now, &key));
            self.lanes.insert(key.clone(), lane);
        }
        let Some(lane) = self.lanes.get_mut(&key) else {
            return;
        };
        self.lanes_dirty = true;
        if let Err(refusal) = lane.admission.enqueue(now, request) {
            self.refuse_admission(now, no, refusal);
        }
    }

    fn refuse_admission(
        &mut self,
        now: Duration,
        no: RequestNo,
        refusal: anvilloft_admission::Refusal,
    ) {
        if let Some(req) = self.requests.get_mut(&no) {
            req.queued = false;
        }
        let code = match refusal.reason {
            RefusalReason::NoCapacity => "no_endpoint",
            RefusalReason::TeamQueueFull | RefusalReason::QueueFull => "queue_full",
            RefusalReason::WaitTooLong => "wait_too_long",
            RefusalReason::DeadlinePassed => "deadline_passed",
            RefusalReason::DuplicateId => "duplicate",
        };
        let status = if refusal.reason == RefusalReason::NoCapacity {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::TOO_MANY_REQUESTS
        };
        let refusal = Refusal::new(status, code, refusal.reason.to_string())
            .retry_after(refusal.retry_after.max(Duration::from_millis(1)));
        self.refuse(now, no, refusal);
    }

    pub(crate) fn poll_lanes(&mut self, now: Duration) {
        if now >= self.lease_until && self.requests.values().any(|r| r.reply.is_some()) {
            self.refuse_waiting(now);
        }
        let keys: Vec<LaneKey> = self.lanes.keys().cloned().collect();
        for key in keys {
            let Some(lane) = self.lanes.get_mut(&key) else {
                continue;
            };
            let parked = std::mem::take(&mut lane.parked);
            for no in parked {
                self.route(now, no);
            }
            let Some(lane) = self.lanes.get_mut(&key) else {
                continue;
            };
            for decision in lane.admission.poll(now) {
                match decision {
                    Decision::Start { id, level, .. } => {
                        if let Some(req) = self.requests.get_mut(&id) {
                            req.started = true;
                            req.level = level;
                        }
                        self.route(now, id);
                    }
                    Decision::Refuse { id, refusal } => self.refuse_admission(now, id, refusal),
                }
            }
        }
    }

    /// Refuses waiting requests after the lease expired; requests in flight
    /// continue.
    fn refuse_waiting(&mut self, now: Duration) {
        let waiting: Vec<(RequestNo, String)> = self
            .requests
            .iter()
            .filter(|(_, r)| matches!(r.stage, Stage::Waiting) && r.tried.is_empty())
            .map(|(no, r)| (*no, r.admit.team.clone()))
            .collect();
        for (no, team) in waiting {
            if let Err(refusal) = self.check_lease(now, &team) {
                self.refuse(now, no, refusal);
            }
        }
    }
}
