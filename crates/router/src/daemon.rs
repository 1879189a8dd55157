//! The process around a router: settings, log and signals.

use std::io;
use std::path::Path;
use std::time::Duration;

use anvilloft_gateway::ApiOptions;
use anvilloft_gateway::client::ClientTimeouts;
use anvilloft_gateway::serve::ConnectionLimits;
use anvilloft_settings::RouterSettings;
use anvilloft_settings::SettingsError;
use anvilloft_telemetry::LogOptions;
use anvilloft_types::unix_ms;
use anvilloft_wire::session::FleetOptions;
use anvilloft_wire::session::Identity;
use anvilloft_wire::session::join_fleet;
use prometheus::IntCounter;
use quick_error::quick_error;
use slog::Logger;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::core::Phase;
use crate::core::QueueLimits;
use crate::router::Links;
use crate::router::Router;
use crate::router::RouterError;
use crate::router::RouterOptions;

quick_error! {
    /// Error that ends the daemon.
    #[derive(Debug)]
    pub enum DaemonError {
        /// The settings are invalid.
        Settings(err: SettingsError) {
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
        /// A socket, signal handler or runtime could not be created.
        Io(err: std::io::Error) {
            from()
            display("cannot create a socket, signal handler or runtime: {}", err)
            source(err)
        }
        /// The endpoint key is empty or can't be sent in a header.
        EndpointKey {
            display("the endpoint key must be non-empty, printable ASCII text without spaces")
        }
        /// Control ended the incarnation, so this process may take no more work.
        Superseded {
            display("control ended this router's incarnation; restart the router")
        }
        /// The drain was interrupted or timed out.
        Interrupted {
            display("the drain did not finish; requests in flight were interrupted")
        }
    }
}

/// Converts the settings file into the options of a router.
///
/// # Errors
///
/// Fails when the endpoint key is empty or can't be sent in a header.
pub fn options(settings: &RouterSettings) -> Result<RouterOptions, DaemonError> {
    let key = std::str::from_utf8(settings.endpoint_key.expose())
        .ok()
        .map(str::trim)
        .filter(|key| !key.is_empty() && key.bytes().all(|b| b.is_ascii_graphic()))
        .ok_or(DaemonError::EndpointKey)?;
    let to_usize = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
    Ok(RouterOptions {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: unix_ms().max(1),
        caller_listen: settings.caller_listen,
        caller_address: settings.caller_address,
        peer_address: settings.peer_address().to_string(),
        threads: to_usize(settings.threads),
        max_answer_bytes: to_usize(settings.max_answer_bytes),
        queues: QueueLimits {
            max_team_queue: to_usize(settings.queue_team),
            max_total_queue: to_usize(settings.queue_total),
            max_team_grant_waits: to_usize(settings.grant_wait_team_requests),
            max_grant_waits: to_usize(settings.grant_wait_requests),
        },
        api: ApiOptions {
            router_name: settings.name.clone(),
            max_body_bytes: to_usize(settings.max_body_bytes),
            body_idle_timeout: settings.header_read,
            write_timeout: settings.write_stall,
            service_first_byte_timeout: settings.first_byte_service,
            endpoint_key: key.to_owned(),
            ..ApiOptions::default()
        },
        connections: ConnectionLimits {
            max_connections: to_usize(settings.max_connections),
            header_timeout: settings.header_read,
        },
        client: ClientTimeouts {
            connect: settings.connect,
            first_byte: settings.first_byte_model,
            gap: settings.gap,
            idle: settings.idle,
        },
    })
}

/// Starts a router and its sessions with control and the peers.
///
/// # Errors
///
/// Fails when an address can't be bound, a thread can't be started or the
/// endpoint key is invalid.
pub fn start(settings: &RouterSettings, log: &Logger) -> Result<Router, DaemonError> {
    let mut options = options(settings)?;
    let listener = std::net::TcpListener::bind(settings.peer_listen)?;
    if settings.peer_address.is_none() {
        // The port in the settings may be 0, which binds any free port.
        options.peer_address = listener.local_addr()?.to_string();
    }
    let mut identity = Identity::new(
        &settings.name,
        "router",
        &settings.data_centre,
        settings.fleet_key.clone(),
    );
    identity.incarnation = options.incarnation;
    let mut fleet = FleetOptions::new(identity, listener);
    fleet.control = settings.control.clone();
    fleet.routers = settings.routers.clone();
    let link_log = log.clone();
    let router = Router::start_with(
        options,
        move |_| {
            let fleet = join_fleet(fleet, &link_log)?;
            Ok(Links {
                control: fleet.control,
                peers: fleet.peers,
                inbox: fleet.inbox,
            })
        },
        log.clone(),
    )?;
    Ok(router)
}

/// Runs a router until a signal stops it and it has drained.
///
/// # Errors
///
/// Fails when the settings are invalid, the router can't start, control ends
/// its incarnation, or the drain does not finish.
pub fn run(path: &Path) -> Result<(), DaemonError> {
    let settings = RouterSettings::load(path)?;
    let dropped =
        IntCounter::new("log_dropped_total", "Log lines dropped").map_err(RouterError::Metrics)?;
    let (log, _guard) = anvilloft_telemetry::start_logger(
        LogOptions {
            level: settings.log_level,
            format: settings.log_format,
            queue_lines: usize::try_from(settings.log_queue).unwrap_or(usize::MAX),
        },
        dropped.clone(),
    );
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // Installed before callers are served, so that an early signal drains the
    // router instead of killing the process with requests in flight.
    let signals = runtime.block_on(async { Signals::listen() })?;
    let router = start(&settings, &log)?;
    router
        .metrics()
        .registry
        .register(Box::new(dropped))
        .map_err(RouterError::Metrics)?;
    slog::info!(log, "serves callers"; "address" => %router.address());
    runtime.block_on(serve_until_stopped(router, signals, settings.drain_limit))
}

/// Signals that stop the process: SIGTERM and SIGINT.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the signal handlers. Must be called within a tokio runtime.
    fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for a signal, then drains. A second signal interrupts the drain.
async fn serve_until_stopped(
    router: Router,
    mut signals: Signals,
    drain_timeout: Duration,
) -> Result<(), DaemonError> {
    let mut phase = router.phase();
    tokio::select! {
        () = signals.next() => {}
        _ = phase.wait_for(|p| *p == Phase::Superseded) => {
            // Requests in flight still finish; new ones are refused.
            router.drain_until(drain_timeout, async move { signals.next().await }).await;
            return Err(DaemonError::Superseded);
        }
    }
    if router
        .drain_until(drain_timeout, async move { signals.next().await })
        .await
    {
        Ok(())
    } else {
        Err(DaemonError::Interrupted)
    }
}
