//! Wait for an endpoint that is silent.
//!
//! A silent endpoint may be sound and go on, so it is given up only for another one that
//! can take the request, or once it is no longer announced.

use std::time::Duration;
use std::time::Instant;

use anvilloft_types::RequestNo;
use bytes::Bytes;
use futures::future::BoxFuture;

use crate::client::ClientError;
use crate::client::EndpointResponse;
use crate::core_handle::CoreHandle;

/// Time after which another endpoint is asked for again.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// Decides whether to wait on for an endpoint that has been silent for a whole timeout.
pub trait SilencePolicy: Send + Sync {
    /// Returns how much longer to wait, or `None` to give the endpoint up.
    fn extension(&self) -> BoxFuture<'_, Option<Duration>>;
}

/// Wait for the headers of a response.
#[derive(Clone, Copy)]
pub struct HeaderWait<'a> {
    /// Timeout.
    pub limit: Duration,
    /// May extend the timeout while nothing arrives.
    pub policy: Option<&'a dyn SilencePolicy>,
}

impl From<Duration> for HeaderWait<'_> {
    fn from(limit: Duration) -> Self {
        Self {
            limit,
            policy: None,
        }
    }
}

/// Keeps a request at its silent endpoint while no other one can take it.
pub(crate) struct KeepEndpoint<'a> {
    pub(crate) core: &'a CoreHandle,
    pub(crate) no: RequestNo,
    /// When the silence begins to count against the endpoint; `None` if no other one may
    /// get the request.
    pub(crate) movable_at: Option<Instant>,
    /// When the request is given up at the latest.
    pub(crate) deadline: Instant,
}

impl SilencePolicy for KeepEndpoint<'_> {
    fn extension(&self) -> BoxFuture<'_, Option<Duration>> {
        Box::pin(async move {
            let now = Instant::now();
            let left = self.deadline.saturating_duration_since(now);
            let may_move = self.movable_at.is_some_and(|at| at <= now);
            if left.is_zero() || !self.core.keeps_endpoint(self.no, may_move).await {
                return None;
            }
            Some(ASK_INTERVAL.min(left))
        })
    }
}

/// Waits for the next chunk of a response, or its end, for `limit` and as much longer as
/// `policy` allows.
pub(crate) async fn next_chunk(
    response: &mut EndpointResponse,
    limit: Duration,
    policy: &dyn SilencePolicy,
) -> Result<Option<Bytes>, ClientError> {
    let mut limit = limit;
    loop {
        let res = response.next(limit).await;
        if !matches!(res, Err(ClientError::Timeout(_))) {
            return res;
        }
        match policy.extension().await {
            Some(more) => limit = more,
            None => return res,
        }
    }
}

/// Returns the whole body of a response, whose end must arrive within `limit` of its
/// first chunk. `policy` may extend the wait for that chunk.
pub(crate) async fn read_body(
    mut response: EndpointResponse,
    limit: Duration,
    policy: &dyn SilencePolicy,
) -> Result<Bytes, ClientError> {
    if !response.is_framed() {
        return Err(ClientError::NoFraming);
    }
    let Some(first) = next_chunk(&mut response, limit, policy).await? else {
        return Ok(Bytes::new());
    };
    response.collect_after(first, limit).await
}
