//! Monitors the upstream through an idle connection, which closes when the upstream exits or crashes.

use crate::side::Side;
use almondwell_daemon::disconnected;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a new connection must stay open before the upstream counts as up.
const SETTLE_TIME: Duration = Duration::from_millis(50);
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Longest wait for the idle connection to open or close. After a crash it may close a little later
/// than the connection of the call that was running.
const DETECTION_TIMEOUT: Duration = Duration::from_millis(500);
const DETECTION_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Health of the upstream.
pub(crate) struct Health {
    connection_failures: AtomicU64,
    /// Whether the idle connection is open.
    is_connected: AtomicBool,
    is_up: AtomicBool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            connection_failures: AtomicU64::new(0),
            is_connected: AtomicBool::new(false),
            is_up: AtomicBool::new(true),
        }
    }
}

impl Health {
    /// Whether the upstream accepted the last connection attempt; starts as `true`.
    pub(crate) fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Acquire)
    }

    /// Waits until the idle connection is open; `false` if it does not open within
    /// [`DETECTION_TIMEOUT`].
    ///
    /// A request sent to an upstream that is already down would be blamed for its crash.
    pub(crate) async fn wait_until_connected(&self) -> bool {
        let connected = async {
            while !self.is_connected.load(Ordering::Acquire) {
                task::sleep(DETECTION_POLL_INTERVAL).await;
            }
        };
        timeout(DETECTION_TIMEOUT, connected).await.is_ok()
    }

    /// Number of times that the idle connection was closed or could not be opened.
    pub(crate) fn connection_failures(&self) -> u64 {
        self.connection_failures.load(Ordering::Acquire)
    }

    /// Whether the idle connection has failed since `connection_failures` was read; waits up to
    /// [`DETECTION_TIMEOUT`] for that.
    pub(crate) async fn has_crashed_since(&self, connection_failures: u64) -> bool {
        let failed = async {
            while self.connection_failures() == connection_failures {
                task::sleep(DETECTION_POLL_INTERVAL).await;
            }
        };
        timeout(DETECTION_TIMEOUT, failed).await.is_ok()
    }

    fn record_connection_failure(&self) {
        self.connection_failures.fetch_add(1, Ordering::AcqRel);
    }

    fn update(&self, side: &Side, is_up: bool) {
        if self.is_up.swap(is_up, Ordering::AcqRel) != is_up {
            let upstream = side.settings.upstream.to_string();
            spdlog::info!("upstream changed state", kv: { upstream, up = is_up });
        }
    }
}

/// Keeps an idle connection to the upstream open until the process ends.
pub(crate) async fn watch(side: &Side) {
    loop {
        if let Some(tcp) = connect(side).await {
            side.health.update(side, true);
            side.health.is_connected.store(true, Ordering::Release);
            disconnected(&tcp).await;
            side.health.is_connected.store(false, Ordering::Release);
            side.health.record_connection_failure();
        } else {
            side.health.record_connection_failure();
            side.health.update(side, false);
            task::sleep(RECONNECT_DELAY).await;
        }
    }
}

/// Whether the upstream accepts a new connection and keeps it open.
pub(crate) async fn is_alive(side: &Side) -> bool {
    connect(side).await.is_some()
}

async fn connect(side: &Side) -> Option<TcpStream> {
    let connect = TcpStream::connect(side.settings.upstream);
    let tcp = timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
    match timeout(SETTLE_TIME, disconnected(&tcp)).await {
        Ok(()) => None,
        Err(_) => Some(tcp),
    }
}
