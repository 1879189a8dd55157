//! Lifecycle of a request: reservation, queue, endpoint selection, attempts, end.

use std::net::SocketAddr;
use std::time::Duration;

use anvilloft_budget::NeedId;
use anvilloft_budget::ReservationId;
use anvilloft_gateway::Refusal;
use anvilloft_gateway::core_handle::Admit;
use anvilloft_gateway::core_handle::AttemptEnd;
use anvilloft_gateway::core_handle::Target;
use anvilloft_gateway::core_handle::Ticket;
use anvilloft_routing::Choice;
use anvilloft_routing::Failure;
use anvilloft_routing::NoRoute;
use anvilloft_routing::Outcome as RouteOutcome;
use anvilloft_types::AttemptId;
use anvilloft_types::EndpointId;
use anvilloft_types::Incarnation;
use anvilloft_types::RequestNo;
use anvilloft_types::RunState;
use anvilloft_types::Tokens;
use anvilloft_types::availability::EndpointNotice;
use http::StatusCode;
use tokio::sync::oneshot;

use super::CancelledAttempt;
use super::Core;
use super::LaneKey;
use super::Phase;
use super::suspects::PermitEnd;

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: usize = 4;
/// Maximum number of cancelled attempts that are watched.
const MAX_CANCELLED_ATTEMPTS: usize = 4096;
/// `Retry-After` of refusals where no better estimate is known.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A failed attempt whose traffic thread waits for another ticket or a refusal.
pub(crate) struct FailedAttempt {
    pub(crate) retry: bool,
    pub(crate) run: RunState,
    pub(crate) used: Tokens,
    pub(crate) reply: oneshot::Sender<Result<Ticket, Refusal>>,
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) endpoint: EndpointId,
    pub(crate) incarnation: Incarnation,
    pub(crate) started: Duration,
    pub(crate) first_byte: Option<Duration>,
    /// Whether its silent endpoint was kept.
    pub(crate) is_kept: bool,
}

/// State of a request.
pub(crate) enum Stage {
    /// Waits for tokens, in the queue or for an endpoint.
    Waiting,
    /// Waits for the permit that a suspect request needs.
    Permit,
    /// An attempt is in flight.
    Running(Attempt),
    /// Waits until it is known whether the endpoint of its failed attempt died.
    CheckingEndpoint {
        failed: Option<FailedAttempt>,
        attempt: Attempt,
        failed_at: Duration,
    },
}

/// A request that this router accepted.
pub(crate) struct Req {
    pub(crate) admit: Admit,
    pub(crate) lane: LaneKey,
    pub(crate) stage: Stage,
    /// Receives the next ticket or refusal.
    pub(crate) reply: Option<oneshot::Sender<Result<Ticket, Refusal>>>,
    pub(crate) need: Option<NeedId>,
    pub(crate) reservation: Option<ReservationId>,
    /// Whether admission started it and must be notified of its end.
    pub(crate) started: bool,
    pub(crate) queued: bool,
    pub(crate) level: u32,
    pub(crate) accepted_at: Duration,
    pub(crate) tried: Vec<EndpointId>,
    /// Run state for the caller and tokens to settle when no further attempt is
    /// possible.
    pub(crate) last_failure: Option<(RunState, Tokens)>,
    pub(crate) has_permit: bool,
}

