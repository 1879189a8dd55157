//! Reports of crashed endpoints to control.

use anvilloft_dispatch::CrashedEndpoint;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Reply;
use anvilloft_wire::control::Answer;

use super::CallResult;
use super::CompletedCall;
use super::ControlThread;
use crate::crashes;

/// Maximum number of reports of crashes in flight. Further crashes are not reported.
const MAX_CRASH_REPORTS: usize = 16;

impl ControlThread {
    /// Reports crashed endpoints to control.
    pub(super) fn report_crashes(&mut self, crashes: Vec<CrashedEndpoint>) {
        if self.crash_reports >= MAX_CRASH_REPORTS {
            slog::warn!(self.cx.log, "crashes not reported"; "endpoints" => crashes.len());
            return;
        }
        self.crash_reports += 1;
        slog::info!(self.cx.log, "crashes reported"; "endpoints" => crashes.len(),
            "requests" => crashes.iter().map(|c| c.requests.len()).sum::<usize>());
        let report = crashes::report_to_wire(&crashes, self.cx.now());
        self.call(Body::ReportCrashes(report), move |r| {
            CompletedCall::CrashesReported(crashes, r)
        });
    }

    pub(super) fn on_crashes_reported(
        &mut self,
        crashes: Vec<CrashedEndpoint>,
        result: CallResult,
    ) {
        self.crash_reports -= 1;
        match result.map(|r| r.answer) {
            Ok(Some(Answer::Applied(reply))) => match reply.reply {
                Some(Reply::Quarantined(q)) => crashes::push_quarantined(&self.cx, &q),
                reply => {
                    slog::error!(self.cx.log, "report of crashes refused"; "reply" => ?reply);
                }
            },
            // A report has the same effect when it's applied twice.
            _ => self.report_crashes(crashes),
        }
    }
}
