//! Orders: the record before the first byte and the outcome after.

use std::time::Duration;

use anvilloft_gateway::Refusal;
use anvilloft_types::RunState;
use anvilloft_wire::CallError;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::OrderBegin;
use anvilloft_wire::command::OrderFinish;
use anvilloft_wire::command::OrderOutcome;
use anvilloft_wire::command::OrderReply;
use anvilloft_wire::command::OrderState;
use anvilloft_wire::command::Reply;
use anvilloft_wire::control::Answer;
use tokio::sync::oneshot;

use super::CALL_LIMIT;
use super::Core;
use super::Done;
use super::Outcome;

/// Pause before a call is sent again.
const RESEND: Duration = Duration::from_millis(100);

/// An `OrderBegin` on its way.
pub(crate) struct Beginning {
    begin: OrderBegin,
    until: Duration,
    /// Whether an earlier try may have been committed.
    unknown: bool,
    reply: oneshot::Sender<Result<OrderReply, Refusal>>,
}

impl Core {
    pub(crate) fn on_order_begin(
        &mut self,
        now: Duration,
        mut begin: OrderBegin,
        within: Duration,
        reply: oneshot::Sender<Result<OrderReply, Refusal>>,
    ) {
        if let Err(refusal) = self.check_lease(now, &begin.team) {
            reply.send(Err(refusal)).ok();
            return;
        }
        begin.incarnation = self.id.incarnation;
        self.open_orders += 1;
        self.send_order_begin(Beginning {
            begin,
            until: now + within,
            unknown: false,
            reply,
        });
    }

    pub(crate) fn send_order_begin(&mut self, beginning: Beginning) {
        let body = Body::OrderBegin(beginning.begin.clone());
        self.call(body, CALL_LIMIT, move |res| {
            Done::OrderBegun(Box::new(beginning), res)
        });
    }

    pub(crate) fn on_order_begun(&mut self, now: Duration, mut beginning: Beginning, res: Outcome) {
        let reply = match res.map(|r| r.answer) {
            Ok(Some(Answer::Applied(reply))) => reply.reply,
            other => {
                if !matches!(other, Err(CallError::Unavailable(_))) {
                    beginning.unknown = true;
                }
                if now < beginning.until {
                    let again = Done::OrderBegun(Box::new(beginning), Ok(Default::default()));
                    self.later(RESEND, Done::Again(Box::new(again)));
                    return;
                }
                self.open_orders -= 1;
                if beginning.unknown {
                    // It may be recorded as running; nothing was sent.
                    self.not_run(&beginning.begin);
                }
                let refusal = Refusal::unavailable(
                    "control_unavailable",
                    "the order can't be recorded at present",
                )
                .retry_after(Duration::from_secs(1));
                beginning.reply.send(Err(refusal)).ok();
                return;
            }
        };
        self.open_orders -= 1;
        let answer = match reply {
            Some(Reply::Order(order)) => Ok(order),
            Some(Reply::Refused(r)) => Err(Refusal::unavailable(
                "order_refused",
                format!("the order can't be recorded: {}", r.message),
            )),
            _ => Err(Refusal::unavailable(
                "control_unavailable",
                "the order can't be recorded at present",
            )
            .with_run_state(RunState::No)),
        };
        let runs = answer
            .as_ref()
            .is_ok_and(|o| o.state == OrderState::Run as i32);
        if beginning.reply.send(answer).is_err() && runs {
            // The caller went away before anything was sent.
            self.not_run(&beginning.begin);
        }
    }

    fn not_run(&mut self, begin: &OrderBegin) {
        self.on_order_finish(OrderFinish {
            team: begin.team.clone(),
            key: begin.key.clone(),
            attempt: begin.attempt.clone(),
            outcome: OrderOutcome::NotRun as i32,
            ..OrderFinish::default()
        });
    }

    pub(crate) fn on_order_finish(&mut self, finish: OrderFinish) {
        self.open_orders += 1;
        self.send_order_finish(finish);
    }

    pub(crate) fn send_order_finish(&mut self, finish: OrderFinish) {
        let body = Body::OrderFinish(finish.clone());
        self.call(body, CALL_LIMIT, move |res| {
            Done::OrderFinished(Box::new(finish), res)
        });
    }

    pub(crate) fn on_order_finished(&mut self, finish: OrderFinish, res: Outcome) {
        match res.map(|r| r.answer) {
            Ok(Some(Answer::Applied(reply))) => {
                self.open_orders -= 1;
                if let Some(Reply::Refused(r)) = reply.reply {
                    slog::error!(self.log, "order outcome refused"; "code" => r.code);
                }
            }
            _ => {
                let again = Done::OrderFinished(Box::new(finish), Ok(Default::default()));
                self.later(RESEND, Done::Again(Box::new(again)));
            }
        }
    }
}
