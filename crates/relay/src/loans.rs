//! Loans of tokens between routers.
//!
//! Loans are needed when a small team's budget is divided among all routers and
//! none of them has enough for the next request, or when every router is cut off
//! from control, which could divide the budget anew. The router that serves a
//! request reserves what it has, borrows the rest from peers, and reports to each
//! lender what was used. Lenders settle loans like their own reservations, so the
//! ledger sees no difference. A loan whose end is never reported counts as fully
//! used.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvilloft_budget::ReservationId;
use anvilloft_types::lock;
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
use tokio::sync::oneshot;
use tokio::time::error::Elapsed;

use crate::state::RelayState;

/// Timeout of a loan request to a peer: ten round trips within a city.
const LOAN_REQUEST_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after which a lender's answer is no longer expected. An answer that arrives
/// after [`LOAN_REQUEST_TIMEOUT`] and before it returns the loan.
const LATE_LOAN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a holder that didn't answer isn't asked, so that not every request
/// waits for it. Its session ends after 2 s of silence.
const SILENT_HOLDER_TIME: Duration = Duration::from_secs(1);
/// Maximum number of peers that are asked for one request.
const MAX_PEERS: usize = 12;
/// Time after which a loan whose end was not reported counts as fully used.
/// It should be longer than the timeout of every route, as the end of an overdue
/// loan is ignored.
const MAX_LOAN_AGE: Duration = Duration::from_secs(60);
/// Maximum number of open loans.
const MAX_LOANS: usize = 4_096;

/// Tokens reserved for a request, by the router that they come from.
pub(crate) enum TokenSource {
    /// Reservation of this router's own allotment, and its amount.
    Own(ReservationId, Tokens),
    /// Session with a lending peer, id of the loan, and its amount.
    Peer(Arc<Session>, u64, Tokens),
}

impl TokenSource {
    /// Returns the number of reserved tokens.
    pub(crate) fn amount(&self) -> Tokens {
        match self {
            Self::Own(_, amount) | Self::Peer(_, _, amount) => *amount,
        }
    }

    /// Settles the tokens with the number that was used.
    pub(crate) fn settle(self, cx: &RelayState, used: Tokens) {
        match self {
            Self::Own(id, _) => cx.reservations.settle(cx.now(), id, used),
            Self::Peer(session, loan_id, _) => {
                let end = Payload::LoanEnd(LoanEnd { loan_id, used });
                if session.send(end).is_err() {
                    // The lender counts the loan as fully used.
                    slog::info!(cx.log, "can't report the end of a loan";
                        "peer" => &session.peer().node, "loan" => loan_id, "used" => used);
                }
            }
        }
    }
}

/// Settles the tokens of a request, using up its sources in their order.
pub(crate) fn settle_all(cx: &RelayState, sources: Vec<TokenSource>, used: Tokens) {
    let mut left = used;
    for source in sources {
        let part = left.min(source.amount());
        left -= part;
        source.settle(cx, part);
    }
}

/// Tokens collected for a request so far. They are released on drop, when the
/// request is abandoned before it has enough.
pub(crate) struct GatheredTokens<'a> {
    cx: &'a RelayState,
    sources: Vec<TokenSource>,
    /// Number of peers that have answered.
    answer_count: usize,
}

impl GatheredTokens<'_> {
    /// Returns the total number of tokens.
    pub(crate) fn amount(&self) -> Tokens {
        self.sources.iter().map(TokenSource::amount).sum()
    }

    /// Whether all other routers have told that they lend no more.
    pub(crate) fn has_asked_all(&self) -> bool {
        let routers = self.cx.router_count.load(Ordering::Relaxed);
        routers > 0 && self.answer_count + 1 >= routers
    }

    pub(crate) fn push(&mut self, source: TokenSource) {
        self.sources.push(source);
    }

    /// Returns the sources, whose tokens are then no longer released on drop.
    pub(crate) fn into_sources(mut self) -> Vec<TokenSource> {
        std::mem::take(&mut self.sources)
    }
}

impl Drop for GatheredTokens<'_> {
    fn drop(&mut self) {
        settle_all(self.cx, std::mem::take(&mut self.sources), 0);
    }
}

