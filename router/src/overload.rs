//! Refusal of requests for which the upstreams have no room.

use crate::delivery::{Delivery, attempt_id, remaining};
use crate::dispatch::{Outcome, overload_retry_after};
use crate::refusal::{Reason, Refusal};
use crate::router::milliseconds;
use crate::selection::base_limit;
use std::time::Duration;

/// Refuses a request whose estimated queue wait exceeds its limit.
pub(crate) fn refuse_overloaded(delivery: Delivery<'_>, wait: Duration) -> Outcome {
    let admitted = delivery.admitted;
    spdlog::info!("request refused: estimated queue wait exceeds the limit", kv: {
        request = attempt_id(delivery.request), wait_ms = milliseconds(wait),
        rank = admitted.rank, limit_ms = milliseconds(base_limit(delivery)),
        target_ms = milliseconds(admitted.route.target)
    });
    refuse(delivery)
}

/// Refuses a request while all upstreams are at the limits that they name.
pub(crate) fn refuse_limited(delivery: Delivery<'_>) -> Outcome {
    spdlog::info!("request refused: all upstreams are at their limits", kv: {
        request = attempt_id(delivery.request), rank = delivery.admitted.rank
    });
    refuse(delivery)
}

/// Refuses a request that was not sent, since the upstreams have no room for it.
fn refuse(delivery: Delivery<'_>) -> Outcome {
    let Delivery {
        admitted, router, ..
    } = delivery;
    let limit = base_limit(delivery);
    router
        .services
        .record_refusal(router.now(), &admitted.service, admitted.rank, limit);
    let left = remaining(delivery);
    Outcome::Refused(Refusal::retryable(
        Reason::UpstreamsFull,
        overload_retry_after(left),
    ))
}
