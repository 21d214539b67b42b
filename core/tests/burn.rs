//! Burn rates and the ring of time buckets.

use almondwell_core::burn::{Ring, Spend};
use almondwell_schema::Counts;
use std::time::Duration;

const FAST: Duration = Duration::from_mins(5);
const SLOW: Duration = Duration::from_hours(1);

/// Defines tests: good and bad requests and attainment => burn rate and fraction of the budget left.
macro_rules! spends {
    ($($name:ident: $good:literal, $bad:literal, $attainment:literal => $rate:literal, $left:literal;)*) => {
        $(#[test]
        fn $name() {
            let counts = Counts { bad: $bad, good: $good };
            let spend = Spend::new(&counts, $attainment);
            assert!((spend.rate() - $rate).abs() < 1e-9, "rate {}", spend.rate());
            assert!((spend.left() - $left).abs() < 1e-9, "left {}", spend.left());
        })*
    };
}

spends! {
    no_requests: 0, 0, 950 => 0.0, 1.0;
    all_good: 100, 0, 950 => 0.0, 1.0;
    budget_spent_exactly: 95, 5, 950 => 1.0, 0.0;
    half_the_budget_spent: 975, 25, 950 => 0.5, 0.5;
    twice_the_budget_spent: 90, 10, 950 => 2.0, -1.0;
    all_bad: 0, 100, 950 => 20.0, -19.0;
    strictest_attainment: 999, 1, 999 => 1.0, 0.0;
}

/// Defines tests: requests as (seconds, is good) at a time in a window => good and bad requests counted.
macro_rules! rings {
    ($($name:ident: [$(($at:literal, $is_good:literal)),*] at $now:literal in $window:expr => $good:literal, $bad:literal;)*) => {
        $(#[test]
        fn $name() {
            let mut ring = Ring::new(FAST, SLOW);
            let records: &[(u64, bool)] = &[$(($at, $is_good)),*];
            for (at, is_good) in records {
                ring.record(Duration::from_secs(*at), *is_good);
            }
            let counts = ring.sum(Duration::from_secs($now), $window);
            assert_eq!(counts, Counts { bad: $bad, good: $good });
        })*
    };
}

rings! {
    an_empty_ring_counts_nothing: [] at 100 in SLOW => 0, 0;
    the_fast_window_counts_recent_requests: [(1, true), (2, false)] at 3 in FAST => 1, 1;
    the_fast_window_drops_old_requests: [(1, true), (2, false)] at 330 in FAST => 0, 0;
    the_slow_window_counts_older_requests: [(1, true), (2, false)] at 330 in SLOW => 1, 1;
    the_slow_window_drops_old_requests: [(1, true), (2, false)] at 3631 in SLOW => 0, 0;
    a_reused_bucket_starts_empty: [(1, false), (3631, true)] at 3632 in SLOW => 1, 0;
    a_long_gap_drops_all_old_requests: [(1, false), (90_000, true)] at 90_001 in SLOW => 1, 0;
}

#[test]
fn error_budgets_of_classes_add_up() {
    let strict = Spend::new(&Counts { bad: 1, good: 99 }, 990);
    let lenient = Spend::new(&Counts { bad: 0, good: 100 }, 900);
    let tier = strict + lenient;
    assert!(
        (tier.rate() - 1.0 / 11.0).abs() < 1e-9,
        "expected a rate of 1/11, got {}",
        tier.rate()
    );
}

#[test]
fn the_history_ends_with_the_newest_bucket() {
    let mut ring = Ring::new(FAST, SLOW);
    ring.record(Duration::from_secs(1), true);
    ring.record(Duration::from_secs(61), false);
    let history = ring.history(Duration::from_secs(65));
    assert_eq!(history.len(), 121);
    assert_eq!(history[118], Counts { bad: 0, good: 1 });
    assert_eq!(history[119], Counts { bad: 0, good: 0 });
    assert_eq!(history[120], Counts { bad: 1, good: 0 });
}