impl Core {
    pub(crate) fn on_admit(
        &mut self,
        now: Duration,
        admit: Admit,
        reply: oneshot::Sender<Result<Ticket, Refusal>>,
    ) {
        if let Err(refusal) = self.check_lease(now, &admit.team) {
            reply.send(Err(refusal)).ok();
            return;
        }
        let no = admit.no;
        let lane = match &admit.target {
            Target::Model { name, .. } => LaneKey::Model(name.clone()),
            Target::Service(name) => LaneKey::Service(name.clone()),
        };
        self.record_demand(&admit.team.clone(), admit.amount);
        if let LaneKey::Model(name) = &lane {
            self.placement.record_demand(name, admit.amount);
        }
        let (budget, amount) = (admit.budget.clone(), admit.amount);
        let team = admit.team.clone();
        let req = Req {
            admit,
            lane,
            stage: Stage::Waiting,
            reply: Some(reply),
            need: None,
            reservation: None,
            started: false,
            queued: false,
            level: 0,
            accepted_at: now,
            tried: Vec::new(),
            last_failure: None,
            has_permit: false,
        };
        self.requests.insert(no, req);
        if amount == 0 {
            self.enqueue(now, no);
            return;
        }
        match self.allotments.reserve(now, &budget, amount) {
            Ok(id) => {
                if let Some(req) = self.requests.get_mut(&no) {
                    req.reservation = Some(id);
                }
                self.enqueue(now, no);
            }
            Err(need) => {
                let need = need.need();
                if let Some(req) = self.requests.get_mut(&no) {
                    req.need = Some(need);
                }
                if let Err(refusal) = self.add_need(need, no, &team) {
                    self.refuse(now, no, refusal);
                }
            }
        }
    }

    /// Refuses new requests without a valid lease or once the drain no longer
    /// accepts any.
    pub(crate) fn check_lease(&self, now: Duration, team: &str) -> Result<(), Refusal> {
        let mut refusal = if self.current_phase() > Phase::Leaving {
            Refusal::unavailable("draining", "this router is stopping")
        } else if now < self.lease_until {
            return Ok(());
        } else {
            Refusal::unavailable(
                "no_lease",
                "this router has no valid configuration lease at present",
            )
            .retry_after(DEFAULT_RETRY_AFTER)
        };
        refusal.alternative_routers = self
            .routers
            .entry_routers(team, 3)
            .into_iter()
            .filter(|r| r.router != self.id.router)
            .map(|r| r.caller_address.clone())
            .collect();
        Err(refusal)
    }

    /// Chooses an endpoint for a started request.
    pub(crate) fn route(&mut self, now: Duration, no: RequestNo) {
        let Some(req) = self.requests.get(&no) else {
            return;
        };
        if req.reply.as_ref().is_none_or(oneshot::Sender::is_closed) {
            // The caller disconnected; its `Finish` follows.
            return;
        }
        let suspect = self.is_suspect(now, &req.admit.fingerprint);
        if suspect && self.permits.contains(&req.admit.fingerprint) {
            return self.park(now, no);
        }
        let route = Self::route_request(req, suspect);
        match self.selector.choose(now, &route) {
            Ok(choice) if suspect => self.request_permit(no, choice),
            Ok(choice) => self.assign(now, no, choice),
            Err(NoRoute::Full(_)) => self.park(now, no),
            Err(e) => {
                let (code, after) = match e {
                    NoRoute::Paused(left) => ("endpoints_paused", left),
                    _ => ("no_endpoint", DEFAULT_RETRY_AFTER),
                };
                let refusal = match req.last_failure {
                    Some((run, _)) => {
                        Refusal::bad_gateway("endpoint_failed", "the endpoint failed", run)
                    }
                    None => Refusal::unavailable(code, e.to_string()),
                };
                self.refuse(now, no, refusal.retry_after(after));
            }
        }
    }

    /// Keeps a started request until an endpoint has a free slot or the request can
    /// get its permit.
    pub(crate) fn park(&mut self, now: Duration, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else {
            return;
        };
        req.stage = Stage::Waiting;
        let max_wait_ms = self
            .config
            .rank(&req.admit.rank)
            .map_or(0, |r| u64::from(r.queue_ms));
        if now.saturating_sub(req.accepted_at) > Duration::from_millis(max_wait_ms) {
            let refusal = match req.last_failure {
                Some((run, _)) => {
                    Refusal::bad_gateway("endpoint_failed", "the endpoint failed", run)
                }
                None => Refusal::new(
                    StatusCode::TOO_MANY_REQUESTS,
                    "deadline_passed",
                    "the request exceeded the maximum wait of its rank",
                ),
            };
            return self.refuse(now, no, refusal.retry_after(DEFAULT_RETRY_AFTER));
        }
        let key = req.lane.clone();
        if let Some(lane) = self.lanes.get_mut(&key) {
            lane.parked.push(no);
        }
    }

