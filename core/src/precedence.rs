//! Limits on the queue wait by urgency under overload.
//!
//! Requests with a longer latency target tolerate a longer wait. Under overload, the wait would settle just
//! below the longest tolerated one, where only the least urgent requests are admitted and all urgent ones
//! are refused. So while more urgent requests are refused, less urgent ones are admitted only up to a
//! fraction of the wait that the refused ones tolerate, which leaves capacity for them.

use crate::table::Rank;
use std::collections::BTreeMap;
use std::time::Duration;

/// Parameters of precedence.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time for which a refusal counts. It is about the length of a load peak: with a shorter one, waits
    /// would rise again during the peak as soon as urgent requests are admitted.
    pub refusal_lifetime: Duration,
    /// Wait limit of less urgent requests, as a fraction of the wait that a refused request tolerates.
    pub fraction: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            refusal_lifetime: Duration::from_secs(5),
            fraction: 0.5,
        }
    }
}

/// A refusal because the wait was too long.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    at: Duration,
    /// Longest wait that the request tolerated.
    limit: Duration,
}

/// Last refusal because of a too long wait at one service, by rank.
#[derive(Clone, Debug, Default)]
pub struct Precedence {
    options: Options,
    refusals: BTreeMap<Rank, Refusal>,
}

impl Precedence {
    /// No refusals.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Records that a request that tolerates a wait of `limit` was refused at `now`.
    pub fn record_refusal(&mut self, now: Duration, rank: Rank, limit: Duration) {
        self.refusals.insert(rank, Refusal { at: now, limit });
    }

    /// Longest admissible wait at `now` of a request that by itself tolerates `own`.
    pub fn limit(&self, now: Duration, rank: Rank, own: Duration) -> Duration {
        self.refusals
            .range(..rank)
            .filter(|(_, refusal)| now.saturating_sub(refusal.at) < self.options.refusal_lifetime)
            .map(|(_, refusal)| refusal.limit)
            .min()
            .map_or(own, |limit| limit.mul_f64(self.options.fraction).min(own))
    }
}
