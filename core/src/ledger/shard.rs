//! One shard: who holds it, what is durable, and what is to be written next.

use super::book::keep;
use super::{Book, Call, Phase, Reply, Standing, Step};
use almondwell_schema::{
    CallKey, Checkpoint, Intent, Kept, Outcome, Record, Release, RunId, Segment, Version,
};
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

    fn intend(&mut self, now: Duration, call: Call) -> Standing {
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
    fn unqueue(&mut self, run: RunId) -> bool {
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

    fn push(&mut self, now: Duration, record: Record) {
        if self.pending.is_empty() {
            self.pending_since = now;
        }
        self.pending.push(record);
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

    fn loaded(&mut self, now: Duration, reply: &Reply) {
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

    fn replayed(&mut self, now: Duration, reply: &Reply) {
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
    fn found(&mut self, now: Duration, reply: &Reply) -> Option<Option<Segment>> {
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

    fn segment_written(&mut self, reply: &Reply) {
        match reply {
            Reply::Written(version) => self.confirm(*version),
            Reply::Conflict => self.stage = Stage::Verify,
            Reply::Absent | Reply::Failed | Reply::Found { .. } => {}
        }
    }

    /// The segment in flight is durable.
    fn confirm(&mut self, version: Version) {
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

    fn settle(&mut self, record: &Record) {
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
    fn verified(&mut self, now: Duration, reply: &Reply) {
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
    fn release_flight(&mut self, now: Duration) {
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
    fn lose(&mut self) {
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

    fn checkpoint_written(&mut self, reply: &Reply) {
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

    fn reread(&mut self, now: Duration, reply: &Reply) {
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
