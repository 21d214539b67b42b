//! Exchanges liveness and configuration versions with entries.

use crate::side::Side;
use almondwell_configuration as configuration;
use almondwell_schema::{Alive, Probe, Version};
use async_std::task;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Handles the answer to a probe.
pub(crate) fn handle_alive(side: &Arc<Side>, alive: &Alive, from: SocketAddr) {
    fetch_if_newer(side, alive.version, from);
}

/// Answers a probe.
pub(crate) async fn handle_probe(side: &Arc<Side>, probe: &Probe, from: SocketAddr) {
    let alive = Alive {
        epoch: side.epoch,
        leaving: side.is_draining.load(Ordering::Acquire),
        version: side.replica.version(),
    };
    side.send(alive.into(), from).await;
    fetch_if_newer(side, probe.version, from);
}

fn fetch_if_newer(side: &Arc<Side>, version: Version, from: SocketAddr) {
    if version <= side.replica.version() {
        return;
    }
    let side = side.clone();
    task::spawn(async move { configuration::observe_version(&*side, version, from).await });
}
