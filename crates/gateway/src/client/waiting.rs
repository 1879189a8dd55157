//! Requests that wait for a connection to an endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use anvilloft_types::lock;
use tokio::sync::Notify;

/// Endpoints for whose connections requests wait, sorted by address. An entry is removed
/// with its last request.
#[derive(Default)]
pub(super) struct WaitingRequests {
    endpoints: Mutex<Vec<(SocketAddr, Arc<Notify>)>>,
}

impl WaitingRequests {
    /// Adds a request that waits for a connection to `addr`.
    pub(super) fn join(&self, addr: SocketAddr) -> WaitingRequest<'_> {
        let mut endpoints = lock(&self.endpoints);
        let at = match endpoints.binary_search_by_key(&addr, |(a, _)| *a) {
            Ok(at) => at,
            Err(at) => {
                endpoints.insert(at, (addr, Arc::default()));
                at
            }
        };
        WaitingRequest {
            requests: self,
            addr,
            notify: Arc::clone(&endpoints[at].1),
        }
    }

    /// Wakes one request that waits for a connection to `addr`.
    pub(super) fn notify_one(&self, addr: SocketAddr) {
        let endpoints = lock(&self.endpoints);
        if let Ok(at) = endpoints.binary_search_by_key(&addr, |(a, _)| *a) {
            endpoints[at].1.notify_one();
        }
    }
}

/// A request that waits for a connection.
pub(super) struct WaitingRequest<'a> {
    requests: &'a WaitingRequests,
    addr: SocketAddr,
    notify: Arc<Notify>,
}

impl WaitingRequest<'_> {
    /// Waits until a connection was returned to the pool.
    pub(super) async fn returned(&self) {
        self.notify.notified().await;
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        let mut endpoints = lock(&self.requests.endpoints);
        // One reference is the entry's, one is this request's.
        if Arc::strong_count(&self.notify) <= 2
            && let Ok(at) = endpoints.binary_search_by_key(&self.addr, |(a, _)| *a)
        {
            endpoints.remove(at);
        }
    }
}
