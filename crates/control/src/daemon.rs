//! Starts and stops one control member from its settings.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::DirBuilderExt;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anvilloft_settings::ControlSettings;
use anvilloft_settings::GroupStart;
use anvilloft_storage::Disk;
use anvilloft_storage::RealDisk;
use anvilloft_storage::StorageError;
use anvilloft_storage::load_or_create_member_id;
use anvilloft_telemetry::Metrics;
use anvilloft_telemetry::MetricsError;
use anvilloft_types::unix_ms;
use anvilloft_wire::ControlClient;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::Query;
use anvilloft_wire::session::CLOSE_TIMEOUT;
use anvilloft_wire::session::HOPS_BY_CONTROL;
use anvilloft_wire::session::Identity;
use anvilloft_wire::session::Session;
use anvilloft_wire::session::serve;
use quick_error::quick_error;
use rand::TryRngCore;
use rand::rngs::OsRng;
use serde_json::Value;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::admin;
use crate::admin::Admin;
use crate::admin::AdminOptions;
use crate::admin::ConnectionLimits;
use crate::driver::Driver;
use crate::driver::DriverConfig;
use crate::driver::DriverError;
use crate::driver::Handle;
use crate::join::stay_in_group;
use crate::peers::LOCAL_QUERY;
use crate::peers::PeerHandler;
use crate::peers::Peers;

mod metrics;

use metrics::MemberMetrics;

/// Time that an administration connection has beyond the wait for the group, to
/// read the request and write the answer.
const CONNECTION_SLACK: Duration = Duration::from_secs(20);
/// Maximum time in which a stop waits for the end of sessions, as a divisor of its time
/// for calls in flight. On the platform both and the calls before take at most seven
/// eighths of the time until SIGKILL.
const SESSIONS_DIVISOR: u32 = 2;
/// Interval between updates of the metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// Files that a data folder may hold although it has no consensus state.
const IDENTITY_FILES: [&str; 3] = ["lock", "member", "member.tmp"];

quick_error! {
    /// Error that prevents a control member from starting or stops it.
    #[derive(Debug)]
    pub enum DaemonError {
        /// The data folder can't be used.
        DataFolder(folder: String, reason: String) {
            display("[control] data_folder {}: {}", folder, reason)
        }
        /// The member can't listen on an address.
        Listen(key: &'static str, address: SocketAddr, err: io::Error) {
            display("[control] {} {}: {}", key, address, err)
            source(err)
        }
        /// The settings ask for a new group, but a peer belongs to one.
        GroupExists(peer: String) {
            display("[control] group = new, but {} belongs to a group; set group = join", peer)
        }
        /// A new group can't be started, because a peer that did not answer may
        /// belong to a group.
        PeersUnreachable(answered: usize, peers: usize) {
            display("[control] group = new, but only {} of {} addresses in [peers] control answered; start the other members first", answered, peers)
        }
        /// The hash of the first operator key can't be read.
        OperatorHash(reason: String) {
            display("[key] operator_hash_file: {}", reason)
        }
        /// The durable state can't be read or written.
        Storage(err: StorageError) {
            from()
            display("data folder: {}", err)
            source(err)
        }
        /// The control thread can't start or failed.
        Driver(err: DriverError) {
            from()
            display("{}", err)
            source(err)
        }
        /// The metrics can't be registered.
        Metrics(err: MetricsError) {
            from()
            display("{}", err)
            source(err)
        }
        /// The operating system provides no random numbers.
        Random(reason: String) {
            display("can't get random numbers from the operating system: {}", reason)
        }
    }
}

/// A running control member.
pub struct ControlDaemon {
    settings: ControlSettings,
    driver: Driver,
    handle: Handle,
    peers: Arc<Peers>,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
    member: u64,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
    log: Logger,
}

