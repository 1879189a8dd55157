//! The queue of one team in one rank, and the fair order among teams.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use anvilloft_types::prelude::*;

use crate::decay::DecayingSum;

/// Maximum number of teams, in fair order, that are searched for a light one, as
/// defined by [`FairQueue::is_light`].
const MAX_LIGHT_SEARCH: usize = 16;

/// Index of a flow within its rank.
pub(crate) type FlowIndex = usize;

/// Virtual time: tokens divided by the team's weight. An integer, so that flows
/// can be ordered.
type VirtualTime = u64;

/// A queued request.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) id: RequestNo,
    pub(crate) tokens: Tokens,
    pub(crate) queued_at: Duration,
}

/// The queue of one team.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    pub(crate) team: TeamId,
    pub(crate) weight: u32,
    pub(crate) queue: VecDeque<QueuedRequest>,
    /// Estimated tokens of the queued requests.
    pub(crate) tokens: Tokens,
    /// Started requests that have not finished.
    pub(crate) running: usize,
    /// Recently started tokens.
    pub(crate) recent_tokens: DecayingSum,
    /// Start tag of the next request.
    start_tag: VirtualTime,
}

impl Flow {
    /// Returns the number of running requests divided by the weight.
    fn weighted_running(&self) -> u64 {
        virtual_cost(self.running as Tokens, self.weight)
    }
}

/// Start-time fair queueing over the teams of one rank.
///
/// The virtual time is the start tag of the request that started last (Goyal,
/// Vin and Cheng, 1996), here in estimated tokens divided by the team's weight.
/// When a request finishes, the team's start tag is corrected by the difference
/// between its estimated and used tokens.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    flows: Vec<Flow>,
    free_indexes: Vec<FlowIndex>,
    by_team: HashMap<TeamId, FlowIndex>,
    /// Flows with a queue, by start tag.
    by_start_tag: BTreeSet<(VirtualTime, FlowIndex)>,
    /// Flows with a queue, by length.
    by_len: BTreeSet<(usize, FlowIndex)>,
    /// Flows with running requests, by the number of these divided by the
    /// weight.
    by_running: BTreeSet<(u64, FlowIndex)>,
    virtual_time: VirtualTime,
    /// Maximum credit of an idle team, in tokens.
    max_credit: Tokens,
    /// Number of queued requests of all flows.
    pub(crate) len: usize,
    /// Estimated tokens of the queued requests of all flows.
    pub(crate) tokens: Tokens,
    /// Sum of the weights of flows with a queue.
    pub(crate) total_weight: u64,
}

impl FairQueue {
    /// Returns the flow of a team, which is created if needed.
    pub(crate) fn get_or_insert(&mut self, team: &str, weight: u32) -> FlowIndex {
        let weight = weight.max(1);
        if let Some(&index) = self.by_team.get(team) {
            if self.flows[index].queue.is_empty() {
                self.flows[index].weight = weight;
            }
            return index;
        }
        let flow = Flow {
            team: team.to_owned(),
            weight,
            ..Flow::default()
        };
        let index = match self.free_indexes.pop() {
            Some(index) => {
                self.flows[index] = flow;
                index
            }
            None => {
                self.flows.push(flow);
                self.flows.len() - 1
            }
        };
        self.by_team.insert(team.to_owned(), index);
        index
    }

    /// Returns the flow of a team, if it exists.
    pub(crate) fn find(&self, team: &str) -> Option<&Flow> {
        self.by_team.get(team).map(|&index| &self.flows[index])
    }

    /// Returns a flow for changes that affect neither its queue nor its start
    /// tag.
    pub(crate) fn get_mut(&mut self, index: FlowIndex) -> &mut Flow {
        &mut self.flows[index]
    }

    /// Removes a flow from the ordered sets, before its place in them changes.
    fn remove_from_sets(&mut self, index: FlowIndex) {
        let flow = &self.flows[index];
        if flow.running > 0 {
            self.by_running.remove(&(flow.weighted_running(), index));
        }
        if !flow.queue.is_empty() {
            self.by_start_tag.remove(&(flow.start_tag, index));
            self.by_len.remove(&(flow.queue.len(), index));
            self.total_weight -= u64::from(flow.weight);
        }
    }

    /// Adds a flow to the ordered sets, at its present place in them.
    fn add_to_sets(&mut self, index: FlowIndex) {
        let flow = &self.flows[index];
        if flow.running > 0 {
            self.by_running.insert((flow.weighted_running(), index));
        }
        if !flow.queue.is_empty() {
            self.by_start_tag.insert((flow.start_tag, index));
            self.by_len.insert((flow.queue.len(), index));
            self.total_weight += u64::from(flow.weight);
        }
    }

    /// Appends a request. A team that was idle has credit for at most
    /// `max_credit` tokens.
    pub(crate) fn push(&mut self, index: FlowIndex, req: QueuedRequest, max_credit: Tokens) {
        self.remove_from_sets(index);
        self.max_credit = max_credit;
        let flow = &mut self.flows[index];
        if flow.queue.is_empty() {
            let credit = virtual_cost(max_credit, flow.weight);
            flow.start_tag = flow.start_tag.max(self.virtual_time.saturating_sub(credit));
        }
        flow.tokens += req.tokens;
        self.tokens += req.tokens;
        self.len += 1;
        flow.queue.push_back(req);
        self.add_to_sets(index);
    }

