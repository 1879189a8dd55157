//! Properties of one relay.

use std::net::SocketAddr;

use anvilloft_types::prelude::*;

/// Usual bound on request bodies in memory, in bytes: a third of the smallest
/// host that a relay is made for, which has 88 MB.
const MAX_BUFFERED_BYTES: usize = 28 * 1024 * 1024;

/// Properties of one relay.
#[derive(Clone, Debug)]
pub struct RelayOptions {
    /// Name of the router.
    pub name: RouterId,
    /// Data centre of the router.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Open connections of callers, at most.
    pub max_connections: usize,
    /// Bytes of all request bodies in memory, at most.
    pub max_buffered_bytes: usize,
    /// Repeats of requests to a service, fleet-wide: window, share of the
    /// requests, and count beyond the share.
    pub retry_window: Duration,
    /// See `retry_window`.
    pub retry_ratio: f64,
    /// See `retry_window`.
    pub retry_extra: f64,
    /// Time from the start of a planned stop during which new requests are
    /// still taken: callers go on to use answers that name this router.
    pub drain_accept: Duration,
    /// Longest time of a planned stop.
    pub drain_limit: Duration,
    /// Longest time without a renewed lease after which the router counts as
    /// cut off from control.
    pub control_timeout: Duration,
}

impl RelayOptions {
    /// Returns a builder with the usual values.
    pub fn builder(
        name: impl Into<RouterId>,
        data_centre: impl Into<DataCentre>,
        listen: SocketAddr,
    ) -> RelayOptionsBuilder {
        RelayOptionsBuilder(Self {
            name: name.into(),
            data_centre: data_centre.into(),
            listen,
            max_connections: 2_048,
            max_buffered_bytes: MAX_BUFFERED_BYTES,
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
    /// Sets the most open connections of callers.
    #[must_use]
    pub fn max_connections(mut self, count: usize) -> Self {
        self.0.max_connections = count;
        self
    }

    /// Sets the most bytes of request bodies in memory.
    #[must_use]
    pub fn max_buffered_bytes(mut self, bytes: usize) -> Self {
        self.0.max_buffered_bytes = bytes;
        self
    }

    /// Sets the limit of repeats: window, share of the requests, and count
    /// beyond the share, for the whole fleet.
    #[must_use]
    pub fn retries(mut self, window: Duration, ratio: f64, extra: f64) -> Self {
        self.0.retry_window = window;
        self.0.retry_ratio = ratio;
        self.0.retry_extra = extra;
        self
    }

    /// Sets how long a planned stop takes new requests, and how long it lasts
    /// at most.
    #[must_use]
    pub fn drain(mut self, accept: Duration, limit: Duration) -> Self {
        self.0.drain_accept = accept;
        self.0.drain_limit = limit;
        self
    }

    /// Returns the options.
    pub fn build(self) -> RelayOptions {
        self.0
    }
}
