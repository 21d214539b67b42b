//! Who may wait how long while there is not room for all.
//!
//! Requests with a longer target bear a longer wait. At a crest they alone would still get in: the wait
//! stays where the most patient are just let in, and the urgent ones are all refused. So while more urgent
//! requests are refused, others bear a part of their wait only, and leave them the room between.

use crate::table::Rank;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weights of precedence.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time for which a refusal counts: about that of a crest, in which waits would else rise again as
    /// soon as the urgent are let in.
    pub memory: Duration,
    /// Part of the wait of refused requests that less urgent ones bear.
    pub share: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            memory: Duration::from_secs(5),
            share: 0.5,
        }
    }
}

/// A refusal for want of room.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    at: Duration,
    /// Wait that the request would have borne.
    limit: Duration,
}

/// Last refusals for want of room at one service, by rank.
#[derive(Clone, Debug, Default)]
pub struct Precedence {
    options: Options,
    refusals: BTreeMap<Rank, Refusal>,
}

impl Precedence {
    /// No refusals yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Notes that a request that would have borne a wait of `limit` was refused at `now`.
    pub fn refused(&mut self, now: Duration, rank: Rank, limit: Duration) {
        self.refusals.insert(rank, Refusal { at: now, limit });
    }

    /// Longest wait at `now` of a request that by itself bears `own`.
    pub fn limit(&self, now: Duration, rank: Rank, own: Duration) -> Duration {
        self.refusals
            .range(..rank)
            .filter(|(_, refusal)| now.saturating_sub(refusal.at) < self.options.memory)
            .map(|(_, refusal)| refusal.limit)
            .min()
            .map_or(own, |limit| limit.mul_f64(self.options.share).min(own))
    }
}