impl ControlDaemon {
    /// Starts a member. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when a setting can't be applied or the durable state can't be
    /// used.
    pub async fn start(
        settings: ControlSettings,
        metrics: Metrics,
        log: Logger,
    ) -> Result<Self, DaemonError> {
        let operator_hash = read_operator_hash(&settings)?;
        let mut disk = open_data_folder(&settings.data_folder, settings.private_folder)?;
        let member = load_or_create_member_id(&mut disk, random_nonzero()?)?;
        let hex = format!("{member:016x}");
        info!(log, "control member starts"; "member" => &hex, "name" => &settings.name,
            "data_centre" => &settings.data_centre);

        let mut identity = Identity::new(
            &settings.name,
            "control",
            &settings.data_centre,
            settings.fleet_key.clone(),
        );
        identity.member = member;
        identity.incarnation = unix_ms();
        let identity = Arc::new(identity);
        let max_calls = usize::try_from(settings.peer_calls).unwrap_or(usize::MAX);
        let runtime = runtime::Handle::current();
        let peers = Peers::new(
            identity.clone(),
            runtime,
            max_calls,
            settings.election_max,
            log.clone(),
        );

        let peer_listener = listen("peer_listen", settings.peer_listen).await?;
        let admin_listener = listen("admin_listen", settings.admin_listen).await?;
        let peer_address = bound_address(&peer_listener, settings.peer_listen);
        let admin_address = bound_address(&admin_listener, settings.admin_listen);
        // With port 0 the system chooses the port, so it is known only now.
        let advertised = match settings.peer_address.or(Some(settings.peer_listen)) {
            Some(address) if address.port() != 0 => address,
            _ => peer_address,
        };

        let mut cfg = DriverConfig::new(
            member,
            Box::new(disk),
            peers.clone(),
            log.clone(),
            random_nonzero()?,
        );
        cfg.node.heartbeat_interval = settings.heartbeat;
        cfg.node.min_election_timeout = settings.election_min;
        cfg.node.max_election_timeout = settings.election_max;
        cfg.node.min_first_election_timeout = settings.first_election;
        cfg.node.trailing_entries = settings.trailing_entries;
        cfg.members_rejoin = settings.auto_join;
        cfg.snapshot_log_bytes = usize::try_from(settings.snapshot_log_bytes).unwrap_or(usize::MAX);
        if settings.group == GroupStart::New && has_no_state(cfg.disk.as_ref())? {
            ensure_no_group(&settings, advertised, identity.clone(), &log).await?;
            cfg.bootstrap_address = Some(advertised.to_string());
        }
        let driver = Driver::start(cfg)?;
        let handle = driver.handle();
        peers.set_handle(handle.clone());

        let (stop, stopped) = watch::channel(false);
        let max_sessions = usize::try_from(settings.peer_sessions).unwrap_or(usize::MAX);
        let options = AdminOptions {
            timeout: settings.admin_timeout,
            max_body_bytes: settings.admin_body_bytes,
            operator_hash,
        };
        let admin = Arc::new(Admin::new(peers.clone(), options, log.clone()));
        let member_metrics = MemberMetrics::new(&metrics)?;
        let status = handle.status();
        let ready = Arc::new(move || {
            let status = status.borrow();
            match status.leader {
                Some(_) if status.failure.is_empty() => (true, "ready".to_owned()),
                _ if !status.failure.is_empty() => (false, format!("stopped: {}", status.failure)),
                _ if status.membership.members.is_empty() => {
                    (false, format!("member {hex} waits to be added to a group"))
                }
                _ => (false, "no leader is known".to_owned()),
            }
        });
        let server = admin::Server {
            admin,
            metrics,
            ready,
            limits: ConnectionLimits {
                max_connections: usize::try_from(settings.admin_connections).unwrap_or(usize::MAX),
                max_lifetime: settings.admin_timeout + CONNECTION_SLACK,
            },
            log: log.clone(),
        };
        let mut tasks = vec![
            tokio::spawn(serve(
                peer_listener,
                identity.clone(),
                Arc::new(PeerHandler(peers.clone())),
                max_sessions,
                stopped.clone(),
                log.clone(),
            )),
            tokio::spawn(server.serve(admin_listener, stopped.clone())?),
            tokio::spawn(maintain_links(
                handle.clone(),
                peers.clone(),
                settings.peers.clone(),
                advertised,
            )),
            tokio::spawn(member_metrics.run(
                handle.clone(),
                peers.clone(),
                identity,
                METRICS_INTERVAL,
            )),
            tokio::spawn(peers.clone().forward_renewals()),
        ];
        if settings.auto_join {
            tasks.push(tokio::spawn(stay_in_group(
                handle.clone(),
                peers.clone(),
                member,
                advertised.to_string(),
                log.clone(),
            )));
        }
        info!(log, "control member listens"; "peer_listen" => %peer_address,
            "admin_listen" => %admin_address);
        Ok(Self {
            settings,
            driver,
            handle,
            peers,
            peer_address,
            admin_address,
            member,
            stop,
            tasks,
            log,
        })
    }

