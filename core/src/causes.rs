//! Requests, and parts of prompts, that crash each upstream that begins to answer them.
//!
//! A crash is evidence against each request that was running there and the parts of its prompt, since an upstream does
//! not say which of them was at fault. A request that is answered clears all of its causes. Causes that were merely
//! beside a fatal one have no crash that it does not explain.

use crate::job::PartId;
use almondwell_schema::{Crash, CrashId, Evidence, Fingerprint, Suspect};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What may crash an upstream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// Part of a prompt, whatever else the request holds.
    Part(PartId),
    /// A request that callers repeat.
    Request(Fingerprint),
}

impl Cause {
    /// Its number, unique within its variant.
    pub const fn id(self) -> u64 {
        match self {
            Self::Part(id) | Self::Request(id) => id,
        }
    }
}

/// Limits of [`Causes`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of suspected causes. Beyond it, those with the fewest crashes are dropped first.
    pub capacity: usize,
    /// Number of uncleared crashes from which a part is fatal. Fewer would condemn a part that is seldom requested
    /// and was beside others that crashed upstreams.
    pub part_crashes: usize,
    /// Number of uncleared crashes from which a request is fatal.
    pub request_crashes: usize,
    /// Time from its last crash until a suspicion expires.
    pub retention: Duration,
    /// Time after a success for which a cause is not fatal, whatever crashed meanwhile.
    pub sound: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 512,
            part_crashes: 4,
            request_crashes: 3,
            retention: Duration::from_mins(10),
            sound: Duration::from_secs(5),
        }
    }
}

/// Number of crashes under a cause from which all entries have to know it. Most requests that were running in a crash
/// are never part of a second one, so before that only a few entries, its keepers, are told: what a crash costs then
/// does not grow with the fleet.
const WIDELY_KNOWN_CRASHES: usize = 2;

/// Whether what is known of a cause goes to all entries, and not only to its keepers.
pub fn is_known_widely(suspect: &Suspect) -> bool {
    suspect.crashes.len() >= WIDELY_KNOWN_CRASHES
}

/// Maximum number of crashes per cause: those that make it fatal, and those of requests that were running by then.
const MAX_CRASHES: usize = 32;

/// Crashes of upstreams that were running a request with one cause.
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

    /// Whether each uncleared crash was also one under the cause of `other`.
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

/// Suspected causes of crashes.
///
/// A cause is fatal if enough upstreams crashed under it and no request with it was answered since. Merging is
/// commutative and idempotent: crashes are united, and that one was cleared is final.
#[derive(Clone, Debug, Default)]
pub struct Causes {
    evicted: u64,
    options: Options,
    records: BTreeMap<Cause, Record>,
    /// Time of the last success of a request with a cause.
    sound: BTreeMap<Cause, Duration>,
}

impl Causes {
    /// Creates a set without suspects.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
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

    /// Number of suspects that were dropped so far, since there were too many.
    pub const fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Whether a request with `causes` is expected to crash the upstream that runs it.
    ///
    /// A cause all of whose crashes are explained by a fatal one that the request does not have is no reason:
    /// the two were merely beside each other. If that is wrong, the next crash shows it.
    pub fn refuses(&self, now: Duration, causes: &[Cause]) -> bool {
        causes.iter().any(|cause| {
            self.fatal_record(now, *cause).is_some_and(|record| {
                !self.records.keys().any(|other| {
                    !causes.contains(other)
                        && self
                            .fatal_record(now, *other)
                            .is_some_and(|other| record.is_explained_by(other))
                })
            })
        })
    }

    /// Records that an upstream crashed while it ran a request with `causes` that had not proved sound; returns what
    /// other entries have to know.
    pub fn record_crash(
        &mut self,
        now: Duration,
        causes: &[Cause],
        crash: CrashId,
    ) -> Vec<(Cause, Suspect)> {
        let retention = self.options.retention;
        let mut reports = Vec::new();
        for cause in causes {
            self.add(now, *cause, [(crash, Evidence::Shared)], retention);
            if let Some(record) = self.records.get_mut(cause) {
                record.is_reported = true;
            }
            if !self.is_sound(now, *cause) {
                reports.extend(self.report(now, *cause));
            }
        }
        reports
    }

