//! Order of grants among tiers, workspaces and classes, with generated loads.

mod support;

use almondwell_core::{Answer, Queue, Settings};
use almondwell_schema::Reason;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use std::time::Duration;
use support::{reservation, start_all};

const STEP: Duration = Duration::from_millis(100);
/// Steps of sustained overload: three minutes in total.
const STEPS: u32 = 1800;

cases! {
    grants_ordered_slots_by_tier = check_tiers();
    serves_every_class_in_sustained_overload = check_starvation();
    keeps_top_tier_grants_independent_of_lower_tiers = check_noninterference();
    grants_slots_in_proportion_to_workspace_shares = check_shares();
    doubles_the_weight_with_each_priority = check_priority();
    sheds_lower_tiers_for_higher_ones = check_shedding();
    serves_lower_tiers_of_upstreams_with_few_slots = check_few_slots();
    keeps_the_position_of_a_repeated_reservation = check_repeat();
    frees_the_slot_of_an_unused_offer = check_expired_offer();
}

/// A runner with a fixed seed, so that each run generates the same cases.
fn runner() -> TestRunner {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config {
        cases: 32,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

fn settings() -> Settings {
    Settings {
        admission: false,
        slots: 4,
        ..Settings::default()
    }
}

/// Tier of each arrival and length in steps; one arrival per step.
fn arrivals() -> impl Strategy<Value = Vec<(u8, u8)>> {
    proptest::collection::vec((0..4_u8, 1..20_u8), 50..200)
}

/// While a higher tier waits, a lower tier gets only the low-tier slot, never one that is granted in order of tier.
fn check_tiers() {
    runner()
        .run(&arrivals(), |arrivals| {
            let mut queue = Queue::new(settings());
            let mut waiting: BTreeMap<u128, u8> = BTreeMap::new();
            let mut running: BTreeMap<u64, (Duration, bool)> = BTreeMap::new();
            for (index, (tier, length)) in arrivals.into_iter().enumerate() {
                let now = STEP * u32::try_from(index).unwrap_or(0);
                let ended: Vec<_> = running
                    .iter()
                    .filter(|(_, (end, _))| *end <= now)
                    .map(|(ticket, _)| *ticket)
                    .collect();
                for ticket in ended {
                    running.remove(&ticket);
                    queue.finish(now, ticket);
                }
                queue.reserve(now, reservation(index as u128, tier, "retail"));
                waiting.insert(index as u128, tier);
                while let Some(offer) = queue.next(now) {
                    prop_assert!(queue.start(now, offer.ticket, offer.request).is_ok());
                    let tier = waiting.remove(&offer.request).unwrap_or(u8::MAX);
                    let is_low_tier = waiting.values().any(|other| *other < tier);
                    let low_tier = running
                        .values()
                        .filter(|(_, is_low_tier)| *is_low_tier)
                        .count();
                    prop_assert!(!is_low_tier || (low_tier == 0 && tier > 0));
                    running.insert(offer.ticket, (now + STEP * u32::from(length), is_low_tier));
                }
            }
            Ok(())
        })
        .expect("ordered slots should be granted by tier");
}

/// While the top tier alone exceeds the capacity for three minutes, every lower class is served repeatedly, and
/// waits in the lower tiers stay bounded.
fn check_starvation() {
    runner()
        .run(&(1..8_u32, 1..4_u32), |(length, overload)| {
            let mut queue = Queue::new(Settings {
                backlog: 64,
                ..settings()
            });
            let mut running: Vec<(u64, Duration)> = Vec::new();
            let mut arrived_at: BTreeMap<u128, (u8, Duration)> = BTreeMap::new();
            let mut is_waiting = [false; 4];
            let mut served = [0; 4];
            let mut longest_wait = Duration::ZERO;
            let mut request = 0;
            for step in 0..STEPS {
                let now = STEP * step;
                for (ticket, _) in running.extract_if(.., |(_, end)| *end <= now) {
                    queue.finish(now, ticket);
                }
                for _ in 0..overload * 4 {
                    request += 1;
                    queue.reserve(now, reservation(request, 0, "retail"));
                }
                for tier in 1..4 {
                    if is_waiting[usize::from(tier)] {
                        continue;
                    }
                    request += 1;
                    let answer = queue.reserve(now, reservation(request, tier, "retail"));
                    prop_assert!(matches!(answer, Answer::Queued(_)));
                    arrived_at.insert(request, (tier, now));
                    is_waiting[usize::from(tier)] = true;
                }
                prop_assert!(queue.take_shed().iter().all(|shed| shed.tier == 0));
                for offer in start_all(&mut queue, now) {
                    running.push((offer.ticket, now + STEP * length));
                    let (tier, since) = arrived_at.remove(&offer.request).unwrap_or((0, now));
                    is_waiting[usize::from(tier)] = false;
                    served[usize::from(tier)] += 1;
                    if tier > 0 {
                        longest_wait = longest_wait.max(now.saturating_sub(since));
                    }
                }
            }
            let min_served = STEPS / length / 4;
            prop_assert!(
                served.iter().all(|count| *count >= min_served),
                "expected at least {min_served} grants to each tier, got {served:?}"
            );
            // Three tiers alternate at the one low-tier slot.
            prop_assert!(
                longest_wait <= STEP * length * 4,
                "expected a wait of at most four requests, got {longest_wait:?}"
            );
            Ok(())
        })
        .expect("every class should be served");
}

/// The top tier saturates the slots granted in order of tier. Its grants come at the same times, and its
/// refusals are the same, with and without lower tiers.
fn check_noninterference() {
    runner()
        .run(&arrivals(), |arrivals| {
            let without_lower = top_tier(&arrivals, false);
            let with_lower = top_tier(&arrivals, true);
            prop_assert_eq!(without_lower, with_lower);
            Ok(())
        })
        .expect("lower tiers should not affect the top tier");
}

/// Time of the grant of each top-tier reservation, or `None` if refused; three reservations per step.
fn top_tier(arrivals: &[(u8, u8)], with_lower: bool) -> Vec<(u128, Option<Duration>)> {
    let mut queue = Queue::new(Settings {
        admission: true,
        ..settings()
    });
    let mut running: Vec<(u64, Duration)> = Vec::new();
    let mut outcomes = Vec::new();
    for (index, (tier, length)) in arrivals.iter().enumerate() {
        let now = STEP * u32::try_from(index).unwrap_or(0);
        for (ticket, _) in running.extract_if(.., |(_, end)| *end <= now) {
            queue.finish(now, ticket);
        }
        for copy in 0..3 {
            let request = index as u128 * 10 + copy;
            let answer = queue.reserve(now, reservation(request, 0, "retail"));
            if let Answer::Refused(..) = answer {
                outcomes.push((request, None));
            }
        }
        if with_lower && index > 10 {
            queue.reserve(
                now,
                reservation(index as u128 * 10 + 9, 1 + tier % 3, "other"),
            );
        }
        for offer in start_all(&mut queue, now) {
            let is_top = offer.request % 10 < 3;
            running.push((offer.ticket, now + STEP * u32::from(*length)));
            if is_top {
                outcomes.push((offer.request, Some(now)));
            }
        }
    }
    outcomes
}

/// Two workspaces with shares 3 and 1, whose demand both exceeds what they get.
fn check_shares() {
    let served = grants_by_parity(|request| {
        let workspace = if request % 2 == 0 { "large" } else { "small" };
        let mut reservation = reservation(request, 1, workspace);
        reservation.share = if request % 2 == 0 { 3 } else { 1 };
        reservation
    });
    let ratio = f64::from(served[0]) / f64::from(served[1]);
    assert!(
        (2.7..3.3).contains(&ratio),
        "expected a ratio of about 3, got {served:?}"
    );
}

fn check_priority() {
    let served = grants_by_parity(|request| {
        let mut reservation = reservation(request, 1, "retail");
        reservation.class = if request % 2 == 0 { "high" } else { "low" }.into();
        reservation.priority = u8::from(request % 2 == 0);
        reservation
    });
    let ratio = f64::from(served[0]) / f64::from(served[1]);
    assert!(
        (1.8..2.2).contains(&ratio),
        "expected a ratio of about 2, got {served:?}"
    );
}

/// Number of grants to even and to odd requests when twenty requests wait for each slot.
fn grants_by_parity(make: impl Fn(u128) -> almondwell_core::Reservation<()>) -> [u32; 2] {
    let mut queue = Queue::new(settings());
    for request in 0..4000 {
        queue.reserve(Duration::ZERO, make(request));
    }
    let mut served = [0; 2];
    for step in 0..300 {
        let now = STEP * step;
        for offer in start_all(&mut queue, now) {
            served[usize::from(offer.request % 2 == 1)] += 1;
            queue.finish(now + STEP, offer.ticket);
        }
    }
    served
}

/// A full backlog of the lowest tier is shed for a higher tier, except for eight reservations.
fn check_shedding() {
    const BACKLOG: usize = 100;
    let mut queue = Queue::new(Settings {
        backlog: BACKLOG,
        ..settings()
    });
    let now = Duration::ZERO;
    for request in 0..BACKLOG as u128 {
        let answer = queue.reserve(now, reservation(request, 3, "retail"));
        assert!(
            matches!(answer, Answer::Queued(_)),
            "expected to be queued, got {answer:?}"
        );
    }
    let answer = queue.reserve(now, reservation(200, 3, "retail"));
    assert!(
        matches!(answer, Answer::Refused(Reason::Full, _)),
        "expected a refusal as full, got {answer:?}"
    );
    for request in 1000..1000 + BACKLOG as u128 {
        let answer = queue.reserve(now, reservation(request, 0, "retail"));
        assert!(
            matches!(answer, Answer::Queued(_)),
            "expected to be queued, got {answer:?}"
        );
    }
    let shed = queue.take_shed();
    assert!(shed.iter().all(|reservation| reservation.tier == 3));
    assert_eq!(queue.waiting(), BACKLOG + 24);
    let answer = queue.reserve(now, reservation(2000, 0, "retail"));
    assert!(
        matches!(answer, Answer::Refused(Reason::Full, _)),
        "expected a refusal as full, got {answer:?}"
    );
}

/// With a single slot, none can be set aside. A starved tier then gets one grant in twenty seconds.
fn check_few_slots() {
    let mut queue = Queue::new(Settings {
        slots: 1,
        ..settings()
    });
    let mut lower_grants = Vec::new();
    let mut request = 100;
    queue.reserve(Duration::ZERO, reservation(1, 3, "retail"));
    for step in 0..1000 {
        let now = STEP * step;
        request += 1;
        queue.reserve(now, reservation(request, 0, "retail"));
        for offer in start_all(&mut queue, now) {
            if offer.request <= 2 {
                lower_grants.push(now);
                queue.reserve(now, reservation(2, 3, "retail"));
            }
            queue.finish(now + STEP, offer.ticket);
        }
    }
    assert!(
        lower_grants.len() >= 2,
        "expected at least two grants, more than 20 s apart, got {lower_grants:?}"
    );
    assert!(
        lower_grants[1] > lower_grants[0] + Duration::from_secs(20),
        "expected at least two grants, more than 20 s apart, got {lower_grants:?}"
    );
}

fn check_repeat() {
    let mut queue = Queue::new(Settings {
        slots: 1,
        low_tier_slot: false,
        ..settings()
    });
    let now = Duration::ZERO;
    queue.reserve(now, reservation(1, 0, "retail"));
    let running = start_all(&mut queue, now);
    queue.reserve(now, reservation(2, 0, "retail"));
    queue.reserve(now, reservation(3, 0, "retail"));
    queue.reserve(now, reservation(2, 0, "retail"));
    assert_eq!(queue.waiting(), 2);
    queue.finish(now, running[0].ticket);
    assert_eq!(queue.next(now).map(|offer| offer.request), Some(2));
}

fn check_expired_offer() {
    let mut queue = Queue::new(Settings {
        slots: 1,
        ..settings()
    });
    queue.reserve(Duration::ZERO, reservation(1, 0, "retail"));
    queue.reserve(Duration::ZERO, reservation(2, 0, "retail"));
    let first = queue.next(Duration::ZERO).expect("a slot should be free");
    assert!(queue.next(Duration::ZERO).is_none());
    let later = Duration::from_secs(1);
    let second = queue.next(later).expect("the offer should have expired");
    assert_eq!(second.request, 2);
    assert_eq!(
        queue.start(later, first.ticket, first.request),
        Err(Reason::Expired)
    );
}
