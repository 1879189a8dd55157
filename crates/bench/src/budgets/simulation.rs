//! Event-driven simulation of callers, routers and control that runs the
//! production ledger and allotments.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use anvilloft_budget::Allotments;
use anvilloft_ledger::Ledger;
use anvilloft_ledger::set_op;
use anvilloft_wire::Command;
use anvilloft_wire::CommandReply;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::ConfigChange;
use anvilloft_wire::command::Grant;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::Report;
use anvilloft_wire::command::TopUp;
use anvilloft_wire::config::Budget;
use anvilloft_wire::config::DefaultValue;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::Team;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::Rules;
use super::StudyConfig;
use super::StudyRow;

// One-way delay of a message from a router to the leader, including the commit.
const ROUTER_TO_CONTROL_US: u64 = 4_000;
// One-way delay of a message from the leader to a router.
const CONTROL_TO_ROUTER_US: u64 = 1_500;
// Time for which a grant is held while idle tokens are recalled.
const RECALL_WAIT_US: u64 = 300_000;
// Time for which callers keep an entry response, the list of routers to use.
const ENTRY_TTL_US: u64 = 10_000_000;
// Interval at which grants and reports are taken from the routers.
const POLL_INTERVAL_US: u64 = 5_000;
// Tokens that a request reserves.
const RESERVED_TOKENS: std::ops::Range<u64> = 300..2_000;
// Percentage of its reservation that a request uses.
const USED_PERCENT: std::ops::Range<u64> = 20..60;
const REQUEST_DURATION_US: std::ops::Range<u64> = 500_000..5_000_000;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    // A request of this team arrives.
    RequestArrives(usize),
    // Router, reservation id and used tokens.
    RequestEnds(usize, u64, u64),
    // Grants and reports are taken from the routers.
    Poll,
    // A message of this router reaches control.
    ControlReceives(usize, MessageId),
    // The recall wait of a grant is over: router and key of the grant.
    RecallTimeout(usize, u64),
    // A recall reaches a router: router and team.
    Recall(usize, usize),
    // Router, key of the decision and sequence number of the grant.
    GrantReply(usize, u64, u64),
    // Router and sequence number of the report.
    ReportReply(usize, u64),
}

// Key of a message in `Simulation::grants` or `Simulation::reports`.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum MessageId {
    Grant(u64),
    Report(u64),
}

struct TeamState {
    budget: String,
    balance_index: usize,
    requests_left: u64,
    // Mean time between requests, in microseconds.
    mean_interval_us: u64,
    used: u64,
    reserved: u64,
    // Sum of the needs met by grant replies that are still in transit.
    granted_in_transit: u64,
    // Routers of the last entry response and the time at which it expires.
    entry_routers: (Vec<usize>, u64),
}

struct WaitingRequest {
    team: usize,
    amount: u64,
    since_us: u64,
}

struct GrantDecision {
    reply: CommandReply,
    team: usize,
    // Need that the reply meets; 0 for a refusal.
    granted_in_transit: u64,
    // Tokens neither used nor reserved when control decided.
    free_tokens: u64,
}

struct Simulation<'a> {
    cfg: &'a StudyConfig,
    rules: Rules,
    rng: SmallRng,
    now_us: u64,
    // Last number given to an event or message.
    sequence: u64,
    // Events by time and sequence number.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    ledger: Ledger,
    routers: Vec<Allotments>,
    teams: Vec<TeamState>,
    // By router and id of the need.
    waiting: HashMap<(usize, u64), WaitingRequest>,
    // Team index and reserved tokens, by router and reservation id.
    running: HashMap<(usize, u64), (usize, u64)>,
    grants: HashMap<u64, Grant>,
    reports: HashMap<u64, Report>,
    replies: HashMap<u64, GrantDecision>,
    // Grants that wait for recalled tokens: router and key of the grant.
    held_grants: Vec<(usize, u64)>,
    rows: Vec<StudyRow>,
    // Number of grants, by index of the balance.
    grant_counts: Vec<u64>,
    // Waits for a reservation in microseconds, by index of the balance.
    waits: Vec<Vec<u64>>,
}

pub(super) fn run(cfg: &StudyConfig, name: &str, rules: Rules) -> Vec<StudyRow> {
    let mut simulation = Simulation::new(cfg, name, rules);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now_us = at;
        simulation.handle(event);
    }
    simulation.into_rows()
}

