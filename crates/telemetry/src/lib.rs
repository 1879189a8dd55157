//! Logs and metrics of the daemons.
//!
//! `log` sets up slog, `metrics` the prometheus registry. [`decision!`] writes
//! the line of one routing, admission or placement decision. `story` reads the
//! lines of one request back.

mod log;
mod metrics;
mod story;

pub use log::LogGuard;
pub use log::LogOptions;
pub use log::start;
pub use log::start_to;
pub use metrics::Metrics;
pub use metrics::MetricsError;
pub use story::Line;
pub use story::Story;

#[doc(hidden)]
pub use slog;

/// Writes the line of one decision: `decision!(log, "route"; "endpoint" => id)`.
#[macro_export]
macro_rules! decision {
    ($log:expr, $kind:expr; $($args:tt)+) => {
        $crate::slog::info!($log, "decision"; "decision" => $kind, $($args)+)
    };
}
