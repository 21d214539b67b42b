//! The ledger's state machine under generated interleavings of holders, calls and store faults, against
//! a simulated store.

use almondwell_core::ledger::{Call, Options, Reply, Shard, Status, Step};
use almondwell_schema::{CallKey, Header, Kept, RunId, Version};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const HOLDERS: usize = 3;
const KEYS: u128 = 4;
const CASES: u32 = 2000;
const SEED: [u8; 32] = *b"almondwell ledger, seed number 1";

/// An object in the store: version and value.
type Object = (Version, Vec<u8>);
/// Name of an object: a segment index, or the checkpoint.
type Name = Option<u16>;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A new attempt asks the holder to run a key.
    Ask(usize, CallKey),
    /// The holder's process crashes and a new one replaces it.
    Crash(usize),
    /// A running attempt finishes (`true`) or is interrupted.
    End(usize, bool),
    /// A waiting or granted attempt is abandoned before it runs.
    Abandon(usize),
    /// A delayed write reaches the store.
    Deliver(usize),
    /// An attempt asks the holder again and, if granted, is sent to the upstream.
    Run(usize),
    /// The holder executes its next step, with a fault.
    Step(usize, Fault),
    /// This many milliseconds pass.
    Wait(u64),
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The store is unreachable.
    Unreachable,
    /// The write reaches the store later and its reply is lost.
    Delayed,
    /// The write takes effect and its reply is lost.
    LostReply,
    None,
}

struct Attempt {
    call: Call,
    holder: usize,
    is_running: bool,
}

struct Simulation {
    attempts: Vec<Attempt>,
    holders: Vec<Shard>,
    delayed: Vec<(Name, Option<Version>, Vec<u8>)>,
    next_id: u64,
    now: Duration,
    objects: BTreeMap<Name, Object>,
    ran: BTreeMap<CallKey, BTreeSet<RunId>>,
    version: Version,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            attempts: Vec::new(),
            holders: Vec::new(),
            delayed: Vec::new(),
            next_id: 0,
            now: Duration::from_secs(1_000_000),
            objects: BTreeMap::new(),
            ran: BTreeMap::new(),
            version: 0,
        };
        for _ in 0..HOLDERS {
            let shard = simulation.shard();
            simulation.holders.push(shard);
        }
        simulation
    }

    fn shard(&mut self) -> Shard {
        self.next_id += 1;
        let options = Options {
            segments: 4,
            ..Options::default()
        };
        Shard::new(self.next_id, options)
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Ask(holder, key) => self.ask(holder % HOLDERS, key),
            Event::Crash(holder) => self.crash(holder % HOLDERS),
            Event::End(index, is_complete) => self.end(index, is_complete),
            Event::Abandon(index) => self.abandon(index),
            Event::Deliver(index) => self.deliver(index),
            Event::Run(index) => self.run(index),
            Event::Step(holder, fault) => self.step(holder % HOLDERS, fault),
            Event::Wait(millis) => self.now += Duration::from_millis(millis),
        }
    }

    fn ask(&mut self, holder: usize, key: CallKey) {
        self.next_id += 1;
        let call = Call {
            digest: 0,
            key,
            run: self.next_id,
        };
        self.holders[holder].ask(self.now, call);
        self.attempts.push(Attempt {
            call,
            holder,
            is_running: false,
        });
    }

    fn crash(&mut self, holder: usize) {
        self.holders[holder] = self.shard();
        self.attempts.retain(|attempt| attempt.holder != holder);
    }

    fn pick(&self, index: usize, is_running: bool) -> Option<usize> {
        let matching: Vec<_> = (0..self.attempts.len())
            .filter(|index| self.attempts[*index].is_running == is_running)
            .collect();
        matching.get(index % matching.len().max(1)).copied()
    }

    fn run(&mut self, index: usize) {
        let Some(index) = self.pick(index, false) else {
            return;
        };
        let attempt = &mut self.attempts[index];
        let status = self.holders[attempt.holder].ask(self.now, attempt.call);
        match status {
            Status::Granted => {
                attempt.is_running = true;
                let call = attempt.call;
                let ran = self.ran.entry(call.key).or_default();
                assert!(
                    ran.insert(call.run) && ran.len() == 1,
                    "key ran twice: {call:?}"
                );
            }
            Status::Finished(_) => {
                assert!(
                    self.ran.contains_key(&attempt.call.key),
                    "key reported as finished, but it never ran"
                );
                self.attempts.remove(index);
            }
            Status::Unknown => {
                self.attempts.remove(index);
            }
            Status::Conflict | Status::Full => panic!("unexpected status: {status:?}"),
            Status::Loading | Status::Running | Status::Writing => {}
        }
    }

    fn end(&mut self, index: usize, is_complete: bool) {
        let Some(index) = self.pick(index, true) else {
            return;
        };
        let attempt = self.attempts.remove(index);
        let shard = &mut self.holders[attempt.holder];
        let Call { key, run, .. } = attempt.call;
        if is_complete {
            shard.finish(self.now, key, run, answer());
        } else {
            shard.mark_unknown(key, run);
        }
    }

    fn abandon(&mut self, index: usize) {
        let Some(index) = self.pick(index, false) else {
            return;
        };
        let attempt = self.attempts.remove(index);
        let Call { key, run, .. } = attempt.call;
        self.holders[attempt.holder].abandon(self.now, key, run);
    }

    fn deliver(&mut self, index: usize) {
        if self.delayed.is_empty() {
            return;
        }
        let (name, expect, value) = self.delayed.remove(index % self.delayed.len());
        self.write(name, expect, value);
    }

    fn step(&mut self, holder: usize, fault: Fault) {
        let step = self.holders[holder].step(self.now);
        let reply = match step {
            Step::Idle | Step::Wait(_) => return,
            Step::ReadSegment(index) => self.read(Some(index), fault),
            Step::ReadCheckpoint => self.read(None, fault),
            Step::WriteSegment {
                expect,
                index,
                value,
            } => self.write_with(Some(index), expect, value, fault),
            Step::WriteCheckpoint { expect, value } => self.write_with(None, expect, value, fault),
        };
        self.holders[holder].observe(self.now, &reply);
    }

    fn read(&self, name: Name, fault: Fault) -> Reply {
        match fault {
            Fault::Unreachable | Fault::Delayed | Fault::LostReply => Reply::Failed,
            Fault::None => match self.objects.get(&name).cloned() {
                Some((version, value)) => Reply::Found { value, version },
                None => Reply::Absent,
            },
        }
    }

    fn write_with(
        &mut self,
        name: Name,
        expect: Option<Version>,
        value: Vec<u8>,
        fault: Fault,
    ) -> Reply {
        match fault {
            Fault::Unreachable => Reply::Failed,
            Fault::Delayed => {
                self.delayed.push((name, expect, value));
                Reply::Failed
            }
            Fault::LostReply => {
                self.write(name, expect, value);
                Reply::Failed
            }
            Fault::None => self.write(name, expect, value),
        }
    }

    fn write(&mut self, name: Name, expect: Option<Version>, value: Vec<u8>) -> Reply {
        let current = self.objects.get(&name).map(|(version, _)| *version);
        if current != expect {
            return Reply::Conflict;
        }
        self.version += 1;
        self.objects.insert(name, (self.version, value));
        Reply::Written(self.version)
    }

    /// Runs `holder` without faults for 400 steps, enough to write all that is pending.
    fn run_steps(&mut self, holder: usize) {
        for _ in 0..400 {
            self.now += Duration::from_millis(50);
            self.step(holder, Fault::None);
        }
    }
}