    /// Starts an attempt: sends its ticket to the traffic thread.
    pub(crate) fn assign(&mut self, now: Duration, no: RequestNo, choice: Choice) {
        let address = self
            .endpoints
            .get(&choice.endpoint)
            .filter(|e| e.is_usable(now) && e.update.incarnation == choice.incarnation)
            .and_then(|e| e.update.address.parse::<SocketAddr>().ok());
        let Some(address) = address else {
            self.selector.remove(&choice.endpoint);
            return self.park(now, no);
        };
        let Some(req) = self.requests.get_mut(&no) else {
            return;
        };
        let id = match req.admit.attempt.take() {
            Some(id) => id,
            None => rand::random(),
        };
        let attempt = Attempt {
            id,
            endpoint: choice.endpoint.clone(),
            incarnation: choice.incarnation,
            started: now,
            first_byte: None,
            is_kept: false,
        };
        anvilloft_telemetry::decision!(self.log, "route";
            "request" => &req.admit.request_id, "team" => &req.admit.team,
            "rank" => &req.admit.rank, "endpoint" => &choice.endpoint,
            "candidates" => choice.candidates, "reason" => ?choice.reason,
            "attempt" => req.tried.len() + 1);
        req.tried.push(choice.endpoint.clone());
        req.stage = Stage::Running(attempt);
        let ticket = Ticket {
            no,
            endpoint: choice.endpoint.clone(),
            address,
            attempt: id,
            priority: req.level,
        };
        let (amount, fingerprint) = (req.admit.amount, req.admit.fingerprint);
        self.selector.started(now, &choice.endpoint, id, amount);
        self.suspects
            .started(&choice.endpoint, choice.incarnation, id, fingerprint);
        if let Some(reply) = req.reply.take() {
            // If the caller disconnected, `Finish` ends the attempt.
            reply.send(Ok(ticket)).ok();
        }
    }

    /// Returns whether a request stays at its silent endpoint: the endpoint is announced,
    /// and no other one can take the request.
    pub(crate) fn keeps_endpoint(&mut self, now: Duration, no: RequestNo, may_move: bool) -> bool {
        let Some(req) = self.requests.get(&no) else {
            return false;
        };
        let Stage::Running(attempt) = &req.stage else {
            return false;
        };
        let is_announced = self
            .endpoints
            .get(&attempt.endpoint)
            .is_some_and(|e| e.update.incarnation == attempt.incarnation && now < e.expires);
        let keeps = is_announced && !(may_move && self.can_move(now, no));
        if let Some(req) = self.requests.get_mut(&no)
            && let Stage::Running(attempt) = &mut req.stage
            && keeps
            && !std::mem::replace(&mut attempt.is_kept, true)
        {
            let reason = match may_move {
                true => "none_usable",
                false => "not_movable",
            };
            slog::info!(self.log, "endpoint silent"; "request" => &req.admit.request_id,
                "endpoint" => &attempt.endpoint, "reason" => reason);
        }
        keeps
    }

    /// Returns whether another endpoint can take a request now.
    fn can_move(&mut self, now: Duration, no: RequestNo) -> bool {
        let Some(req) = self.requests.get(&no) else {
            return false;
        };
        if self.is_suspect(now, &req.admit.fingerprint) {
            // It holds a permit that others wait for.
            return true;
        }
        req.tried.len() < MAX_ATTEMPTS
            && self.retry.is_available(now)
            && self
                .selector
                .choose(now, &Self::route_request(req, false))
                .is_ok()
    }

    pub(crate) fn on_first_byte(&mut self, now: Duration, no: RequestNo, _waited: Duration) {
        if let Some(req) = self.requests.get_mut(&no)
            && let Stage::Running(attempt) = &mut req.stage
        {
            attempt.first_byte = Some(now);
            let (endpoint, id) = (attempt.endpoint.clone(), attempt.id);
            self.selector.first_byte(now, &endpoint, id);
        }
    }

