//! The event-driven model around the shipping ledger and allotments.

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

// One way between a router and the leader, with the commit, in microseconds.
const TO_CONTROL: u64 = 4_000;
const TO_ROUTER: u64 = 1_500;
const RECALL_WAIT: u64 = 300_000;
const KEEP: u64 = 10_000_000;
const POLL: u64 = 5_000;
const RESERVE: std::ops::Range<u64> = 300..2_000;
// A request uses a fifth to three fifths of what it reserves.
const USE_PERCENT: std::ops::Range<u64> = 20..60;
const DURATION: std::ops::Range<u64> = 500_000..5_000_000;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Finish(usize, u64, u64),
    Poll,
    AtControl(usize, Sent),
    GrantDue(usize, u64),
    Recall(usize, usize),
    GrantReply(usize, u64, u64),
    ReportReply(usize, u64),
}

// Index of a message in `Model::grants` or `Model::reports`.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Sent {
    Grant(u64),
    Report(u64),
}

struct TeamState {
    budget: String,
    class: usize,
    left: u64,
    every: u64,
    used: u64,
    reserved: u64,
    promised: u64,
    // Router to use and the end of the entry answer, as callers keep it.
    entry: (Vec<usize>, u64),
}

struct Waiting {
    team: usize,
    amount: u64,
    since: u64,
}

struct Decided {
    reply: CommandReply,
    team: usize,
    // Needs that the reply meets, until it arrives.
    promised: u64,
    // Free tokens of the budget when control decided.
    free: u64,
}

struct Model<'a> {
    cfg: &'a StudyConfig,
    rules: Rules,
    rng: SmallRng,
    now: u64,
    number: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    ledger: Ledger,
    routers: Vec<Allotments>,
    teams: Vec<TeamState>,
    waiting: HashMap<(usize, u64), Waiting>,
    running: HashMap<(usize, u64), (usize, u64)>,
    grants: HashMap<u64, Grant>,
    reports: HashMap<u64, Report>,
    replies: HashMap<u64, Decided>,
    held: Vec<(usize, u64)>,
    rows: Vec<StudyRow>,
    grant_counts: Vec<u64>,
    waits: Vec<Vec<u64>>,
}

pub(super) fn run(cfg: &StudyConfig, name: &str, rules: Rules) -> Vec<StudyRow> {
    let mut model = Model::new(cfg, name, rules);
    while let Some(Reverse((at, _, event))) = model.events.pop() {
        model.now = at;
        model.handle(event);
    }
    model.finish()
}

impl<'a> Model<'a> {
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
        let mut model = Self {
            cfg,
            rules,
            rng: SmallRng::seed_from_u64(cfg.seed),
            now: 0,
            number: 0,
            events: BinaryHeap::new(),
            ledger: Ledger::new(),
            routers,
            teams: Vec::new(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            grants: HashMap::new(),
            reports: HashMap::new(),
            replies: HashMap::new(),
            held: Vec::new(),
            rows,
            grant_counts: vec![0; cfg.balances.len()],
            waits: vec![Vec::new(); cfg.balances.len()],
        };
        model.set_up();
        model
    }

