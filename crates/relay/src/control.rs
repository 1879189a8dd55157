//! The control thread: lease, table, grants, reports and announcements.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvilloft_dispatch::Change;
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

use crate::convert::announcement;
use crate::convert::read;
use crate::convert::wire_read;
use crate::convert::wire_work;
use crate::convert::work;
use crate::loans::Lender;
use crate::shared::Shared;

/// Time between two renewals. The table is asked for at once when control
/// says that a newer one is published, so renewals only make up for what was
/// lost on the way.
const RENEW_EVERY: Duration = Duration::from_millis(1_000);
/// Longest time of one call to control.
const CALL: Duration = Duration::from_millis(1_000);
/// Pause before a call that failed is made again.
const AGAIN: Duration = Duration::from_millis(250);
/// Time between two looks at what is due by time alone: reports, grants that
/// had no answer, and endpoints that fell silent.
const TICK: Duration = Duration::from_millis(100);
/// Time between two messages to peers about the work at engines. An engine
/// reads 13,000 prompt tokens meanwhile, one long prompt.
const LOAD_EVERY: Duration = Duration::from_millis(250);
/// Longest wait for a route table; the largest takes 0.2 s at 10 Mbit/s.
const FETCH: Duration = Duration::from_secs(1);
/// Sessions with peers that a router dials, at most. All routers of the smaller
/// deployments know each other.
const MOST_PEERS: usize = 10;
/// Added to an incarnation that control refuses as older than the last: the
/// clock of the host was set back since.
const CLOCK_BACK: u64 = 60_000;

/// How far the relay is with its planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Registers itself.
    Opening,
    /// Listed for callers.
    Serving,
    /// No longer listed.
    Leaving,
    /// All work has ended: gives tokens back.
    Settling,
    /// Control knows everything.
    Closed,
}

type Outcome = Result<ControlReply, CallError>;

enum Done {
    Opened(Outcome),
    Renewed(Outcome),
    Granted(u64, Outcome),
    Reported(u64, Outcome),
    Closed(Outcome),
    Fetched(Outcome),
}

/// What the control thread is made of.
pub(crate) struct Parts {
    pub(crate) cx: Arc<Shared>,
    pub(crate) identity: Identity,
    pub(crate) members: Vec<SocketAddr>,
    pub(crate) peer_listener: TcpListener,
    /// Follows the planned stop: `Leaving` and `Settling` are asked for.
    pub(crate) wanted: watch::Receiver<Phase>,
    pub(crate) phase: watch::Sender<Phase>,
}

struct ControlThread {
    cx: Arc<Shared>,
    client: Arc<ControlClient>,
    peers: Arc<FleetPeers>,
    seeds: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    open: OpenIncarnation,
    phase: watch::Sender<Phase>,
    calls: FuturesUnordered<BoxFuture<'static, Done>>,
    opening: bool,
    renewing: bool,
    fetching: bool,
    closing: bool,
    renew_at: Instant,
    renewed: Option<Duration>,
    /// Version that control says is published, and the member that said so.
    published: u64,
    publisher: String,
    /// When that member is asked again for a table that did not come.
    fetch_at: Instant,
    directory_version: u64,
    load_at: Instant,
}

/// Runs until everything is settled after a planned stop.
pub(crate) async fn run(parts: Parts) {
    let mut wanted = parts.wanted;
    let peer_address = parts.peer_listener.local_addr();
    let open = OpenIncarnation {
        router: parts.cx.options.name.clone(),
        incarnation: parts.identity.incarnation,
        caller_address: parts.cx.options.listen.to_string(),
        peer_address: peer_address.map_or_else(|_| String::new(), |a| a.to_string()),
        data_centre: parts.cx.options.data_centre.clone(),
        state: RouterState::Alive.into(),
    };
    let mut options = FleetOptions::new(parts.identity, parts.peer_listener);
    options.control.clone_from(&parts.members);
    options.max_peers = MOST_PEERS;
    options.call_handler = Arc::new(Lender(Arc::clone(&parts.cx)));
    let fleet = match join_fleet(options, &parts.cx.log) {
        Ok(fleet) => fleet,
        Err(err) => {
            // Without sessions nothing is ever granted; the callers' port stays
            // not ready.
            slog::crit!(parts.cx.log, "can't listen for peers"; "error" => %err);
            return;
        }
    };
    // Set once: there is one control thread.
    let _ = parts.cx.peers.set(Arc::clone(&fleet.peers));
    let mut inbox = fleet.inbox;
    let mut thread = ControlThread {
        cx: parts.cx,
        client: fleet.control,
        peers: fleet.peers,
        seeds: parts.members.clone(),
        members: parts.members,
        open,
        phase: parts.phase,
        calls: FuturesUnordered::new(),
        opening: false,
        renewing: false,
        fetching: false,
        closing: false,
        renew_at: Instant::now(),
        renewed: None,
        published: 0,
        publisher: String::new(),
        fetch_at: Instant::now(),
        directory_version: 0,
        load_at: Instant::now(),
    };
    thread.open();
    let mut tick = Instant::now() + TICK;
    loop {
        let cx = Arc::clone(&thread.cx);
        tokio::select! {
            Some(frame) = inbox.recv() => {
                thread.on_frame(frame);
                while let Ok(frame) = inbox.try_recv() {
                    thread.on_frame(frame);
                }
            }
            Some(done) = thread.calls.next(), if !thread.calls.is_empty() => thread.on_done(done),
            () = cx.purse.changed.notified() => {}
            () = sleep_until(tick) => {
                tick = Instant::now() + TICK;
                thread.on_tick();
            }
            Ok(()) = wanted.changed() => {
                let phase = *wanted.borrow();
                thread.on_wanted(phase);
            }
        }
        thread.flush();
        if *thread.phase.borrow() == Phase::Closed {
            return;
        }
    }
}

