//! Parts of prompts that crash upstreams, told apart from those that are merely beside them.

use almondwell_core::fatal_parts::{FatalParts, Options};
use almondwell_schema::Suspect;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);
const FATAL: u64 = 0xbad;
const SYSTEM: u64 = 1;
const OTHER: u64 = 2;

/// What became of one request.
#[derive(Clone, Copy)]
enum Event {
    /// Its upstream crashed; the crash has this number.
    Crashed(&'static [u64], u64),
    Served(&'static [u64]),
}

use Event::{Crashed, Served};

macro_rules! cases {
    ($($name:ident: $events:expr, $parts:expr => $is_fatal:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut parts = FatalParts::default();
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
    a_request_beside_fatal_ones_is_not: [Crashed(&[FATAL], 1), Crashed(&[OTHER], 1), Crashed(&[FATAL], 2), Crashed(&[OTHER], 2), Crashed(&[FATAL], 3), Crashed(&[OTHER], 3), Crashed(&[FATAL], 4), Crashed(&[OTHER], 4)], [SYSTEM, OTHER] => false;
}

fn crashed(parts: &mut FatalParts, at: Duration, part: u64, crashes: std::ops::Range<u64>) {
    for crash in crashes {
        parts.record_crash(at, &[part], crash);
    }
}

#[test]
fn a_part_that_was_served_lately_is_not_fatal() {
    let mut parts = FatalParts::default();
    parts.record_success(NOW, &[SYSTEM]);
    crashed(&mut parts, NOW, SYSTEM, 0..9);
    let sound = Options::default().sound;
    let last = NOW + sound.checked_sub(Duration::from_millis(1)).unwrap();
    assert!(!parts.refuses(last, &[SYSTEM]));
    assert!(parts.refuses(NOW + sound, &[SYSTEM]));
}

#[test]
fn a_suspicion_expires() {
    let mut parts = FatalParts::default();
    crashed(&mut parts, NOW, FATAL, 0..4);
    assert!(parts.refuses(NOW, &[FATAL]));
    assert!(!parts.refuses(NOW + Options::default().retention, &[FATAL]));
}

#[test]
fn an_entry_that_served_a_part_clears_it_at_another() {
    let (mut one, mut other) = (FatalParts::default(), FatalParts::default());
    other.record_success(NOW, &[SYSTEM]);
    crashed(&mut one, NOW, SYSTEM, 0..4);
    assert!(one.refuses(NOW, &[SYSTEM]));
    let reply = other.merge(NOW, &one.suspect(NOW, SYSTEM).unwrap());
    assert_eq!(one.merge(NOW, &reply.unwrap()), None);
    assert!(!one.refuses(NOW, &[SYSTEM]));
}

#[test]
fn crashes_seen_by_several_entries_add_up_in_any_order() {
    let mut reports = Vec::new();
    for crash in 0..4 {
        let mut entry = FatalParts::default();
        reports.append(&mut entry.record_crash(NOW, &[FATAL], crash));
    }
    for _ in 0..2 {
        reports.reverse();
        let mut entry = FatalParts::default();
        for report in reports.iter().chain(&reports) {
            entry.merge(NOW, report);
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
    let mut parts = FatalParts::new(options);
    crashed(&mut parts, NOW, FATAL, 0..4);
    for part in 1000..2000 {
        parts.record_crash(NOW, &[part], part);
        parts.record_success(NOW + Duration::from_millis(part), &[part + 5000]);
    }
    assert!(parts.refuses(NOW + Duration::from_secs(1), &[FATAL]));
    assert_eq!(parts.fatal(NOW).len(), 1);
    assert_eq!(parts.suspect(NOW, 1000), None);
}

/// Sizes of a simulated fleet.
#[derive(Clone, Copy)]
struct Sizes {
    engines: usize,
    entries: usize,
    /// Share of reports between entries that are lost.
    loss: f64,
}

/// A request that runs at an engine.
struct Run {
    ends_at: Duration,
    entry: usize,
    parts: Vec<u64>,
}

/// Entries that send requests to engines. A crashed engine breaks off all that it runs and is back after some time.
struct Load {
    back_at: Vec<Duration>,
    crashed_at: Vec<Duration>,
    entries: Vec<FatalParts>,
    /// Arrivals of requests with the fatal part at engines.
    fatal_arrivals: Vec<Duration>,
    now: Duration,
    refused: usize,
    rng: StdRng,
    running: BTreeMap<usize, Vec<Run>>,
    served: usize,
    sizes: Sizes,
}

impl Load {
    const DOWN: Duration = Duration::from_secs(3);
    const GOSSIP: Duration = Duration::from_secs(1);
    const FANOUT: usize = 3;
    const STEP: Duration = Duration::from_millis(20);

    fn new(sizes: Sizes, seed: u64) -> Self {
        Self {
            back_at: vec![Duration::ZERO; sizes.engines],
            crashed_at: Vec::new(),
            entries: vec![FatalParts::default(); sizes.entries],
            fatal_arrivals: Vec::new(),
            now: NOW,
            refused: 0,
            rng: StdRng::seed_from_u64(seed),
            running: BTreeMap::new(),
            served: 0,
            sizes,
        }
    }

    /// Runs for 40 s; from the fifth one on, five requests a second have the fatal part.
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
        let part = if is_fatal { FATAL } else { 20 + group };
        let parts = vec![10 + group % 2, part];
        let entry = self.rng.random_range(0..self.sizes.entries);
        let engine = self.rng.random_range(0..self.sizes.engines);
        if self.back_at[engine] > self.now {
            return;
        }
        if self.entries[entry].refuses(self.now, &parts) {
            self.refused += usize::from(!is_fatal);
            return;
        }
        let ends_at = self.now + Duration::from_millis(self.rng.random_range(300..4000));
        let run = Run {
            ends_at,
            entry,
            parts,
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
            let reports = self.entries[run.entry].record_crash(self.now, &run.parts, crash);
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
            let reports = self.entries[run.entry].record_success(now, &run.parts);
            self.report(run.entry, &reports);
        }
    }

    fn gossip(&mut self) {
        for from in 0..self.sizes.entries {
            let fatal = self.entries[from].fatal(self.now);
            for _ in 0..Self::FANOUT {
                let to = self.rng.random_range(0..self.sizes.entries);
                for part in &fatal {
                    self.send(from, to, part);
                }
            }
        }
    }

    fn report(&mut self, from: usize, reports: &[Suspect]) {
        for report in reports {
            for to in 0..self.sizes.entries {
                self.send(from, to, report);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, suspect: &Suspect) {
        if from == to || self.rng.random_bool(self.sizes.loss) {
            return;
        }
        if let Some(reply) = self.entries[to].merge(self.now, suspect)
            && !self.rng.random_bool(self.sizes.loss)
        {
            self.entries[from].merge(self.now, &reply);
        }
    }
}

macro_rules! loads {
    ($($name:ident: $sizes:expr;)*) => {
        $(#[test]
        fn $name() {
            (0..20).for_each(|seed| stops_a_fatal_part($sizes, seed));
        })*
    };
}

loads! {
    stops_a_fatal_part_in_a_small_fleet: Sizes { engines: 12, entries: 4, loss: 0.0 };
    stops_a_fatal_part_in_a_large_fleet: Sizes { engines: 120, entries: 24, loss: 0.0 };
    stops_a_fatal_part_while_reports_are_lost: Sizes { engines: 24, entries: 8, loss: 0.3 };
}

/// The platform allows three more requests from 4 s after the fifth crash on. Sound requests share their first part
/// with those that crash engines.
fn stops_a_fatal_part(sizes: Sizes, seed: u64) {
    const CONTACT: Duration = Duration::from_secs(4);
    let mut load = Load::new(sizes, seed);
    load.run();
    let late = load.crashed_at.get(4).map_or(0, |fifth| {
        let late = |at: &&Duration| **at > *fifth + CONTACT;
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
