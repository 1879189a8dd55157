//! Start and planned stop of a relay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::thread;
use std::thread::JoinHandle;

use anvilloft_dispatch::Dispatcher;
use anvilloft_dispatch::DispatcherConfig;
use anvilloft_dispatch::LINK_INTERVAL;
use anvilloft_dispatch::StopSchedule;
use anvilloft_gateway::AnswerMemory;
use anvilloft_gateway::BodyMemory;
use anvilloft_gateway::client::Client;
use anvilloft_gateway::client::ClientTimeouts;
use anvilloft_gateway::metrics::Metrics;
use anvilloft_gateway::serve::ConnectionLimits;
use anvilloft_gateway::serve::HandlerService;
use anvilloft_gateway::serve::Server;
use anvilloft_gateway::serve::Timeouts;
use anvilloft_routes::RouteTable;
use anvilloft_types::Clock;
use anvilloft_types::lock;
use anvilloft_types::prelude::*;
use anvilloft_wire::session::Identity;
use arc_swap::ArcSwap;
use quick_error::quick_error;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::adapter::ProtocolAdapter;
use crate::control;
use crate::control::ControlArgs;
use crate::control::Phase;
use crate::forward::CallerHandler;
use crate::options::RelayOptions;
use crate::reservations::TokenReservations;
use crate::state::LinkMonitor;
use crate::state::RelayState;
use crate::state::RetryBudgets;

/// Timeout for connecting to an endpoint. This is a hundred round trips within a
/// city; an endpoint that takes longer is overloaded or down.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle time after which a connection to an endpoint is closed.
const ENDPOINT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of an answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Limit on the memory of all answers, in bytes, and number of answers that may exceed it
/// at a time. Together they leave room for request bodies and connections in the memory of
/// the smallest supported host.
const ANSWER_MEMORY_BYTES: usize = 8 * 1024 * 1024;
const MAX_LARGE_ANSWERS: usize = 2;
/// Time that a caller's header may take beyond its limit, for packets that are sent again.
const HEADER_GRACE: Duration = Duration::from_secs(2);
/// Minimum idle time after which a caller's connection is closed.
const MIN_CALLER_IDLE: Duration = Duration::from_secs(1);
/// Interval at which idle connections to endpoints are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the timer whose lateness is measured.
const LATENESS_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a planned stop checks whether all connections have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest part of a planned stop's time that is kept for returning tokens.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// The same as a divisor of a planned stop's time, for short stops.
const SETTLE_DIVISOR: u32 = 9;

/// Part of a planned stop's time in which requests that still wait for an answer are
/// refused.
const REFUSAL_TIME: Duration = Duration::from_millis(300);
/// Minimum time for these refusals, also after the end of the planned stop: a host that
/// was paused may be late.
const MIN_REFUSAL_TIME: Duration = Duration::from_millis(100);

quick_error! {
    /// Error when starting a relay.
    #[derive(Debug)]
    pub enum RelayError {
        /// The listener can't be bound to its address.
        Listen(address: SocketAddr, err: std::io::Error) {
            display("can't listen on {}: {}", address, err)
            source(err)
        }
        /// The control thread or its runtime can't be started.
        Thread(err: std::io::Error) {
            from()
            display("can't start the control thread: {}", err)
            source(err)
        }
        /// A metric can't be registered.
        Metrics(err: prometheus::Error) {
            from()
            display("can't register the metrics: {}", err)
            source(err)
        }
    }
}

/// A running relay.
pub struct Relay {
    cx: Arc<RelayState>,
    address: SocketAddr,
    /// Phase requested of the control thread.
    target_phase: watch::Sender<Phase>,
    phase: watch::Receiver<Phase>,
    control: JoinHandle<()>,
    /// Stops accepting connections.
    stop: CancellationToken,
    /// Closes each open connection after its current request.
    finish: CancellationToken,
}

