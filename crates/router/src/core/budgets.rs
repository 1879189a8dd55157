//! Grants, reports and copies of settlements.

use std::time::Duration;

use anvilloft_budget::GrantRefusal;
use anvilloft_budget::NeedId;
use anvilloft_gateway::Refusal;
use anvilloft_ledger::code;
use anvilloft_types::Incarnation;
use anvilloft_types::RequestNo;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Reply;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::Query;
use anvilloft_wire::frame::Payload;
use http::StatusCode;
use tokio::sync::oneshot;

use super::CALL_LIMIT;
use super::Core;
use super::Done;
use super::Outcome;
use super::requests::RETRY_LATER;

/// Time after which unacknowledged settlements are copied again, and copies
/// that could not be delivered are delivered again.
const COPY_AGAIN: Duration = Duration::from_secs(2);
/// Recalled budgets that are kept, at most.
const MAX_RECALLED: usize = 65_536;
/// Copies of one incarnation that are delivered at once, in reports. With a tick
/// of 10 ms and a round trip of 10 ms at most 6,400 leave in a second; a router
/// makes up to 50 a second while control acknowledges none, and `peer_flush_ms`
/// is 30 s.
const DELIVERY_BATCH: usize = 128;
/// Copies of all incarnations that are delivered at once, in reports; half of a
/// session's send queue.
const MAX_DELIVERED_AT_ONCE: usize = 512;

/// Delivery of one incarnation's settlement copies.
#[derive(Debug, Default)]
pub(crate) struct Delivery {
    /// Reports without a reply.
    in_flight: usize,
    /// Earliest time of the next batch. Each report is a command in the log, so
    /// those refused for a gap are not repeated at once.
    again_at: Duration,
}

impl Core {
    pub(crate) fn flush_budgets(&mut self, now: Duration) {
        while let Some(grant) = self.allotments.next_grant(now) {
            let seq = grant.seq;
            self.call(Body::Grant(grant), CALL_LIMIT, move |res| {
                Done::Granted(seq, res)
            });
        }
        while let Some(report) = self.allotments.next_report(now) {
            let seq = report.seq;
            self.call(Body::Report(report), CALL_LIMIT, move |res| {
                Done::Reported(seq, res)
            });
        }
        if let Some(holder) = self.copy_holder.clone() {
            while let Some(copy) = self.allotments.next_copy(now) {
                if !self.peers.send(&holder, Payload::SettlementCopy(copy)) {
                    // Sent again as a whole once the session is back.
                    self.allotments.resend_copies();
                    break;
                }
            }
        }
        if self.allotments.is_sealed() {
            for reply in self.hand_overs.drain(..) {
                reply.send(()).ok();
            }
        }
    }

    /// Gives back what is idle now and what requests free while the grant
    /// that asked for it waits. A request that ends just after the recall
    /// would otherwise keep tokens that the other router is refused for.
    pub(crate) fn on_recall(&mut self, now: Duration, budget: String) {
        self.allotments.recall(now, &budget);
        let wait = Duration::from_millis(self.config.value("recall_wait_ms", ""));
        self.recalled.retain(|_, until| now < *until);
        if self.recalled.len() < MAX_RECALLED {
            self.recalled.insert(budget, now + wait);
        }
    }

    /// Lets a request wait for a grant, within the bounds.
    ///
    /// # Errors
    ///
    /// Refuses when too many wait already. One team has a bound of its own, so
    /// that its flood against a slow budget leaves the others room.
    pub(crate) fn begin_need(
        &mut self,
        need: NeedId,
        no: RequestNo,
        team: &str,
    ) -> Result<(), Refusal> {
        let of_team = self.team_needs.get(team).copied().unwrap_or(0);
        if of_team >= self.queues.grant_wait_team_requests
            || self.needs.len() >= self.queues.grant_wait_requests
        {
            self.gauges.grant_wait_refused.inc();
            return Err(Refusal::new(
                StatusCode::TOO_MANY_REQUESTS,
                "grant_wait_full",
                "too many requests wait for tokens of their budgets at this router",
            )
            .retry_after(RETRY_LATER));
        }
        self.needs.insert(need, (no, team.to_owned()));
        self.team_needs.insert(team.to_owned(), of_team + 1);
        Ok(())
    }

