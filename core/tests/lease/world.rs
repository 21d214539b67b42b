//! Processes, the store and calls on their way, and the events that change them.

use crate::provider::{Act, Provider};
use almondwell_core::lease::{Lease, Options, Step, Write};
use almondwell_schema::{LeaseRecord, LeaseReport};
use std::collections::BTreeMap;
use std::time::Duration;

/// Unit of the model's time, in which any number of events happen.
pub(crate) const TICK: Duration = Duration::from_secs(1);
pub(crate) const LEASE_TICKS: u32 = 3;
/// Longest time that a call takes to arrive, which is the margin before the end of a lease.
pub(crate) const TRANSIT_TICKS: u32 = 1;
pub(crate) const PROCESSES: usize = 3;
/// The model's numbers differ in their lengths, by which the hash of a state tells them apart.
pub(crate) const FIRST_RANDOM: u64 = 1_000_000_000_000;
pub(crate) const RANDOM_DIGITS: usize = 13;
pub(crate) const FIRST_VERSION: u64 = 1_000_000_000;
pub(crate) const VERSION_DIGITS: usize = 10;
pub(crate) const FIRST_WINDOW: u64 = 1_000_000;
pub(crate) const WINDOW_DIGITS: usize = 7;
pub(crate) const FIRST_NUMBER: u64 = 10_000;
pub(crate) const NUMBER_DIGITS: usize = 5;
pub(crate) const FIRST_TICK: u32 = 100;
pub(crate) const TIME_DIGITS: usize = 3;

pub(crate) type Version = u64;
pub(crate) type Found = Option<(Version, LeaseRecord)>;

/// What the model explores.
#[derive(Clone, Copy)]
pub(crate) struct Bounds {
    pub(crate) is_fenced: bool,
    /// Writes and reads whose responses are lost.
    pub(crate) lost: u32,
    pub(crate) releases: u32,
    pub(crate) restarts: u32,
    pub(crate) ticks: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            is_fenced: false,
            lost: 0,
            releases: 0,
            restarts: 0,
            ticks: 1,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Process {
    /// The write whose response it waits for.
    pub(crate) call: Option<Write>,
    pub(crate) lease: Lease,
}

/// A write that the store has not applied yet, or whose response has not been delivered.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) is_delayed: bool,
    pub(crate) write: Write,
    /// Version after the write, or an error if its condition did not hold; `None` before the store has handled it.
    pub(crate) result: Option<Result<Version, ()>>,
}

#[derive(Clone, Debug)]
pub(crate) struct World {
    pub(crate) acts: Vec<Act>,
    pub(crate) bounds_left: (u32, u32, u32),
    /// Earlier state of the object, which a stale read may return.
    pub(crate) earlier: Found,
    /// Next random number.
    pub(crate) next: u64,
    pub(crate) now: u32,
    pub(crate) object: Found,
    pub(crate) processes: Vec<Process>,
    pub(crate) provider: Provider,
    pub(crate) writes: Vec<Sent>,
}

/// One event of the model.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// A call begins, with the report that is due or without one.
    Act(usize, bool),
    /// A call arrives, and the response is received.
    Arrive(usize),
    Apply(usize),
    /// The response to a write takes a tick or more.
    Delay(usize),
    Deliver(usize),
    Lose(usize),
    LoseAct(usize),
    Release(usize),
    Restart(usize),
    Sample(usize, bool),
    Tick,
    Write(usize),
}

pub(crate) fn time(ticks: u32) -> Duration {
    TICK * ticks
}

pub(crate) fn process(index: usize) -> Process {
    let options = Options {
        lease: time(LEASE_TICKS),
        margin: time(TRANSIT_TICKS),
        poll: TICK,
    };
    let name = format!("m{index}");
    Process {
        call: None,
        lease: Lease::new(options, name.into(), ([127, 0, 0, 1], 1).into()),
    }
}

impl World {
    /// A world in which the first process holds the lease, has acted lately, and could not renew it for two ticks. The others
    /// have seen its last renewal, whose response it has received at once or not yet.
    pub(crate) fn new(bounds: &Bounds, is_confirmed: bool) -> Self {
        let mut world = Self {
            acts: Vec::new(),
            bounds_left: (u32::MAX, 0, 0),
            earlier: None,
            next: FIRST_RANDOM,
            now: FIRST_TICK,
            object: None,
            processes: (0..PROCESSES).map(process).collect(),
            provider: Provider::default(),
            writes: Vec::new(),
        };
        let first = &mut world.processes[0].lease;
        first.record_stale_read(Duration::ZERO, None);
        let acquisition = [
            Event::Write(0),
            Event::Apply(0),
            Event::Deliver(0),
            Event::Tick,
        ];
        let renewal = [
            Event::Write(0),
            Event::Apply(0),
            Event::Sample(1, false),
            Event::Sample(2, false),
        ];
        let confirmation: &[_] = if is_confirmed {
            &[Event::Deliver(0)]
        } else {
            &[]
        };
        let waiting = [
            Event::Act(0, false),
            Event::Tick,
            Event::Arrive(0),
            Event::Tick,
        ];
        for event in [&acquisition, &renewal, confirmation, &waiting].concat() {
            world.apply(event, false).unwrap();
        }
        world.bounds_left = (bounds.lost, bounds.releases, bounds.restarts);
        world
    }

