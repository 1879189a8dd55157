//! The control thread: one owner for lease, budgets, queues and endpoints.
//!
//! Every message, reply and timer is an event; each is handled to its end
//! before the next. Calls to control run as futures whose replies come back
//! as events.

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

/// Time between two looks at everything that is due by time.
const TICK: Duration = Duration::from_millis(10);
/// Messages taken at once.
const MSG_BATCH: usize = 64;
/// Limit of one call to control.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// Who this router is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name.
    pub router: String,
    /// Incarnation, larger than any before.
    pub incarnation: Incarnation,
    /// Data centre.
    pub data_centre: String,
    /// Address for callers.
    pub caller_address: String,
    /// Address for peers.
    pub peer_address: String,
}

/// Bounds of the queues of one model or service, and of the requests that wait
/// for tokens, in requests.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Of one team in one rank.
    pub team: usize,
    /// Of all teams and ranks.
    pub total: usize,
    /// Of one team that wait for a grant of tokens, over all budgets.
    pub grant_wait_team_requests: usize,
    /// Of all teams that wait for a grant of tokens.
    pub grant_wait_requests: usize,
}

/// How far the router is with its planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Registers itself.
    Opening,
    /// Takes work.
    Serving,
    /// Left the entry answers, still takes work.
    Leaving,
    /// Takes no new work, finishes what it has.
    Finishing,
    /// Everything is settled and the incarnation is closed.
    Closed,
    /// Control ended the incarnation.
    Superseded,
}

/// What the router was told about its stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stop {
    /// Run on.
    No,
    /// Finish the requests in flight, then stop.
    Drain,
    /// Stop now and interrupt what runs.
    Now,
}

/// The result of a call to control or of a probe.
pub(crate) enum Done {
    Opened(Outcome),
    Renewed(Duration, Outcome),
    Granted(u64, Outcome),
    Reported(u64, Outcome),
    CopyDelivered(String, Incarnation, u64, Outcome),
    OrderBegun(Box<orders::Beginning>, Outcome),
    OrderFinished(Box<anvilloft_wire::command::OrderFinish>, Outcome),
    Struck(Box<anvilloft_routing::suspect::PendingStrike>, Outcome),
    Permit(
        RequestNo,
        Fingerprint,
        Box<anvilloft_routing::Choice>,
        Outcome,
    ),
    PermitEnded(Box<anvilloft_wire::command::SuspectEnd>, Outcome),
    Probed(String, Incarnation, bool),
    Budget(
        tokio::sync::oneshot::Sender<Result<String, anvilloft_gateway::Refusal>>,
        Outcome,
    ),
    Closed(Outcome),
    /// A call to make again after a pause.
    Again(Box<Done>),
}

pub(crate) type Outcome = Result<ControlReply, CallError>;

/// Requests of one model or service.
pub(crate) struct Lane {
    pub(crate) admission: Box<dyn Admission>,
    /// Started by admission, waiting for an endpoint.
    pub(crate) parked: Vec<RequestNo>,
}

/// Model or service that a lane is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LaneKey {
    Model(String),
    Service(String),
}

