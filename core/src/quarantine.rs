//! Requests that are suspected of crashing upstreams, and how they may still run.

mod record;

use almondwell_schema::{Crash, CrashId, Evidence, Fingerprint, Suspect};
use record::Record;
use std::collections::BTreeMap;
use std::time::Duration;

/// Limits of a quarantine.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of suspects; beyond it, the one that expires first is evicted.
    pub capacity: usize,
    /// Time from its last crash until a suspect expires.
    pub retention: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 512,
            retention: Duration::from_mins(10),
        }
    }
}

/// How a request may be run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Treatment {
    /// Concurrently with other requests.
    Free,
    /// Only while no other request runs on the upstream.
    Alone,
    /// Not at all.
    Refused,
}

/// Suspects by fingerprint.
///
/// Merging is commutative and idempotent: the sets of crashes are united, and of two pieces of
/// evidence on one crash the lower one in the order of [`Evidence`] stays.
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
    /// Creates a quarantine without suspects.
    pub const fn new(options: Options) -> Self {
        Self {
            options,
            records: BTreeMap::new(),
        }
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How the request with `fingerprint` may run at `now`.
    pub fn treatment(&mut self, now: Duration, fingerprint: Fingerprint) -> Treatment {
        self.expire(now);
        self.records
            .get(&fingerprint)
            .map_or(Treatment::Free, Record::treatment)
    }

    /// Records that an upstream crashed while it ran the request, alone or beside others; returns what
    /// is now known of the request.
    pub fn record_crash(
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
            left: self.options.retention,
        };
        self.merge(now, &suspect);
        self.suspect(now, fingerprint).unwrap_or(suspect)
    }

    /// Records that the request ran alone without a crash; returns the updated suspect if this cleared
    /// any crash.
    pub fn record_success(&mut self, now: Duration, fingerprint: Fingerprint) -> Option<Suspect> {
        let record = self.records.get_mut(&fingerprint)?;
        if !record.clear() {
            return None;
        }
        self.suspect(now, fingerprint)
    }

    /// Merges what another quarantine knows of a suspect; returns whether anything changed.
    pub fn merge(&mut self, now: Duration, suspect: &Suspect) -> bool {
        self.expire(now);
        if suspect.crashes.is_empty() || suspect.left.is_zero() {
            return false;
        }
        let expires_at = now + suspect.left.min(self.options.retention);
        let record = self.records.entry(suspect.fingerprint).or_default();
        let is_changed = record.merge(&suspect.crashes, expires_at);
        self.evict();
        is_changed
    }

    /// What is known of the request with `fingerprint`; `None` if it is no suspect.
    pub fn suspect(&self, now: Duration, fingerprint: Fingerprint) -> Option<Suspect> {
        let record = self.records.get(&fingerprint)?;
        record.suspect(now, fingerprint)
    }

    /// All suspects that have not expired at `now`.
    pub fn suspects(&self, now: Duration) -> Vec<Suspect> {
        self.records
            .iter()
            .filter_map(|(fingerprint, record)| record.suspect(now, *fingerprint))
            .collect()
    }

    fn expire(&mut self, now: Duration) {
        self.records.retain(|_, record| record.expires_at() > now);
    }

    fn evict(&mut self) {
        while self.records.len() > self.options.capacity {
            let next_to_expire = self
                .records
                .iter()
                .min_by_key(|(_, record)| record.expires_at());
            let Some((fingerprint, _)) = next_to_expire else {
                return;
            };
            let fingerprint = *fingerprint;
            self.records.remove(&fingerprint);
        }
    }
}
