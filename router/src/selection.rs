//! Selection of the upstream for a send.

use crate::backend::{Backend, View};
use crate::delivery::{Delivery, remaining};
use crate::history::History;
use crate::zones;
use almondwell_core::backlog::Report;
use almondwell_core::placement::{self, Candidate, Prompt};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Share of its target latency that a request may wait before its prefill. The rest is needed for the prefill.
const QUEUE_SHARE: f64 = 0.7;
/// Age up to which an upstream's load report is used.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);

/// Result of the selection.
pub(crate) enum Selection {
    /// All upstreams that are left want no request now, or this entry's share of their limits allows none.
    Limited,
    /// An upstream whose estimated wait is within the limit, and the state it was selected by. The limit only
    /// applies to the first send.
    Selected(Arc<Backend>, View),
    /// Even at the preferred upstream the estimated wait exceeds the limit; holds that wait.
    Overloaded(Duration),
    /// No upstream is left to try.
    None,
}

/// Selects the upstream for the next send.
///
/// Upstreams in the request's band come first, then those of wider bands, whose requests tolerate longer pauses.
pub(crate) fn select(delivery: Delivery<'_>, history: &History) -> Selection {
    let ready = delivery.router.ready();
    let Some(backends) = ready.get(&delivery.admitted.service) else {
        return Selection::None;
    };
    let Some(band) = delivery.admitted.band.clone() else {
        return select_among(delivery, history, None, backends);
    };
    if delivery.admitted.version.is_some() {
        // The caller has the start of the stream, and only these upstreams can continue it.
        let limit = remaining(delivery).mul_f64(QUEUE_SHARE);
        return select_among(delivery, history, Some(limit), backends);
    }
    let limit = wait_limit(delivery);
    let in_band = backends.get(band.clone()).unwrap_or(backends);
    // Later bands serve requests that tolerate longer pauses than this request causes at their engines.
    let wider = backends.get(band.end..).unwrap_or_default();
    let among = |backends| select_among(delivery, history, Some(limit), backends);
    match among(in_band) {
        Selection::Selected(backend, view) => Selection::Selected(backend, view),
        Selection::Overloaded(wait) => match among(wider) {
            Selection::Selected(backend, view) => Selection::Selected(backend, view),
            Selection::Limited | Selection::Overloaded(_) | Selection::None => {
                Selection::Overloaded(wait)
            }
        },
        Selection::Limited => match among(backends) {
            Selection::Limited | Selection::None => Selection::Limited,
            selection => selection,
        },
        Selection::None => among(backends),
    }
}

/// Estimated wait at an engine by its last report. The prefill of a request stands for that of those that wait
/// there, since an engine mostly serves requests of one kind.
fn reported_wait(view: &View, prefill: Duration) -> Duration {
    match view.load {
        Some((load, age)) if age <= MAX_LOAD_AGE => {
            let waiting = load.waiting;
            Report { age, waiting }.wait(prefill)
        }
        Some(_) | None => Duration::ZERO,
    }
}

/// Longest time that the request may wait before its prefill, without regard to overload.
pub(crate) fn base_limit(delivery: Delivery<'_>) -> Duration {
    delivery.admitted.route.target.mul_f64(QUEUE_SHARE)
}

/// Longest time that the request may wait now, which overload may lower for less urgent requests.
fn wait_limit(delivery: Delivery<'_>) -> Duration {
    let Delivery {
        admitted, router, ..
    } = delivery;
    let base = base_limit(delivery);
    router
        .services
        .wait_limit(router.now(), &admitted.service, admitted.rank, base)
}

fn select_among(
    delivery: Delivery<'_>,
    history: &History,
    limit: Option<Duration>,
    backends: &[Arc<Backend>],
) -> Selection {
    let Delivery {
        admitted,
        request,
        router,
        ..
    } = delivery;
    let now = router.now();
    let entries = router.services.entries();
    let mut rng = rand::rng();
    let version = history.version(delivery);
    let mut eligible: Vec<_> = backends
        .iter()
        .filter(|backend| !backend.is_gone() && !history.tried.contains(&backend.upstream.id))
        .filter(|backend| version.is_none_or(|version| *backend.upstream.version == *version))
        .collect();
    let count = eligible.len();
    eligible.retain(|backend| backend.is_open(now, entries, rng.random()));
    if eligible.is_empty() && count > 0 {
        return Selection::Limited;
    }
    if admitted.band.is_none() && router.settings.zone_first && history.sends == 0 {
        eligible = zones::restrict(delivery, eligible);
    }
    let rate = router.services.prefill_rate(&admitted.service);
    let part = request.job.shared().last().map(|part| part.id);
    let prefill = Duration::from_secs_f64(request.job.work().prefill_tokens() / rate / 1000.0);
    let views: Vec<_> = eligible
        .iter()
        .map(|backend| {
            let mut view = backend.view(now, part, rate);
            if router.settings.exchange_loads {
                view.wait = view.wait.max(reported_wait(&view, prefill));
            }
            view
        })
        .collect();
    let candidates: Vec<_> = eligible
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
                .filter(|(_, age)| *age <= MAX_LOAD_AGE)
                .map(|(load, _)| load.running.saturating_add(load.waiting)),
            slots: backend.upstream.slots,
            wait: view.wait,
        })
        .collect();
    let tokens = request.job.work().shared;
    let prompt = admitted.band.as_ref().map(|_| Prompt {
        shared_prefix: part,
        prefill: Duration::from_secs_f64(f64::from(tokens) / rate / 1000.0),
    });
    let Some(index) = placement::choose(&router.placement, prompt, &candidates) else {
        return Selection::None;
    };
    let wait = candidates[index].wait;
    if history.sends == 0 && limit.is_some_and(|limit| wait > limit) {
        return Selection::Overloaded(wait);
    }
    if !eligible[index].take_quota(now, entries, rng.random()) {
        return Selection::Limited;
    }
    Selection::Selected(eligible[index].clone(), views[index])
}
