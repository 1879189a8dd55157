//! Orders: recorded at control before the first byte is sent, and with their
//! outcome afterwards.

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

use super::CALL_TIMEOUT;
use super::CallResult;
use super::Completion;
use super::Core;

/// Delay before a call to control is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// An `OrderBegin` that control has not acknowledged.
pub(crate) struct PendingOrderBegin {
    begin: OrderBegin,
    deadline: Duration,
    /// Whether an earlier call may have been committed.
    maybe_committed: bool,
    reply: oneshot::Sender<Result<OrderReply, Refusal>>,
}

impl Core {
    pub(crate) fn on_order_begin(
        &mut self,
        now: Duration,
        mut begin: OrderBegin,
        timeout: Duration,
        reply: oneshot::Sender<Result<OrderReply, Refusal>>,
    ) {
        if let Err(refusal) = self.check_lease(now, &begin.team) {
            reply.send(Err(refusal)).ok();
            return;
        }
        begin.incarnation = self.id.incarnation;
        self.open_orders += 1;
        self.send_order_begin(PendingOrderBegin {
            begin,
            deadline: now + timeout,
            maybe_committed: false,
            reply,
        });
    }

    pub(crate) fn send_order_begin(&mut self, pending: PendingOrderBegin) {
        let body = Body::OrderBegin(pending.begin.clone());
        self.call(body, CALL_TIMEOUT, move |res| {
            Completion::OrderBegun(Box::new(pending), res)
        });
    }

    pub(crate) fn on_order_begun(
        &mut self,
        now: Duration,
        mut pending: PendingOrderBegin,
        res: CallResult,
    ) {
        let reply = match res.map(|r| r.answer) {
            Ok(Some(Answer::Applied(reply))) => reply.reply,
            other => {
                if !matches!(other, Err(CallError::Unavailable(_))) {
                    pending.maybe_committed = true;
                }
                if now < pending.deadline {
                    let retry = Completion::OrderBegun(Box::new(pending), Ok(Default::default()));
                    self.complete_after(RETRY_DELAY, Completion::Retry(Box::new(retry)));
                    return;
                }
                self.open_orders -= 1;
                if pending.maybe_committed {
                    // It may be recorded as running, but nothing was sent.
                    self.record_not_run(&pending.begin);
                }
                let refusal = Refusal::unavailable(
                    "control_unavailable",
                    "the order can't be recorded at present",
                )
                .retry_after(Duration::from_secs(1));
                pending.reply.send(Err(refusal)).ok();
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
        let may_run = answer
            .as_ref()
            .is_ok_and(|o| o.state == OrderState::Run as i32);
        if pending.reply.send(answer).is_err() && may_run {
            // The caller disconnected before anything was sent.
            self.record_not_run(&pending.begin);
        }
    }

    fn record_not_run(&mut self, begin: &OrderBegin) {
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
        self.call(body, CALL_TIMEOUT, move |res| {
            Completion::OrderFinished(Box::new(finish), res)
        });
    }

    pub(crate) fn on_order_finished(&mut self, finish: OrderFinish, res: CallResult) {
        match res.map(|r| r.answer) {
            Ok(Some(Answer::Applied(reply))) => {
                self.open_orders -= 1;
                if let Some(Reply::Refused(r)) = reply.reply {
                    slog::error!(self.log, "order outcome refused"; "code" => r.code);
                }
            }
            _ => {
                let retry = Completion::OrderFinished(Box::new(finish), Ok(Default::default()));
                self.complete_after(RETRY_DELAY, Completion::Retry(Box::new(retry)));
            }
        }
    }
}
