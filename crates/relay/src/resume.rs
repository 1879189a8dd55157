//! Search for an endpoint that goes on with a broken stream, and checks of its answer.
//!
//! The caller has the header and some events of the first answer. Nothing but the
//! following events may be joined to them.

use std::sync::Arc;

use anvilloft_dispatch::KeepReason;
use anvilloft_dispatch::Outcome;
use anvilloft_gateway::client::EndpointResponse;
use anvilloft_types::prelude::*;
use http::StatusCode;
use http::header;

use crate::attempt::Attempt;
use crate::attempt::EndpointAnswer;
use crate::attempt::OutboundRequest;
use crate::attempt::SendFailure;
use crate::attempt::reserve_again;
use crate::attempt::send_request;
use crate::attempt::start_attempt;
use crate::event_buffer::ReturnedTo;
use crate::events::EventSplitter;
use crate::handover::ASK_INTERVAL;
use crate::progress::LeftEndpoint;
use crate::progress::Progress;
use crate::state::RelayState;
use crate::stream::StreamError;

/// Maximum number of times that a stream that its endpoint broke is offered to endpoints
/// that were full.
const MAX_RESUMPTIONS: u32 = 5;

/// Order of the event ids of a stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventOrder {
    last_id: Option<String>,
    /// Whether all ids so far count up by one. Without a second id, only a first id of
    /// 0 or 1 shows it.
    is_consecutive: bool,
    id_count: u64,
}

impl EventOrder {
    pub(crate) fn record(&mut self, id: String) {
        let number = id.parse::<u64>().ok();
        self.is_consecutive = match (self.id_count, number) {
            (_, None) => false,
            (0, Some(number)) => number <= 1,
            (count, Some(_)) => (self.is_consecutive || count == 1) && self.precedes_by_one(number),
        };
        self.id_count += 1;
        self.last_id = Some(id);
    }

    fn last_number(&self) -> Option<u64> {
        self.last_id.as_deref()?.parse().ok()
    }

    fn precedes_by_one(&self, number: Option<u64>) -> bool {
        self.last_number().and_then(|last| last.checked_add(1)) == number
    }

    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether an event with this id can follow. Ids that are no numbers can't
    /// be compared, so any other one can.
    pub(crate) fn can_follow(&self, id: &str) -> bool {
        let number = id.parse::<u64>().ok();
        match (self.last_number(), number) {
            (Some(_), _) if self.is_consecutive => self.precedes_by_one(number),
            (Some(last), _) => number.is_some_and(|number| number > last),
            (None, _) => self.last_id.as_deref() != Some(id),
        }
    }
}

/// Returns whether an answer is a stream of events.
pub(crate) fn is_event_stream(answer: &EndpointResponse) -> bool {
    const MEDIA_TYPE: &[u8] = b"text/event-stream";
    answer
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.as_bytes().get(..MEDIA_TYPE.len()))
        .is_some_and(|value| value.eq_ignore_ascii_case(MEDIA_TYPE))
}

/// Returns whether an answer has ended before its last event: it was to go on with a
/// stream and has no event, or it has no length and ends within an event or before the
/// first one.
pub(crate) fn is_cut_off(splitter: &EventSplitter, answer: &EndpointResponse) -> bool {
    let is_unframed = is_event_stream(answer) && !answer.is_framed();
    splitter.is_resuming()
        || (is_unframed && (splitter.has_partial() || splitter.event_count() == 0))
}

/// Returns whether an answer's events can be joined to those of an earlier answer.
pub(crate) fn can_continue(answer: &EndpointResponse) -> bool {
    answer.status == StatusCode::OK
        && is_event_stream(answer)
        && !answer.headers.contains_key(header::CONTENT_ENCODING)
}

/// Sends a request to further endpoints until one goes on after the event `last_event`.
/// `running` is an attempt that was started already.
pub(crate) async fn find_continuation(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    progress: &mut Progress,
    last_event: Option<&str>,
    mut running: Option<Attempt>,
) -> Result<EndpointAnswer, SendFailure> {
    loop {
        let found = send_request(cx, outbound, progress, last_event, running.take()).await?;
        if can_continue(&found.answer) {
            return Ok(found);
        }
        let EndpointAnswer { in_flight, answer } = found;
        slog::info!(cx.log, "endpoint did not resume"; "request" => &outbound.id,
            "endpoint" => &in_flight.pick.endpoint, "status" => answer.status.as_u16());
        let outcome = match answer.status.is_success() {
            true => Outcome::Broken,
            false => Outcome::Failed,
        };
        // Closes the connection first, so that two runs never overlap.
        answer.close();
        in_flight.end(outcome);
        progress.may_have_run = true;
    }
}

