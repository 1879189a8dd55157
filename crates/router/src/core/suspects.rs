//! Detection of dead endpoints, strikes, and permits of suspect requests.
//!
//! A request in flight at an endpoint that dies gets a strike. It is then
//! suspect, and runs only under a fleet-wide permit.

use std::net::SocketAddr;
use std::time::Duration;

use anvilloft_gateway::Refusal;
use anvilloft_routing::Choice;
use anvilloft_routing::Failure;
use anvilloft_routing::suspect::PendingStrike;
use anvilloft_routing::suspect::Permission;
use anvilloft_types::Fingerprint;
use anvilloft_types::Incarnation;
use anvilloft_types::RequestNo;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::Strike;
use anvilloft_wire::command::SuspectBegin;
use anvilloft_wire::command::SuspectEnd;
use anvilloft_wire::control::Answer;
use anvilloft_wire::frame::Payload;
use http::StatusCode;

use super::CALL_TIMEOUT;
use super::CallResult;
use super::Completion;
use super::Core;
use super::requests::Attempt;
use super::requests::Stage;

/// Delay before a call to control is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of a probe. The host of a dead process refuses the connection at once;
/// a timeout proves nothing.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of probes for one failure. A dying process closes its listener
/// slightly after its connections, so one probe may be too early.
const MAX_PROBES: u32 = 4;
/// Interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// How long a strike reported by a peer is kept; by then the lease lists it.
const PEER_STRIKE_TTL: Duration = Duration::from_secs(5);
/// Maximum number of strikes reported by peers that are kept.
const MAX_PEER_STRIKES: usize = 16_384;
/// Maximum time to find out whether an endpoint died and to commit the strike,
/// after which the request fails without a retry.
const ENDPOINT_CHECK_TIMEOUT: Duration = Duration::from_secs(6);

/// How an attempt under a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PermitEnd {
    /// The answer was complete, or the attempt was cancelled and the endpoint
    /// stayed alive; the request is no longer suspect.
    Clean,
    /// The endpoint died.
    Died,
    /// The attempt was not sent or did not finish; the strike stays.
    Inconclusive,
}

impl Core {
    /// Handles a failed attempt: probes the endpoint if the failure may mean that
    /// it died, and continues the request otherwise.
    pub(crate) fn check_endpoint(
        &mut self,
        now: Duration,
        no: RequestNo,
        attempt: &Attempt,
        failure: Failure,
    ) {
        let (endpoint, incarnation) = (attempt.endpoint.as_str(), attempt.incarnation);
        if let Some(committed) = self.strikes.get(&attempt.id) {
            // It got a strike together with the other attempts at its endpoint.
            if *committed {
                self.resume_struck(now, no);
            } else {
                self.endpoint_checks.push(no);
            }
            return;
        }
        let must_wait = self
            .suspects
            .failed(now, endpoint, incarnation, attempt.id, failure);
        if !must_wait {
            return self.resume(now, no);
        }
        self.endpoint_checks.push(no);
        let lease = self
            .endpoints
            .get(endpoint)
            .filter(|e| e.update.incarnation == incarnation && now < e.expires);
        match lease.and_then(|e| e.update.address.parse::<SocketAddr>().ok()) {
            None => self.endpoint_lost(now, endpoint, incarnation),
            Some(address) => {
                let endpoint = endpoint.to_owned();
                self.calls.push(Box::pin(async move {
                    let mut refused = false;
                    for _ in 0..MAX_PROBES {
                        let connect = tokio::net::TcpStream::connect(address);
                        refused = match tokio::time::timeout(PROBE_TIMEOUT, connect).await {
                            Ok(Err(e)) => e.kind() == std::io::ErrorKind::ConnectionRefused,
                            Ok(Ok(_)) | Err(_) => false,
                        };
                        if refused {
                            break;
                        }
                        tokio::time::sleep(PROBE_INTERVAL).await;
                    }
                    Completion::Probed(endpoint, incarnation, refused)
                }));
            }
        }
    }