/// A loan on its way to the request that asked for it. It is returned on drop, when
/// the request has stopped waiting.
struct ArrivingLoan {
    cx: Arc<RelayState>,
    source: Option<TokenSource>,
}

impl Drop for ArrivingLoan {
    fn drop(&mut self) {
        if let Some(source) = self.source.take() {
            source.settle(&self.cx, 0);
        }
    }
}

/// Asks a peer for a loan, and waits for `max_wait` at most. Returns `None` if it lends
/// nothing, and an error if it doesn't answer.
async fn borrow_tokens(
    cx: &Arc<RelayState>,
    session: Arc<Session>,
    req: LoanRequest,
    max_wait: Duration,
) -> Result<Option<TokenSource>, Elapsed> {
    let (tx, rx) = oneshot::channel();
    let cx = Arc::clone(cx);
    // Runs in its own task, so that a loan whose request has stopped waiting is still
    // returned.
    tokio::spawn(async move {
        let reply = session.call(req.into(), LATE_LOAN_TIMEOUT, 0).await;
        if let Ok(reply) = reply
            && let Some(Answer::Lent(grant)) = reply.answer
            && grant.amount > 0
        {
            let source = TokenSource::Peer(session, grant.loan_id, grant.amount);
            let source = Some(source);
            drop(tx.send(ArrivingLoan { cx, source }));
        }
    });
    let arrived = tokio::time::timeout(max_wait, rx).await?;
    Ok(arrived.ok().and_then(|mut loan| loan.source.take()))
}

/// Collects tokens of a budget from this router.
fn take_own<'a>(cx: &'a Arc<RelayState>, budget: &str, amount: Tokens) -> GatheredTokens<'a> {
    let mut gathered = GatheredTokens {
        cx,
        sources: Vec::new(),
        answer_count: 0,
    };
    if let Some((id, part)) = cx.reservations.reserve_up_to(cx.now(), budget, amount) {
        gathered.push(TokenSource::Own(id, part));
    }
    gathered
}

/// Returns the session with the router that holds this router's reserve of a budget, or
/// `None` if that is this router itself.
fn holder_session(cx: &RelayState, budget: &str) -> Option<Arc<Session>> {
    let (holders, peers) = (cx.holders.load(), cx.peers.get()?);
    for name in holders.of(budget) {
        if name == cx.options.name {
            return None;
        }
        let is_silent = lock(&cx.silent_holders).is_silent(cx.now(), name);
        if let Some(session) = peers.router_session(name)
            && !is_silent
        {
            return Some(session);
        }
    }
    None
}

/// Collects tokens of a budget from this router and then from the holder of its reserve.
/// Returns `None` if there are fewer than `amount`, or this router holds the reserve
/// itself.
pub(crate) async fn draw_tokens(
    cx: &Arc<RelayState>,
    budget: &str,
    amount: Tokens,
    deadline: Duration,
) -> Option<Vec<TokenSource>> {
    let now = cx.now();
    let session = holder_session(cx, budget);
    cx.reservations.set_drawn(budget, session.is_some());
    let session = session?;
    let mut gathered = take_own(cx, budget, amount);
    let missing = amount.saturating_sub(gathered.amount());
    if missing > 0 {
        let req = LoanRequest {
            budget: budget.to_owned(),
            max_tokens: missing,
            as_holder: true,
        };
        let max_wait = LOAN_REQUEST_TIMEOUT.min(deadline.saturating_sub(now));
        let name = session.peer().node.clone();
        match borrow_tokens(cx, session, req, max_wait).await {
            Ok(loan) => loan.into_iter().for_each(|source| gathered.push(source)),
            Err(_) => lock(&cx.silent_holders).record(now, &name),
        }
    }
    (gathered.amount() >= amount).then(|| gathered.into_sources())
}

