//! Incarnation, configuration lease and router directory.

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

use super::CALL_LIMIT;
use super::Core;
use super::Done;
use super::Outcome;
use super::Phase;

/// Pause before a new try to open the incarnation.
const OPEN_PAUSE: Duration = Duration::from_millis(200);

impl Core {
    pub(crate) fn open_command(&self, state: RouterState) -> Body {
        Body::OpenIncarnation(OpenIncarnation {
            router: self.id.router.clone(),
            incarnation: self.id.incarnation,
            caller_address: self.id.caller_address.clone(),
            peer_address: self.id.peer_address.clone(),
            data_centre: self.id.data_centre.clone(),
            state: state as i32,
        })
    }

    /// Registers this incarnation, or its present state again.
    pub(crate) fn open(&mut self) {
        let state = if self.phase_now() >= Phase::Leaving {
            RouterState::Draining
        } else {
            RouterState::Alive
        };
        let body = self.open_command(state);
        self.call(body, CALL_LIMIT, Done::Opened);
    }

    pub(crate) fn on_opened(&mut self, now: Duration, res: Outcome) {
        let reply = match res {
            Ok(reply) => reply.answer,
            Err(e) => {
                slog::debug!(self.log, "cannot register yet"; "error" => %e);
                return self.later(OPEN_PAUSE, Done::Again(Box::new(Done::Opened(Err(e)))));
            }
        };
        match reply {
            Some(Answer::Applied(r)) => match r.reply {
                Some(Reply::Ok(_)) => {
                    if self.phase_now() == Phase::Opening {
                        self.phase.send_replace(Phase::Serving);
                        slog::info!(self.log, "registered";
                            "incarnation" => self.id.incarnation);
                    }
                    if self.phase_now() == Phase::Leaving && self.leave_until.is_none() {
                        // Entry answers until now may name this router for as
                        // long as callers keep them.
                        let keep = self.config.value("keep_ms", "");
                        self.leave_until = Some(now + Duration::from_millis(keep));
                    }
                    self.renew_at = now;
                    self.tick_lease(now);
                }
                Some(Reply::Refused(r)) if r.code == "still_alive" || r.code == "table_full" => {
                    slog::warn!(self.log, "cannot register yet"; "reason" => r.message);
                    self.later(
                        OPEN_PAUSE * 5,
                        Done::Again(Box::new(Done::Opened(Ok(Default::default())))),
                    );
                }
                Some(Reply::Refused(r)) => self.superseded(&r.message),
                _ => self.later(
                    OPEN_PAUSE,
                    Done::Again(Box::new(Done::Opened(Ok(Default::default())))),
                ),
            },
            _ => self.later(
                OPEN_PAUSE,
                Done::Again(Box::new(Done::Opened(Ok(Default::default())))),
            ),
        }
    }

    /// Control ended this incarnation: nothing new may start.
    fn superseded(&mut self, reason: &str) {
        slog::error!(self.log, "this incarnation has ended"; "reason" => reason);
        self.lease_until = Duration::ZERO;
        self.phase.send_replace(Phase::Superseded);
        self.publish();
    }

    pub(crate) fn tick_lease(&mut self, now: Duration) {
        let phase = self.phase_now();
        let open = phase != Phase::Opening && phase < Phase::Closed;
        if !open || self.renewing || now < self.renew_at {
            return;
        }
        let every = Duration::from_millis(self.config.value("lease_renew_ms", ""));
        self.renew_at = now + every;
        self.renewing = true;
        let req = RenewLease {
            router: self.id.router.clone(),
            incarnation: self.id.incarnation,
            revision: self.config.revision(),
            directory_version: self.routers.version(),
            report: self.next_placement_report(),
            publication_version: 0,
        };
        // A renewal that takes longer than the interval is given up for a new
        // one, whose lease counts from a later time.
        self.call(req, every, move |res| Done::Renewed(now, res));
    }

    pub(crate) fn on_renewed(&mut self, now: Duration, sent: Duration, res: Outcome) {
        self.renewing = false;
        match res.map(|r| r.answer) {
            Ok(Some(Answer::Lease(grant))) => self.on_lease(now, sent, grant),
            Ok(_) => self.placement.repeat(),
            Err(e) => {
                self.placement.repeat();
                slog::debug!(self.log, "no lease"; "error" => %e);
            }
        }
    }

    fn on_lease(&mut self, now: Duration, sent: Duration, grant: LeaseGrant) {
        if grant.valid_ms == 0 {
            // Lost or closed. Registering again tells which.
            self.lease_until = Duration::ZERO;
            self.publish();
            self.open();
            return;
        }
        if let Some(update) = &grant.config {
            let mut config = (*self.config).clone();
            match config.apply(update) {
                Ok(true) => {
                    let ranks = config.ranks().ne(self.config.ranks());
                    self.config = Arc::new(config);
                    let idle = self.config.value("allotment_idle_ms", "");
                    self.allotments
                        .set_idle_timeout(Duration::from_millis(idle));
                    if ranks {
                        self.rebuild_lanes(now);
                    }
                    slog::info!(self.log, "configuration";
                        "revision" => self.config.revision());
                }
                Ok(false) => {}
                Err(e) => {
                    // The lease stands for the granted revision; without its
                    // items it must not count.
                    self.gauges.bad_updates.inc();
                    slog::error!(self.log, "cannot apply configuration"; "error" => %e);
                    return;
                }
            }
        }
        let changed = grant.directory_version != self.routers.version();
        if changed || !grant.routers.is_empty() {
            self.routers = Arc::new(RouterDirectory::new(grant.directory_version, grant.routers));
            let list: Vec<OpenIncarnation> = self.routers.iter().cloned().collect();
            self.peers.set_routers(&list);
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
