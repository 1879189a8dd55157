//! The server's parts, named one by one.

use std::sync::Arc;

use anvilloft_telemetry::Metrics;
use anvilloft_telemetry::MetricsError;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::http;
use super::http::ReadinessCheck;
use super::listener::ConnectionLimits;
use super::listener::Listener;
use super::run::Admin;

/// Serves the API, /metrics, /healthz and /readyz on one address.
pub struct Server {
    /// The API.
    pub admin: Arc<Admin>,
    /// Metrics to show.
    pub metrics: Metrics,
    /// Decides the answer of /readyz.
    pub ready: ReadinessCheck,
    /// Bounds of the connections.
    pub limits: ConnectionLimits,
    /// Log.
    pub log: Logger,
}

impl Server {
    /// Returns the future that serves until `stop` becomes true.
    ///
    /// # Errors
    ///
    /// When a metric can't be registered.
    pub fn serve(
        self,
        listener: TcpListener,
        stop: watch::Receiver<bool>,
    ) -> Result<impl Future<Output = ()> + Send, MetricsError> {
        let refused = self.metrics.counter(
            "admin_connections_refused_total",
            "Administration connections refused at the limit.",
        )?;
        let log = self.log.clone();
        let incoming = Listener::new(listener, stop.clone(), self.limits, refused, self.log);
        Ok(http::serve(
            self.admin,
            self.metrics,
            self.ready,
            incoming,
            stop,
            log,
        ))
    }
}
