//! The calls of one shard, bounded in number and bytes.

use super::entry::size;
use super::{Entry, FORGOTTEN, KEPT_BODY, Phase, REMEMBERED};
use almondwell_schema::{CallKey, Checkpoint, Intent, Kept, Line, Outcome, Record, Release, RunId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Bytes of all kept answers of a shard; with the entries, a checkpoint fits one object.
const KEPT_BYTES: usize = 384 << 10;

/// The calls of one shard.
#[derive(Clone, Debug)]
pub(crate) struct Book {
    ages: BTreeSet<(Duration, CallKey)>,
    capacity: usize,
    entries: BTreeMap<CallKey, Entry>,
    kept: usize,
    /// Entries with kept answers, by age.
    kept_ages: BTreeSet<(Duration, CallKey)>,
}

impl Book {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            ages: BTreeSet::new(),
            capacity,
            entries: BTreeMap::new(),
            kept: 0,
            kept_ages: BTreeSet::new(),
        }
    }

    pub(crate) fn find(&self, key: CallKey) -> Option<&Entry> {
        self.entries.get(&key)
    }

    /// The entry that `run` made for `key`.
    pub(crate) fn of_run(&self, key: CallKey, run: RunId) -> Option<&Entry> {
        self.find(key).filter(|entry| entry.intent.run == run)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn put(&mut self, intent: Intent, phase: Phase) {
        self.remove(intent.key);
        self.ages.insert((intent.stamp, intent.key));
        self.entries.insert(intent.key, Entry { intent, phase });
    }

    pub(crate) fn remove(&mut self, key: CallKey) {
        if let Some(entry) = self.entries.remove(&key) {
            let age = (entry.intent.stamp, key);
            self.kept -= entry.kept();
            self.kept_ages.remove(&age);
            self.ages.remove(&age);
        }
    }

    pub(crate) fn set(&mut self, key: CallKey, phase: Phase) {
        if let Some(entry) = self.entries.get_mut(&key) {
            let age = (entry.intent.stamp, key);
            self.kept -= entry.kept();
            entry.phase = phase;
            let kept = entry.kept();
            self.kept += kept;
            if kept > 0 {
                self.kept_ages.insert(age);
            } else {
                self.kept_ages.remove(&age);
            }
        }
        while self.kept > KEPT_BYTES
            && let Some((_, oldest)) = self.kept_ages.first().copied()
        {
            self.set(oldest, Phase::Finished(None));
        }
    }

    /// Takes in a durable record that some holder wrote; `running` are this process's runs.
    pub(crate) fn apply(&mut self, record: &Record, running: &BTreeSet<RunId>) {
        match record {
            Record::Intent(intent) => self.put(intent.clone(), opened(intent, running)),
            Record::Outcome(outcome) => self.finish(outcome),
            Record::Release(release) => self.release(release),
        }
    }

    fn finish(&mut self, outcome: &Outcome) {
        if self.of_run(outcome.key, outcome.run).is_some() {
            self.set(outcome.key, Phase::Finished(outcome.answer.clone()));
        }
    }

    fn release(&mut self, release: &Release) {
        if let Some(entry) = self.of_run(release.key, release.run) {
            match entry.phase {
                Phase::Abandoned | Phase::Unknown => self.remove(release.key),
                Phase::Finished(_) | Phase::Granted | Phase::Intended => {}
            }
        }
    }

    /// Makes room for one more call; `false` when all calls are too young to forget.
    pub(crate) fn make_room(&mut self, now: Duration) -> bool {
        while let Some((stamp, key)) = self.oldest() {
            let age = now.saturating_sub(stamp);
            let is_full = self.len() >= self.capacity;
            let limit = if is_full { REMEMBERED } else { FORGOTTEN };
            if age < limit {
                break;
            }
            self.remove(key);
        }
        self.len() < self.capacity
    }

    /// The oldest call on which nobody works.
    fn oldest(&self) -> Option<(Duration, CallKey)> {
        let is_open = |key| self.entries.get(key).is_some_and(Entry::is_open);
        self.ages.iter().find(|(_, key)| !is_open(key)).copied()
    }

    /// The durable state after segment `number`.
    ///
    /// An outcome that is not durable yet may be included, since it is true all the same.
    pub(crate) fn checkpoint(&self, number: u64) -> Checkpoint {
        let lines = self
            .ages
            .iter()
            .filter_map(|(_, key)| line(self.entries.get(key)?));
        Checkpoint {
            number,
            lines: lines.collect(),
        }
    }

    /// Replaces all calls by those of `checkpoint`.
    pub(crate) fn restore(&mut self, checkpoint: Checkpoint, running: &BTreeSet<RunId>) {
        *self = Self::new(self.capacity);
        for line in checkpoint.lines {
            let key = line.intent.key;
            let phase = opened(&line.intent, running);
            self.put(line.intent, phase);
            if line.is_finished {
                self.set(key, Phase::Finished(line.answer));
            }
        }
    }
}

/// The answer as it is kept; `None` when it is too long.
pub(crate) fn keep(answer: Kept) -> Option<Kept> {
    (size(&answer) <= KEPT_BODY).then_some(answer)
}

fn opened(intent: &Intent, running: &BTreeSet<RunId>) -> Phase {
    if running.contains(&intent.run) {
        Phase::Granted
    } else {
        Phase::Unknown
    }
}

fn line(entry: &Entry) -> Option<Line> {
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
