//! Cold endpoints: limits from the route table, designated routers from the lease, and
//! reports of what became cold or warm.

use anvilloft_directory::DesignatedRouters;
use anvilloft_dispatch::ColdLimit;
use anvilloft_routes::ColdSpec;
use anvilloft_routes::RouteTable;
use anvilloft_types::prelude::*;
use anvilloft_wire::control::LeaseGrant;

use super::ControlThread;

fn limit(spec: ColdSpec) -> ColdLimit {
    ColdLimit {
        start: spec.start,
        per_s: spec.per_1000_s as f64 / 1_000.0,
    }
}

impl ControlThread {
    /// Adopts the limits of a route table.
    pub(super) fn set_cold_limits(&self, table: &RouteTable) {
        let services = table.services().iter();
        let limits = services.filter_map(|s| Some((s.name.clone(), limit(s.cold?))));
        self.cx.dispatcher().set_cold_limits(limits);
        self.update_cold_ranks();
    }

    /// Adopts the designated routers of a lease. The directory comes only with its changes,
    /// but the silent routers with each lease.
    pub(super) fn set_designated(&mut self, grant: &LeaseGrant) {
        let is_new = !grant.routers.is_empty();
        if is_new {
            self.routers.clone_from(&grant.routers);
        }
        if !is_new && self.silent_routers == grant.silent_routers {
            return;
        }
        self.silent_routers.clone_from(&grant.silent_routers);
        self.designated = DesignatedRouters::new(&self.routers, &self.silent_routers);
        self.update_cold_ranks();
    }

    fn update_cold_ranks(&self) {
        let own = &self.registration.router;
        let mut dispatcher = self.cx.dispatcher();
        dispatcher.set_cold_ranks(|endpoint| self.designated.rank(endpoint, own));
    }

    /// Sets whether this router is designated for a new endpoint.
    pub(super) fn update_cold_rank(&self, endpoint: &str) {
        let own = &self.registration.router;
        let mut dispatcher = self.cx.dispatcher();
        dispatcher.set_cold_rank(endpoint, |id| self.designated.rank(id, own));
    }

    /// Logs which endpoints have become cold or warm, and counts them.
    pub(super) fn report_cold(&self, now: Duration) {
        let (changes, count) = self.cx.dispatcher().take_cold_changes(now);
        self.cx
            .metrics
            .cold_endpoints
            .set(i64::try_from(count).unwrap_or(i64::MAX));
        for change in changes {
            slog::info!(self.cx.log, "endpoint warmth"; "endpoint" => change.endpoint,
                "cold" => change.cause.is_some(),
                "cause" => change.cause.map(|c| c.as_str()),
                "rank" => change.rank, "routers" => self.designated.len());
        }
    }
}
