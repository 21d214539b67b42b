//! Slow and stalled upstreams, found from their streams.

mod support;

use almondwell_core::Pace;
use std::time::Duration;

const PLACES: usize = 16;
const STREAMS: u64 = 8;
const USUAL: Duration = Duration::from_millis(30);

cases! {
    finds_a_slow_upstream_within_half_a_second = check_slow();
    finds_a_stalled_upstream_within_half_a_second = check_stall();
    keeps_an_upstream_with_jitter = check_jitter();
    gives_places_back_step_by_step = check_ramp();
    judges_no_upstream_that_it_does_not_know = check_unknown();
}

/// Runs all streams at `gap` from `now` on for `time`; returns the end.
fn run(pace: &mut Pace, mut now: Duration, gap: Duration, time: Duration) -> Duration {
    let end = now + time;
    while now < end {
        for stream in 0..STREAMS {
            pace.token(now, stream);
        }
        now += gap;
    }
    now
}

fn usual() -> (Pace, Duration) {
    let mut pace = Pace::default();
    let now = run(&mut pace, Duration::ZERO, USUAL, Duration::from_secs(3));
    assert_eq!(pace.limit(now, PLACES), PLACES);
    (pace, now)
}

fn check_slow() {
    let (mut pace, now) = usual();
    let now = run(&mut pace, now, USUAL * 10, Duration::from_millis(500));
    assert!(pace.is_slow(now));
    assert!(pace.limit(now, PLACES) <= 2);
}

fn check_stall() {
    let (mut pace, now) = usual();
    let now = now + Duration::from_millis(500);
    assert!(pace.is_slow(now));
    assert_eq!(pace.limit(now, PLACES), 1);
}

fn check_jitter() {
    let (mut pace, mut now) = usual();
    for round in 0..100 {
        now = run(&mut pace, now, USUAL * (1 + round % 2), USUAL * 4);
        assert!(!pace.is_slow(now));
    }
}

fn check_ramp() {
    let (mut pace, now) = usual();
    let now = run(&mut pace, now, USUAL * 10, Duration::from_secs(3));
    assert!(pace.is_slow(now));
    let now = run(&mut pace, now, USUAL, Duration::from_millis(600));
    let first = pace.limit(now, PLACES);
    assert!(first < PLACES, "{first}");
    let now = run(&mut pace, now, USUAL, Duration::from_secs(1));
    let second = pace.limit(now, PLACES);
    assert!(first < second && second <= PLACES, "{first} {second}");
    let now = run(&mut pace, now, USUAL, Duration::from_secs(5));
    assert_eq!(pace.limit(now, PLACES), PLACES);
}

fn check_unknown() {
    let mut pace = Pace::default();
    let now = run(&mut pace, Duration::ZERO, USUAL * 10, USUAL * 20);
    assert!(!pace.is_slow(now));
}
