//! Expected times of answers, by which a stopping process decides what it still begins.

use almondwell_core::answer_times::{AnswerTimes, Options};
use std::time::Duration;

const CLASS: &str = "booking";
const LIMIT: Duration = Duration::from_secs(3);
const LEFT: Duration = Duration::from_secs(1);

/// Declares tests, one per line: answers as pairs of a number and a time in ms, the seconds since then, and whether another
/// one fits.
macro_rules! cases {
    ($($name:ident: $answers:expr, $age:literal => $fits:literal;)*) => {
        $(#[test]
        fn $name() {
            let mut times = AnswerTimes::new(Options::default());
            for (count, time) in $answers {
                for _ in 0..count {
                    times.record(Duration::ZERO, &CLASS, Duration::from_millis(time));
                }
            }
            let now = Duration::from_secs($age);
            assert_eq!(times.fits(now, &CLASS, LIMIT, LEFT), $fits);
        })*
    };
}

cases! {
    without_answers_the_limit_counts: [(0, 0)], 0 => false;
    few_answers_do_not_count: [(19, 50)], 0 => false;
    short_answers_fit: [(100, 50)], 0 => true;
    long_answers_do_not_fit: [(100, 2000)], 0 => false;
    a_few_long_ones_are_accepted: [(96, 50), (4, 2000)], 0 => true;
    many_long_ones_are_not: [(90, 50), (10, 2000)], 0 => false;
    answers_of_the_last_window_count: [(100, 50)], 100 => true;
    older_ones_are_forgotten: [(100, 50)], 200 => false;
}

#[test]
fn a_request_that_may_take_no_longer_than_is_left_fits() {
    let mut times = AnswerTimes::new(Options::default());
    for _ in 0..100 {
        times.record(Duration::ZERO, &CLASS, Duration::from_secs(2));
    }
    assert!(times.fits(Duration::ZERO, &CLASS, LEFT, LEFT));
    assert!(!times.fits(Duration::ZERO, &"other", LIMIT, LEFT));
}
