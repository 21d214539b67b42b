//! When a request begins to run.
//!
//! At an engine, a request begins with its first token. Another upstream begins to work on a request when it gets it,
//! for which the time of the send is the best estimate; whether it did is known from its response. A request that was
//! sent and ended without a response may have run, and counts: its caller is told the same. An engine that broke off
//! before the first token has not begun.

use super::lock;
use crate::delivery::Delivery;
use almondwell_core::table::Retry;
use std::sync::atomic::{AtomicU64, Ordering};

/// State of a request that has not been sent, or was not run.
const NONE: u64 = 0;
/// State of a request that was counted. Other states are the window of the send.
const COUNTED: u64 = u64::MAX;

/// Whether a request was counted, or the window in which it may have begun.
#[derive(Default)]
pub(crate) struct Mark(AtomicU64);

impl Mark {
    fn get(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    fn set(&self, state: u64) {
        self.0.store(state, Ordering::Release);
    }
}

/// Records that the request is sent to an upstream.
pub(crate) fn record_send(delivery: Delivery<'_>) {
    let Some(workspace) = counted_workspace(delivery) else {
        return;
    };
    let mark = &delivery.progress.usage;
    if !delivery.admitted.is_engine && mark.get() == NONE {
        let usage = &delivery.router.usage;
        let window = usage.window(delivery.router.boot_clock.now());
        mark.set(lock(&usage.recorder).start(window, workspace));
    }
}

/// Records that an engine has produced a token for the request.
pub(crate) fn record_token(delivery: Delivery<'_>) {
    let Some(workspace) = counted_workspace(delivery) else {
        return;
    };
    let mark = &delivery.progress.usage;
    if delivery.admitted.is_engine && mark.get() == NONE {
        mark.set(COUNTED);
        let usage = &delivery.router.usage;
        let window = usage.window(delivery.router.boot_clock.now());
        lock(&usage.recorder).count(window, workspace);
    }
}

/// Records that the upstream to which the request was sent last did not run it.
pub(crate) fn record_not_run(delivery: Delivery<'_>) {
    let mark = &delivery.progress.usage;
    let window = mark.get();
    if let Some(workspace) = counted_workspace(delivery)
        && !matches!(window, NONE | COUNTED)
    {
        let is_counted = lock(&delivery.router.usage.recorder).cancel(window, workspace);
        mark.set(if is_counted { COUNTED } else { NONE });
    }
}

/// Records that the upstream to which the request was sent last ran it, or may have.
pub(crate) fn record_end(delivery: Delivery<'_>) {
    let mark = &delivery.progress.usage;
    let window = mark.get();
    if let Some(workspace) = counted_workspace(delivery)
        && !matches!(window, NONE | COUNTED)
    {
        mark.set(COUNTED);
        lock(&delivery.router.usage.recorder).confirm(window, workspace);
    }
}

/// The workspace that the request counts for, if it does. A stream that its caller resumes was counted by the entry
/// that relayed its first event.
fn counted_workspace(delivery: Delivery<'_>) -> Option<&str> {
    let Delivery {
        admitted,
        request,
        router,
        ..
    } = delivery;
    let is_resumed = admitted.route.retry == Retry::Resumable && request.job.last_event.is_some();
    let is_counted = router.usage.is_counting && !is_resumed;
    admitted
        .workspace()
        .filter(|_| is_counted)
        .map(|workspace| &*workspace.name)
}
