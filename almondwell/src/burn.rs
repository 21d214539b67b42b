//! Service levels and their burn rates, from the requests that this entry has served.

use crate::entry::Entry;
use crate::job::Job;
use almondwell_core::burn::{self, Ring};
use almondwell_schema::{EntrySettings, Level, Report};
use arc_swap::ArcSwap;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

type Rings = BTreeMap<Key, Arc<Series>>;

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    service: Box<str>,
    class: Box<str>,
    tier: u8,
}

/// Good and bad requests of one class.
struct Series {
    /// Target share of good requests, in thousandths.
    attainment: u16,
    ring: Mutex<Ring>,
}

impl Series {
    fn ring(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Service levels by service, class and tier.
pub(crate) struct Burn {
    fast_window: Duration,
    rings: ArcSwap<Rings>,
    slow_window: Duration,
}

impl Burn {
    pub(crate) fn new(settings: &EntrySettings) -> Self {
        Self {
            fast_window: settings.fast_window,
            rings: ArcSwap::default(),
            slow_window: settings.slow_window,
        }
    }

    /// Counts `job`, which ended at `now`, as good or bad.
    pub(crate) fn record(&self, job: &Job, now: Duration, is_good: bool) {
        let key = Key {
            service: job.service.name.clone(),
            class: job.class_name.clone(),
            tier: job.class.tier,
        };
        let rings = self.rings.load();
        match rings.get(&key) {
            Some(series) if series.attainment == job.class.attainment => {
                series.ring().record(now, is_good);
            }
            Some(_) | None => self
                .add(&key, job.class.attainment)
                .ring()
                .record(now, is_good),
        }
    }

    /// Adds a series for `key`, or replaces its attainment and keeps its counts.
    fn add(&self, key: &Key, attainment: u16) -> Arc<Series> {
        let mut added = None;
        self.rings.rcu(|rings| {
            let ring = match rings.get(key) {
                Some(series) => series.ring().clone(),
                None => Ring::new(self.fast_window, self.slow_window),
            };
            let series = Arc::new(Series {
                attainment,
                ring: Mutex::new(ring),
            });
            added = Some(series.clone());
            let mut rings = Rings::clone(rings);
            rings.insert(key.clone(), series);
            rings
        });
        added.unwrap_or_else(|| {
            Arc::new(Series {
                attainment,
                ring: Mutex::new(Ring::new(self.fast_window, self.slow_window)),
            })
        })
    }

    /// Service levels of all classes with requests in the slow window.
    fn levels(&self, now: Duration) -> Vec<Level> {
        let rings = self.rings.load();
        let levels = rings.iter().map(|(key, series)| {
            let ring = series.ring();
            Level {
                service: key.service.clone(),
                class: key.class.clone(),
                tier: key.tier,
                attainment: series.attainment,
                fast: ring.sum(now, self.fast_window),
                slow: ring.sum(now, self.slow_window),
                history: ring.history(now),
            }
        });
        levels
            .filter(|level| level.slow.good + level.slow.bad > 0)
            .collect()
    }
}

/// Builds the service-level report of `entry`.
pub(crate) fn report(entry: &Entry) -> Report {
    let settings = &entry.settings;
    Report {
        id: settings.id.clone(),
        bucket: burn::bucket_width(settings.fast_window),
        fast_window: settings.fast_window,
        slow_window: settings.slow_window,
        levels: entry.burn.levels(entry.clock.now()),
    }
}
