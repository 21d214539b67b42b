//! Graceful shutdown of an entry: whether it has begun, when it has to end, and how many connections are open.

use almondwell_daemon::Clock;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Part of the grace time in which requests that are still running are answered and the process exits.
pub(crate) const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time in which the last answers are written.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
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
    /// Time at which requests are no longer waited for; unset before the shutdown, or if it has no limit.
    end: OnceLock<Duration>,
    /// As `closing`, for requests that are still running at `end`.
    finishing: (Sender<()>, Receiver<()>),
    is_leaving: AtomicBool,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            accepted: AtomicU64::new(0),
            closing: bounded(1),
            connections: AtomicUsize::new(0),
            end: OnceLock::new(),
            finishing: bounded(1),
            is_leaving: AtomicBool::new(false),
        }
    }
}

impl Drain {
    /// Begins the shutdown: the entry reports unready, and responses ask callers to close. Requests have until `end`,
    /// or as long as they need without one.
    pub(crate) fn begin(&self, end: Option<Duration>) {
        if let Some(end) = end {
            // A second stop signal changes nothing.
            let _ = self.end.set(end);
        }
        self.is_leaving.store(true, Ordering::Release);
    }

    /// Time that is left for requests; `None` before the shutdown, or if it has no limit.
    pub(crate) fn left(&self, now: Duration) -> Option<Duration> {
        self.end.get().map(|end| end.saturating_sub(now))
    }

    /// Waits until requests that are still running have to be answered.
    pub(crate) async fn finished(&self) {
        let _ = self.finishing.1.recv().await;
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
    /// with a request in progress are waited for until the end of the shutdown, and then answered.
    pub(crate) async fn wait_until_closed(&self, clock: Clock, limit: Duration) {
        let idle_end = clock.now() + limit;
        while self.connections.load(Ordering::Acquire) > 0 {
            task::sleep(POLL_PERIOD).await;
            let now = clock.now();
            if now >= idle_end {
                self.closing.0.close();
            }
            if self.left(now).is_some_and(|left| left.is_zero()) {
                break;
            }
        }
        self.finishing.0.close();
        self.wait_for_answers().await;
    }

    /// Waits until the last answers have been written, for `ANSWER_MARGIN` at most.
    async fn wait_for_answers(&self) {
        let mut waited = Duration::ZERO;
        while self.connections.load(Ordering::Acquire) > 0 && waited < ANSWER_MARGIN {
            task::sleep(POLL_PERIOD).await;
            waited += POLL_PERIOD;
        }
    }
}
