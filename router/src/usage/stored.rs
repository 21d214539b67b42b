//! Objects in the store that hold counts which did not reach the holder, one for each entry.

use super::lock;
use crate::router::Router;
use almondwell_core::usage::Window;
use almondwell_platform::store::Cursor;
use almondwell_platform::{Error, Expect, Written};
use almondwell_schema::{Usage, Version};
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

/// Folder of the objects in the store.
const FOLDER: &str = "usage";
/// Time between two checks whether a write or a list is due.
const PERIOD: Duration = Duration::from_millis(250);
/// Conflicts after which a write is given up until the next window: only an earlier process of this entry writes the
/// object too.
const MAX_CONFLICTS: u32 = 2;
/// Windows between two looks when no counts are known to be missing: finds an entry that reached only the store from its
/// start, or since before this holder began.
const DISCOVERY_PERIOD: Window = 4;

/// Writes the counts that the holder has not acknowledged in time, forever.
pub(crate) async fn write(router: Arc<Router>) {
    let usage = &router.usage;
    let mut version = None;
    loop {
        task::sleep(PERIOD).await;
        let now = router.boot_clock.now();
        let holder = router.duties.holder();
        let counts = lock(&usage.recorder).unacknowledged(now, usage.window(now), holder);
        let Some(counts) = counts else {
            continue;
        };
        match put(&router, &counts, &mut version).await {
            Ok(()) => {
                lock(&usage.recorder).record_stored(&counts);
                spdlog::info!("usage counts written to the store", kv: {
                    windows = counts.windows.len(),
                    last = counts.windows.last().map_or(0, |window| window.window)
                });
            }
            Err(error) => {
                spdlog::info!("writing usage counts to the store failed", kv: {
                    error = error.to_string()
                });
            }
        }
    }
}

/// Writes this entry's object, which only its processes write. A write whose response was lost is repeated with the
/// next window; counts that are read twice change nothing.
async fn put(router: &Router, counts: &Usage, version: &mut Option<Version>) -> Result<(), Error> {
    let key = format!("{FOLDER}/{}", counts.entry.replace('/', "-"));
    let value = serde_json::to_vec(counts).unwrap_or_default();
    for _ in 0..=MAX_CONFLICTS {
        let expect = version.map_or(Expect::Absent, Expect::Version);
        router.metrics.usage_store_writes.inc();
        match router.objects.put(&key, &value, expect).await? {
            Written::Conflict => {
                let stored = router.objects.get(&key).await?;
                *version = stored.map(|stored| stored.version);
            }
            Written::Done(revision) => {
                *version = Some(revision);
                return Ok(());
            }
        }
    }
    Err(Error::Answer("conflicting writes".into()))
}

/// Looks in the store for counts that a report would lack, once for each window, and now and then for unknown entries,
/// forever.
pub(crate) async fn look_up(router: Arc<Router>) {
    let usage = &router.usage;
    let mut cursor = Cursor::START;
    let mut looked_up = 0;
    loop {
        task::sleep(PERIOD).await;
        if !router.duties.is_holder() {
            continue;
        }
        let Some(window) = due(&router).filter(|window| *window > looked_up) else {
            continue;
        };
        let objects = router
            .objects
            .watch_folder(FOLDER, &mut cursor, Duration::ZERO);
        match objects.await {
            Ok(objects) => {
                looked_up = window;
                let found = objects
                    .values()
                    .filter_map(|object| serde_json::from_slice::<Usage>(&object.value).ok());
                let now = usage.window(router.boot_clock.now());
                for counts in found {
                    lock(&usage.collector).merge_stored(now, &counts);
                }
                let incomplete = lock(&usage.collector).incomplete_count(window);
                if incomplete > 0 || !objects.is_empty() {
                    spdlog::info!("usage counts looked up in the store", kv: {
                        window, objects = objects.len(), incomplete
                    });
                }
            }
            Err(error) => {
                spdlog::info!("looking up usage counts failed", kv: { error = error.to_string() });
            }
        }
    }
}

/// The newest window for which it is time to look, if counts of it are missing or it is its turn.
fn due(router: &Router) -> Option<Window> {
    let usage = &router.usage;
    let time = usage.true_time(router.boot_clock.now());
    let current = usage.options.window_at(time);
    let collector = lock(&usage.collector);
    let recent = current.saturating_sub(usage.options.unreported());
    let first = collector
        .reported()
        .map_or(recent, |reported| reported.saturating_add(1));
    let is_due = |window: &Window| usage.options.is_look_up_due(time, *window);
    let mut unreported = (first..current).rev();
    let incomplete =
        unreported.find(|window| is_due(window) && collector.incomplete_count(*window) > 0);
    let newest = (recent..current).rev().find(is_due);
    incomplete.max(newest.filter(|window| window.is_multiple_of(DISCOVERY_PERIOD)))
}
