//! The entry's part in holding the configuration.

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

/// Entries of one region that watch the store; one more than is needed.
const WATCHERS: usize = 2;
/// Share of exchanges that may cross to another region.
const OTHER_REGIONS: f64 = 0.125;
/// Time that the platform has to answer before peers are asked.
const PLATFORM_FIRST: Duration = Duration::from_millis(300);
const JOIN_PERIOD: Duration = Duration::from_millis(500);

/// Asks peers at the start, until the platform or one of them has answered.
pub(crate) async fn start(entry: &Entry) {
    task::sleep(PLATFORM_FIRST).await;
    while entry.replica.version() == 0 || entry.members.instances().is_empty() {
        join(entry, &entry.settings.peers).await;
        task::sleep(JOIN_PERIOD).await;
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
        // A list that was read from the platform is newer than what a peer remembers.
        if self.members.instances().is_empty() && !instances.is_empty() {
            self.members.list(instances);
        }
    }

    fn objects(&self) -> &Objects {
        &self.objects
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let region = if rand::random_bool(OTHER_REGIONS) {
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

    /// The entries of a region with the lowest hashes watch. Entries that see different lists may
    /// differ on who that is, which costs a watch or a few seconds and nothing else.
    fn watches(&self) -> bool {
        let own = weight("", &self.settings.id);
        let instances = self.members.instances();
        let lower = instances
            .iter()
            .filter(|instance| instance.role == Role::Entry && !instance.leaving)
            .filter(|instance| instance.region == self.settings.region)
            .filter(|instance| instance.id != self.settings.id)
            .filter(|instance| weight("", &instance.id) < own)
            .count();
        lower < WATCHERS
    }
}
