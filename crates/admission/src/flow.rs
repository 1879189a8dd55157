//! The queue of one team in one rank, and the fair order among teams.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use anvilloft_types::prelude::*;

use crate::window::Decayed;

/// Teams that are searched for a light one, in fair order.
const LIGHT_SEARCH: usize = 16;

/// Index of a flow within its rank.
pub(crate) type FlowNo = usize;

/// Virtual time in tokens by weight. An integer, so that flows can be ordered.
type Virtual = u64;

/// A queued request.
#[derive(Clone, Debug)]
pub(crate) struct Queued {
    pub(crate) id: RequestNo,
    pub(crate) tokens: Tokens,
    pub(crate) since: Duration,
}

/// The queue of one team.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    pub(crate) team: TeamId,
    pub(crate) weight: u32,
    pub(crate) queue: VecDeque<Queued>,
    /// Tokens of the queue.
    pub(crate) tokens: Tokens,
    /// Started requests that have not finished.
    pub(crate) running: usize,
    /// Recently started tokens.
    pub(crate) recent: Decayed,
    /// Start tag of the next request.
    tag: Virtual,
}

impl Flow {
    /// Returns the running requests over the weight.
    fn in_use(&self) -> u64 {
        cost(self.running as Tokens, self.weight)
    }
}

/// Start-time fair queueing over the teams of one rank.
///
/// The virtual time is the start tag of the request that started last (Goyal,
/// Vin and Cheng, 1996), here in estimated tokens over the team's weight. The
/// difference to the tokens that were used moves the team's tag at settlement.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    flows: Vec<Flow>,
    free: Vec<FlowNo>,
    by_team: HashMap<TeamId, FlowNo>,
    /// Flows with a queue, by start tag.
    order: BTreeSet<(Virtual, FlowNo)>,
    /// Flows with a queue, by length.
    by_len: BTreeSet<(usize, FlowNo)>,
    /// Flows with running requests, by their count over the weight.
    by_use: BTreeSet<(u64, FlowNo)>,
    now: Virtual,
    /// Tokens that an idle team saves up.
    burst: Tokens,
    /// Requests of all flows.
    pub(crate) len: usize,
    /// Tokens of all flows.
    pub(crate) tokens: Tokens,
    /// Sum of the weights of flows with a queue.
    pub(crate) weights: u64,
}

impl FairQueue {
    /// Returns the flow of a team and makes it where needed.
    pub(crate) fn flow(&mut self, team: &str, weight: u32) -> FlowNo {
        let weight = weight.max(1);
        if let Some(&no) = self.by_team.get(team) {
            if self.flows[no].queue.is_empty() {
                self.flows[no].weight = weight;
            }
            return no;
        }
        let flow = Flow {
            team: team.to_owned(),
            weight,
            ..Flow::default()
        };
        let no = match self.free.pop() {
            Some(no) => {
                self.flows[no] = flow;
                no
            }
            None => {
                self.flows.push(flow);
                self.flows.len() - 1
            }
        };
        self.by_team.insert(team.to_owned(), no);
        no
    }

    /// Returns the flow of a team if there is one.
    pub(crate) fn find(&self, team: &str) -> Option<&Flow> {
        self.by_team.get(team).map(|&no| &self.flows[no])
    }

    /// Returns a flow for changes that move neither its queue nor its tag.
    pub(crate) fn get_mut(&mut self, no: FlowNo) -> &mut Flow {
        &mut self.flows[no]
    }

    fn unlink(&mut self, no: FlowNo) {
        let flow = &self.flows[no];
        if flow.running > 0 {
            self.by_use.remove(&(flow.in_use(), no));
        }
        if !flow.queue.is_empty() {
            self.order.remove(&(flow.tag, no));
            self.by_len.remove(&(flow.queue.len(), no));
            self.weights -= u64::from(flow.weight);
        }
    }

    fn link(&mut self, no: FlowNo) {
        let flow = &self.flows[no];
        if flow.running > 0 {
            self.by_use.insert((flow.in_use(), no));
        }
        if !flow.queue.is_empty() {
            self.order.insert((flow.tag, no));
            self.by_len.insert((flow.queue.len(), no));
            self.weights += u64::from(flow.weight);
        }
    }

    /// Appends a request. An idle team has saved up a claim of at most `burst`
    /// tokens.
    pub(crate) fn push(&mut self, no: FlowNo, req: Queued, burst: Tokens) {
        self.unlink(no);
        self.burst = burst;
        let flow = &mut self.flows[no];
        if flow.queue.is_empty() {
            let saved = cost(burst, flow.weight);
            flow.tag = flow.tag.max(self.now.saturating_sub(saved));
        }
        flow.tokens += req.tokens;
        self.tokens += req.tokens;
        self.len += 1;
        flow.queue.push_back(req);
        self.link(no);
    }

