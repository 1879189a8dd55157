//! The control thread: single owner of lease, budgets, queues and endpoints.
//!
//! Messages, replies and timers are events that are handled one at a time.
//! Calls to control run as futures whose replies are events too.

mod budgets;
mod drain;
mod gauges;
mod lease;
mod orders;
mod peers;
mod placement;
mod queues;
mod requests;
mod suspects;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use anvilloft_admission::Admission;
use anvilloft_budget::Allotments;
use anvilloft_budget::NeedId;
use anvilloft_budget::SettlementCopies;
use anvilloft_directory::EndpointTable;
use anvilloft_directory::RouterDirectory;
use anvilloft_gateway::CoreMsg;
use anvilloft_gateway::View;
use anvilloft_gateway::view::SharedView;
use anvilloft_ledger::Config;
use anvilloft_routing::PredictiveSelector;
use anvilloft_routing::RetryBudget;
use anvilloft_routing::Selector;
use anvilloft_routing::SelectorConfig;
use anvilloft_routing::Suspects;
use anvilloft_types::AttemptId;
use anvilloft_types::BoxFuture;
use anvilloft_types::Clock;
use anvilloft_types::Fingerprint;
use anvilloft_types::Incarnation;
use anvilloft_types::RequestNo;
use anvilloft_types::TeamId;
use anvilloft_types::Tokens;
use anvilloft_wire::CallError;
use anvilloft_wire::Control;
use anvilloft_wire::ControlReply;
use anvilloft_wire::ControlRequest;
use anvilloft_wire::peers::PeerFrame;
use anvilloft_wire::peers::Peers;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::sync::watch;

pub use crate::core::gauges::Gauges;
use crate::core::requests::Req;

/// Interval between checks of timeouts and periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of further messages handled before decisions are made.
const MAX_MSG_BATCH: usize = 64;
/// Timeout of a call to control.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Identity of this router.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the router.
    pub router: String,
    /// Incarnation, larger than any earlier one of this router.
    pub incarnation: Incarnation,
    /// Data centre of the router.
    pub data_centre: String,
    /// Address advertised to callers.
    pub caller_address: String,
    /// Address advertised to peers.
    pub peer_address: String,
}

/// Maximum numbers of queued requests for one model or service, and of requests
/// that wait for a grant of tokens.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Maximum queued requests of one team in one rank.
    pub max_team_queue: usize,
    /// Maximum queued requests of all teams and ranks.
    pub max_total_queue: usize,
    /// Maximum requests of one team that wait for a grant, over all budgets.
    pub max_team_grant_waits: usize,
    /// Maximum requests of all teams that wait for a grant.
    pub max_grant_waits: usize,
}

/// Lifecycle phase of a router, from its registration to the end of its drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Registering its incarnation with control.
    Registering,
    /// Accepts requests.
    Serving,
    /// No longer in entry answers, still accepts requests.
    Leaving,
    /// Refuses new requests, finishes those in flight.
    Finishing,
    /// Everything is settled and the incarnation is closed.
    Closed,
    /// Control ended the incarnation: it is closed, lost or replaced by a newer one.
    Superseded,
}

/// How the router should stop, if at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopRequest {
    /// Keep running.
    None,
    /// Finish the requests in flight, then stop.
    Drain,
    /// Stop at once and interrupt requests in flight.
    Immediate,
}

/// Result of a call to control or of a probe, handled as an event.
pub(crate) enum Completion {
    IncarnationOpened(CallResult),
    LeaseRenewed(Duration, CallResult),
    Granted(u64, CallResult),
    Reported(u64, CallResult),
    CopyDelivered(String, Incarnation, u64, CallResult),
    OrderBegun(Box<orders::PendingOrderBegin>, CallResult),
    OrderFinished(Box<anvilloft_wire::command::OrderFinish>, CallResult),
    StrikeRecorded(Box<anvilloft_routing::suspect::PendingStrike>, CallResult),
    PermitReply(
        RequestNo,
        Fingerprint,
        Box<anvilloft_routing::Choice>,
        CallResult,
    ),
    PermitEnded(Box<anvilloft_wire::command::SuspectEnd>, CallResult),
    Probed(String, Incarnation, bool),
    BudgetRead(
        tokio::sync::oneshot::Sender<Result<String, anvilloft_gateway::Refusal>>,
        CallResult,
    ),
    IncarnationClosed(CallResult),
    /// Repeats the call of the contained completion, after a delay.
    Retry(Box<Completion>),
}

