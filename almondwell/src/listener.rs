//! Accepts callers.

use crate::connection;
use crate::entry::Entry;
use async_std::net::TcpListener;
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers until cancelled.
pub(crate) async fn accept(entry: Arc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                let entry = entry.clone();
                task::spawn(async move {
                    let _ = connection::serve(&entry, tcp).await;
                });
            }
            Err(_) => task::sleep(ACCEPT_PAUSE).await,
        }
    }
}
