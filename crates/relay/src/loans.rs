//! Tokens that routers lend to each other.
//!
//! The load that this answers: a small team's budget is divided among all
//! routers, and none of them has enough for the next request; or every router
//! is cut off from control, which could divide it anew. The router that runs a
//! request reserves what it has, borrows the rest from peers, and tells each
//! lender what was used. Lenders settle loans as their own work, so the ledger
//! sees no difference, and a loan whose end is never told counts as used up.

use std::collections::HashMap;
use std::sync::Arc;

use anvilloft_budget::ReservationId;
use anvilloft_types::prelude::*;
use anvilloft_wire::ControlReply;
use anvilloft_wire::ControlRequest;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::LoanRequest;
use anvilloft_wire::control::Request;
use anvilloft_wire::frame::LoanEnd;
use anvilloft_wire::frame::Payload;
use anvilloft_wire::session::PeerCallHandler;
use anvilloft_wire::session::Session;

use crate::shared::Shared;

/// Longest wait for a peer's answer. Ten round trips within a city.
const ASK: Duration = Duration::from_millis(60);
/// Peers that are asked for one request, at most.
const MAX_PEERS: usize = 12;
/// Time after which a loan that was not ended counts as used up. Longer than
/// any request of the table runs.
const LOAN_LIMIT: Duration = Duration::from_secs(60);
/// Loans that are open at once, at most.
const MAX_LOANS: usize = 4_096;

/// Tokens that a request holds, and where they come from.
pub(crate) enum Source {
    /// This router's own allotment.
    Own(ReservationId, Tokens),
    /// A peer's allotment.
    Peer(Arc<Session>, u64, Tokens),
}

impl Source {
    pub(crate) fn amount(&self) -> Tokens {
        match self {
            Self::Own(_, amount) | Self::Peer(_, _, amount) => *amount,
        }
    }

    /// Settles with what was used of it.
    pub(crate) fn settle(self, cx: &Shared, used: Tokens) {
        match self {
            Self::Own(id, _) => cx.purse.settle(cx.now(), id, used),
            Self::Peer(session, loan, _) => {
                let end = Payload::LoanEnd(LoanEnd {
                    loan_id: loan,
                    used,
                });
                if session.send(end).is_err() {
                    // The lender counts the loan as used up.
                    slog::info!(cx.log, "loan not ended"; "peer" => &session.peer().node,
                        "loan" => loan, "used" => used);
                }
            }
        }
    }
}

/// Settles a request over its sources, in their order.
pub(crate) fn settle_all(cx: &Shared, sources: Vec<Source>, used: Tokens) {
    let mut left = used;
    for source in sources {
        let part = left.min(source.amount());
        left -= part;
        source.settle(cx, part);
    }
}

/// Sources that are given back when the request is given up meanwhile.
pub(crate) struct Gathered<'a> {
    cx: &'a Shared,
    sources: Vec<Source>,
}

impl Gathered<'_> {
    /// Returns the sum of the sources.
    pub(crate) fn amount(&self) -> Tokens {
        self.sources.iter().map(Source::amount).sum()
    }

    pub(crate) fn push(&mut self, source: Source) {
        self.sources.push(source);
    }

    pub(crate) fn take(mut self) -> Vec<Source> {
        std::mem::take(&mut self.sources)
    }
}

impl Drop for Gathered<'_> {
    fn drop(&mut self) {
        settle_all(self.cx, std::mem::take(&mut self.sources), 0);
    }
}

/// Gathers tokens of a budget from this router and its peers, until there are
/// `amount` or no peer has any.
pub(crate) async fn gather<'a>(cx: &'a Shared, budget: &str, amount: Tokens) -> Gathered<'a> {
    let mut gathered = Gathered {
        cx,
        sources: Vec::new(),
    };
    if let Some((id, part)) = cx.purse.reserve_up_to(cx.now(), budget, amount) {
        gathered.push(Source::Own(id, part));
    }
    let mut peers = cx
        .peers
        .get()
        .map(|p| p.router_sessions())
        .unwrap_or_default();
    // Different routers begin with different peers.
    let first = rand::random_range(0..peers.len().max(1)).min(peers.len());
    peers.rotate_left(first);
    for session in peers.into_iter().take(MAX_PEERS) {
        let missing = amount.saturating_sub(gathered.amount());
        if missing == 0 {
            break;
        }
        let ask = LoanRequest {
            budget: budget.to_owned(),
            max_tokens: missing,
        };
        if let Ok(reply) = session.call(ask.into(), ASK, 0).await
            && let Some(Answer::Lent(lent)) = reply.answer
            && lent.amount > 0
        {
            gathered.push(Source::Peer(session, lent.loan_id, lent.amount));
        }
    }
    gathered
}

/// Lends tokens to peers.
pub(crate) struct Lender(pub(crate) Arc<Shared>);

impl PeerCallHandler for Lender {
    fn answer(&self, session: &Arc<Session>, req: &ControlRequest) -> Option<ControlReply> {
        let Some(Request::Loan(ask)) = &req.request else {
            return None;
        };
        let (now, peer) = (self.0.now(), &session.peer().node);
        let lent = self.0.purse.lend(now, peer, &ask.budget, ask.max_tokens);
        slog::debug!(self.0.log, "lent"; "peer" => peer, "budget" => &ask.budget,
            "asked" => ask.max_tokens, "amount" => lent.amount);
        Some(Answer::Lent(lent).into())
    }
}

struct Loan {
    borrower: RouterId,
    amount: Tokens,
    since: Duration,
}

/// Loans of this router to its peers.
#[derive(Default)]
pub(crate) struct Loans {
    open: HashMap<ReservationId, Loan>,
}

impl Loans {
    /// Whether another loan may be made.
    pub(crate) fn has_room(&self) -> bool {
        self.open.len() < MAX_LOANS
    }

    pub(crate) fn add(&mut self, now: Duration, id: ReservationId, borrower: &str, amount: Tokens) {
        let loan = Loan {
            borrower: borrower.to_owned(),
            amount,
            since: now,
        };
        self.open.insert(id, loan);
    }

    /// Ends a loan of a borrower. Returns whether it was open.
    pub(crate) fn end(&mut self, id: ReservationId, borrower: &str) -> bool {
        let known = self.open.get(&id).is_some_and(|l| l.borrower == borrower);
        known && self.open.remove(&id).is_some()
    }

    /// Returns the loans whose end was never told, with their amounts.
    pub(crate) fn take_overdue(&mut self, now: Duration) -> Vec<(ReservationId, Tokens)> {
        let overdue = |l: &Loan| now.saturating_sub(l.since) >= LOAN_LIMIT;
        let ids: Vec<_> = self
            .open
            .iter()
            .filter(|(_, l)| overdue(l))
            .map(|(id, l)| (*id, l.amount))
            .collect();
        self.open.retain(|_, l| !overdue(l));
        ids
    }
}
