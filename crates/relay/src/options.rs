//! Options of a relay.

use std::net::SocketAddr;

use anvilloft_dispatch::Region;
use anvilloft_types::prelude::*;

/// Default limit on the request bodies in memory, in bytes: a third of the memory
/// of the smallest supported host, which has 88 MB.
const DEFAULT_MAX_BUFFERED_BYTES: usize = 28 * 1024 * 1024;

/// Options of a relay.
#[derive(Clone, Debug)]
pub struct RelayOptions {
    /// Name of the router.
    pub name: RouterId,
    /// Data centre of the router.
    pub data_centre: DataCentre,
    /// Regions of data centres, sorted by data centre.
    pub regions: Vec<(DataCentre, Region)>,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Address at which peer routers reach this one, if it isn't the one that it
    /// listens on.
    pub peer_address: Option<SocketAddr>,
    /// Maximum number of open connections of callers.
    pub max_connections: usize,
    /// Maximum total size of request bodies in memory, in bytes.
    pub max_buffered_bytes: usize,
    /// Maximum number of requests in flight, of all ranks.
    pub max_requests: usize,
    /// Window over which retries to a service are limited, fleet-wide.
    pub retry_window: Duration,
    /// Maximum number of retries within the window, as a share of the requests.
    pub retry_ratio: f64,
    /// Number of retries within the window that are allowed beyond the share.
    pub retry_extra: f64,
    /// Time from the start of a planned stop during which new requests are still
    /// accepted, because callers go on using directory answers that name this
    /// router.
    pub drain_accept: Duration,
    /// Maximum duration of a planned stop.
    pub drain_limit: Duration,
    /// Time without a renewed lease after which the router considers itself cut
    /// off from control.
    pub control_timeout: Duration,
}

impl RelayOptions {
    /// Returns a builder with the default values.
    pub fn builder(
        name: impl Into<RouterId>,
        data_centre: impl Into<DataCentre>,
        listen: SocketAddr,
    ) -> RelayOptionsBuilder {
        RelayOptionsBuilder(Self {
            name: name.into(),
            data_centre: data_centre.into(),
            regions: Vec::new(),
            listen,
            peer_address: None,
            max_connections: 2_048,
            max_buffered_bytes: DEFAULT_MAX_BUFFERED_BYTES,
            max_requests: 2_048,
            retry_window: Duration::from_secs(10),
            retry_ratio: 0.1,
            retry_extra: 30.0,
            drain_accept: Duration::from_secs(2),
            drain_limit: Duration::from_secs(900),
            control_timeout: Duration::from_secs(3),
        })
    }
}

/// Builder of [`RelayOptions`].
#[derive(Clone, Debug)]
pub struct RelayOptionsBuilder(RelayOptions);

impl RelayOptionsBuilder {
    /// Sets the maximum number of open connections of callers.
    #[must_use]
    pub fn max_connections(mut self, count: usize) -> Self {
        self.0.max_connections = count;
        self
    }

    /// Sets the maximum total size of request bodies in memory.
    #[must_use]
    pub fn max_buffered_bytes(mut self, bytes: usize) -> Self {
        self.0.max_buffered_bytes = bytes;
        self
    }

    /// Sets the maximum number of requests in flight.
    #[must_use]
    pub fn max_requests(mut self, count: usize) -> Self {
        self.0.max_requests = count;
        self
    }

    /// Sets the fleet-wide limit of retries: window, share of the requests, and
    /// number beyond the share.
    #[must_use]
    pub fn retries(mut self, window: Duration, ratio: f64, extra: f64) -> Self {
        self.0.retry_window = window;
        self.0.retry_ratio = ratio;
        self.0.retry_extra = extra;
        self
    }

    /// Sets how long a planned stop accepts new requests, and its maximum
    /// duration.
    #[must_use]
    pub fn drain(mut self, accept: Duration, limit: Duration) -> Self {
        self.0.drain_accept = accept;
        self.0.drain_limit = limit;
        self
    }

    /// Sets the regions of data centres.
    #[must_use]
    pub fn regions(mut self, regions: impl IntoIterator<Item = (DataCentre, Region)>) -> Self {
        self.0.regions = regions.into_iter().collect();
        self.0.regions.sort();
        self
    }

    /// Sets the address at which peer routers reach this one.
    #[must_use]
    pub fn peer_address(mut self, address: SocketAddr) -> Self {
        self.0.peer_address = Some(address);
        self
    }

    /// Returns the options.
    pub fn build(self) -> RelayOptions {
        self.0
    }
}
