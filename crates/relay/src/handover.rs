//! Move of a request from a silent endpoint to another one.
//!
//! The silent endpoint may be sound, so its connection stays open until the other
//! endpoint has the request. Both have it for [`HANDOVER_TIMEOUT`] at most.

use std::future::Future;
use std::sync::Arc;

use anvilloft_dispatch::KeepReason;
use anvilloft_gateway::client::ClientError;
use anvilloft_gateway::client::SendError;
use anvilloft_types::prelude::*;

use crate::attempt::Attempt;
use crate::attempt::AttemptResult;
use crate::attempt::OutboundRequest;
use crate::attempt::Progress;
use crate::attempt::SendResult;
use crate::attempt::judge;
use crate::attempt::may_send_again;
use crate::attempt::reserve_endpoint;
use crate::attempt::start_attempt;
use crate::state::RelayState;

/// Maximum time for which two endpoints have the same request. An endpoint that is
/// full says so at once.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which another endpoint is asked for again.
pub(crate) const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// Which came first during a handover.
pub(crate) enum First<T> {
    /// The current endpoint was heard.
    Current(T),
    /// The other endpoint was heard.
    Other(Box<SendResult>),
    /// Neither of them, and the other one has the request.
    Nobody,
}

/// Waits for either endpoint during a handover.
pub(crate) async fn wait_for_either<T>(
    current: impl Future<Output = T>,
    other: &mut Attempt,
) -> First<T> {
    tokio::select! {
        biased;
        result = current => First::Current(result),
        sent = &mut other.sent => First::Other(Box::new(sent)),
        () = tokio::time::sleep(HANDOVER_TIMEOUT) => match other.is_connected() {
            true => First::Nobody,
            false => First::Other(Box::new(Err(SendError {
                error: ClientError::Timeout("connection"),
                written: false,
            }))),
        },
    }
}

/// Sends the request to another endpoint while it is still at the current one.
///
/// `sent` is the number of endpoints that have received the request.
///
/// # Errors
///
/// Returns why no other endpoint may have it. Nothing was sent then.
pub(crate) fn start_handover(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    progress: &mut Progress,
    sent: u32,
    last_event: Option<&str>,
) -> Result<Attempt, KeepReason> {
    let left = outbound.deadline.saturating_sub(cx.now());
    if left <= HANDOVER_TIMEOUT {
        return Err(KeepReason::Deadline);
    }
    let mut state = progress.state(outbound);
    state.sent = sent;
    state.may_have_run = true;
    may_send_again(cx, outbound, &state)?;
    let in_flight = reserve_endpoint(cx, outbound, progress)?;
    start_attempt(cx, outbound, in_flight, left, last_event).ok_or(KeepReason::NoneUsable)
}

/// Returns whether a silent endpoint has answered other requests since it was heard.
/// It's kept then unless another endpoint answers at once: the other may only have
/// queued the request.
pub(crate) fn is_alive(cx: &RelayState, endpoint: &str, silent_for: Duration) -> bool {
    let heard_at = cx.now().saturating_sub(silent_for);
    cx.dispatcher().has_answered_since(endpoint, heard_at)
}

/// Logs what is done about a silent endpoint, once for each decision.
pub(crate) fn log_silence(
    cx: &RelayState,
    outbound: &OutboundRequest,
    endpoint: &str,
    silent_for: Duration,
    other: Result<&str, KeepReason>,
) {
    let silent_ms = silent_for.as_millis() as u64;
    match other {
        Ok(other) => {
            slog::info!(cx.log, "endpoint silent"; "request" => &outbound.id,
                "endpoint" => endpoint, "silent_ms" => silent_ms, "asked" => other);
        }
        Err(reason) => {
            slog::info!(cx.log, "endpoint silent"; "request" => &outbound.id,
                "endpoint" => endpoint, "silent_ms" => silent_ms, "reason" => reason.as_str());
        }
    }
}

/// Logs that a silent endpoint is kept because it answers other requests.
pub(crate) fn log_kept(cx: &RelayState, outbound: &OutboundRequest, endpoint: &str) {
    slog::info!(cx.log, "endpoint silent"; "request" => &outbound.id, "endpoint" => endpoint,
        "reason" => "answers_others");
}

/// Waits for an answer to an attempt. Returns the result of one attempt, and another
/// one that still runs.
///
/// A request that may run twice is offered to another endpoint when this one is
/// silent for longer than the stall timeout.
pub(crate) async fn wait_for_answer(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    progress: &mut Progress,
    mut attempt: Attempt,
    last_event: Option<&str>,
) -> (AttemptResult, Option<Attempt>) {
    if !outbound.kind.is_retryable() {
        let sent = (&mut attempt.sent).await;
        return (judge(cx, outbound, attempt, sent).await, None);
    }
    let mut timer = attempt.silence_timer(outbound);
    let mut kept_for = None;
    loop {
        let wait = timer.until_ask(cx.now());
        if let Ok(sent) = tokio::time::timeout(wait, &mut attempt.sent).await {
            return (judge(cx, outbound, attempt, sent).await, None);
        }
        let now = cx.now();
        timer.asked(now);
        let silent_for = timer.silent_for(now);
        let endpoint = attempt.in_flight.pick.endpoint.clone();
        let sent_count = progress.sent_count + 1;
        let mut other = match start_handover(cx, outbound, progress, sent_count, last_event) {
            Ok(other) => other,
            Err(reason) => {
                if kept_for.replace(reason) != Some(reason) {
                    log_silence(cx, outbound, &endpoint, silent_for, Err(reason));
                }
                continue;
            }
        };
        let asked = Ok(other.in_flight.pick.endpoint.as_str());
        log_silence(cx, outbound, &endpoint, silent_for, asked);
        match wait_for_either(&mut attempt.sent, &mut other).await {
            First::Current(sent) => {
                let result = judge(cx, outbound, attempt, sent).await;
                return (result, Some(other));
            }
            First::Other(sent) => match judge(cx, outbound, other, *sent).await {
                AttemptResult::Answered(answered) if answered.answer.status.is_success() => {
                    attempt.give_up();
                    progress.record_given_up();
                    return (AttemptResult::Answered(answered), None);
                }
                AttemptResult::Answered(answered) => {
                    answered.discard(cx, outbound);
                    progress.record_given_up();
                }
                result => progress.record(&result),
            },
            First::Nobody if is_alive(cx, &endpoint, timer.silent_for(cx.now())) => {
                log_kept(cx, outbound, &endpoint);
                drop(other);
                progress.record_given_up();
            }
            First::Nobody => {
                attempt.give_up();
                return (AttemptResult::Unknown, Some(other));
            }
        }
    }
}
