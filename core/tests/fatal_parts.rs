//! Parts of prompts that crash upstreams, told apart from those that are merely beside them.

use almondwell_core::fatal_parts::{FatalParts, Options};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
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
            assert_eq!(parts.is_fatal(later, &$parts), $is_fatal);
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
    assert!(!parts.is_fatal(last, &[SYSTEM]));
    assert!(parts.is_fatal(NOW + sound, &[SYSTEM]));
}

#[test]
fn a_suspicion_expires() {
    let mut parts = FatalParts::default();
    crashed(&mut parts, NOW, FATAL, 0..4);
    assert!(parts.is_fatal(NOW, &[FATAL]));
    assert!(!parts.is_fatal(NOW + Options::default().retention, &[FATAL]));
}

#[test]
fn an_entry_that_served_a_part_clears_it_at_another() {
    let (mut one, mut other) = (FatalParts::default(), FatalParts::default());
    other.record_success(NOW, &[SYSTEM]);
    crashed(&mut one, NOW, SYSTEM, 0..4);
    assert!(one.is_fatal(NOW, &[SYSTEM]));
    let reply = other.merge(NOW, &one.suspect(NOW, SYSTEM).unwrap());
    assert_eq!(one.merge(NOW, &reply.unwrap()), None);
    assert!(!one.is_fatal(NOW, &[SYSTEM]));
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
        assert!(entry.is_fatal(NOW, &[FATAL]));
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
    assert!(parts.is_fatal(NOW + Duration::from_secs(1), &[FATAL]));
    assert_eq!(parts.fatal(NOW).len(), 1);
    assert_eq!(parts.suspect(NOW, 1000), None);
}

/// Load of the incident: entries send sound requests of a few groups and requests with a fatal part to engines that
/// run several at once; a crashed engine breaks off all of them and is back after three seconds.
#[test]
fn stops_a_fatal_part_under_load_and_serves_the_rest() {
    const ENTRIES: usize = 4;
    const ENGINES: usize = 12;
    const DOWN: Duration = Duration::from_secs(3);
    const STEP: Duration = Duration::from_millis(20);
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut entries = vec![FatalParts::default(); ENTRIES];
        let mut back_at = [Duration::ZERO; ENGINES];
        let mut lives = [0; ENGINES];
        // Requests that run at an engine: entry, parts, and when they end.
        let mut running: BTreeMap<usize, Vec<(usize, Vec<u64>, Duration)>> = BTreeMap::new();
        let mut crashes = BTreeSet::new();
        let (mut sound, mut refused) = (0, 0);
        let mut now = NOW;
        while now < NOW + Duration::from_secs(40) {
            now += STEP;
            for requests in running.values_mut() {
                let ended = requests.extract_if(.., |(_, _, end)| *end <= now);
                for (entry, parts, _) in ended.collect::<Vec<_>>() {
                    for report in entries[entry].record_success(now, &parts) {
                        merge_at_others(&mut entries, now, entry, &report);
                    }
                }
            }
            let is_fatal = now > NOW + Duration::from_secs(5) && rng.random_bool(0.1);
            let group = rng.random_range(0..6);
            let part = if is_fatal { FATAL } else { 20 + group };
            let parts = vec![10 + group % 2, part];
            let entry = rng.random_range(0..ENTRIES);
            let engine = rng.random_range(0..ENGINES);
            if back_at[engine] > now {
                continue;
            }
            if entries[entry].is_fatal(now, &parts) {
                refused += usize::from(!is_fatal);
                continue;
            }
            sound += usize::from(!is_fatal);
            let end = now + Duration::from_millis(rng.random_range(300..4000));
            running.entry(engine).or_default().push((entry, parts, end));
            if !is_fatal {
                continue;
            }
            let crash = (engine * 1000 + lives[engine]) as u64;
            lives[engine] += 1;
            crashes.insert(crash);
            back_at[engine] = now + DOWN;
            for (entry, parts, _) in running.remove(&engine).unwrap_or_default() {
                for report in entries[entry].record_crash(now, &parts, crash) {
                    merge_at_others(&mut entries, now, entry, &report);
                }
            }
        }
        assert!(crashes.len() <= 5, "seed {seed}: {} crashes", crashes.len());
        assert!(
            refused * 20 <= sound,
            "seed {seed}: {refused} of {sound} sound requests refused"
        );
    }
}

fn merge_at_others(
    entries: &mut [FatalParts],
    now: Duration,
    from: usize,
    report: &almondwell_schema::Suspect,
) {
    for other in (0..entries.len()).filter(|other| *other != from) {
        if let Some(reply) = entries[other].merge(now, report) {
            entries[from].merge(now, &reply);
        }
    }
}
