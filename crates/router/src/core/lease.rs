//! Registration of the incarnation, configuration lease and router directory.

use std::sync::Arc;
use std::time::Duration;

use anvilloft_directory::RouterDirectory;
use anvilloft_types::Fingerprint;
use anvilloft_types::RouterId;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::RouterState;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::LeaseGrant;
use anvilloft_wire::control::RenewLease;

use super::CALL_TIMEOUT;
use super::CallResult;
use super::Completion;
use super::Core;
use super::Phase;

/// Delay before the registration is retried.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(200);

impl Core {
    pub(crate) fn registration(&self, state: RouterState) -> Body {
        Body::OpenIncarnation(OpenIncarnation {
            router: self.id.router.clone(),
            incarnation: self.id.incarnation,
            caller_address: self.id.caller_address.clone(),
            peer_address: self.id.peer_address.clone(),
            data_centre: self.id.data_centre.clone(),
            state: state as i32,
        })
    }

    /// Registers this incarnation, or updates its state at control.
    pub(crate) fn register(&mut self) {
        let state = if self.current_phase() >= Phase::Leaving {
            RouterState::Draining
        } else {
            RouterState::Alive
        };
        let body = self.registration(state);
        self.call(body, CALL_TIMEOUT, Completion::IncarnationOpened);
    }

    pub(crate) fn on_opened(&mut self, now: Duration, res: CallResult) {
        let reply = match res {
            Ok(reply) => reply.answer,
            Err(e) => {
                slog::debug!(self.log, "cannot register yet"; "error" => %e);
                return self.complete_after(
                    REGISTER_RETRY_DELAY,
                    Completion::Retry(Box::new(Completion::IncarnationOpened(Err(e)))),
                );
            }
        };
        match reply {
            Some(Answer::Applied(r)) => match r.reply {
                Some(Reply::Ok(_)) => {
                    if self.current_phase() == Phase::Registering {
                        self.phase.send_replace(Phase::Serving);
                        slog::info!(self.log, "registered";
                            "incarnation" => self.id.incarnation);
                    }
                    if self.current_phase() == Phase::Leaving && self.leave_until.is_none() {
                        // Callers may use entry answers that name this router
                        // until `keep_ms` after the last one was given.
                        let keep_ms = self.config.value("keep_ms", "");
                        self.leave_until = Some(now + Duration::from_millis(keep_ms));
                    }
                    self.renew_at = now;
                    self.tick_lease(now);
                }
                Some(Reply::Refused(r)) if r.code == "still_alive" || r.code == "table_full" => {
                    slog::warn!(self.log, "cannot register yet"; "reason" => r.message);
                    self.complete_after(
                        REGISTER_RETRY_DELAY * 5,
                        Completion::Retry(Box::new(Completion::IncarnationOpened(Ok(
                            Default::default(),
                        )))),
                    );
                }
                Some(Reply::Refused(r)) => self.on_superseded(&r.message),
                _ => self.complete_after(
                    REGISTER_RETRY_DELAY,
                    Completion::Retry(Box::new(Completion::IncarnationOpened(Ok(
                        Default::default(),
                    )))),
                ),
            },
            _ => self.complete_after(
                REGISTER_RETRY_DELAY,
                Completion::Retry(Box::new(Completion::IncarnationOpened(Ok(
                    Default::default(),
                )))),
            ),
        }
    }

    /// Handles a reply that control has ended this incarnation: no request may
    /// start.
    fn on_superseded(&mut self, reason: &str) {
        slog::error!(self.log, "control ended this incarnation"; "reason" => reason);
        self.lease_until = Duration::ZERO;
        self.phase.send_replace(Phase::Superseded);
        self.publish();
    }

    pub(crate) fn tick_lease(&mut self, now: Duration) {
        let phase = self.current_phase();
        let open = phase != Phase::Registering && phase < Phase::Closed;
        if !open || self.renewing || now < self.renew_at {
            return;
        }
        let interval = Duration::from_millis(self.config.value("lease_renew_ms", ""));
        self.renew_at = now + interval;
        self.renewing = true;
        let req = RenewLease {
            router: self.id.router.clone(),
            incarnation: self.id.incarnation,
            revision: self.config.revision(),
            directory_version: self.routers.version(),
            report: self.next_placement_report(),
            publication_version: 0,
            age_ms: 0,
        };
        // A renewal that takes longer than the interval is abandoned for a new
        // one, whose lease counts from a later time.
        self.call(req, interval, move |res| Completion::LeaseRenewed(now, res));
    }

    pub(crate) fn on_renewed(&mut self, now: Duration, sent: Duration, res: CallResult) {
        self.renewing = false;
        match res.map(|r| r.answer) {
            Ok(Some(Answer::Lease(grant))) => self.on_lease(now, sent, *grant),
            Ok(_) => self.placement.report_next(),
            Err(e) => {
                self.placement.report_next();
                slog::debug!(self.log, "no lease"; "error" => %e);
            }
        }
    }

    fn on_lease(&mut self, now: Duration, sent: Duration, grant: LeaseGrant) {
        if grant.valid_ms == 0 {
            // The incarnation is lost or closed; registering again shows which.
            self.lease_until = Duration::ZERO;
            self.publish();
            self.register();
            return;
        }
        if let Some(update) = &grant.config {
            let mut config = (*self.config).clone();
            match config.apply(update) {
                Ok(true) => {
                    let ranks_changed = config.ranks().ne(self.config.ranks());
                    self.config = Arc::new(config);
                    let idle_ms = self.config.value("allotment_idle_ms", "");
                    self.allotments
                        .set_idle_timeout(Duration::from_millis(idle_ms));
                    if ranks_changed {
                        self.rebuild_lanes(now);
                    }
                    slog::info!(self.log, "configuration";
                        "revision" => self.config.revision());
                }
                Ok(false) => {}
                Err(e) => {
                    // The lease is granted for the new revision, so it must not
                    // count without that revision's items.
                    self.gauges.bad_updates.inc();
                    slog::error!(self.log, "cannot apply configuration"; "error" => %e);
                    return;
                }
            }
        }
        let changed = grant.directory_version != self.routers.version();
        if changed || !grant.routers.is_empty() {
            self.routers = Arc::new(RouterDirectory::new(grant.directory_version, grant.routers));
            let routers: Vec<OpenIncarnation> = self.routers.iter().cloned().collect();
            self.peers.set_routers(&routers);
            let names: Vec<RouterId> = self.routers.iter().map(|r| r.router.clone()).collect();
            self.selector.set_routers(&self.id.router, &names);
            self.capacity_dirty = true;
        }
        if changed || grant.silent_routers != self.routers.silent() {
            Arc::make_mut(&mut self.routers).set_silent(grant.silent_routers);
            let holder = self
                .routers
                .copy_holder(&self.id.router)
                .map(|r| r.router.clone());
            if holder != self.copy_holder {
                self.copy_holder = holder;
                self.allotments.resend_copies();
            }
        }
        let suspects = grant
            .suspects
            .iter()
            .filter_map(|f| Fingerprint::try_from(f.as_slice()).ok());
        self.suspects.set_struck(now, suspects);
        for budget in grant.recalls {
            self.on_recall(now, budget);
        }
        let until = sent + Duration::from_millis(grant.valid_ms);
        if until > self.lease_until {
            self.lease_until = until;
        }
        self.publish();
    }
}
