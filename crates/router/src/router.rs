//! Starts and stops a router within this process.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
use anvilloft_gateway::serve::serve;
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
use crate::core::Stop;

/// Default of the largest whole answer of an endpoint, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Time for the last bytes of settled answers to leave.
const LAST_BYTES: Duration = Duration::from_millis(100);
/// Time between two closings of idle connections.
const IDLE_EVERY: Duration = Duration::from_secs(1);

quick_error! {
    /// Why a router did not start.
    #[derive(Debug)]
    pub enum RouterError {
        /// A socket or thread could not be made.
        Io(err: io::Error) {
            from()
            display("{}", err)
            source(err)
        }
        /// A metric was registered twice.
        Metrics(err: prometheus::Error) {
            from()
            display("{}", err)
            source(err)
        }
    }
}

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Incarnation; 0 for the present time in milliseconds.
    pub incarnation: Incarnation,
    /// Address for callers.
    pub caller_listen: SocketAddr,
    /// Address that callers are told; `None` for the bound one.
    pub caller_address: Option<SocketAddr>,
    /// Address that peers are told.
    pub peer_address: String,
    /// Threads that carry traffic.
    pub threads: usize,
    /// Largest whole answer of an endpoint, in bytes.
    pub max_answer_bytes: usize,
    /// Bounds of the queues.
    pub queues: QueueLimits,
    /// Limits towards callers; name and endpoint key are part of them.
    pub api: ApiOptions,
    /// Limits of callers' connections.
    pub connections: ConnectionLimits,
    /// Limits towards endpoints.
    pub client: ClientTimeouts,
}

