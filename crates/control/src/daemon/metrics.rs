//! Metrics of a control member.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_telemetry::Metrics;
use anvilloft_telemetry::MetricsError;
use anvilloft_wire::session::Identity;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;

use crate::driver::DriverStats;
use crate::driver::Handle;
use crate::peers::Peers;

type DriverMetric = fn(&DriverStats) -> &AtomicU64;
type SessionCounter = fn(&Identity) -> &AtomicU64;

/// Counters and gauges of the control thread: metric name, help text and
/// accessor.
const DRIVER_METRICS: &[(&str, &str, DriverMetric)] = &[
    ("control_syncs_total", "Syncs of the data folder.", |s| {
        &s.syncs
    }),
    (
        "control_sync_microseconds_total",
        "Time spent in syncs.",
        |s| &s.sync_us,
    ),
    (
        "control_applied_total",
        "Log entries applied to the ledger.",
        |s| &s.applied,
    ),
    (
        "control_snapshots_total",
        "Snapshots taken or received.",
        |s| &s.snapshots,
    ),
    (
        "control_elections_started_total",
        "Elections that this member started, pre-votes included.",
        |s| &s.elections_started,
    ),
    (
        "control_elections_won_total",
        "Times that this member became leader.",
        |s| &s.elections_won,
    ),
    (
        "control_calls_refused_total",
        "Calls refused at a limit, such as a full queue.",
        |s| &s.calls_refused,
    ),
    (
        "control_messages_dropped_total",
        "Consensus messages dropped because a queue was full.",
        |s| &s.messages_dropped,
    ),
    (
        "control_waiting_commands",
        "Commands that are not committed yet.",
        |s| &s.pending_commands,
    ),
    (
        "control_held_grants",
        "Grants that wait for returned allotments.",
        |s| &s.held_grants,
    ),
    (
        "budget_tokens_topped_up",
        "Tokens paid into all budgets.",
        |s| &s.tokens.topped_up,
    ),
    (
        "budget_tokens_unspent",
        "Tokens that are neither allotted nor spent.",
        |s| &s.tokens.unspent,
    ),
    (
        "budget_tokens_settled",
        "Tokens spent, with those that dead routers may have used.",
        |s| &s.tokens.settled,
    ),
    (
        "budget_tokens_forfeited",
        "Tokens counted as spent because dead routers may have used them.",
        |s| &s.tokens.forfeited,
    ),
    (
        "budget_tokens_live",
        "Tokens that are unlocked or in use at live routers.",
        |s| &s.tokens.live,
    ),
    (
        "budget_tokens_locked",
        "Tokens locked at live routers.",
        |s| &s.tokens.locked,
    ),
    (
        "budget_tokens_unconfirmed",
        "Tokens at lost routers whose processes may still run.",
        |s| &s.tokens.unconfirmed,
    ),
    (
        "budget_tokens_restorable",
        "Tokens that were locked at dead routers.",
        |s| &s.tokens.restorable,
    ),
    (
        "budget_tokens_usable_at_death",
        "Tokens that were unlocked or in use at dead routers.",
        |s| &s.tokens.usable_at_death,
    ),
    (
        "placement_orders_total",
        "Orders that the planner issued.",
        |s| &s.orders_issued,
    ),
    (
        "placement_orders_taken_total",
        "Orders that endpoints accepted.",
        |s| &s.orders_accepted,
    ),
    (
        "placement_orders_failed_total",
        "Orders that were dropped, refused or lost.",
        |s| &s.orders_failed,
    ),
    (
        "placement_endpoints",
        "Endpoints that routers report.",
        |s| &s.endpoints,
    ),
    (
        "placement_reports_dropped_total",
        "Reported routers, endpoints and demands dropped because of a limit.",
        |s| &s.reports_dropped,
    ),
];

/// Counters of the peer sessions: metric name, help text and accessor.
const SESSION_COUNTERS: &[(&str, &str, SessionCounter)] = &[
    ("peer_sessions_opened_total", "Peer sessions opened.", |i| {
        &i.stats.opened
    }),
    (
        "peer_handshakes_failed_total",
        "Peer handshakes that failed.",
        |i| &i.stats.handshakes_failed,
    ),
    (
        "peer_sessions_silent_total",
        "Peer sessions dropped because nothing was received.",
        |i| &i.stats.dropped_silent,
    ),
    (
        "peer_sessions_overflow_total",
        "Peer sessions dropped because a send queue was full.",
        |i| &i.stats.dropped_overflow,
    ),
    (
        "peer_sessions_invalid_total",
        "Peer sessions dropped because of an invalid frame.",
        |i| &i.stats.dropped_invalid,
    ),
    (
        "peer_connections_refused_total",
        "Peer connections refused at the limit.",
        |i| &i.stats.refused,
    ),
];