    /// Forgets a need and returns its request.
    pub(crate) fn end_need(&mut self, need: NeedId) -> Option<RequestNo> {
        let (no, team) = self.needs.remove(&need)?;
        if let Some(count) = self.team_needs.get_mut(&team) {
            *count -= 1;
            if *count == 0 {
                self.team_needs.remove(&team);
            }
        }
        Some(no)
    }

    pub(crate) fn on_granted(&mut self, now: Duration, seq: u64, res: Outcome) {
        let reply = match res.map(|r| r.answer) {
            Ok(Some(Answer::Applied(reply))) => reply,
            // The same grant is proposed again until it has a reply.
            _ => return,
        };
        for result in self.allotments.on_grant(now, seq, &reply) {
            let Some(no) = self.end_need(result.need) else {
                if let Ok(id) = result.outcome {
                    self.allotments.release(now, id);
                }
                continue;
            };
            match result.outcome {
                Ok(id) => {
                    if let Some(req) = self.requests.get_mut(&no) {
                        req.need = None;
                        req.reservation = Some(id);
                        self.offer(now, no);
                    } else {
                        self.allotments.release(now, id);
                    }
                }
                Err(refusal) => {
                    if let Some(req) = self.requests.get_mut(&no) {
                        req.need = None;
                    }
                    let refusal = match refusal {
                        GrantRefusal::Insufficient(unspent, allotted) => Refusal::new(
                            StatusCode::PAYMENT_REQUIRED,
                            "budget_exhausted",
                            format!(
                                "the budget has {unspent} tokens unspent and {allotted} reserved, \
                                 which doesn't cover the request's upper bound"
                            ),
                        ),
                        GrantRefusal::Refused(code, message) => Refusal::unavailable(
                            "budget_unavailable",
                            format!("the budget can't be drawn on: {message} ({code})"),
                        ),
                    };
                    self.refuse(now, no, refusal);
                }
            }
        }
    }

    pub(crate) fn on_reported(&mut self, now: Duration, seq: u64, res: Outcome) {
        match res.map(|r| r.answer) {
            Ok(Some(Answer::Applied(reply))) => match reply.reply {
                Some(Reply::Ok(_)) => {
                    self.allotments.on_report_ack(now, seq);
                    if let Some(holder) = &self.copy_holder {
                        let release = Payload::SettlementCopy(self.allotments.release_notice());
                        self.peers.send(holder, release);
                    }
                }
                Some(Reply::Refused(r)) => {
                    slog::error!(self.log, "report refused"; "code" => r.code,
                        "reason" => r.message, "seq" => seq);
                }
                _ => {}
            },
            Ok(_) => {}
            Err(e) => slog::debug!(self.log, "report not acknowledged"; "error" => %e),
        }
    }

    /// Sends copies again while control has not acknowledged their reports: a
    /// session that broke may have lost them.
    pub(crate) fn tick_copies(&mut self, now: Duration) {
        if now.saturating_sub(self.copies_at) >= COPY_AGAIN {
            self.copies_at = now;
            if self.allotments.unacknowledged_reports() > 0 {
                self.allotments.resend_copies();
            }
        }
    }

