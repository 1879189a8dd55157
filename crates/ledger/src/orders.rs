//! Non-idempotent orders: each runs at most once.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use anvilloft_types::Incarnation;
use anvilloft_wire::command::Ok as OkReply;
use anvilloft_wire::command::OrderBegin;
use anvilloft_wire::command::OrderFinish;
use anvilloft_wire::command::OrderOutcome;
use anvilloft_wire::command::OrderReply;
use anvilloft_wire::command::OrderState;
use anvilloft_wire::command::Reply;

use crate::code;
use crate::code::refused;
use crate::ledger::Ledger;
use crate::ledger::drain_past;

/// Largest recorded body of an answer, in bytes. Longer ones are replayed by
/// status alone.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest sum of recorded bodies, in bytes. Past it, answers are recorded
/// without their body.
const MAX_TOTAL_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Largest sum of recorded bodies of one team, in bytes, so that one team
/// can't take the room of the others.
const MAX_TEAM_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Largest count of recorded orders.
const MAX_ORDERS: usize = 1_048_576;
/// Largest count of recorded orders of one team.
const MAX_TEAM_ORDERS: usize = 131_072;
/// Largest length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Ended attempts remembered for each order. Delayed copies of older ones
/// can only delay an order, never run it twice.
const MAX_ENDED: usize = 8;

