//! Small fake of an engine that batches continuously and caches prefixes.

use almondwell_schema::Ticket;
use std::collections::VecDeque;
use std::time::Duration;

/// Time of one step, which makes one token for each request of the batch.
pub(crate) const STEP: Duration = Duration::from_millis(30);
/// Time before the first step of a request whose prefix is not cached.
pub(crate) const PREFILL: Duration = Duration::from_millis(300);
const CACHED_PREFILL: Duration = Duration::from_millis(80);
/// Prefixes that the engine keeps.
const CACHE: usize = 30;

/// A request of the batch.
#[derive(Clone, Debug)]
pub(crate) struct Active {
    pub(crate) call: usize,
    pub(crate) is_prefilled: bool,
    pub(crate) ticket: Ticket,
    pub(crate) tokens_left: u32,
}

/// Small fake of an engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    pub(crate) active: Vec<Active>,
    cache: VecDeque<u64>,
    pub(crate) hits: usize,
    pub(crate) is_stepping: bool,
}

impl Engine {
    /// Adds a request and returns the time of its prefill; prefix 0 is never cached.
    pub(crate) fn start(&mut self, active: Active, prefix: u64) -> Duration {
        self.active.push(active);
        if prefix == 0 {
            return PREFILL;
        }
        let hit = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(index) = hit {
            self.cache.remove(index);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE {
            self.cache.pop_front();
        }
        if hit.is_some() {
            self.hits += 1;
            CACHED_PREFILL
        } else {
            PREFILL
        }
    }

    pub(crate) fn prefilled(&mut self, call: usize) {
        for active in &mut self.active {
            if active.call == call {
                active.is_prefilled = true;
            }
        }
    }

    /// Whether a step has anything to do.
    pub(crate) fn has_work(&self) -> bool {
        self.active.iter().any(|active| active.is_prefilled)
    }

    /// Makes one token for each prefilled request; returns those that made one and whether it was
    /// their last.
    pub(crate) fn step(&mut self) -> Vec<(Active, bool)> {
        let mut made = Vec::new();
        for active in self.active.iter_mut().filter(|active| active.is_prefilled) {
            active.tokens_left -= 1;
            made.push((active.clone(), active.tokens_left == 0));
        }
        self.active.retain(|active| active.tokens_left > 0);
        made
    }

    pub(crate) fn cancel(&mut self, call: usize) {
        self.active.retain(|active| active.call != call);
    }
}
