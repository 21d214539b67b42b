//! Waits while a pool has no side, for example while its last one is being replaced.

use crate::entry::Entry;
use crate::refusal::Refusal;
use async_std::task;
use std::time::Duration;

/// Long enough for a read of the instance list.
const MAX_WAIT: Duration = Duration::from_secs(3);
const POLL_PERIOD: Duration = Duration::from_millis(20);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Waits until a side of `pool` is known, for up to `remaining` or `MAX_WAIT`, whichever is
/// shorter. Fails if none appears.
pub(crate) async fn wait(entry: &Entry, pool: &str, remaining: Duration) -> Result<(), Refusal> {
    let limit = entry.clock.now() + MAX_WAIT.min(remaining);
    while entry.members.sides().all(pool).is_empty() {
        if entry.clock.now() >= limit {
            let message = format!("no upstream of the pool `{pool}` is known");
            return Err(Refusal::busy(message, RETRY_AFTER));
        }
        task::sleep(POLL_PERIOD).await;
    }
    Ok(())
}
