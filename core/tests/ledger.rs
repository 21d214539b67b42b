//! The ledger's state machine under generated interleavings of holders, calls and store faults.

use almondwell_core::ledger::{Call, Options, Reply, Shard, Standing, Step};
use almondwell_schema::{CallKey, Header, Kept, RunId, Version};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const HOLDERS: usize = 3;
const KEYS: u128 = 4;
const CASES: u32 = 2000;
const SEED: [u8; 32] = *b"almondwell ledger, seed number 1";

/// A store's object: version and value.
type Object = (Version, Vec<u8>);
/// Name of an object: a slot of the ring, or the checkpoint.
type Name = Option<u16>;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The holder asks to run a key; a new attempt.
    Ask(usize, CallKey),
    /// The holder's process dies and another starts in its place.
    Crash(usize),
    /// A granted attempt runs to its end, or breaks off.
    End(usize, bool),
    /// A waiting or granted attempt is given up before it runs.
    GiveUp(usize),
    /// A write that is on its way arrives.
    Land(usize),
    /// A granted attempt reaches the upstream.
    Run(usize),
    /// The holder does its next step, with a fault.
    Step(usize, Fault),
    /// Time passes, in milliseconds.
    Wait(u64),
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The store cannot be reached.
    Down,
    /// The write arrives later and its answer is lost.
    Late,
    /// The write takes effect and its answer is lost.
    LostReply,
    None,
}

struct Attempt {
    call: Call,
    holder: usize,
    is_running: bool,
}

