//! Whether a request to a service without engines stays in the entry's availability zone.

use crate::backend::Backend;
use crate::delivery::Delivery;
use almondwell_core::placement::Distance;
use almondwell_core::zone_share::{Times, expected_time};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Age up to which the load report of an upstream in another zone is used. An older one says nothing of the room there.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);

/// Time by which an upstream in another zone may be slower than the best one there, so that not all requests go to one.
const NEAR: Duration = Duration::from_millis(5);
/// Recent failures from which an upstream counts as unusable. In its zone it is often the only one, and an upstream that fails a
/// part of its requests would otherwise get all of the zone's.
const MAX_FAILURES: f64 = 0.5;

/// Leaves those of `eligible` that the request may go to: the upstreams of the zone, or those of other zones if it leaves.
pub(crate) fn restrict<'a>(
    delivery: Delivery<'_>,
    mut eligible: Vec<&'a Arc<Backend>>,
) -> Vec<&'a Arc<Backend>> {
    let Delivery {
        admitted, router, ..
    } = delivery;
    let (now, service) = (router.now(), &admitted.service);
    let distance = |backend: &Arc<Backend>| router.distance(&backend.upstream.zone);
    // Without a response yet, the request stays, which measures the time.
    let local_base = router.services.base_time(service, Distance::Zone);
    let local_base = local_base.unwrap_or_default();
    let time = |backend: &&Arc<Backend>| {
        let view = backend.view(now, None, 1.0);
        let distance = distance(backend);
        if view.failures >= MAX_FAILURES {
            return None;
        }
        let load = view.load.filter(|(_, age)| *age <= MAX_LOAD_AGE);
        let reported = load.map_or(0, |(load, _)| load.running.saturating_add(load.waiting));
        let base = router.services.base_time(service, distance);
        let base = base.unwrap_or(local_base + router.placement.way(distance));
        let requests = view.inflight.max(reported);
        Some(expected_time(base, requests, backend.upstream.slots))
    };
    let is_local = |backend: &&Arc<Backend>| distance(backend) == Distance::Zone;
    let best = |is_wanted: bool| {
        let wanted = eligible
            .iter()
            .filter(|backend| is_local(backend) == is_wanted);
        wanted.filter_map(time).min()
    };
    let times = Times {
        local: best(true),
        remote: best(false),
    };
    if times.local.is_none() && times.remote.is_none() {
        return eligible;
    }
    let target = admitted.route.target;
    let draw = rand::rng().random();
    let leaves = router
        .services
        .leaves_zone(now, service, target, times, draw);
    if leaves {
        router.metrics.left_zone.inc();
    }
    // Among the upstreams elsewhere, those as near as the best one: a farther one may be less loaded and yet slower.
    let is_near = |backend: &&Arc<Backend>| {
        let limit = times.remote.map_or(Duration::MAX, |remote| remote + NEAR);
        !leaves || time(backend).is_some_and(|time| time <= limit)
    };
    eligible.retain(|backend| is_local(backend) != leaves && is_near(backend));
    eligible
}
