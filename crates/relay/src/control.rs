//! Control thread: maintains the lease and the route table, requests grants, and
//! exchanges reports, loads and announcements with the control group and peers.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvilloft_directory::DesignatedRouters;
use anvilloft_directory::TokenHolders;
use anvilloft_dispatch::Change;
use anvilloft_dispatch::CrashedEndpoint;
use anvilloft_types::lock;
use anvilloft_types::prelude::*;
use anvilloft_wire::CallError;
use anvilloft_wire::Control;
use anvilloft_wire::ControlClient;
use anvilloft_wire::ControlReply;
use anvilloft_wire::ControlRequest;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::CloseIncarnation;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::RouterState;
use anvilloft_wire::compression::decompress;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::LeaseGrant;
use anvilloft_wire::control::Publication;
use anvilloft_wire::control::RenewLease;
use anvilloft_wire::control::TableRequest;
use anvilloft_wire::frame::EndpointUpdate;
use anvilloft_wire::frame::Payload;
use anvilloft_wire::frame::RouterLoad;
use anvilloft_wire::peers::PeerFrame;
use anvilloft_wire::peers::Peers;
use anvilloft_wire::session::FleetOptions;
use anvilloft_wire::session::FleetPeers;
use anvilloft_wire::session::Identity;
use anvilloft_wire::session::join_fleet;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::convert::announcement_from_wire;
use crate::convert::engine_load_from_wire;
use crate::convert::engine_load_to_wire;
use crate::convert::sent_prompt_from_wire;
use crate::convert::sent_prompt_to_wire;
use crate::crashes;
use crate::evacuations;
use crate::loans::LoanHandler;
use crate::state::RelayState;

mod cold;
mod crash_reports;

/// Interval between lease renewals. A route table is requested as soon as control
/// announces a newer one, so for tables renewals only make up for lost messages.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout of a call to control.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Minimum time from the start of a failed call to its retry, and between two
/// requests for the same route table.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval of the timer for reports, grants without a reply, and the expiry of
/// endpoints.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between load reports to peers. In this time an engine processes
/// 13,000 prompt tokens, which is one long prompt.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a request for a route table. The largest takes 0.2 s at 10 Mbit/s.
const TABLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of peers that a router connects to. In small deployments this
/// connects all routers with each other.
const MAX_PEERS: usize = 10;
/// Increment of an incarnation that control refuses because it is older than the
/// last one, as happens when the host's clock was set back.
const INCARNATION_STEP_MS: u64 = 60_000;

/// Phase in the life of a relay, up to the end of its planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Registers its incarnation with control.
    Registering,
    /// Listed in the directory for callers.
    Serving,
    /// No longer listed in the directory. Requests in flight are completed.
    Leaving,
    /// All requests have ended, and tokens are returned.
    Settling,
    /// Control has closed the incarnation.
    Closed,
}

type CallResult = Result<ControlReply, CallError>;

/// Result of a call, by its kind.
enum CompletedCall {
    Registered(CallResult),
    Renewed(CallResult),
    Granted(u64, CallResult),
    Reported(u64, CallResult),
    CrashesReported(Vec<CrashedEndpoint>, CallResult),
    Closed(CallResult),
    TableFetched(CallResult),
}

/// Arguments of the control thread.
pub(crate) struct ControlArgs {
    pub(crate) cx: Arc<RelayState>,
    pub(crate) identity: Identity,
    pub(crate) members: Vec<SocketAddr>,
    pub(crate) peer_listener: TcpListener,
    /// Phase requested by the planned stop: `Leaving` or `Settling`.
    pub(crate) target_phase: watch::Receiver<Phase>,
    /// Publishes the current phase.
    pub(crate) phase: watch::Sender<Phase>,
}