fn answer() -> Kept {
    Kept {
        status: 200,
        headers: Vec::new(),
        body: b"booked".to_vec(),
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        1 => Just(Fault::Unreachable),
        1 => Just(Fault::Delayed),
        1 => Just(Fault::LostReply),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let holder = 0..HOLDERS;
    let index = 0..16_usize;
    prop_oneof![
        4 => (holder.clone(), 0..KEYS).prop_map(|(holder, key)| Event::Ask(holder, key)),
        1 => holder.clone().prop_map(Event::Crash),
        2 => (index.clone(), any::<bool>())
            .prop_map(|(index, is_complete)| Event::End(index, is_complete)),
        2 => index.clone().prop_map(Event::Abandon),
        2 => index.clone().prop_map(Event::Deliver),
        6 => index.prop_map(Event::Run),
        16 => (holder, fault()).prop_map(|(holder, fault)| Event::Step(holder, fault)),
        4 => (1..400_u64).prop_map(Event::Wait),
    ]
}

fn check(test: impl Fn(Vec<Event>)) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, random);
    let events = prop::collection::vec(event(), 1..250);
    let result = runner.run(&events, |events| {
        test(events);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// No interleaving of three holders, crashes, pauses and store faults runs a key twice.
#[test]
fn runs_each_key_at_most_once() {
    check(|events| {
        let mut simulation = Simulation::new();
        for event in events {
            simulation.apply(event);
        }
    });
}

/// After any sequence of events, a live holder grants a new key once the store answers again.
#[test]
fn grants_a_new_key_after_any_faults() {
    check(|events| {
        let mut simulation = Simulation::new();
        for event in events {
            simulation.apply(event);
        }
        let call = Call {
            digest: 0,
            key: KEYS + 1,
            run: u64::MAX,
        };
        for _ in 0..8 {
            simulation.holders[0].ask(simulation.now, call);
            simulation.run_steps(0);
        }
        let status = simulation.holders[0].ask(simulation.now, call);
        assert_eq!(status, Status::Granted);
    });
}

/// A key that was abandoned before it ran is granted to another holder once its release is durable.
#[test]
fn grants_a_released_key_to_another_holder() {
    let mut simulation = Simulation::new();
    simulation.ask(0, 1);
    simulation.run_steps(0);
    simulation.attempts[0].is_running = false;
    simulation.holders[0].ask(simulation.now, simulation.attempts[0].call);
    simulation.run_steps(0);
    assert_eq!(
        simulation.holders[0].ask(simulation.now, simulation.attempts[0].call),
        Status::Granted
    );
    simulation.abandon(0);
    simulation.run_steps(0);
    assert_eq!(ask_other_holder(&mut simulation, 1), Status::Granted);
}

/// A key with an intent but no outcome, as when its holder crashes, may have run and is not run again.
#[test]
fn reports_an_intent_without_outcome_as_unknown() {
    let mut simulation = Simulation::new();
    simulation.ask(0, 1);
    simulation.run_steps(0);
    simulation.holders[0].ask(simulation.now, simulation.attempts[0].call);
    simulation.run_steps(0);
    simulation.run(0);
    assert_eq!(ask_other_holder(&mut simulation, 1), Status::Unknown);
}

/// The answer of a finished key is also returned by another holder, and after checkpoints.
#[test]
fn replays_an_answer_from_another_holder() {
    let mut simulation = Simulation::new();
    for key in 1..20 {
        simulation.ask(0, key);
        simulation.run_steps(0);
        simulation.run(0);
        simulation.run_steps(0);
        simulation.run(0);
        simulation.end(0, true);
        simulation.run_steps(0);
    }
    assert_eq!(simulation.ran.len(), 19);
    for key in [1, 10, 19] {
        let status = ask_other_holder(&mut simulation, key);
        assert_eq!(status, Status::Finished(Some(answer())));
    }
}

/// The same key with another digest is a conflict.
#[test]
fn refuses_a_key_with_another_digest() {
    let mut simulation = Simulation::new();
    simulation.ask(0, 1);
    simulation.run_steps(0);
    simulation.holders[0].ask(simulation.now, simulation.attempts[0].call);
    let other = Call {
        digest: 1,
        run: u64::MAX,
        ..simulation.attempts[0].call
    };
    assert_eq!(
        simulation.holders[0].ask(simulation.now, other),
        Status::Conflict
    );
}

/// A full shard refuses new keys, but evicts keys past the minimum retention.
#[test]
fn bounds_the_number_of_calls() {
    let options = Options {
        capacity: 2,
        ..Options::default()
    };
    let mut simulation = Simulation::new();
    simulation.holders[0] = Shard::new(1, options);
    for key in 1..=2 {
        simulation.ask(0, key);
        simulation.run_steps(0);
        simulation.run(0);
        simulation.run_steps(0);
        simulation.run(0);
        simulation.end(0, true);
        simulation.run_steps(0);
    }
    let call = Call {
        digest: 0,
        key: 3,
        run: u64::MAX,
    };
    assert_eq!(
        simulation.holders[0].ask(simulation.now, call),
        Status::Full
    );
    simulation.now += almondwell_core::ledger::MIN_RETENTION;
    assert_eq!(
        simulation.holders[0].ask(simulation.now, call),
        Status::Writing
    );
    assert_eq!(simulation.holders[0].len(), 2);
}

/// The checkpoint of a full shard fits one object of the store.
#[test]
fn writes_no_object_above_a_mebibyte() {
    const BATCH: u64 = 256;
    let mut simulation = Simulation::new();
    simulation.holders[0] = Shard::new(1, Options::default());
    let mut max_len = 0;
    for batch in 0..32 {
        let calls: Vec<_> = (0..BATCH)
            .map(|index| long_call(batch * BATCH + index))
            .collect();
        for call in &calls {
            simulation.holders[0].ask(simulation.now, *call);
        }
        simulation.run_steps(0);
        for call in &calls {
            simulation.holders[0].ask(simulation.now, *call);
        }
        simulation.run_steps(0);
        for call in calls {
            let status = simulation.holders[0].ask(simulation.now, call);
            assert_eq!(status, Status::Granted);
            simulation.holders[0].finish(simulation.now, call.key, call.run, long_answer(call.run));
        }
        simulation.run_steps(0);
        let lengths = simulation.objects.values().map(|(_, value)| value.len());
        max_len = max_len.max(lengths.max().unwrap_or_default());
    }
    assert!(simulation.holders[0].len() > 8000);
    assert!(
        (800_000..1 << 20).contains(&max_len),
        "expected the largest object to have 800000 to 1048575 bytes, got {max_len}"
    );
}

/// A call whose numbers take the most bytes when encoded.
fn long_call(number: u64) -> Call {
    Call {
        digest: u64::MAX,
        key: u128::MAX - u128::from(number),
        run: u64::MAX - number,
    }
}

/// A short answer with many headers; every 64th is close to the longest that is kept.
fn long_answer(run: u64) -> Kept {
    let header = Header {
        name: "a".into(),
        value: "b".into(),
    };
    let body = if run.is_multiple_of(64) { 4000 } else { 24 };
    Kept {
        status: 200,
        headers: vec![header; 4],
        body: vec![0; body],
    }
}

/// Status of `key` at holder 1, once it has loaded the shard and written an intent.
fn ask_other_holder(simulation: &mut Simulation, key: CallKey) -> Status {
    let call = Call {
        digest: 0,
        key,
        run: u64::MAX - 1,
    };
    simulation.holders[1].ask(simulation.now, call);
    simulation.run_steps(1);
    simulation.holders[1].ask(simulation.now, call);
    simulation.run_steps(1);
    simulation.holders[1].ask(simulation.now, call)
}
