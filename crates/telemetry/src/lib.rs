//! Logs and metrics of the daemons.
//!
//! `log` sets up slog, and `metrics` registers Prometheus metrics. [`decision!`]
//! logs one routing, admission or placement decision, and `line_limit` bounds the rate of
//! lines about frequent events. `request_trace` collects
//! the log lines of one request and finds the cause of its end.

mod line_limit;
mod log;
mod metrics;
mod request_trace;

pub use line_limit::LineLimit;
pub use log::LogGuard;
pub use log::LogOptions;
pub use log::start_logger;
pub use log::start_logger_to;
pub use metrics::Metrics;
pub use metrics::MetricsError;
pub use request_trace::LogLine;
pub use request_trace::RequestTrace;

#[doc(hidden)]
pub use slog;

/// Logs one decision at level info: `decision!(log, "route"; "endpoint" => id)`.
#[macro_export]
macro_rules! decision {
    ($log:expr, $kind:expr; $($args:tt)+) => {
        $crate::slog::info!($log, "decision"; "decision" => $kind, $($args)+)
    };
}
