//! Tasks that run as long as their process.

use async_std::task;
use futures_lite::FutureExt;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

/// Delay before a task is started again; each further one doubles it.
const FIRST_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Runs what `start` returns to its end. If it panics, it is started again, so that a process that looks alive does all of its
/// work. Ending the process instead would let one message that makes a task panic end all processes.
pub async fn keep<F>(name: &'static str, mut start: impl FnMut() -> F)
where
    F: Future<Output = ()>,
{
    let mut delay = FIRST_DELAY;
    loop {
        // The state that tasks share is left consistent by locks that are held for single steps.
        if AssertUnwindSafe(start()).catch_unwind().await.is_ok() {
            return;
        }
        spdlog::error!("task panicked and is started again", kv: { task = name });
        task::sleep(delay).await;
        delay = (delay * 2).min(MAX_DELAY);
    }
}
