//! Which requests may crash upstreams, and how they may still be run.

mod record;

use almondwell_schema::{Crash, CrashId, Evidence, Fingerprint, Suspect};
use record::Record;
use std::collections::BTreeMap;
use std::time::Duration;

/// Sizes of a quarantine.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Suspects held at once; the first to expire makes room.
    pub capacity: usize,
    /// Time after its last crash for which a suspect is remembered.
    pub memory: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 512,
            memory: Duration::from_mins(10),
        }
    }
}

/// How a request may be run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Treatment {
    /// Beside others.
    Free,
    /// With nothing beside it.
    Alone,
    /// Not at all.
    Refused,
}

/// Suspects by fingerprint.
///
/// Knowledge of two quarantines merges in any order and any number of times to the same result:
/// crashes are united, and of two pieces of evidence on one crash the lower stays.
#[derive(Clone, Debug)]
pub struct Quarantine {
    options: Options,
    records: BTreeMap<Fingerprint, Record>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new(Options::default())
    }
}

impl Quarantine {
    /// A quarantine without suspects.
    pub const fn new(options: Options) -> Self {
        Self {
            options,
            records: BTreeMap::new(),
        }
    }

    /// Suspects held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How the request with `fingerprint` may be run at `now`.
    pub fn treatment(&mut self, now: Duration, fingerprint: Fingerprint) -> Treatment {
        self.expire(now);
        self.records
            .get(&fingerprint)
            .map_or(Treatment::Free, Record::treatment)
    }

    /// Notes that an upstream crashed while it ran the request, alone or beside others.
    pub fn crashed(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        id: CrashId,
        is_alone: bool,
    ) -> Suspect {
        let evidence = if is_alone {
            Evidence::Alone
        } else {
            Evidence::Shared
        };
        let suspect = Suspect {
            fingerprint,
            crashes: vec![Crash { id, evidence }],
            left: self.options.memory,
        };
        self.merge(now, &suspect);
        self.suspect(now, fingerprint).unwrap_or(suspect)
    }

    /// Notes that the request ran alone without a crash; returns what is news to others.
    pub fn passed(&mut self, now: Duration, fingerprint: Fingerprint) -> Option<Suspect> {
        let record = self.records.get_mut(&fingerprint)?;
        if !record.clear() {
            return None;
        }
        self.suspect(now, fingerprint)
    }

    /// Takes over what another quarantine knows; returns whether it was news.
    pub fn merge(&mut self, now: Duration, suspect: &Suspect) -> bool {
        self.expire(now);
        if suspect.crashes.is_empty() || suspect.left.is_zero() {
            return false;
        }
        let until = now + suspect.left.min(self.options.memory);
        let record = self.records.entry(suspect.fingerprint).or_default();
        let is_news = record.merge(&suspect.crashes, until);
        self.evict();
        is_news
    }

    /// What is known of one request.
    pub fn suspect(&self, now: Duration, fingerprint: Fingerprint) -> Option<Suspect> {
        let record = self.records.get(&fingerprint)?;
        record.suspect(now, fingerprint)
    }

    /// All suspects at `now`.
    pub fn suspects(&self, now: Duration) -> Vec<Suspect> {
        self.records
            .iter()
            .filter_map(|(fingerprint, record)| record.suspect(now, *fingerprint))
            .collect()
    }

    fn expire(&mut self, now: Duration) {
        self.records.retain(|_, record| record.until() > now);
    }

    fn evict(&mut self) {
        while self.records.len() > self.options.capacity {
            let first = self.records.iter().min_by_key(|(_, record)| record.until());
            let Some((fingerprint, _)) = first else {
                return;
            };
            let fingerprint = *fingerprint;
            self.records.remove(&fingerprint);
        }
    }
}