    /// Applies what the answer to a request says about further requests to its endpoint.
    pub(crate) fn on_notice(&mut self, now: Duration, no: RequestNo, notice: EndpointNotice) {
        let Some(Stage::Running(attempt)) = self.requests.get(&no).map(|r| &r.stage) else {
            return;
        };
        let (endpoint, incarnation) = (attempt.endpoint.clone(), attempt.incarnation);
        let applied = self
            .selector
            .apply_notice(now, &endpoint, incarnation, notice);
        if applied {
            self.capacity_dirty = true;
            slog::info!(self.log, "endpoint notice"; "endpoint" => endpoint,
                "incarnation" => incarnation, "leaving" => notice.leaving,
                "pause_ms" => notice.pause.map(|p| p.as_millis() as u64));
        }
    }

    pub(crate) fn on_finish(
        &mut self,
        now: Duration,
        no: RequestNo,
        used: Tokens,
        end: AttemptEnd,
        key: Option<[u8; 16]>,
    ) {
        let Some(mut req) = self.requests.remove(&no) else {
            return;
        };
        let stage = std::mem::replace(&mut req.stage, Stage::Waiting);
        let (attempt, permit) = match stage {
            Stage::Running(attempt) => (Some(attempt), req.has_permit),
            Stage::CheckingEndpoint { attempt, .. } => (Some(attempt), req.has_permit),
            _ => (None, req.has_permit),
        };
        if let Some(attempt) = attempt {
            let outcome = if end == AttemptEnd::Cancelled {
                RouteOutcome::Cancelled
            } else {
                self.retry.record_success(now);
                let first_token = attempt
                    .first_byte
                    .unwrap_or(now)
                    .saturating_sub(attempt.started);
                let gap = match (&req.admit.target, attempt.first_byte) {
                    (
                        Target::Model {
                            max_prompt_tokens, ..
                        },
                        Some(first),
                    ) => {
                        // The bound is in bytes; about four bytes make a token.
                        let tokens = used.saturating_sub(max_prompt_tokens / 4);
                        let elapsed = now.saturating_sub(first);
                        u32::try_from(tokens)
                            .ok()
                            .and_then(|n| elapsed.checked_div(n))
                            .unwrap_or_default()
                    }
                    _ => Duration::ZERO,
                };
                RouteOutcome::Done { first_token, gap }
            };
            self.selector
                .finished(now, &attempt.endpoint, attempt.id, outcome);
            if end == AttemptEnd::Cancelled
                && self.cancelled_attempts.len() < MAX_CANCELLED_ATTEMPTS
            {
                // The request may still crash the endpoint, so the attempt counts
                // as in flight until the next announcement.
                self.cancelled_attempts.push(CancelledAttempt {
                    endpoint: attempt.endpoint,
                    incarnation: attempt.incarnation,
                    attempt: attempt.id,
                    cancelled_at: now,
                    permit: permit.then_some(req.admit.fingerprint),
                });
            } else {
                self.suspects
                    .finished(&attempt.endpoint, attempt.incarnation, attempt.id);
                self.strikes.remove(&attempt.id);
                if permit {
                    self.end_permit(
                        req.admit.fingerprint,
                        attempt.endpoint,
                        attempt.incarnation,
                        PermitEnd::Clean,
                    );
                }
            }
        }
        self.release(now, no, req, used, key);
    }

    /// Frees the queue slot and settles the reservation of a removed request.
    fn release(
        &mut self,
        now: Duration,
        no: RequestNo,
        req: Req,
        used: Tokens,
        key: Option<[u8; 16]>,
    ) {
        if let Some(lane) = self.lanes.get_mut(&req.lane) {
            if req.started {
                lane.admission.finish(now, no, used);
            } else if req.queued {
                lane.admission.cancel(now, no);
            }
            lane.parked.retain(|n| *n != no);
        }
        self.lanes_dirty = true;
        if let Some(need) = req.need {
            self.allotments.cancel(&req.admit.budget, need);
            self.remove_need(need);
        }
        if let Some(id) = req.reservation {
            if used > 0 {
                self.allotments.settle(now, id, used, key);
            } else {
                self.allotments.release(now, id);
            }
            if self
                .recalled_until
                .get(&req.admit.budget)
                .is_some_and(|until| now < *until)
            {
                self.allotments.recall(now, &req.admit.budget);
            }
        }
    }

