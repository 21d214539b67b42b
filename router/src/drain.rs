//! Graceful shutdown: report unready, accept no new connections, then wait for running requests.

use async_std::channel::{Receiver, Sender, bounded};
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// State of a graceful shutdown, and the number of running requests.
pub(crate) struct Drain {
    active: AtomicUsize,
    /// Channel that is closed to make idle connections close.
    idle_receiver: Receiver<()>,
    is_draining: AtomicBool,
    idle_sender: Mutex<Option<Sender<()>>>,
}

impl Default for Drain {
    fn default() -> Self {
        let (idle_sender, idle_receiver) = bounded(1);
        Self {
            active: AtomicUsize::new(0),
            idle_receiver,
            is_draining: AtomicBool::new(false),
            idle_sender: Mutex::new(Some(idle_sender)),
        }
    }
}

/// Counts a request as running until dropped.
pub(crate) struct Active<'a>(&'a Drain);

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drain {
    pub(crate) fn start_request(&self) -> Active<'_> {
        self.active.fetch_add(1, Ordering::AcqRel);
        Active(self)
    }

    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::Acquire)
    }

    /// Makes the router report unready and close connections after their next response.
    pub(crate) fn start(&self) {
        self.is_draining.store(true, Ordering::Release);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Closes idle connections.
    pub(crate) fn close_idle(&self) {
        self.idle_sender
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
    }

    /// Waits until idle connections are to close.
    pub(crate) async fn idle_closed(&self) {
        // Nothing is ever sent: the call returns when the sender is dropped.
        let _ = self.idle_receiver.recv().await;
    }
}
