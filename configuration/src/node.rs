//! What a process offers, so that the configuration can spread through it.

use crate::Replica;
use almondwell_platform::Objects;
use almondwell_schema::{Config, Datagram, Instance, Version};
use almondwell_wire::Seal;
use std::future::Future;
use std::net::SocketAddr;

/// A process that holds the configuration.
pub trait Node: Send + Sync + 'static {
    /// Puts a newer configuration in force; called with one version after another, none lower.
    fn adopt(&self, version: Version, config: Config);

    /// Instances that a peer may be told of.
    fn instances(&self) -> Vec<Instance>;

    /// Takes over instances that a peer told of, while the instance list cannot be read.
    fn learn(&self, instances: Vec<Instance>);

    /// The store.
    fn objects(&self) -> &Objects;

    /// Control addresses of processes to exchange versions with.
    fn peers(&self) -> Vec<SocketAddr>;

    /// The copy that this process holds.
    fn replica(&self) -> &Replica;

    /// Seal of messages between processes.
    fn seal(&self) -> &Seal;

    /// Sends a datagram, which may get lost.
    fn send(&self, datagram: Datagram, to: SocketAddr) -> impl Future<Output = ()> + Send;

    /// Whether this process is one of those that watch the store.
    fn watches(&self) -> bool;
}
