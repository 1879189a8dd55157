//! Starts and stops a relay within this process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

use anvilloft_dispatch::Dispatcher;
use anvilloft_dispatch::DispatcherConfig;
use anvilloft_dispatch::LINK_INTERVAL;
use anvilloft_gateway::BodyMemory;
use anvilloft_gateway::client::Client;
use anvilloft_gateway::client::ClientTimeouts;
use anvilloft_gateway::metrics::Metrics;
use anvilloft_gateway::serve::ConnectionLimits;
use anvilloft_gateway::serve::HandlerService;
use anvilloft_gateway::serve::serve;
use anvilloft_routes::RouteTable;
use anvilloft_types::Clock;
use anvilloft_types::lock;
use anvilloft_types::prelude::*;
use anvilloft_wire::session::Identity;
use arc_swap::ArcSwap;
use quick_error::quick_error;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::adapter::ProtocolAdapter;
use crate::control;
use crate::control::Parts;
use crate::control::Phase;
use crate::forward::Callers;
use crate::options::RelayOptions;
use crate::purse::Purse;
use crate::shared::Link;
use crate::shared::Repeats;
use crate::shared::Shared;

/// Time to open a connection to an endpoint. A hundred round trips within a
/// city; an endpoint that needs longer has no room or is gone.
const CONNECT: Duration = Duration::from_millis(300);
/// Idle time after which a connection to an endpoint is closed.
const IDLE: Duration = Duration::from_secs(5);
/// Largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Longest time that a caller's connection may be idle, until a table says
/// otherwise: the usual one, as open connections keep the limit they began with.
const CALLER_IDLE: Duration = Duration::from_secs(15);
/// Time between two closings of idle connections to endpoints.
const IDLE_EVERY: Duration = Duration::from_secs(1);
/// Interval of the timer whose lateness is measured.
const LATE_EVERY: Duration = Duration::from_millis(50);
/// Interval at which a planned stop looks for the end of requests.
const LOOK: Duration = Duration::from_millis(20);
/// Share of a planned stop's time that is kept for giving tokens back.
const SETTLE: Duration = Duration::from_millis(1_000);

quick_error! {
    /// Why a relay can't start.
    #[derive(Debug)]
    pub enum RelayError {
        /// An address can't be listened on.
        Listen(address: SocketAddr, err: std::io::Error) {
            display("can't listen on {}: {}", address, err)
            source(err)
        }
        /// A thread can't be started.
        Thread(err: std::io::Error) {
            from()
            display("can't start the control thread: {}", err)
            source(err)
        }
        /// A metric can't be registered.
        Metrics(err: prometheus::Error) {
            from()
            display("metrics: {}", err)
            source(err)
        }
    }
}

/// A running relay.
pub struct Relay {
    cx: Arc<Shared>,
    address: SocketAddr,
    wanted: watch::Sender<Phase>,
    phase: watch::Receiver<Phase>,
    control: JoinHandle<()>,
    stop: CancellationToken,
    finish: CancellationToken,
}

