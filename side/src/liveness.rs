//! What a side says of itself, and what it learns from entries.

use crate::side::Side;
use almondwell_configuration as configuration;
use almondwell_schema::{Alive, Probe, Version};
use async_std::task;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Takes the answer to a probe.
pub(crate) fn alive(side: &Arc<Side>, alive: &Alive, from: SocketAddr) {
    heard(side, alive.version, from);
}

/// Answers a probe.
pub(crate) async fn probed(side: &Arc<Side>, probe: &Probe, from: SocketAddr) {
    let alive = Alive {
        epoch: side.epoch,
        leaving: side.leaving.load(Ordering::Acquire),
        version: side.replica.version(),
    };
    side.send(alive.into(), from).await;
    heard(side, probe.version, from);
}

fn heard(side: &Arc<Side>, version: Version, from: SocketAddr) {
    if version <= side.replica.version() {
        return;
    }
    let side = side.clone();
    task::spawn(async move { configuration::heard(&*side, version, from).await });
}