struct ControlThread {
    cx: Arc<RelayState>,
    client: Arc<ControlClient>,
    peers: Arc<FleetPeers>,
    /// Members that the router started with.
    seed_members: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    registration: OpenIncarnation,
    phase: watch::Sender<Phase>,
    calls: FuturesUnordered<BoxFuture<'static, CompletedCall>>,
    // Whether a call of each kind is in flight.
    registering: bool,
    renewing: bool,
    fetching: bool,
    closing: bool,
    /// Number of reports of crashes in flight.
    crash_reports: usize,
    next_renewal: Instant,
    /// Time of the last renewal of the lease.
    last_renewal: Option<Duration>,
    /// Latest version announced by control, and the member that announced it.
    published_version: u64,
    publisher: String,
    /// Time of the next request for a table that was announced but not received.
    next_fetch: Instant,
    directory_version: u64,
    /// Routers of the directory, and those of them that were silent at the last lease.
    routers: Vec<OpenIncarnation>,
    silent_routers: Vec<RouterId>,
    designated: DesignatedRouters,
    next_load_report: Instant,
}

/// Runs the control thread until its incarnation is closed after a planned stop.
pub(crate) async fn run(args: ControlArgs) {
    let mut target_phase = args.target_phase;
    let peer_address = args.cx.options.peer_address;
    let peer_address = peer_address.or_else(|| args.peer_listener.local_addr().ok());
    let registration = OpenIncarnation {
        router: args.cx.options.name.clone(),
        incarnation: args.identity.incarnation,
        caller_address: args.cx.options.listen.to_string(),
        peer_address: peer_address.map_or_else(String::new, |a| a.to_string()),
        data_centre: args.cx.options.data_centre.clone(),
        state: RouterState::Alive.into(),
    };
    let mut options = FleetOptions::new(args.identity, args.peer_listener);
    options.control.clone_from(&args.members);
    options.max_peers = MAX_PEERS;
    options.call_handler = Arc::new(LoanHandler(Arc::clone(&args.cx)));
    let fleet = match join_fleet(options, &args.cx.log) {
        Ok(fleet) => fleet,
        Err(err) => {
            // Without sessions no lease or route table arrives, so the relay never
            // becomes ready.
            slog::crit!(args.cx.log, "can't listen for peers"; "error" => %err);
            return;
        }
    };
    // Can't fail, as there is a single control thread.
    let _ = args.cx.peers.set(Arc::clone(&fleet.peers));
    let mut inbox = fleet.inbox;
    let mut thread = ControlThread {
        cx: args.cx,
        client: fleet.control,
        peers: fleet.peers,
        seed_members: args.members.clone(),
        members: args.members,
        registration,
        phase: args.phase,
        calls: FuturesUnordered::new(),
        registering: false,
        renewing: false,
        fetching: false,
        closing: false,
        crash_reports: 0,
        next_renewal: Instant::now(),
        last_renewal: None,
        published_version: 0,
        publisher: String::new(),
        next_fetch: Instant::now(),
        directory_version: 0,
        routers: Vec::new(),
        silent_routers: Vec::new(),
        designated: DesignatedRouters::default(),
        next_load_report: Instant::now(),
    };
    thread.register();
    let mut next_tick = Instant::now() + TICK_INTERVAL;
    loop {
        let cx = Arc::clone(&thread.cx);
        tokio::select! {
            Some(frame) = inbox.recv() => {
                thread.on_frame(frame);
                while let Ok(frame) = inbox.try_recv() {
                    thread.on_frame(frame);
                }
            }
            Some(call) = thread.calls.next(), if !thread.calls.is_empty() => thread.on_result(call),
            () = cx.reservations.changed.notified() => {}
            () = sleep_until(next_tick) => {
                next_tick = Instant::now() + TICK_INTERVAL;
                thread.on_tick();
            }
            Ok(()) = target_phase.changed() => {
                let phase = *target_phase.borrow();
                thread.on_target_phase(phase);
            }
        }
        thread.start_due_calls();
        if *thread.phase.borrow() == Phase::Closed {
            return;
        }
    }
}

impl ControlThread {
    /// Starts a call to control. `complete` converts its result.
    fn call(
        &mut self,
        req: impl Into<ControlRequest>,
        complete: impl FnOnce(CallResult) -> CompletedCall + Send + 'static,
    ) {
        let (client, req) = (Arc::clone(&self.client), req.into());
        self.calls.push(Box::pin(async move {
            let started = Instant::now();
            let result = client.call(req, CALL_TIMEOUT).await;
            if result.is_err() {
                // Delays the retry of a call that failed immediately.
                sleep_until(started + RETRY_DELAY).await;
            }
            complete(result)
        }));
    }

