//! What a shard makes of the store's replies.

use super::{Base, Shard, Stage, decode, version};
use crate::ledger::{Book, Phase, Reply};
use almondwell_schema::{Checkpoint, Record, Release, Segment, Version};
use std::time::Duration;

impl Shard {
    /// Takes in the answer to the last step.
    pub fn observe(&mut self, now: Duration, reply: &Reply) {
        if *reply == Reply::Failed {
            self.resume = now + self.options.retry;
            return;
        }
        match self.stage {
            Stage::Away => {}
            Stage::Load => self.loaded(now, reply),
            Stage::Ready if self.flight.is_some() => self.segment_written(reply),
            Stage::Ready => self.checkpoint_written(reply),
            Stage::Replay => self.replayed(now, reply),
            Stage::Reread => self.reread(now, reply),
            Stage::Verify => self.verified(now, reply),
        }
    }

    pub(super) fn loaded(&mut self, now: Duration, reply: &Reply) {
        let checkpoint = match reply {
            Reply::Found { value, .. } => decode::<Checkpoint>(value),
            Reply::Absent => Some(Checkpoint {
                number: 0,
                lines: Vec::new(),
            }),
            Reply::Conflict | Reply::Failed | Reply::Written(_) => None,
        };
        let Some(checkpoint) = checkpoint else {
            self.resume = now + self.options.retry;
            return;
        };
        self.checkpoint = Base {
            number: checkpoint.number,
            version: version(reply),
        };
        self.next = checkpoint.number + 1;
        self.book.restore(checkpoint, &self.running);
        self.slots.clear();
        self.stage = Stage::Replay;
    }

    pub(super) fn replayed(&mut self, now: Duration, reply: &Reply) {
        let Some(found) = self.found(now, reply) else {
            return;
        };
        let number = found.as_ref().map_or(0, |segment| segment.number);
        if number < self.next {
            self.slots.insert(self.slot(), version(reply));
            self.is_current = true;
            self.stage = Stage::Ready;
            return;
        }
        if self.is_current || number > self.next {
            self.lose();
            return;
        }
        for record in found.iter().flat_map(|segment| &segment.records) {
            self.book.apply(record, &self.running);
        }
        self.slots.insert(self.slot(), version(reply));
        self.next += 1;
    }

    /// The segment that a read found, if its answer can be used.
    #[allow(clippy::option_option)]
    pub(super) fn found(&mut self, now: Duration, reply: &Reply) -> Option<Option<Segment>> {
        let found = match reply {
            Reply::Absent => Some(None),
            Reply::Found { value, .. } => decode::<Segment>(value).map(Some),
            Reply::Conflict | Reply::Failed | Reply::Written(_) => None,
        };
        if found.is_none() {
            self.resume = now + self.options.retry;
        }
        found
    }

    pub(super) fn segment_written(&mut self, reply: &Reply) {
        match reply {
            Reply::Written(version) => self.confirm(*version),
            Reply::Conflict => self.stage = Stage::Verify,
            Reply::Absent | Reply::Failed | Reply::Found { .. } => {}
        }
    }

    /// The segment in flight is durable.
    pub(super) fn confirm(&mut self, version: Version) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        self.slots.insert(flight.slot, Some(version));
        self.next += 1;
        self.stage = Stage::Ready;
        for record in &flight.segment.records {
            self.settle(record);
        }
    }

    pub(super) fn settle(&mut self, record: &Record) {
        match record {
            Record::Intent(intent) => {
                let own = self.book.of_run(intent.key, intent.run);
                if own.is_some_and(|entry| entry.phase == Phase::Intended) {
                    self.running.insert(intent.run);
                    self.book.set(intent.key, Phase::Granted);
                }
            }
            Record::Outcome(_) | Record::Release(_) => self.book.apply(record, &self.running),
        }
    }

    /// Another write has taken the number in flight: this process's own, lost before, or another's.
    pub(super) fn verified(&mut self, now: Duration, reply: &Reply) {
        let Some(found) = self.found(now, reply) else {
            return;
        };
        let own = self.flight.as_ref().map(|flight| &flight.segment);
        if found.is_some() && found.as_ref() == own {
            if let Some(version) = version(reply) {
                self.confirm(version);
            }
            return;
        }
        let is_settled = found.is_some_and(|segment| segment.number == self.next);
        if !is_settled {
            self.release_flight(now);
        }
        self.lose();
    }

    /// The ring has gone on: the intents in flight may have become durable before.
    pub(super) fn release_flight(&mut self, now: Duration) {
        let records = self
            .flight
            .iter()
            .flat_map(|flight| &flight.segment.records);
        let releases: Vec<_> = records
            .filter_map(|record| match record {
                Record::Intent(intent) => Some(Release {
                    key: intent.key,
                    run: intent.run,
                }),
                Record::Outcome(_) | Record::Release(_) => None,
            })
            .collect();
        for release in releases {
            self.push(now, release.into());
        }
    }

    /// Another process has written on: intents not yet durable are dropped, and asked for anew.
    pub(super) fn lose(&mut self) {
        let flight = self.flight.take();
        let mut records = flight.map_or_else(Vec::new, |flight| flight.segment.records);
        records.append(&mut self.pending);
        records.retain(|record| !matches!(record, Record::Intent(_)));
        self.pending = records;
        self.book = Book::new(self.options.capacity);
        self.is_current = false;
        self.checkpoint_flight = None;
        self.stage = Stage::Away;
        self.wanted = false;
    }

    pub(super) fn checkpoint_written(&mut self, reply: &Reply) {
        match reply {
            Reply::Written(version) => {
                self.checkpoint_flight = None;
                self.checkpoint = Base {
                    number: self.next - 1,
                    version: Some(*version),
                };
            }
            Reply::Conflict => self.stage = Stage::Reread,
            Reply::Absent | Reply::Failed | Reply::Found { .. } => {}
        }
    }

    pub(super) fn reread(&mut self, now: Duration, reply: &Reply) {
        let Reply::Found { value, version } = reply else {
            self.lose();
            return;
        };
        let Some(checkpoint) = decode::<Checkpoint>(value) else {
            self.resume = now + self.options.retry;
            return;
        };
        if checkpoint.number >= self.next {
            self.lose();
            return;
        }
        self.checkpoint = Base {
            number: checkpoint.number,
            version: Some(*version),
        };
        self.checkpoint_flight = None;
        self.stage = Stage::Ready;
    }
}
