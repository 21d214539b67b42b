//! Removes results after the time for which they are kept.

use super::pickup::jittered;
use super::run::ended;
use super::{DONE, done_key, ids, wall_time};
use crate::entry::Entry;
use almondwell_platform::Mirror;
use almondwell_schema::{Version, WorkId};
use async_std::task;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest time between two sweeps; within it the store still has the changes since the last.
const PERIOD: Duration = Duration::from_secs(10);
/// Results read in one sweep at most.
const MAX_READS: usize = 64;

/// When results ended, by id and version.
type Times = BTreeMap<(WorkId, Version), Duration>;

/// Sweeps until the process ends.
pub(super) async fn sweep_again(entry: &Entry) {
    let kept = entry.settings.work_kept;
    let mut times = Times::new();
    let mut results = entry.objects.mirror(DONE);
    loop {
        task::sleep(jittered(PERIOD.min(kept))).await;
        sweep(entry, &mut results, &mut times, kept).await;
    }
}

async fn sweep(entry: &Entry, results: &mut Mirror<Version>, times: &mut Times, kept: Duration) {
    // A store that is lost is logged by the configuration's watch; the next sweep tries again.
    if results.refresh().await.is_err() {
        return;
    }
    let done: Vec<_> = ids(results).collect();
    times.retain(|name, _| done.binary_search(name).is_ok());
    let unknown = done.iter().filter(|name| !times.contains_key(name));
    let unknown: Vec<_> = unknown.take(MAX_READS).copied().collect();
    for name in unknown {
        if let Ok(Some(object)) = entry.objects.get(&done_key(name.0)).await
            && let Some(ended) = ended(&object.value)
        {
            times.insert(name, ended.time);
        }
    }
    let now = wall_time();
    let old = times
        .iter()
        .filter(|(_, time)| now.saturating_sub(**time) > kept);
    for ((id, version), _) in old {
        // Another entry may have removed it.
        let _ = entry.objects.delete(&done_key(*id), *version).await;
    }
}
