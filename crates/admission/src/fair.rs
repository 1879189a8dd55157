//! Admission by rank floors, levels and fair shares of teams.

use std::collections::BTreeSet;
use std::collections::HashMap;

use anvilloft_types::prelude::*;

use crate::Admission;
use crate::AdmissionRequest;
use crate::Decision;
use crate::Refusal;
use crate::RefusalReason;
use crate::flow::FairQueue;
use crate::flow::FlowNo;
use crate::flow::Queued;
use crate::policy::Capacity;
use crate::policy::Policy;
use crate::policy::Rank;
use crate::rate::DrainRate;
use crate::window::Decayed;

/// Decay time of the sums that tell the recent shares of teams and ranks.
const RECENT: Duration = Duration::from_secs(5);
/// Shortest retry time, so that a refused caller doesn't poll.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Longest retry time; estimates further ahead are guesses.
const RETRY_MAX: Duration = Duration::from_secs(60);
/// Count of known teams in a rank above which idle ones are forgotten.
const SWEEP_TEAMS: usize = 64;
/// Claim that an idle team saves up, in mean requests. Without it the second
/// request of a burst waits a whole round of the other teams, although the team
/// asks for less than its share.
const BURST: f64 = 16.0;
/// Factor of the floors. Answers that end after the measured time or break off
/// must not push a rank just below its floor.
const FLOOR_MARGIN: f64 = 1.05;
/// Work beyond the floor that counts against it later, in mean requests.
const FLOOR_PAID: f64 = 4.0;
/// Smallest share of the drain rate that an estimate assumes for a rank.
const MIN_SHARE: f64 = 0.01;

/// One rank with its queue.
#[derive(Debug)]
struct RankState {
    rank: Rank,
    queue: FairQueue,
    /// Tokens that the floor owes to the rank. It grows by the floor's share
    /// of all started tokens while the rank has demand.
    owed: f64,
    /// Recently started tokens.
    recent: Decayed,
    /// Start tag among the ranks of one level.
    tag: f64,
}

impl RankState {
    fn floor(&self) -> f64 {
        f64::from(self.rank.floor_percent.min(100)) / 100.0 * FLOOR_MARGIN
    }

    fn backlogged(&self) -> bool {
        self.queue.len > 0
    }
}

/// Which part of the capacity a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    /// The first rank.
    First,
    /// Started by a floor.
    Floor,
    /// Of a team that uses little.
    Light,
    /// Everything else.
    Other,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    rank: usize,
    flow: FlowNo,
    deadline: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    rank: usize,
    flow: FlowNo,
    tokens: Tokens,
    since: Duration,
}

/// The shipped [`Admission`].
///
/// Ranks below their floor start first, then ranks by level; within a rank the
/// teams share by weighted max-min fairness over tokens.
#[derive(Debug)]
pub struct FairAdmission {
    policy: Policy,
    /// By level, then by name.
    ranks: Vec<RankState>,
    cap: Capacity,
    waiting: HashMap<RequestNo, Waiting>,
    running: HashMap<RequestNo, Running>,
    running_tokens: Tokens,
    /// Running requests of the first level.
    first_running: u64,
    /// Whether the first rank started work recently. It then keeps most of the
    /// reserve to itself.
    urgent_demand: bool,
    timeouts: BTreeSet<(Duration, RequestNo)>,
    /// Verdicts that a call other than `poll` caused.
    due: Vec<Decision>,
    drain: DrainRate,
}

impl FairAdmission {
    /// Makes an admission without capacity.
    pub fn new(policy: Policy) -> Self {
        let mut ranks = policy.ranks.clone();
        if ranks.is_empty() {
            ranks = Policy::default().ranks;
        }
        ranks.sort_by(|a, b| (a.level, &a.name).cmp(&(b.level, &b.name)));
        let ranks = ranks
            .into_iter()
            .map(|rank| RankState {
                rank,
                queue: FairQueue::default(),
                owed: 0.0,
                recent: Decayed::default(),
                tag: 0.0,
            })
            .collect();
        Self {
            policy,
            ranks,
            cap: Capacity::slots(0),
            waiting: HashMap::new(),
            running: HashMap::new(),
            running_tokens: 0,
            first_running: 0,
            urgent_demand: false,
            timeouts: BTreeSet::new(),
            due: Vec::new(),
            drain: DrainRate::default(),
        }
    }

