//! Model of processes that hold the lease of the duties, in all interleavings of their calls and faults.

mod provider;
mod state;
#[path = "../support/mod.rs"]
mod support;
mod world;

use almondwell_core::lease::{Lease, Step};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use world::{Bounds, Event, PROCESSES, World, process, time};

const RANDOM_RUNS: u64 = 40_000;
const RANDOM_STEPS: u32 = 300;

cases! {
    no_interleaving_of_delayed_writes_breaks_an_invariant = explore(&Bounds { lost: 1, ..Bounds::default() });
    no_interleaving_of_releases_and_restarts_breaks_an_invariant =
        explore(&Bounds { releases: 1, restarts: 1, ..Bounds::default() });
    no_interleaving_breaks_an_invariant_where_the_provider_checks_numbers =
        explore(&Bounds { is_fenced: true, lost: 1, ..Bounds::default() });
    no_random_run_breaks_an_invariant = run_randomly(false);
    no_random_run_breaks_an_invariant_where_the_provider_checks_numbers = run_randomly(true);
    a_released_lease_is_acquired_at_once = succeeds_at_once();
    a_lease_is_kept_through_a_lost_response = keeps_after_lost_response();
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
    second.record_stale_read(time(4), Some((2, Some(write.record.clone()))));
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
    lease.record_read(time(4), Some((1, Some(write.record))));
    assert_eq!(lease.number(time(4)), Some(1));
    // It counts from before the write and not from the read.
    assert_eq!(lease.end(), Some(time(6)));
}
