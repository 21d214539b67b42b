//! Graceful shutdown of an entry: whether it has begun, and how many connections are open.

use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

const POLL_PERIOD: Duration = Duration::from_millis(20);
/// After this time without a new connection, load balancers are assumed to send no more.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// State of a graceful shutdown.
#[derive(Debug)]
pub(crate) struct Drain {
    /// Connections accepted since the start.
    accepted: AtomicU64,
    /// Carries no message; closing the channel tells idle connections to close.
    closing: (Sender<()>, Receiver<()>),
    /// Connections open now.
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
    /// Begins the shutdown: the entry reports unready, and responses ask callers to close.
    pub(crate) fn begin(&self) {
        self.is_leaving.store(true, Ordering::Release);
    }

    /// Whether the shutdown has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Counts a connection as open; returns how many were open before.
    pub(crate) fn open_connection(&self) -> usize {
        self.accepted.fetch_add(1, Ordering::AcqRel);
        self.connections.fetch_add(1, Ordering::AcqRel)
    }

    /// Counts a connection as closed.
    pub(crate) fn close_connection(&self) {
        self.connections.fetch_sub(1, Ordering::AcqRel);
    }

    /// The number of open connections.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Waits until idle connections must close.
    pub(crate) async fn wait_for_close(&self) {
        let _ = self.closing.1.recv().await;
    }

    /// Waits for `min_wait`, then up to `limit` until no connection has been accepted for
    /// `QUIET_PERIOD`.
    pub(crate) async fn wait_until_quiet(&self, min_wait: Duration, limit: Duration) {
        task::sleep(min_wait).await;
        let mut waited = Duration::ZERO;
        while waited < limit {
            let accepted = self.accepted.load(Ordering::Acquire);
            task::sleep(QUIET_PERIOD).await;
            waited += QUIET_PERIOD;
            if accepted == self.accepted.load(Ordering::Acquire) {
                return;
            }
        }
    }

    /// Waits until all connections are closed. After `limit`, idle ones are told to close; those
    /// with a request in progress are still waited for.
    pub(crate) async fn wait_until_closed(&self, limit: Duration) {
        let mut waited = Duration::ZERO;
        while self.connections.load(Ordering::Acquire) > 0 {
            task::sleep(POLL_PERIOD).await;
            waited += POLL_PERIOD;
            if waited >= limit {
                self.closing.0.close();
            }
        }
    }
}
