//! Tasks that run as long as their process.

use almondwell_daemon::keep;
use async_std::future::timeout;
use async_std::task;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Printing the first panic of a process with its stack takes seconds.
const TIMEOUT: Duration = Duration::from_secs(20);

// Guards against a process that looks alive and does nothing, since a task of it has panicked.
#[test]
fn a_task_that_panics_is_started_again() {
    let (begin, starts) = (Instant::now(), Cell::new(0));
    let kept = keep("test", || async {
        starts.set(starts.get() + 1);
        task::yield_now().await;
        assert!(starts.get() == 3, "expected by the test");
    });
    let result = task::block_on(timeout(TIMEOUT, kept));
    assert!(result.is_ok(), "started {} times", starts.get());
    assert_eq!(starts.get(), 3);
    // A delay before each start, so that a task that always panics leaves time for others.
    assert!(begin.elapsed() >= Duration::from_millis(300));
}