/// Reply of control, or the error of the call.
pub(crate) type CallResult = Result<ControlReply, CallError>;

/// Queue of the requests for one model or service.
pub(crate) struct Lane {
    pub(crate) admission: Box<dyn Admission>,
    /// Requests that admission started, waiting for an endpoint or a permit.
    pub(crate) parked: Vec<RequestNo>,
}

/// Model or service whose requests a lane queues.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LaneKey {
    Model(String),
    Service(String),
}

/// A cancelled attempt that may still crash its endpoint.
pub(crate) struct CancelledAttempt {
    pub(crate) endpoint: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) attempt: AttemptId,
    pub(crate) cancelled_at: Duration,
    /// Fingerprint of the request, when it ran under a permit.
    pub(crate) permit: Option<Fingerprint>,
}

/// State of the control thread.
pub struct Core {
    pub(crate) id: Identity,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) view: SharedView,
    pub(crate) control: Arc<dyn Control>,
    pub(crate) peers: Arc<dyn Peers>,
    /// Calls to control, probes and delays in flight.
    pub(crate) calls: FuturesUnordered<BoxFuture<'static, Completion>>,
    pub(crate) phase: watch::Sender<Phase>,

    pub(crate) config: Arc<Config>,
    pub(crate) lease_until: Duration,
    pub(crate) renew_at: Duration,
    pub(crate) renewing: bool,
    pub(crate) routers: Arc<RouterDirectory>,
    /// End of [`Phase::Leaving`], known once control has recorded the drain.
    pub(crate) leave_until: Option<Duration>,
    /// Whether the close of the incarnation was sent and awaits its reply.
    pub(crate) closing: bool,

    pub(crate) endpoints: EndpointTable,
    pub(crate) selector: Box<dyn Selector>,
    pub(crate) suspects: Suspects,
    pub(crate) retry: RetryBudget,
    pub(crate) lanes: BTreeMap<LaneKey, Lane>,
    pub(crate) capacity_dirty: bool,
    pub(crate) lanes_dirty: bool,

    pub(crate) allotments: Allotments,
    /// Settlement copies held for other routers.
    pub(crate) copies: SettlementCopies,
    /// Peer that holds the copies of this router's settlements.
    pub(crate) copy_holder: Option<String>,
    pub(crate) deliveries: HashMap<(String, Incarnation), budgets::Delivery>,
    /// Finished requests that wait until their settlements were sent to control
    /// and to the copy holder. Each waits for at most 50 ms.
    pub(crate) settlement_waiters: Vec<tokio::sync::oneshot::Sender<()>>,
    /// Requests that wait for a grant, with their teams.
    pub(crate) needs: HashMap<NeedId, (RequestNo, TeamId)>,
    /// Number of `needs` by team.
    pub(crate) needs_by_team: HashMap<TeamId, usize>,
    /// Budgets that control recalled, with the end of the recall. Tokens that
    /// requests free until then are returned too.
    pub(crate) recalled_until: HashMap<String, Duration>,

    pub(crate) requests: HashMap<RequestNo, Req>,
    /// Requests with a failed attempt that wait until it is known whether their
    /// endpoint died.
    pub(crate) endpoint_checks: Vec<RequestNo>,
    /// Attempts with a strike, and whether control has committed it.
    pub(crate) strikes: HashMap<AttemptId, bool>,
    /// Suspect requests whose permit this router has requested or holds.
    pub(crate) permits: HashSet<Fingerprint>,
    pub(crate) cancelled_attempts: Vec<CancelledAttempt>,
    /// Strikes reported by peers, with the time of the report. Each is kept until
    /// the fleet-wide list in the lease should contain it.
    pub(crate) peer_strikes: HashMap<Fingerprint, Duration>,
    /// Number of order records that control has not acknowledged.
    pub(crate) open_orders: usize,

    /// Exponentially decayed sum of tokens by team, from which the shares for
    /// entry answers are computed.
    pub(crate) demand: HashMap<String, f64>,
    pub(crate) shares_updated_at: Duration,
    pub(crate) gauges: Gauges,
    pub(crate) queues: QueueLimits,
    pub(crate) copies_resent_at: Duration,
    pub(crate) placement: placement::ReportState,
}

