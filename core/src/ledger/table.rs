//! The calls of one shard, bounded in number and bytes.

use super::entry::size;
use super::{Entry, MAX_KEPT_ANSWER_BYTES, MAX_RETENTION, MIN_RETENTION, Phase};
use almondwell_schema::{CallKey, Checkpoint, Intent, Kept, Line, Outcome, Record, Release, RunId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum size of all kept answers of a shard, in bytes. It is chosen so that a checkpoint, which
/// holds the entries too, fits one object.
const MAX_TOTAL_KEPT_BYTES: usize = 384 << 10;

/// The calls of one shard.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    by_age: BTreeSet<(Duration, CallKey)>,
    capacity: usize,
    entries: BTreeMap<CallKey, Entry>,
    kept_bytes: usize,
    /// Calls with kept answers, oldest first.
    kept_by_age: BTreeSet<(Duration, CallKey)>,
}

impl Table {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            by_age: BTreeSet::new(),
            capacity,
            entries: BTreeMap::new(),
            kept_bytes: 0,
            kept_by_age: BTreeSet::new(),
        }
    }

    pub(crate) fn find(&self, key: CallKey) -> Option<&Entry> {
        self.entries.get(&key)
    }

    /// The entry of `key`, if it was made by `run`.
    pub(crate) fn find_run(&self, key: CallKey, run: RunId) -> Option<&Entry> {
        self.find(key).filter(|entry| entry.intent.run == run)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn insert(&mut self, intent: Intent, phase: Phase) {
        self.remove(intent.key);
        self.by_age.insert((intent.stamp, intent.key));
        self.entries.insert(intent.key, Entry { intent, phase });
    }

    pub(crate) fn remove(&mut self, key: CallKey) {
        if let Some(entry) = self.entries.remove(&key) {
            let age = (entry.intent.stamp, key);
            self.kept_bytes -= entry.kept_bytes();
            self.kept_by_age.remove(&age);
            self.by_age.remove(&age);
        }
    }

    pub(crate) fn set_phase(&mut self, key: CallKey, phase: Phase) {
        if let Some(entry) = self.entries.get_mut(&key) {
            let age = (entry.intent.stamp, key);
            self.kept_bytes -= entry.kept_bytes();
            entry.phase = phase;
            let kept_bytes = entry.kept_bytes();
            self.kept_bytes += kept_bytes;
            if kept_bytes > 0 {
                self.kept_by_age.insert(age);
            } else {
                self.kept_by_age.remove(&age);
            }
        }
        while self.kept_bytes > MAX_TOTAL_KEPT_BYTES
            && let Some((_, oldest)) = self.kept_by_age.first().copied()
        {
            self.set_phase(oldest, Phase::Finished(None));
        }
    }

    /// Applies a durable record written by any holder; `running` are this process's runs.
    pub(crate) fn apply(&mut self, record: &Record, running: &BTreeSet<RunId>) {
        match record {
            Record::Intent(intent) => self.insert(intent.clone(), initial_phase(intent, running)),
            Record::Outcome(outcome) => self.finish(outcome),
            Record::Release(release) => self.release(release),
        }
    }

    fn finish(&mut self, outcome: &Outcome) {
        if self.find_run(outcome.key, outcome.run).is_some() {
            self.set_phase(outcome.key, Phase::Finished(outcome.answer.clone()));
        }
    }

    fn release(&mut self, release: &Release) {
        if let Some(entry) = self.find_run(release.key, release.run) {
            match entry.phase {
                Phase::Abandoned | Phase::Unknown => self.remove(release.key),
                Phase::Finished(_) | Phase::Granted | Phase::Intended => {}
            }
        }
    }

    /// Evicts calls past their retention time; `false` if there is still no room for one more call.
    pub(crate) fn make_room(&mut self, now: Duration) -> bool {
        while let Some((stamp, key)) = self.oldest() {
            let age = now.saturating_sub(stamp);
            let is_full = self.len() >= self.capacity;
            let limit = if is_full {
                MIN_RETENTION
            } else {
                MAX_RETENTION
            };
            if age < limit {
                break;
            }
            self.remove(key);
        }
        self.len() < self.capacity
    }

    /// The oldest call that is not open.
    fn oldest(&self) -> Option<(Duration, CallKey)> {
        let is_open = |key| self.entries.get(key).is_some_and(Entry::is_open);
        self.by_age.iter().find(|(_, key)| !is_open(key)).copied()
    }

    /// The durable state after segment `number`.
    ///
    /// It may include an outcome that is not durable yet; this is safe, since the call has finished in any case.
    pub(crate) fn checkpoint(&self, number: u64) -> Checkpoint {
        let lines = self
            .by_age
            .iter()
            .filter_map(|(_, key)| checkpoint_line(self.entries.get(key)?));
        Checkpoint {
            number,
            lines: lines.collect(),
        }
    }

    /// Replaces all calls with those of `checkpoint`.
    pub(crate) fn restore(&mut self, checkpoint: Checkpoint, running: &BTreeSet<RunId>) {
        *self = Self::new(self.capacity);
        for line in checkpoint.lines {
            let key = line.intent.key;
            let phase = initial_phase(&line.intent, running);
            self.insert(line.intent, phase);
            if line.is_finished {
                self.set_phase(key, Phase::Finished(line.answer));
            }
        }
    }
}

/// Returns `answer` if it is short enough to keep, else `None`.
pub(crate) fn keep_if_short(answer: Kept) -> Option<Kept> {
    (size(&answer) <= MAX_KEPT_ANSWER_BYTES).then_some(answer)
}

fn initial_phase(intent: &Intent, running: &BTreeSet<RunId>) -> Phase {
    if running.contains(&intent.run) {
        Phase::Granted
    } else {
        Phase::Unknown
    }
}

fn checkpoint_line(entry: &Entry) -> Option<Line> {
    let (is_finished, answer) = match &entry.phase {
        Phase::Intended => return None,
        Phase::Finished(answer) => (true, answer.clone()),
        Phase::Abandoned | Phase::Granted | Phase::Unknown => (false, None),
    };
    Some(Line {
        intent: entry.intent.clone(),
        is_finished,
        answer,
    })
}
