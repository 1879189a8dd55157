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

mod figures;

use figures::Figures;

/// Time of an administration connection beyond the wait for the group, to read
/// the request and write the answer.
const CONNECTION_SLACK: Duration = Duration::from_secs(20);
/// Interval at which metrics are copied.
const FIGURES: Duration = Duration::from_secs(1);
/// Files that a folder without consensus state may hold.
const IDENTITY_FILES: [&str; 3] = ["lock", "member", "member.tmp"];

quick_error! {
    /// Why a control member can't start or had to stop.
    #[derive(Debug)]
    pub enum DaemonError {
        /// The data folder can't be used.
        Folder(folder: String, reason: String) {
            display("[control] data_folder {}: {}", folder, reason)
        }
        /// An address can't be listened on.
        Listen(key: &'static str, address: SocketAddr, err: io::Error) {
            display("[control] {} {}: {}", key, address, err)
            source(err)
        }
        /// The setting asks for a new group and there is one.
        GroupExists(peer: String) {
            display("[control] group = new, but {} belongs to a group; set group = join", peer)
        }
        /// A new group can't be started while another member may have one.
        PeersUnreachable(answered: usize, peers: usize) {
            display("[control] group = new, but only {} of {} addresses in [peers] control answered; start the other members first", answered, peers)
        }
        /// The hash of the first operator key can't be read.
        OperatorHash(reason: String) {
            display("[key] operator_hash_file: {}", reason)
        }
        /// The durable state can't be used.
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
        /// Metrics can't be registered.
        Metrics(err: MetricsError) {
            from()
            display("{}", err)
            source(err)
        }
        /// The system gives no random numbers.
        Random(reason: String) {
            display("no random numbers: {}", reason)
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
    /// When a setting can't be carried out or the durable state can't be used.
    pub async fn start(
        settings: ControlSettings,
        metrics: Metrics,
        log: Logger,
    ) -> Result<Self, DaemonError> {
        let operator_hash = read_operator_hash(&settings)?;
        let mut disk = open_folder(&settings.data_folder, settings.private_folder)?;
        let member = load_or_create_member_id(&mut disk, random()?)?;
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
        let peers = Peers::new(identity.clone(), runtime, max_calls, log.clone());

        let peer_listener = listen("peer_listen", settings.peer_listen).await?;
        let admin_listener = listen("admin_listen", settings.admin_listen).await?;
        let peer_address = address_of(&peer_listener, settings.peer_listen);
        let admin_address = address_of(&admin_listener, settings.admin_listen);
        // A port chosen by the system is known only now.
        let told = match settings.peer_address.or(Some(settings.peer_listen)) {
            Some(address) if address.port() != 0 => address,
            _ => peer_address,
        };

        let mut cfg = DriverConfig::new(
            member,
            Box::new(disk),
            peers.clone(),
            log.clone(),
            random()?,
        );
        cfg.node.heartbeat_interval = settings.heartbeat;
        cfg.node.min_election_timeout = settings.election_min;
        cfg.node.max_election_timeout = settings.election_max;
        cfg.node.min_first_election_timeout = settings.first_election;
        cfg.node.trailing_entries = settings.trailing_entries;
        cfg.snapshot_log_bytes = usize::try_from(settings.snapshot_log_bytes).unwrap_or(usize::MAX);
        if settings.group == GroupStart::New && is_blank(cfg.disk.as_ref())? {
            look_for_group(&settings, told, identity.clone(), &log).await?;
            cfg.bootstrap_address = Some(told.to_string());
        }
        let driver = Driver::start(cfg)?;
        let handle = driver.handle();
        peers.set_handle(handle.clone());

        let (stop, stopped) = watch::channel(false);
        let sessions = usize::try_from(settings.peer_sessions).unwrap_or(usize::MAX);
        let options = AdminOptions {
            timeout: settings.admin_timeout,
            max_body_bytes: settings.admin_body_bytes,
            operator_hash,
        };
        let admin = Arc::new(Admin::new(peers.clone(), options, log.clone()));
        let figures = Figures::new(&metrics)?;
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
                sessions,
                stopped.clone(),
                log.clone(),
            )),
            tokio::spawn(server.serve(admin_listener, stopped.clone())?),
            tokio::spawn(follow_membership(
                handle.clone(),
                peers.clone(),
                settings.peers.clone(),
                told,
            )),
            tokio::spawn(figures.run(handle.clone(), peers.clone(), identity, FIGURES)),
            tokio::spawn(peers.clone().pass_on_renewals()),
        ];
        if settings.auto_join {
            tasks.push(tokio::spawn(stay_in_group(
                handle.clone(),
                peers.clone(),
                member,
                told.to_string(),
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

    /// Returns the address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address of the administration API.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the identity of the member.
    pub fn member_id(&self) -> u64 {
        self.member
    }

    /// Returns the access to the control thread.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Returns the access to the group, and to routers and endpoints.
    pub fn peers(&self) -> &Arc<Peers> {
        &self.peers
    }

    /// Waits until the control thread fails, for example with its disk.
    pub async fn wait_for_failure(&self) -> String {
        let mut status = self.handle.status();
        match status.wait_for(|status| !status.failure.is_empty()).await {
            Ok(status) => status.failure.clone(),
            Err(_) => "the control thread ended".to_owned(),
        }
    }

    /// Stops after the calls in flight, at most for `stop_limit`.
    ///
    /// # Errors
    ///
    /// When the control thread had failed.
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

    /// Stops at once, as a lost process would; for tests.
    ///
    /// # Errors
    ///
    /// When the control thread had failed.
    pub async fn kill(self) -> Result<(), DaemonError> {
        self.stop.send_replace(true);
        self.peers.stop();
        for task in &self.tasks[2..] {
            task.abort();
        }
        let driver = self.driver;
        let stopped = tokio::task::spawn_blocking(move || driver.stop()).await;
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

/// Keeps links to the members of the group and to the addresses of the
/// settings, through which a new member is found at first.
async fn follow_membership(
    handle: Handle,
    peers: Arc<Peers>,
    known: Vec<SocketAddr>,
    own: SocketAddr,
) {
    let mut status = handle.status();
    loop {
        let mut addresses = known.clone();
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

fn random() -> Result<u64, DaemonError> {
    // 0 stands for no member.
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

fn address_of(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(asked)
}

/// Opens the data folder, which must be closed to group and others: it holds
/// the hashes of keys and all amounts.
fn open_folder(folder: &Path, private: bool) -> Result<RealDisk, DaemonError> {
    let fault = |reason: String| DaemonError::Folder(folder.display().to_string(), reason);
    fs::DirBuilder::new()
        .recursive(true)
        .mode(0o700)
        .create(folder)
        .map_err(|err| fault(err.to_string()))?;
    let meta = fs::metadata(folder).map_err(|err| fault(err.to_string()))?;
    let mode = meta.permissions().mode() & 0o777;
    if private && mode & 0o077 != 0 {
        return Err(fault(format!(
            "has mode {mode:04o}; group and others must have no access (chmod 700)"
        )));
    }
    RealDisk::open(folder).map_err(|err| match err.kind() {
        io::ErrorKind::WouldBlock => fault("another process uses it".to_owned()),
        _ => fault(err.to_string()),
    })
}

/// Returns whether the folder holds no consensus state.
fn is_blank(disk: &dyn Disk) -> Result<bool, DaemonError> {
    let names = disk.list().map_err(StorageError::from)?;
    Ok(names
        .iter()
        .all(|name| IDENTITY_FILES.contains(&name.as_str())))
}

/// Refuses to start a second group: a host that lost its disk while its
/// settings still say `group = new` would otherwise serve an empty ledger.
async fn look_for_group(
    settings: &ControlSettings,
    own: SocketAddr,
    identity: Arc<Identity>,
    log: &Logger,
) -> Result<(), DaemonError> {
    // One list of all members may serve every host.
    let mut others = settings.peers.clone();
    others.retain(|address| *address != own && *address != settings.peer_listen);
    if others.is_empty() {
        return Ok(());
    }
    let handler = Arc::new(PeerHandler(Peers::new(
        identity.clone(),
        runtime::Handle::current(),
        1,
        log.clone(),
    )));
    let client = ControlClient::start(&others, identity, handler, log.clone());
    let end = tokio::time::Instant::now() + settings.group_wait;
    let mut asked = 0;
    while tokio::time::Instant::now() < end && asked < others.len() {
        let sessions = client.sessions();
        asked = 0;
        for session in sessions {
            match members_of(&session).await {
                Some(0) => asked += 1,
                Some(_) => return Err(DaemonError::GroupExists(session.peer().node.clone())),
                None => (),
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    match asked < others.len() {
        true => Err(DaemonError::PeersUnreachable(asked, others.len())),
        false => Ok(()),
    }
}

async fn members_of(session: &Session) -> Option<u64> {
    let query = Query {
        kind: LOCAL_QUERY.to_owned(),
        ..Query::default()
    };
    let limit = Duration::from_millis(500);
    let reply = session.call(query.into(), limit, HOPS_BY_CONTROL).await;
    let Some(Answer::QueryResult(text)) = reply.ok()?.answer else {
        return None;
    };
    let status: Value = serde_json::from_str(&text).ok()?;
    status["members"].as_u64()
}

fn read_operator_hash(settings: &ControlSettings) -> Result<Option<[u8; 32]>, DaemonError> {
    let Some(path) = &settings.operator_hash_file else {
        return Ok(None);
    };
    let fault = |reason: String| DaemonError::OperatorHash(format!("{}: {reason}", path.display()));
    let meta = fs::metadata(path).map_err(|err| fault(err.to_string()))?;
    let mode = meta.permissions().mode() & 0o777;
    // Whoever can write the file can make an operator key.
    if mode & 0o022 != 0 {
        return Err(fault(format!(
            "has mode {mode:04o}; group and others must not write (chmod 600)"
        )));
    }
    let text = fs::read_to_string(path).map_err(|err| fault(err.to_string()))?;
    let hash = hex::decode(text.trim()).ok();
    match hash.and_then(|hash| hash.try_into().ok()) {
        Some(hash) => Ok(Some(hash)),
        None => Err(fault("must hold 64 hexadecimal digits".to_owned())),
    }
}
