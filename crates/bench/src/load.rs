//! Latency, throughput and memory of requests through a router, compared with
//! direct requests in the same run.
//!
//! The fake endpoint, the router and the callers run in this process on their
//! own threads and use loopback sockets. Direct and routed calls alternate, so
//! that noise on the machine affects both. Every part is bounded in count and
//! time.

mod caller;
mod usage;

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_fakes::FakeEndpoint;
use anvilloft_fakes::FakeEndpointOptions;
use anvilloft_fakes::LocalControl;
use anvilloft_router::Links;
use anvilloft_router::Router;
use anvilloft_router::RouterError;
use anvilloft_router::RouterOptions;
use hdrhistogram::Histogram;
use quick_error::quick_error;

use caller::Caller;

const API_KEY: &str = "bench-key";
const MODEL: &str = "m";
/// Maximum latency that the histograms record, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Timeout for the router and the fake endpoint to become ready.
const SETUP_TIMEOUT: Duration = Duration::from_secs(10);

quick_error! {
    /// Why a run failed.
    #[derive(Debug)]
    pub enum LoadError {
        /// A socket failed.
        Io(err: io::Error) {
            from()
            display("{}", err)
            source(err)
        }
        /// The router did not start.
        Router(err: RouterError) {
            from()
            display("{}", err)
            source(err)
        }
        /// The router was not ready in time, or a histogram can't be created.
        Failed(what: String) {
            display("{}", what)
        }
    }
}

/// Parameters of [`run`].
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Pairs of sequential calls that measure latency.
    pub pairs: u64,
    /// Concurrent callers that measure throughput.
    pub callers: usize,
    /// Maximum duration of each throughput measurement.
    pub duration: Duration,
    /// Maximum number of requests in each throughput measurement.
    pub max_requests: u64,
    /// Tokens in each streamed response.
    pub stream_tokens: u32,
    /// Tokens that the fake endpoint sends in one write of a streamed response.
    pub burst: usize,
    /// Streams to hold open while memory is measured.
    pub open_streams: usize,
    /// Threads of the router that serve requests.
    pub router_threads: usize,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            pairs: 3000,
            callers: 64,
            duration: Duration::from_secs(4),
            max_requests: 200_000,
            stream_tokens: 500,
            burst: 1,
            open_streams: 1000,
            router_threads: 1,
        }
    }
}

/// Latency of direct or routed calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    /// Median.
    pub p50: Duration,
    /// 99th percentile.
    pub p99: Duration,
}

impl From<&Histogram<u64>> for Latency {
    fn from(h: &Histogram<u64>) -> Self {
        Self {
            p50: Duration::from_micros(h.value_at_quantile(0.5)),
            p99: Duration::from_micros(h.value_at_quantile(0.99)),
        }
    }
}

/// Rate of requests or tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    /// Per second of wall-clock time.
    pub per_s: f64,
    /// Per second of CPU time of the router's threads; 0 for direct calls.
    pub per_core_s: f64,
}

/// Results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Sequential calls to the fake endpoint.
    pub direct: Latency,
    /// Sequential calls through the router.
    pub routed: Latency,
    /// Concurrent requests to the fake endpoint.
    pub direct_requests: Rate,
    /// Concurrent requests through the router.
    pub routed_requests: Rate,
    /// Streamed tokens from the fake endpoint.
    pub direct_tokens: Rate,
    /// Streamed tokens through the router.
    pub routed_tokens: Rate,
    /// Resident memory of the whole process before any load, in KiB.
    pub rest_kib: u64,
    /// Resident memory of the whole process with open streams, in KiB.
    pub streams_kib: u64,
    /// Number of streams that were open at that time.
    pub open_streams: usize,
    /// Failed calls.
    pub failed: u64,
}

