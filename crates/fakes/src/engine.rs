//! A fake model engine or plain service. It runs on a thread of its own, so that
//! killing it closes all its sockets at once, as the end of a process does.

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
use anvilloft_gateway::serve::Server;
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

/// Prompts that contain this text crash an engine with
/// [`FakeEndpointOptions::crash_on_mark`] set.
pub const CRASH_MARK: &str = "CRASH";

/// A fault that is injected into responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The endpoint dies after this many tokens.
    DieAfter(u32),
    /// The connection breaks after this many tokens.
    BreakAfter(u32),
    /// The response stalls after this many tokens; 0 sends not even headers.
    StallAfter(u32),
    /// The response carries the id of another attempt.
    WrongAttempt,
    /// The response carries no attempt id.
    MissingAttempt,
    /// The request is refused with the header that says that it did not run.
    RefuseNotRun,
    /// The response has status 500.
    InternalError,
    /// The stream ends without `[DONE]`.
    MissingDone,
    /// The reported usage is a million times the true one.
    OverstatedUsage,
    /// The response reports no usage.
    MissingUsage,
    /// The stream never ends.
    Endless,
}

/// Identity, speed and behaviour of a fake endpoint.
#[derive(Clone, Debug)]
pub struct FakeEndpointOptions {
    /// Id of the endpoint.
    pub id: String,
    /// Incarnation that it announces.
    pub incarnation: u64,
    /// Data centre that it announces.
    pub data_centre: String,
    /// Name of the service; empty for a model engine.
    pub service: String,
    /// Models that are loaded at the start.
    pub models: Vec<String>,
    /// Whether load and unload orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Time to load a model.
    pub load_time: Duration,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Delay before the first token.
    pub first_token: Duration,
    /// Delay between tokens.
    pub token_delay: Duration,
    /// Tokens sent in one write when `token_delay` is zero.
    pub burst: usize,
    /// Tokens of a response, unless the request allows fewer.
    pub tokens: u32,
    /// Whether prompts that contain [`CRASH_MARK`] crash the endpoint.
    pub crash_on_mark: bool,
    /// Key that authenticates announcements.
    pub key: String,
    /// Routers that announcements are sent to.
    pub routers: Vec<SocketAddr>,
    /// Interval between announcements.
    pub announce_interval: Duration,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Runtime threads; 1 by default.
    pub threads: usize,
}

impl FakeEndpointOptions {
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
            crash_on_mark: false,
            key: "endpoint-key".into(),
            routers: Vec::new(),
            announce_interval: Duration::from_millis(500),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            threads: 1,
        }
    }

    /// Returns the options of a model engine.
    pub fn engine(id: &str, model: &str) -> Self {
        let mut options = Self::new(id);
        options.models = vec![model.into()];
        options
    }

    /// Returns the options of a plain service.
    pub fn service(id: &str, service: &str) -> Self {
        let mut options = Self::new(id);
        options.service = service.into();
        options
    }
}

/// Counters of a fake endpoint.
#[derive(Default)]
pub struct Counts {
    /// Requests received, excluding cancel calls and orders.
    pub arrived: AtomicU64,
    /// Responses completed.
    pub finished: AtomicU64,
    /// Streams that ended early: cancelled, broken by a fault, or closed by the
    /// client.
    pub cancelled: AtomicU64,
    /// Cancel calls received.
    pub cancel_calls: AtomicU64,
    /// Tokens generated.
    pub tokens: AtomicU64,
    runs: Mutex<HashMap<String, u64>>,
}

