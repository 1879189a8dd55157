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
use anvilloft_types::availability::EndpointNotice;
use anvilloft_wire::command::OrderBegin;
use anvilloft_wire::command::OrderFinish;
use anvilloft_wire::command::OrderReply;
use anvilloft_wire::frame::EndpointUpdate;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::error::Refusal;

/// Maximum number of messages queued for the control thread.
pub const MAX_QUEUED_MESSAGES: usize = 8192;

/// The model or service that runs a request.
#[derive(Clone, Debug)]
pub enum Target {
    /// A model engine.
    Model {
        /// Name of the model.
        name: ModelName,
        /// Version of the model; empty for any.
        version: String,
        /// Hash of the start of the prompt, for prefix affinity.
        prefix_hash: u64,
        /// Upper bound of prompt tokens.
        max_prompt_tokens: Tokens,
        /// Upper bound of generated tokens.
        max_output_tokens: Tokens,
    },
    /// A plain service.
    Service(ServiceName),
}

/// A request for admission: for a queue slot, a token reservation and an
/// endpoint.
#[derive(Clone, Debug)]
pub struct Admit {
    /// Number of the request.
    pub no: RequestNo,
    /// Request id that is returned to the caller.
    pub request_id: String,
    /// Team of the caller.
    pub team: TeamId,
    /// Rank of the request.
    pub rank: RankName,
    /// Budget that pays for the request.
    pub budget: BudgetId,
    /// Upper bound of the cost, in tokens.
    pub amount: Tokens,
    /// Model or service that runs the request.
    pub target: Target,
    /// Hash of team and content, equal for repeats of the same request.
    pub fingerprint: Fingerprint,
    /// Id for the first attempt; chosen by the control thread when `None`.
    pub attempt: Option<AttemptId>,
}

/// Permission to run one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Number of the request.
    pub no: RequestNo,
    /// Endpoint that runs the attempt.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Level of the rank; 0 is the most urgent.
    pub priority: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The complete response arrived.
    Ok,
    /// The endpoint refused the request because it is busy or leaving.
    Busy,
    /// The endpoint responded with an error or an invalid response.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke after part of the request was sent.
    Broken,
    /// Nothing arrived within the timeout.
    TimedOut,
    /// The caller disconnected.
    Cancelled,
}

/// A message to the control thread.
pub enum CoreMsg {
    /// Requests admission. The reply is the ticket of the first attempt.
    Admit(Box<Admit>, oneshot::Sender<Result<Ticket, Refusal>>),
    /// Reports a failed attempt. The reply is a ticket for another attempt, or
    /// the error for the caller; it is sent after the strike, if any, has been
    /// committed.
    AttemptFailed {
        /// Number of the request.
        no: RequestNo,
        /// How the attempt ended.
        end: AttemptEnd,
        /// Whether another attempt is allowed.
        retry: bool,
        /// Whether the request was run, as reported to the caller.
        run: RunState,
        /// Tokens to settle if no other attempt follows.
        used: Tokens,
        /// Receives the next ticket.
        reply: oneshot::Sender<Result<Ticket, Refusal>>,
    },
    /// Asks whether a request stays at its silent endpoint.
    Silent {
        /// Number of the request.
        no: RequestNo,
        /// Whether another endpoint may take it.
        may_move: bool,
        /// Receives the decision.
        reply: oneshot::Sender<bool>,
    },
    /// The first chunk of the response arrived this long after the request.
    FirstByte(RequestNo, Duration),
    /// What the answer to a request says about further requests to its endpoint.
    Notice(RequestNo, EndpointNotice),
    /// Ends a request: settles its reservation and frees its slot.
    Finish {
        /// Number of the request.
        no: RequestNo,
        /// Tokens used.
        used: Tokens,
        /// How the last attempt ended.
        end: AttemptEnd,
        /// Hash of team, idempotency key and request; `None` without a key.
        key: Option<[u8; 16]>,
    },
    /// Replies once every earlier settlement has been handed over to the
    /// control members and to the router that keeps copies.
    AwaitSettlements(oneshot::Sender<()>),
    /// Records the start of an order before the order is sent to an endpoint. It
    /// is resent to the control members until the timeout.
    OrderBegin(
        OrderBegin,
        Duration,
        oneshot::Sender<Result<OrderReply, Refusal>>,
    ),
    /// Records the outcome of an order. It is resent until acknowledged.
    OrderFinish(OrderFinish),
    /// Passes on the announcement of an endpoint.
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

/// Sends messages to the control thread.
#[derive(Clone)]
pub struct CoreHandle {
    tx: mpsc::Sender<CoreMsg>,
    next: Arc<AtomicU64>,
}

fn overloaded() -> Refusal {
    Refusal::unavailable("overloaded", "the router's queue is full")
        .retry_after(Duration::from_millis(500))
}

fn stopped() -> Refusal {
    Refusal::unavailable("stopping", "the router is stopping")
}

impl CoreHandle {
    /// Returns a handle and the receiver for the control thread.
    pub fn new() -> (Self, mpsc::Receiver<CoreMsg>) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let next = Arc::new(AtomicU64::new(1));
        (Self { tx, next }, rx)
    }