    pub(crate) fn on_probed(
        &mut self,
        now: Duration,
        endpoint: &str,
        incarnation: Incarnation,
        refused: bool,
    ) {
        if !refused {
            // The endpoint may be alive. Its next announcement shows whether it
            // restarted.
            return;
        }
        // Attempt 0 represents the probe.
        self.suspects
            .failed(now, endpoint, incarnation, 0, Failure::Connect);
        if self.suspects.is_dead(now, endpoint, incarnation, false) {
            // A later announcement adds it again.
            self.selector.remove(endpoint);
            self.capacity_dirty = true;
            let pending = self.suspects.endpoint_died(now, endpoint, incarnation);
            self.record_strikes(now, pending);
        }
    }

    /// Handles an endpoint whose announcements stopped.
    pub(crate) fn endpoint_lost(&mut self, now: Duration, endpoint: &str, inc: Incarnation) {
        if self.suspects.is_dead(now, endpoint, inc, true) {
            let pending = self.suspects.endpoint_died(now, endpoint, inc);
            self.record_strikes(now, pending);
        }
        self.end_cancelled_attempts(now, endpoint, Some(inc), true);
    }

    /// Handles an announcement of an endpoint.
    pub(crate) fn endpoint_alive(&mut self, now: Duration, endpoint: &str, inc: Incarnation) {
        let pending = self.suspects.endpoint_announced(now, endpoint, inc);
        self.record_strikes(now, pending);
        self.end_cancelled_attempts(now, endpoint, Some(inc), false);
        // The endpoint is alive, so its failed attempts need not wait longer.
        let to_resume: Vec<RequestNo> = self
            .endpoint_checks
            .iter()
            .copied()
            .filter(|no| {
                self.requests.get(no).is_some_and(|r| match &r.stage {
                    Stage::CheckingEndpoint {
                        attempt, failed_at, ..
                    } => {
                        attempt.endpoint == endpoint
                            && attempt.incarnation == inc
                            && *failed_at < now
                            && !self.strikes.contains_key(&attempt.id)
                    }
                    _ => false,
                })
            })
            .collect();
        for no in to_resume {
            self.endpoint_checks.retain(|n| *n != no);
            if let Some(req) = self.requests.get(&no)
                && let Stage::CheckingEndpoint { attempt, .. } = &req.stage
            {
                let id = attempt.id;
                self.suspects.finished(endpoint, inc, id);
            }
            self.resume(now, no);
        }
    }

    /// Stops watching the cancelled attempts at an endpoint, once an announcement
    /// or its absence shows whether they crashed it.
    fn end_cancelled_attempts(
        &mut self,
        now: Duration,
        endpoint: &str,
        inc: Option<Incarnation>,
        lost: bool,
    ) {
        let all = std::mem::take(&mut self.cancelled_attempts);
        for attempt in all {
            if attempt.endpoint != endpoint || attempt.cancelled_at >= now {
                self.cancelled_attempts.push(attempt);
                continue;
            }
            let died = lost || inc != Some(attempt.incarnation);
            if !died {
                self.suspects
                    .finished(endpoint, attempt.incarnation, attempt.attempt);
            }
            if let Some(fingerprint) = attempt.permit {
                let end = if died {
                    PermitEnd::Died
                } else {
                    PermitEnd::Clean
                };
                self.end_permit(fingerprint, attempt.endpoint, attempt.incarnation, end);
            }
        }
    }

    /// Sends strikes to control and to the peers. Each request continues once its
    /// strike is committed.
    fn record_strikes(&mut self, now: Duration, pending: Vec<PendingStrike>) {
        for strike in pending {
            anvilloft_telemetry::decision!(self.log, "strike";
                "endpoint" => &strike.endpoint, "incarnation" => strike.incarnation);
            self.strikes.insert(strike.attempt, false);
            self.gauges.strikes.inc();
            self.send_strike_to_peers(&strike.fingerprint);
            let permit_holder = self.requests.iter().find_map(|(no, r)| match &r.stage {
                Stage::CheckingEndpoint { attempt, .. } | Stage::Running(attempt)
                    if attempt.id == strike.attempt && r.has_permit =>
                {
                    Some(*no)
                }
                _ => None,
            });
            if let Some(no) = permit_holder {
                // The request ran under a permit, so this is its second strike.
                // The end of the permit records it.
                if let Some(req) = self.requests.get_mut(&no) {
                    req.has_permit = false;
                }
                self.strikes.insert(strike.attempt, true);
                self.end_permit(
                    strike.fingerprint,
                    strike.endpoint,
                    strike.incarnation,
                    PermitEnd::Died,
                );
                self.resume_struck(now, no);
                continue;
            }
            self.send_strike(strike);
        }
    }

