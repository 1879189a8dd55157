//! Sequential specifications of budgets, orders and the configuration, written
//! independently of the ledger.

use std::collections::BTreeMap;

use super::SequentialSpec;

/// Calls on one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BudgetCall {
    /// Tops up or corrects the balance: id, which applies once, and amount.
    TopUp(String, i64),
    /// Allots tokens to a router: router, sequence number of the grant and need.
    Grant(String, u64, u64),
    /// Settles and returns tokens: router, sequence number of the report,
    /// settled tokens and returned tokens.
    Report(String, u64, u64, u64),
    /// Reads the amounts of the budget.
    Read,
}

/// Replies of one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BudgetReply {
    /// Applied by this call or by an earlier one with the same id.
    Ok,
    /// Refused by a rule of the ledger.
    Refused,
    /// Allotted this number of tokens.
    Granted(u64),
    /// The unspent tokens don't cover the need.
    Insufficient,
    /// Topped up, unspent, allotted and settled tokens.
    Amounts(u64, u64, u64, u64),
}

/// Specification of one budget that starts empty.
///
/// Grants and reports of one router have ascending sequence numbers. Repeating
/// the last grant gets its reply again; an older grant is refused. A report that
/// was already applied gets `Ok`; one that skips a number is refused.
#[derive(Clone, Copy, Debug, Default)]
pub struct BudgetSpec;

/// State of [`BudgetSpec`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct BudgetState {
    topped_up: u64,
    unspent: u64,
    settled: u64,
    top_ups: BTreeMap<String, i64>,
    // By router: sequence number of the last grant, its amount (0 when it was
    // refused), sequence number of the last report, and tokens held.
    routers: BTreeMap<String, (u64, u64, u64, u64)>,
}

impl SequentialSpec for BudgetSpec {
    type State = BudgetState;
    type Call = BudgetCall;
    type Reply = BudgetReply;

    fn initial(&self) -> BudgetState {
        BudgetState::default()
    }

    fn step(
        &self,
        state: &BudgetState,
        call: &BudgetCall,
        reply: Option<&BudgetReply>,
    ) -> Vec<BudgetState> {
        let mut s = state.clone();
        let matches_reply = |r: &BudgetReply| reply.is_none_or(|given| given == r);
        match call {
            BudgetCall::TopUp(id, amount) => {
                if let Some(first) = s.top_ups.get(id) {
                    let repeated_reply = if first == amount {
                        BudgetReply::Ok
                    } else {
                        BudgetReply::Refused
                    };
                    return if matches_reply(&repeated_reply) {
                        vec![s]
                    } else {
                        vec![]
                    };
                }
                let sums = (
                    s.topped_up.checked_add_signed(*amount),
                    s.unspent.checked_add_signed(*amount),
                );
                match sums {
                    _ if *amount == 0 => {
                        if matches_reply(&BudgetReply::Refused) {
                            vec![s]
                        } else {
                            vec![]
                        }
                    }
                    (Some(topped_up), Some(unspent)) if matches_reply(&BudgetReply::Ok) => {
                        (s.topped_up, s.unspent) = (topped_up, unspent);
                        s.top_ups.insert(id.clone(), *amount);
                        vec![s]
                    }
                    (Some(_), Some(_)) => vec![],
                    _ if matches_reply(&BudgetReply::Refused) => vec![s],
                    _ => vec![],
                }
            }
            BudgetCall::Grant(router, seq, need) => {
                let r = s.routers.entry(router.clone()).or_default();
                if *seq <= r.0 {
                    let repeated_reply = match r.1 {
                        _ if *seq < r.0 => BudgetReply::Refused,
                        0 => BudgetReply::Insufficient,
                        n => BudgetReply::Granted(n),
                    };
                    return if matches_reply(&repeated_reply) {
                        vec![s]
                    } else {
                        vec![]
                    };
                }
                r.0 = *seq;
                let amount = match reply {
                    Some(BudgetReply::Granted(n)) if (*need..=s.unspent).contains(n) => *n,
                    Some(BudgetReply::Insufficient) | None if s.unspent < *need => 0,
                    // The ledger may grant more than the need. Without a reply
                    // the amount is taken to be the exact need, so histories
                    // with lost replies must use budgets with exact grants.
                    None => *need,
                    _ => return vec![],
                };
                r.1 = amount;
                r.3 += amount;
                s.unspent -= amount;
                vec![s]
            }
            BudgetCall::Report(router, seq, settled, returned) => {
                let r = s.routers.entry(router.clone()).or_default();
                if *seq <= r.2 {
                    return if matches_reply(&BudgetReply::Ok) {
                        vec![s]
                    } else {
                        vec![]
                    };
                }
                if *seq > r.2 + 1 {
                    return if matches_reply(&BudgetReply::Refused) {
                        vec![s]
                    } else {
                        vec![]
                    };
                }
                let Some(held_after) = r.3.checked_sub(settled + returned) else {
                    return vec![];
                };
                if !matches_reply(&BudgetReply::Ok) {
                    return vec![];
                }
                (r.2, r.3) = (*seq, held_after);
                s.settled += settled;
                s.unspent += returned;
                vec![s]
            }
            BudgetCall::Read => {
                let allotted = s.routers.values().map(|r| r.3).sum();
                let amounts = BudgetReply::Amounts(s.topped_up, s.unspent, allotted, s.settled);
                if matches_reply(&amounts) {
                    vec![s]
                } else {
                    vec![]
                }
            }
        }
    }
}

/// Calls on one order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderCall {
    /// Begins the order: number of the attempt and hash of the request body.
    Begin(u64, u64),
    /// Records how an attempt ended: number of the attempt and its end.
    Finish(u64, OrderEnd),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderEnd {
    /// Run, with this answer.
    Done(u64),
    /// Not run.
    NotRun,
    /// Whether it was run is unknown.
    Unknown,
}

