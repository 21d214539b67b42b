//! Parts of prompts that crash each upstream that begins to answer a request with them.
//!
//! A crash is evidence against each part of the requests that were running there, since an upstream does not say
//! which of them was at fault. A request that is answered clears all of its parts. Parts that were merely beside a
//! fatal one have no crash that it does not explain.

use crate::job::PartId;
use almondwell_schema::{Crash, CrashId, Evidence, Suspect};
use std::collections::BTreeMap;
use std::time::Duration;

/// Limits of [`FatalParts`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of suspected parts. Beyond it, those with the fewest crashes are dropped first.
    pub capacity: usize,
    /// Number of uncleared crashes from which a part is fatal. Fewer would condemn a part that is seldom requested
    /// and was beside others that crashed upstreams.
    pub crashes: usize,
    /// Time from its last crash until a suspicion expires.
    pub retention: Duration,
    /// Time after a success for which a part is not fatal, whatever crashed meanwhile.
    pub sound: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 512,
            crashes: 4,
            retention: Duration::from_mins(10),
            sound: Duration::from_secs(5),
        }
    }
}

/// Maximum number of crashes per part: those that make it fatal, and those of requests that were running by then.
const MAX_CRASHES: usize = 32;

/// Crashes of upstreams that were running a request with one part.
#[derive(Clone, Debug, Default)]
struct Record {
    crashes: BTreeMap<CrashId, Evidence>,
    expires_at: Duration,
    /// Whether this entry recorded one of the crashes itself.
    is_reported: bool,
}

impl Record {
    fn uncleared(&self) -> impl Iterator<Item = CrashId> + '_ {
        let crashes = self.crashes.iter();
        crashes
            .filter(|(_, evidence)| **evidence != Evidence::Cleared)
            .map(|(id, _)| *id)
    }

    /// Whether each uncleared crash was also one under the part of `other`.
    fn is_explained_by(&self, other: &Self) -> bool {
        self.uncleared().all(|id| other.crashes.contains_key(&id))
    }

    /// Records what is known of a crash; that it was cleared is final.
    fn add(&mut self, id: CrashId, evidence: Evidence) {
        let known = self.crashes.get(&id);
        if known.is_none() && self.crashes.len() >= MAX_CRASHES {
            self.make_room();
        }
        let known = self.crashes.entry(id).or_insert(evidence);
        if evidence == Evidence::Cleared {
            *known = evidence;
        }
    }

    /// Drops a cleared crash, or the first one.
    fn make_room(&mut self) {
        let mut crashes = self.crashes.iter();
        let cleared = crashes.find(|(_, evidence)| **evidence == Evidence::Cleared);
        match cleared.map(|(id, _)| *id) {
            Some(id) => {
                self.crashes.remove(&id);
            }
            None => {
                self.crashes.pop_first();
            }
        }
    }

    /// Clears all crashes; returns whether any was uncleared.
    fn clear(&mut self) -> bool {
        let is_changed = self.uncleared().next().is_some();
        for evidence in self.crashes.values_mut() {
            *evidence = Evidence::Cleared;
        }
        is_changed
    }
}

/// Suspected parts of prompts, by identifier.
///
/// A part is fatal if enough upstreams crashed under it and no request with it was answered since. Merging is
/// commutative and idempotent: crashes are united, and that one was cleared is final.
#[derive(Clone, Debug, Default)]
pub struct FatalParts {
    options: Options,
    records: BTreeMap<PartId, Record>,
    /// Time of the last success of a request with a part.
    sound: BTreeMap<PartId, Duration>,
}

impl FatalParts {
    /// Creates a set without suspects.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Whether a request with `parts` is expected to crash the upstream that runs it.
    ///
    /// A part all of whose crashes are explained by a fatal one that the request does not have is no reason:
    /// the two were merely beside each other. If that is wrong, the next crash shows it.
    pub fn refuses(&self, now: Duration, parts: &[PartId]) -> bool {
        parts.iter().any(|part| {
            self.fatal_record(now, *part).is_some_and(|record| {
                !self.records.keys().any(|other| {
                    !parts.contains(other)
                        && self
                            .fatal_record(now, *other)
                            .is_some_and(|other| record.is_explained_by(other))
                })
            })
        })
    }

