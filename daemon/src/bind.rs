//! Addresses that a process listens on. A port may be taken when the process starts, by a listener or by any outgoing connection on
//! the machine whose local port happens to be the same. That passes, so the process waits for it.

use crate::signal::{Signal, wait_for_stop};
use async_std::channel::Receiver;
use async_std::net::TcpListener;
use async_std::task;
use futures_lite::future::or;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Delay after the first failure; each further one doubles it.
const FIRST_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Why an address of the settings is not bound.
#[derive(Debug)]
pub struct Unbound {
    /// The address.
    pub address: SocketAddr,
    /// The system's error.
    pub error: io::Error,
    /// Key of the setting.
    pub key: &'static str,
}

impl Unbound {
    /// Whether the address may be bound later. One that is not of this machine may be added to it after the process
    /// starts; a permission that is lacking is not granted to a process that runs.
    fn passes(&self) -> bool {
        !matches!(
            self.error.kind(),
            ErrorKind::InvalidInput | ErrorKind::PermissionDenied | ErrorKind::Unsupported
        )
    }
}

impl Display for Unbound {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            address,
            error,
            key,
        } = self;
        write!(f, "cannot listen on {key} = {address}: {error}")
    }
}

impl std::error::Error for Unbound {}

/// Listens on the address of the setting `key`.
pub async fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, Unbound> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| Unbound {
        address,
        error,
        key,
    })
}

/// Calls `bind` until it succeeds, or fails for good. Logs once for each key that the process waits for, and once when
/// it is bound.
pub async fn until_bound<T, F>(bind: impl Fn() -> F) -> Result<T, Unbound>
where
    F: Future<Output = Result<T, Unbound>>,
{
    let mut waiting = BTreeMap::new();
    let mut delay = FIRST_DELAY;
    loop {
        let unbound = match bind().await {
            Ok(bound) => {
                for (key, (address, since)) in waiting {
                    log_bound(key, address, since);
                }
                return Ok(bound);
            }
            Err(unbound) if unbound.passes() => unbound,
            Err(unbound) => return Err(unbound),
        };
        let address = unbound.address;
        waiting.entry(unbound.key).or_insert_with(|| {
            spdlog::warn!("waiting for an address", kv: {
                key = unbound.key, address = address.to_string(), error = unbound.error.to_string()
            });
            (address, Instant::now())
        });
        // Many processes of a machine may wait for the same port.
        task::sleep(delay.mul_f64(rand::random_range(0.5..1.0))).await;
        delay = (delay * 2).min(MAX_DELAY);
    }
}

/// As [`until_bound`]; `None` if the process receives a stop signal before.
pub async fn until_bound_or_stopped<T, F>(
    signals: &Receiver<Signal>,
    bind: impl Fn() -> F,
) -> Result<Option<T>, Unbound>
where
    F: Future<Output = Result<T, Unbound>>,
{
    let bound = async { until_bound(bind).await.map(Some) };
    let stopped = async {
        wait_for_stop(signals).await;
        Ok(None)
    };
    or(bound, stopped).await
}

fn log_bound(key: &str, address: SocketAddr, since: Instant) {
    let waited_ms = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
    spdlog::info!("address bound after a wait", kv: { key, address = address.to_string(), waited_ms });
}
