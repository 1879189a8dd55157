//! Verdicts on endpoints, strikes and permits of suspect requests.

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

use super::CALL_LIMIT;
use super::Core;
use super::Done;
use super::Outcome;
use super::requests::Attempt;
use super::requests::Stage;

/// Pause before a call is sent again.
const RESEND: Duration = Duration::from_millis(100);
/// Limit of a probe. A dead process refuses at once; silence proves nothing.
const PROBE_LIMIT: Duration = Duration::from_millis(300);
/// Probes of one failure. A dying process closes its listener a little after
/// its connections.
const PROBES: u32 = 4;
/// Pause between two probes.
const PROBE_PAUSE: Duration = Duration::from_millis(50);
/// How long a strike told by a peer is kept; the lease has it by then.
const TOLD_KEEP: Duration = Duration::from_secs(5);
/// Strikes told by peers that are kept, at most.
const MAX_TOLD: usize = 16_384;
/// Longest wait for a verdict and its commit, after which the request fails
/// without a retry.
const VERDICT_LIMIT: Duration = Duration::from_secs(6);

/// How a run under a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PermitEnd {
    /// The whole answer came; the request is no suspect any more.
    Clean,
    /// The endpoint died.
    Died,
    /// Not run, or not to its end; the strike stays.
    Unproven,
}

