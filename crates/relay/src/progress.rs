//! What is known of a request after its attempts so far.

use std::net::SocketAddr;

use anvilloft_dispatch::Pick;
use anvilloft_dispatch::SentState;
use anvilloft_types::prelude::*;

use crate::attempt::AttemptResult;
use crate::attempt::OutboundRequest;
use crate::attempt::SendFailure;

/// An endpoint that a request was taken from because it was silent, or another one went on,
/// or because its end of the stream is to be confirmed.
pub(crate) struct LeftEndpoint {
    pub(crate) pick: Pick,
    /// Id of the last event of the stream, if this endpoint sent it.
    pub(crate) last_event: Option<String>,
    /// Whether it has ended an answer after that event in a way that can't be told from a
    /// break.
    pub(crate) has_ended: bool,
    /// Whether it was only asked in vain, so that the stream doesn't wait to return to it.
    pub(crate) was_unneeded: bool,
}

impl LeftEndpoint {
    /// Returns an endpoint that was asked in vain, as another one went on.
    pub(crate) fn unneeded(pick: &Pick) -> Self {
        Self {
            was_unneeded: true,
            ..Self::before_events(pick)
        }
    }

    /// Returns an endpoint that has sent no event of the stream, or no whole answer.
    pub(crate) fn before_events(pick: &Pick) -> Self {
        Self {
            pick: pick.clone(),
            last_event: None,
            has_ended: false,
            was_unneeded: false,
        }
    }
}

/// Progress of a request over all its attempts.
#[derive(Default)]
pub(crate) struct Progress {
    pub(crate) tried: Vec<EndpointId>,
    /// Addresses of the tried endpoints.
    pub(crate) addresses: Vec<SocketAddr>,
    /// Number of endpoints that received the request.
    pub(crate) sent_count: u32,
    pub(crate) unreachable_count: u32,
    /// Endpoints that refused the request as full.
    refused: Vec<EndpointId>,
    /// Endpoints that were left although they may be sound.
    pub(crate) left: Vec<LeftEndpoint>,
    /// Whether the next attempt to be recorded is at an endpoint that is counted already.
    pub(crate) is_return: bool,
    /// Whether an endpoint may have run the request.
    pub(crate) may_have_run: bool,
}

impl Progress {
    /// Records the result of an attempt.
    pub(crate) fn record(&mut self, result: &AttemptResult) {
        match result {
            AttemptResult::Answered(_) => self.count_sent(),
            AttemptResult::NotRun(failure, endpoint) => {
                self.count_sent();
                if *failure == SendFailure::Full {
                    self.refused.push(endpoint.clone());
                }
            }
            AttemptResult::Unreachable => {
                self.is_return = false;
                self.unreachable_count += 1;
            }
            AttemptResult::Unknown => self.record_given_up(),
        }
    }

    /// Records an attempt that was given up, or whose answer is of no use.
    pub(crate) fn record_given_up(&mut self) {
        self.count_sent();
        self.may_have_run = true;
    }

    fn count_sent(&mut self) {
        if !std::mem::take(&mut self.is_return) {
            self.sent_count += 1;
        }
    }

    /// Records that an endpoint was left and may be asked again.
    pub(crate) fn record_left(&mut self, left: LeftEndpoint) {
        self.left.retain(|l| l.pick.endpoint != left.pick.endpoint);
        self.left.push(left);
    }

    /// Lets endpoints that refused the request as full be asked again. Those that have had
    /// it before are asked by [`resume_stream`](crate::resume::resume_stream) only.
    pub(crate) fn forget_refusals(&mut self) {
        for id in self.refused.drain(..) {
            if self.left.iter().any(|l| l.pick.endpoint == id) {
                continue;
            }
            self.tried.retain(|t| *t != id);
            self.sent_count = self.sent_count.saturating_sub(1);
        }
    }

    pub(crate) fn state(&self, outbound: &OutboundRequest) -> SentState {
        SentState {
            repeatable: outbound.kind.is_retryable(),
            may_have_run: self.may_have_run,
            sent: self.sent_count,
            max_endpoints: outbound.max_endpoints,
        }
    }
}
