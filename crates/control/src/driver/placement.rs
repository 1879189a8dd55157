//! Placement reports of routers, and the planner that the leader runs over
//! them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use anvilloft_ledger::Config;
use anvilloft_placement::Demand;
use anvilloft_placement::EndpointView;
use anvilloft_placement::Order;
use anvilloft_placement::PlacementConfig;
use anvilloft_placement::Planner;
use anvilloft_types::prelude::*;
use anvilloft_wire::control::PlacementReport;
use anvilloft_wire::control::ReportedEndpoint;
use serde_json::Value;
use serde_json::json;
use tokio::sync::oneshot;

use super::core::Core;
use super::reads::PendingRead;

/// Kind of the query that lists the endpoints.
pub(crate) const ENDPOINTS_QUERY: &str = "endpoints";
/// Interval between runs of the planner.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Number of lease renewals after which every router has reported to a new
/// leader. Routers report with every fifth renewal.
const SETTLE_RENEWALS: u32 = 6;
/// Number of lease renewals for which a report is kept, so that three reports
/// may be lost.
const REPORT_TTL_RENEWALS: u32 = 16;
/// Maximum number of routers whose reports are kept.
const MAX_ROUTERS: usize = 1_024;
/// Maximum number of reported endpoints of all routers.
const MAX_ENDPOINTS: usize = 16_384;
/// Maximum number of models with demand in one report.
const MAX_DEMANDS_PER_REPORT: usize = 1_024;
/// Maximum number of models of one endpoint.
const MAX_MODELS_PER_ENDPOINT: usize = 64;
/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Maximum number of rows in a list of endpoints.
const MAX_LIST_ROWS: usize = 1_000;

/// A placement order and the endpoint address it is sent to.
#[derive(Clone, Debug)]
pub struct EndpointOrder {
    /// The planner's order.
    pub order: Order,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Time within which the order must arrive; after that it is dropped.
    pub arrive_within: Option<Duration>,
}

struct ReceivedReport {
    incarnation: Incarnation,
    received_at: Duration,
    report: PlacementReport,
}

/// Placement state of the leader. Empty on other members.
#[derive(Default)]
pub(super) struct Placement {
    /// The planner, and when it was created.
    planner: Option<(Planner, Duration)>,
    next_plan_at: Duration,
    report_ttl: Duration,
    reports: BTreeMap<RouterId, ReceivedReport>,
    endpoint_count: usize,
    /// Incarnation of each reported endpoint, and the largest number of models
    /// it was seen with. Engines don't announce how many they can hold.
    max_models_seen: BTreeMap<EndpointId, (Incarnation, usize)>,
}

impl Placement {
    /// Resets the state for a new term, or clears it with `term` 0 when
    /// leadership has ended.
    pub(super) fn reset(&mut self, term: u64, now: Duration) {
        *self = Self::default();
        if term != 0 {
            let planner = Planner::new(PlacementConfig::default(), term, now);
            self.planner = Some((planner, now));
            self.report_ttl = Duration::from_secs(u64::from(REPORT_TTL_RENEWALS));
        }
    }

    /// Replaces the last report of a router. Returns how many of its parts (the
    /// whole report, endpoints or demands) were dropped because they exceeded a
    /// limit or had an invalid address.
    pub(super) fn record_report(
        &mut self,
        now: Duration,
        router: &str,
        incarnation: Incarnation,
        report: &PlacementReport,
    ) -> usize {
        if let Some(old) = self.reports.get(router) {
            if old.incarnation > incarnation {
                return 0;
            }
            self.endpoint_count -= old.report.endpoints.len();
            self.reports.remove(router);
        }
        if self.reports.len() >= MAX_ROUTERS {
            return 1;
        }
        let mut report = report.clone();
        let total = report.endpoints.len() + report.demand.len();
        report.endpoints.retain(|e| {
            let names = [&e.id, &e.data_centre];
            e.models.len() <= MAX_MODELS_PER_ENDPOINT
                && names
                    .into_iter()
                    .chain(&e.models)
                    .all(|n| n.len() <= MAX_NAME_BYTES)
                && e.address.parse::<SocketAddr>().is_ok()
        });
        report
            .endpoints
            .truncate(MAX_ENDPOINTS - self.endpoint_count);
        report.demand.retain(|d| d.model.len() <= MAX_NAME_BYTES);
        report.demand.truncate(MAX_DEMANDS_PER_REPORT);
        let dropped = total - report.endpoints.len() - report.demand.len();
        self.endpoint_count += report.endpoints.len();
        let report = ReceivedReport {
            incarnation,
            received_at: now,
            report,
        };
        self.reports.insert(router.to_owned(), report);
        dropped
    }

    fn expire(&mut self, now: Duration) {
        let report_ttl = self.report_ttl;
        self.reports.retain(|_, r| now < r.received_at + report_ttl);
        self.endpoint_count = self
            .reports
            .values()
            .map(|r| r.report.endpoints.len())
            .sum();
    }

    /// Returns the reported endpoints by id, each as of its latest
    /// announcement.
    fn reported_endpoints(&self, now: Duration) -> BTreeMap<&str, &ReportedEndpoint> {
        let mut newest: BTreeMap<&str, &ReportedEndpoint> = BTreeMap::new();
        let fresh = self
            .reports
            .values()
            .filter(|r| now < r.received_at + self.report_ttl);
        for e in fresh.flat_map(|r| &r.report.endpoints) {
            let kept = newest.entry(&e.id).or_insert(e);
            if (e.incarnation, e.seq) > (kept.incarnation, kept.seq) {
                *kept = e;
            }
        }
        newest
    }

