//! Handles probes, probe answers and leave notices from sides and other entries.

use crate::entry::Entry;
use almondwell_configuration as configuration;
use almondwell_schema::{Alive, Leaving, Noted, Probe, Version};
use async_std::task;
use std::net::SocketAddr;
use std::sync::Arc;

/// Handles the answer to a probe.
pub(crate) fn handle_alive(entry: &Arc<Entry>, alive: &Alive, from: SocketAddr) {
    if alive.leaving {
        entry.members.mark_leaving(from, alive.epoch);
    } else {
        entry.members.record_answer(from, alive.epoch);
    }
    fetch_if_newer(entry, alive.version, from);
}

/// Handles a side's notice that it takes no new work, and acknowledges it.
pub(crate) async fn handle_leaving(entry: &Entry, leaving: &Leaving, from: SocketAddr) {
    entry.members.mark_leaving(from, leaving.epoch);
    let epoch = leaving.epoch;
    entry.send(Noted { epoch }.into(), from).await;
}

/// Answers a probe.
pub(crate) async fn handle_probe(entry: &Arc<Entry>, probe: &Probe, from: SocketAddr) {
    let alive = Alive {
        epoch: entry.epoch,
        leaving: entry.drain.is_leaving(),
        version: entry.replica.version(),
    };
    entry.send(alive.into(), from).await;
    fetch_if_newer(entry, probe.version, from);
}

/// Starts a fetch of the configuration from `from` if its version is newer than this entry's.
fn fetch_if_newer(entry: &Arc<Entry>, version: Version, from: SocketAddr) {
    if version <= entry.replica.version() {
        return;
    }
    let entry = entry.clone();
    task::spawn(async move { configuration::observe_version(&*entry, version, from).await });
}
