//! Follows the configuration and the registrations of upstreams in the platform's store.

use crate::router::Router;
use almondwell_core::fleet::{Change, Fleet, Source};
use almondwell_core::upstream::{Upstream, UpstreamId};
use almondwell_platform::store::{Changes, Event, Item, Kind, Revision};
use almondwell_platform::{Error, decode};
use async_std::task;
use rand::Rng;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest pause after the second failed call in a row; doubled with each further one.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after any failed call: calls are paid for, but a machine that is back in touch has to know
/// all changes within a few seconds.
const PAUSE_MOST: Duration = Duration::from_secs(1);
/// Pause after changes, so that those of a crowd come in one answer; a fraction of the time within which
/// a change has to be known.
const GATHER: Duration = Duration::from_millis(400);
/// Failures in a row from which the store counts as lost; one alone may be a watch that was cut.
const OUTAGE_FAILURES: u32 = 2;
/// Wait of a watch for a while after a call failed: a store in trouble may not tell watches of changes,
/// and two such waits fit into the time within which a change has to be known.
const UNSETTLED_WAIT: Duration = Duration::from_secs(1);
/// Period in which held removals are looked at.
const EXPIRY_PERIOD: Duration = Duration::from_millis(250);

/// Follows one kind of objects for ever.
pub(crate) async fn follow(router: Arc<Router>, kind: Kind) {
    let mut failures = 0;
    let mut failed: Option<Instant> = None;
    let mut from: Option<Revision> = None;
    loop {
        let start = Instant::now();
        let wait = wait(&router, failed);
        let since = from;
        match router.store.changes(kind, &mut from, wait).await {
            Ok(changes) => {
                failures = 0;
                let has_changed = taken(&router, kind, since, &changes);
                match (kind, from) {
                    (Kind::Configuration, _) => router.set_current(true),
                    (Kind::Upstreams, Some(at)) => router.set_revision(at),
                    (Kind::Upstreams, None) => {}
                }
                if has_changed {
                    task::sleep(GATHER).await;
                }
            }
            Err(error) => {
                failures += 1;
                failed = Some(Instant::now());
                let is_silent = start.elapsed() > wait;
                if failures >= OUTAGE_FAILURES || is_silent || matches!(error, Error::Down(_)) {
                    lost(&router, kind, &error);
                }
                if failures > 1 {
                    task::sleep(pause(failures)).await;
                }
            }
        }
    }
}

/// Pause after so many failed calls in a row, drawn so that entries do not call together.
fn pause(failures: u32) -> Duration {
    let doubled = PAUSE.saturating_mul(1 << failures.saturating_sub(2).min(8));
    doubled
        .min(PAUSE_MOST)
        .mul_f64(rand::rng().random_range(0.5..1.0))
}

fn lost(router: &Router, kind: Kind, error: &Error) {
    match kind {
        Kind::Configuration => router.set_current(false),
        Kind::Upstreams => router.outage(),
    }
    spdlog::debug!("call to the store failed", kv: {
        kind = format!("{kind:?}"), error = error.to_string()
    });
}

/// Wait of a watch, after the last call that failed.
///
/// No longer than the platform lets a silent connection go unnoticed. Keep-alive probes mostly notice it
/// before, and other entries tell of a newer configuration.
fn wait(router: &Router, failed: Option<Instant>) -> Duration {
    let contact = router.settings.contact;
    match failed {
        Some(failed) if failed.elapsed() < contact => UNSETTLED_WAIT,
        Some(_) | None => contact,
    }
}

/// Takes over what was read; returns whether anything had changed while it was watched.
fn taken(router: &Router, kind: Kind, since: Option<Revision>, changes: &Changes) -> bool {
    match (kind, changes) {
        (Kind::Configuration, Changes::All(items)) => {
            for item in items {
                configured(router, item);
            }
        }
        (Kind::Configuration, Changes::Since(events)) => {
            for event in events {
                reconfigured(router, event);
            }
        }
        (Kind::Upstreams, Changes::All(items)) => {
            let upstreams = items.iter().filter_map(upstream).collect();
            router.change(|fleet, now| fleet.replace(now, Source::Store, upstreams));
        }
        (Kind::Upstreams, Changes::Since(events)) => {
            router.change(|fleet, now| {
                let changes = events.iter().map(|event| registered(fleet, now, event));
                changes.collect()
            });
        }
    }
    match changes {
        Changes::All(_) => {
            if let Some(revision) = since {
                spdlog::info!("history of the store is gone", kv: {
                    kind = format!("{kind:?}"), revision
                });
            }
            false
        }
        Changes::Since(events) => !events.is_empty(),
    }
}

fn reconfigured(router: &Router, event: &Event) {
    match event {
        Event::Put(item) => configured(router, item),
        Event::Deleted(item) => {
            spdlog::warn!("configuration deleted", kv: { revision = item.revision });
        }
    }
}

/// Takes over the change of a registration. One that can't be read names no upstream to use.
fn registered(fleet: &mut Fleet, now: Duration, event: &Event) -> (UpstreamId, Change) {
    let (Event::Put(item) | Event::Deleted(item)) = event;
    let upstream = match event {
        Event::Put(item) => upstream(item),
        Event::Deleted(_) => None,
    };
    let change = match upstream {
        Some(upstream) => fleet.put(upstream),
        None => fleet.remove(now, &item.name),
    };
    (item.name.clone(), change)
}

fn upstream(item: &Item) -> Option<Upstream> {
    match decode::upstream(&item.name, &item.spec) {
        Ok(upstream) => Some(upstream),
        Err(fault) => {
            spdlog::warn!("registration left out", kv: {
                upstream = item.name.as_ref(), revision = item.revision, fault = fault.as_ref()
            });
            None
        }
    }
}

fn configured(router: &Router, item: &Item) {
    match decode::table(&item.spec) {
        Ok(table) => router.adopt(table, item.spec.to_string().into_bytes(), "store"),
        Err(fault) => spdlog::error!("configuration left out", kv: {
            object = item.name.as_ref(), revision = item.revision, fault = fault.as_ref()
        }),
    }
}

/// Removes upstreams that have not come back after an outage, and closes stale connections.
pub(crate) async fn expire(router: Arc<Router>) {
    loop {
        task::sleep(EXPIRY_PERIOD).await;
        router.change(|fleet, now| {
            let gone = fleet.expire(now);
            gone.into_iter().map(|id| (id, Change::Removed)).collect()
        });
        router.sweep();
    }
}
