//! Accepts callers.

use crate::connection;
use crate::entry::Entry;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections over the limit that are told so, for each one within it; any more are closed at once.
const REFUSED_SHARE: usize = 2;

/// Serves callers until cancelled.
pub(crate) async fn accept(entry: Arc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => admit(&entry, tcp),
            Err(_) => task::sleep(ACCEPT_PAUSE).await,
        }
    }
}

fn admit(entry: &Arc<Entry>, tcp: TcpStream) {
    let limit = entry.settings.connections as usize;
    let open = entry.drain.open();
    let guard = Open(entry.clone());
    if open >= limit {
        entry.metrics.connections_refused.inc();
    }
    if open >= limit * REFUSED_SHARE {
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

/// Counts a connection as open, so that a stop waits for it.
struct Open(Arc<Entry>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.drain.closed();
    }
}