    /// Sends a strike to every peer, because the caller may repeat the request at
    /// another router before that router's next lease lists the strike.
    fn send_strike_to_peers(&self, fingerprint: &Fingerprint) {
        for router in self.routers.iter() {
            if router.router != self.id.router {
                self.peers
                    .send(&router.router, Payload::Struck(fingerprint.to_vec()));
            }
        }
    }

    pub(crate) fn on_peer_strike(&mut self, now: Duration, fingerprint: &[u8]) {
        self.peer_strikes
            .retain(|_, at| now.saturating_sub(*at) < PEER_STRIKE_TTL);
        if let Ok(fingerprint) = Fingerprint::try_from(fingerprint)
            && self.peer_strikes.len() < MAX_PEER_STRIKES
        {
            self.peer_strikes.insert(fingerprint, now);
        }
    }

    /// Returns whether a request needs a permit to run.
    pub(crate) fn is_suspect(&self, now: Duration, fingerprint: &Fingerprint) -> bool {
        self.suspects.check(fingerprint) == Permission::PermitRequired
            || self
                .peer_strikes
                .get(fingerprint)
                .is_some_and(|at| now.saturating_sub(*at) < PEER_STRIKE_TTL)
    }

    pub(crate) fn send_strike(&mut self, strike: PendingStrike) {
        let body = Body::Strike(Strike {
            fingerprint: strike.fingerprint.to_vec(),
            endpoint: strike.endpoint.clone(),
            endpoint_incarnation: strike.incarnation,
        });
        self.call(body, CALL_TIMEOUT, move |res| {
            Completion::StrikeRecorded(Box::new(strike), res)
        });
    }

    pub(crate) fn on_strike_recorded(
        &mut self,
        now: Duration,
        strike: PendingStrike,
        res: CallResult,
    ) {
        if !matches!(
            res.as_ref().map(|r| &r.answer),
            Ok(Some(Answer::Applied(_)))
        ) {
            let retry = Completion::StrikeRecorded(Box::new(strike), res);
            return self.complete_after(RETRY_DELAY, Completion::Retry(Box::new(retry)));
        }
        let no = self.requests.iter().find_map(|(no, r)| match &r.stage {
            Stage::CheckingEndpoint { attempt, .. } if attempt.id == strike.attempt => Some(*no),
            _ => None,
        });
        match no {
            Some(no) => {
                self.strikes.insert(strike.attempt, true);
                self.resume_struck(now, no);
            }
            None => {
                let running = self.requests.values().any(
                    |r| matches!(&r.stage, Stage::Running(attempt) if attempt.id == strike.attempt),
                );
                if running {
                    // The traffic thread is about to report its failure.
                    self.strikes.insert(strike.attempt, true);
                } else {
                    self.strikes.remove(&strike.attempt);
                }
            }
        }
    }

    fn resume_struck(&mut self, now: Duration, no: RequestNo) {
        self.endpoint_checks.retain(|n| *n != no);
        self.resume(now, no);
    }

    pub(crate) fn tick_endpoint_checks(&mut self, now: Duration) {
        let expired = self.suspects.expire(now);
        let to_resume: Vec<(RequestNo, bool)> = self
            .endpoint_checks
            .iter()
            .filter_map(|no| {
                let req = self.requests.get(no)?;
                let Stage::CheckingEndpoint {
                    attempt, failed_at, ..
                } = &req.stage
                else {
                    return Some((*no, false));
                };
                if expired.contains(&attempt.id) {
                    return Some((*no, true));
                }
                (now.saturating_sub(*failed_at) > ENDPOINT_CHECK_TIMEOUT).then_some((*no, false))
            })
            .collect();
        for (no, may_retry) in to_resume {
            self.endpoint_checks.retain(|n| *n != no);
            if !may_retry
                && let Some(req) = self.requests.get_mut(&no)
                && let Stage::CheckingEndpoint {
                    failed: Some(failed),
                    ..
                } = &mut req.stage
            {
                failed.retry = false;
            }
            self.resume(now, no);
        }
        let requests = &self.requests;
        self.endpoint_checks.retain(|no| requests.contains_key(no));
    }

