//! Watches the configuration and the upstreams' registrations in the platform's store.

use crate::router::Router;
use almondwell_core::fleet::{Change, Fleet, Source};
use almondwell_core::upstream::{Upstream, UpstreamId};
use almondwell_core::watch::{Options, Watch};
use almondwell_platform::Error;
use almondwell_platform::decode::{CONFIGURATION, Configuration, Rejection};
use almondwell_platform::store::{Changes, Cursor, Event, Item, Kind, Position, Record};
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

/// Most invalid registrations of one list that are logged one by one.
const MAX_LOGGED: usize = 10;

/// Objects that the router follows.
pub(crate) trait Followed: Record + Send {
    const KIND: Kind;

    /// Time within which a change has to take effect.
    fn apply_limit(router: &Router) -> Duration;

    /// Applies a response of the store to a call that started at `start`.
    fn apply(router: &Router, start: Duration, changes: Changes<Self>);

    /// Records that all changes up to `position` have been applied.
    fn record_current(router: &Router, position: Option<Position>);

    /// Records that the next changes are those of a store that came back from an older copy.
    fn record_era(router: &Router);

    /// Records that the store cannot be reached.
    fn record_outage(router: &Router);
}

/// Follows one kind of objects forever and applies their changes to the router.
pub(crate) async fn watch<F: Followed>(router: Arc<Router>) {
    let kind = F::KIND;
    let mut failures = 0;
    let mut watch = Watch::new(Options {
        apply: F::apply_limit(&router),
        contact: router.settings.contact,
    });
    let mut cursor = Cursor::START;
    // Of the last answer that was applied; a list that fails leaves the cursor without one.
    let mut known_era = None;
    loop {
        let start = router.now();
        let limits = watch.limits(start);
        let previous = cursor.position();
        match router.store.changes::<F>(kind, &mut cursor, limits).await {
            Ok(changes) => {
                failures = 0;
                watch.record_answer(router.now(), start, limits);
                let has_changed = is_change(kind, previous, &changes);
                if let Some(Position { era, .. }) = cursor.position()
                    && known_era.replace(era).is_some_and(|known| known != era)
                {
                    F::record_era(&router);
                }
                let is_part = matches!(changes, Changes::Part(_));
                F::apply(&router, start, changes);
                if is_part {
                    F::record_outage(&router);
                } else if cursor.is_complete() {
                    F::record_current(&router, cursor.position());
                }
                if has_changed {
                    task::sleep(BATCH_DELAY).await;
                    watch.record_pause();
                }
            }
            Err(error) => {
                failures += 1;
                let now = router.now();
                watch.record_failure(now);
                let silence = if limits.wait.is_zero() {
                    limits.grace
                } else {
                    limits.wait
                };
                let is_overdue = now.saturating_sub(start) > silence;
                if failures >= OUTAGE_FAILURES || is_overdue || matches!(error, Error::Down(_)) {
                    F::record_outage(&router);
                    spdlog::debug!("store request failed", kv: {
                        kind = format!("{kind:?}"), error = error.to_string()
                    });
                }
                if failures > 1 {
                    task::sleep(retry_delay(failures)).await;
                }
            }
        }
    }
}

/// Whether `changes` holds changes from a watch, as opposed to a full list.
fn is_change<R>(kind: Kind, previous: Option<Position>, changes: &Changes<R>) -> bool {
    match changes {
        Changes::All(_) | Changes::Part(_) => {
            if let Some(Position { era, revision }) = previous {
                spdlog::info!("objects were listed again", kv: {
                    kind = format!("{kind:?}"), era, revision
                });
            }
            false
        }
        Changes::Since(events) => !events.is_empty(),
    }
}

/// Delay after `failures` consecutive failures, with jitter so that entries do not call at the same moment.
fn retry_delay(failures: u32) -> Duration {
    let doubled = INITIAL_RETRY_DELAY.saturating_mul(1 << failures.saturating_sub(2).min(8));
    doubled
        .min(MAX_RETRY_DELAY)
        .mul_f64(rand::rng().random_range(0.5..1.0))
}

impl Followed for Configuration {
    const KIND: Kind = Kind::Configuration;

    fn apply_limit(router: &Router) -> Duration {
        router.settings.apply
    }

    fn apply(router: &Router, _start: Duration, changes: Changes<Self>) {
        match changes {
            Changes::All(items) | Changes::Part(items) => items
                .into_iter()
                .for_each(|item| apply_configuration(router, item)),
            Changes::Since(events) => events
                .into_iter()
                .for_each(|event| apply_configuration_event(router, event)),
        }
    }

    fn record_current(router: &Router, _position: Option<Position>) {
        router.confirm_configuration();
    }

    /// A configuration of the copy is older than the active one, which stays.
    fn record_era(_router: &Router) {}

    fn record_outage(router: &Router) {
        router.set_current(false);
    }
}

impl Followed for Upstream {
    const KIND: Kind = Kind::Upstreams;

    fn apply_limit(router: &Router) -> Duration {
        router.settings.drain
    }

