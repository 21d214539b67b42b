//! Polls a condition until it holds.

use async_std::task;
use eyre::{Result, bail};
use std::future::Future;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `is_true` until it returns true, and returns the elapsed time.
///
/// # Errors
///
/// When `limit` has passed, or when `is_true` fails. `what` names the condition in the message.
pub async fn until<F>(
    what: &str,
    limit: Duration,
    mut is_true: impl FnMut() -> F,
) -> Result<Duration>
where
    F: Future<Output = Result<bool>>,
{
    let start = Instant::now();
    while start.elapsed() < limit {
        if is_true().await? {
            return Ok(start.elapsed());
        }
        task::sleep(POLL_INTERVAL).await;
    }
    bail!("timed out after {limit:?} waiting for {what}")
}
