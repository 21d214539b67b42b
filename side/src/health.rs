//! Whether the upstream lives, as an idle connection to it shows.

use crate::side::Side;
use almondwell_daemon::gone;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a new connection must stay open before the upstream counts as live.
const SETTLE_TIME: Duration = Duration::from_millis(50);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time in which the end of the idle connection shows after that of a call's.
const NOTICE_TIME: Duration = Duration::from_millis(500);
const NOTICE_PERIOD: Duration = Duration::from_millis(2);

/// State of the upstream.
pub(crate) struct Health {
    deaths: AtomicU64,
    /// Whether the idle connection is open now.
    is_open: AtomicBool,
    is_up: AtomicBool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            deaths: AtomicU64::new(0),
            is_open: AtomicBool::new(false),
            is_up: AtomicBool::new(true),
        }
    }
}

impl Health {
    /// Whether the upstream takes connections.
    pub(crate) fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Acquire)
    }

    /// Waits a little until the upstream is known to live; `false` when it is not.
    ///
    /// A request sent to an upstream that is already dead would pass for the cause of its death.
    pub(crate) async fn is_live(&self) -> bool {
        let open = async {
            while !self.is_open.load(Ordering::Acquire) {
                task::sleep(NOTICE_PERIOD).await;
            }
        };
        timeout(NOTICE_TIME, open).await.is_ok()
    }

    /// Times that the upstream closed or refused the idle connection.
    pub(crate) fn deaths(&self) -> u64 {
        self.deaths.load(Ordering::Acquire)
    }

    /// Whether the upstream has ended since `deaths` was read, waiting a little for the sign of it.
    pub(crate) async fn has_died_since(&self, deaths: u64) -> bool {
        let notice = async {
            while self.deaths() == deaths {
                task::sleep(NOTICE_PERIOD).await;
            }
        };
        timeout(NOTICE_TIME, notice).await.is_ok()
    }

    fn note_death(&self) {
        self.deaths.fetch_add(1, Ordering::AcqRel);
    }

    fn set(&self, side: &Side, is_up: bool) {
        if self.is_up.swap(is_up, Ordering::AcqRel) != is_up {
            let upstream = side.settings.upstream.to_string();
            spdlog::info!("upstream changed state", kv: { upstream, up = is_up });
        }
    }
}

/// Keeps an idle connection to the upstream until the process ends.
pub(crate) async fn watch(side: &Side) {
    loop {
        if let Some(tcp) = connect(side).await {
            side.health.set(side, true);
            side.health.is_open.store(true, Ordering::Release);
            gone(&tcp).await;
            side.health.is_open.store(false, Ordering::Release);
            side.health.note_death();
        } else {
            side.health.note_death();
            side.health.set(side, false);
            task::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn connect(side: &Side) -> Option<TcpStream> {
    let connect = TcpStream::connect(side.settings.upstream);
    let tcp = timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
    match timeout(SETTLE_TIME, gone(&tcp)).await {
        Ok(()) => None,
        Err(_) => Some(tcp),
    }
}