    /// Records that a request with `causes` was answered; returns what other entries have to know.
    pub fn record_success(&mut self, now: Duration, causes: &[Cause]) -> Vec<(Cause, Suspect)> {
        let mut reports = Vec::new();
        for cause in causes {
            self.sound.insert(*cause, now);
            let is_changed = self.records.get_mut(cause).is_some_and(Record::clear);
            if is_changed {
                reports.extend(self.report(now, *cause));
            }
        }
        if self.sound.len() > self.options.capacity {
            let sound = self.options.sound;
            self.sound.retain(|_, at| now.saturating_sub(*at) < sound);
        }
        reports
    }

    /// Merges what another entry knows of a cause. If a request with it was answered here recently, returns what the
    /// sender has to know.
    pub fn merge(&mut self, now: Duration, cause: Cause, suspect: &Suspect) -> Option<Suspect> {
        let crashes = suspect.crashes.iter();
        let crashes = crashes.map(|crash| (crash.id, crash.evidence));
        self.add(now, cause, crashes, suspect.left);
        if !self.is_sound(now, cause) || !self.records.get_mut(&cause)?.clear() {
            return None;
        }
        self.suspect(now, cause)
    }

    /// What is known of `cause`; `None` if it is no suspect.
    pub fn suspect(&self, now: Duration, cause: Cause) -> Option<Suspect> {
        let record = self.records.get(&cause)?;
        let left = record.expires_at.checked_sub(now)?;
        let crashes = record.crashes.iter();
        Some(Suspect {
            fingerprint: cause.id(),
            crashes: crashes
                .map(|(id, evidence)| Crash {
                    id: *id,
                    evidence: *evidence,
                })
                .collect(),
            left,
        })
    }

    /// Number of crashes under `cause` that no answer has cleared.
    pub fn crashes(&self, cause: Cause) -> usize {
        self.records
            .get(&cause)
            .map_or(0, |record| record.uncleared().count())
    }

    /// Whether `cause` is fatal, or was beside a fatal one in all of its crashes.
    pub fn is_fatal(&self, now: Duration, cause: Cause) -> bool {
        self.fatal_record(now, cause).is_some()
    }

    /// Whether an upstream crashed under `cause` while it ran a request of this entry.
    pub fn is_reported(&self, cause: Cause) -> bool {
        self.records
            .get(&cause)
            .is_some_and(|record| record.is_reported)
    }

    /// All fatal causes.
    pub fn fatal(&self, now: Duration) -> BTreeSet<Cause> {
        let causes = self.records.keys().copied();
        causes.filter(|cause| self.is_fatal(now, *cause)).collect()
    }

    /// The record of `cause` if it is fatal.
    fn fatal_record(&self, now: Duration, cause: Cause) -> Option<&Record> {
        let record = self.records.get(&cause)?;
        let crashes = match cause {
            Cause::Part(_) => self.options.part_crashes,
            Cause::Request(_) => self.options.request_crashes,
        };
        let is_fatal = record.expires_at > now
            && record.uncleared().count() >= crashes
            && !self.is_sound(now, cause);
        is_fatal.then_some(record)
    }

    fn is_sound(&self, now: Duration, cause: Cause) -> bool {
        self.sound
            .get(&cause)
            .is_some_and(|at| now.saturating_sub(*at) < self.options.sound)
    }

    fn report(&self, now: Duration, cause: Cause) -> Option<(Cause, Suspect)> {
        Some((cause, self.suspect(now, cause)?))
    }

    /// Adds crashes to the record of `cause`.
    fn add(
        &mut self,
        now: Duration,
        cause: Cause,
        crashes: impl IntoIterator<Item = (CrashId, Evidence)>,
        left: Duration,
    ) {
        self.records.retain(|_, record| record.expires_at > now);
        let left = left.min(self.options.retention);
        if left.is_zero() {
            return;
        }
        let record = self.records.entry(cause).or_default();
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
            let Some(cause) = oldest.map(|(cause, _)| *cause) else {
                return;
            };
            self.records.remove(&cause);
            self.evicted += 1;
        }
    }
}
