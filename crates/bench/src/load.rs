//! Load through a router against direct calls, in one run.
//!
//! Fake, router and callers run in this process on threads of their own, over
//! loopback sockets. Direct and routed calls alternate, so that noise of the
//! machine meets both alike. Every part is bounded in count and time.

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

const KEY: &str = "bench-key";
const MODEL: &str = "m";
/// Largest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Limit of any wait while setting up.
const SET_UP: Duration = Duration::from_secs(10);

quick_error! {
    /// Why a run gave no figures.
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
        /// The fleet was not ready in time, or a call failed.
        Failed(what: String) {
            display("{}", what)
        }
    }
}

/// Bounds of a run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Pairs of sequential calls for the latency.
    pub pairs: u64,
    /// Callers at once for the throughput.
    pub callers: usize,
    /// Time of each throughput part.
    pub time: Duration,
    /// Requests of each throughput part, at most.
    pub max_requests: u64,
    /// Tokens of each streamed answer.
    pub stream_tokens: u32,
    /// Tokens that the fake writes at once in the streamed part.
    pub burst: usize,
    /// Streams held open for the memory.
    pub open_streams: usize,
    /// Traffic threads of the router.
    pub router_threads: usize,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            pairs: 3000,
            callers: 64,
            time: Duration::from_secs(4),
            max_requests: 200_000,
            stream_tokens: 500,
            burst: 1,
            open_streams: 1000,
            router_threads: 1,
        }
    }
}

/// Latency of one kind of calls.
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

/// Rate of one kind of calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    /// Per second of time.
    pub per_s: f64,
    /// Per second of processor time of the router's threads; 0 for direct
    /// calls.
    pub per_core_s: f64,
}

/// Figures of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Sequential calls to the fake.
    pub direct: Latency,
    /// Sequential calls through the router.
    pub routed: Latency,
    /// Concurrent requests to the fake.
    pub direct_requests: Rate,
    /// Concurrent requests through the router.
    pub routed_requests: Rate,
    /// Streamed tokens from the fake.
    pub direct_tokens: Rate,
    /// Streamed tokens through the router.
    pub routed_tokens: Rate,
    /// Resident memory of the whole process before any load, in KiB.
    pub rest_kib: u64,
    /// The same with open streams, in KiB.
    pub streams_kib: u64,
    /// Open streams at that time.
    pub open_streams: usize,
    /// Failed calls.
    pub failed: u64,
}