    fn apply(router: &Router, start: Duration, changes: Changes<Self>) {
        router.update_fleet(|fleet, now| match changes {
            Changes::All(items) => {
                let changes = fleet.replace(now, Source::Store, valid_upstreams(items));
                fleet.confirm(start);
                changes
            }
            // An upstream that is missing may still be registered.
            Changes::Part(items) => apply_part(fleet, now, items),
            Changes::Since(events) => {
                fleet.record_watch(now, start);
                let changes = events
                    .into_iter()
                    .map(|event| apply_registration(fleet, now, event))
                    .collect();
                fleet.confirm(start);
                changes
            }
        });
    }

    fn record_current(router: &Router, position: Option<Position>) {
        if let Some(position) = position {
            router.record_list(position);
        }
    }

    fn record_era(router: &Router) {
        router.record_era();
    }

    fn record_outage(router: &Router) {
        router.record_outage();
    }
}

fn apply_configuration_event(router: &Router, event: Event<Configuration>) {
    match event {
        Event::Put(item) => apply_configuration(router, item),
        Event::Deleted { revision, .. } => {
            spdlog::warn!("configuration deleted from the store; keeping the active one", kv: {
                revision
            });
        }
    }
}

/// Applies the change of a registration. An invalid registration counts as a removal.
fn apply_registration(
    fleet: &mut Fleet,
    now: Duration,
    event: Event<Upstream>,
) -> (UpstreamId, Change) {
    let (name, upstream) = match event {
        Event::Put(item) => (item.name.clone(), valid_upstream(item)),
        Event::Deleted { name, .. } => (name, None),
    };
    let change = match upstream {
        Some(upstream) => fleet.put(upstream),
        None => fleet.remove(now, &name),
    };
    (name, change)
}

/// Applies an incomplete list.
fn apply_part(
    fleet: &mut Fleet,
    now: Duration,
    items: Vec<Item<Upstream>>,
) -> Vec<(UpstreamId, Change)> {
    let invalid = items.iter().filter(|item| item.record.is_err());
    let invalid: Vec<_> = invalid.map(|item| item.name.clone()).collect();
    let put = valid_upstreams(items).into_iter().map(|upstream| {
        let id = upstream.id.clone();
        (id, fleet.put(upstream))
    });
    let mut changes: Vec<_> = put.collect();
    changes.extend(invalid.into_iter().map(|id| {
        let change = fleet.remove(now, &id);
        (id, change)
    }));
    changes
}

/// The valid registrations of a list. Another writer may have left thousands that are invalid.
fn valid_upstreams(items: Vec<Item<Upstream>>) -> Vec<Upstream> {
    let (valid, invalid): (Vec<_>, Vec<_>) =
        items.into_iter().partition(|item| item.record.is_ok());
    for item in invalid.iter().take(MAX_LOGGED) {
        log_invalid(item);
    }
    if invalid.len() > MAX_LOGGED {
        spdlog::warn!("further invalid registrations ignored", kv: {
            count = invalid.len() - MAX_LOGGED
        });
    }
    valid
        .into_iter()
        .filter_map(|item| item.record.ok())
        .collect()
}

fn valid_upstream(item: Item<Upstream>) -> Option<Upstream> {
    if item.record.is_err() {
        log_invalid(&item);
    }
    item.record.ok()
}

fn log_invalid(item: &Item<Upstream>) {
    if let Err(fault) = &item.record {
        spdlog::warn!("invalid registration ignored", kv: {
            upstream = item.name.as_ref(), revision = item.revision, fault = fault.as_ref()
        });
    }
}

fn apply_configuration(router: &Router, item: Item<Configuration>) {
    let revision = Some(item.revision);
    let Configuration { raw, table } = match item.record {
        Ok(configuration) => configuration,
        // The object itself, of which the store's part cannot be read.
        Err(fault) if *item.name == *CONFIGURATION => {
            let version = None;
            router.reject(&Rejection { fault, version }, "store", revision);
            return;
        }
        Err(fault) => {
            spdlog::error!("invalid configuration ignored", kv: {
                object = item.name.as_ref(), revision = item.revision, fault = fault.as_ref()
            });
            return;
        }
    };
    match table {
        Ok(table) => {
            router.adopt(table, raw, "store", revision);
            router.record_versioned();
        }
        Err(rejection) => {
            router.reject(&rejection, "store", revision);
            if rejection.version.is_some() {
                router.record_versioned();
            }
        }
    }
}

/// Logs and counts new eras of the store, forever.
pub(crate) async fn follow_eras(router: Arc<Router>) {
    let mut known = router.store.era();
    loop {
        let era = router.store.era_after(known).await;
        // The first era that the store names replaces none.
        if known > 0 {
            let list = router.position();
            spdlog::warn!("store began a new era", kv: {
                previous = known, era, table = router.table().map_or(0, |table| table.version),
                list_era = list.era, list_revision = list.revision
            });
            router.metrics.store_eras.inc();
        }
        known = era;
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