    /// Returns the flow that is next in fair order, with its first request.
    pub(crate) fn peek(&self) -> Option<(FlowIndex, &QueuedRequest)> {
        let &(_, index) = self.by_start_tag.first()?;
        Some((index, self.flows[index].queue.front()?))
    }

    /// Returns the first flow in fair order that is light, with its first
    /// request.
    pub(crate) fn peek_light(&self) -> Option<(FlowIndex, &QueuedRequest)> {
        let mut candidates = self.by_start_tag.iter().take(MAX_LIGHT_SEARCH);
        let &(_, index) = candidates.find(|&&(_, index)| self.is_light(index))?;
        Some((index, self.flows[index].queue.front()?))
    }

    /// Returns whether a team's queued and running requests are fewer than the
    /// running requests of the rank's largest user, each divided by the weight.
    fn is_light(&self, index: FlowIndex) -> bool {
        let Some(&(max_running, heaviest)) = self.by_running.last() else {
            return false;
        };
        let flow = &self.flows[index];
        let demand = virtual_cost((flow.running + flow.queue.len()) as Tokens, flow.weight);
        index != heaviest && demand < max_running
    }

    /// Removes and returns the next request of a team.
    pub(crate) fn pop(&mut self, index: FlowIndex) -> Option<QueuedRequest> {
        let start_tag = self.flows[index].start_tag;
        self.remove_from_sets(index);
        self.virtual_time = self.virtual_time.max(start_tag);
        let flow = &mut self.flows[index];
        let req = flow.queue.pop_front();
        if let Some(req) = &req {
            flow.tokens -= req.tokens;
            flow.running += 1;
            flow.start_tag = start_tag.saturating_add(virtual_cost(req.tokens, flow.weight));
            self.tokens -= req.tokens;
            self.len -= 1;
        }
        self.add_to_sets(index);
        req
    }

    /// Counts a request that is running already against its team.
    pub(crate) fn restore_running(&mut self, index: FlowIndex, tokens: Tokens) {
        self.remove_from_sets(index);
        let flow = &mut self.flows[index];
        flow.running += 1;
        flow.start_tag = flow
            .start_tag
            .saturating_add(virtual_cost(tokens, flow.weight));
        self.add_to_sets(index);
    }

    /// Removes a queued request.
    pub(crate) fn remove(&mut self, index: FlowIndex, id: RequestNo) -> Option<QueuedRequest> {
        let position = self.flows[index].queue.iter().position(|q| q.id == id)?;
        self.remove_from_sets(index);
        let req = self.flows[index].queue.remove(position);
        if let Some(req) = &req {
            self.flows[index].tokens -= req.tokens;
            self.tokens -= req.tokens;
            self.len -= 1;
        }
        self.add_to_sets(index);
        self.remove_if_idle(index);
        req
    }

    /// Corrects the team's start tag after a request has finished.
    pub(crate) fn settle(&mut self, index: FlowIndex, estimated: Tokens, used: Tokens) {
        self.remove_from_sets(index);
        let flow = &mut self.flows[index];
        flow.running -= 1;
        // The tag may fall behind the virtual time, because estimates that were
        // too high have delayed the team. `push` limits the credit of an idle
        // team.
        flow.start_tag = if used >= estimated {
            flow.start_tag
                .saturating_add(virtual_cost(used - estimated, flow.weight))
        } else {
            flow.start_tag
                .saturating_sub(virtual_cost(estimated - used, flow.weight))
        };
        self.add_to_sets(index);
        self.remove_if_idle(index);
    }

    /// Returns the length of the longest queue and the flow that it belongs to.
    pub(crate) fn longest(&self) -> Option<(usize, FlowIndex)> {
        self.by_len.last().copied()
    }

    /// Returns the last queued request of a flow.
    pub(crate) fn last_request(&self, index: FlowIndex) -> Option<RequestNo> {
        self.flows[index].queue.back().map(|q| q.id)
    }

    /// Removes a team that has nothing queued, nothing running and full credit,
    /// like a new team.
    pub(crate) fn remove_if_idle(&mut self, index: FlowIndex) {
        let flow = &mut self.flows[index];
        let full_credit = flow
            .start_tag
            .saturating_add(virtual_cost(self.max_credit, flow.weight))
            <= self.virtual_time;
        let idle = flow.queue.is_empty() && flow.running == 0 && full_credit;
        if idle && self.by_team.get(&flow.team) == Some(&index) {
            self.by_team.remove(&flow.team);
            self.free_indexes.push(index);
        }
    }

    /// Returns the number of known teams.
    pub(crate) fn team_count(&self) -> usize {
        self.by_team.len()
    }

    /// Removes idle teams when no request is queued. No other team waits then,
    /// so service beyond a team's share needs no compensation.
    pub(crate) fn remove_idle_teams(&mut self) {
        if self.len > 0 || self.flows.len() == self.free_indexes.len() {
            return;
        }
        let max_tag = self.flows.iter().map(|f| f.start_tag).max().unwrap_or(0);
        self.virtual_time = self
            .virtual_time
            .max(max_tag.saturating_add(virtual_cost(self.max_credit, 1)));
        for index in 0..self.flows.len() {
            self.remove_if_idle(index);
        }
    }
}

/// Returns the virtual time that an amount of tokens takes up.
fn virtual_cost(tokens: Tokens, weight: u32) -> VirtualTime {
    // Scaled by 1,024 so that weights up to 1,024 lose no whole token.
    tokens.saturating_mul(1024) / u64::from(weight.max(1))
}