impl ControlThread {
    fn call(
        &mut self,
        req: impl Into<ControlRequest>,
        done: impl FnOnce(Outcome) -> Done + Send + 'static,
    ) {
        let (client, req) = (Arc::clone(&self.client), req.into());
        self.calls.push(Box::pin(async move {
            let started = Instant::now();
            let result = client.call(req, CALL).await;
            if result.is_err() {
                // A refusal that came at once is not repeated at once.
                sleep_until(started + AGAIN).await;
            }
            done(result)
        }));
    }

    fn open(&mut self) {
        if !std::mem::replace(&mut self.opening, true) {
            self.call(Body::OpenIncarnation(self.open.clone()), Done::Opened);
        }
    }

    fn on_done(&mut self, done: Done) {
        match done {
            Done::Opened(result) => self.on_opened(result),
            Done::Renewed(result) => self.on_renewed(result),
            Done::Granted(seq, Ok(reply)) => {
                if let Some(Answer::Applied(reply)) = reply.answer {
                    self.cx.purse.on_grant(self.cx.now(), seq, &reply);
                }
            }
            Done::Reported(seq, Ok(reply)) => {
                if let Some(Answer::Applied(reply)) = reply.answer {
                    match reply.reply {
                        Some(Reply::Refused(r)) => {
                            slog::error!(self.cx.log, "report refused"; "seq" => seq,
                                "code" => r.code, "reason" => r.message);
                        }
                        _ => self.cx.purse.on_report_ack(self.cx.now(), seq),
                    }
                }
            }
            // The same number is proposed again until it has a reply.
            Done::Granted(seq, Err(e)) | Done::Reported(seq, Err(e)) => {
                slog::debug!(self.cx.log, "no reply of control"; "seq" => seq, "error" => %e);
            }
            Done::Fetched(result) => self.on_fetched(result),
            Done::Closed(result) => {
                self.closing = false;
                if let Ok(Some(Answer::Applied(_))) = result.map(|r| r.answer) {
                    slog::info!(self.cx.log, "incarnation closed");
                    self.phase.send_replace(Phase::Closed);
                }
            }
        }
    }

    fn on_opened(&mut self, result: Outcome) {
        self.opening = false;
        let reply = match result.map(|r| r.answer) {
            Ok(Some(Answer::Applied(reply))) => reply.reply,
            _ => return self.open(),
        };
        match reply {
            Some(Reply::Refused(r)) => {
                slog::warn!(self.cx.log, "control refuses the incarnation"; "code" => &r.code,
                    "reason" => &r.message, "incarnation" => self.open.incarnation);
                // Nothing was granted to this incarnation, so it may start over
                // under a later number.
                if self.renewed.is_none() {
                    self.open.incarnation += CLOCK_BACK;
                    let (name, incarnation) = (&self.open.router, self.open.incarnation);
                    self.cx.purse.restart(name, incarnation);
                }
                self.open();
            }
            _ => {
                if *self.phase.borrow() == Phase::Opening {
                    slog::info!(self.cx.log, "registered";
                        "incarnation" => self.open.incarnation);
                    self.phase.send_replace(Phase::Serving);
                }
                self.renew_at = Instant::now();
            }
        }
    }

