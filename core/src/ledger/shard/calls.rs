//! What callers ask of a shard.

use super::Shard;
use crate::ledger::book::keep;
use crate::ledger::{Call, Phase, Standing};
use almondwell_schema::{CallKey, Intent, Kept, Outcome, Record, Release, RunId};
use std::time::Duration;

impl Shard {
    /// Asks to run `call` at `now`, a time since the Unix epoch; ask again after each change.
    pub fn ask(&mut self, now: Duration, call: Call) -> Standing {
        if !self.is_current {
            self.wanted = true;
            return Standing::Loading;
        }
        let known = self.book.find(call.key);
        match known.and_then(|entry| entry.standing(call)) {
            Some(standing) => standing,
            None => self.intend(now, call),
        }
    }

    pub(super) fn intend(&mut self, now: Duration, call: Call) -> Standing {
        let is_known = self.book.find(call.key).is_some();
        if !self.book.make_room(now) && !is_known {
            return Standing::Full;
        }
        let intent = Intent {
            key: call.key,
            run: call.run,
            digest: call.digest,
            stamp: now,
        };
        self.book.put(intent.clone(), Phase::Intended);
        self.push(now, intent.into());
        Standing::Writing
    }

    /// Gives up an attempt that has not reached the upstream and never will.
    pub fn give_up(&mut self, now: Duration, key: CallKey, run: RunId) {
        let was_granted = self.running.remove(&run);
        let phase = self.book.of_run(key, run).map(|entry| entry.phase.clone());
        match phase {
            Some(Phase::Granted | Phase::Intended) if self.unqueue(run) => self.book.remove(key),
            Some(Phase::Granted | Phase::Intended) => {
                self.book.set(key, Phase::Abandoned);
                self.push(now, Release { key, run }.into());
            }
            None if was_granted => self.push(now, Release { key, run }.into()),
            Some(Phase::Abandoned | Phase::Finished(_) | Phase::Unknown) | None => {}
        }
    }

    /// Takes the intent of `run` back; `false` when it may have been sent.
    pub(super) fn unqueue(&mut self, run: RunId) -> bool {
        let before = self.pending.len();
        self.pending
            .retain(|record| !matches!(record, Record::Intent(intent) if intent.run == run));
        self.pending.len() < before
    }

    /// Notes that a granted run ended with `answer`.
    pub fn finish(&mut self, now: Duration, key: CallKey, run: RunId, answer: Kept) {
        self.running.remove(&run);
        let outcome = Outcome {
            key,
            run,
            answer: keep(answer),
        };
        if self.book.of_run(key, run).is_some() {
            self.book.set(key, Phase::Finished(outcome.answer.clone()));
        }
        self.push(now, outcome.into());
    }

    /// Notes that a granted run broke off, so that nobody knows whether it ran.
    pub fn break_off(&mut self, key: CallKey, run: RunId) {
        self.running.remove(&run);
        if self.book.of_run(key, run).is_some() {
            self.book.set(key, Phase::Unknown);
        }
    }

    /// Writes outcomes without delay from here on; `true` when nothing is left to write.
    pub fn hurry(&mut self) -> bool {
        self.options.linger = Duration::ZERO;
        self.options.pace = Duration::ZERO;
        self.pending.is_empty() && self.flight.is_none()
    }

    pub(super) fn push(&mut self, now: Duration, record: Record) {
        if self.pending.is_empty() {
            self.pending_since = now;
        }
        self.pending.push(record);
    }
}