    fn set_up(&mut self) {
        let mut ops = Vec::new();
        if !self.rules.exact_size {
            ops.push(set_op(Item::Default(DefaultValue {
                name: "small_budget_tokens".into(),
                value: 0,
            })));
        }
        for (class, &balance) in self.cfg.balances.iter().enumerate() {
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
                // A quarter more than the balance covers, over 3 minutes, so
                // that each team comes to the end of its balance.
                let mean_use = RESERVE.start.midpoint(RESERVE.end) * 40 / 100;
                let requests = (balance * 5 / 4 / mean_use).max(4);
                self.teams.push(TeamState {
                    budget: name,
                    class,
                    left: requests,
                    every: 180_000_000 / requests,
                    used: 0,
                    reserved: 0,
                    promised: 0,
                    entry: (Vec::new(), 0),
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
                amount: i64::try_from(self.cfg.balances[team.class]).unwrap_or(i64::MAX),
                author: String::new(),
                reason: String::new(),
            });
            let first = self.rng.random_range(0..team.every);
            self.apply(top_up);
            self.push(first, Event::Arrive(i));
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
        self.push(POLL, Event::Poll);
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.number += 1;
        self.events
            .push(Reverse((self.now + delay, self.number, event)));
    }

    fn time(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    fn apply(&mut self, body: Body) -> CommandReply {
        self.ledger.apply(&Command {
            at_ms: self.now / 1_000,
            body: Some(body),
        })
    }

    // Whether control and the router can't reach each other now.
    fn is_cut(&self, router: usize) -> bool {
        let at = self.cfg.cut_at.map(|s| s * 1_000_000);
        router == 0 && at.is_some_and(|at| self.now >= at)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::AtControl(r, _)
            | Event::Recall(r, _)
            | Event::GrantReply(r, ..)
            | Event::ReportReply(r, _)
                if self.is_cut(r) => {}
            Event::Arrive(team) => self.arrive(team),
            Event::Finish(router, id, used) => self.end_request(router, id, used),
            Event::Poll => self.poll(),
            Event::AtControl(router, Sent::Grant(n)) => self.grant_arrives(router, n),
            Event::AtControl(router, Sent::Report(n)) => {
                if let Some(report) = self.reports.remove(&n) {
                    let seq = report.seq;
                    self.apply(Body::Report(report));
                    self.push(TO_ROUTER, Event::ReportReply(router, seq));
                    self.retry_held();
                }
            }
            Event::GrantDue(router, n) => {
                if let Some(i) = self.held.iter().position(|h| *h == (router, n)) {
                    self.held.remove(i);
                    self.decide(router, n);
                }
            }
            Event::Recall(router, team) => {
                let now = self.time();
                self.routers[router].recall(now, &self.teams[team].budget);
            }
            Event::GrantReply(router, n, seq) => self.grant_reply(router, n, seq),
            Event::ReportReply(router, seq) => {
                let now = self.time();
                self.routers[router].on_report_ack(now, seq);
            }
        }
    }

    fn arrive(&mut self, t: usize) {
        let router = self.choose_router(t);
        let amount = self.rng.random_range(RESERVE);
        let now = self.time();
        let team = &mut self.teams[t];
        team.left -= 1;
        self.rows[team.class].requests += 1;
        match self.routers[router].reserve(now, &team.budget, amount) {
            Ok(id) => self.start(router, id, t, amount, 0),
            Err(need) => {
                let waiting = Waiting {
                    team: t,
                    amount,
                    since: self.now,
                };
                self.waiting.insert((router, need.need()), waiting);
            }
        }
        if self.teams[t].left > 0 {
            let every = self.teams[t].every;
            let delay = self.rng.random_range(every / 2..every * 3 / 2);
            self.push(delay, Event::Arrive(t));
        }
    }

    // Rendezvous by team; callers keep the answer for `keep_ms`.
    fn choose_router(&mut self, t: usize) -> usize {
        let (now, count, cut) = (self.now, self.cfg.routers, self.is_cut(0));
        let team = &mut self.teams[t];
        // A caller that is refused for lack of a lease asks for routers again.
        let gone = cut && team.entry.0.contains(&0);
        if team.entry.0.is_empty() || now >= team.entry.1 || gone {
            let unspent = self.ledger.amounts(&team.budget).map_or(0, |a| a.unspent);
            let small = unspent < 100_000;
            let size = match self.rules.two_routers && small {
                true => 2,
                false => count,
            };
            let mut order: Vec<usize> = (0..count).filter(|r| !cut || *r > 0).collect();
            order.sort_by_key(|r| mix(t as u64, *r as u64));
            order.truncate(size);
            team.entry = (order, now + KEEP);
        }
        let choices = &self.teams[t].entry.0;
        choices[self.rng.random_range(0..choices.len())]
    }

    fn start(&mut self, router: usize, id: u64, t: usize, amount: u64, waited: u64) {
        let team = &mut self.teams[t];
        team.reserved += amount;
        self.rows[team.class].served += 1;
        self.waits[team.class].push(waited);
        self.running.insert((router, id), (t, amount));
        let used = amount * self.rng.random_range(USE_PERCENT) / 100;
        let duration = self.rng.random_range(DURATION);
        self.push(duration, Event::Finish(router, id, used));
    }

    fn end_request(&mut self, router: usize, id: u64, used: u64) {
        let now = self.time();
        let Some((t, amount)) = self.running.remove(&(router, id)) else {
            return;
        };
        let billed = self.routers[router].settle(now, id, used, None);
        self.teams[t].reserved -= amount;
        self.teams[t].used += billed;
    }

    fn poll(&mut self) {
        let now = self.time();
        for r in 0..self.routers.len() {
            if self.is_cut(r) {
                continue;
            }
            while let Some(grant) = self.routers[r].next_grant(now) {
                self.number += 1;
                let n = self.number;
                if let Some(t) = self.team_of(&grant.budget) {
                    self.grant_counts[self.teams[t].class] += 1;
                }
                self.grants.insert(n, grant);
                self.push(TO_CONTROL, Event::AtControl(r, Sent::Grant(n)));
            }
            if let Some(report) = self.routers[r].next_report(now) {
                self.number += 1;
                let n = self.number;
                self.reports.insert(n, report);
                self.push(TO_CONTROL, Event::AtControl(r, Sent::Report(n)));
            }
        }
        let busy = self.waiting.keys().any(|(r, _)| !self.is_cut(*r))
            || !self.running.is_empty()
            || self.teams.iter().any(|t| t.left > 0);
        if busy {
            self.push(POLL, Event::Poll);
        }
    }

    fn team_of(&self, budget: &str) -> Option<usize> {
        self.teams.iter().position(|t| t.budget == budget)
    }

    // Tokens neither used nor reserved, wherever they are.
    fn free(&self, t: usize) -> u64 {
        let team = &self.teams[t];
        self.cfg.balances[team.class].saturating_sub(team.used + team.reserved + team.promised)
    }

    fn covered(&self, n: u64) -> bool {
        self.grants.get(&n).is_some_and(|g| {
            self.ledger
                .amounts(&g.budget)
                .is_some_and(|a| a.unspent >= g.need)
        })
    }

    // The leader recalls idle tokens and waits before it refuses a grant.
    fn grant_arrives(&mut self, router: usize, n: u64) {
        if self.covered(n) || !self.rules.recall {
            self.decide(router, n);
            return;
        }
        let Some(grant) = self.grants.get(&n).cloned() else {
            return;
        };
        let team = self.team_of(&grant.budget);
        let mut others = false;
        for (holder, _, _) in self.ledger.holders(&grant.budget) {
            if holder == grant.router {
                continue;
            }
            others = true;
            if let (Some(t), Some(r)) = (team, router_index(&holder)) {
                self.push(TO_ROUTER, Event::Recall(r, t));
            }
        }
        if !others {
            self.decide(router, n);
            return;
        }
        self.held.push((router, n));
        self.push(RECALL_WAIT, Event::GrantDue(router, n));
    }

    fn retry_held(&mut self) {
        for (router, n) in std::mem::take(&mut self.held) {
            if self.covered(n) {
                self.decide(router, n);
            } else {
                self.held.push((router, n));
            }
        }
    }

    fn decide(&mut self, router: usize, n: u64) {
        if let Some(grant) = self.grants.remove(&n) {
            let Some(team) = self.team_of(&grant.budget) else {
                return;
            };
            let (seq, need, free) = (grant.seq, grant.need, self.free(team));
            let reply = self.apply(Body::Grant(grant));
            let promised = match reply.reply {
                Some(Reply::Granted(_)) => need,
                _ => 0,
            };
            self.teams[team].promised += promised;
            let decided = Decided {
                reply,
                team,
                promised,
                free,
            };
            self.replies.insert(n, decided);
            self.push(TO_ROUTER, Event::GrantReply(router, n, seq));
        }
    }

    fn grant_reply(&mut self, router: usize, n: u64, seq: u64) {
        let now = self.time();
        let Some(decided) = self.replies.remove(&n) else {
            return;
        };
        self.teams[decided.team].promised -= decided.promised;
        for result in self.routers[router].on_grant(now, seq, &decided.reply) {
            let Some(w) = self.waiting.remove(&(router, result.need)) else {
                continue;
            };
            match result.outcome {
                Ok(id) => self.start(router, id, w.team, w.amount, self.now - w.since),
                Err(_) => {
                    // Tokens that came free after control decided make no
                    // refusal false.
                    let free = decided.free.min(self.free(w.team));
                    let row = &mut self.rows[self.teams[w.team].class];
                    row.refused += 1;
                    row.false_refusals += u64::from(free >= w.amount);
                }
            }
        }
    }

    fn finish(mut self) -> Vec<StudyRow> {
        self.ledger.assert_invariants();
        for (class, row) in self.rows.iter_mut().enumerate() {
            let used: u64 = self
                .teams
                .iter()
                .filter(|t| t.class == class)
                .map(|t| t.used)
                .sum();
            let waits = &mut self.waits[class];
            waits.sort_unstable();
            let p95 = waits.get(waits.len() * 95 / 100).copied().unwrap_or(0);
            let requests = row.requests.max(1) as f64;
            row.false_per_thousand = row.false_refusals as f64 * 1_000.0 / requests;
            row.used_percent = used as f64 * 100.0 / (row.balance * row.teams as u64) as f64;
            row.grants_per_request = self.grant_counts[class] as f64 / requests;
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

// A fixed 64-bit mix (the finaliser of SplitMix64) for the rendezvous order.
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a
        .wrapping_mul(0x9E37_79B9_7F4A_7C15)
        .wrapping_add(b.wrapping_mul(0xBF58_476D_1CE4_E5B9));
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