/// A cancelled attempt whose endpoint may still die of it.
pub(crate) struct Lingering {
    pub(crate) endpoint: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) attempt: AttemptId,
    pub(crate) since: Duration,
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
    pub(crate) calls: FuturesUnordered<BoxFuture<'static, Done>>,
    pub(crate) phase: watch::Sender<Phase>,

    pub(crate) config: Arc<Config>,
    pub(crate) lease_until: Duration,
    pub(crate) renew_at: Duration,
    pub(crate) renewing: bool,
    pub(crate) routers: Arc<RouterDirectory>,
    pub(crate) leave_until: Option<Duration>,
    pub(crate) closing: bool,

    pub(crate) endpoints: EndpointTable,
    pub(crate) selector: Box<dyn Selector>,
    pub(crate) suspects: Suspects,
    pub(crate) retry: RetryBudget,
    pub(crate) lanes: BTreeMap<LaneKey, Lane>,
    pub(crate) capacity_dirty: bool,
    pub(crate) lanes_dirty: bool,

    pub(crate) allotments: Allotments,
    pub(crate) copies: SettlementCopies,
    pub(crate) copy_holder: Option<String>,
    pub(crate) deliveries: HashMap<(String, Incarnation), budgets::Delivery>,
    /// Requests that wait for a grant, with their teams.
    /// Requests whose end waits until their settlement was handed over. Each
    /// waits 50 ms at most.
    pub(crate) hand_overs: Vec<tokio::sync::oneshot::Sender<()>>,
    pub(crate) needs: HashMap<NeedId, (RequestNo, TeamId)>,
    /// Count of `needs` by team.
    pub(crate) team_needs: HashMap<TeamId, usize>,
    /// Budgets asked back lately: what requests free until then goes back too.
    pub(crate) recalled: HashMap<String, Duration>,

    pub(crate) requests: HashMap<RequestNo, Req>,
    pub(crate) judging: Vec<RequestNo>,
    pub(crate) strikes: HashMap<AttemptId, bool>,
    pub(crate) permits: HashSet<Fingerprint>,
    pub(crate) lingering: Vec<Lingering>,
    /// Strikes that peers told, until the lease's list has them.
    pub(crate) told: HashMap<Fingerprint, Duration>,
    pub(crate) open_orders: usize,

    /// Tokens by team, decayed, for the shares of the entry answer.
    pub(crate) demand: HashMap<String, f64>,
    pub(crate) shares_at: Duration,
    pub(crate) gauges: Gauges,
    pub(crate) queues: QueueLimits,
    pub(crate) copies_at: Duration,
    pub(crate) placement: placement::Reports,
}

/// What the control thread is made of.
pub struct CoreParts {
    /// Who this router is.
    pub id: Identity,
    /// Monotonic time, shared with the traffic threads.
    pub clock: Clock,
    /// Log.
    pub log: Logger,
    /// Picture for the traffic threads.
    pub view: SharedView,
    /// Access to the ledger.
    pub control: Arc<dyn Control>,
    /// Access to peers.
    pub peers: Arc<dyn Peers>,
    /// Metrics.
    pub gauges: Gauges,
    /// Bounds of the queues.
    pub queues: QueueLimits,
    /// Seed of the selector's random choices.
    pub seed: u64,
}

