//! Which sides are asked, as lists and sides change.

use almondwell_core::membership::{Settings, Standing};
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

fn line(id: &str, port: u16, leaving: bool) -> Instance {
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

/// One thing that an entry learns or does.
enum Step {
    Ask(u16),
    Check(u64),
    Hear(u16, Epoch),
    Leave(u16, Epoch),
    List(Vec<Instance>),
}

use Step::{Ask, Check, Hear, Leave, List};

/// Runs `steps`; each happens at the time of the last check.
fn run(steps: Vec<Step>) -> Membership {
    let mut membership = Membership::new(Settings::default());
    let mut now = Duration::ZERO;
    for step in steps {
        match step {
            Ask(port) => ask(&membership, address(port), now),
            Check(millis) => {
                now = Duration::from_millis(millis);
                membership.check(now);
            }
            Hear(port, epoch) => {
                membership.heard(address(port), epoch);
            }
            Leave(port, epoch) => {
                membership.leaving(address(port), epoch);
            }
            List(lines) => {
                membership.list(&lines);
            }
        }
    }
    membership
}

fn ask(membership: &Membership, address: SocketAddr, now: Duration) {
    for (_, candidate) in membership.candidates() {
        if candidate.instance.address == address {
            candidate.pulse.asked(now);
        }
    }
}

macro_rules! standings {
    ($($name:ident: [$($step:expr),* $(,)?] => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            let membership = run(vec![$($step),*]);
            assert_eq!(membership.standing(address(1)), $expected);
        })*
    };
}

fn live() -> Step {
    List(vec![line("a", 1, false)])
}

fn listed_leaving() -> Step {
    List(vec![line("a", 1, true)])
}

standings! {
    a_listed_side_is_live: [live()] => Some(Standing::Live);
    a_listed_leaving_side_is_leaving: [listed_leaving()] => Some(Standing::Leaving);
    an_unlisted_side_is_unknown: [live(), List(Vec::new())] => None;
    an_unlisted_side_that_speaks_stays_unknown: [Hear(1, OLD)] => None;
    an_idle_side_is_never_suspected: [live(), Check(60_000)] => Some(Standing::Live);
    a_side_that_answers_stays_live:
        [live(), Ask(1), Hear(1, OLD), Check(1_000)] => Some(Standing::Live);
    a_side_within_its_lease_stays_live: [live(), Ask(1), Check(399)] => Some(Standing::Live);
    a_silent_side_is_suspected: [live(), Ask(1), Check(400)] => Some(Standing::Suspect);
    later_questions_do_not_extend_the_lease:
        [live(), Ask(1), Check(300), Ask(1), Check(400)] => Some(Standing::Suspect);
    a_suspect_that_answers_is_live:
        [live(), Ask(1), Check(400), Hear(1, OLD)] => Some(Standing::Live);
    a_suspect_stays_suspect_when_the_list_is_read_again:
        [live(), Ask(1), Check(400), live()] => Some(Standing::Suspect);
    a_side_that_says_so_is_leaving: [live(), Leave(1, OLD)] => Some(Standing::Leaving);
    a_lagging_list_does_not_bring_a_leaving_side_back:
        [live(), Leave(1, OLD), live()] => Some(Standing::Leaving);
    a_late_answer_does_not_bring_a_leaving_side_back:
        [live(), Leave(1, OLD), Hear(1, OLD)] => Some(Standing::Leaving);
    a_new_run_at_the_same_address_is_live:
        [live(), Leave(1, OLD), Hear(1, NEW)] => Some(Standing::Live);
    a_new_run_outlives_a_list_that_still_says_leaving:
        [live(), Leave(1, OLD), listed_leaving(), Hear(1, NEW), listed_leaving()]
        => Some(Standing::Live);
    a_new_id_at_the_same_address_is_live:
        [live(), Leave(1, OLD), List(vec![line("b", 1, false)])] => Some(Standing::Live);
    a_replacement_hides_the_leaving_line_of_its_address:
        [List(vec![line("a", 1, true), line("b", 1, false)])] => Some(Standing::Live);
    a_leaving_line_after_its_replacement_is_hidden_too:
        [List(vec![line("a", 1, false), line("b", 1, true)])] => Some(Standing::Live);
    an_id_that_moved_leaves_its_old_address:
        [live(), List(vec![line("a", 2, false)])] => None;
}

#[test]
fn probes_of_a_silent_side_grow_rarer_and_start_anew() {
    let mut membership = Membership::new(Settings::default());
    membership.list(&[line("a", 1, false)]);
    ask(&membership, address(1), Duration::ZERO);
    let first = probes(&mut membership, 0, 5_000);
    assert_eq!(first, [150, 250, 450, 850, 1650, 2650, 3650, 4650]);
    assert!(membership.heard(address(1), OLD));
    ask(&membership, address(1), Duration::from_secs(6));
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
            line("a", 1, false),
            line("b", 2, false),
            line("c", 3, true),
        ]),
        Ask(2),
        Check(400),
    ]);
    let candidates: Vec<_> = membership
        .candidates()
        .map(|(standing, candidate)| (standing, candidate.instance.id))
        .collect();
    let expected = [
        (Standing::Live, "a".into()),
        (Standing::Suspect, "b".into()),
    ];
    assert_eq!(candidates, expected);
}

/// At the size of the target each side is in the subset of enough entries, and few subsets change
/// when one side goes.
#[test]
fn subsets_cover_a_large_pool_evenly() {
    const ENTRIES: usize = 620;
    const LIMIT: usize = 64;
    const SIDES: usize = 343;
    let sides: Vec<String> = (0..SIDES).map(|side| format!("side-{side}")).collect();
    let mut holders: BTreeMap<&str, usize> = BTreeMap::new();
    let mut changed = 0;
    for entry in 0..ENTRIES {
        let owner = format!("entry-{entry}");
        let names = sides.iter().map(String::as_str);
        let before = subset(&owner, names.clone().collect(), LIMIT, |name| name);
        let after = subset(&owner, names.skip(1).collect(), LIMIT, |name| name);
        changed += after.iter().filter(|name| !before.contains(name)).count();
        for name in before {
            *holders.entry(name).or_default() += 1;
        }
    }
    let least = holders.values().min();
    let most = holders.values().max();
    assert_eq!(holders.len(), SIDES);
    assert!(least > Some(&75), "{least:?}");
    assert!(most < Some(&160), "{most:?}");
    assert_eq!(changed, holders["side-0"]);
}
