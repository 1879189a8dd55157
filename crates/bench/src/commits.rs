//! Commits a second, their latency, restart time and bytes on disk, measured
//! on the shipping control thread with real folders.
//!
//! Members run in one process and pass messages in memory, so the figures show
//! the cost of syncs and of the code, not of a network. All folders are on one
//! disk: three members there sync three times as much as one host would.

use std::collections::HashMap;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use anvilloft_control::driver::Driver;
use anvilloft_control::driver::DriverConfig;
use anvilloft_control::driver::DriverError;
use anvilloft_control::driver::Handle;
use anvilloft_control::driver::Status;
use anvilloft_control::driver::Transport;
use anvilloft_storage::RealDisk;
use anvilloft_types::lock;
use anvilloft_types::prelude::*;
use anvilloft_wire::CallError;
use anvilloft_wire::Control;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::ConfigChange;
use anvilloft_wire::command::Grant;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::TopUp;
use anvilloft_wire::config::Budget;
use anvilloft_wire::config::ConfigItem;
use anvilloft_wire::config::ConfigOp;
use anvilloft_wire::config::DefaultValue;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::Op;
use anvilloft_wire::config::Team;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::GroupAction;
use anvilloft_wire::control::GroupRequest;
use anvilloft_wire::frame::ConsensusFrame;
use futures::StreamExt;
use futures::stream::FuturesOrdered;
use hdrhistogram::Histogram;
use quick_error::quick_error;

/// Time that one call may take.
const CALL_LIMIT: Duration = Duration::from_secs(10);
/// Time for a group to form or to serve again.
const START_LIMIT: Duration = Duration::from_secs(60);
/// Configuration changes in flight while a log is filled.
const FILL_WINDOW: usize = 512;

/// What to measure.
#[derive(Clone, Debug)]
pub struct CommitsConfig {
    /// Folder under which temporary folders are made. Its disk is measured.
    pub folder: PathBuf,
    /// Sizes of the group.
    pub members: Vec<u64>,
    /// Counts of callers that each wait for one commit at a time.
    pub callers: Vec<u64>,
    /// Duration of each measurement.
    pub time: Duration,
    /// Counts of configuration changes after which a restart is measured.
    pub restarts: Vec<u64>,
}

impl Default for CommitsConfig {
    fn default() -> Self {
        Self {
            folder: std::env::temp_dir(),
            members: vec![1, 3],
            callers: vec![1, 64, 512],
            time: Duration::from_secs(3),
            restarts: vec![1_000, 100_000],
        }
    }
}

/// One measured figure.
#[derive(Clone, Debug)]
pub struct CommitFigure {
    /// What was measured, with the settings.
    pub name: String,
    /// Value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
}

quick_error! {
    /// Why a measurement failed.
    #[derive(Debug)]
    pub enum CommitsError {
        /// The folder can't be used.
        Io(err: std::io::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// A member can't run.
        Driver(err: DriverError) {
            display("{}", err)
            source(err)
            from()
        }
        /// A call failed.
        Call(err: CallError) {
            display("{}", err)
            source(err)
            from()
        }
        /// The group didn't do what was expected.
        Unexpected(what: String) {
            display("{}", what)
        }
    }
}

/// Runs all measurements.
///
/// # Errors
///
/// Fails when the folder can't be used or a member stops.
pub fn run(cfg: &CommitsConfig) -> Result<Vec<CommitFigure>, CommitsError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_time()
        .build()?;
    let mut figures = Vec::new();
    for size in &cfg.members {
        for callers in &cfg.callers {
            figures.extend(runtime.block_on(commits(cfg, *size, *callers))?);
        }
    }
    for changes in &cfg.restarts {
        figures.extend(runtime.block_on(restart(cfg, *changes))?);
    }
    Ok(figures)
}

#[derive(Default)]
struct Port {
    handles: Mutex<HashMap<MemberId, Handle>>,
}

impl Transport for Port {
    fn send(&self, member: MemberId, frame: ConsensusFrame) {
        let handles = lock(&self.handles);
        if let Some(handle) = handles.get(&member) {
            handle.deliver_consensus(frame);
        }
    }
}

/// Members in one process.
struct Group {
    port: Arc<Port>,
    drivers: Vec<Driver>,
}

