//! Serves other almondwell processes over TCP.

use crate::entry::Entry;
use almondwell_configuration as configuration;
use almondwell_schema::Frame;
use almondwell_wire::Connection;
use async_std::net::TcpListener;
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers fetches until the process ends.
pub(crate) async fn accept(entry: Arc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                let entry = entry.clone();
                task::spawn(async move {
                    if let Ok(connection) = Connection::over(tcp, entry.seal.clone()) {
                        serve(&entry, connection).await;
                    }
                });
            }
            Err(_) => task::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve(entry: &Entry, mut connection: Connection) {
    while let Ok(Some(frame)) = connection.read().await {
        let Frame::Fetch(fetch) = frame else { return };
        let answer = configuration::answer(entry, &fetch);
        if connection.write(&answer).await.is_err() {
            return;
        }
    }
}