    pub(crate) fn time(&self) -> Duration {
        time(self.now)
    }

    /// Result of a write that the store has handled: its version, or an error after a conflict.
    pub(crate) fn result(&self, write: &Write) -> Option<Result<Version, ()>> {
        let same = |sent: &&Sent| sent.write.record.write == write.record.write;
        self.writes.iter().find(same)?.result
    }

    pub(crate) fn apply(&mut self, event: Event, is_fenced: bool) -> Result<(), String> {
        let now = self.time();
        match event {
            Event::Act(process, has_report) => {
                let lease = &self.processes[process].lease;
                let report = lease.report(now).filter(|_| has_report);
                if let Some(number) = lease.number(now) {
                    self.acts.push(Act {
                        has_sender: true,
                        number,
                        process,
                        report: report.map(|(_, report)| report.clone()),
                        sent_at: self.now,
                    });
                }
            }
            Event::Arrive(index) => {
                let act = self.acts.remove(index);
                let window = act.report.as_ref().map(|report| report.window);
                let window = window.filter(|_| act.has_sender);
                let process = act.process;
                let is_accepted = self.accept(act, is_fenced)?;
                if let Some(window) = window.filter(|_| is_accepted) {
                    self.processes[process].lease.record_sent(window);
                }
            }
            Event::Apply(index) => {
                let write = &self.writes[index].write;
                let version = self.object.as_ref().map(|(version, _)| *version);
                let result = (write.expected == version)
                    .then(|| version.unwrap_or(FIRST_VERSION) + 1)
                    .ok_or(());
                if let Ok(version) = result {
                    let object = Some((version, write.record.clone()));
                    self.earlier = std::mem::replace(&mut self.object, object);
                }
                self.writes[index].result = Some(result);
            }
            Event::Delay(index) => self.writes[index].is_delayed = true,
            Event::Deliver(index) => self.deliver(index),
            Event::Lose(index) => {
                self.bounds_left.0 -= 1;
                let process = &mut self.processes[index];
                process.call = None;
                process.lease.record_lost();
            }
            Event::LoseAct(index) => {
                self.bounds_left.0 -= 1;
                self.acts.remove(index);
            }
            Event::Release(index) => {
                self.bounds_left.1 -= 1;
                let write = self.processes[index]
                    .lease
                    .release(now, self.next, Vec::new());
                self.send(index, write);
            }
            Event::Restart(index) => {
                self.bounds_left.2 -= 1;
                self.processes[index] = process(index);
                for act in self.acts.iter_mut().filter(|act| act.process == index) {
                    act.has_sender = false;
                }
            }
            Event::Sample(index, is_earlier) => {
                let is_stale = self.processes[index].lease.next(now, true) == Step::ReadStale;
                let found = if is_earlier {
                    self.earlier.clone()
                } else {
                    self.object.clone()
                };
                let lease = &mut self.processes[index].lease;
                if is_stale {
                    lease.record_stale_read(now, found.map(readable));
                } else {
                    lease.record_read(now, found.map(readable));
                }
            }
            Event::Tick => {
                let is_calling = self.processes.iter().any(|process| process.call.is_some());
                self.bounds_left.0 -= u32::from(is_calling);
                self.now += 1;
            }
            Event::Write(index) => {
                let lease = &mut self.processes[index].lease;
                let write = if lease.next(now, true) == Step::Acquire {
                    Some(lease.acquire(now, self.next, FIRST_NUMBER, FIRST_WINDOW))
                } else {
                    // Each process counts otherwise.
                    let counts = BTreeMap::from([("w".into(), self.next)]);
                    let report = lease
                        .next_window()
                        .map(|window| LeaseReport { window, counts });
                    lease.renew(now, self.next, report, Vec::new())
                };
                self.send(index, write);
            }
        }
        self.forget();
        Ok(())
    }

    pub(crate) fn send(&mut self, index: usize, write: Option<Write>) {
        self.next += 1;
        if let Some(write) = write {
            self.processes[index].call = Some(write.clone());
            self.writes.push(Sent {
                is_delayed: false,
                write,
                result: None,
            });
        }
    }

    pub(crate) fn deliver(&mut self, index: usize) {
        let now = self.time();
        let Some(write) = self.processes[index].call.take() else {
            return;
        };
        let result = self.result(&write);
        let lease = &mut self.processes[index].lease;
        match result {
            Some(Ok(version)) => lease.record_written(now, write, version),
            Some(Err(())) | None => lease.record_conflict(&write),
        }
    }
}

/// An object whose record can be decoded.
fn readable((version, record): (Version, LeaseRecord)) -> (Version, Option<LeaseRecord>) {
    (version, Some(record))
}
