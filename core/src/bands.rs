//! Partition of a service's engines among requests with different inter-token latency targets.
//!
//! Engines interleave chunks of prefill with the token generation of their running streams. The prefill of
//! a long prompt pauses every stream on its engine, which violates short target gaps. So each group of
//! requests with the same target gap gets a band: a contiguous range of the engines, sized by its share of
//! the work. Long prompts then delay only streams that tolerate it. All entries sort the engines in the
//! same order without coordination, and compute nearly the same shares, since each sees a sample of the
//! same traffic.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Target gap of a group of requests: the longest tolerated pause between two stream events.
pub type Gap = Duration;

/// Parameters of the partition.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time constant of the exponential decay, in which the weight of past work falls to about a third.
    /// It is longer than a load peak, so that prompts keep their home upstreams during one.
    pub decay_time: Duration,
    /// Initial work of each group, in prefill tokens.
    pub prior: f64,
    /// The width of a band is proportional to its work to the power of this exponent. With 1, all bands
    /// are equally utilised; 0.5 is the square-root staffing rule, by which small groups need relatively
    /// more spare capacity.
    pub exponent: f64,
    /// Hysteresis: an edge moves only when its computed position differs by this many engines.
    pub hysteresis: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            decay_time: Duration::from_secs(40),
            prior: 20_000.0,
            exponent: 0.6,
            hysteresis: 0.8,
        }
    }
}

impl Options {
    /// Fraction of past work that still counts after `age`.
    fn decay_factor(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.decay_time.as_secs_f64()).exp()
    }
}

/// Work of a request for an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Expected output tokens.
    pub output: u32,
    /// Prompt tokens that no other request shares.
    pub own: u32,
    /// Prompt tokens that other requests share.
    pub shared: u32,
}

impl Work {
    /// Prefill tokens that cost an engine as much as one output token. The platform sizes generations
    /// with the same ratio.
    const PREFILL_TOKENS_PER_OUTPUT_TOKEN: f64 = 10.0;
    /// Average fraction of the shared tokens that need a prefill. Engines cache shared parts, but each
    /// engine computes a part once, and again after an eviction.
    const SHARED_PREFILL_FRACTION: f64 = 0.25;

    /// Average number of tokens that an engine has to prefill.
    pub fn prefill_tokens(self) -> f64 {
        f64::from(self.own) + Self::SHARED_PREFILL_FRACTION * f64::from(self.shared)
    }

    /// Cost in prefill tokens.
    pub fn tokens(self) -> f64 {
        self.prefill_tokens() + Self::PREFILL_TOKENS_PER_OUTPUT_TOKEN * f64::from(self.output)
    }
}

/// Decayed work of each group, and the edges between the bands.
#[derive(Clone, Debug, Default)]
pub struct Bands {
    updated_at: Duration,
    /// Number of engines for which the edges were computed.
    engine_count: usize,
    /// Exclusive end of each group's band, as an index into the sorted engines.
    edges: BTreeMap<Gap, usize>,
    options: Options,
    /// Work that other entries sent, by group, in prefill tokens.
    peer_work: BTreeMap<Gap, f64>,
    /// Work that this entry sent, by group, in prefill tokens.
    local_work: BTreeMap<Gap, f64>,
}

impl Bands {
    /// A partition without groups.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Adds the work of a request sent at `now`.
    pub fn record(&mut self, now: Duration, gap: Gap, work: Work) {
        self.decay(now);
        *self.local_work.entry(gap).or_insert(self.options.prior) += work.tokens();
    }

    fn decay(&mut self, now: Duration) {
        let factor = self
            .options
            .decay_factor(now.saturating_sub(self.updated_at));
        self.updated_at = self.updated_at.max(now);
        for work in self.local_work.values_mut() {
            *work *= factor;
        }
    }

    /// Work of this entry by group in prefill tokens, decayed to `now`.
    pub fn local_work(&mut self, now: Duration) -> impl Iterator<Item = (Gap, f64)> + '_ {
        self.decay(now);
        self.local_work.iter().map(|(gap, work)| (*gap, *work))
    }

    /// Replaces the work of the other entries, given by group in prefill tokens with the age of each figure.
    pub fn set_peer_work(&mut self, peer_work: impl Iterator<Item = (Gap, f64, Duration)>) {
        self.peer_work.clear();
        for (gap, work, age) in peer_work {
            *self.peer_work.entry(gap).or_default() += work * self.options.decay_factor(age);
        }
    }

    /// Range of the `engine_count` sorted engines that serve a group; all of them if the group is unknown.
    ///
    /// An edge moves only when the work has shifted it by most of an engine, because a move changes the home
    /// upstreams of prompts.
    pub fn engine_range(&mut self, gap: Gap, engine_count: usize) -> Range<usize> {
        let mut groups = self.peer_work.clone();
        for (gap, work) in &self.local_work {
            *groups.entry(*gap).or_default() += work;
        }
        if self.engine_count != engine_count || !self.edges.keys().eq(groups.keys()) {
            self.engine_count = engine_count;
            self.edges.clear();
        }
        self.update_edges(&groups);
        let Some(end) = self.edges.get(&gap).copied() else {
            return 0..engine_count;
        };
        let start = self.edges.range(..gap).next_back();
        let start = start.map_or(0, |(_, edge)| *edge);
        if start < end {
            return start..end;
        }
        // A band narrower than half an engine shares the engine at its start.
        let index = start.min(engine_count.saturating_sub(1));
        index..engine_count.min(index + 1)
    }

    fn update_edges(&mut self, groups: &BTreeMap<Gap, f64>) {
        let width = |work: &f64| work.powf(self.options.exponent);
        let total: f64 = groups.values().map(width).sum();
        let mut sum = 0.0;
        for (gap, work) in groups {
            sum += width(work);
            #[allow(clippy::cast_precision_loss)]
            let edge = sum / total * self.engine_count as f64;
            #[allow(clippy::cast_precision_loss)]
            let is_within_hysteresis =
                |current: &usize| (edge - *current as f64).abs() < self.options.hysteresis;
            if !self.edges.get(gap).is_some_and(is_within_hysteresis) {
                // The edge is between 0 and the number of engines.
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                self.edges.insert(*gap, edge.round() as usize);
            }
        }
    }
}
