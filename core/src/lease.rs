//! Lease of the duties: the state machine of one process, without I/O.
//!
//! The lease is one object in the store that is only ever replaced by conditional writes, so that its versions form a chain. A
//! holder counts its lease from before the write that acquired or renewed it was sent. Another process acquires it only against
//! a version that it has seen unchanged for a whole lease, counted from the response that showed it, which is later than any
//! moment from which the holder counts. No two clocks are compared. Times are those of a clock that counts suspension.

mod options;

pub use options::Options;

use almondwell_schema::{LeaseRecord, LeaseReport, Version};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of a lease; grows with each acquisition.
pub type Number = u64;

/// Writes without a known effect that are remembered. A forgotten one that takes effect counts as another holder's.
const MAX_ATTEMPTS: usize = 16;

/// A conditional write of the lease object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Version that the object must have; `None` if it must not exist.
    pub expected: Option<Version>,
    pub record: LeaseRecord,
}

/// What the process has to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Write the result of [`Lease::acquire`].
    Acquire,
    /// Read the object; a stale result is not enough.
    Read,
    /// Read the object; the result may be stale.
    ReadStale,
    /// Write the result of [`Lease::renew`].
    Renew,
    /// Ask again after this time.
    Wait(Duration),
}

/// A write that may have taken effect, or may still do so.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Attempt {
    sent_at: Duration,
    write: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Held {
    /// Time before the acquiring write was sent.
    acquired_at: Duration,
    end: Duration,
    number: Number,
}

/// The newest state of the object that is known.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Seen {
    record: Option<LeaseRecord>,
    /// Time of the response that first showed it.
    since: Duration,
    version: Option<Version>,
}

/// The lease as one process knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    address: SocketAddr,
    /// Writes that expect the version in `seen`.
    attempts: Vec<Attempt>,
    held: Option<Held>,
    holder: Box<str>,
    is_stopped: bool,
    last_read_at: Option<Duration>,
    last_write_at: Option<Duration>,
    /// Whether the effect of the last write is unknown, or another process has written.
    needs_read: bool,
    options: Options,
    seen: Option<Seen>,
    /// Last window whose report this process has sent.
    sent: Option<u64>,
}

impl Lease {
    /// State of a process that knows nothing; `holder` names its machine.
    pub const fn new(options: Options, holder: Box<str>, address: SocketAddr) -> Self {
        Self {
            address,
            attempts: Vec::new(),
            held: None,
            holder,
            is_stopped: false,
            last_read_at: None,
            last_write_at: None,
            needs_read: false,
            options,
            seen: None,
            sent: None,
        }
    }

    /// Number with which this process may begin a call now.
    pub fn number(&self, now: Duration) -> Option<Number> {
        self.held
            .filter(|held| !self.is_stopped && now + self.options.margin < held.end)
            .map(|held| held.number)
    }

    /// Time for which this process may make a call with `number` from now on, without a further renewal.
    pub fn allowed_for(&self, now: Duration, number: Number) -> Option<Duration> {
        let held = self.held.filter(|held| held.number == number);
        let held = held.filter(|_| self.number(now) == Some(number))?;
        held.end.checked_sub(now + self.options.margin)
    }

    /// Report that this process may send now, with its number: the object is known to contain it.
    pub fn report(&self, now: Duration) -> Option<(Number, &LeaseReport)> {
        let number = self.number(now)?;
        let pending = self.record()?.pending.as_ref()?;
        (Some(pending.window) > self.sent).then_some((number, pending))
    }

    /// Records that the provider has accepted the report of `window`.
    pub const fn record_sent(&mut self, window: u64) {
        self.sent = Some(window);
    }

    /// Window up to which usage has been reported, as far as this process knows.
    pub fn reported(&self) -> Option<u64> {
        let record = self.record()?;
        Some(record.reported.max(self.sent.unwrap_or(0)))
    }

