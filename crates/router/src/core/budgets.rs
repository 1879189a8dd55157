//! Grants of tokens, settlement reports and their copies at peers.

use std::time::Duration;

use anvilloft_budget::GrantRefusal;
use anvilloft_budget::NeedId;
use anvilloft_budget::Shortage;
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

use super::CALL_TIMEOUT;
use super::CallResult;
use super::Completion;
use super::Core;
use super::requests::DEFAULT_RETRY_AFTER;

/// Interval after which unacknowledged settlements are copied again, and copies
/// that could not be delivered are retried.
const COPY_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of recalled budgets that are remembered.
const MAX_RECALLED_BUDGETS: usize = 65_536;
/// Maximum number of reports in one batch of copies of one incarnation. With a
/// tick of 10 ms and a round trip of 10 ms, at most 6,400 are sent per second. A
/// router makes up to 50 per second while control acknowledges none, and the
/// backlog must be delivered within `peer_flush_ms`, which is 30 s.
const DELIVERY_BATCH: usize = 128;
/// Maximum number of copied reports of all incarnations in flight; half of a
/// session's send queue.
const MAX_DELIVERIES_IN_FLIGHT: usize = 512;

/// Delivery of one incarnation's settlement copies.
#[derive(Debug, Default)]
pub(crate) struct Delivery {
    /// Number of reports without a reply.
    in_flight: usize,
    /// Earliest time of the next batch. Each report is a command in the
    /// replicated log, so those refused for a gap are not retried at once.
    next_batch_at: Duration,
}

impl Core {
    pub(crate) fn flush_budgets(&mut self, now: Duration) {
        while let Some(grant) = self.allotments.next_grant(now) {
            let seq = grant.seq;
            self.call(Body::Grant(grant), CALL_TIMEOUT, move |res| {
                Completion::Granted(seq, res)
            });
        }
        while let Some(report) = self.allotments.next_report(now) {
            let seq = report.seq;
            self.call(Body::Report(report), CALL_TIMEOUT, move |res| {
                Completion::Reported(seq, res)
            });
        }
        if let Some(holder) = self.copy_holder.clone() {
            while let Some(copy) = self.allotments.next_copy(now) {
                if !self.peers.send(&holder, Payload::SettlementCopy(copy)) {
                    // All copies are sent again once the session is back.
                    self.allotments.resend_copies();
                    break;
                }
            }
        }
        if self.allotments.is_sealed() {
            for reply in self.settlement_waiters.drain(..) {
                reply.send(()).ok();
            }
        }
    }

    /// Returns the idle tokens of a recalled budget, and those that requests free
    /// while the grant that caused the recall waits.
    ///
    /// Otherwise, the tokens of a request that ends just after the recall would
    /// stay here while the other router's request is refused.
    pub(crate) fn on_recall(&mut self, now: Duration, budget: String) {
        self.allotments.recall(now, &budget);
        let wait = Duration::from_millis(self.config.value("recall_wait_ms", ""));
        self.recalled_until.retain(|_, until| now < *until);
        if self.recalled_until.len() < MAX_RECALLED_BUDGETS {
            self.recalled_until.insert(budget, now + wait);
        }
    }

    /// Lets a request wait for a grant, unless too many wait already.
    ///
    /// # Errors
    ///
    /// Refuses the request when its team or the router has reached its maximum.
    /// The limit per team keeps one team that floods a slow budget from blocking
    /// the others.
    pub(crate) fn add_need(
        &mut self,
        need: NeedId,
        no: RequestNo,
        team: &str,
    ) -> Result<(), Refusal> {
        let team_count = self.needs_by_team.get(team).copied().unwrap_or(0);
        if team_count >= self.queues.max_team_grant_waits
            || self.needs.len() >= self.queues.max_grant_waits
        {
            self.gauges.grant_wait_refused.inc();
            return Err(Refusal::new(
                StatusCode::TOO_MANY_REQUESTS,
                "grant_wait_full",
                "too many requests wait for budget tokens at this router",
            )
            .retry_after(DEFAULT_RETRY_AFTER));
        }
        self.needs.insert(need, (no, team.to_owned()));
        self.needs_by_team.insert(team.to_owned(), team_count + 1);
        Ok(())
    }

    /// Removes a need and returns its request.
    pub(crate) fn remove_need(&mut self, need: NeedId) -> Option<RequestNo> {
        let (no, team) = self.needs.remove(&need)?;
        if let Some(count) = self.needs_by_team.get_mut(&team) {
            *count -= 1;
            if *count == 0 {
                self.needs_by_team.remove(&team);
            }
        }
        Some(no)
    }

