//! From which other entry to fetch the contents of the store, and when.
//!
//! One fetch runs at a time: several of a large configuration leave each other too little of a small link.

use crate::position::Position;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Times of fetches.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time after which an entry that was busy is asked again; a large configuration takes longer on a small link, and a
    /// refusal costs little.
    pub busy_rest: Duration,
    /// Time after which an entry is asked again whose answer failed; doubled with each further failure.
    pub failure_rest: Duration,
    /// Longest time after which an entry is asked again.
    pub max_failure_rest: Duration,
    /// Time for which an entry that reaches the store leaves a newer version to its own watch. It covers the delay after a
    /// change and the transfer of a large configuration over a small link, which a fetch would slow down.
    pub store_lead: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            busy_rest: Duration::from_millis(300),
            failure_rest: Duration::from_secs(1),
            max_failure_rest: Duration::from_secs(8),
            store_lead: Duration::from_secs(1),
        }
    }
}

/// What an entry holds of the store.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Contents {
    /// Version of the configuration; 0 for none.
    pub version: u64,
    /// Position in the store that the list of upstreams reflects.
    pub position: Position,
}

/// What an entry learns from the store itself at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reach {
    /// Whether its watch of the configuration is answered.
    pub configuration: bool,
    /// Whether its watch of the upstreams is answered. Another entry's list would then bring removed ones back.
    pub upstreams: bool,
}

/// Result of a fetch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The other entry serves as many fetches as it may.
    Busy,
    /// Nothing arrived, or not what the other entry had announced.
    Failed,
    /// The contents arrived.
    Fetched,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Decide again at this time, or when another entry announces newer contents.
    At(Duration),
    /// Fetch these contents from the entry at this address.
    Fetch(SocketAddr, Contents),
    /// Nothing newer is known.
    Idle,
}

/// Entry that was busy or failed.
#[derive(Clone, Copy, Debug, Default)]
struct Rest {
    failures: u32,
    until: Duration,
}

/// Fetches by one entry, one after the other.
#[derive(Clone, Debug, Default)]
pub struct Fetches {
    /// Version that was fetched and could not be decoded.
    invalid_version: u64,
    /// Own version than which a newer one is known, and since when.
    newer_since: Option<(u64, Duration)>,
    options: Options,
    resting: BTreeMap<SocketAddr, Rest>,
}

impl Fetches {
    /// No fetch yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Decides what to do while no fetch runs. `offers` are the contents that the other entries announced. Among those that
    /// announce the newest, `draw` chooses by a random number below its argument, so that not all ask the same.
    pub fn next(
        &mut self,
        now: Duration,
        own: Contents,
        reach: Reach,
        offers: impl Iterator<Item = (SocketAddr, Contents)>,
        draw: impl FnOnce(usize) -> usize,
    ) -> Next {
        let newer: Vec<_> = offers
            .map(|(from, offer)| (self.newer_part(own, reach, offer), from, offer))
            .filter(|(newer, ..)| *newer != Contents::default())
            .collect();
        if newer.is_empty() {
            self.newer_since = None;
            return Next::Idle;
        }
        let has_newer_upstreams = newer
            .iter()
            .any(|(newer, ..)| newer.position > Position::default());
        if reach.configuration && !has_newer_upstreams {
            let lead_end = self.newer_since(now, own.version) + self.options.store_lead;
            if now < lead_end {
                return Next::At(lead_end);
            }
        }
        let rest_end = |from: &SocketAddr| {
            self.resting
                .get(from)
                .map_or(Duration::ZERO, |rest| rest.until)
        };
        let is_ready = |(_, from, _): &&(Contents, SocketAddr, Contents)| rest_end(from) <= now;
        let Some(best) = newer
            .iter()
            .filter(is_ready)
            .map(|(newer, ..)| *newer)
            .max()
        else {
            let first = newer.iter().map(|(_, from, _)| rest_end(from)).min();
            return first.map_or(Next::Idle, Next::At);
        };
        let best: Vec<_> = newer
            .iter()
            .filter(is_ready)
            .filter(|(newer, ..)| *newer == best)
            .collect();
        let (_, from, offer) = best[draw(best.len()).min(best.len() - 1)];
        Next::Fetch(*from, *offer)
    }

    /// The parts of `offer` that are newer than this entry's; 0 for the others.
    fn newer_part(&self, own: Contents, reach: Reach, offer: Contents) -> Contents {
        let is_newer = offer.version > own.version && offer.version != self.invalid_version;
        let has_newer_upstreams = !reach.upstreams && offer.position > own.position;
        Contents {
            version: if is_newer { offer.version } else { 0 },
            position: if has_newer_upstreams {
                offer.position
            } else {
                Position::default()
            },
        }
    }

    fn newer_since(&mut self, now: Duration, own_version: u64) -> Duration {
        match self.newer_since {
            Some((version, since)) if version == own_version => since,
            Some(_) | None => {
                self.newer_since = Some((own_version, now));
                now
            }
        }
    }

    /// Records the result of the fetch from the entry at `from`.
    pub fn record(&mut self, now: Duration, from: SocketAddr, outcome: Outcome) {
        let longest = self.options.max_failure_rest;
        self.resting
            .retain(|_, rest| now.saturating_sub(rest.until) < longest);
        let rest = self.resting.entry(from).or_default();
        match outcome {
            Outcome::Busy => rest.until = now + self.options.busy_rest,
            Outcome::Failed => {
                let doubled = self.options.failure_rest * (1 << rest.failures.min(8));
                rest.until = now + doubled.min(longest);
                rest.failures += 1;
            }
            Outcome::Fetched => {
                self.resting.remove(&from);
            }
        }
    }

    /// The version to name as known in a fetch of `offer`, so that nothing older and nothing that cannot be decoded is sent.
    pub fn known_version(&self, own: Contents, offer: Contents) -> u64 {
        if offer.version == self.invalid_version {
            own.version.max(self.invalid_version)
        } else {
            own.version
        }
    }

    /// Records that `version` was fetched and could not be decoded: it would fail again, from any entry.
    pub const fn reject(&mut self, version: u64) {
        self.invalid_version = version;
    }
}
