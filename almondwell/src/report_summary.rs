//! Merges the reports of several entries.

use almondwell_core::burn::Spend;
use almondwell_schema::{Counts, Report};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Service levels summed over all entries.
#[derive(Debug, Serialize)]
pub(crate) struct Summary {
    /// Width of a history bucket in seconds.
    pub(crate) bucket: f64,
    pub(crate) classes: Vec<Row>,
    pub(crate) entries: Vec<Box<str>>,
    /// Length of the fast window in seconds.
    pub(crate) fast_window: f64,
    /// Length of the slow window in seconds.
    pub(crate) slow_window: f64,
    pub(crate) tiers: Vec<Tier>,
}

/// Service level of one class.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) service: Box<str>,
    pub(crate) class: Box<str>,
    pub(crate) tier: u8,
    /// Target share of good requests, in thousandths.
    pub(crate) attainment: u16,
    pub(crate) level: Level,
    /// Burn rate of each bucket of the slow window, newest last.
    pub(crate) history: Vec<f64>,
}

/// Service level of all classes of a tier together.
#[derive(Debug, Serialize)]
pub(crate) struct Tier {
    pub(crate) tier: u8,
    pub(crate) level: Level,
}

/// Request counts of the slow window, and burn rates of both windows.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Level {
    pub(crate) good: u64,
    pub(crate) bad: u64,
    pub(crate) burn_fast: f64,
    pub(crate) burn_slow: f64,
    /// Share of the slow window's error budget that is left; negative when overspent.
    pub(crate) budget_left: f64,
}

#[derive(Clone, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    tier: u8,
    service: Box<str>,
    class: Box<str>,
}

#[derive(Clone, Default)]
struct Sum {
    attainment: u16,
    bad: u64,
    fast: Spend,
    good: u64,
    history: Vec<Spend>,
    slow: Spend,
}

impl Sum {
    fn level(&self) -> Level {
        Level {
            good: self.good,
            bad: self.bad,
            burn_fast: self.fast.rate(),
            burn_slow: self.slow.rate(),
            budget_left: self.slow.left(),
        }
    }
}

impl Summary {
    /// Adds up the levels of `reports`. The windows are those of the first report.
    pub(crate) fn merge(reports: &[Report]) -> Self {
        let sums = sums(reports);
        let mut tiers: BTreeMap<u8, Sum> = BTreeMap::new();
        for (key, sum) in &sums {
            let tier = tiers.entry(key.tier).or_default();
            tier.bad += sum.bad;
            tier.good += sum.good;
            tier.fast = tier.fast + sum.fast;
            tier.slow = tier.slow + sum.slow;
        }
        let seconds = |time: fn(&Report) -> Duration| {
            reports
                .first()
                .map_or(0.0, |report| time(report).as_secs_f64())
        };
        Self {
            bucket: seconds(|report| report.bucket),
            classes: sums.into_iter().map(row).collect(),
            entries: reports.iter().map(|report| report.id.clone()).collect(),
            fast_window: seconds(|report| report.fast_window),
            slow_window: seconds(|report| report.slow_window),
            tiers: tiers
                .into_iter()
                .map(|(tier, sum)| Tier {
                    tier,
                    level: sum.level(),
                })
                .collect(),
        }
    }
}

fn sums(reports: &[Report]) -> BTreeMap<Key, Sum> {
    let mut sums: BTreeMap<Key, Sum> = BTreeMap::new();
    for level in reports.iter().flat_map(|report| &report.levels) {
        let key = Key {
            tier: level.tier,
            service: level.service.clone(),
            class: level.class.clone(),
        };
        let spend = |counts: &Counts| Spend::new(counts, level.attainment);
        let sum = sums.entry(key).or_default();
        sum.attainment = sum.attainment.max(level.attainment);
        sum.bad += level.slow.bad;
        sum.good += level.slow.good;
        sum.fast = sum.fast + spend(&level.fast);
        sum.slow = sum.slow + spend(&level.slow);
        add_history(&mut sum.history, level.history.iter().map(spend).collect());
    }
    sums
}

/// Adds `added` to `history`, aligned at the newest bucket, which is the last of each.
fn add_history(history: &mut Vec<Spend>, mut added: Vec<Spend>) {
    if history.len() < added.len() {
        std::mem::swap(history, &mut added);
    }
    for (sum, spend) in history.iter_mut().rev().zip(added.into_iter().rev()) {
        *sum = *sum + spend;
    }
}

fn row((key, sum): (Key, Sum)) -> Row {
    Row {
        level: sum.level(),
        service: key.service,
        class: key.class,
        tier: key.tier,
        attainment: sum.attainment,
        history: sum.history.into_iter().map(Spend::rate).collect(),
    }
}
