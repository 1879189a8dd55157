//! Records of non-idempotent orders, each of which is run at most once.

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
use crate::ledger::drain_expired;

/// Maximum size of a recorded response body, in bytes. A response with a longer
/// body is recorded and replayed without it.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum total size of recorded bodies, in bytes. Beyond it, responses are
/// recorded without their bodies.
const MAX_TOTAL_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Maximum total size of recorded bodies of one team, in bytes, so that one team
/// can't use up the space of the others.
const MAX_TEAM_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of recorded orders.
const MAX_ORDERS: usize = 1_048_576;
/// Maximum number of recorded orders of one team.
const MAX_TEAM_ORDERS: usize = 131_072;
/// Maximum length of an idempotency key, and of a content type, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Maximum number of ended attempts recorded for each order. A delayed copy of an
/// older attempt can delay the order, but never runs it twice.
const MAX_ENDED_ATTEMPTS: usize = 8;

/// Team and idempotency key of an order.
pub(crate) type OrderKey = (String, String);

/// Progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum Progress {
    /// An attempt is running.
    Running = 0,
    /// The endpoint answered, and the response is recorded.
    Done = 1,
    /// The last attempt ended without running the order; another may run it.
    NotRun = 2,
    /// The order may have been run, so it is never run again.
    Unknown = 3,
}

/// The record of one order.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Order {
    /// The command that began the last attempt.
    #[prost(message, required, tag = "1")]
    pub(crate) begin: OrderBegin,
    #[prost(enumeration = "Progress", tag = "2")]
    pub(crate) progress: i32,
    /// Ledger time of the last change.
    #[prost(uint64, tag = "3")]
    pub(crate) at_ms: u64,
    /// Ids of attempts that ended without running the order, oldest first.
    #[prost(bytes = "vec", repeated, tag = "4")]
    pub(crate) ended_attempts: Vec<Vec<u8>>,
    #[prost(uint32, tag = "5")]
    pub(crate) status: u32,
    #[prost(string, tag = "6")]
    pub(crate) content_type: String,
    #[prost(bytes = "vec", tag = "7")]
    pub(crate) body: Vec<u8>,
    /// Whether the response was recorded without its body.
    #[prost(bool, tag = "8")]
    pub(crate) body_dropped: bool,
}

/// Number of recorded orders and total size of their bodies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Usage {
    orders: usize,
    body_bytes: usize,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Orders {
    pub(crate) by_key: HashMap<OrderKey, Order>,
    /// Running orders, by the router incarnation that runs them.
    running: HashMap<(String, Incarnation), BTreeSet<OrderKey>>,
    /// Times and keys of ended orders, oldest first. An entry is skipped on expiry
    /// if its order has changed since.
    pub(crate) ended_queue: VecDeque<(u64, OrderKey)>,
    usage_by_team: HashMap<String, Usage>,
    total_usage: Usage,
}

impl Orders {
    pub(crate) fn insert(&mut self, order: Order) {
        let key = (order.begin.team.clone(), order.begin.key.clone());
        let bytes = order.body.len();
        let usage = self.usage_by_team.entry(key.0.clone()).or_default();
        usage.orders += 1;
        usage.body_bytes += bytes;
        self.total_usage.orders += 1;
        self.total_usage.body_bytes += bytes;
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
        let incarnation = (begin.router.clone(), begin.incarnation);
        if let Some(keys) = self.running.get_mut(&incarnation) {
            keys.remove(key);
            if keys.is_empty() {
                self.running.remove(&incarnation);
            }
        }
    }

    fn remove(&mut self, key: &OrderKey) {
        let Some(order) = self.by_key.remove(key) else {
            return;
        };
        let bytes = order.body.len();
        if let Some(usage) = self.usage_by_team.get_mut(&key.0) {
            usage.orders -= 1;
            usage.body_bytes -= bytes;
            if usage.orders == 0 {
                self.usage_by_team.remove(&key.0);
            }
        }
        self.total_usage.orders -= 1;
        self.total_usage.body_bytes -= bytes;
    }

    // Returns whether a body of this length can be recorded for the team.
    fn can_record_body(&self, team: &str, bytes: usize) -> bool {
        let used = self.usage_by_team.get(team).map_or(0, |u| u.body_bytes);
        bytes <= MAX_BODY_BYTES
            && used.saturating_add(bytes) <= MAX_TEAM_BODY_BYTES
            && self.total_usage.body_bytes.saturating_add(bytes) <= MAX_TOTAL_BODY_BYTES
    }

