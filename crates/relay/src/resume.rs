//! Search for an endpoint that goes on with a broken stream, and checks of its answer.
//!
//! The caller has the header and some events of the first answer. Nothing but the
//! following events may be joined to them.

use std::sync::Arc;

use anvilloft_dispatch::Outcome;
use anvilloft_gateway::client::EndpointResponse;
use http::StatusCode;
use http::header;

use crate::attempt::Attempt;
use crate::attempt::EndpointAnswer;
use crate::attempt::OutboundRequest;
use crate::attempt::Progress;
use crate::attempt::SendFailure;
use crate::attempt::send_request;
use crate::events::EventSplitter;
use crate::state::RelayState;

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