impl Counts {
    /// Returns how often the request with this idempotency key, prompt or body
    /// was run.
    pub fn run_count(&self, key: &str) -> u64 {
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

/// State shared by the tasks of a fake endpoint.
pub(crate) struct Shared {
    pub(crate) options: FakeEndpointOptions,
    pub(crate) addr: SocketAddr,
    pub(crate) counts: Arc<Counts>,
    pub(crate) fault: Mutex<Fault>,
    pub(crate) slots: Arc<Slots>,
    pub(crate) kill: CancellationToken,
    pub(crate) orders: Orders,
    leaving: AtomicBool,
    announcements_stopped: AtomicBool,
    seq: AtomicU64,
    cancels: Mutex<HashMap<String, CancellationToken>>,
}

impl Shared {
    pub(crate) fn fault(&self) -> Fault {
        *lock(&self.fault)
    }

    /// Registers an attempt so that it can be cancelled. Returns its token.
    pub(crate) fn register(&self, attempt: &str) -> CancellationToken {
        let token = CancellationToken::new();
        let mut cancels = lock(&self.cancels);
        cancels.insert(attempt.to_owned(), token.clone());
        token
    }

    pub(crate) fn unregister(&self, attempt: &str) {
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

/// A running fake endpoint. Dropping it kills it as [`FakeEndpoint::kill`] does, but
/// doesn't wait until its sockets are closed.
pub struct FakeEndpoint {
    shared: Arc<Shared>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl FakeEndpoint {
    /// Starts a fake endpoint on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn start(options: FakeEndpointOptions) -> io::Result<Self> {
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
            announcements_stopped: AtomicBool::new(false),
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
        let thread_shared = Arc::clone(&shared);
        let thread = std::thread::Builder::new()
            .name(format!("fake-{}", shared.options.id))
            .spawn(move || {
                runtime.block_on(run(thread_shared, listener));
                // Drops every task and socket, as the end of a process does.
                runtime.shutdown_background();
            })?;
        Ok(Self {
            shared,
            thread: Some(thread),
        })
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Returns the counters.
    pub fn counts(&self) -> &Arc<Counts> {
        &self.shared.counts
    }

    /// Returns the loaded models.
    pub fn models(&self) -> Vec<String> {
        self.shared.orders.models()
    }

    /// Returns the number of orders accepted and of those refused.
    pub fn order_counts(&self) -> (u64, u64) {
        self.shared.orders.counts()
    }

    /// Returns the highest number of requests that ran at once.
    pub fn max_running(&self) -> u32 {
        self.shared.slots.counts().2
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> u32 {
        self.shared.slots.counts().0
    }

    /// Sets the fault of all later responses.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Announces that the endpoint is leaving. Requests that still arrive are served.
    pub fn announce_leaving(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Stops the announcements; requests are still served.
    pub fn stop_announcing(&self) {
        self.shared
            .announcements_stopped
            .store(true, Ordering::Relaxed);
    }

    /// Returns whether the endpoint was neither killed nor crashed.
    pub fn is_alive(&self) -> bool {
        !self.shared.kill.is_cancelled()
    }

    /// Kills the endpoint and waits until its sockets are closed.
    pub fn kill(&mut self) {
        self.shared.kill.cancel();
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

impl Drop for FakeEndpoint {
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
    let server = Server::new(limits, Arc::new(metrics));
    tokio::spawn(server.serve(listener, service, stop, finish));
    let announcer = Arc::clone(&shared);
    tokio::spawn(async move {
        let mut announced_leaving = false;
        loop {
            if !announcer.announcements_stopped.load(Ordering::Relaxed) {
                announcer.announce().await;
            }
            // Leaving is announced without waiting for the interval.
            let next = tokio::time::Instant::now() + announcer.options.announce_interval;
            while tokio::time::Instant::now() < next {
                let leaving = announcer.leaving.load(Ordering::Relaxed);
                if leaving != announced_leaving {
                    announced_leaving = leaving;
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
            return json_response(StatusCode::BAD_REQUEST, "truncated");
        };
        if path == "/v1/cancel" {
            shared.counts.cancel_calls.fetch_add(1, Ordering::Relaxed);
            let cancel: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            let cancelled = cancel["attempt"].as_str().unwrap_or_default();
            let token = {
                let cancels = lock(&shared.cancels);
                cancels.get(cancelled).cloned()
            };
            if let Some(token) = token {
                token.cancel();
            }
            return with_attempt(json_response(StatusCode::OK, "{}"), &attempt);
        }
        if path == "/v1/orders" {
            return crate::orders::answer(shared, &body);
        }
        shared.counts.arrived.fetch_add(1, Ordering::Relaxed);
        let fault = match header("x-fake-fault").as_str() {
            "die" => Fault::DieAfter(2),
            "break" => Fault::BreakAfter(2),
            "silent" => Fault::StallAfter(2),
            "wrong-attempt" => Fault::WrongAttempt,
            "refuse" => Fault::RefuseNotRun,
            _ => shared.fault(),
        };
        if fault == Fault::RefuseNotRun {
            let mut resp = json_response(StatusCode::SERVICE_UNAVAILABLE, "busy");
            resp.headers_mut()
                .insert("x-anvilloft-refused", HeaderValue::from_static("not-run"));
            return with_attempt(resp, &attempt);
        }
        let resp = if shared.options.service.is_empty() {
            model::answer(shared, &path, &body, &attempt, priority, fault).await
        } else {
            call_service(shared, &key, &body, priority, fault).await
        };
        match fault {
            Fault::WrongAttempt => with_attempt(resp, "00000000000000000000000000000000"),
            Fault::MissingAttempt => resp,
            _ => with_attempt(resp, &attempt),
        }
    }
}

/// Runs a call of a plain service. Runs are counted by idempotency key, or by body
/// without one.
async fn call_service(
    shared: &Arc<Shared>,
    key: &str,
    body: &[u8],
    priority: u32,
    fault: Fault,
) -> Response {
    let _slot = shared.slots.acquire(priority).await;
    model::sleep_nonzero(shared.options.first_token).await;
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
        Fault::StallAfter(_) => std::future::pending().await,
        Fault::InternalError => return json_response(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
        _ => {}
    }
    shared.counts.finished.fetch_add(1, Ordering::Relaxed);
    let answer = serde_json::json!({
        "endpoint": shared.options.id,
        "key": key,
        "run": run,
    });
    json_response(StatusCode::OK, &answer.to_string())
}

/// Builds a response with a JSON content type.
pub(crate) fn json_response(status: StatusCode, body: &str) -> Response {
    let mut resp = Response::new(Body::from(body.to_owned()));
    *resp.status_mut() = status;
    resp.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    resp
}

/// Adds the attempt id to a response.
fn with_attempt(mut resp: Response, attempt: &str) -> Response {
    if let Ok(value) = HeaderValue::from_str(attempt) {
        resp.headers_mut().insert(ATTEMPT_HEADER, value);
    }
    resp
}
