//! Deletes results after their retention period.

use super::run::decode_ended;
use super::scan::jittered;
use super::{DONE_PREFIX, done_key, ids, wall_time};
use crate::entry::Entry;
use almondwell_platform::Mirror;
use almondwell_schema::{Version, WorkId};
use async_std::task;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum time between two sweeps, before jitter; short enough that the store still has the changes
/// since the last one.
const MAX_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of results read in one sweep.
const MAX_READS_PER_SWEEP: usize = 64;

/// Times at which results ended, by id and version.
type Times = BTreeMap<(WorkId, Version), Duration>;

/// Sweeps periodically until the process ends.
pub(super) async fn run(entry: &Entry) {
    let retention = entry.settings.work_kept;
    let mut times = Times::new();
    let mut results = entry.objects.mirror(DONE_PREFIX);
    loop {
        task::sleep(jittered(MAX_PERIOD.min(retention))).await;
        sweep(entry, &mut results, &mut times, retention).await;
    }
}

/// Reads the end times of results that are new to `times`, and deletes those older than
/// `retention`.
async fn sweep(
    entry: &Entry,
    results: &mut Mirror<Version>,
    times: &mut Times,
    retention: Duration,
) {
    // The watch on the configuration logs that the store is unavailable; the next sweep retries.
    if results.refresh().await.is_err() {
        return;
    }
    let listed: Vec<_> = ids(results).collect();
    times.retain(|result, _| listed.binary_search(result).is_ok());
    let unknown = listed.iter().filter(|result| !times.contains_key(result));
    let unknown: Vec<_> = unknown.take(MAX_READS_PER_SWEEP).copied().collect();
    for result in unknown {
        if let Ok(Some(object)) = entry.objects.get(&done_key(result.0)).await
            && let Some(ended) = decode_ended(&object.value)
        {
            times.insert(result, ended.time);
        }
    }
    let now = wall_time();
    let expired = times
        .iter()
        .filter(|(_, time)| now.saturating_sub(**time) > retention);
    for ((id, version), _) in expired {
        // Fails if another entry has removed it.
        let _ = entry.objects.delete(&done_key(*id), *version).await;
    }
}
