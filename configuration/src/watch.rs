//! Watches the object API for a new configuration.

use crate::replica::offer;
use crate::{KEY, Node, gossip};
use almondwell_platform::{Error, Object};
use async_std::future::timeout;
use async_std::task;
use std::time::Duration;

/// Longest wait of one watch; short, so that a hung platform is noticed soon.
const WATCH_TIME: Duration = Duration::from_secs(2);
const WATCH_GRACE: Duration = Duration::from_millis(800);
const READ_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_LEAST: Duration = Duration::from_millis(200);
const RETRY_MOST: Duration = Duration::from_millis(800);
/// Period of reads by processes that do not watch.
const IDLE_LEAST: Duration = Duration::from_secs(20);
const IDLE_MOST: Duration = Duration::from_secs(40);

/// Follows the object API until the process ends.
pub async fn run(node: &impl Node) {
    loop {
        let is_watcher = node.watches() || node.replica().version() == 0;
        let object = if is_watcher {
            watch(node).await
        } else {
            read(node).await
        };
        match object {
            Ok(Some(object)) => {
                if offer(node, object.version, &object.value) {
                    gossip::push(node).await;
                }
                // An object that does not decode must not be asked for in a tight loop.
                if node.replica().version() < object.version {
                    pause(RETRY_LEAST, RETRY_MOST).await;
                }
            }
            Ok(None) => {}
            Err(_) => pause(RETRY_LEAST, RETRY_MOST).await,
        }
        if !is_watcher {
            pause(IDLE_LEAST, IDLE_MOST).await;
        }
    }
}

async fn watch(node: &impl Node) -> Result<Option<Object>, Error> {
    let version = node.replica().version();
    let watch = node.objects().watch(KEY, version, WATCH_TIME);
    match timeout(WATCH_TIME + WATCH_GRACE, watch).await {
        Ok(object) => object,
        Err(_) => Err(Error::Lost("the watch was not answered in time".into())),
    }
}

async fn read(node: &impl Node) -> Result<Option<Object>, Error> {
    let version = node.replica().version();
    let read = node.objects().watch(KEY, version, Duration::ZERO);
    match timeout(READ_TIMEOUT, read).await {
        Ok(object) => object,
        Err(_) => Err(Error::Lost("the read was not answered in time".into())),
    }
}

async fn pause(least: Duration, most: Duration) {
    task::sleep(rand::random_range(least..most)).await;
}
