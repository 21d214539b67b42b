//! Requests and parts of prompts that crash upstreams, told apart from those that are merely beside them.

use almondwell_core::causes::{Cause, Causes, Options, is_known_widely};
use almondwell_schema::Suspect;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);
const FATAL: Cause = Cause::Part(0xbad);
const SYSTEM: Cause = Cause::Part(1);
const OTHER: Cause = Cause::Part(2);
const REQUEST: Cause = Cause::Request(1);
const FATAL_REQUEST: Cause = Cause::Request(0);

/// What became of one request.
#[derive(Clone, Copy)]
enum Event {
    /// Its upstream crashed; the crash has this number.
    Crashed(&'static [Cause], u64),
    Served(&'static [Cause]),
}

use Event::{Crashed, Served};

macro_rules! cases {
    ($($name:ident: $events:expr, $parts:expr => $is_fatal:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut parts = Causes::default();
            for event in &$events {
                match event {
                    Crashed(ids, crash) => drop(parts.record_crash(NOW, ids, *crash)),
                    Served(ids) => drop(parts.record_success(NOW, ids)),
                }
            }
            let later = NOW + Options::default().sound;
            assert_eq!(parts.refuses(later, &$parts), $is_fatal);
        })*
    };
}

cases! {
    an_unknown_part_is_sound: [], [FATAL] => false;
    three_crashes_are_too_few: [Crashed(&[FATAL], 1), Crashed(&[FATAL], 2), Crashed(&[FATAL], 3)], [FATAL] => false;
    a_part_of_four_crashes_is_fatal: [Crashed(&[FATAL], 1), Crashed(&[FATAL], 2), Crashed(&[FATAL], 3), Crashed(&[FATAL], 4)], [SYSTEM, FATAL] => true;
    a_crash_of_one_upstream_counts_once: [Crashed(&[FATAL], 1), Crashed(&[FATAL], 1), Crashed(&[FATAL], 1), Crashed(&[FATAL], 1)], [FATAL] => false;
    a_success_clears_a_part: [Crashed(&[SYSTEM], 1), Crashed(&[SYSTEM], 2), Served(&[SYSTEM]), Crashed(&[SYSTEM], 3), Crashed(&[SYSTEM], 4)], [SYSTEM] => false;
    a_success_clears_a_fatal_part: [Crashed(&[SYSTEM], 1), Crashed(&[SYSTEM], 2), Crashed(&[SYSTEM], 3), Crashed(&[SYSTEM], 4), Served(&[SYSTEM])], [SYSTEM] => false;
    a_part_beside_a_fatal_one_is_not: [Crashed(&[SYSTEM, FATAL], 1), Crashed(&[SYSTEM, FATAL], 2), Crashed(&[SYSTEM, FATAL], 3), Crashed(&[SYSTEM, FATAL], 4)], [SYSTEM, OTHER] => false;
    a_part_with_further_crashes_is_fatal_itself: [Crashed(&[SYSTEM, FATAL], 1), Crashed(&[SYSTEM, FATAL], 2), Crashed(&[SYSTEM, FATAL], 3), Crashed(&[SYSTEM, FATAL], 4), Crashed(&[SYSTEM, OTHER], 5)], [SYSTEM, OTHER] => true;
    two_crashes_of_a_request_are_too_few: [Crashed(&[REQUEST], 1), Crashed(&[REQUEST], 2)], [REQUEST] => false;
    a_request_of_three_crashes_is_fatal: [Crashed(&[SYSTEM, REQUEST], 1), Crashed(&[SYSTEM, REQUEST], 2), Crashed(&[SYSTEM, REQUEST], 3)], [SYSTEM, REQUEST] => true;
    a_part_of_a_fatal_request_is_not: [Crashed(&[SYSTEM, REQUEST], 1), Crashed(&[SYSTEM, REQUEST], 2), Crashed(&[SYSTEM, REQUEST], 3), Crashed(&[SYSTEM, REQUEST], 4)], [SYSTEM, OTHER] => false;
    an_answer_clears_a_request: [Crashed(&[REQUEST], 1), Crashed(&[REQUEST], 2), Served(&[REQUEST]), Crashed(&[REQUEST], 3)], [REQUEST] => false;
    a_request_is_not_the_part_of_the_same_number: [Crashed(&[REQUEST], 1), Crashed(&[REQUEST], 2), Crashed(&[REQUEST], 3), Crashed(&[REQUEST], 4)], [SYSTEM] => false;
    a_request_beside_fatal_ones_is_not: [Crashed(&[FATAL], 1), Crashed(&[OTHER], 1), Crashed(&[FATAL], 2), Crashed(&[OTHER], 2), Crashed(&[FATAL], 3), Crashed(&[OTHER], 3), Crashed(&[FATAL], 4), Crashed(&[OTHER], 4)], [SYSTEM, OTHER] => false;
}

fn crashed(parts: &mut Causes, at: Duration, part: Cause, crashes: std::ops::Range<u64>) {
    for crash in crashes {
        parts.record_crash(at, &[part], crash);
    }
}

#[test]
fn a_part_that_was_served_lately_is_not_fatal() {
    let mut parts = Causes::default();
    parts.record_success(NOW, &[SYSTEM]);
    crashed(&mut parts, NOW, SYSTEM, 0..9);
    let sound = Options::default().sound;
    let last = NOW + sound.checked_sub(Duration::from_millis(1)).unwrap();
    assert!(!parts.refuses(last, &[SYSTEM]));
    assert!(parts.refuses(NOW + sound, &[SYSTEM]));
}

#[test]
fn a_suspicion_expires() {
    let mut parts = Causes::default();
    crashed(&mut parts, NOW, FATAL, 0..4);
    assert!(parts.refuses(NOW, &[FATAL]));
    assert!(!parts.refuses(NOW + Options::default().retention, &[FATAL]));
}

#[test]
fn an_entry_that_served_a_part_clears_it_at_another() {
    let (mut one, mut other) = (Causes::default(), Causes::default());
    other.record_success(NOW, &[SYSTEM]);
    crashed(&mut one, NOW, SYSTEM, 0..4);
    assert!(one.refuses(NOW, &[SYSTEM]));
    let reply = other.merge(NOW, SYSTEM, &one.suspect(NOW, SYSTEM).unwrap());
    assert_eq!(one.merge(NOW, SYSTEM, &reply.unwrap()), None);
    assert!(!one.refuses(NOW, &[SYSTEM]));
}

#[test]
fn crashes_seen_by_several_entries_add_up_in_any_order() {
    let mut reports = Vec::new();
    for crash in 0..4 {
        let mut entry = Causes::default();
        reports.append(&mut entry.record_crash(NOW, &[FATAL], crash));
    }
    for _ in 0..2 {
        reports.reverse();
        let mut entry = Causes::default();
        for (cause, report) in reports.iter().chain(&reports) {
            entry.merge(NOW, *cause, report);
        }
        assert!(entry.refuses(NOW, &[FATAL]));
    }
}

#[test]
fn the_number_of_suspects_is_bounded() {
    let options = Options {
        capacity: 8,
        ..Options::default()
    };
    let mut parts = Causes::new(options);
    crashed(&mut parts, NOW, FATAL, 0..4);
    for part in 1000..2000 {
        parts.record_crash(NOW, &[Cause::Part(part)], part);
        let sound = Cause::Part(part + 5000);
        parts.record_success(NOW + Duration::from_millis(part), &[sound]);
    }
    assert!(parts.refuses(NOW + Duration::from_secs(1), &[FATAL]));
    assert_eq!(parts.fatal(NOW).len(), 1);
    assert_eq!(parts.suspect(NOW, Cause::Part(1000)), None);
}

/// Sizes of a simulated fleet.
#[derive(Clone, Copy)]
struct Sizes {
    engines: usize,
    entries: usize,
    /// What crashes each engine.
    fatal: Cause,
    /// Share of reports between entries that are lost.
    loss: f64,
}

/// A request that runs at an engine.
struct Run {
    ends_at: Duration,
    entry: usize,
    causes: Vec<Cause>,
}

/// Entries that send requests to engines. A crashed engine breaks off all that it runs and is back after some time.
struct Load {
    back_at: Vec<Duration>,
    crashed_at: Vec<Duration>,
    entries: Vec<Causes>,
    /// Arrivals of requests with the fatal cause at engines.
    fatal_arrivals: Vec<Duration>,
    now: Duration,
    refused: usize,
    requests: u64,
    rng: StdRng,
    running: BTreeMap<usize, Vec<Run>>,
    served: usize,
    sizes: Sizes,
}

impl Load {
    const DOWN: Duration = Duration::from_secs(3);
    const GOSSIP: Duration = Duration::from_secs(1);
    const FANOUT: usize = 3;
    const KEEPERS: u64 = 3;
    const STEP: Duration = Duration::from_millis(20);

