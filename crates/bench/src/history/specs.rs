//! What budgets, orders and the configuration do, one call at a time. These
//! rules are written independently of the ledger.

use std::collections::BTreeMap;

use super::Spec;

/// Calls on one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BudgetCall {
    /// Tops up or corrects, under an id that applies once.
    TopUp(String, i64),
    /// Allots to a router; number of the grant and need.
    Grant(String, u64, u64),
    /// Settles and returns; number of the report, settled and returned tokens.
    Report(String, u64, u64, u64),
    /// Reads the amounts.
    Read,
}

/// Replies of one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BudgetReply {
    /// Applied, now or before.
    Ok,
    /// Refused by a rule.
    Refused,
    /// Allotted so many tokens.
    Granted(u64),
    /// Not enough unspent tokens.
    Insufficient,
    /// Topped up, unspent, allotted and settled tokens.
    Amounts(u64, u64, u64, u64),
}

/// Rules of one budget that starts empty. Grants and reports of one router
/// have rising numbers; a number that is used again gets the first answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct BudgetSpec;

/// State of [`BudgetSpec`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct BudgetState {
    topped_up: u64,
    unspent: u64,
    settled: u64,
    top_ups: BTreeMap<String, i64>,
    // Last grant, its answer, last report and tokens held, by router.
    routers: BTreeMap<String, (u64, u64, u64, u64)>,
}

impl Spec for BudgetSpec {
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
        let agrees = |r: &BudgetReply| reply.is_none_or(|given| given == r);
        match call {
            BudgetCall::TopUp(id, amount) => {
                if let Some(first) = s.top_ups.get(id) {
                    let same = if first == amount {
                        BudgetReply::Ok
                    } else {
                        BudgetReply::Refused
                    };
                    return if agrees(&same) { vec![s] } else { vec![] };
                }
                let sums = (
                    s.topped_up.checked_add_signed(*amount),
                    s.unspent.checked_add_signed(*amount),
                );
                match sums {
                    _ if *amount == 0 => {
                        if agrees(&BudgetReply::Refused) {
                            vec![s]
                        } else {
                            vec![]
                        }
                    }
                    (Some(topped_up), Some(unspent)) if agrees(&BudgetReply::Ok) => {
                        (s.topped_up, s.unspent) = (topped_up, unspent);
                        s.top_ups.insert(id.clone(), *amount);
                        vec![s]
                    }
                    (Some(_), Some(_)) => vec![],
                    _ if agrees(&BudgetReply::Refused) => vec![s],
                    _ => vec![],
                }
            }
            BudgetCall::Grant(router, seq, need) => {
                let r = s.routers.entry(router.clone()).or_default();
                if *seq <= r.0 {
                    let first = match r.1 {
                        _ if *seq < r.0 => BudgetReply::Refused,
                        0 => BudgetReply::Insufficient,
                        n => BudgetReply::Granted(n),
                    };
                    return if agrees(&first) { vec![s] } else { vec![] };
                }
                r.0 = *seq;
                let amount = match reply {
                    Some(BudgetReply::Granted(n)) if (*need..=s.unspent).contains(n) => *n,
                    Some(BudgetReply::Insufficient) | None if s.unspent < *need => 0,
                    // The size above the need is the ledger's choice. Without
                    // a reply, the exact need stands for all of them, so such
                    // histories must ask for budgets with exact grants.
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
                    return if agrees(&BudgetReply::Ok) {
                        vec![s]
                    } else {
                        vec![]
                    };
                }
                if *seq > r.2 + 1 {
                    return if agrees(&BudgetReply::Refused) {
                        vec![s]
                    } else {
                        vec![]
                    };
                }
                let Some(held) = r.3.checked_sub(settled + returned) else {
                    return vec![];
                };
                if !agrees(&BudgetReply::Ok) {
                    return vec![];
                }
                (r.2, r.3) = (*seq, held);
                s.settled += settled;
                s.unspent += returned;
                vec![s]
            }
            BudgetCall::Read => {
                let allotted = s.routers.values().map(|r| r.3).sum();
                let amounts = BudgetReply::Amounts(s.topped_up, s.unspent, allotted, s.settled);
                if agrees(&amounts) { vec![s] } else { vec![] }
            }
        }
    }
}

