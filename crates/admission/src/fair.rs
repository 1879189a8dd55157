//! Admission by rank floors, levels and fair shares of teams.

use std::collections::BTreeSet;
use std::collections::HashMap;

use anvilloft_types::prelude::*;

use crate::Admission;
use crate::AdmissionRequest;
use crate::Decision;
use crate::Refusal;
use crate::RefusalReason;
use crate::decay::DecayingSum;
use crate::flow::FairQueue;
use crate::flow::FlowIndex;
use crate::flow::QueuedRequest;
use crate::policy::Capacity;
use crate::policy::Policy;
use crate::policy::Rank;
use crate::rate::DrainRate;

/// Decay time of the recent token sums of teams and ranks.
const RECENT_DECAY: Duration = Duration::from_secs(5);
/// Minimum retry delay, so that refused callers don't poll.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Maximum retry delay; estimates further ahead are unreliable.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Number of known teams in a rank above which idle ones are removed.
const IDLE_SWEEP_THRESHOLD: usize = 64;
/// Maximum credit of an idle team, in mean requests. Without credit, the second
/// request of a burst would wait for a whole round of the other teams even
/// though its team uses less than its share.
const IDLE_CREDIT: f64 = 16.0;
/// Factor applied to the floors, so that a rank doesn't fall just below its floor
/// when some of its answers are cut short or end after the measured interval.
const FLOOR_MARGIN: f64 = 1.05;
/// Maximum service above the floor that counts against a rank later, in mean
/// requests.
const MAX_FLOOR_SURPLUS: f64 = 4.0;
/// Minimum share of the drain rate that an estimate assumes for a rank.
const MIN_RATE_SHARE: f64 = 0.01;

/// One rank with its queue.
#[derive(Debug)]
struct RankState {
    rank: Rank,
    queue: FairQueue,
    /// Tokens that the rank still needs to reach its floor; negative after
    /// service above the floor. Grows by the floor's share of all started
    /// tokens while the rank has demand.
    deficit: f64,
    /// Recently started tokens.
    recent_tokens: DecayingSum,
    /// Start tag among the ranks of one level.
    start_tag: f64,
}

impl RankState {
    /// Returns the floor as a fraction of the tokens, with its margin.
    fn floor(&self) -> f64 {
        f64::from(self.rank.floor_percent.min(100)) / 100.0 * FLOOR_MARGIN
    }

    fn backlogged(&self) -> bool {
        self.queue.len > 0
    }
}

/// Determines which part of the capacity a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotClass {
    /// A request in the first rank.
    FirstRank,
    /// A request that starts because its rank is below its floor.
    Floor,
    /// A request of a team that uses much less than the largest user.
    LightTeam,
    /// Any other request.
    Other,
}

/// Where a queued request waits, and until when.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    rank: usize,
    flow: FlowIndex,
    deadline: Duration,
}

/// What a running request counts against.
#[derive(Clone, Copy, Debug)]
struct Running {
    rank: usize,
    flow: FlowIndex,
    tokens: Tokens,
    started_at: Duration,
}

/// The production [`Admission`].
///
/// Ranks below their floor start first, then ranks by level; within a rank the
/// teams share by weighted max-min fairness over tokens.
#[derive(Debug)]
pub struct FairAdmission {
    policy: Policy,
    /// Sorted by level, then by name.
    ranks: Vec<RankState>,
    capacity: Capacity,
    waiting: HashMap<RequestNo, Waiting>,
    running: HashMap<RequestNo, Running>,
    running_tokens: Tokens,
    /// Number of running requests of the first level.
    first_level_running: u64,
    /// Whether the first rank started work recently. Most of the reserve is
    /// then kept for it.
    urgent_demand: bool,
    deadlines: BTreeSet<(Duration, RequestNo)>,
    /// Decisions caused by calls other than `poll`.
    pending_decisions: Vec<Decision>,
    drain_rate: DrainRate,
}

