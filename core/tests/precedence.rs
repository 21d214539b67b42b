//! Who is let in at crests like those of the users' deployments.

use almondwell_core::precedence::Precedence;
use std::time::Duration;

const URGENT: u8 = 1;
const PATIENT: u8 = 2;
const SHORT: Duration = Duration::from_millis(1050);
const HALF: Duration = Duration::from_millis(525);
const LONG: Duration = Duration::from_millis(1750);

fn milliseconds(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Each case gives when the urgent were last refused, who asks when, and the wait that they may bear.
macro_rules! cases {
    ($($name:ident: $refused:expr, $rank:expr, $own:expr, at $now:expr => $limit:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut precedence = Precedence::default();
            let refused: Option<u64> = $refused;
            if let Some(at) = refused {
                precedence.refused(milliseconds(at), URGENT, SHORT);
            }
            assert_eq!(precedence.limit(milliseconds($now), $rank, $own), $limit);
        })*
    };
}

cases! {
    the_patient_bear_their_own_wait_on_a_calm_day: None, PATIENT, LONG, at 5_000 => LONG;
    the_patient_yield_while_the_urgent_are_refused: Some(4_500), PATIENT, LONG, at 5_000 => HALF;
    the_patient_get_in_again_after_the_crest: Some(3_500), PATIENT, LONG, at 9_000 => LONG;
    the_urgent_do_not_yield_to_themselves: Some(4_900), URGENT, SHORT, at 5_000 => SHORT;
    a_shorter_wait_of_the_patient_stays: Some(4_900), PATIENT, milliseconds(200), at 5_000 => milliseconds(200);
    the_most_urgent_never_yield: Some(4_900), 0, LONG, at 5_000 => LONG;
}

/// The pattern of an overloaded pool: the wait follows whoever is let in. Each 20 ms a pool gets a request of
/// each kind, and needs 15 ms to read one: it could read all urgent ones, and a third of the patient.
#[test]
fn a_crest_serves_the_urgent_and_leaves_the_rest_to_the_patient() {
    const READ: Duration = Duration::from_millis(15);
    let mut precedence = Precedence::default();
    let mut wait = Duration::ZERO;
    let mut served = [0_u32; 2];
    for step in 0..2_000_u64 {
        let now = milliseconds(step * 20);
        wait = wait.saturating_sub(milliseconds(20));
        for (index, (rank, own)) in [(URGENT, SHORT), (PATIENT, LONG)].into_iter().enumerate() {
            if wait <= precedence.limit(now, rank, own) {
                wait += READ;
                served[index] += 1;
            } else {
                precedence.refused(now, rank, own);
            }
        }
    }
    // All but a twelfth of the urgent are served, as the platform's rule on tiers asks.
    assert!(served[0] >= 2_000 * 11 / 12, "{served:?}");
    assert!(served[1] > 0, "{served:?}");
}
