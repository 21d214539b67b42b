//! Which sides a request is sent to, and the retry and link budgets.

mod support;

use almondwell_core::{Binding, Budget, Directory, LinkBudget, Site, Step};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeSet;
use std::time::Duration;

const LONG: Duration = Duration::from_secs(2);
const SHORT: Duration = Duration::from_millis(10);
const NOW: Duration = Duration::from_secs(1);

cases! {
    asks_one_side_of_the_region_then_the_rest_of_the_sample = check_local();
    counts_the_whole_sample_from_the_first_reservation_on = check_copies();
    asks_other_regions_when_its_own_has_none = check_remote_only();
    widens_until_all_sides_have_refused = check_widening();
    asks_other_regions_when_the_wait_is_long = check_long_wait();
    stays_in_the_region_when_the_link_budget_is_spent = check_spent();
    asks_the_home_of_the_prefix_first = check_home();
    asks_the_rest_of_the_sample_when_the_home_is_full = check_full_home();
    moves_only_the_prefixes_of_a_side_that_left = check_ring();
    replaces_unanswered_sides_on_renewal = check_renew();
    bounds_retries_to_a_share_of_traffic = check_budget();
    bounds_bytes_over_time = check_bytes();
}

/// Sides 0 to 5 are in the entry's region, 6 to 8 in another.
fn directory() -> Directory<usize> {
    let sites: Vec<_> = (0..9)
        .map(|side| Site {
            is_local: side < 6,
            side,
        })
        .collect();
    Directory::new(&sites, |side| side as u64)
}

fn random() -> StdRng {
    StdRng::seed_from_u64(7)
}

fn check_local() {
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut binding = Binding::new(3, 0, 0);
        let mut sides = binding.start(&mut random, &directory());
        assert_eq!(sides.len(), 1);
        sides.extend(ask_rest(&mut binding, sides[0], &mut random));
        let distinct: BTreeSet<_> = sides.iter().copied().collect();
        assert_eq!(distinct.len(), 3, "expected distinct sides, got {sides:?}");
        assert!(
            sides.iter().all(|side| *side < 6),
            "expected sides of the region, got {sides:?}"
        );
    }
}

/// Queues the request at `first`; returns the sides that are asked next.
fn ask_rest(binding: &mut Binding<usize>, first: usize, random: &mut StdRng) -> Vec<usize> {
    let mut link_budget = LinkBudget::new(0);
    match binding.queued(NOW, first, SHORT, random, &directory(), &mut link_budget) {
        Step::Ask(sides) => sides,
        step @ (Step::Refuse(_) | Step::Run(..) | Step::Wait) => panic!("unexpected {step:?}"),
    }
}

fn check_remote_only() {
    let remote = [Site {
        is_local: false,
        side: 1_u64,
    }];
    let directory = Directory::new(&remote, |side| side);
    let sides = Binding::new(3, 0, 0).start(&mut random(), &directory);
    assert_eq!(sides, [1]);
}

fn check_widening() {
    let mut binding = Binding::new(2, 0, 0);
    let mut link_budget = LinkBudget::new(1 << 20);
    let mut open = binding.start(&mut random(), &directory());
    let mut asked = open.len();
    loop {
        let side = open
            .pop()
            .expect("a side is still unanswered before the request is refused");
        let retry = Duration::from_secs(1 + side as u64);
        let step = binding.refused(
            NOW,
            side,
            retry,
            &mut random(),
            &directory(),
            &mut link_budget,
        );
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
            step @ Step::Run(..) => panic!("unexpected {step:?}"),
        }
    }
    // All six sides of the region and a sample of two from the other.
    assert_eq!(asked, 8);
}

/// Queues the request with `wait` at all sides of the first round; returns the last step.
fn queue_all(wait: Duration, link_budget: &mut LinkBudget) -> Step<usize> {
    let mut binding = Binding::new(3, 0, 1000);
    let first = binding.start(&mut random(), &directory())[0];
    let mut step = binding.queued(NOW, first, wait, &mut random(), &directory(), link_budget);
    let Step::Ask(rest) = step.clone() else {
        panic!("unexpected {step:?}");
    };
    assert_eq!(rest.len(), 2);
    for side in rest {
        step = binding.queued(NOW, side, wait, &mut random(), &directory(), link_budget);
    }
    step
}

fn check_long_wait() {
    let mut link_budget = LinkBudget::new(1 << 20);
    match queue_all(LONG, &mut link_budget) {
        Step::Ask(sides) => assert!(
            sides.iter().all(|side| *side >= 6),
            "expected sides of the other region, got {sides:?}"
        ),
        step @ (Step::Refuse(_) | Step::Run(..) | Step::Wait) => panic!("unexpected {step:?}"),
    }
    assert_eq!(queue_all(SHORT, &mut link_budget), Step::Wait);
}

fn check_spent() {
    let mut link_budget = LinkBudget::new(100);
    assert_eq!(queue_all(LONG, &mut link_budget), Step::Wait);
}

fn check_home() {
    let prefix = 42;
    let home = directory()
        .home(prefix)
        .expect("the directory has a side in the region");
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut binding = Binding::new(3, prefix, 0);
        assert_eq!(binding.start(&mut random, &directory()), [home]);
    }
}

fn check_full_home() {
    let prefix = 42;
    let home = directory()
        .home(prefix)
        .expect("the directory has a side in the region");
    let mut binding = Binding::new(3, prefix, 0);
    binding.start(&mut random(), &directory());
    let rest = ask_rest(&mut binding, home, &mut random());
    assert_eq!(rest.len(), 2);
    assert!(
        !rest.contains(&home),
        "expected sides other than the home {home}, got {rest:?}"
    );
}

/// The first side queues only if the others are asked too, so its reservation counts them already.
fn check_copies() {
    let mut binding = Binding::new(3, 0, 0);
    let first = binding.start(&mut random(), &directory())[0];
    assert_eq!(binding.copies(), 3);
    ask_rest(&mut binding, first, &mut random());
    assert_eq!(binding.copies(), 3);
}

/// Only prefixes whose home was the side that left get a new home.
fn check_ring() {
    let fewer: Vec<_> = (1..6)
        .map(|side| Site {
            is_local: true,
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
    let first = binding.start(&mut random(), &directory())[0];
    let unanswered = ask_rest(&mut binding, first, &mut random());
    let renewed = binding.renew(&mut random(), &directory());
    assert_eq!(unanswered.len(), 2);
    assert_eq!(renewed.len(), 3);
    assert!(renewed.contains(&first));
}

/// In an outage in which every attempt fails, retries are limited to the initial tokens and a tenth of
/// the traffic.
fn check_budget() {
    let mut budget = Budget::default();
    let mut retries = 0;
    for _ in 0..1000 {
        budget.earn();
        for _ in 0..2 {
            retries += u32::from(budget.spend());
        }
    }
    assert!(
        (100..=110).contains(&retries),
        "expected 100 to 110 retries, got {retries}"
    );
}

fn check_bytes() {
    let mut link_budget = LinkBudget::new(1000);
    let mut sent = 0;
    for step in 0..100 {
        let now = Duration::from_millis(100) * step;
        while link_budget.take(now, 100) {
            sent += 100;
        }
    }
    // A burst of two seconds and ten seconds at the rate.
    assert!(
        (11_000..=12_000).contains(&sent),
        "expected 11000 to 12000 bytes, got {sent}"
    );
}
