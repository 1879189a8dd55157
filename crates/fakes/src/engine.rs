//! A fake model engine or plain service with its own thread, so that it can
//! die like a process: every socket closes at once.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_gateway::announce::Announcement;
use anvilloft_gateway::announce::Load;
use anvilloft_gateway::announce::ModelEntry;
use anvilloft_gateway::client::ATTEMPT_HEADER;
use anvilloft_gateway::client::PRIORITY_HEADER;
use anvilloft_gateway::metrics::Metrics;
use anvilloft_gateway::serve::ConnectionLimits;
use anvilloft_gateway::serve::Handler;
use anvilloft_gateway::serve::HandlerService;
use anvilloft_gateway::serve::serve;
use anvilloft_types::lock;
use http::HeaderValue;
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::http::Call;
use crate::model;
use crate::orders::Orders;
use crate::slots::Slots;

/// Prompts with this text crash an engine whose options say so.
pub const CRASH_MARK: &str = "CRASH";

/// A fault of the next answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// None.
    #[default]
    None,
    /// The process dies after so many tokens.
    DieAfter(u32),
    /// The connection breaks after so many tokens.
    BreakAfter(u32),
    /// Nothing comes after so many tokens; 0 sends no headers.
    SilentAfter(u32),
    /// The answer names another attempt.
    WrongAttempt,
    /// The answer names no attempt.
    NoAttempt,
    /// The answer is refused as not run.
    RefuseNotRun,
    /// The answer has status 500.
    Fail,
    /// The stream ends without `[DONE]`.
    NoDone,
    /// The usage is reported far above the truth.
    HugeUsage,
    /// No usage is reported.
    NoUsage,
    /// Tokens come without end.
    Endless,
}

/// What a fake is and how fast.
#[derive(Clone, Debug)]
pub struct FakeOptions {
    /// Name.
    pub id: String,
    /// Incarnation.
    pub incarnation: u64,
    /// Data centre.
    pub data_centre: String,
    /// Name of the service; empty for a model engine.
    pub service: String,
    /// Models.
    pub models: Vec<String>,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Time that a load takes.
    pub load_time: Duration,
    /// Requests that run at once.
    pub slots: u32,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_delay: Duration,
    /// Tokens sent in one write when there is no delay.
    pub burst: usize,
    /// Tokens of an answer, unless the request allows fewer.
    pub tokens: u32,
    /// Whether marked prompts crash the process.
    pub crashes: bool,
    /// Key for announcements.
    pub key: String,
    /// Routers to announce to.
    pub routers: Vec<SocketAddr>,
    /// Time between announcements.
    pub renew: Duration,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Threads; 1 by default.
    pub threads: usize,
}

impl FakeOptions {
    fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            incarnation: 1,
            data_centre: "dc1".into(),
            service: String::new(),
            models: Vec::new(),
            checks_fencing: true,
            load_time: Duration::ZERO,
            slots: 8,
            first_token: Duration::ZERO,
            token_delay: Duration::ZERO,
            burst: 1,
            tokens: 8,
            crashes: false,
            key: "endpoint-key".into(),
            routers: Vec::new(),
            renew: Duration::from_millis(500),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            threads: 1,
        }
    }

    /// Makes a model engine.
    pub fn engine(id: &str, model: &str) -> Self {
        let mut options = Self::new(id);
        options.models = vec![model.into()];
        options
    }

    /// Makes a plain service.
    pub fn service(id: &str, service: &str) -> Self {
        let mut options = Self::new(id);
        options.service = service.into();
        options
    }
}

/// What a fake counted.
#[derive(Default)]
pub struct Counts {
    /// Requests that arrived.
    pub arrived: AtomicU64,
    /// Answers sent to their end.
    pub finished: AtomicU64,
    /// Answers that ended early because the other side went away.
    pub cancelled: AtomicU64,
    /// Cancel calls.
    pub cancel_calls: AtomicU64,
    /// Generated tokens.
    pub tokens: AtomicU64,
    runs: Mutex<HashMap<String, u64>>,
}

impl Counts {
    /// Returns how often the request with this idempotency key, prompt or body
    /// was run.
    pub fn runs(&self, key: &str) -> u64 {
        let runs = lock(&self.runs);
        runs.get(key).copied().unwrap_or(0)
    }

    pub(crate) fn count_run(&self, key: &str) -> u64 {
        let mut runs = lock(&self.runs);
        let count = runs.entry(key.to_owned()).or_insert(0);
        *count += 1;
        *count
    }
}

