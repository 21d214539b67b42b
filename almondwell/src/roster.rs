//! Reads the instance list.

use crate::entry::Entry;
use async_std::task;
use std::time::Duration;

/// Instances for each of which a read of the list costs as much as a read without changes.
const LINES_PER_PERIOD: u32 = 100;
/// Least and most of the stated period; never more, so that the setting bounds the delay.
const JITTER_LEAST: f64 = 0.5;
const JITTER_MOST: f64 = 0.9;

/// Reads the instance list again and again; while it cannot be read, the last one stays.
pub(crate) async fn refresh(entry: &Entry) {
    let mut list = entry.objects.instances();
    loop {
        // A store that is lost is logged by the configuration's watch; the last list stays meanwhile.
        if let Ok(true) = list.refresh().await {
            entry
                .members
                .list(list.images().values().cloned().collect());
        }
        task::sleep(period(entry)).await;
    }
}

/// Grows with the list, so that the platform's load grows more slowly than the fleet.
fn period(entry: &Entry) -> Duration {
    let lines = u32::try_from(entry.members.instances().len()).unwrap_or(u32::MAX);
    let period = entry.settings.refresh * (1 + lines / LINES_PER_PERIOD);
    period.mul_f64(rand::random_range(JITTER_LEAST..JITTER_MOST))
}