impl FairAdmission {
    /// Creates an admission without capacity.
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
                deficit: 0.0,
                recent_tokens: DecayingSum::default(),
                start_tag: 0.0,
            })
            .collect();
        Self {
            policy,
            ranks,
            capacity: Capacity::slots(0),
            waiting: HashMap::new(),
            running: HashMap::new(),
            running_tokens: 0,
            first_level_running: 0,
            urgent_demand: false,
            deadlines: BTreeSet::new(),
            pending_decisions: Vec::new(),
            drain_rate: DrainRate::default(),
        }
    }

    /// Returns the number of queued requests of a rank.
    pub fn queued_in(&self, rank: &str) -> usize {
        self.ranks
            .iter()
            .filter(|r| r.rank.name == rank)
            .map(|r| r.queue.len)
            .sum()
    }

    /// Returns the estimated wait of a request if it were queued now, or `None`
    /// before any request has finished.
    pub fn expected_wait(&self, now: Duration, req: &AdmissionRequest) -> Option<Duration> {
        self.estimate_wait(now, self.effective_rank(now, req), req)
    }

    /// Returns the index of the rank that a request is queued in. A request of
    /// the first level whose team is above the urgent share goes to the next
    /// level.
    fn effective_rank(&self, now: Duration, req: &AdmissionRequest) -> usize {
        let requested = self.ranks.iter().position(|r| r.rank.name == req.rank);
        let rank_index = requested.unwrap_or(self.ranks.len() - 1);
        let first_level = self.ranks[0].rank.level;
        if self.ranks[rank_index].rank.level != first_level
            || !self.above_urgent_share(now, rank_index, req)
        {
            return rank_index;
        }
        self.ranks
            .iter()
            .position(|r| r.rank.level > first_level)
            .unwrap_or(rank_index)
    }

    /// Returns whether a request would take its team above the urgent share of
    /// a rank while another team waits there.
    fn above_urgent_share(&self, now: Duration, rank_index: usize, req: &AdmissionRequest) -> bool {
        let rank = &self.ranks[rank_index];
        let Some(flow) = rank.queue.find(&req.team) else {
            return false;
        };
        if rank.queue.len == flow.queue.len() {
            return false;
        }
        let percent = req
            .urgent_share_percent
            .unwrap_or(self.policy.urgent_share_percent);
        let own =
            flow.recent_tokens.value(now, RECENT_DECAY) + flow.tokens as f64 + req.tokens as f64;
        let all = rank.recent_tokens.value(now, RECENT_DECAY)
            + rank.queue.tokens as f64
            + req.tokens as f64;
        own * 100.0 > all * f64::from(percent.min(100))
    }

    /// Returns the estimated wait of a request in a rank.
    fn estimate_wait(
        &self,
        now: Duration,
        rank_index: usize,
        req: &AdmissionRequest,
    ) -> Option<Duration> {
        let rate = self.drain_rate.tokens_per_s(self.capacity.slots)?;
        let rank = &self.ranks[rank_index];
        let level = rank.rank.level;
        let mut higher_level_tokens = 0.0;
        let mut used_rate = 0.0;
        for (i, other) in self.ranks.iter().enumerate() {
            if other.rank.level < level {
                higher_level_tokens += other.queue.tokens as f64;
                used_rate +=
                    other.recent_tokens.value(now, RECENT_DECAY) / RECENT_DECAY.as_secs_f64();
            } else if i != rank_index && other.backlogged() {
                used_rate += other.floor() * rate;
            }
        }
        let class = if level == self.ranks[0].rank.level {
            SlotClass::FirstRank
        } else {
            SlotClass::Other
        };
        if higher_level_tokens == 0.0 && !rank.backlogged() && self.fits(class, req.tokens) {
            return Some(Duration::ZERO);
        }
        let weight = f64::from(req.weight.max(1));
        let (queued, total_weight) = match rank.queue.find(&req.team) {
            Some(flow) if !flow.queue.is_empty() => (flow.tokens, rank.queue.total_weight as f64),
            _ => (0, rank.queue.total_weight as f64 + weight),
        };
        // With fair sharing, the work of other teams that goes first is as much
        // as this team has queued itself, scaled by the weights. The size of
        // the request itself doesn't delay its start.
        let own_tokens = queued as f64 + self.drain_rate.mean_tokens() / 2.0;
        let tokens_ahead = (own_tokens * total_weight / weight).min(rank.queue.tokens as f64);
        let available_rate = (rate - used_rate)
            .max(rate * rank.floor())
            .max(rate * MIN_RATE_SHARE);
        let mut wait = tokens_ahead / available_rate;
        if higher_level_tokens > 0.0 {
            let wait_by_level = wait + higher_level_tokens / rate;
            let wait_by_floor = tokens_ahead / (rate * rank.floor()).max(1e-9);
            wait = wait_by_level.min(wait_by_floor);
        }
        Some(Duration::from_secs_f64(wait.min(3600.0)))
    }

    /// Returns whether one more request may run.
    fn fits(&self, class: SlotClass, tokens: Tokens) -> bool {
        let slots = u64::from(self.capacity.slots);
        let reserve = (slots * u64::from(self.policy.reserve_permille) + 500) / 1000;
        let limit = match class {
            // When the first rank floods the fleet, requests beyond the slots
            // would only fill the queues inside the engines.
            SlotClass::FirstRank if 2 * self.first_level_running < slots => {
                slots.max(u64::from(self.capacity.urgent_slots))
            }
            SlotClass::FirstRank | SlotClass::Floor => slots,
            SlotClass::LightTeam if self.urgent_demand => slots - reserve + reserve / 3,
            SlotClass::LightTeam => slots.max(u64::from(self.capacity.urgent_slots)),
            SlotClass::Other => slots - reserve,
        };
        let running = self.running.len() as u64;
        if running >= limit {
            return false;
        }
        // A request larger than the token limit runs alone; otherwise it would
        // never run.
        running == 0 || self.running_tokens.saturating_add(tokens) <= self.capacity.tokens
    }

    /// Returns the flow of a rank whose next request can start now, if any.
    fn next_flow(&self, rank_index: usize, by_floor: bool) -> Option<FlowIndex> {
        let queue = &self.ranks[rank_index].queue;
        let (flow, req) = queue.peek()?;
        let class = if by_floor {
            SlotClass::Floor
        } else if self.ranks[rank_index].rank.level == self.ranks[0].rank.level {
            SlotClass::FirstRank
        } else {
            SlotClass::Other
        };
        if self.fits(class, req.tokens) {
            return Some(flow);
        }
        let (light, req) = queue.peek_light()?;
        self.fits(SlotClass::LightTeam, req.tokens).then_some(light)
    }

    /// Returns the rank that is served next, and whether because it is below
    /// its floor.
    fn next_rank(&self) -> Option<(usize, bool)> {
        let furthest_below_floor = self
            .ranks
            .iter()
            .enumerate()
            .filter(|(_, r)| r.backlogged() && r.deficit > 0.0)
            // The rank with the largest deficit relative to its floor.
            .max_by(|(_, a), (_, b)| (a.deficit * b.floor()).total_cmp(&(b.deficit * a.floor())));
        if let Some((rank_index, _)) = furthest_below_floor {
            return Some((rank_index, true));
        }
        let level = self.ranks.iter().find(|r| r.backlogged())?.rank.level;
        self.ranks
            .iter()
            .enumerate()
            .filter(|(_, r)| r.backlogged() && r.rank.level == level)
            .min_by(|(_, a), (_, b)| a.start_tag.total_cmp(&b.start_tag))
            .map(|(rank_index, _)| (rank_index, false))
    }

    /// Returns the rank and the flow whose request starts next.
    fn next_start(&self) -> Option<(usize, FlowIndex)> {
        let (rank_index, by_floor) = self.next_rank()?;
        if let Some(flow) = self.next_flow(rank_index, by_floor) {
            return Some((rank_index, flow));
        }
        // A rank below its floor that finds no free slot must not block urgent
        // work, which may use slots that the floor may not.
        let first = self.ranks.iter().position(RankState::backlogged)?;
        let urgent = by_floor && self.ranks[first].rank.level == self.ranks[0].rank.level;
        let flow = urgent.then(|| self.next_flow(first, false)).flatten()?;
        Some((first, flow))
    }

    /// Starts the next request of a flow.
    fn start(&mut self, now: Duration, rank_index: usize, flow: FlowIndex) -> Option<Decision> {
        let req = self.ranks[rank_index].queue.pop(flow)?;
        let tokens = req.tokens as f64;
        self.waiting
            .remove(&req.id)
            .map(|w| self.deadlines.remove(&(w.deadline, req.id)));
        for rank in &mut self.ranks {
            if rank.backlogged() {
                rank.deficit += rank.floor() * tokens;
            }
        }
        let min_deficit = -MAX_FLOOR_SURPLUS * self.drain_rate.mean_tokens();
        let rank = &mut self.ranks[rank_index];
        // Service above the floor counts against the rank for a while.
        // Otherwise a rank with ample service would now and then start by its
        // floor, ahead of others and on reserved slots.
        rank.deficit = (rank.deficit - tokens).max(min_deficit.min(rank.deficit));
        if !rank.backlogged() {
            rank.deficit = rank.deficit.min(0.0);
        }
        rank.recent_tokens.add(now, RECENT_DECAY, tokens);
        rank.start_tag += tokens / f64::from(rank.rank.weight.max(1));
        rank.queue
            .get_mut(flow)
            .recent_tokens
            .add(now, RECENT_DECAY, tokens);
        let level = rank.rank.level;
        if rank.queue.team_count() > IDLE_SWEEP_THRESHOLD {
            rank.queue.remove_idle_teams();
        }
        self.running_tokens = self.running_tokens.saturating_add(req.tokens);
        self.first_level_running += u64::from(level == self.ranks[0].rank.level);
        self.running.insert(
            req.id,
            Running {
                rank: rank_index,
                flow,
                tokens: req.tokens,
                started_at: now,
            },
        );
        Some(Decision::Start {
            id: req.id,
            level,
            waited: now.saturating_sub(req.queued_at),
        })
    }

    /// Removes a queued request.
    fn dequeue(&mut self, id: RequestNo) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        self.deadlines.remove(&(waiting.deadline, id));
        let rank = &mut self.ranks[waiting.rank];
        rank.queue.remove(waiting.flow, id);
        if !rank.backlogged() {
            rank.deficit = rank.deficit.min(0.0);
        }
        Some(waiting)
    }

    /// Returns the request to evict in favour of one in the rank `rank_index`
    /// when the queues are full: the last one of the longest queue in the
    /// lowest rank. `own_len` is the length of the new request's queue. Returns
    /// `None` if no lower level has a queue and no queue of the same rank is
    /// longer by at least two.
    fn request_to_evict(&self, rank_index: usize, own_len: usize) -> Option<RequestNo> {
        let level = self.ranks[rank_index].rank.level;
        for (i, rank) in self.ranks.iter().enumerate().rev() {
            let Some((len, flow)) = rank.queue.longest() else {
                continue;
            };
            if rank.rank.level > level || (i == rank_index && len > own_len + 1) {
                return rank.queue.last_request(flow);
            }
        }
        None
    }

    fn refusal(
        &self,
        reason: RefusalReason,
        wait: Option<Duration>,
        max_wait: Duration,
    ) -> Refusal {
        let retry = match reason {
            RefusalReason::NoCapacity => Duration::from_secs(1),
            _ => wait.map_or(max_wait, |w| w.saturating_sub(max_wait)),
        };
        Refusal {
            reason,
            retry_after: retry.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}

impl Admission for FairAdmission {
    fn enqueue(&mut self, now: Duration, req: AdmissionRequest) -> Result<(), Refusal> {
        let rank_index = self.effective_rank(now, &req);
        let rank_max_wait = self.ranks[rank_index].rank.max_wait;
        let max_wait = req.max_wait.map_or(rank_max_wait, |w| w.min(rank_max_wait));
        if self.waiting.contains_key(&req.id) || self.running.contains_key(&req.id) {
            return Err(self.refusal(RefusalReason::DuplicateId, None, max_wait));
        }
        if self.capacity.slots == 0 {
            return Err(self.refusal(RefusalReason::NoCapacity, None, max_wait));
        }
        let wait = self.estimate_wait(now, rank_index, &req);
        if wait.is_some_and(|w| w > max_wait) {
            return Err(self.refusal(RefusalReason::WaitTooLong, wait, max_wait));
        }
        let own_len = self.ranks[rank_index]
            .queue
            .find(&req.team)
            .map_or(0, |f| f.queue.len());
        if own_len >= self.policy.max_team_queue {
            // A place becomes free when the next request of this team starts.
            let wait_for_place = wait.map(|w| max_wait + w / (own_len as u32).max(1));
            return Err(self.refusal(RefusalReason::TeamQueueFull, wait_for_place, max_wait));
        }
        if self.waiting.len() >= self.policy.max_total_queue {
            let Some(evicted) = self.request_to_evict(rank_index, own_len) else {
                let wait_for_place = wait.map(|w| max_wait + w / (own_len as u32).max(1));
                return Err(self.refusal(RefusalReason::QueueFull, wait_for_place, max_wait));
            };
            if let Some(w) = self.dequeue(evicted) {
                let max_wait = self.ranks[w.rank].rank.max_wait;
                let refusal = self.refusal(RefusalReason::QueueFull, None, max_wait);
                self.pending_decisions.push(Decision::Refuse {
                    id: evicted,
                    refusal,
                });
            }
        }
        let max_credit = (self.drain_rate.mean_tokens() * IDLE_CREDIT) as Tokens;
        let rank = &mut self.ranks[rank_index];
        let flow = rank.queue.get_or_insert(&req.team, req.weight);
        rank.queue.push(
            flow,
            QueuedRequest {
                id: req.id,
                tokens: req.tokens.max(1),
                queued_at: now,
            },
            max_credit,
        );
        let deadline = now + max_wait;
        self.deadlines.insert((deadline, req.id));
        self.waiting.insert(
            req.id,
            Waiting {
                rank: rank_index,
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
        started_at: Duration,
    ) {
        if self.waiting.contains_key(&req.id) || self.running.contains_key(&req.id) {
            return;
        }
        // The request runs at the level that was sent to the endpoint, which
        // may belong to another rank after the ranks were changed.
        let requested = self.ranks.iter().position(|r| r.rank.name == req.rank);
        let rank_index = requested
            .filter(|rank_index| self.ranks[*rank_index].rank.level == level)
            .or_else(|| self.ranks.iter().position(|r| r.rank.level == level))
            .or(requested)
            .unwrap_or(self.ranks.len() - 1);
        let tokens = req.tokens.max(1);
        let rank = &mut self.ranks[rank_index];
        let flow = rank.queue.get_or_insert(&req.team, req.weight);
        rank.queue.restore_running(flow, tokens);
        rank.recent_tokens.add(now, RECENT_DECAY, tokens as f64);
        rank.start_tag += tokens as f64 / f64::from(rank.rank.weight.max(1));
        rank.queue
            .get_mut(flow)
            .recent_tokens
            .add(now, RECENT_DECAY, tokens as f64);
        self.running_tokens = self.running_tokens.saturating_add(tokens);
        self.first_level_running +=
            u64::from(self.ranks[rank_index].rank.level == self.ranks[0].rank.level);
        self.running.insert(
            req.id,
            Running {
                rank: rank_index,
                flow,
                tokens,
                started_at,
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
        // A request that was not run is no sample of the time in a slot.
        if used > 0 {
            self.drain_rate
                .add(now.saturating_sub(run.started_at), run.tokens);
        }
        let change = used as f64 - run.tokens as f64;
        for rank in &mut self.ranks {
            if rank.backlogged() {
                rank.deficit += rank.floor() * change;
            }
        }
        if self.ranks[run.rank].rank.level == self.ranks[0].rank.level {
            self.first_level_running -= 1;
        }
        let rank = &mut self.ranks[run.rank];
        rank.deficit -= change;
        rank.recent_tokens.add(now, RECENT_DECAY, change);
        rank.queue
            .get_mut(run.flow)
            .recent_tokens
            .add(now, RECENT_DECAY, change);
        rank.queue.settle(run.flow, run.tokens, used);
    }

    fn set_capacity(&mut self, _now: Duration, capacity: Capacity) {
        self.capacity = capacity;
    }

    fn poll(&mut self, now: Duration) -> Vec<Decision> {
        let mut decisions = std::mem::take(&mut self.pending_decisions);
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            let Some(w) = self.dequeue(id) else {
                self.deadlines.remove(&(deadline, id));
                continue;
            };
            let max_wait = self.ranks[w.rank].rank.max_wait;
            decisions.push(Decision::Refuse {
                id,
                refusal: self.refusal(RefusalReason::DeadlinePassed, None, max_wait),
            });
        }
        self.urgent_demand = self.ranks[0].recent_tokens.value(now, RECENT_DECAY) > 1.0;
        while let Some((rank_index, flow)) = self.next_start() {
            match self.start(now, rank_index, flow) {
                Some(decision) => decisions.push(decision),
                None => break,
            }
        }
        decisions
    }

    fn next_timeout(&self) -> Option<Duration> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    fn counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.running.len())
    }
}
