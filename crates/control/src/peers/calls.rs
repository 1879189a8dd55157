//! Calls of a member's own callers, sent over several paths until one answers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_wire::CallError;
use anvilloft_wire::Control;
use anvilloft_wire::ControlReply;
use anvilloft_wire::ControlRequest;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::Request;
use anvilloft_wire::session::HOPS_BY_CONTROL;
use anvilloft_wire::session::HOPS_BY_ROUTER;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use prost::Message as _;
use tokio::time::Instant;

use super::ATTEMPT_TIMEOUT;
use super::Peers;
use super::Target;
use super::changes_state;
use crate::driver::Handle;
use crate::forwarding::Attempt;
use crate::forwarding::End;
use crate::forwarding::Path;
use crate::forwarding::Situation;
use crate::forwarding::Step;

/// Longest pause until it is checked whether another member leads.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum size of a call that is sent again while an earlier attempt is in flight.
const MAX_REPEATED_BYTES: usize = 64 * 1024;

impl Target {
    fn is_same(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Here, Self::Here) => true,
            (Self::Session(a), Self::Session(b)) => Arc::ptr_eq(a, b),
            _ => false,
        }
    }

    fn is_responsive(&self) -> bool {
        match self {
            Self::Here => true,
            Self::Session(session) => session.is_responsive(),
        }
    }
}

/// Receivers of the attempts of one call, and how far the attempts are.
#[derive(Default)]
struct Attempts(Vec<(Target, Attempt)>);

impl Attempts {
    fn of(&self, target: &Target) -> Attempt {
        let found = self.0.iter().find(|(t, _)| t.is_same(target));
        found.map_or(Attempt::None, |(_, attempt)| *attempt)
    }

    fn set(&mut self, target: &Target, attempt: Attempt) {
        match self.0.iter_mut().find(|(t, _)| t.is_same(target)) {
            Some((_, known)) => *known = attempt,
            None => self.0.push((target.clone(), attempt)),
        }
    }
}

impl Peers {
    /// Sends a call over one path to the leader after another, until one of them answers
    /// or `timeout` has passed.
    pub(super) async fn call_over_paths(
        &self,
        handle: &Handle,
        req: &ControlRequest,
        timeout: Duration,
    ) -> ControlReply {
        let changes_state = changes_state(req);
        // Commands are idempotent by their ids or versions. Heartbeats wait behind a large
        // request, so it would go over each path at once.
        let is_repeatable = !matches!(req.request, Some(Request::Group(_)))
            && req.encoded_len() <= MAX_REPEATED_BYTES;
        let start = Instant::now();
        let deadline = start + timeout;
        let status = handle.status();
        let mut attempts = Attempts::default();
        let mut in_flight = FuturesUnordered::new();
        let mut last_attempt: Option<Instant> = None;
        // Kept once it is set: a later refusal says nothing about the outcome of the
        // earlier attempt.
        let mut unknown_outcome = None;
        let mut last_refusal = None;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let (leader, leaderless_since) = {
                let status = status.borrow();
                (status.leader, status.leaderless_since)
            };
            let targets = self.paths(leader);
            let paths: Vec<Path> = targets
                .iter()
                .map(|(end, target)| Path {
                    end: *end,
                    is_responsive: target.is_responsive(),
                    attempt: attempts.of(target),
                })
                .collect();
            let situation = Situation {
                elapsed: start.elapsed(),
                since_attempt: last_attempt.map(|at| at.elapsed()),
                leaderless: leaderless_since.map(|at| at.elapsed()),
                election_time: self.election_time,
                paths: &paths,
                allows_further: is_repeatable && self.further_attempts.available_permits() > 0,
            };
            let step = match left.is_zero() {
                true => Step::Refuse,
                false => situation.next_step(),
            };
            let pause = match step {
                Step::Refuse => {
                    if changes_state && !in_flight.is_empty() {
                        unknown_outcome.get_or_insert_with(|| "no reply in time".to_owned());
                    }
                    if let Some(reason) = unknown_outcome.filter(|_| changes_state) {
                        return Answer::Unknown(reason).into();
                    }
                    let reason = refusal_reason(leader.is_some(), &paths, last_refusal);
                    return Answer::Unavailable(reason).into();
                }
                Step::Wait(pause) => pause,
                Step::Try(index) => {
                    let further_permit = match in_flight.is_empty() {
                        true => None,
                        false => self.further_attempts.try_acquire().ok(),
                    };
                    let (end, target) = targets[index].clone();
                    attempts.set(&target, Attempt::InFlight);
                    last_attempt = Some(Instant::now());
                    let limit = left.min(ATTEMPT_TIMEOUT);
                    in_flight.push(async move {
                        let _permit = further_permit;
                        let result = self.attempt(handle, req, end, &target, limit).await;
                        (target, result)
                    });
                    Duration::ZERO
                }
            };
            tokio::select! {
                biased;
                Some((target, result)) = in_flight.next(), if !in_flight.is_empty() => {
                    attempts.set(&target, Attempt::Failed);
                    match result.and_then(ControlReply::into_result) {
                        Ok(reply) if matches!(reply.answer, Some(Answer::NotLeader(_))) => (),
                        Ok(reply) => return reply,
                        Err(CallError::Unknown(reason)) => unknown_outcome = Some(reason),
                        Err(CallError::Unavailable(reason)) => last_refusal = Some(reason),
                    }
                }
                () = tokio::time::sleep(pause.min(left).min(LEADER_CHECK_INTERVAL)) => {}
            }
        }
    }

    async fn attempt(
        &self,
        handle: &Handle,
        req: &ControlRequest,
        end: End,
        target: &Target,
        limit: Duration,
    ) -> Result<ControlReply, CallError> {
        let session = match target {
            Target::Here => return handle.call(req.clone(), limit).await,
            Target::Session(session) => session,
        };
        self.forwarded.fetch_add(1, Ordering::Relaxed);
        let hops = match end {
            End::Leader => HOPS_BY_CONTROL,
            // That member forwards it to the leader only.
            End::Other => HOPS_BY_ROUTER,
        };
        session.probe();
        session.call(req.clone(), limit, hops).await
    }
}

/// Returns why a call isn't answered.
fn refusal_reason(has_leader: bool, paths: &[Path], last_refusal: Option<String>) -> String {
    if !has_leader {
        return "no leader is known".to_owned();
    }
    let mut to_leader = paths.iter().filter(|p| p.end == End::Leader);
    if to_leader.clone().count() == 0 {
        return "there is no session with the leader".to_owned();
    }
    if to_leader.all(|p| !p.is_responsive) {
        return "the sessions with the leader are silent".to_owned();
    }
    last_refusal.unwrap_or_else(|| "no reply of the leader in time".to_owned())
}