    /// Marks the running orders of an incarnation as unknown, as they may have been
    /// run.
    pub(crate) fn abandon(&mut self, router: &str, incarnation: Incarnation, now_ms: u64) {
        let Some(keys) = self.running.remove(&(router.to_string(), incarnation)) else {
            return;
        };
        for key in keys {
            if let Some(order) = self.by_key.get_mut(&key) {
                order.progress = Progress::Unknown.into();
                order.at_ms = now_ms;
                self.ended_queue.push_back((now_ms, key));
            }
        }
    }

    pub(crate) fn expire(&mut self, now_ms: u64, keep_ms: u64) {
        let mut queue = std::mem::take(&mut self.ended_queue);
        drain_expired(
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
        self.ended_queue = queue;
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
                    "an order needs a key of 1 to {MAX_KEY_BYTES} bytes, a body hash of 32 bytes and an attempt id of 16 bytes"
                ),
            );
        }
        if !self.is_incarnation_open(&c.router, c.incarnation) {
            return refused(
                code::INCARNATION_CLOSED,
                "the router incarnation is not open",
            );
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
                    if order.ended_attempts.contains(&c.attempt) {
                        return refused(
                            code::STALE_ATTEMPT,
                            "the attempt has ended without running the order",
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
        let used = self
            .orders
            .usage_by_team
            .get(&c.team)
            .map_or(0, |u| u.orders);
        if used >= MAX_TEAM_ORDERS || self.orders.total_usage.orders >= MAX_ORDERS {
            return refused(
                code::TABLE_FULL,
                format!(
                    "at most {MAX_TEAM_ORDERS} orders of one team and {MAX_ORDERS} in total are kept"
                ),
            );
        }
        self.orders.insert(Order {
            begin: c.clone(),
            progress: Progress::Running.into(),
            at_ms: self.now_ms,
            ended_attempts: Vec::new(),
            status: 0,
            content_type: String::new(),
            body: Vec::new(),
            body_dropped: false,
        });
        reply(OrderState::Run)
    }

    pub(crate) fn order_finish(&mut self, c: &OrderFinish) -> Reply {
        let Ok(outcome) = OrderOutcome::try_from(c.outcome) else {
            return refused(code::MALFORMED, "unknown order outcome");
        };
        if c.content_type.len() > MAX_KEY_BYTES {
            return refused(code::MALFORMED, "the content type is too long");
        }
        let key = (c.team.clone(), c.key.clone());
        let record_body = self.orders.can_record_body(&c.team, c.body.len());
        let now_ms = self.now_ms;
        let Some(order) = self.orders.by_key.get_mut(&key) else {
            return refused(code::UNKNOWN_ORDER, "there is no order with this key");
        };
        if order.begin.attempt != c.attempt {
            return refused(code::STALE_ATTEMPT, "another attempt runs the order");
        }
        let from = Progress::try_from(order.progress).unwrap_or(Progress::Unknown);
        let to = match (from, outcome) {
            (Progress::Running, OrderOutcome::NotRun) => Progress::NotRun,
            (Progress::Running, OrderOutcome::Unknown) => Progress::Unknown,
            // A response may arrive after the order was marked unknown. It is
            // recorded, as it is better than none.
            (Progress::Running | Progress::Unknown, OrderOutcome::Done) => Progress::Done,
            // A resent command, or one that arrives after the order was marked
            // unknown. An unknown order is never run again.
            _ => return Reply::Ok(OkReply {}),
        };
        order.progress = to.into();
        order.at_ms = now_ms;
        match to {
            Progress::Done => {
                order.status = c.status;
                order.content_type = c.content_type.clone();
                order.body_dropped = c.body_dropped || !record_body;
                if !order.body_dropped {
                    order.body = c.body.clone();
                    let bytes = c.body.len();
                    self.orders.total_usage.body_bytes += bytes;
                    self.orders
                        .usage_by_team
                        .entry(c.team.clone())
                        .or_default()
                        .body_bytes += bytes;
                }
            }
            Progress::NotRun => {
                order.ended_attempts.push(c.attempt.clone());
                if order.ended_attempts.len() > MAX_ENDED_ATTEMPTS {
                    order.ended_attempts.remove(0);
                }
            }
            _ => {}
        }
        let begin = order.begin.clone();
        self.orders.unmark_running(&begin, &key);
        self.orders.ended_queue.push_back((now_ms, key));
        Reply::Ok(OkReply {})
    }
}

fn reply(state: OrderState) -> Reply {
    Reply::Order(OrderReply {
        state: state.into(),
        ..OrderReply::default()
    })
}
