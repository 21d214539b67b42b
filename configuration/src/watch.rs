//! Watches the store for a new configuration.

use crate::replica::offer;
use crate::{KEY, Node, gossip};
use almondwell_platform::store::Revision;
use almondwell_platform::{Error, Object};
use async_std::future::timeout;
use async_std::task;
use std::time::{Duration, Instant};

/// Longest wait of one watch; short, so that a hung platform is noticed soon.
const WATCH_TIME: Duration = Duration::from_secs(2);
const WATCH_GRACE: Duration = Duration::from_millis(800);
const READ_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_LEAST: Duration = Duration::from_millis(200);
const RETRY_MOST: Duration = Duration::from_millis(800);
/// Period of reads by processes that do not watch.
const IDLE_LEAST: Duration = Duration::from_secs(20);
const IDLE_MOST: Duration = Duration::from_secs(40);
/// Period in which an idle process looks whether it is to watch now; short against the time in which a
/// configuration has to be everywhere.
const WATCHER_CHECK: Duration = Duration::from_millis(500);

/// Follows the store until the process ends.
pub async fn run(node: &impl Node) {
    let mut from = None;
    let mut is_lost = false;
    loop {
        let is_watcher = is_watcher(node);
        let object = if is_watcher {
            watch(node, &mut from).await
        } else {
            read(node, &mut from).await
        };
        note(node, &mut is_lost, &object);
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
            idle(node).await;
        }
    }
}

/// Whether the store is watched from here: by the few that watch for all, and by those that nobody tells.
fn is_watcher(node: &impl Node) -> bool {
    node.watches() || node.replica().version() == 0 || node.peers().is_empty()
}

/// Logs when the store is lost and when it is back.
fn note(node: &impl Node, is_lost: &mut bool, answer: &Result<Option<Object>, Error>) {
    let version = node.replica().version();
    match answer {
        Err(error) if !*is_lost => spdlog::warn!("store lost: {error}", kv: { version = version }),
        Ok(_) if *is_lost => spdlog::info!("store back", kv: { version = version }),
        Ok(_) | Err(_) => {}
    }
    *is_lost = answer.is_err();
}

async fn watch(node: &impl Node, from: &mut Option<Revision>) -> Result<Option<Object>, Error> {
    let watch = node.objects().watch(KEY, from, WATCH_TIME);
    match timeout(WATCH_TIME + WATCH_GRACE, watch).await {
        Ok(object) => object,
        Err(_) => Err(Error::Lost("the watch was not answered in time".into())),
    }
}

async fn read(node: &impl Node, from: &mut Option<Revision>) -> Result<Option<Object>, Error> {
    let read = node.objects().watch(KEY, from, Duration::ZERO);
    match timeout(READ_TIMEOUT, read).await {
        Ok(object) => object,
        Err(_) => Err(Error::Lost("the read was not answered in time".into())),
    }
}

/// Pauses until the next read, or until the store is watched from here.
async fn idle(node: &impl Node) {
    let end = Instant::now() + rand::random_range(IDLE_LEAST..IDLE_MOST);
    while Instant::now() < end && !is_watcher(node) {
        task::sleep(WATCHER_CHECK).await;
    }
}

async fn pause(least: Duration, most: Duration) {
    task::sleep(rand::random_range(least..most)).await;
}
