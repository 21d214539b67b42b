//! Handles control datagrams from sides.

use crate::entry::Entry;
use crate::liveness;
use almondwell_schema::{Datagram, Epoch, RequestId, Withdraw};
use almondwell_wire::Error;
use std::net::SocketAddr;
use std::sync::Arc;

/// Receives datagrams and delivers them to the waiting requests, until the process ends.
pub(crate) async fn receive(entry: &Arc<Entry>) {
    loop {
        match entry.socket.receive().await {
            Ok((datagram, from)) => handle(entry, datagram, from).await,
            Err(Error::Io(_)) => {
                entry.metrics.datagrams_failed.inc();
            }
            Err(Error::Forged | Error::Malformed(_) | Error::TooLong(_)) => {
                entry.metrics.datagrams_rejected.inc();
            }
        }
    }
}

async fn handle(entry: &Arc<Entry>, datagram: Datagram, from: SocketAddr) {
    let (request, epoch): (RequestId, Epoch) = match &datagram {
        Datagram::Grant(grant) => (grant.request, grant.epoch),
        Datagram::Queued(queued) => (queued.request, queued.epoch),
        Datagram::Refuse(refuse) => (refuse.request, refuse.epoch),
        Datagram::Alive(alive) => return liveness::handle_alive(entry, alive, from),
        Datagram::Leaving(leaving) => return liveness::handle_leaving(entry, leaving, from).await,
        Datagram::Probe(probe) => return liveness::handle_probe(entry, probe, from).await,
        Datagram::Noted(_)
        | Datagram::Reserve(_)
        | Datagram::Digest(_)
        | Datagram::Suspect(_)
        | Datagram::EngineLoads(_)
        | Datagram::StreamMessage(_)
        | Datagram::SuspectPart(_)
        | Datagram::Usage(_)
        | Datagram::UsageAck(_)
        | Datagram::Withdraw(_) => {
            entry.metrics.datagrams_rejected.inc();
            return;
        }
    };
    entry.members.record_answer(from, epoch);
    let is_grant = matches!(datagram, Datagram::Grant(_));
    if !entry.waiters.deliver(request, (datagram, from)) && is_grant {
        entry.send(Withdraw { request }.into(), from).await;
    }
}
