//! The side's part in holding the configuration.

use crate::side::Side;
use almondwell_configuration::{Node, Replica, join};
use almondwell_platform::Objects;
use almondwell_schema::{Config, Datagram, Instance, Role, Version};
use almondwell_wire::Seal;
use async_std::task;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time that the platform has to answer before peers are asked.
const PLATFORM_FIRST: Duration = Duration::from_millis(300);
const JOIN_PERIOD: Duration = Duration::from_millis(500);

/// Asks peers at the start, until the platform or one of them has answered.
pub(crate) async fn start(side: &Side) {
    task::sleep(PLATFORM_FIRST).await;
    while side.replica.version() == 0 {
        join(side, &side.settings.peers).await;
        task::sleep(JOIN_PERIOD).await;
    }
}

impl Node for Side {
    /// A side holds the configuration for others and decides nothing by it.
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
            leaving: self.leaving.load(Ordering::Acquire),
        }]
    }

    /// A side needs no instances: entries come to it.
    fn learn(&self, _: Vec<Instance>) {}

    fn objects(&self) -> &Objects {
        &self.objects
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let mut peers = self.entries.all();
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

    fn watches(&self) -> bool {
        false
    }
}
