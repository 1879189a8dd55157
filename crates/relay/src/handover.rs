//! Move of a request from a silent endpoint to another one.
//!
//! The silent endpoint may be sound, so its connection stays open until the other
//! endpoint has the request. Two engines have it for [`HANDOVER_TIMEOUT`] at most; other
//! endpoints keep it until one of them is heard.

use std::future::Future;
use std::sync::Arc;

use anvilloft_dispatch::Evidence;
use anvilloft_dispatch::KeepReason;
use anvilloft_dispatch::SilenceTimer;
use anvilloft_gateway::client::ClientError;
use anvilloft_gateway::client::SendError;
use anvilloft_types::prelude::*;

use crate::attempt::Attempt;
use crate::attempt::AttemptResult;
use crate::attempt::InFlightRequest;
use crate::attempt::OutboundRequest;
use crate::attempt::SendResult;
use crate::attempt::judge;
use crate::attempt::may_send_again;
use crate::attempt::reserve_endpoint;
use crate::attempt::start_attempt;
use crate::progress::LeftEndpoint;
use crate::progress::Progress;
use crate::state::RelayState;

/// Maximum time for which two engines have the same request, and for which a connection
/// to the other endpoint may take. An endpoint that is full says so at once.
pub(crate) const HANDOVER_TIMEOUT: Duration = Duration::from_millis(200);
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

/// An endpoint that has a request and is silent.
pub(crate) struct SilentEndpoint<'a> {
    pub(crate) id: &'a str,
    pub(crate) silence: SilenceTimer,
    /// Number of endpoints that have received the request, with this one.
    pub(crate) sent_count: u32,
}

/// Waits for either endpoint during a handover, for [`HANDOVER_TIMEOUT`].
pub(crate) async fn wait_for_either<T>(
    current: impl Future<Output = T>,
    other: &mut Attempt,
) -> First<T> {
    wait_for_either_within(current, other, HANDOVER_TIMEOUT).await
}

