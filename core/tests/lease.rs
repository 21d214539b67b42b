//! Model of processes that hold the lease of the duties, in all interleavings of their calls and faults.

mod support;

use almondwell_core::lease::{Lease, Number, Options, Step, Write};
use almondwell_schema::{LeaseRecord, LeaseReport};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

/// Unit of the model's time, in which any number of events happen.
const TICK: Duration = Duration::from_secs(1);
const LEASE_TICKS: u32 = 3;
/// Longest time that a call takes to arrive, which is the margin before the end of a lease.
const TRANSIT_TICKS: u32 = 1;
const PROCESSES: usize = 3;
const RANDOM_RUNS: u64 = 40_000;
const RANDOM_STEPS: u32 = 300;
/// The model's numbers differ in their lengths, by which the hash of a state tells them apart.
const FIRST_RANDOM: u64 = 1_000_000_000_000;
const RANDOM_DIGITS: usize = 13;
const FIRST_VERSION: u64 = 1_000_000_000;
const VERSION_DIGITS: usize = 10;
const FIRST_WINDOW: u64 = 1_000_000;
const WINDOW_DIGITS: usize = 7;
const FIRST_NUMBER: u64 = 10_000;
const NUMBER_DIGITS: usize = 5;
const FIRST_TICK: u32 = 100;
const TIME_DIGITS: usize = 3;

cases! {
    no_interleaving_of_delayed_writes_breaks_an_invariant = explore(&Bounds { lost: 1, ..Bounds::default() });
    no_interleaving_of_releases_breaks_an_invariant = explore(&Bounds { releases: 1, ..Bounds::default() });
    no_interleaving_of_restarts_breaks_an_invariant = explore(&Bounds { restarts: 1, ..Bounds::default() });
    no_interleaving_breaks_an_invariant_where_the_provider_checks_numbers =
        explore(&Bounds { is_fenced: true, lost: 1, ..Bounds::default() });
    no_random_run_breaks_an_invariant = run_randomly(false);
    no_random_run_breaks_an_invariant_where_the_provider_checks_numbers = run_randomly(true);
    a_released_lease_is_acquired_at_once = succeeds_at_once();
    a_lease_is_kept_through_a_lost_response = keeps_after_lost_response();
}

type Version = u64;
type Found = Option<(Version, LeaseRecord)>;