impl Group {
    async fn start(folder: &Path, size: u64) -> Result<Self, CommitsError> {
        let mut group = Self {
            port: Arc::default(),
            drivers: Vec::new(),
        };
        for id in 1..=size {
            group.launch(folder, id)?;
            group.wait(|s| s.leader.is_some() || id > 1).await?;
            if id > 1 {
                let add = GroupRequest {
                    action: GroupAction::AddLearner.into(),
                    member: id,
                    address: format!("member-{id}"),
                };
                group.leader()?.call(add.into(), CALL_LIMIT).await?;
            }
            group
                .wait(|s| s.membership.voters().count() as u64 == id && !s.membership_changing)
                .await?;
        }
        Ok(group)
    }

    fn launch(&mut self, folder: &Path, id: MemberId) -> Result<(), CommitsError> {
        let disk = Box::new(RealDisk::open(folder.join(id.to_string()))?);
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let transport = Arc::clone(&self.port);
        let mut cfg = DriverConfig::new(id, disk, transport, log, id);
        cfg.bootstrap_address = (id == 1).then(|| "member-1".to_owned());
        let driver = Driver::start(cfg)?;
        let mut handles = lock(&self.port.handles);
        handles.insert(id, driver.handle());
        self.drivers.push(driver);
        Ok(())
    }

