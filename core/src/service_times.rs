//! Estimates of service times: how long requests hold their slots.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Service time assumed for a class without samples.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_secs(1);
/// EWMA weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Number of samples from which a workspace's own mean is used.
const MIN_WORKSPACE_SAMPLES: u32 = 20;
/// Longest time that a histogram distinguishes.
const MAX_SERVICE_TIME_MS: u64 = 3_600_000;
/// Decimal precision of a histogram.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Number of samples after which the newer histogram replaces the older one.
const SAMPLES_PER_HISTOGRAM: u64 = 500;

/// Service times by class, and by workspace where it has enough samples.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    classes: BTreeMap<Box<str>, Class>,
}

#[derive(Clone, Debug)]
struct Class {
    first_token: Mean,
    newer: Histogram<u32>,
    older: Histogram<u32>,
    service_time: Mean,
    workspaces: BTreeMap<Box<str>, Mean>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    samples: u32,
    seconds: f64,
}

impl ServiceTimes {
    /// Expected service time of a request of `class` and `workspace`.
    pub fn service_time(&self, class: &str, workspace: &str) -> Duration {
        let Some(class) = self.classes.get(class) else {
            return DEFAULT_SERVICE_TIME;
        };
        match class.workspaces.get(workspace) {
            Some(mean) if mean.samples >= MIN_WORKSPACE_SAMPLES => mean.value(),
            Some(_) | None if class.service_time.samples > 0 => class.service_time.value(),
            Some(_) | None => DEFAULT_SERVICE_TIME,
        }
    }

    /// Expected time from the start of a request to its first token.
    pub fn first_token(&self, class: &str) -> Duration {
        let class = self.classes.get(class);
        class.map_or(Duration::ZERO, |class| class.first_token.value())
    }

    /// Service time that the fraction `quantile` of the requests of `class` don't exceed.
    pub fn quantile(&self, class: &str, quantile: f64) -> Duration {
        let Some(class) = self.classes.get(class) else {
            return DEFAULT_SERVICE_TIME;
        };
        let histogram = if class.older.is_empty() {
            &class.newer
        } else {
            &class.older
        };
        Duration::from_millis(histogram.value_at_quantile(quantile))
    }

    /// Records that a request held its slot for `time`.
    pub fn record(&mut self, class: &str, workspace: &str, time: Duration) {
        let class = self.class(class);
        class.service_time.add(time);
        let time_ms = u64::try_from(time.as_millis()).unwrap_or(MAX_SERVICE_TIME_MS);
        class.newer.saturating_record(time_ms);
        if class.newer.len() >= SAMPLES_PER_HISTOGRAM {
            std::mem::swap(&mut class.newer, &mut class.older);
            class.newer.reset();
        }
        if !class.workspaces.contains_key(workspace) {
            class.workspaces.insert(workspace.into(), Mean::default());
        }
        if let Some(mean) = class.workspaces.get_mut(workspace) {
            mean.add(time);
        }
    }

    /// Records the time from the start of a request to its first token.
    pub fn record_first_token(&mut self, class: &str, time: Duration) {
        self.class(class).first_token.add(time);
    }

    fn class(&mut self, name: &str) -> &mut Class {
        if !self.classes.contains_key(name) {
            self.classes.insert(name.into(), Class::default());
        }
        self.classes.entry(name.into()).or_default()
    }
}

impl Default for Class {
    fn default() -> Self {
        Self {
            first_token: Mean::default(),
            newer: histogram(),
            older: histogram(),
            service_time: Mean::default(),
            workspaces: BTreeMap::new(),
        }
    }
}

impl Mean {
    /// Adds a sample: at first to the arithmetic mean, later to an exponentially weighted one.
    fn add(&mut self, time: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.seconds += weight * (time.as_secs_f64() - self.seconds);
    }

    fn value(self) -> Duration {
        Duration::from_secs_f64(self.seconds.max(0.0))
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_SERVICE_TIME_MS, SIGNIFICANT_DIGITS)
        .expect("histogram bounds should be valid")
}
