//! Watches the configuration and the upstreams' registrations in the platform's store.

use crate::router::Router;
use almondwell_core::fleet::{Change, Fleet, Source};
use almondwell_core::upstream::{Upstream, UpstreamId};
use almondwell_core::watch::Watch;
use almondwell_platform::store::{Changes, Cursor, Event, Item, Kind, Revision};
use almondwell_platform::{Error, decode};
use async_std::task;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Longest delay after the second consecutive failure; doubled with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest delay after any failure. Calls to the store cost money, but a machine that reaches the store again
/// has to learn all changes within a few seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Delay after a change, so that a burst of changes arrives in one response; a fraction of the time within
/// which a change has to take effect.
const BATCH_DELAY: Duration = Duration::from_millis(400);
/// Consecutive failures from which the store counts as unreachable; a single one may be a watch whose
/// connection was closed.
const OUTAGE_FAILURES: u32 = 2;
/// Interval between checks for delayed removals that are due.
const EXPIRY_PERIOD: Duration = Duration::from_millis(250);

/// Watches one kind of objects forever and applies their changes to the router.
pub(crate) async fn watch(router: Arc<Router>, kind: Kind) {
    let mut failures = 0;
    let mut watch = Watch::new(router.settings.contact);
    let mut cursor = Cursor::START;
    loop {
        let start = router.now();
        let limits = watch.limits(start);
        let previous = cursor.revision();
        match router.store.changes(kind, &mut cursor, limits).await {
            Ok(changes) => {
                failures = 0;
                watch.record_answer(router.now(), start, limits);
                let has_changed = apply(&router, kind, previous, start, &changes);
                match (kind, cursor.revision()) {
                    (Kind::Configuration, _) => router.set_current(true),
                    (Kind::Upstreams, Some(at)) => router.record_list(at),
                    (Kind::Upstreams, None) => {}
                }
                if has_changed {
                    task::sleep(BATCH_DELAY).await;
                }
            }
            Err(error) => {
                failures += 1;
                let now = router.now();
                watch.record_failure(now);
                let is_overdue = now.saturating_sub(start) > limits.wait;
                if failures >= OUTAGE_FAILURES || is_overdue || matches!(error, Error::Down(_)) {
                    report_failure(&router, kind, &error);
                }
                if failures > 1 {
                    task::sleep(retry_delay(failures)).await;
                }
            }
        }
    }
}

/// Delay after `failures` consecutive failures, with jitter so that entries do not call at the same moment.
fn retry_delay(failures: u32) -> Duration {
    let doubled = INITIAL_RETRY_DELAY.saturating_mul(1 << failures.saturating_sub(2).min(8));
    doubled
        .min(MAX_RETRY_DELAY)
        .mul_f64(rand::rng().random_range(0.5..1.0))
}

fn report_failure(router: &Router, kind: Kind, error: &Error) {
    match kind {
        Kind::Configuration => router.set_current(false),
        Kind::Upstreams => router.record_outage(),
    }
    spdlog::debug!("store request failed", kv: {
        kind = format!("{kind:?}"), error = error.to_string()
    });
}

/// Applies a response of the store to a call that started at `start`; returns whether it holds changes from a watch, as opposed to a full list.
fn apply(
    router: &Router,
    kind: Kind,
    previous: Option<Revision>,
    start: Duration,
    changes: &Changes,
) -> bool {
    match (kind, changes) {
        (Kind::Configuration, Changes::All(items)) => {
            for item in items {
                apply_configuration(router, item);
            }
        }
        (Kind::Configuration, Changes::Since(events)) => {
            for event in events {
                apply_configuration_event(router, event);
            }
        }
        (Kind::Upstreams, Changes::All(items)) => {
            let upstreams = items.iter().filter_map(decode_upstream).collect();
            router.update_fleet(|fleet, now| {
                let changes = fleet.replace(now, Source::Store, upstreams);
                fleet.confirm(start);
                changes
            });
        }
        (Kind::Upstreams, Changes::Since(events)) => {
            router.update_fleet(|fleet, now| {
                fleet.record_watch(now, start);
                let changes = events
                    .iter()
                    .map(|event| apply_registration(fleet, now, event))
                    .collect();
                fleet.confirm(start);
                changes
            });
        }
    }
    match changes {
        Changes::All(_) => {
            if let Some(revision) = previous {
                spdlog::info!("objects were listed again", kv: {
                    kind = format!("{kind:?}"), revision
                });
            }
            false
        }
        Changes::Since(events) => !events.is_empty(),
    }
}

fn apply_configuration_event(router: &Router, event: &Event) {
    match event {
        Event::Put(item) => apply_configuration(router, item),
        Event::Deleted(item) => {
            spdlog::warn!("configuration deleted from the store; keeping the active one", kv: {
                revision = item.revision
            });
        }
    }
}

/// Applies the change of a registration. An invalid registration counts as a removal.
fn apply_registration(fleet: &mut Fleet, now: Duration, event: &Event) -> (UpstreamId, Change) {
    let (Event::Put(item) | Event::Deleted(item)) = event;
    let upstream = match event {
        Event::Put(item) => decode_upstream(item),
        Event::Deleted(_) => None,
    };
    let change = match upstream {
        Some(upstream) => fleet.put(upstream),
        None => fleet.remove(now, &item.name),
    };
    (item.name.clone(), change)
}

fn decode_upstream(item: &Item) -> Option<Upstream> {
    match decode::upstream(&item.name, &item.spec) {
        Ok(upstream) => Some(upstream),
        Err(fault) => {
            spdlog::warn!("invalid registration ignored", kv: {
                upstream = item.name.as_ref(), revision = item.revision, fault = fault.as_ref()
            });
            None
        }
    }
}

fn apply_configuration(router: &Router, item: &Item) {
    match decode::table(&item.spec) {
        Ok(table) => router.adopt(table, item.spec.to_string().into_bytes(), "store"),
        Err(fault) => spdlog::error!("invalid configuration ignored", kv: {
            object = item.name.as_ref(), revision = item.revision, fault = fault.as_ref()
        }),
    }
}

/// Removes upstreams whose delayed removal is due, and closes stale connections, forever.
pub(crate) async fn expire(router: Arc<Router>) {
    loop {
        task::sleep(EXPIRY_PERIOD).await;
        router.update_fleet(|fleet, now| {
            let expired = fleet.expire(now);
            expired
                .into_iter()
                .map(|id| (id, Change::Removed))
                .collect()
        });
        router.close_stale();
    }
}
