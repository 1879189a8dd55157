//! The drain: a planned stop that interrupts no request.

use std::time::Duration;

use anvilloft_wire::command::Body;
use anvilloft_wire::command::CloseIncarnation;
use anvilloft_wire::control::Answer;

use super::CALL_TIMEOUT;
use super::CallResult;
use super::Completion;
use super::Core;
use super::Phase;

/// Delay before the close of the incarnation is retried.
const CLOSE_RETRY_DELAY: Duration = Duration::from_millis(200);

impl Core {
    /// Withdraws the router from entry answers. It still accepts requests while
    /// callers may have cached an entry answer that names it.
    pub(crate) fn start_drain(&mut self) {
        if self.current_phase() >= Phase::Leaving {
            return;
        }
        slog::info!(self.log, "drains"; "requests" => self.requests.len());
        self.phase.send_replace(Phase::Leaving);
        self.publish();
        self.register();
    }

    pub(crate) fn tick_drain(&mut self, now: Duration) {
        match self.current_phase() {
            Phase::Leaving if self.leave_until.is_some_and(|until| now >= until) => {
                slog::info!(self.log, "no longer accepts requests"; "requests" => self.requests.len());
                self.phase.send_replace(Phase::Finishing);
                self.publish();
            }
            Phase::Finishing if self.requests.is_empty() && self.open_orders == 0 => {
                self.allotments.drain(now);
                if self.allotments.is_settled() && !self.closing {
                    self.closing = true;
                    let close = CloseIncarnation {
                        router: self.id.router.clone(),
                        incarnation: self.id.incarnation,
                    };
                    self.call(
                        Body::CloseIncarnation(close),
                        CALL_TIMEOUT,
                        Completion::IncarnationClosed,
                    );
                }
            }
            _ => {}
        }
    }

    /// Logs the requests and orders that an immediate stop interrupts.
    pub(crate) fn log_interrupted(&self) {
        for (no, req) in &self.requests {
            slog::warn!(self.log, "interrupted"; "no" => no,
                "request" => &req.admit.request_id, "team" => &req.admit.team);
        }
        slog::warn!(self.log, "stopped before the drain finished";
            "requests" => self.requests.len(), "orders" => self.open_orders);
    }

    pub(crate) fn on_closed(&mut self, res: CallResult) {
        match res.map(|r| r.answer) {
            Ok(Some(Answer::Applied(_))) => {
                slog::info!(self.log, "closed");
                self.phase.send_replace(Phase::Closed);
            }
            _ => self.complete_after(
                CLOSE_RETRY_DELAY,
                Completion::Retry(Box::new(Completion::IncarnationClosed(Ok(
                    Default::default(),
                )))),
            ),
        }
    }
}