    /// Requests the permit to run a suspect request at the chosen endpoint.
    pub(crate) fn request_permit(&mut self, no: RequestNo, choice: Choice) {
        let Some(req) = self.requests.get_mut(&no) else {
            return;
        };
        req.stage = Stage::Permit;
        let fingerprint = req.admit.fingerprint;
        self.permits.insert(fingerprint);
        let body = Body::SuspectBegin(SuspectBegin {
            fingerprint: fingerprint.to_vec(),
            router: self.id.router.clone(),
            incarnation: self.id.incarnation,
            endpoint: choice.endpoint.clone(),
        });
        self.call(body, CALL_TIMEOUT, move |res| {
            Completion::PermitReply(no, fingerprint, Box::new(choice), res)
        });
    }

    pub(crate) fn on_permit(
        &mut self,
        now: Duration,
        no: RequestNo,
        fingerprint: Fingerprint,
        choice: Choice,
        res: CallResult,
    ) {
        let reply = match res.as_ref().map(|r| &r.answer) {
            Ok(Some(Answer::Applied(reply))) => match &reply.reply {
                Some(Reply::Suspect(s)) => Some(*s),
                _ => None,
            },
            _ => None,
        };
        let is_waiting = self
            .requests
            .get(&no)
            .is_some_and(|r| matches!(r.stage, Stage::Permit));
        match reply {
            Some(s) if s.run => {
                let (endpoint, inc) = (choice.endpoint.clone(), choice.incarnation);
                if is_waiting {
                    self.assign(now, no, choice);
                }
                match self.requests.get_mut(&no) {
                    Some(req) if matches!(req.stage, Stage::Running(_)) => req.has_permit = true,
                    // The caller disconnected or the endpoint disappeared in the meantime.
                    _ => self.end_permit(fingerprint, endpoint, inc, PermitEnd::Inconclusive),
                }
            }
            Some(s) if s.quarantined_until_ms > 0 => {
                self.permits.remove(&fingerprint);
                let refusal = Refusal::new(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "quarantined",
                    "endpoints crashed while running this request; it is refused temporarily",
                );
                self.refuse(now, no, refusal);
            }
            Some(_) => {
                // The same request is running elsewhere, or another suspect
                // request is running at this endpoint.
                self.permits.remove(&fingerprint);
                if is_waiting {
                    self.park(now, no);
                }
            }
            None => {
                // The permit may have been granted. It is returned, because the
                // next choice may be another endpoint.
                let (endpoint, inc) = (choice.endpoint, choice.incarnation);
                self.end_permit(fingerprint, endpoint, inc, PermitEnd::Inconclusive);
                if is_waiting {
                    self.park(now, no);
                }
            }
        }
    }

    pub(crate) fn end_permit(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: String,
        endpoint_incarnation: Incarnation,
        end: PermitEnd,
    ) {
        self.send_permit_end(SuspectEnd {
            fingerprint: fingerprint.to_vec(),
            router: self.id.router.clone(),
            incarnation: self.id.incarnation,
            died: end == PermitEnd::Died,
            not_run: end == PermitEnd::Inconclusive,
            endpoint,
            endpoint_incarnation,
        });
    }

    pub(crate) fn send_permit_end(&mut self, end: SuspectEnd) {
        let body = Body::SuspectEnd(end.clone());
        self.call(body, CALL_TIMEOUT, move |res| {
            Completion::PermitEnded(Box::new(end), res)
        });
    }

    pub(crate) fn on_permit_ended(&mut self, end: SuspectEnd, res: CallResult) {
        if !matches!(
            res.as_ref().map(|r| &r.answer),
            Ok(Some(Answer::Applied(_)))
        ) {
            let retry = Completion::PermitEnded(Box::new(end), res);
            return self.complete_after(RETRY_DELAY, Completion::Retry(Box::new(retry)));
        }
        if let Ok(fingerprint) = Fingerprint::try_from(end.fingerprint.as_slice()) {
            self.permits.remove(&fingerprint);
        }
        self.lanes_dirty = true;
    }
}
