//! Admission control by estimated wait.

mod support;

use almondwell_core::{Answer, Queue, Settings};
use almondwell_schema::Reason;
use std::time::Duration;
use support::{reservation, start_all};

const SECOND: Duration = Duration::from_secs(1);

cases! {
    refuses_a_reservation_that_would_miss_its_target = check_refusal();
    returns_a_retry_delay_with_a_refusal = check_retry_delay();
    admits_a_light_workspace_beside_a_heavy_one = check_fairness();
    ignores_lower_tiers_in_the_wait_estimate = check_lower_tiers();
    admits_one_reservation_of_a_starved_class = check_starved();
    admits_again_once_the_backlog_is_empty = check_recovery();
    // Guards against a reservation whose time limit makes a side's task panic.
    takes_a_reservation_with_the_longest_time_limit = check_longest_limit();
}

/// A queue for an upstream with eight slots, all taken by requests of one second.
fn busy_queue() -> Queue<()> {
    let mut queue = Queue::new(Settings {
        slots: 8,
        ..Settings::default()
    });
    for request in 1..=8 {
        let tier = u8::from(request == 8);
        queue.reserve(Duration::ZERO, reservation(request, tier, "retail"));
    }
    for offer in start_all(&mut queue, Duration::ZERO) {
        queue.finish(SECOND, offer.ticket);
    }
    for request in 11..=18 {
        let tier = u8::from(request == 18);
        queue.reserve(SECOND, reservation(request, tier, "retail"));
    }
    assert_eq!(start_all(&mut queue, SECOND).len(), 8);
    queue
}

/// Number of top-tier reservations that are admitted before the first refusal.
fn count_admitted(queue: &mut Queue<()>, workspace: &str, first: u128) -> u32 {
    let mut count = 0;
    for request in first..first + 1000 {
        match queue.reserve(SECOND, reservation(request, 0, workspace)) {
            Answer::Queued(_) => count += 1,
            Answer::Offered(_) | Answer::Refused(..) => return count,
        }
    }
    count
}

/// Seven slots granted in order of tier, one second per request and a target of ten seconds: about seventy
/// reservations fit.
fn check_refusal() {
    let count = count_admitted(&mut busy_queue(), "retail", 100);
    assert!(
        (60..=80).contains(&count),
        "expected 60 to 80 admitted reservations, got {count}"
    );
}

fn check_retry_delay() {
    let mut queue = busy_queue();
    count_admitted(&mut queue, "retail", 100);
    let mut late = reservation(5000, 0, "retail");
    late.target = SECOND;
    match queue.reserve(SECOND, late) {
        Answer::Refused(Reason::Late, retry) => {
            assert!(
                (8 * SECOND..=11 * SECOND).contains(&retry),
                "expected a retry delay of 8 to 11 s, got {retry:?}"
            );
        }
        answer => panic!("expected a refusal as late, got {answer:?}"),
    }
}

fn check_fairness() {
    let mut queue = busy_queue();
    count_admitted(&mut queue, "large", 100);
    let answer = queue.reserve(SECOND, reservation(5000, 0, "small"));
    assert!(
        matches!(answer, Answer::Queued(wait) if wait < SECOND),
        "expected to be queued for less than 1 s, got {answer:?}"
    );
}

fn check_lower_tiers() {
    let mut queue = busy_queue();
    for request in 100..150 {
        queue.reserve(SECOND, reservation(request, 1, "retail"));
    }
    let answer = queue.reserve(SECOND, reservation(5000, 0, "retail"));
    assert!(
        matches!(answer, Answer::Queued(wait) if wait < SECOND),
        "expected to be queued for less than 1 s, got {answer:?}"
    );
}

fn check_starved() {
    let mut queue = busy_queue();
    count_admitted(&mut queue, "retail", 100);
    let mut first = reservation(5000, 3, "retail");
    first.target = Duration::ZERO;
    let answer = queue.reserve(21 * SECOND, first);
    assert!(
        matches!(answer, Answer::Queued(_)),
        "expected to be queued, got {answer:?}"
    );
    let mut second = reservation(5001, 3, "retail");
    second.target = Duration::ZERO;
    let answer = queue.reserve(21 * SECOND, second);
    assert!(
        matches!(answer, Answer::Refused(Reason::Late, _)),
        "expected a refusal as late, got {answer:?}"
    );
}

fn check_recovery() {
    let mut queue = busy_queue();
    let count = count_admitted(&mut queue, "retail", 100);
    for request in 100..100 + u128::from(count) {
        queue.withdraw(request);
    }
    let answer = queue.reserve(SECOND, reservation(5000, 0, "retail"));
    assert!(
        matches!(answer, Answer::Queued(wait) if wait < SECOND),
        "expected to be queued for less than 1 s, got {answer:?}"
    );
}

fn check_longest_limit() {
    let mut queue = Queue::<()>::new(Settings::default());
    let endless = almondwell_core::Reservation {
        left: Duration::MAX,
        ..reservation(1, 0, "retail")
    };
    queue.reserve(SECOND, endless);
    assert_eq!(start_all(&mut queue, SECOND).len(), 1);
}
