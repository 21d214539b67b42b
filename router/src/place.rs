//! Which upstream a send goes to, or why to none.

use crate::backend::{Backend, View};
use crate::delivery::{Delivery, Trail};
use almondwell_core::placement::{self, Candidate, Prompt};
use std::sync::Arc;
use std::time::Duration;

/// Part of its target for which a request may wait before its prompt is read: the rest is for reading it.
const FULL: f64 = 0.7;
/// Age up to which an upstream's word on its load counts.
const LOAD_AGE: Duration = Duration::from_secs(2);

/// The upstream for the next send.
pub(crate) enum Place {
    /// It can begin soon enough.
    At(Arc<Backend>, View),
    /// All would begin too late; holds the shortest wait.
    Full(Duration),
    /// There is none.
    None,
}

/// Finds the upstream for the next send.
pub(crate) fn place(delivery: Delivery<'_>, trail: &Trail) -> Place {
    let ready = delivery.router.ready();
    let Some(backends) = ready.get(&delivery.admitted.service) else {
        return Place::None;
    };
    let Some(band) = delivery.admitted.band.clone() else {
        return place_among(delivery, trail, None, backends);
    };
    let limit = limit(delivery);
    let own = backends.get(band.clone()).unwrap_or(backends);
    // The bands after it belong to requests that bear longer pauses than it brings them.
    let wider = backends.get(band.end..).unwrap_or_default();
    let among = |backends| place_among(delivery, trail, Some(limit), backends);
    match among(own) {
        Place::At(backend, view) => Place::At(backend, view),
        Place::Full(wait) => match among(wider) {
            Place::At(backend, view) => Place::At(backend, view),
            Place::Full(_) | Place::None => Place::Full(wait),
        },
        Place::None => among(backends),
    }
}

/// Wait that the request bears by itself before its prompt is read.
pub(crate) fn own_limit(delivery: Delivery<'_>) -> Duration {
    delivery.admitted.route.target.mul_f64(FULL)
}

/// Longest wait that the request may bear now.
fn limit(delivery: Delivery<'_>) -> Duration {
    let Delivery {
        admitted, router, ..
    } = delivery;
    let own = own_limit(delivery);
    router
        .figures
        .limit(router.now(), &admitted.service, admitted.rank, own)
}

fn place_among(
    delivery: Delivery<'_>,
    trail: &Trail,
    limit: Option<Duration>,
    backends: &[Arc<Backend>],
) -> Place {
    let Delivery {
        admitted,
        request,
        router,
        ..
    } = delivery;
    let now = router.now();
    let left: Vec<_> = backends
        .iter()
        .filter(|backend| !backend.is_gone() && !trail.tried.contains(&backend.upstream.id))
        .collect();
    let rate = router.figures.rate(&admitted.service);
    let part = request.job.shared().last().map(|part| part.id);
    let views: Vec<_> = left
        .iter()
        .map(|backend| backend.view(now, part, rate))
        .collect();
    let candidates: Vec<_> = left
        .iter()
        .zip(&views)
        .map(|(backend, view)| Candidate {
            distance: router.distance(&backend.upstream.zone),
            failures: view.failures,
            has_parts: view.has_parts,
            id: &backend.upstream.id,
            inflight: view.inflight,
            reported: view
                .load
                .filter(|(_, age)| *age <= LOAD_AGE)
                .map(|(load, _)| load.running + load.waiting),
            slots: backend.upstream.slots,
            wait: view.wait,
        })
        .collect();
    let tokens = request.job.work().shared;
    let prompt = admitted.band.as_ref().map(|_| Prompt {
        home: part,
        read: Duration::from_secs_f64(f64::from(tokens) / rate / 1000.0),
    });
    let Some(index) = placement::choose(&router.placement, prompt, &candidates) else {
        return Place::None;
    };
    let wait = candidates[index].wait;
    if trail.sends == 0 && limit.is_some_and(|limit| wait > limit) {
        return Place::Full(wait);
    }
    Place::At(left[index].clone(), views[index])
}
