//! States of sides as instance lists and answers arrive.

use almondwell_core::membership::{Settings, State};
use almondwell_core::{Membership, subset};
use almondwell_schema::{Epoch, Instance, Role};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const OLD: Epoch = 7;
const NEW: Epoch = 8;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn instance(id: &str, port: u16, leaving: bool) -> Instance {
    Instance {
        id: id.into(),
        role: Role::Side,
        pool: "drafting".into(),
        address: address(port),
        zone: "kagoshima-a".into(),
        region: "kyushu-south".into(),
        leaving,
    }
}

/// One event at an entry; times are in milliseconds.
enum Step {
    Request(u16),
    Check(u64),
    Answer(u16, Epoch),
    Leave(u16, Epoch),
    List(Vec<Instance>),
}

use Step::{Answer, Check, Leave, List, Request};

/// Applies `steps`; each happens at the time of the last `Check`.
fn run(steps: Vec<Step>) -> Membership {
    let mut membership = Membership::new(Settings::default());
    let mut now = Duration::ZERO;
    for step in steps {
        match step {
            Request(port) => request(&membership, address(port), now),
            Check(millis) => {
                now = Duration::from_millis(millis);
                membership.check(now);
            }
            Answer(port, epoch) => {
                membership.record_answer(address(port), epoch);
            }
            Leave(port, epoch) => {
                membership.record_leaving(address(port), epoch);
            }
            List(instances) => {
                membership.apply_list(&instances);
            }
        }
    }
    membership
}

fn request(membership: &Membership, address: SocketAddr, now: Duration) {
    for (_, candidate) in membership.candidates() {
        if candidate.instance.address == address {
            candidate.liveness.record_request(now);
        }
    }
}

macro_rules! states {
    ($($name:ident: [$($step:expr),* $(,)?] => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            let membership = run(vec![$($step),*]);
            assert_eq!(membership.state(address(1)), $expected);
        })*
    };
}

fn listed() -> Step {
    List(vec![instance("a", 1, false)])
}

fn listed_leaving() -> Step {
    List(vec![instance("a", 1, true)])
}

states! {
    a_listed_side_is_live: [listed()] => Some(State::Live);
    a_listed_leaving_side_is_leaving: [listed_leaving()] => Some(State::Leaving);
    an_unlisted_side_is_unknown: [listed(), List(Vec::new())] => None;
    an_unlisted_side_that_answers_stays_unknown: [Answer(1, OLD)] => None;
    an_idle_side_is_never_suspected: [listed(), Check(60_000)] => Some(State::Live);
    a_side_that_answers_stays_live:
        [listed(), Request(1), Answer(1, OLD), Check(1_000)] => Some(State::Live);
    a_side_within_its_lease_stays_live: [listed(), Request(1), Check(399)] => Some(State::Live);
    an_unresponsive_side_is_suspected: [listed(), Request(1), Check(400)] => Some(State::Suspect);
    later_requests_do_not_extend_the_lease:
        [listed(), Request(1), Check(300), Request(1), Check(400)] => Some(State::Suspect);
    a_suspect_that_answers_is_live:
        [listed(), Request(1), Check(400), Answer(1, OLD)] => Some(State::Live);
    a_suspect_stays_suspect_when_listed_again:
        [listed(), Request(1), Check(400), listed()] => Some(State::Suspect);
    a_side_that_reports_leaving_is_leaving: [listed(), Leave(1, OLD)] => Some(State::Leaving);
    a_lagging_list_does_not_revive_a_leaving_side:
        [listed(), Leave(1, OLD), listed()] => Some(State::Leaving);
    a_late_answer_does_not_revive_a_leaving_side:
        [listed(), Leave(1, OLD), Answer(1, OLD)] => Some(State::Leaving);
    a_new_incarnation_is_live:
        [listed(), Leave(1, OLD), Answer(1, NEW)] => Some(State::Live);
    a_new_incarnation_stays_live_while_the_list_says_leaving:
        [listed(), Leave(1, OLD), listed_leaving(), Answer(1, NEW), listed_leaving()]
        => Some(State::Live);
    a_new_id_at_the_same_address_is_live:
        [listed(), Leave(1, OLD), List(vec![instance("b", 1, false)])] => Some(State::Live);
    a_replacement_supersedes_a_leaving_instance_listed_first:
        [List(vec![instance("a", 1, true), instance("b", 1, false)])] => Some(State::Live);
    a_replacement_supersedes_a_leaving_instance_listed_after:
        [List(vec![instance("a", 1, false), instance("b", 1, true)])] => Some(State::Live);
    an_instance_that_moved_frees_its_old_address:
        [listed(), List(vec![instance("a", 2, false)])] => None;
}

#[test]
fn probes_of_an_unresponsive_side_back_off_and_reset() {
    let mut membership = Membership::new(Settings::default());
    membership.apply_list(&[instance("a", 1, false)]);
    request(&membership, address(1), Duration::ZERO);
    let first = probes(&mut membership, 0, 5_000);
    assert_eq!(first, [150, 250, 450, 850, 1650, 2650, 3650, 4650]);
    assert!(membership.record_answer(address(1), OLD));
    request(&membership, address(1), Duration::from_secs(6));
    let second = probes(&mut membership, 6_000, 6_300);
    assert_eq!(second, [6_150, 6_250]);
}

/// Milliseconds from `from` to `to` at which the side is probed.
fn probes(membership: &mut Membership, from: u64, to: u64) -> Vec<u64> {
    (from..to)
        .filter(|millis| {
            let (_, probes) = membership.check(Duration::from_millis(*millis));
            !probes.is_empty()
        })
        .collect()
}

#[test]
fn candidates_are_all_but_leaving_sides() {
    let membership = run(vec![
        List(vec![
            instance("a", 1, false),
            instance("b", 2, false),
            instance("c", 3, true),
        ]),
        Request(2),
        Check(400),
    ]);
    let candidates: Vec<_> = membership
        .candidates()
        .map(|(state, candidate)| (state, candidate.instance.id))
        .collect();
    let expected = [(State::Live, "a".into()), (State::Suspect, "b".into())];
    assert_eq!(candidates, expected);
}

/// At the target size, each side is in the subsets of enough entries, and the removal of a side changes
/// only the subsets that held it.
#[test]
fn subsets_cover_a_large_pool_evenly() {
    const ENTRIES: usize = 620;
    const LIMIT: usize = 64;
    const SIDES: usize = 343;
    let sides: Vec<String> = (0..SIDES).map(|side| format!("side-{side}")).collect();
    let mut entries_per_side: BTreeMap<&str, usize> = BTreeMap::new();
    let mut changed = 0;
    for entry in 0..ENTRIES {
        let owner = format!("entry-{entry}");
        let names = sides.iter().map(String::as_str);
        let before = subset(&owner, names.clone().collect(), LIMIT, |name| name);
        let after = subset(&owner, names.skip(1).collect(), LIMIT, |name| name);
        changed += after.iter().filter(|name| !before.contains(name)).count();
        for name in before {
            *entries_per_side.entry(name).or_default() += 1;
        }
    }
    let least = entries_per_side.values().min();
    let most = entries_per_side.values().max();
    assert_eq!(entries_per_side.len(), SIDES);
    assert!(
        least > Some(&75),
        "expected each side in more than 75 subsets, got {least:?}"
    );
    assert!(
        most < Some(&160),
        "expected each side in fewer than 160 subsets, got {most:?}"
    );
    assert_eq!(changed, entries_per_side["side-0"]);
}
