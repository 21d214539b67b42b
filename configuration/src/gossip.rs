//! Gossips the configuration version between processes.

use crate::{Node, fetch};
use almondwell_core::sample;
use almondwell_schema::{Probe, Version};
use async_std::task;
use std::net::SocketAddr;
use std::time::Duration;

/// Peers that are notified immediately of a newly adopted version.
const FANOUT: usize = 4;
/// Bounds of the random interval between two exchanges with a peer.
const MIN_INTERVAL: Duration = Duration::from_millis(800);
const MAX_INTERVAL: Duration = Duration::from_millis(1200);

/// Sends the version to one random peer at a time until the process ends. The peer fetches the
/// configuration if it has an older one, and its answer carries its own version.
pub async fn run(node: &impl Node) {
    loop {
        task::sleep(rand::random_range(MIN_INTERVAL..MAX_INTERVAL)).await;
        send_version(node, 1).await;
    }
}

/// Sends the version of `node` to a few random peers.
pub(crate) async fn push(node: &impl Node) {
    send_version(node, FANOUT).await;
}

/// Handles a message saying that the process at `from` holds `version`: if that is newer, fetches it
/// and notifies a few random peers.
pub async fn observe_version(node: &impl Node, version: Version, from: SocketAddr) {
    if version > node.replica().version() && fetch::fetch(node, from).await {
        push(node).await;
    }
}

async fn send_version(node: &impl Node, count: usize) {
    let peers = node.peers();
    let chosen = sample(&mut rand::rng(), peers.len(), count);
    for index in chosen {
        let version = node.replica().version();
        node.send(Probe { version }.into(), peers[index]).await;
    }
}
