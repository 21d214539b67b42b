//! Accepts connections from callers.

use crate::connection;
use crate::entry::Entry;
use almondwell_wire::Turn;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Multiple of the connection limit up to which further callers still get an error response; beyond
/// it, connections are closed immediately.
const REFUSAL_FACTOR: usize = 2;

/// Accepts and serves connections until cancelled.
pub(crate) async fn accept(entry: Arc<Entry>, listener: TcpListener) {
    let turn = Turn::default();
    loop {
        turn.wait().await;
        match listener.accept().await {
            Ok((tcp, _)) => admit(&entry, tcp),
            Err(_) => task::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

fn admit(entry: &Arc<Entry>, tcp: TcpStream) {
    let limit = entry.settings.connections as usize;
    let open = entry.drain.open_connection();
    let guard = OpenConnection(entry.clone());
    if open >= limit {
        entry.metrics.connections_refused.inc();
    }
    if open >= limit * REFUSAL_FACTOR {
        return;
    }
    task::spawn(async move {
        let entry = &guard.0;
        let _ = if open < limit {
            connection::serve(entry, tcp).await
        } else {
            connection::refuse(entry, tcp).await
        };
    });
}

/// Counts a connection as open until dropped, so that a shutdown waits for it.
struct OpenConnection(Arc<Entry>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.drain.close_connection();
    }
}