impl LoadReport {
    /// Returns what the router adds at the median and the 99th percentile.
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

struct Bench {
    fake: FakeEndpoint,
    router: Router,
    failed: Arc<AtomicU64>,
}

/// Runs all parts.
///
/// # Errors
///
/// Fails when the fleet can't be set up. Failed calls are counted.
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

async fn set_up(
    options: &LoadOptions,
    fake: FakeEndpointOptions,
    failed: &Arc<AtomicU64>,
) -> Result<Bench, LoadError> {
    let control = LocalControl::new();
    control.add_team("bench", KEY, "normal", i64::MAX / 4);
    control.add_model(MODEL, 16, 100_000);
    let link = control.join("bench");
    let links = Links {
        control: link.control,
        peers: link.peers,
        inbox: link.inbox,
    };
    let mut router = RouterOptions::loopback("bench", "dc1", "endpoint-key");
    router.threads = options.router_threads;
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let router = Router::start(router, links, log)?;
    let mut fake = fake;
    fake.routers = vec![router.address()];
    fake.slots = 8192;
    fake.threads = 3;
    let fake = FakeEndpoint::start(fake)?;
    let until = Instant::now() + SET_UP;
    while router.endpoint_count() == 0 || !router.wait_until_ready(Duration::from_millis(1)).await {
        if Instant::now() > until {
            return Err(LoadError::Failed("the router was not ready".into()));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(Bench {
        fake,
        router,
        failed: Arc::clone(failed),
    })
}

fn chat(tokens: u32, stream: bool) -> String {
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

    let bench = set_up(options, FakeEndpointOptions::engine("e1", MODEL), &failed).await?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    report.rest_kib = usage::resident_kib();
    (report.direct, report.routed) = bench.latency(options).await?;
    let body = chat(8, false);
    for (rate, addr) in [
        (&mut report.direct_requests, bench.fake.addr()),
        (&mut report.routed_requests, bench.router.address()),
    ] {
        *rate = bench.throughput(options, addr, &body).await;
    }
    drop(bench);

    let mut fake = FakeEndpointOptions::engine("e1", MODEL);
    fake.tokens = options.stream_tokens;
    fake.burst = options.burst;
    let bench = set_up(options, fake, &failed).await?;
    let body = chat(options.stream_tokens, true);
    for (rate, addr) in [
        (&mut report.direct_tokens, bench.fake.addr()),
        (&mut report.routed_tokens, bench.router.address()),
    ] {
        *rate = bench.throughput(options, addr, &body).await;
    }
    drop(bench);

    let mut fake = FakeEndpointOptions::engine("e1", MODEL);
    fake.tokens = 10_000;
    fake.token_delay = Duration::from_millis(20);
    let bench = set_up(options, fake, &failed).await?;
    (report.streams_kib, report.open_streams) = bench.open_streams(options).await;
    report.failed = failed.load(Ordering::Relaxed);
    Ok(report)
}

impl Bench {
    fn fail(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Alternates direct and routed calls, one at a time.
    async fn latency(&self, options: &LoadOptions) -> Result<(Latency, Latency), LoadError> {
        let new = || Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3);
        let histogram = || new().map_err(|e| LoadError::Failed(e.to_string()));
        let mut sides = [
            (Caller::open(self.fake.addr()).await?, histogram()?),
            (Caller::open(self.router.address()).await?, histogram()?),
        ];
        let body = chat(1, false);
        for pair in 0..options.pairs + options.pairs / 10 {
            for (caller, times) in &mut sides {
                let began = Instant::now();
                if caller.call(&body).await.is_err() {
                    self.fail();
                    *caller = Caller::open(caller.addr()).await?;
                } else if pair >= options.pairs / 10 {
                    // The first tenth warms up.
                    times.saturating_record(began.elapsed().as_micros() as u64);
                }
            }
        }
        Ok(((&sides[0].1).into(), (&sides[1].1).into()))
    }

    /// Calls as fast as the callers can, and returns requests or tokens.
    async fn throughput(&self, options: &LoadOptions, addr: SocketAddr, body: &str) -> Rate {
        let until = Instant::now() + options.time;
        let left = Arc::new(AtomicU64::new(options.max_requests));
        let cpu = usage::thread_seconds("bench-");
        let began = Instant::now();
        let tasks: Vec<_> = (0..options.callers)
            .map(|_| {
                let left = Arc::clone(&left);
                let failed = Arc::clone(&self.failed);
                let body = body.to_owned();
                tokio::spawn(async move {
                    let mut done = 0;
                    let Ok(mut caller) = Caller::open(addr).await else {
                        failed.fetch_add(1, Ordering::Relaxed);
                        return 0;
                    };
                    while Instant::now() < until
                        && left
                            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| {
                                n.checked_sub(1)
                            })
                            .is_ok()
                    {
                        match caller.call(&body).await {
                            Ok(units) => done += units,
                            Err(_) => {
                                failed.fetch_add(1, Ordering::Relaxed);
                                match Caller::open(addr).await {
                                    Ok(fresh) => caller = fresh,
                                    Err(_) => return done,
                                }
                            }
                        }
                    }
                    done
                })
            })
            .collect();
        let mut done = 0;
        for task in tasks {
            done += task.await.unwrap_or(0);
        }
        let passed = began.elapsed().as_secs_f64();
        let used = usage::thread_seconds("bench-") - cpu;
        Rate {
            per_s: done as f64 / passed,
            per_core_s: if addr == self.router.address() && used > 0.0 {
                done as f64 / used
            } else {
                0.0
            },
        }
    }

    /// Holds streams open and returns the resident memory and their count.
    /// Stops at the first refusal: on a busy machine the tokens come late, and
    /// the router then takes fewer streams.
    async fn open_streams(&self, options: &LoadOptions) -> (u64, usize) {
        let body = chat(10_000, true);
        let mut callers = Vec::with_capacity(options.open_streams);
        let until = Instant::now() + options.time;
        while callers.len() < options.open_streams && Instant::now() < until {
            let opened = async {
                let mut caller = Caller::open(self.router.address()).await?;
                caller.start(&body).await?;
                io::Result::Ok(caller)
            };
            match tokio::time::timeout(options.time, opened).await {
                Ok(Ok(caller)) => callers.push(caller),
                Ok(Err(_)) | Err(_) => break,
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        (usage::resident_kib(), callers.len())
    }
}
