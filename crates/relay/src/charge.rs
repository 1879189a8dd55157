//! The tokens of a request, from the reservation to the settlement.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvilloft_budget::GrantRefusal;
use anvilloft_budget::NeedId;
use anvilloft_budget::ReservationId;
use anvilloft_gateway::Refusal;
use anvilloft_ledger::prepaid_budget;
use anvilloft_routes::Service;
use anvilloft_routes::Team;
use anvilloft_types::prelude::*;
use http::StatusCode;

use crate::adapter::TokenCounts;
use crate::forward::SERVICE_AGAIN;
use crate::loans::Source;
use crate::loans::gather;
use crate::loans::settle_all;
use crate::purse::NoTokens;
use crate::shared::Shared;

/// Longest wait for a grant of tokens. Control waits 300 ms for tokens that
/// other routers give back; the rest covers the way there and an election.
const GRANT_WAIT: Duration = Duration::from_millis(900);
/// When to come back while tokens are short: reservations of requests in
/// flight end within seconds and give back what they did not use.
const TOKENS_AGAIN: Duration = Duration::from_millis(1_500);

/// What a request reserved, and what it has used so far. Settles when it is
/// dropped, also when the caller leaves.
pub(crate) struct Charge {
    cx: Arc<Shared>,
    /// Id of the request, for logs.
    id: String,
    team: TeamId,
    sources: Vec<Source>,
    counts: TokenCounts,
    tokens_per_event: Tokens,
    /// Whether an endpoint began to answer. A request of which the caller saw
    /// nothing costs the team nothing.
    pub(crate) ran: bool,
    /// Events that left for the caller.
    pub(crate) events: u64,
}

impl Charge {
    fn used(&self) -> Tokens {
        if !self.ran && self.events == 0 {
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
        settle_all(&self.cx, sources, used);
    }
}

/// A wait for a grant; one that is dropped leaves the queue.
struct Waiting<'a> {
    cx: &'a Shared,
    budget: &'a str,
    need: Option<NeedId>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(need) = self.need.take() {
            self.cx.purse.give_up(self.cx.now(), self.budget, need);
        }
    }
}

/// Reserves the most that a model request may use.
pub(crate) async fn reserve(
    cx: &Arc<Shared>,
    id: &str,
    service: &Service,
    team: Option<&Team>,
    counts: Option<TokenCounts>,
    end: Duration,
) -> Result<Option<Charge>, Refusal> {
    let (Some(engine), Some(counts)) = (service.engine, counts) else {
        return Ok(None);
    };
    let Some(team) = team.filter(|t| t.prepaid.is_some()) else {
        return Ok(None);
    };
    let budget = prepaid_budget(&team.name);
    let sources = match granted(cx, &budget, counts.max_total(), end).await {
        Ok(id) => vec![Source::Own(id, counts.max_total())],
        Err(why) => borrow(cx, id, &budget, counts.max_total(), why, end).await?,
    };
    Ok(Some(Charge {
        cx: Arc::clone(cx),
        id: id.to_owned(),
        team: team.name.clone(),
        sources,
        counts,
        tokens_per_event: engine.tokens_per_event.into(),
        ran: false,
        events: 0,
    }))
}

/// Why this router and control have no tokens for a request.
enum Short {
    /// Control granted less than the request may use.
    Refused(GrantRefusal),
    /// Control gave no answer in time.
    Silent,
    /// Too many requests wait for tokens.
    Crowded,
}

impl Short {
    /// Returns the word for logs.
    fn as_str(&self) -> &'static str {
        match self {
            Self::Refused(_) => "refused",
            Self::Silent => "silent",
            Self::Crowded => "not asked",
        }
    }
}

/// Reserves tokens of this router's allotment, which control may add to.
async fn granted(
    cx: &Shared,
    budget: &str,
    amount: Tokens,
    end: Duration,
) -> Result<ReservationId, Short> {
    let now = cx.now();
    let (need, rx) = match cx.purse.reserve(now, budget, amount) {
        Ok(id) => return Ok(id),
        Err(NoTokens::Crowded) => return Err(Short::Crowded),
        Err(NoTokens::Wait(need, rx)) => (need, rx),
    };
    let mut waiting = Waiting {
        cx,
        budget,
        need: Some(need),
    };
    if !cx.in_touch.load(Ordering::Relaxed) {
        return Err(Short::Silent);
    }
    let wait = GRANT_WAIT.min(end.saturating_sub(now));
    match tokio::time::timeout(wait, rx).await {
        Ok(Ok(outcome)) => {
            waiting.need = None;
            outcome.map_err(Short::Refused)
        }
        _ => Err(Short::Silent),
    }
}

/// Gathers tokens from this router, its peers and the rest of the budget.
async fn borrow(
    cx: &Arc<Shared>,
    id: &str,
    budget: &str,
    amount: Tokens,
    why: Short,
    end: Duration,
) -> Result<Vec<Source>, Refusal> {
    if let Short::Refused(refusal @ GrantRefusal::Refused(..)) = &why {
        return Err(refused(refusal, amount));
    }
    let mut gathered = gather(cx, budget, amount).await;
    let missing = amount.saturating_sub(gathered.amount());
    if missing == 0 {
        return Ok(gathered.take());
    }
    anvilloft_telemetry::decision!(cx.log, "tokens"; "request" => id, "budget" => budget,
        "need" => amount, "gathered" => gathered.amount(), "control" => why.as_str(),
        "peers" => cx.peers.get().map_or(0, |p| p.router_sessions().len()),
        "in_touch" => cx.in_touch.load(Ordering::Relaxed));
    match &why {
        Short::Refused(refusal @ GrantRefusal::Insufficient(unspent, _)) => {
            if *unspent >= missing
                && let Ok(id) = granted(cx, budget, missing, end).await
            {
                gathered.push(Source::Own(id, missing));
                return Ok(gathered.take());
            }
            Err(refused(refusal, amount))
        }
        Short::Crowded => Err(tokens_short("too many requests wait for tokens")),
        _ => Err(tokens_short(
            "control, which grants tokens, can't be reached, and peers have too few",
        )),
    }
}

fn refused(refusal: &GrantRefusal, most: Tokens) -> Refusal {
    match refusal {
        // What other routers hold may be for requests that use less.
        GrantRefusal::Insufficient(unspent, allotted)
            if unspent.saturating_add(*allotted) >= most =>
        {
            tokens_short("the rest of the budget is reserved for requests in flight")
        }
        GrantRefusal::Insufficient(unspent, _) => Refusal::new(
            StatusCode::PAYMENT_REQUIRED,
            "budget_exhausted",
            format!("the budget has {unspent} tokens left, the request may use {most}"),
        ),
        GrantRefusal::Refused(code, message) => Refusal::unavailable(
            "budget_unavailable",
            format!("the budget can't be drawn on: {message} ({code})"),
        )
        .retry_after(SERVICE_AGAIN),
    }
}

fn tokens_short(reason: &str) -> Refusal {
    Refusal::new(StatusCode::TOO_MANY_REQUESTS, "tokens_short", reason).retry_after(TOKENS_AGAIN)
}
