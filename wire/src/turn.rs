//! Fair reading: a task that always finds bytes to read lets other tasks run now and then.

use std::future::poll_fn;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll};

/// Operations between two yields. Reads take some KiB each, so a fast sender holds a thread for about a
/// millisecond.
const OPERATIONS: u32 = 16;

/// Counts the operations of a loop that may never have to wait, such as reads from a fast sender, and yields to
/// the executor after every few of them. Without that, timeouts and other tasks of the thread would not run.
#[derive(Debug, Default)]
pub struct Turn(AtomicU32);

impl Turn {
    /// Waits before an operation while it is other tasks' turn.
    pub async fn wait(&self) {
        poll_fn(|context| self.poll_wait(context)).await;
    }

    /// As [`Turn::wait`], for implementations of streams.
    pub fn poll_wait(&self, context: &Context<'_>) -> Poll<()> {
        let count = self.0.fetch_add(1, Ordering::Relaxed);
        if count % (OPERATIONS + 1) == OPERATIONS {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(())
    }
}
