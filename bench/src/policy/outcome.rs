//! Results of one run.

use super::scenario::{ARRIVALS_END, WARM_UP};
use super::size::SLOTS;
use super::{CLASSES, Call, End, Plan, Pool, Record, Scenario, Size, Trace};
use serde::Serialize;
use std::time::Duration;

/// Most output tokens of a call that counts as short.
const MAX_SHORT_TOKENS: u32 = 60;

/// Results of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ClassOutcome {
    /// Share of calls whose first token met its target.
    pub(crate) attainment: f64,
    pub(crate) calls: usize,
    pub(crate) expired: usize,
    /// Longest time from an arrival to the next start of a call of the class, in seconds.
    pub(crate) gap: f64,
    /// Time in seconds for which calls that missed their target held slots.
    pub(crate) late_work: f64,
    pub(crate) name: &'static str,
    pub(crate) refused: usize,
    /// Longest time from arrival to start, in seconds.
    pub(crate) worst_wait: f64,
}

/// Results of one run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Outcome {
    pub(crate) classes: Vec<ClassOutcome>,
    /// Attainment of the top tier among calls that arrive at peak load.
    pub(crate) crest: f64,
    /// Slot time of engine calls that finished and met their target, as a share of the capacity.
    pub(crate) goodput: f64,
    /// Hits of the prefix cache per started engine call.
    pub(crate) hits: f64,
    /// Attainment below the top tier among workspaces that send little traffic.
    pub(crate) light: f64,
    pub(crate) plan: &'static str,
    pub(crate) scenario: &'static str,
    /// 95th percentile of the wait of short calls of tier 1, in seconds.
    pub(crate) short_wait: f64,
    pub(crate) size: &'static str,
    /// Attainment of the top tier.
    pub(crate) top: f64,
    /// 99th percentile of the top tier's time to the first token, in seconds.
    pub(crate) top_p99: f64,
    /// Slot time of all engine calls, as a share of the capacity.
    pub(crate) utilization: f64,
    /// Slot time of engine calls that did not finish, as a share of the slot time of all engine calls.
    pub(crate) wasted: f64,
}

/// A call and its result.
type Pair<'a> = (&'a Call, &'a Record);

impl Outcome {
    pub(crate) fn new(
        (size, scenario, plan): (&Size, Scenario, &Plan),
        trace: &Trace,
        records: &[Record],
        hits: usize,
    ) -> Self {
        let all: Vec<Pair> = trace.calls.iter().zip(records).collect();
        let is_measured = |call: &Call| call.arrived >= WARM_UP;
        let pairs: Vec<Pair> = all
            .iter()
            .copied()
            .filter(|(call, _)| is_measured(call))
            .collect();
        let top: Vec<Pair> = pairs
            .iter()
            .copied()
            .filter(|(call, _)| call.class().tier == 0)
            .collect();
        let peak: Vec<Pair> = top
            .iter()
            .copied()
            .filter(|(call, _)| scenario.is_peak(call.arrived))
            .collect();
        let engines: Vec<Pair> = all
            .iter()
            .copied()
            .filter(|(call, _)| call.class().pool == Pool::Engines)
            .collect();
        let capacity = capacity(size);
        let slot_seconds = |keep: &dyn Fn(&Pair) -> bool| {
            engines
                .iter()
                .filter(|pair| keep(pair))
                .map(|(_, record)| record.slot_time().as_secs_f64())
                .sum::<f64>()
        };
        let used = slot_seconds(&|_| true);
        let good = slot_seconds(&|pair| is_met(pair) && pair.1.end == End::Finished);
        let wasted = slot_seconds(&|pair| pair.1.end != End::Finished);
        let started = engines
            .iter()
            .filter(|(_, record)| record.started.is_some());
        Self {
            classes: (0..CLASSES.len())
                .map(|class| class_outcome(class, &pairs))
                .collect(),
            crest: attainment(&peak),
            goodput: good / capacity,
            hits: ratio(hits, started.count()),
            light: light_attainment(&pairs),
            plan: plan.name,
            scenario: scenario.name(),
            short_wait: short_wait(&pairs),
            size: size.name,
            top: attainment(&top),
            top_p99: quantile(top.iter().map(first_token_seconds).collect(), 0.99),
            utilization: used / capacity,
            wasted: wasted / used.max(f64::EPSILON),
        }
    }

