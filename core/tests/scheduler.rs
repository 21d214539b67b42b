//! Assignment of requests to engines: loads that fill the engines of one band, and engines that fail.

use almondwell_core::placement::Distance;
use almondwell_core::scheduler::{Assignment, Band, Candidate, EngineId, Request, Scheduler};
use std::time::Duration;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A report that tolerates long pauses: 80 ms of prefill of its own and 175 ms for a shared part.
fn report(part: u64) -> Request {
    Request {
        deadline: ms(5000),
        gap: ms(2000),
        is_refusable: true,
        output: ms(300),
        own: ms(80),
        parts: vec![(part, ms(175))],
        rank: 2,
        target: ms(2500),
    }
}

/// A chat whose events must not be far apart.
fn chat() -> Request {
    Request {
        deadline: ms(15_000),
        gap: ms(500),
        is_refusable: true,
        output: ms(1400),
        own: ms(16),
        parts: Vec::new(),
        rank: 0,
        target: ms(600),
    }
}

fn candidate(id: EngineId, band: Band) -> Candidate {
    Candidate {
        band,
        distance: Distance::Zone,
        id,
        slots: 64,
    }
}

fn own(count: u64) -> Vec<Candidate> {
    (1..=count).map(|id| candidate(id, Band::Own)).collect()
}

/// The engine of an assignment.
fn engine(assignment: Assignment) -> EngineId {
    match assignment {
        Assignment::Assigned { id, .. } => id,
        Assignment::Overloaded(_) | Assignment::None => 0,
    }
}

macro_rules! cases {
    ($($name:ident => $test:expr;)*) => {
        $(#[test]
        fn $name() {
            $test(Scheduler::default());
        })*
    };
}

cases! {
    a_burst_of_reports_uses_all_engines_of_its_band => spreads_a_burst;
    a_burst_of_reports_overflows_into_the_chats_band => overflows;
    a_full_service_refuses_reports_that_could_not_complete => refuses;
    chats_keep_their_pauses_in_a_burst_of_reports => protects_chats;
    followers_of_an_uncached_part_wait_for_its_prefill => follows;
    a_part_is_read_again_when_its_engine_is_loaded => replicates;
    an_engine_whose_first_tokens_are_overdue_gets_less => avoids_overdue;
    a_failing_engine_gets_requests_only_if_all_fail => avoids_failing;
    a_request_that_ends_early_frees_its_prefill => frees;
    requests_past_their_deadline_are_forgotten => forgets;
    no_candidate_is_no_assignment => none;
}

fn spreads_a_burst(mut scheduler: Scheduler) {
    let engines: Vec<_> = (0..20)
        .map(|ticket| engine(scheduler.assign(ms(0), ticket, &report(ticket), &own(10))))
        .collect();
    for id in 1..=10 {
        let count = engines.iter().filter(|engine| **engine == id).count();
        assert!(
            (1..=4).contains(&count),
            "engine {id}: {count} of {engines:?}"
        );
    }
}

fn overflows(mut scheduler: Scheduler) {
    let candidates: Vec<_> = (1..=4)
        .map(|id| candidate(id, if id == 1 { Band::Own } else { Band::Tighter }))
        .collect();
    let engines: Vec<_> = (0..40)
        .map(|ticket| engine(scheduler.assign(ms(0), ticket, &report(ticket), &candidates)))
        .collect();
    assert!(engines.iter().take(5).all(|id| *id == 1), "{engines:?}");
    assert!(engines.iter().any(|id| *id > 1), "{engines:?}");
}

fn refuses(mut scheduler: Scheduler) {
    let outcomes: Vec<_> = (0..100)
        .map(|ticket| scheduler.assign(ms(0), ticket, &report(ticket), &own(1)))
        .collect();
    let refused = |outcome: &&Assignment| matches!(outcome, Assignment::Overloaded(_));
    let admitted = outcomes.len() - outcomes.iter().filter(refused).count();
    // Five seconds hold at most 4.7 s of prefill beside the output.
    assert!((1..=18).contains(&admitted), "{admitted} admitted");
    // One that may have run already is not refused.
    let resumed = Request {
        is_refusable: false,
        ..report(1)
    };
    assert_ne!(engine(scheduler.assign(ms(0), 200, &resumed, &own(1))), 0);
}