struct World {
    attempts: Vec<Attempt>,
    holders: Vec<Shard>,
    late: Vec<(Name, Option<Version>, Vec<u8>)>,
    next: u64,
    now: Duration,
    objects: BTreeMap<Name, Object>,
    ran: BTreeMap<CallKey, BTreeSet<RunId>>,
    version: Version,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            attempts: Vec::new(),
            holders: Vec::new(),
            late: Vec::new(),
            next: 0,
            now: Duration::from_secs(1_000_000),
            objects: BTreeMap::new(),
            ran: BTreeMap::new(),
            version: 0,
        };
        for _ in 0..HOLDERS {
            let shard = world.shard();
            world.holders.push(shard);
        }
        world
    }

    fn shard(&mut self) -> Shard {
        self.next += 1;
        let options = Options {
            slots: 4,
            ..Options::default()
        };
        Shard::new(self.next, options)
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Ask(holder, key) => self.ask(holder % HOLDERS, key),
            Event::Crash(holder) => self.crash(holder % HOLDERS),
            Event::End(index, is_whole) => self.end(index, is_whole),
            Event::GiveUp(index) => self.give_up(index),
            Event::Land(index) => self.land(index),
            Event::Run(index) => self.run(index),
            Event::Step(holder, fault) => self.step(holder % HOLDERS, fault),
            Event::Wait(millis) => self.now += Duration::from_millis(millis),
        }
    }

    fn ask(&mut self, holder: usize, key: CallKey) {
        self.next += 1;
        let call = Call {
            digest: 0,
            key,
            run: self.next,
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
        let standing = self.holders[attempt.holder].ask(self.now, attempt.call);
        match standing {
            Standing::Granted => {
                attempt.is_running = true;
                let call = attempt.call;
                let ran = self.ran.entry(call.key).or_default();
                assert!(
                    ran.insert(call.run) && ran.len() == 1,
                    "ran twice: {call:?}"
                );
            }
            Standing::Finished(_) => {
                assert!(
                    self.ran.contains_key(&attempt.call.key),
                    "finished, never ran"
                );
                self.attempts.remove(index);
            }
            Standing::Unknown => {
                self.attempts.remove(index);
            }
            Standing::Conflict | Standing::Full => panic!("{standing:?}"),
            Standing::Loading | Standing::Running | Standing::Writing => {}
        }
    }

    fn end(&mut self, index: usize, is_whole: bool) {
        let Some(index) = self.pick(index, true) else {
            return;
        };
        let attempt = self.attempts.remove(index);
        let shard = &mut self.holders[attempt.holder];
        let Call { key, run, .. } = attempt.call;
        if is_whole {
            shard.finish(self.now, key, run, answer());
        } else {
            shard.break_off(key, run);
        }
    }

    fn give_up(&mut self, index: usize) {
        let Some(index) = self.pick(index, false) else {
            return;
        };
        let attempt = self.attempts.remove(index);
        let Call { key, run, .. } = attempt.call;
        self.holders[attempt.holder].give_up(self.now, key, run);
    }

    fn land(&mut self, index: usize) {
        if self.late.is_empty() {
            return;
        }
        let (name, expect, value) = self.late.remove(index % self.late.len());
        self.write(name, expect, value);
    }

    fn step(&mut self, holder: usize, fault: Fault) {
        let step = self.holders[holder].step(self.now);
        let reply = match step {
            Step::Idle | Step::Wait(_) => return,
            Step::ReadSegment(slot) => self.read(Some(slot), fault),
            Step::ReadCheckpoint => self.read(None, fault),
            Step::WriteSegment {
                expect,
                slot,
                value,
            } => self.write_with(Some(slot), expect, value, fault),
            Step::WriteCheckpoint { expect, value } => self.write_with(None, expect, value, fault),
        };
        self.holders[holder].observe(self.now, &reply);
    }

    fn read(&self, name: Name, fault: Fault) -> Reply {
        match fault {
            Fault::Down | Fault::Late | Fault::LostReply => Reply::Failed,
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
            Fault::Down => Reply::Failed,
            Fault::Late => {
                self.late.push((name, expect, value));
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

    /// Runs holder `holder` without faults until nothing is left to write.
    fn drain(&mut self, holder: usize) {
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
        1 => Just(Fault::Down),
        1 => Just(Fault::Late),
        1 => Just(Fault::LostReply),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let holder = 0..HOLDERS;
    let index = 0..16_usize;
    prop_oneof![
        4 => (holder.clone(), 0..KEYS).prop_map(|(holder, key)| Event::Ask(holder, key)),
        1 => holder.clone().prop_map(Event::Crash),
        2 => (index.clone(), any::<bool>()).prop_map(|(index, whole)| Event::End(index, whole)),
        2 => index.clone().prop_map(Event::GiveUp),
        2 => index.clone().prop_map(Event::Land),
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
        let mut world = World::new();
        for event in events {
            world.apply(event);
        }
    });
}

/// Whatever came before, a live holder grants a new key once the store answers again.
#[test]
fn grants_a_new_key_after_any_faults() {
    check(|events| {
        let mut world = World::new();
        for event in events {
            world.apply(event);
        }
        let call = Call {
            digest: 0,
            key: KEYS + 1,
            run: u64::MAX,
        };
        for _ in 0..8 {
            world.holders[0].ask(world.now, call);
            world.drain(0);
        }
        let standing = world.holders[0].ask(world.now, call);
        assert_eq!(standing, Standing::Granted);
    });
}

/// A key given up before it ran, whose release is durable, runs when it is sent again elsewhere.
#[test]
fn runs_a_released_key_elsewhere() {
    let mut world = World::new();
    world.ask(0, 1);
    world.drain(0);
    world.attempts[0].is_running = false;
    world.holders[0].ask(world.now, world.attempts[0].call);
    world.drain(0);
    assert_eq!(
        world.holders[0].ask(world.now, world.attempts[0].call),
        Standing::Granted
    );
    world.give_up(0);
    world.drain(0);
    assert_eq!(elsewhere(&mut world, 1), Standing::Granted);
}

/// A key whose holder died between intent and outcome may have run, and is not run again.
#[test]
fn reports_an_intent_without_outcome_as_unknown() {
    let mut world = World::new();
    world.ask(0, 1);
    world.drain(0);
    world.holders[0].ask(world.now, world.attempts[0].call);
    world.drain(0);
    world.run(0);
    assert_eq!(elsewhere(&mut world, 1), Standing::Unknown);
}

/// A finished key answers its repeats from another holder too, also after checkpoints.
#[test]
fn replays_an_answer_from_another_holder() {
    let mut world = World::new();
    for key in 1..20 {
        world.ask(0, key);
        world.drain(0);
        world.run(0);
        world.drain(0);
        world.run(0);
        world.end(0, true);
        world.drain(0);
    }
    assert_eq!(world.ran.len(), 19);
    for key in [1, 10, 19] {
        let standing = elsewhere(&mut world, key);
        assert_eq!(standing, Standing::Finished(Some(answer())));
    }
}

/// The same key with another body is a conflict.
#[test]
fn refuses_a_key_with_another_body() {
    let mut world = World::new();
    world.ask(0, 1);
    world.drain(0);
    world.holders[0].ask(world.now, world.attempts[0].call);
    let other = Call {
        digest: 1,
        run: u64::MAX,
        ..world.attempts[0].call
    };
    assert_eq!(world.holders[0].ask(world.now, other), Standing::Conflict);
}

/// A full shard refuses young keys and forgets those past the stated time.
#[test]
fn bounds_the_calls_it_remembers() {
    let options = Options {
        capacity: 2,
        ..Options::default()
    };
    let mut world = World::new();
    world.holders[0] = Shard::new(1, options);
    for key in 1..=2 {
        world.ask(0, key);
        world.drain(0);
        world.run(0);
        world.drain(0);
        world.run(0);
        world.end(0, true);
        world.drain(0);
    }
    let call = Call {
        digest: 0,
        key: 3,
        run: u64::MAX,
    };
    assert_eq!(world.holders[0].ask(world.now, call), Standing::Full);
    world.now += almondwell_core::ledger::REMEMBERED;
    assert_eq!(world.holders[0].ask(world.now, call), Standing::Writing);
    assert_eq!(world.holders[0].len(), 2);
}

/// A full shard's checkpoint fits one object of the store.
#[test]
fn writes_no_object_above_a_megabyte() {
    const BATCH: u64 = 256;
    let mut world = World::new();
    world.holders[0] = Shard::new(1, Options::default());
    let mut longest = 0;
    for batch in 0..32 {
        let calls: Vec<_> = (0..BATCH)
            .map(|index| long_call(batch * BATCH + index))
            .collect();
        for call in &calls {
            world.holders[0].ask(world.now, *call);
        }
        world.drain(0);
        for call in &calls {
            world.holders[0].ask(world.now, *call);
        }
        world.drain(0);
        for call in calls {
            let standing = world.holders[0].ask(world.now, call);
            assert_eq!(standing, Standing::Granted);
            world.holders[0].finish(world.now, call.key, call.run, long_answer(call.run));
        }
        world.drain(0);
        let lengths = world.objects.values().map(|(_, value)| value.len());
        longest = longest.max(lengths.max().unwrap_or_default());
    }
    assert!(world.holders[0].len() > 8000);
    assert!((800_000..1 << 20).contains(&longest), "{longest}");
}

/// A call whose numbers are as long as they get.
fn long_call(number: u64) -> Call {
    Call {
        digest: u64::MAX,
        key: u128::MAX - u128::from(number),
        run: u64::MAX - number,
    }
}

/// Answers from short ones with many headers to the longest that is kept.
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

/// What holder 1 says about `key`.
fn elsewhere(world: &mut World, key: CallKey) -> Standing {
    let call = Call {
        digest: 0,
        key,
        run: u64::MAX - 1,
    };
    world.holders[1].ask(world.now, call);
    world.drain(1);
    world.holders[1].ask(world.now, call);
    world.drain(1);
    world.holders[1].ask(world.now, call)
}