/// Team and idempotency key.
pub(crate) type OrderKey = (String, String);

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum Progress {
    Running = 0,
    Done = 1,
    NotRun = 2,
    Unknown = 3,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Order {
    #[prost(message, required, tag = "1")]
    pub(crate) begin: OrderBegin,
    #[prost(enumeration = "Progress", tag = "2")]
    pub(crate) progress: i32,
    /// Ledger time of the last change.
    #[prost(uint64, tag = "3")]
    pub(crate) at_ms: u64,
    #[prost(bytes = "vec", repeated, tag = "4")]
    pub(crate) ended: Vec<Vec<u8>>,
    #[prost(uint32, tag = "5")]
    pub(crate) status: u32,
    #[prost(string, tag = "6")]
    pub(crate) content_type: String,
    #[prost(bytes = "vec", tag = "7")]
    pub(crate) body: Vec<u8>,
    #[prost(bool, tag = "8")]
    pub(crate) body_dropped: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Usage {
    orders: usize,
    bytes: usize,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Orders {
    pub(crate) by_key: HashMap<OrderKey, Order>,
    /// Orders that run, by the incarnation that began them.
    running: HashMap<(String, Incarnation), BTreeSet<OrderKey>>,
    /// Times and keys of ended orders. An entry whose order has changed since
    /// is skipped.
    pub(crate) ended_order: VecDeque<(u64, OrderKey)>,
    usage: HashMap<String, Usage>,
    total: Usage,
}

impl Orders {
    pub(crate) fn insert(&mut self, order: Order) {
        let key = (order.begin.team.clone(), order.begin.key.clone());
        let bytes = order.body.len();
        let usage = self.usage.entry(key.0.clone()).or_default();
        usage.orders += 1;
        usage.bytes += bytes;
        self.total.orders += 1;
        self.total.bytes += bytes;
        if order.progress == i32::from(Progress::Running) {
            self.mark_running(&order.begin, &key);
        }
        self.by_key.insert(key, order);
    }

    fn mark_running(&mut self, begin: &OrderBegin, key: &OrderKey) {
        self.running
            .entry((begin.router.clone(), begin.incarnation))
            .or_default()
            .insert(key.clone());
    }

    fn unmark_running(&mut self, begin: &OrderBegin, key: &OrderKey) {
        let runner = (begin.router.clone(), begin.incarnation);
        if let Some(keys) = self.running.get_mut(&runner) {
            keys.remove(key);
            if keys.is_empty() {
                self.running.remove(&runner);
            }
        }
    }

    fn remove(&mut self, key: &OrderKey) {
        let Some(order) = self.by_key.remove(key) else {
            return;
        };
        let bytes = order.body.len();
        if let Some(usage) = self.usage.get_mut(&key.0) {
            usage.orders -= 1;
            usage.bytes -= bytes;
            if usage.orders == 0 {
                self.usage.remove(&key.0);
            }
        }
        self.total.orders -= 1;
        self.total.bytes -= bytes;
    }

    // Whether a body of that length can be recorded for the team.
    fn has_room(&self, team: &str, bytes: usize) -> bool {
        let used = self.usage.get(team).map_or(0, |u| u.bytes);
        bytes <= MAX_BODY_BYTES
            && used.saturating_add(bytes) <= MAX_TEAM_BODY_BYTES
            && self.total.bytes.saturating_add(bytes) <= MAX_TOTAL_BODY_BYTES
    }

    /// Records that the orders of an incarnation may have been run.
    pub(crate) fn abandon(&mut self, router: &str, incarnation: Incarnation, now_ms: u64) {
        let Some(keys) = self.running.remove(&(router.to_string(), incarnation)) else {
            return;
        };
        for key in keys {
            if let Some(order) = self.by_key.get_mut(&key) {
                order.progress = Progress::Unknown.into();
                order.at_ms = now_ms;
                self.ended_order.push_back((now_ms, key));
            }
        }
    }

    pub(crate) fn expire(&mut self, now_ms: u64, keep_ms: u64) {
        let mut queue = std::mem::take(&mut self.ended_order);
        drain_past(
            &mut queue,
            |(at, _)| *at,
            now_ms,
            keep_ms,
            |(at, key)| {
                let ended = self
                    .by_key
                    .get(&key)
                    .is_some_and(|o| o.at_ms == at && o.progress != i32::from(Progress::Running));
                if ended {
                    self.remove(&key);
                }
            },
        );
        self.ended_order = queue;
    }
}

impl Ledger {
    pub(crate) fn order_begin(&mut self, c: &OrderBegin) -> Reply {
        if c.key.is_empty()
            || c.key.len() > MAX_KEY_BYTES
            || c.body_hash.len() != 32
            || c.attempt.len() != 16
        {
            return refused(
                code::MALFORMED,
                format!(
                    "an order has a key of 1 to {MAX_KEY_BYTES} bytes, a body hash of 32 and an attempt of 16"
                ),
            );
        }
        if !self.is_incarnation_open(&c.router, c.incarnation) {
            return refused(code::INCARNATION_CLOSED, "the incarnation is not open");
        }
        let key = (c.team.clone(), c.key.clone());
        if let Some(order) = self.orders.by_key.get_mut(&key) {
            if order.begin.body_hash != c.body_hash {
                return reply(OrderState::Mismatch);
            }
            match Progress::try_from(order.progress) {
                Ok(Progress::Done) => {
                    return Reply::Order(OrderReply {
                        state: OrderState::Finished.into(),
                        status: order.status,
                        content_type: order.content_type.clone(),
                        body: order.body.clone(),
                        body_dropped: order.body_dropped,
                    });
                }
                Ok(Progress::Running) => {
                    let resent = order.begin.attempt == c.attempt
                        && order.begin.router == c.router
                        && order.begin.incarnation == c.incarnation;
                    return reply(if resent {
                        OrderState::Run
                    } else {
                        OrderState::Running
                    });
                }
                Ok(Progress::NotRun) => {
                    if order.ended.contains(&c.attempt) {
                        return refused(
                            code::STALE_ATTEMPT,
                            "the attempt has ended without being run",
                        );
                    }
                    order.begin = c.clone();
                    order.progress = Progress::Running.into();
                    order.at_ms = self.now_ms;
                    self.orders.mark_running(c, &key);
                    return reply(OrderState::Run);
                }
                Ok(Progress::Unknown) | Err(_) => return reply(OrderState::Unknown),
            }
        }
        if self.config.team(&c.team).is_none() {
            return refused(code::UNKNOWN_TEAM, format!("there is no team {}", c.team));
        }
        let used = self.orders.usage.get(&c.team).map_or(0, |u| u.orders);
        if used >= MAX_TEAM_ORDERS || self.orders.total.orders >= MAX_ORDERS {
            return refused(
                code::TABLE_FULL,
                format!(
                    "at most {MAX_TEAM_ORDERS} orders of a team and {MAX_ORDERS} in all are kept"
                ),
            );
        }
        self.orders.insert(Order {
            begin: c.clone(),
            progress: Progress::Running.into(),
            at_ms: self.now_ms,
            ended: Vec::new(),
            status: 0,
            content_type: String::new(),
            body: Vec::new(),
            body_dropped: false,
        });
        reply(OrderState::Run)
    }

    pub(crate) fn order_finish(&mut self, c: &OrderFinish) -> Reply {
        let Ok(outcome) = OrderOutcome::try_from(c.outcome) else {
            return refused(code::MALFORMED, "unknown outcome of an order");
        };
        if c.content_type.len() > MAX_KEY_BYTES {
            return refused(code::MALFORMED, "the content type is too long");
        }
        let key = (c.team.clone(), c.key.clone());
        let keep_body = self.orders.has_room(&c.team, c.body.len());
        let now_ms = self.now_ms;
        let Some(order) = self.orders.by_key.get_mut(&key) else {
            return refused(code::UNKNOWN_ORDER, "the order was not begun");
        };
        if order.begin.attempt != c.attempt {
            return refused(code::STALE_ATTEMPT, "another attempt runs the order");
        }
        let from = Progress::try_from(order.progress).unwrap_or(Progress::Unknown);
        let to = match (from, outcome) {
            (Progress::Running, OrderOutcome::NotRun) => Progress::NotRun,
            (Progress::Running, OrderOutcome::Unknown) => Progress::Unknown,
            // The answer of an order that was given up is better than none.
            (Progress::Running | Progress::Unknown, OrderOutcome::Done) => Progress::Done,
            // A resent command, or one that comes after the order was given
            // up: an unknown order is never run again.
            _ => return Reply::Ok(OkReply {}),
        };
        order.progress = to.into();
        order.at_ms = now_ms;
        match to {
            Progress::Done => {
                order.status = c.status;
                order.content_type = c.content_type.clone();
                order.body_dropped = c.body_dropped || !keep_body;
                if !order.body_dropped {
                    order.body = c.body.clone();
                    let bytes = c.body.len();
                    self.orders.total.bytes += bytes;
                    self.orders.usage.entry(c.team.clone()).or_default().bytes += bytes;
                }
            }
            Progress::NotRun => {
                order.ended.push(c.attempt.clone());
                if order.ended.len() > MAX_ENDED {
                    order.ended.remove(0);
                }
            }
            _ => {}
        }
        let begin = order.begin.clone();
        self.orders.unmark_running(&begin, &key);
        self.orders.ended_order.push_back((now_ms, key));
        Reply::Ok(OkReply {})
    }
}

fn reply(state: OrderState) -> Reply {
    Reply::Order(OrderReply {
        state: state.into(),
        ..OrderReply::default()
    })
}