impl RouterOptions {
    /// Makes settings for a router on a free loopback port.
    pub fn loopback(name: &str, data_centre: &str, endpoint_key: &str) -> Self {
        Self {
            name: name.into(),
            data_centre: data_centre.into(),
            incarnation: 0,
            caller_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            caller_address: None,
            peer_address: format!("local-{name}"),
            threads: 2,
            max_answer_bytes: MAX_ANSWER_BYTES,
            queues: QueueLimits {
                team: 256,
                total: 8192,
                grant_wait_team_requests: 1024,
                grant_wait_requests: 8192,
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

/// How a router reaches control and its peers.
pub struct Links {
    /// Access to the ledger.
    pub control: Arc<dyn Control>,
    /// Access to peers.
    pub peers: Arc<dyn Peers>,
    /// Frames of peers and of control.
    pub inbox: mpsc::Receiver<PeerFrame>,
}

/// A running router. Dropping it ends it like a crash.
pub struct Router {
    address: SocketAddr,
    traffic: Option<Runtime>,
    core: Option<std::thread::JoinHandle<()>>,
    kill: CancellationToken,
    stop: watch::Sender<Stop>,
    phase: watch::Receiver<Phase>,
    metrics: Arc<Metrics>,
    api: Arc<Api>,
    stop_accepting: CancellationToken,
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

    /// Like [`Router::start`], with links that are made within the runtime of
    /// the control thread, where their tasks then run.
    ///
    /// # Errors
    ///
    /// As [`Router::start`], and those of `make`.
    pub fn start_with(
        options: RouterOptions,
        make: impl FnOnce(Incarnation) -> Result<Links, RouterError>,
        log: Logger,
    ) -> Result<Self, RouterError> {
        let listener = std::net::TcpListener::bind(options.caller_listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let told = options.caller_address.unwrap_or(address);
        let clock = Clock::start();
        let view = Arc::new(arc_swap::ArcSwap::from_pointee(View::empty()));
        let (handle, msgs) = CoreHandle::new();
        let metrics = Arc::new(Metrics::new()?);
        let client = Client::new(options.client, options.max_answer_bytes);
        let log = log.new(slog::o!("router" => options.name.clone()));
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
            let _inside = control_runtime.enter();
            make(incarnation)?
        };
        let core = Core::new(CoreParts {
            id: Identity {
                router: options.name.clone(),
                incarnation,
                data_centre: options.data_centre,
                caller_address: told.to_string(),
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
        let (stop, stop_rx) = watch::channel(Stop::No);
        let kill = CancellationToken::new();
        let killed = kill.clone();
        let inbox = links.inbox;
        let core = std::thread::Builder::new()
            .name(format!("{}-core", options.name))
            .spawn(move || {
                control_runtime.block_on(async {
                    tokio::select! {
                        () = core.run(msgs, inbox, stop_rx) => {}
                        () = killed.cancelled() => {}
                    }
                });
            })?;
        let traffic = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(options.threads)
            .thread_name(format!("{}-traffic", options.name))
            .enable_all()
            .build()?;
        let stop_accepting = CancellationToken::new();
        let service = HandlerService(Arc::clone(&api));
        let stop_listening = stop_accepting.clone();
        let (limits, counters) = (options.connections, Arc::clone(&metrics));
        traffic.spawn(async move {
            loop {
                tokio::time::sleep(IDLE_EVERY).await;
                client.close_idle();
            }
        });
        let (started, result) = std::sync::mpsc::channel();
        traffic.spawn(async move {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => {
                    started.send(Ok(())).ok();
                    // The runtime ends the connections that are still open.
                    let finish = CancellationToken::new();
                    serve(listener, service, limits, counters, stop_listening, finish).await;
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
        })
    }

    /// Returns the address for callers.
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

    /// Follows the phase.
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.clone()
    }

    /// Returns how many endpoints this router may use now.
    pub fn endpoints(&self) -> usize {
        self.api.view.load().endpoint_count
    }

    /// Waits until the router has a lease, at most for `limit`.
    pub async fn ready(&self, limit: Duration) -> bool {
        let until = tokio::time::Instant::now() + limit;
        while tokio::time::Instant::now() < until {
            if self.api.view.load().has_lease(self.api.clock.now()) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        false
    }

    /// Starts the planned stop.
    pub fn start_drain(&self) {
        self.stop.send_if_modified(|stop| {
            let first = *stop == Stop::No;
            if first {
                *stop = Stop::Drain;
            }
            first
        });
    }

    /// Drains, and ends the threads once everything is settled. Returns
    /// whether that was within `limit` and before `hurry` ended; otherwise
    /// what runs is interrupted and logged.
    pub async fn drain_until(mut self, limit: Duration, hurry: impl Future<Output = ()>) -> bool {
        self.start_drain();
        let mut phase = self.phase.clone();
        let in_flight = self.metrics.in_flight.clone();
        let closed = tokio::select! {
            // An incarnation that control ended can't be closed, but its work
            // in flight still ends.
            () = async {
                phase_is(&mut self.phase.clone(), Phase::Superseded).await;
                while in_flight.get() > 0 {
                    tokio::time::sleep(LAST_BYTES).await;
                }
            } => false,
            closed = phase.wait_for(|p| *p == Phase::Closed) => {
                closed.is_ok()
            }
            () = tokio::time::sleep(limit) => false,
            () = hurry => false,
        };
        self.stop_accepting.cancel();
        if closed {
            // Answers that were settled may still be on their way to slow
            // callers, each of which is given up after the write stall.
            let open = self.metrics.open_answers.clone();
            let until = tokio::time::Instant::now() + self.api.options.write_timeout;
            while open.get() > 0 && tokio::time::Instant::now() < until {
                tokio::time::sleep(LAST_BYTES).await;
            }
            tokio::time::sleep(LAST_BYTES).await;
        } else {
            self.stop.send_replace(Stop::Now);
            if let Some(core) = self.core.take() {
                core.join().ok();
            }
        }
        self.end();
        closed
    }

    /// Drains for at most `limit`; see [`Router::drain_until`].
    pub async fn drain(self, limit: Duration) -> bool {
        self.drain_until(limit, std::future::pending()).await
    }

    /// Ends the router at once, like a crash: every socket closes.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.kill.cancel();
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
        if let Some(core) = self.core.take() {
            core.join().ok();
        }
    }
}

async fn phase_is(phase: &mut watch::Receiver<Phase>, wanted: Phase) {
    if phase.wait_for(|p| *p == wanted).await.is_err() {
        std::future::pending::<()>().await;
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.end();
    }
}
