//! A planned stop of an entry: whether it has begun, and which connections are still open.

use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

const PERIOD: Duration = Duration::from_millis(20);
/// Time without a new connection after which no balancer is taken to send more.
const QUIET: Duration = Duration::from_millis(300);

/// A planned stop, and what it waits for.
#[derive(Debug)]
pub(crate) struct Drain {
    accepted: AtomicU64,
    /// Carries no message; its end closes idle connections.
    closing: (Sender<()>, Receiver<()>),
    connections: AtomicUsize,
    is_leaving: AtomicBool,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            accepted: AtomicU64::new(0),
            closing: bounded(1),
            connections: AtomicUsize::new(0),
            is_leaving: AtomicBool::new(false),
        }
    }
}

impl Drain {
    /// Begins the stop: the entry is unready, and answers ask callers to close.
    pub(crate) fn leave(&self) {
        self.is_leaving.store(true, Ordering::Release);
    }

    /// Whether the stop has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Counts a connection as open; returns how many were open before.
    pub(crate) fn open(&self) -> usize {
        self.accepted.fetch_add(1, Ordering::AcqRel);
        self.connections.fetch_add(1, Ordering::AcqRel)
    }

    /// Counts a connection as closed.
    pub(crate) fn closed(&self) {
        self.connections.fetch_sub(1, Ordering::AcqRel);
    }

    /// Connections that are open.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Returns once idle connections are to be closed.
    pub(crate) async fn closing(&self) {
        let _ = self.closing.1.recv().await;
    }

    /// Waits for `least` and then up to `limit` until no connection has been accepted for a while.
    pub(crate) async fn quiet(&self, least: Duration, limit: Duration) {
        task::sleep(least).await;
        let mut waited = Duration::ZERO;
        while waited < limit {
            let accepted = self.accepted.load(Ordering::Acquire);
            task::sleep(QUIET).await;
            waited += QUIET;
            if accepted == self.accepted.load(Ordering::Acquire) {
                return;
            }
        }
    }

    /// Waits until callers have closed all connections; after `limit`, closes those that are idle
    /// and waits for the requests of the others.
    pub(crate) async fn finish(&self, limit: Duration) {
        let mut waited = Duration::ZERO;
        while self.connections.load(Ordering::Acquire) > 0 {
            task::sleep(PERIOD).await;
            waited += PERIOD;
            if waited >= limit {
                self.closing.0.close();
            }
        }
    }
}
