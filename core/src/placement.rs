//! Which upstream a request goes to.
//!
//! Requests that share parts of their prompts have one home, found by rendezvous hashing, so that all
//! entries agree on it without a word. They leave it when the wait there outweighs the cost of reading the
//! shared parts elsewhere. Requests to plain services go where least is waiting.

use crate::hash;
use crate::job::PartId;
use std::time::Duration;

/// Distance between this entry and an upstream.
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
    /// How far it is.
    pub distance: Distance,
    /// Recent failures, decayed.
    pub failures: f64,
    /// Whether it is known to keep the shared parts of the prompt.
    pub has_parts: bool,
    /// Its identifier.
    pub id: &'a str,
    /// Requests of this entry that it has.
    pub inflight: u32,
    /// Requests that it said to have, running and waiting, if it said so lately.
    pub reported: Option<u32>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time that a request would wait there before its prompt is read.
    pub wait: Duration,
}

/// What a placement needs to know of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prompt {
    /// Last of the parts that others share.
    pub home: Option<PartId>,
    /// Time that an engine takes to read the shared parts.
    pub read: Duration,
}

/// Weights of a placement.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Load that a step of distance is worth, in parts of an upstream's places.
    pub distance: f64,
    /// Recent failures from which an upstream counts as failing.
    pub failing: f64,
    /// Times that the reading of shared parts counts against waiting: it delays the request, all that run
    /// beside it, and takes the memory of parts that others need.
    pub reading: f64,
    /// Wait that a step of distance is worth.
    pub step: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            distance: 0.15,
            failing: 1.5,
            reading: 10.0,
            step: Duration::from_millis(30),
        }
    }
}

/// Index of the candidate for a request.
pub fn choose(
    options: &Options,
    prompt: Option<Prompt>,
    candidates: &[Candidate<'_>],
) -> Option<usize> {
    let is_failing = |candidate: &Candidate<'_>| candidate.failures >= options.failing;
    let all_fail = candidates.iter().all(is_failing);
    let eligible = |candidate: &Candidate<'_>| all_fail || !is_failing(candidate);
    match prompt {
        Some(prompt) => soonest(options, prompt, candidates, eligible),
        None => least_loaded(options, candidates, eligible),
    }
}

/// The engine where the prompt is read soonest, with the cost of reading shared parts anew.
fn soonest(
    options: &Options,
    prompt: Prompt,
    candidates: &[Candidate<'_>],
    eligible: impl Fn(&Candidate<'_>) -> bool,
) -> Option<usize> {
    let weights: Vec<_> = prompt.home.map_or_else(Vec::new, |part| {
        let ids = candidates.iter().map(|candidate| candidate.id);
        ids.map(|id| weight(part, id)).collect()
    });
    let home = (0..weights.len())
        .filter(|index| eligible(&candidates[*index]))
        .max_by_key(|index| weights[*index]);
    let cost = |index: usize, candidate: &Candidate<'_>| {
        let reads = !candidate.has_parts && home != Some(index);
        let read = if reads {
            prompt.read.mul_f64(options.reading)
        } else {
            Duration::ZERO
        };
        let steps = match candidate.distance {
            Distance::Zone => 0,
            Distance::Region => 1,
            Distance::Far => 2,
        };
        // Among engines without a queue, the one with the fewest streams writes fastest.
        let streams = Duration::from_millis(candidate.reported.unwrap_or(0).into());
        candidate.wait + read + options.step * steps + streams
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| eligible(candidate))
        .min_by_key(|(index, candidate)| {
            let tie = weights.get(*index);
            (cost(*index, candidate), std::cmp::Reverse(tie))
        })
        .map(|(index, _)| index)
}

fn least_loaded(
    options: &Options,
    candidates: &[Candidate<'_>],
    eligible: impl Fn(&Candidate<'_>) -> bool,
) -> Option<usize> {
    let cost = |candidate: &Candidate<'_>| {
        let distance = match candidate.distance {
            Distance::Zone => 0.0,
            Distance::Region => options.distance,
            Distance::Far => 2.0 * options.distance,
        };
        let requests = candidate.inflight.max(candidate.reported.unwrap_or(0));
        f64::from(requests) / f64::from(candidate.slots.max(1)) + distance + candidate.failures
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| eligible(candidate))
        .min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)))
        .map(|(index, _)| index)
}

/// Place of an upstream in an order that all entries agree on.
pub fn rank(id: &str) -> u64 {
    hash::number(&[id.as_bytes()])
}

/// Weight of an upstream for a home: the highest weight wins.
fn weight(home: PartId, id: &str) -> u64 {
    hash::number(&[&home.to_le_bytes(), id.as_bytes()])
}