/// Dependencies and options of the control thread.
pub struct CoreParts {
    /// Identity of this router.
    pub id: Identity,
    /// Monotonic time, shared with the traffic threads.
    pub clock: Clock,
    /// Logger.
    pub log: Logger,
    /// Snapshot that the traffic threads read.
    pub view: SharedView,
    /// Access to the ledger.
    pub control: Arc<dyn Control>,
    /// Sends frames to peers.
    pub peers: Arc<dyn Peers>,
    /// Metrics.
    pub gauges: Gauges,
    /// Limits of the queues.
    pub queues: QueueLimits,
    /// Seed of the selector's random choices.
    pub seed: u64,
}

impl Core {
    /// Creates the state of a router that has just started.
    pub fn new(parts: CoreParts) -> Self {
        let now = parts.clock.now();
        let rng = SmallRng::seed_from_u64(parts.seed);
        let selector = PredictiveSelector::new(SelectorConfig::default(), rng);
        let allotments = Allotments::new(parts.id.router.clone(), parts.id.incarnation);
        Self {
            id: parts.id,
            clock: parts.clock,
            log: parts.log,
            view: parts.view,
            control: parts.control,
            peers: parts.peers,
            calls: FuturesUnordered::new(),
            phase: watch::Sender::new(Phase::Registering),
            config: Arc::new(Config::new()),
            lease_until: Duration::ZERO,
            renew_at: now,
            renewing: false,
            routers: Arc::new(RouterDirectory::default()),
            leave_until: None,
            closing: false,
            endpoints: EndpointTable::new(),
            selector: Box::new(selector),
            suspects: Suspects::new(),
            retry: RetryBudget::new(now),
            lanes: BTreeMap::new(),
            capacity_dirty: false,
            lanes_dirty: false,
            allotments,
            copies: SettlementCopies::new(),
            copy_holder: None,
            deliveries: HashMap::new(),
            settlement_waiters: Vec::new(),
            needs: HashMap::new(),
            needs_by_team: HashMap::new(),
            recalled_until: HashMap::new(),
            requests: HashMap::new(),
            endpoint_checks: Vec::new(),
            strikes: HashMap::new(),
            permits: HashSet::new(),
            cancelled_attempts: Vec::new(),
            peer_strikes: HashMap::new(),
            open_orders: 0,
            demand: HashMap::new(),
            shares_updated_at: now,
            gauges: parts.gauges,
            queues: parts.queues,
            copies_resent_at: now,
            placement: placement::ReportState::default(),
        }
    }

    /// Returns a receiver that follows the phase.
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    pub(crate) fn current_phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Calls control; `on_reply` turns the result into an event.
    pub(crate) fn call(
        &mut self,
        req: impl Into<ControlRequest>,
        timeout: Duration,
        on_reply: impl FnOnce(CallResult) -> Completion + Send + 'static,
    ) {
        let control = Arc::clone(&self.control);
        let req = req.into();
        self.calls.push(Box::pin(async move {
            on_reply(control.call(req, timeout).await)
        }));
    }

    /// Delivers an event after a delay.
    pub(crate) fn complete_after(&mut self, delay: Duration, completion: Completion) {
        self.calls.push(Box::pin(async move {
            tokio::time::sleep(delay).await;
            completion
        }));
    }