/// What the model explores.
#[derive(Clone, Copy)]
struct Bounds {
    is_fenced: bool,
    /// Writes and reads whose responses are lost.
    lost: u32,
    releases: u32,
    restarts: u32,
    ticks: u32,
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
struct Process {
    /// The write whose response it waits for.
    call: Option<Write>,
    lease: Lease,
}

/// A write that the store has not applied yet, or whose response has not been delivered.
#[derive(Clone, Debug)]
struct Sent {
    is_delayed: bool,
    write: Write,
    /// Version after the write, or `None` in it if its condition did not hold.
    result: Option<Option<Version>>,
}

/// A call on its way to the provider.
#[derive(Clone, Debug)]
struct Act {
    number: Number,
    process: usize,
    report: Option<LeaseReport>,
    sent_at: u32,
}

#[derive(Clone, Debug, Default)]
struct Provider {
    /// Latest calls in order, with the time of each.
    acts: Vec<(usize, u32)>,
    highest: Number,
    /// Machine that sent each number.
    owners: BTreeMap<Number, usize>,
    reports: BTreeMap<u64, LeaseReport>,
}

#[derive(Clone, Debug)]
struct World {
    acts: Vec<Act>,
    bounds_left: (u32, u32, u32),
    /// Earlier state of the object, which a stale read may return.
    earlier: Found,
    /// Next random number.
    next: u64,
    now: u32,
    object: Found,
    processes: Vec<Process>,
    provider: Provider,
    writes: Vec<Sent>,
}

/// One event of the model.
#[derive(Clone, Copy, Debug)]
enum Event {
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

fn time(ticks: u32) -> Duration {
    TICK * ticks
}

fn process(index: usize) -> Process {
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
    fn new(bounds: &Bounds, is_confirmed: bool) -> Self {
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

    fn time(&self) -> Duration {
        time(self.now)
    }

    /// Events that can happen now.
    fn events(&self, horizon: u32) -> Vec<Event> {
        let mut events = Vec::new();
        let (lost, releases, restarts) = self.bounds_left;
        // The response to a write concerns its sender alone, so that nothing else needs to happen before it arrives, is delayed
        // or is lost.
        for (index, sent) in self.writes.iter().enumerate() {
            if sent.result.is_none() || sent.is_delayed {
                continue;
            }
            for (process, state) in self.processes.iter().enumerate() {
                let awaited = state.call.as_ref().map(|write| write.record.write);
                if awaited == Some(sent.write.record.write) {
                    let mut events = vec![Event::Deliver(process)];
                    if lost > 0 {
                        events.extend([Event::Delay(index), Event::Lose(process)]);
                    }
                    return events;
                }
            }
        }
        for index in 0..self.acts.len() {
            events.push(Event::Arrive(index));
            if lost > 0 {
                events.push(Event::LoseAct(index));
            }
        }
        for (index, sent) in self.writes.iter().enumerate() {
            if sent.result.is_none() {
                events.push(Event::Apply(index));
            }
        }
        for (index, process) in self.processes.iter().enumerate() {
            let is_acting = self.acts.iter().any(|act| act.process == index);
            if !is_acting && process.lease.number(self.time()).is_some() {
                // One more call of the same holder at the same time would prove nothing.
                if self.provider.acts.last() != Some(&(index, self.now)) {
                    events.push(Event::Act(index, false));
                }
                if process.lease.report(self.time()).is_some() {
                    events.push(Event::Act(index, true));
                }
            }
            match &process.call {
                Some(write) if self.result(write).is_some() => events.push(Event::Deliver(index)),
                Some(_) => {}
                None => match process.lease.next(self.time(), true) {
                    Step::Acquire | Step::Renew => events.push(Event::Write(index)),
                    Step::Read => events.push(Event::Sample(index, false)),
                    Step::ReadStale => {
                        events.push(Event::Sample(index, false));
                        if self.earlier.is_some() {
                            events.push(Event::Sample(index, true));
                        }
                    }
                    Step::Wait(_) => {}
                },
            }
            if process.call.is_some() && lost > 0 {
                events.push(Event::Lose(index));
            }
            if releases > 0
                && process.call.is_none()
                && !is_acting
                && process.lease.number(self.time()).is_some()
            {
                events.push(Event::Release(index));
            }
            if restarts > 0 {
                events.push(Event::Restart(index));
            }
        }
        let is_arriving = self
            .acts
            .iter()
            .any(|act| act.sent_at + TRANSIT_TICKS <= self.now);
        // Only a fault makes a call take a tick or more.
        let is_calling = self.processes.iter().any(|process| process.call.is_some());
        if !is_arriving && self.now < horizon && (lost > 0 || !is_calling) {
            events.push(Event::Tick);
        }
        events
    }

    /// Result of a write that the store has handled: its version, or `None` in it after a conflict.
    fn result(&self, write: &Write) -> Option<Option<Version>> {
        let same = |sent: &&Sent| sent.write.record.write == write.record.write;
        self.writes.iter().find(same)?.result
    }

    fn apply(&mut self, event: Event, is_fenced: bool) -> Result<(), String> {
        let now = self.time();
        match event {
            Event::Act(process, has_report) => {
                let lease = &self.processes[process].lease;
                let report = lease.report(now).filter(|_| has_report);
                if let Some(number) = lease.number(now) {
                    self.acts.push(Act {
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
                let process = act.process;
                let is_accepted = self.accept(act, is_fenced)?;
                if let Some(window) = window.filter(|_| is_accepted) {
                    self.processes[process].lease.record_sent(window);
                }
            }
            Event::Apply(index) => {
                let write = &self.writes[index].write;
                let version = self.object.as_ref().map(|(version, _)| *version);
                let result =
                    (write.expected == version).then(|| version.unwrap_or(FIRST_VERSION) + 1);
                if let Some(version) = result {
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
                // What the earlier process did no longer has a receiver.
                self.acts.retain(|act| act.process != index);
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
                    lease.record_stale_read(now, found);
                } else {
                    lease.record_read(now, found);
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

    fn send(&mut self, index: usize, write: Option<Write>) {
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

    fn deliver(&mut self, index: usize) {
        let now = self.time();
        let Some(write) = self.processes[index].call.take() else {
            return;
        };
        let result = self.result(&write).flatten();
        let lease = &mut self.processes[index].lease;
        match result {
            Some(version) => lease.record_written(now, write, version),
            None => lease.record_conflict(&write),
        }
    }

    /// Drops what can have no effect any more, so that equal states are recognized.
    fn forget(&mut self) {
        let version = self.object.as_ref().map(|(version, _)| *version);
        let processes = &self.processes;
        self.writes.retain(|sent| {
            let is_awaited = processes.iter().any(|process| {
                let awaited = process.call.as_ref().map(|write| write.record.write);
                awaited == Some(sent.write.record.write)
            });
            is_awaited || (sent.result.is_none() && sent.write.expected == version)
        });
        let now = self.now;
        self.provider.acts.retain(|(_, at)| now < *at + LEASE_TICKS);
    }

    /// Handles a call at the provider; returns whether it was accepted, or the invariant that it violates.
    fn accept(&mut self, act: Act, is_fenced: bool) -> Result<bool, String> {
        let provider = &mut self.provider;
        if act.number < provider.highest {
            if is_fenced {
                return Ok(false);
            }
            return Err(format!("number {} after {}", act.number, provider.highest));
        }
        provider.highest = act.number;
        let owner = *provider.owners.entry(act.number).or_insert(act.process);
        if owner != act.process {
            return Err(format!("number {} of two holders", act.number));
        }
        // All acts within the lease are kept.
        let others = provider
            .acts
            .iter()
            .rposition(|(other, _)| *other != act.process);
        let is_return = others.is_some_and(|position| {
            provider.acts[..position]
                .iter()
                .any(|(other, _)| *other == act.process)
        });
        if is_return {
            return Err(format!("holders {:?}, then {}", provider.acts, act.process));
        }
        let latest = (act.process, self.now);
        if provider.acts.last() != Some(&latest) {
            provider.acts.push(latest);
        }
        if let Some(report) = act.report {
            let window = report.window;
            let earlier = provider
                .reports
                .entry(window)
                .or_insert_with(|| report.clone());
            if *earlier != report {
                return Err(format!("two reports of window {window}"));
            }
        }
        Ok(true)
    }

    /// Hash of the state.
    fn hash(&self) -> u64 {
        let state = Self {
            next: 0,
            ..self.clone()
        };
        let text = format!("{state:?}");
        let mut hasher = DefaultHasher::new();
        self.now.hash(&mut hasher);
        let mut numbers = Vec::new();
        let mut greatest = [0; RANDOM_DIGITS + 1];
        let mut rest = text.as_str();
        while let Some(start) = rest.find(|character: char| character.is_ascii_digit()) {
            let (words, tail) = rest.split_at(start);
            let digits = tail.bytes().take_while(u8::is_ascii_digit).count();
            hasher.write(words.as_bytes());
            if let Ok(value) = tail[..digits].parse::<u64>() {
                greatest[digits] = value.max(greatest[digits]);
                numbers.push((digits, value));
            }
            rest = &tail[digits..];
        }
        hasher.write(rest.as_bytes());
        let oldest = u64::from(self.now - LEASE_TICKS - 1);
        let mut names = Vec::new();
        for (digits, value) in numbers {
            let relative = match digits {
                RANDOM_DIGITS => {
                    let position = names.iter().position(|name| *name == value);
                    if position.is_none() {
                        names.push(value);
                    }
                    position.unwrap_or(names.len()) as u64
                }
                NUMBER_DIGITS | VERSION_DIGITS | WINDOW_DIGITS => greatest[digits] - value,
                TIME_DIGITS => value.max(oldest) - oldest,
                _ => value,
            };
            relative.hash(&mut hasher);
        }
        hasher.finish()
    }
}

/// Events from the first state on, newest first.
struct Path(Event, Option<Rc<Self>>);

fn events(mut path: Option<&Path>) -> Vec<Event> {
    let mut events = Vec::new();
    while let Some(Path(event, earlier)) = path {
        events.push(*event);
        path = earlier.as_deref();
    }
    events.reverse();
    events
}

/// Explores all interleavings within the bounds.
fn explore(bounds: &Bounds) {
    let first = [World::new(bounds, true), World::new(bounds, false)];
    let horizon = first[0].now + bounds.ticks;
    let mut visited: BTreeSet<_> = first.iter().map(World::hash).collect();
    let mut open: Vec<_> = first.into_iter().map(|world| (world, None)).collect();
    let mut acted = BTreeSet::new();
    while let Some((world, path)) = open.pop() {
        acted.extend(world.provider.owners.values().copied());
        for event in world.events(horizon) {
            let mut next = world.clone();
            let path = Some(Rc::new(Path(event, path.clone())));
            if let Err(violation) = next.apply(event, bounds.is_fenced) {
                panic!("{violation} after {:?}", events(path.as_deref()));
            }
            if visited.insert(next.hash()) {
                open.push((next, path));
            }
        }
    }
    println!("{} states", visited.len());
    assert_eq!(acted.len(), PROCESSES, "not every process has acted");
}

/// Runs with many faults, longer than what can be explored completely.
fn run_randomly(is_fenced: bool) {
    let bounds = Bounds {
        lost: u32::MAX,
        releases: u32::MAX,
        restarts: u32::MAX,
        ..Bounds::default()
    };
    let mut acts = 0;
    for seed in 0..RANDOM_RUNS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = World::new(&bounds, seed % 2 == 0);
        // Some runs have faults in a quarter of the events, others hardly any.
        let fault_share = [0.0, 0.02, 0.1, 0.25][rng.random_range(0..4)];
        for step in 0..RANDOM_STEPS {
            let is_fault = |event: &Event| {
                matches!(
                    event,
                    Event::Lose(_) | Event::LoseAct(_) | Event::Release(_) | Event::Restart(_)
                )
            };
            let (faults, others): (Vec<_>, Vec<_>) =
                world.events(u32::MAX).into_iter().partition(is_fault);
            let choice = if others.is_empty() || rng.random_bool(fault_share) {
                faults
            } else {
                others
            };
            if choice.is_empty() {
                continue;
            }
            let event = choice[rng.random_range(0..choice.len())];
            acts += u64::from(matches!(event, Event::Arrive(_)));
            if let Err(violation) = world.apply(event, is_fenced) {
                panic!("{violation}, run {seed}, step {step}");
            }
        }
    }
    println!("{acts} acts");
    assert!(acts > RANDOM_RUNS, "too few acts: {acts}");
}

/// A lease with the settings of the model.
fn lease(index: usize) -> Lease {
    process(index).lease
}

/// Without it, every planned restart of the holder would cost a whole lease.
fn succeeds_at_once() {
    let (mut first, mut second) = (lease(0), lease(1));
    first.record_stale_read(Duration::ZERO, None);
    let write = first.acquire(time(3), 1, 0, 9);
    first.record_written(time(3), write, 1);
    let write = first.release(time(4), 2, Vec::new()).unwrap();
    second.record_stale_read(time(4), Some((2, write.record.clone())));
    assert_eq!(second.next(time(4), true), Step::Acquire);
    first.record_written(time(4), write, 2);
    assert_eq!(first.number(time(4)), None);
    let write = second.acquire(time(4), 3, 0, 0);
    assert_eq!(write.record.number, 2);
    assert_eq!(write.record.reported, 9);
    assert_eq!(write.record.recent, ["m0".into()]);
}

/// Without it, a holder whose write took effect would lose the lease with the response.
fn keeps_after_lost_response() {
    let mut lease = lease(0);
    lease.record_stale_read(Duration::ZERO, None);
    let write = lease.acquire(time(3), 1, 0, 0);
    lease.record_lost();
    assert_eq!(lease.number(time(3)), None);
    assert_eq!(lease.next(time(3), true), Step::Read);
    lease.record_read(time(4), Some((1, write.record)));
    assert_eq!(lease.number(time(4)), Some(1));
    // It counts from before the write and not from the read.
    assert_eq!(lease.end(), Some(time(6)));
}
