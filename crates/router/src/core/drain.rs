//! The planned stop.

use std::time::Duration;

use anvilloft_wire::command::Body;
use anvilloft_wire::command::CloseIncarnation;
use anvilloft_wire::control::Answer;

use super::CALL_LIMIT;
use super::Core;
use super::Done;
use super::Outcome;
use super::Phase;

/// Pause before the close is sent again.
const CLOSE_PAUSE: Duration = Duration::from_millis(200);

impl Core {
    /// Leaves the entry answers. The router serves on while callers may keep
    /// an answer that names it.
    pub(crate) fn start_drain(&mut self) {
        if self.phase_now() >= Phase::Leaving {
            return;
        }
        slog::info!(self.log, "drains"; "requests" => self.requests.len());
        self.phase.send_replace(Phase::Leaving);
        self.publish();
        self.open();
    }

    pub(crate) fn tick_drain(&mut self, now: Duration) {
        match self.phase_now() {
            Phase::Leaving if self.leave_until.is_some_and(|until| now >= until) => {
                slog::info!(self.log, "takes no new work"; "requests" => self.requests.len());
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
                    self.call(Body::CloseIncarnation(close), CALL_LIMIT, Done::Closed);
                }
            }
            _ => {}
        }
    }

    /// Says what a stop without a drain interrupts.
    pub(crate) fn log_interrupted(&self) {
        for (no, req) in &self.requests {
            slog::warn!(self.log, "interrupted"; "no" => no,
                "request" => &req.admit.request_id, "team" => &req.admit.team);
        }
        slog::warn!(self.log, "stops without a drain";
            "requests" => self.requests.len(), "orders" => self.open_orders);
    }

    pub(crate) fn on_closed(&mut self, res: Outcome) {
        match res.map(|r| r.answer) {
            Ok(Some(Answer::Applied(_))) => {
                slog::info!(self.log, "closed");
                self.phase.send_replace(Phase::Closed);
            }
            _ => self.later(
                CLOSE_PAUSE,
                Done::Again(Box::new(Done::Closed(Ok(Default::default())))),
            ),
        }
    }
}
