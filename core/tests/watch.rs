//! Time limits of watches: silence is noticed in time, no earlier than necessary, and slow stores are followed.

use almondwell_core::watch::{Limits, Options, Watch};
use std::time::Duration;

/// Time for a new call, and the reserve that has to be left of the time for a change.
const CALL: Duration = Duration::from_millis(500);
const RESERVE: Duration = Duration::from_millis(500);

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// What happened to earlier watches.
#[derive(Clone, Copy)]
enum Past {
    Answered(u64),
    Failure(u64),
    LateAnswer(u64),
    None,
    Pause,
}

fn options(apply: u64, contact: u64) -> Options {
    Options {
        apply: at(apply),
        contact: at(contact),
    }
}

fn watch(options: Options, past: Past) -> Watch {
    let mut watch = Watch::new(options);
    match past {
        Past::Answered(time) => {
            watch.record_failure(at(time));
            let limits = watch.limits(at(time));
            watch.record_answer(at(time), at(time), limits);
        }
        Past::Failure(time) => watch.record_failure(at(time)),
        Past::LateAnswer(time) => {
            let start = at(time);
            let limits = watch.limits(start);
            let end = start + limits.wait + at(450);
            watch.record_answer(end, start, limits);
        }
        Past::None => {}
        Past::Pause => watch.record_pause(),
    }
    watch
}

macro_rules! cases {
    ($($name:ident: $apply:expr, $contact:expr, $past:expr, $now:expr => $wait:expr, $grace:expr;)*) => {
        $(#[test]
        fn $name() {
            let limits = watch(options($apply, $contact), $past).limits(at($now));
            let expected = Limits { grace: at($grace), wait: at($wait) };
            assert_eq!(limits, expected);
            let silence = limits.wait + limits.grace;
            assert!(silence + CALL + RESERVE <= at($apply.min($contact)), "{silence:?} of silence");
        })*
    };
}

// Guards against silence that is noticed only when a change should have taken effect or `contact` is over, and against waits
// that are shorter than needed.
cases! {
    waits_long_at_the_start: 4000, 4000, Past::None, 0 => 2500, 500;
    waits_long_with_another_contact: 6000, 6000, Past::None, 0 => 4500, 500;
    asks_at_once_after_a_failure: 4000, 4000, Past::Failure(1000), 4900 => 0, 1500;
    asks_at_once_after_a_pause: 4000, 4000, Past::Pause, 0 => 0, 500;
    waits_briefly_after_a_failure: 4000, 4000, Past::Answered(1000), 4900 => 1000, 500;
    waits_long_again_after_contact: 4000, 4000, Past::Answered(1000), 5000 => 2500, 500;
    gives_a_slow_store_more_time: 4000, 4000, Past::LateAnswer(1000), 4000 => 1500, 1500;
    gives_a_fast_store_less_time_again: 4000, 4000, Past::LateAnswer(1000), 8000 => 2500, 500;
    waits_no_longer_than_a_change_may_take: 2500, 4000, Past::None, 0 => 1000, 500;
    notices_silence_in_time_after_a_failure: 2500, 4000, Past::Failure(1000), 4900 => 0, 1250;
    notices_silence_in_time_at_a_slow_store: 2500, 4000, Past::LateAnswer(1000), 4000 => 250, 1250;
    notices_silence_before_contact_is_over: 8000, 4000, Past::None, 0 => 2500, 500;
}

/// Guards against watches that call several times a second long after a failure, although the store answers in time.
#[test]
fn an_answer_in_time_ends_the_long_grace() {
    let watch = watch(options(2500, 4000), Past::Answered(1000));
    let expected = Limits {
        grace: at(500),
        wait: at(1000),
    };
    assert_eq!(watch.limits(at(1250)), expected);
}

/// Guards against calls without a wait that go on, when no change follows the one before the pause.
#[test]
fn a_watch_after_a_pause_is_followed_by_long_ones() {
    let mut watch = Watch::new(options(4000, 4000));
    watch.record_pause();
    let limits = watch.limits(at(0));
    watch.record_answer(limits.wait, at(0), limits);
    assert_eq!(watch.limits(limits.wait).wait, at(2500));
}

/// Guards against a slow store whose answers all arrive after the limit.
#[test]
fn a_store_that_answers_slowly_is_followed() {
    let (latency, mut now, mut watch) = (at(900), at(0), Watch::new(options(4000, 4000)));
    let (mut failures, mut answers) = (0, 0);
    while now < at(60_000) {
        let (start, limits) = (now, watch.limits(now));
        if latency > limits.grace {
            now += limits.wait + limits.grace;
            watch.record_failure(now);
            failures += 1;
        } else {
            now += limits.wait + latency;
            watch.record_answer(now, start, limits);
            answers += 1;
        }
    }
    assert_eq!(failures, 1, "beside {answers} answers");
}

/// Guards against settings with which a watch would not wait at all, and call again and again.
#[test]
fn a_very_small_contact_leaves_a_wait() {
    assert!(Watch::new(options(1000, 1000)).limits(at(0)).wait >= at(250));
}
