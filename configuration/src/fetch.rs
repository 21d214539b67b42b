//! Fetches the configuration from a peer over TCP.

use crate::Node;
use crate::replica::adopt_if_newer;
use almondwell_schema::{Fetch, Frame, Snapshot};
use almondwell_wire::Connection;
use async_std::future::timeout;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time for connecting to a peer, sending the request and receiving the snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Builds the [`Snapshot`] that answers `fetch`, with the known instances if it asks for them.
pub fn answer(node: &impl Node, fetch: &Fetch) -> Frame {
    let current = node.replica().current();
    let instances = if fetch.instances {
        node.instances()
    } else {
        Vec::new()
    };
    let snapshot = Snapshot {
        version: current.version,
        config: current.bytes.to_vec(),
        instances,
    };
    snapshot.into()
}

/// Fetches configuration and instances from all `peers` when a process starts, and adopts the newest
/// configuration. Peers that do not answer are skipped.
pub async fn join(node: &impl Node, peers: &[SocketAddr]) {
    // Adopts only the highest version, so that a lagging peer cannot take this process back to a
    // version older than the one it held before its restart.
    let mut newest: Option<Snapshot> = None;
    for peer in peers {
        let Some(mut snapshot) = request_snapshot(node, *peer, true).await else {
            continue;
        };
        node.learn(std::mem::take(&mut snapshot.instances));
        if newest
            .as_ref()
            .is_none_or(|newest| newest.version < snapshot.version)
        {
            newest = Some(snapshot);
        }
    }
    if let Some(snapshot) = newest {
        adopt_if_newer(node, snapshot.version, &snapshot.config);
    }
}

/// Fetches the configuration of `peer` and adopts it if it is newer; returns whether it was adopted.
/// Does nothing while another fetch is running.
pub(crate) async fn fetch(node: &impl Node, peer: SocketAddr) -> bool {
    let replica = node.replica();
    if replica.is_fetching.swap(true, Ordering::AcqRel) {
        return false;
    }
    let snapshot = request_snapshot(node, peer, false).await;
    replica.is_fetching.store(false, Ordering::Release);
    snapshot.is_some_and(|snapshot| adopt_if_newer(node, snapshot.version, &snapshot.config))
}

/// Requests a snapshot from `peer`; `None` after an error, a time-out or another frame.
async fn request_snapshot(node: &impl Node, peer: SocketAddr, instances: bool) -> Option<Snapshot> {
    let exchange = async {
        let mut connection = Connection::open(peer, node.seal().clone()).await.ok()?;
        let fetch = Fetch { instances };
        connection.write(&fetch.into()).await.ok()?;
        match connection.read().await.ok()?? {
            Frame::Snapshot(snapshot) => Some(snapshot),
            Frame::Ask(_)
            | Frame::Chunk(_)
            | Frame::End(_)
            | Frame::Fault(_)
            | Frame::Fetch(_)
            | Frame::Head(_)
            | Frame::Held(_)
            | Frame::Run(_) => None,
        }
    };
    timeout(FETCH_TIMEOUT, exchange).await.ok()?
}
