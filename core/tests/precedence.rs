//! Admission by urgency under load peaks as in the users' deployments.

use almondwell_core::precedence::Precedence;
use std::time::Duration;

const URGENT: u8 = 1;
const LESS_URGENT: u8 = 2;
const SHORT_LIMIT: Duration = Duration::from_millis(1050);
const HALF_SHORT_LIMIT: Duration = Duration::from_millis(525);
const LONG_LIMIT: Duration = Duration::from_millis(1750);

fn milliseconds(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Each case gives the time of the last refusal of an urgent request, rank, own limit and time of another
/// request, and its resulting wait limit.
macro_rules! cases {
    ($($name:ident: $refused:expr, $rank:expr, $own:expr, at $now:expr => $limit:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut precedence = Precedence::default();
            let refused: Option<u64> = $refused;
            if let Some(at) = refused {
                precedence.record_refusal(milliseconds(at), URGENT, SHORT_LIMIT);
            }
            assert_eq!(precedence.limit(milliseconds($now), $rank, $own), $limit);
        })*
    };
}

cases! {
    less_urgent_requests_keep_their_limit_without_refusals: None, LESS_URGENT, LONG_LIMIT, at 5_000 => LONG_LIMIT;
    less_urgent_requests_are_limited_while_urgent_ones_are_refused: Some(4_500), LESS_URGENT, LONG_LIMIT, at 5_000 => HALF_SHORT_LIMIT;
    less_urgent_requests_regain_their_limit_after_the_peak: Some(3_500), LESS_URGENT, LONG_LIMIT, at 9_000 => LONG_LIMIT;
    urgent_requests_are_not_limited_by_their_own_refusals: Some(4_900), URGENT, SHORT_LIMIT, at 5_000 => SHORT_LIMIT;
    a_shorter_limit_of_a_less_urgent_request_stays: Some(4_900), LESS_URGENT, milliseconds(200), at 5_000 => milliseconds(200);
    the_most_urgent_requests_are_never_limited: Some(4_900), 0, LONG_LIMIT, at 5_000 => LONG_LIMIT;
}

/// Simulates an overloaded pool, whose wait depends on the admitted requests. Every 20 ms it gets one request
/// of each kind, and each takes 15 ms of prefill: the capacity suffices for all urgent requests and a third of
/// the less urgent ones.
#[test]
fn overload_serves_urgent_requests_and_gives_less_urgent_ones_the_rest() {
    const PREFILL: Duration = Duration::from_millis(15);
    let mut precedence = Precedence::default();
    let mut wait = Duration::ZERO;
    let mut served = [0_u32; 2];
    for step in 0..2_000_u64 {
        let now = milliseconds(step * 20);
        wait = wait.saturating_sub(milliseconds(20));
        for (index, (rank, own)) in [(URGENT, SHORT_LIMIT), (LESS_URGENT, LONG_LIMIT)]
            .into_iter()
            .enumerate()
        {
            if wait <= precedence.limit(now, rank, own) {
                wait += PREFILL;
                served[index] += 1;
            } else {
                precedence.record_refusal(now, rank, own);
            }
        }
    }
    // The platform's tier rule requires that all but a twelfth of the urgent requests are served.
    assert!(
        served[0] >= 2_000 * 11 / 12,
        "expected at least 11 of 12 urgent requests, got {served:?}"
    );
    assert!(
        served[1] > 0,
        "expected some less urgent requests, got {served:?}"
    );
}