    /// Returns the queued requests of a rank.
    pub fn queued_in(&self, rank: &str) -> usize {
        self.ranks
            .iter()
            .filter(|r| r.rank.name == rank)
            .map(|r| r.queue.len)
            .sum()
    }

    /// Returns the estimated wait of a request that would be offered now, or
    /// `None` before any request has finished.
    pub fn expected_wait(&self, now: Duration, req: &AdmissionRequest) -> Option<Duration> {
        self.wait_in(now, self.rank_of(now, req), req)
    }

    /// Returns the index of the rank that a request runs in.
    fn rank_of(&self, now: Duration, req: &AdmissionRequest) -> usize {
        let named = self.ranks.iter().position(|r| r.rank.name == req.rank);
        let at = named.unwrap_or(self.ranks.len() - 1);
        let first = self.ranks[0].rank.level;
        if self.ranks[at].rank.level != first || !self.above_urgent_share(now, at, req) {
            return at;
        }
        self.ranks
            .iter()
            .position(|r| r.rank.level > first)
            .unwrap_or(at)
    }

    /// Returns whether a team takes more than its share of the first rank
    /// while another team waits there.
    fn above_urgent_share(&self, now: Duration, at: usize, req: &AdmissionRequest) -> bool {
        let rank = &self.ranks[at];
        let Some(flow) = rank.queue.find(&req.team) else {
            return false;
        };
        if rank.queue.len == flow.queue.len() {
            return false;
        }
        let percent = req
            .urgent_share_percent
            .unwrap_or(self.policy.urgent_share_percent);
        let own = flow.recent.value(now, RECENT) + flow.tokens as f64 + req.tokens as f64;
        let all = rank.recent.value(now, RECENT) + rank.queue.tokens as f64 + req.tokens as f64;
        own * 100.0 > all * f64::from(percent.min(100))
    }

    fn wait_in(&self, now: Duration, at: usize, req: &AdmissionRequest) -> Option<Duration> {
        let rate = self.drain.tokens_per_s(self.cap.slots)?;
        let rank = &self.ranks[at];
        let level = rank.rank.level;
        let mut above_tokens = 0.0;
        let mut taken = 0.0;
        for (i, other) in self.ranks.iter().enumerate() {
            if other.rank.level < level {
                above_tokens += other.queue.tokens as f64;
                taken += other.recent.value(now, RECENT) / RECENT.as_secs_f64();
            } else if i != at && other.backlogged() {
                taken += other.floor() * rate;
            }
        }
        let class = if level == self.ranks[0].rank.level {
            Class::First
        } else {
            Class::Other
        };
        if above_tokens == 0.0 && !rank.backlogged() && self.fits(class, req.tokens) {
            return Some(Duration::ZERO);
        }
        let weight = f64::from(req.weight.max(1));
        let (queued, weights) = match rank.queue.find(&req.team) {
            Some(flow) if !flow.queue.is_empty() => (flow.tokens, rank.queue.weights as f64),
            _ => (0, rank.queue.weights as f64 + weight),
        };
        // With fair shares only as much of the other teams' work goes first as
        // this team has waiting itself, scaled by the weights. The request's
        // own size doesn't delay its start.
        let own = queued as f64 + self.drain.mean_tokens() / 2.0;
        let ahead = (own * weights / weight).min(rank.queue.tokens as f64);
        let free = (rate - taken)
            .max(rate * rank.floor())
            .max(rate * MIN_SHARE);
        let mut wait = ahead / free;
        if above_tokens > 0.0 {
            let by_level = wait + above_tokens / rate;
            let by_floor = ahead / (rate * rank.floor()).max(1e-9);
            wait = by_level.min(by_floor);
        }
        Some(Duration::from_secs_f64(wait.min(3600.0)))
    }

