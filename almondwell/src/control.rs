//! Datagrams from sides.

use crate::entry::Entry;
use almondwell_schema::{Datagram, RequestId, Withdraw};
use almondwell_wire::Error;
use std::net::SocketAddr;

/// Passes datagrams to the requests that wait for them, until the process ends.
pub(crate) async fn receive(entry: &Entry) {
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

async fn handle(entry: &Entry, datagram: Datagram, from: SocketAddr) {
    let request: RequestId = match &datagram {
        Datagram::Grant(grant) => grant.request,
        Datagram::Queued(queued) => queued.request,
        Datagram::Refuse(refuse) => refuse.request,
        Datagram::Reserve(_) | Datagram::Withdraw(_) => {
            entry.metrics.datagrams_rejected.inc();
            return;
        }
    };
    let is_grant = matches!(datagram, Datagram::Grant(_));
    if !entry.waiters.deliver(request, (datagram, from)) && is_grant {
        entry.send(Withdraw { request }.into(), from).await;
    }
}