    /// Ends a request with a refusal to its caller.
    pub(crate) fn refuse(&mut self, now: Duration, no: RequestNo, refusal: Refusal) {
        let Some(mut req) = self.requests.remove(&no) else {
            return;
        };
        anvilloft_telemetry::decision!(self.log, "admission";
            "request" => &req.admit.request_id, "team" => &req.admit.team,
            "rank" => &req.admit.rank, "reason" => refusal.code,
            "run" => refusal.run.as_str());
        let used = req.last_failure.map_or(0, |(_, used)| used);
        if let Some(reply) = req.reply.take() {
            reply.send(Err(refusal)).ok();
        }
        self.release(now, no, req, used, None);
    }

    pub(crate) fn on_failed(
        &mut self,
        now: Duration,
        no: RequestNo,
        end: AttemptEnd,
        mut failed: FailedAttempt,
    ) {
        let Some(req) = self.requests.get_mut(&no) else {
            let refusal =
                Refusal::bad_gateway("endpoint_failed", "the endpoint failed", failed.run);
            failed.reply.send(Err(refusal)).ok();
            return;
        };
        let Stage::Running(attempt) = &req.stage else {
            return;
        };
        let attempt = attempt.clone();
        let failure = match end {
            AttemptEnd::Busy => Failure::Refused,
            AttemptEnd::Unreachable => Failure::Connect,
            AttemptEnd::Broken => Failure::Reset,
            AttemptEnd::TimedOut if attempt.first_byte.is_some() => Failure::Gap,
            AttemptEnd::TimedOut => Failure::FirstByte,
            AttemptEnd::Ok | AttemptEnd::Failed | AttemptEnd::Cancelled => Failure::BadAnswer,
        };
        slog::info!(self.log, "attempt failed"; "request" => &req.admit.request_id,
            "endpoint" => &attempt.endpoint, "reason" => ?failure,
            "run" => failed.run.as_str());
        // A refusal says nothing about an earlier attempt.
        if let (RunState::No, Some((earlier, _))) = (failed.run, req.last_failure) {
            failed.run = earlier;
        }
        req.last_failure = Some((failed.run, failed.used));
        req.stage = Stage::CheckingEndpoint {
            failed: Some(failed),
            attempt: attempt.clone(),
            failed_at: now,
        };
        self.selector.finished(
            now,
            &attempt.endpoint,
            attempt.id,
            RouteOutcome::Failed(failure),
        );
        self.capacity_dirty = true;
        self.check_endpoint(now, no, &attempt, failure);
    }

    /// Continues a request after the check of its failed attempt's endpoint, with
    /// another attempt or a refusal.
    pub(crate) fn resume(&mut self, now: Duration, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else {
            return;
        };
        let Stage::CheckingEndpoint {
            failed, attempt, ..
        } = &mut req.stage
        else {
            return;
        };
        let Some(failed) = failed.take() else {
            return;
        };
        self.strikes.remove(&attempt.id);
        let attempt = attempt.clone();
        req.stage = Stage::Waiting;
        req.reply = Some(failed.reply);
        let had_permit = std::mem::take(&mut req.has_permit);
        let fingerprint = req.admit.fingerprint;
        let retry = failed.retry && req.tried.len() < MAX_ATTEMPTS && self.retry.try_take(now);
        if had_permit {
            // The endpoint did not die, or the permit would have been ended
            // already. A failed attempt doesn't clear the strike.
            let end = PermitEnd::Inconclusive;
            self.end_permit(fingerprint, attempt.endpoint, attempt.incarnation, end);
        }
        if retry {
            self.gauges.retries.inc();
            return self.route(now, no);
        }
        let refusal = Refusal::bad_gateway("endpoint_failed", "the endpoint failed", failed.run);
        self.refuse(now, no, refusal);
    }
}
