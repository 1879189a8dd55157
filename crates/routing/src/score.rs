//! The weighted score of a candidate.

use anvilloft_types::prelude::*;

use crate::RouteRequest;
use crate::endpoint::Endpoint;
use crate::select::SelectorConfig;

/// Prediction for one request at one endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prediction {
    /// Lower is better.
    pub(crate) score: f64,
    /// Seconds to the first token, before the endpoint's correction factor.
    pub(crate) uncorrected_first_token: f64,
    /// Seconds to the first token.
    pub(crate) first_token: f64,
    /// Seconds between tokens.
    pub(crate) gap: f64,
}

/// Predicts and scores one candidate. `hit_chance` is the chance that the
/// prefix of the prompt is cached there.
pub(crate) fn predict(
    cfg: &SelectorConfig,
    now: Duration,
    ep: &Endpoint,
    req: &RouteRequest<'_>,
    hit_chance: f64,
) -> Prediction {
    let slots = f64::from(ep.usable_slots().max(1));
    let load = ep.load() + 1.0;
    let waiting = (load - slots).max(0.0);
    let gap = ep.gap_at(load.min(slots));
    let latency = ep.state.one_way_latency.as_secs_f64();
    let prefill =
        cfg.prefill_per_token.as_secs_f64() * req.prompt_tokens as f64 * (1.0 - 0.9 * hit_chance);
    let uncorrected_first_token = cfg.first_token_base.as_secs_f64()
        + prefill
        + waiting / slots * cfg.service_time.as_secs_f64();
    let first_token = uncorrected_first_token * ep.first_token_factor() + 2.0 * latency;
    let score = cfg.first_token_weight * first_token / cfg.target_first_token.as_secs_f64()
        + cfg.gap_weight * gap / cfg.target_gap.as_secs_f64()
        + cfg.load_weight * f64::from(ep.own_in_flight() + 1) / f64::from(ep.slot_share().max(1))
        + cfg.failure_weight * ep.failure_score(now);
    Prediction {
        score,
        uncorrected_first_token,
        first_token,
        gap,
    }
}