    fn new(sizes: Sizes, seed: u64) -> Self {
        Self {
            back_at: vec![Duration::ZERO; sizes.engines],
            crashed_at: Vec::new(),
            entries: vec![Causes::default(); sizes.entries],
            fatal_arrivals: Vec::new(),
            now: NOW,
            refused: 0,
            requests: 0,
            rng: StdRng::seed_from_u64(seed),
            running: BTreeMap::new(),
            served: 0,
            sizes,
        }
    }

    /// Runs for 40 s; from the fifth one on, five requests a second have the fatal cause.
    fn run(&mut self) {
        let mut gossip_at = NOW;
        while self.now < NOW + Duration::from_secs(40) {
            self.now += Self::STEP;
            self.end_runs();
            if self.now >= gossip_at {
                gossip_at += Self::GOSSIP;
                self.gossip();
            }
            for _ in 0..self.sizes.engines / 12 {
                self.request(false);
            }
            if self.now > NOW + Duration::from_secs(5) && self.rng.random_bool(0.1) {
                self.request(true);
            }
        }
    }

    fn request(&mut self, is_fatal: bool) {
        let group = self.rng.random_range(0..6);
        self.requests += 1;
        let mut causes = vec![
            Cause::Part(10 + group % 2),
            Cause::Part(20 + group),
            Cause::Request(self.requests),
        ];
        if is_fatal {
            // Beside the fatal cause, the request has the same ones as others.
            match self.sizes.fatal {
                Cause::Part(_) => causes[1] = self.sizes.fatal,
                Cause::Request(_) => causes[2] = self.sizes.fatal,
            }
        }
        let entry = self.rng.random_range(0..self.sizes.entries);
        let engine = self.rng.random_range(0..self.sizes.engines);
        if self.back_at[engine] > self.now {
            return;
        }
        if self.entries[entry].refuses(self.now, &causes) {
            self.refused += usize::from(!is_fatal);
            return;
        }
        let ends_at = self.now + Duration::from_millis(self.rng.random_range(300..4000));
        let run = Run {
            ends_at,
            entry,
            causes,
        };
        self.running.entry(engine).or_default().push(run);
        if is_fatal {
            self.fatal_arrivals.push(self.now);
            self.crash(engine);
        } else {
            self.served += 1;
        }
    }