    /// Returns the endpoints whose id follows `after`, as JSON.
    pub(super) fn list(&self, now: Duration, after: &str, limit: u32) -> Value {
        let rows = match limit {
            0 => MAX_LIST_ROWS,
            n => MAX_LIST_ROWS.min(n as usize),
        };
        self.reported_endpoints(now)
            .into_values()
            .filter(|e| e.id.as_str() > after)
            .take(rows)
            .map(|e| {
                json!({
                    "id": e.id,
                    "incarnation": e.incarnation,
                    "address": e.address,
                    "data_centre": e.data_centre,
                    "models": e.models,
                    "slots": e.slots,
                    "checks_fencing": e.checks_fencing,
                    "leaving": e.leaving,
                })
            })
            .collect()
    }

    fn update_max_models(&mut self, now: Duration) {
        let mut previous = std::mem::take(&mut self.max_models_seen);
        let mut current = BTreeMap::new();
        for e in self.reported_endpoints(now).into_values() {
            let seen = match previous.remove(&e.id) {
                Some((incarnation, seen)) if incarnation == e.incarnation => seen,
                _ => 1,
            };
            current.insert(e.id.clone(), (e.incarnation, seen.max(e.models.len())));
        }
        self.max_models_seen = current;
    }

    fn demand(&self) -> Vec<Demand> {
        let mut sums: BTreeMap<&str, f64> = BTreeMap::new();
        for d in self.reports.values().flat_map(|r| &r.report.demand) {
            *sums.entry(&d.model).or_default() += d.millitokens_per_s as f64 / 1_000.0;
        }
        sums.into_iter()
            .map(|(model, tokens_per_s)| Demand {
                model: model.to_owned(),
                tokens_per_s,
            })
            .collect()
    }

    fn plan(&mut self, now: Duration, confirmed: Duration, config: &Config) -> Vec<EndpointOrder> {
        let value = |name: &str| config.value(name, "");
        let spacing = value("placement_load_spacing_ms").max(1);
        let rate = 1_000.0 / value("placement_token_gap_ms").max(1) as f64;
        self.update_max_models(now);
        let demand = self.demand();
        let reported = self.reported_endpoints(now);
        let endpoints: Vec<EndpointView> = reported
            .values()
            .map(|e| EndpointView {
                id: e.id.clone(),
                incarnation: e.incarnation,
                data_centre: e.data_centre.clone(),
                models: e.models.clone(),
                max_models: self.max_models_seen.get(&e.id).map_or(1, |(_, seen)| *seen),
                tokens_per_s: f64::from(e.slots) * rate,
                checks_fencing: e.checks_fencing,
                leaving: e.leaving,
            })
            .collect();
        let addresses: BTreeMap<EndpointId, SocketAddr> = reported
            .values()
            .filter_map(|e| Some((e.id.clone(), e.address.parse().ok()?)))
            .collect();
        let Some((planner, _)) = &mut self.planner else {
            return Vec::new();
        };
        planner.set_config(PlacementConfig {
            lease: Duration::from_millis(value("placement_lease_ms")),
            // Rounded down, so that loads are never closer together than
            // configured.
            loads_per_minute: u32::try_from(60_000 / spacing).unwrap_or(0),
            ..PlacementConfig::default()
        });
        planner
            .plan(now, confirmed, &demand, &endpoints)
            .into_iter()
            .filter_map(|order| {
                Some(EndpointOrder {
                    address: *addresses.get(&order.endpoint)?,
                    arrive_within: order.arrive_by.map(|by| by.saturating_sub(now)),
                    order,
                })
            })
            .collect()
    }
}

impl Core {
    /// Requests a run of the planner when one is due. It starts once a majority
    /// has confirmed the leadership as of `now`.
    pub(super) fn maintain_placement(&mut self, now: Duration) {
        if now < self.placement.next_plan_at {
            return;
        }
        self.placement.next_plan_at = now + PLAN_INTERVAL;
        let config = self.ledger.config();
        let renew = Duration::from_millis(config.value("lease_renew_ms", ""));
        self.placement.report_ttl = renew * REPORT_TTL_RENEWALS;
        self.placement.expire(now);
        let endpoints = self.placement.endpoint_count as u64;
        self.stats.endpoints.store(endpoints, Ordering::Relaxed);
        let enabled = config.value("placement_load_spacing_ms", "") != 0;
        let created_at = self.placement.planner.as_ref().map(|(_, at)| *at);
        // Until all routers have reported, a model may look as if no engine had
        // it.
        let all_reported = created_at.is_some_and(|at| now >= at + renew * SETTLE_RENEWALS);
        if enabled && all_reported {
            let (reply, _) = oneshot::channel();
            self.request_read(now, PendingRead::Plan(now), reply);
        }
    }

    /// Runs the planner, with the leadership confirmed as of `confirmed`, and
    /// sends its orders.
    pub(super) fn plan_placement(&mut self, confirmed: Duration) {
        let now = self.now();
        let orders = self.placement.plan(now, confirmed, self.ledger.config());
        for order in orders {
            anvilloft_telemetry::decision!(self.log, "placement";
                "endpoint" => &order.order.endpoint, "address" => %order.address,
                "fencing" => %order.order.fencing, "action" => ?order.order.action,
                "reason" => %order.order.reason);
            self.stats.orders_issued.fetch_add(1, Ordering::Relaxed);
            self.transport.send_order(order);
        }
    }
}