/// Collects tokens of a budget from this router and then from its peers, until
/// there are `amount`, enough peers were asked or the deadline has passed.
pub(crate) async fn gather_tokens<'a>(
    cx: &'a Arc<RelayState>,
    budget: &str,
    amount: Tokens,
    deadline: Duration,
) -> GatheredTokens<'a> {
    let mut gathered = take_own(cx, budget, amount);
    let mut peers = cx
        .peers
        .get()
        .map(|p| p.router_sessions())
        .unwrap_or_default();
    // Starts with a random peer, to spread the requests of all routers.
    let start = rand::random_range(0..peers.len().max(1)).min(peers.len());
    peers.rotate_left(start);
    // Holders have more than others.
    let holders = cx.holders.load_full();
    let names = holders.of(budget);
    peers.sort_by_key(|s| {
        names
            .iter()
            .position(|n| *n == s.peer().node)
            .unwrap_or(names.len())
    });
    for session in peers.into_iter().take(MAX_PEERS) {
        let missing = amount.saturating_sub(gathered.amount());
        let left = deadline.saturating_sub(cx.now());
        if missing == 0 || left.is_zero() {
            break;
        }
        let max_wait = LOAN_REQUEST_TIMEOUT.min(left);
        let req = LoanRequest {
            budget: budget.to_owned(),
            max_tokens: missing,
            as_holder: false,
        };
        if let Ok(loan) = borrow_tokens(cx, session, req, max_wait).await {
            gathered.answer_count += 1;
            loan.into_iter().for_each(|source| gathered.push(source));
        }
    }
    gathered
}

/// Handles loan requests of peers.
pub(crate) struct LoanHandler(pub(crate) Arc<RelayState>);

impl PeerCallHandler for LoanHandler {
    fn answer(&self, session: &Arc<Session>, req: &ControlRequest) -> Option<ControlReply> {
        let Some(Request::Loan(loan)) = &req.request else {
            return None;
        };
        let (now, peer) = (self.0.now(), &session.peer().node);
        let grant = self.0.reservations.lend(now, peer, loan);
        slog::debug!(self.0.log, "lent"; "peer" => peer, "budget" => &loan.budget,
            "asked" => loan.max_tokens, "amount" => grant.amount);
        Some(Answer::Lent(grant).into())
    }
}

/// Holders that didn't answer a loan request lately, and when.
#[derive(Default)]
pub(crate) struct SilentHolders(Vec<(RouterId, Duration)>);

impl SilentHolders {
    /// Whether a holder is not to be asked.
    fn is_silent(&self, now: Duration, name: &str) -> bool {
        self.0
            .iter()
            .any(|(n, at)| n == name && now.saturating_sub(*at) < SILENT_HOLDER_TIME)
    }

    /// Records that a holder did not answer.
    fn record(&mut self, now: Duration, name: &str) {
        self.0
            .retain(|(n, at)| n != name && now.saturating_sub(*at) < SILENT_HOLDER_TIME);
        self.0.push((name.to_owned(), now));
    }
}

struct Loan {
    borrower: RouterId,
    amount: Tokens,
    granted_at: Duration,
}

/// Open loans of this router to its peers.
#[derive(Default)]
pub(crate) struct OpenLoans {
    open: HashMap<ReservationId, Loan>,
}

impl OpenLoans {
    /// Returns whether another loan may be granted.
    pub(crate) fn has_capacity(&self) -> bool {
        self.open.len() < MAX_LOANS
    }

    /// Adds a loan.
    pub(crate) fn add(&mut self, now: Duration, id: ReservationId, borrower: &str, amount: Tokens) {
        let loan = Loan {
            borrower: borrower.to_owned(),
            amount,
            granted_at: now,
        };
        self.open.insert(id, loan);
    }

    /// Removes the loan of a borrower. Returns whether it was open.
    pub(crate) fn remove(&mut self, id: ReservationId, borrower: &str) -> bool {
        let is_open = self.open.get(&id).is_some_and(|l| l.borrower == borrower);
        is_open && self.open.remove(&id).is_some()
    }

    /// Removes the overdue loans, and returns them with their amounts.
    pub(crate) fn remove_overdue(&mut self, now: Duration) -> Vec<(ReservationId, Tokens)> {
        let overdue = |l: &Loan| now.saturating_sub(l.granted_at) >= MAX_LOAN_AGE;
        let loans: Vec<_> = self
            .open
            .iter()
            .filter(|(_, l)| overdue(l))
            .map(|(id, l)| (*id, l.amount))
            .collect();
        self.open.retain(|_, l| !overdue(l));
        loans
    }
}