    /// Returns the address on which the member listens for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address on which the administration API listens.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the id of the member.
    pub fn member_id(&self) -> u64 {
        self.member
    }

    /// Returns a handle to the control thread.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Returns the sessions with members and routers, through which the group
    /// can be called.
    pub fn peers(&self) -> &Arc<Peers> {
        &self.peers
    }

    /// Waits until the control thread fails and returns the reason, such as a
    /// disk error.
    pub async fn wait_for_failure(&self) -> String {
        let mut status = self.handle.status();
        match status.wait_for(|status| !status.failure.is_empty()).await {
            Ok(status) => status.failure.clone(),
            Err(_) => "the control thread ended".to_owned(),
        }
    }

    /// Stops once the calls in flight have ended, or after `stop_limit`. Then waits for
    /// the end of the sessions, for at most half of it.
    ///
    /// # Errors
    ///
    /// Fails when the control thread had failed.
    pub async fn stop(self) -> Result<(), DaemonError> {
        let limit = self.settings.stop_limit;
        if tokio::time::timeout(limit, self.peers.drain())
            .await
            .is_err()
        {
            warn!(self.log, "stopping with calls in flight");
        }
        self.kill().await
    }

    /// Stops without waiting for calls in flight. Tests use it to simulate a
    /// crash.
    ///
    /// # Errors
    ///
    /// Fails when the control thread had failed.
    pub async fn kill(self) -> Result<(), DaemonError> {
        // The first two tasks are the servers, which end on `stop`.
        for task in &self.tasks[2..] {
            task.abort();
        }
        let driver = self.driver;
        let stopped = tokio::task::spawn_blocking(move || driver.stop()).await;
        // The sessions send what the control thread queued last.
        self.stop.send_replace(true);
        let limit = (self.settings.stop_limit / SESSIONS_DIVISOR).max(CLOSE_TIMEOUT);
        self.peers.stop(limit).await;
        for task in self.tasks {
            let _ = task.await;
        }
        info!(self.log, "control member stopped");
        match stopped {
            Ok(result) => Ok(result?),
            Err(_) => Err(DriverError::Panicked.into()),
        }
    }
}

/// Maintains links to the members of the group and to the addresses in the
/// settings, through which a new member first reaches the group.
async fn maintain_links(
    handle: Handle,
    peers: Arc<Peers>,
    configured: Vec<SocketAddr>,
    own: SocketAddr,
) {
    let mut status = handle.status();
    loop {
        let mut addresses = configured.clone();
        {
            let status = status.borrow_and_update();
            let others = status.membership.members.iter();
            addresses.extend(others.filter_map(|m| m.address.parse::<SocketAddr>().ok()));
        }
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != own);
        peers.set_links(&addresses);
        if status.changed().await.is_err() {
            return;
        }
    }
}

/// Returns a random number other than 0.
fn random_nonzero() -> Result<u64, DaemonError> {
    // As a member id, 0 means no member.
    loop {
        let number = OsRng
            .try_next_u64()
            .map_err(|err| DaemonError::Random(err.to_string()))?;
        if number != 0 {
            return Ok(number);
        }
    }
}

async fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|err| DaemonError::Listen(key, address, err))
}

fn bound_address(listener: &TcpListener, requested: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(requested)
}

