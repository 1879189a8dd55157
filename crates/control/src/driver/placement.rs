//! Reports of routers, and the planner that the leader runs over them.

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
use super::reads::Read;

/// Kind of the query that lists the endpoints.
pub(crate) const ENDPOINTS_QUERY: &str = "endpoints";
/// Interval between plans.
const PLAN_EVERY: Duration = Duration::from_secs(1);
/// Renewals after which every router has reported to a new leader. Routers
/// report with every fifth.
const SETTLE_RENEWALS: u32 = 6;
/// Renewals for which a report is kept: three reports may be lost.
const KEEP_RENEWALS: u32 = 16;
/// Routers whose reports are kept, at most.
const MAX_ROUTERS: usize = 1_024;
/// Reported endpoints of all routers, at most.
const MAX_ENDPOINTS: usize = 16_384;
/// Models with demand in one report, at most.
const MAX_DEMANDS: usize = 1_024;
/// Models of one endpoint, at most.
const MAX_MODELS: usize = 64;
/// Length of a name, in bytes.
const MAX_NAME: usize = 256;
/// Rows of a list of endpoints.
const LIST_ROWS: usize = 1_000;

/// An order, and where it goes.
#[derive(Clone, Debug)]
pub struct EndpointOrder {
    /// The planner's order.
    pub order: Order,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Time from now within which the order must arrive or be dropped.
    pub arrive_within: Option<Duration>,
}

struct Report {
    incarnation: Incarnation,
    at: Duration,
    report: PlacementReport,
}

/// What the leader knows for placement; nothing on other members.
#[derive(Default)]
pub(super) struct Placement {
    planner: Option<(Planner, Duration)>,
    next: Duration,
    keep: Duration,
    reports: BTreeMap<RouterId, Report>,
    endpoints: usize,
    /// Incarnation and most models at once of each reported endpoint. Engines
    /// don't announce their room.
    rooms: BTreeMap<EndpointId, (Incarnation, usize)>,
}

impl Placement {
    /// Starts over in a new term, or with `term` 0 when leadership ended.
    pub(super) fn restart(&mut self, term: u64, now: Duration) {
        *self = Self::default();
        if term != 0 {
            let planner = Planner::new(PlacementConfig::default(), term, now);
            self.planner = Some((planner, now));
            self.keep = Duration::from_secs(u64::from(KEEP_RENEWALS));
        }
    }

    /// Takes the report of a router in place of its last one. Returns how many
    /// routers and endpoints in it are beyond the bounds.
    pub(super) fn take_report(
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
            self.endpoints -= old.report.endpoints.len();
            self.reports.remove(router);
        }
        if self.reports.len() >= MAX_ROUTERS {
            return 1;
        }
        let mut report = report.clone();
        let all = report.endpoints.len() + report.demand.len();
        report.endpoints.retain(|e| {
            let names = [&e.id, &e.data_centre];
            e.models.len() <= MAX_MODELS
                && names
                    .into_iter()
                    .chain(&e.models)
                    .all(|n| n.len() <= MAX_NAME)
                && e.address.parse::<SocketAddr>().is_ok()
        });
        report.endpoints.truncate(MAX_ENDPOINTS - self.endpoints);
        report.demand.retain(|d| d.model.len() <= MAX_NAME);
        report.demand.truncate(MAX_DEMANDS);
        let dropped = all - report.endpoints.len() - report.demand.len();
        self.endpoints += report.endpoints.len();
        let report = Report {
            incarnation,
            at: now,
            report,
        };
        self.reports.insert(router.to_owned(), report);
        dropped
    }

    fn expire(&mut self, now: Duration) {
        let keep = self.keep;
        self.reports.retain(|_, r| now < r.at + keep);
        self.endpoints = self
            .reports
            .values()
            .map(|r| r.report.endpoints.len())
            .sum();
    }

    /// Returns the reported endpoints by name, each as its latest announcement
    /// shows it.
    fn view(&self, now: Duration) -> BTreeMap<&str, &ReportedEndpoint> {
        let mut view: BTreeMap<&str, &ReportedEndpoint> = BTreeMap::new();
        let fresh = self.reports.values().filter(|r| now < r.at + self.keep);
        for e in fresh.flat_map(|r| &r.report.endpoints) {
            let kept = view.entry(&e.id).or_insert(e);
            if (e.incarnation, e.seq) > (kept.incarnation, kept.seq) {
                *kept = e;
            }
        }
        view
    }

    /// Returns the endpoints after `after` as JSON.
    pub(super) fn list(&self, now: Duration, after: &str, limit: u32) -> Value {
        let rows = match limit {
            0 => LIST_ROWS,
            n => LIST_ROWS.min(n as usize),
        };
        self.view(now)
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

    fn learn_rooms(&mut self, now: Duration) {
        let mut rooms = std::mem::take(&mut self.rooms);
        let mut kept = BTreeMap::new();
        for e in self.view(now).into_values() {
            let seen = match rooms.remove(&e.id) {
                Some((incarnation, seen)) if incarnation == e.incarnation => seen,
                _ => 1,
            };
            kept.insert(e.id.clone(), (e.incarnation, seen.max(e.models.len())));
        }
        self.rooms = kept;
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
        self.learn_rooms(now);
        let demand = self.demand();
        let view = self.view(now);
        let endpoints: Vec<EndpointView> = view
            .values()
            .map(|e| EndpointView {
                id: e.id.clone(),
                incarnation: e.incarnation,
                data_centre: e.data_centre.clone(),
                models: e.models.clone(),
                max_models: self.rooms.get(&e.id).map_or(1, |(_, room)| *room),
                tokens_per_s: f64::from(e.slots) * rate,
                checks_fencing: e.checks_fencing,
                leaving: e.leaving,
            })
            .collect();
        let addresses: BTreeMap<EndpointId, SocketAddr> = view
            .values()
            .filter_map(|e| Some((e.id.clone(), e.address.parse().ok()?)))
            .collect();
        let Some((planner, _)) = &mut self.planner else {
            return Vec::new();
        };
        planner.set_config(PlacementConfig {
            lease: Duration::from_millis(value("placement_lease_ms")),
            // Rounded down, so that loads are never closer than asked.
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
    /// Begins a plan when one is due. It runs once a majority has confirmed
    /// the leadership after now.
    pub(super) fn tend_placement(&mut self, now: Duration) {
        if now < self.placement.next {
            return;
        }
        self.placement.next = now + PLAN_EVERY;
        let config = self.ledger.config();
        let renew = Duration::from_millis(config.value("lease_renew_ms", ""));
        self.placement.keep = renew * KEEP_RENEWALS;
        self.placement.expire(now);
        let endpoints = self.placement.endpoints as u64;
        self.stats.endpoints.store(endpoints, Ordering::Relaxed);
        let enabled = config.value("placement_load_spacing_ms", "") != 0;
        let started = self.placement.planner.as_ref().map(|(_, at)| *at);
        // Before all have reported, a model may look as if no engine had it.
        let settled = started.is_some_and(|at| now >= at + renew * SETTLE_RENEWALS);
        if enabled && settled {
            let (reply, _) = oneshot::channel();
            self.read(now, Read::Plan(now), reply);
        }
    }

    /// Plans with the leadership confirmed as of `confirmed`.
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