    /// Returns whether one more request may run.
    fn fits(&self, class: Class, tokens: Tokens) -> bool {
        let slots = u64::from(self.cap.slots);
        let reserve = (slots * u64::from(self.policy.reserve_permille) + 500) / 1000;
        let limit = match class {
            // In a flood of the first rank the place beyond the slots would
            // only fill the queues inside the engines.
            Class::First if 2 * self.first_running < slots => {
                slots.max(u64::from(self.cap.urgent_slots))
            }
            Class::First | Class::Floor => slots,
            Class::Light if self.urgent_demand => slots - reserve + reserve / 3,
            Class::Light => slots.max(u64::from(self.cap.urgent_slots)),
            Class::Other => slots - reserve,
        };
        let running = self.running.len() as u64;
        if running >= limit {
            return false;
        }
        // A request larger than the limit runs alone instead of never.
        running == 0 || self.running_tokens.saturating_add(tokens) <= self.cap.tokens
    }

    /// Returns the team of a rank whose request starts now, if any.
    fn next_flow(&self, at: usize, by_floor: bool) -> Option<FlowNo> {
        let queue = &self.ranks[at].queue;
        let (flow, req) = queue.peek()?;
        let class = if by_floor {
            Class::Floor
        } else if self.ranks[at].rank.level == self.ranks[0].rank.level {
            Class::First
        } else {
            Class::Other
        };
        if self.fits(class, req.tokens) {
            return Some(flow);
        }
        let (light, req) = queue.peek_light()?;
        self.fits(Class::Light, req.tokens).then_some(light)
    }

    /// Returns the rank whose turn it is, and whether by its floor.
    fn next_rank(&self) -> Option<(usize, bool)> {
        let owed = self
            .ranks
            .iter()
            .enumerate()
            .filter(|(_, r)| r.backlogged() && r.owed > 0.0)
            // The rank that has waited for the largest part of its floor.
            .max_by(|(_, a), (_, b)| (a.owed * b.floor()).total_cmp(&(b.owed * a.floor())));
        if let Some((at, _)) = owed {
            return Some((at, true));
        }
        let level = self.ranks.iter().find(|r| r.backlogged())?.rank.level;
        self.ranks
            .iter()
            .enumerate()
            .filter(|(_, r)| r.backlogged() && r.rank.level == level)
            .min_by(|(_, a), (_, b)| a.tag.total_cmp(&b.tag))
            .map(|(at, _)| (at, false))
    }

    /// Returns what starts next.
    fn next_start(&self) -> Option<(usize, FlowNo)> {
        let (at, by_floor) = self.next_rank()?;
        if let Some(flow) = self.next_flow(at, by_floor) {
            return Some((at, flow));
        }
        // A floor that finds no slot must not hold up urgent work, which may
        // use places that the floor may not.
        let first = self.ranks.iter().position(RankState::backlogged)?;
        let urgent = by_floor && self.ranks[first].rank.level == self.ranks[0].rank.level;
        let flow = urgent.then(|| self.next_flow(first, false)).flatten()?;
        Some((first, flow))
    }

    fn start(&mut self, now: Duration, at: usize, flow: FlowNo) -> Option<Decision> {
        let req = self.ranks[at].queue.pop(flow)?;
        let tokens = req.tokens as f64;
        self.waiting
            .remove(&req.id)
            .map(|w| self.timeouts.remove(&(w.deadline, req.id)));
        for rank in &mut self.ranks {
            if rank.backlogged() {
                rank.owed += rank.floor() * tokens;
            }
        }
        let paid = -FLOOR_PAID * self.drain.mean_tokens();
        let rank = &mut self.ranks[at];
        // Work beyond the floor counts for a while: otherwise a rank with
        // ample service would now and then start by its floor, ahead of others
        // and out of the reserve.
        rank.owed = (rank.owed - tokens).max(paid.min(rank.owed));
        if !rank.backlogged() {
            rank.owed = rank.owed.min(0.0);
        }
        rank.recent.add(now, RECENT, tokens);
        rank.tag += tokens / f64::from(rank.rank.weight.max(1));
        rank.queue.get_mut(flow).recent.add(now, RECENT, tokens);
        let level = rank.rank.level;
        if rank.queue.teams() > SWEEP_TEAMS {
            rank.queue.sweep();
        }
        self.running_tokens = self.running_tokens.saturating_add(req.tokens);
        self.first_running += u64::from(level == self.ranks[0].rank.level);
        self.running.insert(
            req.id,
            Running {
                rank: at,
                flow,
                tokens: req.tokens,
                since: now,
            },
        );
        Some(Decision::Start {
            id: req.id,
            level,
            waited: now.saturating_sub(req.since),
        })
    }