/// Gauges that are set from the member's state.
pub(super) struct MemberMetrics {
    driver: Vec<(IntGauge, DriverMetric)>,
    sessions: Vec<(IntGauge, SessionCounter)>,
    is_leader: IntGauge,
    has_leader: IntGauge,
    term: IntGauge,
    commit_index: IntGauge,
    applied_index: IntGauge,
    revision: IntGauge,
    evacuated: IntGauge,
    members: IntGauge,
    voters: IntGauge,
    member_sessions: IntGauge,
    router_sessions: IntGauge,
    forwarded: IntGauge,
    largest_losses: IntGaugeVec,
    refused_calls: IntGauge,
    abandoned_calls: IntGauge,
}

impl MemberMetrics {
    pub(super) fn new(metrics: &Metrics) -> Result<Self, MetricsError> {
        let mut driver = Vec::new();
        for (name, help, read) in DRIVER_METRICS {
            driver.push((metrics.gauge(name, help)?, *read));
        }
        let mut sessions = Vec::new();
        for (name, help, read) in SESSION_COUNTERS {
            sessions.push((metrics.gauge(name, help)?, *read));
        }
        Ok(Self {
            driver,
            sessions,
            is_leader: metrics.gauge("control_leads", "1 while this member is the leader.")?,
            has_leader: metrics.gauge("control_has_leader", "1 while a leader is known.")?,
            term: metrics.gauge("control_term", "Consensus term.")?,
            commit_index: metrics.gauge(
                "control_commit_index",
                "Index of the last committed log entry.",
            )?,
            applied_index: metrics.gauge(
                "control_applied_index",
                "Index of the last applied log entry.",
            )?,
            revision: metrics.gauge("control_revision", "Configuration revision.")?,
            evacuated: metrics.gauge(
                "control_evacuated_data_centres",
                "Evacuated data centres in this member's ledger.",
            )?,
            members: metrics.gauge("control_members", "Members of the group.")?,
            voters: metrics.gauge("control_voters", "Members with a vote.")?,
            member_sessions: metrics
                .gauge("peer_member_sessions", "Open sessions with members.")?,
            router_sessions: metrics
                .gauge("peer_router_sessions", "Open sessions with routers.")?,
            forwarded: metrics
                .gauge("control_forwarded_total", "Calls forwarded to the leader.")?,
            largest_losses: metrics.gauges(
                "budget_tokens_largest_loss",
                "Tokens at dead routers of the budgets that miss the most.",
                &["place"],
            )?,
            refused_calls: metrics.gauge(
                "control_calls_unanswered_total",
                "Calls of this member's own callers refused for lack of an answer.",
            )?,
            abandoned_calls: metrics.gauge(
                "control_calls_abandoned_total",
                "Calls whose callers left before an answer.",
            )?,
        })
    }

    /// Updates the gauges until the task is aborted.
    pub(super) async fn run(
        self,
        handle: Handle,
        peers: Arc<Peers>,
        identity: Arc<Identity>,
        period: Duration,
    ) {
        let mut interval = tokio::time::interval(period);
        loop {
            interval.tick().await;
            self.update(&handle, &peers, &identity);
        }
    }

    fn update(&self, handle: &Handle, peers: &Peers, identity: &Identity) {
        let int = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        let load = |counter: &AtomicU64| int(counter.load(Ordering::Relaxed));
        for (gauge, read) in &self.driver {
            gauge.set(load(read(handle.stats())));
        }
        for (gauge, read) in &self.sessions {
            gauge.set(load(read(identity)));
        }
        let losses = &handle.stats().tokens.largest_losses;
        for (place, loss) in (1_usize..).zip(losses) {
            let labels = [place.to_string()];
            self.largest_losses
                .with_label_values(&labels)
                .set(load(loss));
        }
        let status = handle.status().borrow().clone();
        let members = &status.membership.members;
        self.is_leader.set(i64::from(status.is_leader));
        self.has_leader.set(i64::from(status.leader.is_some()));
        self.term.set(int(status.term));
        self.commit_index.set(int(status.commit_index));
        self.applied_index.set(int(status.applied_index));
        self.revision.set(int(status.revision));
        let evacuated = status.evacuations.data_centres.len();
        self.evacuated.set(int(evacuated as u64));
        self.members.set(int(members.len() as u64));
        self.voters
            .set(int(members.iter().filter(|m| m.voter).count() as u64));
        let (with_members, with_routers) = peers.session_counts();
        self.member_sessions.set(int(with_members as u64));
        self.router_sessions.set(int(with_routers as u64));
        self.forwarded.set(int(peers.forwarded_calls()));
        let unanswered = peers.unanswered_calls();
        self.refused_calls.set(load(unanswered.refused()));
        self.abandoned_calls.set(load(unanswered.abandoned()));
    }
}