impl Core {
    /// Decides whether a failed attempt must wait for the verdict on its
    /// endpoint, and asks for one.
    pub(crate) fn judge(
        &mut self,
        now: Duration,
        no: RequestNo,
        attempt: &Attempt,
        failure: Failure,
    ) {
        let (endpoint, incarnation) = (attempt.endpoint.as_str(), attempt.incarnation);
        if let Some(committed) = self.strikes.get(&attempt.id) {
            // Struck together with the others of its endpoint.
            if *committed {
                self.struck_request(now, no);
            } else {
                self.judging.push(no);
            }
            return;
        }
        let wait = self
            .suspects
            .failed(now, endpoint, incarnation, attempt.id, failure);
        if !wait {
            return self.resume(now, no);
        }
        self.judging.push(no);
        let known = self
            .endpoints
            .get(endpoint)
            .filter(|e| e.update.incarnation == incarnation && now < e.expires);
        match known.and_then(|e| e.update.address.parse::<SocketAddr>().ok()) {
            None => self.endpoint_lost(now, endpoint, incarnation),
            Some(address) => {
                let endpoint = endpoint.to_owned();
                self.calls.push(Box::pin(async move {
                    let mut refused = false;
                    for _ in 0..PROBES {
                        let connect = tokio::net::TcpStream::connect(address);
                        refused = match tokio::time::timeout(PROBE_LIMIT, connect).await {
                            Ok(Err(e)) => e.kind() == std::io::ErrorKind::ConnectionRefused,
                            Ok(Ok(_)) | Err(_) => false,
                        };
                        if refused {
                            break;
                        }
                        tokio::time::sleep(PROBE_PAUSE).await;
                    }
                    Done::Probed(endpoint, incarnation, refused)
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
            // It listens. Its next announcement tells whether it restarted.
            return;
        }
        // Attempt 0 stands for the probe.
        self.suspects
            .failed(now, endpoint, incarnation, 0, Failure::Connect);
        if self.suspects.is_dead(now, endpoint, incarnation, false) {
            // A later announcement brings it back.
            self.selector.remove(endpoint);
            self.capacity_dirty = true;
            let due = self.suspects.endpoint_died(now, endpoint, incarnation);
            self.strike(now, due);
        }
    }

    /// The announcement of an endpoint stopped.
    pub(crate) fn endpoint_lost(&mut self, now: Duration, endpoint: &str, inc: Incarnation) {
        if self.suspects.is_dead(now, endpoint, inc, true) {
            let due = self.suspects.endpoint_died(now, endpoint, inc);
            self.strike(now, due);
        }
        self.end_lingering(now, endpoint, Some(inc), true);
    }

    /// An endpoint announced itself.
    pub(crate) fn endpoint_alive(&mut self, now: Duration, endpoint: &str, inc: Incarnation) {
        let due = self.suspects.endpoint_announced(now, endpoint, inc);
        self.strike(now, due);
        self.end_lingering(now, endpoint, Some(inc), false);
        // Failed attempts at an endpoint that goes on need not wait longer.
        let resumed: Vec<RequestNo> = self
            .judging
            .iter()
            .copied()
            .filter(|no| {
                self.requests.get(no).is_some_and(|r| match &r.stage {
                    Stage::Judging { attempt, since, .. } => {
                        attempt.endpoint == endpoint
                            && attempt.incarnation == inc
                            && *since < now
                            && !self.strikes.contains_key(&attempt.id)
                    }
                    _ => false,
                })
            })
            .collect();
        for no in resumed {
            self.judging.retain(|n| *n != no);
            if let Some(req) = self.requests.get(&no)
                && let Stage::Judging { attempt, .. } = &req.stage
            {
                let id = attempt.id;
                self.suspects.finished(endpoint, inc, id);
            }
            self.resume(now, no);
        }
    }

    /// Ends the watch over cancelled attempts of an endpoint.
    fn end_lingering(
        &mut self,
        now: Duration,
        endpoint: &str,
        inc: Option<Incarnation>,
        lost: bool,
    ) {
        let all = std::mem::take(&mut self.lingering);
        for l in all {
            if l.endpoint != endpoint || l.since >= now {
                self.lingering.push(l);
                continue;
            }
            let died = lost || inc != Some(l.incarnation);
            if !died {
                self.suspects.finished(endpoint, l.incarnation, l.attempt);
            }
            if let Some(fingerprint) = l.permit {
                let end = if died {
                    PermitEnd::Died
                } else {
                    PermitEnd::Clean
                };
                self.end_permit(fingerprint, l.endpoint, l.incarnation, end);
            }
        }
    }

    /// Commits strikes. The requests go on once theirs is committed.
    fn strike(&mut self, now: Duration, due: Vec<PendingStrike>) {
        for d in due {
            anvilloft_telemetry::decision!(self.log, "strike";
                "endpoint" => &d.endpoint, "incarnation" => d.incarnation);
            self.strikes.insert(d.attempt, false);
            self.gauges.strikes.inc();
            self.tell_peers(&d.fingerprint);
            let holder = self.requests.iter().find_map(|(no, r)| match &r.stage {
                Stage::Judging { attempt, .. } | Stage::Running(attempt)
                    if attempt.id == d.attempt && r.has_permit =>
                {
                    Some(*no)
                }
                _ => None,
            });
            if let Some(no) = holder {
                // The second death: the end of the permit stands for the
                // strike.
                if let Some(req) = self.requests.get_mut(&no) {
                    req.has_permit = false;
                }
                self.strikes.insert(d.attempt, true);
                self.end_permit(d.fingerprint, d.endpoint, d.incarnation, PermitEnd::Died);
                self.struck_request(now, no);
                continue;
            }
            self.send_strike(d);
        }
    }

    /// Tells every router of a strike. Its caller may send the request again
    /// elsewhere before the next lease brings the list there.
    fn tell_peers(&self, fingerprint: &Fingerprint) {
        for router in self.routers.iter() {
            if router.router != self.id.router {
                self.peers
                    .send(&router.router, Payload::Struck(fingerprint.to_vec()));
            }
        }
    }

    pub(crate) fn on_told(&mut self, now: Duration, fingerprint: &[u8]) {
        self.told
            .retain(|_, at| now.saturating_sub(*at) < TOLD_KEEP);
        if let Ok(fingerprint) = Fingerprint::try_from(fingerprint)
            && self.told.len() < MAX_TOLD
        {
            self.told.insert(fingerprint, now);
        }
    }

    /// Returns whether a request may only run under a permit.
    pub(crate) fn is_suspect(&self, now: Duration, fingerprint: &Fingerprint) -> bool {
        self.suspects.check(fingerprint) == Permission::PermitRequired
            || self
                .told
                .get(fingerprint)
                .is_some_and(|at| now.saturating_sub(*at) < TOLD_KEEP)
    }

    pub(crate) fn send_strike(&mut self, due: PendingStrike) {
        let body = Body::Strike(Strike {
            fingerprint: due.fingerprint.to_vec(),
            endpoint: due.endpoint.clone(),
            endpoint_incarnation: due.incarnation,
        });
        self.call(body, CALL_LIMIT, move |res| {
            Done::Struck(Box::new(due), res)
        });
    }

    pub(crate) fn on_struck(&mut self, now: Duration, due: PendingStrike, res: Outcome) {
        if !matches!(
            res.as_ref().map(|r| &r.answer),
            Ok(Some(Answer::Applied(_)))
        ) {
            let again = Done::Struck(Box::new(due), res);
            return self.later(RESEND, Done::Again(Box::new(again)));
        }
        let no = self.requests.iter().find_map(|(no, r)| match &r.stage {
            Stage::Judging { attempt, .. } if attempt.id == due.attempt => Some(*no),
            _ => None,
        });
        match no {
            Some(no) => {
                self.strikes.insert(due.attempt, true);
                self.struck_request(now, no);
            }
            None => {
                let running = self.requests.values().any(
                    |r| matches!(&r.stage, Stage::Running(attempt) if attempt.id == due.attempt),
                );
                if running {
                    // Its failure is about to be reported.
                    self.strikes.insert(due.attempt, true);
                } else {
                    self.strikes.remove(&due.attempt);
                }
            }
        }
    }

    fn struck_request(&mut self, now: Duration, no: RequestNo) {
        self.judging.retain(|n| *n != no);
        self.resume(now, no);
    }

    pub(crate) fn tick_judging(&mut self, now: Duration) {
        let expired = self.suspects.expire(now);
        let late: Vec<(RequestNo, bool)> = self
            .judging
            .iter()
            .filter_map(|no| {
                let req = self.requests.get(no)?;
                let Stage::Judging { attempt, since, .. } = &req.stage else {
                    return Some((*no, false));
                };
                if expired.contains(&attempt.id) {
                    return Some((*no, true));
                }
                (now.saturating_sub(*since) > VERDICT_LIMIT).then_some((*no, false))
            })
            .collect();
        for (no, may_retry) in late {
            self.judging.retain(|n| *n != no);
            if !may_retry
                && let Some(req) = self.requests.get_mut(&no)
                && let Stage::Judging {
                    failing: Some(failing),
                    ..
                } = &mut req.stage
            {
                failing.retry = false;
            }
            self.resume(now, no);
        }
        let requests = &self.requests;
        self.judging.retain(|no| requests.contains_key(no));
    }

    /// Asks for the permit to run a suspect request at the chosen endpoint.
    pub(crate) fn ask_permit(&mut self, no: RequestNo, choice: Choice) {
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
        self.call(body, CALL_LIMIT, move |res| {
            Done::Permit(no, fingerprint, Box::new(choice), res)
        });
    }

    pub(crate) fn on_permit(
        &mut self,
        now: Duration,
        no: RequestNo,
        fingerprint: Fingerprint,
        choice: Choice,
        res: Outcome,
    ) {
        let reply = match res.as_ref().map(|r| &r.answer) {
            Ok(Some(Answer::Applied(reply))) => match &reply.reply {
                Some(Reply::Suspect(s)) => Some(*s),
                _ => None,
            },
            _ => None,
        };
        let waits = self
            .requests
            .get(&no)
            .is_some_and(|r| matches!(r.stage, Stage::Permit));
        match reply {
            Some(s) if s.run => {
                let (endpoint, inc) = (choice.endpoint.clone(), choice.incarnation);
                if waits {
                    self.assign(now, no, choice);
                }
                match self.requests.get_mut(&no) {
                    Some(req) if matches!(req.stage, Stage::Running(_)) => req.has_permit = true,
                    // The caller or the endpoint went away meanwhile.
                    _ => self.end_permit(fingerprint, endpoint, inc, PermitEnd::Unproven),
                }
            }
            Some(s) if s.quarantined_until_ms > 0 => {
                self.permits.remove(&fingerprint);
                let refusal = Refusal::new(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "quarantined",
                    "endpoints died while they ran this request; it is refused for a time",
                );
                self.refuse(now, no, refusal);
            }
            Some(_) => {
                // Another run of it, or of another suspect there, goes on.
                self.permits.remove(&fingerprint);
                if waits {
                    self.park(now, no);
                }
            }
            None => {
                // The permit may have been given. It is handed back, as the
                // next choice may be another endpoint.
                let (endpoint, inc) = (choice.endpoint, choice.incarnation);
                self.end_permit(fingerprint, endpoint, inc, PermitEnd::Unproven);
                if waits {
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
            not_run: end == PermitEnd::Unproven,
            endpoint,
            endpoint_incarnation,
        });
    }

    pub(crate) fn send_permit_end(&mut self, end: SuspectEnd) {
        let body = Body::SuspectEnd(end.clone());
        self.call(body, CALL_LIMIT, move |res| {
            Done::PermitEnded(Box::new(end), res)
        });
    }

    pub(crate) fn on_permit_ended(&mut self, end: SuspectEnd, res: Outcome) {
        if !matches!(
            res.as_ref().map(|r| &r.answer),
            Ok(Some(Answer::Applied(_)))
        ) {
            let again = Done::PermitEnded(Box::new(end), res);
            return self.later(RESEND, Done::Again(Box::new(again)));
        }
        if let Ok(fingerprint) = Fingerprint::try_from(end.fingerprint.as_slice()) {
            self.permits.remove(&fingerprint);
        }
        self.lanes_dirty = true;
    }
}