    /// Handles events until the senders of `msgs` are dropped, the incarnation is
    /// closed or an immediate stop is requested.
    pub async fn run(
        mut self,
        mut msgs: mpsc::Receiver<CoreMsg>,
        mut inbox: mpsc::Receiver<PeerFrame>,
        mut stop: watch::Receiver<StopRequest>,
    ) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.register();
        loop {
            // Frames of peers take precedence over new requests, so that a
            // crashing request that its caller repeats can't overtake the strike.
            tokio::select! {
                biased;
                Some(frame) = inbox.recv() => self.on_frame(self.clock.now(), frame),
                _ = tick.tick() => self.on_tick(self.clock.now()),
                Ok(()) = stop.changed() => {
                    let request = *stop.borrow();
                    match request {
                        StopRequest::None => {}
                        StopRequest::Drain => self.start_drain(),
                        StopRequest::Immediate => return self.log_interrupted(),
                    }
                }
                Some(completion) = self.calls.next(), if !self.calls.is_empty() => {
                    self.on_completion(self.clock.now(), completion);
                }
                msg = msgs.recv() => {
                    let Some(msg) = msg else {
                        return;
                    };
                    let now = self.clock.now();
                    self.on_msg(now, msg);
                    // Handles the messages that are already queued before the
                    // lanes are polled, which saves polls under load.
                    for _ in 0..MAX_MSG_BATCH {
                        let Ok(msg) = msgs.try_recv() else {
                            break;
                        };
                        self.on_msg(now, msg);
                    }
                }
            }
            self.flush(self.clock.now());
            if self.current_phase() == Phase::Closed {
                return;
            }
        }
    }

    fn on_msg(&mut self, now: Duration, msg: CoreMsg) {
        match msg {
            CoreMsg::Admit(admit, reply) => self.on_admit(now, *admit, reply),
            CoreMsg::AttemptFailed {
                no,
                end,
                retry,
                run,
                used,
                reply,
            } => self.on_failed(
                now,
                no,
                end,
                requests::FailedAttempt {
                    retry,
                    run,
                    used,
                    reply,
                },
            ),
            CoreMsg::Silent {
                no,
                may_move,
                reply,
            } => {
                reply.send(self.keeps_endpoint(now, no, may_move)).ok();
            }
            CoreMsg::FirstByte(no, waited) => self.on_first_byte(now, no, waited),
            CoreMsg::Notice(no, notice) => self.on_notice(now, no, notice),
            CoreMsg::AwaitSettlements(reply) => self.settlement_waiters.push(reply),
            CoreMsg::Finish { no, used, end, key } => self.on_finish(now, no, used, end, key),
            CoreMsg::OrderBegin(begin, within, reply) => {
                self.on_order_begin(now, begin, within, reply);
            }
            CoreMsg::OrderFinish(finish) => self.on_order_finish(finish),
            CoreMsg::Announce(update, reply) => {
                let res = self.on_announce(now, update, Duration::ZERO, true);
                reply.send(res).ok();
            }
            CoreMsg::Budget {
                budget,
                team,
                reply,
            } => self.on_budget(budget, team, reply),
        }
    }

    fn on_completion(&mut self, now: Duration, completion: Completion) {
        match completion {
            Completion::IncarnationOpened(res) => self.on_opened(now, res),
            Completion::LeaseRenewed(sent, res) => self.on_renewed(now, sent, res),
            Completion::Granted(seq, res) => self.on_granted(now, seq, res),
            Completion::Reported(seq, res) => self.on_reported(now, seq, res),
            Completion::CopyDelivered(router, incarnation, seq, res) => {
                self.on_copy_delivered(now, router, incarnation, seq, res);
            }
            Completion::OrderBegun(pending, res) => self.on_order_begun(now, *pending, res),
            Completion::OrderFinished(finish, res) => self.on_order_finished(*finish, res),
            Completion::StrikeRecorded(strike, res) => self.on_strike_recorded(now, *strike, res),
            Completion::PermitReply(no, fingerprint, choice, res) => {
                self.on_permit(now, no, fingerprint, *choice, res);
            }
            Completion::PermitEnded(end, res) => self.on_permit_ended(*end, res),
            Completion::Probed(endpoint, incarnation, refused) => {
                self.on_probed(now, &endpoint, incarnation, refused);
            }
            Completion::BudgetRead(reply, res) => Self::on_budget_read(reply, res),
            Completion::IncarnationClosed(res) => self.on_closed(res),
            Completion::Retry(retry) => self.on_retry(*retry),
        }
    }

    fn on_retry(&mut self, completion: Completion) {
        match completion {
            Completion::IncarnationOpened(_) => self.register(),
            Completion::StrikeRecorded(strike, _) => self.send_strike(*strike),
            Completion::PermitEnded(end, _) => self.send_permit_end(*end),
            Completion::OrderFinished(finish, _) => self.send_order_finish(*finish),
            Completion::OrderBegun(pending, _) => self.send_order_begin(*pending),
            Completion::IncarnationClosed(_) => self.closing = false,
            _ => {}
        }
    }

    fn on_tick(&mut self, now: Duration) {
        self.tick_lease(now);
        self.tick_endpoints(now);
        self.tick_endpoint_checks(now);
        self.tick_shares(now);
        self.tick_gauges(now);
        self.tick_copies(now);
        self.tick_drain(now);
        self.deliver_copies(now);
        self.lanes_dirty = true;
    }

    /// Applies deferred work after an event: updates capacities, starts queued
    /// requests, and sends grants, reports and copies.
    fn flush(&mut self, now: Duration) {
        if std::mem::take(&mut self.capacity_dirty) {
            self.set_capacities(now);
            self.lanes_dirty = true;
        }
        if std::mem::take(&mut self.lanes_dirty) {
            self.poll_lanes(now);
        }
        self.flush_budgets(now);
    }

    /// Publishes a new snapshot for the traffic threads.
    pub(crate) fn publish(&self) {
        let phase = self.current_phase();
        let mut shares: Vec<(String, f64)> = Vec::new();
        let total: f64 = self.demand.values().sum();
        if total > 0.0 {
            shares = self
                .demand
                .iter()
                .map(|(team, tokens)| (team.clone(), tokens / total))
                .collect();
            shares.sort_by(|a, b| a.0.cmp(&b.0));
        }
        self.view.store(Arc::new(View {
            config: Arc::clone(&self.config),
            lease_expires: self.lease_until,
            draining: phase >= Phase::Leaving,
            accepts_work: phase <= Phase::Leaving,
            routers: Arc::clone(&self.routers),
            team_shares: Arc::new(shares),
            endpoint_count: self.endpoints.len(),
        }));
    }

    /// Adds tokens to the demand of a team.
    pub(crate) fn record_demand(&mut self, team: &str, tokens: Tokens) {
        if let Some(sum) = self.demand.get_mut(team) {
            *sum += tokens as f64;
        } else if self.demand.len() < MAX_DEMAND_TEAMS {
            self.demand.insert(team.to_owned(), tokens as f64);
        }
    }

    fn tick_shares(&mut self, now: Duration) {
        if now.saturating_sub(self.shares_updated_at) < SHARES_INTERVAL {
            return;
        }
        self.shares_updated_at = now;
        self.demand.retain(|_, tokens| {
            *tokens *= DEMAND_DECAY_PER_SECOND;
            *tokens >= 1.0
        });
        self.placement.decay_demand();
        self.publish();
    }
}

/// Maximum number of teams whose demand is recorded.
const MAX_DEMAND_TEAMS: usize = 16_384;
/// Interval between updates of the demand shares.
const SHARES_INTERVAL: Duration = Duration::from_secs(1);
/// Factor by which demand decays each second; halves it in about 30 s.
const DEMAND_DECAY_PER_SECOND: f64 = 0.977;