/// State shared by the tasks of a fake.
pub(crate) struct Shared {
    pub(crate) options: FakeOptions,
    pub(crate) addr: SocketAddr,
    pub(crate) counts: Arc<Counts>,
    pub(crate) fault: Mutex<Fault>,
    pub(crate) slots: Arc<Slots>,
    pub(crate) kill: CancellationToken,
    pub(crate) orders: Orders,
    leaving: AtomicBool,
    quiet: AtomicBool,
    seq: AtomicU64,
    cancels: Mutex<HashMap<String, CancellationToken>>,
}

impl Shared {
    pub(crate) fn fault(&self) -> Fault {
        *lock(&self.fault)
    }

    pub(crate) fn register(&self, attempt: &str) -> CancellationToken {
        let token = CancellationToken::new();
        let mut cancels = lock(&self.cancels);
        cancels.insert(attempt.to_owned(), token.clone());
        token
    }

    pub(crate) fn forget(&self, attempt: &str) {
        let mut cancels = lock(&self.cancels);
        cancels.remove(attempt);
    }

    fn announcement(&self) -> Announcement {
        let o = &self.options;
        let (running, waiting, _) = self.slots.counts();
        let gap = o.token_delay.as_secs_f64();
        Announcement {
            id: o.id.clone(),
            incarnation: o.incarnation,
            seq: self.seq.fetch_add(1, Ordering::Relaxed) + 1,
            address: self.addr.to_string(),
            data_centre: o.data_centre.clone(),
            pool: if o.service.is_empty() {
                "pool".into()
            } else {
                o.service.clone()
            },
            kind: if o.service.is_empty() {
                "model".into()
            } else {
                "service".into()
            },
            models: self
                .orders
                .models()
                .iter()
                .map(|name| ModelEntry {
                    name: name.clone(),
                    version: "1".into(),
                    adapters: Vec::new(),
                })
                .collect(),
            slots: o.slots,
            checks_fencing: o.checks_fencing,
            leaving: self.leaving.load(Ordering::Relaxed),
            load: Some(Load {
                running,
                waiting,
                kv_used: 0.0,
                tokens_per_s: if gap > 0.0 {
                    f64::from(running) / gap
                } else {
                    0.0
                },
            }),
            prefixes: Vec::new(),
        }
    }

    async fn announce(&self) {
        let text = serde_json::to_vec(&self.announcement()).unwrap_or_default();
        let call = Call::post("/v1/endpoints/announce", text).key(&self.options.key);
        for router in &self.options.routers {
            call.send(*router, Duration::from_millis(500)).await.ok();
        }
    }
}

/// A running fake. Dropping it ends it like a crash.
pub struct Fake {
    shared: Arc<Shared>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Fake {
    /// Starts a fake on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn start(options: FakeOptions) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(options.listen)?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            addr: listener.local_addr()?,
            counts: Arc::new(Counts::default()),
            fault: Mutex::new(Fault::None),
            slots: Slots::new(options.slots),
            kill: CancellationToken::new(),
            orders: Orders::new(options.models.clone()),
            leaving: AtomicBool::new(false),
            quiet: AtomicBool::new(false),
            seq: AtomicU64::new(0),
            cancels: Mutex::new(HashMap::new()),
            options,
        });
        let runtime = if shared.options.threads > 1 {
            tokio::runtime::Builder::new_multi_thread()
                .worker_threads(shared.options.threads)
                .enable_all()
                .build()?
        } else {
            tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?
        };
        let for_thread = Arc::clone(&shared);
        let thread = std::thread::Builder::new()
            .name(format!("fake-{}", shared.options.id))
            .spawn(move || {
                runtime.block_on(run(for_thread, listener));
                // Drops every task and socket, as the end of a process does.
                runtime.shutdown_background();
            })?;
        Ok(Self {
            shared,
            thread: Some(thread),
        })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Returns the counts.
    pub fn counts(&self) -> &Arc<Counts> {
        &self.shared.counts
    }

    /// Returns the loaded models.
    pub fn models(&self) -> Vec<String> {
        self.shared.orders.models()
    }

    /// Returns how many orders were taken and how many were refused.
    pub fn orders(&self) -> (u64, u64) {
        self.shared.orders.counts()
    }

    /// Returns the most requests that ran at once.
    pub fn max_running(&self) -> u32 {
        self.shared.slots.counts().2
    }

    /// Returns the requests that run now.
    pub fn running(&self) -> u32 {
        self.shared.slots.counts().0
    }

    /// Sets the fault of the answers from now on.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Announces that no new work is wanted. Requests that come anyway run.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Stops the announcements while requests go on.
    pub fn stop_announcing(&self) {
        self.shared.quiet.store(true, Ordering::Relaxed);
    }

    /// Returns whether the process lives.
    pub fn alive(&self) -> bool {
        !self.shared.kill.is_cancelled()
    }

    /// Ends the process at once and waits until its sockets are closed.
    pub fn kill(&mut self) {
        self.shared.kill.cancel();
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.shared.kill.cancel();
    }
}

