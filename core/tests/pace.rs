//! Detection of slow and stalled upstreams from their streams.

mod support;

use almondwell_core::Pace;
use std::time::Duration;

const SLOTS: usize = 16;
const STREAMS: u64 = 8;
const BASELINE_GAP: Duration = Duration::from_millis(30);

cases! {
    detects_a_slow_upstream_within_half_a_second = check_slow();
    detects_a_stalled_upstream_within_half_a_second = check_stall();
    tolerates_jitter = check_jitter();
    restores_slots_gradually_after_recovery = check_ramp();
    reports_no_slow_upstream_without_a_baseline = check_no_baseline();
}

/// Records tokens of all streams every `gap` from `now` on for `duration`; returns the time after it.
fn run_streams(pace: &mut Pace, mut now: Duration, gap: Duration, duration: Duration) -> Duration {
    let end = now + duration;
    while now < end {
        for stream in 0..STREAMS {
            pace.record_token(now, stream);
        }
        now += gap;
    }
    now
}

/// A detector with a known baseline, and the current time.
fn with_baseline() -> (Pace, Duration) {
    let mut pace = Pace::default();
    let now = run_streams(
        &mut pace,
        Duration::ZERO,
        BASELINE_GAP,
        Duration::from_secs(3),
    );
    assert_eq!(pace.slot_limit(now, SLOTS), SLOTS);
    (pace, now)
}

fn check_slow() {
    let (mut pace, now) = with_baseline();
    let now = run_streams(
        &mut pace,
        now,
        BASELINE_GAP * 10,
        Duration::from_millis(500),
    );
    assert!(pace.is_slow(now));
    assert!(pace.slot_limit(now, SLOTS) <= 2);
}

fn check_stall() {
    let (mut pace, now) = with_baseline();
    let now = now + Duration::from_millis(500);
    assert!(pace.is_slow(now));
    assert_eq!(pace.slot_limit(now, SLOTS), 1);
}

fn check_jitter() {
    let (mut pace, mut now) = with_baseline();
    for round in 0..100 {
        now = run_streams(
            &mut pace,
            now,
            BASELINE_GAP * (1 + round % 2),
            BASELINE_GAP * 4,
        );
        assert!(!pace.is_slow(now));
    }
}

fn check_ramp() {
    let (mut pace, now) = with_baseline();
    let now = run_streams(&mut pace, now, BASELINE_GAP * 10, Duration::from_secs(3));
    assert!(pace.is_slow(now));
    let now = run_streams(&mut pace, now, BASELINE_GAP, Duration::from_millis(600));
    let first = pace.slot_limit(now, SLOTS);
    assert!(
        first < SLOTS,
        "expected fewer than {SLOTS} slots, got {first}"
    );
    let now = run_streams(&mut pace, now, BASELINE_GAP, Duration::from_secs(1));
    let second = pace.slot_limit(now, SLOTS);
    assert!(
        first < second && second <= SLOTS,
        "expected more than {first} and at most {SLOTS} slots, got {second}"
    );
    let now = run_streams(&mut pace, now, BASELINE_GAP, Duration::from_secs(5));
    assert_eq!(pace.slot_limit(now, SLOTS), SLOTS);
}

fn check_no_baseline() {
    let mut pace = Pace::default();
    let now = run_streams(
        &mut pace,
        Duration::ZERO,
        BASELINE_GAP * 10,
        BASELINE_GAP * 20,
    );
    assert!(!pace.is_slow(now));
}
