//! Estimate of the prompt parts that a batch engine has cached.

use anvilloft_types::prelude::*;

/// Maximum number of parts tracked for one engine. At the usual 100 tokens or
/// more per part, this exceeds any engine's memory.
const MAX_PARTS: usize = 4_096;
/// Share of an engine's memory available to cached parts; running requests take
/// the rest.
const CACHE_SHARE: f64 = 0.8;

/// Part of a prompt.
///
/// An engine caches the parts that prompts begin with and
/// reuses them for other prompts that begin with the same parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier, the same in all prompts that share the part.
    pub id: u64,
    /// Length of the part.
    pub tokens: Tokens,
}

/// Returns the length of a prompt. Callers state the lengths, so the sum saturates.
pub(crate) fn total_tokens(prompt: &[PromptPart]) -> Tokens {
    prompt
        .iter()
        .fold(0, |sum: Tokens, p| sum.saturating_add(p.tokens))
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    id: u64,
    tokens: Tokens,
    last_used: u64,
}

/// LRU model of one engine's prefix cache, built from the prompts that routers
/// sent to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartCache {
    // Sorted by id.
    parts: Vec<CachedPart>,
    total: Tokens,
    // Counts uses, to order parts by their last one.
    clock: u64,
}

impl PartCache {
    /// Returns the number of tokens in the longest cached prefix of a prompt. A
    /// cached part saves work only if all parts before it are cached too.
    pub(crate) fn hit_tokens(&self, prompt: &[PromptPart]) -> Tokens {
        prompt
            .iter()
            .take_while(|p| self.parts.binary_search_by_key(&p.id, |c| c.id).is_ok())
            .fold(0, |sum: Tokens, p| sum.saturating_add(p.tokens))
    }

    /// Returns the number of tokens of a prompt that the engine has to process. An
    /// engine refuses a prompt that exceeds its memory.
    pub(crate) fn missing_tokens(&self, prompt: &[PromptPart], memory: Tokens) -> Tokens {
        let missing = total_tokens(prompt).saturating_sub(self.hit_tokens(prompt));
        missing.min(memory)
    }

    /// Records a prompt that the engine processes and caches, and evicts the least
    /// recently used parts beyond the limits.
    pub(crate) fn insert(&mut self, prompt: &[PromptPart], memory: Tokens) {
        for part in prompt {
            self.clock += 1;
            let last_used = self.clock;
            match self.parts.binary_search_by_key(&part.id, |c| c.id) {
                Ok(at) => {
                    if let Some(c) = self.parts.get_mut(at) {
                        c.last_used = last_used;
                    }
                }
                Err(at) => {
                    let cached = CachedPart {
                        id: part.id,
                        tokens: part.tokens,
                        last_used,
                    };
                    self.parts.insert(at, cached);
                    self.total = self.total.saturating_add(part.tokens);
                }
            }
        }
        let max_tokens = (memory as f64 * CACHE_SHARE) as Tokens;
        while self.total > max_tokens || self.parts.len() > MAX_PARTS {
            let oldest = self
                .parts
                .iter()
                .enumerate()
                .min_by_key(|(_, c)| c.last_used)
                .map(|(at, _)| at);
            let Some(at) = oldest else {
                return;
            };
            // The total saturates, so it may be less than the sum of the parts.
            self.total = self.total.saturating_sub(self.parts.remove(at).tokens);
        }
    }
}
