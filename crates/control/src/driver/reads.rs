//! Configuration leases and queries, answered once a majority has confirmed the
//! leader.

use std::sync::atomic::Ordering;

use anvilloft_types::prelude::*;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::LeaseGrant;
use anvilloft_wire::control::Query;
use anvilloft_wire::control::RenewLease;

use super::core::Core;
use super::placement::ENDPOINTS_QUERY;
use super::replies::ReplySender;
use super::replies::send_answer;

/// A read that waits for the leadership to be confirmed.
pub(super) enum PendingRead {
    Renew(RenewLease),
    Query(Query),
    Group,
    /// Plans placement, with the leadership confirmed as of this time.
    Plan(Duration),
}

impl Core {
    /// Requests a confirmation of the leadership, after which the read is
    /// answered.
    pub(super) fn request_read(&mut self, now: Duration, read: PendingRead, reply: ReplySender) {
        let ctx = self.next_read;
        self.next_read += 1;
        match self.node.request_read(now, ctx) {
            Ok(()) => {
                self.reads.insert(ctx, (read, reply));
            }
            Err(e) => {
                self.stats.calls_refused.fetch_add(1, Ordering::Relaxed);
                send_answer(reply, Answer::Unavailable(e.to_string()));
            }
        }
    }

    /// Returns the answer to a confirmed read.
    pub(super) fn finish_read(&mut self, read: &PendingRead) -> Answer {
        match read {
            PendingRead::Renew(req) => Answer::Lease(Box::new(self.grant_lease(req))),
            PendingRead::Plan(requested_at) => {
                self.plan_placement(*requested_at);
                Answer::QueryResult(String::new())
            }
            PendingRead::Query(q) if q.kind == ENDPOINTS_QUERY => {
                let now = self.now();
                Answer::QueryResult(self.placement.list(now, &q.name, q.limit).to_string())
            }
            PendingRead::Query(q) => match self.ledger.query(q) {
                Ok(json) => Answer::QueryResult(json),
                Err(e) => Answer::Unavailable(e.to_string()),
            },
            PendingRead::Group => Answer::QueryResult(self.group_status().to_string()),
        }
    }

    fn grant_lease(&mut self, req: &RenewLease) -> LeaseGrant {
        let now = self.now();
        let ledger = &self.ledger;
        let directory_version = ledger.directory_version();
        if !ledger.is_incarnation_open(&req.router, req.incarnation) {
            return LeaseGrant {
                directory_version,
                ..LeaseGrant::default()
            };
        }
        self.timers
            .record_renewal(now, &req.router, req.incarnation);
        let age = Duration::from_millis(req.age_ms);
        self.timers
            .record_age(now, &req.router, req.incarnation, age);
        if let Some(report) = &req.report {
            let dropped = self
                .placement
                .record_report(now, &req.router, req.incarnation, report);
            self.stats
                .reports_dropped
                .fetch_add(dropped as u64, Ordering::Relaxed);
        }
        let routers = if req.directory_version == directory_version {
            Vec::new()
        } else {
            ledger.open_incarnations()
        };
        let quarantined = ledger.quarantined();
        LeaseGrant {
            valid_ms: ledger.config().value("config_lease_ms", ""),
            config: ledger.config_since(req.revision),
            directory_version,
            routers,
            suspects: ledger
                .suspect_fingerprints()
                .iter()
                .map(|f| f.to_vec())
                .collect(),
            recalls: self.recalls.for_router(now, &req.router, req.incarnation),
            silent_routers: self.timers.silent_routers(now, ledger),
            publication: ledger.publication_since(req.publication_version),
            members: self.member_addresses(),
            quarantined: quarantined.fingerprints,
            quarantine_version: quarantined.version,
            evacuations: Some(ledger.evacuations()),
        }
    }
}
