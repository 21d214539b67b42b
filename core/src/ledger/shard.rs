//! State machine of one shard: loads and replays its log, and writes the next segment or checkpoint.

mod calls;
mod replies;

use super::{Reply, Step, Table};
use almondwell_schema::{Intent, Outcome, Record, RunId, Segment, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Identifier of a process that holds shards; each start of the process gets a new one.
pub type Holder = u64;

/// Limits and delays of a shard.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of calls that are remembered.
    pub capacity: usize,
    /// Maximum time that outcomes wait for an intent to share a segment with.
    pub linger: Duration,
    /// Minimum time between two segment writes.
    pub min_write_interval: Duration,
    /// Delay after a failed step.
    pub retry_delay: Duration,
    /// Number of segments in the ring; two checkpoints are written per round of the ring.
    pub segments: u16,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 8192,
            linger: Duration::from_secs(1),
            min_write_interval: Duration::from_millis(160),
            retry_delay: Duration::from_millis(200),
            segments: 32,
        }
    }
}

/// Maximum number of records in a segment.
const MAX_SEGMENT_RECORDS: usize = 512;
/// Approximate maximum size of the records in a segment, in bytes.
const MAX_SEGMENT_BYTES: usize = 256 << 10;

/// One shard of the ledger.
///
/// The caller calls `step`, executes the returned operation and passes the reply to `observe`, one
/// operation at a time.
#[derive(Clone, Debug)]
pub struct Shard {
    table: Table,
    /// The segment write in flight, until it is known whether it took effect.
    in_flight: Option<Write>,
    holder: Holder,
    /// Whether all segments before `next_number` have been read. Only a successful write proves that no
    /// other holder has written a segment since.
    is_current: bool,
    /// Number of the next segment.
    next_number: u64,
    options: Options,
    pending: Vec<Record>,
    pending_since: Duration,
    resume_at: Duration,
    /// Runs that this process has granted and that have not ended.
    running: BTreeSet<RunId>,
    /// Versions of the segment objects read or written so far, by index; `None` for an index without an object.
    segment_versions: BTreeMap<u16, Option<Version>>,
    checkpoint: LastCheckpoint,
    checkpoint_in_flight: Option<Vec<u8>>,
    stage: Stage,
    /// Whether a call has asked for the shard since it was last unloaded.
    is_wanted: bool,
    last_write: Duration,
}

/// Number of the last segment that the last checkpoint includes, and version of its object.
#[derive(Clone, Copy, Debug, Default)]
struct LastCheckpoint {
    number: u64,
    version: Option<Version>,
}

#[derive(Clone, Debug)]
struct Write {
    expect: Option<Version>,
    segment: Segment,
    index: u16,
    value: Vec<u8>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Not loaded: the shard is not held and no call needs it.
    Unloaded,
    /// Reads the checkpoint.
    Load,
    /// Reads the segments after the checkpoint, up to the end of the log.
    Replay,
    /// Writes, or waits for records to write.
    Ready,
    /// Reads the checkpoint again, because the condition of its write did not hold.
    Reread,
    /// Reads the segment object whose write failed its condition.
    Verify,
}

impl Shard {
    /// Creates the state of a shard that `holder` does not hold yet.
    pub fn new(holder: Holder, options: Options) -> Self {
        Self {
            table: Table::new(options.capacity),
            in_flight: None,
            holder,
            is_current: false,
            next_number: 1,
            options,
            pending: Vec::new(),
            pending_since: Duration::ZERO,
            resume_at: Duration::ZERO,
            running: BTreeSet::new(),
            segment_versions: BTreeMap::new(),
            checkpoint: LastCheckpoint::default(),
            checkpoint_in_flight: None,
            stage: Stage::Unloaded,
            is_wanted: false,
            last_write: Duration::ZERO,
        }
    }

