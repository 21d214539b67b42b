//! Requests for work that a background task does.

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use std::time::Duration;

/// Demand for a run of a task; requests that come before it runs count as one.
pub(crate) struct Demand {
    /// Holds one element while a run is due.
    due: (Sender<()>, Receiver<()>),
}

impl Default for Demand {
    fn default() -> Self {
        Self { due: bounded(1) }
    }
}

impl Demand {
    pub(crate) fn request(&self) {
        // If the channel is full, a run is due already.
        let _ = self.due.0.try_send(());
    }

    /// Waits for the next request, at most for `limit`.
    pub(crate) async fn wait_for(&self, limit: Duration) {
        let _ = timeout(limit, self.wait()).await;
    }

    /// Waits for the next request.
    pub(crate) async fn wait(&self) {
        // The sender lives as long as the receiver.
        let _ = self.due.1.recv().await;
    }
}
