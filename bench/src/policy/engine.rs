//! Simulated engine with continuous batching and a prefix cache.

use almondwell_schema::Ticket;
use std::collections::VecDeque;
use std::time::Duration;

/// Time of one decode step, which generates one token for each request of the batch.
pub(crate) const STEP_TIME: Duration = Duration::from_millis(30);
/// Prefill time of a request whose prefix is not cached.
pub(crate) const PREFILL_TIME: Duration = Duration::from_millis(300);
const CACHED_PREFILL_TIME: Duration = Duration::from_millis(80);
/// Number of prefixes that the cache holds.
const CACHE_CAPACITY: usize = 30;

/// A request of the running batch.
#[derive(Clone, Debug)]
pub(crate) struct Active {
    pub(crate) call: usize,
    pub(crate) is_prefilled: bool,
    pub(crate) ticket: Ticket,
    pub(crate) tokens_remaining: u32,
}

/// Simulated engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    pub(crate) active: Vec<Active>,
    /// Cached prefixes, least recently used first.
    cache: VecDeque<u64>,
    pub(crate) cache_hits: usize,
    pub(crate) is_stepping: bool,
}

impl Engine {
    /// Adds a request to the batch and returns its prefill time; prefix 0 is never cached.
    pub(crate) fn start(&mut self, active: Active, prefix: u64) -> Duration {
        self.active.push(active);
        if prefix == 0 {
            return PREFILL_TIME;
        }
        let cached_index = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(index) = cached_index {
            self.cache.remove(index);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE_CAPACITY {
            self.cache.pop_front();
        }
        if cached_index.is_some() {
            self.cache_hits += 1;
            CACHED_PREFILL_TIME
        } else {
            PREFILL_TIME
        }
    }

    pub(crate) fn mark_prefilled(&mut self, call: usize) {
        for active in &mut self.active {
            if active.call == call {
                active.is_prefilled = true;
            }
        }
    }

    /// Whether any request is ready for a decode step.
    pub(crate) fn has_work(&self) -> bool {
        self.active.iter().any(|active| active.is_prefilled)
    }

    /// Generates one token for each prefilled request; returns these requests, each with whether the
    /// token was its last.
    pub(crate) fn step(&mut self) -> Vec<(Active, bool)> {
        let mut generated = Vec::new();
        for active in self.active.iter_mut().filter(|active| active.is_prefilled) {
            active.tokens_remaining -= 1;
            generated.push((active.clone(), active.tokens_remaining == 0));
        }
        self.active.retain(|active| active.tokens_remaining > 0);
        generated
    }

    pub(crate) fn cancel(&mut self, call: usize) {
        self.active.retain(|active| active.call != call);
    }
}
