//! Starts and stops the threads of a router.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilloft_gateway::AnswerMemory;
use anvilloft_gateway::Api;
use anvilloft_gateway::ApiOptions;
use anvilloft_gateway::BodyMemory;
use anvilloft_gateway::CoreHandle;
use anvilloft_gateway::View;
use anvilloft_gateway::client::Client;
use anvilloft_gateway::client::ClientTimeouts;
use anvilloft_gateway::metrics::Metrics;
use anvilloft_gateway::serve::ConnectionLimits;
use anvilloft_gateway::serve::HandlerService;
use anvilloft_gateway::serve::Server;
use anvilloft_types::Clock;
use anvilloft_types::Incarnation;
use anvilloft_types::unix_ms;
use anvilloft_wire::Control;
use anvilloft_wire::peers::PeerFrame;
use anvilloft_wire::peers::Peers;
use quick_error::quick_error;
use slog::Logger;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::core::Core;
use crate::core::CoreParts;
use crate::core::Gauges;
use crate::core::Identity;
use crate::core::Phase;
use crate::core::QueueLimits;
use crate::core::StopRequest;

/// Default maximum size of an endpoint answer that is buffered whole, in bytes.
/// Number of answers that may exceed the memory limit of all answers at a time.
const MAX_LARGE_ANSWERS: usize = 2;
const DEFAULT_MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Interval between checks for unsent answers at shutdown, and the time left for
/// the last bytes to be sent.
const FLUSH_DELAY: Duration = Duration::from_millis(100);
/// Interval between sweeps that close idle connections to endpoints.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

quick_error! {
    /// Error that keeps a router from starting.
    #[derive(Debug)]
    pub enum RouterError {
        /// A socket or thread could not be created.
        Io(err: io::Error) {
            from()
            display("cannot create a socket or thread of the router: {}", err)
            source(err)
        }
        /// A metric was registered twice.
        Metrics(err: prometheus::Error) {
            from()
            display("cannot register a metric: {}", err)
            source(err)
        }
    }
}

/// Options of a router.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// Name of the router, unique in the fleet.
    pub name: String,
    /// Data centre of the router.
    pub data_centre: String,
    /// Incarnation; 0 for the current Unix time in milliseconds.
    pub incarnation: Incarnation,
    /// Address on which callers are served.
    pub caller_listen: SocketAddr,
    /// Address advertised to callers; `None` for the bound one.
    pub caller_address: Option<SocketAddr>,
    /// Address advertised to peers.
    pub peer_address: String,
    /// Number of traffic threads.
    pub threads: usize,
    /// Maximum size of an endpoint answer that is buffered whole, in bytes.
    pub max_answer_bytes: usize,
    /// Limits of the request queues.
    pub queues: QueueLimits,
    /// Options of the API for callers, which include the router's name and the
    /// endpoint key.
    pub api: ApiOptions,
    /// Limits of callers' connections.
    pub connections: ConnectionLimits,
    /// Timeouts of connections to endpoints.
    pub client: ClientTimeouts,
}

impl RouterOptions {
    /// Returns options for a router on a free loopback port.
    pub fn loopback(name: &str, data_centre: &str, endpoint_key: &str) -> Self {
        Self {
            name: name.into(),
            data_centre: data_centre.into(),
            incarnation: 0,
            caller_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            caller_address: None,
            peer_address: format!("local-{name}"),
            threads: 2,
            max_answer_bytes: DEFAULT_MAX_ANSWER_BYTES,
            queues: QueueLimits {
                max_team_queue: 256,
                max_total_queue: 8192,
                max_team_grant_waits: 1024,
                max_grant_waits: 8192,
            },
            api: ApiOptions {
                router_name: name.into(),
                endpoint_key: endpoint_key.into(),
                ..ApiOptions::default()
            },
            connections: ConnectionLimits::default(),
            client: ClientTimeouts::default(),
        }
    }
}

/// A router's links to control and to its peers.
pub struct Links {
    /// Access to the ledger.
    pub control: Arc<dyn Control>,
    /// Sends frames to peers.
    pub peers: Arc<dyn Peers>,
    /// Frames received from peers and from control.
    pub inbox: mpsc::Receiver<PeerFrame>,
}