impl Core {
    /// Makes the state of a router that has just started.
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
            phase: watch::Sender::new(Phase::Opening),
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
            hand_overs: Vec::new(),
            needs: HashMap::new(),
            team_needs: HashMap::new(),
            recalled: HashMap::new(),
            requests: HashMap::new(),
            judging: Vec::new(),
            strikes: HashMap::new(),
            permits: HashSet::new(),
            lingering: Vec::new(),
            told: HashMap::new(),
            open_orders: 0,
            demand: HashMap::new(),
            shares_at: now,
            gauges: parts.gauges,
            queues: parts.queues,
            copies_at: now,
            placement: placement::Reports::default(),
        }
    }

    /// Returns a receiver that follows the phase.
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    pub(crate) fn phase_now(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Calls control; the reply comes back as an event.
    pub(crate) fn call(
        &mut self,
        req: impl Into<ControlRequest>,
        limit: Duration,
        done: impl FnOnce(Outcome) -> Done + Send + 'static,
    ) {
        let control = Arc::clone(&self.control);
        let req = req.into();
        self.calls.push(Box::pin(
            async move { done(control.call(req, limit).await) },
        ));
    }

    /// Brings an event back after a pause.
    pub(crate) fn later(&mut self, pause: Duration, done: Done) {
        self.calls.push(Box::pin(async move {
            tokio::time::sleep(pause).await;
            done
        }));
    }

    /// Runs until the senders of `msgs` are gone, the router is closed or it is
    /// told to stop now.
    pub async fn run(
        mut self,
        mut msgs: mpsc::Receiver<CoreMsg>,
        mut inbox: mpsc::Receiver<PeerFrame>,
        mut stop: watch::Receiver<Stop>,
    ) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.open();
        loop {
            // Frames of peers come before new requests: a caller that sends a
            // crashing request again must not overtake the strike.
            tokio::select! {
                biased;
                Some(frame) = inbox.recv() => self.on_frame(self.clock.now(), frame),
                _ = tick.tick() => self.on_tick(self.clock.now()),
                Ok(()) = stop.changed() => {
                    let wanted = *stop.borrow();
                    match wanted {
                        Stop::No => {}
                        Stop::Drain => self.start_drain(),
                        Stop::Now => return self.log_interrupted(),
                    }
                }
                Some(done) = self.calls.next(), if !self.calls.is_empty() => {
                    self.on_done(self.clock.now(), done);
                }
                msg = msgs.recv() => {
                    let Some(msg) = msg else {
                        return;
                    };
                    let now = self.clock.now();
                    self.on_msg(now, msg);
                    // Takes what else is there before deciding, which saves
                    // polls of the queues under load.
                    for _ in 0..MSG_BATCH {
                        let Ok(msg) = msgs.try_recv() else {
                            break;
                        };
                        self.on_msg(now, msg);
                    }
                }
            }
            self.flush(self.clock.now());
            if self.phase_now() == Phase::Closed {
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
                requests::Failing {
                    retry,
                    run,
                    used,
                    reply,
                },
            ),
            CoreMsg::FirstByte(no, waited) => self.on_first_byte(now, no, waited),
            CoreMsg::AwaitSettlements(reply) => self.hand_overs.push(reply),
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

    fn on_done(&mut self, now: Duration, done: Done) {
        match done {
            Done::Opened(res) => self.on_opened(now, res),
            Done::Renewed(sent, res) => self.on_renewed(now, sent, res),
            Done::Granted(seq, res) => self.on_granted(now, seq, res),
            Done::Reported(seq, res) => self.on_reported(now, seq, res),
            Done::CopyDelivered(router, incarnation, seq, res) => {
                self.on_copy_delivered(now, router, incarnation, seq, res);
            }
            Done::OrderBegun(beginning, res) => self.on_order_begun(now, *beginning, res),
            Done::OrderFinished(finish, res) => self.on_order_finished(*finish, res),
            Done::Struck(due, res) => self.on_struck(now, *due, res),
            Done::Permit(no, fingerprint, choice, res) => {
                self.on_permit(now, no, fingerprint, *choice, res);
            }
            Done::PermitEnded(end, res) => self.on_permit_ended(*end, res),
            Done::Probed(endpoint, incarnation, refused) => {
                self.on_probed(now, &endpoint, incarnation, refused);
            }
            Done::Budget(reply, res) => Self::on_budget_read(reply, res),
            Done::Closed(res) => self.on_closed(res),
            Done::Again(done) => self.on_again(*done),
        }
    }

    fn on_again(&mut self, done: Done) {
        match done {
            Done::Opened(_) => self.open(),
            Done::Struck(due, _) => self.send_strike(*due),
            Done::PermitEnded(end, _) => self.send_permit_end(*end),
            Done::OrderFinished(finish, _) => self.send_order_finish(*finish),
            Done::OrderBegun(beginning, _) => self.send_order_begin(*beginning),
            Done::Closed(_) => self.closing = false,
            _ => {}
        }
    }

    fn on_tick(&mut self, now: Duration) {
        self.tick_lease(now);
        self.tick_endpoints(now);
        self.tick_judging(now);
        self.tick_shares(now);
        self.tick_gauges(now);
        self.tick_copies(now);
        self.tick_drain(now);
        self.deliver_copies(now);
        self.lanes_dirty = true;
    }

    /// Sends what became due and decides who starts.
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

    /// Replaces the picture of the traffic threads.
    pub(crate) fn publish(&self) {
        let phase = self.phase_now();
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

    /// Counts tokens of a team for its share of the demand.
    pub(crate) fn count_demand(&mut self, team: &str, tokens: Tokens) {
        if let Some(sum) = self.demand.get_mut(team) {
            *sum += tokens as f64;
        } else if self.demand.len() < MAX_TEAMS {
            self.demand.insert(team.to_owned(), tokens as f64);
        }
    }

    fn tick_shares(&mut self, now: Duration) {
        if now.saturating_sub(self.shares_at) < SHARES_EVERY {
            return;
        }
        self.shares_at = now;
        self.demand.retain(|_, tokens| {
            *tokens *= SHARES_DECAY;
            *tokens >= 1.0
        });
        self.placement.decay();
        self.publish();
    }
}

/// Teams whose demand is counted, at most.
const MAX_TEAMS: usize = 16_384;
/// Time between two publications of the shares.
const SHARES_EVERY: Duration = Duration::from_secs(1);
/// Decay of the demand each second; halves it in about 30 s.
const SHARES_DECAY: f64 = 0.977;
