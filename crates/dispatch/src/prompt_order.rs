//! Order of long and short prompts at one engine.
//!
//! Handles the load of long prompts that hold up short ones on the same engine. An engine
//! starts prompts by their urgency. A long prompt takes it several times as long as a short
//! one's objective allows, while a short one delays a long one by little. So short prompts
//! go first at the engine if their objective is the shortest of the service, although their
//! rank is lower. Ranks keep their order in everything else, such as refusals, and long
//! prompts keep it among themselves.

use anvilloft_types::prelude::*;

/// Number of levels of [`engine_level`].
pub const ENGINE_LEVELS: u8 = 3;
/// Part of the shortest objective that the prefill of a short prompt takes at most, as a
/// divisor. Several of them may be before a long prompt without making it late.
const SHORT_PREFILL_DIVISOR: u32 = 10;

/// A prompt that is sent to an engine.
#[derive(Clone, Copy, Debug)]
pub struct OrderedPrompt {
    /// Priority level of the route; 0 is the most urgent.
    pub level: u8,
    /// Latency objective of the first event.
    pub objective: Duration,
    /// Shortest objective of the service's streams, if streams of a lower rank have it and
    /// others have longer ones.
    pub deferred_objective: Option<Duration>,
    /// Time to process the whole prompt.
    pub prefill: Duration,
}

/// Returns the level of urgency of a prompt at its engine, 0 first, below
/// [`ENGINE_LEVELS`]. Without short streams of a lower rank it is the route's level.
pub fn engine_level(prompt: &OrderedPrompt) -> u8 {
    let last = ENGINE_LEVELS - 1;
    let Some(shortest) = prompt.deferred_objective else {
        return prompt.level.min(last);
    };
    let is_short = prompt.prefill <= shortest / SHORT_PREFILL_DIVISOR;
    match is_short && prompt.objective <= shortest {
        true => 0,
        false => prompt.level.saturating_add(1).min(last),
    }
}