/// A running router.
///
/// Dropping it stops it at once, without a drain, as a crash would.
pub struct Router {
    address: SocketAddr,
    traffic: Option<Runtime>,
    core: Option<std::thread::JoinHandle<()>>,
    kill: CancellationToken,
    stop: watch::Sender<StopRequest>,
    phase: watch::Receiver<Phase>,
    metrics: Arc<Metrics>,
    api: Arc<Api>,
    stop_accepting: CancellationToken,
    /// Closes each open connection after its current request.
    finish: CancellationToken,
}

/// How the wait for the end of a drain ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainEnd {
    /// Everything is settled and the incarnation is closed.
    Closed,
    /// Control has ended the incarnation, and no request is in flight.
    Superseded,
    /// The control thread failed, the time ran out, or the drain was interrupted.
    Interrupted,
}

impl Router {
    /// Starts the threads of a router.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound or a thread can't be started.
    pub fn start(options: RouterOptions, links: Links, log: Logger) -> Result<Self, RouterError> {
        Self::start_with(options, |_| Ok(links), log)
    }

    /// Like [`Router::start`], but calls `make_links` within the runtime of the
    /// control thread, on which the tasks of the links then run.
    ///
    /// # Errors
    ///
    /// Fails as [`Router::start`] does, or with the error of `make_links`.
    pub fn start_with(
        options: RouterOptions,
        make_links: impl FnOnce(Incarnation) -> Result<Links, RouterError>,
        log: Logger,
    ) -> Result<Self, RouterError> {
        let listener = std::net::TcpListener::bind(options.caller_listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let advertised = options.caller_address.unwrap_or(address);
        let clock = Clock::start();
        let view = Arc::new(arc_swap::ArcSwap::from_pointee(View::empty()));
        let (handle, msgs) = CoreHandle::new();
        let metrics = Arc::new(Metrics::new()?);
        let answers = AnswerMemory::new(
            options.api.max_buffered_bytes,
            MAX_LARGE_ANSWERS,
            metrics.answer_bytes.clone(),
        );
        let client = Client::new(options.client, options.max_answer_bytes, answers);
        let log = log.new(slog::o!("router" => options.name.clone()));
        let server_log = log.clone();
        let body_memory =
            BodyMemory::new(options.api.max_buffered_bytes, metrics.body_bytes.clone());
        let api = Arc::new(Api {
            options: options.api,
            clock,
            view: Arc::clone(&view),
            core: handle,
            client: Arc::clone(&client),
            body_memory,
            metrics: Arc::clone(&metrics),
            log: log.clone(),
        });
        let incarnation = match options.incarnation {
            0 => unix_ms().max(1),
            n => n,
        };
        let control_runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let links = {
            let _guard = control_runtime.enter();
            make_links(incarnation)?
        };
        let core = Core::new(CoreParts {
            id: Identity {
                router: options.name.clone(),
                incarnation,
                data_centre: options.data_centre,
                caller_address: advertised.to_string(),
                peer_address: options.peer_address,
            },
            clock,
            log,
            view,
            control: links.control,
            peers: links.peers,
            gauges: Gauges::new(&metrics.registry)?,
            queues: options.queues,
            seed: rand::random(),
        });
        let phase = core.phase();
        let (stop, stop_rx) = watch::channel(StopRequest::None);
        let kill = CancellationToken::new();
        let kill_requested = kill.clone();
        let inbox = links.inbox;
        let core = std::thread::Builder::new()
            .name(format!("{}-core", options.name))
            .spawn(move || {
                control_runtime.block_on(async {
                    tokio::select! {
                        () = core.run(msgs, inbox, stop_rx) => {}
                        () = kill_requested.cancelled() => {}
                    }
                });
            })?;
        let traffic = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(options.threads)
            .thread_name(format!("{}-traffic", options.name))
            .enable_all()
            .build()?;
        let stop_accepting = CancellationToken::new();
        let finish = CancellationToken::new();
        let service = HandlerService(Arc::clone(&api));
        let (stop_listening, finish_open) = (stop_accepting.clone(), finish.clone());
        let server = Server::new(options.connections, Arc::clone(&metrics)).log(server_log);
        traffic.spawn(async move {
            loop {
                tokio::time::sleep(IDLE_SWEEP_INTERVAL).await;
                client.close_idle();
            }
        });
        let (started, result) = std::sync::mpsc::channel();
        traffic.spawn(async move {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => {
                    started.send(Ok(())).ok();
                    server
                        .serve(listener, service, stop_listening, finish_open)
                        .await;
                }
                Err(e) => {
                    started.send(Err(e)).ok();
                }
            }
        });
        result
            .recv()
            .map_err(|_| io::Error::other("the server did not start"))??;
        Ok(Self {
            address,
            traffic: Some(traffic),
            core: Some(core),
            kill,
            stop,
            phase,
            metrics,
            api,
            stop_accepting,
            finish,
        })
    }

