//! Life cycle of a request in the simulation: the work that the gateway does
//! around the decision code.

use std::time::Duration;

use anvilloft_admission::AdmissionRequest;
use anvilloft_admission::Capacity;
use anvilloft_admission::Decision;
use anvilloft_routing::Failure;
use anvilloft_routing::NoRoute;
use anvilloft_routing::Outcome;
use anvilloft_routing::suspect::PendingStrike;
use anvilloft_routing::suspect::Permission;
use anvilloft_types::Fingerprint;
use anvilloft_types::Incarnation;

use super::permits::Permit;
use super::simulation::Attempt;
use super::simulation::COMMIT_DELAY;
use super::simulation::Event;
use super::simulation::ONE_WAY_DELAY;
use super::simulation::Resend;
use super::simulation::Simulation;
use super::stats;
use super::workload::RANKS;

/// Maximum number of attempts of one request, including the first.
const MAX_ATTEMPTS: u32 = 4;
/// Interval at which a suspect requests its permit again.
const PERMIT_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time that a suspect waits for a permit. A request waits up to twice
/// as long for an endpoint.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(30);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    Served,
    Refused,
    Failed,
    /// The stream broke after its first byte.
    StreamBroken,
    Quarantined,
}

impl Simulation {
    pub(super) fn update_capacity(&mut self, r: usize) {
        let req = anvilloft_routing::RouteRequest {
            model: super::engine::MODEL,
            ..Default::default()
        };
        let router = &mut self.routers[r];
        let capacity = router.selector.capacity(self.now, &req);
        router.admission.set_capacity(
            self.now,
            Capacity {
                urgent_slots: capacity.max_in_flight,
                ..Capacity::slots(capacity.slots)
            },
        );
    }

    pub(super) fn handle_arrival(&mut self, request: usize) {
        let req = &self.requests[request];
        let (a, r) = (req.arrival, req.router);
        if !req.resent && a.arrives_at >= self.warm_up {
            self.stats.requests_of(a.team, a.rank).offered += 1;
            self.stats.offered_tokens += f64::from(a.prompt_tokens + a.output_tokens);
        }
        if self.routers[r].quarantined.contains(&a.fingerprint) {
            self.finish_request(request, RequestEnd::Quarantined);
            return;
        }
        let admission_request = AdmissionRequest {
            id: request as u64,
            team: format!("team{:02}", a.team),
            weight: 1,
            rank: RANKS[a.rank].to_owned(),
            tokens: u64::from(a.estimate),
            max_wait: None,
            urgent_share_percent: None,
        };
        match self.routers[r]
            .admission
            .enqueue(self.now, admission_request)
        {
            Ok(()) => self.process_decisions(r),
            Err(_) => self.finish_request(request, RequestEnd::Refused),
        }
    }

    /// Routes pending requests and carries out the admission decisions that are
    /// due at a router.
    pub(super) fn process_decisions(&mut self, r: usize) {
        self.update_capacity(r);
        for request in std::mem::take(&mut self.routers[r].pending) {
            if !self.try_route(request) {
                self.routers[r].pending.push_back(request);
            }
        }
        for decision in self.routers[r].admission.poll(self.now) {
            match decision {
                Decision::Start { id, level, .. } => {
                    let request = id as usize;
                    self.requests[request].admitted = true;
                    self.requests[request].level = level;
                    self.route(request);
                }
                Decision::Refuse { id, .. } => {
                    self.finish_request(id as usize, RequestEnd::Refused)
                }
            }
        }
    }

    pub(super) fn route(&mut self, request: usize) {
        if !self.requests[request].ended && !self.try_route(request) {
            let r = self.requests[request].router;
            self.routers[r].pending.push_back(request);
        }
    }