async fn wait_for_either_within<T>(
    current: impl Future<Output = T>,
    other: &mut Attempt,
    timeout: Duration,
) -> First<T> {
    tokio::select! {
        biased;
        result = current => First::Current(result),
        sent = &mut other.sent => First::Other(Box::new(sent)),
        () = tokio::time::sleep(timeout) => match other.is_connected() {
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
/// # Errors
///
/// Returns why no other endpoint may have it. Nothing was sent then.
pub(crate) fn start_handover(
    cx: &Arc<RelayState>,
    outbound: &OutboundRequest,
    progress: &mut Progress,
    silent: &SilentEndpoint<'_>,
    last_event: Option<&str>,
) -> Result<Attempt, KeepReason> {
    let now = cx.now();
    let left = outbound.deadline.saturating_sub(now);
    if left <= HANDOVER_TIMEOUT {
        return Err(KeepReason::Deadline);
    }
    let mut state = progress.state(outbound);
    state.sent = silent.sent_count;
    state.may_have_run = true;
    may_send_again(cx, outbound, &state)?;
    let is_alive = is_alive(cx, silent.id, silent.silence.silent_for(now));
    let needs_free_slot = silent.silence.needs_free_slot(now, is_alive);
    let in_flight = reserve_endpoint(cx, outbound, progress, needs_free_slot)?;
    start_attempt(cx, outbound, in_flight, left, last_event).ok_or(KeepReason::NoneUsable)
}

/// Returns how long two endpoints that weren't heard may both keep a request: until a
/// third one may be asked, if that is allowed.
fn overlap_limit(
    cx: &RelayState,
    outbound: &OutboundRequest,
    progress: &Progress,
    other: &Attempt,
) -> Duration {
    let now = cx.now();
    let mut state = progress.state(outbound);
    state.sent += 2;
    state.may_have_run = true;
    match may_send_again(cx, outbound, &state) {
        Ok(()) => other.silence_timer(outbound).until_ask(now),
        Err(_) => outbound.deadline.saturating_sub(now),
    }
}

/// Returns whether a silent endpoint has answered other requests since it was heard.
/// It's kept then unless another endpoint answers at once: the other may only have
/// queued the request.
pub(crate) fn is_alive(cx: &RelayState, endpoint: &str, silent_for: Duration) -> bool {
    let heard_at = cx.now().saturating_sub(silent_for);
    cx.dispatcher().has_answered_since(endpoint, heard_at)
}

/// Returns what supports asking another endpoint than the silent one, or `None` if that one
/// is kept.
pub(crate) fn evidence_against(
    cx: &RelayState,
    silence: &SilenceTimer,
    in_flight: &InFlightRequest,
) -> Option<Evidence> {
    let now = cx.now();
    let pick = &in_flight.pick;
    let since = in_flight.sent_at;
    let suspicion = cx
        .dispatcher()
        .suspicion(now, &pick.endpoint, pick.incarnation, since);
    silence.evidence(now, suspicion)
}

/// Logs what is done about a silent endpoint, once for each decision. An endpoint that was
/// asked is logged with the evidence against the silent one.
pub(crate) fn log_silence(
    cx: &RelayState,
    outbound: &OutboundRequest,
    endpoint: &str,
    silent_for: Duration,
    other: Result<(&str, Evidence), KeepReason>,
) {
    let silent_ms = silent_for.as_millis() as u64;
    match other {
        Ok((other, evidence)) => {
            slog::info!(cx.log, "endpoint silent"; "request" => &outbound.id,
                "endpoint" => endpoint, "silent_ms" => silent_ms, "asked" => other,
                "evidence" => evidence.as_str());
        }
        Err(reason) => {
            slog::info!(cx.log, "endpoint silent"; "request" => &outbound.id,
                "endpoint" => endpoint, "silent_ms" => silent_ms, "reason" => reason.as_str());
        }
    }
}

/// Closes the connection of an attempt at a silent endpoint, which may be sound.
fn leave(cx: &RelayState, attempt: Attempt, progress: &mut Progress, evidence: Evidence) {
    cx.metrics.record_silent_endpoint_left(evidence.as_str());
    progress.record_left(LeftEndpoint::before_events(&attempt.in_flight.pick));
    attempt.give_up();
}

/// Waits for an answer to an attempt. Returns the result of one attempt, and another
/// one that still runs.
///
/// A request that may run twice is offered to another endpoint when this one is
/// silent for longer than the stall timeout, or for longer than that if it may be a sound
/// engine.
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
    let mut timer = match last_event {
        Some(_) => attempt.silence_timer(outbound),
        None => outbound.first_event_timer(attempt.in_flight.sent_at, attempt.in_flight.sent_at),
    };
    let mut kept_for = None;
    loop {
        let wait = timer.until_ask(cx.now());
        if let Ok(sent) = tokio::time::timeout(wait, &mut attempt.sent).await {
            return (judge(cx, outbound, attempt, sent).await, None);
        }
        let now = cx.now();
        let silent_for = timer.silent_for(now);
        let endpoint = attempt.in_flight.pick.endpoint.clone();
        let Some(evidence) = evidence_against(cx, &timer, &attempt.in_flight) else {
            timer.kept(now);
            let reason = KeepReason::NoEvidence;
            if kept_for.replace(reason) != Some(reason) {
                log_silence(cx, outbound, &endpoint, silent_for, Err(reason));
            }
            continue;
        };
        timer.asked(now);
        let silent = SilentEndpoint {
            id: &endpoint,
            silence: timer,
            sent_count: progress.sent_count + 1,
        };
        let mut other = match start_handover(cx, outbound, progress, &silent, last_event) {
            Ok(other) => other,
            Err(reason) => {
                if kept_for.replace(reason) != Some(reason) {
                    log_silence(cx, outbound, &endpoint, silent_for, Err(reason));
                }
                continue;
            }
        };
        let asked = Ok((other.in_flight.pick.endpoint.as_str(), evidence));
        log_silence(cx, outbound, &endpoint, silent_for, asked);
        let mut first = wait_for_either(&mut attempt.sent, &mut other).await;
        if matches!(first, First::Nobody) && outbound.may_overlap() {
            let limit = overlap_limit(cx, outbound, progress, &other);
            first = wait_for_either_within(&mut attempt.sent, &mut other, limit).await;
        }
        match first {
            First::Current(sent) => {
                let result = judge(cx, outbound, attempt, sent).await;
                return (result, Some(other));
            }
            First::Other(sent) => match judge(cx, outbound, other, *sent).await {
                AttemptResult::Answered(answered) if answered.answer.status.is_success() => {
                    leave(cx, attempt, progress, evidence);
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
                let silent_for = timer.silent_for(cx.now());
                let reason = Err(KeepReason::AnswersOthers);
                log_silence(cx, outbound, &endpoint, silent_for, reason);
                drop(other);
                progress.record_given_up();
            }
            First::Nobody => {
                leave(cx, attempt, progress, evidence);
                return (AttemptResult::Unknown, Some(other));
            }
        }
    }
}
