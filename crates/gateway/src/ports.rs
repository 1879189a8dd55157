//! Messages from traffic threads to the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_types::AttemptId;
use anvilloft_types::BudgetId;
use anvilloft_types::EndpointId;
use anvilloft_types::Fingerprint;
use anvilloft_types::ModelName;
use anvilloft_types::RankName;
use anvilloft_types::RequestNo;
use anvilloft_types::RunState;
use anvilloft_types::ServiceName;
use anvilloft_types::TeamId;
use anvilloft_types::Tokens;
use anvilloft_wire::command::OrderBegin;
use anvilloft_wire::command::OrderFinish;
use anvilloft_wire::command::OrderReply;
use anvilloft_wire::frame::EndpointUpdate;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::error::Refusal;

/// Messages that wait for the control thread, at most.
pub const CORE_QUEUE: usize = 8192;

/// What a request needs to run.
#[derive(Clone, Debug)]
pub enum Target {
    /// A model engine.
    Model {
        /// Name of the model.
        name: ModelName,
        /// Version; empty for any.
        version: String,
        /// Hash of the prompt's head.
        prefix: u64,
        /// Upper bound of prompt tokens.
        prompt: Tokens,
        /// Upper bound of generated tokens.
        output: Tokens,
    },
    /// A plain service.
    Service(ServiceName),
}

/// A request that asks for a place, a reservation and an endpoint.
#[derive(Clone, Debug)]
pub struct Admit {
    /// Number of the request.
    pub no: RequestNo,
    /// Id told to the caller.
    pub request_id: String,
    /// Team of the caller.
    pub team: TeamId,
    /// Rank of the request.
    pub rank: RankName,
    /// Budget to draw on.
    pub budget: BudgetId,
    /// Upper bound of the cost.
    pub amount: Tokens,
    /// What runs it.
    pub target: Target,
    /// Recognises the request when it comes again.
    pub fingerprint: Fingerprint,
    /// Attempt id to use first; drawn by the core otherwise.
    pub attempt: Option<AttemptId>,
}

/// Permission to run one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Number of the request.
    pub no: RequestNo,
    /// Endpoint to use.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Level of the rank, 0 first.
    pub priority: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer came.
    Ok,
    /// The endpoint said that it is busy or leaving.
    Busy,
    /// The endpoint answered with an error.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke after bytes were sent.
    Broken,
    /// Nothing came within the limit.
    Silent,
    /// The caller went away.
    Cancelled,
}

/// A message to the control thread.
pub enum CoreMsg {
    /// Asks for a ticket.
    Admit(Box<Admit>, oneshot::Sender<Result<Ticket, Refusal>>),
    /// An attempt failed. The reply is a ticket for another one, or the answer
    /// to the caller; it comes after the strike, if any, was committed.
    Failed {
        /// Number of the request.
        no: RequestNo,
        /// How the attempt ended.
        end: AttemptEnd,
        /// Whether another attempt is allowed.
        retry: bool,
        /// What to tell the caller of the request's run.
        run: RunState,
        /// Tokens to settle when no other attempt follows.
        used: Tokens,
        /// Receives the next ticket.
        reply: oneshot::Sender<Result<Ticket, Refusal>>,
    },
    /// The first piece of the answer came, after this time.
    FirstByte(RequestNo, Duration),
    /// The request ended: settles the reservation and frees the place.
    Finish {
        /// Number of the request.
        no: RequestNo,
        /// Tokens used.
        used: Tokens,
        /// How the last attempt ended.
        end: AttemptEnd,
        /// Hash of team, idempotency key and body.
        key: Option<[u8; 16]>,
    },
    /// Answers once every settlement before it has been handed over to the
    /// control members and to the router that keeps copies.
    HandedOver(oneshot::Sender<()>),
    /// Records an order before it is sent; resent until `deadline`.
    OrderBegin(
        OrderBegin,
        Duration,
        oneshot::Sender<Result<OrderReply, Refusal>>,
    ),
    /// Records the outcome of an order; resent until acknowledged.
    OrderFinish(OrderFinish),
    /// An endpoint announced itself.
    Announce(EndpointUpdate, oneshot::Sender<Result<(), String>>),
    /// Reads the state of a budget as JSON.
    Budget {
        /// Budget to read.
        budget: BudgetId,
        /// Team of the caller.
        team: TeamId,
        /// Receives the JSON text.
        reply: oneshot::Sender<Result<String, Refusal>>,
    },
}

