//! Graceful shutdown: report unready, accept no new connections, wait for running requests, and answer those that
//! remain before the process is killed.

use async_std::channel::{Receiver, Sender, bounded};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

/// Event that all tasks can wait for.
struct Event {
    receiver: Receiver<()>,
    /// Dropped when the event happens.
    sender: Mutex<Option<Sender<()>>>,
}

impl Default for Event {
    fn default() -> Self {
        let (sender, receiver) = bounded(1);
        Self {
            receiver,
            sender: Mutex::new(Some(sender)),
        }
    }
}

impl Event {
    fn set(&self) {
        self.sender
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
    }

    async fn wait(&self) {
        // Nothing is ever sent: the call returns when the sender is dropped.
        let _ = self.receiver.recv().await;
    }
}

/// State of a graceful shutdown, and the number of running requests.
#[derive(Default)]
pub(crate) struct Drain {
    active: AtomicUsize,
    /// Time at which requests are no longer waited for; unset before the shutdown.
    end: OnceLock<Duration>,
    end_reached: Event,
    idle_closing: Event,
}

/// Counts a request as running until dropped.
pub(crate) struct Active<'a>(&'a Drain);

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drain {
    /// Counts a request, or a connection that has not sent its first one, as running.
    pub(crate) fn start_request(&self) -> Active<'_> {
        self.active.fetch_add(1, Ordering::AcqRel);
        Active(self)
    }

    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::Acquire)
    }

    /// Makes the router report unready and close connections after their next response. Requests have until `end`.
    pub(crate) fn start(&self, end: Duration) {
        // A second stop signal changes nothing.
        let _ = self.end.set(end);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.end.get().is_some()
    }

    /// Time that is left for requests; `None` before the shutdown.
    pub(crate) fn left(&self, now: Duration) -> Option<Duration> {
        self.end.get().map(|end| end.saturating_sub(now))
    }

    /// Closes idle connections that have carried a request.
    pub(crate) fn close_idle(&self) {
        self.idle_closing.set();
    }

    /// Waits until idle connections are to close.
    pub(crate) async fn idle_closed(&self) {
        self.idle_closing.wait().await;
    }

    /// Makes the router answer all requests that are still running.
    pub(crate) fn finish(&self) {
        self.end_reached.set();
    }

    /// Waits until running requests have to be answered.
    pub(crate) async fn finished(&self) {
        self.end_reached.wait().await;
    }
}
