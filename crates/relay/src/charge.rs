//! Reservation and settlement of the tokens of a request.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvilloft_budget::GrantRefusal;
use anvilloft_budget::NeedId;
use anvilloft_budget::ReservationId;
use anvilloft_budget::Shortage;
use anvilloft_gateway::Refusal;
use anvilloft_ledger::prepaid_budget;
use anvilloft_routes::Service;
use anvilloft_routes::Team;
use anvilloft_types::prelude::*;
use http::StatusCode;

use crate::adapter::TokenCounts;
use crate::forward::RETRY_AFTER_UNAVAILABLE;
use crate::loans::TokenSource;
use crate::loans::draw_tokens;
use crate::loans::gather_tokens;
use crate::loans::settle_all;
use crate::reservations::ReserveError;
use crate::state::RelayState;

/// Maximum wait for a grant of tokens. Control waits 300 ms for tokens that other
/// routers return; the rest covers the network and an election.
const GRANT_TIMEOUT: Duration = Duration::from_millis(900);
/// `Retry-After` of refusals because tokens are short. Reservations of requests in
/// flight end within seconds, and their unused tokens are returned.
const RETRY_AFTER_TOKENS_SHORT: Duration = Duration::from_millis(1_500);

/// Reason of a refusal while control doesn't reply.
const NO_CONTROL: &str =
    "control, which grants tokens, can't be reached, and peers have too few tokens";

/// Reserved tokens of a request, and its usage so far. The reservation is settled
/// on drop, also when the caller disconnects.
pub(crate) struct Charge {
    cx: Arc<RelayState>,
    /// Id of the request, for logs.
    id: String,
    team: TeamId,
    sources: Vec<TokenSource>,
    counts: TokenCounts,
    tokens_per_event: Tokens,
    /// Whether an endpoint began to answer. If none did, the request is not
    /// charged.
    pub(crate) has_run: bool,
    /// Number of events that were sent to the caller.
    pub(crate) events: u64,
}

impl Charge {
    /// Returns the number of tokens used so far.
    fn used(&self) -> Tokens {
        if !self.has_run && self.events == 0 {
            return 0;
        }
        let output = self.events.saturating_mul(self.tokens_per_event);
        let output = output.min(self.counts.max_output);
        self.counts.prompt.saturating_add(output)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let sources = std::mem::take(&mut self.sources);
        let used = self.used();
        slog::info!(self.cx.log, "settled"; "request" => &self.id, "team" => &self.team,
            "reserved" => self.counts.max_total(), "used" => used, "events" => self.events,
            "sources" => sources.len());
        // A request that was refused says nothing about those that run.
        if self.has_run {
            let reserved = sources.iter().map(TokenSource::amount).sum();
            let budget = prepaid_budget(&self.team);
            self.cx.reservations.record_usage(&budget, reserved, used);
        }
        settle_all(&self.cx, sources, used);
    }
}

/// A request that waits for a grant. Dropping it removes it from the queue.
struct GrantWait<'a> {
    cx: &'a RelayState,
    budget: &'a str,
    need: Option<NeedId>,
}

impl Drop for GrantWait<'_> {
    fn drop(&mut self) {
        if let Some(need) = self.need.take() {
            self.cx
                .reservations
                .cancel_wait(self.cx.now(), self.budget, need);
        }
    }
}

/// Reserves the maximum number of tokens that a model request may use. Returns
/// `None` for requests that aren't charged.
pub(crate) async fn reserve(
    cx: &Arc<RelayState>,
    id: &str,
    service: &Service,
    team: Option<&Team>,
    counts: Option<TokenCounts>,
    deadline: Duration,
) -> Result<Option<Charge>, Refusal> {
    let (Some(engine), Some(counts)) = (service.engine, counts) else {
        return Ok(None);
    };
    let Some(team) = team.filter(|t| t.prepaid.is_some()) else {
        return Ok(None);
    };
    let budget = prepaid_budget(&team.name);
    let sources = reserve_tokens(cx, id, &budget, counts.max_total(), deadline).await?;
    Ok(Some(Charge {
        cx: Arc::clone(cx),
        id: id.to_owned(),
        team: team.name.clone(),
        sources,
        counts,
        tokens_per_event: engine.tokens_per_event.into(),
        has_run: false,
        events: 0,
    }))
}

/// Reserves tokens of this router, of the holder of its reserve, by a grant of control or
/// by loans of peers, whichever has them first.
async fn reserve_tokens(
    cx: &Arc<RelayState>,
    id: &str,
    budget: &str,
    amount: Tokens,
    deadline: Duration,
) -> Result<Vec<TokenSource>, Refusal> {
    let has_few_requests = cx.reservations.record_request(cx.now(), budget, amount);
    if !has_few_requests {
        cx.reservations.set_drawn(budget, false);
    } else if let Some(sources) = draw_tokens(cx, budget, amount, deadline).await {
        return Ok(sources);
    }
    match reserve_own(cx, budget, amount, deadline).await {
        Ok(id) => Ok(vec![TokenSource::Own(id, amount)]),
        Err(failure) => reserve_with_loans(cx, id, budget, amount, failure, deadline).await,
    }
}

