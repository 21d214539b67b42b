//! Figures of one run.

use super::scenario::{END, WARM_UP};
use super::size::PLACES;
use super::{CLASSES, Call, End, Plan, Pool, Record, Scenario, Size, Trace};
use serde::Serialize;
use std::time::Duration;

/// Output up to this many tokens counts as short.
const SHORT: u32 = 60;

/// Figures of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ClassOutcome {
    pub(crate) attainment: f64,
    pub(crate) calls: usize,
    pub(crate) expired: usize,
    /// Longest time without a start while calls of the class arrive, in seconds.
    pub(crate) gap: f64,
    /// Place time in seconds of calls that started but missed their target.
    pub(crate) late_work: f64,
    pub(crate) name: &'static str,
    pub(crate) refused: usize,
    pub(crate) worst_wait: f64,
}

/// Figures of one run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Outcome {
    pub(crate) classes: Vec<ClassOutcome>,
    /// Attainment of the top tier among calls that arrive at the crest.
    pub(crate) crest: f64,
    /// Place time of calls that finished and met their target, over the capacity.
    pub(crate) goodput: f64,
    pub(crate) hits: f64,
    /// Attainment below the top tier of the workspaces that send little.
    pub(crate) light: f64,
    pub(crate) plan: &'static str,
    pub(crate) scenario: &'static str,
    /// Median wait of short calls below the top tier, in seconds.
    pub(crate) short_wait: f64,
    pub(crate) size: &'static str,
    pub(crate) top: f64,
    /// 99th percentile of the top tier's time to the first token, in seconds.
    pub(crate) top_p99: f64,
    pub(crate) utilization: f64,
    /// Place time of calls that never finished, over all place time.
    pub(crate) wasted: f64,
}

/// A counted call and what became of it.
type Pair<'a> = (&'a Call, &'a Record);

impl Outcome {
    pub(crate) fn new(
        (size, scenario, plan): (&Size, Scenario, &Plan),
        trace: &Trace,
        records: &[Record],
        hits: usize,
    ) -> Self {
        let all: Vec<Pair> = trace.calls.iter().zip(records).collect();
        let counted = |call: &Call| call.arrived >= WARM_UP;
        let pairs: Vec<Pair> = all
            .iter()
            .copied()
            .filter(|(call, _)| counted(call))
            .collect();
        let top: Vec<Pair> = pairs
            .iter()
            .copied()
            .filter(|(call, _)| call.class().tier == 0)
            .collect();
        let crest: Vec<Pair> = top
            .iter()
            .copied()
            .filter(|(call, _)| scenario.is_crest(call.arrived))
            .collect();
        let engines: Vec<Pair> = all
            .iter()
            .copied()
            .filter(|(call, _)| call.class().pool == Pool::Engines)
            .collect();
        let capacity = capacity(size);
        let work = |keep: &dyn Fn(&Pair) -> bool| {
            engines
                .iter()
                .filter(|pair| keep(pair))
                .map(|(_, record)| record.place_time().as_secs_f64())
                .sum::<f64>()
        };
        let used = work(&|_| true);
        let good = work(&|pair| is_met(pair) && pair.1.end == End::Finished);
        let wasted = work(&|pair| pair.1.end != End::Finished);
        let started = engines
            .iter()
            .filter(|(_, record)| record.started.is_some());
        Self {
            classes: (0..CLASSES.len())
                .map(|class| class_outcome(class, &pairs))
                .collect(),
            crest: attainment(&crest),
            goodput: good / capacity,
            hits: ratio(hits, started.count()),
            light: light(&pairs),
            plan: plan.name,
            scenario: scenario.name(),
            short_wait: short_wait(&pairs),
            size: size.name,
            top: attainment(&top),
            top_p99: quantile(top.iter().map(first_token).collect(), 0.99),
            utilization: used / capacity,
            wasted: wasted / used.max(f64::EPSILON),
        }
    }

    /// Attainment of the engines' classes of `tier`.
    pub(crate) fn tier(&self, tier: u8) -> f64 {
        CLASSES
            .iter()
            .zip(&self.classes)
            .find(|(class, _)| class.tier == tier && class.pool == Pool::Engines)
            .map_or(1.0, |(_, outcome)| outcome.attainment)
    }

    /// Longest time that any class went without a start.
    pub(crate) fn gap(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| class.gap)
            .fold(0.0, f64::max)
    }
}

fn capacity(size: &Size) -> f64 {
    let places = u32::try_from(size.engines * PLACES).unwrap_or(0);
    f64::from(places) * END.saturating_sub(WARM_UP).as_secs_f64()
}

fn is_met((call, record): &Pair) -> bool {
    let due = call.arrived + call.class().target;
    record
        .first_token
        .is_some_and(|first_token| first_token <= due)
}

/// Time to the first token; a call without one counts as its whole deadline.
fn first_token((call, record): &Pair) -> f64 {
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
        gap: gap(&own),
        late_work: own
            .iter()
            .filter(|pair| !is_met(pair))
            .map(|(_, record)| record.place_time().as_secs_f64())
            .sum(),
        name: CLASSES[class].name,
        refused: count(End::Refused),
        worst_wait: waits.fold(0.0, f64::max),
    }
}

/// Longest time from an arrival to the class's next start.
fn gap(own: &[Pair]) -> f64 {
    let mut starts: Vec<Duration> = own
        .iter()
        .filter_map(|(_, record)| record.started)
        .collect();
    starts.sort();
    let mut longest = Duration::ZERO;
    for (call, _) in own {
        let next = starts.partition_point(|start| *start < call.arrived);
        let until = starts.get(next).copied().unwrap_or(END.max(call.arrived));
        longest = longest.max(until.saturating_sub(call.arrived));
    }
    longest.as_secs_f64()
}

fn light(pairs: &[Pair]) -> f64 {
    let own: Vec<Pair> = pairs
        .iter()
        .copied()
        .filter(|(call, _)| call.class().tier > 0 && call.workspace >= super::trace::FIRST_LIGHT)
        .collect();
    attainment(&own)
}

/// Waits of short calls below the top tier, which long ones may hold up.
fn short_wait(pairs: &[Pair]) -> f64 {
    let waits = pairs
        .iter()
        .filter(|(call, _)| {
            call.class().tier == 1 && call.class().pool == Pool::Engines && call.tokens <= SHORT
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