impl LoadReport {
    /// Returns the latency that the router adds at the median and at the 99th
    /// percentile.
    pub fn added(&self) -> Latency {
        Latency {
            p50: self.routed.p50.saturating_sub(self.direct.p50),
            p99: self.routed.p99.saturating_sub(self.direct.p99),
        }
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let us = |d: Duration| d.as_micros();
        let added = self.added();
        writeln!(f, "latency us      p50      p99")?;
        for (name, l) in [
            ("direct", self.direct),
            ("routed", self.routed),
            ("added", added),
        ] {
            writeln!(f, "{name:10} {:8} {:8}", us(l.p50), us(l.p99))?;
        }
        writeln!(f, "rate                    /s  /s of router cores")?;
        for (name, r) in [
            ("direct requests", self.direct_requests),
            ("routed requests", self.routed_requests),
            ("direct tokens", self.direct_tokens),
            ("routed tokens", self.routed_tokens),
        ] {
            writeln!(f, "{name:16} {:9.0} {:12.0}", r.per_s, r.per_core_s)?;
        }
        writeln!(
            f,
            "memory of fake, router and callers: {} KiB at rest, {} KiB with {} open streams",
            self.rest_kib, self.streams_kib, self.open_streams
        )?;
        write!(f, "failed calls: {}", self.failed)
    }
}

struct Fleet {
    fake: FakeEndpoint,
    router: Router,
    failed: Arc<AtomicU64>,
}

/// Runs all measurements.
///
/// # Errors
///
/// Fails when the router or the fake endpoint can't start. Failed calls don't
/// end the run; they are counted in the report.
pub fn run(options: &LoadOptions) -> Result<LoadReport, LoadError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .thread_name("callers")
        .enable_all()
        .build()?;
    let report = runtime.block_on(measure(options));
    runtime.shutdown_background();
    report
}

async fn start_fleet(
    options: &LoadOptions,
    fake: FakeEndpointOptions,
    failed: &Arc<AtomicU64>,
) -> Result<Fleet, LoadError> {
    let control = LocalControl::new();
    control.add_team("bench", API_KEY, "normal", i64::MAX / 4);
    control.add_model(MODEL, 16, 100_000);
    let link = control.join("bench");
    let links = Links {
        control: link.control,
        peers: link.peers,
        inbox: link.inbox,
    };
    let mut router_options = RouterOptions::loopback("bench", "dc1", "endpoint-key");
    router_options.threads = options.router_threads;
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let router = Router::start(router_options, links, log)?;
    let mut fake = fake;
    fake.routers = vec![router.address()];
    fake.slots = 8192;
    fake.threads = 3;
    let fake = FakeEndpoint::start(fake)?;
    let deadline = Instant::now() + SETUP_TIMEOUT;
    while router.endpoint_count() == 0 || !router.wait_until_ready(Duration::from_millis(1)).await {
        if Instant::now() > deadline {
            return Err(LoadError::Failed(
                "the router was not ready within the setup timeout".into(),
            ));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(Fleet {
        fake,
        router,
        failed: Arc::clone(failed),
    })
}

fn chat_body(tokens: u32, stream: bool) -> String {
    serde_json::json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": "A short question about oak boards."}],
        "max_tokens": tokens,
        "stream": stream,
    })
    .to_string()
}

async fn measure(options: &LoadOptions) -> Result<LoadReport, LoadError> {
    let failed = Arc::new(AtomicU64::new(0));
    let mut report = LoadReport::default();

    let fleet = start_fleet(options, FakeEndpointOptions::engine("e1", MODEL), &failed).await?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    report.rest_kib = usage::resident_kib();
    (report.direct, report.routed) = fleet.latency(options).await?;
    let body = chat_body(8, false);
    for (rate, addr) in [
        (&mut report.direct_requests, fleet.fake.addr()),
        (&mut report.routed_requests, fleet.router.address()),
    ] {
        *rate = fleet.throughput(options, addr, &body).await;
    }
    drop(fleet);

    let mut fake = FakeEndpointOptions::engine("e1", MODEL);
    fake.tokens = options.stream_tokens;
    fake.burst = options.burst;
    let fleet = start_fleet(options, fake, &failed).await?;
    let body = chat_body(options.stream_tokens, true);
    for (rate, addr) in [
        (&mut report.direct_tokens, fleet.fake.addr()),
        (&mut report.routed_tokens, fleet.router.address()),
    ] {
        *rate = fleet.throughput(options, addr, &body).await;
    }
    drop(fleet);

    let mut fake = FakeEndpointOptions::engine("e1", MODEL);
    fake.tokens = 10_000;
    fake.token_delay = Duration::from_millis(20);
    let fleet = start_fleet(options, fake, &failed).await?;
    (report.streams_kib, report.open_streams) = fleet.open_streams(options).await;
    report.failed = failed.load(Ordering::Relaxed);
    Ok(report)
}

