//! What a stopping router still begins: requests that are likely to be answered before it has to end.

use crate::delivery::{Delivery, until_deadline};
use crate::dispatch::{Admitted, Outcome};
use almondwell_schema::Verdict;
use rand::Rng;
use std::time::Duration;

/// Range of the `Retry-After` time of requests that are refused.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(150));

/// Requests whose answers take similar times: their service, latency target and target gap.
pub(crate) type Class = (Box<str>, Duration, Option<Duration>);

fn class(admitted: &Admitted) -> Class {
    let route = &admitted.route;
    (admitted.service.clone(), route.target, route.gap)
}

/// Whether the request is likely to be answered before the router has to end.
pub(crate) fn has_time(delivery: Delivery<'_>) -> bool {
    let Delivery {
        admitted, router, ..
    } = delivery;
    let now = router.now();
    router.drain.left(now).is_none_or(|left| {
        let mut times = router.lock_answer_times();
        times.fits(now, &class(admitted), until_deadline(delivery), left)
    })
}

/// Records how long the answer of a request took that began at `start`, unless the request was not run or its caller left.
pub(crate) fn record_time(delivery: Delivery<'_>, start: Duration, outcome: Outcome) {
    let has_run = match outcome {
        Outcome::Answered { .. } | Outcome::Truncated => true,
        Outcome::CallerClosed => false,
        Outcome::Refused(refusal) => refusal.verdict != Verdict::NotRun,
    };
    if has_run {
        let now = delivery.router.now();
        let time = now.saturating_sub(start);
        let class = class(delivery.admitted);
        delivery
            .router
            .lock_answer_times()
            .record(now, &class, time);
    }
}

/// Random `Retry-After` time: other entries take the request at once.
pub(crate) fn retry_after() -> Duration {
    rand::rng().random_range(RETRY_AFTER.0..RETRY_AFTER.1)
}