    /// Records that an upstream crashed while it ran a request with `parts` that had not proved sound; returns what
    /// other entries have to know.
    pub fn record_crash(
        &mut self,
        now: Duration,
        parts: &[PartId],
        crash: CrashId,
    ) -> Vec<Suspect> {
        let retention = self.options.retention;
        let mut reports = Vec::new();
        for part in parts {
            self.add(now, *part, [(crash, Evidence::Shared)], retention);
            if let Some(record) = self.records.get_mut(part) {
                record.is_reported = true;
            }
            if !self.is_sound(now, *part) {
                reports.extend(self.suspect(now, *part));
            }
        }
        reports
    }

    /// Records that a request with `parts` was answered; returns what other entries have to know.
    pub fn record_success(&mut self, now: Duration, parts: &[PartId]) -> Vec<Suspect> {
        let mut reports = Vec::new();
        for part in parts {
            self.sound.insert(*part, now);
            let is_changed = self.records.get_mut(part).is_some_and(Record::clear);
            if is_changed {
                reports.extend(self.suspect(now, *part));
            }
        }
        if self.sound.len() > self.options.capacity {
            let sound = self.options.sound;
            self.sound.retain(|_, at| now.saturating_sub(*at) < sound);
        }
        reports
    }

    /// Merges what another entry knows of a part. If a request with the part was answered here recently, returns
    /// what the sender has to know.
    pub fn merge(&mut self, now: Duration, suspect: &Suspect) -> Option<Suspect> {
        let part = suspect.fingerprint;
        let crashes = suspect.crashes.iter();
        let crashes = crashes.map(|crash| (crash.id, crash.evidence));
        self.add(now, part, crashes, suspect.left);
        if !self.is_sound(now, part) || !self.records.get_mut(&part)?.clear() {
            return None;
        }
        self.suspect(now, part)
    }

    /// What is known of `part`; `None` if it is no suspect.
    pub fn suspect(&self, now: Duration, part: PartId) -> Option<Suspect> {
        let record = self.records.get(&part)?;
        let left = record.expires_at.checked_sub(now)?;
        let crashes = record.crashes.iter();
        Some(Suspect {
            fingerprint: part,
            crashes: crashes
                .map(|(id, evidence)| Crash {
                    id: *id,
                    evidence: *evidence,
                })
                .collect(),
            left,
        })
    }

    /// Whether `part` is fatal, or was beside a fatal one in all of its crashes.
    pub fn is_fatal(&self, now: Duration, part: PartId) -> bool {
        self.fatal_record(now, part).is_some()
    }

    /// Whether an upstream crashed under `part` while it ran a request of this entry.
    pub fn is_reported(&self, part: PartId) -> bool {
        self.records
            .get(&part)
            .is_some_and(|record| record.is_reported)
    }

    /// All fatal parts.
    pub fn fatal(&self, now: Duration) -> Vec<Suspect> {
        self.records
            .keys()
            .filter(|part| self.fatal_record(now, **part).is_some())
            .filter_map(|part| self.suspect(now, *part))
            .collect()
    }

    /// The record of `part` if it is fatal.
    fn fatal_record(&self, now: Duration, part: PartId) -> Option<&Record> {
        let record = self.records.get(&part)?;
        let is_fatal = record.expires_at > now
            && record.uncleared().count() >= self.options.crashes
            && !self.is_sound(now, part);
        is_fatal.then_some(record)
    }

    fn is_sound(&self, now: Duration, part: PartId) -> bool {
        self.sound
            .get(&part)
            .is_some_and(|at| now.saturating_sub(*at) < self.options.sound)
    }

    /// Adds crashes to the record of `part`.
    fn add(
        &mut self,
        now: Duration,
        part: PartId,
        crashes: impl IntoIterator<Item = (CrashId, Evidence)>,
        left: Duration,
    ) {
        self.records.retain(|_, record| record.expires_at > now);
        let left = left.min(self.options.retention);
        if left.is_zero() {
            return;
        }
        let record = self.records.entry(part).or_default();
        for (id, evidence) in crashes {
            record.add(id, evidence);
        }
        record.expires_at = record.expires_at.max(now + left);
        self.evict();
    }

    fn evict(&mut self) {
        while self.records.len() > self.options.capacity {
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, record)| (record.uncleared().count(), record.expires_at));
            let Some(part) = oldest.map(|(part, _)| *part) else {
                return;
            };
            self.records.remove(&part);
        }
    }
}