    /// Returns the bound address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Returns the shared state of the traffic threads.
    pub fn api(&self) -> &Arc<Api> {
        &self.api
    }

    /// Returns a receiver that follows the phase.
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.clone()
    }

    /// Returns the number of endpoints with a lease.
    pub fn endpoint_count(&self) -> usize {
        self.api.view.load().endpoint_count
    }

    /// Waits until the router has a configuration lease.
    ///
    /// Returns whether it got one within `timeout`.
    pub async fn wait_until_ready(&self, timeout: Duration) -> bool {
        let deadline = tokio::time::Instant::now() + timeout;
        while tokio::time::Instant::now() < deadline {
            if self.api.view.load().has_lease(self.api.clock.now()) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        false
    }

    /// Starts the drain.
    pub fn start_drain(&self) {
        self.stop.send_if_modified(|stop| {
            let first = *stop == StopRequest::None;
            if first {
                *stop = StopRequest::Drain;
            }
            first
        });
    }

    /// Drains, and stops the threads once everything is settled.
    ///
    /// Returns whether the drain finished within `timeout` and before
    /// `interrupt` completed. Otherwise, requests in flight are interrupted and
    /// logged. Requests that wait for an endpoint are refused then.
    pub async fn drain_until(
        mut self,
        timeout: Duration,
        interrupt: impl Future<Output = ()>,
    ) -> bool {
        self.start_drain();
        let mut phase = self.phase.clone();
        let in_flight = self.metrics.in_flight.clone();
        let end = tokio::select! {
            // An incarnation that control has ended can't be closed, but requests
            // in flight still finish.
            () = async {
                wait_for_phase(&mut self.phase.clone(), Phase::Superseded).await;
                while in_flight.get() > 0 {
                    tokio::time::sleep(FLUSH_DELAY).await;
                }
            } => DrainEnd::Superseded,
            closed = phase.wait_for(|p| *p == Phase::Closed) => match closed {
                Ok(_) => DrainEnd::Closed,
                Err(_) => DrainEnd::Interrupted,
            },
            () = tokio::time::sleep(timeout) => DrainEnd::Interrupted,
            () = interrupt => DrainEnd::Interrupted,
        };
        self.stop_accepting.cancel();
        if end != DrainEnd::Closed {
            self.stop.send_replace(StopRequest::Immediate);
            if let Some(core) = self.core.take() {
                core.join().ok();
            }
        }
        self.finish.cancel();
        // Answers may still be in transit to slow callers, and requests may still
        // arrive on open connections. They get at most `write_timeout`, as a chunk of
        // a stream does.
        let limit = match end {
            DrainEnd::Interrupted => FLUSH_DELAY,
            DrainEnd::Closed | DrainEnd::Superseded => self.api.options.write_timeout,
        };
        let connections = self.metrics.connections.clone();
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            tokio::time::sleep(FLUSH_DELAY).await;
            if connections.get() == 0 || tokio::time::Instant::now() >= deadline {
                break;
            }
        }
        self.shut_down();
        end == DrainEnd::Closed
    }

    /// Drains for at most `timeout`; see [`Router::drain_until`].
    pub async fn drain(self, timeout: Duration) -> bool {
        self.drain_until(timeout, std::future::pending()).await
    }

    /// Stops the router at once, as a crash would: all sockets close.
    pub fn kill(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        self.kill.cancel();
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
        if let Some(core) = self.core.take() {
            core.join().ok();
        }
    }
}

/// Waits until the router is in phase `wanted`. Never returns if the control
/// thread ends first.
async fn wait_for_phase(phase: &mut watch::Receiver<Phase>, wanted: Phase) {
    if phase.wait_for(|p| *p == wanted).await.is_err() {
        std::future::pending::<()>().await;
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.shut_down();
    }
}