    /// Registers the incarnation with its current state.
    fn register(&mut self) {
        if !std::mem::replace(&mut self.registering, true) {
            self.call(
                Body::OpenIncarnation(self.registration.clone()),
                CompletedCall::Registered,
            );
        }
    }

    fn on_result(&mut self, call: CompletedCall) {
        match call {
            CompletedCall::Registered(result) => self.on_registered(result),
            CompletedCall::Renewed(result) => self.on_renewed(result),
            CompletedCall::Granted(seq, Ok(reply)) => {
                if let Some(Answer::Applied(reply)) = reply.answer {
                    self.cx.reservations.on_grant(self.cx.now(), seq, &reply);
                }
            }
            CompletedCall::Reported(seq, Ok(reply)) => {
                if let Some(Answer::Applied(reply)) = reply.answer {
                    match reply.reply {
                        Some(Reply::Refused(r)) => {
                            slog::error!(self.cx.log, "report refused"; "seq" => seq,
                                "code" => r.code, "reason" => r.message);
                        }
                        _ => self.cx.reservations.on_report_ack(self.cx.now(), seq),
                    }
                }
            }
            // A command is proposed again under its number until it has a reply.
            CompletedCall::Granted(seq, Err(e)) | CompletedCall::Reported(seq, Err(e)) => {
                slog::debug!(self.cx.log, "no reply from control"; "seq" => seq, "error" => %e);
            }
            CompletedCall::CrashesReported(crashes, result) => {
                self.on_crashes_reported(crashes, result);
            }
            CompletedCall::TableFetched(result) => self.on_table_fetched(result),
            CompletedCall::Closed(result) => {
                self.closing = false;
                if let Ok(Some(Answer::Applied(_))) = result.map(|r| r.answer) {
                    slog::info!(self.cx.log, "incarnation closed");
                    self.phase.send_replace(Phase::Closed);
                }
            }
        }
    }

    fn on_registered(&mut self, result: CallResult) {
        self.registering = false;
        let reply = match result.map(|r| r.answer) {
            Ok(Some(Answer::Applied(reply))) => reply.reply,
            _ => return self.register(),
        };
        match reply {
            Some(Reply::Refused(r)) => {
                slog::warn!(self.cx.log, "control refused the incarnation"; "code" => &r.code,
                    "reason" => &r.message, "incarnation" => self.registration.incarnation);
                // Nothing was granted to this incarnation, so the relay may register
                // again with a later one.
                if self.last_renewal.is_none() {
                    self.registration.incarnation += INCARNATION_STEP_MS;
                    let (name, incarnation) =
                        (&self.registration.router, self.registration.incarnation);
                    self.cx.reservations.reset_incarnation(name, incarnation);
                }
                self.register();
            }
            _ => {
                if *self.phase.borrow() == Phase::Registering {
                    slog::info!(self.cx.log, "registered";
                        "incarnation" => self.registration.incarnation);
                    self.phase.send_replace(Phase::Serving);
                }
                self.next_renewal = Instant::now();
            }
        }
    }

    /// Requests a renewal of the lease.
    fn renew(&mut self) {
        if self.renewing || *self.phase.borrow() == Phase::Registering {
            return;
        }
        self.renewing = true;
        self.next_renewal = Instant::now() + RENEW_INTERVAL;
        let req = RenewLease {
            router: self.registration.router.clone(),
            incarnation: self.registration.incarnation,
            revision: u64::MAX,
            directory_version: self.directory_version,
            report: None,
            publication_version: self.cx.table.load().version(),
            age_ms: u64::try_from(self.cx.now().as_millis()).unwrap_or(0),
        };
        self.call(req, CompletedCall::Renewed);
    }

