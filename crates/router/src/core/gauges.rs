//! Metrics of the control thread. No label names a team.

use std::time::Duration;

use prometheus::IntCounter;
use prometheus::IntGauge;
use prometheus::Registry;

use super::Core;

/// Interval between updates of the gauges.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Gauges of the sizes of the control thread's tables, and counters of decisions.
pub struct Gauges {
    lease_ms: IntGauge,
    revision: IntGauge,
    requests: IntGauge,
    queued: IntGauge,
    running: IntGauge,
    parked: IntGauge,
    endpoint_checks: IntGauge,
    lanes: IntGauge,
    endpoints: IntGauge,
    routers: IntGauge,
    calls: IntGauge,
    needs: IntGauge,
    reservations: IntGauge,
    reports: IntGauge,
    copies: IntGauge,
    peer_strikes: IntGauge,
    orders: IntGauge,
    /// Retried attempts.
    pub(crate) retries: IntCounter,
    /// Strikes of requests in flight where an endpoint died.
    pub(crate) strikes: IntCounter,
    /// Configuration updates that could not be applied.
    pub(crate) bad_updates: IntCounter,
    /// Requests refused because too many waited for tokens.
    pub(crate) grant_wait_refused: IntCounter,
    updated_at: Duration,
}

impl Gauges {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when a name is registered twice.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(format!("anvilloft_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(format!("anvilloft_{name}_total"), help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        Ok(Self {
            lease_ms: gauge("lease_ms", "Remaining time of the configuration lease")?,
            revision: gauge("config_revision", "Configuration revision in force")?,
            requests: gauge("requests", "Requests known to the control thread")?,
            queued: gauge("queued", "Requests in the queues")?,
            running: gauge("running", "Requests that admission started")?,
            parked: gauge("parked", "Started requests that wait for an endpoint")?,
            endpoint_checks: gauge(
                "judging",
                "Failed attempts that wait until it is known whether their endpoint died",
            )?,
            lanes: gauge("lanes", "Models and services with a queue")?,
            endpoints: gauge("endpoints", "Endpoints with a lease")?,
            routers: gauge("routers", "Routers in the directory")?,
            calls: gauge("control_calls", "Calls to control without a reply")?,
            needs: gauge("grant_needs", "Requests that wait for a grant of tokens")?,
            reservations: gauge("reservations", "Reservations of requests in flight")?,
            reports: gauge(
                "reports",
                "Settlement reports that control has not acknowledged",
            )?,
            copies: gauge(
                "copies",
                "Router incarnations whose settlement copies are held here",
            )?,
            peer_strikes: gauge("told_suspects", "Strikes reported by peers")?,
            orders: gauge(
                "open_orders",
                "Order records that control has not acknowledged",
            )?,
            retries: counter("retries", "Attempts after the first of a request")?,
            strikes: counter("strikes", "Requests in flight where an endpoint died")?,
            bad_updates: counter("bad_updates", "Configuration updates not applied")?,
            grant_wait_refused: counter(
                "grant_wait_refused",
                "Requests refused because too many waited for tokens",
            )?,
            updated_at: Duration::ZERO,
        })
    }
}

fn to_gauge(n: usize) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}

impl Core {
    pub(crate) fn tick_gauges(&mut self, now: Duration) {
        if now.saturating_sub(self.gauges.updated_at) < UPDATE_INTERVAL {
            return;
        }
        self.gauges.updated_at = now;
        let g = &self.gauges;
        let (mut queued, mut running, mut parked) = (0, 0, 0);
        for lane in self.lanes.values() {
            let (q, r) = lane.admission.counts();
            queued += q;
            running += r;
            parked += lane.parked.len();
        }
        let left = self.lease_until.saturating_sub(now).as_millis();
        g.lease_ms.set(i64::try_from(left).unwrap_or(i64::MAX));
        g.revision
            .set(i64::try_from(self.config.revision()).unwrap_or(i64::MAX));
        g.requests.set(to_gauge(self.requests.len()));
        g.queued.set(to_gauge(queued));
        g.running.set(to_gauge(running));
        g.parked.set(to_gauge(parked));
        g.endpoint_checks.set(to_gauge(self.endpoint_checks.len()));
        g.lanes.set(to_gauge(self.lanes.len()));
        g.endpoints.set(to_gauge(self.endpoints.len()));
        g.routers.set(to_gauge(self.routers.iter().count()));
        g.calls.set(to_gauge(self.calls.len()));
        g.needs.set(to_gauge(self.needs.len()));
        g.reservations
            .set(to_gauge(self.allotments.reservation_count()));
        g.reports
            .set(to_gauge(self.allotments.unacknowledged_reports()));
        g.copies.set(to_gauge(self.copies.incarnations().len()));
        g.peer_strikes.set(to_gauge(self.peer_strikes.len()));
        g.orders.set(to_gauge(self.open_orders));
    }
}