/// Replies of one order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The requester is to run the order.
    Run,
    /// The order is finished with this answer.
    Finished(u64),
    /// Another attempt is running.
    Running,
    /// The order may have been run.
    Unknown,
    /// The request body differs from that of the first attempt.
    Mismatch,
    /// The end was recorded by this call or by an earlier one.
    Ok,
    /// Refused by a rule of the ledger.
    Refused,
}

/// Specification of one order.
///
/// The router that runs the order may be lost at any time; whether the order was
/// run is then unknown.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderSpec;

/// State of [`OrderSpec`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderState {
    body: Option<u64>,
    // Last attempt, and how it ended; `None` while it runs.
    attempt: u64,
    end: Option<OrderEnd>,
    // Attempts that ended without being run.
    not_run_attempts: Vec<u64>,
}

impl SequentialSpec for OrderSpec {
    type State = OrderState;
    type Call = OrderCall;
    type Reply = OrderReply;

    fn initial(&self) -> OrderState {
        OrderState {
            body: None,
            attempt: 0,
            end: Some(OrderEnd::NotRun),
            not_run_attempts: Vec::new(),
        }
    }

    fn step(
        &self,
        state: &OrderState,
        call: &OrderCall,
        reply: Option<&OrderReply>,
    ) -> Vec<OrderState> {
        let mut state_if_lost = state.clone();
        state_if_lost.end = Some(OrderEnd::Unknown);
        let mut out = apply_call(state, call, reply);
        if state.end.is_none() {
            // The router may have been lost before the call.
            out.extend(apply_call(&state_if_lost, call, reply));
        }
        out
    }
}

fn apply_call(state: &OrderState, call: &OrderCall, reply: Option<&OrderReply>) -> Vec<OrderState> {
    let mut s = state.clone();
    let matches_reply = |r: &OrderReply| reply.is_none_or(|given| given == r);
    let actual = match call {
        // Refused when the router that made the call is lost.
        OrderCall::Begin(..) if reply == Some(&OrderReply::Refused) => OrderReply::Refused,
        OrderCall::Begin(_, body) if s.body.is_some_and(|b| b != *body) => OrderReply::Mismatch,
        OrderCall::Begin(attempt, body) => match s.end {
            None if s.attempt == *attempt => OrderReply::Run,
            None => OrderReply::Running,
            Some(OrderEnd::Done(answer)) => OrderReply::Finished(answer),
            Some(OrderEnd::Unknown) => OrderReply::Unknown,
            Some(OrderEnd::NotRun) if s.not_run_attempts.contains(attempt) => OrderReply::Refused,
            Some(OrderEnd::NotRun) => {
                (s.body, s.attempt, s.end) = (Some(*body), *attempt, None);
                OrderReply::Run
            }
        },
        OrderCall::Finish(attempt, end) => {
            if s.attempt != *attempt || s.body.is_none() {
                OrderReply::Refused
            } else {
                match (s.end, end) {
                    (None, OrderEnd::NotRun) => {
                        s.not_run_attempts.push(*attempt);
                        s.end = Some(*end);
                    }
                    (None, _) | (Some(OrderEnd::Unknown), OrderEnd::Done(_)) => {
                        s.end = Some(*end);
                    }
                    _ => {}
                }
                OrderReply::Ok
            }
        }
    };
    if matches_reply(&actual) {
        vec![s]
    } else {
        vec![]
    }
}

/// Calls on the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigCall {
    /// Submits a valid change: its id, content and base revision.
    Change(String, u64, u64),
    /// Reads the current revision and content from control.
    Read,
}

/// Replies of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigReply {
    /// Accepted at this revision.
    Accepted(u64),
    /// The base is not the current revision, which is this one.
    Conflict(u64),
    /// Refused by a rule of the ledger.
    Refused,
    /// Revision and content of the last change.
    Read(u64, u64),
}

/// Specification of the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigSpec;

/// State of [`ConfigSpec`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConfigState {
    revision: u64,
    content: u64,
    // By change id: content, base revision, and the accepted revision or the
    // revision it conflicted with.
    outcomes: BTreeMap<String, (u64, u64, Result<u64, u64>)>,
}

impl SequentialSpec for ConfigSpec {
    type State = ConfigState;
    type Call = ConfigCall;
    type Reply = ConfigReply;

    fn initial(&self) -> ConfigState {
        ConfigState::default()
    }

    fn step(
        &self,
        state: &ConfigState,
        call: &ConfigCall,
        reply: Option<&ConfigReply>,
    ) -> Vec<ConfigState> {
        let mut s = state.clone();
        let actual = match call {
            ConfigCall::Read => ConfigReply::Read(s.revision, s.content),
            ConfigCall::Change(id, content, base) => match s.outcomes.get(id) {
                Some((c, b, Ok(n))) if c == content && b == base => ConfigReply::Accepted(*n),
                Some((c, b, Err(n))) if c == content && b == base => ConfigReply::Conflict(*n),
                Some((_, _, Ok(_))) => ConfigReply::Refused,
                _ => {
                    let outcome = if *base == s.revision {
                        s.revision += 1;
                        s.content = *content;
                        Ok(s.revision)
                    } else {
                        Err(s.revision)
                    };
                    s.outcomes.insert(id.clone(), (*content, *base, outcome));
                    match outcome {
                        Ok(n) => ConfigReply::Accepted(n),
                        Err(n) => ConfigReply::Conflict(n),
                    }
                }
            },
        };
        if reply.is_none_or(|r| *r == actual) {
            vec![s]
        } else {
            vec![]
        }
    }
}
