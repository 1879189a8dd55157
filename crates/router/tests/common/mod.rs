//! Helpers for the end-to-end tests: a fleet on loopback sockets.

#![allow(dead_code, reason = "each test file uses a part of it")]
#![expect(
    clippy::unwrap_used,
    reason = "a failed set-up fails the test that uses it"
)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use anvilloft_fakes::FakeEndpoint;
use anvilloft_fakes::FakeEndpointOptions;
use anvilloft_fakes::LocalControl;
use anvilloft_fakes::http::Call;
use anvilloft_fakes::http::Reply;
use anvilloft_router::Links;
use anvilloft_router::Router;
use anvilloft_router::RouterOptions;

pub(crate) const KEY: &str = "team-key";
pub(crate) const ENDPOINT_KEY: &str = "endpoint-key";
pub(crate) const BUDGET: &str = "team-budget";
pub(crate) const TIMEOUT: Duration = Duration::from_secs(10);

/// Routers that share one ledger, with a team, a model `m` and two services.
pub(crate) struct Fleet {
    pub(crate) control: Arc<LocalControl>,
    pub(crate) routers: Vec<Router>,
    /// By router: whether it is cut off from control and its peers.
    pub(crate) cut_off: Vec<Arc<AtomicBool>>,
    /// By router: whether it is cut off from control alone.
    pub(crate) control_cut_off: Vec<Arc<AtomicBool>>,
}

pub(crate) fn logger() -> slog::Logger {
    if std::env::var_os("ANVILLOFT_TEST_LOG").is_none() {
        return slog::Logger::root(slog::Discard, slog::o!());
    }
    let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(plain).build();
    slog::Logger::root(slog::Fuse(drain), slog::o!())
}

impl Fleet {
    pub(crate) async fn start(count: usize, tokens: i64) -> Self {
        Self::start_with(count, tokens, |_| {}).await
    }

    pub(crate) async fn start_with(
        count: usize,
        tokens: i64,
        configure: impl Fn(&mut RouterOptions),
    ) -> Self {
        let control = LocalControl::new();
        control.add_team("team", KEY, "normal", tokens);
        control.add_model("m", 16, 1000);
        control.add_service("orders", false, 10);
        control.add_service("stock", true, 10);
        let mut fleet = Self {
            control,
            routers: Vec::new(),
            cut_off: Vec::new(),
            control_cut_off: Vec::new(),
        };
        for n in 0..count {
            let mut options = options(n);
            configure(&mut options);
            fleet.add(options);
        }
        for router in &fleet.routers {
            assert!(router.wait_until_ready(TIMEOUT).await, "no lease");
        }
        fleet
    }

    pub(crate) fn add(&mut self, options: RouterOptions) {
        let link = self.control.join(&options.name);
        self.cut_off.push(Arc::clone(&link.cut));
        self.control_cut_off.push(Arc::clone(&link.cut_control));
        let links = Links {
            control: link.control,
            peers: link.peers,
            inbox: link.inbox,
        };
        self.routers
            .push(Router::start(options, links, logger()).unwrap());
    }

    pub(crate) fn addr(&self, n: usize) -> SocketAddr {
        self.routers[n].address()
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(Router::address).collect()
    }

    /// Starts a fake endpoint and waits until every router knows it.
    pub(crate) async fn fake(&self, mut options: FakeEndpointOptions) -> FakeEndpoint {
        let before: Vec<usize> = self.routers.iter().map(Router::endpoint_count).collect();
        options.key = ENDPOINT_KEY.into();
        options.routers = self.addresses();
        let fake = FakeEndpoint::start(options).unwrap();
        wait_until(|| {
            self.routers
                .iter()
                .zip(&before)
                .all(|(r, b)| r.endpoint_count() > *b)
        })
        .await;
        fake
    }

    /// Waits until no request is in flight and returns the settled tokens.
    pub(crate) async fn settled(&self) -> u64 {
        for router in &self.routers {
            wait_until(|| router.metrics().in_flight.get() == 0).await;
        }
        // Routers send reports every 20 ms.
        tokio::time::sleep(Duration::from_millis(150)).await;
        self.control.with_ledger(|l| l.assert_invariants());
        self.control.budget(BUDGET)["settled"].as_u64().unwrap()
    }
}

pub(crate) fn options(n: usize) -> RouterOptions {
    let centre = ["dc1", "dc2", "dc3"][n % 3];
    RouterOptions::loopback(&format!("r{n}"), centre, ENDPOINT_KEY)
}

/// Waits until the condition holds, at most for `TIMEOUT`.
pub(crate) async fn wait_until(mut condition: impl FnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "the condition did not hold in time"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

pub(crate) fn engine(id: &str) -> FakeEndpointOptions {
    FakeEndpointOptions::engine(id, "m")
}

pub(crate) fn chat(prompt: &str, stream: bool) -> Call {
    let body = serde_json::json!({
        "model": "m",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": 50,
        "stream": stream,
    });
    Call::post("/v1/chat/completions", body.to_string()).key(KEY)
}

pub(crate) fn order(key: &str) -> Call {
    Call::post("/v1/services/orders/place", "{\"boards\":1}")
        .key(KEY)
        .header("Idempotency-Key", key)
}

/// Returns the fields `run` and `code` of an error answer.
pub(crate) fn error(reply: &Reply) -> (String, String) {
    let e = &reply.json()["error"];
    let field = |name: &str| e[name].as_str().unwrap_or_default().to_owned();
    (field("run"), field("code"))
}

/// Returns whether a stream ended with an error event and no `[DONE]`.
pub(crate) fn interrupted(reply: &Reply) -> bool {
    let events = reply.events();
    let error = events
        .last()
        .and_then(|e| serde_json::from_str::<serde_json::Value>(e).ok())
        .is_some_and(|v| v["error"]["code"].is_string());
    error && !events.iter().any(|e| e == "[DONE]")
}