/// Access to the control thread.
#[derive(Clone)]
pub struct CoreHandle {
    tx: mpsc::Sender<CoreMsg>,
    next: Arc<AtomicU64>,
}

fn overloaded() -> Refusal {
    Refusal::unavailable("overloaded", "the router has too many requests waiting")
        .retry_after(Duration::from_millis(500))
}

fn stopped() -> Refusal {
    Refusal::unavailable("stopping", "the router is stopping")
}

impl CoreHandle {
    /// Makes a handle and the receiving end for the control thread.
    pub fn new() -> (Self, mpsc::Receiver<CoreMsg>) {
        let (tx, rx) = mpsc::channel(CORE_QUEUE);
        let next = Arc::new(AtomicU64::new(1));
        (Self { tx, next }, rx)
    }

    /// Returns a number for a request.
    pub fn next_no(&self) -> RequestNo {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the count of messages that wait.
    pub fn waiting(&self) -> usize {
        CORE_QUEUE - self.tx.capacity()
    }

    async fn ask<T>(
        &self,
        make: impl FnOnce(oneshot::Sender<Result<T, Refusal>>) -> CoreMsg,
    ) -> Result<T, Refusal> {
        let (reply, rx) = oneshot::channel();
        match self.tx.try_send(make(reply)) {
            Ok(()) => rx.await.unwrap_or_else(|_| Err(stopped())),
            Err(mpsc::error::TrySendError::Full(_)) => Err(overloaded()),
            Err(mpsc::error::TrySendError::Closed(_)) => Err(stopped()),
        }
    }

    /// Asks for a ticket.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub async fn admit(&self, admit: Admit) -> Result<Ticket, Refusal> {
        self.ask(|reply| CoreMsg::Admit(Box::new(admit), reply))
            .await
    }

    /// Reports a failed attempt and asks for another one.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller when there is no other attempt.
    pub async fn failed(
        &self,
        no: RequestNo,
        end: AttemptEnd,
        retry: bool,
        run: RunState,
        used: Tokens,
    ) -> Result<Ticket, Refusal> {
        let (reply, rx) = oneshot::channel();
        let msg = CoreMsg::Failed {
            no,
            end,
            retry,
            run,
            used,
            reply,
        };
        if self.tx.send(msg).await.is_err() {
            return Err(stopped().run(run));
        }
        rx.await.unwrap_or_else(|_| Err(stopped().run(run)))
    }

    /// Sends a message that must not be lost, from anywhere.
    pub fn post(&self, msg: CoreMsg) {
        match self.tx.try_send(msg) {
            Ok(()) | Err(mpsc::error::TrySendError::Closed(_)) => {}
            Err(mpsc::error::TrySendError::Full(msg)) => {
                // Bounded by the requests in flight, each of which ends once.
                let tx = self.tx.clone();
                tokio::spawn(async move {
                    tx.send(msg).await.ok();
                });
            }
        }
    }

    /// Records an order before it is sent.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller; the order isn't recorded, or will be
    /// recorded as not run.
    pub async fn order_begin(
        &self,
        begin: OrderBegin,
        within: Duration,
    ) -> Result<OrderReply, Refusal> {
        self.ask(|reply| CoreMsg::OrderBegin(begin, within, reply))
            .await
    }

    /// Hands an announcement to the control thread.
    ///
    /// # Errors
    ///
    /// Returns the reason for the endpoint.
    pub async fn announce(&self, update: EndpointUpdate) -> Result<(), String> {
        let (reply, rx) = oneshot::channel();
        self.tx
            .try_send(CoreMsg::Announce(update, reply))
            .map_err(|_| "the router is overloaded".to_owned())?;
        rx.await.unwrap_or_else(|_| Err("stopping".into()))
    }

    /// Reads the state of a budget as JSON.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub async fn budget(&self, budget: BudgetId, team: TeamId) -> Result<String, Refusal> {
        self.ask(|reply| CoreMsg::Budget {
            budget,
            team,
            reply,
        })
        .await
    }
}