/// Why a request got no tokens from this router and control.
enum GrantFailure {
    /// Control refused the grant or granted too few tokens.
    Refused(GrantRefusal),
    /// Control is unreachable or did not reply in time.
    NoReply,
    /// Too many requests wait for tokens, so control was not asked.
    QueueFull,
}

impl GrantFailure {
    /// Returns the tokens of the budget, if control told them.
    fn shortage(&self) -> Option<Shortage> {
        match self {
            Self::Refused(GrantRefusal::Insufficient(shortage)) => Some(*shortage),
            _ => None,
        }
    }

    /// Returns the name for logs.
    fn as_str(&self) -> &'static str {
        match self {
            Self::Refused(_) => "refused",
            Self::NoReply => "silent",
            Self::QueueFull => "not asked",
        }
    }
}

/// Reserves tokens of this router's allotment, waiting for a grant if needed.
async fn reserve_own(
    cx: &RelayState,
    budget: &str,
    amount: Tokens,
    deadline: Duration,
) -> Result<ReservationId, GrantFailure> {
    let now = cx.now();
    let (need, rx) = match cx.reservations.reserve(now, budget, amount) {
        Ok(id) => return Ok(id),
        Err(ReserveError::QueueFull) => return Err(GrantFailure::QueueFull),
        Err(ReserveError::Queued(need, rx)) => (need, rx),
    };
    let mut waiting = GrantWait {
        cx,
        budget,
        need: Some(need),
    };
    if !cx.control_reachable.load(Ordering::Relaxed) {
        return Err(GrantFailure::NoReply);
    }
    let wait = GRANT_TIMEOUT.min(deadline.saturating_sub(now));
    match tokio::time::timeout(wait, rx).await {
        Ok(Ok(outcome)) => {
            waiting.need = None;
            outcome.map_err(GrantFailure::Refused)
        }
        _ => Err(GrantFailure::NoReply),
    }
}

/// Reserves tokens from this router, its peers and the rest of the budget.
async fn reserve_with_loans(
    cx: &Arc<RelayState>,
    id: &str,
    budget: &str,
    amount: Tokens,
    failure: GrantFailure,
    deadline: Duration,
) -> Result<Vec<TokenSource>, Refusal> {
    if let GrantFailure::Refused(GrantRefusal::Refused(code, message)) = &failure {
        return Err(Refusal::unavailable(
            "budget_unavailable",
            format!("control refused tokens of the budget: {message} ({code})"),
        )
        .retry_after(RETRY_AFTER_UNAVAILABLE));
    }
    let mut gathered = gather_tokens(cx, budget, amount, deadline).await;
    let missing = amount.saturating_sub(gathered.amount());
    if missing == 0 {
        return Ok(gathered.into_sources());
    }
    anvilloft_telemetry::decision!(cx.log, "tokens"; "request" => id, "budget" => budget,
        "need" => amount, "gathered" => gathered.amount(), "control" => failure.as_str(),
        "unspent" => failure.shortage().map(|s| s.unspent),
        "allotted" => failure.shortage().map(|s| s.allotted),
        "locked" => failure.shortage().map(|s| s.locked),
        "peers" => cx.peers.get().map_or(0, |p| p.router_sessions().len()),
        "in_touch" => cx.control_reachable.load(Ordering::Relaxed));
    let shortage = match failure {
        GrantFailure::Refused(GrantRefusal::Insufficient(shortage)) => shortage,
        GrantFailure::QueueFull => {
            return Err(tokens_short(
                "too many requests at this router wait for tokens",
            ));
        }
        _ => return Err(tokens_short(NO_CONTROL)),
    };
    if shortage.unspent >= missing {
        match reserve_own(cx, budget, missing, deadline).await {
            Ok(id) => {
                gathered.push(TokenSource::Own(id, missing));
                return Ok(gathered.into_sources());
            }
            Err(GrantFailure::Refused(_)) => {}
            Err(_) => return Err(tokens_short(NO_CONTROL)),
        }
    }
    // Idle tokens at routers that weren't asked can't be told from those in use.
    let rest = shortage.without(gathered.amount());
    if !gathered.has_asked_all() || rest.may_cover(missing, &cx.reservations.usage(budget)) {
        return Err(tokens_short(
            "the rest of the budget is reserved at routers, which may return enough of it",
        ));
    }
    Err(Refusal::new(
        StatusCode::PAYMENT_REQUIRED,
        "budget_exhausted",
        format!(
            "the budget has {} tokens left and {} at routers, of which too few will be \
             returned; the request may use {amount}",
            shortage.unspent, shortage.allotted
        ),
    ))
}

fn tokens_short(reason: &str) -> Refusal {
    Refusal::new(StatusCode::TOO_MANY_REQUESTS, "tokens_short", reason)
        .retry_after(RETRY_AFTER_TOKENS_SHORT)
}