impl Relay {
    /// Starts to serve callers. Must be called within a tokio runtime.
    /// `members` are peer addresses of control members, `peer_listen` the address
    /// for peer routers.
    ///
    /// # Errors
    ///
    /// When the address is taken or no thread can be started.
    pub async fn start(
        options: RelayOptions,
        adapter: Arc<dyn ProtocolAdapter>,
        identity: Identity,
        members: Vec<SocketAddr>,
        peer_listen: SocketAddr,
        log: Logger,
    ) -> Result<Self, RelayError> {
        let listener = TcpListener::bind(options.listen)
            .await
            .map_err(|err| RelayError::Listen(options.listen, err))?;
        let address = listener.local_addr().unwrap_or(options.listen);
        let peer_listener = std::net::TcpListener::bind(peer_listen)
            .map_err(|err| RelayError::Listen(peer_listen, err))?;
        let mut options = options;
        options.listen = address;
        let metrics = Arc::new(Metrics::new()?);
        let limits = ClientTimeouts {
            connect: CONNECT,
            idle: IDLE,
            ..ClientTimeouts::default()
        };
        let dispatcher = DispatcherConfig::new(options.data_centre.clone());
        let link = Arc::new(Link::default());
        let cx = Arc::new(Shared {
            adapter,
            clock: Clock::start(),
            table: ArcSwap::from_pointee(RouteTable::default()),
            dispatcher: Mutex::new(Dispatcher::new(dispatcher, rand::random())),
            repeats: Mutex::new(Repeats::new(&options)),
            shedder: Mutex::default(),
            purse: Purse::new(&options.name, identity.incarnation),
            peers: OnceLock::new(),
            client: Client::with_observer(limits, MAX_ANSWER_BYTES, link.clone()),
            link,
            bodies: BodyMemory::new(options.max_buffered_bytes, metrics.body_bytes.clone()),
            metrics: Arc::clone(&metrics),
            log: log.clone(),
            in_touch: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            next_no: AtomicU64::new(1),
            options,
        });
        let (wanted, follow) = watch::channel(Phase::Opening);
        let (phase_tx, phase) = watch::channel(Phase::Opening);
        let parts = Parts {
            cx: Arc::clone(&cx),
            identity,
            members,
            peer_listener,
            wanted: follow,
            phase: phase_tx,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let control = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(control::run(parts)))?;
        let stop = CancellationToken::new();
        let finish = CancellationToken::new();
        tokio::spawn(serve(
            listener,
            HandlerService(Callers(Arc::clone(&cx))),
            ConnectionLimits {
                max_connections: cx.options.max_connections,
                header_timeout: CALLER_IDLE,
            },
            metrics,
            stop.clone(),
            finish.clone(),
        ));
        tokio::spawn(close_idle(Arc::clone(&cx.client)));
        tokio::spawn(measure_lateness(Arc::clone(&cx)));
        tokio::spawn(measure_link(Arc::clone(&cx)));
        info!(log, "serves callers"; "address" => %address);
        Ok(Self {
            cx,
            address,
            wanted,
            phase,
            control,
            stop,
            finish,
        })
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.cx.metrics
    }

    /// Returns a function that says whether callers should come here: a table
    /// is known and no planned stop has begun.
    pub fn readiness(&self) -> impl Fn() -> bool + Clone + Send + Sync + 'static {
        let (cx, wanted) = (Arc::clone(&self.cx), self.wanted.subscribe());
        move || cx.table.load().version() > 0 && *wanted.borrow() < Phase::Leaving
    }

    /// Stops as planned: leaves the list for callers at once, takes requests
    /// for a while longer, ends those in flight, and gives tokens back. Returns
    /// whether all of it was done in time.
    pub async fn drain(self) -> bool {
        let options = &self.cx.options;
        let end = tokio::time::Instant::now() + options.drain_limit;
        info!(self.cx.log, "drains"; "requests" => self.cx.metrics.in_flight.get());
        self.wanted.send_replace(Phase::Leaving);
        tokio::time::sleep(options.drain_accept).await;
        self.cx.closing.store(true, Ordering::Relaxed);
        self.stop.cancel();
        self.finish.cancel();
        let work = end.checked_sub(SETTLE).unwrap_or(end);
        while self.cx.metrics.connections.get() > 0 && tokio::time::Instant::now() < work {
            tokio::time::sleep(LOOK).await;
        }
        self.wanted.send_replace(Phase::Settling);
        let mut phase = self.phase.clone();
        let closed = phase.wait_for(|p| *p == Phase::Closed);
        let closed = matches!(tokio::time::timeout_at(end, closed).await, Ok(Ok(_)));
        if closed {
            // The thread has ended.
            drop(self.control.join());
        } else {
            warn!(self.cx.log, "stopping before everything is settled";
                "connections" => self.cx.metrics.connections.get());
        }
        closed
    }
}

/// Measures how late the timers of the traffic threads are.
async fn measure_lateness(cx: Arc<Shared>) {
    loop {
        let due = tokio::time::Instant::now() + LATE_EVERY;
        tokio::time::sleep_until(due).await;
        lock(&cx.shedder).record_lateness(due.elapsed());
    }
}

/// Measures the delay of the router's link.
async fn measure_link(cx: Arc<Shared>) {
    loop {
        tokio::time::sleep(LINK_INTERVAL).await;
        let before = cx.link.state();
        cx.link.end_interval();
        let after = cx.link.state();
        if before.is_saturated() != after.is_saturated() {
            info!(cx.log, "link"; "full" => after.is_saturated(),
                "delay_ms" => after.delay().as_millis() as u64);
        }
    }
}

async fn close_idle(client: Arc<Client>) {
    loop {
        tokio::time::sleep(IDLE_EVERY).await;
        client.close_idle();
    }
}
