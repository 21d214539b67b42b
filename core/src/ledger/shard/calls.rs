//! Operations on a shard that serve calls.

use super::Shard;
use crate::ledger::table::keep_if_short;
use crate::ledger::{Call, Phase, Status};
use almondwell_schema::{CallKey, Intent, Kept, Outcome, Record, Release, RunId};
use std::time::Duration;

impl Shard {
    /// Asks whether `call` may run at `now`, the time since the Unix epoch; records an intent for it if
    /// there is none. The caller repeats this after each change of the shard until the answer is final.
    pub fn ask(&mut self, now: Duration, call: Call) -> Status {
        if !self.is_current {
            self.is_wanted = true;
            return Status::Loading;
        }
        let known = self.table.find(call.key);
        match known.and_then(|entry| entry.status(call)) {
            Some(status) => status,
            None => self.record_intent(now, call),
        }
    }

    pub(super) fn record_intent(&mut self, now: Duration, call: Call) -> Status {
        let is_known = self.table.find(call.key).is_some();
        if !self.table.make_room(now) && !is_known {
            return Status::Full;
        }
        let intent = Intent {
            key: call.key,
            run: call.run,
            digest: call.digest,
            stamp: now,
        };
        self.table.insert(intent.clone(), Phase::Intended);
        self.enqueue(now, intent.into());
        Status::Writing
    }

    /// Abandons an attempt that has not been sent to the upstream and never will be.
    pub fn abandon(&mut self, now: Duration, key: CallKey, run: RunId) {
        let was_granted = self.running.remove(&run);
        let phase = self
            .table
            .find_run(key, run)
            .map(|entry| entry.phase.clone());
        match phase {
            Some(Phase::Granted | Phase::Intended) if self.dequeue(run) => self.table.remove(key),
            Some(Phase::Granted | Phase::Intended) => {
                self.table.set_phase(key, Phase::Abandoned);
                self.enqueue(now, Release { key, run }.into());
            }
            None if was_granted => self.enqueue(now, Release { key, run }.into()),
            Some(Phase::Abandoned | Phase::Finished(_) | Phase::Unknown) | None => {}
        }
    }

    /// Removes the intent of `run` from the queue; `false` if it may have been written already.
    pub(super) fn dequeue(&mut self, run: RunId) -> bool {
        let previous_len = self.pending.len();
        self.pending
            .retain(|record| !matches!(record, Record::Intent(intent) if intent.run == run));
        self.pending.len() < previous_len
    }

    /// Records that a granted run finished with `answer`.
    pub fn finish(&mut self, now: Duration, key: CallKey, run: RunId, answer: Kept) {
        self.running.remove(&run);
        let outcome = Outcome {
            key,
            run,
            answer: keep_if_short(answer),
        };
        if self.table.find_run(key, run).is_some() {
            self.table
                .set_phase(key, Phase::Finished(outcome.answer.clone()));
        }
        self.enqueue(now, outcome.into());
    }

    /// Records that a granted run was interrupted, so that it is unknown whether the call ran.
    pub fn mark_unknown(&mut self, key: CallKey, run: RunId) {
        self.running.remove(&run);
        if self.table.find_run(key, run).is_some() {
            self.table.set_phase(key, Phase::Unknown);
        }
    }

    /// Disables all write delays from now on; `true` if nothing is left to write.
    pub fn flush(&mut self) -> bool {
        self.options.linger = Duration::ZERO;
        self.options.min_write_interval = Duration::ZERO;
        self.pending.is_empty() && self.in_flight.is_none()
    }

    pub(super) fn enqueue(&mut self, now: Duration, record: Record) {
        if self.pending.is_empty() {
            self.pending_since = now;
        }
        self.pending.push(record);
    }
}