    fn crash(&mut self, engine: usize) {
        let crash = self.crashed_at.len() as u64;
        self.crashed_at.push(self.now);
        self.back_at[engine] = self.now + Self::DOWN;
        for run in self.running.remove(&engine).unwrap_or_default() {
            let reports = self.entries[run.entry].record_crash(self.now, &run.causes, crash);
            self.report(run.entry, &reports);
        }
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self
            .running
            .values_mut()
            .flat_map(|runs| {
                runs.extract_if(.., |run| run.ends_at <= now)
                    .collect::<Vec<_>>()
            })
            .collect();
        for run in ended {
            let reports = self.entries[run.entry].record_success(now, &run.causes);
            self.report(run.entry, &reports);
        }
    }

    fn gossip(&mut self) {
        for from in 0..self.sizes.entries {
            let entry = &self.entries[from];
            let fatal = entry.fatal(self.now);
            let fatal: Vec<_> = fatal
                .iter()
                .filter_map(|cause| Some((*cause, entry.suspect(self.now, *cause)?)))
                .collect();
            for _ in 0..Self::FANOUT {
                let to = self.rng.random_range(0..self.sizes.entries);
                for (cause, suspect) in &fatal {
                    self.send(from, to, *cause, suspect);
                }
            }
        }
    }