/// Resumes a stream after the event `last_event` at the endpoint of `running`, or at any
/// other. If they fail, it returns to an endpoint that was left because it was silent, as
/// that one may be sound. The second value tells whether it did.
pub(crate) async fn resume_stream(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    progress: &mut Progress,
    last_event: Option<&str>,
    mut running: Option<Attempt>,
) -> Result<(EndpointAnswer, ReturnedTo), StreamError> {
    // An endpoint that was full a while ago may have room now.
    progress.forget_refusals();
    let mut returned_to = None;
    let mut attempts_left = MAX_RESUMPTIONS;
    loop {
        let found = find_continuation(cx, outbound, progress, last_event, running.take()).await;
        let failure = match found {
            Ok(answered) => {
                let endpoint = &answered.in_flight.pick.endpoint;
                let is_left = |l: &LeftEndpoint| l.pick.endpoint == *endpoint;
                let left = progress.left.iter().find(|l| is_left(l));
                let sent_last = |l: &&LeftEndpoint| {
                    last_event.is_some() && l.last_event.as_deref() == last_event
                };
                let returned_to = match left.filter(sent_last) {
                    Some(l) if returned_to.as_ref() == Some(endpoint) => match l.has_ended {
                        true => ReturnedTo::EndedBefore,
                        false => ReturnedTo::LastSender,
                    },
                    _ => ReturnedTo::None,
                };
                progress.left.retain(|l| !is_left(l));
                return Ok((answered, returned_to));
            }
            Err(SendFailure::DeadlineExceeded) => return Err(StreamError::DeadlineExceeded),
            Err(failure) => failure,
        };
        attempts_left = attempts_left.saturating_sub(1);
        let is_full = matches!(
            failure,
            SendFailure::Full | SendFailure::Paused(_) | SendFailure::Cold(_)
        );
        let was_return = match returned_to.take() {
            Some(id) if !is_full => {
                progress.left.retain(|l| l.pick.endpoint != id);
                true
            }
            returned => returned.is_some(),
        };
        if !was_return {
            (running, returned_to) = return_to_left(cx, outbound, progress, last_event);
            if running.is_some() {
                continue;
            }
        }
        let may_return = progress.left.iter().any(|l| !l.was_unneeded);
        let may_have_room = is_full && attempts_left > 0;
        if !may_return && !may_have_room {
            return Err(StreamError::EndpointFailed);
        }
        let left = outbound.deadline.saturating_sub(cx.now());
        tokio::time::sleep(ASK_INTERVAL.min(left)).await;
        progress.forget_refusals();
    }
}

/// Sends a request without an answer once more to a silent endpoint that was left, as that
/// one may be sound and the others have failed.
pub(crate) fn return_before_answer(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    progress: &mut Progress,
    failure: SendFailure,
) -> Option<Attempt> {
    if failure == SendFailure::DeadlineExceeded {
        return None;
    }
    let (running, returned_to) = return_to_left(cx, outbound, progress, None);
    progress
        .left
        .retain(|l| Some(&l.pick.endpoint) != returned_to.as_ref());
    running
}

/// Sends a request once more to the silent endpoint that was left last. Endpoints that
/// have gone since are forgotten.
fn return_to_left(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    progress: &mut Progress,
    last_event: Option<&str>,
) -> (Option<Attempt>, Option<EndpointId>) {
    progress.left.retain(|l| {
        cx.dispatcher()
            .takes_return(cx.now(), &l.pick.endpoint, l.pick.incarnation)
    });
    let Some(pick) = progress.left.last().map(|l| l.pick.clone()) else {
        return (None, None);
    };
    let endpoint = pick.endpoint.clone();
    match reserve_again(cx, outbound, progress, pick) {
        Ok(in_flight) => {
            slog::info!(cx.log, "sent again to a silent endpoint"; "request" => &outbound.id,
                "endpoint" => &endpoint);
            let left = outbound.deadline.saturating_sub(cx.now());
            let attempt = start_attempt(cx, outbound, in_flight, left, last_event);
            (attempt, Some(endpoint))
        }
        Err(KeepReason::RetryBudget) => (None, None),
        Err(_) => {
            progress.left.clear();
            (None, None)
        }
    }
}
