//! Estimate of the queue wait at an engine before the prefill of a new request.
//!
//! Engines run prefills in order of arrival. [`Backlog`] uses what this entry observes: the age of its oldest queued
//! request, the wait of the last request that got its first token, and the number of its queued prompt tokens. In a
//! fleet an entry sends an engine few of its requests, so that [`Report`], the queue that the engine reported to any
//! entry, complements it.

use crate::quantile::Quantile;
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifier of a queued request in one [`Backlog`].
pub type Ticket = u64;

/// A request without a first token yet.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    queued_at: Duration,
    tokens: u32,
}

/// Requests of this entry that wait for their first token at one engine.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// Time of the last first token, and the wait of its request.
    last_start: Option<(Duration, Duration)>,
    last_ticket: Ticket,
    waiting: BTreeMap<Ticket, Waiting>,
}

impl Backlog {
    /// Adds a request with `tokens` of prefill.
    pub fn push(&mut self, now: Duration, tokens: u32) -> Ticket {
        self.last_ticket += 1;
        self.waiting.insert(
            self.last_ticket,
            Waiting {
                queued_at: now,
                tokens,
            },
        );
        self.last_ticket
    }

    /// Records the first token of a request and removes the request.
    ///
    /// Returns its wait and its prefill tokens; `None` if it was removed before.
    pub fn first_token(&mut self, now: Duration, ticket: Ticket) -> Option<(Duration, u32)> {
        let waiting = self.waiting.remove(&ticket)?;
        let wait = now.saturating_sub(waiting.queued_at);
        self.last_start = Some((now, wait));
        Some((wait, waiting.tokens))
    }

    /// Removes a request without a first token.
    pub fn remove(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Estimated wait of a request sent now to an engine that prefills `tokens_per_ms`.
    pub fn wait(&self, now: Duration, tokens_per_ms: f64) -> Duration {
        let oldest = self
            .waiting
            .values()
            .map(|waiting| now.saturating_sub(waiting.queued_at))
            .max()
            .unwrap_or_default();
        // A queue drains no faster than time passes.
        let last_wait = self.last_start.map_or(Duration::ZERO, |(at, wait)| {
            wait.saturating_sub(now.saturating_sub(at))
        });
        let tokens: f64 = self
            .waiting
            .values()
            .map(|waiting| f64::from(waiting.tokens))
            .sum();
        oldest
            .max(last_wait)
            .max(Duration::from_secs_f64(tokens / tokens_per_ms / 1000.0))
    }
}

/// Queue of an engine as the engine itself reported it, with the requests of all entries.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Time since the report.
    pub age: Duration,
    /// Number of requests that waited for their prefill.
    pub waiting: u32,
}

impl Report {
    /// Estimated wait of a request sent now if the prefill of each waiting request takes `prefill`.
    pub fn wait(self, prefill: Duration) -> Duration {
        // A queue drains no faster than time passes.
        prefill
            .saturating_mul(self.waiting)
            .saturating_sub(self.age)
    }
}

/// Estimate of an engine's prefill rate, learned from requests with little queue wait.
#[derive(Clone, Copy, Debug)]
pub struct PrefillRate {
    ms_per_token: Quantile,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self {
            ms_per_token: Quantile::new(Self::INITIAL_MS_PER_TOKEN, Self::QUANTILE, Self::STEP),
        }
    }
}

impl PrefillRate {
    /// Estimate before the first observation: the order of magnitude of current accelerators. It
    /// hardly matters after tens of observed requests.
    const INITIAL_MS_PER_TOKEN: f64 = 0.05;
    /// Shorter prompts are ignored, since their time to first token says little about the rate.
    const MIN_TOKENS: u32 = 500;
    /// Quantile of the milliseconds per token that the estimate follows. It is low because the time of
    /// requests that waited in the queue says nothing about the rate.
    const QUANTILE: f64 = 0.2;
    /// Relative step by which one request moves the estimate.
    const STEP: f64 = 0.05;

    /// Records a request with `tokens` of prefill whose first token came after `time`.
    pub fn observe(&mut self, time: Duration, tokens: u32) {
        if tokens >= Self::MIN_TOKENS {
            let ms_per_token = time.as_secs_f64() * 1000.0 / f64::from(tokens);
            self.ms_per_token.observe(ms_per_token);
        }
    }

    /// Prefill tokens per millisecond.
    pub fn tokens_per_ms(self) -> f64 {
        1.0 / self.ms_per_token.value()
    }
}
