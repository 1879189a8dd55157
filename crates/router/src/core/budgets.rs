//! Grants, reports and copies of settlements.

use std::time::Duration;

use anvilloft_budget::GrantRefusal;
use anvilloft_gateway::Refusal;
use anvilloft_types::Incarnation;
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

/// Time after which unacknowledged settlements are copied again.
const COPY_AGAIN: Duration = Duration::from_secs(2);
/// Recalled budgets that are kept, at most.
const MAX_RECALLED: usize = 65_536;

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
                    self.allotments.copy_again();
                    break;
                }
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

    pub(crate) fn on_granted(&mut self, now: Duration, seq: u64, res: Outcome) {
        let reply = match res.map(|r| r.answer) {
            Ok(Some(Answer::Applied(reply))) => reply,
            // The same grant is proposed again until it has a reply.
            _ => return,
        };
        for result in self.allotments.on_grant(now, seq, &reply) {
            let Some(no) = self.needs.remove(&result.need) else {
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
                        let release = Payload::SettlementCopy(self.allotments.copy_release());
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
            if self.allotments.unacknowledged() > 0 {
                self.allotments.copy_again();
            }
        }
    }

    /// Delivers the settlements of routers that are gone.
    pub(crate) fn deliver_copies(&mut self) {
        for (router, incarnation) in self.copies.incarnations() {
            let open = self
                .routers
                .get(&router)
                .is_some_and(|r| r.incarnation == incarnation);
            let id = (router, incarnation);
            if open || self.routers.version() == 0 || self.delivering.contains(&id) {
                continue;
            }
            let Some(report) = self.copies.next(&id.0, id.1, 1).pop() else {
                continue;
            };
            self.delivering.insert(id.clone());
            let seq = report.seq;
            slog::info!(self.log, "delivers a settlement copy"; "router" => &id.0,
                "seq" => seq);
            self.call(Body::Report(report), CALL_LIMIT, move |res| {
                Done::CopyDelivered(id.0, id.1, seq, res)
            });
        }
    }

    pub(crate) fn on_copy_delivered(
        &mut self,
        router: String,
        incarnation: Incarnation,
        seq: u64,
        res: Outcome,
    ) {
        match res.map(|r| r.answer) {
            Ok(Some(Answer::Applied(reply))) => match reply.reply {
                Some(Reply::Ok(_)) => self.copies.on_ack(&router, incarnation, seq),
                Some(Reply::Refused(r)) => {
                    // A gap before it means that the owner's earlier reports
                    // were never copied here; nobody has them.
                    slog::error!(self.log, "settlement copy refused"; "router" => &router,
                        "code" => r.code, "seq" => seq);
                    self.copies.on_ack(&router, incarnation, seq);
                }
                _ => {}
            },
            Ok(_) => {}
            Err(e) => slog::debug!(self.log, "copy not delivered"; "error" => %e),
        }
        self.delivering.remove(&(router, incarnation));
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