    /// Attainment of the engines' class of `tier`, or 1 if there is none.
    pub(crate) fn tier_attainment(&self, tier: u8) -> f64 {
        CLASSES
            .iter()
            .zip(&self.classes)
            .find(|(class, _)| class.tier == tier && class.pool == Pool::Engines)
            .map_or(1.0, |(_, outcome)| outcome.attainment)
    }

    /// Longest gap of any class, in seconds.
    pub(crate) fn max_gap(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| class.gap)
            .fold(0.0, f64::max)
    }
}

/// Slot seconds of all engines in the measured part of the run.
fn capacity(size: &Size) -> f64 {
    let slots = u32::try_from(size.engines * SLOTS).unwrap_or(0);
    f64::from(slots) * ARRIVALS_END.saturating_sub(WARM_UP).as_secs_f64()
}

/// Whether the first token met its target.
fn is_met((call, record): &Pair) -> bool {
    let due = call.arrived + call.class().target;
    record
        .first_token
        .is_some_and(|first_token| first_token <= due)
}

/// Time to the first token in seconds; a call without a token counts with its deadline.
fn first_token_seconds((call, record): &Pair) -> f64 {
    let time = record
        .first_token
        .map_or(call.class().deadline, |at| at.saturating_sub(call.arrived));
    time.as_secs_f64()
}

fn attainment(pairs: &[Pair]) -> f64 {
    if pairs.is_empty() {
        return 1.0;
    }
    ratio(
        pairs.iter().filter(|pair| is_met(pair)).count(),
        pairs.len(),
    )
}

fn class_outcome(class: usize, pairs: &[Pair]) -> ClassOutcome {
    let own: Vec<Pair> = pairs
        .iter()
        .copied()
        .filter(|(call, _)| call.class == class)
        .collect();
    let count = |end| own.iter().filter(|(_, record)| record.end == end).count();
    let waits = own.iter().filter_map(|(call, record)| {
        let started = record.started?;
        Some(started.saturating_sub(call.arrived).as_secs_f64())
    });
    ClassOutcome {
        attainment: attainment(&own),
        calls: own.len(),
        expired: count(End::Expired) + count(End::Open),
        gap: longest_gap(&own),
        late_work: own
            .iter()
            .filter(|pair| !is_met(pair))
            .map(|(_, record)| record.slot_time().as_secs_f64())
            .sum(),
        name: CLASSES[class].name,
        refused: count(End::Refused),
        worst_wait: waits.fold(0.0, f64::max),
    }
}

/// Longest time from an arrival to the class's next start, in seconds.
fn longest_gap(class_pairs: &[Pair]) -> f64 {
    let mut starts: Vec<Duration> = class_pairs
        .iter()
        .filter_map(|(_, record)| record.started)
        .collect();
    starts.sort();
    let mut longest = Duration::ZERO;
    for (call, _) in class_pairs {
        let next = starts.partition_point(|start| *start < call.arrived);
        let until = starts
            .get(next)
            .copied()
            .unwrap_or(ARRIVALS_END.max(call.arrived));
        longest = longest.max(until.saturating_sub(call.arrived));
    }
    longest.as_secs_f64()
}

/// Attainment below the top tier among workspaces that send little traffic.
fn light_attainment(pairs: &[Pair]) -> f64 {
    let light_pairs: Vec<Pair> = pairs
        .iter()
        .copied()
        .filter(|(call, _)| {
            call.class().tier > 0 && call.workspace >= super::trace::FIRST_LIGHT_WORKSPACE
        })
        .collect();
    attainment(&light_pairs)
}

/// 95th percentile of the wait of short calls of tier 1, which long calls may delay, in seconds.
fn short_wait(pairs: &[Pair]) -> f64 {
    let waits = pairs
        .iter()
        .filter(|(call, _)| {
            call.class().tier == 1
                && call.class().pool == Pool::Engines
                && call.tokens <= MAX_SHORT_TOKENS
        })
        .filter_map(|(call, record)| {
            Some(record.started?.saturating_sub(call.arrived).as_secs_f64())
        })
        .collect();
    quantile(waits, 0.95)
}

fn quantile(mut values: Vec<f64>, share: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let index = ((values.len() - 1) as f64 * share).ceil() as usize;
    values[index]
}

fn ratio(part: usize, whole: usize) -> f64 {
    let float = |count| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    float(part) / float(whole.max(1))
}
