//! Passes versions on between processes.

use crate::{Node, fetch};
use almondwell_core::sample;
use almondwell_schema::{Probe, Version};
use async_std::task;
use std::net::SocketAddr;
use std::time::Duration;

/// Peers that are told of a new version at once.
const FANOUT: usize = 4;
const PERIOD_LEAST: Duration = Duration::from_millis(800);
const PERIOD_MOST: Duration = Duration::from_millis(1200);

/// Exchanges versions with one random peer at a time, until the process ends.
pub async fn run(node: &impl Node) {
    loop {
        task::sleep(rand::random_range(PERIOD_LEAST..PERIOD_MOST)).await;
        tell(node, 1).await;
    }
}

/// Tells a few random peers of the version that `node` holds.
pub(crate) async fn push(node: &impl Node) {
    tell(node, FANOUT).await;
}

/// Notes that the process at `from` holds `version`; fetches it when it is newer.
pub async fn heard(node: &impl Node, version: Version, from: SocketAddr) {
    if version > node.replica().version() && fetch::fetch(node, from).await {
        push(node).await;
    }
}

async fn tell(node: &impl Node, count: usize) {
    let peers = node.peers();
    let chosen = sample(&mut rand::rng(), peers.len(), count);
    for index in chosen {
        let version = node.replica().version();
        node.send(Probe { version }.into(), peers[index]).await;
    }
}