impl Relay {
    /// Starts serving callers. Must be called within a tokio runtime.
    ///
    /// `members` are the peer addresses of control members, `peer_listen` is the
    /// address on which peer routers are accepted.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use, a metric can't be registered, or the
    /// control thread can't be started.
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
        let timeouts = ClientTimeouts {
            connect: CONNECT_TIMEOUT,
            idle: ENDPOINT_IDLE_TIMEOUT,
            ..ClientTimeouts::default()
        };
        let mut dispatcher_cfg = DispatcherConfig::new(options.data_centre.clone());
        dispatcher_cfg.regions.clone_from(&options.regions);
        let link = Arc::new(LinkMonitor::default());
        let answers = AnswerMemory::new(
            ANSWER_MEMORY_BYTES,
            MAX_LARGE_ANSWERS,
            metrics.answer_bytes.clone(),
        );
        let cx = Arc::new(RelayState {
            adapter,
            clock: Clock::start(),
            table: ArcSwap::from_pointee(RouteTable::default()),
            dispatcher: Mutex::new(Dispatcher::new(dispatcher_cfg, rand::random())),
            retry_budgets: Mutex::new(RetryBudgets::new(&options)),
            shedder: Mutex::default(),
            crashes: Mutex::default(),
            reservations: TokenReservations::new(&options.name, identity.incarnation),
            holders: ArcSwap::default(),
            silent_holders: Mutex::default(),
            peers: OnceLock::new(),
            client: Client::with_observer(timeouts, MAX_ANSWER_BYTES, answers, link.clone()),
            link,
            bodies: BodyMemory::new(options.max_buffered_bytes, metrics.body_bytes.clone()),
            metrics: Arc::clone(&metrics),
            log: log.clone(),
            control_reachable: AtomicBool::new(false),
            stop: OnceLock::new(),
            abandon: CancellationToken::new(),
            router_count: AtomicUsize::new(0),
            open_requests: AtomicUsize::new(0),
            request_counter: AtomicU64::new(1),
            options,
        });
        let (target_phase, target_rx) = watch::channel(Phase::Registering);
        let (phase_tx, phase) = watch::channel(Phase::Registering);
        let args = ControlArgs {
            cx: Arc::clone(&cx),
            identity,
            members,
            peer_listener,
            target_phase: target_rx,
            phase: phase_tx,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let control = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(control::run(args)))?;
        let stop = CancellationToken::new();
        let finish = CancellationToken::new();
        let limits = ConnectionLimits {
            max_connections: cx.options.max_connections,
            ..ConnectionLimits::default()
        };
        let table_of = Arc::clone(&cx);
        let server = Server::new(limits, metrics)
            .log(log.clone())
            .id_header(cx.adapter.request_id_header())
            .timeouts(Arc::new(move || {
                let table = table_of.table.load();
                let limits = table.limits();
                Timeouts {
                    header: limits.header_timeout.saturating_add(HEADER_GRACE),
                    idle: limits.idle_timeout.max(MIN_CALLER_IDLE),
                }
            }));
        tokio::spawn(server.serve(
            listener,
            HandlerService(CallerHandler(Arc::clone(&cx))),
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
            target_phase,
            phase,
            control,
            stop,
            finish,
        })
    }

    /// Returns the address on which callers are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the metrics of this relay.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.cx.metrics
    }

    /// Returns a function that returns whether callers should be sent here: a
    /// route table is known, the control thread runs, and no planned stop has begun.
    pub fn readiness(&self) -> impl Fn() -> bool + Clone + Send + Sync + 'static {
        let (cx, target_phase) = (Arc::clone(&self.cx), self.target_phase.subscribe());
        let phase = self.phase.clone();
        move || {
            // The channel is closed when the thread has ended.
            let has_control = phase.has_changed().is_ok();
            has_control && cx.table.load().version() > 0 && *target_phase.borrow() < Phase::Leaving
        }
    }

    /// Waits until the control thread ends by itself. Without it the relay gets no
    /// tokens, endpoints or tables.
    pub async fn wait_for_failure(&self) {
        let mut phase = self.phase.clone();
        if phase.wait_for(|p| *p == Phase::Closed).await.is_ok() {
            std::future::pending::<()>().await;
        }
        error!(self.cx.log, "the control thread ended";
            "table" => self.cx.table.load().version());
    }

    /// Performs a planned stop: leaves the directory for callers at once, accepts
    /// requests for `drain_accept`, waits for those in flight, and returns tokens.
    /// Returns whether all of this was done within `drain_limit`.
    pub async fn drain(self) -> bool {
        let options = &self.cx.options;
        let end = tokio::time::Instant::now() + options.drain_limit;
        let settle_time = SETTLE_TIME.min(options.drain_limit / SETTLE_DIVISOR);
        let now = self.cx.now();
        let schedule = StopSchedule {
            accept_until: now + options.drain_accept,
            requests_end: now + options.drain_limit.saturating_sub(settle_time),
        };
        // Can't be set already, as this consumes the relay.
        let _ = self.cx.stop.set(schedule);
        info!(self.cx.log, "drains"; "requests" => self.cx.metrics.in_flight.get());
        self.target_phase.send_replace(Phase::Leaving);
        tokio::time::sleep(options.drain_accept).await;
        self.stop.cancel();
        self.finish.cancel();
        let requests_end = end.checked_sub(settle_time).unwrap_or(end);
        while self.cx.metrics.connections.get() > 0 && tokio::time::Instant::now() < requests_end {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.target_phase.send_replace(Phase::Settling);
        let refusals_begin = end.checked_sub(REFUSAL_TIME).unwrap_or(end);
        let closed = self.wait_until_closed(refusals_begin).await;
        self.refuse_waiting(end).await;
        if closed || self.wait_until_closed(end).await {
            // The control thread ends after this phase, so this doesn't block.
            drop(self.control.join());
        } else {
            warn!(self.cx.log, "stopping before all tokens are settled";
                "connections" => self.cx.metrics.connections.get());
            return false;
        }
        true
    }

    /// Waits until control has closed the incarnation. Returns whether it has.
    async fn wait_until_closed(&self, end: tokio::time::Instant) -> bool {
        let mut phase = self.phase.clone();
        let closed = phase.wait_for(|p| *p == Phase::Closed);
        matches!(tokio::time::timeout_at(end, closed).await, Ok(Ok(_)))
    }

    /// Refuses the requests that still wait for an answer.
    async fn refuse_waiting(&self, end: tokio::time::Instant) {
        if self.cx.metrics.in_flight.get() == 0 {
            return;
        }
        self.cx.abandon.cancel();
        let end = end.max(tokio::time::Instant::now() + MIN_REFUSAL_TIME);
        while self.cx.metrics.in_flight.get() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        // The last refusals are being written.
        tokio::time::sleep_until(end.min(tokio::time::Instant::now() + DRAIN_POLL_INTERVAL)).await;
    }
}

/// Measures how late timers fire on the threads that serve callers.
async fn measure_lateness(cx: Arc<RelayState>) {
    loop {
        let due = tokio::time::Instant::now() + LATENESS_INTERVAL;
        tokio::time::sleep_until(due).await;
        lock(&cx.shedder).record_lateness(due.elapsed());
    }
}

/// Measures the delay of the router's own network link, and logs when it becomes
/// saturated or recovers.
async fn measure_link(cx: Arc<RelayState>) {
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
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        client.close_idle();
    }
}
