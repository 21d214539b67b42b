//! Follows the configuration and the registrations of upstreams in the platform's store.

use crate::router::Router;
use almondwell_core::fleet::{Change, Source};
use almondwell_platform::store::{Event, Item, Kind, Revision, Watched};
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
        match step(&router, kind, from, wait).await {
            Ok(next) => {
                failures = 0;
                from = next;
                // Without a revision to go on from, what the store holds is still to be read.
                if kind == Kind::Configuration && from.is_some() {
                    router.set_current(true);
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

/// Lists, or waits for the next changes; returns the revision to go on from.
async fn step(
    router: &Router,
    kind: Kind,
    from: Option<Revision>,
    wait: Duration,
) -> Result<Option<Revision>, Error> {
    let Some(from) = from else {
        let (items, at) = router.store.list(kind).await?;
        listed(router, kind, &items);
        known(router, kind, at);
        return Ok(Some(at));
    };
    match router.store.watch(kind, from, wait).await? {
        Watched::Events(events, at) => {
            for event in &events {
                changed(router, kind, event);
            }
            known(router, kind, at);
            if !events.is_empty() {
                task::sleep(GATHER).await;
            }
            Ok(Some(at))
        }
        Watched::Forgotten => {
            spdlog::info!("history of the store is gone", kv: {
                kind = format!("{kind:?}"), revision = from
            });
            Ok(None)
        }
    }
}

/// Notes up to which revision a kind is known.
fn known(router: &Router, kind: Kind, at: Revision) {
    if kind == Kind::Upstreams {
        router.set_revision(at);
    }
}

fn listed(router: &Router, kind: Kind, items: &[Item]) {
    match kind {
        Kind::Configuration => items.iter().for_each(|item| configured(router, item)),
        Kind::Upstreams => {
            let upstreams = items.iter().filter_map(upstream).collect();
            router.change(|fleet, now| fleet.replace(now, Source::Store, upstreams));
        }
    }
}

fn changed(router: &Router, kind: Kind, event: &Event) {
    match (kind, event) {
        (Kind::Configuration, Event::Put(item)) => configured(router, item),
        (Kind::Configuration, Event::Deleted(item)) => {
            spdlog::warn!("configuration deleted", kv: { revision = item.revision });
        }
        (Kind::Upstreams, Event::Put(item)) => match upstream(item) {
            Some(upstream) => {
                let id = upstream.id.clone();
                router.change(|fleet, _| vec![(id, fleet.put(upstream))]);
            }
            // What can't be read names no upstream to use.
            None => removed(router, item),
        },
        (Kind::Upstreams, Event::Deleted(item)) => removed(router, item),
    }
}

fn removed(router: &Router, item: &Item) {
    let id = item.name.clone();
    router.change(|fleet, now| vec![(id.clone(), fleet.remove(now, &id))]);
}

fn upstream(item: &Item) -> Option<almondwell_core::upstream::Upstream> {
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
        Ok(table) => {
            router.adopt(table, item.spec.to_string().into_bytes(), "store");
        }
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
