//! Decisions on requests that crash upstreams.

use almondwell_core::quarantine::{Options, Quarantine, Treatment};
use almondwell_schema::{Crash, Evidence, Suspect};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);
const REQUEST: u64 = 7;

/// What a request meets, in order.
#[derive(Clone, Copy)]
enum Event {
    Alone,
    Beside,
    Passed,
}

use Event::{Alone, Beside, Passed};

macro_rules! cases {
    ($($name:ident: $events:expr => $treatment:ident;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(after(&$events), Treatment::$treatment);
        })*
    };
}

cases! {
    an_unknown_request_is_free: [] => Free;
    a_crash_beside_others_makes_a_suspect: [Beside] => Alone;
    a_crash_alone_makes_a_suspect: [Alone] => Alone;
    a_second_crash_alone_is_refused: [Beside, Alone] => Refused;
    two_crashes_alone_are_refused: [Alone, Alone] => Refused;
    a_bystander_of_two_crashes_still_runs_alone: [Beside, Beside] => Alone;
    a_bystander_of_three_crashes_is_refused: [Beside, Beside, Beside] => Refused;
    a_bystander_is_cleared_by_a_run_alone: [Beside, Passed] => Free;
    a_cleared_request_starts_again: [Beside, Passed, Beside] => Alone;
    a_crash_alone_is_never_cleared: [Alone, Passed] => Alone;
    a_refused_request_stays_refused: [Beside, Alone, Passed] => Refused;
}

fn after(events: &[Event]) -> Treatment {
    let mut quarantine = Quarantine::default();
    for (id, event) in (0..).zip(events) {
        match event {
            Alone => {
                quarantine.crashed(NOW, REQUEST, id, true);
            }
            Beside => {
                quarantine.crashed(NOW, REQUEST, id, false);
            }
            Passed => {
                quarantine.passed(NOW, REQUEST);
            }
        }
    }
    quarantine.treatment(NOW, REQUEST)
}

#[test]
fn a_suspect_is_forgotten_after_its_time() {
    let mut quarantine = Quarantine::default();
    quarantine.crashed(NOW, REQUEST, 1, true);
    let memory = Options::default().memory;
    let last = NOW + memory.checked_sub(Duration::from_secs(1)).unwrap();
    assert_eq!(quarantine.treatment(last, REQUEST), Treatment::Alone);
    assert_eq!(quarantine.treatment(NOW + memory, REQUEST), Treatment::Free);
    assert!(quarantine.is_empty());
}

#[test]
fn the_number_of_suspects_is_bounded() {
    let options = Options {
        capacity: 4,
        ..Options::default()
    };
    let mut quarantine = Quarantine::new(options);
    for fingerprint in 0..100 {
        let now = NOW + Duration::from_secs(fingerprint);
        quarantine.crashed(now, fingerprint, fingerprint, false);
    }
    assert_eq!(quarantine.len(), 4);
    let now = NOW + Duration::from_secs(100);
    assert_eq!(quarantine.treatment(now, 99), Treatment::Alone);
}

#[test]
fn a_claimed_time_beyond_the_memory_is_cut() {
    let mut quarantine = Quarantine::default();
    let suspect = Suspect {
        fingerprint: REQUEST,
        crashes: vec![Crash {
            id: 1,
            evidence: Evidence::Shared,
        }],
        left: Duration::MAX,
    };
    assert!(quarantine.merge(NOW, &suspect));
    let memory = Options::default().memory;
    assert_eq!(quarantine.treatment(NOW + memory, REQUEST), Treatment::Free);
}

#[test]
fn merges_reach_the_same_treatment_in_any_order_and_number() {
    for seed in 0..500 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut suspects: Vec<Suspect> = (0..random.random_range(1..8))
            .map(|_| draw(&mut random))
            .collect();
        let mut once = Quarantine::default();
        for suspect in &suspects {
            once.merge(NOW, suspect);
        }
        suspects.shuffle(&mut random);
        let mut again = Quarantine::default();
        for suspect in suspects.iter().chain(&suspects) {
            again.merge(NOW, suspect);
        }
        assert_eq!(once.suspects(NOW), again.suspects(NOW), "seed {seed}");
        for fingerprint in 0..3 {
            assert_eq!(
                once.treatment(NOW, fingerprint),
                again.treatment(NOW, fingerprint),
                "seed {seed}"
            );
        }
    }
}

fn draw(random: &mut StdRng) -> Suspect {
    let crashes = (0..random.random_range(1..3))
        .map(|_| Crash {
            id: random.random_range(0..4),
            evidence: Evidence::ALL[random.random_range(0..Evidence::ALL.len())],
        })
        .collect();
    Suspect {
        fingerprint: random.random_range(0..3),
        crashes,
        left: Duration::from_mins(1),
    }
}
