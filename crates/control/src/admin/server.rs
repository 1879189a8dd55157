//! Assembles the administration server from its parts.

use std::sync::Arc;

use anvilloft_telemetry::Metrics;
use anvilloft_telemetry::MetricsError;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::handlers::Admin;
use super::http;
use super::http::ReadinessCheck;
use super::listener::ConnectionLimits;
use super::listener::Listener;

/// Server of the API, /metrics, /healthz and /readyz on one address.
pub struct Server {
    /// Handler of the API's calls.
    pub admin: Arc<Admin>,
    /// Metrics that /metrics returns.
    pub metrics: Metrics,
    /// Decides the response to /readyz.
    pub ready: ReadinessCheck,
    /// Limits of the connections.
    pub limits: ConnectionLimits,
    /// Logger of the server.
    pub log: Logger,
}

impl Server {
    /// Returns the future that serves until `stop` becomes true.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric can't be registered.
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