    fn renew(&mut self) {
        if self.renewing || *self.phase.borrow() == Phase::Opening {
            return;
        }
        self.renewing = true;
        self.renew_at = Instant::now() + RENEW_EVERY;
        let req = RenewLease {
            router: self.open.router.clone(),
            incarnation: self.open.incarnation,
            revision: u64::MAX,
            directory_version: self.directory_version,
            report: None,
            publication_version: self.cx.table.load().version(),
        };
        self.call(req, Done::Renewed);
    }

    fn on_renewed(&mut self, result: Outcome) {
        self.renewing = false;
        match result.map(|r| r.answer) {
            Ok(Some(Answer::Lease(grant))) => self.on_lease(grant),
            Ok(_) => {}
            Err(e) => slog::debug!(self.cx.log, "no lease"; "error" => %e),
        }
        self.renew_when_behind();
    }

    fn is_behind(&self) -> bool {
        self.published > self.cx.table.load().version()
    }

    fn renew_when_behind(&mut self) {
        if self.is_behind() {
            self.renew();
        }
    }

    /// Asks a member that has a newer route table for it. It need not lead: a
    /// router that comes back from a cut must not wait for an election.
    fn fetch(&mut self) {
        if self.fetching || !self.is_behind() {
            return;
        }
        self.fetch_at = Instant::now() + AGAIN;
        if self.renewed.is_none() {
            // The first table comes with the first lease: a router that serves
            // before it can get tokens would refuse teams that have some.
            return self.renew();
        }
        let Some(session) = self.client.session_of(&self.publisher) else {
            return self.renew();
        };
        self.fetching = true;
        let held = self.cx.table.load().version();
        self.calls.push(Box::pin(async move {
            Done::Fetched(
                session
                    .call(TableRequest { held_version: held }.into(), FETCH, 0)
                    .await,
            )
        }));
    }

    fn on_fetched(&mut self, result: Outcome) {
        self.fetching = false;
        match result.map(|r| r.answer) {
            Ok(Some(Answer::Table(table))) => self.adopt(&table),
            Ok(answer) => {
                slog::warn!(self.cx.log, "no route table in the reply"; "reply" => ?answer);
            }
            Err(e) => slog::debug!(self.cx.log, "no route table"; "error" => %e),
        }
        self.renew_when_behind();
    }

    fn on_lease(&mut self, grant: LeaseGrant) {
        if grant.valid_ms == 0 {
            // Lost or closed; registering again tells which.
            self.open();
            return;
        }
        self.renewed = Some(self.cx.now());
        self.set_touch(true);
        if let Some(publication) = &grant.publication {
            self.adopt(publication);
        }
        if !grant.routers.is_empty() {
            self.directory_version = grant.directory_version;
            let extra = self.cx.options.retry_extra / grant.routers.len() as f64;
            lock(&self.cx.repeats).set_extra(extra);
            self.cx.dispatcher().set_router_count(grant.routers.len());
            self.peers.set_routers(&grant.routers);
        }
        for budget in &grant.recalls {
            self.cx.purse.recall(self.cx.now(), budget);
        }
        self.follow(&grant.members);
    }

    /// Keeps links to the members of the group. While the group is smaller than
    /// the list that the router started with, it still forms, and those links
    /// stay too.
    fn follow(&mut self, members: &[String]) {
        let mut named: Vec<SocketAddr> = members.iter().filter_map(|m| m.parse().ok()).collect();
        if named.len() < self.seeds.len() {
            named.extend(&self.seeds);
            named.sort_unstable();
            named.dedup();
        }
        named.sort_unstable();
        if named == self.members {
            return;
        }
        for old in self.members.iter().filter(|m| !named.contains(m)) {
            self.client.remove_member(*old);
        }
        for new in &named {
            self.client.add_member(*new);
        }
        slog::info!(self.cx.log, "control members"; "members" => ?named);
        self.members = named;
    }

    fn adopt(&mut self, publication: &Publication) {
        let held = self.cx.table.load().version();
        if publication.version <= held {
            return;
        }
        let table = decompress(&publication.source)
            .map_err(|e| e.to_string())
            .and_then(|source| self.cx.adapter.decode_table(&source));
        match table {
            Ok(table) => {
                slog::info!(self.cx.log, "route table"; "version" => publication.version,
                    "from" => held, "routes" => table.routes().len(),
                    "teams" => table.teams().len());
                lock(&self.cx.repeats).keep(&table);
                self.cx.table.store(Arc::new(table));
            }
            Err(reason) => {
                // Control accepts only tables that this build can read, so this
                // is another build's. The router goes on with what it has.
                slog::error!(self.cx.log, "can't read the route table";
                    "version" => publication.version, "reason" => reason);
            }
        }
    }