    /// Returns a new request number, unique within this router.
    pub fn next_request_no(&self) -> RequestNo {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the number of messages queued for the control thread.
    pub fn queued_messages(&self) -> usize {
        MAX_QUEUED_MESSAGES - self.tx.capacity()
    }

    /// Sends the message that `make` builds and waits for its reply.
    async fn call<T>(
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

    /// Requests admission and waits for the ticket of the first attempt.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub async fn admit(&self, admit: Admit) -> Result<Ticket, Refusal> {
        self.call(|reply| CoreMsg::Admit(Box::new(admit), reply))
            .await
    }

    /// Reports a failed attempt and waits for the ticket of the next one.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller when there is no other attempt.
    pub async fn report_failure(
        &self,
        no: RequestNo,
        end: AttemptEnd,
        retry: bool,
        run: RunState,
        used: Tokens,
    ) -> Result<Ticket, Refusal> {
        let (reply, rx) = oneshot::channel();
        let msg = CoreMsg::AttemptFailed {
            no,
            end,
            retry,
            run,
            used,
            reply,
        };
        if self.tx.send(msg).await.is_err() {
            return Err(stopped().with_run_state(run));
        }
        rx.await
            .unwrap_or_else(|_| Err(stopped().with_run_state(run)))
    }

    /// Returns whether a request stays at its silent endpoint: the endpoint is announced,
    /// and no other one can take the request. With `may_move` unset, no other one may.
    pub async fn keeps_endpoint(&self, no: RequestNo, may_move: bool) -> bool {
        let (reply, rx) = oneshot::channel();
        let msg = CoreMsg::Silent {
            no,
            may_move,
            reply,
        };
        match self.tx.try_send(msg) {
            Ok(()) => rx.await.unwrap_or(false),
            // Nobody decides now, so that the request is asked about again.
            Err(mpsc::error::TrySendError::Full(_)) => true,
            Err(mpsc::error::TrySendError::Closed(_)) => false,
        }
    }

    /// Sends a message that must not be lost. It doesn't block, so it can be
    /// called from `Drop`; when the queue is full, a new task sends the message.
    pub fn post(&self, msg: CoreMsg) {
        match self.tx.try_send(msg) {
            Ok(()) | Err(mpsc::error::TrySendError::Closed(_)) => {}
            Err(mpsc::error::TrySendError::Full(msg)) => {
                // The number of these tasks is bounded by the requests in flight,
                // each of which ends once.
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
    /// Returns the refusal for the caller. The order is then not recorded, or
    /// will be recorded as not run.
    pub async fn order_begin(
        &self,
        begin: OrderBegin,
        timeout: Duration,
    ) -> Result<OrderReply, Refusal> {
        self.call(|reply| CoreMsg::OrderBegin(begin, timeout, reply))
            .await
    }

    /// Passes an endpoint's announcement to the control thread.
    ///
    /// # Errors
    ///
    /// Returns the reason of the rejection, which is sent to the endpoint.
    pub async fn announce(&self, update: EndpointUpdate) -> Result<(), String> {
        let (reply, rx) = oneshot::channel();
        self.tx
            .try_send(CoreMsg::Announce(update, reply))
            .map_err(|_| "the router is overloaded".to_owned())?;
        rx.await
            .unwrap_or_else(|_| Err("the router is stopping".into()))
    }

    /// Returns the state of a budget as JSON.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub async fn budget(&self, budget: BudgetId, team: TeamId) -> Result<String, Refusal> {
        self.call(|reply| CoreMsg::Budget {
            budget,
            team,
            reply,
        })
        .await
    }
}
