//! Which sides are asked and which offer is taken.

mod support;

use almondwell_core::{Binding, Budget, Directory, Site, Spill, Step};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

const LONG: Duration = Duration::from_secs(2);
const SHORT: Duration = Duration::from_millis(10);
const NOW: Duration = Duration::from_secs(1);

cases! {
    asks_sides_of_its_region = check_near();
    asks_other_regions_when_its_own_has_none = check_far_only();
    widens_until_all_sides_refused = check_widening();
    spills_when_the_wait_is_long = check_spill();
    stays_when_the_byte_budget_is_spent = check_spent();
    takes_the_offer_of_the_prefix_home = check_home();
    takes_the_held_offer_when_the_home_is_full = check_full_home();
    keeps_homes_when_a_side_leaves = check_ring();
    drops_silent_sides_when_it_renews = check_renew();
    bounds_retries_to_a_share_of_traffic = check_budget();
    bounds_bytes_over_time = check_bytes();
}

/// Sides 0 to 5 are near, 6 to 8 are far.
fn directory() -> Directory<usize> {
    let sites: Vec<_> = (0..9)
        .map(|side| Site {
            is_near: side < 6,
            side,
        })
        .collect();
    Directory::new(&sites, |side| side as u64)
}

fn random() -> StdRng {
    StdRng::seed_from_u64(7)
}

fn check_near() {
    for seed in 0..100 {
        let mut binding = Binding::new(3, 0, 0);
        let sides = binding.start(&mut StdRng::seed_from_u64(seed), &directory());
        assert_eq!(sides.len(), 3);
        assert!(sides.iter().all(|side| *side < 6), "{sides:?}");
    }
}

fn check_far_only() {
    let far = [Site {
        is_near: false,
        side: 1_u64,
    }];
    let directory = Directory::new(&far, |side| side);
    let sides = Binding::new(3, 0, 0).start(&mut random(), &directory);
    assert_eq!(sides, [1]);
}

fn check_widening() {
    let mut binding = Binding::new(2, 0, 0);
    let mut spill = Spill::new(1 << 20);
    let mut open = binding.start(&mut random(), &directory());
    let mut asked = open.len();
    loop {
        let side = open.pop().expect("a side is open until the refusal");
        let retry = Duration::from_secs(1 + side as u64);
        let step = binding.refused(NOW, side, retry, &mut random(), &directory(), &mut spill);
        match step {
            Step::Ask(sides) => {
                asked += sides.len();
                open.extend(sides);
            }
            Step::Refuse(retry) => {
                assert_eq!(retry, Duration::from_secs(1));
                break;
            }
            Step::Wait => assert!(!open.is_empty()),
            step @ (Step::Hold(_) | Step::Run(..)) => panic!("{step:?}"),
        }
    }
    // All of the region and a sample of the other.
    assert_eq!(asked, 8);
}

/// Answers all first sides with `wait`; returns the last step.
fn queue_all(wait: Duration, spill: &mut Spill) -> Step<usize> {
    let mut binding = Binding::new(3, 0, 1000);
    let mut step = Step::Wait;
    for side in binding.start(&mut random(), &directory()) {
        step = binding.queued(NOW, side, wait, &mut random(), &directory(), spill);
    }
    step
}

fn check_spill() {
    let mut spill = Spill::new(1 << 20);
    match queue_all(LONG, &mut spill) {
        Step::Ask(sides) => assert!(sides.iter().all(|side| *side >= 6), "{sides:?}"),
        step @ (Step::Hold(_) | Step::Refuse(_) | Step::Run(..) | Step::Wait) => {
            panic!("{step:?}")
        }
    }
    assert_eq!(queue_all(SHORT, &mut spill), Step::Wait);
}

fn check_spent() {
    let mut spill = Spill::new(100);
    assert_eq!(queue_all(LONG, &mut spill), Step::Wait);
}

fn check_home() {
    let prefix = 42;
    let home = directory().home(prefix).expect("a side is near");
    let mut binding = Binding::new(3, prefix, 0);
    let sides = binding.start(&mut random(), &directory());
    assert!(sides.contains(&home));
    let other = sides
        .iter()
        .find(|side| **side != home)
        .expect("three are asked");
    assert!(matches!(binding.granted(*other, 1), Step::Hold(_)));
    assert_eq!(binding.granted(home, 2), Step::Run(home, 2));
}

fn check_full_home() {
    let prefix = 42;
    let home = directory().home(prefix).expect("a side is near");
    let mut binding = Binding::new(3, prefix, 0);
    let sides = binding.start(&mut random(), &directory());
    let other = *sides
        .iter()
        .find(|side| **side != home)
        .expect("three are asked");
    assert!(matches!(binding.granted(other, 1), Step::Hold(_)));
    let mut spill = Spill::new(0);
    let step = binding.queued(NOW, home, SHORT, &mut random(), &directory(), &mut spill);
    assert_eq!(step, Step::Run(other, 1));
}

/// Only prefixes of the side that left move.
fn check_ring() {
    let fewer: Vec<_> = (1..6)
        .map(|side| Site {
            is_near: true,
            side,
        })
        .collect();
    let fewer = Directory::new(&fewer, |side| side as u64);
    for prefix in 1..1000 {
        let before = directory().home(prefix);
        if before != Some(0) {
            assert_eq!(fewer.home(prefix), before, "prefix {prefix}");
        }
    }
}

fn check_renew() {
    let mut binding = Binding::new(3, 0, 0);
    let mut spill = Spill::new(0);
    let sides = binding.start(&mut random(), &directory());
    binding.queued(
        NOW,
        sides[0],
        SHORT,
        &mut random(),
        &directory(),
        &mut spill,
    );
    let again = binding.renew(&mut random(), &directory());
    assert_eq!(again.len(), 3);
    assert!(again.contains(&sides[0]));
}

/// An outage in which every attempt fails: retries end at the first tokens and a tenth of traffic.
fn check_budget() {
    let mut budget = Budget::default();
    let mut retries = 0;
    for _ in 0..1000 {
        budget.earn();
        for _ in 0..2 {
            retries += u32::from(budget.spend());
        }
    }
    assert!((100..=110).contains(&retries), "{retries}");
}

fn check_bytes() {
    let mut spill = Spill::new(1000);
    let mut sent = 0;
    for step in 0..100 {
        let now = Duration::from_millis(100) * step;
        while spill.spend(now, 100) {
            sent += 100;
        }
    }
    // Two seconds of burst and ten of rate.
    assert!((11_000..=12_000).contains(&sent), "{sent}");
}