    pub(crate) fn on_granted(&mut self, now: Duration, seq: u64, res: CallResult) {
        let reply = match res.map(|r| r.answer) {
            Ok(Some(Answer::Applied(reply))) => reply,
            // `next_grant` returns the same grant until it has a reply.
            _ => return,
        };
        for result in self.allotments.on_grant(now, seq, &reply) {
            let Some(no) = self.remove_need(result.need) else {
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
                        self.enqueue(now, no);
                    } else {
                        self.allotments.release(now, id);
                    }
                }
                Err(refusal) => {
                    if let Some(req) = self.requests.get_mut(&no) {
                        req.need = None;
                    }
                    let refusal = match refusal {
                        GrantRefusal::Insufficient(Shortage {
                            unspent, allotted, ..
                        }) => Refusal::new(
                            StatusCode::PAYMENT_REQUIRED,
                            "budget_exhausted",
                            format!(
                                "the budget has {unspent} tokens unspent and {allotted} reserved, \
                                 which doesn't cover the maximum cost of the request"
                            ),
                        ),
                        GrantRefusal::Refused(code, message) => Refusal::unavailable(
                            "budget_unavailable",
                            format!("no tokens can be drawn from the budget: {message} ({code})"),
                        ),
                    };
                    self.refuse(now, no, refusal);
                }
            }
        }
    }

    pub(crate) fn on_reported(&mut self, now: Duration, seq: u64, res: CallResult) {
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
                    slog::error!(self.log, "settlement report refused"; "code" => r.code,
                        "reason" => r.message, "seq" => seq);
                }
                _ => {}
            },
            Ok(_) => {}
            Err(e) => slog::debug!(self.log, "settlement report not acknowledged"; "error" => %e),
        }
    }

    /// Sends copies again while control has not acknowledged their reports,
    /// because a broken session may have lost them.
    pub(crate) fn tick_copies(&mut self, now: Duration) {
        if now.saturating_sub(self.copies_resent_at) >= COPY_RETRY_INTERVAL {
            self.copies_resent_at = now;
            if self.allotments.unacknowledged_reports() > 0 {
                self.allotments.resend_copies();
            }
        }
    }

    /// Delivers settlement copies of routers that the directory no longer lists or
    /// lists as silent.
    ///
    /// A silent router may still deliver them itself. The ledger applies each
    /// report once, whichever router sends it.
    pub(crate) fn deliver_copies(&mut self, now: Duration) {
        if self.routers.version() == 0 {
            return;
        }
        let mut available = MAX_DELIVERIES_IN_FLIGHT
            .saturating_sub(self.deliveries.values().map(|d| d.in_flight).sum());
        let incarnations = self.copies.incarnations();
        self.deliveries
            .retain(|id, d| d.in_flight > 0 || incarnations.binary_search(id).is_ok());
        for id in incarnations {
            let is_open = self
                .routers
                .get(&id.0)
                .is_some_and(|r| r.incarnation == id.1);
            if is_open && !self.routers.is_silent(&id.0) {
                continue;
            }
            let delivery = self.deliveries.entry(id.clone()).or_default();
            if delivery.in_flight > 0 || now < delivery.next_batch_at {
                continue;
            }
            let reports = self
                .copies
                .oldest(&id.0, id.1, DELIVERY_BATCH.min(available));
            available -= reports.len();
            delivery.in_flight = reports.len();
            if let Some(first) = reports.first() {
                slog::info!(self.log, "delivering settlement copies"; "router" => &id.0,
                    "incarnation" => id.1, "first_seq" => first.seq, "count" => reports.len());
            }
            // Calls start in order, so the ledger usually gets the reports in
            // sequence. A report that arrives too early is refused for a gap and
            // retried.
            for report in reports {
                let (id, seq) = (id.clone(), report.seq);
                self.call(Body::Report(report), CALL_TIMEOUT, move |res| {
                    Completion::CopyDelivered(id.0, id.1, seq, res)
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
        res: CallResult,
    ) {
        let mut delay = COPY_RETRY_INTERVAL;
        match res.map(|r| r.answer) {
            Ok(Some(Answer::Applied(reply))) => match reply.reply {
                Some(Reply::Ok(_)) => {
                    self.copies.on_ack(&router, incarnation, seq);
                    delay = Duration::ZERO;
                }
                Some(Reply::Refused(r)) => match r.code.as_str() {
                    // The router itself or its previous copy holder may still
                    // deliver the missing report.
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
            Err(e) => slog::debug!(self.log, "settlement copy not delivered"; "error" => %e),
        }
        if let Some(delivery) = self.deliveries.get_mut(&(router, incarnation)) {
            delivery.in_flight = delivery.in_flight.saturating_sub(1);
            delivery.next_batch_at = now + delay;
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
            ..Query::default()
        };
        self.call(query, CALL_TIMEOUT, move |res| {
            Completion::BudgetRead(reply, res)
        });
    }

    pub(crate) fn on_budget_read(reply: oneshot::Sender<Result<String, Refusal>>, res: CallResult) {
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
