//! Service levels of the requests that this entry has served.

use crate::entry::Entry;
use crate::job::Job;
use almondwell_core::burn::{self, Ring};
use almondwell_schema::{EntrySettings, Level, Report};
use arc_swap::ArcSwap;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

type Rings = BTreeMap<Key, Arc<Class>>;

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    service: Box<str>,
    class: Box<str>,
    tier: u8,
}

struct Class {
    attainment: u16,
    ring: Mutex<Ring>,
}

impl Class {
    fn ring(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Service levels by service, class and tier.
pub(crate) struct Burn {
    fast: Duration,
    rings: ArcSwap<Rings>,
    slow: Duration,
}

impl Burn {
    pub(crate) fn new(settings: &EntrySettings) -> Self {
        Self {
            fast: settings.fast_window,
            rings: ArcSwap::default(),
            slow: settings.slow_window,
        }
    }

    /// Counts `job`, which ended at `now`.
    pub(crate) fn record(&self, job: &Job, now: Duration, is_good: bool) {
        let key = Key {
            service: job.service.name.clone(),
            class: job.class_name.clone(),
            tier: job.class.tier,
        };
        let rings = self.rings.load();
        match rings.get(&key) {
            Some(class) if class.attainment == job.class.attainment => {
                class.ring().record(now, is_good);
            }
            Some(_) | None => self
                .add(&key, job.class.attainment)
                .ring()
                .record(now, is_good),
        }
    }

    /// Adds the class of `key`, or gives it a new attainment.
    fn add(&self, key: &Key, attainment: u16) -> Arc<Class> {
        let mut added = None;
        self.rings.rcu(|rings| {
            let ring = match rings.get(key) {
                Some(class) => class.ring().clone(),
                None => Ring::new(self.fast, self.slow),
            };
            let class = Arc::new(Class {
                attainment,
                ring: Mutex::new(ring),
            });
            added = Some(class.clone());
            let mut rings = Rings::clone(rings);
            rings.insert(key.clone(), class);
            rings
        });
        added.unwrap_or_else(|| {
            Arc::new(Class {
                attainment,
                ring: Mutex::new(Ring::new(self.fast, self.slow)),
            })
        })
    }

    /// Levels of all classes that had requests in the slow window.
    fn levels(&self, now: Duration) -> Vec<Level> {
        let rings = self.rings.load();
        let levels = rings.iter().map(|(key, class)| {
            let ring = class.ring();
            Level {
                service: key.service.clone(),
                class: key.class.clone(),
                tier: key.tier,
                attainment: class.attainment,
                fast: ring.sum(now, self.fast),
                slow: ring.sum(now, self.slow),
                history: ring.history(now),
            }
        });
        levels
            .filter(|level| level.slow.good + level.slow.bad > 0)
            .collect()
    }
}

/// The report of `entry`.
pub(crate) fn report(entry: &Entry) -> Report {
    let settings = &entry.settings;
    Report {
        id: settings.id.clone(),
        bucket: burn::width(settings.fast_window),
        fast_window: settings.fast_window,
        slow_window: settings.slow_window,
        levels: entry.burn.levels(entry.clock.now()),
    }
}