    /// Delivers the settlements of routers that are gone or silent.
    ///
    /// A silent router may still deliver them itself: the ledger applies each
    /// report once, whoever sends it.
    pub(crate) fn deliver_copies(&mut self, now: Duration) {
        if self.routers.version() == 0 {
            return;
        }
        let mut room = MAX_DELIVERED_AT_ONCE
            .saturating_sub(self.deliveries.values().map(|d| d.in_flight).sum());
        let held = self.copies.incarnations();
        self.deliveries
            .retain(|id, d| d.in_flight > 0 || held.binary_search(id).is_ok());
        for id in held {
            let open = self
                .routers
                .get(&id.0)
                .is_some_and(|r| r.incarnation == id.1);
            if open && !self.routers.is_silent(&id.0) {
                continue;
            }
            let delivery = self.deliveries.entry(id.clone()).or_default();
            if delivery.in_flight > 0 || now < delivery.again_at {
                continue;
            }
            let reports = self.copies.oldest(&id.0, id.1, DELIVERY_BATCH.min(room));
            room -= reports.len();
            delivery.in_flight = reports.len();
            if let Some(first) = reports.first() {
                slog::info!(self.log, "delivers settlement copies"; "router" => &id.0,
                    "incarnation" => id.1, "first_seq" => first.seq, "count" => reports.len());
            }
            // Calls are started in the order in which they are made, so the
            // ledger usually gets the reports in order of their numbers. One
            // that is overtaken is refused for a gap and sent again.
            for report in reports {
                let (id, seq) = (id.clone(), report.seq);
                self.call(Body::Report(report), CALL_LIMIT, move |res| {
                    Done::CopyDelivered(id.0, id.1, seq, res)
                });
            }
        }
    }

    pub(crate) fn on_copy_delivered(
        &mut self,
        now: Duration,
        router: String,
        incarnation: Incarnation,
        seq: u64,
        res: Outcome,
    ) {
        let mut pause = COPY_AGAIN;
        match res.map(|r| r.answer) {
            Ok(Some(Answer::Applied(reply))) => match reply.reply {
                Some(Reply::Ok(_)) => {
                    self.copies.on_ack(&router, incarnation, seq);
                    pause = Duration::ZERO;
                }
                Some(Reply::Refused(r)) => match r.code.as_str() {
                    // The owner or its former copy holder may still deliver
                    // the missing report.
                    code::REPORT_GAP => {
                        slog::debug!(self.log, "settlement copy waits for an earlier report";
                            "router" => &router, "seq" => seq);
                    }
                    code::INCARNATION_CLOSED | code::UNKNOWN_INCARNATION => {
                        slog::error!(self.log, "settlement copies dropped"; "router" => &router,
                            "incarnation" => incarnation, "code" => r.code, "seq" => seq);
                        self.copies.remove(&router, incarnation);
                    }
                    _ => {
                        slog::error!(self.log, "settlement copy refused"; "router" => &router,
                            "code" => r.code, "seq" => seq);
                        self.copies.on_ack(&router, incarnation, seq);
                    }
                },
                _ => {}
            },
            Ok(_) => {}
            Err(e) => slog::debug!(self.log, "copy not delivered"; "error" => %e),
        }
        if let Some(delivery) = self.deliveries.get_mut(&(router, incarnation)) {
            delivery.in_flight = delivery.in_flight.saturating_sub(1);
            delivery.again_at = now + pause;
        }
    }

    pub(crate) fn on_budget(
        &mut self,
        budget: String,
        team: String,
        reply: oneshot::Sender<Result<String, Refusal>>,
    ) {
        let query = Query {
            kind: "budget".into(),
            name: budget,
            team,
            limit: 0,
        };
        self.call(query, CALL_LIMIT, move |res| Done::Budget(reply, res));
    }

    pub(crate) fn on_budget_read(reply: oneshot::Sender<Result<String, Refusal>>, res: Outcome) {
        let answer = match res.map(|r| r.answer) {
            Ok(Some(Answer::QueryResult(text))) => Ok(text),
            _ => Err(Refusal::unavailable(
                "control_unavailable",
                "the budget can't be read at present",
            )
            .retry_after(Duration::from_secs(1))),
        };
        reply.send(answer).ok();
    }
}