async fn run(shared: Arc<Shared>, listener: std::net::TcpListener) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    let service = HandlerService(FakeService(Arc::clone(&shared)));
    let Ok(metrics) = Metrics::new() else {
        return;
    };
    let limits = ConnectionLimits::default();
    let stop = CancellationToken::new();
    let finish = CancellationToken::new();
    tokio::spawn(serve(
        listener,
        service,
        limits,
        Arc::new(metrics),
        stop,
        finish,
    ));
    let announcer = Arc::clone(&shared);
    tokio::spawn(async move {
        let mut left = false;
        loop {
            if !announcer.quiet.load(Ordering::Relaxed) {
                announcer.announce().await;
            }
            // A change to leaving is announced at once.
            let until = tokio::time::Instant::now() + announcer.options.renew;
            while tokio::time::Instant::now() < until {
                let leaving = announcer.leaving.load(Ordering::Relaxed);
                if leaving != left {
                    left = leaving;
                    break;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    });
    shared.kill.cancelled().await;
}

struct FakeService(Arc<Shared>);

impl Handler for FakeService {
    async fn handle(&self, req: Request) -> Response {
        let shared = &self.0;
        let (parts, body) = req.into_parts();
        let header = |name: &str| {
            parts
                .headers
                .get(name)
                .and_then(|v| v.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        let attempt = header(ATTEMPT_HEADER);
        let priority = header(PRIORITY_HEADER).parse().unwrap_or(u32::MAX);
        let key = header("idempotency-key");
        let path = parts.uri.path().to_owned();
        let Ok(body) = body
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes)
        else {
            return text(StatusCode::BAD_REQUEST, "truncated");
        };
        if path == "/v1/cancel" {
            shared.counts.cancel_calls.fetch_add(1, Ordering::Relaxed);
            let named: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            let named = named["attempt"].as_str().unwrap_or_default();
            let token = {
                let cancels = lock(&shared.cancels);
                cancels.get(named).cloned()
            };
            if let Some(token) = token {
                token.cancel();
            }
            return echo(text(StatusCode::OK, "{}"), &attempt);
        }
        if path == "/v1/orders" {
            return crate::orders::answer(shared, &body);
        }
        shared.counts.arrived.fetch_add(1, Ordering::Relaxed);
        let fault = match header("x-fake-fault").as_str() {
            "die" => Fault::DieAfter(2),
            "break" => Fault::BreakAfter(2),
            "silent" => Fault::SilentAfter(2),
            "wrong-attempt" => Fault::WrongAttempt,
            "refuse" => Fault::RefuseNotRun,
            _ => shared.fault(),
        };
        if fault == Fault::RefuseNotRun {
            let mut resp = text(StatusCode::SERVICE_UNAVAILABLE, "busy");
            resp.headers_mut()
                .insert("x-anvilloft-refused", HeaderValue::from_static("not-run"));
            return echo(resp, &attempt);
        }
        let resp = if shared.options.service.is_empty() {
            model::answer(shared, &path, &body, &attempt, priority, fault).await
        } else {
            order(shared, &key, &body, priority, fault).await
        };
        match fault {
            Fault::WrongAttempt => echo(resp, "00000000000000000000000000000000"),
            Fault::NoAttempt => resp,
            _ => echo(resp, &attempt),
        }
    }
}

/// Runs a call of a plain service and counts it by its key.
async fn order(
    shared: &Arc<Shared>,
    key: &str,
    body: &[u8],
    priority: u32,
    fault: Fault,
) -> Response {
    let _slot = shared.slots.take(priority).await;
    model::pause(shared.options.first_token).await;
    let key = if key.is_empty() {
        String::from_utf8_lossy(body).into_owned()
    } else {
        key.to_owned()
    };
    let run = shared.counts.count_run(&key);
    match fault {
        Fault::DieAfter(_) => {
            shared.kill.cancel();
            std::future::pending().await
        }
        Fault::SilentAfter(_) => std::future::pending().await,
        Fault::Fail => return text(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
        _ => {}
    }
    shared.counts.finished.fetch_add(1, Ordering::Relaxed);
    let answer = serde_json::json!({
        "endpoint": shared.options.id,
        "key": key,
        "run": run,
    });
    text(StatusCode::OK, &answer.to_string())
}

pub(crate) fn text(status: StatusCode, body: &str) -> Response {
    let mut resp = Response::new(Body::from(body.to_owned()));
    *resp.status_mut() = status;
    resp.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    resp
}

fn echo(mut resp: Response, attempt: &str) -> Response {
    if let Ok(value) = HeaderValue::from_str(attempt) {
        resp.headers_mut().insert(ATTEMPT_HEADER, value);
    }
    resp
}