impl<'a> Simulation<'a> {
    fn new(cfg: &'a StudyConfig, name: &str, rules: Rules) -> Self {
        let routers = (0..cfg.routers)
            .map(|i| Allotments::new(router_name(i), 1))
            .collect();
        let rows = cfg
            .balances
            .iter()
            .map(|&balance| StudyRow {
                rules: name.into(),
                balance,
                teams: cfg.teams,
                ..StudyRow::default()
            })
            .collect();
        let mut simulation = Self {
            cfg,
            rules,
            rng: SmallRng::seed_from_u64(cfg.seed),
            now_us: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            ledger: Ledger::new(),
            routers,
            teams: Vec::new(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            grants: HashMap::new(),
            reports: HashMap::new(),
            replies: HashMap::new(),
            held_grants: Vec::new(),
            rows,
            grant_counts: vec![0; cfg.balances.len()],
            waits: vec![Vec::new(); cfg.balances.len()],
        };
        simulation.prepare();
        simulation
    }

    fn prepare(&mut self) {
        let mut ops = Vec::new();
        if !self.rules.exact_size {
            ops.push(set_op(Item::Default(DefaultValue {
                name: "small_budget_tokens".into(),
                value: 0,
            })));
        }
        for (balance_index, &balance) in self.cfg.balances.iter().enumerate() {
            for n in 0..self.cfg.teams {
                let name = format!("team-{balance}-{n}");
                ops.push(set_op(Item::Team(Team {
                    name: name.clone(),
                    ..Team::default()
                })));
                ops.push(set_op(Item::Budget(Budget {
                    name: name.clone(),
                    team: name.clone(),
                })));
                // Asks for a quarter more than the balance over 3 minutes, so
                // that each team runs out of tokens.
                let mean_use = RESERVED_TOKENS.start.midpoint(RESERVED_TOKENS.end) * 40 / 100;
                let requests = (balance * 5 / 4 / mean_use).max(4);
                self.teams.push(TeamState {
                    budget: name,
                    balance_index,
                    requests_left: requests,
                    mean_interval_us: 180_000_000 / requests,
                    used: 0,
                    reserved: 0,
                    granted_in_transit: 0,
                    entry_routers: (Vec::new(), 0),
                });
            }
        }
        self.apply(Body::ConfigChange(ConfigChange {
            change_id: "setup".into(),
            base_revision: 0,
            author: String::new(),
            reason: String::new(),
            ops,
            dry_run: false,
        }));
        for i in 0..self.teams.len() {
            let team = &self.teams[i];
            let top_up = Body::TopUp(TopUp {
                id: team.budget.clone(),
                budget: team.budget.clone(),
                amount: i64::try_from(self.cfg.balances[team.balance_index]).unwrap_or(i64::MAX),
                author: String::new(),
                reason: String::new(),
            });
            let first_arrival_us = self.rng.random_range(0..team.mean_interval_us);
            self.apply(top_up);
            self.push(first_arrival_us, Event::RequestArrives(i));
        }
        for i in 0..self.cfg.routers {
            self.apply(Body::OpenIncarnation(OpenIncarnation {
                router: router_name(i),
                incarnation: 1,
                caller_address: format!("127.0.0.{i}:80"),
                peer_address: format!("127.0.0.{i}:81"),
                data_centre: format!("dc-{}", i % 3),
                state: 0,
            }));
        }
        self.push(POLL_INTERVAL_US, Event::Poll);
    }

    fn push(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    fn time(&self) -> Duration {
        Duration::from_micros(self.now_us)
    }

    fn apply(&mut self, body: Body) -> CommandReply {
        self.ledger.apply(&Command {
            at_ms: self.now_us / 1_000,
            body: Some(body),
        })
    }

    // Returns whether the router and control can't reach each other now.
    fn is_partitioned(&self, router: usize) -> bool {
        let at = self.cfg.partition_at_s.map(|s| s * 1_000_000);
        router == 0 && at.is_some_and(|at| self.now_us >= at)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ControlReceives(r, _)
            | Event::Recall(r, _)
            | Event::GrantReply(r, ..)
            | Event::ReportReply(r, _)
                if self.is_partitioned(r) => {}
            Event::RequestArrives(team) => self.handle_arrival(team),
            Event::RequestEnds(router, id, used) => self.finish_request(router, id, used),
            Event::Poll => self.poll_routers(),
            Event::ControlReceives(router, MessageId::Grant(key)) => {
                self.receive_grant(router, key)
            }
            Event::ControlReceives(router, MessageId::Report(key)) => {
                if let Some(report) = self.reports.remove(&key) {
                    let seq = report.seq;
                    self.apply(Body::Report(report));
                    self.push(CONTROL_TO_ROUTER_US, Event::ReportReply(router, seq));
                    self.retry_held_grants();
                }
            }
            Event::RecallTimeout(router, key) => {
                if let Some(i) = self.held_grants.iter().position(|h| *h == (router, key)) {
                    self.held_grants.remove(i);
                    self.decide_grant(router, key);
                }
            }
            Event::Recall(router, team) => {
                let time = self.time();
                self.routers[router].recall(time, &self.teams[team].budget);
            }
            Event::GrantReply(router, key, seq) => self.receive_grant_reply(router, key, seq),
            Event::ReportReply(router, seq) => {
                let time = self.time();
                self.routers[router].on_report_ack(time, seq);
            }
        }
    }

    fn handle_arrival(&mut self, team_index: usize) {
        let router = self.choose_router(team_index);
        let amount = self.rng.random_range(RESERVED_TOKENS);
        let time = self.time();
        let team = &mut self.teams[team_index];
        team.requests_left -= 1;
        self.rows[team.balance_index].requests += 1;
        match self.routers[router].reserve(time, &team.budget, amount) {
            Ok(id) => self.start_request(router, id, team_index, amount, 0),
            Err(need) => {
                let waiting = WaitingRequest {
                    team: team_index,
                    amount,
                    since_us: self.now_us,
                };
                self.waiting.insert((router, need.need()), waiting);
            }
        }
        if self.teams[team_index].requests_left > 0 {
            let interval = self.teams[team_index].mean_interval_us;
            let delay_us = self.rng.random_range(interval / 2..interval * 3 / 2);
            self.push(delay_us, Event::RequestArrives(team_index));
        }
    }

    // Chooses a router by rendezvous hashing of the team. Callers keep the
    // entry response until it expires.
    fn choose_router(&mut self, team_index: usize) -> usize {
        let (now_us, router_count, partitioned) =
            (self.now_us, self.cfg.routers, self.is_partitioned(0));
        let team = &mut self.teams[team_index];
        // A caller that is refused for lack of a lease asks for an entry
        // response again.
        let entry_unusable = partitioned && team.entry_routers.0.contains(&0);
        if team.entry_routers.0.is_empty() || now_us >= team.entry_routers.1 || entry_unusable {
            let unspent = self.ledger.amounts(&team.budget).map_or(0, |a| a.unspent);
            let small = unspent < 100_000;
            let entry_size = match self.rules.two_routers && small {
                true => 2,
                false => router_count,
            };
            let mut order: Vec<usize> = (0..router_count)
                .filter(|r| !partitioned || *r > 0)
                .collect();
            order.sort_by_key(|r| mix(team_index as u64, *r as u64));
            order.truncate(entry_size);
            team.entry_routers = (order, now_us + ENTRY_TTL_US);
        }
        let choices = &self.teams[team_index].entry_routers.0;
        choices[self.rng.random_range(0..choices.len())]
    }

    fn start_request(
        &mut self,
        router: usize,
        id: u64,
        team_index: usize,
        amount: u64,
        waited_us: u64,
    ) {
        let team = &mut self.teams[team_index];
        team.reserved += amount;
        self.rows[team.balance_index].served += 1;
        self.waits[team.balance_index].push(waited_us);
        self.running.insert((router, id), (team_index, amount));
        let used = amount * self.rng.random_range(USED_PERCENT) / 100;
        let duration = self.rng.random_range(REQUEST_DURATION_US);
        self.push(duration, Event::RequestEnds(router, id, used));
    }

    fn finish_request(&mut self, router: usize, id: u64, used: u64) {
        let time = self.time();
        let Some((team_index, amount)) = self.running.remove(&(router, id)) else {
            return;
        };
        let billed = self.routers[router].settle(time, id, used, None);
        self.teams[team_index].reserved -= amount;
        self.teams[team_index].used += billed;
    }

    fn poll_routers(&mut self) {
        let time = self.time();
        for r in 0..self.routers.len() {
            if self.is_partitioned(r) {
                continue;
            }
            while let Some(grant) = self.routers[r].next_grant(time) {
                self.sequence += 1;
                let key = self.sequence;
                if let Some(team_index) = self.team_of(&grant.budget) {
                    self.grant_counts[self.teams[team_index].balance_index] += 1;
                }
                self.grants.insert(key, grant);
                self.push(
                    ROUTER_TO_CONTROL_US,
                    Event::ControlReceives(r, MessageId::Grant(key)),
                );
            }
            if let Some(report) = self.routers[r].next_report(time) {
                self.sequence += 1;
                let key = self.sequence;
                self.reports.insert(key, report);
                self.push(
                    ROUTER_TO_CONTROL_US,
                    Event::ControlReceives(r, MessageId::Report(key)),
                );
            }
        }
        let work_left = self.waiting.keys().any(|(r, _)| !self.is_partitioned(*r))
            || !self.running.is_empty()
            || self.teams.iter().any(|team| team.requests_left > 0);
        if work_left {
            self.push(POLL_INTERVAL_US, Event::Poll);
        }
    }

    fn team_of(&self, budget: &str) -> Option<usize> {
        self.teams.iter().position(|team| team.budget == budget)
    }

    // Returns the team's tokens that are neither used nor reserved, including
    // those allotted to routers.
    fn free_tokens(&self, team_index: usize) -> u64 {
        let team = &self.teams[team_index];
        self.cfg.balances[team.balance_index]
            .saturating_sub(team.used + team.reserved + team.granted_in_transit)
    }

    fn is_covered(&self, key: u64) -> bool {
        self.grants.get(&key).is_some_and(|g| {
            self.ledger
                .amounts(&g.budget)
                .is_some_and(|a| a.unspent >= g.need)
        })
    }

    // Like the leader, recalls idle tokens and holds a grant that the budget
    // doesn't cover before refusing it.
    fn receive_grant(&mut self, router: usize, key: u64) {
        if self.is_covered(key) || !self.rules.recall {
            self.decide_grant(router, key);
            return;
        }
        let Some(grant) = self.grants.get(&key).cloned() else {
            return;
        };
        let team = self.team_of(&grant.budget);
        let mut other_holders = false;
        for (holder, _, _) in self.ledger.holders(&grant.budget) {
            if holder == grant.router {
                continue;
            }
            other_holders = true;
            if let (Some(team_index), Some(r)) = (team, router_index(&holder)) {
                self.push(CONTROL_TO_ROUTER_US, Event::Recall(r, team_index));
            }
        }
        if !other_holders {
            self.decide_grant(router, key);
            return;
        }
        self.held_grants.push((router, key));
        self.push(RECALL_WAIT_US, Event::RecallTimeout(router, key));
    }

    fn retry_held_grants(&mut self) {
        for (router, key) in std::mem::take(&mut self.held_grants) {
            if self.is_covered(key) {
                self.decide_grant(router, key);
            } else {
                self.held_grants.push((router, key));
            }
        }
    }

    fn decide_grant(&mut self, router: usize, key: u64) {
        if let Some(grant) = self.grants.remove(&key) {
            let Some(team) = self.team_of(&grant.budget) else {
                return;
            };
            let (seq, need, free_tokens) = (grant.seq, grant.need, self.free_tokens(team));
            let reply = self.apply(Body::Grant(grant));
            let granted_in_transit = match reply.reply {
                Some(Reply::Granted(_)) => need,
                _ => 0,
            };
            self.teams[team].granted_in_transit += granted_in_transit;
            let decision = GrantDecision {
                reply,
                team,
                granted_in_transit,
                free_tokens,
            };
            self.replies.insert(key, decision);
            self.push(CONTROL_TO_ROUTER_US, Event::GrantReply(router, key, seq));
        }
    }

    fn receive_grant_reply(&mut self, router: usize, key: u64, seq: u64) {
        let time = self.time();
        let Some(decision) = self.replies.remove(&key) else {
            return;
        };
        self.teams[decision.team].granted_in_transit -= decision.granted_in_transit;
        for result in self.routers[router].on_grant(time, seq, &decision.reply) {
            let Some(waiting) = self.waiting.remove(&(router, result.need)) else {
                continue;
            };
            match result.outcome {
                Ok(id) => self.start_request(
                    router,
                    id,
                    waiting.team,
                    waiting.amount,
                    self.now_us - waiting.since_us,
                ),
                Err(_) => {
                    // Tokens that became free after control decided don't
                    // count: the refusal was right at that time.
                    let free_tokens = decision.free_tokens.min(self.free_tokens(waiting.team));
                    let row = &mut self.rows[self.teams[waiting.team].balance_index];
                    row.refused += 1;
                    row.false_refusals += u64::from(free_tokens >= waiting.amount);
                }
            }
        }
    }

    fn into_rows(mut self) -> Vec<StudyRow> {
        self.ledger.assert_invariants();
        for (balance_index, row) in self.rows.iter_mut().enumerate() {
            let used: u64 = self
                .teams
                .iter()
                .filter(|team| team.balance_index == balance_index)
                .map(|team| team.used)
                .sum();
            let waits = &mut self.waits[balance_index];
            waits.sort_unstable();
            let p95 = waits.get(waits.len() * 95 / 100).copied().unwrap_or(0);
            let requests = row.requests.max(1) as f64;
            row.false_per_thousand = row.false_refusals as f64 * 1_000.0 / requests;
            row.used_percent = used as f64 * 100.0 / (row.balance * row.teams as u64) as f64;
            row.grants_per_request = self.grant_counts[balance_index] as f64 / requests;
            row.wait_p95_ms = p95 as f64 / 1_000.0;
        }
        self.rows
    }
}

fn router_name(i: usize) -> String {
    format!("router-{i}")
}

fn router_index(name: &str) -> Option<usize> {
    name.strip_prefix("router-")?.parse().ok()
}

// Hashes two numbers with the finaliser of SplitMix64, for rendezvous hashing.
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a
        .wrapping_mul(0x9E37_79B9_7F4A_7C15)
        .wrapping_add(b.wrapping_mul(0xBF58_476D_1CE4_E5B9));
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