    fn set_touch(&self, touch: bool) {
        if self.cx.in_touch.swap(touch, Ordering::Relaxed) != touch {
            slog::info!(self.cx.log, "control"; "in_touch" => touch,
                "table" => self.cx.table.load().version());
        }
    }

    fn on_frame(&mut self, frame: PeerFrame) {
        match frame.payload {
            Payload::LoanEnd(end) => {
                self.cx.purse.end_loan(self.cx.now(), &frame.node, &end);
            }
            Payload::RouterLoad(load) => {
                let now = self.cx.now();
                let work = load.engines.into_iter().map(work).collect();
                let reads: Vec<_> = load.sent_prompts.into_iter().map(read).collect();
                let table = self.cx.table.load();
                let memory = |service: &str| table.service(service)?.engine.map(|e| e.memory);
                let mut dispatcher = self.cx.dispatcher();
                dispatcher.update_peer_load(now, &frame.node, work);
                dispatcher.record_peer_prompts(&reads, memory);
            }
            Payload::EndpointBatch(batch) => {
                for update in batch.updates {
                    self.on_update(update);
                }
            }
            Payload::PublicationPush(version) if version >= self.published => {
                self.published = version;
                self.publisher = frame.node;
                self.fetch();
            }
            Payload::Recall(budget) => self.cx.purse.recall(self.cx.now(), &budget),
            _ => {}
        }
    }

    fn on_update(&mut self, update: EndpointUpdate) {
        let now = self.cx.now();
        let id = update.id.clone();
        let Some(said) = announcement(update) else {
            slog::warn!(self.cx.log, "announcement without an address"; "endpoint" => id);
            return;
        };
        let (incarnation, service) = (said.incarnation, said.service.clone());
        let change = self.cx.dispatcher().announce(now, said);
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
        let touch = self
            .renewed
            .is_some_and(|at| now.saturating_sub(at) < self.cx.options.control_timeout);
        self.set_touch(touch);
        if Instant::now() >= self.fetch_at {
            self.fetch();
        }
        let gone = self.cx.dispatcher().expire(now, touch);
        for endpoint in gone {
            slog::info!(self.cx.log, "endpoint silent, forgotten"; "endpoint" => endpoint);
        }
        if Instant::now() >= self.renew_at {
            self.renew();
        }
        if Instant::now() >= self.load_at {
            self.tell_load(now);
        }
        let overdue = self.cx.purse.close_loans(now);
        if overdue > 0 {
            slog::warn!(self.cx.log, "loans never ended count as used up"; "count" => overdue);
        }
    }

    fn tell_load(&mut self, now: Duration) {
        let peers = self.peers.router_sessions();
        // Many peers are told less often, which costs as much as a few.
        let slower = u32::try_from(peers.len() / MOST_PEERS).unwrap_or(u32::MAX);
        self.load_at = Instant::now() + LOAD_EVERY * slower.max(1);
        if peers.is_empty() {
            return;
        }
        let (work, reads) = {
            let mut dispatcher = self.cx.dispatcher();
            (dispatcher.own_load(now), dispatcher.take_sent_prompts())
        };
        let load = RouterLoad {
            engines: work.into_iter().map(wire_work).collect(),
            sent_prompts: reads.into_iter().map(wire_read).collect(),
        };
        for session in peers {
            // A session that ends loses one message of many.
            let _ = session.send(Payload::RouterLoad(load.clone()));
        }
    }

    fn on_wanted(&mut self, wanted: Phase) {
        if wanted <= *self.phase.borrow() {
            return;
        }
        self.phase.send_replace(wanted);
        match wanted {
            Phase::Leaving => {
                self.open.state = RouterState::Draining.into();
                self.opening = false;
                self.open();
            }
            Phase::Settling => self.cx.purse.drain(self.cx.now()),
            _ => {}
        }
    }

    fn flush(&mut self) {
        let now = self.cx.now();
        if *self.phase.borrow() == Phase::Opening {
            return;
        }
        while let Some(grant) = self.cx.purse.next_grant(now) {
            let seq = grant.seq;
            self.call(Body::Grant(grant), move |r| Done::Granted(seq, r));
        }
        while let Some(report) = self.cx.purse.next_report(now) {
            let seq = report.seq;
            self.call(Body::Report(report), move |r| Done::Reported(seq, r));
        }
        if *self.phase.borrow() == Phase::Settling && !self.closing && self.cx.purse.is_settled() {
            self.closing = true;
            let close = CloseIncarnation {
                router: self.open.router.clone(),
                incarnation: self.open.incarnation,
            };
            self.call(Body::CloseIncarnation(close), Done::Closed);
        }
    }
}