fn protects_chats(mut scheduler: Scheduler) {
    for ticket in 0..4 {
        assert_eq!(engine(scheduler.assign(ms(0), ticket, &chat(), &own(1))), 1);
        scheduler.start(ms(100), ticket);
    }
    let mut taken = Duration::ZERO;
    for ticket in 10..40 {
        if engine(scheduler.assign(ms(200), ticket, &report(ticket), &own(1))) == 1 {
            taken += ms(255);
        }
    }
    assert!(taken < ms(500), "{taken:?} of prefill beside chats");
}

fn follows(mut scheduler: Scheduler) {
    let first = engine(scheduler.assign(ms(0), 1, &report(7), &own(10)));
    for ticket in 2..5 {
        let next = scheduler.assign(ms(10), ticket, &report(7), &own(10));
        assert_eq!(engine(next), first);
        assert!(
            matches!(
                next,
                Assignment::Assigned {
                    has_parts: true,
                    ..
                }
            ),
            "{next:?}"
        );
    }
}

fn replicates(mut scheduler: Scheduler) {
    let engines: std::collections::BTreeSet<_> = (0..60)
        .map(|ticket| engine(scheduler.assign(ms(0), ticket, &report(7), &own(4))))
        .collect();
    assert!(engines.len() > 1, "one engine serves all");
}

fn avoids_overdue(mut scheduler: Scheduler) {
    scheduler.assign(ms(0), 1, &report(1), &own(1));
    let next = scheduler.assign(ms(4000), 2, &report(2), &own(2));
    assert_eq!(engine(next), 2);
}

fn avoids_failing(mut scheduler: Scheduler) {
    for ticket in 0..2 {
        scheduler.assign(ms(0), ticket, &chat(), &own(1));
        scheduler.end(ms(0), ticket, true);
    }
    assert_eq!(engine(scheduler.assign(ms(1), 5, &chat(), &own(2))), 2);
    assert_eq!(engine(scheduler.assign(ms(1), 6, &chat(), &own(1))), 1);
    scheduler.end(ms(2), 6, false);
    // The failures lose their weight.
    let later = scheduler.assign(ms(10_000), 7, &report(1), &own(1));
    assert_eq!(engine(later), 1);
}

fn frees(mut scheduler: Scheduler) {
    for ticket in 0..10 {
        scheduler.assign(ms(0), ticket, &report(ticket), &own(1));
    }
    for ticket in 0..10 {
        scheduler.end(ms(1), ticket, false);
    }
    let wait = match scheduler.assign(ms(1), 20, &chat(), &own(1)) {
        Assignment::Assigned { wait, .. } => wait,
        other => panic!("{other:?}"),
    };
    assert!(wait < ms(10), "{wait:?}");
    assert_eq!(scheduler.len(), 1);
}

fn forgets(mut scheduler: Scheduler) {
    scheduler.assign(ms(0), 1, &report(1), &own(1));
    scheduler.assign(ms(6000), 2, &chat(), &own(1));
    assert_eq!(scheduler.len(), 1);
}

fn none(mut scheduler: Scheduler) {
    assert_eq!(scheduler.assign(ms(0), 1, &chat(), &[]), Assignment::None);
    assert!(scheduler.is_empty());
}

/// While urgent requests are refused at their band, larger and less urgent ones elsewhere wait no longer than half
/// of what the urgent ones tolerate.
#[test]
fn less_urgent_requests_yield_while_urgent_ones_are_refused() {
    let mut scheduler = Scheduler::default();
    let urgent = Request {
        rank: 0,
        target: ms(800),
        ..report(1)
    };
    let mut is_refused = false;
    for ticket in 0..100 {
        let outcome = scheduler.assign(ms(0), ticket, &urgent, &own(1));
        is_refused |= matches!(outcome, Assignment::Overloaded(_));
    }
    assert!(is_refused, "no urgent request was refused");
    let mut waits = Vec::new();
    for ticket in 200..300 {
        let less_urgent =
            scheduler.assign(ms(10), ticket, &report(ticket), &[candidate(9, Band::Own)]);
        if let Assignment::Assigned { wait, .. } = less_urgent {
            waits.push(wait);
        }
    }
    let longest = waits.into_iter().max().unwrap_or_default();
    assert!(
        longest <= ms(400),
        "a less urgent request waits {longest:?}"
    );
}
