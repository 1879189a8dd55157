//! State shared by all requests of a relay.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use anvilloft_directory::TokenHolders;
use anvilloft_dispatch::CrashWatch;
use anvilloft_dispatch::Dispatcher;
use anvilloft_dispatch::LinkDelay;
use anvilloft_dispatch::LoadShedder;
use anvilloft_dispatch::RetryBudget;
use anvilloft_dispatch::StopSchedule;
use anvilloft_dispatch::accepts_request;
use anvilloft_gateway::BodyMemory;
use anvilloft_gateway::client::Client;
use anvilloft_gateway::client::ConnectObserver;
use anvilloft_gateway::metrics::Metrics;
use anvilloft_routes::RouteTable;
use anvilloft_types::Clock;
use anvilloft_types::lock;
use anvilloft_types::prelude::*;
use anvilloft_wire::session::FleetPeers;
use arc_swap::ArcSwap;
use slog::Logger;
use tokio_util::sync::CancellationToken;

use crate::adapter::ProtocolAdapter;
use crate::loans::SilentHolders;
use crate::options::RelayOptions;
use crate::reservations::TokenReservations;

/// Retry budgets of this router, by service.
pub(crate) struct RetryBudgets {
    // Sorted by service name.
    budgets: Vec<(ServiceName, RetryBudget)>,
    window: Duration,
    ratio: f64,
    /// Retries that this router may make beyond the ratio.
    extra: f64,
}

impl RetryBudgets {
    pub(crate) fn new(options: &RelayOptions) -> Self {
        Self {
            budgets: Vec::new(),
            window: options.retry_window,
            ratio: options.retry_ratio,
            extra: 0.0,
        }
    }

    /// Sets this router's share of the retries beyond the ratio.
    pub(crate) fn set_extra(&mut self, extra: f64) {
        if (extra - self.extra).abs() > f64::EPSILON {
            self.extra = extra;
            for (_, budget) in &mut self.budgets {
                budget.set_extra(extra);
            }
        }
    }

    /// Returns the budget of a service, creating it if needed.
    pub(crate) fn for_service(&mut self, service: &str) -> &mut RetryBudget {
        let at = match self
            .budgets
            .binary_search_by(|(s, _)| s.as_str().cmp(service))
        {
            Ok(at) => at,
            Err(at) => {
                let budget = RetryBudget::new(self.window, self.ratio, self.extra);
                self.budgets.insert(at, (service.to_owned(), budget));
                at
            }
        };
        &mut self.budgets[at].1
    }

    /// Removes the budgets of services that are not in the table.
    pub(crate) fn retain_services(&mut self, table: &RouteTable) {
        self.budgets.retain(|(s, _)| table.service(s).is_some());
    }
}

/// Delay of the router's own network link, measured by its connections to
/// endpoints.
#[derive(Default)]
pub(crate) struct LinkMonitor(Mutex<LinkDelay>);

impl LinkMonitor {
    /// Returns a copy of the delay, as of the last interval.
    pub(crate) fn state(&self) -> LinkDelay {
        *lock(&self.0)
    }

    /// Ends an interval of measurement.
    pub(crate) fn end_interval(&self) {
        lock(&self.0).end_interval();
    }
}

impl ConnectObserver for LinkMonitor {
    fn record_connect(&self, took: Duration) {
        lock(&self.0).record_connect(took);
    }
}

/// State shared by all requests and the control thread.
pub(crate) struct RelayState {
    pub(crate) options: RelayOptions,
    pub(crate) adapter: Arc<dyn ProtocolAdapter>,
    pub(crate) clock: Clock,
    pub(crate) table: ArcSwap<RouteTable>,
    pub(crate) dispatcher: Mutex<Dispatcher>,
    pub(crate) retry_budgets: Mutex<RetryBudgets>,
    pub(crate) shedder: Mutex<LoadShedder>,
    pub(crate) crashes: Mutex<CrashWatch>,
    pub(crate) link: Arc<LinkMonitor>,
    pub(crate) reservations: TokenReservations,
    /// Routers of this data centre that hold tokens for the others.
    pub(crate) holders: ArcSwap<TokenHolders>,
    pub(crate) silent_holders: Mutex<SilentHolders>,
    /// Number of routers in the directory, with this one; 0 before the first lease.
    pub(crate) router_count: AtomicUsize,
    /// Sessions with peers; set once by the control thread.
    pub(crate) peers: OnceLock<Arc<FleetPeers>>,
    pub(crate) client: Arc<Client>,
    pub(crate) bodies: BodyMemory,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Logger,
    /// Whether the lease was renewed within `control_timeout`.
    pub(crate) control_reachable: AtomicBool,
    /// Times of the planned stop, once it has begun.
    pub(crate) stop: OnceLock<StopSchedule>,
    /// Cancelled at the end of a planned stop, when requests that still wait for an
    /// answer must be refused.
    pub(crate) abandon: CancellationToken,
    pub(crate) request_counter: AtomicU64,
    /// Number of requests that wait for their answer, or whose stream has not ended.
    pub(crate) open_requests: AtomicUsize,
}

/// Counts a request as open until its whole answer was read, or its stream has ended.
pub(crate) struct OpenRequestGuard(Arc<RelayState>);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl RelayState {
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(crate) fn next_request_no(&self) -> RequestNo {
        self.request_counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts another request of a rank as open. Returns `None` if it may not be accepted.
    pub(crate) fn open_request(self: &Arc<Self>, rank: u8) -> Option<OpenRequestGuard> {
        let limit = self.options.max_requests;
        let open = |n| accepts_request(n, limit, rank).then_some(n + 1);
        let opened = self
            .open_requests
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, open);
        opened.is_ok().then(|| OpenRequestGuard(Arc::clone(self)))
    }

    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        lock(&self.dispatcher)
    }

    /// Takes a retry from the budget of a service. Returns whether it may be made.
    pub(crate) fn try_retry(&self, service: &str) -> bool {
        lock(&self.retry_budgets)
            .for_service(service)
            .try_take(self.now())
    }
}