    /// Window whose report the next write may add; `None` while another one has not been sent yet.
    pub fn next_window(&self) -> Option<u64> {
        let reported = self.reported()?;
        let pending = self.record()?.pending.as_ref();
        let is_sent = pending.is_none_or(|pending| pending.window <= reported);
        is_sent.then_some(reported.saturating_add(1))
    }

    /// Time by which every call of this process has to be over.
    pub fn end(&self) -> Option<Duration> {
        self.held.map(|held| held.end)
    }

    /// Whether the object names this process as the holder, whose lease may be over if the store cannot be reached.
    pub const fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// The newest record that is known.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.seen.as_ref()?.record.as_ref()
    }

    /// What to do next; `is_candidate` tells whether this process may acquire the lease.
    pub fn next(&self, now: Duration, is_candidate: bool) -> Step {
        let period = self.options.poll;
        let due = |last: Option<Duration>| last.map_or(Duration::ZERO, |last| last + period);
        let wait_until = |at: Duration, step| match at.checked_sub(now) {
            Some(wait) if !wait.is_zero() => Step::Wait(wait),
            Some(_) | None => step,
        };
        if self.is_stopped || !(is_candidate || self.is_held()) {
            return Step::Wait(period);
        }
        if self.needs_read {
            // The first read follows at once, the next ones no sooner than other calls.
            let last_read_at = self
                .last_read_at
                .filter(|at| Some(*at) >= self.last_write_at);
            return wait_until(due(last_read_at), Step::Read);
        }
        if self.is_held() {
            return wait_until(due(self.last_write_at), Step::Renew);
        }
        let read = wait_until(due(self.last_read_at), Step::ReadStale);
        let acquire = self
            .acquirable_at()
            .map(|at| wait_until(at.max(due(self.last_write_at)), Step::Acquire));
        match (acquire, read) {
            (Some(Step::Wait(acquire)), Step::Wait(read)) => Step::Wait(acquire.min(read)),
            (None | Some(Step::Wait(_)), read) => read,
            (Some(acquire), _) => acquire,
        }
    }

    /// Time from which this process may acquire the lease, if the object does not change before.
    fn acquirable_at(&self) -> Option<Duration> {
        let seen = self.seen.as_ref()?;
        let may_succeed_at_once = seen.record.as_ref().is_some_and(|record| {
            let is_recent = record.holder == self.holder || record.recent.contains(&self.holder);
            record.released && !is_recent
        });
        Some(if may_succeed_at_once {
            seen.since
        } else {
            seen.since + self.options.lease
        })
    }

    /// The write that acquires the lease. If there is no object, `known` is the highest number that this process has heard of,
    /// and `reported` is the window after which the reports begin.
    pub fn acquire(&mut self, now: Duration, random: u64, known: Number, reported: u64) -> Write {
        let empty = self.empty_record(random);
        let (seen, version) = match &self.seen {
            Some(seen) => (
                seen.record.clone().map(|record| (record, seen.since)),
                seen.version,
            ),
            None => (None, None),
        };
        let record = match seen {
            Some((previous, since)) => {
                // The holders before the previous one stopped before it acquired the lease.
                let mut recent = if now >= since + self.options.lease {
                    Vec::new()
                } else {
                    previous.recent
                };
                recent.retain(|holder| *holder != previous.holder);
                recent.push(previous.holder);
                recent.retain(|holder| *holder != self.holder);
                LeaseRecord {
                    number: previous.number.saturating_add(1),
                    recent,
                    reported: previous.reported,
                    pending: previous.pending,
                    snapshot: previous.snapshot,
                    ..empty
                }
            }
            None => LeaseRecord {
                number: known.saturating_add(1),
                reported,
                ..empty
            },
        };
        self.attempt(now, version, record)
    }

    /// The write that renews the lease and adds `report`, that of [`Self::next_window`]. `None` if the lease is not held.
    pub fn renew(
        &mut self,
        now: Duration,
        random: u64,
        report: Option<LeaseReport>,
        snapshot: Vec<u8>,
    ) -> Option<Write> {
        let held = self.held?;
        let version = self.seen.as_ref()?.version;
        let reported = self.reported()?;
        let previous = self.record()?;
        let report = match self.next_window() {
            Some(window) => report.filter(|report| report.window == window),
            None => previous.pending.clone(),
        };
        let recent = if now >= held.acquired_at + self.options.lease {
            Vec::new()
        } else {
            previous.recent.clone()
        };
        let record = LeaseRecord {
            number: held.number,
            recent,
            reported,
            pending: report,
            snapshot,
            ..self.empty_record(random)
        };
        Some(self.attempt(now, version, record))
    }

    /// Stops this process for good; returns the write that releases the lease if it holds it. No call may be running.
    pub fn release(&mut self, now: Duration, random: u64, snapshot: Vec<u8>) -> Option<Write> {
        let write = self.renew(now, random, None, snapshot);
        self.is_stopped = true;
        let Write { expected, record } = write?;
        let record = LeaseRecord {
            released: true,
            ..record
        };
        Some(Write { expected, record })
    }

    /// A record of this process with the number and content left out.
    fn empty_record(&self, random: u64) -> LeaseRecord {
        LeaseRecord {
            holder: self.holder.clone(),
            address: self.address,
            number: 0,
            write: random,
            released: false,
            recent: Vec::new(),
            reported: 0,
            pending: None,
            snapshot: Vec::new(),
        }
    }

    fn attempt(&mut self, now: Duration, expected: Option<Version>, record: LeaseRecord) -> Write {
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.remove(0);
        }
        self.attempts.push(Attempt {
            sent_at: now,
            write: record.write,
        });
        self.last_write_at = Some(now);
        Write { expected, record }
    }

    /// Records that a write took effect and gave the object this version.
    pub fn record_written(&mut self, now: Duration, write: Write, version: Version) {
        self.record_read(now, Some((version, Some(write.record))));
    }

    /// Records that the condition of a write did not hold.
    pub fn record_conflict(&mut self, write: &Write) {
        self.record_unsent(write);
        self.needs_read = true;
    }

    /// Records that a write had no effect.
    pub fn record_unsent(&mut self, write: &Write) {
        self.attempts
            .retain(|attempt| attempt.write != write.record.write);
    }

    /// Records that the effect of a write is unknown.
    pub const fn record_lost(&mut self) {
        self.needs_read = true;
    }

    /// Records that a read was sent, whether or not it succeeds.
    pub const fn record_read_sent(&mut self, now: Duration) {
        self.last_read_at = Some(now);
    }

    /// Records the object as a read returned it; without a record if none can be decoded.
    pub fn record_read(&mut self, now: Duration, found: Option<(Version, Option<LeaseRecord>)>) {
        self.needs_read = false;
        self.see(now, found);
    }

    /// Records the object as a read returned it that may be stale.
    pub fn record_stale_read(
        &mut self,
        now: Duration,
        found: Option<(Version, Option<LeaseRecord>)>,
    ) {
        let version = found.as_ref().map(|(version, _)| *version);
        // `None` is the least: an object that seems to be missing may have been created since.
        if self.seen.as_ref().is_none_or(|seen| version > seen.version) {
            self.see(now, found);
        }
    }

    fn see(&mut self, now: Duration, found: Option<(Version, Option<LeaseRecord>)>) {
        let (version, record) = found.unzip();
        let record = record.flatten();
        if self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.version == version)
        {
            // The attempts may still take effect.
            return;
        }
        let attempts = std::mem::take(&mut self.attempts);
        let own = record.as_ref().and_then(|record| {
            let attempt = attempts
                .iter()
                .find(|attempt| attempt.write == record.write);
            attempt.map(|attempt| (attempt.sent_at, record.number))
        });
        self.held = own
            .filter(|_| !self.is_stopped)
            .map(|(sent_at, number)| Held {
                acquired_at: match self.held {
                    Some(held) if held.number == number => held.acquired_at,
                    Some(_) | None => sent_at,
                },
                end: sent_at + self.options.lease,
                number,
            });
        self.seen = Some(Seen {
            record,
            since: now,
            version,
        });
    }
}