impl Fleet {
    fn count_failure(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Alternates direct and routed calls, one at a time.
    async fn latency(&self, options: &LoadOptions) -> Result<(Latency, Latency), LoadError> {
        let new_histogram = || Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3);
        let histogram = || new_histogram().map_err(|e| LoadError::Failed(e.to_string()));
        let mut targets = [
            (Caller::connect(self.fake.addr()).await?, histogram()?),
            (Caller::connect(self.router.address()).await?, histogram()?),
        ];
        let body = chat_body(1, false);
        for pair in 0..options.pairs + options.pairs / 10 {
            for (caller, latencies) in &mut targets {
                let started = Instant::now();
                if caller.call(&body).await.is_err() {
                    self.count_failure();
                    *caller = Caller::connect(caller.addr()).await?;
                } else if pair >= options.pairs / 10 {
                    // The first pairs, a tenth of the measured number, are warm-up.
                    latencies.saturating_record(started.elapsed().as_micros() as u64);
                }
            }
        }
        Ok(((&targets[0].1).into(), (&targets[1].1).into()))
    }

    /// Lets all callers send requests without pause and returns the rate of
    /// requests, or of tokens for streams.
    async fn throughput(&self, options: &LoadOptions, addr: SocketAddr, body: &str) -> Rate {
        let deadline = Instant::now() + options.duration;
        let requests_left = Arc::new(AtomicU64::new(options.max_requests));
        // The router is named "bench", and its threads have that prefix.
        let cpu_before = usage::thread_seconds("bench-");
        let started = Instant::now();
        let tasks: Vec<_> = (0..options.callers)
            .map(|_| {
                let requests_left = Arc::clone(&requests_left);
                let failed = Arc::clone(&self.failed);
                let body = body.to_owned();
                tokio::spawn(async move {
                    let mut units_done = 0;
                    let Ok(mut caller) = Caller::connect(addr).await else {
                        failed.fetch_add(1, Ordering::Relaxed);
                        return 0;
                    };
                    while Instant::now() < deadline
                        && requests_left
                            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| {
                                n.checked_sub(1)
                            })
                            .is_ok()
                    {
                        match caller.call(&body).await {
                            Ok(units) => units_done += units,
                            Err(_) => {
                                failed.fetch_add(1, Ordering::Relaxed);
                                match Caller::connect(addr).await {
                                    Ok(connected) => caller = connected,
                                    Err(_) => return units_done,
                                }
                            }
                        }
                    }
                    units_done
                })
            })
            .collect();
        let mut units_done = 0;
        for task in tasks {
            units_done += task.await.unwrap_or(0);
        }
        let elapsed_s = started.elapsed().as_secs_f64();
        let cpu_used_s = usage::thread_seconds("bench-") - cpu_before;
        Rate {
            per_s: units_done as f64 / elapsed_s,
            per_core_s: if addr == self.router.address() && cpu_used_s > 0.0 {
                units_done as f64 / cpu_used_s
            } else {
                0.0
            },
        }
    }

    /// Holds streams open and returns the resident memory, in KiB, and the number
    /// of streams. Opens no more after the first refusal: on a busy machine
    /// tokens arrive late, and the router then accepts fewer streams.
    async fn open_streams(&self, options: &LoadOptions) -> (u64, usize) {
        let body = chat_body(10_000, true);
        let mut callers = Vec::with_capacity(options.open_streams);
        let deadline = Instant::now() + options.duration;
        while callers.len() < options.open_streams && Instant::now() < deadline {
            let opened = async {
                let mut caller = Caller::connect(self.router.address()).await?;
                caller.send_request(&body).await?;
                io::Result::Ok(caller)
            };
            match tokio::time::timeout(options.duration, opened).await {
                Ok(Ok(caller)) => callers.push(caller),
                Ok(Err(_)) | Err(_) => break,
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        (usage::resident_kib(), callers.len())
    }
}