    fn on_renewed(&mut self, result: CallResult) {
        self.renewing = false;
        match result.map(|r| r.answer) {
            Ok(Some(Answer::Lease(grant))) => self.on_lease(*grant),
            Ok(_) => {}
            Err(e) => slog::debug!(self.cx.log, "no lease"; "error" => %e),
        }
        self.renew_if_table_outdated();
    }

    /// Returns whether a newer route table was announced.
    fn is_table_outdated(&self) -> bool {
        self.published_version > self.cx.table.load().version()
    }

    fn renew_if_table_outdated(&mut self) {
        if self.is_table_outdated() {
            self.renew();
        }
    }

    /// Requests a newer route table from the member that announced it. The member
    /// need not be the leader, so that a router that was partitioned doesn't have to
    /// wait for an election.
    fn fetch_table(&mut self) {
        if self.fetching || !self.is_table_outdated() {
            return;
        }
        self.next_fetch = Instant::now() + RETRY_DELAY;
        if self.last_renewal.is_none() {
            // The first table comes with the first lease. A router that served
            // before it can get tokens would refuse teams that have some.
            return self.renew();
        }
        let Some(session) = self.client.session_of(&self.publisher) else {
            return self.renew();
        };
        self.fetching = true;
        let held_version = self.cx.table.load().version();
        self.calls.push(Box::pin(async move {
            CompletedCall::TableFetched(
                session
                    .call(TableRequest { held_version }.into(), TABLE_TIMEOUT, 0)
                    .await,
            )
        }));
    }

    fn on_table_fetched(&mut self, result: CallResult) {
        self.fetching = false;
        match result.map(|r| r.answer) {
            Ok(Some(Answer::Table(table))) => self.adopt_publication(&table),
            Ok(answer) => {
                slog::warn!(self.cx.log, "the reply to a table request has no route table";
                    "reply" => ?answer);
            }
            Err(e) => slog::debug!(self.cx.log, "can't fetch the route table"; "error" => %e),
        }
        self.renew_if_table_outdated();
    }

    fn on_lease(&mut self, grant: LeaseGrant) {
        if grant.valid_ms == 0 {
            // The incarnation is lost or closed; the reply to another registration
            // shows which.
            lock(&self.cx.crashes).forget_quarantine_version();
            self.register();
            return;
        }
        self.last_renewal = Some(self.cx.now());
        self.set_control_reachable(true);
        self.cx.dispatcher().control_heard(self.cx.now());
        crashes::set_quarantined(&self.cx, &grant);
        // Before the first route table, so that the relay never serves without it.
        if let Some(list) = &grant.evacuations {
            evacuations::adopt(&self.cx, list.clone());
        }
        if let Some(publication) = &grant.publication {
            self.adopt_publication(publication);
        }
        if !grant.routers.is_empty() {
            self.directory_version = grant.directory_version;
            let extra = self.cx.options.retry_extra / grant.routers.len() as f64;
            lock(&self.cx.retry_budgets).set_extra(extra);
            self.cx.dispatcher().set_router_count(grant.routers.len());
            self.cx
                .router_count
                .store(grant.routers.len(), Ordering::Relaxed);
            self.set_holders(&grant);
            self.peers.set_routers(&grant.routers);
        }
        self.set_designated(&grant);
        for budget in &grant.recalls {
            self.cx.reservations.recall(self.cx.now(), budget);
        }
        self.update_members(&grant.members);
    }

    /// Chooses the routers that hold tokens for the others of this data centre.
    fn set_holders(&self, grant: &LeaseGrant) {
        let data_centre = &self.registration.data_centre;
        let holders = TokenHolders::choose(&grant.routers, &grant.silent_routers, data_centre);
        let in_centre = grant
            .routers
            .iter()
            .filter(|r| r.data_centre == *data_centre);
        self.cx.reservations.set_centre_routers(in_centre.count());
        let to_dial = holders.to_dial(&self.registration.router);
        let addresses = to_dial.iter().filter_map(|a| a.parse().ok()).collect();
        self.peers.set_further_routers(addresses);
        if **self.cx.holders.load() != holders {
            slog::info!(self.cx.log, "token holders"; "holders" => ?holders);
            self.cx.holders.store(Arc::new(holders));
        }
    }

