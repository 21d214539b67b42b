//! Watches the store for a new configuration.

use crate::replica::adopt_if_newer;
use crate::{KEY, Node, gossip};
use almondwell_platform::store::Cursor;
use almondwell_platform::{Error, Object};
use async_std::future::timeout;
use async_std::task;
use std::time::{Duration, Instant};

/// Maximum wait of one long poll; short, so that a hung platform is detected soon.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time beyond the wait for the response to a watch to arrive.
const WATCH_GRACE: Duration = Duration::from_millis(800);
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Bounds of the random delay after an error.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Bounds of the random interval between reads by processes that do not watch.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(20);
const MAX_READ_INTERVAL: Duration = Duration::from_secs(40);
/// Interval at which a process that does not watch checks whether it should; short compared with the
/// time within which every process has to adopt a new configuration.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Watches the store, or reads it at random intervals, until the process ends; adopts each
/// newer configuration and notifies peers.
pub async fn run(node: &impl Node) {
    let mut from = Cursor::START;
    let mut is_down = false;
    loop {
        let should_watch = should_watch(node);
        let object = if should_watch {
            watch(node, &mut from).await
        } else {
            read(node, &mut from).await
        };
        log_availability(node, &mut is_down, &object);
        match object {
            Ok(Some(object)) => {
                if adopt_if_newer(node, object.version, &object.value) {
                    gossip::push(node).await;
                }
                // Prevents a tight loop of requests for an object that cannot be decoded.
                if node.replica().version() < object.version {
                    sleep_between(MIN_RETRY_DELAY, MAX_RETRY_DELAY).await;
                }
            }
            Ok(None) => {}
            Err(_) => sleep_between(MIN_RETRY_DELAY, MAX_RETRY_DELAY).await,
        }
        if !should_watch {
            wait_for_next_read(node).await;
        }
    }
}

/// Whether this process should watch the store: if it is one of the few watchers, has no configuration
/// yet, or has no peers that could notify it.
fn should_watch(node: &impl Node) -> bool {
    node.is_watcher() || node.replica().version() == 0 || node.peers().is_empty()
}

/// Logs when the store becomes unavailable and when it is available again.
fn log_availability(node: &impl Node, is_down: &mut bool, result: &Result<Option<Object>, Error>) {
    let version = node.replica().version();
    match result {
        Err(error) if !*is_down => {
            spdlog::warn!("store unreachable: {error}", kv: { version = version });
        }
        Ok(_) if *is_down => spdlog::info!("store reachable", kv: { version = version }),
        Ok(_) | Err(_) => {}
    }
    *is_down = result.is_err();
}

async fn watch(node: &impl Node, from: &mut Cursor) -> Result<Option<Object>, Error> {
    let watch = node.objects().watch(KEY, from, WATCH_TIMEOUT);
    match timeout(WATCH_TIMEOUT + WATCH_GRACE, watch).await {
        Ok(object) => object,
        Err(_) => Err(Error::Lost(
            "the store did not answer the watch in time".into(),
        )),
    }
}

async fn read(node: &impl Node, from: &mut Cursor) -> Result<Option<Object>, Error> {
    let read = node.objects().watch(KEY, from, Duration::ZERO);
    match timeout(READ_TIMEOUT, read).await {
        Ok(object) => object,
        Err(_) => Err(Error::Lost(
            "the store did not answer the read in time".into(),
        )),
    }
}

/// Waits until the next read is due or this process should watch the store.
async fn wait_for_next_read(node: &impl Node) {
    let end = Instant::now() + rand::random_range(MIN_READ_INTERVAL..MAX_READ_INTERVAL);
    while Instant::now() < end && !should_watch(node) {
        task::sleep(WATCHER_CHECK_INTERVAL).await;
    }
}

/// Sleeps for a random time, so that processes do not send their requests all at once.
async fn sleep_between(min: Duration, max: Duration) {
    task::sleep(rand::random_range(min..max)).await;
}
