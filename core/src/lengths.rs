//! Estimates of how long requests hold their places.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time assumed for a class that has not run yet.
const FIRST_GUESS: Duration = Duration::from_secs(1);
/// Weight of a new sample in a mean.
const STEP: f64 = 0.05;
/// Samples after which a workspace's own mean is used.
const ENOUGH: u32 = 20;
/// Longest time that a histogram tells apart, in milliseconds.
const MAX_MILLIS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 1;
/// Samples after which the older half of a histogram is dropped.
const GENERATION: u64 = 500;

/// Place times by class, and by workspace where enough are known.
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    classes: BTreeMap<Box<str>, Class>,
}

#[derive(Clone, Debug)]
struct Class {
    first_token: Mean,
    newer: Histogram<u32>,
    older: Histogram<u32>,
    place: Mean,
    workspaces: BTreeMap<Box<str>, Mean>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    samples: u32,
    seconds: f64,
}

impl Lengths {
    /// Expected time that a request of `class` and `workspace` holds a place.
    pub fn place(&self, class: &str, workspace: &str) -> Duration {
        let Some(class) = self.classes.get(class) else {
            return FIRST_GUESS;
        };
        match class.workspaces.get(workspace) {
            Some(mean) if mean.samples >= ENOUGH => mean.read(),
            Some(_) | None if class.place.samples > 0 => class.place.read(),
            Some(_) | None => FIRST_GUESS,
        }
    }

    /// Expected time from a run's start to its first token.
    pub fn first_token(&self, class: &str) -> Duration {
        let class = self.classes.get(class);
        class.map_or(Duration::ZERO, |class| class.first_token.read())
    }

    /// Place time that `share` of the requests of `class` stay under.
    pub fn quantile(&self, class: &str, share: f64) -> Duration {
        let Some(class) = self.classes.get(class) else {
            return FIRST_GUESS;
        };
        let histogram = if class.older.is_empty() {
            &class.newer
        } else {
            &class.older
        };
        Duration::from_millis(histogram.value_at_quantile(share))
    }

    /// Records that a request held its place for `time`.
    pub fn record(&mut self, class: &str, workspace: &str, time: Duration) {
        let class = self.class(class);
        class.place.add(time);
        let millis = u64::try_from(time.as_millis()).unwrap_or(MAX_MILLIS);
        class.newer.saturating_record(millis);
        if class.newer.len() >= GENERATION {
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

    /// Records the time from a run's start to its first token.
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
            place: Mean::default(),
            workspaces: BTreeMap::new(),
        }
    }
}

impl Mean {
    /// The plain mean at first, then an exponentially weighted one.
    fn add(&mut self, time: Duration) {
        self.samples = self.samples.saturating_add(1);
        let step = STEP.max(1.0 / f64::from(self.samples));
        self.seconds += step * (time.as_secs_f64() - self.seconds);
    }

    fn read(self) -> Duration {
        Duration::from_secs_f64(self.seconds.max(0.0))
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_MILLIS, SIGNIFICANT_DIGITS).expect("the bounds are valid constants")
}
