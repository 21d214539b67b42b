//! The object in the store that lists the versions of services that may have begun a stream lately.

use crate::peers;
use crate::router::Router;
use crate::stream_objects::{CONFLICT_DELAY, FOLDER, next_read, retry_delay};
use almondwell_core::streams::Origin;
use almondwell_core::upstream::Upstream;
use almondwell_core::watch::Limits;
use almondwell_platform::store::{Changes, Cursor, Event, Kind, Position};
use almondwell_platform::{Error, Expect, Written};
use almondwell_schema::{StreamOrigin, StreamVersions, Version};
use async_std::task;
use futures_lite::future::try_zip;
use rand::Rng;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Interval between checks whether a version has been unused for long.
const PERIOD: Duration = Duration::from_mins(1);
/// Limits of a read of the changes so far.
const NO_WAIT: Limits = Limits {
    grace: Duration::from_secs(1),
    wait: Duration::ZERO,
};
/// Share of the reads of entries that learn of a new version at the same moment: one read a millisecond.
const SPREAD: Duration = Duration::from_millis(1);

fn key() -> String {
    format!("{FOLDER}/versions")
}

/// Reads the versions in use, unless that has been done since `since`: those on the list, and those of registrations, since an
/// upstream may get streams before its version is on the list.
pub(crate) async fn refresh(router: &Router, since: Duration) -> Result<(), Error> {
    let mut read_at = router.streams.reads.versions.lock().await;
    if read_at.is_none_or(|at| at < since) {
        let start = next_read(router, *read_at).await;
        let (stored, unfollowed) = try_zip(read(router), read_unfollowed(router)).await?;
        router.streams.lock_versions().set_unfollowed(unfollowed);
        *read_at = Some(start);
        if is_due(router) || !stored.is_readable {
            router.streams.version_checks.request();
        }
    }
    Ok(())
}

/// Keeps the stored list of versions complete, forever.
pub(crate) async fn keep(router: Arc<Router>) {
    loop {
        router.streams.version_checks.wait_for(PERIOD).await;
        let spread = SPREAD * u32::try_from(peers::count(&router)).unwrap_or(u32::MAX);
        let delay = spread.mul_f64(rand::rng().random_range(0.0..1.0));
        task::sleep(delay).await;
        while let Err(error) = update(&router).await {
            spdlog::debug!("storing the versions in use failed", kv: {
                error = error.to_string()
            });
            task::sleep(retry_delay()).await;
        }
    }
}

fn is_due(router: &Router) -> bool {
    let registered = router.streams.registered();
    let mut versions = router.streams.lock_versions();
    versions.observe(router.now(), &registered)
}

/// Adds the registered versions to the stored list, and removes those that have been unused for long.
async fn update(router: &Router) -> Result<(), Error> {
    loop {
        let Stored {
            is_readable,
            version,
        } = read(router).await?;
        let now = router.now();
        let target = {
            let registered = router.streams.registered();
            let mut versions = router.streams.lock_versions();
            let is_due = versions.observe(now, &registered);
            if is_readable && !is_due {
                return Ok(());
            }
            versions.target(now, &registered)
        };
        let listed = target.iter().map(|origin| StreamOrigin {
            service: origin.service.clone(),
            version: origin.version.clone(),
        });
        let value = serde_json::to_vec(&StreamVersions {
            versions: listed.collect(),
        })
        .unwrap_or_default();
        let expect = version.map_or(Expect::Absent, Expect::Version);
        if let Written::Done(_) = router.objects.put(&key(), &value, expect).await? {
            log(&target);
            router.streams.lock_versions().replace(now, target);
            return Ok(());
        }
        task::sleep(CONFLICT_DELAY).await;
    }
}

/// Reads the versions of the registrations that this entry does not follow yet.
async fn read_unfollowed(router: &Router) -> Result<BTreeSet<Origin>, Error> {
    let position = router.position();
    let mut cursor = if position == Position::default() {
        Cursor::START
    } else {
        Cursor::after(position)
    };
    let changes = router
        .store
        .changes::<Upstream>(Kind::Upstreams, &mut cursor, NO_WAIT);
    let items = match changes.await? {
        Changes::All(items) | Changes::Part(items) => items,
        Changes::Since(events) => events.into_iter().filter_map(Event::into_item).collect(),
    };
    let upstreams = items.into_iter().filter_map(|item| item.record.ok());
    let origins = upstreams.map(
        |Upstream {
             service, version, ..
         }| Origin { service, version },
    );
    Ok(origins.collect())
}

fn log(listed: &BTreeSet<Origin>) {
    let listed: Vec<_> = listed
        .iter()
        .map(|origin| format!("{} {}", origin.service, origin.version))
        .collect();
    spdlog::info!("versions in use changed", kv: { versions = listed.join(", ") });
}

/// The stored list.
struct Stored {
    /// Whether the object exists and can be decoded. Otherwise what this entry knows replaces it.
    is_readable: bool,
    /// Version of the object, if it exists.
    version: Option<Version>,
}

/// Reads the stored list of versions.
async fn read(router: &Router) -> Result<Stored, Error> {
    let stored = router.objects.get(&key()).await?;
    let listed = stored
        .as_ref()
        .and_then(|stored| serde_json::from_slice::<StreamVersions>(&stored.value).ok());
    let is_readable = listed.is_some();
    if let Some(StreamVersions { versions }) = listed {
        let listed = versions
            .into_iter()
            .map(|StreamOrigin { service, version }| Origin { service, version });
        let mut versions = router.streams.lock_versions();
        versions.replace(router.now(), listed);
    }
    Ok(Stored {
        is_readable,
        version: stored.map(|stored| stored.version),
    })
}