    /// Number of calls that are remembered.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no call is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The next operation at `now`.
    pub fn step(&mut self, now: Duration) -> Step {
        let pause = self.resume_at.saturating_sub(now);
        if !pause.is_zero() {
            return Step::Wait(pause);
        }
        match self.stage {
            Stage::Unloaded if self.is_wanted || !self.pending.is_empty() => {
                self.stage = Stage::Load;
                Step::ReadCheckpoint
            }
            Stage::Unloaded => Step::Idle,
            Stage::Load | Stage::Reread => Step::ReadCheckpoint,
            Stage::Ready => self.write(now),
            Stage::Replay | Stage::Verify => Step::ReadSegment(self.segment_index()),
        }
    }

    fn write(&mut self, now: Duration) -> Step {
        if let Some(write) = &self.in_flight {
            return write.step();
        }
        if self.next_number > self.checkpoint.number + u64::from(self.options.segments) / 2 {
            return self.write_checkpoint(now);
        }
        if self.pending.is_empty() {
            return Step::Idle;
        }
        let wait = self.due().saturating_sub(now);
        if !wait.is_zero() {
            return Step::Wait(wait);
        }
        let index = self.segment_index();
        let Some(expect) = self.segment_versions.get(&index).copied() else {
            self.stage = Stage::Replay;
            return Step::ReadSegment(index);
        };
        self.last_write = now;
        let write = self.seal(index, expect);
        let step = write.step();
        self.in_flight = Some(write);
        step
    }

    fn write_checkpoint(&mut self, now: Duration) -> Step {
        let value = if let Some(value) = self.checkpoint_in_flight.take() {
            value
        } else {
            // The replayed log may hold calls that its previous holder had already evicted.
            self.table.make_room(now);
            encode(&self.table.checkpoint(self.next_number - 1))
        };
        self.checkpoint_in_flight = Some(value.clone());
        Step::WriteCheckpoint {
            expect: self.checkpoint.version,
            value,
        }
    }

    /// Time at which the pending records are due to be written.
    fn due(&self) -> Duration {
        let has_intent = self
            .pending
            .iter()
            .any(|record| matches!(record, Record::Intent(_)));
        let earliest = self.last_write + self.options.min_write_interval;
        if has_intent {
            earliest
        } else {
            earliest.max(self.pending_since + self.options.linger)
        }
    }

    /// Moves the first pending records into a segment, up to the limits.
    fn seal(&mut self, index: u16, expect: Option<Version>) -> Write {
        let mut bytes = 0;
        let count = self
            .pending
            .iter()
            .take(MAX_SEGMENT_RECORDS)
            .take_while(|record| {
                bytes += size(record);
                bytes <= MAX_SEGMENT_BYTES
            })
            .count();
        let segment = Segment {
            number: self.next_number,
            holder: self.holder,
            records: self.pending.drain(..count).collect(),
        };
        Write {
            expect,
            index,
            value: encode(&segment),
            segment,
        }
    }

    /// Index in the ring of the next segment.
    fn segment_index(&self) -> u16 {
        u16::try_from(self.next_number % u64::from(self.options.segments)).unwrap_or(0)
    }
}

impl Write {
    fn step(&self) -> Step {
        Step::WriteSegment {
            expect: self.expect,
            index: self.index,
            value: self.value.clone(),
        }
    }
}

fn version(reply: &Reply) -> Option<Version> {
    match reply {
        Reply::Found { version, .. } | Reply::Written(version) => Some(*version),
        Reply::Absent | Reply::Conflict | Reply::Failed => None,
    }
}

fn size(record: &Record) -> usize {
    match record {
        Record::Intent(_) | Record::Release(_) => size_of::<Intent>(),
        Record::Outcome(outcome) => {
            let kept = outcome.answer.as_ref().map_or(0, super::entry::size);
            size_of::<Outcome>() + kept
        }
    }
}

fn encode(message: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_default()
}

fn decode<T: serde::de::DeserializeOwned>(value: &[u8]) -> Option<T> {
    postcard::from_bytes(value).ok()
}
