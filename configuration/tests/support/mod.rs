//! Fake process for the tests.

use almondwell_configuration::{Node, Replica};
use almondwell_platform::Objects;
use almondwell_schema::{Config, Datagram, Instance, Version};
use almondwell_wire::Seal;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// A process without peers that records the versions that it adopts.
pub struct Process {
    adopted: Mutex<Vec<Version>>,
    objects: Objects,
    replica: Replica,
    seal: Seal,
}

impl Process {
    pub fn new(store: SocketAddr) -> Self {
        Self {
            adopted: Mutex::default(),
            objects: Objects::new(store),
            replica: Replica::default(),
            seal: Seal::new("test"),
        }
    }

    /// Versions adopted so far, in order.
    pub fn adopted(&self) -> Vec<Version> {
        self.adopted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Node for Process {
    fn adopt(&self, version: Version, _: Config) {
        self.adopted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(version);
    }

    fn instances(&self) -> Vec<Instance> {
        Vec::new()
    }

    fn learn(&self, _: Vec<Instance>) {}

    fn objects(&self) -> &Objects {
        &self.objects
    }

    fn peers(&self) -> Vec<SocketAddr> {
        Vec::new()
    }

    fn replica(&self) -> &Replica {
        &self.replica
    }

    fn seal(&self) -> &Seal {
        &self.seal
    }

    async fn send(&self, _: Datagram, _: SocketAddr) {}

    fn is_watcher(&self) -> bool {
        false
    }
}
