//! Interface of a process that replicates the configuration.

use crate::Replica;
use almondwell_platform::Objects;
use almondwell_schema::{Config, Datagram, Instance, Version};
use almondwell_wire::Seal;
use std::future::Future;
use std::net::SocketAddr;

/// A process that holds a replica of the configuration and exchanges versions with its peers.
pub trait Node: Send + Sync + 'static {
    /// Applies a newer configuration. Calls do not overlap, and each has a higher version than the last.
    fn adopt(&self, version: Version, config: Config);

    /// Known instances, sent to a peer that asks for them when it starts.
    fn instances(&self) -> Vec<Instance>;

    /// Adds instances received from a peer; used while the instance list cannot be read.
    fn learn(&self, instances: Vec<Instance>);

    /// Client of the object store that holds the configuration.
    fn objects(&self) -> &Objects;

    /// Control addresses of the processes to exchange versions with.
    fn peers(&self) -> Vec<SocketAddr>;

    /// The replica that this process holds.
    fn replica(&self) -> &Replica;

    /// Authenticates messages between processes.
    fn seal(&self) -> &Seal;

    /// Sends a datagram without a delivery guarantee.
    fn send(&self, datagram: Datagram, to: SocketAddr) -> impl Future<Output = ()> + Send;

    /// Whether this process is one of the few that watch the store.
    fn is_watcher(&self) -> bool;
}