    /// Removes a queued request.
    fn dequeue(&mut self, id: RequestNo) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        self.timeouts.remove(&(waiting.deadline, id));
        let rank = &mut self.ranks[waiting.rank];
        rank.queue.remove(waiting.flow, id);
        if !rank.backlogged() {
            rank.owed = rank.owed.min(0.0);
        }
        Some(waiting)
    }

    /// Returns the request that gives way to one of `at` when all queues are
    /// full: the last one of the longest queue in the lowest rank.
    fn victim(&self, at: usize, own_len: usize) -> Option<RequestNo> {
        let level = self.ranks[at].rank.level;
        for (i, rank) in self.ranks.iter().enumerate().rev() {
            let Some((len, flow)) = rank.queue.longest() else {
                continue;
            };
            if rank.rank.level > level || (i == at && len > own_len + 1) {
                return rank.queue.last_of(flow);
            }
        }
        None
    }

    fn refusal(&self, reason: RefusalReason, wait: Option<Duration>, limit: Duration) -> Refusal {
        let retry = match reason {
            RefusalReason::NoCapacity => Duration::from_secs(1),
            _ => wait.map_or(limit, |w| w.saturating_sub(limit)),
        };
        Refusal {
            reason,
            retry_after: retry.clamp(RETRY_MIN, RETRY_MAX),
        }
    }
}

impl Admission for FairAdmission {
    fn enqueue(&mut self, now: Duration, req: AdmissionRequest) -> Result<(), Refusal> {
        let at = self.rank_of(now, &req);
        let queue = self.ranks[at].rank.max_wait;
        let limit = req.max_wait.map_or(queue, |w| w.min(queue));
        if self.waiting.contains_key(&req.id) || self.running.contains_key(&req.id) {
            return Err(self.refusal(RefusalReason::DuplicateId, None, limit));
        }
        if self.cap.slots == 0 {
            return Err(self.refusal(RefusalReason::NoCapacity, None, limit));
        }
        let wait = self.wait_in(now, at, &req);
        if wait.is_some_and(|w| w > limit) {
            return Err(self.refusal(RefusalReason::WaitTooLong, wait, limit));
        }
        let own = self.ranks[at]
            .queue
            .find(&req.team)
            .map_or(0, |f| f.queue.len());
        if own >= self.policy.max_team_queue {
            // One place is free after the next start of this team.
            let place = wait.map(|w| limit + w / (own as u32).max(1));
            return Err(self.refusal(RefusalReason::TeamQueueFull, place, limit));
        }
        if self.waiting.len() >= self.policy.max_total_queue {
            let Some(victim) = self.victim(at, own) else {
                let place = wait.map(|w| limit + w / (own as u32).max(1));
                return Err(self.refusal(RefusalReason::QueueFull, place, limit));
            };
            if let Some(w) = self.dequeue(victim) {
                let limit = self.ranks[w.rank].rank.max_wait;
                let refusal = self.refusal(RefusalReason::QueueFull, None, limit);
                self.due.push(Decision::Refuse {
                    id: victim,
                    refusal,
                });
            }
        }
        let burst = (self.drain.mean_tokens() * BURST) as Tokens;
        let rank = &mut self.ranks[at];
        let flow = rank.queue.flow(&req.team, req.weight);
        rank.queue.push(
            flow,
            Queued {
                id: req.id,
                tokens: req.tokens.max(1),
                since: now,
            },
            burst,
        );
        let deadline = now + limit;
        self.timeouts.insert((deadline, req.id));
        self.waiting.insert(
            req.id,
            Waiting {
                rank: at,
                flow,
                deadline,
            },
        );
        Ok(())
    }