    async fn wait(&self, done: impl Fn(&Status) -> bool) -> Result<(), CommitsError> {
        let began = Instant::now();
        while !self
            .drivers
            .iter()
            .all(|d| done(&d.handle().status().borrow()))
        {
            if began.elapsed() > START_LIMIT {
                return Err(CommitsError::Unexpected("the group did not form".into()));
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        Ok(())
    }

    fn leader(&self) -> Result<Handle, CommitsError> {
        self.drivers
            .iter()
            .map(Driver::handle)
            .find(|h| h.status().borrow().is_leader)
            .ok_or_else(|| CommitsError::Unexpected("no member leads".into()))
    }

    fn stop(self) -> Result<(), CommitsError> {
        for driver in self.drivers {
            driver.stop()?;
        }
        Ok(())
    }
}

async fn propose(handle: &Handle, body: Body) -> Result<Reply, CommitsError> {
    let reply = handle.call(body.into(), CALL_LIMIT).await?;
    match reply.answer {
        Some(Answer::Applied(r)) => r
            .reply
            .ok_or_else(|| CommitsError::Unexpected("empty reply".into())),
        other => Err(CommitsError::Unexpected(format!("{other:?}"))),
    }
}

fn change(base: Revision, items: Vec<Item>) -> Body {
    let set = |item| ConfigOp {
        op: Some(Op::Set(ConfigItem { item: Some(item) })),
    };
    Body::ConfigChange(ConfigChange {
        change_id: format!("change-{base}"),
        base_revision: base,
        author: "bench".into(),
        reason: "bench".into(),
        ops: items.into_iter().map(set).collect(),
        dry_run: false,
    })
}

/// Measures grants, the command on the path of a request.
async fn commits(
    cfg: &CommitsConfig,
    size: u64,
    callers: u64,
) -> Result<Vec<CommitFigure>, CommitsError> {
    let folder = tempfile::tempdir_in(&cfg.folder)?;
    let group = Group::start(folder.path(), size).await?;
    let leader = group.leader()?;
    let team = Team {
        name: "team".into(),
        default_rank: "normal".into(),
        ..Team::default()
    };
    let budget = Budget {
        name: "budget".into(),
        team: "team".into(),
    };
    propose(
        &leader,
        change(0, vec![Item::Team(team), Item::Budget(budget)]),
    )
    .await?;
    let top_up = TopUp {
        id: "bench".into(),
        budget: "budget".into(),
        amount: 1 << 60,
        author: "bench".into(),
        reason: "bench".into(),
    };
    propose(&leader, Body::TopUp(top_up)).await?;
    for n in 0..callers {
        let open = OpenIncarnation {
            router: format!("router-{n}"),
            incarnation: 1,
            caller_address: format!("127.0.0.1:{n}"),
            peer_address: format!("127.0.1.1:{n}"),
            data_centre: "a".into(),
            state: 0,
        };
        propose(&leader, Body::OpenIncarnation(open)).await?;
    }
    let count_of = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let before = (
        count_of(&leader.stats().syncs),
        count_of(&leader.stats().log_bytes),
        count_of(&leader.stats().applied),
    );
    let began = Instant::now();
    let end = began + cfg.time;
    let mut tasks = Vec::new();
    for n in 0..callers {
        let leader = leader.clone();
        tasks.push(tokio::spawn(async move {
            let mut times = Vec::new();
            let mut seq = 0;
            while Instant::now() < end {
                seq += 1;
                let began = Instant::now();
                let grant = Grant {
                    router: format!("router-{n}"),
                    incarnation: 1,
                    seq,
                    budget: "budget".into(),
                    need: 1_000,
                    want: 4_000,
                    lending: false,
                };
                match propose(&leader, Body::Grant(grant)).await? {
                    Reply::Granted(_) => times.push(began.elapsed()),
                    other => return Err(CommitsError::Unexpected(format!("{other:?}"))),
                }
            }
            Ok(times)
        }));
    }
    let mut hist = Histogram::<u64>::new(3).map_err(|e| CommitsError::Unexpected(e.to_string()))?;
    for task in tasks {
        let times = task
            .await
            .map_err(|e| CommitsError::Unexpected(e.to_string()))??;
        for time in times {
            // `saturating_record` would clamp to the first, small range.
            hist.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
                .map_err(|e| CommitsError::Unexpected(e.to_string()))?;
        }
    }
    let seconds = began.elapsed().as_secs_f64();
    let syncs = count_of(&leader.stats().syncs) - before.0;
    let bytes = count_of(&leader.stats().log_bytes) - before.1;
    let entries = count_of(&leader.stats().applied) - before.2;
    group.stop()?;
    let label = |what: &str| format!("{size} members, {callers} callers: {what}");
    let figure = |what: &str, value: f64, unit| CommitFigure {
        name: label(what),
        value,
        unit,
    };
    let count = hist.len() as f64;
    Ok(vec![
        figure("commits", count / seconds, "1/s"),
        figure(
            "latency p50",
            hist.value_at_quantile(0.5) as f64 / 1e3,
            "ms",
        ),
        figure(
            "latency p99",
            hist.value_at_quantile(0.99) as f64 / 1e3,
            "ms",
        ),
        figure("commits a sync", count / syncs.max(1) as f64, "1"),
        figure(
            "log bytes an entry",
            bytes as f64 / entries.max(1) as f64,
            "B",
        ),
    ])
}

/// Fills a log with configuration changes and measures the next start.
async fn restart(cfg: &CommitsConfig, changes: u64) -> Result<Vec<CommitFigure>, CommitsError> {
    let folder = tempfile::tempdir_in(&cfg.folder)?;
    let group = Group::start(folder.path(), 1).await?;
    let leader = group.leader()?;
    let mut in_flight = FuturesOrdered::new();
    for n in 0..changes {
        let value = DefaultValue {
            name: "config_lease_ms".into(),
            value: 1_000 + n % 2_000,
        };
        let body = change(n, vec![Item::Default(value)]);
        let leader = leader.clone();
        in_flight.push_back(async move { propose(&leader, body).await });
        if in_flight.len() >= FILL_WINDOW {
            check(in_flight.next().await)?;
        }
    }
    while !in_flight.is_empty() {
        check(in_flight.next().await)?;
    }
    group.stop()?;
    let mut log_bytes = 0;
    let mut all_bytes = 0;
    for entry in std::fs::read_dir(folder.path().join("1"))? {
        let entry = entry?;
        let len = entry.metadata()?.len();
        all_bytes += len;
        if entry.file_name().to_string_lossy().contains("-log-") {
            log_bytes += len;
        }
    }
    let mut group = Group {
        port: Arc::default(),
        drivers: Vec::new(),
    };
    let began = Instant::now();
    group.launch(folder.path(), 1)?;
    let restored = began.elapsed();
    group.wait(|s| s.is_leader && s.revision == changes).await?;
    let serving = began.elapsed();
    let started = Group::start_stats(&group);
    group.stop()?;
    let figure = |what: &str, value: f64, unit| CommitFigure {
        name: format!("after {changes} changes: {what}"),
        value,
        unit,
    };
    Ok(vec![
        figure("state read", restored.as_secs_f64() * 1e3, "ms"),
        figure(
            "serving, with an election",
            serving.as_secs_f64() * 1e3,
            "ms",
        ),
        figure("entries replayed", started as f64, "1"),
        figure("log on disk", log_bytes as f64 / 1e3, "kB"),
        figure("all files on disk", all_bytes as f64 / 1e3, "kB"),
    ])
}

impl Group {
    fn start_stats(&self) -> u64 {
        let applied = |d: &Driver| d.handle().stats().applied.load(Ordering::Relaxed);
        self.drivers.iter().map(applied).sum()
    }
}

fn check(reply: Option<Result<Reply, CommitsError>>) -> Result<(), CommitsError> {
    match reply {
        Some(Ok(Reply::Accepted(_))) => Ok(()),
        Some(Err(e)) => Err(e),
        other => Err(CommitsError::Unexpected(format!("{other:?}"))),
    }
}
