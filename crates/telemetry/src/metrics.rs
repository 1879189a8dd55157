//! Registry of metrics whose names have a common prefix.

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use quick_error::quick_error;

/// Prefix of every metric's name.
const PREFIX: &str = "anvilloft";

quick_error! {
    /// Why a metric can't be created or rendered.
    #[derive(Debug)]
    pub enum MetricsError {
        /// The name is invalid or registered already.
        Prometheus(err: prometheus::Error) {
            from()
            display("metrics: {}", err)
            source(err)
        }
    }
}

/// The metrics of one process. Labels never name a team, because `/metrics` is
/// open to everybody who can reach the port.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// Creates an empty registry.
    ///
    /// # Errors
    ///
    /// When the prefix is invalid, which the tests rule out.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new_custom(Some(PREFIX.to_owned()), None)?;
        Ok(Self { registry })
    }

    /// Registers a counter.
    ///
    /// # Errors
    ///
    /// When the name is invalid or registered already.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter, MetricsError> {
        let metric = IntCounter::new(name, help)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Registers a gauge.
    ///
    /// # Errors
    ///
    /// When the name is invalid or registered already.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, MetricsError> {
        let metric = IntGauge::new(name, help)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Registers a family of counters by label.
    ///
    /// # Errors
    ///
    /// When the name is invalid or registered already.
    pub fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, MetricsError> {
        let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Registers a family of gauges by label.
    ///
    /// # Errors
    ///
    /// When the name is invalid or registered already.
    pub fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, MetricsError> {
        let metric = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Registers a histogram of seconds.
    ///
    /// # Errors
    ///
    /// When the name is invalid or registered already.
    pub fn histogram(
        &self,
        name: &str,
        help: &str,
        buckets: &[f64],
    ) -> Result<Histogram, MetricsError> {
        let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        let metric = Histogram::with_opts(opts)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Registers a family of histograms of seconds by label.
    ///
    /// # Errors
    ///
    /// When the name is invalid or registered already.
    pub fn histograms(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
        buckets: &[f64],
    ) -> Result<HistogramVec, MetricsError> {
        let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        let metric = HistogramVec::new(opts, labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Returns all metrics in the Prometheus text format, for `/metrics`.
    ///
    /// # Errors
    ///
    /// When a metric can't be encoded.
    pub fn render(&self) -> Result<Vec<u8>, MetricsError> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}
