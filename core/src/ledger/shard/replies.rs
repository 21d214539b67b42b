//! Transitions of a shard on the store's replies.

use super::{LastCheckpoint, Shard, Stage, decode, version};
use crate::ledger::{Phase, Reply, Table};
use almondwell_schema::{Checkpoint, Record, Release, Segment, Version};
use std::time::Duration;

impl Shard {
    /// Applies the reply to the last step.
    pub fn observe(&mut self, now: Duration, reply: &Reply) {
        if *reply == Reply::Failed {
            self.resume_at = now + self.options.retry_delay;
            return;
        }
        match self.stage {
            Stage::Unloaded => {}
            Stage::Load => self.handle_load(now, reply),
            Stage::Ready if self.in_flight.is_some() => self.handle_segment_write(reply),
            Stage::Ready => self.handle_checkpoint_write(reply),
            Stage::Replay => self.handle_replay(now, reply),
            Stage::Reread => self.handle_reread(now, reply),
            Stage::Verify => self.handle_verify(now, reply),
        }
    }

    pub(super) fn handle_load(&mut self, now: Duration, reply: &Reply) {
        let checkpoint = match reply {
            Reply::Found { value, .. } => decode::<Checkpoint>(value),
            Reply::Absent => Some(Checkpoint {
                number: 0,
                lines: Vec::new(),
            }),
            Reply::Conflict | Reply::Failed | Reply::Written(_) => None,
        };
        let Some(checkpoint) = checkpoint else {
            self.resume_at = now + self.options.retry_delay;
            return;
        };
        self.checkpoint = LastCheckpoint {
            number: checkpoint.number,
            version: version(reply),
        };
        self.next_number = checkpoint.number + 1;
        self.table.restore(checkpoint, &self.running);
        self.segment_versions.clear();
        self.stage = Stage::Replay;
    }

    pub(super) fn handle_replay(&mut self, now: Duration, reply: &Reply) {
        let Some(found) = self.found(now, reply) else {
            return;
        };
        let number = found.as_ref().map_or(0, |segment| segment.number);
        if number < self.next_number {
            self.segment_versions
                .insert(self.segment_index(), version(reply));
            self.is_current = true;
            self.stage = Stage::Ready;
            return;
        }
        // Another holder has written since the log was read to its end, or the ring has already overwritten
        // the next segment.
        if self.is_current || number > self.next_number {
            self.step_down();
            return;
        }
        for record in found.iter().flat_map(|segment| &segment.records) {
            self.table.apply(record, &self.running);
        }
        self.segment_versions
            .insert(self.segment_index(), version(reply));
        self.next_number += 1;
    }

    /// The segment that a read found, `Some(None)` if there is none at its index; `None` if the reply is unusable.
    #[allow(clippy::option_option)]
    pub(super) fn found(&mut self, now: Duration, reply: &Reply) -> Option<Option<Segment>> {
        let found = match reply {
            Reply::Absent => Some(None),
            Reply::Found { value, .. } => decode::<Segment>(value).map(Some),
            Reply::Conflict | Reply::Failed | Reply::Written(_) => None,
        };
        if found.is_none() {
            self.resume_at = now + self.options.retry_delay;
        }
        found
    }

    pub(super) fn handle_segment_write(&mut self, reply: &Reply) {
        match reply {
            Reply::Written(version) => self.confirm(*version),
            Reply::Conflict => self.stage = Stage::Verify,
            Reply::Absent | Reply::Failed | Reply::Found { .. } => {}
        }
    }

    /// Applies the segment in flight, which has become durable.
    pub(super) fn confirm(&mut self, version: Version) {
        let Some(write) = self.in_flight.take() else {
            return;
        };
        self.segment_versions.insert(write.index, Some(version));
        self.next_number += 1;
        self.stage = Stage::Ready;
        for record in &write.segment.records {
            self.apply_confirmed(record);
        }
    }

    pub(super) fn apply_confirmed(&mut self, record: &Record) {
        match record {
            Record::Intent(intent) => {
                let own = self.table.find_run(intent.key, intent.run);
                if own.is_some_and(|entry| entry.phase == Phase::Intended) {
                    self.running.insert(intent.run);
                    self.table.set_phase(intent.key, Phase::Granted);
                }
            }
            Record::Outcome(_) | Record::Release(_) => self.table.apply(record, &self.running),
        }
    }

    /// Finds out which write changed the segment object: an earlier one of the same segment by this process
    /// whose reply was lost, or one by another holder.
    pub(super) fn handle_verify(&mut self, now: Duration, reply: &Reply) {
        let Some(found) = self.found(now, reply) else {
            return;
        };
        let own = self.in_flight.as_ref().map(|write| &write.segment);
        if found.is_some() && found.as_ref() == own {
            if let Some(version) = version(reply) {
                self.confirm(version);
            }
            return;
        }
        let is_number_taken = found.is_some_and(|segment| segment.number == self.next_number);
        if !is_number_taken {
            self.release_in_flight(now);
        }
        self.step_down();
    }

    /// Queues releases for the intents in flight. The ring has moved past the number of their segment, which
    /// may have become durable before it was overwritten.
    pub(super) fn release_in_flight(&mut self, now: Duration) {
        let records = self
            .in_flight
            .iter()
            .flat_map(|write| &write.segment.records);
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
            self.enqueue(now, release.into());
        }
    }

    /// Gives up the shard, since another holder has written to it. Intents that are not durable yet are
    /// dropped, so their callers have to ask again; other pending records are kept.
    pub(super) fn step_down(&mut self) {
        let in_flight = self.in_flight.take();
        let mut records = in_flight.map_or_else(Vec::new, |write| write.segment.records);
        records.append(&mut self.pending);
        records.retain(|record| !matches!(record, Record::Intent(_)));
        self.pending = records;
        self.table = Table::new(self.options.capacity);
        self.is_current = false;
        self.checkpoint_in_flight = None;
        self.stage = Stage::Unloaded;
        self.is_wanted = false;
    }

    pub(super) fn handle_checkpoint_write(&mut self, reply: &Reply) {
        match reply {
            Reply::Written(version) => {
                self.checkpoint_in_flight = None;
                self.checkpoint = LastCheckpoint {
                    number: self.next_number - 1,
                    version: Some(*version),
                };
            }
            Reply::Conflict => self.stage = Stage::Reread,
            Reply::Absent | Reply::Failed | Reply::Found { .. } => {}
        }
    }

    pub(super) fn handle_reread(&mut self, now: Duration, reply: &Reply) {
        let Reply::Found { value, version } = reply else {
            self.step_down();
            return;
        };
        let Some(checkpoint) = decode::<Checkpoint>(value) else {
            self.resume_at = now + self.options.retry_delay;
            return;
        };
        if checkpoint.number >= self.next_number {
            self.step_down();
            return;
        }
        self.checkpoint = LastCheckpoint {
            number: checkpoint.number,
            version: Some(*version),
        };
        self.checkpoint_in_flight = None;
        self.stage = Stage::Ready;
    }
}