    /// Reports to the keepers of each cause, or to all entries once it is known from two crashes.
    fn report(&mut self, from: usize, reports: &[(Cause, Suspect)]) {
        for (cause, suspect) in reports {
            for to in 0..self.sizes.entries {
                let rank = (cause.id() + to as u64) % self.sizes.entries as u64;
                let is_keeper = rank < Self::KEEPERS;
                if is_keeper || is_known_widely(suspect) {
                    self.send(from, to, *cause, suspect);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, cause: Cause, suspect: &Suspect) {
        if from == to || self.rng.random_bool(self.sizes.loss) {
            return;
        }
        let known = self.entries[to].suspect(self.now, cause);
        if let Some(reply) = self.entries[to].merge(self.now, cause, suspect)
            && !self.rng.random_bool(self.sizes.loss)
        {
            self.entries[from].merge(self.now, cause, &reply);
        }
        let merged = self.entries[to].suspect(self.now, cause);
        if let Some(merged) = merged
            && is_known_widely(&merged)
            && !known.as_ref().is_some_and(is_known_widely)
            && !is_known_widely(suspect)
        {
            self.report(to, &[(cause, merged)]);
        }
    }
}

macro_rules! loads {
    ($($name:ident: $sizes:expr;)*) => {
        $(#[test]
        fn $name() {
            (0..20).for_each(|seed| stops_a_fatal_cause($sizes, seed));
        })*
    };
}

loads! {
    stops_a_fatal_part_in_a_small_fleet: Sizes { engines: 12, entries: 4, fatal: FATAL, loss: 0.0 };
    stops_a_fatal_part_in_a_large_fleet: Sizes { engines: 120, entries: 24, fatal: FATAL, loss: 0.0 };
    stops_a_fatal_part_while_reports_are_lost: Sizes { engines: 24, entries: 8, fatal: FATAL, loss: 0.3 };
    stops_a_fatal_request_in_a_small_fleet: Sizes { engines: 12, entries: 4, fatal: FATAL_REQUEST, loss: 0.0 };
    stops_a_fatal_request_in_a_large_fleet: Sizes { engines: 120, entries: 24, fatal: FATAL_REQUEST, loss: 0.0 };
    stops_a_fatal_request_while_reports_are_lost: Sizes { engines: 24, entries: 8, fatal: FATAL_REQUEST, loss: 0.3 };
}

/// The platform allows three more requests from 4 s after the fifth crash under a part, or the third under a request.
/// Sound requests share their first part with those that crash engines.
fn stops_a_fatal_cause(sizes: Sizes, seed: u64) {
    const CONTACT: Duration = Duration::from_secs(4);
    let mut load = Load::new(sizes, seed);
    load.run();
    let crashes = match sizes.fatal {
        Cause::Part(_) => 5,
        Cause::Request(_) => 3,
    };
    let late = load.crashed_at.get(crashes - 1).map_or(0, |last| {
        let late = |at: &&Duration| **at > *last + CONTACT;
        load.fatal_arrivals.iter().filter(late).count()
    });
    assert!(late <= 3, "seed {seed}: {late} late arrivals");
    assert!(
        load.refused * 20 <= load.served,
        "seed {seed}: {} sound requests refused, {} served",
        load.refused,
        load.served
    );
}
