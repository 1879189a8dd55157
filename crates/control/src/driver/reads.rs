//! Leases and queries, answered after the leader is confirmed.

use std::sync::atomic::Ordering;

use anvilloft_types::prelude::*;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::LeaseGrant;
use anvilloft_wire::control::Query;
use anvilloft_wire::control::RenewLease;

use super::core::Core;
use super::placement::ENDPOINTS_QUERY;
use super::replies::ReplyTo;
use super::replies::answer;

/// A read that waits for its confirmation.
pub(super) enum Read {
    Renew(RenewLease),
    Query(Query),
    Group,
    /// Confirms the leadership as of this time, then plans placement.
    Plan(Duration),
}

impl Core {
    pub(super) fn read(&mut self, now: Duration, read: Read, reply: ReplyTo) {
        let ctx = self.next_read;
        self.next_read += 1;
        match self.node.request_read(now, ctx) {
            Ok(()) => {
                self.reads.insert(ctx, (read, reply));
            }
            Err(e) => {
                self.stats.calls_refused.fetch_add(1, Ordering::Relaxed);
                answer(reply, Answer::Unavailable(e.to_string()));
            }
        }
    }

    /// Returns the answer to a confirmed read.
    pub(super) fn finish_read(&mut self, read: &Read) -> Answer {
        match read {
            Read::Renew(req) => Answer::Lease(self.grant_lease(req)),
            Read::Plan(asked) => {
                self.plan_placement(*asked);
                Answer::QueryResult(String::new())
            }
            Read::Query(q) if q.kind == ENDPOINTS_QUERY => {
                let now = self.now();
                Answer::QueryResult(self.placement.list(now, &q.name, q.limit).to_string())
            }
            Read::Query(q) => match self.ledger.query(q) {
                Ok(json) => Answer::QueryResult(json),
                Err(e) => Answer::Unavailable(e.to_string()),
            },
            Read::Group => Answer::QueryResult(self.group_status().to_string()),
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
        self.clocks.heard(now, &req.router, req.incarnation);
        if let Some(report) = &req.report {
            let dropped = self
                .placement
                .take_report(now, &req.router, req.incarnation, report);
            self.stats
                .reports_dropped
                .fetch_add(dropped as u64, Ordering::Relaxed);
        }
        let routers = if req.directory_version == directory_version {
            Vec::new()
        } else {
            ledger.open_incarnations()
        };
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
            recalls: self.recalls.of_router(now, &req.router, req.incarnation),
            silent_routers: self.clocks.silent(now, ledger),
            publication: ledger.publication_since(req.publication_version),
            members: self.member_addresses(),
        }
    }
}
