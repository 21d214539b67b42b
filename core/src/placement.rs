//! Choice of the upstream for a request.
//!
//! Requests that share a prompt prefix have one home upstream. It is found by rendezvous hashing, so all
//! entries agree on it without coordination. A request goes elsewhere when the queue wait at its home
//! exceeds the cost of the prefill of the shared prefix on another engine. Requests to services without
//! engines go to the least loaded upstream.

use crate::hash;
use crate::job::PartId;
use std::time::Duration;

/// Network distance between this entry and an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// In the same availability zone.
    #[default]
    Zone,
    /// In another availability zone of the same region.
    Region,
    /// In another region.
    Far,
}

/// One upstream that may take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Network distance from this entry.
    pub distance: Distance,
    /// Number of recent failures, exponentially decayed.
    pub failures: f64,
    /// Whether its KV cache is known to hold the shared parts of the prompt.
    pub has_parts: bool,
    /// Identifier of the upstream.
    pub id: &'a str,
    /// Requests that this entry has in flight there.
    pub inflight: u32,
    /// Running and queued requests according to its last load report; `None` without a recent report.
    pub reported: Option<u32>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Estimated queue wait before the prefill of a new request.
    pub wait: Duration,
}

/// Prompt attributes that decide the placement.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prompt {
    /// Identifier of the last shared prompt part, which identifies the whole shared prefix.
    pub shared_prefix: Option<PartId>,
    /// Estimated prefill time of the shared parts.
    pub prefill: Duration,
}

/// Weights of the placement cost.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Load equivalent to one step of distance, as a fraction of an upstream's slots.
    pub distance_load: f64,
    /// Decayed failure count from which an upstream counts as failing.
    pub failure_threshold: f64,
    /// Factor by which prefill time of shared parts counts more than queue wait. A repeated prefill delays
    /// the request and all streams on that engine, and evicts parts from the KV cache that other requests
    /// need.
    pub prefill_weight: f64,
    /// Wait equivalent to one step of distance.
    pub distance_wait: Duration,
}

impl Options {
    /// Wait equivalent to a distance.
    pub fn way(&self, distance: Distance) -> Duration {
        let steps = match distance {
            Distance::Zone => 0,
            Distance::Region => 1,
            Distance::Far => 2,
        };
        self.distance_wait * steps
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            distance_load: 0.15,
            failure_threshold: 1.5,
            prefill_weight: 10.0,
            distance_wait: Duration::from_millis(30),
        }
    }
}

/// Index of the candidate for a request; `None` without candidates.
///
/// `prompt` is `None` for services without engines. Failing candidates are skipped unless all fail.
pub fn choose(
    options: &Options,
    prompt: Option<Prompt>,
    candidates: &[Candidate<'_>],
) -> Option<usize> {
    let is_failing = |candidate: &Candidate<'_>| candidate.failures >= options.failure_threshold;
    let all_fail = candidates.iter().all(is_failing);
    let is_eligible = |candidate: &Candidate<'_>| all_fail || !is_failing(candidate);
    match prompt {
        Some(prompt) => lowest_cost(options, prompt, candidates, is_eligible),
        None => least_loaded(options, candidates, is_eligible),
    }
}

/// The engine with the lowest sum of queue wait and weighted prefill time of the shared parts.
fn lowest_cost(
    options: &Options,
    prompt: Prompt,
    candidates: &[Candidate<'_>],
    is_eligible: impl Fn(&Candidate<'_>) -> bool,
) -> Option<usize> {
    let weights: Vec<_> = prompt.shared_prefix.map_or_else(Vec::new, |prefix| {
        let ids = candidates.iter().map(|candidate| candidate.id);
        ids.map(|id| weight(prefix, id)).collect()
    });
    let home = (0..weights.len())
        .filter(|index| is_eligible(&candidates[*index]))
        .max_by_key(|index| weights[*index]);
    let cost = |index: usize, candidate: &Candidate<'_>| {
        let needs_prefill = !candidate.has_parts && home != Some(index);
        let prefill = if needs_prefill {
            prompt.prefill.mul_f64(options.prefill_weight)
        } else {
            Duration::ZERO
        };
        // Among engines without a queue, the one with the fewest streams generates tokens fastest.
        let streams = Duration::from_millis(candidate.reported.unwrap_or(0).into());
        candidate.wait + prefill + options.way(candidate.distance) + streams
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| is_eligible(candidate))
        .min_by_key(|(index, candidate)| {
            let tie_breaker = weights.get(*index);
            (cost(*index, candidate), std::cmp::Reverse(tie_breaker))
        })
        .map(|(index, _)| index)
}

fn least_loaded(
    options: &Options,
    candidates: &[Candidate<'_>],
    is_eligible: impl Fn(&Candidate<'_>) -> bool,
) -> Option<usize> {
    let cost = |candidate: &Candidate<'_>| {
        let distance = match candidate.distance {
            Distance::Zone => 0.0,
            Distance::Region => options.distance_load,
            Distance::Far => 2.0 * options.distance_load,
        };
        let requests = candidate.inflight.max(candidate.reported.unwrap_or(0));
        f64::from(requests) / f64::from(candidate.slots.max(1)) + distance + candidate.failures
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| is_eligible(candidate))
        .min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)))
        .map(|(index, _)| index)
}

/// Sort key that gives all entries the same order of upstreams.
pub fn sort_key(id: &str) -> u64 {
    hash::number(&[id.as_bytes()])
}

/// Rendezvous weight of upstream `id` for a shared prefix: the highest weight is the home.
fn weight(prefix: PartId, id: &str) -> u64 {
    hash::number(&[&prefix.to_le_bytes(), id.as_bytes()])
}
