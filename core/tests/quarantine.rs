//! How requests that are suspected of crashing upstreams may run.

use almondwell_core::quarantine::{Options, Quarantine, Treatment};
use almondwell_schema::{Crash, Evidence, Suspect};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);
const REQUEST: u64 = 7;

/// How one run of the request ended.
#[derive(Clone, Copy)]
enum Event {
    CrashedAlone,
    CrashedShared,
    Succeeded,
}

use Event::{CrashedAlone, CrashedShared, Succeeded};

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
    a_shared_crash_makes_a_suspect: [CrashedShared] => Alone;
    a_crash_alone_makes_a_suspect: [CrashedAlone] => Alone;
    a_shared_crash_then_one_alone_is_refused: [CrashedShared, CrashedAlone] => Refused;
    two_crashes_alone_are_refused: [CrashedAlone, CrashedAlone] => Refused;
    two_shared_crashes_still_allow_running_alone: [CrashedShared, CrashedShared] => Alone;
    three_shared_crashes_are_refused: [CrashedShared, CrashedShared, CrashedShared] => Refused;
    a_shared_crash_is_cleared_by_success_alone: [CrashedShared, Succeeded] => Free;
    a_cleared_request_can_become_a_suspect_again: [CrashedShared, Succeeded, CrashedShared] => Alone;
    a_crash_alone_is_never_cleared: [CrashedAlone, Succeeded] => Alone;
    a_refused_request_stays_refused: [CrashedShared, CrashedAlone, Succeeded] => Refused;
}

fn after(events: &[Event]) -> Treatment {
    let mut quarantine = Quarantine::default();
    for (id, event) in (0..).zip(events) {
        match event {
            CrashedAlone => {
                quarantine.record_crash(NOW, REQUEST, id, true);
            }
            CrashedShared => {
                quarantine.record_crash(NOW, REQUEST, id, false);
            }
            Succeeded => {
                quarantine.record_success(NOW, REQUEST);
            }
        }
    }
    quarantine.treatment(NOW, REQUEST)
}

#[test]
fn a_suspect_expires_after_the_retention() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(NOW, REQUEST, 1, true);
    let retention = Options::default().retention;
    let last = NOW + retention.checked_sub(Duration::from_secs(1)).unwrap();
    assert_eq!(quarantine.treatment(last, REQUEST), Treatment::Alone);
    assert_eq!(
        quarantine.treatment(NOW + retention, REQUEST),
        Treatment::Free
    );
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
        quarantine.record_crash(now, fingerprint, fingerprint, false);
    }
    assert_eq!(quarantine.len(), 4);
    let now = NOW + Duration::from_secs(100);
    assert_eq!(quarantine.treatment(now, 99), Treatment::Alone);
}

#[test]
fn a_received_lifetime_is_capped_at_the_retention() {
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
    let retention = Options::default().retention;
    assert_eq!(
        quarantine.treatment(NOW + retention, REQUEST),
        Treatment::Free
    );
}

#[test]
fn merging_is_commutative_and_idempotent() {
    for seed in 0..500 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut suspects: Vec<Suspect> = (0..random.random_range(1..8))
            .map(|_| random_suspect(&mut random))
            .collect();
        let mut merged = Quarantine::default();
        for suspect in &suspects {
            merged.merge(NOW, suspect);
        }
        suspects.shuffle(&mut random);
        let mut shuffled = Quarantine::default();
        for suspect in suspects.iter().chain(&suspects) {
            shuffled.merge(NOW, suspect);
        }
        assert_eq!(merged.suspects(NOW), shuffled.suspects(NOW), "seed {seed}");
        for fingerprint in 0..3 {
            assert_eq!(
                merged.treatment(NOW, fingerprint),
                shuffled.treatment(NOW, fingerprint),
                "seed {seed}"
            );
        }
    }
}

fn random_suspect(random: &mut StdRng) -> Suspect {
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
