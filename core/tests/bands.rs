//! Partition of engines among requests with different target gaps.

use almondwell_core::bands::{Bands, Options, Work};
use std::time::Duration;

const SHORT_GAP: Duration = Duration::from_millis(250);
const LONG_GAP: Duration = Duration::from_secs(1);

const SHORT_PROMPT: Work = Work {
    output: 100,
    own: 1000,
    shared: 0,
};
const LONG_PROMPT: Work = Work {
    output: 100,
    own: 4000,
    shared: 12_000,
};

fn second(second: u64) -> Duration {
    Duration::from_secs(second)
}

/// Bands after one short and one long request per second for a minute.
fn steady_bands() -> Bands {
    let mut bands = Bands::new(Options::default());
    for at in 0..60 {
        bands.record(second(at), SHORT_GAP, SHORT_PROMPT);
        bands.record(second(at), LONG_GAP, LONG_PROMPT);
    }
    bands
}

/// Each case gives the work of the groups with the short and the long gap, the number of engines, and the
/// resulting bands.
macro_rules! cases {
    ($($name:ident: $short_gap:expr, $long_gap:expr, $count:expr => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut bands = Bands::new(Options { exponent: 1.0, prior: 0.0, ..Options::default() });
            bands.record(second(0), SHORT_GAP, Work { own: $short_gap, ..Work::default() });
            bands.record(second(0), LONG_GAP, Work { own: $long_gap, ..Work::default() });
            let found = (bands.engine_range(SHORT_GAP, $count), bands.engine_range(LONG_GAP, $count));
            assert_eq!(found, $expected);
        })*
    };
}

cases! {
    splits_engines_by_work: 25, 75, 12 => (0..3, 3..12);
    rounds_the_edge_to_the_nearest_engine: 30, 70, 12 => (0..4, 4..12);
    a_narrow_first_band_shares_the_first_engine: 1, 999, 12 => (0..1, 0..12);
    a_narrow_last_band_shares_the_last_engine: 999, 1, 12 => (0..12, 11..12);
    one_engine_serves_all_groups: 50, 50, 1 => (0..1, 0..1);
    no_engines_give_empty_bands: 50, 50, 0 => (0..0, 0..0);
}

#[test]
fn groups_with_different_gaps_get_disjoint_bands() {
    let mut bands = steady_bands();
    let (short_gap, long_gap) = (
        bands.engine_range(SHORT_GAP, 12),
        bands.engine_range(LONG_GAP, 12),
    );
    assert_eq!(short_gap.end, long_gap.start);
    assert_eq!((short_gap.start, long_gap.end), (0, 12));
}

#[test]
fn band_widths_follow_a_power_of_the_work() {
    let mut bands = steady_bands();
    let [short, long] =
        [SHORT_PROMPT, LONG_PROMPT].map(|work| work.tokens().powf(Options::default().exponent));
    let share = short / (short + long);
    let found = bands.engine_range(SHORT_GAP, 100).len();
    let found = f64::from(u32::try_from(found).unwrap_or(u32::MAX));
    assert!(
        (found - share * 100.0).abs() <= 3.0,
        "expected a share of about {share} of 100 engines, got {found} engines"
    );
}

#[test]
fn a_short_load_peak_moves_at_most_one_engine() {
    let mut bands = steady_bands();
    let before = bands.engine_range(SHORT_GAP, 12);
    for at in 60..64 {
        for _ in 0..2 {
            bands.record(second(at), LONG_GAP, LONG_PROMPT);
        }
        bands.record(second(at), SHORT_GAP, SHORT_PROMPT);
    }
    let after = bands.engine_range(SHORT_GAP, 12);
    assert!(
        before.len().abs_diff(after.len()) <= 1,
        "expected to move at most one engine: {before:?} became {after:?}"
    );
}

#[test]
fn varying_request_sizes_do_not_make_the_edge_oscillate() {
    let mut bands = steady_bands();
    let mut moves = 0;
    let mut last = bands.engine_range(SHORT_GAP, 12);
    for at in 60..360_u64 {
        // Request sizes vary by a factor of four around the same mean.
        let factor = [1, 2, 4][usize::try_from(at % 3).unwrap_or(0)];
        let own = 4000 * factor * 3 / 7;
        bands.record(second(at), LONG_GAP, Work { own, ..LONG_PROMPT });
        bands.record(second(at), SHORT_GAP, SHORT_PROMPT);
        let next = bands.engine_range(SHORT_GAP, 12);
        moves += usize::from(next != last);
        last = next;
    }
    assert!(
        moves <= 2,
        "expected at most 2 moves of the edge, got {moves}"
    );
}

#[test]
fn a_permanent_load_shift_moves_the_edge() {
    let mut bands = steady_bands();
    for at in 60..180 {
        bands.record(second(at), SHORT_GAP, LONG_PROMPT);
        bands.record(second(at), LONG_GAP, SHORT_PROMPT);
    }
    assert!(bands.engine_range(SHORT_GAP, 12).len() > 6);
}

#[test]
fn a_single_group_gets_all_engines() {
    let mut bands = Bands::new(Options::default());
    bands.record(second(1), LONG_GAP, LONG_PROMPT);
    assert_eq!(bands.engine_range(LONG_GAP, 12), 0..12);
    assert_eq!(bands.engine_range(SHORT_GAP, 12), 0..12);
}