    /// Sends the request to an endpoint or ends it. Returns `false` when it must
    /// be tried again later.
    fn try_route(&mut self, request: usize) -> bool {
        if self.requests[request].ended {
            return true;
        }
        let r = self.requests[request].router;
        let req = &self.requests[request];
        let mut route_request = Self::route_request(req, &req.tried_endpoints);
        let suspects = &self.routers[r].suspects;
        let permit = suspects.check(&route_request.fingerprint) == Permission::PermitRequired;
        route_request.suspect = permit;
        let choice = match self.routers[r].selector.choose(self.now, &route_request) {
            Ok(choice) => choice,
            Err(NoRoute::Excluded) => {
                self.requests[request].tried_endpoints.clear();
                return false;
            }
            Err(_) => {
                let waited = self
                    .now
                    .saturating_sub(self.requests[request].arrival.arrives_at);
                if waited > MAX_PERMIT_WAIT * 2 {
                    self.finish_request(request, RequestEnd::Failed);
                    return true;
                }
                return false;
            }
        };
        let endpoint = self
            .engines
            .binary_search_by(|e| e.id.cmp(&choice.endpoint))
            .unwrap_or(0);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            router: r,
            endpoint,
            incarnation: choice.incarnation,
            is_open: true,
            permit,
            sent_at: self.now,
            started_at: None,
            first_byte_at: None,
            gap: Duration::ZERO,
        });
        let tokens = u64::from(self.requests[request].arrival.estimate);
        let router = &mut self.routers[r];
        router
            .selector
            .started(self.now, &choice.endpoint, attempt as u128, tokens);
        if permit {
            // A suspect may wait long for its permit, so its admission slot is
            // released.
            if self.requests[request].admitted {
                self.requests[request].admitted = false;
                router.admission.finish(self.now, request as u64, 0);
            }
            self.schedule_after(ONE_WAY_DELAY, Event::PermitRequested(attempt));
        } else {
            self.send_attempt(attempt);
        }
        true
    }

    fn send_attempt(&mut self, attempt: usize) {
        let a = &mut self.attempts[attempt];
        a.sent_at = self.now;
        let (r, request, endpoint, incarnation) = (a.router, a.request, a.endpoint, a.incarnation);
        self.requests[request].attempt_count += 1;
        let f = fingerprint(self.requests[request].arrival.fingerprint);
        let id = &self.engines[endpoint].id;
        self.routers[r]
            .suspects
            .started(id, incarnation, attempt as u128, f);
        self.schedule_after(ONE_WAY_DELAY, Event::AttemptArrived(attempt));
        self.schedule_first_byte_timeout(attempt);
    }

    pub(super) fn request_permit(&mut self, attempt: usize) {
        let a = &self.attempts[attempt];
        let f = self.requests[a.request].arrival.fingerprint;
        let reply = self.ledger.acquire_permit(f, a.endpoint);
        self.schedule_after(
            COMMIT_DELAY + ONE_WAY_DELAY,
            Event::PermitReply(attempt, reply),
        );
    }

    pub(super) fn handle_permit_reply(&mut self, attempt: usize, reply: Permit) {
        let (r, request, endpoint) = {
            let a = &self.attempts[attempt];
            (a.router, a.request, a.endpoint)
        };
        if reply == Permit::Run {
            self.send_attempt(attempt);
            return;
        }
        self.attempts[attempt].is_open = false;
        let id = self.engines[endpoint].id.clone();
        self.routers[r]
            .selector
            .finished(self.now, &id, attempt as u128, Outcome::Cancelled);
        if reply == Permit::Quarantined {
            self.finish_request(request, RequestEnd::Quarantined);
        } else if self
            .now
            .saturating_sub(self.requests[request].arrival.arrives_at)
            > MAX_PERMIT_WAIT
        {
            self.finish_request(request, RequestEnd::Failed);
        } else {
            self.schedule_after(PERMIT_RETRY_INTERVAL, Event::Retry(request));
        }
    }

    pub(super) fn handle_first_byte(&mut self, attempt: usize) {
        let a = &mut self.attempts[attempt];
        // The endpoint may have died meanwhile.
        let runs = self.engines[a.endpoint]
            .running
            .iter()
            .any(|j| j.attempt == attempt as u128);
        if !a.is_open || !runs {
            return;
        }
        a.first_byte_at = Some(self.now);
        let (r, endpoint, request) = (a.router, a.endpoint, a.request);
        self.requests[request].first_byte_sent = true;
        let id = &self.engines[endpoint].id;
        self.routers[r]
            .selector
            .first_byte(self.now, id, attempt as u128);
    }

    pub(super) fn handle_completion(&mut self, attempt: usize) {
        if !self.attempts[attempt].is_open {
            return;
        }
        let a = &mut self.attempts[attempt];
        a.is_open = false;
        let (r, request, endpoint, incarnation) = (a.router, a.request, a.endpoint, a.incarnation);
        let (permit, gap, sent_at) = (a.permit, a.gap, a.sent_at);
        let first_token = a.first_byte_at.unwrap_or(self.now).saturating_sub(sent_at);
        let started_at = a.started_at.unwrap_or(self.now);
        let id = self.engines[endpoint].id.clone();
        let outcome = Outcome::Done { first_token, gap };
        let router = &mut self.routers[r];
        router
            .selector
            .finished(self.now, &id, attempt as u128, outcome);
        router.suspects.finished(&id, incarnation, attempt as u128);
        router.retries.record_success(self.now);
        if permit {
            self.schedule_after(ONE_WAY_DELAY, Event::PermitReleased(attempt, true));
        }
        let a = self.requests[request].arrival;
        if stats::in_measured_time(self.now, self.warm_up, self.end) {
            self.stats.tokens[a.rank] += f64::from(a.prompt_tokens + a.output_tokens);
        }
        if !self.requests[request].resent && a.arrives_at >= self.warm_up {
            // Without the network delays from caller to router and from router
            // to endpoint.
            let wait = started_at
                .saturating_sub(a.arrives_at + 2 * ONE_WAY_DELAY)
                .as_secs_f32();
            let engine_wait = started_at
                .saturating_sub(sent_at + ONE_WAY_DELAY)
                .as_secs_f32();
            self.stats.engine_waits[a.rank].push(engine_wait);
            self.stats.requests_of(a.team, a.rank).waits.push(wait);
            self.stats
                .first_token_times
                .push(wait + first_token.as_secs_f32());
            self.stats.gaps.push(gap.as_secs_f32());
        }
        self.finish_request(request, RequestEnd::Served);
        self.process_decisions(r);
    }

    pub(super) fn handle_failure(&mut self, attempt: usize, failure: Failure) {
        if !self.attempts[attempt].is_open {
            return;
        }
        let a = &mut self.attempts[attempt];
        a.is_open = false;
        let (r, request, endpoint, incarnation, permit) =
            (a.router, a.request, a.endpoint, a.incarnation, a.permit);
        let id = self.engines[endpoint].id.clone();
        let router = &mut self.routers[r];
        router
            .selector
            .finished(self.now, &id, attempt as u128, Outcome::Failed(failure));
        let must_probe =
            router
                .suspects
                .failed(self.now, &id, incarnation, attempt as u128, failure);
        if must_probe {
            self.schedule_after(2 * ONE_WAY_DELAY, Event::Probe(r, endpoint, incarnation));
        } else {
            if permit {
                self.schedule_after(ONE_WAY_DELAY, Event::PermitReleased(attempt, false));
            }
            self.retry(request, endpoint);
        }
        self.process_decisions(r);
    }

    /// Connects from a router to an endpoint whose connection broke, to find out
    /// whether it died.
    pub(super) fn probe_endpoint(&mut self, r: usize, endpoint: usize, incarnation: Incarnation) {
        let engine = &self.engines[endpoint];
        let suspects = &mut self.routers[r].suspects;
        if engine.alive && engine.incarnation == incarnation {
            return;
        }
        let _ = suspects.failed(
            self.now,
            &engine.id,
            incarnation,
            u128::MAX,
            Failure::Connect,
        );
        if suspects.is_dead(self.now, &engine.id, incarnation, false) {
            let strikes = suspects.endpoint_died(self.now, &engine.id, incarnation);
            self.routers[r].selector.remove(&engine.id);
            self.schedule_strikes(strikes);
        }
    }

    pub(super) fn schedule_strikes(&mut self, strikes: Vec<PendingStrike>) {
        for strike in strikes {
            self.schedule_after(
                ONE_WAY_DELAY + COMMIT_DELAY,
                Event::StrikeCommitted(strike.attempt as usize),
            );
        }
    }

    /// Handles a committed strike: sends the list of suspects to the routers and
    /// retries the request.
    pub(super) fn commit_strike(&mut self, attempt: usize) {
        let a = &self.attempts[attempt];
        let (request, endpoint, incarnation) = (a.request, a.endpoint, a.incarnation);
        let f = self.requests[request].arrival.fingerprint;
        self.ledger.strike(f, endpoint, incarnation);
        self.broadcast_suspects();
        if self.attempts[attempt].is_open {
            self.attempts[attempt].is_open = false;
            let (r, id) = (
                self.attempts[attempt].router,
                self.engines[endpoint].id.clone(),
            );
            let outcome = Outcome::Failed(Failure::Reset);
            self.routers[r]
                .selector
                .finished(self.now, &id, attempt as u128, outcome);
        }
        self.retry(request, endpoint);
    }

    pub(super) fn broadcast_suspects(&mut self) {
        for r in 0..self.routers.len() {
            let suspects = self.ledger.suspects();
            self.schedule_after(ONE_WAY_DELAY, Event::SuspectsReceived(r, suspects));
        }
    }

    pub(super) fn update_suspects(&mut self, r: usize, suspects: Vec<u64>) {
        let quarantined = self.ledger.quarantined();
        let router = &mut self.routers[r];
        router
            .suspects
            .set_struck(self.now, suspects.into_iter().map(fingerprint));
        router.quarantined = quarantined.into_iter().collect();
    }

    fn retry(&mut self, request: usize, endpoint: usize) {
        let req = &mut self.requests[request];
        if req.ended {
            return;
        }
        if req.arrival.stream && req.first_byte_sent {
            self.finish_request(request, RequestEnd::StreamBroken);
            return;
        }
        if req.attempt_count >= MAX_ATTEMPTS || !self.routers[req.router].retries.try_take(self.now)
        {
            self.finish_request(request, RequestEnd::Failed);
            return;
        }
        let id = self.engines[endpoint].id.clone();
        self.requests[request].tried_endpoints.push(id);
        self.route(request);
    }

    /// Ends a request and records its outcome.
    pub(super) fn finish_request(&mut self, request: usize, outcome: RequestEnd) {
        let req = &mut self.requests[request];
        if req.ended {
            return;
        }
        req.ended = true;
        self.open_requests -= 1;
        let (a, r, resent, copies_left) = (req.arrival, req.router, req.resent, req.copies_left);
        if req.admitted {
            req.admitted = false;
            let used = match outcome {
                RequestEnd::Served => u64::from(a.prompt_tokens + a.output_tokens),
                _ => 0,
            };
            self.routers[r]
                .admission
                .finish(self.now, request as u64, used);
        }
        if !resent && a.arrives_at >= self.warm_up && !a.poison {
            let counts = self.stats.requests_of(a.team, a.rank);
            match outcome {
                RequestEnd::Served => counts.served += 1,
                RequestEnd::Refused => counts.refused += 1,
                RequestEnd::Failed => counts.failed += 1,
                RequestEnd::StreamBroken => counts.broken_streams += 1,
                RequestEnd::Quarantined => counts.quarantined += 1,
            }
        }
        if a.poison {
            self.resend(request, resent, copies_left);
        }
    }

    /// Sends a crashing request again, as its caller would.
    fn resend(&mut self, request: usize, resent: bool, copies_left: u32) {
        let resend_at = self.now + 2 * ONE_WAY_DELAY;
        match self.cfg.resend {
            Resend::InTurn if !resent || copies_left > 0 => {
                let a = super::workload::Arrival {
                    arrives_at: resend_at,
                    ..self.requests[request].arrival
                };
                let router = (self.requests[request].router + 1) % self.routers.len();
                let copy = self.add_request(a, router, true);
                self.requests[copy].copies_left = if resent { copies_left - 1 } else { 19 };
            }
            Resend::AtOnce if !resent => self.send_copies(request, resend_at),
            _ => {}
        }
    }
}

/// Widens a fingerprint of the simulation to its full size.
fn fingerprint(f: u64) -> Fingerprint {
    let mut out = [0; 16];
    out[..8].copy_from_slice(&f.to_le_bytes());
    out
}
