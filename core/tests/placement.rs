//! Placement of requests, and wait estimates, under loads as in the users' deployments.

use almondwell_core::backlog::{Backlog, PrefillRate};
use almondwell_core::placement::{Candidate, Distance, Options, Prompt, choose};
use std::time::Duration;

const IDS: [&str; 4] = ["i-a", "i-b", "i-c", "i-d"];
const PREFILL: Duration = Duration::from_millis(260);

fn idle(id: &str) -> Candidate<'_> {
    Candidate {
        distance: Distance::Zone,
        failures: 0.0,
        has_parts: false,
        id,
        inflight: 0,
        reported: None,
        slots: 64,
        wait: Duration::ZERO,
    }
}

fn prompt(home: u64) -> Prompt {
    Prompt {
        shared_prefix: Some(home),
        prefill: PREFILL,
    }
}

fn fleet() -> Vec<Candidate<'static>> {
    IDS.iter().map(|id| idle(id)).collect()
}

/// Index of the home upstream of prompt part 7.
fn home(candidates: &[Candidate<'_>]) -> usize {
    choose(&Options::default(), Some(prompt(7)), candidates).expect("there are candidates")
}

fn milliseconds(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Each case changes an idle fleet, given the index of the home upstream, and states whether the request is
/// still placed there.
macro_rules! cases {
    ($($name:ident: $change:expr => $is_home:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut candidates = fleet();
            let home = home(&candidates);
            let change: fn(&mut Vec<Candidate<'static>>, usize) = $change;
            change(&mut candidates, home);
            let chosen = choose(&Options::default(), Some(prompt(7)), &candidates);
            assert_eq!(chosen == Some(home), $is_home, "home {home}, chosen {chosen:?}");
        })*
    };
}

cases! {
    stays_at_an_idle_home: |_, _| {} => true;
    stays_while_the_wait_is_below_the_prefill_cost: |candidates, home| {
        candidates[home].wait = milliseconds(900);
    } => true;
    leaves_a_home_with_a_long_backlog: |candidates, home| {
        candidates[home].wait = milliseconds(9000);
    } => false;
    stays_when_all_waits_are_equal: |candidates, _| {
        for candidate in candidates {
            candidate.wait = milliseconds(9000);
        }
    } => true;
    prefers_another_engine_with_cached_parts: |candidates, home| {
        candidates[home].wait = milliseconds(500);
        candidates[(home + 1) % 4].has_parts = true;
    } => false;
    leaves_a_failing_home: |candidates, home| candidates[home].failures = 3.0 => false;
    stays_at_a_home_in_another_region: |candidates, home| {
        candidates[home].distance = Distance::Far;
    } => true;
}

#[test]
fn the_home_does_not_depend_on_the_order_of_candidates() {
    let forward = fleet();
    let mut backward = fleet();
    backward.reverse();
    for part in 0..100 {
        let one = choose(&Options::default(), Some(prompt(part)), &forward)
            .map(|index| forward[index].id);
        let other = choose(&Options::default(), Some(prompt(part)), &backward)
            .map(|index| backward[index].id);
        assert_eq!(one, other);
    }
}

#[test]
fn removing_an_engine_moves_only_its_own_prefixes() {
    let all = fleet();
    let fewer = &all[..3];
    for part in 0..200 {
        let before =
            choose(&Options::default(), Some(prompt(part)), &all).expect("there are candidates");
        let after =
            choose(&Options::default(), Some(prompt(part)), fewer).expect("there are candidates");
        assert!(
            before == 3 || before == after,
            "part {part} moved from engine {before} to {after}"
        );
    }
}

#[test]
fn a_service_without_engines_uses_the_least_loaded_upstream() {
    let mut candidates = fleet();
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.slots = 6;
        candidate.reported = Some([5, 1, 4, 6][index]);
    }
    assert_eq!(choose(&Options::default(), None, &candidates), Some(1));
}

#[test]
fn the_wait_is_at_least_the_age_of_the_oldest_request() {
    let mut backlog = Backlog::default();
    backlog.push(milliseconds(0), 100);
    assert!(backlog.wait(milliseconds(3000), 50.0) >= milliseconds(3000));
}

#[test]
fn the_wait_includes_the_prefill_of_queued_tokens() {
    let mut backlog = Backlog::default();
    for _ in 0..10 {
        backlog.push(milliseconds(0), 5000);
    }
    assert_eq!(backlog.wait(milliseconds(0), 50.0), milliseconds(1000));
}

#[test]
fn the_last_observed_wait_decreases_with_time() {
    let mut backlog = Backlog::default();
    let ticket = backlog.push(milliseconds(0), 100);
    let started = backlog.first_token(milliseconds(2000), ticket);
    assert_eq!(started, Some((milliseconds(2000), 100)));
    assert_eq!(backlog.wait(milliseconds(2500), 50.0), milliseconds(1500));
    assert_eq!(backlog.wait(milliseconds(5000), 50.0), Duration::ZERO);
}

#[test]
fn the_rate_estimate_ignores_requests_that_waited() {
    let mut rate = PrefillRate::default();
    for index in 0..2000_u64 {
        // Three of four requests wait for half a second; prefill takes 0.02 ms per token.
        let wait = if index % 4 == 0 { 0 } else { 500 };
        rate.observe(milliseconds(wait + 80), 4000);
    }
    assert!(
        (30.0..70.0).contains(&rate.tokens_per_ms()),
        "expected 30 to 70 tokens per ms, got {}",
        rate.tokens_per_ms()
    );
}
