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
    /// Seconds to the first token, without the endpoint's own factor.
    pub(crate) raw: f64,
    /// Seconds to the first token.
    pub(crate) first: f64,
    /// Seconds between tokens.
    pub(crate) gap: f64,
}

/// Predicts and scores one candidate. `hit` is the chance that the prefix of
/// the prompt is cached there.
pub(crate) fn predict(
    cfg: &SelectorConfig,
    now: Duration,
    ep: &Endpoint,
    req: &RouteRequest<'_>,
    hit: f64,
) -> Prediction {
    let slots = f64::from(ep.usable().max(1));
    let load = ep.load() + 1.0;
    let waiting = (load - slots).max(0.0);
    let gap = ep.gap_at(load.min(slots));
    let distance = ep.state.one_way_latency.as_secs_f64();
    let prefill =
        cfg.prefill_per_token.as_secs_f64() * req.prompt_tokens as f64 * (1.0 - 0.9 * hit);
    let raw = cfg.first_token_base.as_secs_f64()
        + prefill
        + waiting / slots * cfg.service_time.as_secs_f64();
    let first = raw * ep.first_factor() + 2.0 * distance;
    let score = cfg.first_token_weight * first / cfg.target_first_token.as_secs_f64()
        + cfg.gap_weight * gap / cfg.target_gap.as_secs_f64()
        + cfg.load_weight * f64::from(ep.own() + 1) / f64::from(ep.part().max(1))
        + cfg.failure_weight * ep.failure_score(now);
    Prediction {
        score,
        raw,
        first,
        gap,
    }
}