    /// Maintains connections to the members of the control group. While the group
    /// has fewer members than the list that the router started with, it is still
    /// forming, so connections to that list are kept too.
    fn update_members(&mut self, members: &[String]) {
        let mut addresses: Vec<SocketAddr> =
            members.iter().filter_map(|m| m.parse().ok()).collect();
        if addresses.len() < self.seed_members.len() {
            addresses.extend(&self.seed_members);
            addresses.sort_unstable();
            addresses.dedup();
        }
        addresses.sort_unstable();
        if addresses == self.members {
            return;
        }
        for old in self.members.iter().filter(|m| !addresses.contains(m)) {
            self.client.remove_member(*old);
        }
        for new in &addresses {
            self.client.add_member(*new);
        }
        slog::info!(self.cx.log, "control members"; "members" => ?addresses);
        self.members = addresses;
    }

    /// Replaces the route table by a newer publication.
    fn adopt_publication(&mut self, publication: &Publication) {
        let held_version = self.cx.table.load().version();
        if publication.version <= held_version {
            return;
        }
        let table = decompress(&publication.source)
            .map_err(|e| e.to_string())
            .and_then(|source| self.cx.adapter.decode_table(&source));
        match table {
            Ok(table) => {
                slog::info!(self.cx.log, "route table"; "version" => publication.version,
                    "from" => held_version, "routes" => table.routes().len(),
                    "teams" => table.teams().len());
                lock(&self.cx.retry_budgets).retain_services(&table);
                self.set_cold_limits(&table);
                self.cx.table.store(Arc::new(table));
            }
            Err(reason) => {
                // Control accepts only tables that its own build can read, so this
                // one was published by another build. The router keeps its table.
                slog::error!(self.cx.log, "can't read the route table";
                    "version" => publication.version, "reason" => reason);
            }
        }
    }

    /// Records whether control is reachable, and logs a change.
    fn set_control_reachable(&self, reachable: bool) {
        if self.cx.control_reachable.swap(reachable, Ordering::Relaxed) != reachable {
            // Without control, the router keeps the evacuations that it knows, and learns
            // of no others.
            slog::info!(self.cx.log, "control"; "in_touch" => reachable,
                "table" => self.cx.table.load().version(),
                "evacuations" => self.cx.dispatcher().evacuation_version());
        }
    }

    fn on_frame(&mut self, frame: PeerFrame) {
        match frame.payload {
            Payload::LoanEnd(end) => {
                self.cx
                    .reservations
                    .end_loan(self.cx.now(), &frame.node, &end);
            }
            Payload::RouterLoad(load) => {
                let now = self.cx.now();
                let loads = load
                    .engines
                    .into_iter()
                    .map(engine_load_from_wire)
                    .collect();
                let prompts: Vec<_> = load
                    .sent_prompts
                    .into_iter()
                    .map(sent_prompt_from_wire)
                    .collect();
                let table = self.cx.table.load();
                let memory = |service: &str| table.service(service)?.engine.map(|e| e.memory);
                let mut dispatcher = self.cx.dispatcher();
                dispatcher.update_peer_load(now, &frame.node, loads);
                dispatcher.record_peer_prompts(now, &prompts, memory);
            }
            Payload::EndpointBatch(batch) => {
                for update in batch.updates {
                    self.on_update(update);
                }
            }
            Payload::PublicationPush(version) if version >= self.published_version => {
                self.published_version = version;
                self.publisher = frame.node;
                self.fetch_table();
            }
            Payload::Evacuations(list) => evacuations::adopt(&self.cx, list),
            Payload::Quarantined(q) => crashes::push_quarantined(&self.cx, &q),
            Payload::Recall(budget) => self.cx.reservations.recall(self.cx.now(), &budget),
            _ => {}
        }
    }

