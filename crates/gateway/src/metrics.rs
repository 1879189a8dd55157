//! Metrics of the traffic threads. No label holds a team name.

use anvilloft_types::availability::EndpointNotice;
use prometheus::Encoder;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Prometheus metrics of one router.
pub struct Metrics {
    /// Registry behind `/metrics`. Other components register their metrics here.
    pub registry: Registry,
    /// Responses to callers by kind of path and result code.
    pub answers: IntCounterVec,
    /// Attempts sent to endpoints, by outcome.
    pub attempts: IntCounterVec,
    /// Answers in which endpoints said that they leave or asked for a pause, by kind.
    pub endpoint_notices: IntCounterVec,
    /// Silent endpoints that were left for another one, by evidence against them.
    pub silent_endpoints_left: IntCounterVec,
    /// Requests being served.
    pub in_flight: IntGauge,
    /// Bytes of request bodies in memory.
    pub body_bytes: IntGauge,
    /// Bytes of large answers of endpoints in memory.
    pub answer_bytes: IntGauge,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Connections of callers refused at the connection limit.
    pub connections_refused: IntCounter,
    /// Connections of callers that ended while a request had no complete answer, by cause.
    pub connection_ends: IntCounterVec,
    /// Requests whose code panicked.
    pub panics: IntCounter,
    /// Responses not yet passed completely to their connections.
    pub open_answers: IntGauge,
    /// Messages queued for the control thread.
    pub core_queue: IntGauge,
    /// Idle connections to endpoints.
    pub idle_connections: IntGauge,
    /// Endpoints that crashed while requests of this router waited there.
    pub endpoint_crashes: IntCounter,
    /// Endpoints that count as cold at this router.
    pub cold_endpoints: IntGauge,
    /// Requests sent to cold endpoints.
    pub cold_requests: IntCounter,
    /// Quarantined traits of requests, as this router knows them.
    pub quarantined_traits: IntGauge,
    /// Learned prompt tokens per second of the engines, by service.
    pub prefill_rate: GaugeVec,
    /// Evacuated data centres, as this router knows them.
    pub evacuated_data_centres: IntGauge,
    /// Seconds from a request's arrival to the first byte of the response.
    pub first_byte: Histogram,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when a name is registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let answers = IntCounterVec::new(
            Opts::new("anvilloft_answers_total", "Responses to callers"),
            &["kind", "code"],
        )?;
        let attempts = IntCounterVec::new(
            Opts::new("anvilloft_attempts_total", "Attempts sent to endpoints"),
            &["outcome"],
        )?;
        let endpoint_notices = IntCounterVec::new(
            Opts::new(
                "anvilloft_endpoint_notices_total",
                "Answers in which endpoints said that they leave or asked for a pause",
            ),
            &["kind"],
        )?;
        let silent_endpoints_left = IntCounterVec::new(
            Opts::new(
                "anvilloft_silent_endpoints_left_total",
                "Silent endpoints that were left for another one, by evidence against them",
            ),
            &["evidence"],
        )?;
        let in_flight = IntGauge::new("anvilloft_in_flight", "Requests being served")?;
        let connections = IntGauge::new("anvilloft_connections", "Open connections of callers")?;
        let connections_refused = IntCounter::new(
            "anvilloft_connections_refused_total",
            "Connections of callers refused at the connection limit",
        )?;
        let connection_ends = IntCounterVec::new(
            Opts::new(
                "anvilloft_connection_ends_total",
                "Connections of callers that ended before a complete answer",
            ),
            &["cause"],
        )?;
        let panics = IntCounter::new("anvilloft_panics_total", "Requests whose code panicked")?;
        let open_answers = IntGauge::new(
            "anvilloft_open_answers",
            "Responses not yet completely sent to callers",
        )?;
        let body_bytes =
            IntGauge::new("anvilloft_body_bytes", "Bytes of request bodies in memory")?;
        let answer_bytes = IntGauge::new(
            "anvilloft_answer_bytes",
            "Bytes of endpoints' large answers in memory",
        )?;
        let core_queue = IntGauge::new(
            "anvilloft_core_queue",
            "Messages queued for the control thread",
        )?;
        let idle_connections = IntGauge::new(
            "anvilloft_idle_connections",
            "Idle connections to endpoints",
        )?;
        let endpoint_crashes = IntCounter::new(
            "anvilloft_endpoint_crashes_total",
            "Endpoints that crashed while requests waited there",
        )?;
        let cold_endpoints = IntGauge::new(
            "anvilloft_cold_endpoints",
            "Endpoints that count as cold at this router",
        )?;
        let cold_requests = IntCounter::new(
            "anvilloft_cold_requests_total",
            "Requests sent to endpoints that counted as cold",
        )?;
        let quarantined_traits = IntGauge::new(
            "anvilloft_quarantined_traits",
            "Traits of requests that are refused because they crash endpoints",
        )?;
        let prefill_rate = GaugeVec::new(
            Opts::new(
                "anvilloft_prefill_tokens_per_second",
                "Learned prompt tokens per second of the engines of a service",
            ),
            &["service"],
        )?;
        let evacuated_data_centres = IntGauge::new(
            "anvilloft_evacuated_data_centres",
            "Data centres whose endpoints get no new requests",
        )?;
        let first_byte = Histogram::with_opts(
            HistogramOpts::new(
                "anvilloft_first_byte_seconds",
                "Time to the first byte of the response",
            )
            .buckets(prometheus::exponential_buckets(0.001, 2.0, 15)?),
        )?;
        registry.register(Box::new(answers.clone()))?;
        registry.register(Box::new(attempts.clone()))?;
        registry.register(Box::new(endpoint_notices.clone()))?;
        registry.register(Box::new(silent_endpoints_left.clone()))?;
        registry.register(Box::new(in_flight.clone()))?;
        registry.register(Box::new(body_bytes.clone()))?;
        registry.register(Box::new(answer_bytes.clone()))?;
        registry.register(Box::new(connections.clone()))?;
        registry.register(Box::new(connections_refused.clone()))?;
        registry.register(Box::new(connection_ends.clone()))?;
        registry.register(Box::new(panics.clone()))?;
        registry.register(Box::new(open_answers.clone()))?;
        registry.register(Box::new(core_queue.clone()))?;
        registry.register(Box::new(idle_connections.clone()))?;
        registry.register(Box::new(endpoint_crashes.clone()))?;
        registry.register(Box::new(cold_endpoints.clone()))?;
        registry.register(Box::new(cold_requests.clone()))?;
        registry.register(Box::new(quarantined_traits.clone()))?;
        registry.register(Box::new(prefill_rate.clone()))?;
        registry.register(Box::new(evacuated_data_centres.clone()))?;
        registry.register(Box::new(first_byte.clone()))?;
        Ok(Self {
            registry,
            answers,
            attempts,
            endpoint_notices,
            silent_endpoints_left,
            in_flight,
            connections,
            connections_refused,
            connection_ends,
            panics,
            body_bytes,
            answer_bytes,
            open_answers,
            core_queue,
            idle_connections,
            endpoint_crashes,
            cold_endpoints,
            cold_requests,
            quarantined_traits,
            prefill_rate,
            evacuated_data_centres,
            first_byte,
        })
    }

    /// Counts an answer that says something about further requests to its endpoint.
    pub fn record_notice(&self, notice: EndpointNotice) {
        let count = |kind| self.endpoint_notices.with_label_values(&[kind]).inc();
        if notice.leaving {
            count("leaving");
        }
        if notice.pause.is_some() {
            count("pause");
        }
    }

    /// Counts a silent endpoint that was left for another one.
    pub fn record_silent_endpoint_left(&self, evidence: &str) {
        self.silent_endpoints_left
            .with_label_values(&[evidence])
            .inc();
    }

    /// Replaces the learned rates of services.
    pub fn set_prefill_rates<'a>(&self, rates: impl Iterator<Item = (&'a str, f64)>) {
        self.prefill_rate.reset();
        for (service, rate) in rates {
            self.prefill_rate.with_label_values(&[service]).set(rate);
        }
    }

    /// Returns all registered metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .ok();
        String::from_utf8(buf).unwrap_or_default()
    }
}