/// Opens the data folder. If `private` is set, its mode must give no access to
/// group and others, because it holds the hashes of keys and all budgets.
fn open_data_folder(folder: &Path, private: bool) -> Result<RealDisk, DaemonError> {
    let folder_error =
        |reason: String| DaemonError::DataFolder(folder.display().to_string(), reason);
    fs::DirBuilder::new()
        .recursive(true)
        .mode(0o700)
        .create(folder)
        .map_err(|err| folder_error(err.to_string()))?;
    let meta = fs::metadata(folder).map_err(|err| folder_error(err.to_string()))?;
    let mode = meta.permissions().mode() & 0o777;
    if private && mode & 0o077 != 0 {
        return Err(folder_error(format!(
            "has mode {mode:04o}; group and others must have no access (chmod 700)"
        )));
    }
    RealDisk::open(folder).map_err(|err| match err.kind() {
        io::ErrorKind::WouldBlock => folder_error("another process uses it".to_owned()),
        _ => folder_error(err.to_string()),
    })
}

/// Returns whether the data folder holds no consensus state.
fn has_no_state(disk: &dyn Disk) -> Result<bool, DaemonError> {
    let names = disk.list().map_err(StorageError::from)?;
    Ok(names
        .iter()
        .all(|name| IDENTITY_FILES.contains(&name.as_str())))
}

/// Fails if a peer belongs to a group or not all peers answer.
///
/// Without this check, a host that lost its disk and still has `group = new` in
/// its settings would start a second group and serve an empty ledger.
async fn ensure_no_group(
    settings: &ControlSettings,
    own: SocketAddr,
    identity: Arc<Identity>,
    log: &Logger,
) -> Result<(), DaemonError> {
    // All hosts may share one list of members, so it may include this one.
    let mut others = settings.peers.clone();
    others.retain(|address| *address != own && *address != settings.peer_listen);
    if others.is_empty() {
        return Ok(());
    }
    let handler = Arc::new(PeerHandler(Peers::new(
        identity.clone(),
        runtime::Handle::current(),
        1,
        settings.election_max,
        log.clone(),
    )));
    let client = ControlClient::start(&others, identity, handler, log.clone());
    let deadline = tokio::time::Instant::now() + settings.group_wait;
    let mut without_group = 0;
    while tokio::time::Instant::now() < deadline && without_group < others.len() {
        let sessions = client.sessions();
        without_group = 0;
        for session in sessions {
            match query_member_count(&session).await {
                Some(0) => without_group += 1,
                Some(_) => return Err(DaemonError::GroupExists(session.peer().node.clone())),
                None => (),
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    match without_group < others.len() {
        true => Err(DaemonError::PeersUnreachable(without_group, others.len())),
        false => Ok(()),
    }
}

/// Asks a member how many members its group has. Returns 0 if it has no group,
/// and `None` if it doesn't answer.
async fn query_member_count(session: &Session) -> Option<u64> {
    let query = Query {
        kind: LOCAL_QUERY.to_owned(),
        ..Query::default()
    };
    let timeout = Duration::from_millis(500);
    let reply = session.call(query.into(), timeout, HOPS_BY_CONTROL).await;
    let Some(Answer::QueryResult(text)) = reply.ok()?.answer else {
        return None;
    };
    let status: Value = serde_json::from_str(&text).ok()?;
    status["members"].as_u64()
}

/// Reads the hash of the first operator key, if the settings name a file.
fn read_operator_hash(settings: &ControlSettings) -> Result<Option<[u8; 32]>, DaemonError> {
    let Some(path) = &settings.operator_hash_file else {
        return Ok(None);
    };
    let hash_error =
        |reason: String| DaemonError::OperatorHash(format!("{}: {reason}", path.display()));
    let meta = fs::metadata(path).map_err(|err| hash_error(err.to_string()))?;
    let mode = meta.permissions().mode() & 0o777;
    // A user who can write to the file can create an operator key.
    if mode & 0o022 != 0 {
        return Err(hash_error(format!(
            "has mode {mode:04o}; group and others must not write (chmod 600)"
        )));
    }
    let text = fs::read_to_string(path).map_err(|err| hash_error(err.to_string()))?;
    let hash = hex::decode(text.trim()).ok();
    match hash.and_then(|hash| hash.try_into().ok()) {
        Some(hash) => Ok(Some(hash)),
        None => Err(hash_error("must hold 64 hexadecimal digits".to_owned())),
    }
}
