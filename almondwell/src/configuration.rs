//! Replicates the configuration to the entry.

use crate::catalog::Catalog;
use crate::entry::Entry;
use almondwell_configuration::{Node, Replica, join};
use almondwell_core::weight;
use almondwell_platform::Objects;
use almondwell_schema::{Config, Datagram, Instance, Role, Version};
use almondwell_wire::Seal;
use async_std::task;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Number of entries per region that watch the store: one is enough, and one is spare.
const WATCHERS_PER_REGION: usize = 2;
/// Share of gossip exchanges that may choose a peer in any region instead of the entry's own.
const CROSS_REGION_SHARE: f64 = 0.125;
/// Time that the platform has to answer before peers are asked instead.
const JOIN_DELAY: Duration = Duration::from_millis(300);
const JOIN_RETRY_PERIOD: Duration = Duration::from_millis(500);

/// Asks peers at start-up for the configuration and the instance list, until the platform or a
/// peer has supplied both.
pub(crate) async fn start(entry: &Entry) {
    task::sleep(JOIN_DELAY).await;
    while entry.replica.version() == 0 || entry.members.instances().is_empty() {
        join(entry, &entry.settings.peers).await;
        task::sleep(JOIN_RETRY_PERIOD).await;
    }
}

impl Node for Entry {
    fn adopt(&self, version: Version, config: Config) {
        self.catalog.store(Arc::new(Catalog::new(version, config)));
    }

    fn instances(&self) -> Vec<Instance> {
        self.members.instances().to_vec()
    }

    fn learn(&self, instances: Vec<Instance>) {
        // A list read from the platform is newer than a peer's copy.
        if self.members.instances().is_empty() && !instances.is_empty() {
            self.members.replace_instances(instances);
        }
    }

    fn objects(&self) -> &Objects {
        &self.objects
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let region = if rand::random_bool(CROSS_REGION_SHARE) {
            None
        } else {
            Some(&self.settings.region)
        };
        let instances = self.members.instances();
        let listed = instances
            .iter()
            .filter(|instance| region.is_none_or(|region| instance.region == *region))
            .map(|instance| instance.address);
        listed
            .chain(self.settings.peers.iter().copied())
            .filter(|address| *address != self.settings.control)
            .collect()
    }

    fn replica(&self) -> &Replica {
        &self.replica
    }

    fn seal(&self) -> &Seal {
        &self.seal
    }

    async fn send(&self, datagram: Datagram, to: SocketAddr) {
        Self::send(self, datagram, to).await;
    }

    /// In each region the entries with the lowest hashes watch the store. Entries with different
    /// instance lists may disagree on which those are; this costs only an extra watch or a delay
    /// of a few seconds.
    fn is_watcher(&self) -> bool {
        let own = weight("", &self.settings.id);
        let instances = self.members.instances();
        let lower = instances
            .iter()
            .filter(|instance| instance.role == Role::Entry && !instance.leaving)
            .filter(|instance| instance.region == self.settings.region)
            .filter(|instance| instance.id != self.settings.id)
            .filter(|instance| weight("", &instance.id) < own)
            .count();
        lower < WATCHERS_PER_REGION
    }
}
