//! Which prompt parts the memory of a batch engine probably holds.

use anvilloft_types::prelude::*;

/// Largest count of parts remembered for one engine. Beyond any engine's
/// memory at the usual 100 tokens and more in a part.
const MAX_PARTS: usize = 4_096;
/// Share of an engine's memory that cached parts may fill; running requests
/// take the rest.
const CACHE_SHARE: f64 = 0.8;

/// One part of a prompt. Requests that begin with the same parts share them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity.
    pub id: u64,
    /// Length.
    pub tokens: Tokens,
}

#[derive(Clone, Copy, Debug)]
struct Cached {
    id: u64,
    tokens: Tokens,
    used: u64,
}

/// The parts that routers sent to one engine, the least recently used dropped
/// where they exceed its memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartCache {
    // Sorted by id.
    parts: Vec<Cached>,
    total: Tokens,
    clock: u64,
}

impl PartCache {
    /// Returns the tokens at the start of a prompt that are cached. A part is of
    /// use only when all parts before it are cached too.
    pub(crate) fn hit(&self, prompt: &[Part]) -> Tokens {
        prompt
            .iter()
            .take_while(|p| self.parts.binary_search_by_key(&p.id, |c| c.id).is_ok())
            .map(|p| p.tokens)
            .sum()
    }

    /// Records that the engine read a prompt.
    pub(crate) fn read(&mut self, prompt: &[Part], memory: Tokens) {
        for part in prompt {
            self.clock += 1;
            let used = self.clock;
            match self.parts.binary_search_by_key(&part.id, |c| c.id) {
                Ok(at) => {
                    if let Some(c) = self.parts.get_mut(at) {
                        c.used = used;
                    }
                }
                Err(at) => {
                    let cached = Cached {
                        id: part.id,
                        tokens: part.tokens,
                        used,
                    };
                    self.parts.insert(at, cached);
                    self.total = self.total.saturating_add(part.tokens);
                }
            }
        }
        let most = (memory as f64 * CACHE_SHARE) as Tokens;
        while self.total > most || self.parts.len() > MAX_PARTS {
            let oldest = self
                .parts
                .iter()
                .enumerate()
                .min_by_key(|(_, c)| c.used)
                .map(|(at, _)| at);
            let Some(at) = oldest else {
                return;
            };
            self.total -= self.parts.remove(at).tokens;
        }
    }
}
