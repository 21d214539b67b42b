//! One shard: who holds it, what is durable, and what is to be written next.

mod calls;
mod replies;

use super::{Book, Reply, Step};
use almondwell_schema::{Intent, Outcome, Record, RunId, Segment, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Identifier of one process that holds shards, new with each start.
pub type Holder = u64;

/// Limits and times of a shard.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Calls that are remembered at most.
    pub capacity: usize,
    /// Time that outcomes wait for an intent to ride with.
    pub linger: Duration,
    /// Least time between two segments.
    pub pace: Duration,
    /// Pause after a failed step.
    pub retry: Duration,
    /// Slots of the ring; a checkpoint is written twice a round.
    pub slots: u16,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 8192,
            linger: Duration::from_secs(1),
            pace: Duration::from_millis(160),
            retry: Duration::from_millis(200),
            slots: 32,
        }
    }
}

/// Records of one segment at most.
const MAX_RECORDS: usize = 512;
/// Bytes of one segment's kept answers at most, nearly.
const MAX_BYTES: usize = 256 << 10;

/// One shard of the ledger.
///
/// The caller runs `step`, does what it says and passes the answer to `observe`, one at a time.
#[derive(Clone, Debug)]
pub struct Shard {
    book: Book,
    /// The segment whose write has not been answered for sure.
    flight: Option<Flight>,
    holder: Holder,
    /// Whether all segments before `next` have been read; only a write shows that none came since.
    is_current: bool,
    /// Number of the next segment.
    next: u64,
    options: Options,
    pending: Vec<Record>,
    pending_since: Duration,
    resume: Duration,
    /// Runs that this process has granted and not settled.
    running: BTreeSet<RunId>,
    /// Known versions of the slots; `None` for a slot without an object.
    slots: BTreeMap<u16, Option<Version>>,
    checkpoint: Base,
    checkpoint_flight: Option<Vec<u8>>,
    stage: Stage,
    wanted: bool,
    written: Duration,
}

/// The last checkpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Base {
    number: u64,
    version: Option<Version>,
}

#[derive(Clone, Debug)]
struct Flight {
    expect: Option<Version>,
    segment: Segment,
    slot: u16,
    value: Vec<u8>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Not held and nobody needs it.
    Away,
    /// Reads the checkpoint.
    Load,
    /// Reads on in the log, up to its end.
    Replay,
    /// Writes, or waits for something to write.
    Ready,
    /// Reads the checkpoint after another holder has written it.
    Reread,
    /// Reads the slot of a write whose condition did not hold.
    Verify,
}

impl Shard {
    /// A shard that `holder` does not hold yet.
    pub fn new(holder: Holder, options: Options) -> Self {
        Self {
            book: Book::new(options.capacity),
            flight: None,
            holder,
            is_current: false,
            next: 1,
            options,
            pending: Vec::new(),
            pending_since: Duration::ZERO,
            resume: Duration::ZERO,
            running: BTreeSet::new(),
            slots: BTreeMap::new(),
            checkpoint: Base::default(),
            checkpoint_flight: None,
            stage: Stage::Away,
            wanted: false,
            written: Duration::ZERO,
        }
    }

    /// Calls that are remembered.
    pub fn len(&self) -> usize {
        self.book.len()
    }

    /// Whether no call is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The next thing to do at `now`.
    pub fn step(&mut self, now: Duration) -> Step {
        let pause = self.resume.saturating_sub(now);
        if !pause.is_zero() {
            return Step::Wait(pause);
        }
        match self.stage {
            Stage::Away if self.wanted || !self.pending.is_empty() => {
                self.stage = Stage::Load;
                Step::ReadCheckpoint
            }
            Stage::Away => Step::Idle,
            Stage::Load | Stage::Reread => Step::ReadCheckpoint,
            Stage::Ready => self.write(now),
            Stage::Replay | Stage::Verify => Step::ReadSegment(self.slot()),
        }
    }

    fn write(&mut self, now: Duration) -> Step {
        if let Some(flight) = &self.flight {
            return flight.step();
        }
        if self.next > self.checkpoint.number + u64::from(self.options.slots) / 2 {
            return self.write_checkpoint(now);
        }
        if self.pending.is_empty() {
            return Step::Idle;
        }
        let wait = self.due().saturating_sub(now);
        if !wait.is_zero() {
            return Step::Wait(wait);
        }
        let slot = self.slot();
        let Some(expect) = self.slots.get(&slot).copied() else {
            self.stage = Stage::Replay;
            return Step::ReadSegment(slot);
        };
        self.written = now;
        let flight = self.seal(slot, expect);
        let step = flight.step();
        self.flight = Some(flight);
        step
    }

    fn write_checkpoint(&mut self, now: Duration) -> Step {
        let value = if let Some(value) = self.checkpoint_flight.take() {
            value
        } else {
            // What was read may be more than its holder still remembered.
            self.book.make_room(now);
            encode(&self.book.checkpoint(self.next - 1))
        };
        self.checkpoint_flight = Some(value.clone());
        Step::WriteCheckpoint {
            expect: self.checkpoint.version,
            value,
        }
    }

    /// When the pending records are to be written.
    fn due(&self) -> Duration {
        let has_intent = self
            .pending
            .iter()
            .any(|record| matches!(record, Record::Intent(_)));
        let paced = self.written + self.options.pace;
        if has_intent {
            paced
        } else {
            paced.max(self.pending_since + self.options.linger)
        }
    }

    /// Takes the first pending records into a segment.
    fn seal(&mut self, slot: u16, expect: Option<Version>) -> Flight {
        let mut bytes = 0;
        let fit = self
            .pending
            .iter()
            .take(MAX_RECORDS)
            .take_while(|record| {
                bytes += size(record);
                bytes <= MAX_BYTES
            })
            .count();
        let segment = Segment {
            number: self.next,
            holder: self.holder,
            records: self.pending.drain(..fit).collect(),
        };
        Flight {
            expect,
            slot,
            value: encode(&segment),
            segment,
        }
    }

    fn slot(&self) -> u16 {
        u16::try_from(self.next % u64::from(self.options.slots)).unwrap_or(0)
    }
}

impl Flight {
    fn step(&self) -> Step {
        Step::WriteSegment {
            expect: self.expect,
            slot: self.slot,
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
