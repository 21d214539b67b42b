//! What sides and peers say about themselves.

use crate::entry::Entry;
use almondwell_configuration as configuration;
use almondwell_schema::{Alive, Leaving, Noted, Probe, Version};
use async_std::task;
use std::net::SocketAddr;
use std::sync::Arc;

/// Takes the answer to a probe.
pub(crate) fn alive(entry: &Arc<Entry>, alive: &Alive, from: SocketAddr) {
    if alive.leaving {
        entry.members.leaving(from, alive.epoch);
    } else {
        entry.members.heard(from, alive.epoch);
    }
    heard(entry, alive.version, from);
}

/// Takes a side's word that it is leaving.
pub(crate) async fn leaving(entry: &Entry, leaving: &Leaving, from: SocketAddr) {
    entry.members.leaving(from, leaving.epoch);
    let epoch = leaving.epoch;
    entry.send(Noted { epoch }.into(), from).await;
}

/// Answers a probe.
pub(crate) async fn probed(entry: &Arc<Entry>, probe: &Probe, from: SocketAddr) {
    let alive = Alive {
        epoch: entry.epoch,
        leaving: entry.drain.is_leaving(),
        version: entry.replica.version(),
    };
    entry.send(alive.into(), from).await;
    heard(entry, probe.version, from);
}

fn heard(entry: &Arc<Entry>, version: Version, from: SocketAddr) {
    if version <= entry.replica.version() {
        return;
    }
    let entry = entry.clone();
    task::spawn(async move { configuration::heard(&*entry, version, from).await });
}
