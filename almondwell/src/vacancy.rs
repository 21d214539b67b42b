//! Waits while a pool has no side, as when its last one is being replaced.

use crate::entry::Entry;
use crate::refusal::Refusal;
use async_std::task;
use std::time::Duration;

/// Longest wait; covers a read of the instance list.
const LIMIT: Duration = Duration::from_secs(3);
const PERIOD: Duration = Duration::from_millis(20);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Waits up to `left` until a side of `pool` is known; refuses when none comes.
pub(crate) async fn wait(entry: &Entry, pool: &str, left: Duration) -> Result<(), Refusal> {
    let limit = entry.clock.now() + LIMIT.min(left);
    while entry.members.sides().all(pool).is_empty() {
        if entry.clock.now() >= limit {
            let message = format!("no upstream of the pool `{pool}` is known");
            return Err(Refusal::busy(message, RETRY_AFTER));
        }
        task::sleep(PERIOD).await;
    }
    Ok(())
}