/// Calls on one order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderCall {
    /// Begins the order; number of the attempt and hash of the body.
    Begin(u64, u64),
    /// Records the end of an attempt.
    Finish(u64, OrderEnd),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderEnd {
    /// With this answer.
    Done(u64),
    /// Without being run.
    NotRun,
    /// Unknown.
    Unknown,
}

/// Replies of one order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The asker runs it.
    Run,
    /// It is finished with this answer.
    Finished(u64),
    /// Another attempt runs.
    Running,
    /// It may have been run.
    Unknown,
    /// The body differs.
    Mismatch,
    /// The end was recorded, now or before.
    Ok,
    /// Refused by a rule.
    Refused,
}

/// Rules of one order. Its router may be lost at any time, upon which a
/// running order becomes unknown.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderSpec;

/// State of [`OrderSpec`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderState {
    body: Option<u64>,
    // Last attempt and its end; none while it runs.
    attempt: u64,
    end: Option<OrderEnd>,
    ended: Vec<u64>,
}

impl Spec for OrderSpec {
    type State = OrderState;
    type Call = OrderCall;
    type Reply = OrderReply;

    fn initial(&self) -> OrderState {
        OrderState {
            body: None,
            attempt: 0,
            end: Some(OrderEnd::NotRun),
            ended: Vec::new(),
        }
    }

    fn step(
        &self,
        state: &OrderState,
        call: &OrderCall,
        reply: Option<&OrderReply>,
    ) -> Vec<OrderState> {
        let mut lost = state.clone();
        lost.end = Some(OrderEnd::Unknown);
        let mut out = one_step(state, call, reply);
        if state.end.is_none() {
            // The router may have been lost before the call.
            out.extend(one_step(&lost, call, reply));
        }
        out
    }
}

fn one_step(state: &OrderState, call: &OrderCall, reply: Option<&OrderReply>) -> Vec<OrderState> {
    let mut s = state.clone();
    let agrees = |r: &OrderReply| reply.is_none_or(|given| given == r);
    let given = match call {
        // The router of the call may be lost.
        OrderCall::Begin(..) if reply == Some(&OrderReply::Refused) => OrderReply::Refused,
        OrderCall::Begin(_, body) if s.body.is_some_and(|b| b != *body) => OrderReply::Mismatch,
        OrderCall::Begin(attempt, body) => match s.end {
            None if s.attempt == *attempt => OrderReply::Run,
            None => OrderReply::Running,
            Some(OrderEnd::Done(answer)) => OrderReply::Finished(answer),
            Some(OrderEnd::Unknown) => OrderReply::Unknown,
            Some(OrderEnd::NotRun) if s.ended.contains(attempt) => OrderReply::Refused,
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
                        s.ended.push(*attempt);
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
    if agrees(&given) { vec![s] } else { vec![] }
}

/// Calls on the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigCall {
    /// A valid change: its id, content and base revision.
    Change(String, u64, u64),
    /// Reads the revision and the content in force from control.
    Read,
}

/// Replies of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigReply {
    /// Accepted at this revision.
    Accepted(u64),
    /// Another revision is in force.
    Conflict(u64),
    /// Refused by a rule.
    Refused,
    /// Revision and content of the last change.
    Read(u64, u64),
}

/// Rules of the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigSpec;

/// State of [`ConfigSpec`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConfigState {
    revision: u64,
    content: u64,
    // Content, base, and revision or conflict, by id.
    answers: BTreeMap<String, (u64, u64, Result<u64, u64>)>,
}

impl Spec for ConfigSpec {
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
        let given = match call {
            ConfigCall::Read => ConfigReply::Read(s.revision, s.content),
            ConfigCall::Change(id, content, base) => match s.answers.get(id) {
                Some((c, b, Ok(n))) if c == content && b == base => ConfigReply::Accepted(*n),
                Some((c, b, Err(n))) if c == content && b == base => ConfigReply::Conflict(*n),
                Some((_, _, Ok(_))) => ConfigReply::Refused,
                _ => {
                    let answer = if *base == s.revision {
                        s.revision += 1;
                        s.content = *content;
                        Ok(s.revision)
                    } else {
                        Err(s.revision)
                    };
                    s.answers.insert(id.clone(), (*content, *base, answer));
                    match answer {
                        Ok(n) => ConfigReply::Accepted(n),
                        Err(n) => ConfigReply::Conflict(n),
                    }
                }
            },
        };
        if reply.is_none_or(|r| *r == given) {
            vec![s]
        } else {
            vec![]
        }
    }
}
