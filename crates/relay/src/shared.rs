//! What all requests of a relay share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use anvilloft_dispatch::Dispatcher;
use anvilloft_dispatch::LinkDelay;
use anvilloft_dispatch::LoadShedder;
use anvilloft_dispatch::RetryBudget;
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

use crate::adapter::ProtocolAdapter;
use crate::options::RelayOptions;
use crate::purse::Purse;

/// Repeats by service.
pub(crate) struct Repeats {
    // Sorted by service.
    budgets: Vec<(ServiceName, RetryBudget)>,
    window: Duration,
    ratio: f64,
    /// Repeats beyond the ratio that this router may make.
    extra: f64,
}

impl Repeats {
    pub(crate) fn new(options: &RelayOptions) -> Self {
        Self {
            budgets: Vec::new(),
            window: options.retry_window,
            ratio: options.retry_ratio,
            extra: 0.0,
        }
    }

    /// Divides the fleet's extra repeats among its routers.
    pub(crate) fn set_extra(&mut self, extra: f64) {
        if (extra - self.extra).abs() > f64::EPSILON {
            self.extra = extra;
            for (_, budget) in &mut self.budgets {
                budget.set_extra(extra);
            }
        }
    }

    pub(crate) fn of(&mut self, service: &str) -> &mut RetryBudget {
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

    /// Forgets services that the table no longer holds.
    pub(crate) fn keep(&mut self, table: &RouteTable) {
        self.budgets.retain(|(s, _)| table.service(s).is_some());
    }
}

/// The router's own link, as its connections to endpoints show it.
#[derive(Default)]
pub(crate) struct Link(Mutex<LinkDelay>);

impl Link {
    /// Returns the state of the last interval.
    pub(crate) fn state(&self) -> LinkDelay {
        *lock(&self.0)
    }

    /// Ends an interval.
    pub(crate) fn end_interval(&self) {
        lock(&self.0).end_interval();
    }
}

impl ConnectObserver for Link {
    fn record_connect(&self, took: Duration) {
        lock(&self.0).record_connect(took);
    }
}

/// What all requests share.
pub(crate) struct Shared {
    pub(crate) options: RelayOptions,
    pub(crate) adapter: Arc<dyn ProtocolAdapter>,
    pub(crate) clock: Clock,
    pub(crate) table: ArcSwap<RouteTable>,
    pub(crate) dispatcher: Mutex<Dispatcher>,
    pub(crate) repeats: Mutex<Repeats>,
    pub(crate) shedder: Mutex<LoadShedder>,
    pub(crate) link: Arc<Link>,
    pub(crate) purse: Purse,
    /// Sessions with peers, once the control thread has made them.
    pub(crate) peers: OnceLock<Arc<FleetPeers>>,
    pub(crate) client: Arc<Client>,
    pub(crate) bodies: BodyMemory,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Logger,
    /// Whether the lease was renewed lately.
    pub(crate) in_touch: AtomicBool,
    /// Whether the planned stop has come so far that new requests are refused.
    pub(crate) closing: AtomicBool,
    pub(crate) next_no: AtomicU64,
}

impl Shared {
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(crate) fn number(&self) -> RequestNo {
        self.next_no.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        lock(&self.dispatcher)
    }

    /// Takes a repeat to a service from the budget.
    pub(crate) fn take_repeat(&self, service: &str) -> bool {
        lock(&self.repeats).of(service).try_take(self.now())
    }
}
