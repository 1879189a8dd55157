//! Load and prompts that routers report to each other.

use anvilloft_types::prelude::*;

use super::Dispatcher;
use crate::endpoint::EngineLoad;
use crate::endpoint::PeerLoad;
use crate::endpoint::RANKS;
use crate::endpoint::SentPrompt;

/// Age at which the load that a peer reported is discarded.
const PEER_LOAD_MAX_AGE: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Sets the number of routers in the fleet, including this one. Only some of
    /// them may report their load to this router.
    pub fn set_router_count(&mut self, count: usize) {
        self.router_count = count.max(1);
    }

    /// Returns the load that this router puts on its engines, to report to its
    /// peers.
    pub fn own_load(&self, now: Duration) -> Vec<EngineLoad> {
        let busy = self.endpoints.iter().filter(|e| !e.in_flight.is_empty());
        busy.map(|ep| EngineLoad {
            endpoint: ep.announcement.id.clone(),
            backlog: std::array::from_fn(|r| Duration::from_secs_f64(ep.backlog(now, r))),
            delay: std::array::from_fn(|r| Duration::from_secs_f64(ep.delay(now, r))),
            in_flight: u32::try_from(ep.in_flight.len()).unwrap_or(u32::MAX),
        })
        .collect()
    }

    /// Returns the prompts that this router sent since the last call, to report to
    /// its peers.
    pub fn take_sent_prompts(&mut self) -> Vec<SentPrompt> {
        std::mem::take(&mut self.sent_prompts)
    }

    /// Records prompts that a peer sent. `memory` returns the memory of one engine
    /// of a service.
    pub fn record_peer_prompts(
        &mut self,
        now: Duration,
        prompts: &[SentPrompt],
        memory: impl Fn(&str) -> Option<Tokens>,
    ) {
        for sent in prompts {
            let Ok(at) = self.position(&sent.endpoint) else {
                continue;
            };
            let service_rate = self.service_rate(&self.endpoints[at].announcement.service);
            let ep = &mut self.endpoints[at];
            if let Some(memory) = memory(&ep.announcement.service) {
                let rate = service_rate * ep.speed.factor(now);
                let missing = ep.cache.missing_tokens(&sent.prompt, memory);
                ep.record_prefill(now, missing as f64 / rate);
                ep.cache.insert(&sent.prompt, memory);
            }
        }
    }

    /// Replaces the load that a peer reported.
    ///
    /// The load of routers that don't report to this one is estimated from the peers'
    /// load and spread evenly over the engines of a service. Scaling up the load of
    /// each engine instead would make a single prompt of a peer look like a queue.
    pub fn update_peer_load(&mut self, now: Duration, peer: &str, load: Vec<EngineLoad>) {
        self.peer_loads
            .retain(|(name, at, _)| name != peer && now.saturating_sub(*at) < PEER_LOAD_MAX_AGE);
        self.peer_loads.push((peer.to_owned(), now, load));
        for ep in &mut self.endpoints {
            ep.peer_load = PeerLoad {
                updated_at: now,
                ..PeerLoad::default()
            };
        }
        let peer_loads = std::mem::take(&mut self.peer_loads);
        for (_, at, loads) in &peer_loads {
            let age = now.saturating_sub(*at).as_secs_f64();
            for load in loads {
                let Some(ep) = self.find(&load.endpoint) else {
                    continue;
                };
                for r in 0..RANKS {
                    let backlog = load.backlog[r].as_secs_f64() - age;
                    ep.peer_load.backlog[r] += backlog.max(0.0);
                    let delay = load.delay[r].as_secs_f64() - age;
                    ep.peer_load.delay[r] = ep.peer_load.delay[r].max(delay);
                }
                ep.peer_load.in_flight += f64::from(load.in_flight);
            }
        }
        let unreported = self
            .router_count
            .saturating_sub(1)
            .saturating_sub(peer_loads.len());
        let ratio = unreported as f64 / peer_loads.len() as f64;
        self.peer_loads = peer_loads;
        if ratio > 0.0 {
            self.spread_unreported_load(ratio);
        }
    }

    /// Adds the estimated load of routers that don't report to this one: `ratio` times
    /// the load of the peers.
    fn spread_unreported_load(&mut self, ratio: f64) {
        // Sorted by service.
        let mut sums: Vec<(ServiceName, f64, PeerLoad)> = Vec::new();
        for ep in &self.endpoints {
            let service = &ep.announcement.service;
            let at = match sums.binary_search_by(|(s, ..)| s.cmp(service)) {
                Ok(at) => at,
                Err(at) => {
                    sums.insert(at, (service.clone(), 0.0, PeerLoad::default()));
                    at
                }
            };
            let (_, engines, sum) = &mut sums[at];
            *engines += 1.0;
            sum.add_scaled(&ep.peer_load, 1.0);
        }
        for ep in &mut self.endpoints {
            let found = sums.binary_search_by(|(s, ..)| s.cmp(&ep.announcement.service));
            if let Some((_, engines, sum)) = found.ok().and_then(|at| sums.get(at)) {
                ep.peer_load.add_scaled(sum, ratio / engines);
            }
        }
    }
}
