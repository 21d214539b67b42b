//! Refreshes the instance list from the platform.

use crate::entry::Entry;
use async_std::task;
use std::time::Duration;

/// The period between reads is the configured one, plus as much again for each group of this many
/// instances: reading that many costs as much as a read without changes.
const INSTANCES_PER_PERIOD: u32 = 100;
/// Bounds of the random factor on the period; below 1, so that the setting bounds the delay.
const MIN_JITTER: f64 = 0.5;
const MAX_JITTER: f64 = 0.9;

/// Reads the instance list periodically; if a read fails, the last list stays in use.
pub(crate) async fn refresh(entry: &Entry) {
    let mut list = entry.objects.instances();
    loop {
        // The configuration's watch logs an unreachable store.
        if let Ok(true) = list.refresh().await {
            entry
                .members
                .replace_instances(list.objects().values().cloned().collect());
        }
        task::sleep(period(entry)).await;
    }
}

/// Time until the next read. It grows with the list, so that the platform's load grows more slowly
/// than the number of instances.
fn period(entry: &Entry) -> Duration {
    let count = u32::try_from(entry.members.instances().len()).unwrap_or(u32::MAX);
    let period = entry.settings.refresh * (1 + count / INSTANCES_PER_PERIOD);
    period.mul_f64(rand::random_range(MIN_JITTER..MAX_JITTER))
}