    fn restore_running(
        &mut self,
        now: Duration,
        req: AdmissionRequest,
        level: u32,
        since: Duration,
    ) {
        if self.waiting.contains_key(&req.id) || self.running.contains_key(&req.id) {
            return;
        }
        // It runs at the level that the endpoint was told, which the changed
        // ranks may give to another rank.
        let named = self.ranks.iter().position(|r| r.rank.name == req.rank);
        let at = named
            .filter(|at| self.ranks[*at].rank.level == level)
            .or_else(|| self.ranks.iter().position(|r| r.rank.level == level))
            .or(named)
            .unwrap_or(self.ranks.len() - 1);
        let tokens = req.tokens.max(1);
        let rank = &mut self.ranks[at];
        let flow = rank.queue.flow(&req.team, req.weight);
        rank.queue.restore_running(flow, tokens);
        rank.recent.add(now, RECENT, tokens as f64);
        rank.tag += tokens as f64 / f64::from(rank.rank.weight.max(1));
        rank.queue
            .get_mut(flow)
            .recent
            .add(now, RECENT, tokens as f64);
        self.running_tokens = self.running_tokens.saturating_add(tokens);
        self.first_running += u64::from(self.ranks[at].rank.level == self.ranks[0].rank.level);
        self.running.insert(
            req.id,
            Running {
                rank: at,
                flow,
                tokens,
                since,
            },
        );
    }

    fn cancel(&mut self, _now: Duration, id: RequestNo) {
        self.dequeue(id);
    }

    fn finish(&mut self, now: Duration, id: RequestNo, used: Tokens) {
        let Some(run) = self.running.remove(&id) else {
            return;
        };
        self.running_tokens = self.running_tokens.saturating_sub(run.tokens);
        // A request that was not run says nothing about the time in a slot.
        if used > 0 {
            self.drain.add(now.saturating_sub(run.since), run.tokens);
        }
        let change = used as f64 - run.tokens as f64;
        for rank in &mut self.ranks {
            if rank.backlogged() {
                rank.owed += rank.floor() * change;
            }
        }
        if self.ranks[run.rank].rank.level == self.ranks[0].rank.level {
            self.first_running -= 1;
        }
        let rank = &mut self.ranks[run.rank];
        rank.owed -= change;
        rank.recent.add(now, RECENT, change);
        rank.queue.get_mut(run.flow).recent.add(now, RECENT, change);
        rank.queue.settle(run.flow, run.tokens, used);
    }

    fn set_capacity(&mut self, _now: Duration, cap: Capacity) {
        self.cap = cap;
    }

    fn poll(&mut self, now: Duration) -> Vec<Decision> {
        let mut out = std::mem::take(&mut self.due);
        while let Some(&(deadline, id)) = self.timeouts.first() {
            if deadline > now {
                break;
            }
            let Some(w) = self.dequeue(id) else {
                self.timeouts.remove(&(deadline, id));
                continue;
            };
            let limit = self.ranks[w.rank].rank.max_wait;
            out.push(Decision::Refuse {
                id,
                refusal: self.refusal(RefusalReason::DeadlinePassed, None, limit),
            });
        }
        self.urgent_demand = self.ranks[0].recent.value(now, RECENT) > 1.0;
        while let Some((at, flow)) = self.next_start() {
            match self.start(now, at, flow) {
                Some(verdict) => out.push(verdict),
                None => break,
            }
        }
        out
    }

    fn next_timeout(&self) -> Option<Duration> {
        self.timeouts.first().map(|&(at, _)| at)
    }

    fn counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.running.len())
    }
}
