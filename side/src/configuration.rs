//! Replicates the configuration on a side, so that other processes can fetch it from there.

use crate::side::Side;
use almondwell_configuration::{Node, Replica, join};
use almondwell_platform::Objects;
use almondwell_schema::{Config, Datagram, Instance, Role, Version};
use almondwell_wire::Seal;
use async_std::task;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time that the platform's store has to answer before peers are asked instead.
const JOIN_DELAY: Duration = Duration::from_millis(300);
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Asks peers for the configuration at startup, until the store or a peer has supplied one.
pub(crate) async fn bootstrap(side: &Side) {
    task::sleep(JOIN_DELAY).await;
    while side.replica.version() == 0 {
        join(side, &side.settings.peers).await;
        task::sleep(JOIN_RETRY_INTERVAL).await;
    }
}

impl Node for Side {
    /// Does nothing: a side holds the configuration for others and does not act on it.
    fn adopt(&self, _: Version, _: Config) {}

    fn instances(&self) -> Vec<Instance> {
        let settings = &self.settings;
        vec![Instance {
            id: settings.id.clone(),
            role: Role::Side,
            pool: settings.pool.clone(),
            address: settings.control,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            leaving: self.is_draining.load(Ordering::Acquire),
        }]
    }

    /// Does nothing: a side needs no instance list, since entries contact it.
    fn learn(&self, _: Vec<Instance>) {}

    fn objects(&self) -> &Objects {
        &self.objects
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let mut peers = self.entries.addresses();
        peers.extend(&self.settings.peers);
        peers
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

    fn is_watcher(&self) -> bool {
        false
    }
}
