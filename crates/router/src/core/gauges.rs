//! Metrics of the control thread. No label names a team.

use std::time::Duration;

use prometheus::IntCounter;
use prometheus::IntGauge;
use prometheus::Registry;

use super::Core;

/// Time between two updates of the gauges.
const EVERY: Duration = Duration::from_secs(1);

/// Gauges over every table of the control thread, and counters of decisions.
pub struct Gauges {
    lease_ms: IntGauge,
    revision: IntGauge,
    requests: IntGauge,
    queued: IntGauge,
    running: IntGauge,
    parked: IntGauge,
    judging: IntGauge,
    lanes: IntGauge,
    endpoints: IntGauge,
    routers: IntGauge,
    calls: IntGauge,
    needs: IntGauge,
    reservations: IntGauge,
    reports: IntGauge,
    copies: IntGauge,
    suspects: IntGauge,
    orders: IntGauge,
    /// Retried attempts.
    pub(crate) retries: IntCounter,
    /// Strikes.
    pub(crate) strikes: IntCounter,
    /// Configuration updates that could not be applied.
    pub(crate) bad_updates: IntCounter,
    /// Requests refused because too many waited for tokens.
    pub(crate) grant_wait_refused: IntCounter,
    at: Duration,
}

impl Gauges {
    /// Makes and registers the metrics.
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
            lease_ms: gauge("lease_ms", "Time left of the configuration lease")?,
            revision: gauge("config_revision", "Configuration revision in force")?,
            requests: gauge("requests", "Requests known to the control thread")?,
            queued: gauge("queued", "Requests that wait for their turn")?,
            running: gauge("running", "Requests that admission started")?,
            parked: gauge("parked", "Started requests that wait for an endpoint")?,
            judging: gauge(
                "judging",
                "Failed attempts that wait for a verdict on their endpoint",
            )?,
            lanes: gauge("lanes", "Models and services with a queue")?,
            endpoints: gauge("endpoints", "Endpoints with a lease")?,
            routers: gauge("routers", "Routers in the directory")?,
            calls: gauge("control_calls", "Calls to control without a reply")?,
            needs: gauge("grant_needs", "Requests that wait for tokens")?,
            reservations: gauge("reservations", "Reservations in flight")?,
            reports: gauge("reports", "Reports that control has not acknowledged")?,
            copies: gauge("copies", "Router incarnations with settlement copies here")?,
            suspects: gauge("told_suspects", "Strikes told by peers")?,
            orders: gauge("open_orders", "Order records on their way to control")?,
            retries: counter("retries", "Attempts after the first of a request")?,
            strikes: counter("strikes", "Requests in flight where an endpoint died")?,
            bad_updates: counter("bad_updates", "Configuration updates not applied")?,
            grant_wait_refused: counter(
                "grant_wait_refused",
                "Requests refused because too many waited for tokens",
            )?,
            at: Duration::ZERO,
        })
    }
}

fn count(n: usize) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}

impl Core {
    pub(crate) fn tick_gauges(&mut self, now: Duration) {
        if now.saturating_sub(self.gauges.at) < EVERY {
            return;
        }
        self.gauges.at = now;
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
        g.requests.set(count(self.requests.len()));
        g.queued.set(count(queued));
        g.running.set(count(running));
        g.parked.set(count(parked));
        g.judging.set(count(self.judging.len()));
        g.lanes.set(count(self.lanes.len()));
        g.endpoints.set(count(self.endpoints.len()));
        g.routers.set(count(self.routers.iter().count()));
        g.calls.set(count(self.calls.len()));
        g.needs.set(count(self.needs.len()));
        g.reservations
            .set(count(self.allotments.reservation_count()));
        g.reports
            .set(count(self.allotments.unacknowledged_reports()));
        g.copies.set(count(self.copies.incarnations().len()));
        g.suspects.set(count(self.told.len()));
        g.orders.set(count(self.open_orders));
    }
}