    /// Returns the team that is next in fair order, with its request.
    pub(crate) fn peek(&self) -> Option<(FlowNo, &Queued)> {
        let &(_, no) = self.order.first()?;
        Some((no, self.flows[no].queue.front()?))
    }

    /// Returns the first team in fair order that is light, with its request.
    pub(crate) fn peek_light(&self) -> Option<(FlowNo, &Queued)> {
        let mut near = self.order.iter().take(LIGHT_SEARCH);
        let &(_, no) = near.find(|&&(_, no)| self.is_light(no))?;
        Some((no, self.flows[no].queue.front()?))
    }

    /// Returns whether all that a team wants is below what the largest user of
    /// the rank has.
    fn is_light(&self, no: FlowNo) -> bool {
        let Some(&(most, heaviest)) = self.by_use.last() else {
            return false;
        };
        let flow = &self.flows[no];
        let wanted = cost((flow.running + flow.queue.len()) as Tokens, flow.weight);
        no != heaviest && wanted < most
    }

    /// Takes the next request of a team.
    pub(crate) fn pop(&mut self, no: FlowNo) -> Option<Queued> {
        let tag = self.flows[no].tag;
        self.unlink(no);
        self.now = self.now.max(tag);
        let flow = &mut self.flows[no];
        let req = flow.queue.pop_front();
        if let Some(req) = &req {
            flow.tokens -= req.tokens;
            flow.running += 1;
            flow.tag = tag.saturating_add(cost(req.tokens, flow.weight));
            self.tokens -= req.tokens;
            self.len -= 1;
        }
        self.link(no);
        req
    }

    /// Counts a request of a team that runs already.
    pub(crate) fn restore_running(&mut self, no: FlowNo, tokens: Tokens) {
        self.unlink(no);
        let flow = &mut self.flows[no];
        flow.running += 1;
        flow.tag = flow.tag.saturating_add(cost(tokens, flow.weight));
        self.link(no);
    }

    /// Removes a queued request.
    pub(crate) fn remove(&mut self, no: FlowNo, id: RequestNo) -> Option<Queued> {
        let at = self.flows[no].queue.iter().position(|q| q.id == id)?;
        self.unlink(no);
        let req = self.flows[no].queue.remove(at);
        if let Some(req) = &req {
            self.flows[no].tokens -= req.tokens;
            self.tokens -= req.tokens;
            self.len -= 1;
        }
        self.link(no);
        self.collect(no);
        req
    }

    /// Corrects the team's tag after a request finished.
    pub(crate) fn settle(&mut self, no: FlowNo, estimated: Tokens, used: Tokens) {
        self.unlink(no);
        let flow = &mut self.flows[no];
        flow.running -= 1;
        // The tag may fall behind the virtual time: the team is owed what its
        // estimates held back. An idle team's claim is bounded in `push`.
        flow.tag = if used >= estimated {
            flow.tag.saturating_add(cost(used - estimated, flow.weight))
        } else {
            flow.tag.saturating_sub(cost(estimated - used, flow.weight))
        };
        self.link(no);
        self.collect(no);
    }

    /// Returns the flow with the longest queue.
    pub(crate) fn longest(&self) -> Option<(usize, FlowNo)> {
        self.by_len.last().copied()
    }

    /// Returns the last request of a flow.
    pub(crate) fn last_of(&self, no: FlowNo) -> Option<RequestNo> {
        self.flows[no].queue.back().map(|q| q.id)
    }

    /// Forgets a team that has nothing queued, nothing running and the claim of
    /// a new team.
    pub(crate) fn collect(&mut self, no: FlowNo) {
        let flow = &mut self.flows[no];
        let saved = flow.tag.saturating_add(cost(self.burst, flow.weight)) <= self.now;
        let idle = flow.queue.is_empty() && flow.running == 0 && saved;
        if idle && self.by_team.get(&flow.team) == Some(&no) {
            self.by_team.remove(&flow.team);
            self.free.push(no);
        }
    }

    /// Returns the count of known teams.
    pub(crate) fn teams(&self) -> usize {
        self.by_team.len()
    }

    /// Forgets idle teams when nothing waits: there is nobody left to whom
    /// their debts would be owed.
    pub(crate) fn sweep(&mut self) {
        if self.len > 0 || self.flows.len() == self.free.len() {
            return;
        }
        let top = self.flows.iter().map(|f| f.tag).max().unwrap_or(0);
        self.now = self.now.max(top.saturating_add(cost(self.burst, 1)));
        for no in 0..self.flows.len() {
            self.collect(no);
        }
    }
}

/// Returns the virtual time of an amount of tokens.
fn cost(tokens: Tokens, weight: u32) -> Virtual {
    // Scaled so that weights up to 1,024 lose no whole token.
    tokens.saturating_mul(1024) / u64::from(weight.max(1))
}