    fn on_update(&mut self, update: EndpointUpdate) {
        let now = self.cx.now();
        let id = update.id.clone();
        let Some(announcement) = announcement_from_wire(update) else {
            slog::warn!(self.cx.log, "announcement without a valid address"; "endpoint" => id);
            return;
        };
        let (incarnation, service) = (announcement.incarnation, announcement.service.clone());
        let change = self.cx.dispatcher().announce(now, announcement);
        if change == Change::Added {
            self.update_cold_rank(&id);
        }
        match change {
            Change::Added | Change::Leaving => {
                slog::info!(self.cx.log, "endpoint"; "endpoint" => id, "change" => ?change,
                    "incarnation" => incarnation, "service" => service);
            }
            Change::Renewed | Change::Stale => {}
        }
    }

    fn on_tick(&mut self) {
        let now = self.cx.now();
        let reachable = self
            .last_renewal
            .is_some_and(|at| now.saturating_sub(at) < self.cx.options.control_timeout);
        self.set_control_reachable(reachable);
        if Instant::now() >= self.next_fetch {
            self.fetch_table();
        }
        let expired = self.cx.dispatcher().expire(now, reachable);
        for endpoint in expired {
            slog::info!(self.cx.log, "endpoint expired"; "endpoint" => endpoint);
        }
        self.report_cold(now);
        let crashes = crashes::take_reports(&self.cx);
        if !crashes.is_empty() {
            self.report_crashes(crashes);
        }
        if Instant::now() >= self.next_renewal {
            self.renew();
        }
        if Instant::now() >= self.next_load_report {
            self.send_load(now);
        }
        let overdue = self.cx.reservations.settle_overdue_loans(now);
        if overdue > 0 {
            slog::warn!(self.cx.log, "overdue loans settled as fully used"; "count" => overdue);
        }
    }

    /// Sends the load of this router's requests to its peers.
    fn send_load(&mut self, now: Duration) {
        self.cx
            .metrics
            .set_prefill_rates(self.cx.dispatcher().learned_rates());
        let peers = self.peers.router_sessions();
        // With many peers the interval grows, so that the cost stays the same.
        let factor = u32::try_from(peers.len() / MAX_PEERS).unwrap_or(u32::MAX);
        self.next_load_report = Instant::now() + LOAD_INTERVAL * factor.max(1);
        if peers.is_empty() {
            return;
        }
        let (loads, prompts) = {
            let mut dispatcher = self.cx.dispatcher();
            (dispatcher.own_load(now), dispatcher.take_sent_prompts())
        };
        let load = RouterLoad {
            engines: loads.into_iter().map(engine_load_to_wire).collect(),
            sent_prompts: prompts.into_iter().map(sent_prompt_to_wire).collect(),
        };
        for session in peers {
            // Ignores a closed session: it loses one of many periodic reports.
            let _ = session.send(Payload::RouterLoad(load.clone()));
        }
    }

    /// Enters a phase of the planned stop.
    fn on_target_phase(&mut self, target: Phase) {
        if target <= *self.phase.borrow() {
            return;
        }
        self.phase.send_replace(target);
        match target {
            Phase::Leaving => {
                self.registration.state = RouterState::Draining.into();
                self.registering = false;
                self.register();
            }
            Phase::Settling => self.cx.reservations.drain(self.cx.now()),
            _ => {}
        }
    }

    /// Starts the calls that are due: grants, reports, and the end of the
    /// incarnation.
    fn start_due_calls(&mut self) {
        let now = self.cx.now();
        if *self.phase.borrow() == Phase::Registering {
            return;
        }
        while let Some(grant) = self.cx.reservations.next_grant(now) {
            let seq = grant.seq;
            self.call(Body::Grant(grant), move |r| CompletedCall::Granted(seq, r));
        }
        while let Some(report) = self.cx.reservations.next_report(now) {
            let seq = report.seq;
            self.call(Body::Report(report), move |r| {
                CompletedCall::Reported(seq, r)
            });
        }
        if *self.phase.borrow() == Phase::Settling
            && !self.closing
            && self.cx.reservations.is_settled()
        {
            self.closing = true;
            let close = CloseIncarnation {
                router: self.registration.router.clone(),
                incarnation: self.registration.incarnation,
            };
            self.call(Body::CloseIncarnation(close), CompletedCall::Closed);
        }
    }
}
